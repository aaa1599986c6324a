"""Answers of the control port to ``lotuspick members``, and their encoding as JSON.

The keys are part of the control port's protocol, and the commands print them, so they must not change. A
field with a different name keeps its key by ``msgspec.field(name=...)``. Log events use the names of the
fields.
"""

from __future__ import annotations

from typing import Any

import msgspec

from lotuspick.membership.members import Members
from lotuspick.membership.model import MonitoringReport, Record

US_PER_MS = 1_000
US_PER_S = 1_000_000


class MemberStatus(msgspec.Struct, frozen=True):
    """The state of a member as a broker sees it, and the reason for it."""

    name: str = msgspec.field(name="member")
    state: str
    """State of its record, in lower case."""
    incarnation: int = msgspec.field(name="life")
    address: str
    zone: str
    version: str
    offers: tuple[str, ...]
    suspected_by: tuple[str, ...] = msgspec.field(name="accused_by")
    reached: bool
    """Whether messages pass between the broker and the member in both directions."""
    source: str = msgspec.field(name="by")
    """Source of the report that set this state."""
    reason: str = msgspec.field(name="why")
    since_s: float
    """Time since the last change of the state (s)."""


class MembershipCounts(msgspec.Struct, frozen=True):
    """Current totals, and counters since the start of a broker."""

    quorum_state: str = msgspec.field(name="standing")
    alive: int
    reached: int
    suspicions: int = msgspec.field(name="accusations")
    """Suspicions of other members that the broker raised."""
    false_suspicions: int = msgspec.field(name="false_accusations")
    """Suspicions raised by the broker that were refuted."""
    refutations: int
    """Refutations by the broker of others' reports on it."""
    stalls: int
    rejected_messages: int = msgspec.field(name="refused_messages")
    paid_rejections: int = msgspec.field(name="paid_turned_away")


class ShowAnswer(msgspec.Struct, frozen=True):
    """Answer to ``show``."""

    own: str
    """Name of the answering broker."""
    counts: dict[str, str | int]
    """:class:`MembershipCounts` by key, and the counters of the connections to peers."""
    disk_error: str = msgspec.field(name="disk")
    """Error of writes to the store; empty: none."""
    members: tuple[MemberStatus, ...]


class ExplainAnswer(msgspec.Struct, frozen=True, omit_defaults=True):
    """Answer to ``explain``; fields that are None are left out."""

    own: str
    member: MemberStatus
    watchers: tuple[str, ...]
    silent_ms: int | None = None
    """Time since the last message from the member; None: the broker does not watch it."""
    suspected_ms: int | None = msgspec.field(default=None, name="doubted_ms")
    """Time since the member became suspected."""
    reported_ms_ago: dict[str, int] | None = msgspec.field(default=None, name="accused_ms")
    """Time since the last report of each member that suspects it."""
    unreachable_reported_ms_ago: int | None = msgspec.field(default=None, name="deaf_ms")
    """Time since the member last reported that it receives nothing from the broker."""


class DrainAnswer(msgspec.Struct, frozen=True):
    """Answer to ``drain``."""

    own: str
    member: MemberStatus


Answer = ShowAnswer | ExplainAnswer | DrainAnswer


def encode_answer(answer: Answer) -> dict[str, Any]:
    """Encode an answer as a JSON object."""
    encoded: dict[str, Any] = msgspec.to_builtins(answer)
    return encoded


def encode_counts(counts: MembershipCounts) -> dict[str, str | int]:
    """Encode the counts under the keys of the control port."""
    encoded: dict[str, str | int] = msgspec.to_builtins(counts)
    return encoded


def member_status(members: Members, record: Record, now: int) -> MemberStatus:
    """Build the status of the member of a record at the time ``now`` (us)."""
    provenance = members.table.provenance[record.name]
    unchanged_us = now - members.table.changed_at_us[record.name]
    return MemberStatus(
        name=record.name,
        state=record.state.name.lower(),
        incarnation=record.incarnation,
        address=record.address,
        zone=record.zone,
        version=record.version,
        offers=record.offers,
        suspected_by=members.suspected().get(record.name, ()),
        reached=record in members.reached(),
        source=provenance.source,
        reason=provenance.reason,
        since_s=round(unchanged_us / US_PER_S, 1),
    )


def explain_answer(own_name: str, member: MemberStatus, report: MonitoringReport) -> ExplainAnswer:
    """Build the answer that explains the state of a member."""
    suspicion = report.suspicion
    return ExplainAnswer(
        own=own_name,
        member=member,
        watchers=report.watchers,
        silent_ms=_to_ms(report.last_ack_us_ago),
        suspected_ms=_to_ms(suspicion.suspected_for_us) if suspicion is not None else None,
        reported_ms_ago=(
            {source: ago_us // US_PER_MS for source, ago_us in suspicion.reported_us_ago.items()}
            if suspicion is not None
            else None
        ),
        unreachable_reported_ms_ago=_to_ms(report.unreachable_reported_us_ago),
    )


def _to_ms(duration_us: int | None) -> int | None:
    return duration_us // US_PER_MS if duration_us is not None else None
