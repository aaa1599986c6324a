"""Viewer connections: delivery of releases and choice of connections to evict."""

from __future__ import annotations

from typing import Any
from unittest.mock import Mock

import pytest
from helpers import request

from lotuspick.routing.session_table import SessionEntry, SessionTable
from lotuspick.routing.termination import TerminationReason
from lotuspick.routing.viewer_connections import (
    MIN_QUIET_US,
    PENDING_RELEASE_US,
    SHARED_EVICTION_INTERVAL_US,
    ConnectionStats,
    EvictionRank,
    ViewerConnections,
)

FINISHED = TerminationReason.FINISHED


def viewer(last_message_us: int = 0, *, is_open: bool = True) -> Any:
    return Mock(is_open=is_open, last_message_us=last_message_us)


def add_playing_session(sessions: SessionTable, session: str, connection: Any) -> None:
    sessions.add_playing(session, SessionEntry(request(session), viewer=connection, server="s0"))


def test_release_goes_to_its_own_connection_while_that_is_open() -> None:
    connections, own, other = ViewerConnections(), viewer(), viewer()
    for connection in (own, other):
        connections.add(connection, 0)
    connections.count_request(other)
    connections.release("a", own, FINISHED, 1)
    own.released.assert_called_once_with("a", FINISHED)
    other.released.assert_not_called()


def test_release_without_its_connection_goes_to_the_open_one_with_the_most_requests() -> None:
    connections = ViewerConnections()
    own_closed, few, many, closed = viewer(is_open=False), viewer(), viewer(), viewer(is_open=False)
    for connection, requests in ((few, 1), (many, 2), (closed, 3)):
        connections.add(connection, 0)
        for _ in range(requests):
            connections.count_request(connection)
    connections.release("a", own_closed, FINISHED, 1)
    many.released.assert_called_once_with("a", FINISHED)
    few.released.assert_not_called()
    closed.released.assert_not_called()


def test_releases_of_one_tick_choose_their_connection_once() -> None:
    """Guards against a pass over all connections for each of thousands of sessions that end together."""
    connections, checks = ViewerConnections(), Mock(return_value=True)
    watched = type("Watched", (Mock,), {"is_open": property(lambda self: checks())})
    viewers = [watched(last_message_us=0) for _ in range(50)]
    for connection in viewers:
        connections.add(connection, 0)
    for session in range(50):
        connections.release(f"{session}", None, FINISHED, 1)
    assert sum(connection.released.call_count for connection in viewers) == 50
    assert checks.call_count <= 50 + 50  # once for each connection, and once for each release


def test_release_after_the_chosen_connection_has_closed_goes_to_another() -> None:
    connections, first, second = ViewerConnections(), viewer(), viewer()
    for connection in (first, second):
        connections.add(connection, 0)
    connections.count_request(first)
    connections.release("a", None, FINISHED, 1)
    first.is_open = False
    connections.release("b", None, FINISHED, 1)
    second.is_open = False
    connections.release("c", None, FINISHED, 1)
    third = viewer()
    connections.add(third, 1)
    connections.release("d", None, FINISHED, 1)
    released = [[call.args[0] for call in each.released.call_args_list] for each in (first, second, third)]
    assert released == [["a"], ["b"], ["c", "d"]]


def test_release_that_finds_no_connection_waits_for_the_next_and_is_sent_once() -> None:
    connections, first, second = ViewerConnections(), viewer(), viewer()
    connections.release("a", None, FINISHED, 1)
    connections.release("b", None, TerminationReason.SERVER_DOWN, 2)
    assert connections.has_pending_releases
    connections.add(first, 3)
    connections.add(second, 4)
    sent = [call.args for call in first.released.call_args_list]
    assert sent == [("a", FINISHED), ("b", TerminationReason.SERVER_DOWN)]
    second.released.assert_not_called()
    assert not connections.has_pending_releases


def test_release_expires_and_is_logged_where_no_connection_opens_in_time(
    caplog: pytest.LogCaptureFixture,
) -> None:
    connections = ViewerConnections()
    connections.release("a", None, FINISHED, 1)
    connections.drop_expired_releases(PENDING_RELEASE_US)
    assert connections.has_pending_releases
    connections.drop_expired_releases(PENDING_RELEASE_US + 1)
    assert not connections.has_pending_releases
    assert [(record.message, record.session, record.reason) for record in caplog.records] == [  # type: ignore[attr-defined]
        ("release_expired", "a", "finished")
    ]


def test_pending_releases_are_dropped_at_shutdown_only_without_an_open_connection() -> None:
    connections, connection = ViewerConnections(), viewer(is_open=False)
    connections.add(connection, 0)
    connections.release("a", None, FINISHED, 1)
    connection.is_open = True
    connections.drop_releases_without_viewer()
    assert connections.has_pending_releases
    connection.is_open = False
    connections.drop_releases_without_viewer()
    assert not connections.has_pending_releases


def test_eviction_key_ranks_by_what_a_connection_is_used_for() -> None:
    stats = ConnectionStats(opened_at_us=5, request_count=2)
    assert stats.eviction_key(viewer(0), 0) == (EvictionRank.NO_MESSAGE, 0, 5)
    assert stats.eviction_key(viewer(7), 0) == (EvictionRank.NO_SESSION, 2, 7)
    assert stats.eviction_key(viewer(7), 1) == (EvictionRank.SESSIONS, 3, 7)
    assert stats.eviction_key(viewer(7), 2) == (EvictionRank.SHARED, 4, 7)


def test_eviction_skips_connections_that_are_closed_in_use_or_not_quiet() -> None:
    connections, sessions, now = ViewerConnections(), SessionTable(), 10_000_000
    closed, waiting, requesting, busy, playing, quiet = (
        viewer(1, is_open=False), viewer(1), viewer(1), viewer(now - MIN_QUIET_US + 1), viewer(1), viewer(2)
    )  # fmt: skip
    for connection in (closed, waiting, requesting, busy, playing, quiet):
        connections.add(connection, 0)
    sessions.add_request("a", SessionEntry(request("a"), viewer=waiting))
    add_playing_session(sessions, "b", playing)
    assert connections.eviction_candidates(8, now, sessions, {requesting}) == [quiet, playing]
    assert connections.eviction_candidates(1, now, sessions, {requesting}) == [quiet]


def test_shared_connections_are_evicted_one_at_a_time_and_at_most_once_an_interval() -> None:
    connections, sessions, now = ViewerConnections(), SessionTable(), 10_000_000
    shared = [viewer(1 + number) for number in range(2)]
    for connection in shared:
        connections.add(connection, 0)
        for number in range(4):
            add_playing_session(sessions, f"{shared.index(connection)}-{number}", connection)
    assert connections.eviction_candidates(8, now, sessions, ()) == shared[:1]
    later = now + SHARED_EVICTION_INTERVAL_US
    assert connections.eviction_candidates(8, later - 1, sessions, ()) == []
    assert connections.eviction_candidates(8, later, sessions, ()) == shared[:1]
