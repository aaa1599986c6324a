"""Value per kB of each step up the bitrate ladder, by class."""

from __future__ import annotations

from lotuspick.core.settings import ClassSettings, Settings
from lotuspick.core.tuning import PRIORITY_WEIGHT_EXPONENT


class StepValues:
    """Computes the value per kB of each step up the ladder from the settings."""

    __slots__ = ("class_weights", "ladder", "rung_values")

    def __init__(self, settings: Settings) -> None:
        self.ladder = settings.ladder_kb_per_s
        self.rung_values = settings.rung_values
        self.class_weights: dict[str, float] = {
            session_class.name: float(session_class.priority_weight) ** PRIORITY_WEIGHT_EXPONENT
            for session_class in settings.classes
        }
        """The weight of each class."""

    def value(self, session_class: ClassSettings, rung: int) -> float:
        """Return the value per kB of the step up to a rung."""
        below = rung - 1
        below_kb_per_s, below_value = 0.0, 0.0
        if below >= session_class.lowest_rung:
            below_kb_per_s, below_value = self.ladder[below], self.rung_values[below]
        step_kb_per_s = (self.ladder[rung] - below_kb_per_s) * session_class.bitrate_scale
        return self.class_weights[session_class.name] * (self.rung_values[rung] - below_value) / step_kb_per_s
