"""Requests carry the connection that they came from, over RTSP and HTTP.

Guards against requests of one client that delay those of all others: the decisions let connections take turns.
"""

from __future__ import annotations

import socket
from unittest.mock import patch

import test_held_up
from stepped import SteppedBroker

from lotuspick.routing.messages import InboundMessage, SessionRequested


class RequestSources(SteppedBroker):
    hints = True

    def sources_of(self, request: bytes, connections: list[socket.socket]) -> list[str]:
        """Send the request on each connection, under an id of its own; return the sources of the requests."""
        sources: list[str] = []
        post = self.daemon.dispatcher.post

        def record(message: InboundMessage) -> None:
            if isinstance(message, SessionRequested):
                sources.append(message.request.source)
            post(message)

        with patch.object(self.daemon.dispatcher, "post", record):
            for number, connection in enumerate(connections, 1):
                connection.sendall(request.replace(b"0000000000000001", b"%016x" % number))
                self.run_until(lambda number=number: len(sources) == number)  # type: ignore[misc]
        return sources

    def test_rtsp_requests_name_their_connection(self) -> None:
        first, second = self.connect(), self.connect()
        names = ["{}:{}".format(*connection.getsockname()) for connection in (first, first, second)]
        self.assertEqual(self.sources_of(test_held_up.SETUP % 9_000, [first, first, second]), names)

    def test_http_requests_name_their_connection(self) -> None:
        port = self.daemon.components[0].listener.getHost().port
        first, second = self.connect(port), self.connect(port)
        names = ["{}:{}".format(*connection.getsockname()) for connection in (first, second)]
        self.assertEqual(self.sources_of(test_held_up.StallsOverHttp.POST, [first, second]), names)
