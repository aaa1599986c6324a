"""Renewal of tokens: the typed result, and the bytes of the answer of each transport."""

from __future__ import annotations

import unittest
from typing import Any
from unittest.mock import Mock

from test_entitlement import NOW, make_verifier
from twisted.internet.testing import MemoryReactorClock
from twisted.web.test.requesthelper import DummyRequest

from lotuspick.entitlement.constraints import SeatConstraints
from lotuspick.entitlement.ledger import Ledger
from lotuspick.entitlement.model import TokenRejection
from lotuspick.entitlement.renewal import RenewalCallback, RenewalFailure, RenewalRejection
from lotuspick.entitlement.seat_session import EntitlementRules
from lotuspick.protocol import rtsp
from lotuspick.transport.http.http_player import HttpPlayer
from lotuspick.transport.http.http_server import HttpServer, SessionResource
from lotuspick.transport.rtsp.rtsp_server import RtspServer

SESSION = "00c0ffee00c0ffee"
REJECTIONS = [RenewalRejection(reason) for reason in (*TokenRejection, *RenewalFailure)]


class FakeRenewal:
    """A fake renewal with a fixed result."""

    def __init__(self) -> None:
        self.result: RenewalRejection | None = None
        self.calls: list[tuple[str, str]] = []

    def renew(self, session: str, token: str, done: RenewalCallback) -> None:
        self.calls.append((session, token))
        done(self.result)


class RenewalResult(unittest.TestCase):
    def test_only_rejections_of_tokens_have_the_prefix_token(self) -> None:
        for rejection in REJECTIONS:
            self.assertEqual(rejection.text.startswith("token-"), rejection.token_is_invalid)
        self.assertEqual(RenewalRejection(TokenRejection.OTHER).text, "token-other-request")
        self.assertEqual(RenewalRejection(RenewalFailure.SESSION_UNKNOWN).text, "session-unknown")
        self.assertEqual(RenewalRejection(RenewalFailure.SEAT_LAPSED).text, "seat-lapsed")
        self.assertEqual(RenewalRejection(RenewalFailure.STORE).text, "seat-store")

    def test_renewal_without_a_playing_session_is_rejected_at_once(self) -> None:
        journal: Any = None
        seats = SeatConstraints(
            EntitlementRules(frozenset({"exam"})),
            make_verifier(),
            Ledger(30, 60),
            journal,
            lambda: float(NOW),
        )
        results: list[RenewalRejection | None] = []
        seats.renew(0, SESSION, "any", results.append)
        self.assertEqual(results, [RenewalRejection(RenewalFailure.SESSION_UNKNOWN)])


class OverRtsp(unittest.TestCase):
    def answer(self, result: RenewalRejection | None) -> bytes:
        renewal = FakeRenewal()
        renewal.result = result
        set_up_limits: Any = None
        server = RtspServer(
            MemoryReactorClock(),
            lambda _: None,
            lambda: True,
            set_up_limits,
            8,
            lambda _: [],
            lambda _: False,
            renewal.renew,
        )
        connection = server.buildProtocol(None)
        transport = Mock(fileno=Mock(return_value=-1), disconnecting=False)
        connection.makeConnection(transport)
        connection.dataReceived(
            f"SET_PARAMETER {rtsp.BASE_URL}a {rtsp.VERSION}\r\nCSeq: 7\r\nSession: {SESSION}\r\nP-Token: t\r\nContent-Length: 0\r\n\r\n".encode()
        )
        self.assertEqual(renewal.calls, [(SESSION, "t")])
        return b"".join(call.args[0] for call in transport.write.call_args_list)

    def test_accepted_renewal_is_answered_with_200(self) -> None:
        self.assertEqual(
            self.answer(None),
            f"RTSP/1.0 200 OK\r\nCSeq: 7\r\nSession: {SESSION}\r\nContent-Length: 0\r\n\r\n".encode(),
        )

    def test_rejected_renewal_is_answered_with_403_and_the_reason(self) -> None:
        for rejection in REJECTIONS:
            with self.subTest(rejection.text):
                self.assertEqual(
                    self.answer(rejection),
                    f"RTSP/1.0 403 {rejection.text}\r\nCSeq: 7\r\nSession: {SESSION}\r\nContent-Length: 0\r\n\r\n".encode(),
                )


class OverHttp(unittest.TestCase):
    def answer(self, result: RenewalRejection | None) -> tuple[int, bytes]:
        renewal = FakeRenewal()
        renewal.result = result
        set_up_limits: Any = None
        server = HttpServer(MemoryReactorClock(), lambda _: None, lambda: True, set_up_limits, renewal.renew)
        server.players[SESSION] = HttpPlayer(server, SESSION, DummyRequest([]))
        request: Any = DummyRequest([])
        request.method, request.path = b"PUT", f"/sessions/{SESSION}/token".encode()
        request.too_long = request._disconnected = False
        request.requestHeaders.setRawHeaders(b"p-token", [b"t"])
        SessionResource(server).render(request)
        self.assertEqual(renewal.calls, [(SESSION, "t")])
        self.assertEqual(request.finished, 1)
        return request.responseCode, b"".join(request.written)

    def test_accepted_renewal_is_answered_with_204(self) -> None:
        self.assertEqual(self.answer(None), (204, b""))

    def test_rejected_renewal_is_answered_with_403_for_the_token_and_503_otherwise(self) -> None:
        for rejection in REJECTIONS:
            with self.subTest(rejection.text):
                status = 403 if rejection.token_is_invalid else 503
                self.assertEqual(self.answer(rejection), (status, rejection.text.encode()))


if __name__ == "__main__":
    unittest.main()
