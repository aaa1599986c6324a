"""Eviction of viewer connections in favour of new ones."""

from __future__ import annotations

import unittest
from collections.abc import Callable
from dataclasses import asdict
from typing import Any
from unittest.mock import Mock

from helpers import request
from twisted.internet import error
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport
from twisted.python.failure import Failure

from lotuspick.core.events import (
    SessionPlaying,
)
from lotuspick.routing.dispatcher import SessionDispatcher
from lotuspick.routing.messages import (
    SessionRequested,
    ViewerConnectionOpened,
)
from lotuspick.transport.rtsp.rtsp_connection import RtspConnection
from lotuspick.transport.rtsp.rtsp_server import RtspServer


def make_dispatcher(clock: Callable[[], int]) -> SessionDispatcher:
    """Return a dispatcher with a decision module that returns no actions."""
    decisions = Mock(handle=Mock(return_value=[]))
    return SessionDispatcher(decisions, Mock(), clock, lambda at: None, 1_000, frozenset({"clip"}))


class ViewerEviction(unittest.TestCase):
    """Selection and closing of the connections to evict."""

    def test_idle_connections_are_closed_many_at_once_and_shared_ones_one_by_one(self) -> None:
        now = [0]
        dispatcher = make_dispatcher(lambda: now[0])
        shared = [
            Mock(is_open=True, is_closed_by_viewer=False, last_message_us=1 + number) for number in range(3)
        ]
        burst = [Mock(is_open=True, is_closed_by_viewer=False, last_message_us=0) for _ in range(40)]
        for viewer in shared:
            dispatcher.post(ViewerConnectionOpened(viewer))
            for number in range(4):
                dispatcher.post(
                    SessionRequested(
                        SessionPlaying(**asdict(request(f"{id(viewer)}-{number}")), server="s0"),
                        viewer=viewer,
                    )
                )
        dispatcher.tick()
        self.assertEqual(dispatcher.eviction_candidates(8), [], "their next request may be in transit")
        now[0] = 1_000_000
        self.assertEqual(dispatcher.eviction_candidates(8), shared[:1])
        self.assertEqual(dispatcher.eviction_candidates(8), [], "at most one shared connection a second")
        for viewer in burst:
            dispatcher.post(ViewerConnectionOpened(viewer))
        dispatcher.tick()
        self.assertEqual(dispatcher.eviction_candidates(8), burst[:8])
        dispatcher.post(
            SessionRequested(request("new"), viewer=burst[0])
        )  # its request is still in the inbox
        self.assertEqual(dispatcher.eviction_candidates(8), burst[1:9])
        for number, viewer in enumerate(burst):
            viewer.last_message_us = now[0] - number  # an OPTIONS request only
        self.assertEqual(
            dispatcher.eviction_candidates(8),
            [],
            "connections with any recent message are not evicted",
        )
        now[0] += 1_000_000
        self.assertEqual(
            dispatcher.eviction_candidates(8), burst[:-9:-1], "the longest without a message is evicted first"
        )

    def test_closing_connections_count_as_free_capacity_for_new_ones_of_one_poll(self) -> None:
        class FakeTransport(StringTransport):
            is_shut_down = False

            def setTcpNoDelay(self, on: bool) -> None:  # noqa: N802  # Twisted's name
                pass

            def fileno(self) -> int:
                return -1

            def getHandle(self) -> Any:  # noqa: N802  # Twisted's name
                return Mock(shutdown=lambda how: setattr(self, "is_shut_down", True))

            def abortConnection(self) -> None:  # noqa: N802  # Twisted's name
                """Do nothing: the reactor reports the end of the connection in its next iteration."""

        def connect() -> RtspConnection:
            viewer = rtsp_server.buildProtocol(None)
            viewer.makeConnection(FakeTransport())
            return viewer

        rtsp_server = RtspServer(
            Clock(),
            lambda item: None,
            lambda: True,
            Mock(),
            64,
            lambda limit: [each for each in rtsp_server.connections if each.is_open][:limit],
            lambda viewer: False,
        )
        earlier = [connect() for _ in range(64)]
        later = [connect() for _ in range(3)]
        closed = [each for each in earlier if not each.is_open]
        self.assertEqual(len(closed), 3, "three for the first new connection, none for the others")
        self.assertTrue(
            all(each.transport.is_shut_down for each in closed), "their sockets are shut down immediately"
        )
        for each in closed:
            each.connectionLost(Failure(error.ConnectionAborted()))
        self.assertEqual(
            (len(rtsp_server.connections), rtsp_server.closing, [each.is_open for each in later]),
            (64, set(), [True] * 3),
        )
