"""Handlers of the messages in the dispatcher's inbox: each changes the sessions and returns events.

Handlers drop late messages. Session and server identify an attempt: a session is forwarded to a server at
most once, and no request is accepted under an id with a withdrawn attempt that may still be executed.
"""

from __future__ import annotations

import logging
from dataclasses import replace

from lotuspick.core.events import (
    PROVES_NOT_EXECUTED,
    AttemptEnded,
    AttemptOutcome,
    AttemptResolved,
    ConstraintsChanged,
    Event,
    ServerFailed,
    SessionNotification,
    SessionPlaying,
    SessionRequest,
    SessionStarted,
)
from lotuspick.routing.interfaces import ViewerConnection
from lotuspick.routing.messages import (
    AttemptAnswered,
    AttemptTerminated,
    AttemptWritten,
    EdgeServerFailed,
    EdgeServerNotified,
    EdgeServerReleased,
    EdgeServerReplaced,
    EndpointListChanged,
    HintReceived,
    InboundMessage,
    LedgerCommitted,
    SessionCancelled,
    SessionRequested,
    SessionRevoked,
    TenantRatesUpdated,
    ViewerConnectionClosed,
    ViewerConnectionOpened,
)
from lotuspick.routing.session_lifecycle import SessionLifecycle, send_if_open
from lotuspick.routing.session_table import SessionEntry
from lotuspick.routing.termination import ATTEMPT_OUTCOMES, TerminationReason

log = logging.getLogger(__name__)

MAX_OPEN_REQUESTS = 2_000
"""Maximum number of open requests."""
MAX_OPEN_REQUEST_BYTES = 4 << 20
"""Size of the texts of open requests from which further ones are rejected."""
MAX_REPORTED_SESSIONS = 8_192
"""Maximum number of sessions that viewers reported: more than the streams of a fleet."""
MAX_REPORTED_BYTES = 4 << 20
"""Size of the texts of reported sessions from which further ones end at once."""


