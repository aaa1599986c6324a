"""The workload for which ``core.py`` measures the controller.

It simulates viewers and servers around one controller: sessions are requested at a constant rate, start
80 ms after they are forwarded, send a notification every 2 s and end after 10 to 20 s. The same seed gives
the same events.
"""

from __future__ import annotations

import gc
import heapq
import random
import statistics
import time
from collections.abc import Sequence

from lotuspick.core.actions import Action, FailSession, ForwardAttempt, RejectSession, StartTimer
from lotuspick.core.controller import Controller
from lotuspick.core.events import (
    AttemptEnded,
    AttemptOutcome,
    Event,
    ServerEntry,
    ServerListUpdate,
    SessionNotification,
    SessionRequest,
    SessionStarted,
    TimerFired,
)
from lotuspick.core.settings import ClassSettings, RetrySafety, Settings

SECOND_US = 1_000_000
TICK_US = 10_000
START_US = 20 * SECOND_US
WARM_UP_US = 12 * SECOND_US
MEASURED_US = 6 * SECOND_US

SET_UP_US = 80_000
FIRST_NOTIFICATION_US = 300_000
NOTIFICATION_INTERVAL_US = 2 * SECOND_US
MIN_LENGTH_S, MAX_LENGTH_S = 10, 20
SESSION_KB_PER_S = 250.0

CLIP, EXAM = "clip", "exam"
EXAM_SHARE = 0.35
DEADLINE_US = {CLIP: 5 * SECOND_US, EXAM: 3 * SECOND_US}
COPIES = 3
HIGHEST_RUNG = 3
REQUESTED_LENGTH_US = 15e6

MEAN_LENGTH_S = 15
MEAN_REQUESTED_KB_PER_S = 360.0 * 0.5
FULL_LINK_RATIO, FREE_LINK_RATIO = 1 / 1.7, 4.0
"""Ratio of link capacity to requested bandwidth."""


def link_capacity(nodes: int, rate_per_s: int, links_full: bool) -> float:
    """Return the link capacity of each server, in kB/s."""
    requested_kb_per_s = rate_per_s * MEAN_LENGTH_S * MEAN_REQUESTED_KB_PER_S
    return requested_kb_per_s / nodes * (FULL_LINK_RATIO if links_full else FREE_LINK_RATIO)


def make_settings(nodes: int, link_kb_per_s: float) -> Settings:
    """Return settings for a site with two classes and equal links for all servers."""
    return Settings(
        zone="a",
        brokers=1,
        classes=[
            ClassSettings(CLIP, 1_500_000),
            ClassSettings(EXAM, 800_000, RetrySafety.NOT_IDEMPOTENT, 2.0, 1.4, 1),
        ],
        ladder_kb_per_s=[90.0, 180.0, 360.0, 720.0],
        rung_values=[0.25, 0.5, 0.8, 1.0],
        stream_limit_by_kind={"box": 10_000.0},
        positions=nodes,
        link_kb_per_weight=link_kb_per_s,
        weight_kind="nominal",
        notification_interval_us=NOTIFICATION_INTERVAL_US,
        notification_delay_us=500_000,
        max_attempts=3,
        dial_timeout_us=250_000,
        retry_after_allowed=True,
        max_retry_after_us=2 * SECOND_US,
        inline_load_reports=True,
    )


