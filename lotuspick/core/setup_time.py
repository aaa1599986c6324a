"""How long the set-up of a session takes, smoothed over those that succeeded."""

from __future__ import annotations

from lotuspick.core.tuning import INITIAL_SETUP_TIME_US

MEAN_WEIGHT = 1 / 8  # of a new measurement in the mean, as in TCP's estimate of the round-trip time
DEVIATION_WEIGHT = 1 / 4  # of a new measurement in the deviation, likewise


class SetupTime:
    """The mean time of a set-up and its mean deviation, in microseconds."""

    __slots__ = ("deviation_us", "mean_us")

    def __init__(self) -> None:
        self.mean_us = float(INITIAL_SETUP_TIME_US)
        self.deviation_us = INITIAL_SETUP_TIME_US / 2

    def observe(self, duration_us: int) -> None:
        """Take the duration of a set-up that succeeded."""
        error = duration_us - self.mean_us
        self.mean_us += error * MEAN_WEIGHT
        self.deviation_us += (abs(error) - self.deviation_us) * DEVIATION_WEIGHT

    def timeout_us(self) -> int:
        """A time in which a normal set-up is done: the mean and four deviations."""
        return int(self.mean_us + 4 * self.deviation_us)
