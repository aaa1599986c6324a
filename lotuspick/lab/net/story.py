"""Faults as a story: a timeline in TOML that is played alike on the simulated network and on real processes.

    [[fault]]
    at_s = 2.0
    do = "cut"
    one = [0, 1]
    other = [2, 3, 4]

Brokers are named by their numbers; without ``other`` all that are not in ``one`` are meant.
"""

from __future__ import annotations

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
        pairs = [f"at_s = {self.at_s:g}", f'do = "{self.do}"', f"one = {list(self.one)}" if self.one else "",
                 f"other = {list(self.other)}" if self.other else "", "" if self.both else "both = false",
                 f"part = {self.part:g}" if self.part else ""]
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
            fault = Fault(float(each.get("at_s", 0.0)), each["do"], tuple(each.get("one", ())),
                          tuple(each.get("other", ())), bool(each.get("both", True)), float(each.get("part", 0.0)))
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
