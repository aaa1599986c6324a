"""What becomes of a seat. Pure decisions: each returns a verdict, and the record that must be written before it is
acted on. A seat is counted once; what may have run stays in doubt until there is proof.

    free -> reserved by an attempt -> counted, and held -> released
              |  never ran: free        |    ^
              |                         v    | its viewer comes again: nothing is counted
              |                        vacant, cut or moved by no wish of its viewer
              `- fate unknown: in doubt -> proof that it ran: counted; proof that it did not: free

A seat in doubt lets nobody in but a token with a higher epoch: who signs it knows of the doubt, and a seat counts once
however many attempts of it may have run. It stays counted for good. Who comes again for a counted seat goes through
the same states once more, and counts nothing. A token that has expired lapses a seat: no attempt gets it, and who holds
it is told to go.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace
from enum import IntEnum, StrEnum

GRACE_S = 30  # a renewal that comes so long after the end is honoured
MOST_DOUBTED = 16  # sessions in doubt on one seat


class State(IntEnum):
    """Of one seat at one broker, in the order in which records of it are merged."""

    FREE = 0
    RESERVED = 1
    DOUBT = 2
    COUNTED = 3
    """A session holds it."""
    VACANT = 4
    """Counted, and its session was cut or moved: its viewer may come again."""
    RELEASED = 5
    """Counted, and its session has ended as it should: only a renewal opens it again."""


class Verdict(StrEnum):
    """The answer to a set-up."""

    GRANTED = "granted"
    KEPT = "kept"
    """The session holds the seat already: sent again, or moved. Nothing is counted."""
    WAIT = "wait"
    """Another attempt of the seat is out, or its fate is unknown."""
    IN_USE = "in-use"
    """Another session plays on it."""
    SPENT = "spent"
    """It was used up, or is another viewer's."""
    LAPSED = "lapsed"


@dataclass(frozen=True, slots=True)
class Record:
    """A seat as it is written. ``epoch`` and ``ends_s`` are those of its newest token."""

    seat: str
    state: State = State.FREE
    session: str = ""
    """Who holds it."""
    viewer: str = ""
    epoch: int = 0
    ends_s: int = 0
    changes: int = 0
    """Rises with each change, so that of two records of one broker the later one wins."""
    counted: bool = False
    """Once, for good."""
    from_s: int = 0
    """When it was first counted here, by the broker's clock."""
    until_s: int = 0
    """When it was last given up here; 0: it is held, or that is not known."""
    doubted: tuple[str, ...] = ()
    """Sessions tried before the one named, whose fate is unknown; none once the seat is counted."""


