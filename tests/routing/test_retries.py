"""Concurrent answers, timeouts, repeated requests and disconnects."""

from __future__ import annotations

import unittest
from collections import deque
from typing import Any
from unittest.mock import Mock

from helpers import SECOND, controller, of, request, servers, settings
from scenario import Scenario

from lotuspick.core.actions import FailSession, ForwardAttempt
from lotuspick.core.controller import Controller
from lotuspick.core.events import (
    AttemptEnded,
    AttemptOutcome,
    SessionRequest,
    SessionStarted,
    TimerFired,
    ViewerDisconnected,
)
from lotuspick.core.settings import ClassSettings, RetrySafety
from lotuspick.routing.dispatcher import SessionDispatcher
from lotuspick.routing.indeterminate_attempts import IndeterminateAttempts
from lotuspick.routing.messages import (
    AttemptAnswered,
    EdgeServerReleased,
    SessionRequested,
    ViewerConnectionClosed,
)
from lotuspick.routing.session_table import DUPLICATE_WINDOW_US
from lotuspick.routing.termination import TerminationReason

FORWARDED_REQUEST = """
    v1 send SETUP s1 kind=exam time_left=8000 body=mine
    e0 expect OPENED
    e0 expect SETUP s1
"""


class LateAnswers(Scenario):
    def test_late_answers_of_all_attempts_are_released(self) -> None:
        """Two servers time out in turn, then both answer; their notifications show that they are alive."""
        self.play(
            """
            v1 send SETUP s1 copies=2 time_left=2500
            e0 expect SETUP s1
            e0 send NOTE s99 topic=profile figure=2
            c send e1 state=up
            e0 expect RELEASE s1 cause=16
            e1 expect SETUP s1
            e1 send NOTE s99 topic=profile figure=2
            e1 expect RELEASE s1 cause=16
            v1 expect 453 s1
            e0 send ANSWER s1 body=first
            e0 expect RELEASE s1 cause=31
            e1 send ANSWER s1 body=second
            e1 expect RELEASE s1 cause=31
            v1 expect NOTHING
        """,
            e0="up",
            e1="draining",
        )


class RepeatedRequests(Scenario):
    def test_request_repeated_while_an_attempt_may_run_runs_once(self) -> None:
        for close_command in ("close", "close reset"):
            with self.subTest(close_command):
                self.play(
                    FORWARDED_REQUEST
                    + f"""
                    v1 {close_command}
                    e0 expect RELEASE s1 cause=16
                    v2 send SETUP s1 kind=exam time_left=8000 body=mine
                    v2 expect 500 s1 reason=~use
                    e0 expect NOTHING
                    e0 send ANSWER s1 body=late
                    e0 expect RELEASE s1 cause=31
                """
                )

    def test_request_repeated_that_provably_never_ran_is_served(self) -> None:
        self.play(
            FORWARDED_REQUEST
            + """
            v1 send TEARDOWN s1
            v1 expect 200 s1
            e0 expect RELEASE s1 cause=16
            e0 send RELEASE s1 cause=102
            v1 send OPTIONS
            v1 expect 200
            v2 send SETUP s1 kind=exam time_left=8000 body=mine
            e0 expect SETUP s1
            e0 send ANSWER s1 body=good
            v2 expect 200 s1 body=good
        """
        )

    def test_request_repeated_on_another_connection_outlives_the_old_one(self) -> None:
        self.play(
            FORWARDED_REQUEST
            + """
            v2 send OPTIONS
            v2 expect 200
            b send STOP
            v2 send SETUP s1 kind=exam time_left=8000 body=mine
            v1 close
            b send CONT
            e0 expect NOTHING
            e0 send ANSWER s1 body=one
            v2 expect 200 s1 body=one
        """
        )


