"""Viewer connections that the broker or the peer closes while data arrives on them."""

from __future__ import annotations

import re
import socket
import struct
import unittest
from typing import Any
from unittest.mock import Mock

from scenario import Broker, Scenario, World
from stepped import SteppedBroker
from test_held_up import ANSWER, ID, SETUP, frame
from test_scenario_input import MalformedInput
from twisted.internet import error
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport
from twisted.python.failure import Failure

from lotuspick.protocol import rtsp
from lotuspick.routing.messages import AttemptAnswered, SessionRequested, ViewerConnectionClosed
from lotuspick.routing.termination import TerminationReason
from lotuspick.transport.rtsp.rtsp_connection import WRITE_TIMEOUT_S, RtspConnection
from lotuspick.transport.rtsp.rtsp_server import RtspServer
from lotuspick.transport.sockets import readable

OTHER = bytes.fromhex("0000000000000002")
CAPACITY = {"PlacesByKind": [100], "WeightKb": 100_000.0}


class ConnectionLimit(Scenario):
    def test_new_connections_wait_and_are_served_if_none_can_be_evicted(self) -> None:
        """Half of 64 descriptors allow 32 viewers and 4 connections of headroom; each has an open set-up."""
        burst = "\n".join(
            f"v{each} send SETUP s{each} kind=exam time_left=15000\ne0 expect SETUP s{each}"
            for each in range(1, 37)
        )
        self.play(
            burst
            + """
            v37 send SETUP s37 kind=exam time_left=15000
            v38 send SETUP s38 kind=exam time_left=15000
            e0 expect NOTHING
            e0 send ANSWER s1 body=one
            v1 expect 200 s1
            v1 close
            e0 expect SETUP s37
            e0 send ANSWER s37 body=late
            v37 expect 200 s37 body=late
            v37 close
            e0 expect SETUP s38
        """,
            limits={"sockets": 64},
            family=CAPACITY,
            rules={"StreamsPerConn": 64},
        )

    def test_waiting_connections_are_accepted_before_a_shutdown(self) -> None:
        burst = "\n".join(
            f"v{each} send SETUP s{each} kind=exam time_left=9000\ne0 expect SETUP s{each}"
            for each in range(1, 37)
        )
        answers = "\n".join(
            f"e0 send ANSWER s{each} body=x\nv{each} expect 200 s{each}\ne0 send RELEASE s{each} cause=16\n"
            f"v{each} expect TEARDOWN s{each}\nv{each} close"
            for each in range(1, 37)
        )
        self.play(
            burst
            + """
            v37 send SETUP s37 kind=exam time_left=9000
            b send TERM
            b expect LINE msg=shutdown_started
        """
            + answers
            + """
            e0 expect SETUP s37
            e0 send ANSWER s37 body=late
            v37 expect 200 s37 body=late
        """,
            limits={"sockets": 64},
            family=CAPACITY,
            rules={"StreamsPerConn": 64},
        )


class Backpressure(Scenario):
    def test_set_up_of_a_viewer_that_disconnects_under_backpressure_is_cancelled(self) -> None:
        for how in ("close", "close reset", "close half"):
            with self.subTest(how):
                self.play(f"""
                    v1 send SETUP s1 kind=exam time_left=60000
                    e0 expect OPENED
                    e0 expect SETUP s1
                    v1 send RAW {MalformedInput.BAD_SET_UP * 800!r}
                    v1 expect 400
                    v1 {how}
                    e0 expect RELEASE s1 cause=16
                """)


class BrokerWithUnreadLog(Broker):
    """A broker whose log is not read once it serves: the pipe fills up, and further writes block."""

    def read_log(self) -> None:
        assert self.process.stderr is not None
        while not (
            match := re.search(r"msg=serving .*listen=127\.0\.0\.1:(\d+)", self.process.stderr.readline())
        ):
            pass
        self.receive("serving", "", {"port": match[1]})


class DuplicateFloods(unittest.TestCase):
    def test_duplicate_floods_with_an_unread_log_do_not_block_other_viewers(self) -> None:
        world = World()
        self.addCleanup(world.end)
        world.broker.process.kill()
        world.broker.expect("EXIT", "", {})
        world.broker = world.actors["b"] = BrokerWithUnreadLog(world, world.command, world.environment)
        world.rtsp_address = ("127.0.0.1", world.broker.wait_for_port())
        copy = SETUP % 9_000
        for flood in range(1, 9):
            copies = copy.replace(ID.hex().encode(), b"%016x" % (100 + flood)) * 200
            world.play(f"""
                v{flood} send RAW {copies!r}
                v{flood} expect 400 reason=~twice
                v{flood} expect CLOSED
            """)
        world.play("""
            v20 send SETUP s1 home=3 kind=exam time_left=1500
            v20 expect 453 s1
        """)


