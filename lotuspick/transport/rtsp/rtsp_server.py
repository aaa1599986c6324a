"""Viewers' connections: RTSP on a line protocol, with raw mode for bodies."""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Callable
from typing import Any

from twisted.internet import interfaces, protocol, tcp
from twisted.protocols.basic import LineReceiver
from twisted.python.failure import Failure
from zope.interface import implementer

from lotuspick.protocol import rtsp
from lotuspick.protocol.errors import MOST_BYTES, ProtocolError
from lotuspick.routing.interfaces import RenewToken, ViewerConnection
from lotuspick.routing.messages import (
    InboundMessage,
    SessionCancelled,
    ViewerConnectionClosed,
    ViewerConnectionOpened,
)
from lotuspick.routing.termination import TerminationReason
from lotuspick.transport.sockets import Reactor, ended, hung_up, lost, now_us, readable

log = logging.getLogger(__name__)

PART_WAY_S = 2.0  # a message begun and not finished within this costs its sender the connection; so does
# saying nothing for so long at first: who has no request to make takes up a descriptor
UNREAD_S = 5.0  # so does not reading what was written for so long
FAULTS, REST_S = 3, 0.25  # malformed messages on one connection before each further one has it rest so long
WAITING_PART = (
    8  # as many more as this part may be here, those on their way out included; as many are taken at once
)
AGAIN_S = 0.05  # while newcomers wait outside, room is looked for so often
SPARED_PART = 32  # the part of all connections that is closed at once to make room
MORE = 4  # of so many times as many, since those of which something waits unread are passed over
COUNT_S = 1.0  # connections closed are told together, so often


