"""What the steps of the bitrate ladder are worth to each class, by the settings."""

from __future__ import annotations

import math

from lotuspick.core.settings import ClassSettings, Settings
from lotuspick.core.tuning import PRIORITY_WEIGHT_EXPONENT


class StepValues:
    """The value of each step up the ladder for each kB of it, and how the steps rank."""

    __slots__ = ("bids", "ladder", "ranks", "rung_values")

    def __init__(self, settings: Settings) -> None:
        self.ladder = settings.ladder_kb_per_s
        self.rung_values = settings.rung_values
        self.bids: dict[str, float] = {
            session_class.name: float(session_class.priority_weight) ** PRIORITY_WEIGHT_EXPONENT
            for session_class in settings.classes
        }
        """The weight of each class."""
        highest = len(self.ladder) - 1
        values = sorted(
            self.value(session_class, rung)
            for session_class in settings.classes
            for rung in range(session_class.lowest_rung, min(session_class.highest_rung, highest) + 1)
        )
        self.ranks = {
            session_class.name: self._rank(session_class, values) for session_class in settings.classes
        }
        """For each class and rung the rank of its step among all, from 0 (least) to 1 (most)."""

    def value(self, session_class: ClassSettings, rung: int) -> float:
        """The value of the step up to a rung for each kB of it."""
        below = rung - 1
        below_kb_per_s, below_value = 0.0, 0.0
        if below >= session_class.lowest_rung:
            below_kb_per_s, below_value = self.ladder[below], self.rung_values[below]
        step_kb_per_s = (self.ladder[rung] - below_kb_per_s) * session_class.bitrate_scale
        return self.bids[session_class.name] * (self.rung_values[rung] - below_value) / step_kb_per_s

    def _rank(self, session_class: ClassSettings, values: list[float]) -> list[float]:
        """Rank the steps of a class by the logarithm of their value; its lowest rung ranks first."""
        minimum = max(values[0], 1e-9 * values[-1]) or 1.0
        spread = math.log(max(values[-1], minimum) / minimum) or 1.0
        return [
            1.0
            if rung <= session_class.lowest_rung
            else min(1.0, math.log(max(minimum, self.value(session_class, rung)) / minimum) / spread)
            for rung in range(len(self.ladder))
        ]
