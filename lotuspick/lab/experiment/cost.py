"""What a guide costs: the same stream of sessions through a core with cells and through one without, step by step in
turn, so that whatever else the machine does falls on both."""

from __future__ import annotations

import gc
import heapq
import random
import resource
import time
from pathlib import Path
from typing import Any

from lotuspick.cells.constraints import CellConstraints
from lotuspick.cells.plan_file import parse
from lotuspick.core.actions import Action, FailSession, ForwardAttempt, RejectSession, StartTimer
from lotuspick.core.controller import Controller
from lotuspick.core.events import (
    AttemptEnded,
    AttemptOutcome,
    Event,
    ServerEntry,
    ServerListUpdate,
    SessionNotification,
    SessionRequest,
    SessionStarted,
    TimerFired,
)
from lotuspick.lab.emulator.spec import SECOND_US, Spec

STEP_US = 10_000
FIFTHS = 5


def resident_mib() -> float:
    """What the process holds in memory now."""
    pages = int(Path("/proc/self/statm").read_text(encoding="ascii").split()[1])
    return pages * resource.getpagesize() / 2**20


class Side:
    """One core with the world that answers it: set-ups stand after 80 ms and end as they should."""

    def __init__(self, core: Controller) -> None:
        self.core, self.due, self.made = core, list[tuple[int, int, Event]](), 0
        self.seconds, self.lengths, self.answers = 0.0, dict[str, int](), 0

    def after(self, at_us: int, event: Event) -> None:
        self.made += 1
        heapq.heappush(self.due, (at_us, self.made, event))

    def step(self, now: int, events: list[Event]) -> None:
        """Hand over what is due, timed."""
        events = list(events)
        while self.due and self.due[0][0] <= now:
            events.append(heapq.heappop(self.due)[2])
        if not events:
            return
        begin = time.perf_counter()
        actions = self.core.handle(now, events)
        self.seconds += time.perf_counter() - begin
        for action in actions:
            self.act(now, action)

    def act(self, now: int, action: Action) -> None:
        match action:
            case StartTimer():
                self.after(now + max(1, action.delay_us), TimerFired(action.timer_id))
            case ForwardAttempt():
                name, server = action.session, action.server
                self.after(now + 80_000, SessionStarted(name, 0, server, 80_000))
                self.after(now + 90_000, SessionNotification(name, server, "link", 0.5))
                self.after(
                    now + self.lengths[name],
                    AttemptEnded(name, 0, server, AttemptOutcome.SERVED, True, load_report={"link": 0.5}),
                )
            case RejectSession() | FailSession():
                self.answers += 1


def cost(
    told: dict[str, Any], arm: dict[str, Any], seed: int
) -> tuple[dict[str, float], dict[str, list[float]]]:
    """``ratio``: mean time of the decisions on a session, its outcomes included, with cells over without.
    ``grown``: MiB by which the process's peak in the last fifth of the names thrown at the guide lies above that in the
    second fifth: peaks, since tables that fill and are emptied move what it holds at any one time."""
    nodes, tenants, sessions = (
        int(arm.get(key, usual)) for key, usual in (("nodes", 60), ("tenants", 1_000), ("sessions", 6_000))
    )
    size = nodes // 6
    blocks = {f"c{at}": {"positions": [f"{at * size}-{at * size + size - 1}"]} for at in range(6)}
    text: dict[str, Any] = {"cells": blocks}
    if arm.get("hashed"):
        text = {"cells": {f"c{at}": {"shuffle": 5} for at in range(6)}}
    settings = Spec(nodes=nodes, racks=10).settings("norte")
    sides = [Side(Controller(settings, seed, guide)) for guide in (None, CellConstraints(parse(text), nodes))]
    roster = ServerListUpdate(
        [ServerEntry(f"m-{at}", "norte", "nodo-2c", at) for at in range(nodes)], complete=True
    )
    for side in sides:
        side.step(0, [roster])
    draw, now, asked = random.Random(f"cost {seed}"), 10 * SECOND_US, 0
    warm = sessions // 5
    gc.collect()
    while asked < sessions:
        now += STEP_US
        events: list[Event] = []
        if draw.random() < 0.12:
            asked += 1
            tenant = f"t{min(int(draw.paretovariate(0.6)), tenants)}"
            cls, lesson = draw.choice(["repaso", "repaso", "asistencia"]), draw.randrange(6)
            home = random.Random(f"{tenant} {lesson}").randrange(nodes)
            for side in sides:
                side.lengths[f"s{asked}"] = int(draw.uniform(15, 46) * SECOND_US)
            events.append(
                SessionRequest(
                    f"s{asked}",
                    cls,
                    f"{tenant}-{lesson}",
                    home,
                    int(arm.get("copies", 4)),
                    3,
                    now + 4 * SECOND_US,
                    30e6,
                    f"v{asked}",
                    tenant,
                )
            )
        if asked == warm:
            for side in sides:
                side.seconds = 0.0
        for side in sides if asked % 2 else reversed(sides):
            side.step(now, events)
    without, within = (side.seconds / (sessions - warm) * 1e6 for side in sides)
    guide = CellConstraints(parse(text), nodes)
    guide.on_event(0, roster)
    peaks = [0.0] * FIFTHS
    names = int(arm.get("names", 1_000_000))
    for at in range(names):
        if at % 500 == 0:
            fifth = at * FIFTHS // names
            peaks[fifth] = max(peaks[fifth], resident_mib())
        ask = SessionRequest(
            f"n{at}",
            "repaso",
            f"l{at}",
            at % nodes,
            4,
            3,
            now + 4 * SECOND_US,
            30e6,
            f"w{at}",
            f"made-up-{at}",
        )
        guide.constraint_for(now + at * 100, ask)
        guide.on_event(now + at * 100, RejectSession(f"n{at}"))
    return {
        "without_us": without,
        "within_us": within,
        "ratio": within / without,
        "grown": peaks[-1] - peaks[1],
    }, {}
