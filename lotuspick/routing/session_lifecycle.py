"""Starts and ends attempts, requests and sessions, for message handlers and actions.

Each method changes the session table, informs the edge server or the viewer, and returns the event for the
decision module. The caller supplies the reason.
"""

from __future__ import annotations

import logging
from collections.abc import Callable

from lotuspick.core.actions import ForwardAttempt
from lotuspick.core.events import (
    PROVES_NOT_EXECUTED,
    AttemptEnded,
    Event,
    LoadReport,
    ViewerDisconnected,
)
from lotuspick.routing.executed_sessions import ExecutedSessions
from lotuspick.routing.indeterminate_attempts import IndeterminateAttempts
from lotuspick.routing.interfaces import AttemptRequest, EdgeServers, ViewerConnection
from lotuspick.routing.session_table import SessionEntry, SessionTable
from lotuspick.routing.termination import ATTEMPT_OUTCOMES, SERVER_MAY_BE_ALIVE, TerminationReason
from lotuspick.routing.timers import TimerQueue
from lotuspick.routing.viewer_connections import ViewerConnections

log = logging.getLogger(__name__)

US_PER_MS = 1_000


def send_if_open(viewer: ViewerConnection | None, send: Callable[[ViewerConnection], None]) -> None:
    """Call ``send`` with the viewer connection if it exists and is open."""
    if viewer is not None and viewer.is_open:
        send(viewer)


