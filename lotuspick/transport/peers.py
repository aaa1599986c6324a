"""The link between brokers: TCP for what must arrive in order, UDP for what may be lost. Off on the platform.

Messages are msgpack by msgspec, in the schema of :mod:`lotuspick.membership.model`: fields that are not known are
passed over, so brokers of two versions understand each other. TCP frames are Twisted's ``Int32StringReceiver``.
Nothing is encrypted and nobody proves who they are: the network between brokers has to be private, and
``docs/membership/design.md`` says so plainly.

A peer is named by the address of its link, on which it takes both TCP and UDP. Each side dials for what it has to say
and reads on what the other has dialled, so of one pair two connections are up at most and the order of each way is
kept. What waits for a peer is bounded, in messages and bytes; what is over the bound is refused to the sender and
counted, so a slow peer costs its own messages and never the loop.
"""

from __future__ import annotations

import logging
from collections import Counter, deque
from collections.abc import Callable
from typing import Any

import msgspec
from twisted.internet import error, protocol
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.protocols.basic import Int32StringReceiver
from twisted.python.failure import Failure

from lotuspick.membership.model import Message
from lotuspick.protocol.coordinator import address as split
from lotuspick.protocol.faults import ProtocolFault
from lotuspick.transport.base import Reactor

log = logging.getLogger(__name__)

VERSION = 1
MOST_FRAME = 512 * 1024  # bytes: all records of a fleet of some thousands
MOST_DATAGRAM = 8 * 1024  # bytes
MOST_WAITING, MOST_WAITING_BYTES = 256, 4 * 1024 * 1024  # for one peer
DIAL_S, AGAIN_S, AGAIN_MOST_S = 0.5, 0.2, 5.0
IDLE_S = 60.0  # a connection that carries nothing for so long is closed

ENCODE = msgspec.msgpack.Encoder().encode


class Hello(msgspec.Struct, frozen=True, tag="hello"):
    """The first frame of a connection: who has dialled."""

    address: str
    version: int = VERSION


class Envelope(msgspec.Struct, frozen=True, tag="d"):
    """A datagram: it may come from another port than the one its sender takes them on."""

    sender: str
    message: Message


FRAME = msgspec.msgpack.Decoder(Hello | Message)
DATAGRAM = msgspec.msgpack.Decoder(Envelope)
Take = Callable[[str, Any], None]


class Inbound(Int32StringReceiver):
    """A connection that a peer has dialled: all that comes on it is the peer's."""

    MAX_LENGTH = MOST_FRAME
    transport: Any

    def __init__(self, peers: Peers) -> None:
        self.peers, self.peer = peers, ""

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.peers.inbound.add(self)

    def connectionLost(self, reason: Failure = protocol.connectionDone) -> None:
        self.peers.inbound.discard(self)

    def lengthLimitExceeded(self, length: int) -> None:
        self.peers.fault(self.peer or "unknown", f"a frame of {length} bytes, over {MOST_FRAME}")
        self.transport.abortConnection()

    def stringReceived(self, string: bytes) -> None:
        try:
            message = FRAME.decode(string)
            if isinstance(message, Hello):
                split(message.address)
                self.peer = message.address
                return
            if not self.peer:
                raise ProtocolFault("no hello")
        except (msgspec.DecodeError, ProtocolFault) as fault:
            self.peers.fault(self.peer or "unknown", str(fault))
            self.transport.abortConnection()
            return
        self.peers.take(self.peer, message)


class Outbound(Int32StringReceiver):
    """A connection that this side has dialled. It takes what waits while the transport has room."""

    transport: Any
    MAX_LENGTH = 1  # nothing is ever said on it by the other side

    def __init__(self, line: Line) -> None:
        self.line = line

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.sendString(ENCODE(Hello(self.line.peers.address)))
        self.transport.registerProducer(self, True)
        self.line.up(self)

    def connectionLost(self, reason: Failure = protocol.connectionDone) -> None:
        self.line.down()

    # ---- the transport's producer: it tells when its buffer is full and when it has room again ------------

    def pauseProducing(self) -> None:
        self.line.paused = True

    def resumeProducing(self) -> None:
        self.line.paused = False
        self.line.flush()

    def stopProducing(self) -> None:
        self.line.paused = True


