"""State that all parts of a day share: specification, seed, clock, audit and operator events."""

from __future__ import annotations

import random
from collections.abc import Callable

import simpy

from lotuspick.core.operator_events import OperatorEvent
from lotuspick.lab.emulator.audit import DayAudit
from lotuspick.lab.emulator.spec import Spec

ONE_WAY_DELAY_US = 600
"""One-way network delay between any two parties."""


class Simulation:
    """The simulated clock, in integer microseconds, and the state shared by all parts of a day."""

    def __init__(self, spec: Spec, seed: int) -> None:
        self.spec = spec
        self.seed = seed
        self.audit = DayAudit()
        self.operator_events: list[OperatorEvent] = []
        self._environment = simpy.Environment()

    @property
    def now_us(self) -> int:
        """Return the current simulated time."""
        return int(self._environment.now)

    def call_later(self, delay_us: int, callback: Callable[[], None]) -> None:
        """Schedule a callback; callbacks due at the same time run in the order of scheduling."""
        self._environment.timeout(delay_us).callbacks.append(lambda _: callback())

    def random_stream(self, name: str) -> random.Random:
        """Return an independent random stream, so that runs differ only in the compared parameter."""
        return random.Random(f"{self.seed} {name}")

    def run_until(self, end_us: int) -> None:
        """Run the simulation up to a time."""
        self._environment.run(until=end_us)
