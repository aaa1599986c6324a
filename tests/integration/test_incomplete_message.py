"""A message of a viewer that stays incomplete while another request on its connection has no answer.

Guards against a request that is lost because its connection is closed: 2 s after the first piece of the next message
the broker withdrew the set-up that was out at an edge server, and closed the connection without an answer.
"""

from __future__ import annotations

import socket
import unittest

from stepped import SteppedBroker
from test_held_up import ANSWER, ID, SETUP, frame

from lotuspick.routing.messages import AttemptAnswered

AFTER_TIMEOUT_S = 2.2
SECOND_ID = bytes.fromhex("0000000000000002")
SECOND = (SETUP % 9_000).replace(ID.hex().encode(), SECOND_ID.hex().encode())
PIECE = 60


class IncompleteMessages(SteppedBroker):
    def begin_second_message(self) -> tuple[socket.socket, socket.socket]:
        """Forward a first request, and send a part of a second; return the connections of viewer and server."""
        viewer = self.connect()
        viewer.sendall(SETUP % 9_000)
        edge = self.accept_edge_connection()
        self.wait_for_bytes(edge, ID)
        self.send_piece(viewer)
        return viewer, edge

    def send_piece(self, viewer: socket.socket) -> None:
        viewer.sendall(SECOND[:PIECE])
        self.run_until(lambda: any(each._has_partial_message for each in self.daemon.rtsp_server.connections))

    def pass_timeout(self) -> None:
        """Let the timeout of the incomplete message pass, and run everything that is due then."""
        self.stall(AFTER_TIMEOUT_S)
        for _ in range(3):
            self.run_timers()
            self.reactor.doIteration(0)

    def test_open_request_keeps_its_connection_and_is_answered(self) -> None:
        viewer, edge = self.begin_second_message()
        for _ in range(2):
            self.pass_timeout()
        edge.sendall(frame(ANSWER))
        self.wait_for_bytes(viewer, b"RTSP/1.0 200 ")

    def test_rest_of_the_message_is_accepted_while_the_connection_is_kept(self) -> None:
        viewer, edge = self.begin_second_message()
        self.pass_timeout()
        viewer.sendall(SECOND[PIECE:])

        self.run_until(lambda: SECOND_ID.hex() in self.daemon.dispatcher.sessions.entries)
        edge.sendall(frame(ANSWER))
        self.wait_for_bytes(viewer, b"RTSP/1.0 200 ")

    def test_connection_is_closed_once_the_request_has_its_answer(self) -> None:
        """Otherwise clients that send a part of a message would keep their connections for good."""
        viewer, edge = self.begin_second_message()
        self.pass_timeout()
        edge.sendall(frame(ANSWER))
        self.wait_for_bytes(viewer, b"RTSP/1.0 200 ")
        self.stall(0.2)  # longer than the interval of the checks
        self.run_until(lambda: not self.daemon.rtsp_server.connections)

    def test_first_request_may_take_two_seconds(self) -> None:
        """Limits on sockets are 50 ms longer. Guards against a close before the last piece of such a request."""
        viewer = self.connect()
        self.send_piece(viewer)
        self.stall(2.05)
        for _ in range(3):
            self.run_timers()
            self.reactor.doIteration(0)
        viewer.sendall(SECOND[PIECE:])
        edge = self.accept_edge_connection()
        self.wait_for_bytes(edge, SECOND_ID)

    def test_request_that_is_still_in_the_inbox_keeps_its_connection(self) -> None:
        self.daemon.dispatcher.schedule_tick = lambda at_us: None  # only the test runs ticks
        self.daemon._tick_call.cancel()
        viewer = self.connect()
        viewer.sendall(SETUP % 9_000)
        self.send_piece(viewer)
        self.pass_timeout()
        self.daemon.dispatcher.tick()
        self.daemon.dispatcher.tick()
        edge = self.accept_edge_connection()
        self.wait_for_bytes(edge, ID)
        edge.sendall(frame(ANSWER))
        self.run_until(
            lambda: any(isinstance(each, AttemptAnswered) for each in self.daemon.dispatcher.inbox)
        )
        self.daemon.dispatcher.tick()
        self.wait_for_bytes(viewer, b"RTSP/1.0 200 ")


if __name__ == "__main__":
    unittest.main()
