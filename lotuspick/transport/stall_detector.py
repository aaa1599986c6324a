"""Detects stalls of this process, so that input read after a stall is not treated as new.

A process that was stopped or starved of CPU reads input late, and the input carries no arrival time. A
periodic timer bounds its age: if the timer is overdue, the input may have arrived at any time since the timer
last fired.
"""

from __future__ import annotations

from lotuspick.transport.sockets import Reactor, now_us

SECOND_US = 1_000_000
POLL_INTERVAL_US = 50_000
MAX_TIMER_DELAY_US = 50_000
"""A busy process may run a timer this late without a stall."""


class StallDetector:
    """A periodic timer whose delay bounds the age of input that is read now."""

    def __init__(self, reactor: Reactor) -> None:
        self.reactor = reactor
        self._due_us: int | None = None  # when the timer should fire next; None: not started
        self._last_run_us = 0  # when the timer last fired before the most recent stall
        self._stale_until_us = 0  # input that is read before this time may date from that stall

    def start(self) -> None:
        """Start the periodic timer."""
        self._schedule()

    def earliest_arrival_us(self) -> int:
        """The earliest possible arrival time of input that is read now, on the clock of :func:`now_us`."""
        now = now_us()
        if self._due_us is not None and now - self._due_us > MAX_TIMER_DELAY_US:
            return self._due_us - POLL_INTERVAL_US  # the sockets are polled before the overdue timer runs
        return self._last_run_us if now < self._stale_until_us else now

    def _on_timer(self) -> None:
        now = now_us()
        if self._due_us is not None and now - self._due_us > MAX_TIMER_DELAY_US:
            # The timer runs before the sockets are polled: the next reads may return input from the stall.
            self._last_run_us, self._stale_until_us = self._due_us - POLL_INTERVAL_US, now + POLL_INTERVAL_US
        self._schedule()

    def _schedule(self) -> None:
        self._due_us = now_us() + POLL_INTERVAL_US
        self.reactor.callLater(POLL_INTERVAL_US / SECOND_US, self._on_timer)
