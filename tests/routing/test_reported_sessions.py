"""Sessions that viewers report as playing already (``at``).

Guards against memory that grows without end: reports under ever new names, at a server that does not know them, stood
for good; 152,000 of them took 200 MiB, and 57,000 with long titles 900 MiB.
"""

from __future__ import annotations

from unittest.mock import Mock

import pytest
from helpers import SECOND
from test_ended_requests import Broker

from lotuspick.core.events import SessionPlaying
from lotuspick.routing import message_handlers
from lotuspick.routing.messages import (
    EdgeServerFailed,
    EdgeServerReleased,
    SessionCancelled,
    SessionRequested,
)
from lotuspick.routing.termination import TerminationReason

FINISHED = TerminationReason.FINISHED


class ReportingBroker(Broker):
    """A broker of whose sessions viewers report some."""

    def __init__(self, stream_limit: int = 1_000) -> None:
        super().__init__()
        self.dispatcher.handlers.stream_limit = stream_limit

    def report(self, session: str, server: str = "s1", title: str = "t") -> None:
        playing = SessionPlaying(session, "exam", title, 0, 4, 3, self.now + SECOND, server=server)
        self.tick(SessionRequested(playing, viewer=self.viewer))

    @property
    def sessions(self) -> set[str]:
        return set(self.dispatcher.sessions.entries)


def assert_released(broker: Broker, sessions: list[str]) -> None:
    assert [call.args[0] for call in broker.viewer.released.call_args_list] == sessions


def test_server_holds_no_more_reported_sessions_than_it_has_streams() -> None:
    broker = ReportingBroker(stream_limit=2)
    for session in ("a", "b", "c"):
        broker.report(session)
    broker.report("d", server="s2")
    assert broker.sessions == {"a", "b", "d"}
    assert_released(broker, ["c"])
    broker.tick(EdgeServerReleased("s1", "a", FINISHED, FINISHED))
    broker.report("c")
    assert broker.sessions == {"b", "c", "d"}


def test_reported_sessions_are_limited_in_number(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(message_handlers, "MAX_REPORTED_SESSIONS", 2)
    broker = ReportingBroker()
    for number in range(3):
        broker.report(f"r{number}", server=f"unlisted-{number}")
    assert broker.sessions == {"r0", "r1"}
    broker.tick(EdgeServerFailed("unlisted-0", TerminationReason.SERVER_UNRESPONSIVE))
    broker.tick(SessionCancelled("r1"))
    assert (broker.dispatcher.sessions.reported_count, broker.dispatcher.sessions.reported_bytes) == (0, 0)


def test_reported_sessions_are_limited_in_size(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(message_handlers, "MAX_REPORTED_BYTES", 1_000)
    broker = ReportingBroker()
    for number in range(3):
        broker.report(f"r{number}", title="x" * 600)
    assert broker.sessions == {"r0", "r1"}


def test_names_of_reported_servers_are_limited_in_size(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against memory that grows with the names: a report creates a client of the server that it names."""
    monkeypatch.setattr(message_handlers, "MAX_REPORTED_BYTES", 1_000)
    broker = ReportingBroker()
    for number in range(3):
        broker.report(f"r{number}", server=f"{number}" + "x" * 600)
    assert broker.sessions == {"r0", "r1"}
    assert broker.edge_servers.keep_connected.call_count == 2


def test_limits_of_reported_sessions_leave_requests_alone() -> None:
    broker = ReportingBroker(stream_limit=1)
    broker.report("a")
    broker.report("b")
    broker.viewer = Mock(is_open=True, is_closed_by_viewer=False)
    broker.ask("usual", session_class="exam")
    broker.edge_servers.start_attempt.assert_called_once()


def test_reports_that_no_server_confirms_fill_no_table_of_executed_sessions() -> None:
    """Otherwise set-ups of all other viewers would be rejected once it is full."""
    broker = ReportingBroker()
    broker.report("a", server="unlisted")
    broker.tick(EdgeServerFailed("unlisted", TerminationReason.SERVER_UNRESPONSIVE))
    assert not broker.sessions
    assert len(broker.dispatcher.lifecycle.executed) == 0
