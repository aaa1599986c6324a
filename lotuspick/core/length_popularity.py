"""Popularity of each range of session lengths, measured from the length hints of recent requests."""

from __future__ import annotations

from collections import deque

from lotuspick.core import tuning
from lotuspick.core.validation import is_positive


class LengthPopularity:
    """Counts the length hints of the last minute by length pool, for one broker."""

    def __init__(self) -> None:
        """Start without hints: all ranges count as equally popular."""
        self.window: deque[tuple[int, int, int, float]] = deque()
        """Time and pool of the hints inside the window, their number and total length (us), oldest first.

        Hints of one time and pool share an entry, so that the size does not grow with the rate of requests.
        """
        self.hint_count = [0] * tuning.POOL_COUNT
        self.hint_us = [0.0] * tuning.POOL_COUNT

    def add(self, length_us: float | None, pool: int, now: int) -> None:
        """Count the length hint of a request received at clock time ``now`` (us); ignore an invalid hint."""
        if not is_positive(length_us):
            return
        self.hint_count[pool] += 1
        self.hint_us[pool] += length_us
        for index in range(-1, -min(tuning.POOL_COUNT, len(self.window)) - 1, -1):
            received_at, entry_pool, count, total_us = self.window[index]
            if received_at == now and entry_pool == pool:
                self.window[index] = now, pool, count + 1, total_us + length_us
                return
        self.window.append((now, pool, 1, length_us))

    def turnovers(self, duration_us: int) -> float:
        """Return a duration as a multiple of the mean session length: the number of session turnovers."""
        return duration_us / (
            sum(self.hint_us) / sum(self.hint_count) if self.window else tuning.DEFAULT_SESSION_LENGTH_US
        )

    def pool_sizes(self, now: int) -> list[float]:
        """Return each pool's share of a link: its popularity times its length, over the sum of all pools."""
        while self.window and self.window[0][0] <= now - tuning.POPULARITY_WINDOW_US:
            _, pool, count, total_us = self.window.popleft()
            self.hint_count[pool] -= count
            self.hint_us[pool] -= total_us
        total = sum(us for us, count in zip(self.hint_us, self.hint_count) if count)
        if not total:
            return [
                typical / sum(tuning.DEFAULT_POOL_LENGTHS_US) for typical in tuning.DEFAULT_POOL_LENGTHS_US
            ]
        # A range without hints gets no share: otherwise unused long ranges would get most of the link.
        return [us / total if count else 0.0 for us, count in zip(self.hint_us, self.hint_count)]


def length_pool(length_us: float | None) -> int:
    """Return the pool of a session with this length hint (us); without a valid hint, the middle pool."""
    return (
        sum(length_us >= cut for cut in tuning.LENGTH_POOL_BOUNDS_US)
        if is_positive(length_us)
        else tuning.DEFAULT_LENGTH_POOL
    )
