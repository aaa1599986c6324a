"""Smoothed duration of successful session set-ups."""

from __future__ import annotations

from lotuspick.core import tuning


class SetupTime:
    """Mean set-up time and its mean deviation, in microseconds."""

    __slots__ = ("deviation_us", "mean_us")

    def __init__(self) -> None:
        self.mean_us = float(tuning.INITIAL_SETUP_TIME_US)
        self.deviation_us = tuning.INITIAL_SETUP_TIME_US / 2

    def observe(self, duration_us: int) -> None:
        """Record the duration of a successful set-up."""
        error = duration_us - self.mean_us
        self.mean_us += error * tuning.SETUP_TIME_MEAN_WEIGHT
        self.deviation_us += (abs(error) - self.deviation_us) * tuning.SETUP_TIME_DEVIATION_WEIGHT

    def timeout_us(self) -> int:
        """Return the time-out of a set-up: the mean plus ``SETUP_TIMEOUT_DEVIATIONS`` mean deviations."""
        return int(self.mean_us + tuning.SETUP_TIMEOUT_DEVIATIONS * self.deviation_us)
