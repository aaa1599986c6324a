"""Viewers' connections: RTSP on a line protocol, with raw mode for bodies."""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Callable
from typing import Any

from twisted.internet import interfaces, protocol
from twisted.protocols.basic import LineReceiver
from twisted.python.failure import Failure
from zope.interface import implementer

from lotuspick.protocol import rtsp
from lotuspick.protocol.faults import MOST_BYTES, ProtocolFault
from lotuspick.routing.endings import Ending
from lotuspick.routing.ports import Dropped, Inbound, Renew, Viewer, ViewerCame, ViewerLost
from lotuspick.transport.base import Reactor, ended, lost, now_us, readable

log = logging.getLogger(__name__)

PART_WAY_S = 2.0  # a message begun and not finished within this costs its sender the connection; so does
# saying nothing for so long at first: who has no request to make takes up a descriptor
UNREAD_S = 5.0  # so does not reading what was written for so long
FAULTS, REST_S = 3, 0.25  # malformed messages on one connection before each further one has it rest so long
LEAVING_PART = 4  # as many more as this part may be on their way out at once
SPARED_PART = 32  # the part of all connections that is closed at once to make room
MORE = 4  # of so many times as many, since those of which something waits unread are passed over
COUNT_S = 1.0  # connections closed are told together, so often


@implementer(interfaces.IPushProducer)
class RtspViewer(LineReceiver):
    """One connection. The loop sees it as a :class:`lotuspick.routing.ports.Viewer`."""

    transport: Any
    delimiter = b"\r\n"
    MAX_LENGTH = MOST_BYTES

    def __init__(self, front: RtspFront) -> None:
        self.front = front
        self.open = False
        self._decoder = rtsp.Decoder()
        self._want = 0
        self._body = b""
        self._part_way: Any = None
        self._unread: Any = None
        self._resting: Any = None
        self._faults = 0
        self._spoken = False  # a whole message has come

    # ---- connection ---------------------------------------------------------------------------------------

    def connectionMade(self) -> None:
        self.open = True
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)
        self._part_way = self.front.reactor.callLater(PART_WAY_S, self.drop, Ending.SILENT)
        self.front.opened(self)

    def connectionLost(self, reason: Failure = protocol.connectionDone) -> None:
        self.open = False
        self._part_way = self._stop(self._part_way)
        self._unread = self._stop(self._unread)
        self._resting = self._stop(self._resting)
        self.front.closed(self, lost(reason))

    def pauseProducing(self) -> None:
        """The peer does not read: what waits for it must not pile up."""
        if self._unread is None:
            self._unread = self.front.reactor.callLater(UNREAD_S, self.drop, Ending.SILENT)

    def resumeProducing(self) -> None:
        self._unread = self._stop(self._unread)

    def stopProducing(self) -> None:
        pass

    def drop(self, ending: Ending) -> None:
        """Close at once."""
        self.front.count(ending)
        self.open = False
        if self in self.front.viewers:
            self.front.leaving.add(self)
        ended(self.transport.getHandle())
        self.transport.abortConnection()

    def unread(self) -> bool:
        """Whether something has come that was not read yet. Guards against a request lost that crosses its connection's
        close: it counts as taken once it is here. One that rests is not waited for, as it sends without end."""
        return self._resting is None and readable(self.transport.fileno())

    def _stop(self, call: Any) -> Any:
        if call is not None and call.active():
            call.cancel()
        return None

    # ---- reading ------------------------------------------------------------------------------------------

    def dataReceived(self, data: bytes) -> None:
        super().dataReceived(data)
        waiting = self.open and (self._decoder.part_way or bool(self.line_mode and self._buffer))
        if waiting and self._part_way is None:
            self._part_way = self.front.reactor.callLater(PART_WAY_S, self.drop, Ending.SILENT)
        elif not waiting and self._spoken:
            self._part_way = self._stop(self._part_way)

    def lineReceived(self, line: bytes) -> None:
        try:
            length = self._decoder.line(line)
            if length == 0:
                self._message(self._decoder.body(b""))
            elif length is not None:
                self._want, self._body = length, b""
                self.setRawMode()
        except ProtocolFault as fault:
            self._malformed(str(fault))

    def rawDataReceived(self, data: bytes) -> None:
        take, rest = data[:self._want - len(self._body)], data[self._want - len(self._body):]
        self._body += take
        if len(self._body) == self._want:
            body, self._body = self._body, b""
            self._message(self._decoder.body(body))
            if self.open:
                self.setLineMode(rest)

    def lineLengthExceeded(self, line: bytes) -> None:
        self._malformed(f"line over {MOST_BYTES} bytes")

    def _malformed(self, fault: str) -> None:
        """The framing cannot be trusted any more: say so and close."""
        log.info("malformed input from a viewer", extra={"fault": fault})
        if self.open:
            self._write(rtsp.response(rtsp.BAD_REQUEST, "0", why=fault))
            self.open = False
            self.transport.loseConnection()
            self.clearLineBuffer()

    def abandon(self, why: str) -> None:
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
        self.paused = False
        self.transport.resumeProducing()
        self.dataReceived(b"")

    def _message(self, message: rtsp.Message) -> None:
        # A busy viewer may always be part way in some message: only one that takes too long counts.
        self._part_way, self._spoken = self._stop(self._part_way), True
        if not message.method:
            return  # a release heard; it means nothing
        cseq = message.headers.get("cseq", "")
        cseq = cseq if cseq.isdigit() else rtsp.CSEQ.get(message.method, "0")
        try:
            match message.method:
                case "SETUP":
                    self.front.post(rtsp.read_set_up(message, now_us(), self.front.terms, self))
                case "TEARDOWN":
                    self.front.post(Dropped(message.session))
                    self._write(rtsp.response(rtsp.SERVED, cseq, message.session))
                case "OPTIONS":
                    status = rtsp.SERVED if self.front.ready() else rtsp.NOT_READY
                    named = message.session if "session" in message.headers else ""
                    self._write(rtsp.response(status, cseq, named))
                case "SET_PARAMETER" if self.front.renew is not None:
                    session, token = message.session, message.header(rtsp.TOKEN)

                    def renewed(fault: str) -> None:
                        self._write(rtsp.response(rtsp.FORBIDDEN if fault else rtsp.SERVED, cseq, session, why=fault))

                    self.front.renew(session, token, renewed)
                case _:
                    raise ProtocolFault(f"{message.method} is for viewers to hear")
        except ProtocolFault as fault:
            log.info("malformed message from a viewer", extra={"method": message.method, "fault": str(fault)})
            try:
                session = message.session
            except ProtocolFault:
                session = ""
            self._write(rtsp.response(rtsp.BAD_REQUEST, cseq, session, why=str(fault)))
            self._rest()

    # ---- writing ------------------------------------------------------------------------------------------

    def _write(self, data: bytes) -> None:
        if self.open:
            self.transport.write(data)

    def served(self, session: str, description: bytes) -> None:
        self._write(rtsp.response(rtsp.SERVED, rtsp.CSEQ["SETUP"], session, description))

    def refused(self, session: str, gap_ms: int, why: str = "") -> None:
        self._write(rtsp.response(rtsp.NO_BANDWIDTH, rtsp.CSEQ["SETUP"], session, gap_ms=gap_ms, why=why))

    def failed(self, session: str, why: str = "") -> None:
        self._write(rtsp.response(rtsp.FAILED, rtsp.CSEQ["SETUP"], session, why=why))

    def released(self, session: str, ending: Ending) -> None:
        self._write(rtsp.release(session, ending))


