"""What a load met: latency from when each request should have been sent, in HDR histograms that merge over processes,
and the generator's own lag, by which it voids the seconds in which it fell behind.

A client that waits for an answer before it asks again measures a stalled broker once, however many would have asked
meanwhile (coordinated omission; Tene, *How NOT to Measure Latency*, 2013). Here nobody waits: what counts is the time
that was intended.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

LEAST_US, MOST_US, DIGITS = 1, 120_000_000, 3
LATE_US = 5_000  # a send later than this is late ...
LATE_PART = 0.001  # ... and a second with a larger part of late ones does not count
ON_TIME = "on time"


def histogram() -> HdrHistogram:
    """Microseconds, to three digits, up to two minutes."""
    return HdrHistogram(LEAST_US, MOST_US, DIGITS)


@dataclass(slots=True)
class Second:
    """The sends that were due in one second."""

    due: int = 0
    late: int = 0


@dataclass(slots=True)
class Found:
    """What one process met. All times are microseconds since the load's start."""

    latency: dict[tuple[str, str, str], HdrHistogram] = field(default_factory=dict)
    """By class, phase and outcome."""
    outcomes: Counter[tuple[str, str, str]] = field(default_factory=Counter)
    lag: HdrHistogram = field(default_factory=histogram)
    seconds: dict[int, Second] = field(default_factory=dict)
    waiting: dict[int, list[tuple[tuple[str, str, str], int]]] = field(default_factory=dict)
    """Latencies by the second in which they were due, until it is known whether it counts."""

    def sent(self, due_us: int, at_us: int) -> None:
        """A request that was due has been sent."""
        lag_us = max(0, at_us - due_us)
        self.lag.record_value(min(MOST_US, max(LEAST_US, lag_us)))
        second = self.seconds.setdefault(due_us // 1_000_000, Second())
        second.due += 1
        second.late += lag_us > LATE_US

    def answered(self, cls: str, phase: str, outcome: str, due_us: int, at_us: int) -> None:
        """It has its answer: the time counts from when it was due."""
        self.waiting.setdefault(due_us // 1_000_000, []).append(
            ((cls, phase, outcome), min(MOST_US, max(LEAST_US, at_us - due_us)))
        )

    def voided(self) -> list[int]:
        """Seconds in which too many sends were late: what was measured in them is the generator's doing."""
        return sorted(at for at, second in self.seconds.items() if second.late > LATE_PART * second.due)

    def settle(self) -> Found:
        """Put what was met in seconds that count into the histograms."""
        void = set(self.voided())
        for at, listed in self.waiting.items():
            for key, took_us in listed:
                if at in void:
                    self.outcomes[(key[0], key[1], "voided")] += 1
                    continue
                self.outcomes[key] += 1
                self.latency.setdefault(key, histogram()).record_value(took_us)
        self.waiting = {}
        return self

    def merge(self, other: Found) -> Found:
        """What two processes met; each has settled by its own lag."""
        for key, each in other.latency.items():
            self.latency.setdefault(key, histogram()).add(each)
        self.outcomes += other.outcomes
        self.lag.add(other.lag)
        for at, second in other.seconds.items():
            mine = self.seconds.setdefault(at, Second())
            mine.due, mine.late = mine.due + second.due, mine.late + second.late
        return self

    def verdict(self) -> str:
        """One line on the generator itself."""
        void = self.voided()
        if not void:
            return ON_TIME
        return (
            f"the generator fell behind in {len(void)} of {len(self.seconds)} seconds, which are void: "
            f"{', '.join(map(str, void[:10]))}{' ...' if len(void) > 10 else ''}"
        )

    def quantiles(
        self, cls: str, outcome: str, phase: str = "", at: tuple[float, ...] = (50.0, 99.0, 99.9)
    ) -> Mapping[float, float]:
        """Latency in microseconds at percentiles, over all phases or in one."""
        whole = histogram()
        for (each, when, what), one in self.latency.items():
            if (each, what) == (cls, outcome) and phase in ("", when):
                whole.add(one)
        return {each: float(whole.get_value_at_percentile(each)) for each in at}

    def pack(self) -> dict[str, object]:
        """As plain values, for another process: histograms in the library's own compressed form."""
        return {
            "latency": [[*key, each.encode().decode("ascii")] for key, each in self.latency.items()],
            "outcomes": [[*key, times] for key, times in self.outcomes.items()],
            "lag": self.lag.encode().decode("ascii"),
            "seconds": [[at, second.due, second.late] for at, second in self.seconds.items()],
        }

    @classmethod
    def unpack(cls, told: Mapping[str, list[list[object]]]) -> Found:
        """What :meth:`pack` made."""
        made = cls()
        for one, phase, outcome, text in told["latency"]:
            made.latency[str(one), str(phase), str(outcome)] = HdrHistogram.decode(str(text))
        for one, phase, outcome, times in told["outcomes"]:
            made.outcomes[str(one), str(phase), str(outcome)] = int(str(times))
        made.lag = HdrHistogram.decode(str(told["lag"]))
        for at, due, late in told["seconds"]:
            made.seconds[int(str(at))] = Second(int(str(due)), int(str(late)))
        return made
