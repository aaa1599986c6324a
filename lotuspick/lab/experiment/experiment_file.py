"""Reading of experiment files, ``experiments/NAME.toml``."""

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
    """An experiment file cannot be read or is invalid.

    Attributes:
        path: The file.
        problem: Description of the problem; names the key.
    """

    def __init__(self, path: Path, problem: str) -> None:
        super().__init__(f"{path}: {problem}")
        self.path = path
        self.problem = problem


class SeedRange(NamedTuple):
    """A range of seeds, both ends included."""

    first: int
    last: int

    def seeds(self) -> list[int]:
        """Return all seeds of the range."""
        return list(range(self.first, self.last + 1))


@dataclass(frozen=True, slots=True)
class Measure:
    """A figure of an arm and its bounds. The field names are keys of the file."""

    name: str
    value: str
    """Name of the figure in the trial's result."""
    arm: str
    minus: str = ""
    """Arm that is subtracted seed by seed, which makes the measure a paired difference."""
    times: float = 1.0
    """Factor on all values, such as for a change of unit."""
    most: float = math.inf
    """Maximum of the upper end of the 95% interval, or of the total."""
    least: float = -math.inf
    """Minimum of the lower end of the 95% interval, or of the total."""
    total: bool = False
    """Whether the measure is the sum over the seeds rather than the mean."""


@dataclass(frozen=True, slots=True)
class Experiment:
    """The content of an experiment file."""

    name: str
    about: str
    trial: str
    """Name of a trial in :mod:`lotuspick.lab.experiment.trials`."""
    world: Mapping[str, Any]
    """Parameters common to all arms."""
    arms: Mapping[str, Mapping[str, Any]]
    """Parameters by arm."""
    measures: tuple[Measure, ...]
    quick: SeedRange
    """Seeds of ``lab verify``."""
    full: SeedRange
    """Seeds of ``lab run``."""
    world_full: Mapping[str, Any] = field(default_factory=dict)
    """Parameters that ``lab run`` overrides in ``world``."""
    alone: bool = False
    """Whether trials run one at a time, because the experiment measures time."""


def load(name: str, folder: Path = FOLDER) -> Experiment:
    """Read ``NAME.toml``.

    Raises:
        ExperimentError: The file cannot be read or is invalid.
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
    """Return the experiment of a parsed file; errors are wrapped by :func:`load`."""
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
    """Return the names of all experiments in a folder."""
    return sorted(path.stem for path in folder.glob("*.toml"))
