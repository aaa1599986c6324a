"""Draws the scenario of a soak from its seed: signals, stalls, connection bursts and client behavior."""

from __future__ import annotations

import random
import signal
from dataclasses import dataclass

SIGNAL_SEQUENCES: tuple[tuple[signal.Signals, ...], ...] = (
    (signal.SIGTERM,),
    (signal.SIGTERM, signal.SIGTERM),
    (signal.SIGHUP, signal.SIGTERM),
    (signal.SIGTERM, signal.SIGHUP),
    (signal.SIGHUP, signal.SIGHUP, signal.SIGTERM, signal.SIGTERM),
)
SIGNAL_INTERVAL_S = (0.0, 0.05)
ROUNDS = (2, 3)
SERVING_S = (1.0, 2.5)
"""Time from readiness of a process until its signals."""
STALL_DURATION_S = (0.05, 0.5)
MAX_STALLS = 2
STALL_SPACING_S = (0.5, 1.0)
"""Running time between two stalls, which would otherwise merge into one longer stall."""
SHUTDOWN_STALL_AFTER_S = (0.5, 2.5)
EARLY_SIGTERM_DELAY_S = (0.0, 0.6)
"""Delay of SIGTERM after the launch of a process that is stopped before it is ready."""
CONNECTIONS = (8, 24)
BURST_SHARE = 0.4
BURST_CONNECTIONS = (60, 140)
"""Number of connections opened at once; more than the limits of a soak's broker admit."""


@dataclass(frozen=True, slots=True)
class Stall:
    """A pause of the broker process."""

    after_s: float
    """Delay after the broker became ready."""
    duration_s: float


@dataclass(frozen=True, slots=True)
class Round:
    """The lifetime of one broker process, from launch to exit."""

    early_sigterm_s: float | None
    """If set, an additional process is launched first and gets SIGTERM after this delay."""
    serving_s: float
    stalls: tuple[Stall, ...]
    shutdown_stall: Stall | None
    """Stall during shutdown; its ``after_s`` counts from SIGTERM."""
    signals: tuple[signal.Signals, ...]
    signal_interval_s: float
    burst_after_sigterm: bool
    """Whether the connection burst starts after SIGTERM instead of during service."""


@dataclass(frozen=True, slots=True)
class SoakScenario:
    """All random choices for one seed."""

    rounds: tuple[Round, ...]
    connections: int
    burst_connections: int
    """Connections of the burst in each round; 0 for no burst."""
    log_is_read: bool
    log_level: str
    coordinator_stalls: bool
    viewers_cancel: bool


def draw_scenario(seed: int, *, always_burst: bool = False) -> SoakScenario:
    """Draw the scenario of a seed; the rounds do not depend on ``always_burst``."""
    random_source = random.Random(f"soak {seed}")
    return SoakScenario(
        rounds=tuple(
            _draw_round(random_source, first=number == 0) for number in range(random_source.randint(*ROUNDS))
        ),
        connections=random_source.randint(*CONNECTIONS),
        burst_connections=random_source.randint(*BURST_CONNECTIONS)
        if random_source.random() < BURST_SHARE or always_burst
        else 0,
        log_is_read=random_source.random() < 0.75,
        log_level=random_source.choice(("info", "debug")),
        coordinator_stalls=random_source.random() < 0.5,
        viewers_cancel=random_source.random() < 0.7,
    )


def _draw_round(random_source: random.Random, *, first: bool) -> Round:
    serving_s = random_source.uniform(*SERVING_S)
    stalls = list[Stall]()
    for _ in range(random_source.randint(0, MAX_STALLS)):
        ended_s = stalls[-1].after_s + stalls[-1].duration_s if stalls else 0.0
        stalls.append(
            Stall(ended_s + random_source.uniform(*STALL_SPACING_S), random_source.uniform(*STALL_DURATION_S))
        )
    has_early_sigterm = not first and random_source.random() < 0.4
    has_shutdown_stall = random_source.random() < 0.4
    return Round(
        early_sigterm_s=random_source.uniform(*EARLY_SIGTERM_DELAY_S) if has_early_sigterm else None,
        serving_s=serving_s,
        stalls=tuple(stalls),
        shutdown_stall=(
            Stall(random_source.uniform(*SHUTDOWN_STALL_AFTER_S), random_source.uniform(*STALL_DURATION_S))
            if has_shutdown_stall
            else None
        ),
        signals=random_source.choice(SIGNAL_SEQUENCES),
        signal_interval_s=random_source.uniform(*SIGNAL_INTERVAL_S),
        burst_after_sigterm=random_source.random() < 0.5,
    )