class Ledger:
    """The seats of one broker. ``restore`` takes what was written; what was reserved then is in doubt now.
    ``skew_s``: clocks of issuers and brokers may differ by so much; ``grace_s``: renewals may come so late."""

    def __init__(self, grace_s: int = GRACE_S, skew_s: int = 0) -> None:
        self.grace_s, self.skew_s = grace_s, skew_s
        self.records: dict[str, Record] = {}
        self.holds: dict[str, str] = {}  # seat by session
        self.in_doubt = 0
        self.round: list[str] = []  # seats that the next looks of ``forget`` are at

    def restore(self, records: Iterable[Record]) -> list[Record]:
        """Start from written records; returns those that change by it, to be written. Sessions end with their broker,
        so that what they held is vacant; what was reserved may have run."""
        changed = []
        for record in records:
            if record.state in (State.RESERVED, State.COUNTED):
                state = State.DOUBT if record.state is State.RESERVED else State.VACANT
                record = replace(record, state=state, changes=record.changes + 1)
                changed.append(record)
            self._keep(record)
        return changed

    def reserve(
        self, now_s: float, seat: str, session: str, viewer: str, epoch: int, ends_s: int, again: bool = False
    ) -> tuple[Verdict, Record | None]:
        """A set-up asks for its seat. Only a ``GRANTED`` one may be sent, once its record is written. ``again``: its
        viewer says that it comes again, so that whatever still plays for it plays to nobody."""
        held = self.records.get(seat, Record(seat))
        if held.session == session and held.state in (State.RESERVED, State.COUNTED):
            return Verdict.KEPT, None
        if held.viewer not in ("", viewer) and held.state is not State.FREE:
            return Verdict.SPENT, None
        unsure = held.state is State.DOUBT and not held.counted
        if (
            held.state is State.RESERVED
            or unsure
            and (epoch <= held.epoch or len(held.doubted) >= MOST_DOUBTED)
        ):
            return Verdict.WAIT, None
        if held.state is State.COUNTED and not again:
            return Verdict.IN_USE, None
        if held.state is State.RELEASED and epoch <= held.epoch:
            return Verdict.SPENT, None  # a replay: only a renewal fills the seat again
        last_s = max(ends_s, held.ends_s if held.viewer == viewer else 0)
        if last_s + self.skew_s <= now_s:
            return Verdict.LAPSED, None
        return Verdict.GRANTED, self._keep(
            replace(
                held,
                state=State.RESERVED,
                session=session,
                viewer=viewer,
                epoch=max(epoch, held.epoch),
                ends_s=last_s,
                changes=held.changes + 1,
                doubted=(*held.doubted, held.session) if unsure else held.doubted,
            )
        )

    def handed_over(
        self, now_s: float, seat: str, session: str, viewer: str, epoch: int, ends_s: int
    ) -> Record | None:
        """A session that plays already, set up by another broker: it holds its seat here from now on."""
        held = self.records.get(seat, Record(seat))
        if held.state in (State.RESERVED, State.DOUBT, State.COUNTED):
            return None
        return self._keep(
            Record(
                seat,
                State.COUNTED,
                session,
                viewer,
                max(epoch, held.epoch),
                max(ends_s, held.ends_s),
                held.changes + 1,
                True,
                held.from_s or int(now_s),
            )
        )

    def ran(self, now_s: float, session: str) -> Record | None:
        """Proof that the set-up ran: the seat is counted."""
        before = self._doubted(session)
        held = before or self._of(session, State.RESERVED, State.DOUBT)
        if held is None:
            return None
        return self._keep(
            replace(
                held,
                state=held.state if before else State.COUNTED,
                changes=held.changes + 1,
                counted=True,
                from_s=held.from_s or int(now_s),
                until_s=0,
                doubted=(),
            )
        )

    def never_ran(self, session: str) -> Record | None:
        """Proof that it did not: the seat is as it was before, free, in doubt, or counted and vacant."""
        held = self._doubted(session)
        if held is not None:
            rest = tuple(each for each in held.doubted if each != session)
            return self._keep(replace(held, changes=held.changes + 1, doubted=rest))
        held = self._of(session, State.RESERVED, State.DOUBT)
        if held is not None and held.doubted:
            return self._keep(
                replace(
                    held,
                    state=State.DOUBT,
                    session=held.doubted[-1],
                    doubted=held.doubted[:-1],
                    changes=held.changes + 1,
                )
            )
        return held and self._keep(
            replace(held, state=State.VACANT if held.counted else State.FREE, changes=held.changes + 1)
        )

    def unknown(self, session: str) -> Record | None:
        """Its fate is unknown: the seat waits for proof."""
        held = self._of(session, State.RESERVED)
        return held and self._keep(replace(held, state=State.DOUBT, changes=held.changes + 1))

    def over(self, now_s: float, session: str, vacant: bool = False) -> Record | None:
        """The session that held the seat has ended; ``vacant``: by no wish of its viewer."""
        held = self._of(session, State.COUNTED)
        return held and self._keep(
            replace(
                held,
                state=State.VACANT if vacant else State.RELEASED,
                changes=held.changes + 1,
                until_s=int(now_s),
            )
        )

    def renew(
        self, now_s: float, seat: str, viewer: str, epoch: int, ends_s: int
    ) -> tuple[bool, Record | None]:
        """A newer token of a seat that is in use. Counts nothing; the same or an older epoch changes nothing. One
        that comes after the end is honoured within the grace. Returns whether the seat is good from now on."""
        held, late_s = self.records.get(seat), self.grace_s + self.skew_s
        if held is None or held.viewer != viewer or held.state in (State.FREE, State.RELEASED):
            return False, None
        if epoch <= held.epoch:
            return held.ends_s + late_s > now_s, None
        if held.ends_s + late_s <= now_s or ends_s + self.skew_s <= now_s:
            return False, None
        return True, self._keep(
            replace(held, epoch=epoch, ends_s=max(ends_s, held.ends_s), changes=held.changes + 1)
        )

    def forget(self, now_s: float, keep_s: float, most: int) -> list[str]:
        """Seats that no good token can name any more, and that nothing is open about: dropped here, and to be dropped
        from disk. What is counted is kept for ``keep_s`` longer, so that it can be settled. Looks at ``most`` seats,
        and at the next ones in the next call, until it has been round."""
        gone = []
        if not self.round:
            self.round = list(self.records)
        looked, self.round = self.round[-most:], self.round[:-most]
        for seat in looked:
            record = self.records.get(seat)
            if record is None:
                continue
            last_s = record.ends_s + self.skew_s + self.grace_s + (keep_s if record.counted else 0)
            if record.state in (State.FREE, State.VACANT, State.RELEASED) and last_s < now_s:
                gone.append(seat)
        for seat in gone:
            self.holds.pop(self.records.pop(seat).session, None)
        return gone

    def _of(self, session: str, *states: State) -> Record | None:
        """The seat that a session holds, where it is in one of the states."""
        record = self.records.get(self.holds.get(session, ""))
        return record if record is not None and record.session == session and record.state in states else None

    def _doubted(self, session: str) -> Record | None:
        """The seat of which a session, tried before the present one, may have run."""
        record = self.records.get(self.holds.get(session, ""))
        return record if record is not None and session in record.doubted else None

    def _keep(self, record: Record) -> Record:
        before = self.records.get(record.seat)
        if before is not None:
            self.in_doubt -= before.state is State.DOUBT
            for session in (before.session, *before.doubted):
                self.holds.pop(session, None)
        self.in_doubt += record.state is State.DOUBT
        self.records[record.seat] = record
        if record.state in (State.RESERVED, State.DOUBT, State.COUNTED):
            self.holds[record.session] = record.seat
        for session in record.doubted:
            self.holds[session] = record.seat
        return record
