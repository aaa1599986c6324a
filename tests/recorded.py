"""A recorded trace of the core: what it was told and what it did, as JSON lines in ``core-trace.jsonl.gz``.

Each line is ``[now, events, actions]``; a value is its type's name and its fields in order, without those at the
end that have their default. ``python tests/recorded.py`` records anew, from a small closed world of this file's own:
do that only where the decisions of a bare core are meant to change, and say so in the commit.
"""

from __future__ import annotations

import gzip
import heapq
import json
import random
from collections.abc import Iterator, Sequence
from dataclasses import MISSING, fields
from pathlib import Path
from typing import Any

from helpers import SECOND, settings

from lotuspick.core import actions, events
from lotuspick.core.actions import (
    FailSession,
    ForwardAttempt,
    RejectSession,
    ServerEjected,
    SetRung,
    StartTimer,
)
from lotuspick.core.controller import Controller
from lotuspick.core.events import (
    AttemptEnded,
    PlayerHint,
    ServerEntry,
    ServerFailed,
    ServerHint,
    ServerListUpdate,
    SessionNotification,
    SessionPlaying,
    SessionRequest,
    SessionStarted,
    TenantRates,
    TimerFired,
    ViewerDisconnected,
)

PATH = Path(__file__).parent / "core-trace.jsonl.gz"
# The name in the trace of each type that is called otherwise today.
RECORDED_NAMES = {
    "AttemptEnded": "Ended",
    "AttemptResolved": "Proof",
    "ConstraintsChanged": "GuideNews",
    "FailSession": "Fail",
    "ForwardAttempt": "Send",
    "LogMessage": "Log",
    "RejectSession": "Refuse",
    "ServerFailed": "ServerDown",
    "ServerListUpdate": "ServerList",
    "SessionNotification": "Note",
    "SessionStarted": "Started",
    "StartTimer": "SetTimer",
    "ViewerDisconnected": "ViewerGone",
}
TYPES = {
    RECORDED_NAMES.get(kind.__name__, kind.__name__): kind
    for module in (actions, events)
    for kind in vars(module).values()
    if isinstance(kind, type)
}
COUNT, STEP_US, STEPS, SEED = 12, 50_000, 2_400, 20_261_201
TENANTS = {"law": 3.0, "arts": 1.0}


def build() -> Controller:
    return Controller(
        settings(
            racks=3,
            brokers=2,
            uplink_kb_per_s=9_000.0,
            retry_after_allowed=True,
            cross_zone_price=0.06,
            max_retry_after_us=2 * SECOND,
            rung_change_cost_s=0.5,
            link_kb_per_weight=2_000.0,
            weight_kind="nominal",
            inline_load_reports=True,
            tenant_rates=TENANTS,
            positions=COUNT,
        ),
        SEED,
    )


def plain(value: Any) -> Any:
    if isinstance(value, float) and value == float("inf"):
        return None
    if not hasattr(value, "__dataclass_fields__"):
        return [plain(each) for each in value] if isinstance(value, (list, tuple)) else value
    if isinstance(value, ServerEjected):
        return ["Log", value.text]
    told = [(getattr(value, each.name), each.default) for each in fields(value)]
    while told and told[-1][1] is not MISSING and told[-1][0] == told[-1][1]:
        told.pop()
    name = type(value).__name__
    return [RECORDED_NAMES.get(name, name), *(plain(each) for each, _ in told)]


def thing(value: Any) -> Any:
    name, *values = value
    if name == "ServerList":
        values[0] = [thing(each) for each in values[0]]
    return TYPES[name](*values)


def replay() -> Iterator[tuple[int, list[Any], list[Any]]]:
    """Each recorded step: the time, the events, and the actions in plain form."""
    with gzip.open(PATH, "rt", encoding="utf-8") as lines:
        for line in lines:
            now, events, actions = json.loads(line)
            yield now, [thing(each) for each in events], actions