class MessageHandlers:
    """Has one method for each message type; owns the list of requests that expired in this tick."""

    def __init__(
        self,
        lifecycle: SessionLifecycle,
        session_classes: frozenset[str],
        retry_after_ms: int,
        stream_limit: int,
    ) -> None:
        """Handle messages for the sessions of ``lifecycle``.

        Args:
            lifecycle: the sessions and the operations on them.
            session_classes: the classes that requests may name.
            retry_after_ms: sent with a rejection while too many requests are open; 0: none.
            stream_limit: maximum number of streams on any server.
        """
        self.lifecycle, self.sessions = lifecycle, lifecycle.sessions
        self.connections, self.timers = lifecycle.connections, lifecycle.timers
        self.edge_servers, self.indeterminate = lifecycle.edge_servers, lifecycle.indeterminate
        self.executed = lifecycle.executed
        self.session_classes, self.retry_after_ms = session_classes, retry_after_ms
        self.stream_limit = stream_limit
        self.admitting = True  # False while the broker stops
        self.expired: list[tuple[str, SessionRequest]] = []

    def handle(self, message: InboundMessage, now: int) -> list[Event]:  # noqa: C901 - one case for each type
        """Handle one message; return the events for the decision module, in order."""
        match message:
            case EdgeServerNotified():
                return self._on_notified(message)
            case SessionRequested():
                return self._on_requested(message, now)
            case AttemptWritten():
                return self._on_written(message)
            case AttemptAnswered():
                return self._on_answered(message, now)
            case EdgeServerReleased():
                return self._on_released(message, now)
            case SessionCancelled():
                return self._on_cancelled(message, now)
            case ViewerConnectionOpened():
                return self._on_viewer_opened(message, now)
            case ViewerConnectionClosed():
                return self._on_viewer_closed(message, now)
            case AttemptTerminated():
                return self._on_attempt_terminated(message, now)
            case EdgeServerFailed():
                return self._on_server_failed(message, now)
            case EdgeServerReplaced():
                return self._on_server_replaced(message, now)
            case EndpointListChanged():
                return self._on_endpoint_list(message, now)
            case SessionRevoked():
                return self._on_revoked(message, now)
            case LedgerCommitted():
                return [ConstraintsChanged()]
            case HintReceived():
                return [message.hint]
            case TenantRatesUpdated():
                return [message.update]

    def pop_expired(self) -> list[tuple[str, SessionRequest]]:
        """Remove and return the requests whose deadlines have passed since the last call, answered or not."""
        expired, self.expired = self.expired, []
        return expired

    # ---- from viewers

    def _on_requested(self, message: SessionRequested, now: int) -> list[Event]:
        request, viewer = message.request, message.viewer
        entry = self.sessions.entries.get(request.session)
        if viewer is not None:
            self.connections.count_request(viewer)
        if isinstance(request, SessionPlaying):
            return self._on_session_playing(request, entry, message, now)
        if viewer is not None and not viewer.is_open:
            return []  # the viewer has left: no answer and no log line for each request of a flood
        if (
            entry is not None
            and not entry.is_playing
            and viewer is not None
            and self._add_duplicate(entry, message, viewer, now)
        ):
            return []
        return self._open_request(message, in_use=entry is not None)

    def _add_duplicate(
        self, entry: SessionEntry, message: SessionRequested, viewer: ViewerConnection, now: int
    ) -> bool:
        """Handle a repeated request for an open id; returns False if it differs from the open request."""
        session = message.request.session
        if viewer is entry.viewer or viewer in entry.duplicates:
            # Two answers for the same id on one connection would be ambiguous.
            viewer.close_with_error(f"Session {session} is requested twice")
            return True
        if not _is_same_request(entry, message):
            return False
        # A viewer whose connection closed may resend its request; it gets one answer. The first connection
        # keeps the request while it is open, so that another client cannot obtain the answer by repeating it.
        self.sessions.add_duplicate(session, entry, viewer, now)
        if entry.viewer is not None and not entry.viewer.is_open:
            self.sessions.continue_on_duplicate(session, entry, now)
        return True

    def _open_request(self, message: SessionRequested, *, in_use: bool) -> list[Event]:
        request, session = message.request, message.request.session
        # A request may be repeated under its id after its connection closed, when one of its attempts was or
        # may still be executed: a set-up that is not idempotent must not be sent twice.
        in_use = in_use or session in self.indeterminate or session in self.executed
        if in_use or request.session_class not in self.session_classes:
            reason = "id in use" if in_use else f"unknown class {request.session_class}"
            send_if_open(message.viewer, lambda viewer: viewer.failed(session, reason))
            return []
        if not self.admitting:
            send_if_open(message.viewer, lambda viewer: viewer.rejected(session, 0))
            return []
        if (
            self.sessions.open_request_count >= MAX_OPEN_REQUESTS
            or self.sessions.open_request_bytes >= MAX_OPEN_REQUEST_BYTES
            or self.executed.is_full_for(request.session_class)
        ):
            send_if_open(message.viewer, lambda viewer: viewer.rejected(session, self.retry_after_ms))
            return []
        entry = SessionEntry(request, message.description, message.viewer)
        self.sessions.add_request(session, entry)
        entry.timers.append(
            self.timers.start(request.deadline_us, lambda _now: self._on_deadline(session, request))
        )
        return [request]

    def _on_session_playing(
        self, request: SessionPlaying, entry: SessionEntry | None, message: SessionRequested, now: int
    ) -> list[Event]:
        if entry is not None or request.session_class not in self.session_classes:
            return []
        if self._exceeds_report_limits(request):
            # No server plays so many sessions; the viewer of a real one is told that it has ended.
            send_if_open(
                message.viewer,
                lambda viewer: viewer.released(request.session, TerminationReason.CONNECTION_LIMIT),
            )
            return []
        entry = SessionEntry(
            request,
            viewer=message.viewer,
            server=request.server,
            attempt=0,
            forwarded_at_us=now,
            written_at_us=now,
        )
        self.sessions.add_playing(request.session, entry)
        self.edge_servers.keep_connected(request.server)
        return [request]

    def _exceeds_report_limits(self, request: SessionPlaying) -> bool:
        """Return whether the table has no room for a session that a viewer reports.

        Nothing ends a session that its server does not know.
        """
        return (
            self.sessions.reported_count >= MAX_REPORTED_SESSIONS
            or self.sessions.reported_bytes >= MAX_REPORTED_BYTES
            or self.sessions.reported_by_server[request.server] >= self.stream_limit
        )

    def _on_deadline(self, session: str, request: SessionRequest) -> Event | None:
        """Record a request whose deadline has passed.

        In a late tick, a timer of the decision module may be due as well. Its answer, which may be a
        rejection, takes precedence over the failure of the request.
        """
        entry = self.sessions.entries.get(session)
        if entry is not None and not entry.is_playing and entry.request is request:
            self.expired.append((session, request))
        return None

    def _on_cancelled(self, message: SessionCancelled, now: int) -> list[Event]:
        session, entry = message.session, self.sessions.entries.get(message.session)
        if entry is None:
            return []
        if not entry.is_playing:
            return self.lifecycle.cancel_request(session, entry, now)
        self.edge_servers.release(entry.server, session, TerminationReason.REVOKED)
        event = self.lifecycle.end_session(session, entry, TerminationReason.REVOKED, now)
        return [replace(event, ended_by_viewer=True)]

    def _on_revoked(self, message: SessionRevoked, now: int) -> list[Event]:
        session, entry = message.session, self.sessions.entries.get(message.session)
        if entry is None or not entry.is_playing:
            return []
        self.edge_servers.release(entry.server, session, message.reason)
        return [self.lifecycle.end_session(session, entry, message.reason, now)]

    def _on_viewer_closed(self, message: ViewerConnectionClosed, now: int) -> list[Event]:
        viewer, events = message.viewer, list[Event]()
        self.connections.remove(viewer)
        for session in self.sessions.sessions_on(viewer):
            entry = self.sessions.entries[session]
            if entry.viewer is not viewer:
                self.sessions.drop_duplicate(session, entry, viewer)
            elif entry.is_playing:
                self.sessions.detach_viewer(session, entry)
            elif not self.sessions.continue_on_duplicate(session, entry, now):
                events.extend(self.lifecycle.cancel_request(session, entry, now))
        return events

    def _on_viewer_opened(self, message: ViewerConnectionOpened, now: int) -> list[Event]:
        self.connections.add(message.viewer, now)
        return []

    # ---- from edge servers

    def _on_answered(self, message: AttemptAnswered, now: int) -> list[Event]:
        session, server, events = message.session, message.server, list[Event]()
        entry = self._forwarded_entry(session, server)
        if entry is not None and self._has_viewer_closed(session, entry, now):
            # The viewer's ViewerConnectionClosed is not handled yet; no session may play without a viewer.
            events, entry = self.lifecycle.cancel_request(session, entry, now), None
        if entry is None:
            # The attempt was withdrawn while the answer was in transit, so its session is released. A second
            # answer, or one without an attempt, is dropped, so that no valid session is ended.
            if self.indeterminate.resolve(session, server):
                self.edge_servers.release(server, session, TerminationReason.REVOKED)
                events.append(AttemptResolved(session, server, executed=True))
            return events
        self.sessions.begin_playing(session, entry)
        send_if_open(entry.viewer, lambda viewer: viewer.served(session, message.description))
        entry.description = b""  # only needed for attempts
        return [SessionStarted(session, entry.attempt, server, now - entry.forwarded_at_us)]

    def _forwarded_entry(self, session: str, server: str) -> SessionEntry | None:
        """Return the entry if its current attempt is at this server and unanswered, else None."""
        entry = self.sessions.entries.get(session)
        if entry is None or entry.server != server or not entry.is_forwarded:
            return None
        return entry

    def _has_viewer_closed(self, session: str, entry: SessionEntry, now: int) -> bool:
        return (
            entry.viewer is not None
            and not entry.viewer.is_open
            and not self.sessions.continue_on_duplicate(session, entry, now)
        )

    def _on_released(self, message: EdgeServerReleased, now: int) -> list[Event]:
        session, entry = message.session, self.sessions.entries.get(message.session)
        if entry is None or entry.server != message.server or not (entry.is_forwarded or entry.is_playing):
            return self._on_late_release(message, known=entry is not None)
        if entry.is_playing:
            reason, entry.may_have_executed = message.reason_after_answer, True
            return [self.lifecycle.end_session(session, entry, reason, now, message.load_report)]
        reason = message.reason_before_answer
        return [self.lifecycle.end_attempt(session, entry, reason, now, message.load_report)]

    def _on_late_release(self, message: EdgeServerReleased, *, known: bool) -> list[Event]:
        """Use a late release as proof that its attempt was not executed and as a load report."""
        session, server, events = message.session, message.server, list[Event]()
        if (
            not known
            and ATTEMPT_OUTCOMES[message.reason_before_answer] in PROVES_NOT_EXECUTED
            and self.indeterminate.resolve(session, server)
        ):
            if session not in self.indeterminate:
                self.executed.discard(session)
            events.append(AttemptResolved(session, server, executed=False))
        if message.load_report:
            outcome = AttemptOutcome.UNSENT
            events.append(AttemptEnded(session, -1, server, outcome, True, 0, message.load_report))
        return events

    def _on_notified(self, message: EdgeServerNotified) -> list[Event]:
        return [SessionNotification(message.session, message.server, message.topic, message.value)]

    def _on_written(self, message: AttemptWritten) -> list[Event]:
        entry = self._forwarded_entry(message.session, message.server)
        if entry is not None:
            entry.written_at_us = max(entry.written_at_us, message.written_at_us)
        return []

    def _on_attempt_terminated(self, message: AttemptTerminated, now: int) -> list[Event]:
        entry = self._forwarded_entry(message.session, message.server)
        if entry is None:
            return []
        return [self.lifecycle.end_attempt(message.session, entry, message.reason, now)]

    def _on_server_failed(self, message: EdgeServerFailed, now: int) -> list[Event]:
        ended = self.lifecycle.end_sessions_at(message.server, message.reason, now, before_us=now)
        return [ServerFailed(message.server), *ended]

    def _on_server_replaced(self, message: EdgeServerReplaced, now: int) -> list[Event]:
        """End all sessions and attempts, also those that another server plays under this server's id."""
        server, events = message.server, list[Event]()
        for session in self.sessions.sessions_at(server):
            entry = self.sessions.entries[session]
            if entry.is_playing:
                self.edge_servers.release(server, session, TerminationReason.SERVER_DOWN)
                reason = TerminationReason.SERVER_DOWN
                events.append(self.lifecycle.end_session(session, entry, reason, now))
            else:
                is_unsent = self.edge_servers.cancel_attempt(server, session)
                reason = TerminationReason.UNSENT if is_unsent else TerminationReason.ADDRESS_CHANGED
                events.append(self.lifecycle.end_attempt(session, entry, reason, now))
        return events

    # ---- from the fleet

    def _on_endpoint_list(self, message: EndpointListChanged, now: int) -> list[Event]:
        """End the sessions of server processes that have restarted since.

        A process may have died and restarted before it was dialled again. Sessions written after the start
        play at the new process, no matter when they were queued.
        """
        events: list[Event] = []
        for endpoint in message.update.servers:
            events.extend(
                self.lifecycle.end_sessions_at(
                    endpoint.server, TerminationReason.SERVER_DOWN, now, before_us=endpoint.started_us
                )
            )
        return [*events, message.update]


def _is_same_request(entry: SessionEntry, message: SessionRequested) -> bool:
    """Whether both requests are equal, apart from the deadline, which depends on the time of receipt."""
    return entry.description == message.description and replace(entry.request, deadline_us=0) == replace(
        message.request, deadline_us=0
    )