class SimulatedFleet:
    """Viewers that request sessions, and servers that play the forwarded ones."""

    def __init__(self, nodes: int, rate_per_s: int, link_kb_per_s: float, seed: int) -> None:
        self._nodes = nodes
        self._rate_per_s = rate_per_s
        self._link_kb_per_s = link_kb_per_s
        self._random = random.Random(seed)
        self._scheduled_events: list[
            tuple[int, float, Event]
        ] = []  # a heap by time; the second breaks ties at random
        self._kb_per_s_by_session: dict[str, float] = {}
        self._kb_per_s_by_server = {entry.server: 0.0 for entry in self.server_entries()}
        self._request_count = 0
        self._request_credit = 0.0  # fractional requests due; a tick may have less than one

    def server_entries(self) -> list[ServerEntry]:
        """Return the entries of the endpoint list."""
        return [ServerEntry(f"s{position}", "a", "box", position) for position in range(self._nodes)]

    def take_events(self, now_us: int) -> list[Event]:
        """Return the events since the last tick."""
        events: list[Event] = []
        while self._scheduled_events and self._scheduled_events[0][0] <= now_us:
            events.append(self._apply_event(heapq.heappop(self._scheduled_events)[2]))
        self._request_credit += self._rate_per_s * TICK_US / SECOND_US
        while self._request_credit >= 1:
            self._request_credit -= 1
            events.append(self._request_session(now_us))
        return events

    def execute(self, now_us: int, actions: Sequence[Action]) -> None:
        """Execute the controller's actions: start timers and sessions."""
        for action in actions:
            if isinstance(action, StartTimer):
                self._schedule(now_us + max(action.delay_us, 1), TimerFired(action.timer_id))
            elif isinstance(action, ForwardAttempt):
                self._play(now_us, action.session, action.server)
            elif isinstance(action, RejectSession | FailSession):
                self._kb_per_s_by_session.pop(action.session, None)

    def _apply_event(self, event: Event) -> Event:
        """Update the load of the links; give a notification the load at the time when it is sent."""
        if isinstance(event, AttemptEnded):
            self._kb_per_s_by_server[event.server] -= self._kb_per_s_by_session.pop(event.session, 0.0)
        elif isinstance(event, SessionNotification):
            load = self._kb_per_s_by_server[event.server] / self._link_kb_per_s
            return SessionNotification(event.session, event.server, "link", load)
        return event

    def _request_session(self, now_us: int) -> SessionRequest:
        self._request_count += 1
        session_class = EXAM if self._random.random() < EXAM_SHARE else CLIP
        home = self._random.randrange(self._nodes)
        return SessionRequest(
            f"q{self._request_count}",
            session_class,
            f"t{home}",
            home,
            COPIES,
            HIGHEST_RUNG,
            now_us + DEADLINE_US[session_class],
            REQUESTED_LENGTH_US,
        )

    def _play(self, now_us: int, session: str, server: str) -> None:
        self._kb_per_s_by_session[session] = SESSION_KB_PER_S
        self._kb_per_s_by_server[server] += SESSION_KB_PER_S
        start_us = now_us + SET_UP_US
        end_us = start_us + int(self._random.uniform(MIN_LENGTH_S, MAX_LENGTH_S) * SECOND_US)
        self._schedule(start_us, SessionStarted(session, 0, server, SET_UP_US))
        for notified_us in range(now_us + FIRST_NOTIFICATION_US, end_us, NOTIFICATION_INTERVAL_US):
            self._schedule(notified_us, SessionNotification(session, server, "link", 0.0))
        self._schedule(end_us, AttemptEnded(session, 0, server, AttemptOutcome.SERVED, final=True))

    def _schedule(self, at_us: int, event: Event) -> None:
        heapq.heappush(
            self._scheduled_events, (at_us, len(self._scheduled_events) + self._random.random(), event)
        )


def measure_cost(nodes: int, rate_per_s: int, links_full: bool, seed: int) -> list[float]:
    """Time one controller under this load.

    Returns:
        Processor time in ``Controller.handle`` after the warm-up, in microseconds: the mean per request,
        and the median, the 99th percentile and the maximum over all ticks with events.
    """
    link_kb_per_s = link_capacity(nodes, rate_per_s, links_full)
    controller = Controller(make_settings(nodes, link_kb_per_s), seed)
    fleet = SimulatedFleet(nodes, rate_per_s, link_kb_per_s, seed)
    controller.handle(0, [ServerListUpdate(fleet.server_entries(), complete=True)])
    tick_times_s: list[float] = []
    request_count = 0
    gc.freeze()
    for elapsed_us in range(0, WARM_UP_US + MEASURED_US, TICK_US):
        now_us = START_US + elapsed_us
        events = fleet.take_events(now_us)
        if not events:
            continue
        start_s = time.process_time()
        actions = controller.handle(now_us, events)
        end_s = time.process_time()
        if elapsed_us >= WARM_UP_US:
            tick_times_s.append(end_s - start_s)
            request_count += sum(isinstance(event, SessionRequest) for event in events)
        fleet.execute(now_us, actions)
    percentiles = statistics.quantiles(tick_times_s, n=100)
    mean_s = sum(tick_times_s) / max(1, request_count)
    return [seconds * 1e6 for seconds in (mean_s, percentiles[49], percentiles[98], max(tick_times_s))]
