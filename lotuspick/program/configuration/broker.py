"""Reads the broker's configuration from the JSON file that the platform writes and from the environment."""

from __future__ import annotations

import json
from collections.abc import Iterator, Mapping
from pathlib import Path
from typing import TYPE_CHECKING, Any

from lotuspick.program.configuration.entitlement import read_seats
from lotuspick.program.configuration.membership import read_peers
from lotuspick.program.configuration.model import Config, ConfigError, HintsConfig, TenantsConfig
from lotuspick.program.configuration.subsystems import read_cells, read_hints, read_tenants
from lotuspick.program.configuration.values import read_address, read_number, read_value
from lotuspick.protocol import endpoint_events
from lotuspick.protocol.errors import ProtocolError
from lotuspick.protocol.key_values import FormatError, read_integer
from lotuspick.protocol.site_settings import read_settings

if TYPE_CHECKING:
    from lotuspick.cells.model import Plan

DEFAULT_MEMORY_MB = 192
DEFAULT_MAX_DESCRIPTORS = 1_024
MIN_DESCRIPTORS = 64
DEFAULT_PERIOD_US = 10_000
MIN_PERIOD_US = 1_000
DEFAULT_DIAL_TIMEOUT_US = 250_000
DEFAULT_IDLE_TIMEOUT_US = 30_000_000
DEFAULT_STREAMS_PER_CONNECTION = 32
MAX_DEADLINE_US = 3_000_000  # longer deadlines do not extend a graceful shutdown
SHUTDOWN_MARGIN_US = 700_000  # of a graceful shutdown, beyond the longest deadline
DEFAULT_SILENCE_TIMEOUT_US = 5_000_000  # if the site has no notifications
NOTIFICATION_MARGIN_US = 500_000  # a notification that is later than this was not sent
ENVIRONMENT = (("name", "PROXY_NAME"), ("listen", "PROXY_LISTEN"))
NO_EVENTS: Mapping[str, Any] = {"index": 0, "updates": []}


def load(
    environment: Mapping[str, str],
    path: Path | None = None,
    hints: Path | None = None,
    tenants: Path | None = None,
    cells: Path | None = None,
    seats: Path | None = None,
    peers: Path | None = None,
) -> Config:
    """Read the complete configuration.

    Args:
        environment: overrides name and listening address of the broker's file.
        path: of the broker's file; None: the file that ``PROXY_CONFIG`` names.
        hints: of the file of the HTTP front; None: the default path, as for all files below.
        tenants: of the file of the tenant directory.
        cells: of the cells file.
        seats: of the seats file.
        peers: of the peers file.

    Raises:
        ConfigError: a file is missing or invalid.
    """
    file_name = str(path or environment.get("PROXY_CONFIG", ""))
    if not file_name:
        raise ConfigError("PROXY_CONFIG is not set and no configuration file is given")
    document = _load_document(file_name)
    for key, variable in ENVIRONMENT:
        if environment.get(variable):
            document[key] = environment[variable]
    try:
        return read(document, read_hints(hints), read_tenants(tenants), read_cells(cells), seats, peers)
    except ConfigError as error:
        raise ConfigError(f"{file_name}: {error}") from None


def _load_document(file_name: str) -> dict[str, Any]:
    try:
        document = json.loads(Path(file_name).read_bytes())
    except OSError as error:
        raise ConfigError(f"{file_name}: {error.strerror}") from None
    except (ValueError, RecursionError) as error:
        raise ConfigError(f"{file_name}: not JSON: {error}") from None
    if not isinstance(document, dict):
        raise ConfigError(f"{file_name}: not a JSON object")
    return document


def read(
    document: Mapping[str, Any],
    hints: HintsConfig | None = None,
    tenants: TenantsConfig | None = None,
    cells: Plan | None = None,
    seats: Path | None = None,
    peers: Path | None = None,
) -> Config:
    """Validate the parsed JSON object and apply defaults.

    Raises:
        ConfigError: a value is missing or invalid.
    """
    pairs = dict(flatten(read_value(document, "settings", dict)))
    events = _known_events(document)
    try:
        return _build_config(
            document, pairs, events, hints or HintsConfig(), tenants or TenantsConfig(), cells, seats, peers
        )
    except FormatError as error:
        raise ConfigError(f"settings: {error}") from None
    except ValueError as error:
        raise ConfigError(str(error)) from None


