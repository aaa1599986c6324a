"""Fault scenarios: timelines in TOML that run on the simulated network and on real processes.

    [[fault]]
    at_s = 2.0
    do = "cut"
    one = [0, 1]
    other = [2, 3, 4]

Brokers are identified by number. Without ``other``, the other side is all brokers that are not in ``one``.
"""

from __future__ import annotations

import random
import tomllib
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

from lotuspick.lab.errors import LabError

FAULT_KEYS = frozenset({"at_s", "do", "one", "other", "both", "part"})
"""Keys of a ``[[fault]]``."""
FAULT_INTERVAL_S = (0.2, 1.8)
DRAWN_LOSSES = (0.1, 0.4)


class FaultKind(StrEnum):
    """Kind of a fault. The values are those of the key ``do``."""

    CUT = "cut"
    HEAL = "heal"
    LOSS = "loss"
    DELAY = "delay"
    RESET = "reset"
    STALL = "stall"
    RESUME = "resume"
    KILL = "kill"
    START = "start"
    START_WIPED = "wiped"
    """Start with an empty disk."""


PROCESS_FAULTS = frozenset(
    {FaultKind.STALL, FaultKind.RESUME, FaultKind.KILL, FaultKind.START, FaultKind.START_WIPED}
)
"""Kinds that require a list of brokers."""


class FaultScenarioError(LabError, ValueError):
    """An invalid scenario.

    Attributes:
        problem: Description of the error, with the key.
        fault_number: Number of the invalid fault, from 1; 0: the file is invalid.
    """

    def __init__(self, problem: str, fault_number: int = 0) -> None:
        super().__init__(f"fault {fault_number}: {problem}" if fault_number else problem)
        self.problem = problem
        self.fault_number = fault_number


@dataclass(frozen=True, slots=True)
class Fault:
    """One event of a scenario: a fault, or the end of one."""

    at_s: float
    kind: FaultKind
    brokers: tuple[int, ...] = ()
    """Affected brokers; for a link fault, one side of the links."""
    others: tuple[int, ...] = ()
    """Other side of a link fault; empty: all brokers that are not in ``brokers``."""
    both_ways: bool = True
    """Whether a link fault affects both directions, or only messages from ``brokers`` to ``others``."""
    amount: float = 0.0
    """Share of lost messages (LOSS) or delay in seconds (DELAY)."""

    def __str__(self) -> str:
        pairs = [
            f"at_s = {self.at_s:g}",
            f'do = "{self.kind}"',
            f"one = {list(self.brokers)}" if self.brokers else "",
            f"other = {list(self.others)}" if self.others else "",
            "" if self.both_ways else "both = false",
            f"part = {self.amount:g}" if self.amount else "",
        ]
        return "\n".join(["[[fault]]", *(pair for pair in pairs if pair), ""])


def parse_scenario(text: str, broker_count: int) -> list[Fault]:
    """Parse a scenario for ``broker_count`` brokers; return its faults in order of time.

    Raises:
        FaultScenarioError: The scenario is invalid.
    """
    try:
        entries = tomllib.loads(text).get("fault", [])
    except tomllib.TOMLDecodeError as error:
        raise FaultScenarioError(f"not TOML: {error}") from error
    faults = [_parse_fault(number, entry, broker_count) for number, entry in enumerate(entries, 1)]
    return sorted(faults, key=lambda fault: fault.at_s)


