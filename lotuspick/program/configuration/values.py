"""Readers for single values of JSON and TOML files; each raises a :class:`ConfigError` that names the key."""

from __future__ import annotations

import tomllib
from collections.abc import Mapping
from pathlib import Path
from typing import Any

from lotuspick.program.configuration.model import ConfigError
from lotuspick.protocol import endpoint_events
from lotuspick.protocol.errors import ProtocolError

MAX_SHOWN_CHARACTERS = 40
"""Length to which an error message truncates an invalid value."""


def read_value(table: Mapping[str, Any], key: str, value_type: type, default: Any = None) -> Any:
    """Return the value of a key, which must have the given type; it is required if there is no default."""
    value = table.get(key, default)
    if value is None:
        raise ConfigError(f"{key} is missing")
    if not isinstance(value, value_type):
        raise ConfigError(f"{key} must be {value_type.__name__}, not {str(value)[:MAX_SHOWN_CHARACTERS]!r}")
    return value


def read_number(table: Mapping[str, Any], key: str, default: int, minimum: int) -> int:
    """Return a number, truncated to an integer.

    ``key`` may contain the path of its table for error messages; only its last part is looked up.
    """
    value = table.get(key.rpartition(".")[2], default)
    if isinstance(value, bool) or not isinstance(value, (int, float)) or value < minimum:
        raise ConfigError(
            f"{key} must be a number of {minimum} or more, not {str(value)[:MAX_SHOWN_CHARACTERS]!r}"
        )
    return int(value)


def read_address(table: Mapping[str, Any], key: str) -> tuple[str, int]:
    """Parse a ``host:port``."""
    try:
        return endpoint_events.parse_address(read_value(table, key, str))
    except ProtocolError as error:
        raise ConfigError(f"{key}: {error}") from None


def read_strings(table: Mapping[str, Any], key: str) -> tuple[str, ...]:
    """Return a list of strings, empty if the key is missing."""
    values = read_value(table, key, list, [])
    if not all(isinstance(value, str) for value in values):
        raise ConfigError(f"{key} must be a list of strings")
    return tuple(values)


def read_toml(path: Path | None, default: Path, keys: set[str] | None) -> dict[str, Any]:
    """Read one of the operators' files; a missing file at the default path reads as an empty table.

    Args:
        path: Path from the command line; None: the default path.
        default: The default path.
        keys: Allowed keys; None: the caller checks them.

    Raises:
        ConfigError: the file cannot be read, is not TOML or has an unknown key.
    """
    if path is None and not default.exists():
        return {}
    path = path or default
    try:
        table = tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from None
    except ValueError as error:
        raise ConfigError(f"{path}: not TOML: {error}") from None
    unknown = sorted(set(table) - keys) if keys is not None else []
    if unknown:
        raise ConfigError(f"{path}: {unknown[0]} is not a key of this file")
    return table
