"""Fleets of members on the simulated network, and what ``lab verify membership`` asks of them."""

from __future__ import annotations

import statistics
from typing import Any

import msgspec

from lotuspick.lab.net.world import MS, Host, Weather, World
from lotuspick.membership.members import Begin, Members
from lotuspick.membership.model import Changed, Displaced, Rules, State
from lotuspick.steps import Asked, Send

SECOND = 1_000_000
NEVER_S = 60.0


class Fleet(World):
    """Brokers b0, b1, ... at h0, h1, ...; the first three are seeds. ``rates``: how fast clocks may run."""

    def __init__(self, count: int, seed: int, weather: Weather | None = None, rates: tuple[float, ...] = (1.0,),
                 **rules: int) -> None:
        super().__init__(seed, weather)
        self.names = [f"h{at}" for at in range(count)]
        for at, name in enumerate(self.names):
            self.add(name, lambda: Members(Rules(**rules)), [Asked(Begin(f"b{at}", name, tuple(self.names[:3])))],
                     self.random.choice(rates))
            self.start(name)

    def views(self) -> set[tuple[Any, ...]]:
        """What each that is up and takes part believes."""
        return {tuple((each.name, each.life, each.state) for each in sorted(
            host.machine.records.values(), key=lambda each: each.name)) for host in self.taking_part()}

    def taking_part(self) -> list[Any]:
        return [host for host in self.hosts.values() if host.up and not (host.machine.displaced or host.machine.left)]

    def counts(self) -> set[int]:
        return {len(host.machine.alive()) for host in self.taking_part()}

    def reach(self) -> set[int]:
        return {len(host.machine.reached()) for host in self.taking_part()}

    def agree_s(self) -> float:
        """Seconds until all that take part believe the same, and each other alive."""
        began_us = self.now_us
        while len(self.views()) > 1 or self.counts() != {len(self.taking_part())}:
            if self.now_us - began_us > 60 * SECOND:
                return float("inf")
            self.run(SECOND // 10)
        return (self.now_us - began_us) / SECOND

    def deaths(self, *names: str) -> list[tuple[float, str]]:
        """When who came to believe that a member was dead; without names of any."""
        return [(at_us / SECOND, host) for at_us, host, news in self.told
                if isinstance(news, Changed) and news.record.state is State.DEAD
                and (not names or news.record.name in names)]

    def news(self, kind: type) -> list[tuple[str, Any]]:
        return [(host, news) for _, host, news in self.told if isinstance(news, kind)]


def membership(told: dict[str, Any], arm: dict[str, Any], seed: int) -> tuple[dict[str, float], dict[str, list[float]]]:
    """``kind``: ``death`` (one of ``brokers`` is killed: when all live ones know), ``loss`` (``seconds`` at a part
    lost, with stalls under a second: how many live ones were declared dead), or ``faults`` (all faults at once for
    ``seconds``: how long after the last one all agree). ``brokers`` is a number or the name of one in the world."""
    told = {**told, **arm}
    rates = (1.0, 1.0, 0.95, 1.05) if told["kind"] == "faults" else (1.0,)
    made = Meter(int(told.get(told["brokers"], told["brokers"])), seed, rates=rates)
    joined_s = made.agree_s()
    made.run(SECOND)
    made.sent = made.bytes = 0
    made.told.clear()
    match told["kind"]:
        case "death":
            return death(made, joined_s)
        case "loss":
            return loss(made, float(told["loss"]), int(told["seconds"]))
        case _:
            return faults(made, int(told["seconds"]))


class Meter(Fleet):
    """A fleet whose bytes are counted, as its messages would be packed."""

    bytes = 0

    def _send(self, host: Host, effect: Send) -> None:
        self.bytes += len(msgspec.msgpack.encode(effect.message))
        super()._send(host, effect)


def death(made: Meter, joined_s: float) -> tuple[dict[str, float], dict[str, list[float]]]:
    """One is killed after a quiet stretch in which messages are counted."""
    quiet_s, count = 3, len(made.names)
    made.run(quiet_s * SECOND)
    row = {"joined_s": joined_s, "messages": made.sent / quiet_s / count, "bytes": made.bytes / quiet_s / count}
    victim = made.random.randrange(count)
    made.crash(made.names[victim])
    began_s = made.now_us / SECOND
    made.run(6 * SECOND)
    knew = [at_s - began_s for at_s, _ in made.deaths(f"b{victim}")]
    late = count - 1 - len(knew)
    row |= {"known_s": statistics.median(knew) if knew else NEVER_S, "worst_s": NEVER_S if late else max(knew),
            "wrong": float(len(made.deaths()) - len(knew))}
    return row, {"known_s": knew}


def loss(made: Meter, part: float, seconds: int) -> tuple[dict[str, float], dict[str, list[float]]]:
    """Nobody dies. A member that is declared dead counts once, however many believe it."""
    made.weather.loss, made.weather.doubled = part, 0.02
    for _ in range(seconds):
        if made.random.random() < 0.3:
            made.stall(made.random.choice(made.names), made.random.randrange(50 * MS, 999 * MS))
        made.run(SECOND)
    dead = {(news.record.process, news.record.turn) for _, _, news in made.told
            if isinstance(news, Changed) and news.record.state is State.DEAD}
    accused = sum(host.machine.false_accusations for host in made.hosts.values())
    return {"hours": seconds * len(made.names) / 3_600, "deaths": float(len(dead)), "refuted": float(accused)}, {}


def faults(made: Meter, seconds: int) -> tuple[dict[str, float], dict[str, list[float]]]:
    """Cuts that overlap, one-way and whole, stalls, crashes with the disk and without, loss, doubling, clocks at other
    rates; then all ends, what is down is started, and the time is taken until all views agree."""
    draw, names = made.random, made.names
    for _ in range(seconds):
        match draw.randrange(7):
            case 0:
                side = draw.sample(names, draw.randrange(1, len(names)))
                made.cut(side, [each for each in names if each not in side], both=draw.random() < 0.5)
            case 1:
                made.heal()
            case 2:
                made.stall(draw.choice(names), draw.randrange(100 * MS, 4 * SECOND))
            case 3 | 4:
                name = draw.choice(names)
                if made.hosts[name].up:
                    made.crash(name)
                else:
                    made.start(name, wipe=draw.random() < 0.5)
            case 5:
                made.weather.loss, made.weather.doubled = draw.choice([0.0, 0.1, 0.4]), draw.choice([0.0, 0.2])
            case _:
                pass
        made.run(SECOND)
    made.heal()
    made.weather = Weather()
    for host in made.hosts.values():
        host.stalled_until_us = 0
        if not host.up:
            made.start(host.name)
    took_s = made.agree_s()
    return {"agree_s": min(took_s, NEVER_S), "displaced": float(len(made.news(Displaced)))}, {"agree_s": [took_s]}
