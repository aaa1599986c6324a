"""The RTSP connection of one viewer: its messages, its timeouts and how it is closed.

An :class:`~lotuspick.transport.rtsp.rtsp_server.RtspServer` owns all connections and limits their number.
The dispatcher uses a connection as a :class:`lotuspick.routing.interfaces.ViewerConnection`.
"""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Any

from twisted.internet import interfaces, protocol
from twisted.protocols.basic import LineReceiver
from twisted.python.failure import Failure
from zope.interface import implementer

from lotuspick.protocol import rtsp
from lotuspick.protocol.errors import MAX_MESSAGE_BYTES, ProtocolError
from lotuspick.routing.messages import SessionCancelled
from lotuspick.routing.termination import TerminationReason
from lotuspick.transport.sockets import (
    closed_by_peer,
    has_unsent_output,
    loss_reason,
    now_us,
    peer_address,
    readable,
    shut_down,
)

if TYPE_CHECKING:
    from lotuspick.entitlement.renewal import RenewalRejection
    from lotuspick.transport.rtsp.rtsp_server import RtspServer

log = logging.getLogger(__name__)

# For the first message, and for each incomplete one: idle viewers use up descriptors. A request may take 2 s,
# and limits on sockets are 50 ms longer.
MESSAGE_TIMEOUT_S = 2.1
OPEN_REQUEST_CHECK_S = 0.1  # between two checks whether the request that delays a close has its answer
WRITE_TIMEOUT_S = 5.0  # a viewer that does not read its output for this long is disconnected
FIRST_MESSAGE_GRACE_S = 0.1  # a shutdown does not close a younger connection without a message
MALFORMED_LIMIT = 3  # malformed messages per connection; each further one pauses reading
BACKPRESSURE_S = 0.25  # length of that pause


