"""Timers of the dispatcher: order, due times and timers started while others fire."""

from __future__ import annotations

from lotuspick.core.events import Event, TimerFired
from lotuspick.routing.timers import MIN_COMPACTION, TimerCallback, TimerQueue


def fire_with(token: int) -> TimerCallback:
    return lambda now: TimerFired(token)


def fire_due(queue: TimerQueue, now: int) -> list[Event | None]:
    events = []
    while (callback := queue.pop_due(now)) is not None:
        events.append(callback(now))
    return events


def test_timers_due_in_one_tick_fire_by_due_time_and_then_in_the_order_of_their_start() -> None:
    queue = TimerQueue()
    for due_us, token in ((30, 1), (10, 2), (30, 3), (0, 4), (10, 5)):
        queue.start(due_us, fire_with(token))
    assert fire_due(queue, 30) == [TimerFired(token) for token in (4, 2, 5, 1, 3)]
    assert queue.next_due_us is None


def test_timer_that_is_not_due_stays_and_its_due_time_is_reported() -> None:
    queue = TimerQueue()
    assert queue.next_due_us is None
    assert queue.pop_due(10) is None
    queue.start(11, fire_with(1))
    assert queue.pop_due(10) is None
    assert queue.next_due_us == 11
    assert fire_due(queue, 11) == [TimerFired(1)]


def test_timer_started_by_one_that_fires_fires_in_the_same_tick_where_it_is_due() -> None:
    queue = TimerQueue()

    def start_more(now: int) -> None:
        queue.start(now, fire_with(2))
        queue.start(now + 1, fire_with(3))

    queue.start(5, start_more)
    assert fire_due(queue, 5) == [None, TimerFired(2)]
    assert queue.next_due_us == 6


def test_cancelled_timer_neither_fires_nor_counts_as_next() -> None:
    queue = TimerQueue()
    first, second = queue.start(5, fire_with(1)), queue.start(6, fire_with(2))
    first.cancel()
    first.cancel()
    assert (len(queue), queue.next_due_us) == (1, 6)
    assert fire_due(queue, 6) == [TimerFired(2)]
    second.cancel()
    assert (len(queue), queue.next_due_us) == (0, None)


def test_cancelled_timers_leave_the_heap_before_they_are_due() -> None:
    """Guards against memory that grows with the requests of a minute: their timers stayed until they were due."""
    queue = TimerQueue()
    kept = queue.start(1, fire_with(0))
    for number in range(100 * MIN_COMPACTION):
        queue.start(2 + number, fire_with(number)).cancel()
    assert len(queue._heap) <= 1 + MIN_COMPACTION
    assert fire_due(queue, 1) == [TimerFired(0)]
    assert kept.callback is None
