"""A connection whose answer is still in the buffer of its transport must not be evicted.

Guards against a request that an edge server has accepted but that gets no answer because its connection is closed.
Twisted writes the answers of a tick when the socket is next writable. If a new connection was accepted before that, the
viewer's connection had no open request, and it was evicted with the answer unsent. On commit b668c8b the viewer of this
test reads the end of its connection and nothing before it, although the transport's buffer holds the 78 bytes of the
answer before the new connection is accepted.
"""

from __future__ import annotations

import socket
import unittest

from stepped import SteppedBroker
from test_held_up import ANSWER, ID, SETUP, frame

from lotuspick.routing.messages import AttemptAnswered

VIEWER_LIMIT = 32
"""Half of the descriptors."""
PING = b"OPTIONS rtsp://media/ping RTSP/1.0\r\nCSeq: 3\r\nContent-Length: 0\r\n\r\n"


class UnsentAnswers(SteppedBroker):
    descriptors = 2 * VIEWER_LIMIT

    def request(self, session: bytes) -> socket.socket:
        viewer = self.connect()
        viewer.sendall((SETUP % 9_000).replace(ID.hex().encode(), session.hex().encode()))
        return viewer

    def test_connection_with_an_unsent_answer_is_not_evicted(self) -> None:
        viewer = self.request(ID)
        edge = self.accept_edge_connection()
        self.wait_for_bytes(edge, ID)
        others = [self.request(bytes([1, number] * 4)) for number in range(VIEWER_LIMIT - 1)]
        sessions = self.daemon.dispatcher.sessions
        self.run_until(lambda: sessions.open_request_count == len(others) + 1)
        self.daemon.dispatcher.schedule_tick = lambda at_us: None  # from here on only the test runs ticks
        if self.daemon._tick_call.active():
            self.daemon._tick_call.cancel()
        edge.sendall(frame(ANSWER))
        self.run_until(
            lambda: any(isinstance(each, AttemptAnswered) for each in self.daemon.dispatcher.inbox)
        )
        self.stall(0.2)  # the viewer's request is no longer recent
        self.daemon.dispatcher.tick()  # the answer is written to the transport's buffer
        new_viewer = self.connect()
        self.daemon.listener.doRead()  # before the reactor polls for writable sockets
        self.assertEqual(len(self.daemon.rtsp_server.connections), VIEWER_LIMIT + 1)
        self.wait_for_bytes(viewer, b"RTSP/1.0 200 ")
        new_viewer.sendall(PING)
        self.wait_for_bytes(new_viewer, b"RTSP/1.0 200 ")


if __name__ == "__main__":
    unittest.main()
