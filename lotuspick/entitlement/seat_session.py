"""Values of the entitlement side of placement: settings, one session with a token, and the journal."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple, Protocol

from lotuspick.core.events import SessionRequest
from lotuspick.entitlement.ledger import Record
from lotuspick.entitlement.model import Seat

DEFAULT_RETRY_AFTER_S = 1.0  # between attempts at a seat that is indeterminate or cannot be written
DEFAULT_RETENTION_S = (
    30 * 86_400
)  # counted seats are kept so long after their last token's end, for settlement


WriteCallback = Callable[[Exception | None], None]
"""Called once a write is durable, with None, or has failed, with the error."""


class Journal(Protocol):
    """Where records of the ledger become durable."""

    def submit(self, record: Record, done: WriteCallback) -> None:
        """Write a record; ``done`` is called later, never from within."""

    def drop(self, seats: list[str], done: WriteCallback) -> None:
        """Delete seats; ``done`` as in :meth:`submit`."""


class SeatTermination(StrEnum):
    """Why a playing session is to end for its entitlement."""

    LAPSED = "lapsed"
    """Its token expired without a renewal, or its seat was revoked."""
    SUPERSEDED = "superseded"
    """Its viewer came again and plays in a newer session."""


class SessionTermination(NamedTuple):
    """A session that is to end."""

    session: str
    reason: SeatTermination


class SeatChange(StrEnum):
    """What is counted between two summaries. The values are keys of ``entitlement_summary``."""

    RESERVED = "reserved"
    COUNTED = "counted"
    """A session plays, and its seat is counted: once for good."""
    RETURNED = "returned"
    """A viewer plays again on its seat, which was counted before."""
    MARKED_INDETERMINATE = "marked_indeterminate"
    RESOLVED = "resolved"
    """Proof came of an indeterminate seat."""
    RENEWED = "renewed"
    LAPSED = "lapsed"


@dataclass(frozen=True, slots=True)
class EntitlementRules:
    """Settings of an installation's entitlements."""

    classes: frozenset[str]
    """Session classes that take seats; their sessions are paid for."""
    required: bool = True
    """Whether such a session needs a token; else one without a token is not constrained."""
    retry_after_s: float = DEFAULT_RETRY_AFTER_S
    retention_s: float = DEFAULT_RETENTION_S


@dataclass(slots=True, eq=False)
class SeatSession:
    """One session with a token, from its first request to its end."""

    request: SessionRequest
    seat: Seat
    reserved: bool = False
    reservation_durable: bool = False
    """Its reservation is written."""
    write_error: str = ""
    """Why its reservation could not be written; empty: it was, or is being written."""
    attempts: int = 0
    attempt_in_flight: bool = False
    answered: bool = False
    """Its request has been answered, or its viewer has gone."""
    playing: bool = False
    supersedes: str = ""
    """The session of the same viewer that held the seat before."""
    lapses_at_us: int = 0
    """When its seat lapses, on the clock of the decisions."""
