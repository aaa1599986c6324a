"""One connection between two brokers."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING, Any

import msgspec
from twisted.internet import protocol
from twisted.protocols.basic import Int32StringReceiver
from twisted.python.failure import Failure

from lotuspick.protocol.endpoint_events import address as split
from lotuspick.protocol.errors import ProtocolError
from lotuspick.transport.peers.frames import ENCODE, FRAME, MOST_FRAME, VERSION, Hello

if TYPE_CHECKING:
    from lotuspick.transport.peers.peer_channel import Line
    from lotuspick.transport.peers.peer_connections import Peers

HELLO_S = 2.0  # one that has not said who it is by then, too
DEAD_MS = 5_000  # so long nothing that was written is acknowledged before the kernel gives a connection up


class Connection(Int32StringReceiver):
    """One connection with a peer, dialled by either side. ``line`` is None until an accepted one has said who it is."""

    MAX_LENGTH = MOST_FRAME
    transport: Any

    def __init__(self, peers: Peers, line: Line | None = None) -> None:
        self.peers, self.line, self.dialled, self.run = peers, line, line is not None, 0
        self.greeted = self.paused = False

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        handle = self.transport.getHandle()
        handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, DEAD_MS)
        self.transport.registerProducer(self, True)
        self.peers.open[self] = self.peers.reactor.callLater(HELLO_S, self._mute)
        if self.line is not None:
            self._hello(self.line)
            self.line.trying = self

    def _hello(self, line: Line) -> None:
        self.sendString(ENCODE(Hello(self.peers.address, VERSION, line.run)))

    def connectionLost(self, reason: Failure = protocol.connectionDone) -> None:
        waiting = self.peers.open.pop(self, None)
        if waiting is not None and waiting.active():
            waiting.cancel()
        if self.line is not None:
            self.line.down(self)

    def _mute(self) -> None:
        self.peers.counts["mute"] += 1
        self.transport.abortConnection()

    def lengthLimitExceeded(self, length: int) -> None:
        self._fault(f"a frame of {length} bytes, over {MOST_FRAME}")

    def stringReceived(self, string: bytes) -> None:
        try:
            frame = FRAME.decode(string)
            if isinstance(frame, Hello):
                self._greeted(frame)
                return
            if not self.greeted or self.line is None:
                raise ProtocolError("no hello")
        except (msgspec.DecodeError, ProtocolError) as fault:
            self._fault(str(fault))
            return
        self.line.take(self, frame)

    def _greeted(self, hello: Hello) -> None:
        split(hello.address)
        if self.line is not None and self.line.peer != hello.address:
            raise ProtocolError(f"{hello.address} answers at the address of {self.line.peer}")
        line = self.line or self.peers.line(hello.address)
        if line is None or hello.address == self.peers.address:
            raise ProtocolError("one peer too many" if line is None else "it has this broker's own address")
        waiting = self.peers.open[self]
        if waiting.active():
            waiting.cancel()
        self.greeted, self.run = True, hello.run
        if self.line is None:
            self.line = line
            self._hello(line)
        line.met(self)
        line.up(self)

    def _fault(self, what: str) -> None:
        self.peers.fault(self.line.peer if self.line is not None else "unknown", what)
        self.transport.abortConnection()

    # ---- the transport's producer: it tells when its buffer is full and when it has room again ------------

    def pauseProducing(self) -> None:
        self.paused = True

    def resumeProducing(self) -> None:
        self.paused = False
        if self.line is not None:
            self.line.flush()

    def stopProducing(self) -> None:
        self.paused = True