class World:
    """Viewers, links and troubles just rich enough to reach every handler of the core."""

    def __init__(self) -> None:
        self.random = random.Random(SEED)
        self.asks: dict[str, SessionRequest] = {}
        self.where: dict[str, tuple[str, int, int]] = {}  # server, attempt, rung
        self.rungs: dict[str, int] = {}
        self.tries: dict[str, int] = {}
        self.queue: list[tuple[int, int, Any]] = []
        self.made = 0

    def after(self, at_us: int, what: Any) -> None:
        self.made += 1
        heapq.heappush(self.queue, (at_us, self.made, what))

    def entry(self, at: int, state: str = "active", started_us: int = 0) -> ServerEntry:
        return ServerEntry(f"s{at}", "ab"[at % 2], "box", at, state, 1.0 + at % 3 / 4, started_us)

    def ask(self, now: int) -> SessionRequest:
        draw = self.random
        self.made += 1
        name = f"q{self.made}"
        made = SessionRequest(
            name,
            draw.choice(["clip", "clip", "exam"]),
            f"t{draw.randrange(6)}",
            draw.randrange(COUNT),
            draw.choice([2, 3, 3, 5]),
            draw.randrange(4),
            now + draw.choice([2, 4]) * SECOND,
            draw.choice([None, 15e6, 40e6, 100e6, 200e6]),
            f"v{draw.randrange(300)}",
            draw.choice(["", "law", "law", "arts"]),
            draw.random() < 0.05,
            draw.random() < 0.2,
        )
        self.asks[name], self.tries[name] = made, -1
        return made

    def events(self, now: int) -> list[Any]:
        draw, out = self.random, []
        night = 1.0 if now < 40 * SECOND else 2.5 if now < 80 * SECOND else 0.6
        out.extend(self.ask(now) for _ in range(sum(draw.random() < 0.25 * night for _ in range(4))))
        while self.queue and self.queue[0][0] <= now:
            due = heapq.heappop(self.queue)[2]
            out.extend(due(now) if callable(due) else [due])
        if draw.random() < 0.5 and self.where:
            name = draw.choice(sorted(self.where))
            server = self.where[name][0]
            load = sum(
                100.0 * 2 ** self.rungs.get(each, 0) for each, at in self.where.items() if at[0] == server
            )
            load /= 900.0 + 300.0 * (int(server[1:]) % 4)
            topic = draw.choice(["link", "link", "share", "rung", "rack"])
            value = {"link": load, "share": min(1.0, 1 / max(load, 1e-9)), "rack": load / 2}.get(topic, 1)
            out.append(SessionNotification(name, server, topic, value))
        if draw.random() < 0.01:
            out.append(ServerFailed(f"s{draw.randrange(COUNT)}"))
        if draw.random() < 0.02:
            at = draw.randrange(COUNT)
            out.append(ServerListUpdate([self.entry(at, draw.choice(["draining", "gone", "active"]), now)]))
            self.after(now + 6 * SECOND, ServerListUpdate([self.entry(at, "active", now + 5 * SECOND)]))
        if draw.random() < 0.05 and self.where:
            out.append(
                PlayerHint(
                    draw.choice(sorted(self.where)),
                    draw.choice([None, 0.5, 3.0]),
                    draw.random() < 0.3,
                    draw.choice([None, 80.0, 500.0]),
                )
            )
        if draw.random() < 0.02:
            out.append(ServerHint(f"s{draw.randrange(COUNT)}", draw.choice([50.0, 900.0])))
        if draw.random() < 0.005:
            out.append(TenantRates(TENANTS | {"law": draw.choice([1.0, 6.0])}))
        if draw.random() < 0.02 and self.asks:
            out.append(ViewerDisconnected(draw.choice(sorted(self.asks))))
        return out

    def end(self, name: str, attempt: int, outcome: str, final: bool) -> Any:
        def due(now: int) -> list[Any]:
            at = self.where.get(name)
            if at is None or at[1] != attempt:
                return []
            del self.where[name]
            report = {"link": self.random.random()} if self.random.random() < 0.5 else {}
            return [
                AttemptEnded(name, attempt, at[0], outcome, final, 90_000, report, self.random.random() < 0.5)
            ]

        return due

    def start(self, name: str, attempt: int, length_us: float) -> Any:
        def due(now: int) -> list[Any]:
            at = self.where.get(name)
            if at is None or at[1] != attempt:
                return []
            self.after(
                now + int(length_us), self.end(name, attempt, self.random.choice(["served", "lost"]), True)
            )
            return [SessionStarted(name, attempt, at[0], 90_000)]

        return due

    def act(self, now: int, actions: Sequence[Any]) -> None:
        draw = self.random
        for action in actions:
            match action:
                case StartTimer():
                    self.after(now + action.delay_us, TimerFired(action.timer_id))
                case SetRung():
                    self.rungs[action.session] = action.rung
                case ForwardAttempt():
                    self.tries[action.session] += 1
                    name, attempt = action.session, self.tries[action.session]
                    self.where[name] = (action.server, attempt, 0)
                    if draw.random() < 0.8:
                        length = self.asks[name].length_us or 30e6
                        self.after(
                            now + draw.randrange(40_000, 400_000), self.start(name, attempt, length / 4)
                        )
                    else:
                        outcome = draw.choice(["error", "full", "timeout", "unreachable", "lost", "unsent"])
                        self.after(
                            now + draw.randrange(20_000, 900_000), self.end(name, attempt, outcome, False)
                        )
                case RejectSession() | FailSession():
                    self.asks.pop(action.session, None)


def record() -> None:
    made, world, now = build(), World(), 0
    with PATH.open("wb") as raw, gzip.GzipFile("", "wb", 9, raw, mtime=0) as sink:
        events: list[Any] = [ServerListUpdate([world.entry(at) for at in range(COUNT)], complete=True)]
        events += [SessionPlaying("p0", "clip", "t0", 0, 3, 3, 9 * SECOND, 30e6, "v0", "law", server="s1")]
        for _ in range(STEPS):
            actions = made.handle(now, events)
            sink.write(
                (json.dumps([now, plain(events), plain(actions)], separators=(",", ":")) + "\n").encode()
            )
            world.act(now, actions)
            now += STEP_US
            events = world.events(now)


if __name__ == "__main__":
    record()