class Line:
    """What goes to one peer in order."""

    def __init__(self, peers: Peers, peer: str) -> None:
        self.peers, self.peer = peers, peer
        self.waiting: deque[bytes] = deque()
        self.bytes = 0
        self.connection: Outbound | None = None
        self.dialling = self.paused = False
        self.pause_s = AGAIN_S
        self.used_s = peers.reactor.seconds()

    def send(self, frame: bytes) -> bool:
        if len(self.waiting) >= MOST_WAITING or self.bytes + len(frame) > MOST_WAITING_BYTES:
            return False
        self.waiting.append(frame)
        self.bytes += len(frame)
        self.flush()
        return True

    def flush(self) -> None:
        if self.connection is None:
            self._dial()
            return
        while self.waiting and not self.paused and self.connection is not None:
            frame = self.waiting.popleft()
            self.bytes -= len(frame)
            self.used_s = self.peers.reactor.seconds()
            self.connection.sendString(frame)

    def up(self, connection: Outbound) -> None:
        self.connection, self.dialling, self.paused, self.pause_s = connection, False, False, AGAIN_S
        self.flush()

    def down(self) -> None:
        """What was written may or may not have come: the parts above say again what they still want. What had not been
        written goes out on the next connection."""
        self.connection, self.dialling, self.paused = None, False, False
        if self.waiting and not self.peers.closed:
            self.peers.reactor.callLater(self.pause_s, self._again)
            self.pause_s = min(AGAIN_MOST_S, 2 * self.pause_s)

    def _again(self) -> None:
        if self.connection is None and self.waiting:
            self._dial()

    def _dial(self) -> None:
        if self.dialling or self.peers.closed:
            return
        self.dialling = True
        host, port = split(self.peer)
        factory: Any = protocol.Factory.forProtocol(lambda: Outbound(self))
        dialled = TCP4ClientEndpoint(self.peers.reactor, host, port, timeout=DIAL_S).connect(factory)
        dialled.addErrback(self._refused)

    def _refused(self, reason: Failure) -> None:
        """A peer that takes no connection is tried again for what waits; that is as old as the parts above make it, so
        what cannot leave is given up: they ask again."""
        reason.trap(error.ConnectError, error.TimeoutError, OSError)
        self.peers.counts["not-dialled"] += 1
        self.waiting.clear()
        self.bytes = 0
        self.down()


class Datagrams(protocol.DatagramProtocol):
    """What may be lost."""

    transport: Any

    def __init__(self, peers: Peers) -> None:
        self.peers = peers

    def datagramReceived(self, datagram: bytes, addr: Any) -> None:
        if len(datagram) > MOST_DATAGRAM:
            self.peers.fault(str(addr[0]), f"a datagram of {len(datagram)} bytes, over {MOST_DATAGRAM}")
            return
        try:
            told = DATAGRAM.decode(datagram)
            split(told.sender)
        except (msgspec.DecodeError, ProtocolFault) as fault:
            self.peers.fault(str(addr[0]), str(fault))
            return
        self.peers.take(told.sender, told.message)


class Peers:
    """All links of one broker. ``take`` is called with the address of a peer and its message."""

    def __init__(self, reactor: Reactor, host: str, take: Take) -> None:
        self.reactor, self.host, self.take = reactor, host, take
        self.address = ""
        self.lines: dict[str, Line] = {}
        self.inbound: set[Inbound] = set()
        self.counts: Counter[str] = Counter()
        self.closed = False
        self._faults: dict[str, str] = {}
        self._datagrams = Datagrams(self)
        self._ports: list[Any] = []

    def listen(self, port: int = 0) -> str:
        """Take connections and datagrams on one port of the host's; returns the address. Raises Twisted's
        ``CannotListenError`` where the port is taken."""
        factory: Any = protocol.Factory.forProtocol(lambda: Inbound(self))
        streams = self.reactor.listenTCP(port, factory, interface=self.host)
        self._ports = [streams]
        number = streams.getHost().port
        self._ports.append(self.reactor.listenUDP(number, self._datagrams, interface=self.host, maxPacketSize=65_536))
        self.address = f"{self.host}:{number}"
        return self.address

    def send(self, peer: str, message: Message, sure: bool) -> bool:
        """Send a message; false where it was refused at once: too much waits for the peer, or it is too large."""
        if self.closed:
            return False
        if not sure:
            datagram = ENCODE(Envelope(self.address, message))
            if len(datagram) <= MOST_DATAGRAM:
                try:
                    self._datagrams.transport.write(datagram, split(peer))
                except (OSError, ProtocolFault):
                    self.counts["not-sent"] += 1
                return True
        frame = ENCODE(message)
        if len(frame) > MOST_FRAME:
            self.counts["too-large"] += 1
            return False
        line = self.lines.get(peer)
        if line is None:
            line = self.lines[peer] = Line(self, peer)
        taken = line.send(frame)
        self.counts["refused"] += not taken
        return taken

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
                del self.lines[peer]

    def close(self) -> None:
        """Take and send nothing more."""
        self.closed = True
        for port in self._ports:
            port.stopListening()
        up: list[Inbound | Outbound] = [*self.inbound]
        up += [line.connection for line in self.lines.values() if line.connection is not None]
        for each in up:
            each.transport.loseConnection()


