"""What a broker keeps of requests that have ended.

Guards against memory that grows with the requests of the last minute: the timers of a request outlived its answer, and
a bad client that asked again as it was turned away drove the broker over its memory limit.
"""

from __future__ import annotations

from unittest.mock import Mock

import pytest
from helpers import NOW, SECOND, controller, request

from lotuspick.routing import message_handlers
from lotuspick.routing.dispatcher import INDETERMINATE_US, SessionDispatcher
from lotuspick.routing.messages import (
    AttemptAnswered,
    AttemptTerminated,
    EdgeServerReleased,
    InboundMessage,
    SessionCancelled,
    SessionRequested,
    ViewerConnectionClosed,
)
from lotuspick.routing.termination import TerminationReason

REQUESTS = 8  # fewer than the failures that eject all servers
DAY_US = 86_400 * SECOND


class Broker:
    """The real decisions and the real dispatcher, with edge servers that accept everything."""

    def __init__(self) -> None:
        self.now = NOW
        self.core = controller(brokers=1)
        self.edge_servers = Mock(
            start_attempt=Mock(return_value=None), cancel_attempt=Mock(return_value=False)
        )
        classes = frozenset({"clip", "exam"})
        self.dispatcher = SessionDispatcher(
            self.core,
            self.edge_servers,
            lambda: self.now,
            lambda at: None,
            10_000,
            classes,
            single_execution_classes=frozenset({"exam"}),
        )
        self.viewer = Mock(is_open=True, is_closed_by_viewer=False)

    def tick(self, *messages: InboundMessage) -> None:
        for message in messages:
            self.dispatcher.post(message)
        self.now += 10_000
        self.dispatcher.tick()

    def ask(self, session: str, **changes: object) -> None:
        asked = request(session, **{"deadline_us": self.now + DAY_US, **changes})
        self.tick(SessionRequested(asked, b"sdp", self.viewer))

    def server_of(self, session: str) -> str:
        return self.dispatcher.sessions.entries[session].server


def end_by_answer(broker: Broker, session: str) -> None:
    server = broker.server_of(session)
    broker.tick(AttemptAnswered(server, session, b"sdp"))
    reason = TerminationReason.FINISHED
    broker.tick(EdgeServerReleased(server, session, reason, reason))


def end_by_error(broker: Broker, session: str) -> None:
    reason = TerminationReason.SERVER_ERROR
    broker.tick(EdgeServerReleased(broker.server_of(session), session, reason, reason))


def end_by_loss(broker: Broker, session: str) -> None:
    broker.tick(AttemptTerminated(broker.server_of(session), session, TerminationReason.RESET))


def end_by_leave(broker: Broker, session: str) -> None:
    del session
    broker.tick(ViewerConnectionClosed(broker.viewer))


def end_by_teardown(broker: Broker, session: str) -> None:
    broker.tick(SessionCancelled(session))


@pytest.mark.parametrize("end", [end_by_answer, end_by_error, end_by_loss, end_by_leave, end_by_teardown])
def test_requests_that_have_ended_leave_no_timer(end: object) -> None:
    broker = Broker()
    assert callable(end)
    for number in range(REQUESTS):
        session = f"s{number}"
        broker.ask(session, session_class="exam")
        end(broker, session)
    broker.tick()
    assert not broker.dispatcher.sessions.entries
    assert not broker.core.sessions
    assert len(broker.dispatcher.timers) == 0
    assert not broker.core.context.timers
    broker.now += INDETERMINATE_US
    broker.tick()
    assert not broker.dispatcher.lifecycle.indeterminate.servers
    assert len(broker.dispatcher.lifecycle.executed) == 0


def test_requests_that_are_turned_away_leave_no_timer() -> None:
    broker = Broker()
    broker.core.servers.clear()
    broker.core.context.index_servers()
    for number in range(REQUESTS):
        broker.ask(f"s{number}")
    broker.now += 2 * SECOND
    broker.tick()
    assert not broker.dispatcher.sessions.entries
    assert len(broker.dispatcher.timers) <= 1  # the poll of the queue
    assert not broker.core.context.timers


def test_session_that_plays_keeps_no_timer_of_its_request() -> None:
    broker = Broker()
    broker.ask("s")
    assert len(broker.dispatcher.timers) > 0
    broker.tick(AttemptAnswered(broker.server_of("s"), "s", b"sdp"))
    assert len(broker.dispatcher.timers) == 0
    assert not broker.core.context.timers


def test_attempt_that_was_retried_leaves_only_the_timer_of_the_current_attempt() -> None:
    broker = Broker()
    broker.ask("s")
    timers = len(broker.dispatcher.timers)
    attempt_timer = broker.dispatcher.sessions.entries["s"].attempt_timer
    broker.tick(AttemptTerminated(broker.server_of("s"), "s", TerminationReason.DIAL_REFUSED))
    entry = broker.dispatcher.sessions.entries["s"]
    assert entry.attempt == 1
    assert attempt_timer is not None
    assert attempt_timer.callback is None
    assert entry.attempt_timer is not attempt_timer
    assert len(broker.dispatcher.timers) == timers + 2  # the queue and the deadline of the second attempt


def test_length_hints_take_no_more_memory_at_a_higher_rate_of_requests() -> None:
    core = controller()
    for number in range(REQUESTS):
        core.handle(NOW, [request(f"s{number}", NOW, length_us=40e6 + number)])
    popularity = core.context.popularity
    assert len(popularity.window) == 1
    assert popularity.hint_count[0] == REQUESTS
    popularity.pool_sizes(NOW + 60 * SECOND)
    assert popularity.hint_us == [0.0, 0.0, 0.0]


def test_open_requests_are_bounded_in_size(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against memory that grows with the length of requests: a request over the size is rejected."""
    monkeypatch.setattr(message_handlers, "MAX_OPEN_REQUEST_BYTES", 2_000)
    broker = Broker()
    for number in range(3):
        broker.ask(f"s{number}", title="x" * 1_000)
    assert set(broker.dispatcher.sessions.entries) == {"s0", "s1"}
    broker.viewer.rejected.assert_called_once_with("s2", 0)
    end_by_answer(broker, "s0")
    broker.tick(ViewerConnectionClosed(broker.viewer))
    assert broker.dispatcher.sessions.open_request_bytes == 0
    broker.ask("s3", title="x" * 1_000)
    assert "s3" in broker.dispatcher.sessions.entries


def test_timer_of_a_session_that_is_gone_is_not_started() -> None:
    """Its viewer has left in the moment of its forwarding: nothing would cancel the timer."""
    broker = Broker()
    broker.viewer.is_closed_by_viewer = True
    broker.ask("s")
    assert not broker.dispatcher.sessions.entries
    assert len(broker.dispatcher.timers) == 2  # the end of the session for the decisions, in the next tick
    broker.tick()
    assert len(broker.dispatcher.timers) == 0
    assert not broker.core.sessions
