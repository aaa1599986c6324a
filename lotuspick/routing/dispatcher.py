"""The dispatcher: an event loop between the transports and the decision module.

Transports post messages to the inbox. Each tick converts the pending messages to events, passes these to the
decision module in one call, in order of arrival, and executes the returned actions in order. The dispatcher
owns the inbox and the time of the next tick; the sessions are in :mod:`lotuspick.routing.session_lifecycle`.
It makes no decisions about sessions.
"""

from __future__ import annotations

import logging
from collections import deque
from collections.abc import Callable
from typing import Protocol

from lotuspick.core.actions import (
    Action,
    FailSession,
    ForwardAttempt,
    LogMessage,
    RejectSession,
    ServerEjected,
    SetRung,
    StartTimer,
    Subscribe,
)
from lotuspick.core.events import Event, SessionPlaying, SessionRequest, TimerFired, ViewerDisconnected
from lotuspick.core.settings import Settings
from lotuspick.routing.interfaces import EdgeServers, ViewerConnection
from lotuspick.routing.message_handlers import MessageHandlers
from lotuspick.routing.messages import AttemptTerminated, InboundMessage, LedgerCommitted, SessionRequested
from lotuspick.routing.session_lifecycle import US_PER_MS, SessionLifecycle
from lotuspick.routing.session_table import SessionEntry

log = logging.getLogger(__name__)

OVERLOAD_RETRY_AFTER_US = 1_000_000
"""Delay sent with the rejection of a request that exceeds the limit of open requests."""
UNKNOWN_STREAM_LIMIT = 1 << 30
"""Maximum number of streams on a server if none is given."""
INDETERMINATE_US = 10_000_000
"""Time for which an answer to a withdrawn attempt may still arrive."""
LEDGER_TICK_DIVISOR = 4
"""Divides the period until the tick after a committed write, because viewers wait for that write."""


def overload_retry_after_ms(settings: Settings) -> int:
    """Return the delay sent while too many requests are open, within the limits of the settings; 0: none."""
    if not settings.retry_after_allowed:
        return 0
    return min(OVERLOAD_RETRY_AFTER_US, settings.max_retry_after_us) // US_PER_MS


class DecisionModule(Protocol):
    """The decision module as the dispatcher uses it; see :class:`lotuspick.core.controller.Controller`."""

    def handle(self, now: int, events: list[Event]) -> list[Action]:
        """Handle the events of one tick at ``now`` microseconds; return the actions to execute, in order."""


