"""The ordered channel to one peer, independent of which of the two brokers dialled the connection.

Frame numbers continue across connections, so that no frame is accepted after a later one. The queue is
limited in messages and bytes: a message over either limit is rejected immediately and counted.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, Any

from twisted.internet import error, protocol
from twisted.internet.defer import CancelledError
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.python.failure import Failure

from lotuspick.membership.model import Message
from lotuspick.protocol.endpoint_events import parse_address
from lotuspick.transport.peers.frames import ENCODE, MAX_FRAME_BYTES, Numbered
from lotuspick.transport.peers.link_counter import LinkCounter
from lotuspick.transport.peers.peer_connection import PeerConnection

if TYPE_CHECKING:
    from lotuspick.transport.peers.peer_connections import PeerConnections

MAX_QUEUED_MESSAGES = 256  # for one peer
MAX_QUEUED_BYTES = 4 * 1024 * 1024  # for one peer
DIAL_TIMEOUT_S = 0.5
INITIAL_BACKOFF_S, MAX_BACKOFF_S = 0.2, 5.0  # before a redial after a lost connection
BACKOFF_FACTOR = 2
LINGER_S = 1.0  # time for which a replaced connection stays open, to receive frames in transit


class PeerChannel:
    """The ordered messages to and from one peer.

    The channel sends on one connection and receives on any.
    """

    def __init__(self, peers: PeerConnections, peer: str) -> None:
        self.peers, self.peer = peers, peer
        peers.channels_created += 1
        self.sequence_id = peers.process_id + peers.channels_created
        """Identifies the sequence of the frame numbers that this channel sends."""
        self.queue: deque[bytes] = deque()
        self.queued_bytes = 0
        self.connection: PeerConnection | None = None
        """The connection on which this side sends."""
        self.pending_connection: PeerConnection | None = None
        """A dialled connection that awaits the peer's hello."""
        self.backoff_s = INITIAL_BACKOFF_S
        self.last_used_s = peers.reactor.seconds()
        self._dialing: Any = None  # the Deferred of the dial in progress
        self._last_sent = 0  # frame number
        self._last_received = 0  # frame number in the peer's current sequence
        self._peer_sequence_id = 0

    # ---- sending ------------------------------------------------------------------------------------------

    def send(self, message: Message) -> bool:
        """Send or queue a message; return False if it is too large or the queue is full."""
        frame = ENCODE(Numbered(self._last_sent + 1, message))
        if len(frame) > MAX_FRAME_BYTES:
            self.peers.counts[LinkCounter.TOO_LARGE] += 1
            return False
        if len(self.queue) >= MAX_QUEUED_MESSAGES or self.queued_bytes + len(frame) > MAX_QUEUED_BYTES:
            self.peers.counts[LinkCounter.QUEUE_FULL] += 1
            return False
        self._last_sent += 1
        self.queue.append(frame)
        self.queued_bytes += len(frame)
        self.flush()
        return True

    def flush(self) -> None:
        """Send queued frames until the connection is paused; dial if there is no connection."""
        if self.connection is None:
            self.dial()
            return
        while self.queue and not self.connection.paused:
            frame = self.queue.popleft()
            self.queued_bytes -= len(frame)
            self.last_used_s = self.peers.reactor.seconds()
            self.connection.sendString(frame)

    def _discard_queue(self) -> None:
        self.queue.clear()
        self.queued_bytes = 0

    # ---- dialling -----------------------------------------------------------------------------------------

    def dial(self) -> None:
        """Connect to the peer, unless a dial or a hello is pending."""
        if self._dialing is not None or self.pending_connection is not None or self.peers.closed:
            return
        host, port = parse_address(self.peers.via.get(self.peer, self.peer))
        factory: Any = protocol.Factory.forProtocol(lambda: PeerConnection(self.peers, self))
        endpoint = TCP4ClientEndpoint(self.peers.reactor, host, port, timeout=DIAL_TIMEOUT_S)
        self._dialing = endpoint.connect(factory)
        self._dialing.addCallbacks(self._on_dialled, self._on_dial_failed)

    def _on_dialled(self, _connection: object) -> None:
        self._dialing = None

    def _on_dial_failed(self, reason: Failure) -> None:
        """Discard the queue: the state machines repeat their requests, and the next message dials again."""
        self._dialing = None
        if reason.check(CancelledError, error.ConnectingCancelledError):
            return  # the dial was cancelled, since the peer's connection was ready first
        reason.trap(error.ConnectError, error.TimeoutError, OSError)
        self.peers.counts[LinkCounter.NOT_DIALLED] += 1
        self._discard_queue()

    def _redial(self) -> None:
        if self.connection is None and self.queue:
            self.dial()

    # ---- connections --------------------------------------------------------------------------------------

    def connection_ready(self, connection: PeerConnection) -> None:
        """Use a connection on which the hello was received.

        If both sides have dialled, the connection dialled by the lower address is kept, so that both sides
        choose the same one.
        """
        if connection is self.pending_connection:
            self.pending_connection = None
        keeps_own_dial = self.peers.address < self.peer
        current_connection = self.connection
        if current_connection is not None:
            dials_crossed = current_connection.dialled != connection.dialled
            if dials_crossed and connection.dialled != keeps_own_dial:
                self._retire(connection)
                return
            # The current connection was dialled by the higher address, or its dialler has dialled again.
            self._retire(current_connection)
        if not connection.dialled and not keeps_own_dial:
            self._cancel_dial()
        self.connection, self.backoff_s = connection, INITIAL_BACKOFF_S
        self.flush()

    def _retire(self, connection: PeerConnection) -> None:
        """Stop sending on a connection, and close it after ``LINGER_S`` to receive frames in transit."""
        if connection is self.connection:
            self.connection = None
        self.peers.counts[LinkCounter.CROSSED] += 1
        self.peers.reactor.callLater(LINGER_S, connection.transport.loseConnection)

    def _cancel_dial(self) -> None:
        if self._dialing is not None:
            self._dialing.cancel()
        if self.pending_connection is not None:
            self.pending_connection.transport.abortConnection()

    def connection_lost(self, connection: PeerConnection) -> None:
        """Handle the end of a connection.

        Written frames may or may not have arrived: the state machines repeat the requests that they still
        need. Queued frames are sent on the next connection.
        """
        if connection is self.pending_connection:
            self.pending_connection = None
            self.peers.counts[LinkCounter.CLOSED_BEFORE_HELLO] += 1
            if self.connection is None:
                self._discard_queue()
        if connection is not self.connection:
            return
        self.connection = None
        if self.queue and not self.peers.closed:
            self.peers.reactor.callLater(self.backoff_s, self._redial)
            self.backoff_s = min(MAX_BACKOFF_S, BACKOFF_FACTOR * self.backoff_s)

    def disconnect(self) -> None:
        """Abort the connection to a peer that is considered dead or has left, and discard the queue."""
        self._discard_queue()
        self._cancel_dial()
        if self.connection is not None:
            self.connection.transport.abortConnection()

    # ---- receiving ----------------------------------------------------------------------------------------

    def accept_sequence(self, connection: PeerConnection) -> None:
        """Switch to the sequence announced by the peer; frames of earlier ones are ignored from then on."""
        if connection.peer_sequence_id != self._peer_sequence_id:
            self._peer_sequence_id, self._last_received = connection.peer_sequence_id, 0

    def receive(self, connection: PeerConnection, frame: Numbered) -> None:
        """Accept a frame, unless it follows a later one or belongs to an earlier sequence."""
        is_current = connection.peer_sequence_id == self._peer_sequence_id
        if not is_current or frame.number <= self._last_received:
            self.peers.counts[LinkCounter.OUT_OF_ORDER] += 1
            if not is_current:  # the peer's current process dials again and announces its sequence
                connection.transport.abortConnection()
            return
        self._last_received = frame.number
        self.last_used_s = self.peers.reactor.seconds()
        self.peers.on_message(self.peer, frame.message)
