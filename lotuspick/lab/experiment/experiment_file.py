"""One experiment, as its file under ``experiments/`` says."""

from __future__ import annotations

import math
import tomllib
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, NamedTuple

from lotuspick.lab.errors import LabError

FOLDER = Path("experiments")


class ExperimentError(LabError, ValueError):
    """A file that cannot be used.

    Attributes:
        path: The file.
        problem: What is wrong, with the key.
    """

    def __init__(self, path: Path, problem: str) -> None:
        super().__init__(f"{path}: {problem}")
        self.path = path
        self.problem = problem


class SeedRange(NamedTuple):
    """The first and the last of some seeds."""

    first: int
    last: int

    def seeds(self) -> list[int]:
        """All of them."""
        return list(range(self.first, self.last + 1))


@dataclass(frozen=True, slots=True)
class Measure:
    """One figure and its bound. The names of the fields are keys of the file."""

    name: str
    value: str
    """Which figure of a trial."""
    arm: str
    minus: str = ""
    """An arm that is subtracted, seed by seed: then it is the paired difference."""
    times: float = 1.0
    """A factor."""
    most: float = math.inf
    """The upper end of the 95% interval, or the total, may be so much at most."""
    least: float = -math.inf
    """The lower end, or the total, must be so much at least."""
    total: bool = False
    """The sum over seeds in place of the mean."""


@dataclass(frozen=True, slots=True)
class Experiment:
    """The whole file."""

    name: str
    about: str
    trial: str
    """The name of a trial in :mod:`lotuspick.lab.experiment.trials`."""
    world: Mapping[str, Any]
    """Parameters of all arms."""
    arms: Mapping[str, Mapping[str, Any]]
    """Parameters of each arm."""
    measures: tuple[Measure, ...]
    quick: SeedRange
    """Seeds of the small form."""
    full: SeedRange
    """Seeds of the full form."""
    world_full: Mapping[str, Any] = field(default_factory=dict)
    """Parameters that the full form has otherwise."""
    alone: bool = False
    """It times things: its runs come one after the other."""


def load(name: str, folder: Path = FOLDER) -> Experiment:
    """Read ``NAME.toml``.

    Raises:
        ExperimentError: It cannot be read or used.
    """
    path = folder / f"{name}.toml"
    try:
        experiment = _parse(name, tomllib.loads(path.read_text(encoding="utf-8")))
    except OSError as error:
        raise ExperimentError(path, error.strerror or str(error)) from error
    except KeyError as error:
        raise ExperimentError(path, f"{error.args[0]} is missing") from error
    except (ValueError, TypeError) as error:
        raise ExperimentError(path, str(error)) from error
    for measure in experiment.measures:
        for arm in (measure.arm, measure.minus):
            if arm and arm not in experiment.arms:
                raise ExperimentError(path, f"measures.{measure.name}: no arm is named {arm!r}")
    return experiment


def _parse(name: str, content: Mapping[str, Any]) -> Experiment:
    """An experiment; any error is one of its file."""
    measures = tuple(Measure(**{"name": key, **body}) for key, body in content["measures"].items())
    return Experiment(
        name,
        content["about"],
        content["trial"],
        content.get("world", {}),
        content["arms"],
        measures,
        _parse_seeds(content, "quick"),
        _parse_seeds(content, "full"),
        content.get("world_full", {}),
        content.get("alone", False),
    )


def _parse_seeds(content: Mapping[str, Any], key: str) -> SeedRange:
    value = content["seeds"][key]
    if not isinstance(value, list) or len(value) != 2 or not all(isinstance(seed, int) for seed in value):
        raise ValueError(f"seeds.{key} must be [first, last], not {value!r}")
    return SeedRange(value[0], value[1])


def names(folder: Path = FOLDER) -> list[str]:
    """All experiments that there are."""
    return sorted(path.stem for path in folder.glob("*.toml"))
