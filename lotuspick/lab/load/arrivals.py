"""Request arrivals, drawn in advance from a seed and independent of the broker's answers.

A load is a sequence of phases; the shape of a phase gives its request rate over time. Poisson arrivals with
a varying rate are drawn by time rescaling (Cinlar, *Introduction to Stochastic Processes*, 1975): uniform
points are drawn under the integral of the rate, and its inverse maps them to times.
"""

from __future__ import annotations

import math
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass, field
from enum import StrEnum

import numpy as np
from numpy.typing import NDArray

from lotuspick.lab.errors import LabError

GRID_STEP_S = 0.01  # step of the numerical integration; faster changes of the rate are smoothed
CLOSING_EXPONENT = (
    math.log(0.5) / math.log(0.9) - 1
)  # half of the additional requests arrive in the last tenth
BURST_HALF_WIDTH = 0.1  # as a fraction of the phase, on each side of its middle
SHARE_TOLERANCE = 1e-6
US_PER_S = 1e6
Floats = NDArray[np.float64]


class LoadError(LabError, ValueError):
    """A load profile or a trace is invalid; the message names the key or the line."""


class Shape(StrEnum):
    """How the rate changes over a phase."""

    CONSTANT = "constant"
    RAMP = "ramp"
    """Changes linearly to the target."""
    BURST = "burst"
    """At the target rate in the middle fifth."""
    SINE = "sine"
    """One period of a daily cycle, from minimum to minimum; the target is the maximum."""
    CLOSING = "closing"
    """Rises ever faster towards the end, up to the target."""


@dataclass(frozen=True, slots=True)
class Phase:
    """A part of a load with one shape of the rate."""

    name: str
    seconds: float
    rate: float
    """Requests per second at the start."""
    shape: str = Shape.CONSTANT
    target_rate: float = 0.0
    """Rate that the shape reaches, in requests per second."""
    evenly_spaced: bool = False
    """Whether arrivals are evenly spaced rather than Poisson."""
    hot_title: str = ""
    """Title of a flash crowd."""
    hot_title_share: float = 0.0
    """Share of the requests that are for ``hot_title``."""

    def __post_init__(self) -> None:
        for key in ("seconds", "rate", "target_rate"):
            value = getattr(self, key)
            if not isinstance(value, (int, float)) or not 0.0 <= value < math.inf:
                raise LoadError(f"phase {self.name}: {key} must be a number of 0 or more, not {value!r}")
        if self.shape not in list(Shape):
            raise LoadError(f"phase {self.name}: shape must be one of {', '.join(Shape)}, not {self.shape!r}")
        if not 0 <= self.hot_title_share <= 1 or (self.hot_title_share and not self.hot_title):
            raise LoadError(
                f"phase {self.name}: hot_title_share must be from 0 to 1, and hot_title set if it is above 0"
            )

    def rates(self, at_s: Floats) -> Floats:
        """Return the requests per second at times since the start of the phase."""
        progress = at_s / self.seconds if self.seconds else at_s * 0.0
        increase = self.target_rate - self.rate
        match self.shape:
            case Shape.RAMP:
                return self.rate + increase * progress
            case Shape.BURST:
                return np.where(np.abs(progress - 0.5) < BURST_HALF_WIDTH, self.target_rate, self.rate)
            case Shape.SINE:
                return self.rate + increase * (1 - np.cos(2 * math.pi * progress)) / 2
            case Shape.CLOSING:
                return self.rate + increase * progress**CLOSING_EXPONENT
            case _:
                return np.full_like(at_s, self.rate)


