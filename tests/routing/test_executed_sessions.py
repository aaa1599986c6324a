"""Ids of paid sessions that ran or may have run, when they come again after their end.

Guards against a paid id that is set up twice: the broker forgot an id as soon as the result of its attempt was known.
"""

from __future__ import annotations

from collections.abc import Callable
from unittest.mock import Mock

import pytest
from helpers import SECOND
from test_ended_requests import (
    Broker,
    end_by_answer,
    end_by_error,
    end_by_leave,
    end_by_loss,
    end_by_teardown,
)

from lotuspick.core.events import SessionPlaying
from lotuspick.routing import executed_sessions
from lotuspick.routing.executed_sessions import RETENTION_US
from lotuspick.routing.messages import (
    AttemptAnswered,
    AttemptTerminated,
    EdgeServerFailed,
    EdgeServerReleased,
    EdgeServerReplaced,
    SessionCancelled,
    SessionRequested,
    ViewerConnectionClosed,
)
from lotuspick.routing.termination import TerminationReason

REFUSED = TerminationReason.REJECTED_BY_SERVER


def ask_again(broker: Broker, session: str, **changes: object) -> Mock:
    """Send a set-up with the same id on a new connection; return the connection."""
    broker.viewer = Mock(is_open=True, is_closed_by_viewer=False)
    broker.edge_servers.start_attempt.reset_mock()
    broker.ask(session, **{"session_class": "exam", **changes})
    return broker.viewer


def end_by_answer_that_crosses_the_leave(broker: Broker, session: str) -> None:
    server = broker.server_of(session)
    broker.viewer.is_open = False
    broker.tick(AttemptAnswered(server, session, b"sdp"), ViewerConnectionClosed(broker.viewer))


def end_by_leave_before_the_answer(broker: Broker, session: str) -> None:
    server = broker.server_of(session)
    broker.viewer.is_open = False
    broker.tick(ViewerConnectionClosed(broker.viewer))
    broker.tick(AttemptAnswered(server, session, b"sdp"))


def end_by_shutdown(broker: Broker, session: str) -> None:
    del session
    broker.dispatcher.stop_admitting()
    broker.dispatcher.answer_open_requests()


def play(broker: Broker, session: str) -> str:
    """Let the session's edge server answer; return the server."""
    server = broker.server_of(session)
    broker.tick(AttemptAnswered(server, session, b"sdp"))
    return server


def end_by_teardown_while_playing(broker: Broker, session: str) -> None:
    play(broker, session)
    broker.tick(SessionCancelled(session))


def end_by_server_failure_while_playing(broker: Broker, session: str) -> None:
    broker.tick(EdgeServerFailed(play(broker, session), TerminationReason.SERVER_DOWN))


def end_by_replacement_while_playing(broker: Broker, session: str) -> None:
    broker.tick(EdgeServerReplaced(play(broker, session)))


def end_by_replacement(broker: Broker, session: str) -> None:
    broker.tick(EdgeServerReplaced(broker.server_of(session)))


ENDS = [
    end_by_teardown_while_playing,
    end_by_server_failure_while_playing,
    end_by_replacement_while_playing,
    end_by_replacement,
    end_by_answer,
    end_by_error,
    end_by_loss,
    end_by_leave,
    end_by_teardown,
    end_by_answer_that_crosses_the_leave,
    end_by_leave_before_the_answer,
    end_by_shutdown,
]


@pytest.mark.parametrize("end", ENDS)
def test_paid_session_that_may_have_run_is_not_set_up_again(end: Callable[[Broker, str], None]) -> None:
    broker = Broker()
    broker.ask("s", session_class="exam")
    end(broker, "s")
    viewer = ask_again(broker, "s")
    viewer.failed.assert_called_once_with("s", "id in use")
    broker.edge_servers.start_attempt.assert_not_called()


def test_session_that_was_handed_over_is_not_set_up_after_its_end() -> None:
    broker = Broker()
    playing = SessionPlaying("s", "exam", "t", 0, 4, 3, broker.now + SECOND, server="s1")
    broker.tick(SessionRequested(playing, viewer=broker.viewer))
    broker.tick(EdgeServerReleased("s1", "s", TerminationReason.FINISHED, TerminationReason.FINISHED))
    ask_again(broker, "s").failed.assert_called_once_with("s", "id in use")


def test_paid_session_that_never_ran_may_be_set_up_again() -> None:
    broker = Broker()
    broker.ask("s", session_class="exam", deadline_us=broker.now + SECOND)
    for _ in range(4):
        broker.tick(EdgeServerReleased(broker.server_of("s"), "s", REFUSED, REFUSED))
        broker.now += SECOND // 5
        broker.tick()
    assert not broker.dispatcher.sessions.entries
    ask_again(broker, "s").failed.assert_not_called()


def test_late_proof_that_a_withdrawn_set_up_never_ran_frees_its_id() -> None:
    broker = Broker()
    broker.ask("s", session_class="exam")
    server = broker.server_of("s")
    end_by_leave(broker, "s")
    broker.tick(EdgeServerReleased(server, "s", REFUSED, REFUSED))
    ask_again(broker, "s").failed.assert_not_called()
    broker.edge_servers.start_attempt.assert_called_once()


def test_session_that_may_be_repeated_is_set_up_again() -> None:
    broker = Broker()
    broker.ask("s")
    end_by_answer(broker, "s")
    ask_again(broker, "s", session_class="clip").failed.assert_not_called()
    broker.edge_servers.start_attempt.assert_called_once()


def test_ids_are_kept_for_their_time_and_no_longer() -> None:
    broker = Broker()
    broker.ask("s", session_class="exam")
    end_by_answer(broker, "s")
    broker.now += RETENTION_US - SECOND
    ask_again(broker, "s").failed.assert_called_once()
    broker.now += 2 * SECOND
    broker.tick()
    ask_again(broker, "s").failed.assert_not_called()
    assert len(broker.dispatcher.lifecycle.executed) == 0


def test_new_ids_that_fill_the_table_push_out_no_other(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(executed_sessions, "MAX_EXECUTED_SESSIONS", 3)
    broker = Broker()
    for number in range(3):
        broker.ask(f"s{number}", session_class="exam")
        end_by_answer(broker, f"s{number}")
    ask_again(broker, "s3").rejected.assert_called_once()
    ask_again(broker, "s0").failed.assert_called_once()
    broker.edge_servers.start_attempt.assert_not_called()
    ask_again(broker, "s4", session_class="clip").rejected.assert_not_called()


def test_attempt_of_a_server_that_refuses_the_dial_leaves_no_id() -> None:
    broker = Broker()
    broker.ask("s", session_class="exam")
    broker.tick(AttemptTerminated(broker.server_of("s"), "s", TerminationReason.DIAL_REFUSED))
    assert not broker.dispatcher.sessions.entries["s"].may_have_executed
