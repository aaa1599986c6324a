"""Measurements of a load: latencies, outcomes, and the lag of the generator itself.

Latencies are kept in HDR histograms, which can be merged over processes. Seconds in which the generator sent
too many requests late are voided.

A closed-loop client, which waits for each answer before it sends the next request, samples a stall of the
broker only once (coordinated omission; Tene, *How NOT to Measure Latency*, 2013). This generator does not
wait, and latency counts from the time at which a request was due.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from hdrh.histogram import HdrHistogram

MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS = 1, 120_000_000, 3
SECOND_US = 1_000_000
LATE_THRESHOLD_US = 5_000  # a request sent later than this after its due time is late
MAX_LATE_SHARE = 0.001  # seconds with a larger share of late requests are voided
ON_TIME = "on time"
VOIDED = "voided"
"""Outcome of all requests that were due in a voided second."""
MAX_LISTED_SECONDS = 10
PERCENTILES = (50.0, 99.0, 99.9)


def new_histogram() -> HdrHistogram:
    """Return an empty histogram of microseconds: three significant digits, up to two minutes."""
    return HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS)


def _bounded_us(duration_us: int) -> int:
    """Clamp a duration to the range of the histograms."""
    return min(MAX_LATENCY_US, max(MIN_LATENCY_US, duration_us))


class OutcomeKey(NamedTuple):
    """Key of latencies and outcomes."""

    session_class: str
    phase: str
    outcome: str


class Latency(NamedTuple):
    """A latency that is not in a histogram yet."""

    key: OutcomeKey
    latency_us: int


@dataclass(slots=True)
class SendCounts:
    """Numbers of requests due in one second, and of those sent late."""

    due: int = 0
    late: int = 0


@dataclass(slots=True)
class LoadMeasurement:
    """Measurements of one process. All times are microseconds since the start of the load."""

    latencies: dict[OutcomeKey, HdrHistogram] = field(default_factory=dict)
    outcomes: Counter[OutcomeKey] = field(default_factory=Counter)
    lag: HdrHistogram = field(default_factory=new_histogram)
    seconds: dict[int, SendCounts] = field(default_factory=dict)
    _pending_latencies: dict[int, list[Latency]] = field(default_factory=dict, init=False)
    """By the second in which the requests were due, until :meth:`finalize`."""

    def record_sent(self, due_us: int, at_us: int) -> None:
        """Record that a request was sent."""
        lag_us = max(0, at_us - due_us)
        self.lag.record_value(_bounded_us(lag_us))
        second = self.seconds.setdefault(due_us // SECOND_US, SendCounts())
        second.due += 1
        second.late += lag_us > LATE_THRESHOLD_US

    def record_outcome(self, session_class: str, phase: str, outcome: str, due_us: int, at_us: int) -> None:
        """Record the outcome of a request; its latency counts from its due time."""
        latency = Latency(OutcomeKey(session_class, phase, outcome), _bounded_us(at_us - due_us))
        self._pending_latencies.setdefault(due_us // SECOND_US, []).append(latency)

    def voided_seconds(self) -> list[int]:
        """Return the seconds with too many late requests; their latencies reflect the generator."""
        return sorted(
            second for second, counts in self.seconds.items() if counts.late > MAX_LATE_SHARE * counts.due
        )

    def finalize(self) -> LoadMeasurement:
        """Add pending latencies to the histograms, and count those of voided seconds as ``VOIDED``."""
        voided = set(self.voided_seconds())
        for second, latencies in self._pending_latencies.items():
            for key, latency_us in latencies:
                if second in voided:
                    self.outcomes[key._replace(outcome=VOIDED)] += 1
                    continue
                self.outcomes[key] += 1
                self.latencies.setdefault(key, new_histogram()).record_value(latency_us)
        self._pending_latencies = {}
        return self

    def merge(self, other: LoadMeasurement) -> LoadMeasurement:
        """Add the measurements of another process; both must be finalized."""
        for key, histogram in other.latencies.items():
            self.latencies.setdefault(key, new_histogram()).add(histogram)
        self.outcomes += other.outcomes
        self.lag.add(other.lag)
        for second, counts in other.seconds.items():
            own_counts = self.seconds.setdefault(second, SendCounts())
            own_counts.due += counts.due
            own_counts.late += counts.late
        return self

    def generator_verdict(self) -> str:
        """Return one line on the generator's own lag."""
        voided = self.voided_seconds()
        if not voided:
            return ON_TIME
        listed = ", ".join(map(str, voided[:MAX_LISTED_SECONDS]))
        more = " ..." if len(voided) > MAX_LISTED_SECONDS else ""
        return (
            f"the generator fell behind in {len(voided)} of {len(self.seconds)} seconds, which are void: "
            f"{listed}{more}"
        )

    def quantiles(
        self, session_class: str, outcome: str, phase: str = "", at: tuple[float, ...] = PERCENTILES
    ) -> Mapping[float, float]:
        """Return latencies in microseconds by percentile, for one phase or, if it is empty, for all."""
        combined = new_histogram()
        for key, histogram in self.latencies.items():
            is_selected = (key.session_class, key.outcome) == (session_class, outcome)
            if is_selected and phase in ("", key.phase):
                combined.add(histogram)
        return {percentile: float(combined.get_value_at_percentile(percentile)) for percentile in at}

    def pack(self) -> dict[str, object]:
        """Serialize to plain values for another process; histograms use the library's compressed encoding."""
        return {
            "latency": [
                [*key, histogram.encode().decode("ascii")] for key, histogram in self.latencies.items()
            ],
            "outcomes": [[*key, count] for key, count in self.outcomes.items()],
            "lag": self.lag.encode().decode("ascii"),
            "seconds": [[second, counts.due, counts.late] for second, counts in self.seconds.items()],
        }

    @classmethod
    def unpack(cls, packed: Mapping[str, list[list[object]]]) -> LoadMeasurement:
        """Restore the measurement from the output of :meth:`pack`."""
        measurement = cls()
        for session_class, phase, outcome, text in packed["latency"]:
            key = OutcomeKey(str(session_class), str(phase), str(outcome))
            measurement.latencies[key] = HdrHistogram.decode(str(text))
        for session_class, phase, outcome, count in packed["outcomes"]:
            key = OutcomeKey(str(session_class), str(phase), str(outcome))
            measurement.outcomes[key] = int(str(count))
        measurement.lag = HdrHistogram.decode(str(packed["lag"]))
        for second, due, late in packed["seconds"]:
            measurement.seconds[int(str(second))] = SendCounts(int(str(due)), int(str(late)))
        return measurement