@implementer(interfaces.IPushProducer)
class RtspConnection(LineReceiver):
    """The connection of one viewer."""

    transport: Any
    delimiter = b"\r\n"
    MAX_LENGTH = MAX_MESSAGE_BYTES

    def __init__(self, server: RtspServer) -> None:
        self.server = server
        self.is_open = False
        self.last_message_us = 0  # when a complete message last arrived
        self._decoder = rtsp.Decoder()
        self._body_length = 0
        self._body = b""
        self._malformed_count = 0
        self._opened_s = 0.0
        self._peer = ""
        self._message_timer: Any = None
        self._write_timer: Any = None
        self._backpressure_timer: Any = None

    # ---- lifecycle ----------------------------------------------------------------------------------------

    def connectionMade(self) -> None:
        """Register with the server, and wait for the first message (Twisted's callback)."""
        self.is_open = True
        self._opened_s = self.server.reactor.seconds()
        self._peer = peer_address(self.transport)
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)
        self._start_message_timer()
        self.server.connection_opened(self)

    def connectionLost(self, reason: Failure = protocol.connectionDone) -> None:
        """Stop every timer and notify the server (Twisted's callback)."""
        self._disconnect()
        self._cancel_write_timer()
        self.server.connection_closed(self, loss_reason(reason))

    def drop(self, reason: TerminationReason) -> None:
        """Abort the connection at once."""
        self.server.count_dropped(reason)
        self._disconnect()
        shut_down(self.transport.getHandle())
        self.transport.abortConnection()

    def evict(self) -> None:
        """Close to free capacity for a new connection."""
        self.server.count_dropped(TerminationReason.CONNECTION_LIMIT)
        self.close_now()

    def close_now(self) -> None:
        """Close at once and gracefully: no output is unsent, and the kernel delivers what it has buffered.

        The transport alone would close in the next iteration of the reactor. A request that arrives until
        then would precede the close by more than its viewer tolerates.
        """
        self._disconnect()
        shut_down(self.transport.getHandle())
        self.transport.unregisterProducer()
        self.transport.loseConnection()

    def close_after_flush(self) -> None:
        """Close once the write buffer is empty, at the latest after ``WRITE_TIMEOUT_S``.

        The limit also applies to a peer that does not read, or that pauses and resumes reading.
        """
        self._disconnect()
        self.transport.unregisterProducer()
        self.transport.loseConnection()
        self._cancel_write_timer()
        self._start_write_timer()

    def stop_sending(self) -> None:
        """Close the sending direction: this process exits, and the peer still receives all output."""
        self._disconnect()
        self.transport.loseWriteConnection()

    def limit_reads(self, maximum_bytes: int) -> None:
        """Limit the size of each read."""
        self.transport.bufferSize = maximum_bytes  # attribute of Twisted's socket transports

    @property
    def is_new(self) -> bool:
        """Whether it was accepted a moment ago and has sent no message: the first one may be in transit."""
        age_s = self.server.reactor.seconds() - self._opened_s
        return not self.last_message_us and age_s < FIRST_MESSAGE_GRACE_S

    @property
    def is_closed_by_viewer(self) -> bool:
        """Whether the viewer has closed the connection, even if the close or earlier input is unread."""
        return not self.is_open or closed_by_peer(self.transport.fileno())

    @property
    def poll_descriptor(self) -> int:
        """The socket's descriptor if input is expected on it, else -1 (closed, or under backpressure)."""
        return self.transport.fileno() if self.is_open and self._backpressure_timer is None else -1

    @property
    def has_unsent_output(self) -> bool:
        """Whether an answer is not yet written to the socket."""
        return has_unsent_output(self.transport)

    @property
    def has_pending_data(self) -> bool:
        """Whether a message is incomplete or unread, or an answer is unsent."""
        return self.has_unsent_output or self._has_partial_message or readable(self.transport.fileno())

    @property
    def _has_partial_message(self) -> bool:
        return self._decoder.has_partial_message or bool(self.line_mode and self._buffer)

    def _disconnect(self) -> None:
        """Stop reading and writing; the requests are cancelled now, before the socket is closed."""
        self._cancel_message_timer()
        self._cancel_backpressure_timer()
        if self.is_open:
            self.is_open = False
            self.server.connection_ended(self)

    # ---- timers -------------------------------------------------------------------------------------------

    def _start_message_timer(self) -> None:
        self._message_timer = self.server.reactor.callLater(MESSAGE_TIMEOUT_S, self._on_message_timeout)

    def _on_message_timeout(self) -> None:
        """Read once more before closing: the message may be unread because this process stalled."""
        self._message_timer = self.server.reactor.callLater(0, self._close_after_timeout)

    def _close_after_timeout(self) -> None:
        """Close after flushing: an answer to another request on this connection may be unsent.

        While another request has no answer, the connection stays open, and the message may still arrive. This
        ends by that request's deadline, since no further request can follow an incomplete message.
        """
        if self.last_message_us and self.server.has_open_request(self):
            self._message_timer = self.server.reactor.callLater(
                OPEN_REQUEST_CHECK_S, self._on_message_timeout
            )
            return
        self.server.count_dropped(TerminationReason.SERVER_UNRESPONSIVE)
        self.close_after_flush()

    def _cancel_message_timer(self) -> None:
        if self._message_timer is not None and self._message_timer.active():
            self._message_timer.cancel()
        self._message_timer = None

    def _start_write_timer(self) -> None:
        self._write_timer = self.server.reactor.callLater(
            WRITE_TIMEOUT_S, self.drop, TerminationReason.SERVER_UNRESPONSIVE
        )

    def _cancel_write_timer(self) -> None:
        if self._write_timer is not None and self._write_timer.active():
            self._write_timer.cancel()
        self._write_timer = None

    def _cancel_backpressure_timer(self) -> None:
        if self._backpressure_timer is not None and self._backpressure_timer.active():
            self._backpressure_timer.cancel()
        self._backpressure_timer = None

    # ---- flow control -------------------------------------------------------------------------------------

    def pauseProducing(self) -> None:
        """Start the write timeout: the peer does not read (Twisted's callback)."""
        if self._write_timer is None:
            self._start_write_timer()

    def resumeProducing(self) -> None:
        """Cancel the write timeout: the peer reads again (Twisted's callback)."""
        self._cancel_write_timer()

    def stopProducing(self) -> None:
        """Do nothing: ``connectionLost`` follows (Twisted's callback)."""

    def _apply_backpressure(self) -> None:
        """Pause reading from a viewer that repeatedly sends malformed messages.

        It would send as fast as it is answered, at the expense of all other viewers.
        """
        self._malformed_count += 1
        if self._malformed_count > MALFORMED_LIMIT and self._backpressure_timer is None:
            self.paused = True  # not self.pauseProducing: the transport calls it when its buffer is full
            self.transport.pauseProducing()
            self._backpressure_timer = self.server.reactor.callLater(
                BACKPRESSURE_S, self._release_backpressure
            )

    def _release_backpressure(self) -> None:
        self._backpressure_timer = None
        if closed_by_peer(self.transport.fileno()):  # Twisted detects this only after all input is read
            self.drop(TerminationReason.CLOSED_BY_PEER)
            return
        self.paused = False
        self.transport.resumeProducing()
        self.dataReceived(b"")

    # ---- reading ------------------------------------------------------------------------------------------

    def dataReceived(self, data: bytes) -> None:
        """Process input, and start the timeout of an incomplete message (Twisted's callback).

        Twisted reads on while a closing connection has unsent output; that input is discarded.
        """
        if not self.is_open:
            return
        super().dataReceived(data)
        incomplete = self.is_open and self._has_partial_message
        if incomplete and self._message_timer is None:
            self._start_message_timer()
        elif not incomplete and self.last_message_us:
            self._cancel_message_timer()

    def lineReceived(self, line: bytes) -> None:
        """Process one line of a message's head (Twisted's callback)."""
        try:
            length = self._decoder.line(line)
            if length == 0:
                self._message_received(self._decoder.body(b""))
            elif length is not None:
                self._body_length, self._body = length, b""
                self.setRawMode()
        except ProtocolError as error:
            self.close_with_error(str(error))

    def rawDataReceived(self, data: bytes) -> None:
        """Store a part of a message's body (Twisted's callback)."""
        remaining = self._body_length - len(self._body)
        self._body += data[:remaining]
        if len(self._body) == self._body_length:
            body, self._body = self._body, b""
            self._message_received(self._decoder.body(body))
            if self.is_open:
                self.setLineMode(data[remaining:])

    def lineLengthExceeded(self, line: bytes) -> None:
        """Close: the line is too long (Twisted's callback)."""
        del line
        self.close_with_error(f"line over {MAX_MESSAGE_BYTES} bytes")

    def _message_received(self, message: rtsp.Message) -> None:
        # A busy viewer may have an incomplete message at any time: the timeout applies to each message.
        self._cancel_message_timer()
        self.last_message_us = now_us()
        if not message.method:
            return  # the acknowledgement of a release
        cseq = message.headers.get("cseq", "")
        cseq = cseq if cseq.isdigit() else rtsp.CSEQ_BY_METHOD.get(message.method, "0")
        try:
            self._serve(message, cseq)
        except ProtocolError as error:
            self._answer_malformed(message, cseq, str(error))

    def _serve(self, message: rtsp.Message, cseq: str) -> None:
        match message.method:
            case "SETUP":
                # The viewer's timeout starts when it sends the message, which may have waited unread here.
                arrived_us = self.server.earliest_arrival_us()
                limits, source = self.server.set_up_limits, self._peer
                self.server.post(rtsp.parse_set_up(message, arrived_us, limits, self, source))
            case "TEARDOWN":
                self.server.post(SessionCancelled(message.session))
                self._write(rtsp.response(rtsp.SERVED, cseq, message.session))
            case "OPTIONS":
                status = rtsp.SERVED if self.server.ready() else rtsp.NOT_READY
                session = message.session if "session" in message.headers else ""
                self._write(rtsp.response(status, cseq, session))
            case "SET_PARAMETER" if self.server.renew is not None:
                session, token = message.session, message.header(rtsp.TOKEN_HEADER)

                def on_renewed(rejection: RenewalRejection | None) -> None:
                    if rejection is None:
                        self._write(rtsp.response(rtsp.SERVED, cseq, session))
                    else:
                        self._write(rtsp.response(rtsp.FORBIDDEN, cseq, session, reason=rejection.text))

                self.server.renew(session, token, on_renewed)
            case _:
                raise ProtocolError(f"{message.method} is for viewers to hear")

    def _answer_malformed(self, message: rtsp.Message, cseq: str, error: str) -> None:
        log.info("viewer_message_malformed", extra={"method": message.method, "error": error})
        try:
            session = message.session
        except ProtocolError:
            session = ""
        self._write(rtsp.response(rtsp.BAD_REQUEST, cseq, session, reason=error))
        self._apply_backpressure()

    # ---- writing ------------------------------------------------------------------------------------------

    def served(self, session: str, description: bytes) -> None:
        """Answer that the session plays; the edge server's description is passed on unchanged."""
        self._write(rtsp.response(rtsp.SERVED, rtsp.CSEQ_BY_METHOD["SETUP"], session, description))

    def rejected(self, session: str, retry_after_ms: int, reason: str = "") -> None:
        """Answer that the session was rejected.

        Args:
            session: the session's id.
            retry_after_ms: the pause before a retry; 0: none is stated.
            reason: sent as the reason phrase.
        """
        cseq = rtsp.CSEQ_BY_METHOD["SETUP"]
        self._write(
            rtsp.response(rtsp.NO_BANDWIDTH, cseq, session, retry_after_ms=retry_after_ms, reason=reason)
        )

    def failed(self, session: str, reason: str = "") -> None:
        """Answer that the session failed; it may have run."""
        self._write(rtsp.response(rtsp.FAILED, rtsp.CSEQ_BY_METHOD["SETUP"], session, reason=reason))

    def released(self, session: str, reason: TerminationReason) -> None:
        """Notify the viewer that a session that played has ended."""
        self._write(rtsp.release(session, reason))

    def close_with_error(self, reason: str) -> None:
        """Answer with an error and close: the message framing is no longer reliable."""
        if self.is_open:  # once per connection
            log.info("viewer_input_malformed", extra={"error": reason})
            self._write(rtsp.response(rtsp.BAD_REQUEST, "0", reason=reason))
            self.close_after_flush()
            self.clearLineBuffer()

    def _write(self, data: bytes) -> None:
        if self.is_open:
            self.transport.write(data)
