"""The RTSP server: all viewer connections, limited in number.

Beyond the limit it first evicts connections that have no open request, then stops accepting: new connections
wait in the kernel's accept queue, together with the input that they have sent.
"""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Callable, Container
from typing import TYPE_CHECKING, Any

from twisted.internet import protocol, tcp

from lotuspick.protocol import rtsp
from lotuspick.protocol.errors import MAX_MESSAGE_BYTES
from lotuspick.routing.interfaces import ViewerConnection
from lotuspick.routing.messages import InboundMessage, ViewerConnectionClosed, ViewerConnectionOpened
from lotuspick.routing.termination import TerminationReason
from lotuspick.transport.rtsp.rtsp_connection import RtspConnection
from lotuspick.transport.sockets import Reactor, now_us, readable

if TYPE_CHECKING:
    from lotuspick.entitlement.renewal import RenewToken

log = logging.getLogger(__name__)

HEADROOM_DIVISOR = 8  # limit/8 may exceed the limit, closing ones included; also the maximum per accept
ACCEPT_RETRY_S = 0.05  # interval of capacity checks while accepting is paused
EVICTION_DIVISOR = 32  # limit/32 more are evicted than necessary, to free capacity for further connections
CANDIDATES_FACTOR = 4  # candidates per eviction, since those with unread input are skipped
# Per read: an incomplete message that is unread because this process stalled still arrives whole.
MAX_READ_BYTES = MAX_MESSAGE_BYTES
SHUTDOWN_READ_BYTES = 2_048  # per read during a shutdown: a few messages
DROPPED_LOG_S = 1.0  # interval for which one log line counts the dropped connections


class ListeningPort(tcp.Port):
    """The listening socket; it accepts at most ``accepts_per_read`` connections per read event.

    Without this limit the reactor could accept more connections in one iteration than there are descriptors.
    """

    accepts_per_read = 1

    def doRead(self) -> None:
        """Accept connections (Twisted's callback)."""
        self.numberAccepts = self.accepts_per_read
        super().doRead()


