"""Values of the entitlement constraints: settings, one session with a token, and the journal interface."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple, Protocol

from lotuspick.core.events import SessionRequest
from lotuspick.entitlement.ledger import Record
from lotuspick.entitlement.model import Seat

DEFAULT_RETRY_AFTER_S = 1.0  # for a seat that is indeterminate or cannot be written
DEFAULT_RETENTION_S = (
    30 * 86_400
    # Time for which counted seats are kept after the end of their last token, for settlement.
)


WriteCallback = Callable[[Exception | None], None]
"""Called with None once a write is durable, or with the error."""


class Journal(Protocol):
    """Makes records of the ledger durable."""

    def submit(self, record: Record, done: WriteCallback) -> None:
        """Write a record. ``done`` is called later, never from within this call."""

    def drop(self, seats: list[str], done: WriteCallback) -> None:
        """Delete seats; ``done`` as in :meth:`submit`."""


class SeatTermination(StrEnum):
    """The reason to end a playing session because of its entitlement."""

    LAPSED = "lapsed"
    """The token expired without a renewal, or the seat was revoked."""
    SUPERSEDED = "superseded"
    """The viewer returned and plays in a newer session."""


class SessionTermination(NamedTuple):
    """A session to end, with the reason."""

    session: str
    reason: SeatTermination


class SeatChange(StrEnum):
    """Events counted between two summaries. The values are keys of ``entitlement_summary``."""

    RESERVED = "reserved"
    COUNTED = "counted"
    """A session plays, and its seat is counted, once."""
    RETURNED = "returned"
    """A viewer returned to a seat that was counted before."""
    MARKED_INDETERMINATE = "marked_indeterminate"
    RESOLVED = "resolved"
    """An indeterminate seat was resolved by proof."""
    RENEWED = "renewed"
    LAPSED = "lapsed"


@dataclass(frozen=True, slots=True)
class EntitlementRules:
    """Settings of entitlements."""

    classes: frozenset[str]
    """Session classes that need a seat; their sessions are paid for."""
    required: bool = True
    """Whether these classes need a token; if not, sessions without a token are unconstrained."""
    retry_after_s: float = DEFAULT_RETRY_AFTER_S
    retention_s: float = DEFAULT_RETENTION_S


@dataclass(slots=True, eq=False)
class SeatSession:
    """One session with a token, from its first request to its end."""

    request: SessionRequest
    seat: Seat
    reserved: bool = False
    reservation_durable: bool = False
    """The reservation is durable."""
    write_error: str = ""
    """The error of the write of the reservation; empty: written, or not finished."""
    attempts: int = 0
    attempt_in_flight: bool = False
    answered: bool = False
    """The request was answered, or the viewer disconnected."""
    playing: bool = False
    supersedes: str = ""
    """The earlier session of the same viewer on the seat."""
    lapses_at_us: int = 0
    """Time at which the seat lapses, on the clock of the core."""
