"""An answer that stops short on a connection to an edge server that was replaced by a newer one.

Guards against a viewer who is not told that its session has ended: the end was sent on the connection of the session's
set-up, which a slow answer had replaced, and which was of no use after an answer that stopped short. Truncated messages
were detected on the current connection only, and no further connection was opened, on which the end is sent again.
"""

from __future__ import annotations

import socket
import unittest
from dataclasses import replace

from scenario import TIMEOUT_S
from stepped import SteppedBroker
from test_held_up import ANSWER, ID, SETUP, frame

SECOND_ID = bytes.fromhex("0000000000000002")
SECOND_ANSWER = frame(ANSWER.replace(ID, SECOND_ID))
SECOND_SETUP = (SETUP % 9_000).replace(ID.hex().encode(), SECOND_ID.hex().encode())
RELEASE = frame(b"\x0c" + ID + b"\x80\x00\x01\x10")
SLOW_ANSWER_S = 0.4
TRUNCATED_AFTER_S = 0.3
NEVER_ANSWERED_S = 3.1


class ReplacedConnections(SteppedBroker):
    def setUp(self) -> None:
        """Start the broker; as with messages on the other connections, no server is checked for silence."""
        super().setUp()
        pool = self.daemon.edge_pool
        pool.limits = replace(pool.limits, silence_timeout_s=2 * TIMEOUT_S)

    def replace_connection(self) -> tuple[socket.socket, socket.socket]:
        """Let a session play, and a second set-up on its connection stay unanswered; return viewer and connection."""
        viewer = self.connect()
        viewer.sendall(SETUP % 9_000)
        first = self.accept_edge_connection()
        self.wait_for_bytes(first, ID)
        first.sendall(frame(ANSWER))
        self.wait_for_bytes(viewer, b"RTSP/1.0 200 ")
        viewer.sendall(SECOND_SETUP)
        self.wait_for_bytes(first, SECOND_ID)
        self.stall(SLOW_ANSWER_S)
        self.accept_edge_connection()
        return viewer, first

    def test_end_of_a_session_reaches_its_viewer_after_a_truncated_answer(self) -> None:
        viewer, replaced = self.replace_connection()
        replaced.sendall(SECOND_ANSWER[:7])
        [client] = self.daemon.edge_pool.clients.values()
        self.run_until(lambda: client.replaced and client.replaced[0].partial_message_since_s)
        self.stall(TRUNCATED_AFTER_S)
        new = self.accept_edge_connection()
        new.sendall(RELEASE)
        self.wait_for_bytes(viewer, b"TEARDOWN ")

    def test_end_of_a_session_reaches_its_viewer_after_a_reset(self) -> None:
        viewer, replaced = self.replace_connection()
        replaced.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\x00\x00\x00\x00\x00\x00\x00")
        replaced.close()
        new = self.accept_edge_connection()
        new.sendall(RELEASE)
        self.wait_for_bytes(viewer, b"TEARDOWN ")

    def test_end_of_a_session_reaches_its_viewer_while_an_answer_never_arrives(self) -> None:
        viewer, _ = self.replace_connection()
        self.stall(NEVER_ANSWERED_S)
        new = self.accept_edge_connection()
        new.sendall(RELEASE)
        self.wait_for_bytes(viewer, b"TEARDOWN ")

    def test_slow_answer_that_is_complete_is_accepted_on_the_replaced_connection(self) -> None:
        viewer, replaced = self.replace_connection()
        replaced.sendall(SECOND_ANSWER[:7])
        [client] = self.daemon.edge_pool.clients.values()
        self.run_until(lambda: client.replaced and client.replaced[0].partial_message_since_s)
        replaced.sendall(SECOND_ANSWER[7:])
        self.wait_for_bytes(viewer, SECOND_ID.hex().encode())


if __name__ == "__main__":
    unittest.main()
