"""The link between brokers."""

from __future__ import annotations

import subprocess
import sys
import unittest
from pathlib import Path
from typing import Any

import msgspec
from twisted.internet import error
from twisted.internet.testing import MemoryReactorClock, StringTransport
from twisted.python.failure import Failure

from lotuspick.membership.model import Ack, Digest, Ping, Record, Sync
from lotuspick.transport.peers.frames import MAX_FRAME_BYTES, Envelope, Hello, Numbered
from lotuspick.transport.peers.peer_channel import INITIAL_BACKOFF_S, LINGER_S, MAX_QUEUED_MESSAGES
from lotuspick.transport.peers.peer_connection import HELLO_TIMEOUT_S, PeerConnection
from lotuspick.transport.peers.peer_connections import IDLE_TIMEOUT_S, PeerConnections

ROOT = Path(__file__).parent.parent
LOOPBACK = """
from twisted.internet import reactor
from lotuspick.membership.model import Ack, Digest
from lotuspick.transport.peers.peer_connections import PeerConnections
heard = []
def take(peer, message):
    heard.append((peer, message))
    datagrams = [each for _, each in heard if isinstance(each, Ack)]
    if len(heard) - len(datagrams) == 500 and datagrams:
        assert {peer for peer, _ in heard} == {one.address}
        assert [each.value for _, each in heard if isinstance(each, Digest)] == list(range(500))
        print("all in order"), one.close(), two.close(), reactor.callLater(0.05, reactor.stop)
    elif not datagrams:
        one.send(two.address, Ack(1), False)
one, two = PeerConnections(reactor, "127.0.0.1", take), PeerConnections(reactor, "127.0.0.1", take)
one.listen(), two.listen()
told = 0
def more():
    global told
    while told < 500 and one.send(two.address, Digest(told), True):
        told += 1
    if told < 500:
        reactor.callLater(0.01, more)
more()
reactor.callLater(20, reactor.stop)
reactor.run()
"""


def framed(message: Any) -> bytes:
    body = msgspec.msgpack.encode(message)
    return len(body).to_bytes(4, "big") + body


class Pipe(StringTransport):
    aborting = False

    def setTcpNoDelay(self, on: bool) -> None:
        pass

    def getHandle(self) -> Any:
        return self

    def setsockopt(self, *told: int) -> None:
        pass


def numbered(count: int, first: int = 1) -> bytes:
    return b"".join(framed(Numbered(number, Digest(number))) for number in range(first, first + count))


