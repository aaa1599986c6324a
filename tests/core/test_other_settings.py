"""Settings that no current site uses: the rules hold and requests are served."""

from __future__ import annotations

from typing import Any
from unittest.mock import Mock

import pytest
from helpers import SECOND, entry, of, request, servers, settings

from lotuspick.core.actions import ForwardAttempt, RejectSession, StartTimer, Subscribe
from lotuspick.core.controller import Controller
from lotuspick.core.events import AttemptEnded, ServerListUpdate, TimerFired
from lotuspick.core.settings import ClassSettings, RetrySafety
from lotuspick.routing import dispatcher, message_handlers
from lotuspick.routing.messages import SessionRequested

NOW = 20 * SECOND


@pytest.mark.parametrize(
    "change",
    [
        {"classes": [ClassSettings("clip", SECOND, retry_safety=RetrySafety.KEYED, retry_scope="zone")]},
        {"classes": [ClassSettings("clip", SECOND, live=True)], "shared_stream_cost": 0.2},
        {"weight_kind": "nominal"},
        {"weight_kind": "rough"},
        {"weight_kind": "live"},
        {"racks": 1, "uplink_kb_per_s": 3000.0},
        {"notification_interval_us": 0, "notification_delay_us": 0},
        {"positions": 1},
        {"ladder_kb_per_s": (100.0,), "rung_values": (1.0,)},
        {"brokers": 1},
        {"warm_up_us": 0},
        {"tenant_rates": {"t": 1.0}},
        {"rejects_from_load": 1.0},
        {"max_attempts": 1},
    ],
)
def test_request_is_served_under_other_settings(change: dict[str, Any]) -> None:
    core = Controller(settings(**change), 1)
    positions = change.get("positions", 4)
    core.handle(0, [servers(positions)])
    sends = of(core.handle(NOW, [request("a", NOW, copies=positions)]), ForwardAttempt)
    assert len(sends) == 1
    core.handle(NOW + 1, [AttemptEnded("a", 0, sends[0].server, "full")])
    later = core.handle(NOW + SECOND, [TimerFired(token) for token in list(core.context.timers)])
    assert "a" not in core.sessions or core.sessions["a"].attempt == 1 or of(later, RejectSession)


def test_server_list_is_subscribed_to_again_after_a_failure() -> None:
    core = Controller(settings(subscription_required=True), 1)
    assert of(core.handle(0, [servers()]), Subscribe)
    timers = of(core.handle(SECOND, [ServerListUpdate(failed=True)]), StartTimer)
    assert of(core.handle(2 * SECOND, [TimerFired(timers[0].timer_id)]), Subscribe)
    # The list from before the failure stays in use.
    assert of(core.handle(NOW, [request("a", NOW)]), ForwardAttempt)


def test_request_over_the_open_limit_is_rejected_with_the_configured_retry_after(
    monkeypatch: Any,
) -> None:
    monkeypatch.setattr(message_handlers, "MAX_OPEN_REQUESTS", 1)
    for retry_after_ms in (0, 700):
        rejected_viewer = Mock(is_open=True, is_closed_by_viewer=False)
        session_dispatcher = dispatcher.SessionDispatcher(
            Mock(handle=Mock(return_value=[])),
            Mock(),
            lambda: 0,
            lambda at: None,
            10,
            frozenset({"clip"}),
            retry_after_ms,
        )
        session_dispatcher.post(
            SessionRequested(request("a"), viewer=Mock(is_open=True, is_closed_by_viewer=False))
        )
        session_dispatcher.post(SessionRequested(request("b"), viewer=rejected_viewer))
        session_dispatcher.tick()
        rejected_viewer.rejected.assert_called_once_with("b", retry_after_ms)
    retry_after_values = [
        dispatcher.overload_retry_after_ms(
            settings(retry_after_allowed=allowed, max_retry_after_us=max_retry_after_us)
        )
        for allowed, max_retry_after_us in ((False, 2 * SECOND), (True, SECOND // 2), (True, 5 * SECOND))
    ]
    assert retry_after_values == [0, 500, 1_000]


def test_title_sessions_are_released_when_they_end() -> None:
    core = Controller(settings(classes=[ClassSettings("clip", SECOND, title_session_limit=1)]), 1)
    core.handle(0, [ServerListUpdate([entry(0)], complete=True)])
    assert of(core.handle(NOW, [request("a", NOW, copies=1)]), ForwardAttempt)
    assert not of(core.handle(NOW, [request("b", NOW, copies=1)]), ForwardAttempt)
    assert [
        send.session
        for send in of(
            core.handle(NOW + 1, [AttemptEnded("a", 0, "s0", "served", final=True)]), ForwardAttempt
        )
    ] == ["b"]


def test_title_without_sessions_is_not_retained() -> None:
    """Viewers may name any title: a count of 0 for each of them would be kept for good."""
    core = Controller(settings(classes=[ClassSettings("clip", SECOND, title_session_limit=1)]), 1)
    core.handle(0, [ServerListUpdate([entry(0)], complete=True)])
    for number in range(3):
        core.handle(NOW, [request(f"{number}", NOW, copies=1, title=f"t{number}")])
        core.handle(NOW + 1, [AttemptEnded(f"{number}", 0, "s0", "served", final=True)])
    assert core.context.sessions_by_title == {}
    assert not core.sessions