def _parse_fault(number: int, entry: Mapping[str, Any], broker_count: int) -> Fault:
    if unknown := sorted(set(entry) - FAULT_KEYS):
        raise FaultScenarioError(f"{unknown[0]} is not a valid key of a fault", number)
    if entry.get("do") not in list(FaultKind):
        raise FaultScenarioError(f"do must be one of {', '.join(FaultKind)}", number)
    try:
        fault = Fault(
            float(entry.get("at_s", 0.0)),
            FaultKind(entry["do"]),
            tuple(entry.get("one", ())),
            tuple(entry.get("other", ())),
            bool(entry.get("both", True)),
            float(entry.get("part", 0.0)),
        )
    except (TypeError, ValueError) as error:
        raise FaultScenarioError(str(error), number) from error
    named = fault.brokers + fault.others
    if any(not isinstance(broker, int) or not 0 <= broker < broker_count for broker in named):
        raise FaultScenarioError(f"one and other must name brokers from 0 to {broker_count - 1}", number)
    if fault.kind in PROCESS_FAULTS and not fault.brokers:
        raise FaultScenarioError("one must list at least one broker", number)
    return fault


def to_toml(scenario: Sequence[Fault]) -> str:
    """Return a scenario as TOML, which :func:`parse_scenario` accepts."""
    return "\n".join(map(str, scenario))


@dataclass(slots=True)
class _ProcessStates:
    """Brokers that are down or stalled after a sequence of faults."""

    down: set[int] = field(default_factory=set)
    stalled: set[int] = field(default_factory=set)

    def apply(self, fault: Fault) -> None:
        brokers = set(fault.brokers)
        match fault.kind:
            case FaultKind.KILL:
                self.down |= brokers
                self.stalled -= brokers
            case FaultKind.START | FaultKind.START_WIPED:
                self.down -= brokers
            case FaultKind.STALL:
                self.stalled |= brokers
            case FaultKind.RESUME:
                self.stalled -= brokers


def draw_scenario(random_source: random.Random, broker_count: int, seconds: float) -> list[Fault]:
    """Draw a random scenario of overlapping cuts (one-way or both ways), stalls, crashes, losses and resets.

    Brokers may be down or stalled at the end; :func:`recovery_faults` returns the events that recover them.
    """
    brokers = list(range(broker_count))
    states = _ProcessStates()
    scenario: list[Fault] = []
    at_s = 0.0
    while (at_s := at_s + random_source.uniform(*FAULT_INTERVAL_S)) < seconds:
        broker = random_source.choice(brokers)
        side = tuple(sorted(random_source.sample(brokers, random_source.randrange(1, broker_count))))
        fault = _draw_fault(random_source, at_s, broker, side, states)
        states.apply(fault)
        scenario.append(fault)
    return scenario


def _draw_fault(
    random_source: random.Random, at_s: float, broker: int, side: tuple[int, ...], states: _ProcessStates
) -> Fault:
    """Draw a fault that is possible in the current states; for example, only a stopped broker is started."""
    match random_source.randrange(8):
        case 0 | 1:
            return Fault(at_s, FaultKind.CUT, side, both_ways=random_source.random() < 0.5)
        case 2:
            return Fault(at_s, FaultKind.HEAL)
        case 3 if broker not in states.down:
            kind = FaultKind.RESUME if broker in states.stalled else FaultKind.STALL
            return Fault(at_s, kind, (broker,))
        case 4 | 5 if broker in states.down:
            kind = random_source.choice((FaultKind.START, FaultKind.START_WIPED))
            return Fault(at_s, kind, (broker,))
        case 4 | 5:
            return Fault(at_s, FaultKind.KILL, (broker,))
        case 6:
            return Fault(at_s, FaultKind.LOSS, amount=random_source.choice(DRAWN_LOSSES))
        case _:
            return Fault(at_s, FaultKind.RESET, side)


def recovery_faults(scenario: Sequence[Fault], at_s: float) -> list[Fault]:
    """Return the events that end a scenario: heal links, resume stalled and start stopped brokers."""
    states = _ProcessStates()
    for fault in scenario:
        states.apply(fault)
    recovery = [Fault(at_s, FaultKind.HEAL)]
    if states.stalled:
        recovery.append(Fault(at_s, FaultKind.RESUME, tuple(sorted(states.stalled))))
    if states.down:
        recovery.append(Fault(at_s, FaultKind.START, tuple(sorted(states.down))))
    return recovery