@implementer(interfaces.IPushProducer)
class RtspConnection(LineReceiver):
    """One connection. The loop sees it as a :class:`lotuspick.routing.interfaces.ViewerConnection`."""

    transport: Any
    delimiter = b"\r\n"
    MAX_LENGTH = MOST_BYTES

    def __init__(self, front: RtspServer) -> None:
        self.front = front
        self.is_open = False
        self._decoder = rtsp.Decoder()
        self._want = 0
        self._body = b""
        self._part_way: Any = None
        self._unread: Any = None
        self._resting: Any = None
        self._faults = 0
        self.last_message_us = 0  # when a whole message last came

    # ---- connection ---------------------------------------------------------------------------------------

    def connectionMade(self) -> None:
        self.is_open = True
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)
        self._part_way = self.front.reactor.callLater(PART_WAY_S, self._late)
        self.front.opened(self)

    def connectionLost(self, reason: Failure = protocol.connectionDone) -> None:
        self._end()
        self._unread = self._stop(self._unread)
        self.front.closed(self, lost(reason))

    def pauseProducing(self) -> None:
        """The peer does not read: what waits for it must not pile up."""
        if self._unread is None:
            self._unread = self.front.reactor.callLater(
                UNREAD_S, self.drop, TerminationReason.SERVER_UNRESPONSIVE
            )

    def resumeProducing(self) -> None:
        self._unread = self._stop(self._unread)

    def stopProducing(self) -> None:
        pass

    def _end(self) -> None:
        """Nothing more is heard or said, whenever the socket goes: what it asked for and is open is given up now."""
        self._part_way = self._stop(self._part_way)
        self._resting = self._stop(self._resting)
        if self.is_open:
            self.is_open = False
            self.front.left(self)

    def _late(self) -> None:
        """A message is late. Guards against one that lies here unread, as this process was held up: it is looked for
        once more, and whatever is whole then stops this."""
        self._part_way = self.front.reactor.callLater(0, self.drop, TerminationReason.SERVER_UNRESPONSIVE)

    def drop(self, ending: TerminationReason) -> None:
        """Close at once."""
        self.front.count(ending)
        self._end()
        ended(self.transport.getHandle())
        self.transport.abortConnection()

    def finish(self) -> None:
        """Close in order, once what was written has left. Guards against a connection that stays for ever: one whose
        peer does not read is closed all the same, and one that is told to go on does not forget that it ends."""
        self._end()
        self.transport.unregisterProducer()
        self.transport.loseConnection()
        self._unread = self._stop(self._unread) or self.front.reactor.callLater(
            UNREAD_S, self.drop, TerminationReason.SERVER_UNRESPONSIVE
        )

    def say_no_more(self) -> None:
        """Close one direction: this process ends, and its peer reads the rest."""
        self._end()
        self.transport.loseWriteConnection()

    @property
    def descriptor(self) -> int:
        """Its socket, where something may come on it that is waited for; else -1. One that rests is not waited for, as
        it sends without end."""
        return self.transport.fileno() if self.is_open and self._resting is None else -1

    def _stop(self, call: Any) -> Any:
        if call is not None and call.active():
            call.cancel()
        return None

    # ---- reading ------------------------------------------------------------------------------------------

    def dataReceived(self, data: bytes) -> None:
        super().dataReceived(data)
        waiting = self.is_open and (self._decoder.part_way or bool(self.line_mode and self._buffer))
        if waiting and self._part_way is None:
            self._part_way = self.front.reactor.callLater(PART_WAY_S, self._late)
        elif not waiting and self.last_message_us:
            self._part_way = self._stop(self._part_way)

    def lineReceived(self, line: bytes) -> None:
        try:
            length = self._decoder.line(line)
            if length == 0:
                self._message(self._decoder.body(b""))
            elif length is not None:
                self._want, self._body = length, b""
                self.setRawMode()
        except ProtocolError as fault:
            self._malformed(str(fault))

    def rawDataReceived(self, data: bytes) -> None:
        take, rest = data[: self._want - len(self._body)], data[self._want - len(self._body) :]
        self._body += take
        if len(self._body) == self._want:
            body, self._body = self._body, b""
            self._message(self._decoder.body(body))
            if self.is_open:
                self.setLineMode(rest)

    def lineLengthExceeded(self, line: bytes) -> None:
        self._malformed(f"line over {MOST_BYTES} bytes")

    def _malformed(self, fault: str) -> None:
        """The framing cannot be trusted any more: say so and close."""
        if self.is_open:  # once for each connection
            log.info("malformed input from a viewer", extra={"fault": fault})
            self._write(rtsp.response(rtsp.BAD_REQUEST, "0", why=fault))
            self.finish()
            self.clearLineBuffer()

    def close_with_error(self, why: str) -> None:
        self._malformed(why)

    def _rest(self) -> None:
        """Guards against a viewer that sends what is turned away again as fast as it hears so: nothing is
        read from it for a moment, so that it costs the others nothing."""
        self._faults += 1
        if self._faults > FAULTS and self._resting is None:
            self.paused = True  # not pauseProducing: that is what the transport says when nobody reads
            self.transport.pauseProducing()
            self._resting = self.front.reactor.callLater(REST_S, self._rested)

    def _rested(self) -> None:
        self._resting = None
        if hung_up(
            self.transport.fileno()
        ):  # not seen while nothing was read, nor for as long as something is left
            self.drop(TerminationReason.CLOSED_BY_PEER)
            return
        self.paused = False
        self.transport.resumeProducing()
        self.dataReceived(b"")

    def _message(self, message: rtsp.Message) -> None:
        # A busy viewer may always be part way in some message: only one that takes too long counts.
        self._part_way, self.last_message_us = self._stop(self._part_way), now_us()
        if not message.method:
            return  # a release heard; it means nothing
        cseq = message.headers.get("cseq", "")
        cseq = cseq if cseq.isdigit() else rtsp.CSEQ.get(message.method, "0")
        try:
            match message.method:
                case "SETUP":
                    self.front.post(rtsp.read_set_up(message, now_us(), self.front.terms, self))
                case "TEARDOWN":
                    self.front.post(SessionCancelled(message.session))
                    self._write(rtsp.response(rtsp.SERVED, cseq, message.session))
                case "OPTIONS":
                    status = rtsp.SERVED if self.front.ready() else rtsp.NOT_READY
                    named = message.session if "session" in message.headers else ""
                    self._write(rtsp.response(status, cseq, named))
                case "SET_PARAMETER" if self.front.renew is not None:
                    session, token = message.session, message.header(rtsp.TOKEN)

                    def renewed(fault: str) -> None:
                        self._write(
                            rtsp.response(rtsp.FORBIDDEN if fault else rtsp.SERVED, cseq, session, why=fault)
                        )

                    self.front.renew(session, token, renewed)
                case _:
                    raise ProtocolError(f"{message.method} is for viewers to hear")
        except ProtocolError as fault:
            log.info("malformed message from a viewer", extra={"method": message.method, "fault": str(fault)})
            try:
                session = message.session
            except ProtocolError:
                session = ""
            self._write(rtsp.response(rtsp.BAD_REQUEST, cseq, session, why=str(fault)))
            self._rest()

    # ---- writing ------------------------------------------------------------------------------------------

    def _write(self, data: bytes) -> None:
        if self.is_open:
            self.transport.write(data)

    def served(self, session: str, description: bytes) -> None:
        self._write(rtsp.response(rtsp.SERVED, rtsp.CSEQ["SETUP"], session, description))

    def rejected(self, session: str, gap_ms: int, why: str = "") -> None:
        self._write(rtsp.response(rtsp.NO_BANDWIDTH, rtsp.CSEQ["SETUP"], session, gap_ms=gap_ms, why=why))

    def failed(self, session: str, why: str = "") -> None:
        self._write(rtsp.response(rtsp.FAILED, rtsp.CSEQ["SETUP"], session, why=why))

    def released(self, session: str, ending: TerminationReason) -> None:
        self._write(rtsp.release(session, ending))