class MessagesOfOneTick(unittest.TestCase):
    """Messages that arrive in the same tick."""

    def setUp(self) -> None:
        self.edge_servers = Mock(
            start_attempt=Mock(return_value=None), cancel_attempt=Mock(return_value=False)
        )
        self.events_received: list[Any] = []
        self.dispatcher = SessionDispatcher(
            self, self.edge_servers, lambda: 1_000, lambda at: None, 10, frozenset({"exam"})
        )

    def handle(self, now: int, events: list[Any]) -> list[Any]:
        self.events_received += events
        return [
            ForwardAttempt(event.session, "e", 0) for event in events if isinstance(event, SessionRequest)
        ]

    def play(self, *items: Any) -> None:
        self.dispatcher.inbox = deque(items)
        self.dispatcher.tick()

    def test_answer_before_its_viewer_disconnects_is_released(self) -> None:
        viewer = Mock(is_open=True, is_closed_by_viewer=False)
        self.play(SessionRequested(request("s", session_class="exam"), viewer=viewer))
        viewer.is_open = False
        self.play(AttemptAnswered("e", "s", b""), ViewerConnectionClosed(viewer))
        viewer.served.assert_not_called()
        self.edge_servers.cancel_attempt.assert_called_once_with("e", "s")
        self.edge_servers.release.assert_called_once_with("e", "s", TerminationReason.REVOKED)
        self.assertFalse([each for each in self.events_received if isinstance(each, SessionStarted)])
        self.assertEqual(
            [each.session for each in self.events_received if isinstance(each, ViewerDisconnected)], ["s"]
        )
        self.assertEqual(
            (self.dispatcher.sessions.entries, self.dispatcher.sessions.open_request_count), ({}, 0)
        )

    def test_request_whose_viewer_closed_its_connection_is_cancelled_and_not_sent(self) -> None:
        viewer = Mock(is_open=True, is_closed_by_viewer=True)
        self.play(SessionRequested(request("s", session_class="exam"), viewer=viewer))
        self.edge_servers.start_attempt.assert_not_called()
        self.assertEqual(
            (self.dispatcher.sessions.entries, self.dispatcher.sessions.open_request_count), ({}, 0)
        )
        self.play(ViewerConnectionClosed(viewer))
        disconnected, ended = self.events_received[-2:]
        self.assertEqual(disconnected, ViewerDisconnected("s"))
        self.assertEqual((ended.attempt, ended.outcome, ended.final), (0, AttemptOutcome.UNSENT, True))
        viewer.rejected.assert_not_called()
        viewer.failed.assert_not_called()

    def test_request_whose_viewer_closed_its_connection_continues_on_a_duplicate(self) -> None:
        first, second = (
            Mock(is_open=True, is_closed_by_viewer=True),
            Mock(is_open=True, is_closed_by_viewer=False),
        )
        self.play(
            SessionRequested(request("s", session_class="exam"), viewer=first),
            SessionRequested(request("s", session_class="exam"), viewer=second),
        )
        self.edge_servers.start_attempt.assert_called_once()
        self.play(ViewerConnectionClosed(first), AttemptAnswered("e", "s", b"one"))
        second.served.assert_called_once_with("s", b"one")
        first.served.assert_not_called()

    def test_recent_duplicate_takes_over_the_request_and_an_older_one_does_not(
        self,
    ) -> None:
        for age_us, is_served in ((0, True), (DUPLICATE_WINDOW_US, True), (DUPLICATE_WINDOW_US + 1, False)):
            self.setUp()
            now = [1_000]
            self.dispatcher.clock = lambda now=now: now[0]
            first, second = Mock(is_open=True, is_closed_by_viewer=False), Mock(is_open=True)
            self.play(
                SessionRequested(request("s", session_class="exam"), viewer=first),
                SessionRequested(request("s", session_class="exam"), viewer=second),
            )
            now[0] += age_us
            first.is_open = False
            self.play(ViewerConnectionClosed(first), AttemptAnswered("e", "s", b"one"))
            first.served.assert_not_called()
            self.assertEqual(
                (second.served.called, "s" in self.dispatcher.sessions.entries), (is_served, is_served)
            )
            self.play(ViewerConnectionClosed(second))
            self.assertEqual(self.dispatcher.sessions.by_connection, {})

    def test_duplicate_whose_connection_ends_leaves_the_request_open(self) -> None:
        first, second, third = (Mock(is_open=True, is_closed_by_viewer=False) for _ in range(3))
        self.play(
            *(
                SessionRequested(request("s", session_class="exam"), viewer=each)
                for each in (first, second, second, third)
            )
        )
        second.close_with_error.assert_called_once()
        first.close_with_error.assert_not_called()
        second.is_open = third.is_open = False
        self.play(
            ViewerConnectionClosed(second), ViewerConnectionClosed(third), AttemptAnswered("e", "s", b"one")
        )
        first.served.assert_called_once_with("s", b"one")
        self.play(EdgeServerReleased("e", "s", TerminationReason.SERVER_ERROR, TerminationReason.FINISHED))
        self.assertEqual((self.dispatcher.sessions.entries, self.dispatcher.sessions.by_connection), ({}, {}))

    def test_flood_of_duplicates_is_read_until_its_connection_is_closed(self) -> None:
        """A log line for each would fill the pipe after some hundred lines and block the broker."""
        viewer = Mock(is_open=True, is_closed_by_viewer=False)
        viewer.close_with_error = Mock(side_effect=lambda why: setattr(viewer, "is_open", False))
        self.play(
            *(SessionRequested(request("s", session_class="exam"), viewer=viewer) for _ in range(200)),
            ViewerConnectionClosed(viewer),
        )
        viewer.close_with_error.assert_called_once()
        viewer.failed.assert_not_called()
        self.assertEqual((self.dispatcher.sessions.entries, self.dispatcher.sessions.by_connection), ({}, {}))

    def test_request_whose_viewer_disconnects_in_the_same_tick_sends_nothing(self) -> None:
        viewer = Mock(is_open=True, is_closed_by_viewer=False)
        self.play(
            SessionRequested(request("s", session_class="exam"), viewer=viewer),
            ViewerConnectionClosed(viewer),
        )
        self.edge_servers.start_attempt.assert_not_called()
        self.assertEqual(
            (self.dispatcher.sessions.entries, self.dispatcher.sessions.open_request_count), ({}, 0)
        )

    def test_second_answer_and_message_of_another_server_change_nothing(self) -> None:
        viewer = Mock(is_open=True, is_closed_by_viewer=False)
        self.play(SessionRequested(request("s", session_class="exam"), viewer=viewer))
        self.play(
            EdgeServerReleased("other", "s", TerminationReason.SERVER_ERROR, TerminationReason.INTERRUPTED),
            AttemptAnswered("e", "s", b"one"),
            AttemptAnswered("e", "s", b"two"),
            AttemptAnswered("other", "s", b"three"),
        )
        viewer.served.assert_called_once_with("s", b"one")
        self.edge_servers.release.assert_not_called()
        self.assertFalse([each for each in self.events_received if isinstance(each, AttemptEnded)])
        self.assertTrue(self.dispatcher.sessions.entries["s"].is_playing)


