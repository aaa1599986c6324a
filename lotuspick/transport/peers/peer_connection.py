"""One TCP connection between two brokers, dialled by either side.

Frames have a 32-bit length prefix (``Int32StringReceiver``). Each side first sends a :class:`Hello`; if
another frame arrives first, the connection is closed.
"""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING, Any

import msgspec
from twisted.internet import protocol
from twisted.protocols.basic import Int32StringReceiver
from twisted.python.failure import Failure

from lotuspick.protocol.endpoint_events import parse_address
from lotuspick.protocol.errors import ProtocolError
from lotuspick.transport.peers.frames import ENCODE, FRAME_DECODER, MAX_FRAME_BYTES, PROTOCOL_VERSION, Hello
from lotuspick.transport.peers.link_counter import LinkCounter

if TYPE_CHECKING:
    from lotuspick.transport.peers.peer_channel import PeerChannel
    from lotuspick.transport.peers.peer_connections import PeerConnections

HELLO_TIMEOUT_S = 2.0  # after which a connection without a hello is closed
UNACKNOWLEDGED_TIMEOUT_MS = 5_000  # after which the kernel drops a connection with unacknowledged data
UNKNOWN_PEER = "unknown"


class PeerConnection(Int32StringReceiver):
    """One connection to a peer; it is registered as the producer of its transport, for backpressure.

    ``channel`` is None until an accepted connection has received its hello.
    """

    MAX_LENGTH = MAX_FRAME_BYTES
    transport: Any

    def __init__(self, peers: PeerConnections, channel: PeerChannel | None = None) -> None:
        self.peers, self.channel = peers, channel
        self.dialled = channel is not None  # by this side
        self.peer_sequence_id = 0
        self.hello_received = False
        self.paused = False  # the transport's buffer is full

    def connectionMade(self) -> None:
        """Configure the socket, and send the hello to a dialled peer (Twisted's callback)."""
        self.transport.setTcpNoDelay(True)
        sock = self.transport.getHandle()
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS)
        self.transport.registerProducer(self, True)
        hello_timer = self.peers.reactor.callLater(HELLO_TIMEOUT_S, self._on_hello_timeout)
        self.peers.connections[self] = hello_timer
        if self.channel is None:
            self.peers.add_awaiting_hello(self)
        else:
            self._send_hello(self.channel)
            self.channel.pending_connection = self

    def connectionLost(self, reason: Failure = protocol.connectionDone) -> None:
        """Unregister the connection (Twisted's callback)."""
        del reason
        self.peers.awaiting_hello.pop(self, None)
        hello_timer = self.peers.connections.pop(self, None)
        if hello_timer is not None and hello_timer.active():
            hello_timer.cancel()
        if self.channel is not None:
            self.channel.connection_lost(self)

    def lengthLimitExceeded(self, length: int) -> None:
        """Abort the connection for an oversize frame (Twisted's callback)."""
        self._abort_malformed(f"frame of {length} bytes exceeds {MAX_FRAME_BYTES}")

    def stringReceived(self, string: bytes) -> None:
        """Handle one frame (Twisted's callback)."""
        try:
            frame = FRAME_DECODER.decode(string)
            if isinstance(frame, Hello):
                self._on_hello(frame)
                return
            channel = self._established_channel()
        except (msgspec.DecodeError, ProtocolError) as error:
            self._abort_malformed(str(error))
            return
        channel.receive(self, frame)

    def _established_channel(self) -> PeerChannel:
        if not self.hello_received or self.channel is None:
            raise ProtocolError("frame before the hello")
        return self.channel

    # ---- hello --------------------------------------------------------------------------------------------

    def _send_hello(self, channel: PeerChannel) -> None:
        self.sendString(ENCODE(Hello(self.peers.address, PROTOCOL_VERSION, channel.sequence_id)))

    def close_over_hello_limit(self) -> None:
        """Abort the connection, the oldest of too many that await a hello."""
        self.peers.counts[LinkCounter.HELLO_LIMIT] += 1
        self.peers.awaiting_hello.pop(self, None)
        self.transport.abortConnection()

    def _on_hello_timeout(self) -> None:
        self.peers.counts[LinkCounter.HELLO_TIMEOUT] += 1
        self.transport.abortConnection()

    def _on_hello(self, hello: Hello) -> None:
        if self.hello_received:
            # Handled as a first hello, it would retire this connection as if the peer had dialled again.
            self.peers.report_malformed(self._peer_name(), "second hello")
            return
        channel = self._channel_for(hello)
        hello_timer = self.peers.connections[self]
        if hello_timer.active():
            hello_timer.cancel()
        self.hello_received, self.peer_sequence_id = True, hello.sequence_id
        self.peers.awaiting_hello.pop(self, None)
        if self.channel is None:
            self.channel = channel
            self._send_hello(channel)
        channel.accept_sequence(self)
        channel.connection_ready(self)

    def _channel_for(self, hello: Hello) -> PeerChannel:
        """Return the channel of the peer that sent a hello.

        Raises:
            ProtocolError: the peer has an unexpected address, or there are too many peers.
        """
        parse_address(hello.address)
        if self.channel is not None and self.channel.peer != hello.address:
            raise ProtocolError(f"{hello.address} answers at the address of {self.channel.peer}")
        channel = self.channel or self.peers.channel(hello.address)
        if channel is None:
            raise ProtocolError("too many peers")
        if hello.address == self.peers.address:
            raise ProtocolError("hello with this broker's own address")
        return channel

    def _abort_malformed(self, error: str) -> None:
        self.peers.report_malformed(self._peer_name(), error)
        self.transport.abortConnection()

    def _peer_name(self) -> str:
        return self.channel.peer if self.channel is not None else UNKNOWN_PEER

    # ---- backpressure -------------------------------------------------------------------------------------

    def pauseProducing(self) -> None:
        """Stop writing while the transport's buffer is full (Twisted's callback)."""
        self.paused = True

    def resumeProducing(self) -> None:
        """Write again once the transport's buffer has space (Twisted's callback)."""
        self.paused = False
        if self.channel is not None:
            self.channel.flush()

    def stopProducing(self) -> None:
        """Stop writing permanently, since the connection is lost (Twisted's callback)."""
        self.paused = True
