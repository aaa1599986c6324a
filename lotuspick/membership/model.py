"""Values, commands and messages of membership, validated on receipt.

A :class:`Record` holds the state of one broker. Of two records with the same name, the one that
:meth:`Record.supersedes` the other is kept. Brokers that have received the same records therefore hold the
same state, regardless of the order.

Fields of messages are keys on the wire. A renamed field keeps its key by ``msgspec.field(name=...)``.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import IntEnum

import msgspec

from lotuspick.errors import LotuspickError

MAX_TEXT_LENGTH = 64  # characters of each text in a record
MAX_OFFERS = 16  # per record
MAX_RECORDS = 2_000  # per message


class MembershipError(LotuspickError, ValueError):
    """An invalid value; the message names it."""


class State(IntEnum):
    """State of a process. Of one process, the higher state takes precedence and is final.

    Numbers are part of the wire protocol and names appear in log lines, so neither may change.
    """

    ALIVE = 0
    DEAD = 1
    LEFT = 2


class Record(msgspec.Struct, frozen=True, tag="r"):
    """State of the broker with a name."""

    name: str
    incarnation: int = msgspec.field(name="life")
    """Increases with each start of a process under the name, even after a loss of its disk."""
    process_id: int = msgspec.field(name="run")
    """Random per start; distinguishes two processes with the same name and incarnation."""
    refutation: int = msgspec.field(default=0, name="turn")
    """Incremented by the process itself to refute a report about it (SWIM's incarnation number)."""
    state: State = State.ALIVE
    address: str = ""
    """host:port of the broker's link."""
    zone: str = ""
    version: str = ""
    offers: tuple[str, ...] = ()
    """Services that the broker offers to others."""

    @property
    def process(self) -> tuple[str, int, int]:
        """Identity of the process."""
        return self.name, self.incarnation, self.process_id

    @property
    def rank(self) -> tuple[int, int, bool, int, int]:
        """Sort key of records with the same name.

        A later process ranks above an earlier one in any state. For one process, LEFT ranks highest, because
        a process that has left never returns. DEAD ranks above the refutation that it names, and a later
        refutation ranks above DEAD.
        """
        return self.incarnation, self.process_id, self.state is State.LEFT, self.refutation, self.state

    def supersedes(self, other: Record) -> bool:
        """Return whether this record takes precedence over another one with the same name."""
        return self.rank > other.rank


class Suspicion(msgspec.Struct, frozen=True, tag="a"):
    """Report of a watcher that a process does not answer. It expires unless it is renewed."""

    name: str
    incarnation: int = msgspec.field(name="life")
    process_id: int = msgspec.field(name="run")
    refutation: int = msgspec.field(name="turn")
    suspected_by: str = msgspec.field(name="by")


MembershipUpdate = Record | Suspicion


class Ping(msgspec.Struct, frozen=True, tag="ping"):
    """Request for an :class:`Ack`."""

    number: int
    updates: list[MembershipUpdate] = msgspec.field(default=[], name="news")


class Ack(msgspec.Struct, frozen=True, tag="ack"):
    """Acknowledgement of a :class:`Ping`."""

    number: int
    member: str = msgspec.field(default="", name="of")
    """The member that acknowledges; the sender may be a relay."""
    updates: list[MembershipUpdate] = msgspec.field(default=[], name="news")


class Relay(msgspec.Struct, frozen=True, tag="relay"):
    """Request to a third broker to ping a target whose link to the sender may be down."""

    number: int
    target: str
    updates: list[MembershipUpdate] = msgspec.field(default=[], name="news")


class Sync(msgspec.Struct, frozen=True, tag="sync"):
    """All records of the sender."""

    records: list[Record]
    answer: bool = False
    """Whether the sender requests a Sync in return."""


class Digest(msgspec.Struct, frozen=True, tag="digest"):
    """Hash of the sender's live records. A receiver with a different hash answers with a Sync."""

    value: int


Message = Ping | Ack | Relay | Sync | Digest


@dataclass(frozen=True, slots=True)
class Begin:
    """Command: join the fleet; sent once after ``ProcessStarted``."""

    name: str
    address: str
    seeds: tuple[str, ...] = ()
    zone: str = ""
    version: str = ""
    offers: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Leave:
    """Command: leave the fleet and notify other members."""


@dataclass(frozen=True, slots=True)
class Drain:
    """Command: remove a live or dead member from the fleet.

    The member stays removed until a later process joins under its name.
    """

    name: str


@dataclass(frozen=True, slots=True)
class Changed:
    """Notification: the record of a member has changed."""

    record: Record
    source: str
    reason: str


@dataclass(frozen=True, slots=True)
class Displaced:
    """Notification: another process with this broker's name takes precedence; this one must stop."""

    record: Record


@dataclass(frozen=True, slots=True)
class Stalled:
    """Notification: this process stalled, so that its records may be out of date."""

    duration_us: int


@dataclass(frozen=True, slots=True)
class SuspicionReport:
    """Duration and sources of the suspicion of a member."""

    suspected_for_us: int
    reported_us_ago: Mapping[str, int]
    """Time since the last report, by the member that suspects it."""


@dataclass(frozen=True, slots=True)
class MonitoringReport:
    """Monitoring data of a broker on one member."""

    watchers: tuple[str, ...]
    """Names of the members that watch the member."""
    last_ack_us_ago: int | None
    """Time since the member's last acknowledgement; None: the broker does not watch it."""
    suspicion: SuspicionReport | None
    """None: the member is not suspected."""
    unreachable_reported_us_ago: int | None
    """Time since the member last reported the broker unreachable; None: no current report."""


@dataclass(frozen=True, slots=True)
class FailureDetectionRules:
    """Parameters of failure detection and dissemination; all times in us."""

    period_us: int = 300_000
    """Interval between pings to each watched member."""
    watchers: int = 4
    """Number of rings. A member watches its successor on each, so this is the number of its watchers."""
    silent_us: int = 700_000
    """A watched member without an acknowledgement for this time is suspected."""
    doubt_us: int = 1_300_000
    """A suspecting broker declares a member dead after this time without acknowledgement or refutation."""
    quorum: int = 2
    """Watchers that must suspect a member before it is declared dead; all if it has fewer watchers."""
    sync_interval_us: int = 1_000_000
    """Interval between digests, each to a live member and to a dead member or seed."""
    max_piggybacked: int = 8
    """Maximum number of updates in one message."""
    retransmit_factor: int = 4
    """Transmissions of an update by each member, as a multiple of the bit length of their number."""
    max_tombstones: int = 1_000
    """Maximum number of records of members that are dead or have left; the oldest are dropped first."""
    tombstone_lifetime_us: int = 3_600_000_000
    """Maximum age of a tombstone."""

    def __post_init__(self) -> None:
        for name in POSITIVE_RULES:
            value = getattr(self, name)
            if not isinstance(value, int) or value < 1:
                raise MembershipError(f"{name} must be an integer of 1 or more, not {value!r}")
        min_us = 2 * self.period_us  # tolerates the loss of one ping
        if self.silent_us < min_us:
            raise MembershipError(
                f"silent_us must be two periods or more, not {self.silent_us}: a single ping may be lost"
            )
        if self.doubt_us < min_us:
            raise MembershipError(
                f"doubt_us must be two periods or more, not {self.doubt_us}: a refutation takes time"
            )
        if self.quorum > self.watchers:
            raise MembershipError(f"quorum must be at most watchers, {self.watchers}, not {self.quorum}")


POSITIVE_RULES = (
    "period_us",
    "watchers",
    "quorum",
    "sync_interval_us",
    "max_piggybacked",
    "retransmit_factor",
    "max_tombstones",
    "tombstone_lifetime_us",
)


def validate(record: Record) -> Record:
    """Validate a record and return it unchanged.

    Raises:
        MembershipError: the record is invalid.
    """
    for key, text in (
        ("name", record.name),
        ("address", record.address),
        ("zone", record.zone),
        ("version", record.version),
        *(("offers", offer) for offer in record.offers),
    ):
        if len(text) > MAX_TEXT_LENGTH or not text.isprintable() or (key == "name" and not text):
            raise MembershipError(
                f"{key} must be 1 to {MAX_TEXT_LENGTH} printable characters, not {text[:40]!r}"
            )
    if len(record.offers) > MAX_OFFERS or min(record.incarnation, record.process_id, record.refutation) < 0:
        raise MembershipError(
            f"record of {record.name}: offers, incarnation, process_id or refutation is out of bounds"
        )
    return record
