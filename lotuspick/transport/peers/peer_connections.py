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
from lotuspick.protocol.endpoint_events import address as split
from lotuspick.protocol.errors import ProtocolError
from lotuspick.transport.peers.datagrams import Datagrams
from lotuspick.transport.peers.frames import DATAGRAM, ENCODE, FRAME, MOST_DATAGRAM, Envelope, Hello, Numbered
from lotuspick.transport.peers.peer_channel import MOST_WAITING, Line
from lotuspick.transport.peers.peer_connection import Connection
from lotuspick.transport.sockets import Reactor

__all__ = ["DATAGRAM", "ENCODE", "FRAME", "Envelope", "Hello", "Numbered", "Peers"]

log = logging.getLogger(__name__)

MOST_PEERS = 2_000  # lines, and connections of those that have not said who they are
IDLE_S = 60.0  # a connection that carries nothing for so long is closed

Take = Callable[[str, Any], None]


class Peers:
    """All links of one broker. ``take`` is called with the address of a peer and its message; ``via`` names where a
    peer is reached that is not reached at its own address; ``run`` tells this process from others of its address."""

    def __init__(
        self, reactor: Reactor, host: str, take: Take, via: Mapping[str, str] | None = None, run: int = 0
    ) -> None:
        self.reactor, self.host, self.take, self.via, self.run = reactor, host, take, via or {}, run
        self.address = ""
        self.made = 0
        self.lines: dict[str, Line] = {}
        self.open: dict[Connection, Any] = {}
        self.counts: Counter[str] = Counter()
        self.closed = False
        self._faults: dict[str, str] = {}
        self.places: dict[str, tuple[str, int]] = {}
        self._datagrams = Datagrams(self)
        self._ports: list[Any] = []

    def listen(self, port: int = 0) -> str:
        """Take connections and datagrams on one port of the host's; returns the address. Raises Twisted's
        ``CannotListenError`` where the port is taken."""
        factory: Any = protocol.Factory.forProtocol(lambda: Connection(self))
        streams = self.reactor.listenTCP(port, factory, interface=self.host)
        self._ports = [streams]
        number = streams.getHost().port
        self._ports.append(
            self.reactor.listenUDP(number, self._datagrams, interface=self.host, maxPacketSize=65_536)
        )
        self.address = f"{self.host}:{number}"
        return self.address

    def line(self, peer: str) -> Line | None:
        """The line of a peer; None where there are too many."""
        if peer not in self.lines:
            if len(self.lines) >= MOST_PEERS:
                return None
            self.lines[peer] = Line(self, peer)
        return self.lines[peer]

    def send(self, peer: str, message: Message, sure: bool) -> bool:
        """Send a message; false where it was refused at once: too much waits for the peer, or it is too large."""
        if self.closed:
            return False
        if not sure:
            datagram = ENCODE(Envelope(self.address, message))
            if len(datagram) <= MOST_DATAGRAM:
                try:
                    self._datagrams.transport.write(datagram, self._place(peer))
                except (OSError, ProtocolError):
                    self.counts["not-sent"] += 1
                return True
        line = self.line(peer)
        return line is not None and line.send(message)

    def _place(self, peer: str) -> tuple[str, int]:
        place = self.places.get(peer)
        if place is None:
            if len(self.places) >= MOST_PEERS:
                self.places.clear()
            place = self.places[peer] = split(self.via.get(peer, peer))
        return place

    def gone(self, peer: str) -> None:
        """A peer is believed to be dead or has left."""
        if peer in self.lines:
            self.lines[peer].drop()

    def fault(self, peer: str, what: str) -> None:
        """What no broker would send: counted, and logged once a peer and kind."""
        self.counts["malformed"] += 1
        if self._faults.get(peer) != what and len(self._faults) < MOST_WAITING:
            self._faults[peer] = what
            log.warning("peer sent what cannot be used", extra={"peer": peer, "fault": what[:200]})

    def sweep(self) -> None:
        """Now and then: let go of lines that carry nothing."""
        now_s = self.reactor.seconds()
        for peer, line in list(self.lines.items()):
            if not line.waiting and now_s - line.used_s > IDLE_S:
                if line.connection is not None:
                    line.connection.transport.loseConnection()
                else:
                    del self.lines[peer]

    def close(self) -> None:
        """Take and send nothing more; what was written leaves."""
        self.closed = True
        for port in self._ports:
            port.stopListening()
        for connection in list(self.open):
            connection.transport.loseConnection()
