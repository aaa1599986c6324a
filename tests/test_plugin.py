"""The plug-in inside a client, with a fake RPC library and a manual clock."""

from __future__ import annotations

import subprocess
import sys
import threading
import unittest
from typing import Any

from helpers import SECOND, entry, request, settings

from lotuspick.core.events import ServerHint, ServerListUpdate
from lotuspick.core.settings import ClassSettings, RetrySafety
from lotuspick.plugin import (
    Answer,
    AttemptRequest,
    Failed,
    Plugin,
    Rejected,
    Released,
    Served,
    TerminationReason,
)

CLASSES = [
    ClassSettings("clip", SECOND),
    ClassSettings("exam", SECOND, retry_safety=RetrySafety.NOT_IDEMPOTENT),
]


class Library:
    """Records the calls of the plug-in."""

    def __init__(self) -> None:
        self.calls: list[tuple[Any, ...]] = []
        self.queued = False

    def start(self, server: str, attempt: AttemptRequest) -> None:
        self.calls.append(("start", server, attempt.session, attempt.description))

    def cancel(self, server: str, session: str) -> bool:
        self.calls.append(("cancel", server, session))
        return self.queued

    def release(self, server: str, session: str) -> None:
        self.calls.append(("release", server, session))

    def set_rung(self, server: str, session: str, rung: int) -> None:
        self.calls.append(("rung", server, session, rung))


