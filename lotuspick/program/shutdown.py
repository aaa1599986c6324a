"""Graceful shutdown of a broker, from SIGTERM to its exit before SIGKILL.

:class:`GracefulShutdown` owns the phase of the shutdown and its timers. The phases are:

- ``SERVING``: the broker admits and answers requests, and sessions play, until there is no work left or the
  time to close has come;
- ``CLOSING``: the broker releases sessions and rejects new requests. It closes a connection once it has no
  open request and no unread input. Requests that are still open near the end are answered before their
  deadline;
- ``ENDED``: the broker sends data that is already written, and the reactor stops.

Each phase has a latest end, so clients that keep their connections busy cannot delay the exit.
"""

from __future__ import annotations

import logging
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Any

from lotuspick.program.components import Component
from lotuspick.routing.dispatcher import SessionDispatcher
from lotuspick.transport.rtsp.rtsp_server import RtspServer
from lotuspick.transport.sockets import Reactor, readable

log = logging.getLogger(__name__)

ACCEPT_AFTER_SIGTERM_S = 0.8  # requests arrive for 0.6 s; those up to 0.7 s must be answered
CLOSE_BEFORE_KILL_S = 0.6  # enough to release a thousand sessions on a busy processor
ANSWER_BEFORE_KILL_S = 0.4
EXIT_BEFORE_KILL_S = 0.25
SERVING_CHECK_S = 0.02
CLOSING_CHECK_S = 0.005
FLUSH_TIME_S = 0.1  # time to send written data before the process ends


class ShutdownPhase(Enum):
    """Phase of a shutdown."""

    NOT_STARTED = "not-started"
    SERVING = "serving"
    CLOSING = "closing"
    ENDED = "ended"


@dataclass(frozen=True, slots=True)
class ShutdownTimes:
    """Latest times of the steps of a shutdown, in seconds of the reactor's clock."""

    accept_until_s: float
    """The broker does not end before this time, since requests still arrive."""
    close_at_s: float
    """The broker releases all sessions and rejects requests from this time on."""
    answer_at_s: float
    """The broker answers requests that are still open."""
    exit_at_s: float
    """The broker closes connections that are still open."""

    @classmethod
    def of(cls, sigterm_s: float, grace_s: float) -> ShutdownTimes:
        """Compute the times for a SIGTERM that SIGKILL may follow after ``grace_s`` seconds."""
        accept_until_s = sigterm_s + ACCEPT_AFTER_SIGTERM_S
        kill_s = sigterm_s + grace_s
        return cls(
            accept_until_s,
            max(accept_until_s, kill_s - CLOSE_BEFORE_KILL_S),
            max(accept_until_s, kill_s - ANSWER_BEFORE_KILL_S),
            max(accept_until_s, kill_s - EXIT_BEFORE_KILL_S),
        )


class GracefulShutdown:
    """The shutdown of one broker, which begins at most once."""

    def __init__(
        self,
        reactor: Reactor,
        dispatcher: SessionDispatcher,
        rtsp_server: RtspServer,
        components: Sequence[Component],
        grace_s: float,
    ) -> None:
        """Prepare the shutdown; ``grace_s`` is the time between SIGTERM and the earliest SIGKILL (s)."""
        self.reactor, self.dispatcher, self.rtsp_server = reactor, dispatcher, rtsp_server
        self.components, self.grace_s = components, grace_s
        self.phase = ShutdownPhase.NOT_STARTED
        self.listener: Any = None

    def begin(self, listener: Any) -> None:
        """Begin the shutdown unless it has begun; ``listener`` is the listening port for viewers."""
        if self.phase is not ShutdownPhase.NOT_STARTED:
            return
        self.phase, self.listener = ShutdownPhase.SERVING, listener
        log.info("shutdown_started", extra={"sessions": len(self.dispatcher.sessions.entries)})
        self.times = ShutdownTimes.of(self.reactor.seconds(), self.grace_s)
        self.reactor.callLater(ACCEPT_AFTER_SIGTERM_S, self._check_serving)

    def _check_serving(self) -> None:
        """Continue to serve while there are work and time, and then begin to close."""
        if self.reactor.seconds() < self.times.close_at_s and self._has_work():
            self.reactor.callLater(SERVING_CHECK_S, self._check_serving)
            return
        self.phase = ShutdownPhase.CLOSING
        open_requests = self.dispatcher.sessions.open_request_count
        log.info("shutdown_closing", extra={"open_requests": open_requests})
        self.dispatcher.stop_admitting()
        self.rtsp_server.begin_closing()
        for component in self.components:
            component.begin_closing()
        self._check_closing()

    def _has_work(self) -> bool:
        """Return whether a request is open, a session plays or input is unread.

        Unread input counts because after a process pause timers run before the sockets are read.
        """
        return bool(
            self.dispatcher.has_pending_work
            or self.dispatcher.sessions.entries
            or self.rtsp_server.has_unread_input()
            or readable(self.listener.fileno())
            or any(component.has_unread_input() for component in self.components)
        )

    def _check_closing(self) -> None:
        """Answer requests and close idle connections; end when none is open or the time is over."""
        now_s = self.reactor.seconds()
        self.dispatcher.tick()
        self.dispatcher.release_all()  # at each check, since a pending attempt may still begin to play
        if now_s >= self.times.answer_at_s:
            self.dispatcher.answer_open_requests()
        if now_s < self.times.exit_at_s and self._has_open_connections():
            self.reactor.callLater(CLOSING_CHECK_S, self._check_closing)
            return
        self._finish()

    def _has_open_connections(self) -> bool:
        """Close idle connections; return whether others stay open or new connections are pending."""
        if self.listener.connected and not readable(self.listener.fileno()):
            self.listener.stopListening()
        viewers_to_answer = self.dispatcher.waiting_viewers()
        still_open = [
            self.rtsp_server.close_idle(viewers_to_answer),
            *(each.close_idle() for each in self.components),
        ]
        return bool(self.listener.connected or any(still_open) or self.dispatcher.has_pending_work)

    def _finish(self) -> None:
        self.phase = ShutdownPhase.ENDED
        if self.listener.connected:
            self.listener.stopListening()
        self.rtsp_server.stop_sending()
        for component in self.components:
            component.stop_accepting()
        self.reactor.callLater(FLUSH_TIME_S, self.reactor.stop)
