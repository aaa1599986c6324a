"""Parsing of the coordinator's watch events, in its JSON responses and in ``known`` of the broker's file."""

from __future__ import annotations

import json
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from lotuspick.core.events import EndpointState, ServerEntry, ServerListUpdate
from lotuspick.protocol.errors import ProtocolError

STATES = {
    "in_service": EndpointState.ACTIVE,
    "terminating": EndpointState.DRAINING,
    "terminated": EndpointState.GONE,
}


@dataclass(frozen=True, slots=True)
class Change:
    """One watch event: the update for the decisions, and the addresses of its servers by id."""

    index: int
    update: ServerListUpdate
    addresses: dict[str, tuple[str, int]]


@dataclass(frozen=True, slots=True)
class Answer:
    """One response of the coordinator, or ``known``."""

    last_index: int
    changes: list[Change]
    errors: list[str]
    """One error for each update that was skipped."""


def parse(text: bytes, after: int) -> Answer:
    """Parse one response; keep the changes with an index over ``after``."""
    try:
        return parse_document(json.loads(text), after)
    except (ValueError, RecursionError):
        raise ProtocolError(f"answer is not JSON: {text[:40]!r}") from None


def parse_document(answer: Any, after: int) -> Answer:
    """Parse decoded JSON; keep the changes with an index over ``after``.

    A malformed update is skipped and reported in ``errors``; rejecting it would block the watch forever.
    """
    if not isinstance(answer, dict):
        raise ProtocolError("answer is not an object")
    last_index = _read_member(answer, "index", int)
    changes: list[Change] = []
    errors: list[str] = []
    for watch_event in _read_member(answer, "updates", list):
        try:
            changes.extend(change for change in _parse_change(watch_event) if change.index > after)
        except ProtocolError as error:
            errors.append(str(error))
    return Answer(last_index, changes, errors)


def parse_address(text: str) -> tuple[str, int]:
    """Split ``host:port`` into host and port."""
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdigit() or not 0 <= int(port) < 65_536:
        raise ProtocolError(f"address is not host:port: {text[:60]!r}")
    return host.strip("[]"), int(port)


def _read_member(
    container: dict[str, Any], name: str, kind: type | tuple[type, ...], default: Any = None
) -> Any:
    value = container.get(name, default)
    if (isinstance(value, bool) and kind is not bool) or not isinstance(value, kind):
        raise ProtocolError(f"{name} is {'missing' if value is None else f'malformed: {str(value)[:40]!r}'}")
    return value


def _parse_change(watch_event: Any) -> Iterator[Change]:
    if not isinstance(watch_event, dict):
        raise ProtocolError("update is not an object")
    index = _read_member(watch_event, "index", int)
    if "endpoints" not in watch_event:
        return  # an event that does not concern the endpoint list
    endpoints = _read_member(watch_event, "endpoints", dict)
    entries, addresses = [], {}
    for server in _read_member(endpoints, "servers", list):
        if not isinstance(server, dict):
            raise ProtocolError("server is not an object")
        entry = _parse_server(server)
        entries.append(entry)
        addresses[entry.server] = parse_address(_read_member(server, "addr", str))
    yield Change(
        index, ServerListUpdate(entries, complete=_read_member(endpoints, "full", bool, False)), addresses
    )


def _parse_server(server: dict[str, Any]) -> ServerEntry:
    state = _read_member(server, "state", str)
    if state not in STATES:
        raise ProtocolError(f"state is unknown: {state[:40]!r}")
    try:
        return ServerEntry(
            _read_member(server, "id", str),
            _read_member(server, "zone", str, ""),
            _read_member(server, "kind", str, ""),
            _read_member(server, "cell", int, 0),
            STATES[state],
            float(_read_member(server, "weight", (int, float), 1)),
            int(_read_member(server, "started_ms", (int, float), 0)) * 1_000,
            _read_member(server, "addr", str),
        )
    except (ValueError, OverflowError) as error:
        raise ProtocolError(f"started_ms or weight: {error}") from None
