"""The link between brokers: TCP for what must arrive in order, UDP for what may be lost. Off on the platform.

Messages are msgpack by msgspec, in the schema of :mod:`lotuspick.membership.model`: fields that are not known are
passed over, so brokers of two versions understand each other. TCP frames are Twisted's ``Int32StringReceiver``.
Nothing is encrypted and nobody proves who they are: the network between brokers has to be private, and
``docs/membership/operate.md`` says so plainly.

A peer is named by the address of its link, on which it takes both TCP and UDP. One connection carries what a pair has
to say, both ways: whoever has something to say first dials, and where both dial at once that of the lower address
stays. Frames are numbered over all connections of a process, so that none is taken after a later one. What waits for a
peer is bounded, in messages and bytes; what is over the bound is refused to the sender and counted, so a slow peer
costs its own messages and never the loop.
"""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Callable, Mapping
from typing import Any

from twisted.internet import protocol

from lotuspick.membership.model import Message
from lotuspick.protocol.endpoint_events import address as parse_address
from lotuspick.protocol.errors import ProtocolError
from lotuspick.transport.peers.datagrams import PeerDatagrams
from lotuspick.transport.peers.frames import (
    DATAGRAM,
    ENCODE,
    FRAME,
    MAX_DATAGRAM_BYTES,
    Envelope,
    Hello,
    Numbered,
)
from lotuspick.transport.peers.peer_channel import MAX_QUEUED_MESSAGES, PeerChannel
from lotuspick.transport.peers.peer_connection import PeerConnection
from lotuspick.transport.sockets import Reactor

__all__ = ["DATAGRAM", "ENCODE", "FRAME", "Envelope", "Hello", "Numbered", "PeerConnections"]

log = logging.getLogger(__name__)

MAX_PEERS = 2_000  # channels, and connections of those that have not said who they are
IDLE_TIMEOUT_S = 60.0  # a connection that carries nothing for so long is closed

MessageHandler = Callable[[str, Any], None]


class PeerConnections:
    """All links of one broker. ``on_message`` is called with the address of a peer and its message; ``via`` names where a
    peer is reached that is not reached at its own address; ``process_id`` tells this process from others of its address."""

    def __init__(
        self,
        reactor: Reactor,
        host: str,
        on_message: MessageHandler,
        via: Mapping[str, str] | None = None,
        process_id: int = 0,
    ) -> None:
        self.reactor, self.host, self.on_message, self.via, self.process_id = (
            reactor,
            host,
            on_message,
            via or {},
            process_id,
        )
        self.address = ""
        self.channels_made = 0
        self.channels: dict[str, PeerChannel] = {}
        self.connections: dict[PeerConnection, Any] = {}
        self.counts: Counter[str] = Counter()
        self.closed = False
        self.logged_errors: dict[str, str] = {}
        self.endpoints: dict[str, tuple[str, int]] = {}
        self.datagrams = PeerDatagrams(self)
        self._ports: list[Any] = []

    def listen(self, port: int = 0) -> str:
        """Take connections and datagrams on one port of the host's; returns the address. Raises Twisted's
        ``CannotListenError`` where the port is taken."""
        factory: Any = protocol.Factory.forProtocol(lambda: PeerConnection(self))
        streams = self.reactor.listenTCP(port, factory, interface=self.host)
        self._ports = [streams]
        number = streams.getHost().port
        self._ports.append(
            self.reactor.listenUDP(number, self.datagrams, interface=self.host, maxPacketSize=65_536)
        )
        self.address = f"{self.host}:{number}"
        return self.address

    def channel(self, peer: str) -> PeerChannel | None:
        """The channel of a peer; None where there are too many."""
        if peer not in self.channels:
            if len(self.channels) >= MAX_PEERS:
                return None
            self.channels[peer] = PeerChannel(self, peer)
        return self.channels[peer]

    def send(self, peer: str, message: Message, reliable: bool) -> bool:
        """Send a message; false where it was refused at once: too much waits for the peer, or it is too large."""
        if self.closed:
            return False
        if not reliable:
            datagram = ENCODE(Envelope(self.address, message))
            if len(datagram) <= MAX_DATAGRAM_BYTES:
                try:
                    self.datagrams.transport.write(datagram, self._endpoint(peer))
                except (OSError, ProtocolError):
                    self.counts["not-sent"] += 1
                return True
        channel = self.channel(peer)
        return channel is not None and channel.send(message)

    def _endpoint(self, peer: str) -> tuple[str, int]:
        endpoint = self.endpoints.get(peer)
        if endpoint is None:
            if len(self.endpoints) >= MAX_PEERS:
                self.endpoints.clear()
            endpoint = self.endpoints[peer] = parse_address(self.via.get(peer, peer))
        return endpoint

    def disconnect(self, peer: str) -> None:
        """A peer is believed to be dead or has left."""
        if peer in self.channels:
            self.channels[peer].disconnect()

    def report_malformed(self, peer: str, what: str) -> None:
        """What no broker would send: counted, and logged once a peer and kind."""
        self.counts["malformed"] += 1
        if self.logged_errors.get(peer) != what and len(self.logged_errors) < MAX_QUEUED_MESSAGES:
            self.logged_errors[peer] = what
            log.warning("peer sent what cannot be used", extra={"peer": peer, "fault": what[:200]})

    def close_idle(self) -> None:
        """Now and then: let go of channels that carry nothing."""
        now_s = self.reactor.seconds()
        for peer, channel in list(self.channels.items()):
            if not channel.queue and now_s - channel.last_used_s > IDLE_TIMEOUT_S:
                if channel.connection is not None:
                    channel.connection.transport.loseConnection()
                else:
                    del self.channels[peer]

    def close(self) -> None:
        """Take and send nothing more; what was written leaves."""
        self.closed = True
        for port in self._ports:
            port.stopListening()
        for connection in list(self.connections):
            connection.transport.loseConnection()
