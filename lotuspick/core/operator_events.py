"""Events for operators: buffered until they are fetched, and rate-limited by subject."""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass

MIN_INTERVAL_US = 10_000_000  # us: minimum time between events on one subject
MAX_TRACKED_SUBJECTS = 1_024  # subjects with a stored last event
MAX_PENDING = 256  # buffered events; the oldest are dropped first


@dataclass(frozen=True, slots=True)
class OperatorEvent:
    """One event for operators with its name and fields."""

    name: str
    fields: Mapping[str, str | int | float]


class RateLimitedEvents:
    """Bounded buffer of events; the next event on a subject carries the number of suppressed events."""

    def __init__(self) -> None:
        self.pending: deque[OperatorEvent] = deque(maxlen=MAX_PENDING)
        self.last_recorded = dict[tuple[str, str], tuple[int, int]]()
        """Time of the last event and number of suppressed events since, by event name and subject."""

    def record(self, now: int, name: str, subject: str, /, **fields: str | int | float) -> None:
        """Record an event at clock time ``now`` (us), unless its subject had one in ``MIN_INTERVAL_US``."""
        key = (name, subject)
        last, suppressed = self.last_recorded.get(key, (-MIN_INTERVAL_US, 0))
        if 0 <= now - last < MIN_INTERVAL_US:
            self.last_recorded[key] = (last, suppressed + 1)
            return
        if len(self.last_recorded) >= MAX_TRACKED_SUBJECTS:
            del self.last_recorded[next(iter(self.last_recorded))]
        self.last_recorded.pop(key, None)
        self.last_recorded[key] = (now, 0)
        self.pending.append(OperatorEvent(name, fields | ({"left_out": suppressed} if suppressed else {})))

    def take_events(self) -> list[OperatorEvent]:
        """Return the events recorded since the last call."""
        events = list(self.pending)
        self.pending.clear()
        return events
