"""Lines for operators that decisions have to tell: kept until they are fetched, one on a matter in a while."""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass

SAY_US = 10_000_000  # a line on the same matter is given no more often
MATTERS = 1_024  # matters on which the last line is remembered
WAITING = 256  # lines that wait to be fetched; the oldest go first


@dataclass(frozen=True, slots=True)
class OperatorEvent:
    """One line for operators: what happened, and its figures."""

    name: str
    fields: Mapping[str, str | int | float]


class RateLimitedEvents:
    """Bounded whatever is said; what is left out on a matter is counted in its next line."""

    def __init__(self) -> None:
        self.waiting: deque[OperatorEvent] = deque(maxlen=WAITING)
        self.said: dict[
            tuple[str, str], tuple[int, int]
        ] = {}  # last line on a matter, and those left out since

    def record(self, now: int, what: str, matter: str, **fields: str | int | float) -> None:
        """One line at clock time ``now`` (us), unless the matter had one of late."""
        key = (what, matter)
        last, left_out = self.said.get(key, (-SAY_US, 0))
        if 0 <= now - last < SAY_US:
            self.said[key] = (last, left_out + 1)
            return
        if len(self.said) >= MATTERS:
            del self.said[next(iter(self.said))]
        self.said.pop(key, None)
        self.said[key] = (now, 0)
        self.waiting.append(OperatorEvent(what, fields | ({"left_out": left_out} if left_out else {})))

    def take_events(self) -> list[OperatorEvent]:
        """The lines since the last call."""
        lines = list(self.waiting)
        self.waiting.clear()
        return lines
