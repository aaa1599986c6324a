"""Messages that transports post to the dispatcher's inbox; they change sessions in no other way."""

from __future__ import annotations

from dataclasses import dataclass, field

from lotuspick.core.events import (
    LoadReport,
    PlayerHint,
    ReadingTopic,
    ServerHint,
    ServerListUpdate,
    SessionRequest,
    TenantRates,
)
from lotuspick.routing.interfaces import ViewerConnection
from lotuspick.routing.termination import TerminationReason


@dataclass(frozen=True, slots=True)
class SessionRequested:
    """A viewer requests a session; a ``SessionPlaying`` is one that plays already."""

    request: SessionRequest
    description: bytes = b""
    viewer: ViewerConnection | None = None


@dataclass(frozen=True, slots=True)
class SessionCancelled:
    """A viewer cancels a request, or ends a session that plays."""

    session: str


@dataclass(frozen=True, slots=True)
class ViewerConnectionClosed:
    """A viewer connection has closed: its open requests are cancelled, its sessions play on."""

    viewer: ViewerConnection


@dataclass(frozen=True, slots=True)
class ViewerConnectionOpened:
    """A viewer connection has opened: releases that wait for one can be sent."""

    viewer: ViewerConnection


@dataclass(frozen=True, slots=True)
class AttemptAnswered:
    """An edge server has answered an attempt: the session plays."""

    server: str
    session: str
    description: bytes
    load_report: LoadReport = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class EdgeServerReleased:
    """An edge server ends an attempt or a session; which reason counts depends on whether it had answered."""

    server: str
    session: str
    reason_before_answer: TerminationReason
    reason_after_answer: TerminationReason
    load_report: LoadReport = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class EdgeServerNotified:
    """A notification on a session that plays, as in :class:`lotuspick.core.events.SessionNotification`."""

    server: str
    session: str
    topic: ReadingTopic
    value: float


@dataclass(frozen=True, slots=True)
class AttemptTerminated:
    """An attempt ended without a message from the edge server."""

    server: str
    session: str
    reason: TerminationReason


@dataclass(frozen=True, slots=True)
class AttemptWritten:
    """An attempt that waited for a connection was written, at ``written_at_us``."""

    server: str
    session: str
    written_at_us: int


@dataclass(frozen=True, slots=True)
class EdgeServerFailed:
    """The process or machine of an edge server has failed, and the sessions there with it."""

    server: str
    reason: TerminationReason


@dataclass(frozen=True, slots=True)
class EndpointListChanged:
    """The endpoint list has changed."""

    update: ServerListUpdate


@dataclass(frozen=True, slots=True)
class HintReceived:
    """A player or a media node has sent a hint."""

    hint: PlayerHint | ServerHint


@dataclass(frozen=True, slots=True)
class SessionRevoked:
    """A session that plays has to end; its viewer did not ask for it."""

    session: str
    reason: TerminationReason


@dataclass(frozen=True, slots=True)
class LedgerCommitted:
    """A write that requests wait for is committed; the next tick comes early for them."""


@dataclass(frozen=True, slots=True)
class TenantRatesUpdated:
    """The rates of the tenants were read from their directory."""

    update: TenantRates


InboundMessage = (
    SessionRequested
    | SessionCancelled
    | ViewerConnectionClosed
    | ViewerConnectionOpened
    | AttemptAnswered
    | EdgeServerReleased
    | EdgeServerNotified
    | AttemptTerminated
    | AttemptWritten
    | EdgeServerFailed
    | EndpointListChanged
    | HintReceived
    | TenantRatesUpdated
    | SessionRevoked
    | LedgerCommitted
)
