"""All that goes to and comes from one peer in order."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, Any

from twisted.internet import error, protocol
from twisted.internet.defer import CancelledError
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.python.failure import Failure

from lotuspick.membership.model import Message
from lotuspick.protocol.endpoint_events import address as split
from lotuspick.transport.peers.frames import ENCODE, MOST_FRAME, Numbered
from lotuspick.transport.peers.peer_connection import Connection

if TYPE_CHECKING:
    from lotuspick.transport.peers.peer_connections import Peers

MOST_WAITING, MOST_WAITING_BYTES = 256, 4 * 1024 * 1024  # for one peer
DIAL_S, AGAIN_S, AGAIN_MOST_S = 0.5, 0.2, 5.0
LINGER_S = 1.0  # one that another has taken the place of is left so long: what is under way on it still comes


class Line:
    """All that goes to and comes from one peer in order."""

    def __init__(self, peers: Peers, peer: str) -> None:
        self.peers, self.peer = peers, peer
        peers.made += 1
        self.run = peers.run + peers.made
        """The numbers of what goes out rise as long as this is the same."""
        self.waiting: deque[bytes] = deque()
        self.bytes = 0
        self.connection: Connection | None = None
        """The one on which this side speaks; it listens on any."""
        self.pause_s = AGAIN_S
        self.used_s = peers.reactor.seconds()
        self.trying: Connection | None = None
        """One that this side has dialled, and on which the peer has not said yet that it is the one."""
        self._dial: Any = None
        self._sent = self._taken = self._run = 0

    # ---- what goes out ------------------------------------------------------------------------------------

    def send(self, message: Message) -> bool:
        """False where too much waits, or the message is too large."""
        frame = ENCODE(Numbered(self._sent + 1, message))
        if len(frame) > MOST_FRAME:
            self.peers.counts["too-large"] += 1
            return False
        if len(self.waiting) >= MOST_WAITING or self.bytes + len(frame) > MOST_WAITING_BYTES:
            self.peers.counts["refused"] += 1
            return False
        self._sent += 1
        self.waiting.append(frame)
        self.bytes += len(frame)
        self.flush()
        return True

    def flush(self) -> None:
        if self.connection is None:
            self.dial()
            return
        while self.waiting and not self.connection.paused:
            frame = self.waiting.popleft()
            self.bytes -= len(frame)
            self.used_s = self.peers.reactor.seconds()
            self.connection.sendString(frame)

    def dial(self) -> None:
        if self._dial is not None or self.trying is not None or self.peers.closed:
            return
        host, port = split(self.peers.via.get(self.peer, self.peer))
        factory: Any = protocol.Factory.forProtocol(lambda: Connection(self.peers, self))
        self._dial = TCP4ClientEndpoint(self.peers.reactor, host, port, timeout=DIAL_S).connect(factory)
        self._dial.addCallbacks(self._dialled, self._refused)

    def _dialled(self, connection: object) -> None:
        self._dial = None

    def _refused(self, reason: Failure) -> None:
        """A peer that takes no connection is tried again for the next that is sent; what waits is as old as the parts
        above make it, so what cannot leave is given up: they ask again."""
        self._dial = None
        if reason.check(CancelledError, error.ConnectingCancelledError):
            return  # the peer's own has come up meanwhile
        reason.trap(error.ConnectError, error.TimeoutError, OSError)
        self.peers.counts["not-dialled"] += 1
        self._give_up()

    def _give_up(self) -> None:
        self.waiting.clear()
        self.bytes = 0

    # ---- connections --------------------------------------------------------------------------------------

    def up(self, connection: Connection) -> None:
        """One is up. Of two the one that the lower address has dialled stays, which both sides find alike."""
        if connection is self.trying:
            self.trying = None
        other, mine_wins = self.connection, self.peers.address < self.peer
        if other is not None and other.dialled == connection.dialled:
            self._retire(other)  # the same side dialled anew: it has given the earlier one up
        elif other is not None:
            loser = connection if connection.dialled != mine_wins else other
            self._retire(loser)
            if loser is connection:
                return
        if not connection.dialled and not mine_wins:
            if self._dial is not None:
                self._dial.cancel()
            if self.trying is not None:
                self.trying.transport.abortConnection()
        self.connection, self.pause_s = connection, AGAIN_S
        self.flush()

    def _retire(self, connection: Connection) -> None:
        """This side says nothing more on it; what is still under way on it comes."""
        if connection is self.connection:
            self.connection = None
        self.peers.counts["crossed"] += 1
        self.peers.reactor.callLater(LINGER_S, connection.transport.loseConnection)

    def down(self, connection: Connection) -> None:
        """What was written may or may not have come: the parts above say again what they still want. What had not been
        written goes out on the next connection."""
        if connection is self.trying:
            self.trying = None
            self.peers.counts["not-greeted"] += 1
            if self.connection is None:
                self._give_up()
        if connection is not self.connection:
            return
        self.connection = None
        if self.waiting and not self.peers.closed:
            self.peers.reactor.callLater(self.pause_s, self._again)
            self.pause_s = min(AGAIN_MOST_S, 2 * self.pause_s)

    def _again(self) -> None:
        if self.connection is None and self.waiting:
            self.dial()

    def drop(self) -> None:
        """The peer is believed to be gone: what is up leads nowhere, and what waits is given up."""
        self._give_up()
        if self.connection is not None:
            self.connection.transport.abortConnection()

    # ---- what comes in ------------------------------------------------------------------------------------

    def met(self, connection: Connection) -> None:
        """The peer has said which process it is. What an earlier one still has under way is not taken any more."""
        if connection.run != self._run:
            self._run, self._taken = connection.run, 0

    def take(self, connection: Connection, frame: Numbered) -> None:
        if connection.run != self._run or frame.number <= self._taken:
            self.peers.counts["overtaken"] += 1
            if connection.run != self._run:  # whichever process it is will dial again, and say so
                connection.transport.abortConnection()
            return
        self._taken = frame.number
        self.used_s = self.peers.reactor.seconds()
        self.peers.take(self.peer, frame.message)
