"""Types of the parameters and results of trials."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, NamedTuple

Parameters = Mapping[str, Any]
"""Parameters of a trial, from an experiment file."""
Figures = dict[str, float]
"""Figures of one run by name; a row of the experiment's table."""
Samples = dict[str, list[float]]
"""Lists of individual values by name; they are pooled over the seeds."""


class TrialResult(NamedTuple):
    """The result of one run."""

    figures: Figures
    samples: Samples
