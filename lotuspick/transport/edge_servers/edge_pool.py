"""Connections to edge servers: one each, pipelined, known by the server's id."""

from __future__ import annotations

import logging
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from twisted.internet import interfaces, protocol
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.protocols.basic import Int16StringReceiver
from twisted.python.failure import Failure
from zope.interface import implementer

from lotuspick.core.events import PROVES_NOT_EXECUTED, ServerListUpdate
from lotuspick.protocol import edge_messages as wire
from lotuspick.protocol.errors import MOST_BYTES, ProtocolError
from lotuspick.routing.interfaces import AttemptRequest
from lotuspick.routing.messages import (
    AttemptTerminated,
    AttemptWritten,
    EdgeServerFailed,
    EdgeServerReleased,
    InboundMessage,
)
from lotuspick.routing.termination import ATTEMPT_OUTCOMES, TerminationReason
from lotuspick.transport.sockets import Reactor, dial_failed, lost, now_us

log = logging.getLogger(__name__)

MOST_QUEUED = 256  # messages that wait for one connection
SWEEP_S, LATE_S = 0.1, 0.1
UNKNOWN_S = 3.0  # a server without an address, on which sessions stand, may be named within this
DIALS = 3  # dials that time out before a machine where sessions stand is taken for gone, if it has ...
SILENT_S = 1.5  # ... said nothing for so long on what is open: one that is slow to accept has not vanished
LOCAL_DIALS = 12  # the same for dials that fail at once, without a word from the other side
BRIEF_S = 1.0  # a connection that ended so soon is not dialled again at once
CHECK_S, CHECK_MOST_S = 1.0, 8.0  # pause after a check that found all well; doubles with each in a row
UNCHECKED_S = 6.0  # no link is silent for longer unchecked: an end must be told within 8 s, dials included
ZONE_S = 2.0  # two servers of a zone that die within this may be a zone that is lost
RELEASE_DIALS = 40  # dials that time out before releases that wait are dropped
SETTLE_S = 1.0  # a replaced connection stays so long after its last word
MUTE_S = 0.3  # a connection that says nothing for so long after a set-up is replaced; most answer in 0.1 s
PART_WAY_S = 0.25  # a message from an edge server that is not whole by then never will be
MOST_DOUBTFUL = 64  # set-ups that may stand unheard, released on the next connection


@dataclass(frozen=True, slots=True)
class EdgeLimits:
    """From the settings, in seconds."""

    dial_s: float
    idle_s: float
    silence_s: float
    """A connection with sessions that is silent for so long is checked by a new one."""
    per_connection: int
    connections: int


