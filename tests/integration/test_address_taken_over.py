"""A process of an edge server dies, and a server with a new id comes up at its address before the list says so.

Guards against work at the wrong process: the new one was taken for the old one. What played at the old process stood for
good, since the new one answered on the connection, and what was set up meanwhile played on under the old id.
"""

from __future__ import annotations

import contextlib
import socket
import struct

from stepped import SteppedBroker, address
from test_held_up import ANSWER, ID, SETUP, frame

from lotuspick.core.events import EndpointState, ServerEntry, ServerListUpdate
from lotuspick.protocol.endpoint_events import Change
from lotuspick.transport.sockets import now_us

SECOND_ID = bytes.fromhex("0000000000000002")
THIRD_ID = bytes.fromhex("0000000000000003")
RELEASE = b"\x0c"


def reset(connection: socket.socket) -> None:
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    connection.close()


class AddressTakenOver(SteppedBroker):
    new_started_us = 0

    def set_up(self, viewer: socket.socket, edge: socket.socket | None, session: bytes) -> socket.socket:
        viewer.sendall((SETUP % 9_000).replace(ID.hex().encode(), session.hex().encode()))
        edge = edge or self.accept_edge_connection()
        self.wait_for_bytes(edge, b"\x01" + session)
        return edge

    def wait_for_all(self, connection: socket.socket, texts: list[bytes]) -> None:
        """Run the reactor until the broker has sent all texts on this connection."""
        received = bytearray()

        def has_received() -> bool:
            with contextlib.suppress(BlockingIOError):
                received.extend(connection.recv(65_536))
            return all(text in received for text in texts)

        self.run_until(has_received)

    def list_new_server(self, *, removed_first: bool) -> None:
        host, _, port = address(self.edge).partition(":")
        servers = [ServerEntry("s-new", "a", "box", 1, started_us=self.new_started_us)]
        if removed_first:
            servers.insert(0, ServerEntry("s-e0", "a", "box", 0, EndpointState.GONE))
        change = Change(2, ServerListUpdate(servers), {"s-new": (host, int(port))})
        self.daemon._apply_endpoint_change(change)

    def test_sessions_end_once_the_list_names_the_new_server(self) -> None:
        for removed_first in (False, True):
            with self.subTest(removed_first=removed_first):
                self.doCleanups()
                self.setUp()
                viewer = self.connect()
                old = self.set_up(viewer, None, ID)
                old.sendall(frame(ANSWER))
                self.wait_for_bytes(viewer, b" 200 ")
                self.new_started_us = now_us()
                reset(old)
                new = self.accept_edge_connection()
                self.run_until(lambda: not self.daemon.edge_pool.dialing)
                self.list_after_set_ups(viewer, new, removed_first)

    def list_after_set_ups(self, viewer: socket.socket, new: socket.socket, removed_first: bool) -> None:
        """Set up a session at the new process, leave a set-up open there, and update the list."""
        self.set_up(viewer, new, SECOND_ID)
        new.sendall(frame(ANSWER.replace(ID, SECOND_ID)))
        self.wait_for_bytes(viewer, b" 200 ")
        self.set_up(viewer, new, THIRD_ID)
        self.list_new_server(removed_first=removed_first)
        dispatcher = self.daemon.dispatcher
        dispatcher.tick()
        self.assertEqual(dispatcher.sessions.entries, {})
        self.wait_for_all(
            viewer, [b"Session: " + session.hex().encode() for session in (ID, SECOND_ID, THIRD_ID)]
        )
        self.wait_for_all(new, [RELEASE + session for session in (SECOND_ID, THIRD_ID)])
        self.stall(2.0)
        self.run_until(lambda: not self.daemon.edge_pool.connections)
