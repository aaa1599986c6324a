"""Shared test helpers: settings of a small site, servers, requests and controllers."""

from __future__ import annotations

from collections.abc import ItemsView, ValuesView
from typing import Any

from lotuspick.core.actions import ForwardAttempt, RejectSession, SetRung
from lotuspick.core.controller import Controller
from lotuspick.core.events import (
    AttemptEnded,
    ServerEntry,
    ServerListUpdate,
    SessionNotification,
    SessionRequest,
    SessionStarted,
)
from lotuspick.core.settings import ClassSettings, RetrySafety, Settings

SECOND = 1_000_000
NOW = 20 * SECOND
LADDER = (100.0, 200.0, 400.0, 800.0)


class CountingDict(dict[str, Any]):
    """Counts the passes over all of its entries."""

    passes = 0

    def values(self) -> ValuesView[Any]:
        """Count a pass."""
        self.passes += 1
        return super().values()

    def items(self) -> ItemsView[str, Any]:
        """Count a pass."""
        self.passes += 1
        return super().items()


def settings(**changes: Any) -> Settings:
    """Return the settings of a small site; ``changes`` replace fields."""
    values: dict[str, Any] = {
        "zone": "a",
        "brokers": 1,
        "ladder_kb_per_s": LADDER,
        "rung_values": (0.25, 0.5, 0.75, 1.0),
        "classes": [
            ClassSettings("clip", SECOND),
            ClassSettings("exam", 1_500_000, retry_safety=RetrySafety.NOT_IDEMPOTENT, priority_weight=3.0),
        ],
        "stream_limit_by_kind": {"box": 30},
        "positions": 4,
        "racks": 2,
        "link_kb_per_weight": 1000.0,
        "notification_delay_us": 500_000,
        "notification_interval_us": 3 * SECOND,
        "max_attempts": 4,
        "drain_grace_us": SECOND,
        "slow_start_fraction": 0.5,
        "warm_up_us": 8 * SECOND,
        "overload_factor": 2.5,
        "overload_window_us": 1_500_000,
    }
    return Settings(**{**values, **changes})


def entry(position: int, **changes: Any) -> ServerEntry:
    """Return the endpoint list entry of server ``s<position>``; ``changes`` replace fields."""
    values: dict[str, Any] = {"server": f"s{position}", "zone": "a", "kind": "box", "position": position}
    return ServerEntry(**{**values, **changes})


def servers(count: int = 4) -> ServerListUpdate:
    """Return a complete endpoint list."""
    return ServerListUpdate([entry(position) for position in range(count)], complete=True)


def request(session: str, now: int = 0, **changes: Any) -> SessionRequest:
    """Return a request of class ``clip`` that any server can play; ``changes`` replace fields."""
    values: dict[str, Any] = {
        "session": session,
        "session_class": "clip",
        "title": "t",
        "home_position": 0,
        "copies": 4,
        "highest_rung": 3,
        "deadline_us": now + 4 * SECOND,
        "length_us": 40e6,
    }
    return SessionRequest(**{**values, **changes})


def controller(count: int = 4, loads: float | None = 0.0, **changes: Any) -> Controller:
    """Return a controller that has received its endpoint list.

    Args:
        count: number of servers.
        loads: load of each link in the notifications already received; None: no notification.
        changes: fields to replace in the settings.
    """
    core = Controller(settings(**changes), 7)
    core.handle(0, [servers(count)])
    if loads is not None:
        core.handle(
            NOW,
            [SessionNotification("none", f"s{position}", "link", loads) for position in range(count)],
        )
    return core


def of(actions: list[Any], kind: type) -> list[Any]:
    """Return the actions of one type."""
    return [action for action in actions if isinstance(action, kind)]


def place(core: Controller, now: int, session: str, **changes: Any) -> tuple[str, int] | None:
    """Submit a request; return the server and rung assigned at once, or None."""
    actions = core.handle(now, [request(session, now, **changes)])
    forwarded = of(actions, ForwardAttempt)
    return (forwarded[0].server, of(actions, SetRung)[0].rung) if forwarded else None


__all__ = [
    "LADDER",
    "SECOND",
    "AttemptEnded",
    "RejectSession",
    "SessionStarted",
    "controller",
    "entry",
    "of",
    "place",
    "request",
    "servers",
    "settings",
]
