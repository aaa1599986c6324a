"""One experiment, as its file under ``experiments/`` says."""

from __future__ import annotations

import math
import tomllib
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

FOLDER = Path("experiments")


class ExperimentError(ValueError):
    """A file that cannot be used; the text names the file and the key."""


@dataclass(frozen=True, slots=True)
class Measure:
    """One figure and its bound. With ``minus`` it is the paired difference of two arms, over seeds."""

    name: str
    value: str
    """Which figure of a trial."""
    arm: str
    minus: str = ""
    times: float = 1.0
    most: float = math.inf
    """The upper end of the 95% interval, or the total, may be so much at most."""
    least: float = -math.inf
    """The lower end, or the total, must be so much at least."""
    total: bool = False
    """The sum over seeds instead of the mean."""


@dataclass(frozen=True, slots=True)
class Experiment:
    """The whole file."""

    name: str
    about: str
    trial: str
    """The name of a function in :mod:`lotuspick.lab.experiment.trials`."""
    world: Mapping[str, Any]
    arms: Mapping[str, Mapping[str, Any]]
    measures: tuple[Measure, ...]
    quick: tuple[int, int]
    """First and last seed of the small form."""
    full: tuple[int, int]
    world_full: Mapping[str, Any] = field(default_factory=dict)
    """What the full form has otherwise."""
    alone: bool = False
    """It times things: its runs come one after the other."""


def load(name: str, folder: Path = FOLDER) -> Experiment:
    """Read ``experiments/NAME.toml``. Raises :class:`ExperimentError`."""
    path = folder / f"{name}.toml"
    try:
        told = tomllib.loads(path.read_text(encoding="utf-8"))
        measures = tuple(Measure(**{"name": key, **body}) for key, body in told["measures"].items())
        made = Experiment(
            name,
            told["about"],
            told["trial"],
            told.get("world", {}),
            told["arms"],
            measures,
            _span(told, "quick"),
            _span(told, "full"),
            told.get("world_full", {}),
            told.get("alone", False),
        )
    except OSError as error:
        raise ExperimentError(f"{path}: {error.strerror}") from None
    except KeyError as error:
        raise ExperimentError(f"{path}: {error.args[0]} is missing") from None
    except (ValueError, TypeError) as error:
        raise ExperimentError(f"{path}: {error}") from None
    for measure in made.measures:
        for arm in (measure.arm, measure.minus):
            if arm and arm not in made.arms:
                raise ExperimentError(f"{path}: measures.{measure.name}: no arm is named {arm!r}")
    return made


def names(folder: Path = FOLDER) -> list[str]:
    """All experiments that there are."""
    return sorted(path.stem for path in folder.glob("*.toml"))


def _span(told: Mapping[str, Any], key: str) -> tuple[int, int]:
    value = told["seeds"][key]
    if not isinstance(value, list) or len(value) != 2 or not all(isinstance(each, int) for each in value):
        raise ValueError(f"seeds.{key} must be [first, last], not {value!r}")
    return value[0], value[1]
