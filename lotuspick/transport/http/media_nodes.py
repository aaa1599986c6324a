"""Media nodes that speak HTTP and answer with CMSD: the second front's side of the loop's ``Edges``.

    POST /sessions/ID?class=&title=&rung=&wait_ms=   a set-up with its description as body
    PUT /sessions/ID?rung=                            a new rung
    DELETE /sessions/ID                               a set-up given up, or a session released
    GET /events?after=N&wait_ms=MS                    waits for what happens to sessions that stand

Every answer may carry CMSD.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass, field
from io import BytesIO
from typing import Any
from urllib.parse import urlencode

from twisted.internet import defer, error
from twisted.internet.defer import CancelledError, Deferred
from twisted.python.failure import Failure
from twisted.web.client import Agent, FileBodyProducer, HTTPConnectionPool

from lotuspick.protocol import cmsd
from lotuspick.protocol import media_node_messages as wire
from lotuspick.protocol.errors import ProtocolError
from lotuspick.routing.interfaces import AttemptRequest, EdgeServers
from lotuspick.routing.messages import AttemptTerminated, EdgeServerFailed, HintReceived, InboundMessage
from lotuspick.routing.termination import TerminationReason
from lotuspick.transport.http.response_body import read_body
from lotuspick.transport.sockets import Reactor, dial_failure_reason

log = logging.getLogger(__name__)

WAIT_MS = 1_000
GRACE_S = 0.75
AGAIN_S = 0.2
SILENCE_S = 4.0  # without an answer to a poll, while sessions stand there: the node is gone
MOST_OPEN = 32  # requests open at one node


@dataclass(slots=True, eq=False)
class MediaNode:
    """One media node."""

    name: str
    address: str
    index: int = 0
    polling: bool = False
    heard_s: float = 0.0
    open: dict[str, Deferred[Any]] = field(default_factory=dict)  # set-ups not answered


class MediaNodePool:
    """All HTTP nodes, by id."""

    def __init__(
        self,
        reactor: Reactor,
        addresses: dict[str, str],
        dial_s: float,
        post: Callable[[InboundMessage], None],
        standing: Callable[[str], int],
    ) -> None:
        self.reactor, self.post, self.standing = reactor, post, standing
        self.nodes = {name: MediaNode(name, address) for name, address in addresses.items()}
        pool = HTTPConnectionPool(reactor)
        # Guards against a set-up that goes out twice: nothing is sent again below the decisions.
        pool.retryAutomatically = False
        pool.maxPersistentPerHost = 4
        self.agent = Agent(reactor, connectTimeout=dial_s, pool=pool)

    def _request(
        self, node: MediaNode, method: str, path: str, query: dict[str, Any] | None = None, body: bytes = b""
    ) -> Deferred[Any]:
        url = f"http://{node.address}{path}" + (f"?{urlencode(query)}" if query else "")
        producer: Any = FileBodyProducer(BytesIO(body)) if body else None
        asked: Deferred[Any] = self.agent.request(method.encode(), url.encode(), bodyProducer=producer)
        return asked.addCallback(self._heard, node)

    def _heard(self, response: Any, node: MediaNode) -> Deferred[tuple[int, bytes]]:
        node.heard_s = self.reactor.seconds()
        self._hint(node, response)
        return read_body(response).addCallback(lambda body: (response.code, body))

    def _hint(self, node: MediaNode, response: Any) -> None:
        try:
            headers = {
                name: response.headers.getRawHeaders(name)[0]
                for name in (cmsd.STATIC, cmsd.DYNAMIC)
                if response.headers.hasHeader(name)
            }
            hint = cmsd.hint(node.name, headers)
        except (ProtocolError, UnicodeError) as fault:
            log.info("malformed CMSD", extra={"node": node.name, "fault": str(fault)})
            return
        if hint is not None:
            self.post(HintReceived(hint))

    # ---- the loop's side ----------------------------------------------------------------------------------

    def start_attempt(self, edge: str, ask: AttemptRequest) -> TerminationReason | None:
        node = self.nodes[edge]
        if len(node.open) >= MOST_OPEN:
            return TerminationReason.QUEUE_FULL
        query = {"class": ask.session_class, "title": ask.title, "rung": ask.rung, "wait_ms": ask.timeout_ms}
        asked = self._request(node, "POST", f"/sessions/{ask.session}", query, ask.description)
        node.open[ask.session] = asked
        asked.addCallbacks(self._answered, self._unanswered, (node, ask.session), {}, (node, ask.session))
        asked.addErrback(lambda reason: log.error("set-up", extra={"node": edge, "fault": str(reason)}))
        return None

    def _answered(self, answer: tuple[int, bytes], node: MediaNode, session: str) -> None:
        if node.open.pop(session, None) is not None:
            self.post(wire.answer(node.name, session, *answer))
            self.keep_connected(node.name)

    def _unanswered(self, reason: Failure, node: MediaNode, session: str) -> None:
        if node.open.pop(session, None) is None or reason.check(CancelledError):
            return  # given up here: the loop knows
        self.post(AttemptTerminated(node.name, session, ending(reason)))

    def cancel_attempt(self, edge: str, session: str) -> bool:
        asked = self.nodes[edge].open.pop(session, None)
        if asked is not None:
            asked.cancel()  # closes its connection, which gives it up; the release makes sure
            self.release(edge, session, TerminationReason.CANCELLED_BY_VIEWER)
        return False

    def release(self, edge: str, session: str, ending: TerminationReason) -> None:
        self._tell(edge, "DELETE", session)

    def set_rung(self, edge: str, session: str, rung: int) -> None:
        self._tell(edge, "PUT", session, {"rung": rung})

    def _tell(self, edge: str, method: str, session: str, query: dict[str, Any] | None = None) -> None:
        told = self._request(self.nodes[edge], method, f"/sessions/{session}", query)
        told.addTimeout(GRACE_S, self.reactor)
        told.addErrback(lambda reason: log.info("node not told", extra={"node": edge, "what": method}))

    def keep_connected(self, edge: str) -> None:
        node = self.nodes[edge]
        if not node.polling:
            node.polling, node.heard_s = True, self.reactor.seconds()
            self._poll(node)

    def _poll(self, node: MediaNode) -> None:
        """Wait for the node's events while sessions stand there."""
        if not self.standing(node.name) and not node.open:
            node.polling = False
            return
        asked = self._request(node, "GET", "/events", {"after": node.index, "wait_ms": WAIT_MS})
        asked.addTimeout(WAIT_MS / 1_000 + GRACE_S, self.reactor)
        asked.addCallbacks(self._events, self._no_events, (node,), {}, (node,))
        asked.addErrback(lambda reason: log.error("poll", extra={"node": node.name, "fault": str(reason)}))

    def _events(self, answer: tuple[int, bytes], node: MediaNode) -> None:
        pause_s = 0.0
        try:
            if answer[0] != 200:
                raise ProtocolError(f"status {answer[0]}")
            node.index, events = wire.events(node.name, answer[1])
            for event in events:
                self.post(event)
        except ProtocolError as fault:
            log.info("malformed events", extra={"node": node.name, "fault": str(fault)})
            pause_s = AGAIN_S
        self.reactor.callLater(pause_s, self._poll, node)

    def _no_events(self, reason: Failure, node: MediaNode) -> None:
        why = ending(reason)
        if why is TerminationReason.DIAL_REFUSED or self.reactor.seconds() - node.heard_s > SILENCE_S:
            self.post(
                EdgeServerFailed(
                    node.name,
                    TerminationReason.SERVER_DOWN
                    if why is TerminationReason.DIAL_REFUSED
                    else TerminationReason.SERVER_UNRESPONSIVE,
                )
            )
            node.index, node.heard_s = 0, self.reactor.seconds()
        self.reactor.callLater(AGAIN_S, self._poll, node)