@dataclass(frozen=True, slots=True)
class ClassShare:
    """A class of sessions, its share of the arrivals and its range of lengths."""

    session_class: str
    share: float
    min_length_s: float
    max_length_s: float

    def __post_init__(self) -> None:
        if not 0 < self.share <= 1 or not 0 < self.min_length_s <= self.max_length_s < math.inf:
            raise LoadError(
                f"class {self.session_class}: share must be above 0 and at most 1, "
                "min_length_s above 0 and at most max_length_s"
            )


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request to be sent."""

    at_us: int
    """Send time since the start of the load."""
    session: int
    session_class: str
    title: str
    tenant: str
    viewer: int
    highest_rung: int
    length_us: int
    phase: str = ""


@dataclass(frozen=True, slots=True)
class LoadProfile:
    """Parameters of a load."""

    phases: Sequence[Phase]
    classes: Sequence[ClassShare]
    titles: int = 200
    tenants: int = 20
    rung_shares: Mapping[int, float] = field(default_factory=lambda: {3: 1.0})
    """Shares of viewers by the highest rung that they can use."""
    skew: float = 0.8
    """Zipf exponent over titles and over tenants; 0 is a uniform distribution."""

    def __post_init__(self) -> None:
        if not self.phases or not self.classes:
            raise LoadError("a load needs at least one entry in phases and in classes")
        for key, shares in (
            ("classes", [each.share for each in self.classes]),
            ("rung_shares", list(self.rung_shares.values())),
        ):
            if not math.isclose(sum(shares), 1.0, abs_tol=SHARE_TOLERANCE):
                raise LoadError(f"{key}: shares must add up to 1, not {sum(shares):g}")
        if self.titles < 1 or self.tenants < 1:
            raise LoadError("titles and tenants must be 1 or more")


def arrival_times(phase: Phase, generator: np.random.Generator) -> Floats:
    """Return the arrival times of a phase in seconds since its start, sorted."""
    steps = max(1, math.ceil(phase.seconds / GRID_STEP_S))
    edges = np.linspace(0.0, phase.seconds, steps + 1)
    middles = (edges[1:] + edges[:-1]) / 2
    requests = np.cumsum(np.maximum(0.0, phase.rates(middles)) * np.diff(edges))
    integral = np.concatenate(([0.0], requests))
    total = integral[-1]
    if total <= 0:
        return np.empty(0)
    if phase.evenly_spaced:
        points = np.arange(0.5, total)
    else:
        points = np.sort(generator.uniform(0.0, total, generator.poisson(total)))
    return np.interp(points, integral, edges)


def zipf_shares(count: int, skew: float) -> Floats:
    """Return ``count`` shares by Zipf's law, largest first."""
    weights = 1.0 / np.arange(1, count + 1) ** skew
    return np.asarray(weights / weights.sum())


def draw_arrivals(profile: LoadProfile, seed: int) -> Iterator[Arrival]:
    """Draw all arrivals in order of time; the same seed gives the same arrivals."""
    generator = np.random.default_rng(seed)
    title_shares = zipf_shares(profile.titles, profile.skew)
    tenant_shares = zipf_shares(profile.tenants, profile.skew)
    owners = generator.choice(profile.tenants, profile.titles, p=tenant_shares)
    start_s, first_session = 0.0, 1
    for phase in profile.phases:
        phase_arrivals = _draw_phase(profile, phase, start_s, first_session, generator, title_shares, owners)
        yield from phase_arrivals
        start_s += phase.seconds
        first_session += len(phase_arrivals)


def _draw_phase(
    profile: LoadProfile,
    phase: Phase,
    start_s: float,
    first_session: int,
    generator: np.random.Generator,
    title_shares: Floats,
    owners: NDArray[np.int64],
) -> list[Arrival]:
    """Draw the arrivals of a phase; sessions and viewers are numbered from ``first_session`` on."""
    classes, rungs = list(profile.classes), list(profile.rung_shares)
    at_s = arrival_times(phase, generator)
    count = len(at_s)
    class_index = generator.choice(len(classes), count, p=[each.share for each in classes])
    title_index = generator.choice(profile.titles, count, p=title_shares)
    highest_rung = generator.choice(rungs, count, p=[profile.rung_shares[rung] for rung in rungs])
    length_fraction = generator.uniform(0.0, 1.0, count)
    is_hot_title = generator.uniform(0.0, 1.0, count) < phase.hot_title_share
    arrivals = []
    for row in range(count):
        chosen = classes[class_index[row]]
        length_s = chosen.min_length_s + length_fraction[row] * (chosen.max_length_s - chosen.min_length_s)
        session = first_session + row
        arrivals.append(
            Arrival(
                at_us=int((start_s + at_s[row]) * US_PER_S),
                session=session,
                session_class=chosen.session_class,
                title=phase.hot_title if is_hot_title[row] else f"lesson-{title_index[row]}",
                tenant=f"tenant-{owners[title_index[row]]}",
                viewer=session,
                highest_rung=int(highest_rung[row]),
                length_us=int(length_s * US_PER_S),
                phase=phase.name,
            )
        )
    return arrivals