class PluginTest(unittest.TestCase):
    def setUp(self) -> None:
        self.now = 20 * SECOND
        self.library, self.answers = Library(), list[Answer]()
        self.plugin = Plugin(
            settings(classes=CLASSES, retry_after_allowed=True, max_retry_after_us=SECOND),
            7,
            self.library,
            clock=lambda: self.now,
        )
        self.plugin.servers(ServerListUpdate([entry(0), entry(1)], complete=True))

    def request_session(self, session: str, **changes: Any) -> None:
        self.plugin.request(
            request(session, self.now, **{"copies": 2, **changes}), self.answers.append, b"call"
        )

    def run_for(self, us: int) -> None:
        end = self.now + us
        while (wait_s := self.plugin.step()) is not None and self.now + int(wait_s * 1e6) <= end:
            self.now += max(1, int(wait_s * 1e6))
        self.now = end

    def test_session_goes_from_request_to_release(self) -> None:
        self.request_session("a")
        self.run_for(SECOND // 10)
        [(operation, server, session, payload)] = self.library.calls
        self.assertEqual((operation, session, payload), ("start", "a", b"call"))
        self.plugin.answered(server, "a", b"reply")
        self.run_for(SECOND // 10)
        self.plugin.ended(server, "a", TerminationReason.FINISHED)
        self.run_for(SECOND // 10)
        self.assertEqual(self.answers, [Served("a", b"reply"), Released("a", TerminationReason.FINISHED)])

    def test_paid_session_is_retried_after_proof_and_fails_without(self) -> None:
        for reason, answered in (
            (TerminationReason.DIAL_REFUSED, []),
            (TerminationReason.RESET, [Failed("x1")]),
        ):
            session = "x0" if not answered else "x1"
            self.request_session(session, session_class="exam")
            self.run_for(SECOND // 10)
            server = self.library.calls[-1][1]
            self.plugin.ended(server, session, reason)
            self.run_for(SECOND // 10)
            self.assertEqual(self.answers, answered)
            starts = [call[1] for call in self.library.calls if call[:1] + call[2:3] == ("start", session)]
            self.assertEqual(len(starts), 1 if answered else 2)

    def test_paid_session_that_ran_is_not_started_again(self) -> None:
        self.request_session("a", session_class="exam")
        self.run_for(SECOND // 10)
        server = self.library.calls[-1][1]
        self.plugin.answered(server, "a", b"reply")
        self.run_for(SECOND // 10)
        self.plugin.ended(server, "a", TerminationReason.FINISHED)
        self.run_for(SECOND // 10)
        self.request_session("a", session_class="exam")
        self.run_for(SECOND // 10)
        self.assertEqual(self.answers[2:], [Failed("a")])
        self.assertEqual([call[0] for call in self.library.calls], ["start"])

    def test_late_step_still_delivers_the_answer_of_the_decisions(self) -> None:
        self.plugin.servers(ServerListUpdate([], complete=True))
        for session, sent in (("queued", False), ("sent", True)):
            self.request_session(session, session_class="exam")
            self.run_for(SECOND // 10)
            self.now += 20 * SECOND  # the process was paused until after the deadline
            self.run_for(SECOND // 10)
            self.assertEqual(self.answers.pop(), Failed(session) if sent else Rejected(session, 1_000))
            self.plugin.servers(ServerListUpdate([entry(0), entry(1)], complete=True))
            self.assertEqual(self.plugin.dispatcher.sessions.entries, {})

    def test_rejection_carries_retry_after(self) -> None:
        self.request_session("a", home_position=3, copies=1)
        self.run_for(5 * SECOND)
        self.assertEqual(self.answers, [Rejected("a", 1_000)])

    def test_failed_server_ends_the_sessions_that_played_there(self) -> None:
        self.request_session("a")
        self.run_for(SECOND // 10)
        server = self.library.calls[-1][1]
        self.plugin.answered(server, "a")
        self.plugin.hinted(ServerHint(server, 100.0))
        self.plugin.notified(server, "a", "link", 0.5)
        self.run_for(SECOND // 10)
        self.plugin.server_failed(server)
        self.run_for(SECOND // 10)
        self.assertEqual(self.answers[1:], [Released("a", TerminationReason.RESET)])

    def test_request_without_an_answer_in_time_is_ended(self) -> None:
        for queued in (True, False):
            self.library.queued = queued
            self.request_session(f"q{queued}", session_class="exam", copies=1)
            self.run_for(6 * SECOND)
        # An attempt that was still queued may be rejected; the other may have been executed.
        self.assertEqual([type(each) for each in self.answers], [Rejected, Failed])

    def test_dropped_sessions_are_cancelled_or_released(self) -> None:
        self.request_session("a")
        self.run_for(SECOND // 10)
        self.plugin.cancel("a")
        self.run_for(SECOND // 10)
        self.assertEqual(self.library.calls[-1][0], "cancel")
        self.request_session("b")
        self.run_for(SECOND // 10)
        self.plugin.answered(self.library.calls[-1][1], "b")
        self.plugin.cancel("b")
        self.run_for(SECOND // 10)
        self.assertEqual(self.library.calls[-1][0], "release")
        self.assertEqual(self.answers, [Served("b", b"")])

    def test_plugin_runs_on_a_thread_until_closed(self) -> None:
        answered = threading.Event()

        class AnsweringLibrary(Library):
            def start(self, server: str, attempt: AttemptRequest) -> None:
                plugin.answered(server, attempt.session, b"reply")

        plugin = Plugin(settings(classes=CLASSES), 7, AnsweringLibrary())
        thread = threading.Thread(target=plugin.run)
        thread.start()
        plugin.servers(ServerListUpdate([entry(0)], complete=True))
        plugin.request(request("a", plugin.clock(), copies=1), lambda answer: answered.set())
        self.assertTrue(answered.wait(20))
        plugin.close()
        thread.join(20)
        self.assertFalse(thread.is_alive())

    def test_plugin_imports_no_transport(self) -> None:
        code = (
            "import sys, lotuspick.plugin; "
            "print([m for m in sys.modules if m.split('.')[0] in ('twisted', 'ldap3', 'typer', 'http_sf')])"
        )
        self.assertEqual(
            subprocess.run([sys.executable, "-c", code], capture_output=True, text=True).stdout, "[]\n"
        )


if __name__ == "__main__":
    unittest.main()
