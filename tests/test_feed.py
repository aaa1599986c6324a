"""The coordinator's feed on a clock and sockets of its own."""

from __future__ import annotations

import json
import unittest
from typing import Any
from unittest.mock import Mock

from twisted.internet import error
from twisted.internet.testing import MemoryReactorClock, StringTransport
from twisted.python.failure import Failure

from lotuspick.protocol.errors import MOST_ANSWER
from lotuspick.transport.endpoint_watch import GRACE_S, MALFORMED_POLLS, RETRY_S, WAIT_MS, EndpointWatch

OK = b"HTTP/1.1 200 OK\r\n"


def news(index: int, size: int = 0) -> bytes:
    return json.dumps({"index": index, "updates": [], "pad": "x" * size}).encode()


def update(index: int, **fields: Any) -> bytes:
    """One change of one server, of which ``fields`` replace what is good."""
    server = {
        "id": "s-1",
        "addr": "127.0.0.1:1",
        "zone": "z",
        "kind": "k",
        "cell": 0,
        "state": "in_service",
        "weight": 1,
        "started_ms": 0,
        **fields,
    }
    return json.dumps(
        {
            "index": index,
            "updates": [{"index": index, "endpoints": {"version": 1, "full": False, "servers": [server]}}],
        }
    ).encode()


def whole(body: bytes, head: bytes = OK) -> bytes:
    return head + b"Content-Length: %d\r\n\r\n%s" % (len(body), body)


