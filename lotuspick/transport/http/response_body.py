"""Reads the body of an HTTP response, up to a size limit."""

from __future__ import annotations

from typing import Any

from twisted.internet import protocol
from twisted.internet.defer import Deferred
from twisted.python.failure import Failure
from twisted.web.client import ResponseDone
from twisted.web.http import PotentialDataLoss

from lotuspick.protocol.errors import MAX_ANSWER_BYTES, ProtocolError


class BodyReader(protocol.Protocol):
    """Collects a body of at most ``MAX_ANSWER_BYTES`` bytes."""

    transport: Any

    def __init__(self) -> None:
        self.done: Deferred[bytes] = Deferred(lambda _: self._close())
        self.body = b""

    def dataReceived(self, data: bytes) -> None:
        """Store a part of the body (Twisted's callback)."""
        self.body += data
        if len(self.body) > MAX_ANSWER_BYTES:
            self._finish(Failure(ProtocolError("response is too long")))
            self._close()

    def _close(self) -> None:
        # The agent's transport is a proxy without abortConnection; calling that would hide the failure.
        self.transport.loseConnection()

    def connectionLost(self, reason: Failure = protocol.connectionDone) -> None:
        """Finish with the body, or with the failure (Twisted's callback)."""
        self._finish(self.body if reason.check(ResponseDone, PotentialDataLoss) else reason)

    def _finish(self, result: bytes | Failure) -> None:
        if not self.done.called:
            self.done.callback(result)


def read_body(response: Any) -> Deferred[bytes]:
    """Read the complete body of a response of Twisted's agent; fails if it is too long or truncated."""
    reader = BodyReader()
    response.deliverBody(reader)
    return reader.done