def _known_events(document: Mapping[str, Any]) -> endpoint_events.Answer:
    try:
        answer = endpoint_events.parse_document(document.get("known", NO_EVENTS), 0)
    except ProtocolError as error:
        raise ConfigError(f"known: {error}") from None
    if answer.errors:
        raise ConfigError(f"known: {answer.errors[0]}")
    return answer


def _build_config(
    document: Mapping[str, Any],
    pairs: dict[str, str],
    events: endpoint_events.Answer,
    hints: HintsConfig,
    tenants: TenantsConfig,
    cells: Plan | None,
    seats: Path | None,
    peers: Path | None,
) -> Config:
    dial_timeout_us = read_integer(pairs, "Limits.DialTimeoutUs", DEFAULT_DIAL_TIMEOUT_US)
    idle_timeout_us = read_integer(pairs, "Limits.ConnIdleUs", DEFAULT_IDLE_TIMEOUT_US)
    silence_timeout_us = _silence_timeout_us(pairs)
    shutdown_grace_us = _shutdown_grace_us(pairs)
    limits = read_value(document, "limits", dict, {})
    settings = read_settings(pairs)
    return Config(
        name=read_value(document, "name", str),
        listen=read_address(document, "listen"),
        seed=_read_seed(document),
        max_descriptors=read_number(limits, "limits.sockets", DEFAULT_MAX_DESCRIPTORS, MIN_DESCRIPTORS),
        memory_mb=read_number(limits, "limits.memory_mb", DEFAULT_MEMORY_MB, 1),
        coordinator_address="{}:{}".format(*read_address(document, "coordinator")),
        index=events.last_index,
        changes=tuple(events.changes),
        settings=settings,
        period_us=max(MIN_PERIOD_US, read_integer(pairs, "PeriodUs", DEFAULT_PERIOD_US)),
        dial_timeout_us=dial_timeout_us or DEFAULT_DIAL_TIMEOUT_US,
        idle_timeout_us=idle_timeout_us or DEFAULT_IDLE_TIMEOUT_US,
        shutdown_grace_us=shutdown_grace_us,
        silence_timeout_us=silence_timeout_us,
        streams_per_connection=max(
            1, read_integer(pairs, "Limits.StreamsPerConn", DEFAULT_STREAMS_PER_CONNECTION)
        ),
        hints=hints,
        tenants=tenants,
        cells=cells,
        seats=read_seats(settings, seats),
        peers=read_peers(peers),
    )


def _silence_timeout_us(pairs: dict[str, str]) -> int:
    """Compute how long a connection with sessions may be silent before it is checked.

    If the site has notifications, the time-out is one notification interval with its delay and a margin.
    """
    interval_us = read_integer(pairs, "FamilyInfo.TellUs", 0)
    delay_us = read_integer(pairs, "FamilyInfo.SeenAfterUs", 0)
    return interval_us + delay_us + NOTIFICATION_MARGIN_US if interval_us else DEFAULT_SILENCE_TIMEOUT_US


def _shutdown_grace_us(pairs: dict[str, str]) -> int:
    """Compute the time between SIGTERM and SIGKILL: the longest deadline and a margin."""
    deadlines_us = [
        read_integer(pairs, f"Categories.{index}.HardLimitUs", MAX_DEADLINE_US)
        for index in range(read_integer(pairs, "Categories.count", 0))
    ]
    longest_deadline_us = max(deadlines_us, default=MAX_DEADLINE_US)
    return min(MAX_DEADLINE_US, longest_deadline_us) + SHUTDOWN_MARGIN_US


def _read_seed(document: Mapping[str, Any]) -> int:
    text = read_value(document, "seed", str, "0")
    try:
        return int(text, 16)
    except ValueError:
        raise ConfigError(f"seed must be hex digits, not {text[:40]!r}") from None


def flatten(value: Any, path: str = "") -> Iterator[tuple[str, str]]:
    """Yield nested JSON as the path=value pairs of the simulator's protocol."""
    if isinstance(value, dict):
        for key, inner in value.items():
            yield from flatten(inner, f"{path}.{key}" if path else str(key))
    elif isinstance(value, list) and any(isinstance(item, dict) for item in value):
        yield f"{path}.count", str(len(value))
        for index, inner in enumerate(value):
            yield from flatten(inner, f"{path}.{index}")
    elif isinstance(value, list):
        yield path, ",".join(_scalar(item) for item in value)
    elif value is not None:
        yield path, _scalar(value)


def _scalar(value: Any) -> str:
    return str(value).lower() if isinstance(value, bool) else str(value)