class SessionLifecycle:
    """Owns the session table, the viewer connections, the timers and the records of past attempts."""

    def __init__(
        self,
        edge_servers: EdgeServers,
        clock: Callable[[], int],
        single_execution_classes: frozenset[str] = frozenset(),
    ) -> None:
        """Start without sessions.

        Args:
            edge_servers: the connections to the edge servers.
            clock: returns integer microseconds.
            single_execution_classes: the classes whose sessions may be executed only once.
        """
        self.edge_servers, self.clock = edge_servers, clock
        self.sessions = SessionTable()
        self.connections = ViewerConnections()
        self.timers = TimerQueue()
        self.indeterminate = IndeterminateAttempts()  # withdrawn after they were sent
        self.executed = ExecutedSessions(single_execution_classes)  # that have ended

    def start_attempt(
        self, action: ForwardAttempt, entry: SessionEntry, now: int
    ) -> TerminationReason | None:
        """Forward an open request to an edge server and start the timer of the attempt.

        Returns:
            The reason if the attempt could not be queued, else None; the caller must report it as the end of
            the attempt.
        """
        session, request = action.session, entry.request
        self.sessions.begin_attempt(session, entry, action.server, now)
        remaining_us = request.deadline_us - now
        timeout_us = min(action.timeout_us, remaining_us) if action.timeout_us else remaining_us
        attempt = entry.attempt
        log.debug(
            "attempt_forwarded",
            extra={"session": session, "server": action.server, "attempt": attempt, "rung": entry.rung},
        )
        reason = self.edge_servers.start_attempt(
            action.server,
            AttemptRequest(
                session,
                request.session_class,
                request.title,
                entry.rung,
                max(1, timeout_us // US_PER_MS),
                entry.description,
            ),
        )
        if reason is None:
            entry.attempt_timer = self.timers.start(
                now + max(0, timeout_us), lambda later: self._time_out(session, entry, attempt, later)
            )
        return reason

    def viewer_waits(self, session: str) -> bool:
        """Whether the viewer of an open request still waits for its answer.

        Called immediately before sending, because the tick may run before a close by the viewer has been read
        from its socket.
        """
        entry = self.sessions.entries.get(session)
        if entry is None:
            return False
        while entry.viewer is not None and entry.viewer.is_closed_by_viewer:
            if not self.sessions.continue_on_duplicate(session, entry, self.clock()):
                return False
        return True

    def cancel_unsent(
        self, action: ForwardAttempt, entry: SessionEntry, now: int
    ) -> tuple[ViewerDisconnected, AttemptEnded]:
        """Drop an open request whose viewer no longer waits, instead of starting its attempt."""
        session = action.session
        self.sessions.begin_attempt(session, entry, action.server, now)
        ended = _attempt_ended(session, entry, TerminationReason.UNSENT, now, final=True)
        self.sessions.remove_session(session, entry)
        log.debug("attempt_cancelled_unsent", extra={"session": session, "server": action.server})
        return ViewerDisconnected(session), ended

    def end_attempt(
        self,
        session: str,
        entry: SessionEntry,
        reason: TerminationReason,
        now: int,
        load_report: LoadReport | None = None,
    ) -> AttemptEnded:
        """End an attempt without an answer; the request stays open."""
        log.debug(
            "attempt_ended",
            extra={
                "session": session,
                "server": entry.server,
                "attempt": entry.attempt,
                "reason": reason.value,
            },
        )
        event = _attempt_ended(session, entry, reason, now, load_report)
        if event.outcome not in PROVES_NOT_EXECUTED:
            entry.may_have_executed = True
        self.sessions.end_attempt(session, entry)
        return event

    def withdraw_attempt(
        self, session: str, entry: SessionEntry, reason: TerminationReason, now: int, *, final: bool
    ) -> AttemptEnded:
        """Withdraw the current attempt; if it was already sent, its result stays indeterminate."""
        if self.edge_servers.cancel_attempt(entry.server, session):
            reason = TerminationReason.UNSENT  # it was still queued
        else:
            self.indeterminate.add(session, entry.server, now)
            entry.may_have_executed = True
        event = _attempt_ended(session, entry, reason, self.clock(), final=final)
        self.sessions.end_attempt(session, entry)
        return event

    def cancel_request(self, session: str, entry: SessionEntry, now: int) -> list[Event]:
        """Drop an open request whose viewer no longer waits; withdraw its current attempt."""
        events: list[Event] = [ViewerDisconnected(session)]
        if entry.is_forwarded:
            reason = TerminationReason.CANCELLED_BY_VIEWER
            events.append(self.withdraw_attempt(session, entry, reason, now, final=True))
        self._remove_session(session, entry, now)
        return events

    def answer_request(
        self, session: str, entry: SessionEntry, send: Callable[[ViewerConnection], None], now: int
    ) -> None:
        """Send an open request its final answer with ``send``; withdraw its current attempt."""
        if entry.viewer is not None and not entry.viewer.is_open:
            self.sessions.continue_on_duplicate(session, entry, self.clock())
        send_if_open(entry.viewer, send)
        if entry.is_forwarded:
            reason = TerminationReason.ANSWERED_MEANWHILE
            event = self.withdraw_attempt(session, entry, reason, now, final=True)
            self.timers.start(0, lambda _now: event)  # passed to the decision module in the next tick
        self._remove_session(session, entry, now)

    def end_session(
        self,
        session: str,
        entry: SessionEntry,
        reason: TerminationReason,
        now: int,
        load_report: LoadReport | None = None,
    ) -> AttemptEnded:
        """End a playing session; inform its viewer unless the viewer ended it."""
        event = _attempt_ended(session, entry, reason, now, load_report, final=True)
        self._remove_session(session, entry, now)
        if reason is not TerminationReason.REVOKED:
            self.connections.release(session, entry.viewer, reason, now)
        return event

    def end_sessions_at(
        self, server: str, reason: TerminationReason, now: int, before_us: int
    ) -> list[Event]:
        """End the playing sessions of an edge server that were written before ``before_us``.

        Attempts at the server are not ended; each is reported by a message of its own.
        """
        sessions = self.sessions.sessions_at(server) if before_us else []
        return [
            self.end_session(session, entry, reason, now)
            for session in sessions
            if (entry := self.sessions.entries[session]).is_playing and entry.written_at_us < before_us
        ]

    def release_all(self) -> None:
        """End all playing sessions, at their edge servers and for their viewers, because the broker stops."""
        now = self.clock()
        for session, entry in list(self.sessions.entries.items()):
            if entry.is_playing:
                self.edge_servers.release(entry.server, session, TerminationReason.BROKER_STOPPED)
                self.end_session(session, entry, TerminationReason.BROKER_STOPPED, now)
        self.connections.drop_releases_without_viewer()

    def _remove_session(self, session: str, entry: SessionEntry, now: int) -> None:
        """Remove a session that has ended; keep its id if it must not be executed again."""
        if entry.may_have_executed:
            self.executed.add(session, entry.request.session_class, now)
        self.sessions.remove_session(session, entry)

    def _time_out(self, session: str, entry: SessionEntry, attempt: int, now: int) -> Event | None:
        if not entry.is_forwarded or entry.attempt != attempt:
            return None  # the attempt has already ended
        return self.withdraw_attempt(session, entry, TerminationReason.NO_ANSWER, now, final=False)


def _attempt_ended(
    session: str,
    entry: SessionEntry,
    reason: TerminationReason,
    now: int,
    load_report: LoadReport | None = None,
    *,
    final: bool = False,
) -> AttemptEnded:
    """Build the event for the decision module; a playing session was ended by its server."""
    return AttemptEnded(
        session,
        entry.attempt,
        entry.server,
        ATTEMPT_OUTCOMES[reason],
        final,
        now - entry.forwarded_at_us,
        load_report or {},
        not entry.is_playing and reason in SERVER_MAY_BE_ALIVE,
    )
