"""One TCP connection to an edge server: framing, flow control and orderly closing.

The connection belongs to one :class:`~lotuspick.transport.edge_servers.edge_server_client.EdgeServerClient`,
which handles the decoded messages and the end of the connection.
"""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Any

from twisted.internet import interfaces, protocol
from twisted.protocols.basic import Int16StringReceiver
from twisted.python.failure import Failure
from zope.interface import implementer

from lotuspick.protocol import edge_messages as wire
from lotuspick.protocol.errors import MAX_MESSAGE_BYTES, ProtocolError
from lotuspick.routing.termination import TerminationReason
from lotuspick.transport.sockets import loss_reason, now_us

if TYPE_CHECKING:
    from lotuspick.transport.edge_servers.edge_server_client import EdgeServerClient

log = logging.getLogger(__name__)

LENGTH_PREFIX_BYTES = 2  # size of the length field before each message
PARTIAL_MESSAGE_TIMEOUT_S = 0.25  # after which an incomplete message is considered truncated
# Of set-ups written while the server does not read: they stay in the write buffer when they are cancelled.
MAX_BLOCKED_SET_UP_BYTES = 1 << 16
LINGER_S = 1.0  # time that a closing or replaced connection stays open after its last message


@implementer(interfaces.IPushProducer)
class EdgeConnection(Int16StringReceiver):
    """One connection to an edge server."""

    transport: Any
    MAX_LENGTH = MAX_MESSAGE_BYTES - LENGTH_PREFIX_BYTES

    def __init__(self, client: EdgeServerClient, address: tuple[str, int] | None = None) -> None:
        self.client = client
        self.address = address or client.address  # fixed, also when the server moves to another address
        self.is_open = False
        self.opened_us = 0
        self.write_blocked_since_s: float | None = None
        self.blocked_set_up_bytes = 0  # size of the set-ups written since then
        self.partial_message_since_s: float | None = None
        self.last_message_s = self.last_set_up_s = 0.0
        self.close_reason: TerminationReason | None = None  # set when this side closes the connection
        self._close_timer: Any = None

    def connectionMade(self) -> None:
        """Register the connection with the pool (Twisted's callback)."""
        self.is_open, self.opened_us = True, now_us()
        self.client.pool.connections.add(self)
        self.last_message_s = self.client.pool.reactor.seconds()
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)

    def connectionLost(self, reason: Failure = protocol.connectionDone) -> None:
        """Report the end of the connection to the client (Twisted's callback)."""
        self.is_open = False
        if self._close_timer is not None and self._close_timer.active():
            self._close_timer.cancel()
        self.client.pool.connections.discard(self)
        self.client.connection_closed(self, self.close_reason or loss_reason(reason))

    @property
    def awaits_message(self) -> bool:
        """Whether no message has arrived since the last set-up that was written."""
        return self.last_message_s < self.last_set_up_s

    @property
    def is_full(self) -> bool:
        """Whether the server does not read, and the write buffer should take no further set-up."""
        return (
            self.write_blocked_since_s is not None and self.blocked_set_up_bytes >= MAX_BLOCKED_SET_UP_BYTES
        )

    def has_truncated_message(self, now_s: float) -> bool:
        """Return whether a message has been incomplete for so long that its rest will not arrive."""
        since_s = self.partial_message_since_s
        return since_s is not None and now_s - since_s > PARTIAL_MESSAGE_TIMEOUT_S

    # ---- closing ------------------------------------------------------------------------------------------

    def half_close(self) -> None:
        """Stop sending, and close once the peer has closed or after ``LINGER_S``.

        The connection is read until then, since a message that ends a session may be in transit. That message
        would not arrive on the new connection, which is already open.
        """
        if self.is_open and self.close_reason is None:
            self.close_reason = TerminationReason.IDLE
            self.transport.loseWriteConnection()
            self._close_timer = self.client.pool.reactor.callLater(
                LINGER_S, self.drop, TerminationReason.IDLE
            )

    def close_after_flush(self) -> None:
        """Close an idle connection once its write buffer is flushed, at the latest after ``LINGER_S``.

        The time limit frees the descriptor if the peer does not read.
        """
        self.close_reason, self.is_open = TerminationReason.IDLE, False
        self.transport.unregisterProducer()
        self.transport.loseConnection()
        self._close_timer = self.client.pool.reactor.callLater(LINGER_S, self.transport.abortConnection)

    def drop(self, reason: TerminationReason, detail: str = "") -> None:
        """Abort the connection.

        Args:
            reason: the reason reported to the client, unless an earlier close has set one.
            detail: further information, for the log only.
        """
        if self.is_open:
            log.info(
                "edge_server_connection_dropped",
                extra={"server": self.client.server, "reason": reason.value, "detail": detail},
            )
            self.close_reason = self.close_reason or reason
            self.is_open = False
            self.transport.abortConnection()

    # ---- flow control -------------------------------------------------------------------------------------

    def pauseProducing(self) -> None:
        """Record when the edge server stopped reading (Twisted's callback)."""
        self.write_blocked_since_s = self.client.pool.reactor.seconds()
        self.blocked_set_up_bytes = 0

    def resumeProducing(self) -> None:
        """Record that the edge server reads again (Twisted's callback)."""
        self.write_blocked_since_s = None

    def stopProducing(self) -> None:
        """Do nothing, since ``connectionLost`` follows (Twisted's callback)."""

    # ---- receiving ----------------------------------------------------------------------------------------

    def dataReceived(self, data: bytes) -> None:
        """Split the stream into messages, and record since when one is incomplete (Twisted's callback)."""
        super().dataReceived(data)
        if not self.recvd:
            self.partial_message_since_s = None
        elif self.partial_message_since_s is None:
            self.partial_message_since_s = self.client.pool.reactor.seconds()

    def stringReceived(self, string: bytes) -> None:
        """Decode one message and pass it to the client (Twisted's callback)."""
        if not self.is_open:
            return  # an earlier message in the same read was malformed and the connection was dropped
        self.partial_message_since_s = None
        try:
            self.client.message_received(self, wire.decode(string))
        except ProtocolError as error:
            self.drop(TerminationReason.MALFORMED, str(error))

    def lengthLimitExceeded(self, length: int) -> None:
        """Drop the connection for an oversize message (Twisted's callback)."""
        self.drop(TerminationReason.MALFORMED, f"message of {length} bytes")
