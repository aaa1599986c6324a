"""Messages that transports post to the dispatcher's inbox, their only way to change sessions."""

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
    """A viewer requests a session, or reports one that plays already (``SessionPlaying``)."""

    request: SessionRequest
    description: bytes = b""
    viewer: ViewerConnection | None = None


@dataclass(frozen=True, slots=True)
class SessionCancelled:
    """A viewer cancels a request or ends a playing session."""

    session: str


@dataclass(frozen=True, slots=True)
class ViewerConnectionClosed:
    """A viewer connection has closed: its open requests are cancelled, its sessions continue."""

    viewer: ViewerConnection


@dataclass(frozen=True, slots=True)
class ViewerConnectionOpened:
    """A viewer connection has opened: pending releases can be sent on it."""

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
    """An edge server ends an attempt or a session; the reason depends on whether it had answered."""

    server: str
    session: str
    reason_before_answer: TerminationReason
    reason_after_answer: TerminationReason
    load_report: LoadReport = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class EdgeServerNotified:
    """A notification about a playing session; see :class:`lotuspick.core.events.SessionNotification`."""

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
    """A queued attempt was written to a new connection at ``written_at_us``."""

    server: str
    session: str
    written_at_us: int


@dataclass(frozen=True, slots=True)
class EdgeServerFailed:
    """The process or machine of an edge server has failed, which ends all its sessions."""

    server: str
    reason: TerminationReason


@dataclass(frozen=True, slots=True)
class EdgeServerReplaced:
    """The process of an edge server has gone, and another server listens at its address.

    Its sessions have ended. Those that were set up at the address since then play at the other server.
    """

    server: str


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
    """A playing session has to end, but not on request of its viewer."""

    session: str
    reason: TerminationReason


@dataclass(frozen=True, slots=True)
class LedgerCommitted:
    """A write that requests wait for was committed; the next tick is scheduled early."""


@dataclass(frozen=True, slots=True)
class TenantRatesUpdated:
    """The rates of the tenants were read from the tenant directory."""

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
    | EdgeServerReplaced
    | EndpointListChanged
    | HintReceived
    | TenantRatesUpdated
    | SessionRevoked
    | LedgerCommitted
)