class RtspFront(protocol.Factory):
    """All viewer connections, bounded in number."""

    noisy = False

    def __init__(self, reactor: Reactor, post: Callable[[Inbound], None], ready: Callable[[], bool],
                 terms: rtsp.Terms, most: int, spare: Callable[[int], list[Viewer]],
                 renew: Renew | None = None) -> None:
        self.reactor, self.post, self.ready, self.terms, self.renew = reactor, post, ready, terms, renew
        self.most, self.spare = most, spare
        self.viewers: dict[RtspViewer, None] = {}
        self.leaving: set[RtspViewer] = set()  # of these, those that were closed and are not gone yet
        self.dropped: Counter[str] = Counter()

    def buildProtocol(self, addr: object) -> RtspViewer:
        return RtspViewer(self)

    def opened(self, viewer: RtspViewer) -> None:
        if len(self.viewers) >= self.most + self.most // LEAVING_PART:
            viewer.drop(Ending.CROWDED)
            return
        if len(self.viewers) - len(self.leaving) >= self.most:
            # Many newcomers come in one look of the reactor, and those closed for the first are gone only after it:
            # they count as room already, or each newcomer would cost as many again, up to those that many share.
            # One without an open set-up, of which nothing waits, may be closed; else the newcomer has to go.
            most = 1 + self.most // SPARED_PART
            idle = [each for each in self.spare(MORE * most)
                    if isinstance(each, RtspViewer) and not each.unread()][:most]
            for each in idle or [viewer]:
                each.drop(Ending.CROWDED)
            if not idle:
                return
        self.viewers[viewer] = None
        self.post(ViewerCame(viewer))

    def finish(self) -> None:
        """Close all in order, once what was written has left. Guards against a set-up lost that comes while
        the process ends: one that crosses a close is sent once more, elsewhere."""
        for viewer in list(self.viewers):
            if viewer.open:
                viewer.open = False
                viewer.transport.loseWriteConnection()

    def count(self, ending: Ending) -> None:
        """Guards against a crowd that costs a log line for each one closed: they are told by the second."""
        if not self.dropped:
            self.reactor.callLater(COUNT_S, self._tell)
        self.dropped[ending.value] += 1

    def _tell(self) -> None:
        log.info("viewers dropped", extra=dict(self.dropped))
        self.dropped.clear()

    def closed(self, viewer: RtspViewer, ending: Ending) -> None:
        self.leaving.discard(viewer)
        if viewer in self.viewers:
            del self.viewers[viewer]
            log.debug("viewer closed", extra={"ending": ending.value})
            self.post(ViewerLost(viewer))