class UnreadCloses(SteppedBroker):
    """The peer closes, and the close is unread when the broker writes to the connection."""

    def test_set_up_written_to_a_closed_server_is_answered_once_and_runs_once(self) -> None:
        for reset, kind, answer in (
            (False, b"exam", b" 500 "),
            (True, b"exam", b" 500 "),
            (False, b"clip", b" 453 "),
        ):
            with self.subTest(reset=reset, kind=kind):
                self.doCleanups()
                self.setUp()
                viewer, second = self.connect(), self.connect()
                viewer.sendall(SETUP % 9_000)
                edge = self.accept_edge_connection()
                self.wait_for_bytes(edge, ID)
                edge.sendall(frame(ANSWER))
                self.wait_for_bytes(viewer, b" 200 ")
                second.sendall(
                    (SETUP % 2_000).replace(b"exam", kind).replace(b"0000000000000001", OTHER.hex().encode())
                )
                self.run_until(
                    lambda: any(isinstance(each, SessionRequested) for each in self.daemon.dispatcher.inbox)
                )
                if reset:
                    edge.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                edge.close()
                self.daemon.dispatcher.tick()  # before the close is read
                self.assertIn(OTHER.hex(), self.daemon.edge_pool.clients["s-e0"].sent_attempts)
                redialed = self.accept_edge_connection()  # the broker dials again for the session that plays
                self.wait_for_bytes(second, answer)
                redialed.settimeout(0.0)
                self.assertNotIn(
                    b"\x01" + OTHER, redialed.recv(65536) if readable(redialed.fileno()) else b""
                )

    def test_session_plays_on_if_its_answer_is_written_to_a_closed_viewer(self) -> None:
        for reset in (False, True):
            with self.subTest(reset=reset):
                self.doCleanups()
                self.setUp()
                viewer, second = self.connect(), self.connect()
                viewer.sendall(SETUP % 9_000)
                edge = self.accept_edge_connection()
                self.wait_for_bytes(edge, ID)
                edge.sendall(frame(ANSWER))
                self.run_until(
                    lambda: any(isinstance(each, AttemptAnswered) for each in self.daemon.dispatcher.inbox)
                )
                if reset:
                    viewer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                viewer.close()
                self.daemon.dispatcher.tick()  # the answer is written before the close is read
                self.run_until(lambda: len(self.daemon.rtsp_server.connections) == 1)
                self.run_until(lambda: not self.daemon.dispatcher.inbox)
                self.assertTrue(
                    self.daemon.dispatcher.sessions.entries[ID.hex()].is_playing,
                    "a session is not bound to a connection",
                )
                edge.sendall(frame(b"\x0c" + ID + b"\x80\x00\x01\x10"))
                self.wait_for_bytes(second, b"TEARDOWN")  # its end is notified on another connection
                self.assertEqual(self.daemon.dispatcher.sessions.entries, {})


class FakeTransport(StringTransport):
    """A fake transport that is closed only by the test."""

    aborted = False

    def setTcpNoDelay(self, on: bool) -> None:  # noqa: N802  # Twisted's name
        pass

    def getHandle(self) -> Any:  # noqa: N802  # Twisted's name
        return Mock()

    def fileno(self) -> int:
        return -1

    def abortConnection(self) -> None:  # noqa: N802  # Twisted's name
        self.aborted = True

    def loseWriteConnection(self) -> None:  # noqa: N802  # Twisted's name
        pass


class ConnectionEnds(unittest.TestCase):
    def setUp(self) -> None:
        self.clock, self.posted = Clock(), list[Any]()
        self.server = RtspServer(
            self.clock,
            self.posted.append,
            lambda: True,
            rtsp.SetUpLimits(frozenset(), 1, 1),
            64,
            lambda maximum: [],
            lambda viewer: False,
        )

    def connect(self) -> RtspConnection:
        viewer = self.server.buildProtocol(None)
        viewer.makeConnection(FakeTransport())
        self.posted.clear()
        return viewer

    def test_closing_connection_is_aborted_if_its_peer_does_not_read(
        self,
    ) -> None:
        viewer = self.connect()
        viewer.pauseProducing()
        viewer.dataReceived(b"NONSENSE\r\n")
        self.assertEqual(self.posted, [ViewerConnectionClosed(viewer)])
        self.assertIsNone(viewer.transport.producer)  # the transport closes only without a producer
        viewer.resumeProducing()
        viewer.pauseProducing()
        self.assertEqual((viewer.is_open, viewer.transport.aborted), (False, False))
        self.clock.advance(WRITE_TIMEOUT_S)
        self.assertTrue(viewer.transport.aborted)
        viewer.connectionLost(Failure(error.ConnectionAborted()))
        self.assertEqual(
            (self.posted, self.server.connections, self.server.closing),
            ([ViewerConnectionClosed(viewer)], {}, set()),
        )

    def test_closed_connection_has_no_timer_and_is_reported_once(self) -> None:
        for action in (
            lambda viewer: None,
            lambda viewer: viewer.dataReceived(b"OPTIONS x"),
            lambda viewer: viewer.pauseProducing(),
            lambda viewer: viewer.dataReceived(MalformedInput.BAD_SET_UP * 9),
            lambda viewer: viewer.dataReceived(b"x\r\n"),
            lambda viewer: viewer.drop(TerminationReason.CONNECTION_LIMIT),
            lambda viewer: viewer.stop_sending(),
        ):
            viewer = self.connect()
            action(viewer)
            viewer.connectionLost(Failure(error.ConnectionDone()))
            self.clock.advance(1.0)  # the count of dropped connections is logged
            self.assertEqual(
                (self.clock.getDelayedCalls(), self.posted), ([], [ViewerConnectionClosed(viewer)])
            )


if __name__ == "__main__":
    unittest.main()
