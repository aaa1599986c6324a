"""Validation of the load generator's measurements.

The generator and, for comparison, closed-loop clients measure a fake broker whose latencies are known.
"""

from __future__ import annotations

import asyncio
import subprocess
import sys
import time
from collections.abc import Iterator, Mapping, Sequence
from contextlib import contextmanager

from lotuspick.lab.load import fake_broker
from lotuspick.lab.load.arrivals import (
    US_PER_S,
    Arrival,
    ClassShare,
    LoadProfile,
    Phase,
    draw_arrivals,
)
from lotuspick.lab.load.measure import LoadMeasurement
from lotuspick.lab.load.sender import SERVED, LoadSender, Target
from lotuspick.lab.trial_result import Figures, Parameters, TrialResult

PERCENTILES = (50.0, 99.0, 99.9)
RELATIVE_TOLERANCE, ABSOLUTE_TOLERANCE_US = 0.02, 1_000.0
"""An error equal to the larger of the two is reported as 1."""
SESSION_CLASS, SESSION_LENGTH_S = "c", 600.0
POSITIONS = 12
CLOSED_LOOP_CLIENTS = 8


def load(world: Parameters, arm: Parameters, seed: int) -> TrialResult:
    """Run one trial.

    Args:
        world: Parameters common to all arms.
        arm: ``kind`` of the broker's delay, ``rate`` in requests per second, ``seconds`` of load.
        seed: Seed of the arrivals.

    Returns:
        ``off``: the largest error of p50, p99 and p99.9, in units of the larger of 2% of the true value and
        1 ms; ``closed_off``: the same for closed-loop clients.
    """
    parameters = {**world, **arm}
    kind, seconds, rate = parameters["kind"], parameters["seconds"], parameters["rate"]
    classes = [ClassShare(SESSION_CLASS, 1.0, SESSION_LENGTH_S, SESSION_LENGTH_S)]
    arrivals = list(draw_arrivals(LoadProfile([Phase("p", seconds, rate)], classes), seed))
    expected = percentiles(_expected_latencies_us(kind, arrivals))
    measurement, error_count = asyncio.run(_measure_open_loop(kind, arrivals))
    closed_loop_us = asyncio.run(_measure_closed_loop(kind, seconds, rate))
    figures: Figures = {
        "voided": len(measurement.voided_seconds()),
        "sent": len(arrivals),
        "trouble": error_count,
        "lag_p999_us": float(measurement.lag.get_value_at_percentile(99.9)),
        **_comparison("", measurement.quantiles(SESSION_CLASS, SERVED, at=PERCENTILES), expected),
        **_comparison("closed_", percentiles(closed_loop_us), expected),
        **{f"true_p{at:g}_us": value for at, value in expected.items()},
    }
    return TrialResult(figures, {})


def _expected_latencies_us(kind: str, arrivals: Sequence[Arrival]) -> list[float]:
    """Return the latencies that an ideal generator would measure, sorted."""
    first_us = arrivals[0].at_us
    due_s = [(arrival.at_us - first_us) / US_PER_S for arrival in arrivals]
    return sorted(latency_s * US_PER_S for latency_s in fake_broker.true_latencies_s(kind, due_s))


def _comparison(prefix: str, measured: Mapping[float, float], expected: Mapping[float, float]) -> Figures:
    """Return the measured percentiles and the largest error."""
    errors = [
        abs(measured[at] - expected[at]) / max(RELATIVE_TOLERANCE * expected[at], ABSOLUTE_TOLERANCE_US)
        for at in PERCENTILES
    ]
    return {
        **{f"{prefix}p{at:g}_us": measured[at] for at in PERCENTILES},
        f"{prefix}off": max(errors),
    }


def percentiles(sorted_sample: Sequence[float]) -> dict[float, float]:
    """Return ``PERCENTILES`` of a sorted sample, by nearest rank."""
    last = len(sorted_sample) - 1
    return {
        at: sorted_sample[min(last, max(0, int(len(sorted_sample) * at / 100 + 0.5) - 1))]
        for at in PERCENTILES
    }


@contextmanager
def _running_fake_broker(kind: str) -> Iterator[int]:
    """Run a fake broker process; yield its port."""
    process = subprocess.Popen(
        [sys.executable, "-m", "lotuspick.lab.load.fake_broker", kind], stdout=subprocess.PIPE, text=True
    )
    assert process.stdout is not None
    try:
        yield int(process.stdout.readline())
    finally:
        process.terminate()
        process.wait()
        process.stdout.close()


async def _measure_open_loop(kind: str, arrivals: Sequence[Arrival]) -> tuple[LoadMeasurement, int]:
    """Return the generator's measurements and the number of failed connection attempts."""
    with _running_fake_broker(kind) as port:
        sender = LoadSender(arrivals, Target(port, POSITIONS))
        return await sender.run(), sender.connect_errors.total()


async def _measure_closed_loop(kind: str, seconds: float, rate: float) -> list[float]:
    """Return the sorted latencies, in us, of closed-loop clients.

    They send at the given rate only while answers are fast enough.
    """
    latencies_us: list[float] = []
    with _running_fake_broker(kind) as port:
        clients = (
            _run_closed_loop_client(port, index, seconds, CLOSED_LOOP_CLIENTS / rate, latencies_us)
            for index in range(CLOSED_LOOP_CLIENTS)
        )
        await asyncio.gather(*clients)
    return sorted(latencies_us)


async def _run_closed_loop_client(
    port: int, index: int, seconds: float, period_s: float, latencies_us: list[float]
) -> None:
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    end_s, number = time.monotonic() + seconds, index + 1
    while time.monotonic() < end_s:
        sent_s = time.monotonic()
        writer.write(f"SETUP rtsp://media/a RTSP/1.0\r\nSession: {number:016x}\r\n\r\n".encode())
        await reader.readuntil(b"\r\n\r\n")
        latencies_us.append((time.monotonic() - sent_s) * US_PER_S)
        number += CLOSED_LOOP_CLIENTS
        await asyncio.sleep(max(0.0, period_s - (time.monotonic() - sent_s)))
    writer.close()
