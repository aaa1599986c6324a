"""An HTTP site with limits on connections, body size and data that follows an unanswered request."""

from __future__ import annotations

from typing import Any

from twisted.internet import protocol
from twisted.python.failure import Failure
from twisted.web import http, server
from twisted.web.resource import Resource

from lotuspick.protocol.errors import MAX_MESSAGE_BYTES
from lotuspick.transport.sockets import Reactor, closed_by_peer, has_unsent_output, readable, shut_down

IDLE_S = 60.0  # idle timeout of a connection
CLOSE_CHECK_S = 0.1  # between two checks whether a viewer has closed a connection that is not read


class BoundedRequest(server.Request):
    """A request whose body size is limited; ``too_long`` is True if the body exceeds the limit."""

    def gotLength(self, length: int | None) -> None:
        """Check the announced length (Twisted's callback)."""
        self.too_long = length is not None and length > MAX_MESSAGE_BYTES
        self.body_size = 0
        super().gotLength(0 if self.too_long else length)

    def handleContentChunk(self, data: bytes) -> None:
        """Store a part of the body; a body beyond the limit is discarded and answered with an error."""
        self.body_size += len(data)
        if self.too_long or self.body_size > MAX_MESSAGE_BYTES:
            self.too_long = True
            return
        super().handleContentChunk(data)


class BoundedChannel(http.HTTPChannel):
    """One connection; reading pauses while too much data follows a request that has no response yet.

    Twisted stops reading once its buffer is full, and would not detect that the viewer disconnects until the
    request is answered. This is therefore checked periodically.
    """

    _handlingRequest: bool
    _dataBuffer: list[bytes]
    requests: list[Any]
    site: BoundedSite
    transport: Any
    _close_check: Any = None  # timer of the next check, while reading is paused

    @property
    def is_idle(self) -> bool:
        """Whether no request is open or unread, and no response is unsent."""
        has_input = bool(self.requests or self._dataBuffer or readable(self.transport.fileno()))
        return not (has_input or has_unsent_output(self.transport))

    def close_now(self) -> None:
        """Close at once: the transport alone would close in the next iteration of the reactor."""
        shut_down(self.transport.getHandle())
        self.loseConnection()

    def begin_closing(self) -> None:
        """Close the connection with the response to the open request, unless more requests are buffered.

        A connection without a request stays open: a request in transit would be dropped without an answer.
        """
        if self.requests and not self._dataBuffer:
            self.persistent = False
            for request in self.requests:
                request.responseHeaders.setRawHeaders(b"connection", [b"close"])

    def checkPersistence(self, request: Any, version: bytes) -> bool:
        """Whether the connection stays open after the response; False once the site is closing."""
        if self.site.closing:
            request.responseHeaders.setRawHeaders(b"connection", [b"close"])
            return False
        return bool(super().checkPersistence(request, version))

    def dataReceived(self, data: bytes) -> None:
        """Process data, and check for a close from now on if reading pauses (Twisted's callback)."""
        super().dataReceived(data)
        self._schedule_close_check()

    def connectionLost(self, reason: Failure = protocol.connectionDone) -> None:
        """Stop the timer (Twisted's callback)."""
        if self._close_check is not None and self._close_check.active():
            self._close_check.cancel()
        self._close_check = None
        super().connectionLost(reason)

    @property
    def _is_full(self) -> bool:
        """Whether the data after an open request exceeds the limit, so that Twisted does not read."""
        return self._handlingRequest and sum(map(len, self._dataBuffer)) > MAX_MESSAGE_BYTES

    def _schedule_close_check(self) -> None:
        if self._close_check is None and self._is_full:
            self._close_check = self.site.reactor.callLater(CLOSE_CHECK_S, self._check_for_close)

    def _check_for_close(self) -> None:
        self._close_check = None
        if self._is_full and closed_by_peer(self.transport.fileno()):
            self.forceAbortClient()
        else:
            self._schedule_close_check()


class BoundedSite(server.Site):
    """A site that refuses connections beyond a limit."""

    noisy = False
    displayTracebacks = False
    protocol: Any = BoundedChannel
    reactor: Reactor

    def __init__(self, root: Resource, connection_limit: int, reactor: Reactor) -> None:
        super().__init__(root, timeout=IDLE_S, reactor=reactor)
        self.requestFactory = BoundedRequest
        self.connection_limit, self.channels = connection_limit, set[Any]()
        self.closing = False

    @property
    def descriptors(self) -> list[int]:
        """The socket descriptors of all connections."""
        return [channel.transport.fileno() for channel in self.channels if channel.transport is not None]

    def begin_closing(self) -> None:
        """Make each response from now on close its connection."""
        self.closing = True
        for channel in self.channels:
            channel.begin_closing()

    def close_idle(self) -> bool:
        """Close the idle connections; returns whether others remain open."""
        for channel in list(self.channels):
            if channel.is_idle:
                channel.close_now()
        return any(not channel.is_idle for channel in self.channels)

    def log(self, request: object) -> None:
        """Write no access log: relevant events are logged where they occur."""

    def buildProtocol(self, addr: object) -> Any:
        """Create the channel of a new connection; returns None beyond the limit (Twisted's callback)."""
        if len(self.channels) >= self.connection_limit:
            return None
        channel: Any = super().buildProtocol(addr)
        self.channels.add(channel)
        connection_lost = channel.connectionLost

        def on_connection_lost(reason: Failure) -> None:
            self.channels.discard(channel)
            connection_lost(reason)

        channel.connectionLost = on_connection_lost
        return channel