@implementer(interfaces.IPushProducer)
class EdgeConnection(Int16StringReceiver):
    """One connection to an edge server."""

    transport: Any
    MAX_LENGTH = MOST_BYTES - 2

    def __init__(self, link: EdgeServerClient, address: tuple[str, int] | None = None) -> None:
        self.link, self.address = link, address or link.address  # where it leads, whatever becomes of the id
        self.up = False
        self.unread_since: float | None = None
        self.part_since: float | None = None  # a message has begun and is not whole
        self.heard_s = 0.0
        self.ending: TerminationReason | None = None  # why this side closed it
        self._closing: Any = None  # has it closed at the latest then, once this side has finished

    def connectionMade(self) -> None:
        self.up = True
        self.link.pool.sockets.add(self)
        self.heard_s = self.link.pool.reactor.seconds()
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)

    def connectionLost(self, reason: Failure = protocol.connectionDone) -> None:
        self.up = False
        if self._closing is not None and self._closing.active():
            self._closing.cancel()
        self.link.pool.sockets.discard(self)
        self.link.closed(self, self.ending or lost(reason))

    def pauseProducing(self) -> None:
        self.unread_since = self.link.pool.reactor.seconds()

    def resumeProducing(self) -> None:
        self.unread_since = None

    def stopProducing(self) -> None:
        pass

    def dataReceived(self, data: bytes) -> None:
        super().dataReceived(data)
        if not self.recvd:
            self.part_since = None
        elif self.part_since is None:
            self.part_since = self.link.pool.reactor.seconds()

    def stringReceived(self, string: bytes) -> None:
        if not self.up:
            return  # what came behind a message that cost the connection
        self.part_since = None
        try:
            self.link.received(self, wire.decode(string))
        except ProtocolError as fault:
            self.drop(TerminationReason.MALFORMED, str(fault))

    def lengthLimitExceeded(self, length: int) -> None:
        self.drop(TerminationReason.MALFORMED, f"message of {length} bytes")

    def finish(self) -> None:
        """Say nothing more, and close once the other side has. Guards against an end of a session that is on
        its way when this side closes: it would be heard nowhere, the next connection being open already."""
        if self.up and self.ending is None:
            self.ending = TerminationReason.IDLE
            self.transport.loseWriteConnection()
            self._closing = self.link.pool.reactor.callLater(SETTLE_S, self.drop, TerminationReason.IDLE)

    def leave(self) -> None:
        """Close, once what was written has left: nothing is owed on it. Guards against a descriptor held for ever by a
        peer that does not read."""
        self.ending, self.up = TerminationReason.IDLE, False
        self.transport.unregisterProducer()
        self.transport.loseConnection()
        self._closing = self.link.pool.reactor.callLater(SETTLE_S, self.transport.abortConnection)

    def drop(self, ending: TerminationReason, why: str = "") -> None:
        """Close at once."""
        if self.up:
            log.info(
                "edge connection dropped", extra={"edge": self.link.edge, "ending": ending.value, "why": why}
            )
            self.ending = self.ending or ending
            self.up = False
            self.transport.abortConnection()


@dataclass(slots=True, eq=False)
class QueuedAttempt:
    """A message that waits for a connection; ``session`` is set for a set-up."""

    frame: bytes
    session: str = ""


@dataclass(frozen=True, slots=True)
class SentAttempt:
    """A set-up that was written and has no answer yet."""

    connection: EdgeConnection
    at_s: float

    def mute(self, now_s: float) -> bool:
        """Whether the connection has said nothing since, for longer than it should."""
        return self.connection.heard_s < self.at_s < now_s - MUTE_S


