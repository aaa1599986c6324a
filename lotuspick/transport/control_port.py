"""The control port, on which a running broker answers operators' commands.

It listens on loopback. Each request and each response is one JSON object on one line.
"""

from __future__ import annotations

import json
import logging
import socket
from collections.abc import Callable
from typing import Any

from twisted.internet import protocol
from twisted.protocols.basic import LineOnlyReceiver
from twisted.protocols.policies import TimeoutMixin

from lotuspick.errors import LotuspickError
from lotuspick.transport.sockets import Reactor

log = logging.getLogger(__name__)

IDLE_S = 10.0  # idle timeout of a connection
REQUEST_LIMIT_BYTES = 4_096
CONNECTION_LIMIT = 16
Handler = Callable[[dict[str, Any]], dict[str, Any]]
"""Handles one request and returns its response; may raise :class:`ControlPortError`."""


class ControlPortError(LotuspickError):
    """A request cannot be served, or no broker answers; the text states the reason."""


class ControlConnection(LineOnlyReceiver, TimeoutMixin):
    """One connection from a command-line command."""

    delimiter = b"\n"
    MAX_LENGTH = REQUEST_LIMIT_BYTES
    factory: ControlPort
    transport: Any

    def connectionMade(self) -> None:
        """Count the connection, and abort it if the limit is exceeded (Twisted's callback)."""
        self.setTimeout(IDLE_S)
        self.factory.open_connections += 1
        if self.factory.open_connections > CONNECTION_LIMIT:
            self.transport.abortConnection()

    def connectionLost(self, reason: Any = protocol.connectionDone) -> None:
        """Remove the connection from the count (Twisted's callback)."""
        del reason
        self.setTimeout(None)
        self.factory.open_connections -= 1

    def lineReceived(self, line: bytes) -> None:
        """Answer one request (Twisted's callback)."""
        self.resetTimeout()
        try:
            response = self.factory.handler(_parse_request(line))
        except (ValueError, ControlPortError) as error:
            response = {"fault": str(error)}
        self.sendLine(json.dumps(response).encode())


class ControlPort(protocol.Factory):
    """The server side; passes each request to ``handler``."""

    protocol: Any = ControlConnection
    noisy = False

    def __init__(self, handler: Handler) -> None:
        self.handler, self.open_connections = handler, 0

    def listen(self, reactor: Reactor, host: str, port: int) -> Any:
        """Listen on an address; returns Twisted's listening port.

        Raises:
            CannotListenError: the port is in use (Twisted's exception).
        """
        return reactor.listenTCP(port, self, interface=host)


def send_request(address: tuple[str, int], request: dict[str, Any], timeout_s: float = 5.0) -> dict[str, Any]:
    """Send a request to a running broker and wait for its response.

    Raises:
        ControlPortError: no broker answers, or it rejects the request.
    """
    response = _exchange(address, json.dumps(request).encode() + b"\n", timeout_s)
    if not isinstance(response, dict):
        raise ControlPortError(str(response))
    if "fault" in response:
        raise ControlPortError(str(response["fault"]))
    return response


def _exchange(address: tuple[str, int], line: bytes, timeout_s: float) -> Any:
    try:
        with (
            socket.create_connection(address, timeout_s) as connection,
            connection.makefile("rwb") as stream,
        ):
            stream.write(line)
            stream.flush()
            received = stream.readline()
        return json.loads(received) if received else {"fault": "the broker closed the connection"}
    except (OSError, ValueError) as error:
        raise ControlPortError(f"no answer from {address[0]}:{address[1]}: {error}") from error


def _parse_request(line: bytes) -> dict[str, Any]:
    request = json.loads(line)
    if not isinstance(request, dict):
        raise ControlPortError("not a JSON object")
    return request
