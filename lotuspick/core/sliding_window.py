"""Event counts in a sliding time window."""

from __future__ import annotations

from collections import deque


def count_recent(times: deque[int], now: int, window_us: int) -> int:
    """Return the number of times (us, oldest first) in the window before ``now``; delete older times."""
    while times and times[0] <= now - window_us:
        times.popleft()
    return len(times)


class RecentEvents:
    """Times of the events in a sliding window, as of the last count."""

    __slots__ = ("times", "window_us")

    def __init__(self, window_us: int) -> None:
        self.times = deque[int]()
        self.window_us = window_us

    def record(self, now: int) -> None:
        """Record an event at clock time ``now`` (us)."""
        self.times.append(now)
        self.count(now)

    def count(self, now: int) -> int:
        """Return the number of events in the window before ``now`` (us)."""
        return count_recent(self.times, now, self.window_us)
