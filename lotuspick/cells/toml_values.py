"""Typed readers of the values of a parsed TOML plan of cells.

Each function takes a table, a key and the path that names the value in messages. It raises
:class:`~lotuspick.cells.model.PlanError`, which names that path.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Iterator, Mapping
from datetime import datetime
from typing import Any

from lotuspick.cells.model import SECOND, PlanError

MAX_TIME_S = 1e11  # Unix seconds; a larger number must be in another unit


def check_keys(table: Mapping[str, Any], keys: Collection[str], path: str) -> None:
    """Reject a table with an unknown key."""
    unknown = sorted(set(table) - set(keys))
    if unknown:
        raise PlanError(f"{path}.{unknown[0]}".lstrip(".") + " is not a key of this file")


def read_table(table: Mapping[str, Any], key: str, path: str) -> Mapping[str, Any]:
    """Read a nested table; empty if it is missing."""
    value = table.get(key, {})
    if not isinstance(value, dict):
        raise PlanError(f"{path} must be a table, not {value!r:.40}")
    return value


def read_tables(table: Mapping[str, Any], key: str) -> Iterator[tuple[Mapping[str, Any], str]]:
    """Yield the tables of a top-level array, each with its path."""
    for index, value in enumerate(read_list(table, key, "")):
        if not isinstance(value, dict):
            raise PlanError(f"{key}[{index}] must be a table, not {value!r:.40}")
        yield value, f"{key}[{index}]"


def read_list(table: Mapping[str, Any], key: str, path: str) -> list[Any]:
    """Read a list; empty if it is missing. ``path`` is that of the table."""
    value = table.get(key, [])
    if not isinstance(value, list):
        raise PlanError(f"{path}.{key}".lstrip(".") + f" must be a list, not {value!r:.40}")
    return value


def read_strings(table: Mapping[str, Any], key: str, path: str) -> tuple[str, ...]:
    """Read a list of non-empty strings. ``path`` is that of the table."""
    values = read_list(table, key, path)
    for index, value in enumerate(values):
        if not isinstance(value, str) or not value:
            raise PlanError(f"{path}.{key}[{index}] must be a string, not {value!r:.40}")
    return tuple(values)


def read_string(table: Mapping[str, Any], key: str, path: str, default: str | None = None) -> str:
    """Read a string; it is required if there is no default."""
    value = table.get(key, default)
    if value is None:
        raise PlanError(f"{path} is missing")
    if not isinstance(value, str):
        raise PlanError(f"{path} must be a string, not {value!r:.40}")
    return value


def read_number(
    table: Mapping[str, Any],
    key: str,
    path: str,
    default: float | None,
    minimum: float,
    maximum: float = math.inf,
    exclusive: bool = False,
    integral: bool = False,
) -> float:
    """Read a finite number; it is required if there is no default.

    Args:
        table: the table that contains it.
        key: key of the value.
        path: path of the value, for messages.
        default: value if the key is missing; None: the key is required.
        minimum: smallest valid value.
        maximum: largest valid value.
        exclusive: whether the value must be greater than the minimum.
        integral: whether the value must be an integer.
    """
    value = table.get(key, default)
    if value is None:
        raise PlanError(f"{path} is missing")
    valid = isinstance(value, (int, float)) and not isinstance(value, bool) and math.isfinite(value)
    valid = valid and minimum <= value <= maximum and not (exclusive and value <= minimum)
    if not valid or (integral and value != int(value)):
        kind = "an integer" if integral else "a number"
        bound = f" above {minimum:g}" if exclusive else f" of {minimum:g} or more"
        bound += f" and at most {maximum:g}" if maximum < math.inf else ""
        raise PlanError(f"{path} must be {kind}{bound}, not {value!r:.40}")
    return float(value)


def read_integer(table: Mapping[str, Any], key: str, path: str, default: int | None, minimum: int) -> int:
    """Read an integer; see :func:`read_number`."""
    return int(read_number(table, key, path, default, minimum, integral=True))


def read_time(table: Mapping[str, Any], key: str, path: str) -> int:
    """Read a required time as Unix microseconds. ``path`` is that of the table."""
    if key not in table:
        raise PlanError(f"{path}.{key} is missing")
    return parse_time(table[key], f"{path}.{key}")


def parse_time(value: object, path: str) -> int:
    """Convert a time with a UTC offset, or Unix seconds, to Unix microseconds."""
    if isinstance(value, datetime) and value.tzinfo is not None:
        return int(value.timestamp() * SECOND)
    if isinstance(value, (int, float)) and not isinstance(value, bool) and 0 < value < MAX_TIME_S:
        return int(value * SECOND)
    raise PlanError(
        f"{path} must be a time with a UTC offset, such as 2026-12-01T18:00:00Z, not {value!s:.40}"
    )