class ListeningPort(tcp.Port):
    """The listening socket. Guards against a crowd of which more is taken in one look than there are descriptors."""

    at_once = 1

    def doRead(self) -> None:
        self.numberAccepts = self.at_once
        super().doRead()


class RtspServer(protocol.Factory):
    """All viewer connections, bounded in number."""

    noisy = False

    def __init__(
        self,
        reactor: Reactor,
        post: Callable[[InboundMessage], None],
        ready: Callable[[], bool],
        terms: rtsp.Terms,
        most: int,
        spare: Callable[[int], list[ViewerConnection]],
        renew: RenewToken | None = None,
    ) -> None:
        self.reactor, self.post, self.ready, self.terms, self.renew = reactor, post, ready, terms, renew
        self.most, self.spare = most, spare
        self.viewers: dict[RtspConnection, None] = {}
        self.leaving: set[RtspConnection] = (
            set()
        )  # of these, those that have ended and whose sockets are not gone yet
        self.dropped: Counter[str] = Counter()
        self.door: ListeningPort | None = None
        self.shut: Any = None  # the next look for room, while the door is shut

    def buildProtocol(self, addr: object) -> RtspConnection:
        return RtspConnection(self)

    def opened(self, viewer: RtspConnection) -> None:
        self.viewers[viewer] = None
        self.post(ViewerConnectionOpened(viewer))
        self._make_room()

    def _make_room(self) -> None:
        """Close what can best be closed, where there are too many; where nothing can, newcomers wait at the door."""
        over = len(self.viewers) - len(self.leaving) - self.most
        if over > 0:
            # Many newcomers come in one look of the reactor, and those closed for the first are gone only after it:
            # they count as room already, or each newcomer would cost as many again, up to those that many share.
            # One without an open set-up, of which nothing waits, may be closed. Guards against a request lost that
            # crosses its connection's close: it counts as taken once it is here.
            most = over + self.most // SPARED_PART
            for each in self.spare(MORE * most):
                if most and isinstance(each, RtspConnection) and not readable(each.descriptor):
                    each.drop(TerminationReason.CONNECTION_LIMIT)
                    most -= 1
        self._mind_the_door()

    def _mind_the_door(self) -> None:
        """Guards against requests lost with newcomers that are turned away: a connection that has waited to be taken
        may carry several. They wait in the kernel's queue instead, for as long as there is no room."""
        full = len(self.viewers) >= self.most + self.most // WAITING_PART
        if full and self.shut is None:
            self.shut = self.reactor.callLater(AGAIN_S, self._again)
            if self.door is not None:
                self.door.stopReading()
        elif not full and self.shut is not None:
            self.shut.cancel()
            self.shut = None
            if self.door is not None and self.door.connected:
                self.door.startReading()

    def _again(self) -> None:
        self.shut = self.reactor.callLater(AGAIN_S, self._again)
        self._make_room()

    def listen(self, host: str, port: int, backlog: int) -> Any:
        """Take connections there; returns the listening port."""
        factory: Any = self
        self.door = ListeningPort(port, factory, backlog, host, self.reactor)
        self.door.at_once = max(1, self.most // WAITING_PART)
        self.door.startListening()
        return self.door

    def unread(self) -> bool:
        """Whether something has come from any of them that was not read yet."""
        return readable(*(viewer.descriptor for viewer in self.viewers))

    def finish(self) -> None:
        """Close all in order, once what was written has left. Guards against a set-up lost that comes while
        the process ends: one that crosses a close is sent once more, elsewhere."""
        for viewer in list(self.viewers):
            if viewer.is_open:
                viewer.say_no_more()

    def left(self, viewer: RtspConnection) -> None:
        """It has ended, as far as the loop is concerned; its socket may take a while."""
        self.leaving.add(viewer)
        self.post(ViewerConnectionClosed(viewer))

    def count(self, ending: TerminationReason) -> None:
        """Guards against a crowd that costs a log line for each one closed: they are told by the second."""
        if not self.dropped:
            self.reactor.callLater(COUNT_S, self._tell)
        self.dropped[ending.value] += 1

    def _tell(self) -> None:
        log.info("viewers dropped", extra=dict(self.dropped))
        self.dropped.clear()

    def closed(self, viewer: RtspConnection, ending: TerminationReason) -> None:
        self.leaving.discard(viewer)
        self.viewers.pop(viewer, None)
        self._mind_the_door()
        log.debug("viewer closed", extra={"ending": ending.value})
