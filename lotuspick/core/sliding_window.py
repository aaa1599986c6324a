"""Counts of what happened within the last while."""

from __future__ import annotations

from collections import deque


def count_recent(times: deque[int], now: int, window_us: int) -> int:
    """How many of the times (us, oldest first) lie within the window before ``now``; drops the others."""
    while times and times[0] <= now - window_us:
        times.popleft()
    return len(times)


class RecentEvents:
    """The times of events that lie within a window, as of the last count."""

    __slots__ = ("times", "window_us")

    def __init__(self, window_us: int) -> None:
        self.times = deque[int]()
        self.window_us = window_us

    def record(self, now: int) -> None:
        """Count an event at clock time ``now`` (us)."""
        self.times.append(now)
        self.count(now)

    def count(self, now: int) -> int:
        """How many events lie within the window before ``now`` (us)."""
        return count_recent(self.times, now, self.window_us)
