"""The link between brokers: TCP for ordered messages, UDP for messages that may be lost.

The link is disabled on the platform. A peer is identified by the address of its link, on which it accepts
both TCP and UDP. One connection carries the messages of a pair of brokers in both directions; the broker
with the first message to send dials. Frames are described in :mod:`~lotuspick.transport.peers.frames`,
connections and ordering in :mod:`~lotuspick.transport.peers.peer_channel`. A slow peer loses only its own
messages and never blocks the reactor.

The link has no encryption and no authentication: the network between brokers must be private (see
``docs/membership/operate.md``).
"""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Callable, Mapping
from typing import Any

from twisted.internet import protocol

from lotuspick.membership.model import Message
from lotuspick.protocol.endpoint_events import parse_address
from lotuspick.protocol.errors import ProtocolError
from lotuspick.transport.peers.datagrams import PeerDatagrams
from lotuspick.transport.peers.frames import (
    DATAGRAM_DECODER,
    ENCODE,
    FRAME_DECODER,
    MAX_DATAGRAM_BYTES,
    Envelope,
    Hello,
    Numbered,
)
from lotuspick.transport.peers.link_counter import LinkCounter
from lotuspick.transport.peers.peer_channel import PeerChannel
from lotuspick.transport.peers.peer_connection import PeerConnection
from lotuspick.transport.sockets import Reactor

__all__ = ["DATAGRAM_DECODER", "ENCODE", "FRAME_DECODER", "Envelope", "Hello", "Numbered", "PeerConnections"]

log = logging.getLogger(__name__)

MAX_PEERS = 2_000  # limit of channels, and of cached parsed addresses
MAX_AWAITING_HELLO = 64  # accepted connections without a hello; brokers send it immediately
MAX_LOGGED_PEERS = 256  # peers whose last error is stored, so that it is logged once
MAX_LOGGED_ERROR_CHARS = 200
DATAGRAM_READ_BYTES = 65_536  # over MAX_DATAGRAM_BYTES, so that an oversize datagram is detected
IDLE_TIMEOUT_S = 60.0  # after which a connection without messages is closed

MessageHandler = Callable[[str, Any], None]
"""Called with the address of a peer and a message from it."""


class PeerConnections:
    """All connections and channels of one broker."""

    def __init__(
        self,
        reactor: Reactor,
        host: str,
        on_message: MessageHandler,
        via: Mapping[str, str] | None = None,
        process_id: int = 0,
    ) -> None:
        """Create the link; :meth:`listen` opens it.

        Args:
            reactor: Twisted's reactor.
            host: the address to listen on.
            on_message: called with each received message.
            via: the addresses to dial for peers that are not reachable at their own address.
            process_id: distinguishes this process from others that have or had the same address.
        """
        self.reactor, self.host, self.on_message = reactor, host, on_message
        self.via: Mapping[str, str] = via or {}
        self.process_id = process_id
        self.address = ""
        """host:port of this broker's link; empty before :meth:`listen`."""
        self.closed = False
        self.counts: Counter[str] = Counter()
        """Counts since the start, by :class:`LinkCounter`."""
        self.channels: dict[str, PeerChannel] = {}
        self.channels_created = 0
        self.connections: dict[PeerConnection, Any] = {}
        """All open connections, each with the timer of its hello timeout."""
        self.awaiting_hello: dict[PeerConnection, None] = {}
        """Accepted connections without a hello, oldest first."""
        self.datagrams = PeerDatagrams(self)
        self.endpoints: dict[str, tuple[str, int]] = {}
        """Host and port for datagrams, by peer."""
        self.logged_errors: dict[str, str] = {}
        """The error last logged for each peer."""
        self._ports: list[Any] = []

    def listen(self, port: int = 0) -> str:
        """Listen for connections and datagrams on one port (0: any); return the address.

        Raises:
            twisted.internet.error.CannotListenError: the port is in use.
        """
        factory: Any = protocol.Factory.forProtocol(lambda: PeerConnection(self))
        tcp_port = self.reactor.listenTCP(port, factory, interface=self.host)
        self._ports = [tcp_port]
        port_number = tcp_port.getHost().port
        udp_port = self.reactor.listenUDP(
            port_number, self.datagrams, interface=self.host, maxPacketSize=DATAGRAM_READ_BYTES
        )
        self._ports.append(udp_port)
        self.address = f"{self.host}:{port_number}"
        return self.address

    def channel(self, peer: str) -> PeerChannel | None:
        """Return the channel of a peer, created if necessary; None if there are too many channels."""
        if peer not in self.channels:
            if len(self.channels) >= MAX_PEERS:
                return None
            self.channels[peer] = PeerChannel(self, peer)
        return self.channels[peer]

    def send(self, peer: str, message: Message, reliable: bool) -> bool:
        """Send a message.

        Args:
            peer: the address of the peer.
            message: the message.
            reliable: send in order over TCP; otherwise as a datagram, if the message fits into one.

        Returns:
            False if the message was rejected because it is too large or the queue of the peer is full.
        """
        if self.closed:
            return False
        if not reliable and self._send_datagram(peer, message):
            return True
        channel = self.channel(peer)
        return channel is not None and channel.send(message)

    def _send_datagram(self, peer: str, message: Message) -> bool:
        """Send a message that may be lost; return False if it does not fit into a datagram."""
        datagram = ENCODE(Envelope(self.address, message))
        if len(datagram) > MAX_DATAGRAM_BYTES:
            return False
        try:
            self.datagrams.transport.write(datagram, self._endpoint(peer))
        except (OSError, ProtocolError):
            self.counts[LinkCounter.NOT_SENT] += 1
        return True

    def _endpoint(self, peer: str) -> tuple[str, int]:
        endpoint = self.endpoints.get(peer)
        if endpoint is None:
            if len(self.endpoints) >= MAX_PEERS:
                self.endpoints.clear()
            endpoint = self.endpoints[peer] = parse_address(self.via.get(peer, peer))
        return endpoint

    def add_awaiting_hello(self, accepted: PeerConnection) -> None:
        """Register an accepted connection; if too many await a hello, abort the oldest."""
        self.awaiting_hello[accepted] = None
        if len(self.awaiting_hello) > MAX_AWAITING_HELLO:
            next(iter(self.awaiting_hello)).close_over_hello_limit()

    def disconnect(self, peer: str) -> None:
        """Abort the connection to a peer that is considered dead or has left."""
        if peer in self.channels:
            self.channels[peer].disconnect()

    def report_malformed(self, peer: str, error: str) -> None:
        """Count a malformed message, and log it once for each peer and error."""
        self.counts[LinkCounter.MALFORMED] += 1
        if self.logged_errors.get(peer) != error and len(self.logged_errors) < MAX_LOGGED_PEERS:
            self.logged_errors[peer] = error
            log.warning(
                "peer_message_malformed", extra={"peer": peer, "error": error[:MAX_LOGGED_ERROR_CHARS]}
            )

    def close_idle(self) -> None:
        """Close idle connections, and delete idle channels without a connection; called periodically."""
        now_s = self.reactor.seconds()
        for peer, channel in list(self.channels.items()):
            if channel.queue or now_s - channel.last_used_s <= IDLE_TIMEOUT_S:
                continue
            if channel.connection is not None:
                channel.connection.transport.loseConnection()
            else:
                del self.channels[peer]

    def close(self) -> None:
        """Stop listening and sending; written frames are flushed before the connections close."""
        self.closed = True
        for port in self._ports:
            port.stopListening()
        for connection in list(self.connections):
            connection.transport.loseConnection()