class EdgeServerClient:
    """What leads to one edge server: its connection, and what waits for one."""

    def __init__(self, pool: EdgePool, edge: str) -> None:
        self.pool, self.edge = pool, edge
        self.address: tuple[str, int] | None = None
        self.zone, self.leaving = "", False
        self.checked = False  # dialled only to see whether it is there
        self.connection: EdgeConnection | None = None
        self.dialing = False
        self.dials = 0  # dials that timed out in a row
        self.queue: deque[QueuedAttempt] = deque()
        self.open: dict[str, SentAttempt] = {}  # set-ups sent and not answered
        self.doubtful: deque[str] = deque(maxlen=MOST_DOUBTFUL)
        self.replaced: list[EdgeConnection] = []  # by a newer one; they close once no set-up is open on them
        self.heard_s = self.used_s = self.up_s = pool.reactor.seconds()
        self.idle_s = self.heard_s  # when nothing was to be heard from it, last

    @property
    def waiting(self) -> int:
        """Set-ups that wait for a connection."""
        return sum(bool(item.session) for item in self.queue)

    @property
    def idle(self) -> bool:
        return not (self.open or self.queue or self.pool.standing(self.edge))

    # ---- sending ------------------------------------------------------------------------------------------

    def send(self, item: QueuedAttempt) -> TerminationReason | None:
        """Write or queue; an ending where neither can be done."""
        connection = self.connection
        if item.session and len(self.open) + self.waiting >= self.pool.limits.per_connection:
            return TerminationReason.QUEUE_FULL
        if connection is not None and connection.up:
            self._write(connection, item)
            return None
        if self.address is None:
            return TerminationReason.NO_ADDRESS
        if len(self.queue) >= MOST_QUEUED:
            return TerminationReason.QUEUE_FULL
        self.queue.append(item)
        self.dial("to send")
        return None

    def _write(self, connection: EdgeConnection, item: QueuedAttempt) -> None:
        self.used_s = self.pool.reactor.seconds()
        if item.session:
            self.open[item.session] = SentAttempt(connection, self.used_s)
        connection.sendString(item.frame)

    def unqueue(self, session: str) -> bool:
        for item in self.queue:
            if item.session == session:
                self.queue.remove(item)
                return True
        return False

    # ---- connecting ---------------------------------------------------------------------------------------

    def dial(self, why: str) -> None:
        """Open a connection, unless one is on its way; ``why`` is for whoever counts them in the log."""
        if self.dialing or self.address is None:
            return
        log.debug("edge dialled", extra={"edge": self.edge, "why": why})
        if not self.pool.room():
            self._fail_queue(
                TerminationReason.DIAL_FAILED
            )  # of this process alone: it tells nothing of the server
            return
        self.dialing = True
        address = self.address
        endpoint = TCP4ClientEndpoint(self.pool.reactor, *address, timeout=self.pool.limits.dial_s)
        factory: Any = protocol.Factory.forProtocol(lambda: EdgeConnection(self, address))
        factory.noisy = False
        done = endpoint.connect(factory)
        done.addCallbacks(
            self._up, lambda reason: self._not_up(dial_failed(reason), address), callbackArgs=(address,)
        )
        done.addErrback(lambda reason: log.error("dial", extra={"edge": self.edge, "fault": str(reason)}))

    def check(self, why: str) -> None:
        """See whether the server is there: one that vanished or died takes no new connection."""
        if not self.dialing:
            self.dial(why)
            self.checked = self.dialing

    def _dialled(self, well: bool) -> None:
        self.dialing = False
        if self.checked:
            self.checked = False
            self.pool.found(well)

    def _up(self, connection: EdgeConnection, address: tuple[str, int]) -> None:
        self._dialled(well=True)
        self.dials = 0
        if address != self.address:  # the id moved, or its address went to another, while this was dialled
            connection.drop(TerminationReason.ADDRESS_CHANGED)
            self._moved()
            return
        old, self.connection = self.connection, connection
        self.heard_s = self.used_s = self.up_s = self.pool.reactor.seconds()
        if old is not None:
            self._replace(old)
        while self.doubtful:
            # Guards against what stands for nobody: an answer that came spoilt or not at all has run.
            connection.sendString(wire.release(self.doubtful.popleft(), TerminationReason.REVOKED))
        now = now_us()
        while self.queue:
            item = self.queue.popleft()
            self._write(connection, item)
            if item.session:
                self.pool.post(AttemptWritten(self.edge, item.session, now))

    def _moved(self) -> None:
        """A dial has ended that went to an address which is this id's no more."""
        if self.address is None:
            self._fail_queue(TerminationReason.NO_ADDRESS)
        elif self.queue or self.pool.standing(self.edge):
            self.dial("moved")

    def move(self, address: tuple[str, int]) -> None:
        """The id has an address, perhaps another: what is open at the old one ends there, what is new goes to the new.
        Guards against a set-up sent to the old place of an id that was gone from the list in between."""
        if self.connection is not None and self.connection.address != address:
            old, self.connection = self.connection, None
            self._replace(old)
        self.address = address

    def _replace(self, old: EdgeConnection) -> None:
        if old.up:
            self.replaced.append(old)

    def _close_replaced(self, now_s: float) -> None:
        """Guards against a paid set-up that is lost with a connection that was only slow: a new one proves
        that the machine is there, and the old one stays until its set-ups have ended, and a little longer:
        closed in the moment of its answer, it takes the session with it."""
        used = {sent.connection for sent in self.open.values()}
        for old in self.replaced:
            if old not in used and now_s - old.heard_s > SETTLE_S:
                old.finish()

    def give_up(self, session: str) -> bool:
        """Take a set-up back. True: it was still queued."""
        if self.unqueue(session):
            return True
        sent = self.open.get(session)
        if sent is not None and sent.connection.up:
            sent.connection.sendString(wire.release(session, TerminationReason.CANCELLED_BY_VIEWER))
            if sent.mute(self.pool.reactor.seconds()) or sent.connection is not self.connection:
                self.doubtful.append(session)  # it may never have been read
                if self.connection is sent.connection:
                    self.dial("given up")  # a machine that vanished takes no new one: what it holds is over
        self.open.pop(session, None)
        return False

    @property
    def plays_on(self) -> bool:
        """Told to leave, and heard lately: it takes no connection any more, and holds what it has until it ends."""
        return (
            self.leaving
            and self.connection is not None
            and self.connection.up
            and self.pool.reactor.seconds() - self.connection.heard_s < UNCHECKED_S
        )

    def _not_up(self, ending: TerminationReason, address: tuple[str, int] | None) -> None:
        self._dialled(well=False)
        log.info("edge not reached", extra={"edge": self.edge, "ending": ending.value})
        if address != self.address:
            self._moved()  # what was found is of the place that it has left, and tells nothing of the new one
            return
        self._fail_queue(ending)
        self.dials += 1
        if ending is TerminationReason.DIAL_REFUSED:
            if not self.plays_on:
                self.down(
                    TerminationReason.SERVER_DOWN
                )  # a process that refuses has died, and has cut what it held
        elif not self.pool.standing(self.edge):
            return
        elif (
            self.dials >= (LOCAL_DIALS if ending is TerminationReason.DIAL_FAILED else DIALS)
            and self.pool.reactor.seconds() - self.heard_s > SILENT_S
        ):
            # Guards against sessions left standing: nothing will ever tell the end of what a machine held
            # that vanished.
            self.down(TerminationReason.SERVER_UNRESPONSIVE)
        elif (
            ending is not TerminationReason.DIAL_FAILED
        ):  # that fails at once, so it is tried again by the sweep
            self.dial("again")

    def _fail_queue(self, ending: TerminationReason) -> None:
        waiting, self.queue = self.queue, deque()
        for item in waiting:
            if item.session:
                self.pool.post(AttemptTerminated(self.edge, item.session, ending))
            elif ending is TerminationReason.DIAL_TIMEOUT and self.dials < RELEASE_DIALS:
                # Guards against sessions left standing behind a cut that heals. Who refuses holds none.
                self.queue.append(item)

    def down(self, ending: TerminationReason) -> None:
        """Nothing there is left: the process or machine is gone. What waits for a connection never left."""
        self._fail_queue(TerminationReason.UNSENT)
        if self.connection is not None:
            self.connection.drop(ending)
        self.pool.post(EdgeServerFailed(self.edge, ending))
        self.pool.died(self)

    def closed(self, connection: EdgeConnection, ending: TerminationReason) -> None:
        """The connection is over. Set-ups open on it are given up; sessions stand on. Guards against a reset
        taken for a death: many are reset while their process lives on, and whether it does shows at once in a
        new dial, which a dead one refuses."""
        log.info("edge connection over", extra={"edge": self.edge, "ending": ending.value})
        if ATTEMPT_OUTCOMES[ending] in PROVES_NOT_EXECUTED:
            # Guards against a paid set-up that goes out twice: what was written may have run, however its
            # connection came to be closed.
            ending = TerminationReason.RESET
        for session in [each for each, sent in self.open.items() if sent.connection is connection]:
            del self.open[session]
            self.doubtful.append(session)
            self.pool.post(AttemptTerminated(self.edge, session, ending))
        if connection in self.replaced:
            self.replaced.remove(connection)
        if connection is not self.connection:
            return
        self.connection = None
        if (
            ending is TerminationReason.RESET
            or self.pool.standing(self.edge)
            and ending is not TerminationReason.SERVER_UNRESPONSIVE
        ) and self.pool.reactor.seconds() - self.up_s > BRIEF_S:
            self.dial("lost")  # what ends there is told on the next; the sweep dials after brief ones

    # ---- receiving ----------------------------------------------------------------------------------------

    def received(self, connection: EdgeConnection, message: wire.Message) -> None:
        self.heard_s = connection.heard_s = self.pool.reactor.seconds()
        if log.isEnabledFor(logging.DEBUG):
            log.debug(
                "edge says",
                extra={
                    "edge": self.edge,
                    "kind": message.kind,
                    "session": message.session,
                    "parameters": str(dict(message.parameters))[:200],
                },
            )
        item = wire.read(self.edge, message)
        if item is None:
            return
        if message.kind in (wire.ANSWER, wire.RELEASE):
            self.open.pop(message.session, None)
        if isinstance(item, EdgeServerReleased):
            connection.sendString(wire.heard(message.session))
        self.pool.post(item)

    def sweep(self, now_s: float) -> None:
        """Look after a connection that is silent, stuck or idle."""
        connection, limits = self.connection, self.pool.limits
        standing, idle = self.pool.standing(self.edge), self.idle
        if idle:
            # Guards against a set-up on a connection that was rightly quiet before it: silence counts from
            # when there is something to hear. Each check costs a connection, at every broker.
            self.idle_s = now_s
        silent_s = now_s - max(self.heard_s, self.idle_s)
        # Guards against sessions cut that still stand: a server that is told to leave takes no connection any
        # more and sends no notes, but plays on until it ends, which shows on the connections that it has.
        silence_s = max(limits.silence_s, UNCHECKED_S if self.leaving else 0.0)
        if self.replaced:
            self._close_replaced(now_s)
        if connection is None or not connection.up:
            if (standing or self.queue) and not self.dialing:
                if self.address is not None:
                    self.dial("none")
                elif now_s - self.heard_s > UNKNOWN_S:
                    self.down(TerminationReason.SERVER_UNRESPONSIVE)
            return
        if connection.unread_since is not None and now_s - connection.unread_since > limits.silence_s:
            connection.drop(TerminationReason.SERVER_UNRESPONSIVE, "does not read")
        elif connection.part_since is not None and now_s - connection.part_since > PART_WAY_S:
            # Guards against set-ups that follow a spoilt answer into a connection that nothing comes out of.
            connection.drop(TerminationReason.MALFORMED, "stopped short")
        elif not self.replaced and any(
            sent.connection is connection and sent.mute(now_s) for sent in self.open.values()
        ):
            self.dial("mute")
        elif (standing or self.open) and silent_s > silence_s:
            if self.address is None:
                self.down(TerminationReason.SERVER_UNRESPONSIVE)
            elif silent_s > UNCHECKED_S or self.pool.may_check:
                self.check("silent")
        elif idle and now_s - max(self.used_s, self.heard_s) > limits.idle_s:
            self.connection = None
            connection.leave()


