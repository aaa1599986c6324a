"""Messages that transports post to the dispatcher's inbox; they do nothing else about sessions."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from lotuspick.core.events import PlayerHint, ServerHint, ServerListUpdate, SessionRequest, TenantRates
from lotuspick.routing.interfaces import ViewerConnection
from lotuspick.routing.termination import TerminationReason


@dataclass(frozen=True, slots=True)
class SessionRequested:
    """A viewer's set-up; ``request`` is a ``SessionPlaying`` where the session plays already."""

    request: SessionRequest
    description: bytes = b""
    viewer: ViewerConnection | None = None


@dataclass(frozen=True, slots=True)
class SessionCancelled:
    """A viewer gives up a set-up, or ends a session that stands."""

    session: str


@dataclass(frozen=True, slots=True)
class ViewerConnectionClosed:
    """A viewer connection has ended: its open set-ups are given up, its sessions stand on."""

    viewer: ViewerConnection


@dataclass(frozen=True, slots=True)
class ViewerConnectionOpened:
    """A viewer connection has opened: releases that found none can go out."""

    viewer: ViewerConnection


@dataclass(frozen=True, slots=True)
class AttemptAnswered:
    """An edge server answers: the session stands."""

    server: str
    session: str
    description: bytes
    load_report: Mapping[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class EdgeServerReleased:
    """An edge server ends an attempt or a session: ``before`` and ``after`` an answer this means so much."""

    server: str
    session: str
    reason_before_answer: TerminationReason
    reason_after_answer: TerminationReason
    load_report: Mapping[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class EdgeServerNotified:
    """A note on a session that stands; topics as in :class:`lotuspick.core.events.SessionNotification`."""

    server: str
    session: str
    topic: str
    value: float


@dataclass(frozen=True, slots=True)
class AttemptTerminated:
    """An attempt ended without a word from the edge server."""

    server: str
    session: str
    reason: TerminationReason


@dataclass(frozen=True, slots=True)
class AttemptWritten:
    """An attempt that waited for a connection has left."""

    server: str
    session: str
    written_at_us: int


@dataclass(frozen=True, slots=True)
class EdgeServerFailed:
    """The process or machine of an edge server is gone, and what stood there with it."""

    server: str
    reason: TerminationReason


@dataclass(frozen=True, slots=True)
class EndpointListChanged:
    """News of the server list."""

    update: ServerListUpdate


@dataclass(frozen=True, slots=True)
class HintReceived:
    """What a player or a media node says of itself."""

    hint: PlayerHint | ServerHint


@dataclass(frozen=True, slots=True)
class SessionRevoked:
    """A session that stands is to end, by no wish of its viewer."""

    session: str
    reason: TerminationReason


@dataclass(frozen=True, slots=True)
class LedgerCommitted:
    """What a guide waited for has come; those that wait for it should not wait for the next full period."""


@dataclass(frozen=True, slots=True)
class TenantRatesUpdated:
    """The tenants, as just read from their directory."""

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
