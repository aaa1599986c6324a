"""Watches the coordinator's endpoint list by HTTP long polling for as long as the broker runs.

HTTP is parsed by h11, which uses a fifth of the memory of Twisted's agent.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Any

import h11
from twisted.internet import error, protocol
from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.python.failure import Failure

from lotuspick.protocol import endpoint_events as wire
from lotuspick.protocol.errors import MAX_ANSWER_BYTES, MAX_MESSAGE_BYTES, ProtocolError
from lotuspick.transport.sockets import Reactor

log = logging.getLogger(__name__)

WAIT_MS = (
    1_000  # the coordinator responds after this time if nothing changed; short, to detect failures early
)
GRACE_S = 0.75  # added to WAIT_MS; without a response by then, the connection is considered lost
RETRY_S = 0.1  # pause after a failure, so that a failing coordinator is not polled in a tight loop
MALFORMED_POLLS = (
    3  # polls for a malformed update until it is skipped: it may be malformed in one response only
)
HTTP_OK = 200


class LongPollConnection(protocol.Protocol):
    """One HTTP connection with one request at a time; it stays open if the response allows it."""

    transport: Any

    def __init__(self, host: str) -> None:
        self.host, self.is_open = host, True
        self.http = h11.Connection(h11.CLIENT, MAX_MESSAGE_BYTES)
        self.response: Deferred[bytes] | None = None  # of the request in progress
        self.status, self.body = 0, b""

    def get(self, target: str) -> Deferred[bytes]:
        """Send a request; returns the body of its response.

        The result fails with :class:`ProtocolError`, or with the reason why the connection ended.
        """
        response: Deferred[bytes] = Deferred(lambda _: self._abort())
        self.response = response
        self.status, self.body = 0, b""
        request = h11.Request(method="GET", target=target, headers=[("Host", self.host)])
        self.transport.write((self.http.send(request) or b"") + (self.http.send(h11.EndOfMessage()) or b""))
        return response

    def close(self) -> None:
        """Close the connection gracefully; no further request is sent on it."""
        self.is_open = False
        self.transport.loseConnection()

    def dataReceived(self, data: bytes) -> None:
        """Parse a part of a response (Twisted's callback)."""
        try:
            self.http.receive_data(data)
            while self._read(self.http.next_event()):
                pass
        except (h11.RemoteProtocolError, ProtocolError) as error:
            self._finish(Failure(ProtocolError(str(error))))
            self._abort()

    def connectionLost(self, reason: Failure = protocol.connectionDone) -> None:
        """Finish the request in progress (Twisted's callback)."""
        self.is_open = False
        if self.status:
            self.dataReceived(b"")  # completes a response that ends with its connection
        self._finish(reason)

    def _read(self, event: Any) -> bool:
        """Process one event of h11; returns whether another may be available."""
        match event:
            case h11.Response():
                self.status = event.status_code
            case h11.Data():
                self.body += event.data
                if len(self.body) > MAX_ANSWER_BYTES:
                    raise ProtocolError("response is too long")
            case h11.EndOfMessage():
                if self.http.our_state is h11.DONE and self.http.their_state is h11.DONE:
                    self.http.start_next_cycle()
                else:
                    self.close()
                ok = self.status == HTTP_OK
                self._finish(self.body if ok else Failure(ProtocolError(f"status {self.status}")))
            case h11.InformationalResponse():
                pass
            case _:  # needs more data, or the connection is closed
                return False
        return True

    def _finish(self, result: bytes | Failure) -> None:
        response, self.response = self.response, None
        if response is not None and not response.called:
            response.callback(result)

    def _abort(self) -> None:
        self.is_open = False
        self.transport.abortConnection()


class EndpointWatch:
    """Follows the coordinator's endpoint list, starting at an index.

    ``notify`` is called with each change, in order, on the reactor's thread.
    """

    def __init__(
        self, reactor: Reactor, address: str, index: int, notify: Callable[[wire.Change], None]
    ) -> None:
        self.reactor, self.address, self.index, self.notify = reactor, address, index, notify
        self.failing = False
        self.coordinator_changed = False  # since the last poll began
        self.request: Deferred[bytes] | None = None
        self.connection: LongPollConnection | None = None
        self.connection_reused = False  # the last request was sent on a connection that was already open
        self.malformed_polls = 0  # consecutive polls that returned a malformed update
        self.poll_started_s = 0.0

    def poll(self) -> None:
        """Poll for changes after the last index; each poll schedules the next one."""
        self.coordinator_changed, self.poll_started_s = False, self.reactor.seconds()
        connection = self.connection
        self.connection_reused = connection is not None and connection.is_open
        if connection is not None and connection.is_open:
            request = self._send_poll(connection)
        else:
            request = self._connect().addCallback(self._send_poll)
        self.request = request
        request.addTimeout(WAIT_MS / 1_000 + GRACE_S, self.reactor)
        request.addCallbacks(self._read, self._poll_failed)
        request.addErrback(self._poll_failed)

    def change_coordinator(self, address: str) -> None:
        """Follow another coordinator from the same index on.

        The poll of the previous coordinator is cancelled, and the new one is polled at once.
        """
        if address == self.address:
            return
        self.address, self.coordinator_changed = address, True
        if self.request is not None:
            self.request.cancel()
        if self.connection is not None and self.connection.is_open:
            self.connection.close()

    def _connect(self) -> Deferred[Any]:
        host, port = wire.parse_address(self.address)
        factory: Any = protocol.Factory.forProtocol(lambda: LongPollConnection(self.address))
        endpoint = TCP4ClientEndpoint(self.reactor, host, port, timeout=GRACE_S)
        connected: Deferred[Any] = endpoint.connect(factory)
        return connected

    def _send_poll(self, connection: LongPollConnection) -> Deferred[bytes]:
        self.connection = connection
        return connection.get(f"/v2/stream?follow={self.index}&wait_ms={WAIT_MS}")

    def _read(self, body: bytes) -> None:
        answer = wire.parse(body, self.index)
        self.malformed_polls = self.malformed_polls + 1 if answer.errors else 0
        if 0 < self.malformed_polls < MALFORMED_POLLS:
            # A skipped update is never sent again, and it may announce that a server is draining.
            raise ProtocolError(answer.errors[0])
        for error_text in answer.errors:
            log.error("endpoint_update_skipped", extra={"error": error_text})
        for change in answer.changes:
            self.notify(change)
        self.malformed_polls, previous, self.index = 0, self.index, max(self.index, answer.last_index)
        if self.failing:
            log.info("endpoint_watch_recovered", extra={"index": self.index})
            self.failing = False
        # A coordinator that responds at once without a change must not be polled in a tight loop.
        responded_early = self.index == previous and self.reactor.seconds() - self.poll_started_s < RETRY_S
        self.reactor.callLater(RETRY_S if responded_early else 0, self.poll)

    def _poll_failed(self, failure: Failure) -> None:
        if self.connection_reused and failure.check(error.ConnectionDone, error.ConnectionLost):
            # The coordinator closed the idle connection while the request was in transit: not yet a failure.
            self.reactor.callLater(0, self.poll)
            return
        if not self.failing and not self.coordinator_changed:
            log.warning("endpoint_watch_failed", extra={"error": failure.getErrorMessage()[:200]})
            self.failing = True
        self.reactor.callLater(0 if self.coordinator_changed else RETRY_S, self.poll)
