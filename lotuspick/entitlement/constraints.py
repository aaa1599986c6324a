"""Placement constraints of entitlements: a paid session is forwarded once its seat is durably reserved.

:class:`SeatConstraints` is a :class:`lotuspick.core.constraints.ConstraintProvider`. The token of a request
is checked when the first constraint is computed for the request. The session then waits until its
reservation is durable, and is forwarded only after that. The core reports the outcome of each attempt; only
proof of execution or of non-execution changes the state of the seat further. The module does no I/O: records
go to a :class:`~lotuspick.entitlement.seat_session.Journal`, and clocks are arguments.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable, Mapping
from typing import Any

from lotuspick.core.actions import FailSession, ForwardAttempt, Observation, RejectSession
from lotuspick.core.constraints import UNCONSTRAINED, PlacementConstraint
from lotuspick.core.events import (
    PROVES_NOT_EXECUTED,
    AttemptEnded,
    AttemptOutcome,
    AttemptResolved,
    SessionPlaying,
    SessionRequest,
    SessionStarted,
    ViewerDisconnected,
)
from lotuspick.core.operator_events import OperatorEvent, RateLimitedEvents
from lotuspick.entitlement.ledger import Ledger, Record, State, Verdict
from lotuspick.entitlement.model import Seat, TokenError, TokenRejection
from lotuspick.entitlement.renewal import RenewalCallback, RenewalFailure, RenewalRejection
from lotuspick.entitlement.request_check import check_request_token
from lotuspick.entitlement.seat_session import (
    EntitlementRules,
    Journal,
    SeatChange,
    SeatSession,
    SeatTermination,
    SessionTermination,
)
from lotuspick.entitlement.tokens import TokenVerifier

SECOND_US = 1_000_000
MAX_WAIT_US = (
    # Maximum wait for the disk and for proof. It applies even if set-ups are too slow for any other wait.
    500_000
)
SWEEP_LIMIT = 2_000  # seats inspected in one sweep; bounds its duration
TERMINATION_REPEAT_US = 10 * SECOND_US  # interval between terminations of a lapsed session that still plays
REASON_INDETERMINATE, REASON_STORE = "seat-in-doubt", "seat-store"
REJECTIONS = {Verdict.IN_USE: "seat-in-use", Verdict.SPENT: "token-spent", Verdict.LAPSED: "token-lapsed"}
"""Rejection reasons. A reason that starts with ``token-`` is final: a retry needs another token."""
OWN_REASON_PREFIXES = ("seat-", "token-")
"""Prefixes of the reasons of this provider; those of other constraint providers are not counted here."""


class SeatConstraints:
    """Restricts each seat to one session and counts it once. Owns the sessions; the ledger owns the seats.

    Tokens are checked against the system clock. Everything else uses the monotonic clock of the core, so that
    no step of the system clock ends a session.

    Args:
        rules: settings.
        verifier: verifier with the keys of this installation.
        ledger: ledger restored from the stored records.
        journal: journal that makes records durable.
        wall_clock: returns the system time in Unix seconds.
    """

    max_wait_us = MAX_WAIT_US

    def __init__(
        self,
        rules: EntitlementRules,
        verifier: TokenVerifier,
        ledger: Ledger,
        journal: Journal,
        wall_clock: Callable[[], float],
    ) -> None:
        self.rules, self.verifier, self.ledger = rules, verifier, ledger
        self.journal, self.wall_clock = journal, wall_clock
        self.sessions: dict[str, SeatSession] = {}
        self.revoked: Mapping[str, int] = {}
        self.events = RateLimitedEvents()
        self.counts: Counter[SeatChange] = Counter()  # since the last summary
        self.rejections: Counter[str] = Counter()  # rejections by reason since the last summary
        self._terminations: deque[SessionTermination] = deque()
        self._unwritten: dict[str, Record] = {}  # by seat: records to write again after a failed write
        self._pending = PlacementConstraint(pending_reason=REASON_STORE, retry_after_us=self._retry_after_us)
        self._handlers: dict[type, Callable[[Any, int], None]] = {
            SessionPlaying: self._on_playing,
            ForwardAttempt: self._on_forwarded,
            SessionStarted: self._on_started,
            AttemptEnded: self._on_attempt_ended,
            RejectSession: self._on_answered,
            FailSession: self._on_answered,
            ViewerDisconnected: self._on_viewer_disconnected,
            AttemptResolved: self._on_resolved,
        }

    # ---- the constraint -----------------------------------------------------------------------------------

    def constraint_for(self, now: int, request: SessionRequest) -> PlacementConstraint:
        """Return the constraint of a request at clock time ``now`` (us): whether it may be forwarded."""
        if request.session_class not in self.rules.classes or not (request.token or self.rules.required):
            return UNCONSTRAINED
        session = self.sessions.get(request.session)
        if session is None:
            try:
                seat = self._check_token(request, request.token)
            except TokenError as error:
                return self._reject(now, request, f"token-{error.rejection.value}", error.detail)
            session = self.sessions[request.session] = SeatSession(request, seat)
        if not session.reserved:
            return self._reserve(now, session)
        if session.write_error:
            return self._reject(now, request, REASON_STORE, session.write_error)
        return UNCONSTRAINED if session.reservation_durable else self._pending

    @property
    def _retry_after_us(self) -> int:
        return int(self.rules.retry_after_s * SECOND_US)

    def _check_token(self, request: SessionRequest, token: str, grace_s: float = 0.0) -> Seat:
        return check_request_token(self.verifier, self.revoked, request, token, self.wall_clock(), grace_s)

    def _reserve(self, now: int, session: SeatSession) -> PlacementConstraint:
        request, seat = session.request, session.seat
        before = self.ledger.records.get(seat.seat)
        verdict, record = self.ledger.reserve(
            self.wall_clock(),
            seat.seat,
            request.session,
            seat.viewer,
            seat.epoch,
            seat.ends_s,
            viewer_returned=request.returned or request.moved,
        )
        if verdict in REJECTIONS:
            return self._reject(now, request, REJECTIONS[verdict], seat.seat)
        if verdict is Verdict.WAIT:
            return PlacementConstraint(
                pending_reason=REASON_INDETERMINATE, retry_after_us=self._retry_after_us
            )
        session.reserved, session.reservation_durable = True, record is None
        if record is None:
            return UNCONSTRAINED
        self.counts[SeatChange.RESERVED] += 1
        if before is not None and before.state is State.COUNTED:
            session.supersedes = before.session
        self.journal.submit(record, lambda error: self._on_reservation_written(session, error))
        return self._pending

    def _on_reservation_written(self, session: SeatSession, error: Exception | None) -> None:
        session.reservation_durable = error is None
        session.write_error = "" if error is None else str(error)

    def _reject(self, now: int, request: SessionRequest, reason: str, detail: str) -> PlacementConstraint:
        self.events.record(
            now,
            "session_rejected",
            reason,
            reason=reason,
            session=request.session,
            tenant=request.tenant,
            detail=detail,
        )
        return PlacementConstraint(reason=reason, retry_after_us=self._retry_after_us)

    # ---- observations of the core -------------------------------------------------------------------------

    def on_event(self, now: int, observation: Observation) -> None:
        """Process an observation of the core. Observations of sessions without a token are ignored."""
        handler = self._handlers.get(type(observation))
        if handler is not None:
            handler(observation, now)

    def _on_playing(self, request: SessionPlaying, now: int) -> None:
        if request.session in self.sessions or request.session_class not in self.rules.classes:
            return
        try:
            seat = self._check_token(request, request.token)
        except TokenError:
            return  # the session already plays and was paid for at another broker: do not end it
        record = self.ledger.adopt(
            self.wall_clock(), seat.seat, request.session, seat.viewer, seat.epoch, seat.ends_s
        )
        if record is not None:
            session = SeatSession(
                request, seat, reserved=True, reservation_durable=True, attempts=1, playing=True
            )
            self.sessions[request.session] = session
            self._set_lapse(session, now)
            self._write(record)

    def _on_forwarded(self, action: ForwardAttempt, _now: int) -> None:
        session = self.sessions.get(action.session)
        if session is not None:
            session.attempts, session.attempt_in_flight = session.attempts + 1, True

    def _on_started(self, event: SessionStarted, now: int) -> None:
        session = self.sessions.get(event.session)
        if session is None or not session.attempt_in_flight or event.attempt != session.attempts - 1:
            return
        session.attempt_in_flight, session.playing = False, True
        self._set_lapse(session, now)
        before = self.ledger.records[session.seat.seat]
        self.counts[SeatChange.RETURNED if before.counted else SeatChange.COUNTED] += 1
        self._write(self.ledger.mark_executed(self.wall_clock(), event.session))
        if session.supersedes in self.sessions:
            self._terminations.append(SessionTermination(session.supersedes, SeatTermination.SUPERSEDED))

    def _on_attempt_ended(self, event: AttemptEnded, _now: int) -> None:
        session = self.sessions.get(event.session)
        if session is None or event.attempt != session.attempts - 1:
            return
        if session.playing:
            del self.sessions[event.session]
            vacant = not (event.ended_by_viewer or event.outcome == AttemptOutcome.SERVED)
            self._write(self.ledger.mark_ended(self.wall_clock(), event.session, vacant))
            return
        if not session.attempt_in_flight:
            return
        session.attempt_in_flight = False
        if event.outcome not in PROVES_NOT_EXECUTED:
            self.counts[SeatChange.MARKED_INDETERMINATE] += 1
            self._write(self.ledger.mark_indeterminate(event.session))
        if event.final or session.answered:
            self._discard(session)

    def _on_answered(self, action: RejectSession | FailSession, _now: int) -> None:
        if isinstance(action, RejectSession) and action.reason.startswith(OWN_REASON_PREFIXES):
            self.rejections[action.reason] += 1
        self._mark_answered(action.session)

    def _on_viewer_disconnected(self, event: ViewerDisconnected, _now: int) -> None:
        self._mark_answered(event.session)

    def _mark_answered(self, name: str) -> None:
        session = self.sessions.get(name)
        if session is not None and not session.playing:
            session.answered = True
            if not session.attempt_in_flight:
                self._discard(session)

    def _discard(self, session: SeatSession) -> None:
        """Remove an answered session without an attempt in flight.

        If none of its attempts may have been executed, its seat returns to the state before the reservation.
        """
        name = session.request.session
        del self.sessions[name]
        if session.reserved:
            record = self.ledger.records.get(session.seat.seat)
            if record is not None and record.session == name and record.state is State.RESERVED:
                self._write(self.ledger.mark_not_executed(name))

    def _on_resolved(self, event: AttemptResolved, _now: int) -> None:
        """Process proof about an attempt whose request was already answered.

        The seat of an executed attempt is released at once, since its viewer is gone. Proof may arrive before
        the end of the attempt, which then has no effect.
        """
        session = self.sessions.get(event.session)
        if session is not None and session.answered and not session.playing:
            del self.sessions[event.session]
        self.resolve(event.session, event.executed)

    def resolve(self, session: str, executed: bool) -> bool:
        """Resolve an indeterminate seat by proof from a node's late report or from an operator.

        Returns whether there was an indeterminate seat.
        """
        if session in self.sessions:
            return False
        if not executed:
            record = self.ledger.mark_not_executed(session)
        elif (record := self.ledger.mark_executed(self.wall_clock(), session)) is not None:
            record = self.ledger.mark_ended(self.wall_clock(), session, vacant=True) or record
        self._write(record)
        self.counts[SeatChange.RESOLVED] += record is not None
        return record is not None

    def _write(self, record: Record | None) -> None:
        """Write a record without waiting for it: until it is durable, the stored record claims less."""
        if record is not None:
            self._unwritten.pop(record.seat, None)
            self.journal.submit(record, lambda error: self._on_written(record, error))

    def _on_written(self, record: Record, error: Exception | None) -> None:
        if error is not None and self.ledger.records.get(record.seat) is record:
            self._unwritten[record.seat] = record

    # ---- renewal, revocation, lapse -----------------------------------------------------------------------

    def renew(self, now: int, name: str, token: str, done: RenewalCallback) -> None:
        """Accept a newer token for a playing session.

        Args:
            now: clock time (us).
            name: id of the session.
            token: newer token.
            done: callback, which may be called at once, with the rejection, or with None once the renewal is
                durable.
        """
        session = self.sessions.get(name)
        if session is None or not session.playing:
            done(RenewalRejection(RenewalFailure.SESSION_UNKNOWN))
            return
        try:
            seat = self._check_renewal(session, token)
        except TokenError as error:
            done(RenewalRejection(error.rejection))
            return
        valid, record = self.ledger.renew(self.wall_clock(), seat.seat, seat.viewer, seat.epoch, seat.ends_s)
        if not valid:
            done(RenewalRejection(RenewalFailure.SEAT_LAPSED))
            return
        if record is None:
            done(None)  # a duplicate, or superseded by a newer token
            return
        self.counts[SeatChange.RENEWED] += 1

        def on_written(error: Exception | None) -> None:
            self._on_written(record, error)
            if error is None:
                session.seat = seat
                self._set_lapse(session, now)
            done(None if error is None else RenewalRejection(RenewalFailure.STORE))

        self.journal.submit(record, on_written)

    def _check_renewal(self, session: SeatSession, token: str) -> Seat:
        seat = self._check_token(session.request, token, self.ledger.grace_s)
        if seat.seat != session.seat.seat:
            raise TokenError(TokenRejection.OTHER, "jti")
        return seat

    def _set_lapse(self, session: SeatSession, now: int) -> None:
        """Set the lapse time on the core's clock; later steps of the system clock do not change it."""
        record = self.ledger.records.get(session.seat.seat)
        ends_s = max(session.seat.ends_s, record.ends_s if record is not None else 0)
        remaining_s = ends_s + self.ledger.skew_s + self.ledger.grace_s - self.wall_clock()
        session.lapses_at_us = now + max(0, int(remaining_s * SECOND_US))

    def replace_verifier(self, verifier: TokenVerifier) -> None:
        """Replace the keys. Playing sessions continue: withdrawing a key invalidates tokens, not sessions."""
        self.verifier = verifier

    def replace_revocations(self, revoked: Mapping[str, int]) -> None:
        """Replace the revoked seats: reject their tokens, and end the sessions that play on them."""
        self.revoked = revoked
        for name, session in self.sessions.items():
            if session.playing and session.seat.seat in revoked:
                self._terminations.append(SessionTermination(name, SeatTermination.LAPSED))

    def sweep(self, now: int) -> None:
        """Do the periodic work: end lapsed sessions, retry failed writes, drop obsolete seats."""
        for name, session in self.sessions.items():
            if session.playing and session.lapses_at_us <= now:
                self.counts[SeatChange.LAPSED] += 1
                session.lapses_at_us = now + TERMINATION_REPEAT_US
                self._terminations.append(SessionTermination(name, SeatTermination.LAPSED))
        unwritten, self._unwritten = self._unwritten, {}
        for record in unwritten.values():
            self._write(record)
        forgotten = self.ledger.forget(self.wall_clock(), self.rules.retention_s, SWEEP_LIMIT)
        if forgotten:
            # Seats that remain on disk are dropped after the next start.
            self.journal.drop(forgotten, lambda _error: None)

    def take_terminations(self) -> list[SessionTermination]:
        """Return the sessions to end since the last call, each with the reason."""
        taken = list(self._terminations)
        self._terminations.clear()
        return taken

    # ---- for operators ------------------------------------------------------------------------------------

    def take_events(self) -> list[OperatorEvent]:
        """Return the operator events since the last call."""
        return self.events.take_events()

    def summary(self) -> OperatorEvent:
        """Return the counts since the last summary, and the current totals."""
        fields: dict[str, str | int | float] = {
            "seats": len(self.ledger.records),
            "sessions": len(self.sessions),
            "indeterminate": self.ledger.indeterminate_count,
            "unwritten": len(self._unwritten),
        }
        fields |= {change.value: count for change, count in sorted(self.counts.items())}
        fields |= {
            f"rejected_{reason.replace('-', '_')}": count for reason, count in sorted(self.rejections.items())
        }
        self.counts.clear()
        self.rejections.clear()
        return OperatorEvent("entitlement_summary", fields)
