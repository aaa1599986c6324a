"""A viewer leaves as its paid set-up is answered, and sends it again under the same id on a new connection.

Guards against an id that runs twice. Beside usual traffic 4 to 5 of 200 ids were set up twice, on the same edge server
or on two, where the edge server's answer and the end of the viewer's connection crossed.
"""

from __future__ import annotations

import socket

from stepped import SteppedBroker
from test_held_up import ANSWER, ID, SETUP, frame
from test_unread_leave import POST, leave

FAILED = b" 500 "
RELEASE = b"\x0c" + ID + b"\x80\x00\x01\x10"  # cause 16: the session has come to its end


class SameIdAgain(SteppedBroker):
    hints = True

    def front_port(self, request: bytes) -> int:
        is_http = request is POST
        return int(self.daemon.components[0].listener.getHost().port if is_http else self.port)

    def forward(self, request: bytes) -> tuple[socket.socket, socket.socket]:
        """Send the request until its edge server has it; return the connections of viewer and edge server."""
        viewer = self.connect(self.front_port(request))
        viewer.sendall(request)
        edge = self.accept_edge_connection()
        self.wait_for_bytes(edge, ID)
        return viewer, edge

    def assert_second_fails(self, request: bytes, edge: socket.socket) -> None:
        """Send the request again; it fails, and the edge server gets no second set-up."""
        again = self.connect(self.front_port(request))
        again.sendall(request)
        self.wait_for_bytes(again, FAILED)
        edge.settimeout(0.0)
        try:
            received = edge.recv(65_536)
        except BlockingIOError:
            received = b""
        self.assertNotIn(b"\x01" + ID, received, "a second set-up")

    def test_answer_after_the_leave(self) -> None:
        for request in (SETUP % 9_000, POST):
            for how in ("close", "reset"):
                with self.subTest(request=request[:5], how=how):
                    self.doCleanups()
                    self.setUp()
                    viewer, edge = self.forward(request)
                    leave(viewer, how)
                    self.run_until(lambda: not self.daemon.dispatcher.sessions.entries)
                    edge.sendall(frame(ANSWER))
                    self.run_until(lambda: ID.hex() not in self.daemon.dispatcher.lifecycle.indeterminate)
                    self.assert_second_fails(request, edge)

    def test_answer_and_leave_in_one_tick(self) -> None:
        for request in (SETUP % 9_000, POST):
            with self.subTest(request=request[:5]):
                self.doCleanups()
                self.setUp()
                viewer, edge = self.forward(request)
                edge.sendall(frame(ANSWER))
                leave(viewer, "reset")
                while len(self.daemon.dispatcher.inbox) < 2:
                    self.reactor.doIteration(0.01)
                self.run_until(lambda: not self.daemon.dispatcher.inbox)
                self.run_until(lambda: self.daemon.dispatcher.sessions.open_request_count == 0)
                self.assert_second_fails(request, edge)

    def resolve_by_answer(self, edge: socket.socket) -> None:
        """Let the edge server answer the withdrawn set-up, and wait until the broker knows that it ran."""
        edge.sendall(frame(ANSWER))
        self.run_until(lambda: ID.hex() not in self.daemon.dispatcher.lifecycle.indeterminate)

    def test_answer_after_the_brokers_own_close(self) -> None:
        viewer, edge = self.forward(SETUP % 9_000)
        viewer.sendall(b"no message\r\n")
        self.run_until(lambda: not self.daemon.dispatcher.sessions.entries)
        self.resolve_by_answer(edge)
        self.assert_second_fails(SETUP % 9_000, edge)

    def test_session_whose_connection_was_evicted(self) -> None:
        viewer, edge = self.forward(SETUP % 9_000)
        edge.sendall(frame(ANSWER))
        self.wait_for_bytes(viewer, b" 200 ")
        [connection] = self.daemon.rtsp_server.connections
        connection.evict()
        self.run_until(lambda: not self.daemon.rtsp_server.connections)
        self.assert_second_fails(SETUP % 9_000, edge)  # it still plays
        edge.sendall(frame(RELEASE))
        self.run_until(lambda: not self.daemon.dispatcher.sessions.entries)
        self.assert_second_fails(SETUP % 9_000, edge)

    def test_set_up_that_a_shutdown_answered(self) -> None:
        for request in (SETUP % 9_000, POST):
            with self.subTest(request=request[:5]):
                self.doCleanups()
                self.setUp()
                viewer, edge = self.forward(request)
                self.daemon.dispatcher.stop_admitting()
                self.daemon.dispatcher.answer_open_requests()
                self.wait_for_bytes(viewer, FAILED)
                self.resolve_by_answer(edge)
                self.assert_second_fails(request, edge)

    def test_session_that_was_handed_over(self) -> None:
        viewer = self.connect()
        viewer.sendall((SETUP % 9_000).replace(b"top:2", b"top:2;at:s-e0"))
        edge = self.accept_edge_connection()
        edge.sendall(frame(RELEASE))
        self.wait_for_bytes(viewer, b"TEARDOWN ")
        self.assert_second_fails(SETUP % 9_000, edge)
