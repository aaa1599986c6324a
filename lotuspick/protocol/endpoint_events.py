"""The coordinator's watch events: JSON of one answer, or of ``known``, as changes of the endpoint list."""

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
    """One watch event: the update for the decisions, and the address of each server that it names."""

    index: int
    news: ServerListUpdate
    addresses: dict[str, tuple[str, int]]


@dataclass(frozen=True, slots=True)
class Answer:
    """One answer of the coordinator, or ``known``."""

    last: int
    changes: list[Change]
    faults: list[str]
    """What was wrong with the updates that were skipped."""


def parse(text: bytes, after: int) -> Answer:
    """The changes of one answer that are later than ``after``."""
    try:
        return read(json.loads(text), after)
    except (ValueError, RecursionError):
        raise ProtocolError(f"answer is not JSON: {text[:40]!r}") from None


def read(answer: Any, after: int) -> Answer:
    """The same for JSON that is parsed already.

    A malformed update is skipped and reported in ``faults``: it would hold up the watch for ever.
    """
    if not isinstance(answer, dict):
        raise ProtocolError("answer is not an object")
    last = _get(answer, "index", int)
    changes: list[Change] = []
    faults: list[str] = []
    for update in _get(answer, "updates", list):
        try:
            changes.extend(change for change in _change(update) if change.index > after)
        except ProtocolError as error:
            faults.append(str(error))
    return Answer(last, changes, faults)


def address(text: str) -> tuple[str, int]:
    """Host and port of ``host:port``."""
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdigit() or not 0 <= int(port) < 65_536:
        raise ProtocolError(f"address is not host:port: {text[:60]!r}")
    return host.strip("[]"), int(port)


def _get(owner: dict[str, Any], name: str, kind: type | tuple[type, ...], default: Any = None) -> Any:
    value = owner.get(name, default)
    if (isinstance(value, bool) and kind is not bool) or not isinstance(value, kind):
        raise ProtocolError(f"{name} is {'missing' if value is None else f'malformed: {str(value)[:40]!r}'}")
    return value


def _change(update: Any) -> Iterator[Change]:
    if not isinstance(update, dict):
        raise ProtocolError("update is not an object")
    index = _get(update, "index", int)
    if "endpoints" not in update:
        return  # an event of a kind that concerns others
    endpoints = _get(update, "endpoints", dict)
    entries, addresses = [], {}
    for server in _get(endpoints, "servers", list):
        if not isinstance(server, dict):
            raise ProtocolError("server is not an object")
        entry = _entry(server)
        entries.append(entry)
        addresses[entry.server] = address(_get(server, "addr", str))
    yield Change(index, ServerListUpdate(entries, complete=_get(endpoints, "full", bool, False)), addresses)


def _entry(server: dict[str, Any]) -> ServerEntry:
    state = _get(server, "state", str)
    if state not in STATES:
        raise ProtocolError(f"state is unknown: {state[:40]!r}")
    try:
        return ServerEntry(
            _get(server, "id", str),
            _get(server, "zone", str, ""),
            _get(server, "kind", str, ""),
            _get(server, "cell", int, 0),
            STATES[state],
            float(_get(server, "weight", (int, float), 1)),
            int(_get(server, "started_ms", (int, float), 0)) * 1_000,
            _get(server, "addr", str),
        )
    except (ValueError, OverflowError) as error:
        raise ProtocolError(f"started_ms or weight: {error}") from None
