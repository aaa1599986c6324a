"""The dispatcher: messages that only carry an event reach the decisions."""

from __future__ import annotations

from unittest.mock import Mock

from lotuspick.core.actions import StartTimer
from lotuspick.core.events import ConstraintsChanged, ServerListUpdate, TenantRates, TimerFired
from lotuspick.routing.dispatcher import SessionDispatcher
from lotuspick.routing.messages import EndpointListChanged, LedgerCommitted, TenantRatesUpdated


def test_events_of_the_fleet_reach_the_decisions_in_their_order() -> None:
    decisions = Mock(handle=Mock(return_value=[]))
    dispatcher = SessionDispatcher(decisions, Mock(), lambda: 5, lambda at: None, 10, frozenset({"clip"}))
    rates, endpoints = TenantRates({"t": 1.0}), ServerListUpdate([], complete=True)
    dispatcher.post(TenantRatesUpdated(rates))
    dispatcher.post(EndpointListChanged(endpoints))
    dispatcher.post(LedgerCommitted())
    dispatcher.tick()
    decisions.handle.assert_called_once_with(5, [rates, endpoints, ConstraintsChanged()])


def test_timer_of_the_decisions_fires_with_its_id() -> None:
    now, decisions = [5], Mock(handle=Mock(side_effect=[[StartTimer(7, 10)], []]))
    dispatcher = SessionDispatcher(
        decisions, Mock(), lambda: now[0], lambda at: None, 10, frozenset({"clip"})
    )
    dispatcher.post(LedgerCommitted())
    dispatcher.tick()
    now[0] = 14
    dispatcher.tick()
    assert decisions.handle.call_count == 1
    now[0] = 15
    dispatcher.tick()
    decisions.handle.assert_called_with(15, [TimerFired(7)])
