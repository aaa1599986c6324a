"""Seats behind the core's one question: whether a paid set-up has one, and whether that is written down.

:class:`SeatConstraints` is a :class:`lotuspick.core.constraints.ConstraintProvider`. A request with a token is judged when it is first asked
about; from then on it waits until its reservation lasts on disk, and only then may be sent. What becomes of it is heard
from the core, and proof alone moves its seat on. No I/O: records go to a :class:`Journal`, and clocks are arguments.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any, Protocol

from lotuspick.core.actions import FailSession, ForwardAttempt, Observation, RejectSession
from lotuspick.core.constraints import UNCONSTRAINED, PlacementConstraint
from lotuspick.core.events import (
    PROVES_NOT_EXECUTED,
    AttemptEnded,
    AttemptResolved,
    SessionPlaying,
    SessionRequest,
    SessionStarted,
    ViewerDisconnected,
)
from lotuspick.core.operator_events import OperatorEvent, RateLimitedEvents
from lotuspick.entitlement.ledger import Ledger, Record, State, Verdict
from lotuspick.entitlement.model import Seat, TokenError, TokenRejection
from lotuspick.entitlement.tokens import Checker

SECOND = 1_000_000
GAP_S = 1.0  # between tries at a seat whose fate is not known, or that cannot be written
KEEP_S = 30 * 86_400  # counted seats stay so long after their last token's end, to be settled
WAIT_US = (
    500_000  # for the disk, and for proof: also where set-ups take so long that nobody would be held at all
)
LOOK = 2_000  # seats looked at in a sweep, whether they can be dropped
MISSING, IN_DOUBT, DISK = "token-missing", "seat-in-doubt", "seat-store"
REASONS = {Verdict.IN_USE: "seat-in-use", Verdict.SPENT: "token-spent", Verdict.LAPSED: "token-lapsed"}
"""What starts with ``token-`` no further try with the same token changes."""


class Journal(Protocol):
    """Where records are made to last."""

    def submit(self, record: Record, done: Callable[[str], None]) -> None:
        """Write a record. ``done`` is called later, not from within, with what was wrong or with nothing."""

    def drop(self, seats: list[str], done: Callable[[str], None]) -> None:
        """Drop seats."""


@dataclass(frozen=True, slots=True)
class Rules:
    """What an installation asks for."""

    classes: frozenset[str]
    """Classes whose sessions take seats; they are paid."""
    required: bool = True
    """Whether such a session needs a token; else one without plays as it does without seats."""
    gap_s: float = GAP_S
    keep_s: float = KEEP_S


@dataclass(slots=True, eq=False)
class Held:
    """One session with a token, from its first question to its end."""

    ask: SessionRequest
    seat: Seat
    reserved: bool = False
    lasts: bool = False
    """Its reservation is written."""
    fault: str = ""
    attempts: int = 0
    out: bool = False
    """An attempt is out."""
    answered: bool = False
    stands: bool = False
    supersedes: str = ""
    """The session of the same viewer that held the seat before."""
    until_us: int = 0
    """When its seat lapses, on the clock of the decisions."""


class SeatConstraints:
    """Keeps each seat to one session, counted once. ``wall``: Unix seconds as the system has them now, by which tokens
    are judged; all else goes by the clock of the decisions, which is never set, so that no step of the system's clock
    ends a session."""

    max_wait_us = WAIT_US

    def __init__(
        self, rules: Rules, checker: Checker, ledger: Ledger, journal: Journal, wall: Callable[[], float]
    ) -> None:
        self.rules, self.checker, self.ledger, self.journal, self.wall = rules, checker, ledger, journal, wall
        self.held: dict[str, Held] = {}
        self.revoked: Mapping[str, int] = {}
        self.due: deque[tuple[str, str]] = deque()
        """Sessions that are to end, and why: ``lapsed`` or ``superseded``."""
        self.lines = RateLimitedEvents()
        self.counts: Counter[str] = Counter()  # since the last summary
        self.unwritten: dict[str, Record] = {}  # by seat: the write failed, and is tried again
        self.hears: dict[type, Callable[[Any, int], None]] = {
            SessionPlaying: self._playing,
            ForwardAttempt: self._sent,
            SessionStarted: self._started,
            AttemptEnded: self._ended,
            RejectSession: self._answered,
            FailSession: self._answered,
            ViewerDisconnected: self._gone,
            AttemptResolved: self._proof,
        }

    # ---- the question -------------------------------------------------------------------------------------

    def constraint_for(self, now: int, request: SessionRequest) -> PlacementConstraint:
        """Whether the session may be sent, at clock time ``now`` (us)."""
        if request.session_class not in self.rules.classes or not (request.token or self.rules.required):
            return UNCONSTRAINED
        held = self.held.get(request.session)
        if held is None:
            try:
                seat = self._check(request, request.token)
            except TokenError as fault:
                return self._turn_away(now, request, f"token-{fault.fault.value}", fault.detail)
            held = self.held[request.session] = Held(request, seat)
        if not held.reserved:
            return self._reserve(now, held)
        if held.fault:
            return self._turn_away(now, request, DISK, held.fault)
        return (
            UNCONSTRAINED
            if held.lasts
            else PlacementConstraint(pending_reason=DISK, retry_after_us=int(self.rules.gap_s * SECOND))
        )

    def _check(self, request: SessionRequest, token: str, grace_s: float = 0.0) -> Seat:
        if not token:
            raise TokenError(TokenRejection.MISSING)
        seat = self.checker.check(token, self.wall(), grace_s)
        if seat.seat in self.revoked:
            raise TokenError(TokenRejection.REVOKED)
        for name, told, asked in (
            ("sub", seat.viewer, request.viewer),
            ("les", seat.lesson, request.title),
            ("cls", seat.cls, request.session_class),
            ("ten", seat.tenant, request.tenant or seat.tenant),
        ):
            if told != asked:
                raise TokenError(TokenRejection.OTHER, name)
        return seat

    def _reserve(self, now: int, held: Held) -> PlacementConstraint:
        ask, seat = held.ask, held.seat
        before = self.ledger.records.get(seat.seat)
        verdict, record = self.ledger.reserve(
            self.wall(),
            seat.seat,
            ask.session,
            seat.viewer,
            seat.epoch,
            seat.ends_s,
            ask.returned or ask.moved,
        )
        if verdict in REASONS:
            return self._turn_away(now, ask, REASONS[verdict], seat.seat)
        if verdict is Verdict.WAIT:
            return PlacementConstraint(pending_reason=IN_DOUBT, retry_after_us=int(self.rules.gap_s * SECOND))
        held.reserved, held.lasts = True, record is None
        if record is None:
            return UNCONSTRAINED
        self.counts["reserved"] += 1
        if before is not None and before.state is State.COUNTED:
            held.supersedes = before.session
        self.journal.submit(record, lambda fault: self._lasting(held, fault))
        return PlacementConstraint(pending_reason=DISK, retry_after_us=int(self.rules.gap_s * SECOND))

    def _lasting(self, held: Held, fault: str) -> None:
        held.lasts, held.fault = not fault, fault

    def _turn_away(self, now: int, ask: SessionRequest, reason: str, detail: str) -> PlacementConstraint:
        self.lines.record(
            now, "turned away", reason, reason=reason, session=ask.session, tenant=ask.tenant, detail=detail
        )
        return PlacementConstraint(reason=reason, retry_after_us=int(self.rules.gap_s * SECOND))

    # ---- what became of it --------------------------------------------------------------------------------

    def on_event(self, now: int, fact: Observation) -> None:
        """Hear what the core was told and did. Facts on sessions that are not known here are passed over."""
        hear = self.hears.get(type(fact))
        if hear is not None:
            hear(fact, now)

    def _write(self, record: Record | None) -> None:
        """Have a record written that nothing waits for: until it lasts, what lies on disk claims less certainty."""
        if record is not None:
            self.unwritten.pop(record.seat, None)
            self.journal.submit(record, lambda fault: self._written(record, fault))

    def _written(self, record: Record, fault: str) -> None:
        if fault and self.ledger.records.get(record.seat) is record:
            self.unwritten[record.seat] = record

    def _playing(self, ask: SessionPlaying, now: int) -> None:
        if ask.session in self.held or ask.session_class not in self.rules.classes:
            return
        try:
            seat = self._check(ask, ask.token)
        except TokenError:
            return  # it plays, and was paid for elsewhere: it is not cut for that
        record = self.ledger.handed_over(
            self.wall(), seat.seat, ask.session, seat.viewer, seat.epoch, seat.ends_s
        )
        if record is not None:
            held = self.held[ask.session] = Held(ask, seat, True, True, attempts=1, stands=True)
            self._lease(held, now)
            self._write(record)

    def _sent(self, action: ForwardAttempt, now: int) -> None:
        held = self.held.get(action.session)
        if held is not None:
            held.attempts, held.out = held.attempts + 1, True

    def _started(self, event: SessionStarted, now: int) -> None:
        held = self.held.get(event.session)
        if held is None or not held.out or event.attempt != held.attempts - 1:
            return
        held.out, held.stands = False, True
        self._lease(held, now)
        before = self.ledger.records[held.seat.seat]
        self.counts["again" if before.counted else "counted"] += 1
        self._write(self.ledger.ran(self.wall(), event.session))
        if held.supersedes in self.held:
            self.due.append((held.supersedes, "superseded"))

    def _ended(self, event: AttemptEnded, now: int) -> None:
        held = self.held.get(event.session)
        if held is None or event.attempt != held.attempts - 1 or not (held.out or held.stands):
            return
        if held.stands:
            del self.held[event.session]
            vacant = not (event.viewer_left or event.outcome == "served")
            self._write(self.ledger.over(self.wall(), event.session, vacant))
            return
        held.out = False
        if event.outcome not in PROVES_NOT_EXECUTED:
            self.counts["doubt"] += 1
            self._write(self.ledger.unknown(event.session))
        if event.final or held.answered:
            self._let_go(held)

    def _answered(self, action: RejectSession | FailSession, now: int) -> None:
        held = self.held.get(action.session)
        if isinstance(action, RejectSession) and action.reason:
            self.counts[action.reason] += 1
        if held is not None and not held.stands:
            held.answered = True
            if not held.out:
                self._let_go(held)

    def _gone(self, event: ViewerDisconnected, now: int) -> None:
        held = self.held.get(event.session)
        if held is not None and not held.stands:
            held.answered = True
            if not held.out:
                self._let_go(held)

    def _let_go(self, held: Held) -> None:
        """It is answered and no attempt is out: if none may have run, its seat is as it was before."""
        del self.held[held.ask.session]
        if held.reserved:
            record = self.ledger.records.get(held.seat.seat)
            if record is not None and record.session == held.ask.session and record.state is State.RESERVED:
                self._write(self.ledger.never_ran(held.ask.session))

    def _proof(self, event: AttemptResolved, now: int) -> None:
        """Word on an attempt after its request was answered. What ran is let go at once, since its viewer has gone. It
        may come ahead of the attempt's end, which then has nothing to tell any more."""
        held = self.held.get(event.session)
        if held is not None and held.answered and not held.stands:
            del self.held[event.session]
        self.prove(now, event.session, event.executed)

    def prove(self, now: int, session: str, ran: bool) -> bool:
        """Settle a doubt by proof, be it from a node's late word or from an operator. Whether there was one."""
        if session in self.held:
            return False
        if not ran:
            record = self.ledger.never_ran(session)
        elif (record := self.ledger.ran(self.wall(), session)) is not None:
            record = self.ledger.over(self.wall(), session, vacant=True) or record
        self._write(record)
        self.counts["proved"] += record is not None
        return record is not None

    # ---- renewals, revocations, lapse ---------------------------------------------------------------------

    def renew(self, now: int, session: str, token: str, done: Callable[[str], None]) -> None:
        """A newer token for a session that plays. ``done`` is called, maybe at once, with a reason, or with nothing
        once the renewal lasts."""
        held = self.held.get(session)
        if held is None or not held.stands:
            done("session-unknown")
            return
        try:
            seat = self._check(held.ask, token, self.ledger.grace_s)
            if seat.seat != held.seat.seat:
                raise TokenError(TokenRejection.OTHER, "jti")
        except TokenError as fault:
            done(f"token-{fault.fault.value}")
            return
        good, record = self.ledger.renew(self.wall(), seat.seat, seat.viewer, seat.epoch, seat.ends_s)
        if not good:
            done("seat-lapsed")
            return
        if record is None:
            done("")  # heard before, or overtaken by a newer one
            return
        self.counts["renewed"] += 1

        def written(fault: str) -> None:
            self._written(record, fault)
            if not fault:
                held.seat = seat
                self._lease(held, now)
            done(DISK if fault else "")

        self.journal.submit(record, written)

    def _lease(self, held: Held, now: int) -> None:
        """From here on the decisions' clock tells how long the seat is good, whatever is done to the system's."""
        record = self.ledger.records.get(held.seat.seat)
        ends_s = max(held.seat.ends_s, record.ends_s if record is not None else 0)
        left_s = ends_s + self.ledger.skew_s + self.ledger.grace_s - self.wall()
        held.until_us = now + max(0, int(left_s * SECOND))

    def keys(self, checker: Checker) -> None:
        """Check by other keys from now on. What stands plays on: a key withdrawn spoils tokens, not sessions."""
        self.checker = checker

    def revoke(self, revoked: Mapping[str, int]) -> None:
        """Refuse these seats from now on, and end what plays on them."""
        self.revoked = revoked
        for session, held in self.held.items():
            if held.stands and held.seat.seat in revoked:
                self.due.append((session, "lapsed"))

    def sweep(self, now: int) -> None:
        """Now and then: end what has lapsed, write again what could not be written, drop what nobody needs."""
        for session, held in self.held.items():
            if held.stands and held.until_us <= now:
                self.counts["lapsed"] += 1
                held.until_us = now + 10 * SECOND  # asked once, and again should that be lost
                self.due.append((session, "lapsed"))
        again, self.unwritten = self.unwritten, {}
        for record in again.values():
            self._write(record)
        gone = self.ledger.forget(self.wall(), self.rules.keep_s, LOOK)
        if gone:
            self.journal.drop(gone, lambda fault: None)  # what stays on disk is dropped after the next start

    def dismissed(self) -> list[tuple[str, str]]:
        """Sessions that are to end since the last call, and why."""
        due = list(self.due)
        self.due.clear()
        return due

    # ---- for operators ------------------------------------------------------------------------------------

    def take_events(self) -> list[OperatorEvent]:
        """The lines since the last call."""
        return self.lines.take_events()

    def summary(self) -> OperatorEvent:
        """What happened since the last summary, and what stands."""
        fields: dict[str, str | int | float] = {
            "seats": len(self.ledger.records),
            "held": len(self.held),
            "in_doubt": self.ledger.in_doubt,
            "unwritten": len(self.unwritten),
        }
        fields |= {key.replace("-", "_"): count for key, count in sorted(self.counts.items())}
        self.counts.clear()
        return OperatorEvent("seats", fields)
