"""Records written by clients, media nodes and the rig during a soak; all times are Unix seconds."""

from __future__ import annotations

from enum import StrEnum
from pathlib import Path
from typing import TypeVar

import msgspec


class ClientEventKind(StrEnum):
    """Kind of a client event."""

    CONNECTED = "connected"
    CLOSED = "closed"
    SENT = "sent"
    """The client wrote the last byte of a set-up."""
    ANSWERED = "answered"
    CANCELLED = "cancelled"
    """The client cancelled the request or closed its connection."""
    ENDED = "ended"
    """The client tore down a playing session."""
    RELEASED = "released"
    """The broker notified the client that a session has ended."""
    STALLED = "stalled"
    """The client process was stalled for ``stalled_s`` until this event."""


class ClientEvent(msgspec.Struct, frozen=True, omit_defaults=True):
    """One line of the clients' log."""

    kind: ClientEventKind
    at_s: float
    connection: int = 0
    session: str = ""
    status: int = 0
    time_left_s: float = 0.0
    """Time limit of a set-up."""
    is_paid: bool = False
    stalled_s: float = 0.0


class NodeEventKind(StrEnum):
    """Kind of a media node event."""

    RAN = "ran"
    STOPPED = "stopped"


class NodeEvent(msgspec.Struct, frozen=True):
    """One line of the media nodes' log."""

    kind: NodeEventKind
    at_s: float
    session: str


class BrokerRun(msgspec.Struct):
    """One broker process."""

    launched_s: float
    ready_s: float = 0.0
    """0 if the rig sent SIGTERM without waiting for readiness."""
    sigterm_s: float = 0.0
    ended_s: float = 0.0
    exit_code: int = 0
    killed: bool = False
    """Whether the rig had to send SIGKILL."""
    has_traceback: bool = False


class ResourceUsage(msgspec.Struct):
    """Open descriptors of the broker before and after a connection flood, and resident memory after it."""

    descriptors_before: int = 0
    descriptors_after: int = 0
    memory_mb_after: float = 0.0


RecordT = TypeVar("RecordT")


def read_records(path: Path, kind: type[RecordT]) -> list[RecordT]:
    """Read a log of one JSON object per line."""
    decoder = msgspec.json.Decoder(kind)
    return [decoder.decode(line) for line in path.read_bytes().splitlines()]
