"""One connection between two brokers."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING, Any

import msgspec
from twisted.internet import protocol
from twisted.protocols.basic import Int32StringReceiver
from twisted.python.failure import Failure

from lotuspick.protocol.endpoint_events import address as parse_address
from lotuspick.protocol.errors import ProtocolError
from lotuspick.transport.peers.frames import ENCODE, FRAME, MAX_FRAME_BYTES, PROTOCOL_VERSION, Hello

if TYPE_CHECKING:
    from lotuspick.transport.peers.peer_channel import PeerChannel
    from lotuspick.transport.peers.peer_connections import PeerConnections

HELLO_TIMEOUT_S = 2.0  # one that has not said who it is by then, too
UNACKNOWLEDGED_TIMEOUT_MS = (
    5_000  # so long nothing that was written is acknowledged before the kernel gives a connection up
)


class PeerConnection(Int32StringReceiver):
    """One connection with a peer, dialled by either side. ``channel`` is None until an accepted one has said who it is."""

    MAX_LENGTH = MAX_FRAME_BYTES
    transport: Any

    def __init__(self, peers: PeerConnections, channel: PeerChannel | None = None) -> None:
        self.peers, self.channel, self.dialled, self.peer_sequence_id = peers, channel, channel is not None, 0
        self.greeted = self.paused = False

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        handle = self.transport.getHandle()
        handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS)
        self.transport.registerProducer(self, True)
        self.peers.connections[self] = self.peers.reactor.callLater(HELLO_TIMEOUT_S, self._on_hello_timeout)
        if self.channel is not None:
            self._send_hello(self.channel)
            self.channel.pending_connection = self

    def _send_hello(self, channel: PeerChannel) -> None:
        self.sendString(ENCODE(Hello(self.peers.address, PROTOCOL_VERSION, channel.sequence_id)))

    def connectionLost(self, reason: Failure = protocol.connectionDone) -> None:
        waiting = self.peers.connections.pop(self, None)
        if waiting is not None and waiting.active():
            waiting.cancel()
        if self.channel is not None:
            self.channel.connection_lost(self)

    def _on_hello_timeout(self) -> None:
        self.peers.counts["mute"] += 1
        self.transport.abortConnection()

    def lengthLimitExceeded(self, length: int) -> None:
        self._abort(f"a frame of {length} bytes, over {MAX_FRAME_BYTES}")

    def stringReceived(self, string: bytes) -> None:
        try:
            frame = FRAME.decode(string)
            if isinstance(frame, Hello):
                self._on_hello(frame)
                return
            if not self.greeted or self.channel is None:
                raise ProtocolError("no hello")
        except (msgspec.DecodeError, ProtocolError) as fault:
            self._abort(str(fault))
            return
        self.channel.receive(self, frame)

    def _on_hello(self, hello: Hello) -> None:
        parse_address(hello.address)
        if self.channel is not None and self.channel.peer != hello.address:
            raise ProtocolError(f"{hello.address} answers at the address of {self.channel.peer}")
        channel = self.channel or self.peers.channel(hello.address)
        if channel is None or hello.address == self.peers.address:
            raise ProtocolError(
                "one peer too many" if channel is None else "it has this broker's own address"
            )
        waiting = self.peers.connections[self]
        if waiting.active():
            waiting.cancel()
        self.greeted, self.peer_sequence_id = True, hello.sequence_id
        if self.channel is None:
            self.channel = channel
            self._send_hello(channel)
        channel.accept_sequence(self)
        channel.connection_ready(self)

    def _abort(self, what: str) -> None:
        self.peers.report_malformed(self.channel.peer if self.channel is not None else "unknown", what)
        self.transport.abortConnection()

    # ---- the transport's producer: it tells when its buffer is full and when it has room again ------------

    def pauseProducing(self) -> None:
        self.paused = True

    def resumeProducing(self) -> None:
        self.paused = False
        if self.channel is not None:
            self.channel.flush()

    def stopProducing(self) -> None:
        self.paused = True
