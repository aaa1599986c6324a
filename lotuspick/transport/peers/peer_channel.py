"""All that goes to and comes from one peer in order."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, Any

from twisted.internet import error, protocol
from twisted.internet.defer import CancelledError
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.python.failure import Failure

from lotuspick.membership.model import Message
from lotuspick.protocol.endpoint_events import address as parse_address
from lotuspick.transport.peers.frames import ENCODE, MAX_FRAME_BYTES, Numbered
from lotuspick.transport.peers.peer_connection import PeerConnection

if TYPE_CHECKING:
    from lotuspick.transport.peers.peer_connections import PeerConnections

MAX_QUEUED_MESSAGES, MAX_QUEUED_BYTES = 256, 4 * 1024 * 1024  # for one peer
DIAL_TIMEOUT_S, INITIAL_BACKOFF_S, MAX_BACKOFF_S = 0.5, 0.2, 5.0
LINGER_S = 1.0  # one that another has taken the place of is left so long: what is under way on it still comes


class PeerChannel:
    """All that goes to and comes from one peer in order."""

    def __init__(self, peers: PeerConnections, peer: str) -> None:
        self.peers, self.peer = peers, peer
        peers.channels_made += 1
        self.sequence_id = peers.process_id + peers.channels_made
        """The numbers of what goes out rise as long as this is the same."""
        self.queue: deque[bytes] = deque()
        self.queued_bytes = 0
        self.connection: PeerConnection | None = None
        """The one on which this side speaks; it listens on any."""
        self.backoff_s = INITIAL_BACKOFF_S
        self.last_used_s = peers.reactor.seconds()
        self.pending_connection: PeerConnection | None = None
        """One that this side has dialled, and on which the peer has not said yet that it is the one."""
        self._dialing: Any = None
        self._last_sent = self._last_received = self._peer_sequence_id = 0

    # ---- what goes out ------------------------------------------------------------------------------------

    def send(self, message: Message) -> bool:
        """False where too much waits, or the message is too large."""
        frame = ENCODE(Numbered(self._last_sent + 1, message))
        if len(frame) > MAX_FRAME_BYTES:
            self.peers.counts["too-large"] += 1
            return False
        if len(self.queue) >= MAX_QUEUED_MESSAGES or self.queued_bytes + len(frame) > MAX_QUEUED_BYTES:
            self.peers.counts["refused"] += 1
            return False
        self._last_sent += 1
        self.queue.append(frame)
        self.queued_bytes += len(frame)
        self.flush()
        return True

    def flush(self) -> None:
        if self.connection is None:
            self.dial()
            return
        while self.queue and not self.connection.paused:
            frame = self.queue.popleft()
            self.queued_bytes -= len(frame)
            self.last_used_s = self.peers.reactor.seconds()
            self.connection.sendString(frame)

    def dial(self) -> None:
        if self._dialing is not None or self.pending_connection is not None or self.peers.closed:
            return
        host, port = parse_address(self.peers.via.get(self.peer, self.peer))
        factory: Any = protocol.Factory.forProtocol(lambda: PeerConnection(self.peers, self))
        self._dialing = TCP4ClientEndpoint(self.peers.reactor, host, port, timeout=DIAL_TIMEOUT_S).connect(
            factory
        )
        self._dialing.addCallbacks(self._on_dialled, self._on_dial_failed)

    def _on_dialled(self, connection: object) -> None:
        self._dialing = None

    def _on_dial_failed(self, reason: Failure) -> None:
        """A peer that takes no connection is tried again for the next that is sent; what waits is as old as the parts
        above make it, so what cannot leave is given up: they ask again."""
        self._dialing = None
        if reason.check(CancelledError, error.ConnectingCancelledError):
            return  # the peer's own has come up meanwhile
        reason.trap(error.ConnectError, error.TimeoutError, OSError)
        self.peers.counts["not-dialled"] += 1
        self._discard_queue()

    def _discard_queue(self) -> None:
        self.queue.clear()
        self.queued_bytes = 0

    # ---- connections --------------------------------------------------------------------------------------

    def connection_ready(self, connection: PeerConnection) -> None:
        """One is up. Of two the one that the lower address has dialled stays, which both sides find alike."""
        if connection is self.pending_connection:
            self.pending_connection = None
        other, mine_wins = self.connection, self.peers.address < self.peer
        if other is not None and other.dialled == connection.dialled:
            self._retire(other)  # the same side dialled anew: it has given the earlier one up
        elif other is not None:
            loser = connection if connection.dialled != mine_wins else other
            self._retire(loser)
            if loser is connection:
                return
        if not connection.dialled and not mine_wins:
            if self._dialing is not None:
                self._dialing.cancel()
            if self.pending_connection is not None:
                self.pending_connection.transport.abortConnection()
        self.connection, self.backoff_s = connection, INITIAL_BACKOFF_S
        self.flush()

    def _retire(self, connection: PeerConnection) -> None:
        """This side says nothing more on it; what is still under way on it comes."""
        if connection is self.connection:
            self.connection = None
        self.peers.counts["crossed"] += 1
        self.peers.reactor.callLater(LINGER_S, connection.transport.loseConnection)

    def connection_lost(self, connection: PeerConnection) -> None:
        """What was written may or may not have come: the parts above say again what they still want. What had not been
        written goes out on the next connection."""
        if connection is self.pending_connection:
            self.pending_connection = None
            self.peers.counts["not-greeted"] += 1
            if self.connection is None:
                self._discard_queue()
        if connection is not self.connection:
            return
        self.connection = None
        if self.queue and not self.peers.closed:
            self.peers.reactor.callLater(self.backoff_s, self._redial)
            self.backoff_s = min(MAX_BACKOFF_S, 2 * self.backoff_s)

    def _redial(self) -> None:
        if self.connection is None and self.queue:
            self.dial()

    def disconnect(self) -> None:
        """The peer is believed to be gone: what is up leads nowhere, and what waits is given up."""
        self._discard_queue()
        if self.connection is not None:
            self.connection.transport.abortConnection()

    # ---- what comes in ------------------------------------------------------------------------------------

    def accept_sequence(self, connection: PeerConnection) -> None:
        """The peer has said which process it is. What an earlier one still has under way is not taken any more."""
        if connection.peer_sequence_id != self._peer_sequence_id:
            self._peer_sequence_id, self._last_received = connection.peer_sequence_id, 0

    def receive(self, connection: PeerConnection, frame: Numbered) -> None:
        if connection.peer_sequence_id != self._peer_sequence_id or frame.number <= self._last_received:
            self.peers.counts["overtaken"] += 1
            if (
                connection.peer_sequence_id != self._peer_sequence_id
            ):  # whichever process it is will dial again, and say so
                connection.transport.abortConnection()
            return
        self._last_received = frame.number
        self.last_used_s = self.peers.reactor.seconds()
        self.peers.on_message(self.peer, frame.message)
