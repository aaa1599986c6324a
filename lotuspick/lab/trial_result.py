"""What a trial of an experiment takes and returns."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, NamedTuple

Parameters = Mapping[str, Any]
"""Parameters of a trial, as an experiment's file gives them."""
Figures = dict[str, float]
"""Figures of one run by name: a row of the experiment's table."""
Samples = dict[str, list[float]]
"""Single values by name; they are pooled over the seeds."""


class TrialResult(NamedTuple):
    """What one run found."""

    figures: Figures
    samples: Samples