class EdgePool:
    """All edge servers; the loop's :class:`lotuspick.routing.interfaces.EdgeServers`."""

    def __init__(
        self,
        reactor: Reactor,
        limits: EdgeLimits,
        post: Callable[[InboundMessage], None],
        standing: Callable[[str], int],
    ) -> None:
        self.reactor, self.limits, self.post, self.standing = reactor, limits, post, standing
        self.links: dict[str, EdgeServerClient] = {}
        self.sockets: set[EdgeConnection] = set()  # all that are open, whichever link they belong to
        self.swept_s = 0.0
        self.check_s, self.pause_s = 0.0, CHECK_S  # when a silent link may be checked, and the pause after it
        self.deaths: dict[str, dict[str, float]] = {}  # by zone, lately: which servers, and when

    def start(self) -> None:
        self.swept_s = self.reactor.seconds()
        self.reactor.callLater(SWEEP_S, self._sweep)

    def room(self) -> bool:
        """Whether one more connection keeps inside the bound on descriptors: one that is being closed counts until
        its socket is gone."""
        return len(self.sockets) + sum(link.dialing for link in self.links.values()) < self.limits.connections

    @property
    def may_check(self) -> bool:
        """Guards against checks of all links at once when it is the notes that stay out: each that finds its
        server well has cost a connection, at every broker."""
        return self.reactor.seconds() >= self.check_s and not any(
            link.checked for link in self.links.values()
        )

    def found(self, well: bool) -> None:
        """What a check found. While servers prove dead the next is checked at once."""
        self.pause_s = min(CHECK_MOST_S, self.pause_s * 2) if well else CHECK_S
        self.check_s = self.reactor.seconds() + (self.pause_s if well else 0.0)

    def died(self, link: EdgeServerClient) -> None:
        """Guards against a lost zone that each link learns of by itself, after a silence: not all connections
        show its end. Two deaths together have the rest of the zone looked at where sessions stand."""
        if link.leaving:
            return  # it was told to, and says nothing of its zone
        now_s = self.reactor.seconds()
        deaths = self.deaths.setdefault(link.zone, {})
        for edge in [edge for edge, at_s in deaths.items() if at_s < now_s - ZONE_S]:
            del deaths[edge]
        deaths[link.edge] = now_s
        if len(deaths) > 1:
            for other in self.links.values():
                if (
                    other.zone == link.zone
                    and other.edge not in deaths
                    and other.connection is not None
                    and other.up_s < now_s - ZONE_S
                    and self.standing(other.edge)
                ):
                    other.check("zone")

    def named(self, news: ServerListUpdate, addresses: dict[str, tuple[str, int]]) -> None:
        """Take the addresses of one change. An address may be that of a server that has gone: whoever had
        it before can no longer be dialled there."""
        for entry in news.servers:
            link = self._link(entry.server)
            link.zone, link.leaving = entry.zone, entry.state != "active"
            if entry.state == "gone":
                link.address = None
                continue
            address = addresses[entry.server]
            for other in self.links.values():
                if other is not link and other.address == address:
                    other.address = None
            link.move(address)
        if news.complete:
            names = {entry.server for entry in news.servers}
            for name, link in self.links.items():
                if name not in names:
                    link.address = None

    def _link(self, edge: str) -> EdgeServerClient:
        if edge not in self.links:
            self.links[edge] = EdgeServerClient(self, edge)
        return self.links[edge]

    def _sweep(self) -> None:
        self.reactor.callLater(SWEEP_S, self._sweep)
        now_s = self.reactor.seconds()
        late_s, self.swept_s = now_s - self.swept_s - SWEEP_S, now_s
        if late_s > LATE_S:
            return  # guards against silence that is this process's own: what came meanwhile is not read yet
        for name, link in list(self.links.items()):
            link.sweep(now_s)
            if link.address is None and link.connection is None and link.idle and not link.dialing:
                del self.links[name]

    # ---- the loop's side ----------------------------------------------------------------------------------

    def start_attempt(self, edge: str, ask: AttemptRequest) -> TerminationReason | None:
        return self._link(edge).send(QueuedAttempt(wire.set_up(ask), ask.session))

    def cancel_attempt(self, edge: str, session: str) -> bool:
        return self._link(edge).give_up(session)

    def release(self, edge: str, session: str, ending: TerminationReason) -> None:
        self._link(edge).send(QueuedAttempt(wire.release(session, ending)))

    def set_rung(self, edge: str, session: str, rung: int) -> None:
        self._link(edge).send(QueuedAttempt(wire.new_rung(session, rung)))

    def keep_connected(self, edge: str) -> None:
        link = self._link(edge)
        if link.connection is None:
            link.dial("handed over")
