"""Reads the seats file, which enables entitlement tokens for paid sessions."""

from __future__ import annotations

from pathlib import Path
from typing import Any

from lotuspick.core.settings import RetrySafety, Settings
from lotuspick.program.configuration.model import ConfigError, SeatsConfig
from lotuspick.program.configuration.values import read_number, read_toml, read_value

DEFAULT_SEATS_PATH = Path("deploy/seats.toml")
PATH_KEYS = ("keys", "store", "revoked", "proofs")
REQUIRED_PATH_KEYS = ("keys", "store")
DEFAULT_NUMBERS = {"store_mib": 256, "skew_s": 60, "grace_s": 30, "keep_days": 30}
DEFAULT_RETRY_AFTER_S = 1.0
MAX_RETRY_AFTER_S = 3_600
SECONDS_PER_DAY = 86_400.0


def read_seats(settings: Settings, path: Path | None = None) -> SeatsConfig | None:
    """Read the seats file; return None if it is missing or not enabled, so that no session needs a token.

    Raises:
        ConfigError: the file is invalid.
    """
    keys = {"audience", "enabled", "classes", "required", "gap_s", *PATH_KEYS, *DEFAULT_NUMBERS}
    table = read_toml(path, DEFAULT_SEATS_PATH, keys)
    path = path or DEFAULT_SEATS_PATH
    try:
        if not read_value(table, "enabled", bool, False):
            return None
        return _parse_seats(table, path.parent, settings)
    except ConfigError as error:
        raise ConfigError(f"{path}: {error}") from None


def _parse_seats(table: dict[str, Any], folder: Path, settings: Settings) -> SeatsConfig:
    from lotuspick.entitlement.seat_session import EntitlementRules

    classes = _parse_classes(table, settings)
    numbers = {
        key: read_number(table, key, default, 1 if key == "store_mib" else 0)
        for key, default in DEFAULT_NUMBERS.items()
    }
    paths = {
        key: folder / read_value(table, key, str)
        for key in PATH_KEYS
        if key in table or key in REQUIRED_PATH_KEYS
    }
    retry_after_s = _parse_retry_after_s(table)
    audience = read_value(table, "audience", str)
    required = read_value(table, "required", bool, True)
    return SeatsConfig(
        audience=audience,
        keys=paths["keys"],
        store=paths["store"],
        store_mib=numbers["store_mib"],
        rules=EntitlementRules(classes, required, retry_after_s, numbers["keep_days"] * SECONDS_PER_DAY),
        skew_s=numbers["skew_s"],
        grace_s=numbers["grace_s"],
        revoked=paths.get("revoked"),
        proofs=paths.get("proofs"),
    )


def _parse_classes(table: dict[str, Any], settings: Settings) -> frozenset[str]:
    """Read the classes whose sessions take seats; the default is all classes that are not idempotent."""
    paid = {
        session_class.name
        for session_class in settings.classes
        if session_class.retry_safety is RetrySafety.NOT_IDEMPOTENT
    }
    classes = read_value(table, "classes", list, sorted(paid))
    for name in classes:
        if name not in paid:
            raise ConfigError(f"classes: {name!r} is not a paid class of the settings")
    return frozenset(classes)


def _parse_retry_after_s(table: dict[str, Any]) -> float:
    retry_after_s = table.get("gap_s", DEFAULT_RETRY_AFTER_S)
    if (
        isinstance(retry_after_s, bool)
        or not isinstance(retry_after_s, (int, float))
        or not 0 <= retry_after_s <= MAX_RETRY_AFTER_S
    ):
        raise ConfigError(f"gap_s must be a number from 0 to 3600, not {str(retry_after_s)[:40]!r}")
    return float(retry_after_s)
