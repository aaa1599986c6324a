"""The work of one call: servers that are examined for the sessions in the queue.

Guards against a broker that stops: in a fleet of 1,600 servers 600 requests at once were all evaluated in one call, for
up to 13 s, and the requests of all other viewers were answered after their time.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any
from unittest.mock import patch

import pytest
from helpers import NOW, SECOND, controller, entry, of, request

from lotuspick.core import tuning
from lotuspick.core.actions import ForwardAttempt, RejectSession, StartTimer
from lotuspick.core.controller import Controller
from lotuspick.core.events import (
    AttemptEnded,
    AttemptOutcome,
    ServerFailed,
    ServerListUpdate,
    TimerFired,
)

SERVERS = 40
LIMIT = 4 * SERVERS
REQUESTS = 30
TICK_US = 10_000


class Fleet:
    """A broker of which the examined servers are counted, call by call; its timers fire when they are due."""

    def __init__(self, core: Controller) -> None:
        self.core, self.now, self.examined = core, NOW, 0
        self.timers: dict[int, int] = {}
        is_usable = core.placement.is_usable

        def count(server: Any) -> bool:
            self.examined += 1
            return is_usable(server)

        patch.object(core.placement, "is_usable", count).start()

    def handle(self, *events: Any) -> list[Any]:
        """Handle the events and the timers that are due in the next tick; it examines a bounded number."""
        self.now += TICK_US
        self.examined = 0
        due = [timer_id for timer_id, due_us in self.timers.items() if due_us <= self.now]
        for timer_id in due:
            del self.timers[timer_id]
        actions = self.core.handle(self.now, [*events, *map(TimerFired, due)])
        for action in of(actions, StartTimer):
            self.timers[action.timer_id] = self.now + action.delay_us
        assert self.examined <= 2 * LIMIT, "for new sessions, and for those evaluated before"
        return actions

    @property
    def is_due(self) -> bool:
        """Whether a timer calls the decisions in the next tick."""
        return any(due_us <= self.now + TICK_US for due_us in self.timers.values())


@pytest.fixture
def fleet() -> Iterator[Fleet]:
    with patch.object(tuning, "EXAMINED_SERVERS_LIMIT", LIMIT):
        core = controller(
            brokers=1, link_kb_per_weight=1e6, stream_limit_by_kind={"box": 1_000}, warm_up_us=0
        )
        listed = [entry(number % 4, server=f"s{number}") for number in range(SERVERS)]
        core.handle(NOW, [ServerListUpdate(listed, complete=True)])
        yield Fleet(core)
    patch.stopall()


def burst(source: str = "bad", **changes: Any) -> list[Any]:
    return [request(f"{source}{number}", NOW, source=source, **changes) for number in range(REQUESTS)]


def test_requests_at_once_are_evaluated_in_several_calls_and_each_is_answered(fleet: Fleet) -> None:
    forwarded = [len(of(fleet.handle(*burst()), ForwardAttempt))]
    while fleet.is_due:
        forwarded.append(len(of(fleet.handle(), ForwardAttempt)))
    assert forwarded == [4, 4, 4, 4, 4, 4, 4, 2]


def test_request_of_another_connection_is_evaluated_in_the_call_of_its_arrival(fleet: Fleet) -> None:
    fleet.handle(*burst())
    forwarded = of(fleet.handle(request("usual", NOW, source="usual")), ForwardAttempt)
    assert "usual" in {action.session for action in forwarded}
    assert len(forwarded) == 4


def test_request_that_examines_fewer_servers_is_evaluated_first(fleet: Fleet) -> None:
    others = [request(f"bad{number}", NOW, source=f"bad{number}") for number in range(REQUESTS)]
    forwarded = of(fleet.handle(*others, request("usual", NOW, source="usual", copies=1)), ForwardAttempt)
    assert "usual" in {action.session for action in forwarded}


def test_request_that_examines_more_servers_than_the_limit_is_evaluated(fleet: Fleet) -> None:
    with patch.object(tuning, "EXAMINED_SERVERS_LIMIT", SERVERS - 1):
        forwarded = of(fleet.handle(request("usual", NOW)), ForwardAttempt)
    assert [action.session for action in forwarded] == ["usual"]


def test_queued_sessions_are_evaluated_again_beside_a_burst(fleet: Fleet) -> None:
    older = request("older", NOW, home_position=1, copies=1)
    holders = fleet.core.context.servers_by_position[1]
    for server in holders:
        server.ejected_until = NOW + 10 * SECOND
    fleet.handle(older)
    for server in holders:
        server.ejected_until = 0
    batch_size = tuning.REEVALUATION_BATCH_SIZE
    newer = [request(f"bad{number}", NOW, source="bad") for number in range(2 * batch_size)]
    assert "older" in {action.session for action in of(fleet.handle(*newer), ForwardAttempt)}


def test_requests_that_are_not_evaluated_by_the_end_of_their_wait_are_rejected(fleet: Fleet) -> None:
    fleet.handle(*burst())
    fleet.now += SECOND
    rejected = of(fleet.handle(), RejectSession)
    assert len(rejected) + 4 + 4 == REQUESTS
    assert not fleet.core.queued


def test_sessions_of_a_lost_server_are_retried_in_several_calls(fleet: Fleet) -> None:
    forwarded = [action for _ in range(8) for action in of(fleet.handle(*burst()), ForwardAttempt)]
    assert len(forwarded) == REQUESTS
    lost = [
        AttemptEnded(action.session, 0, action.server, AttemptOutcome.UNREACHABLE) for action in forwarded
    ]
    servers = {action.server for action in forwarded}
    events = [*(ServerFailed(server) for server in servers), *lost]
    retried = [len(of(fleet.handle(*events), ForwardAttempt))]
    while sum(retried) < REQUESTS:
        retried.append(len(of(fleet.handle(), ForwardAttempt)))
    assert max(retried) <= LIMIT // (SERVERS - len(servers)) + 1
    assert len(retried) > 1


def test_queued_sessions_are_evaluated_again_within_the_limit_after_a_new_list(fleet: Fleet) -> None:
    for server in fleet.core.servers.values():
        server.ejected_until = NOW + 10 * SECOND
    fleet.handle(*burst())
    for _ in range(10):
        fleet.handle()
    assert all(session.evaluated_at > 0 for session in fleet.core.queued.values())
    assert len(fleet.core.queued) == REQUESTS
    fleet.handle(ServerListUpdate([entry(0, server="s40")]))
    assert fleet.examined > 0
