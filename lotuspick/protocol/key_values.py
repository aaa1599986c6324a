"""Readers of ``name=value`` fields, the format of the simulator's protocol and of the site's settings."""

from __future__ import annotations

import math

from lotuspick.errors import LotuspickError

Fields = dict[str, str]
"""The fields of one line, or the settings as path=value pairs."""


class FormatError(LotuspickError):
    """A malformed line or field; the text names the field."""


def split_fields(parts: list[str]) -> Fields:
    """Parse the fields of a line that was split at its spaces."""
    fields: Fields = {}
    for part in parts:
        name, equals, value = part.partition("=")
        if not equals or not name:
            raise FormatError(f"{part!r} is not name=value")
        fields[name] = value
    return fields


def required(fields: Fields, name: str) -> str:
    """Return the text of a required field."""
    try:
        return fields[name]
    except KeyError:
        raise FormatError(f"{name} is missing") from None


def read_integer(fields: Fields, name: str, default: int | None = None) -> int:
    """Read an integer; a field without a default is required."""
    if default is not None and name not in fields:
        return default
    text = required(fields, name)
    try:
        return int(text)
    except ValueError:
        raise FormatError(f"{name} is not a whole number: {text!r}") from None


def read_float(fields: Fields, name: str, default: float | None = None) -> float:
    """Read a finite number; a field without a default is required."""
    if default is not None and name not in fields:
        return default
    text = required(fields, name)
    try:
        value = float(text)
    except ValueError:
        raise FormatError(f"{name} is not a number: {text!r}") from None
    if not math.isfinite(value):
        raise FormatError(f"{name} is not a finite number: {text!r}")
    return value


def read_flag(fields: Fields, name: str) -> bool:
    """Read a flag; an absent one is false."""
    return fields.get(name, "0") in ("1", "true")


def read_list(fields: Fields, name: str) -> list[str]:
    """Read a comma-separated list; an absent or empty field is an empty list."""
    text = fields.get(name, "")
    return text.split(",") if text else []


def parse_number_or_none(text: str | None) -> float | None:
    """Parse an untrusted reading, which may be NaN or infinite; None if it is not a number."""
    try:
        return None if text is None else float(text)
    except ValueError:
        return None