class Links(unittest.TestCase):
    def setUp(self) -> None:
        self.reactor = MemoryReactorClock()
        self.heard: list[tuple[str, Any]] = []
        self.peers = PeerConnections(
            self.reactor, "127.0.0.1", lambda peer, message: self.heard.append((peer, message))
        )
        self.peers.address = "127.0.0.1:1"

    def dialled(self, greeted: bool = True) -> Any:
        """The dial that is waited for comes up."""
        *_, (host, port, factory, *_rest) = self.reactor.tcpClients
        made = factory.buildProtocol(None)
        made.makeConnection(Pipe())
        if greeted:
            made._wrappedProtocol.dataReceived(framed(Hello(made._wrappedProtocol.channel.peer, 1, 7)))
        return made._wrappedProtocol

    def inbound(self, address: str = "", run: int = 7) -> Any:
        """A connection that a peer has dialled, and on which it has said who it is."""
        made = PeerConnection(self.peers)
        made.makeConnection(Pipe())
        if address:
            made.dataReceived(framed(Hello(address, 1, run)))
        return made

    def say(self, peer: str, number: int) -> bool:
        return self.peers.send(peer, Digest(number), True)

    def test_frames_on_loopback_keep_their_order(self) -> None:
        done = subprocess.run(
            [sys.executable, "-c", LOOPBACK], cwd=ROOT, capture_output=True, text=True, timeout=60
        )
        self.assertEqual((done.stdout, done.stderr), ("all in order\n", ""))

    def test_one_dial_a_peer_and_hello_first(self) -> None:
        for number in range(1, 4):
            self.assertTrue(self.say("127.0.0.1:2", number))
        self.assertEqual(len(self.reactor.tcpClients), 1)
        run = self.peers.channels["127.0.0.1:2"].sequence_id
        hello = framed(Hello("127.0.0.1:1", 1, run))
        made = self.dialled(greeted=False)
        self.assertEqual(made.transport.value(), hello)  # nothing is said to whoever does not say who it is
        made.dataReceived(framed(Hello("127.0.0.1:2")))
        self.assertEqual(made.transport.value(), hello + numbered(3))

    def test_one_connection_carries_both_ways(self) -> None:
        made = self.inbound("127.0.0.1:2")
        self.say("127.0.0.1:2", 1)
        self.assertEqual(self.reactor.tcpClients, [])
        self.assertTrue(made.transport.value().endswith(numbered(1)))
        made.dataReceived(numbered(2))
        self.assertEqual(self.heard, [("127.0.0.1:2", Digest(1)), ("127.0.0.1:2", Digest(2))])

    def test_of_two_that_cross_the_lower_address_stays(self) -> None:
        for peer, mine in (("127.0.0.1:2", True), ("127.0.0.0:9", False)):
            for dialled_first in (True, False):
                with self.subTest(peer=peer, dialled_first=dialled_first):
                    self.setUp()
                    self.say(peer, 1)
                    if dialled_first:
                        own, other = self.dialled(), self.inbound(peer)
                    else:
                        other = self.inbound(peer)
                        if not mine:  # its own attempt would only be given up
                            self.assertTrue(self.reactor.connectors[-1].stoppedConnecting)
                            continue
                        own = self.dialled()
                    stays, goes = (own, other) if mine else (other, own)
                    self.say(peer, 2)
                    self.assertTrue(stays.transport.value().endswith(numbered(1, 2)))
                    goes.dataReceived(framed(Numbered(1, Digest(1))))  # what was under way on it still comes
                    self.assertEqual(self.heard, [(peer, Digest(1))])
                    self.reactor.advance(LINGER_S + 1)
                    self.assertEqual(
                        (goes.transport.disconnecting, stays.transport.disconnecting), (True, False)
                    )

    def test_nothing_is_taken_after_what_came_later(self) -> None:
        one, other = self.inbound("127.0.0.1:2"), self.inbound("127.0.0.1:2")
        other.dataReceived(numbered(1, 2))
        one.dataReceived(numbered(2))
        self.assertEqual((self.heard, self.peers.counts["overtaken"]), ([("127.0.0.1:2", Digest(2))], 2))
        anew = self.inbound(
            "127.0.0.1:2", run=8
        )  # the peer was started anew: what its earlier self says is past
        anew.dataReceived(numbered(1))
        other.dataReceived(numbered(1, 3))
        self.assertEqual(self.heard[1:], [("127.0.0.1:2", Digest(1))])
        self.assertTrue(other.transport.disconnected or other.transport.aborting)

    def test_a_slow_peer_costs_its_own_messages_alone(self) -> None:
        self.say("127.0.0.1:2", 0)
        line = self.dialled()
        line.pauseProducing()  # its buffers are full
        before = len(line.transport.value())
        taken = sum(self.say("127.0.0.1:2", number) for number in range(MAX_QUEUED_MESSAGES + 50))
        self.assertEqual((taken, self.peers.counts["refused"]), (MAX_QUEUED_MESSAGES, 50))
        self.assertEqual(len(line.transport.value()), before)
        self.assertTrue(self.say("127.0.0.1:3", 1))
        line.resumeProducing()
        self.assertFalse(self.peers.channels["127.0.0.1:2"].queue)

    def test_what_waits_goes_out_on_the_next_connection(self) -> None:
        self.say("127.0.0.1:2", 1)
        line = self.dialled()
        line.pauseProducing()
        self.say("127.0.0.1:2", 2)
        line.connectionLost(Failure(error.ConnectionLost()))
        self.reactor.advance(INITIAL_BACKOFF_S)
        self.assertIn(numbered(1, 2), self.dialled().transport.value())

    def test_a_peer_that_takes_no_connection_is_given_up_and_dialled_for_the_next(self) -> None:
        self.say("127.0.0.1:2", 0)
        self.reactor.tcpClients[-1][2].clientConnectionFailed(None, Failure(error.ConnectionRefusedError()))
        self.assertEqual(
            (self.peers.counts["not-dialled"], len(self.peers.channels["127.0.0.1:2"].queue)), (1, 0)
        )
        self.say("127.0.0.1:2", 1)
        self.assertEqual(len(self.reactor.tcpClients), 2)

    def test_a_peer_that_is_gone_is_let_go_and_reached_elsewhere_if_told_so(self) -> None:
        self.say("127.0.0.1:2", 0)
        line = self.dialled()
        self.peers.disconnect("127.0.0.1:2")
        self.assertTrue(line.transport.disconnected or line.transport.aborting)
        self.peers.via = {"127.0.0.1:3": "127.0.0.1:33"}
        self.say("127.0.0.1:3", 0)
        self.assertEqual(self.reactor.tcpClients[-1][:2], ("127.0.0.1", 33))
        with self.assertLogs(
            "lotuspick.transport.peers.peer_connections", "WARNING"
        ):  # another answers at that place
            self.dialled(greeted=False).dataReceived(framed(Hello("127.0.0.1:4")))

    def test_one_that_does_not_say_who_it_is_is_let_go(self) -> None:
        made, told = self.inbound(), self.inbound("127.0.0.1:2")
        self.reactor.advance(HELLO_TIMEOUT_S + 1)
        self.assertTrue(made.transport.disconnected or made.transport.aborting)
        self.assertFalse(told.transport.disconnected or told.transport.aborting)

    def test_what_no_broker_would_send_costs_its_connection(self) -> None:
        spoilt = [
            numbered(1),
            framed(Hello("nowhere")),
            b"\x00\x00\x00\x01\xc1",
            (MAX_FRAME_BYTES + 1).to_bytes(4, "big"),
            framed({"type": "unheard of"}),
            framed({"type": "n", "number": "one"}),
            framed(Hello("127.0.0.1:1")),
        ]
        for each in spoilt:
            with self.subTest(each[:20]):
                made = self.inbound("" if each in (spoilt[0], spoilt[1], spoilt[-1]) else "127.0.0.1:2")
                with self.assertLogs("lotuspick.transport.peers.peer_connections", "WARNING") as logs:
                    made.dataReceived(each)
                [line] = logs.records
                self.assertEqual(line.getMessage(), "peer_message_malformed")
                self.assertTrue(vars(line)["peer"] in ("unknown", "127.0.0.1:2") and vars(line)["error"])
                self.assertTrue(made.transport.disconnected or made.transport.aborting)
                self.peers.logged_errors.clear()
        self.assertEqual((self.heard, self.peers.counts["malformed"]), ([], len(spoilt)))

    def test_a_newer_schema_is_understood(self) -> None:
        made = self.inbound()
        made.dataReceived(framed({"type": "hello", "address": "127.0.0.1:2", "version": 9, "more": [1]}))
        made.dataReceived(
            framed(
                {
                    "type": "n",
                    "number": 1,
                    "more": 2,
                    "message": {"type": "ack", "number": 3, "of": "b", "news": [], "later": {"x": 1}},
                }
            )
        )
        self.assertEqual(self.heard, [("127.0.0.1:2", Ack(3, "b"))])

    def test_datagrams_say_who_sent_them_and_are_bounded(self) -> None:
        class Wire:
            sent: list[tuple[bytes, Any]] = []

            def write(self, datagram: bytes, to: Any) -> None:
                self.sent.append((datagram, to))

        self.peers.datagrams.transport = Wire()
        self.assertTrue(self.peers.send("127.0.0.1:2", Ping(4), False))
        self.assertEqual(Wire.sent[0][1], ("127.0.0.1", 2))
        self.peers.datagrams.datagramReceived(
            msgspec.msgpack.encode(Envelope("127.0.0.1:2", Ping(5))), ("127.0.0.1", 9)
        )
        for spoilt in (b"\xc1", b"x" * 10_000, msgspec.msgpack.encode(Envelope("nowhere", Ping(5)))):
            self.peers.datagrams.datagramReceived(spoilt, ("127.0.0.1", 9))
        self.assertEqual((self.heard, self.peers.counts["malformed"]), ([("127.0.0.1:2", Ping(5))], 3))
        large = Sync([Record(f"b{at}", 1, at, address="127.0.0.1:9") for at in range(400)])
        self.peers.send("127.0.0.1:2", large, False)  # one too large for a datagram goes in order
        self.assertEqual((len(Wire.sent), len(self.reactor.tcpClients)), (1, 1))

    def test_lines_that_carry_nothing_are_let_go(self) -> None:
        self.say("127.0.0.1:2", 0)
        line = self.dialled()
        self.reactor.advance(IDLE_TIMEOUT_S + 1)
        self.peers.close_idle()
        self.assertTrue(line.transport.disconnecting)
        line.connectionLost(Failure(error.ConnectionDone()))
        before = self.peers.channels["127.0.0.1:2"].sequence_id
        self.peers.close_idle()
        self.assertEqual(self.peers.channels, {})
        self.say("127.0.0.1:2", 0)  # its numbers begin anew, and it says so
        self.assertNotEqual(self.peers.channels["127.0.0.1:2"].sequence_id, before)


if __name__ == "__main__":
    unittest.main()