class SessionDispatcher:
    """Runs the sessions of one broker; all times are integer microseconds of one clock."""

    def __init__(
        self,
        decisions: DecisionModule,
        edge_servers: EdgeServers,
        clock: Callable[[], int],
        schedule_tick: Callable[[int], None],
        period_us: int,
        session_classes: frozenset[str],
        retry_after_ms: int = 0,
        single_execution_classes: frozenset[str] = frozenset(),
        stream_limit: int = UNKNOWN_STREAM_LIMIT,
    ) -> None:
        """Start without sessions.

        Args:
            decisions: handles the events and returns the actions.
            edge_servers: the connections to the edge servers.
            clock: returns the current time.
            schedule_tick: schedules a call of :meth:`tick`; the earliest time since the last tick applies.
            period_us: time between two ticks; shorter after a :class:`LedgerCommitted`.
            session_classes: the classes that requests may name.
            retry_after_ms: sent with a rejection while too many requests are open; 0: none.
            single_execution_classes: the classes whose sessions may be executed only once.
            stream_limit: maximum number of streams on any server.
        """
        self.decisions, self.edge_servers, self.clock, self.schedule_tick = (
            decisions,
            edge_servers,
            clock,
            schedule_tick,
        )
        self.period_us = period_us
        self.inbox: deque[InboundMessage] = deque()
        self.lifecycle = SessionLifecycle(edge_servers, clock, single_execution_classes)
        self.sessions, self.connections = self.lifecycle.sessions, self.lifecycle.connections
        self.timers = self.lifecycle.timers
        self.handlers = MessageHandlers(self.lifecycle, session_classes, retry_after_ms, stream_limit)
        self._last_tick_us = 0
        self._next_tick_us = 0  # 0: no tick is scheduled

    @property
    def has_pending_work(self) -> bool:
        """Whether a viewer still waits for an answer or for the report of its session's end."""
        return bool(self.sessions.open_request_count or self.inbox or self.connections.has_pending_releases)

    def post(self, message: InboundMessage) -> None:
        """Add a message to the inbox; the next tick handles it."""
        self.inbox.append(message)
        divisor = LEDGER_TICK_DIVISOR if isinstance(message, LedgerCommitted) else 1
        self._request_tick(self._last_tick_us + self.period_us // divisor)

    def sessions_at(self, server: str) -> int:
        """Count the sessions and attempts at an edge server."""
        return len(self.sessions.by_server.get(server, ()))

    def viewer_waits(self, session: str) -> bool:
        """Whether the viewer of an open request still waits for its answer."""
        return self.lifecycle.viewer_waits(session)

    def eviction_candidates(self, limit: int) -> list[ViewerConnection]:
        """Choose up to ``limit`` viewer connections to close so that new ones can be accepted."""
        requesting = {message.viewer for message in self.inbox if isinstance(message, SessionRequested)}
        return self.connections.eviction_candidates(limit, self.clock(), self.sessions, requesting)

    def tick(self) -> None:
        """Pass all pending events to the decision module and execute the returned actions."""
        now = self._last_tick_us = self.clock()
        self._next_tick_us = 0
        events = self._handle_inbox(now)
        while (callback := self.timers.pop_due(now)) is not None:
            event = callback(now)
            if event is not None:
                events.append(event)
        self.lifecycle.indeterminate.expire(now - INDETERMINATE_US)
        self.lifecycle.executed.expire(now)
        self.connections.drop_expired_releases(now)
        if events or self.handlers.expired:
            self._decide(now, events)
        for session, request in self.handlers.pop_expired():
            self._fail_unanswered(session, request, now)
        if self.inbox:
            self._request_tick(now + self.period_us)
        next_due_us = self.timers.next_due_us
        if next_due_us is not None:
            self._request_tick(max(next_due_us, now + self.period_us))

    def waiting_viewers(self) -> set[ViewerConnection | None]:
        """Return the viewer connections with an unanswered request."""
        waiting = {message.viewer for message in self.inbox if isinstance(message, SessionRequested)}
        for entry in self.sessions.entries.values():
            if not entry.is_playing:
                waiting.add(entry.viewer)
                waiting.update(entry.duplicates)
        return waiting

    def has_open_request(self, viewer: ViewerConnection) -> bool:
        """Whether a request on a viewer connection has no answer yet."""
        return self.sessions.has_open_request(viewer) or any(
            isinstance(message, SessionRequested) and message.viewer is viewer for message in self.inbox
        )

    def stop_admitting(self) -> None:
        """Reject new requests from now on, because the broker stops."""
        self.handlers.admitting = False

    def answer_open_requests(self) -> None:
        """Answer all open requests before their deadlines, because the broker stops.

        A request that was never forwarded is rejected, since it was not executed; the others fail.
        """
        now = self.clock()
        for session, entry in list(self.sessions.entries.items()):
            if not entry.is_playing:
                answer = self._reject if entry.attempt < 0 else self._fail
                answer(session, entry, now)
                self._post_event(ViewerDisconnected(session))

    def _reject(self, session: str, entry: SessionEntry, now: int) -> None:
        self.lifecycle.answer_request(session, entry, lambda viewer: viewer.rejected(session, 0), now)

    def _fail(self, session: str, entry: SessionEntry, now: int) -> None:
        self.lifecycle.answer_request(session, entry, lambda viewer: viewer.failed(session), now)

    def release_all(self) -> None:
        """End all playing sessions, at their edge servers and for their viewers, because the broker stops."""
        self.lifecycle.release_all()

    def _request_tick(self, at_us: int) -> None:
        if not self._next_tick_us or at_us < self._next_tick_us:
            self._next_tick_us = at_us
            self.schedule_tick(at_us)

    def _handle_inbox(self, now: int) -> list[Event]:
        events: list[Event] = []
        messages, self.inbox = self.inbox, deque()
        for message in messages:
            try:
                events.extend(self.handlers.handle(message, now))
            except Exception:  # the remaining messages must still be handled
                log.exception("message_failed", extra={"message_type": type(message).__name__})
        return events

    def _decide(self, now: int, events: list[Event]) -> None:
        try:
            actions = self.decisions.handle(now, events)
        except Exception:
            # No decision will answer the requests of this tick, so they fail; other sessions continue.
            log.exception("decision_failed", extra={"events": len(events)})
            actions = [
                FailSession(event.session)
                for event in events
                if isinstance(event, SessionRequest) and not isinstance(event, SessionPlaying)
            ]
        for action in actions:
            try:
                self._execute(action, now)
            except Exception:  # the remaining actions must still be executed
                log.exception("action_failed", extra={"action": type(action).__name__})

    def _execute(self, action: Action, now: int) -> None:
        match action:
            case StartTimer():
                self._start_timer(action, now)
            case LogMessage():
                log.info("decision_message", extra={"text": action.text})
            case ServerEjected():
                duration_ms = action.duration_us // US_PER_MS
                fields = {"server": action.server, "reason": str(action.outcome), "duration_ms": duration_ms}
                log.info("server_ejected", extra=fields)
            case Subscribe():
                pass  # the endpoint list is already watched from the start
            case SetRung() | ForwardAttempt() | RejectSession() | FailSession():
                entry = self.sessions.entries.get(action.session)
                if entry is not None:
                    self._execute_on_session(action, entry, now)

    def _start_timer(self, action: StartTimer, now: int) -> None:
        """Start a timer of the decision module; one of a session ends with the request of that session."""
        entry = self.sessions.entries.get(action.session)
        if action.session and (entry is None or entry.is_playing):
            return
        timer_id = action.timer_id
        timer = self.timers.start(now + max(action.delay_us, 1), lambda _now: TimerFired(timer_id))
        if entry is not None:
            entry.timers.append(timer)

    def _execute_on_session(
        self, action: SetRung | ForwardAttempt | RejectSession | FailSession, entry: SessionEntry, now: int
    ) -> None:
        session = action.session
        match action:
            case SetRung():
                entry.rung = action.rung
                if entry.is_playing:
                    self.edge_servers.set_rung(entry.server, session, action.rung)
            case ForwardAttempt():
                self._forward(action, entry, now)
            case RejectSession() if not entry.is_playing:
                delay_ms, reason = action.retry_after_us // US_PER_MS, action.reason
                self.lifecycle.answer_request(
                    session, entry, lambda viewer: viewer.rejected(session, delay_ms, reason), now
                )
            case FailSession() if not entry.is_playing:
                self._fail(session, entry, now)

    def _forward(self, action: ForwardAttempt, entry: SessionEntry, now: int) -> None:
        if not self.lifecycle.viewer_waits(action.session):
            for event in self.lifecycle.cancel_unsent(action, entry, now):
                self._post_event(event)
            return
        termination = self.lifecycle.start_attempt(action, entry, now)
        if termination is not None:
            self.post(AttemptTerminated(action.server, action.session, termination))

    def _post_event(self, event: Event) -> None:
        """Queue an event for the decision module; the next tick passes it on."""
        self.timers.start(0, lambda _now: event)

    def _fail_unanswered(self, session: str, request: SessionRequest, now: int) -> None:
        """Fail a request that the decision module has not answered by its deadline."""
        entry = self.sessions.entries.get(session)
        if entry is None or entry.is_playing or entry.request is not request:
            return
        log.error("deadline_missed", extra={"session": session})
        self._fail(session, entry, now)
        self._post_event(ViewerDisconnected(session))
