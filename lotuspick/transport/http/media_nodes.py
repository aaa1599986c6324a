"""Client for HTTP media nodes, as :class:`lotuspick.routing.interfaces.EdgeServers`.

    POST /sessions/ID?class=&title=&rung=&wait_ms=   sets up a session, with its description as body
    PUT /sessions/ID?rung=                            changes the rung
    DELETE /sessions/ID                               cancels a set-up, or releases a session
    GET /events?after=N&wait_ms=MS                    waits for events of sessions that play

Every response may carry CMSD.
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
from lotuspick.routing.interfaces import AttemptRequest
from lotuspick.routing.messages import AttemptTerminated, EdgeServerFailed, HintReceived, InboundMessage
from lotuspick.routing.termination import TerminationReason
from lotuspick.transport.http.response_body import read_body
from lotuspick.transport.sockets import Reactor, dial_failure_reason

log = logging.getLogger(__name__)

WAIT_MS = 1_000  # a node responds to a poll after this time if there are no events
GRACE_S = 0.75  # response timeout (for polls, after WAIT_MS): a later response was lost with its connection
RETRY_S = 0.2  # pause after a failed poll
UNRESPONSIVE_AFTER_S = 4.0  # a node that holds sessions and answers no poll for this long has failed
ATTEMPT_LIMIT = 32  # open set-ups per node
IDLE_CONNECTIONS = 4  # kept open per node
HTTP_OK = 200


@dataclass(slots=True, eq=False)
class MediaNode:
    """The state of one media node; ``last_response_s`` is a time of the reactor's clock."""

    name: str
    address: str
    event_index: int = 0
    polling: bool = False
    last_response_s: float = 0.0
    attempts: dict[str, Deferred[Any]] = field(default_factory=dict)  # set-ups without a response