class EndpointWatchPolls(unittest.TestCase):
    def setUp(self) -> None:
        self.reactor = MemoryReactorClock()
        self.feed = EndpointWatch(self.reactor, "127.0.0.1:7", 0, lambda change: None)
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

    def test_connection_carries_one_poll_after_another(self) -> None:
        link = self.connect()
        for index in range(1, 5):
            self.asked(link, index - 1)
            body = (
                whole(news(index))
                if index % 2
                else OK
                + (
                    b"Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n"
                    % (len(news(index)), news(index))
                )
            )
            for at in range(0, len(body), 7):  # however it is cut
                link.dataReceived(body[at : at + 7])
            self.reactor.advance(0)
        self.asked(link, 4)
        self.assertEqual((len(self.reactor.tcpClients), self.feed.index), (1, 4))

    def test_answer_that_closes_its_connection_counts_at_its_end(self) -> None:
        link = self.connect()
        link.dataReceived(OK + b"Connection: close\r\n\r\n" + news(3))
        self.assertEqual(self.feed.index, 0)
        self.lose(link)
        self.reactor.advance(0)
        self.asked(self.connect(), 3)

    def test_connection_closed_between_polls_is_no_failure(self) -> None:
        link = self.connect()
        link.dataReceived(whole(news(1)))
        self.reactor.advance(0)  # the next question crosses the close
        self.lose(link)
        self.reactor.advance(0)
        self.assertFalse(self.feed.failing)
        self.asked(self.connect(), 1)

    def test_poll_that_fails_in_any_way_is_repeated_after_a_pause(self) -> None:
        half = whole(news(9))[:30]
        for spoilt, ends in (
            (b"nonsense\r\n\r\n", False),
            (whole(b"[]"), False),
            (whole(b"{"), False),
            (whole(news(9), b"HTTP/1.1 503 Busy\r\n"), False),
            (half, True),
            (b"", True),
            (whole(news(9, MOST_ANSWER)), False),
            (b"HTTP/1.1 200 OK\r\nA: " + b"x" * 20_000, False),
        ):
            with self.subTest(spoilt[:40]):
                link, dials = self.connect(), len(self.reactor.tcpClients)
                self.asked(link, 0)
                link.dataReceived(spoilt)
                if ends:
                    self.lose(link, error.ConnectionLost)
                self.assertTrue(self.feed.failing)
                self.reactor.advance(RETRY_S / 2)
                self.assertEqual((len(self.reactor.tcpClients), link.transport.value()), (dials, b""))
                self.reactor.advance(RETRY_S)
                if not link.is_open:
                    link = self.connect()
                self.asked(link, 0)  # one that was only refused keeps its connection
                link.dataReceived(whole(news(0)))
                self.assertFalse(self.feed.failing)
                self.lose(link)
                self.reactor.advance(RETRY_S)  # it told nothing, and at once
        self.assertEqual(self.feed.index, 0)

    def test_malformed_update_is_polled_again_and_skipped_if_it_stays_malformed(
        self,
    ) -> None:
        """Guards against a drain that is never heard of: what is passed over is not told again."""
        told: list[Any] = []
        self.feed.notify = told.append
        link = self.connect()
        for _ in range(MALFORMED_POLLS - 1):
            self.asked(link, 0)
            link.dataReceived(whole(update(1, state="\x00")))
            self.assertEqual((self.feed.index, told), (0, []))
            self.reactor.advance(RETRY_S)
        self.asked(link, 0)
        link.dataReceived(whole(update(1, state="terminating")))
        self.assertEqual(
            (self.feed.index, [change.news.servers[0].state for change in told]), (1, ["draining"])
        )
        self.reactor.advance(0)
        for _ in range(MALFORMED_POLLS):  # counted anew, and the last of them is not waited for any more
            self.asked(link, 1)
            link.dataReceived(whole(update(2, state="\x00")))
            self.reactor.advance(RETRY_S)
        self.assertEqual((self.feed.index, len(told)), (2, 1))

    def test_list_of_thousands_of_servers_is_read(self) -> None:
        link = self.connect()
        link.dataReceived(whole(news(1, 200 * 4_000)))
        self.assertEqual((self.feed.index, self.feed.failing), (1, False))

    def test_coordinator_that_does_not_wait_is_polled_with_pauses(self) -> None:
        link = self.connect()
        for _ in range(3):
            self.asked(link, 0)
            link.dataReceived(whole(news(0)))
            self.reactor.advance(RETRY_S / 2)
            self.assertEqual(link.transport.value(), b"")
            self.reactor.advance(RETRY_S)
        self.asked(link, 0)
        self.reactor.advance(WAIT_MS / 1_000)  # one that did wait is asked again at once
        link.dataReceived(whole(news(0)))
        self.reactor.advance(0)
        self.asked(link, 0)

    def test_poll_without_an_answer_is_ended_with_its_connection(self) -> None:
        link = self.connect()
        self.reactor.advance(WAIT_MS / 1_000 + GRACE_S)
        self.assertTrue(link.transport.disconnected or link.transport.aborting)
        self.assertTrue(self.feed.failing)
        self.reactor.advance(RETRY_S)
        link.dataReceived(whole(news(8)))  # too late: nobody waits for it there
        self.assertEqual(self.feed.index, 0)
        self.asked(self.connect(), 0)

    def test_poll_that_falls_silent_within_its_answer_is_replaced(self) -> None:
        link = self.connect()
        link.dataReceived(whole(news(5))[:40])
        self.reactor.advance(WAIT_MS / 1_000 + GRACE_S)
        self.reactor.advance(RETRY_S)
        second = self.connect()
        self.asked(second, 0)
        second.dataReceived(whole(news(4)))
        link.dataReceived(whole(news(5))[40:])  # the old watch's answer, after the new one's
        self.assertEqual((self.feed.index, self.feed.failing), (4, False))
        self.reactor.advance(0)
        self.asked(second, 4)
        self.assertEqual(len(self.reactor.tcpClients), 2)

    def test_poll_whose_connection_never_comes_up_is_dialled_again(self) -> None:
        *_, (_, _, factory, patience, _) = self.reactor.tcpClients
        self.assertLessEqual(patience, GRACE_S)
        factory.clientConnectionFailed(Mock(), Failure(error.TimeoutError()))
        self.assertTrue(self.feed.failing)
        self.reactor.advance(RETRY_S)
        self.assertEqual(len(self.reactor.tcpClients), 2)
        self.asked(self.connect(), 0)

    def test_move_during_a_dial_or_a_pause_follows_the_new_coordinator_alone(
        self,
    ) -> None:
        self.feed.move("127.0.0.1:8")  # while the first dial is out
        self.reactor.advance(0)
        self.assertEqual([port for _, port, *_ in self.reactor.tcpClients], [7, 8])
        link = self.connect()
        self.lose(link, error.ConnectionLost)
        self.feed.move("127.0.0.1:9")  # while the pause after a failure lasts
        self.reactor.advance(RETRY_S)
        self.assertEqual([port for _, port, *_ in self.reactor.tcpClients], [7, 8, 9])
        link = self.connect()
        self.asked(link, 0)
        link.dataReceived(whole(news(1)))
        self.feed.move("127.0.0.1:6")  # between an answer and the next question
        self.reactor.advance(0)
        self.assertEqual([port for _, port, *_ in self.reactor.tcpClients], [7, 8, 9, 6])
        self.asked(self.connect(), 1)
        self.reactor.advance(RETRY_S)
        self.assertEqual(len(self.reactor.tcpClients), 4, "one watch at a time")

    def test_move_ends_the_poll_that_waits(self) -> None:
        link = self.connect()
        self.feed.move("127.0.0.1:8")
        self.assertFalse(link.is_open or self.feed.failing)
        self.reactor.advance(0)
        self.assertEqual(self.reactor.tcpClients[-1][1], 8)
        self.asked(self.connect(), 0)


if __name__ == "__main__":
    unittest.main()
