"""Events: the input of the controller.

Times are integer microseconds on the broker's own clock, rates are in kB per second, shares and loads are
fractions (1.0 = 100 %). Each event validates its values on construction and raises ``ValueError``.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from enum import StrEnum

from lotuspick.core.validation import require_not_negative, require_positive


class EndpointState(StrEnum):
    """State of a server in the server list."""

    ACTIVE = "active"
    DRAINING = "draining"
    GONE = "gone"


ENDPOINT_STATES = frozenset(EndpointState)


class ReadingTopic(StrEnum):
    """Quantity that a reading from a server measures."""

    SHARE = "share"
    """The share of its rate that a session gets."""
    RUNG = "rung"
    """The rung at which a session plays."""
    LINK = "link"
    """Demand on the server's link divided by the capacity of the link."""
    RACK = "rack"
    """Demand on the uplink of the server's rack divided by the capacity of the uplink."""
    STREAMS = "streams"
    """Number of streams that the server runs for all brokers."""


LoadReport = Mapping[ReadingTopic, float]
"""Readings reported at the end of an attempt."""


@dataclass(frozen=True, slots=True)
class ServerEntry:
    """One entry of the server list."""

    server: str
    zone: str
    kind: str
    position: int
    state: EndpointState = EndpointState.ACTIVE
    weight: float = 1.0
    started_us: int = 0
    """Clock time of the server's last start; 0: long ago."""
    address: str = ""
    """host:port, if reported."""

    def __post_init__(self) -> None:
        if self.state not in ENDPOINT_STATES:
            raise ValueError(f"server {self.server}: unknown state {self.state!r}")
        require_not_negative(f"server {self.server}", position=self.position, weight=self.weight)


@dataclass(frozen=True, slots=True)
class ServerListUpdate:
    """Update of the server list, ``complete`` or incremental; ``failed``: the request for the list failed."""

    servers: Sequence[ServerEntry] = ()
    complete: bool = False
    failed: bool = False


@dataclass(frozen=True, slots=True)
class SessionRequest:
    """Request of a viewer for a session, which must be started, rejected or failed before ``deadline_us``."""

    session: str
    session_class: str
    title: str
    home_position: int
    copies: int
    highest_rung: int
    """Highest rung that the viewer can play."""
    deadline_us: int
    length_us: float | None = None
    """Hint about the session's length; None or a value not above 0: no valid hint."""
    viewer: str = ""
    """Identifier of the viewer, the same in all of its requests."""
    tenant: str = ""
    moved: bool = False
    returned: bool = False
    token: str = field(default="", kw_only=True)
    """The entitlement token as received; only constraint providers read it."""
    source: str = field(default="", kw_only=True, compare=False)
    """The connection that the request came from: sources take turns if not all requests can be evaluated.

    A request that is repeated on another connection is the same request.
    """

    def __post_init__(self) -> None:
        require_not_negative(
            f"session {self.session}", home_position=self.home_position, highest_rung=self.highest_rung
        )
        require_positive(f"session {self.session}", copies=self.copies)

    def holder_positions(self, positions: int) -> list[int]:
        """Return the positions that hold the title, on a ring of ``positions`` positions."""
        return [(self.home_position + offset) % positions for offset in range(min(self.copies, positions))]


@dataclass(frozen=True, slots=True)
class SessionPlaying(SessionRequest):
    """A session that already plays on ``server`` when the broker starts; counts as attempt 0."""

    server: str = ""


@dataclass(frozen=True, slots=True)
class SessionStarted:
    """The server has started the session."""

    session: str
    attempt: int
    server: str
    duration_us: int = 0


class AttemptOutcome(StrEnum):
    """Outcome of an attempt; :data:`PROVES_NOT_EXECUTED` lists the outcomes that had no effect."""

    SERVED = "served"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    UNREACHABLE = "unreachable"
    LOST = "lost"
    CANCELLED = "cancelled"
    UNSENT = "unsent"


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt has ended."""

    session: str
    attempt: int
    server: str
    outcome: AttemptOutcome
    final: bool = False
    """The viewer has its final answer, so no retry may follow."""
    duration_us: int = 0
    load_report: LoadReport = field(default_factory=dict)
    """Readings for any of ``STREAMS``, ``LINK`` and ``RACK``."""
    server_alive: bool = False
    """Only the attempt or its connection failed; there is no sign that the server's process has exited."""
    ended_by_viewer: bool = False
    """The viewer ended a session that was set up."""


PROVES_NOT_EXECUTED = frozenset({AttemptOutcome.UNREACHABLE, AttemptOutcome.FULL, AttemptOutcome.UNSENT})
"""Outcomes that prove that the server did not execute any part of the attempt."""


@dataclass(frozen=True, slots=True)
class ServerFailed:
    """The process or machine of a server has failed; separate events end its sessions."""

    server: str


@dataclass(frozen=True, slots=True)
class SessionNotification:
    """A reading that a server reports with a playing session."""

    session: str
    server: str
    topic: ReadingTopic
    value: float


@dataclass(frozen=True, slots=True)
class PlayerHint:
    """Playback state reported by the player of a session; None: not reported."""

    session: str
    buffer_s: float | None = None
    """Buffered playback time in seconds."""
    starved: bool = False
    """The player has stalled for lack of data since its last hint."""
    throughput_kb_per_s: float | None = None
    """Throughput measured by the player, in kB per second."""

    def __post_init__(self) -> None:
        require_not_negative(
            f"hint on {self.session}",
            buffer_s=self.buffer_s or 0.0,
            throughput_kb_per_s=self.throughput_kb_per_s or 0.0,
        )


@dataclass(frozen=True, slots=True)
class ServerHint:
    """A server's estimate of the throughput that its link has for one more session, in kB per second."""

    server: str
    throughput_kb_per_s: float

    def __post_init__(self) -> None:
        require_not_negative(f"hint of {self.server}", throughput_kb_per_s=self.throughput_kb_per_s)


@dataclass(frozen=True, slots=True)
class TenantRates:
    """The current tenants in the directory with their request rates per second, over all brokers."""

    rates: Mapping[str, float]

    def __post_init__(self) -> None:
        for tenant, rate in self.rates.items():
            require_not_negative("tenants", **{tenant: rate})


@dataclass(frozen=True, slots=True)
class ViewerDisconnected:
    """The viewer disconnected before it got an answer, so no answer is sent."""

    session: str


@dataclass(frozen=True, slots=True)
class AttemptResolved:
    """Late evidence of whether an attempt executed, for an answered request; only providers use it."""

    session: str
    server: str
    executed: bool


@dataclass(frozen=True, slots=True)
class ConstraintsChanged:
    """A provider's constraints have changed: evaluate its pending sessions again."""


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer started with :class:`StartTimer` has expired."""

    timer_id: int


Event = (
    ServerListUpdate
    | SessionRequest
    | SessionStarted
    | AttemptEnded
    | SessionNotification
    | PlayerHint
    | ServerHint
    | TenantRates
    | ServerFailed
    | ViewerDisconnected
    | AttemptResolved
    | ConstraintsChanged
    | TimerFired
)
