"""Faults as a story: a timeline in TOML that is played alike on the simulated network and on real processes.

    [[fault]]
    at_s = 2.0
    do = "cut"
    one = [0, 1]
    other = [2, 3, 4]

Brokers are named by their numbers; without ``other`` all that are not in ``one`` are meant.
"""

from __future__ import annotations

import random
import tomllib
from collections.abc import Sequence
from dataclasses import dataclass

KINDS = ("cut", "heal", "loss", "delay", "reset", "stall", "resume", "kill", "start", "wiped")


class StoryFault(ValueError):
    """A story that cannot be played; the text names the fault and the key."""


@dataclass(frozen=True, slots=True)
class Fault:
    """One thing that happens."""

    at_s: float
    do: str
    one: tuple[int, ...] = ()
    other: tuple[int, ...] = ()
    both: bool = True
    """Of cuts, losses and delays: whether it holds both ways, or only from ``one`` to ``other``."""
    part: float = 0.0
    """Of a loss the part that is lost, of a delay its seconds."""

    def __str__(self) -> str:
        pairs = [
            f"at_s = {self.at_s:g}",
            f'do = "{self.do}"',
            f"one = {list(self.one)}" if self.one else "",
            f"other = {list(self.other)}" if self.other else "",
            "" if self.both else "both = false",
            f"part = {self.part:g}" if self.part else "",
        ]
        return "\n".join(["[[fault]]", *(pair for pair in pairs if pair), ""])


def parse(text: str, brokers: int) -> list[Fault]:
    """A story of so many brokers, in the order of time. Raises :class:`StoryFault`."""
    try:
        told = tomllib.loads(text).get("fault", [])
    except tomllib.TOMLDecodeError as error:
        raise StoryFault(f"not TOML: {error}") from None
    found = []
    for number, each in enumerate(told, 1):
        if unknown := sorted(set(each) - set(Fault.__dataclass_fields__)):
            raise StoryFault(f"fault {number}: {unknown[0]} is not a key of a fault")
        if each.get("do") not in KINDS:
            raise StoryFault(f"fault {number}: do must be one of {', '.join(KINDS)}")
        try:
            fault = Fault(
                float(each.get("at_s", 0.0)),
                each["do"],
                tuple(each.get("one", ())),
                tuple(each.get("other", ())),
                bool(each.get("both", True)),
                float(each.get("part", 0.0)),
            )
        except (TypeError, ValueError) as error:
            raise StoryFault(f"fault {number}: {error}") from None
        if any(not isinstance(at, int) or not 0 <= at < brokers for at in fault.one + fault.other):
            raise StoryFault(f"fault {number}: one and other must name brokers from 0 to {brokers - 1}")
        if fault.do in ("stall", "resume", "kill", "start", "wiped") and not fault.one:
            raise StoryFault(f"fault {number}: one must say who")
        found.append(fault)
    return sorted(found, key=lambda fault: fault.at_s)


def write(story: Sequence[Fault]) -> str:
    """A story as TOML, to be read and to be played again."""
    return "\n".join(map(str, story))


def draw(random_: random.Random, brokers: int, seconds: float) -> list[Fault]:
    """A story of so many seconds: cuts that overlap, one-way and whole, stalls, crashes with the disk and without,
    losses. What is down or stalled may stay so until the end; :func:`rest` gives what brings all back."""
    everyone, at_s, story = list(range(brokers)), 0.0, list[Fault]()
    down, away = set[int](), set[int]()
    while (at_s := at_s + random_.uniform(0.2, 1.8)) < seconds:
        at = random_.choice(everyone)
        side = tuple(sorted(random_.sample(everyone, random_.randrange(1, brokers))))
        match random_.randrange(8):
            case 0 | 1:
                story.append(Fault(at_s, "cut", side, both=random_.random() < 0.5))
            case 2:
                story.append(Fault(at_s, "heal"))
            case 3 if at not in down:
                story.append(Fault(at_s, "resume" if at in away else "stall", (at,)))
                away ^= {at}
            case 4 | 5 if at in down:
                story.append(Fault(at_s, random_.choice(("start", "wiped")), (at,)))
                down.discard(at)
            case 4 | 5:
                story.append(Fault(at_s, "kill", (at,)))
                down.add(at)
                away.discard(at)
            case 6:
                story.append(Fault(at_s, "loss", part=random_.choice((0.1, 0.4))))
            case _:
                story.append(Fault(at_s, "reset", side))
    return story


def rest(story: Sequence[Fault], at_s: float) -> list[Fault]:
    """What ends a story so that nothing fails any more: links heal, who stalls goes on, who is down is started."""
    down, away = set[int](), set[int]()
    for fault in story:
        who = set(fault.one)
        match fault.do:
            case "kill":
                down |= who
                away -= who
            case "start" | "wiped":
                down -= who
            case "stall":
                away |= who
            case "resume":
                away -= who
    ends = [Fault(at_s, "heal")]
    ends += [Fault(at_s, "resume", tuple(sorted(away)))] if away else []
    return ends + ([Fault(at_s, "start", tuple(sorted(down)))] if down else [])
