"""Structured fields (RFC 9651) with typed keys, shared by CMCD and CMSD; parsed by ``http_sf``."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from decimal import Decimal
from typing import Any

import http_sf
from http_sf import Token

from lotuspick.protocol.errors import ProtocolError, check_size

MAX_KEYS = 64
MAX_STRING_LENGTH = 1_024

INTEGER, BOOLEAN, STRING, NUMBER, TOKEN = "a whole number", "a boolean", "a string", "a number", "a token"

# CMCD and CMSD share the values of tokens and the unit of rates.
TOKEN_VALUES = {
    "ot": frozenset(["m", "a", "v", "av", "i", "c", "tt", "k", "o"]),
    "sf": frozenset(["d", "h", "s", "o"]),
    "st": frozenset(["v", "l"]),
}
KB_PER_KBIT = 1 / 8


def parse(text: str, kind: str, name: str) -> Any:
    """Parse a dictionary or list of structured fields; ``name`` is used in errors."""
    check_size(len(text), name)
    try:
        return http_sf.parse(text.encode("ascii"), tltype=kind)
    except UnicodeEncodeError:
        raise ProtocolError(f"{name} is not ASCII") from None
    except http_sf.StructuredFieldError as error:
        raise ProtocolError(f"{name}: {error}") from None


def strip_parameters(value: Any) -> Any:
    """Return the value of an item or inner list without its parameters."""
    return [strip_parameters(item) for item in value[0]] if isinstance(value[0], list) else value[0]


def select_known(pairs: Iterable[tuple[str, Any]], types: Mapping[str, str], name: str) -> dict[str, Any]:
    """Return the known keys with checked types.

    Unknown keys are ignored: later versions and custom keys of vendors may appear.
    """
    known: dict[str, Any] = {}
    for count, (key, value) in enumerate(pairs):
        if count >= MAX_KEYS:
            raise ProtocolError(f"{name} has more than {MAX_KEYS} keys")
        if key in types:
            known[key] = _check_type(key, value, types[key], TOKEN_VALUES.get(key))
    return known


def _check_type(key: str, value: Any, kind: str, allowed: frozenset[str] | None) -> Any:
    if isinstance(value, list) and len(value) == 1:  # version 2 wraps some values in inner lists
        value = value[0]
    is_valid = {
        INTEGER: isinstance(value, int) and not isinstance(value, bool) and value >= 0,
        BOOLEAN: isinstance(value, bool),
        STRING: isinstance(value, str) and not isinstance(value, Token) and len(value) <= MAX_STRING_LENGTH,
        NUMBER: isinstance(value, (int, float, Decimal)) and not isinstance(value, bool) and value >= 0,
        TOKEN: isinstance(value, Token),
    }[kind]
    if not is_valid:
        raise ProtocolError(f"{key} must be {kind}, not {str(value)[:40]!r}")
    if allowed is not None and str(value) not in allowed:
        raise ProtocolError(f"{key} must be one of {', '.join(sorted(allowed))}, not {str(value)[:40]!r}")
    return float(value) if kind == NUMBER else str(value) if kind in (STRING, TOKEN) else value
