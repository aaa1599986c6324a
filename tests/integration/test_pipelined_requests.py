"""Data that follows an HTTP set-up without a response, on the same connection.

Guards against a set-up that is lost: over 16 KiB of it aborted the connection while the set-up was out at a server.
"""

from __future__ import annotations

import socket
import unittest

from stepped import SteppedBroker
from test_held_up import ANSWER, ID, frame
from test_unread_leave import LEAVES, POST, leave

READY = b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n"
REQUESTS = 1_000
RELEASE_CODE = b"\x0c"


class PipelinedRequests(SteppedBroker):
    hints = True

    def set_up(self) -> tuple[socket.socket, socket.socket]:
        """Forward a set-up that more requests follow than are buffered; return the connections."""
        player = self.connect(self.daemon.components[0].listener.getHost().port)
        player.sendall(POST + READY * REQUESTS)
        edge = self.accept_edge_connection()
        self.wait_for_bytes(edge, ID)
        [channel] = self.daemon.components[0].site.channels
        self.run_until(lambda: channel._is_full)
        return player, edge

    def test_set_up_and_the_requests_after_it_are_answered(self) -> None:
        player, edge = self.set_up()
        edge.sendall(frame(ANSWER))
        player.settimeout(0.0)
        received = bytearray()

        def answers() -> int:
            try:
                received.extend(player.recv(65_536))
            except BlockingIOError:
                return received.count(b"HTTP/1.1 200 ")
            return 0

        self.run_until(lambda: answers() == 1 + REQUESTS)
        self.assertIn(b"good", received)

    def test_player_that_leaves_is_noticed_while_its_connection_is_not_read(self) -> None:
        for how in LEAVES:
            with self.subTest(how):
                self.doCleanups()
                self.setUp()
                player, edge = self.set_up()
                leave(player, how)
                self.wait_for_bytes(edge, RELEASE_CODE + ID)
                self.run_until(lambda: not self.daemon.components[0].site.channels)

    def test_connection_that_ends_leaves_no_timer(self) -> None:
        player, _ = self.set_up()
        [channel] = self.daemon.components[0].site.channels
        check = channel._close_check
        self.assertTrue(check.active())
        leave(player, "reset")
        self.run_until(lambda: not self.daemon.components[0].site.channels)
        self.assertFalse(check.active())


if __name__ == "__main__":
    unittest.main()