class RtspServer(protocol.Factory):
    """All viewer connections."""

    noisy = False

    def __init__(
        self,
        reactor: Reactor,
        post: Callable[[InboundMessage], None],
        ready: Callable[[], bool],
        set_up_limits: rtsp.SetUpLimits,
        connection_limit: int,
        eviction_candidates: Callable[[int], list[ViewerConnection]],
        has_open_request: Callable[[ViewerConnection], bool],
        renew: RenewToken | None = None,
        earliest_arrival_us: Callable[[], int] = now_us,
    ) -> None:
        self.reactor, self.post, self.ready, self.set_up_limits, self.renew = (
            reactor,
            post,
            ready,
            set_up_limits,
            renew,
        )
        self.earliest_arrival_us = earliest_arrival_us
        self.connection_limit, self.eviction_candidates = connection_limit, eviction_candidates
        self.has_open_request = has_open_request
        self.connections: dict[RtspConnection, None] = {}
        self.closing: set[RtspConnection] = set()  # ended connections whose sockets are not yet closed
        self.shutting_down = False  # connections are closed as they become idle
        self.dropped: Counter[str] = Counter()
        self.port: ListeningPort | None = None
        self._accept_timer: Any = None  # the next capacity check, while accepting is paused

    def listen(self, host: str, port: int, backlog: int) -> Any:
        """Accept connections on an address; returns the listening port."""
        factory: Any = self
        self.port = ListeningPort(port, factory, backlog, host, self.reactor)
        self.port.accepts_per_read = max(1, self.connection_limit // HEADROOM_DIVISOR)
        self.port.startListening()
        return self.port

    def buildProtocol(self, addr: object) -> RtspConnection:
        """Create the protocol of a new connection (Twisted's callback)."""
        del addr
        return RtspConnection(self)

    def has_unread_input(self) -> bool:
        """Whether any connection has unread input."""
        return readable(*(connection.poll_descriptor for connection in self.connections))

    def begin_closing(self) -> None:
        """Limit the size of reads from now on, so that a burst of input cannot delay shutdown timers."""
        self.shutting_down = True
        for connection in self.connections:
            connection.limit_reads(SHUTDOWN_READ_BYTES)

    def close_idle(self, waiting: Container[ViewerConnection | None]) -> bool:
        """Close the connections without an open request or pending data; returns whether others stay open.

        Args:
            waiting: connections with a request that has no answer yet.
        """
        has_open = False
        for connection in list(self.connections):
            if connection.is_open:
                if connection in waiting or connection.is_new or connection.has_pending_data:
                    has_open = True
                else:
                    connection.close_now()
        return has_open

    def stop_sending(self) -> None:
        """Close the sending direction of all connections after their output is sent.

        A set-up that crosses the close is not lost: its viewer sends it again, elsewhere.
        """
        for connection in list(self.connections):
            if connection.is_open:
                connection.stop_sending()

    # ---- called by the connections ------------------------------------------------------------------------

    def connection_opened(self, connection: RtspConnection) -> None:
        """Register a new connection, and evict others if the limit is exceeded."""
        self.connections[connection] = None
        connection.limit_reads(SHUTDOWN_READ_BYTES if self.shutting_down else MAX_READ_BYTES)
        self.post(ViewerConnectionOpened(connection))
        self._evict()

    def connection_ended(self, connection: RtspConnection) -> None:
        """Notify the dispatcher that a connection has ended; its socket may be closed later."""
        self.closing.add(connection)
        self.post(ViewerConnectionClosed(connection))

    def connection_closed(self, connection: RtspConnection, reason: TerminationReason) -> None:
        """Remove a connection whose socket is closed, and resume accepting if that frees capacity."""
        self.closing.discard(connection)
        self.connections.pop(connection, None)
        self._resume_accepting()
        log.debug("viewer_connection_closed", extra={"reason": reason.value})

    def count_dropped(self, reason: TerminationReason) -> None:
        """Count a dropped connection; one log line per interval reports the counts."""
        if not self.dropped:
            self.reactor.callLater(DROPPED_LOG_S, self._log_dropped)
        self.dropped[reason.value] += 1

    def _log_dropped(self) -> None:
        log.info("viewer_connections_dropped", extra=dict(self.dropped))
        self.dropped.clear()

    # ---- limits -------------------------------------------------------------------------------------------

    def _evict(self) -> None:
        """Evict connections if the limit is exceeded; then resume or pause accepting."""
        excess = len(self.connections) - len(self.closing) - self.connection_limit
        if excess > 0:
            # Several connections may open in one iteration of the reactor, and the sockets of connections
            # evicted for the first one are closed only after it. Closing connections therefore count as
            # free capacity; otherwise each new connection would evict the same number again.
            remaining = excess + self.connection_limit // EVICTION_DIVISOR
            for candidate in self.eviction_candidates(CANDIDATES_FACTOR * remaining):
                if remaining and isinstance(candidate, RtspConnection) and _can_be_evicted(candidate):
                    candidate.evict()
                    remaining -= 1
        self._resume_accepting()

    def _resume_accepting(self) -> None:
        """Resume accepting if there is free capacity, else pause accepting.

        A connection that was accepted and then rejected would lose the requests that it has already sent.
        """
        limit = self.connection_limit + self.connection_limit // HEADROOM_DIVISOR
        full = len(self.connections) >= limit
        if full and self._accept_timer is None:
            self._accept_timer = self.reactor.callLater(ACCEPT_RETRY_S, self._retry_accepting)
            if self.port is not None:
                self.port.stopReading()
        elif not full and self._accept_timer is not None:
            self._accept_timer.cancel()
            self._accept_timer = None
            if self.port is not None and self.port.connected:
                self.port.startReading()

    def _retry_accepting(self) -> None:
        self._accept_timer = self.reactor.callLater(ACCEPT_RETRY_S, self._retry_accepting)
        self._evict()


def _can_be_evicted(candidate: RtspConnection) -> bool:
    """Whether a connection without an open set-up can be closed without loss.

    Its next request may be unread, and its last answer may be unsent.
    """
    return not (readable(candidate.poll_descriptor) or candidate.has_unsent_output)
