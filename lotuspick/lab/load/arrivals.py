"""Arrivals drawn ahead, by seed: when each request is to be sent, whatever the broker does meanwhile.

A shape says how many requests a second are wanted at each moment; phases follow one another. Poisson arrivals of a
rate that changes are drawn by time rescaling (Cinlar, *Introduction to Stochastic Processes*, 1975): uniform points
under the integral of the rate, brought back to time through its inverse.
"""

from __future__ import annotations

import math
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass, field

import numpy as np
from numpy.typing import NDArray

GRID_S = 0.01  # the rate's integral is taken in steps of this; a rate that changes faster is blurred by it
CLOSING = math.log(0.5) / math.log(0.9) - 1
SHAPES = ("constant", "ramp", "burst", "sine", "closing")
Floats = NDArray[np.float64]


class LoadError(ValueError):
    """A load that cannot be drawn; the text names the key."""


@dataclass(frozen=True, slots=True)
class Phase:
    """A stretch of load. ``rate`` is requests a second; ``to`` where a ramp ends, the height of a burst, the peak of a
    sine day, or the rate just before closing time."""

    name: str
    seconds: float
    rate: float
    shape: str = "constant"
    to: float = 0.0
    even: bool = False
    """Evenly spaced instead of Poisson."""
    lesson: str = ""
    """A crowd: a part of the requests is for this lesson alone ..."""
    crowd: float = 0.0
    """... and this is the part."""

    def __post_init__(self) -> None:
        for key, value, least in (
            ("seconds", self.seconds, 0.0),
            ("rate", self.rate, 0.0),
            ("to", self.to, 0.0),
        ):
            if not isinstance(value, (int, float)) or not least <= value < math.inf:
                raise LoadError(
                    f"phase {self.name}: {key} must be a number of {least:g} or more, not {value!r}"
                )
        if self.shape not in SHAPES:
            raise LoadError(
                f"phase {self.name}: shape must be one of {', '.join(SHAPES)}, not {self.shape!r}"
            )
        if not 0 <= self.crowd <= 1 or self.crowd and not self.lesson:
            raise LoadError(
                f"phase {self.name}: crowd must be a part from 0 to 1 and lesson name what it is for"
            )

    def rates(self, at: Floats) -> Floats:
        """Requests a second wanted at times since the phase began."""
        part = at / self.seconds if self.seconds else at * 0.0
        match self.shape:
            case "ramp":
                return self.rate + (self.to - self.rate) * part
            case "burst":  # the middle fifth
                return np.where(np.abs(part - 0.5) < 0.1, self.to, self.rate)
            case "sine":  # a day from its quietest hour to the next
                return self.rate + (self.to - self.rate) * (1 - np.cos(2 * math.pi * part)) / 2
            case "closing":  # rises to the last moment: half of what it adds comes in the last tenth
                return self.rate + (self.to - self.rate) * part**CLOSING
            case _:
                return np.full_like(at, self.rate)


@dataclass(frozen=True, slots=True)
class Kind:
    """One class of session among the arrivals."""

    cls: str
    part: float
    least_s: float
    most_s: float

    def __post_init__(self) -> None:
        if not 0 < self.part <= 1 or not 0 < self.least_s <= self.most_s < math.inf:
            raise LoadError(
                f"class {self.cls}: part must be above 0 and at most 1, lengths above 0 and in order"
            )


@dataclass(frozen=True, slots=True)
class Arrival:
    """One request that is to be sent."""

    at_us: int
    """Since the start of the load."""
    session: int
    cls: str
    lesson: str
    tenant: str
    viewer: int
    ceiling: int
    length_us: int
    phase: str = ""


@dataclass(frozen=True, slots=True)
class Load:
    """All of it."""

    phases: Sequence[Phase]
    kinds: Sequence[Kind]
    lessons: int = 200
    tenants: int = 20
    ceilings: Mapping[int, float] = field(default_factory=lambda: {3: 1.0})
    """Highest rungs that viewers can use, and the part of each."""
    skew: float = 0.8
    """Exponent of Zipf's law over lessons and over tenants; 0: all alike."""

    def __post_init__(self) -> None:
        if not self.phases or not self.kinds:
            raise LoadError("a load needs phases and classes")
        for key, parts in (
            ("classes", [kind.part for kind in self.kinds]),
            ("ceilings", list(self.ceilings.values())),
        ):
            if not math.isclose(sum(parts), 1.0, abs_tol=1e-6):
                raise LoadError(f"{key}: parts must add up to 1, not {sum(parts):g}")
        if self.lessons < 1 or self.tenants < 1:
            raise LoadError("lessons and tenants must be 1 or more")


def times(phase: Phase, draw: np.random.Generator) -> Floats:
    """Seconds since the phase began of all its arrivals, in order."""
    steps = max(1, math.ceil(phase.seconds / GRID_S))
    edges = np.linspace(0.0, phase.seconds, steps + 1)
    middles = (edges[1:] + edges[:-1]) / 2
    total = np.concatenate(([0.0], np.cumsum(np.maximum(0.0, phase.rates(middles)) * np.diff(edges))))
    if total[-1] <= 0:
        return np.empty(0)
    if phase.even:
        wanted = np.arange(0.5, total[-1])
    else:
        wanted = np.sort(draw.uniform(0.0, total[-1], draw.poisson(total[-1])))
    return np.interp(wanted, total, edges)


def zipf(count: int, skew: float) -> Floats:
    """Parts of a number of things by Zipf's law, largest first."""
    weights = 1.0 / np.arange(1, count + 1) ** skew
    return np.asarray(weights / weights.sum())


def drawn(load: Load, seed: int) -> Iterator[Arrival]:
    """All arrivals, in order of time; the same seed draws the same ones."""
    draw = np.random.default_rng(seed)
    lessons, tenants = zipf(load.lessons, load.skew), zipf(load.tenants, load.skew)
    owners = draw.choice(load.tenants, load.lessons, p=tenants)
    kinds, rungs = list(load.kinds), list(load.ceilings)
    began_s, number = 0.0, 0
    for phase in load.phases:
        at = times(phase, draw)
        count = len(at)
        cls = draw.choice(len(kinds), count, p=[kind.part for kind in kinds])
        lesson = draw.choice(load.lessons, count, p=lessons)
        ceiling = draw.choice(rungs, count, p=[load.ceilings[rung] for rung in rungs])
        length, crowded = draw.uniform(0.0, 1.0, count), draw.uniform(0.0, 1.0, count) < phase.crowd
        for row in range(count):
            kind, number = kinds[cls[row]], number + 1
            named = phase.lesson if crowded[row] else f"lesson-{lesson[row]}"
            length_s = kind.least_s + length[row] * (kind.most_s - kind.least_s)
            yield Arrival(
                int((began_s + at[row]) * 1e6),
                number,
                kind.cls,
                named,
                f"tenant-{owners[lesson[row]]}",
                number,
                int(ceiling[row]),
                int(length_s * 1e6),
                phase.name,
            )
        began_s += phase.seconds
