"""The coordinator's feed on a clock and sockets of its own."""

from __future__ import annotations

import json
import unittest
from typing import Any

from twisted.internet import error
from twisted.internet.testing import MemoryReactorClock, StringTransport
from twisted.python.failure import Failure

from lotuspick.protocol.faults import MOST_ANSWER
from lotuspick.transport.coordinator import AGAIN_S, GRACE_S, WAIT_MS, Feed

OK = b"HTTP/1.1 200 OK\r\n"


def news(index: int, size: int = 0) -> bytes:
    return json.dumps({"index": index, "updates": [], "pad": "x" * size}).encode()


def whole(body: bytes, head: bytes = OK) -> bytes:
    return head + b"Content-Length: %d\r\n\r\n%s" % (len(body), body)


class Feeds(unittest.TestCase):
    def setUp(self) -> None:
        self.reactor = MemoryReactorClock()
        self.feed = Feed(self.reactor, "127.0.0.1:7", 0, lambda change: None)
        self.feed.poll()

    def connect(self) -> Any:
        """The dial that is waited for comes up: its connection, whose transport shows what was asked."""
        *_, (host, port, factory, *_rest) = self.reactor.tcpClients
        made = factory.buildProtocol(None)
        made.makeConnection(StringTransport())
        return made._wrappedProtocol  # that of the endpoint stands round it

    def asked(self, link: Any, index: int) -> None:
        self.assertIn(f"follow={index}&".encode(), link.transport.value())
        link.transport.clear()

    def lose(self, link: Any, how: type[Exception] = error.ConnectionDone) -> None:
        link.connectionLost(Failure(how()))

    def test_one_connection_carries_one_question_after_another(self) -> None:
        link = self.connect()
        for index in range(1, 5):
            self.asked(link, index - 1)
            body = whole(news(index)) if index % 2 else OK + (
                b"Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n" % (len(news(index)), news(index)))
            for at in range(0, len(body), 7):  # however it is cut
                link.dataReceived(body[at:at + 7])
            self.reactor.advance(0)
        self.asked(link, 4)
        self.assertEqual((len(self.reactor.tcpClients), self.feed.index), (1, 4))

    def test_an_answer_may_end_its_connection(self) -> None:
        link = self.connect()
        link.dataReceived(OK + b"Connection: close\r\n\r\n" + news(3))
        self.assertEqual(self.feed.index, 0)
        self.lose(link)
        self.reactor.advance(0)
        self.asked(self.connect(), 3)

    def test_one_that_is_closed_between_questions_is_no_fault(self) -> None:
        link = self.connect()
        link.dataReceived(whole(news(1)))
        self.reactor.advance(0)  # the next question crosses the close
        self.lose(link)
        self.reactor.advance(0)
        self.assertFalse(self.feed.failing)
        self.asked(self.connect(), 1)

    def test_whatever_goes_wrong_it_asks_again_after_a_pause(self) -> None:
        half = whole(news(9))[:30]
        for spoilt, ends in ((b"nonsense\r\n\r\n", False), (whole(b"[]"), False), (whole(b"{"), False),
                             (whole(news(9), b"HTTP/1.1 503 Busy\r\n"), False), (half, True), (b"", True),
                             (whole(news(9, MOST_ANSWER)), False), (b"HTTP/1.1 200 OK\r\nA: " + b"x" * 20_000, False)):
            with self.subTest(spoilt[:40]):
                link, dials = self.connect(), len(self.reactor.tcpClients)
                self.asked(link, 0)
                link.dataReceived(spoilt)
                if ends:
                    self.lose(link, error.ConnectionLost)
                self.assertTrue(self.feed.failing)
                self.reactor.advance(AGAIN_S / 2)
                self.assertEqual((len(self.reactor.tcpClients), link.transport.value()), (dials, b""))
                self.reactor.advance(AGAIN_S)
                if not link.up:
                    link = self.connect()
                self.asked(link, 0)  # one that was only refused keeps its connection
                link.dataReceived(whole(news(0)))
                self.assertFalse(self.feed.failing)
                self.lose(link)
                self.reactor.advance(0)
        self.assertEqual(self.feed.index, 0)

    def test_silence_ends_a_wait_and_its_connection(self) -> None:
        link = self.connect()
        self.reactor.advance(WAIT_MS / 1_000 + GRACE_S)
        self.assertTrue(link.transport.disconnected or link.transport.aborting)
        self.assertTrue(self.feed.failing)
        self.reactor.advance(AGAIN_S)
        link.dataReceived(whole(news(8)))  # too late: nobody waits for it there
        self.assertEqual(self.feed.index, 0)
        self.asked(self.connect(), 0)

    def test_a_move_gives_up_the_wait(self) -> None:
        link = self.connect()
        self.feed.move("127.0.0.1:8")
        self.assertFalse(link.up or self.feed.failing)
        self.reactor.advance(0)
        self.assertEqual(self.reactor.tcpClients[-1][1], 8)
        self.asked(self.connect(), 0)


if __name__ == "__main__":
    unittest.main()
