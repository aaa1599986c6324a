"""Counts of what happened within the last while."""

from __future__ import annotations

from collections import deque


def count_recent(times: deque[int], now: int, window_us: int) -> int:
    """How many of the times (us, oldest first) lie within the window before ``now``; drops the others."""
    while times and times[0] <= now - window_us:
        times.popleft()
    return len(times)
