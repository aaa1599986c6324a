"""Shared checks of numeric fields; errors name the owner and the field."""

from __future__ import annotations

import math
from typing import TypeGuard


def require_positive(owner: str, **values: float) -> None:
    """Raise ``ValueError`` unless each value is a finite number above 0."""
    for name, value in values.items():
        if value is None:
            raise ValueError(f"{owner}.{name} is missing")
        if isinstance(value, bool) or not isinstance(value, (int, float)) or not 0 < value < math.inf:
            raise ValueError(f"{owner}.{name} must be above 0, not {value!r}")


def require_not_negative(owner: str, **values: float) -> None:
    """Raise ``ValueError`` unless each value is a finite number of 0 or more."""
    for name, value in values.items():
        if value is None:
            raise ValueError(f"{owner}.{name} is missing")
        if isinstance(value, bool) or not isinstance(value, (int, float)) or not 0 <= value < math.inf:
            raise ValueError(f"{owner}.{name} must be a number of 0 or more, not {value!r}")


def require_seed(seed: int) -> None:
    """Raise ``ValueError``, as for all settings, unless the random seed is an integer."""
    if isinstance(seed, bool) or not isinstance(seed, int):
        raise ValueError(f"seed must be an integer, not {seed!r}")  # noqa: TRY004


def is_not_negative(value: float | None) -> TypeGuard[float]:
    """Return whether a reading is a finite number of 0 or more."""
    return isinstance(value, (int, float)) and 0 <= value < math.inf


def is_positive(value: float | None) -> TypeGuard[float]:
    """Return whether a reading is a finite number above 0."""
    return is_not_negative(value) and value > 0