class MediaNodePool:
    """All HTTP media nodes, by id."""

    def __init__(
        self,
        reactor: Reactor,
        addresses: dict[str, str],
        dial_timeout_s: float,
        post: Callable[[InboundMessage], None],
        session_count: Callable[[str], int],
    ) -> None:
        self.reactor, self.post, self.session_count = reactor, post, session_count
        self.nodes = {name: MediaNode(name, address) for name, address in addresses.items()}
        pool = HTTPConnectionPool(reactor)
        pool.retryAutomatically = False  # only the dispatcher may retry a set-up
        pool.maxPersistentPerHost = IDLE_CONNECTIONS
        self.agent = Agent(reactor, connectTimeout=dial_timeout_s, pool=pool)

    # ---- called by the dispatcher -------------------------------------------------------------------------

    def start_attempt(self, server: str, request: AttemptRequest) -> TerminationReason | None:
        """Send an attempt; returns the reason if this is not possible."""
        node = self.nodes[server]
        if len(node.attempts) >= ATTEMPT_LIMIT:
            return TerminationReason.QUEUE_FULL
        query = {
            "class": request.session_class,
            "title": request.title,
            "rung": request.rung,
            "wait_ms": request.timeout_ms,
        }
        session = request.session
        response = self._request(node, "POST", f"/sessions/{session}", query, request.description)
        node.attempts[session] = response
        response.addCallbacks(
            self._attempt_answered, self._attempt_failed, (node, session), {}, (node, session)
        )
        response.addErrback(
            lambda failure: log.error(
                "media_node_attempt_error", extra={"server": server, "error": str(failure)}
            )
        )
        return None

    def cancel_attempt(self, server: str, session: str) -> bool:
        """Cancel an attempt; returns False, since it may have been sent."""
        response = self.nodes[server].attempts.pop(session, None)
        if response is not None:
            response.cancel()  # closes its connection; the release makes sure that no session keeps playing
            self.release(server, session, TerminationReason.CANCELLED_BY_VIEWER)
        return False

    def release(self, server: str, session: str, reason: TerminationReason) -> None:
        """End a session that plays or may play; the reason is not sent to the node."""
        del reason
        self._send_command(server, "DELETE", session)

    def set_rung(self, server: str, session: str, rung: int) -> None:
        """Change the rung of a session that plays."""
        self._send_command(server, "PUT", session, {"rung": rung})

    def keep_connected(self, server: str) -> None:
        """Poll a node that holds sessions for its events."""
        node = self.nodes[server]
        if not node.polling:
            node.polling, node.last_response_s = True, self.reactor.seconds()
            self._poll(node)

    # ---- requests -----------------------------------------------------------------------------------------

    def _request(
        self, node: MediaNode, method: str, path: str, query: dict[str, Any] | None = None, body: bytes = b""
    ) -> Deferred[Any]:
        url = f"http://{node.address}{path}" + (f"?{urlencode(query)}" if query else "")
        producer: Any = FileBodyProducer(BytesIO(body)) if body else None
        response: Deferred[Any] = self.agent.request(method.encode(), url.encode(), bodyProducer=producer)
        return response.addCallback(self._response_received, node)

    def _response_received(self, response: Any, node: MediaNode) -> Deferred[tuple[int, bytes]]:
        node.last_response_s = self.reactor.seconds()
        self._read_hint(node, response)
        return read_body(response).addCallback(lambda body: (response.code, body))

    def _read_hint(self, node: MediaNode, response: Any) -> None:
        try:
            headers = {
                name: response.headers.getRawHeaders(name)[0]
                for name in (cmsd.STATIC, cmsd.DYNAMIC)
                if response.headers.hasHeader(name)
            }
            hint = cmsd.to_server_hint(node.name, headers)
        except (ProtocolError, UnicodeError) as error:
            log.info("media_node_hint_malformed", extra={"server": node.name, "error": str(error)})
            return
        if hint is not None:
            self.post(HintReceived(hint))

    def _attempt_answered(self, response: tuple[int, bytes], node: MediaNode, session: str) -> None:
        if node.attempts.pop(session, None) is not None:
            self.post(wire.parse_answer(node.name, session, *response))
            self.keep_connected(node.name)

    def _attempt_failed(self, failure: Failure, node: MediaNode, session: str) -> None:
        if node.attempts.pop(session, None) is None or failure.check(CancelledError):
            return  # cancelled by the dispatcher
        self.post(AttemptTerminated(node.name, session, failure_reason(failure)))

    def _send_command(
        self, server: str, method: str, session: str, query: dict[str, Any] | None = None
    ) -> None:
        response = self._request(self.nodes[server], method, f"/sessions/{session}", query)
        response.addTimeout(GRACE_S, self.reactor)
        response.addErrback(
            lambda _: log.info("media_node_not_notified", extra={"server": server, "method": method})
        )

    # ---- events -------------------------------------------------------------------------------------------

    def _poll(self, node: MediaNode) -> None:
        """Poll the node for events for as long as it holds sessions or attempts."""
        if not self.session_count(node.name) and not node.attempts:
            node.polling = False
            return
        response = self._request(node, "GET", "/events", {"after": node.event_index, "wait_ms": WAIT_MS})
        response.addTimeout(WAIT_MS / 1_000 + GRACE_S, self.reactor)
        response.addCallbacks(self._events_received, self._poll_failed, (node,), {}, (node,))
        response.addErrback(
            lambda failure: log.error(
                "media_node_poll_error", extra={"server": node.name, "error": str(failure)}
            )
        )

    def _events_received(self, response: tuple[int, bytes], node: MediaNode) -> None:
        pause_s = 0.0
        try:
            self._post_events(response, node)
        except ProtocolError as error:
            log.info("media_node_events_malformed", extra={"server": node.name, "error": str(error)})
            pause_s = RETRY_S
        self.reactor.callLater(pause_s, self._poll, node)

    def _post_events(self, response: tuple[int, bytes], node: MediaNode) -> None:
        status, body = response
        if status != HTTP_OK:
            raise ProtocolError(f"status {status}")
        node.event_index, events = wire.parse_events(node.name, body)
        for event in events:
            self.post(event)

    def _poll_failed(self, failure: Failure, node: MediaNode) -> None:
        refused = failure_reason(failure) is TerminationReason.DIAL_REFUSED
        if refused or self.reactor.seconds() - node.last_response_s > UNRESPONSIVE_AFTER_S:
            reason = TerminationReason.SERVER_DOWN if refused else TerminationReason.SERVER_UNRESPONSIVE
            self.post(EdgeServerFailed(node.name, reason))
            node.event_index, node.last_response_s = 0, self.reactor.seconds()
        self.reactor.callLater(RETRY_S, self._poll, node)


def failure_reason(failure: Failure) -> TerminationReason:
    """The reason why a request got no response.

    Only a connection that was never established proves that nothing ran.
    """
    if failure.check(
        error.ConnectError, error.ConnectingCancelledError, error.DNSLookupError, error.TimeoutError
    ):  # the agent raises error.TimeoutError for the dial; response timeouts are defer.TimeoutError
        return dial_failure_reason(failure)
    failures: Any = getattr(failure.value, "reasons", ())
    if any(cause.check(error.ConnectionDone) for cause in failures):
        return TerminationReason.CLOSED_BY_PEER
    if failure.check(defer.TimeoutError, defer.CancelledError):
        return TerminationReason.SERVER_UNRESPONSIVE
    return TerminationReason.RESET
