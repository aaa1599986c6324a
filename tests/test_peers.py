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
from lotuspick.transport import peers
from lotuspick.transport.peers import MOST_FRAME, MOST_WAITING, Envelope, Hello, Peers

ROOT = Path(__file__).parent.parent
LOOPBACK = """
from twisted.internet import reactor
from lotuspick.membership.model import Ack, Digest
from lotuspick.transport.peers import Peers
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
one, two = Peers(reactor, "127.0.0.1", take), Peers(reactor, "127.0.0.1", take)
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
    def setTcpNoDelay(self, on: bool) -> None:
        pass


class Links(unittest.TestCase):
    def setUp(self) -> None:
        self.reactor = MemoryReactorClock()
        self.heard: list[tuple[str, Any]] = []
        self.peers = Peers(self.reactor, "127.0.0.1", lambda peer, message: self.heard.append((peer, message)))
        self.peers.address = "127.0.0.1:1"

    def dialled(self) -> Any:
        """The dial that is waited for comes up."""
        *_, (host, port, factory, *_rest) = self.reactor.tcpClients
        made = factory.buildProtocol(None)
        made.makeConnection(Pipe())
        return made._wrappedProtocol

    def inbound(self) -> Any:
        made = peers.Inbound(self.peers)
        made.makeConnection(Pipe())
        return made

    def test_frames_on_loopback_keep_their_order(self) -> None:
        done = subprocess.run([sys.executable, "-c", LOOPBACK], cwd=ROOT, capture_output=True, text=True, timeout=60)
        self.assertEqual((done.stdout, done.stderr), ("all in order\n", ""))

    def test_one_dial_a_peer_and_hello_first(self) -> None:
        for number in range(3):
            self.assertTrue(self.peers.send("127.0.0.1:2", Digest(number), True))
        self.assertEqual(len(self.reactor.tcpClients), 1)
        line = self.dialled()
        self.assertEqual(line.transport.value(), framed(Hello("127.0.0.1:1")) + b"".join(
            framed(Digest(number)) for number in range(3)))

    def test_a_slow_peer_costs_its_own_messages_alone(self) -> None:
        self.peers.send("127.0.0.1:2", Digest(0), True)
        line = self.dialled()
        line.pauseProducing()  # its buffers are full
        before = len(line.transport.value())
        taken = sum(self.peers.send("127.0.0.1:2", Digest(number), True) for number in range(MOST_WAITING + 50))
        self.assertEqual((taken, self.peers.counts["refused"]), (MOST_WAITING, 50))
        self.assertEqual(len(line.transport.value()), before)
        self.assertTrue(self.peers.send("127.0.0.1:3", Digest(1), True))
        line.resumeProducing()
        self.assertFalse(self.peers.lines["127.0.0.1:2"].waiting)

    def test_what_waits_goes_out_on_the_next_connection(self) -> None:
        self.peers.send("127.0.0.1:2", Digest(0), True)
        line = self.dialled()
        line.pauseProducing()
        self.peers.send("127.0.0.1:2", Digest(1), True)
        line.connectionLost(Failure(error.ConnectionLost()))
        self.reactor.advance(peers.AGAIN_S)
        self.assertIn(framed(Digest(1)), self.dialled().transport.value())

    def test_a_peer_that_takes_no_connection_is_given_up_and_dialled_for_the_next(self) -> None:
        self.peers.send("127.0.0.1:2", Digest(0), True)
        self.reactor.tcpClients[-1][2].clientConnectionFailed(None, Failure(error.ConnectionRefusedError()))
        self.assertEqual((self.peers.counts["not-dialled"], len(self.peers.lines["127.0.0.1:2"].waiting)), (1, 0))
        self.peers.send("127.0.0.1:2", Digest(1), True)
        self.assertEqual(len(self.reactor.tcpClients), 2)

    def test_what_no_broker_would_send_costs_its_connection(self) -> None:
        spoilt = [framed(Digest(1)), framed(Hello("nowhere")), b"\x00\x00\x00\x01\xc1", (MOST_FRAME + 1).to_bytes(4, "big"),
                  framed({"type": "unheard of"}), framed({"type": "ping", "number": "one"})]
        for each in spoilt:
            with self.subTest(each[:20]):
                made = self.inbound()
                if each is not spoilt[0]:
                    made.dataReceived(framed(Hello("127.0.0.1:2")))
                with self.assertLogs("lotuspick.transport.peers", "WARNING"):
                    made.dataReceived(each)
                self.assertTrue(made.transport.disconnected or made.transport.aborting)
                self.peers._faults.clear()
        self.assertEqual((self.heard, self.peers.counts["malformed"]), ([], len(spoilt)))

    def test_a_newer_schema_is_understood(self) -> None:
        made = self.inbound()
        made.dataReceived(framed({"type": "hello", "address": "127.0.0.1:2", "version": 9, "more": [1]}))
        made.dataReceived(framed({"type": "ack", "number": 3, "of": "b", "news": [], "later": {"x": 1}}))
        self.assertEqual(self.heard, [("127.0.0.1:2", Ack(3, "b"))])

    def test_datagrams_say_who_sent_them_and_are_bounded(self) -> None:
        class Wire:
            sent: list[tuple[bytes, Any]] = []

            def write(self, datagram: bytes, to: Any) -> None:
                self.sent.append((datagram, to))

        self.peers._datagrams.transport = Wire()
        self.assertTrue(self.peers.send("127.0.0.1:2", Ping(4), False))
        self.assertEqual(Wire.sent[0][1], ("127.0.0.1", 2))
        self.peers._datagrams.datagramReceived(msgspec.msgpack.encode(Envelope("127.0.0.1:2", Ping(5))), ("127.0.0.1", 9))
        for spoilt in (b"\xc1", b"x" * 10_000, msgspec.msgpack.encode(Envelope("nowhere", Ping(5)))):
            self.peers._datagrams.datagramReceived(spoilt, ("127.0.0.1", 9))
        self.assertEqual((self.heard, self.peers.counts["malformed"]), ([("127.0.0.1:2", Ping(5))], 3))
        large = Sync([Record(f"b{at}", 1, at, address="127.0.0.1:9") for at in range(400)])
        self.peers.send("127.0.0.1:2", large, False)  # one too large for a datagram goes in order
        self.assertEqual((len(Wire.sent), len(self.reactor.tcpClients)), (1, 1))

    def test_lines_that_carry_nothing_are_let_go(self) -> None:
        self.peers.send("127.0.0.1:2", Digest(0), True)
        line = self.dialled()
        self.reactor.advance(peers.IDLE_S + 1)
        self.peers.sweep()
        self.assertEqual((self.peers.lines, line.transport.disconnecting), ({}, True))


if __name__ == "__main__":
    unittest.main()
