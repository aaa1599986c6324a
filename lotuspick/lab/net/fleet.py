"""Fleets of members on the simulated network, and what ``lab verify membership`` asks of them."""

from __future__ import annotations

import statistics
import sys
from collections.abc import Sequence
from typing import Any

import msgspec

from lotuspick.lab.net.fault_scenario import Fault, draw_scenario, recovery_faults, to_toml
from lotuspick.lab.net.world import MS, Host, Weather, World
from lotuspick.membership.members import Members
from lotuspick.membership.model import Begin, Changed, Displaced, Rules, State
from lotuspick.state_machine import CommandReceived, SendMessage

SECOND = 1_000_000
NEVER_S = 60.0
SETTLED_S = 5.0  # after the last fault all views agree within this


class Fleet(World):
    """Brokers b0, b1, ... at h0, h1, ...; the first three are seeds. ``rates``: how fast clocks may run."""

    def __init__(
        self,
        count: int,
        seed: int,
        weather: Weather | None = None,
        rates: tuple[float, ...] = (1.0,),
        **rules: int,
    ) -> None:
        super().__init__(seed, weather)
        self.names = [f"h{at}" for at in range(count)]
        for at, name in enumerate(self.names):
            self.add(
                name,
                lambda: Members(Rules(**rules)),
                [CommandReceived(Begin(f"b{at}", name, tuple(self.names[:3])))],
                self.random.choice(rates),
            )
            self.start(name)

    def views(self) -> set[tuple[Any, ...]]:
        """What each that is up and takes part believes."""
        return {
            tuple(
                (each.name, each.incarnation, each.state)
                for each in sorted(host.machine.records.values(), key=lambda each: each.name)
            )
            for host in self.taking_part()
        }

    def taking_part(self) -> list[Any]:
        return [
            host
            for host in self.hosts.values()
            if host.up and not (host.machine.displaced or host.machine.left)
        ]

    def counts(self) -> set[int]:
        return {len(host.machine.alive()) for host in self.taking_part()}

    def reach(self) -> set[int]:
        return {len(host.machine.reached()) for host in self.taking_part()}

    def agree_s(self, most_s: float = 60.0) -> float:
        """Seconds until all that take part believe the same, and each other alive; infinite where it takes longer."""
        began_us = self.now_us
        while len(self.views()) > 1 or self.counts() != {len(self.taking_part())}:
            if self.now_us - began_us > most_s * SECOND:
                return float("inf")
            self.run(SECOND // 10)
        return (self.now_us - began_us) / SECOND

    def deaths(self, *names: str) -> list[tuple[float, str]]:
        """When who came to believe that a member was dead; without names of any."""
        return [
            (at_us / SECOND, host)
            for at_us, host, news in self.told
            if isinstance(news, Changed)
            and news.record.state is State.DEAD
            and (not names or news.record.name in names)
        ]

    def happens(self, fault: Fault) -> None:
        """One fault of a story. There are no connections to reset here."""
        one = [self.names[at] for at in fault.brokers] or self.names
        other = (
            [self.names[at] for at in fault.others] or [name for name in self.names if name not in one] or one
        )
        match fault.kind:
            case "cut":
                self.cut(one, other, fault.both_ways)
            case "heal":
                self.heal()
                self.weather.loss = 0.0
            case "loss":
                self.weather.loss = fault.amount
            case "delay":
                self.weather.delay_us = (self.weather.delay_us[0], max(2_000, int(fault.amount * SECOND)))
            case "stall":
                for name in one:
                    self.stall(name)
            case "resume":
                for name in one:
                    self.resume(name)
            case "kill":
                for name in one:
                    if self.hosts[name].up:
                        self.crash(name)
            case "start" | "wiped":
                for name in one:
                    if not self.hosts[name].up:
                        self.start(name, fault.kind == "wiped")
            case _:
                pass

    def play(self, story: Sequence[Fault]) -> None:
        """Have the faults of a story happen, each at its time from now."""
        began_us = self.now_us
        for fault in story:
            self.run(max(0, began_us + int(fault.at_s * SECOND) - self.now_us))
            self.happens(fault)

    def news(self, kind: type) -> list[tuple[str, Any]]:
        return [(host, news) for _, host, news in self.told if isinstance(news, kind)]


def membership(
    told: dict[str, Any], arm: dict[str, Any], seed: int
) -> tuple[dict[str, float], dict[str, list[float]]]:
    """``kind``: ``death`` (one of ``brokers`` is killed: when all live ones know), ``loss`` (``seconds`` at a part
    lost, with stalls under a second: how many live ones were declared dead), or ``faults`` (all faults at once for
    ``seconds``: how long after the last one all agree). ``brokers`` is a number or the name of one in the world."""
    told = {**told, **arm}
    rates = (1.0, 1.0, 0.95, 1.05) if told["kind"] == "faults" else (1.0,)
    count = int(told.get(told["brokers"], told["brokers"]))
    made = (Meter if told["kind"] == "death" else Fleet)(count, seed, rates=rates)
    joined_s = made.agree_s()
    made.run(SECOND)
    made.sent = 0
    made.told.clear()
    match told["kind"]:
        case "death":
            assert isinstance(made, Meter)
            made.bytes = 0
            return death(made, joined_s)
        case "loss":
            return loss(made, float(told["loss"]), int(told.get(told["seconds"], told["seconds"])))
        case _:
            return faults(made, int(told["seconds"]))


class Meter(Fleet):
    """A fleet whose bytes are counted, as its messages would be packed."""

    bytes = 0

    def _send(self, host: Host, effect: SendMessage) -> None:
        self.bytes += len(msgspec.msgpack.encode(effect.message))
        super()._send(host, effect)


def death(made: Meter, joined_s: float) -> tuple[dict[str, float], dict[str, list[float]]]:
    """One is killed after a quiet stretch in which messages are counted."""
    quiet_s, count = 3, len(made.names)
    made.run(quiet_s * SECOND)
    row = {
        "joined_s": joined_s,
        "messages": made.sent / quiet_s / count,
        "bytes": made.bytes / quiet_s / count,
    }
    victim = made.random.randrange(count)
    made.crash(made.names[victim])
    began_s = made.now_us / SECOND
    made.run(6 * SECOND)
    knew = [at_s - began_s for at_s, _ in made.deaths(f"b{victim}")]
    late = count - 1 - len(knew)
    row |= {
        "known_s": statistics.median(knew) if knew else NEVER_S,
        "worst_s": NEVER_S if late else max(knew),
        "wrong": float(len(made.deaths()) - len(knew)),
    }
    return row, {"known_s": knew}


def loss(made: Fleet, part: float, seconds: int) -> tuple[dict[str, float], dict[str, list[float]]]:
    """Nobody dies. A member that is declared dead counts once, however many believe it."""
    made.weather.loss, made.weather.doubled = part, 0.02
    for _ in range(seconds):
        if made.random.random() < 0.3:
            made.stall(made.random.choice(made.names), made.random.randrange(50 * MS, 999 * MS))
        made.run(SECOND)
    dead = {
        (news.record.process, news.record.refutation)
        for _, _, news in made.told
        if isinstance(news, Changed) and news.record.state is State.DEAD
    }
    accused = sum(host.machine.detector.false_suspicions for host in made.hosts.values())
    return {
        "hours": seconds * len(made.names) / 3_600,
        "deaths": float(len(dead)),
        "refuted": float(accused),
    }, {}


def faults(made: Fleet, seconds: int) -> tuple[dict[str, float], dict[str, list[float]]]:
    """A story drawn from the seed, with clocks at other rates and doubled messages; then all ends, what is down is
    started, and the time is taken until all views agree. A story after which they do not is told on standard error."""
    made.weather.doubled = made.random.choice([0.0, 0.1, 0.2])
    story = draw_scenario(made.random, len(made.names), seconds)
    made.play(story + recovery_faults(story, seconds))
    made.weather = Weather()
    took_s = made.agree_s()
    if took_s > SETTLED_S:
        print(to_toml(story), file=sys.stderr)
    return {"agree_s": min(took_s, NEVER_S), "displaced": float(len(made.news(Displaced)))}, {
        "agree_s": [took_s]
    }
