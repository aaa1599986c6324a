"""Evaluation of an experiment: means with confidence intervals, paired differences and bounds."""

from __future__ import annotations

import math
import statistics
from collections.abc import Sequence
from dataclasses import dataclass
from typing import NamedTuple

from scipy import stats

from lotuspick.lab.experiment.experiment_file import Experiment, Measure
from lotuspick.lab.trial_result import Figures

UPPER_QUANTILE = 0.975
"""Quantile of Student's t for a two-sided 95% interval."""
Rows = dict[str, list[Figures]]
"""By arm: the figures of each seed, in the order of the seeds."""


@dataclass(frozen=True, slots=True)
class MeasuredValue:
    """The value of a measure."""

    measure: Measure
    mean: float
    """Mean over the seeds; for a total, the total."""
    low: float
    high: float
    """``low`` and ``high`` are the ends of the 95% interval of the mean, by Student's t over the seeds.

    For a total both are the total.
    """

    @property
    def holds(self) -> bool:
        """Return whether the value is within its bounds."""
        return self.high <= self.measure.most and self.low >= self.measure.least

    @property
    def bound(self) -> str:
        """Return the bound as text; empty if there is none."""
        if self.measure.most < math.inf:
            return f"at most {self.measure.most:g}"
        return f"at least {self.measure.least:g}" if self.measure.least > -math.inf else ""


class Verdict(NamedTuple):
    """Whether all bounds hold."""

    holds: bool
    line: str
    """One line with the verdict and all values."""


def evaluate(experiment: Experiment, rows: Rows) -> list[MeasuredValue]:
    """Return the values of all measures of an experiment."""
    return [_evaluate_measure(measure, rows) for measure in experiment.measures]


def _evaluate_measure(measure: Measure, rows: Rows) -> MeasuredValue:
    values = [figures[measure.value] for figures in rows[measure.arm]]
    if measure.minus:
        subtracted = [figures[measure.value] for figures in rows[measure.minus]]
        values = [value - other for value, other in zip(values, subtracted)]
    values = [value * measure.times for value in values]
    if measure.total:
        total = sum(values)
        return MeasuredValue(measure, total, total, total)
    mean = statistics.fmean(values)
    half_width = _interval_half_width(values)
    return MeasuredValue(measure, mean, mean - half_width, mean + half_width)


def _interval_half_width(values: Sequence[float]) -> float:
    """Return half the width of the 95% interval of a mean; 0 if all values are equal."""
    if len(values) <= 1:
        return 0.0
    deviation = statistics.stdev(values)
    if deviation <= 0:
        return 0.0
    return float(stats.t.ppf(UPPER_QUANTILE, len(values) - 1)) * deviation / math.sqrt(len(values))


def make_verdict(experiment: Experiment, values: Sequence[MeasuredValue], seeds: Sequence[int]) -> Verdict:
    """Return whether all bounds hold, with the line that reports it."""
    holds = all(value.holds for value in values)
    pairs = " ".join(
        f"{value.measure.name}={value.mean:.3g}"
        if value.measure.total
        else f"{value.measure.name}={value.mean:.2f}[{value.low:.2f},{value.high:.2f}]"
        for value in values
    )
    outcome = "holds" if holds else "falls short"
    return Verdict(holds, f"{experiment.name}: {outcome} {pairs} seeds={seeds[0]}-{seeds[-1]}")


def quantile(values: Sequence[float], share: float) -> float:
    """Return the quantile of a sample; ``share`` is between 0 and 1."""
    return float(stats.scoreatpercentile(values, share * 100))
