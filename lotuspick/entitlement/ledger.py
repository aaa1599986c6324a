"""The ledger of seats: the states of a seat at one broker, without I/O and without a clock.

Each change returns a record that the caller must make durable before it acts on the change. A seat is
counted once. A seat whose attempt may have been executed stays indeterminate until there is proof.

    FREE -> RESERVED by an attempt -> COUNTED, and held -> RELEASED
              |  not executed: FREE        |    ^
              |                            v    | its viewer returns: nothing is counted
              |                          VACANT: its session was cut or migrated, not ended by its viewer
              `- outcome unknown: DOUBT -> proof of execution: COUNTED; proof of non-execution: FREE

A seat in DOUBT is granted only to a token with a higher epoch: its issuer knows that the seat is
indeterminate, and a seat counts once for any number of executed attempts. A counted seat stays
counted. A viewer that returns for a counted seat goes through the same states again without another count.
A seat lapses when its token expires: no attempt can reserve it, and the session that holds it is ended.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace
from enum import IntEnum, StrEnum
from typing import NamedTuple

DEFAULT_RENEWAL_GRACE_S = 30  # time after the end of a token in which a renewal is accepted
MAX_INDETERMINATE_SESSIONS = 16  # on one seat; bounds the size of a record


class State(IntEnum):
    """State of one seat at one broker, in the order in which records are merged.

    The numbers are stored on disk, and the names in settled ledgers: neither may change.
    """

    FREE = 0
    RESERVED = 1
    DOUBT = 2
    """Indeterminate: an attempt may have been executed."""
    COUNTED = 3
    """A session holds it."""
    VACANT = 4
    """Counted; its session was cut or migrated, and its viewer may return."""
    RELEASED = 5
    """Counted; its session ended normally. Only a renewal makes it available again."""


HELD_STATES = (State.RESERVED, State.DOUBT, State.COUNTED)
"""States in which the session of the record holds the seat, or may hold it."""


class Verdict(StrEnum):
    """The result of a reservation request."""

    GRANTED = "granted"
    KEPT = "kept"
    """The session already holds the seat: a duplicate request, or a migration. Nothing is counted."""
    WAIT = "wait"
    """Another attempt for the seat is in flight, or its outcome is unknown."""
    IN_USE = "in-use"
    """Another session plays on the seat."""
    SPENT = "spent"
    """The seat was used up, or belongs to another viewer."""
    LAPSED = "lapsed"


@dataclass(frozen=True, slots=True)
class Record:
    """A seat as it is stored. ``epoch`` and ``ends_s`` are those of its newest token."""

    seat: str
    state: State = State.FREE
    session: str = ""
    """The session that holds the seat, or the last one that did."""
    viewer: str = ""
    epoch: int = 0
    ends_s: int = 0
    changes: int = 0
    """Incremented by each change, so that the later of two records of one broker has precedence."""
    counted: bool = False
    """Whether the seat was counted; never reset."""
    from_s: int = 0
    """Time of the first count at this broker, by its clock (Unix seconds)."""
    until_s: int = 0
    """Time of the last release at this broker (Unix seconds); 0: the seat is held, or the time is unknown."""
    indeterminate: tuple[str, ...] = ()
    """Earlier sessions with an unknown outcome, without ``session``; empty once the seat is counted."""


class Reservation(NamedTuple):
    """Result of :meth:`Ledger.reserve`."""

    verdict: Verdict
    record: Record | None
    """Record to make durable before the attempt is forwarded; only with ``GRANTED``."""


class Renewal(NamedTuple):
    """Result of :meth:`Ledger.renew`."""

    valid: bool
    """Whether the seat is valid after the call."""
    record: Record | None
    """Record to write; None: nothing changed."""


class Ledger:
    """The seats of one broker. Owns all records, which change only by its methods.

    Args:
        grace_s: time after the end of a token in which it may still be renewed.
        skew_s: allowed difference between the clocks of issuers and brokers.
    """

    def __init__(self, grace_s: int = DEFAULT_RENEWAL_GRACE_S, skew_s: int = 0) -> None:
        self.grace_s, self.skew_s = grace_s, skew_s
        self.records: dict[str, Record] = {}
        self.indeterminate_count = 0  # seats in DOUBT
        self._seat_by_session: dict[str, str] = {}
        self._sweep_queue: list[str] = []  # seats that later calls of ``forget`` inspect

    def restore(self, records: Iterable[Record]) -> list[Record]:
        """Load stored records. Returns the records that this changes, which must be written.

        Sessions end with their broker: counted seats become vacant, and reserved seats become indeterminate,
        since their attempts may have been executed.
        """
        changed = []
        for record in records:
            if record.state in (State.RESERVED, State.COUNTED):
                state = State.DOUBT if record.state is State.RESERVED else State.VACANT
                record = replace(record, state=state, changes=record.changes + 1)
                changed.append(record)
            self._store(record)
        return changed

    def reserve(
        self,
        now_s: float,
        seat: str,
        session: str,
        viewer: str,
        epoch: int,
        ends_s: int,
        viewer_returned: bool = False,
    ) -> Reservation:
        """Reserve a seat for an attempt. A ``GRANTED`` attempt may be forwarded once its record is durable.

        Args:
            now_s: Unix seconds.
            seat: seat named by the token.
            session: session of the attempt.
            viewer: viewer named by the token.
            epoch: epoch of the token.
            ends_s: end of the token, Unix seconds.
            viewer_returned: the viewer reports that it returned, so that its earlier session has no audience.
        """
        record = self.records.get(seat) or Record(seat)
        if record.session == session and record.state in (State.RESERVED, State.COUNTED):
            return Reservation(Verdict.KEPT, None)
        blocking_verdict = _blocking_verdict(record, viewer, epoch, viewer_returned)
        if blocking_verdict is not None:
            return Reservation(blocking_verdict, None)
        expires_s = max(ends_s, record.ends_s if record.viewer == viewer else 0)
        if expires_s + self.skew_s <= now_s:
            return Reservation(Verdict.LAPSED, None)
        reserved = _with_reservation(record, session, viewer, max(epoch, record.epoch), expires_s)
        return Reservation(Verdict.GRANTED, self._store(reserved))

    def adopt(
        self, now_s: float, seat: str, session: str, viewer: str, epoch: int, ends_s: int
    ) -> Record | None:
        """Assign a seat to a playing session that another broker set up.

        Returns None if another session holds the seat, or may hold it. Arguments as of :meth:`reserve`.
        """
        before = self.records.get(seat) or Record(seat)
        if before.state in HELD_STATES:
            return None
        return self._store(
            Record(
                seat,
                State.COUNTED,
                session,
                viewer,
                max(epoch, before.epoch),
                max(ends_s, before.ends_s),
                before.changes + 1,
                counted=True,
                from_s=before.from_s or int(now_s),
            )
        )

    def mark_executed(self, now_s: float, session: str) -> Record | None:
        """Record proof that a session's set-up was executed: its seat is counted.

        Returns None if no attempt of the session was pending.
        """
        earlier = self._record_with_indeterminate(session)
        record = earlier or self._record_held_by(session, State.RESERVED, State.DOUBT)
        if record is None:
            return None
        return self._store(
            replace(
                record,
                state=record.state if earlier else State.COUNTED,
                changes=record.changes + 1,
                counted=True,
                from_s=record.from_s or int(now_s),
                until_s=0,
                indeterminate=(),
            )
        )

    def mark_not_executed(self, session: str) -> Record | None:
        """Record proof that a session's set-up was not executed. Returns None if no attempt was pending.

        The seat returns to its state before the attempt: free, indeterminate, or counted and vacant.
        """
        record = self._record_with_indeterminate(session)
        if record is not None:
            others = tuple(other for other in record.indeterminate if other != session)
            return self._store(replace(record, changes=record.changes + 1, indeterminate=others))
        record = self._record_held_by(session, State.RESERVED, State.DOUBT)
        if record is None:
            return None
        changes = record.changes + 1
        if record.indeterminate:
            *earlier_sessions, latest = record.indeterminate
            return self._store(
                replace(
                    record,
                    state=State.DOUBT,
                    session=latest,
                    indeterminate=tuple(earlier_sessions),
                    changes=changes,
                )
            )
        state = State.VACANT if record.counted else State.FREE
        return self._store(replace(record, state=state, changes=changes))

    def mark_indeterminate(self, session: str) -> Record | None:
        """Mark the seat of a set-up with unknown outcome as indeterminate; None: none was reserved."""
        record = self._record_held_by(session, State.RESERVED)
        if record is None:
            return None
        return self._store(replace(record, state=State.DOUBT, changes=record.changes + 1))

    def mark_ended(self, now_s: float, session: str, vacant: bool = False) -> Record | None:
        """Record the end of a session; ``vacant``: not by its viewer. Returns None if it held no seat."""
        record = self._record_held_by(session, State.COUNTED)
        if record is None:
            return None
        state = State.VACANT if vacant else State.RELEASED
        return self._store(replace(record, state=state, changes=record.changes + 1, until_s=int(now_s)))

    def renew(self, now_s: float, seat: str, viewer: str, epoch: int, ends_s: int) -> Renewal:
        """Accept a newer token of a seat in use. Nothing is counted.

        A token of the same or an older epoch changes nothing. A token that arrives after the end of the
        previous one is accepted within the grace period. Arguments as of :meth:`reserve`.
        """
        record, tolerance_s = self.records.get(seat), self.grace_s + self.skew_s
        if record is None or record.viewer != viewer or record.state in (State.FREE, State.RELEASED):
            return Renewal(False, None)
        if epoch <= record.epoch:
            return Renewal(record.ends_s + tolerance_s > now_s, None)
        if record.ends_s + tolerance_s <= now_s or ends_s + self.skew_s <= now_s:
            return Renewal(False, None)
        renewed = replace(record, epoch=epoch, ends_s=max(ends_s, record.ends_s), changes=record.changes + 1)
        return Renewal(True, self._store(renewed))

    def forget(self, now_s: float, retention_s: float, limit: int) -> list[str]:
        """Remove resolved seats that no valid token can name any more. Returns the seats to delete on disk.

        Args:
            now_s: Unix seconds.
            retention_s: additional time for which counted seats are kept, for settlement.
            limit: number of seats inspected in this call; the next call continues after them.
        """
        if not self._sweep_queue:
            self._sweep_queue = list(self.records)
        inspected, self._sweep_queue = self._sweep_queue[-limit:], self._sweep_queue[:-limit]
        forgotten = [seat for seat in inspected if self._is_obsolete(seat, now_s, retention_s)]
        for seat in forgotten:
            self._seat_by_session.pop(self.records.pop(seat).session, None)
        return forgotten

    def _is_obsolete(self, seat: str, now_s: float, retention_s: float) -> bool:
        record = self.records.get(seat)
        if record is None or record.state in HELD_STATES:
            return False
        expires_s = record.ends_s + self.skew_s + self.grace_s + (retention_s if record.counted else 0)
        return expires_s < now_s

    def _record_held_by(self, session: str, *states: State) -> Record | None:
        """Return the record of the seat that a session holds, if it is in one of the states."""
        record = self.records.get(self._seat_by_session.get(session, ""))
        return record if record is not None and record.session == session and record.state in states else None

    def _record_with_indeterminate(self, session: str) -> Record | None:
        """Return the record whose earlier indeterminate sessions include this session."""
        record = self.records.get(self._seat_by_session.get(session, ""))
        return record if record is not None and session in record.indeterminate else None

    def _store(self, record: Record) -> Record:
        before = self.records.get(record.seat)
        if before is not None:
            self.indeterminate_count -= before.state is State.DOUBT
            for session in (before.session, *before.indeterminate):
                self._seat_by_session.pop(session, None)
        self.indeterminate_count += record.state is State.DOUBT
        self.records[record.seat] = record
        if record.state in HELD_STATES:
            self._seat_by_session[record.session] = record.seat
        for session in record.indeterminate:
            self._seat_by_session[session] = record.seat
        return record


def _with_reservation(record: Record, session: str, viewer: str, epoch: int, ends_s: int) -> Record:
    unresolved = (record.session,) if _is_unresolved(record) else ()
    return replace(
        record,
        state=State.RESERVED,
        session=session,
        viewer=viewer,
        epoch=epoch,
        ends_s=ends_s,
        changes=record.changes + 1,
        indeterminate=record.indeterminate + unresolved,
    )


def _is_unresolved(record: Record) -> bool:
    """Return whether an attempt for the seat may still turn out to be the one that counts it."""
    return record.state is State.DOUBT and not record.counted


def _blocking_verdict(record: Record, viewer: str, epoch: int, viewer_returned: bool) -> Verdict | None:
    """Return the verdict that bars another session from the seat at any time; None: nothing bars it."""
    state, renewed = record.state, epoch > record.epoch
    if record.viewer not in ("", viewer) and state is not State.FREE:
        return Verdict.SPENT
    list_full = len(record.indeterminate) >= MAX_INDETERMINATE_SESSIONS
    if state is State.RESERVED or (_is_unresolved(record) and (not renewed or list_full)):
        return Verdict.WAIT
    if state is State.COUNTED and not viewer_returned:
        return Verdict.IN_USE
    if state is State.RELEASED and not renewed:
        return Verdict.SPENT  # a replay: only a renewal makes the seat available again
    return None