def ending(reason: Failure) -> TerminationReason:
    """How a request ended that got no answer. Only a connection that never came up proves it never ran."""
    if reason.check(
        error.ConnectError, error.ConnectingCancelledError, error.DNSLookupError, error.TimeoutError
    ):  # the agent's own time-out is that of the connection
        return dial_failure_reason(reason)
    failures: Any = getattr(reason.value, "reasons", ())
    if any(each.check(error.ConnectionDone) for each in failures):
        return TerminationReason.CLOSED_BY_PEER
    if reason.check(defer.TimeoutError, defer.CancelledError):
        return TerminationReason.SERVER_UNRESPONSIVE
    return TerminationReason.RESET


class EdgeServerRouter:
    """Sends each id to the pool that speaks its protocol."""

    def __init__(self, nodes: MediaNodePool, edges: EdgeServers) -> None:
        self.nodes, self.edges = nodes, edges

    def _pool(self, edge: str) -> EdgeServers:
        return self.nodes if edge in self.nodes.nodes else self.edges

    def start_attempt(self, edge: str, ask: AttemptRequest) -> TerminationReason | None:
        return self._pool(edge).start_attempt(edge, ask)

    def cancel_attempt(self, edge: str, session: str) -> bool:
        return self._pool(edge).cancel_attempt(edge, session)

    def release(self, edge: str, session: str, ending: TerminationReason) -> None:
        self._pool(edge).release(edge, session, ending)

    def set_rung(self, edge: str, session: str, rung: int) -> None:
        self._pool(edge).set_rung(edge, session, rung)

    def keep_connected(self, edge: str) -> None:
        self._pool(edge).keep_connected(edge)
