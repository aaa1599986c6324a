"""Timers of the dispatcher: a heap of callbacks, fired in the order of their due times.

Whoever starts a timer for a request, an attempt or a session cancels it when that ends: a cancelled timer
holds no callback, and the heap holds few cancelled timers.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable

from lotuspick.core.events import Event

TimerCallback = Callable[[int], Event | None]
"""Takes the current time in microseconds; returns an event for the decision module, or None."""

MIN_COMPACTION = 64
"""Number of cancelled timers from which the heap may be compacted."""


class Timer:
    """A started timer of a :class:`TimerQueue`."""

    __slots__ = ("_queue", "callback")

    def __init__(self, queue: TimerQueue, callback: TimerCallback) -> None:
        """Create a timer that ``queue`` starts."""
        self._queue = queue
        self.callback: TimerCallback | None = callback
        """None once the timer has fired or is cancelled."""

    def cancel(self) -> None:
        """Drop the callback; has no effect on a timer that has fired or is cancelled."""
        if self.callback is not None:
            self.callback = None
            self._queue.count_cancelled()


class TimerQueue:
    """Callbacks by due time; callbacks due at the same microsecond fire in the order of their start."""

    def __init__(self) -> None:
        """Start without timers."""
        self._heap: list[tuple[int, int, Timer]] = []
        self._start_count = 0  # orders equal due times, so that timers are never compared
        self._cancelled_count = 0  # cancelled timers in the heap

    def __len__(self) -> int:
        """Return the number of timers that have neither fired nor been cancelled."""
        return len(self._heap) - self._cancelled_count

    @property
    def next_due_us(self) -> int | None:
        """Due time of the next timer; None without timers."""
        self._drop_cancelled()
        return self._heap[0][0] if self._heap else None

    def start(self, due_us: int, callback: TimerCallback) -> Timer:
        """Start a timer that is due at ``due_us``; one due in the past fires at the next :meth:`pop_due`."""
        self._start_count += 1
        timer = Timer(self, callback)
        heapq.heappush(self._heap, (due_us, self._start_count, timer))
        return timer

    def pop_due(self, now: int) -> TimerCallback | None:
        """Remove the next timer that is due by ``now`` and return its callback; None if there is none."""
        self._drop_cancelled()
        if not self._heap or self._heap[0][0] > now:
            return None
        timer = heapq.heappop(self._heap)[2]
        callback, timer.callback = timer.callback, None
        return callback

    def count_cancelled(self) -> None:
        """Count a cancelled timer; compact the heap once half of it is cancelled."""
        self._cancelled_count += 1
        if self._cancelled_count >= max(MIN_COMPACTION, len(self._heap) / 2):
            self._heap = [item for item in self._heap if item[2].callback is not None]
            heapq.heapify(self._heap)
            self._cancelled_count = 0

    def _drop_cancelled(self) -> None:
        """Remove the cancelled timers from the head of the heap."""
        while self._heap and self._heap[0][2].callback is None:
            heapq.heappop(self._heap)
            self._cancelled_count -= 1
