"""Unit tests of the RTSP server and its connections, on a fake clock."""

from __future__ import annotations

import unittest
from typing import Any
from unittest.mock import Mock, patch

from twisted.internet import error
from twisted.internet.task import Clock
from twisted.python.failure import Failure

from lotuspick.protocol import rtsp
from lotuspick.transport.rtsp.rtsp_connection import BACKPRESSURE_S, MALFORMED_LIMIT, RtspConnection
from lotuspick.transport.rtsp.rtsp_server import ACCEPT_RETRY_S, HEADROOM_DIVISOR, RtspServer

LIMIT = 16
MALFORMED = (
    f"SETUP {rtsp.BASE_URL}x {rtsp.VERSION}\r\nCSeq: 1\r\nContent-Length: 0\r\n\r\n".encode()
)  # no session


class Servers(unittest.TestCase):
    def setUp(self) -> None:
        self.clock, self.posted = Clock(), list[Any]()
        self.server = RtspServer(
            self.clock,
            self.posted.append,
            lambda: True,
            rtsp.SetUpLimits(frozenset(), 1, 1),
            LIMIT,
            lambda maximum: [],
            lambda viewer: False,
        )

    def connect(self) -> RtspConnection:
        connection = self.server.buildProtocol(None)
        connection.makeConnection(Mock(fileno=Mock(return_value=-1), disconnecting=False))
        return connection

    def test_accepting_pauses_at_the_headroom_and_resumes_once_a_connection_closes(self) -> None:
        port: Any = Mock(connected=True)
        self.server.port = port
        connections = [self.connect() for _ in range(LIMIT + LIMIT // HEADROOM_DIVISOR - 1)]
        port.stopReading.assert_not_called()
        connections.append(self.connect())
        port.stopReading.assert_called_once_with()
        self.clock.advance(ACCEPT_RETRY_S)
        port.startReading.assert_not_called()
        connections[0].connectionLost(Failure(error.ConnectionDone()))
        port.startReading.assert_called_once_with()

    def test_ended_connection_is_closing_until_its_socket_is_closed(self) -> None:
        connection = self.connect()
        connection.stop_sending()
        self.assertEqual((set(self.server.connections), self.server.closing), ({connection}, {connection}))
        connection.connectionLost(Failure(error.ConnectionDone()))
        self.assertEqual((self.server.connections, self.server.closing), ({}, set()))

    def test_input_that_is_read_while_a_connection_closes_is_discarded(self) -> None:
        """Guards against a traceback that ended the connection before its output was sent.

        Twisted reads on until a closing connection has sent its output. The rest of a flood was taken for the body of
        a message without a head.
        """
        connection = self.connect()
        connection.dataReceived(b"TEARDOWN rtsp://media/a RTSP/1.0\r\nCSeq: 2\r\nContent-Length: 4\r\n\r\nof")
        connection.close_after_flush()
        self.posted.clear()
        for _ in range(2):
            connection.dataReceived(b"\r\n" + MALFORMED)
        self.assertEqual(self.posted, [])

    def test_malformed_messages_over_the_limit_pause_reading(self) -> None:
        connection = self.connect()
        connection.dataReceived(MALFORMED * MALFORMED_LIMIT)
        connection.transport.pauseProducing.assert_not_called()
        connection.dataReceived(MALFORMED * 3)
        connection.transport.pauseProducing.assert_called_once_with()
        self.assertEqual(connection.transport.write.call_count, MALFORMED_LIMIT + 1)
        self.assertEqual(connection.poll_descriptor, -1)
        self.clock.advance(BACKPRESSURE_S)
        self.assertEqual(connection.transport.write.call_count, MALFORMED_LIMIT + 2)

    def test_viewer_that_closed_under_backpressure_is_dropped(self) -> None:
        connection = self.connect()
        connection.dataReceived(MALFORMED * (MALFORMED_LIMIT + 1))
        with patch("lotuspick.transport.rtsp.rtsp_connection.closed_by_peer", return_value=True):
            self.clock.advance(BACKPRESSURE_S)
        connection.transport.abortConnection.assert_called_once_with()
        self.assertFalse(connection.is_open)


if __name__ == "__main__":
    unittest.main()