class RetryDecisions(unittest.TestCase):
    """Repeated attempts that the decision module rules out by itself."""

    def test_session_is_never_forwarded_to_one_server_twice(self) -> None:
        decisions = controller(count=1)
        now = 20 * SECOND
        sent = of(decisions.handle(now, [request("a", now, copies=1)]), ForwardAttempt)
        for retry in range(1, 9):  # long enough for the server to recover
            tick_events = (
                [AttemptEnded("a", 0, "s0", "full")]
                if retry == 1
                else [TimerFired(token) for token in list(decisions.context.timers)]
            )
            sent += of(decisions.handle(now + retry * SECOND // 2, tick_events), ForwardAttempt)
        self.assertEqual([each.server for each in sent], ["s0"])

    def test_attempt_that_may_have_run_is_retried_for_the_idempotent_class_alone(self) -> None:
        cases = (
            (RetrySafety.IDEMPOTENT, 1),
            (RetrySafety.KEYED, 0),
            (RetrySafety.NOT_IDEMPOTENT, 0),
        )
        for retry_safety, retry_count in cases:
            decisions = Controller(
                settings(
                    classes=[
                        ClassSettings(
                            "clip",
                            SECOND,
                            retry_safety=retry_safety,
                            retry_scope="zone",
                            retry_window_us=50_000,
                        )
                    ]
                ),
                1,
            )
            decisions.handle(0, [servers()])
            now = 20 * SECOND
            [first] = of(decisions.handle(now, [request("a", now)]), ForwardAttempt)
            later = decisions.handle(now + 10_000, [AttemptEnded("a", 0, first.server, "lost")])
            self.assertEqual(
                (len(of(later, ForwardAttempt)), len(of(later, FailSession))),
                (retry_count, 1 - retry_count),
                retry_safety,
            )


class IndeterminateAttemptsTable(unittest.TestCase):
    def test_indeterminate_attempts_are_kept_by_server_and_expire(self) -> None:
        attempts = IndeterminateAttempts()
        attempts.add("s", "a", 1)
        attempts.add("s", "b", 2)
        attempts.add("t", "a", 3)
        self.assertTrue(attempts.resolve("s", "a"))
        self.assertFalse(attempts.resolve("s", "a"), "an attempt can be resolved only once")
        self.assertIn("s", attempts)
        attempts.add("s", "b", 4)  # withdrawn again: the latest time applies
        attempts.expire(4)
        self.assertNotIn("t", attempts)
        self.assertTrue(attempts.resolve("s", "b"))
        self.assertEqual((attempts.withdrawn_at_us, attempts.servers), ({}, {}))


if __name__ == "__main__":
    unittest.main()
