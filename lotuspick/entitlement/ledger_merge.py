"""Merging of the ledgers of brokers without shared state, independent of order and repetition."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, replace
from enum import StrEnum
from itertools import pairwise

from lotuspick.entitlement.ledger import Record, State

UNRESOLVED_STATES = frozenset({State.RESERVED, State.DOUBT})
Ledgers = Mapping[tuple[str, str], Record]
"""Records by broker and seat."""
OPEN_END_S = 1 << 60  # end of a period whose end is unknown


class ConflictKind(StrEnum):
    """Certainty that two brokers had a seat at the same time. The values are used in reports."""

    AT_ONCE = "at-once"
    """Two brokers counted the seat, and their periods overlap."""
    PERHAPS = "perhaps"
    """Two brokers counted the seat, and the time of one release is unknown; a migration looks the same."""
    INDETERMINATE = "doubt"
    """One broker counted the seat, and another has an attempt with an unknown outcome."""


@dataclass(frozen=True, slots=True)
class Conflict:
    """A seat that more than one broker counted or may have counted."""

    seat: str
    kind: ConflictKind
    counted: tuple[str, ...]
    """Brokers that counted the seat, sorted."""
    indeterminate: tuple[str, ...]
    """Brokers with an attempt whose outcome is unknown, sorted."""


def merge_ledgers(*ledgers: Ledgers) -> dict[tuple[str, str], Record]:
    """Keep the latest record of each broker and seat. Commutative, associative and idempotent."""
    merged: dict[tuple[str, str], Record] = {}
    for ledger in ledgers:
        for key, record in ledger.items():
            before = merged.get(key)
            if before is None or _precedence(record) > _precedence(before):
                merged[key] = record
    return merged


def apply_proofs(merged: Ledgers, executed: Mapping[str, bool]) -> dict[tuple[str, str], Record]:
    """Resolve indeterminate seats by proof. Nothing else resolves them.

    Args:
        merged: records of all brokers.
        executed: by session: whether its set-up was executed, as reported by media nodes.
    """
    resolved = dict(merged)
    for key, record in merged.items():
        changed = _apply_proofs_to_record(record, executed)
        if changed is not None:
            resolved[key] = replace(changed, changes=record.changes + 1)
    return resolved


def counted_seats(merged: Ledgers) -> dict[str, tuple[str, ...]]:
    """Return the counted seats, sorted, each with the brokers that counted it."""
    brokers_by_seat: dict[str, set[str]] = {}
    for (broker, seat), record in merged.items():
        if record.counted:
            brokers_by_seat.setdefault(seat, set()).add(broker)
    return _sorted_by_seat(brokers_by_seat)


def indeterminate_seats(merged: Ledgers) -> dict[str, tuple[str, ...]]:
    """Return the uncounted seats with unresolved attempts, sorted, each with the brokers that made them."""
    counted = counted_seats(merged)
    brokers_by_seat: dict[str, set[str]] = {}
    for (broker, seat), record in merged.items():
        if _unresolved_sessions(record) and seat not in counted:
            brokers_by_seat.setdefault(seat, set()).add(broker)
    return _sorted_by_seat(brokers_by_seat)


def conflicts(merged: Ledgers) -> list[Conflict]:
    """Return the seats that two brokers had, sorted, except those whose session migrated between them."""
    by_seat: dict[str, list[tuple[str, Record]]] = {}
    for (broker, seat), record in sorted(merged.items(), key=lambda entry: entry[0]):
        if record.counted or _unresolved_sessions(record):
            by_seat.setdefault(seat, []).append((broker, record))
    found = (_conflict(seat, holders) for seat, holders in sorted(by_seat.items()))
    return [conflict for conflict in found if conflict is not None]


def _precedence(record: Record) -> tuple[int, State, bool, int, int, int, int, str, tuple[str, ...]]:
    """Return the sort key of a record: the number of changes, then other fields for a total order."""
    return (
        record.changes,
        record.state,
        record.counted,
        record.epoch,
        record.ends_s,
        record.from_s,
        record.until_s,
        record.session,
        record.indeterminate,
    )


def _apply_proofs_to_record(record: Record, executed: Mapping[str, bool]) -> Record | None:
    """Return the record after the proofs, ``changes`` not yet incremented; None: they do not concern it."""
    unresolved = _unresolved_sessions(record)
    remaining = [session for session in unresolved if session not in executed]
    if any(executed.get(session) for session in unresolved):
        return replace(record, state=State.VACANT, counted=True, indeterminate=())
    if len(remaining) == len(unresolved):
        return None
    if remaining:
        return replace(record, state=State.DOUBT, session=remaining[-1], indeterminate=tuple(remaining[:-1]))
    return replace(record, state=State.VACANT if record.counted else State.FREE, indeterminate=())


def _unresolved_sessions(record: Record) -> tuple[str, ...]:
    """Return the sessions of the seat whose set-up may have been executed."""
    return (*record.indeterminate, *([record.session] if record.state in UNRESOLVED_STATES else []))


def _sorted_by_seat(brokers_by_seat: Mapping[str, set[str]]) -> dict[str, tuple[str, ...]]:
    return {seat: tuple(sorted(brokers_by_seat[seat])) for seat in sorted(brokers_by_seat)}


def _conflict(seat: str, holders: Sequence[tuple[str, Record]]) -> Conflict | None:
    counted = {broker: record for broker, record in holders if record.counted}
    unresolved = tuple(broker for broker, record in holders if not record.counted)
    kind = _overlap([*counted.values()]) if len(counted) > 1 else None
    if kind is None and counted and unresolved:
        kind = ConflictKind.INDETERMINATE
    return Conflict(seat, kind, tuple(counted), unresolved) if kind is not None else None


def _overlap(records: Iterable[Record]) -> ConflictKind | None:
    """Return whether periods overlap. A broker that was killed did not record the end of its period."""
    periods = sorted((record.from_s, record.until_s or OPEN_END_S) for record in records)
    successive = list(pairwise(periods))
    if any(before[1] != OPEN_END_S and before[1] > after[0] for before, after in successive):
        return ConflictKind.AT_ONCE
    return ConflictKind.PERHAPS if any(before[1] == OPEN_END_S for before, _ in successive) else None
