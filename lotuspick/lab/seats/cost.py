"""Trials of the cost of seats.

They measure a token check with its ledger write on a real disk, one broker at a fixed request rate with and
without seats, and the start-up time of a broker with many stored seats.
"""

from __future__ import annotations

import statistics
import tempfile
import time
from enum import StrEnum
from functools import partial
from pathlib import Path
from typing import NamedTuple

from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey

from lotuspick.entitlement.ledger import Ledger, Record, State
from lotuspick.entitlement.model import Seat
from lotuspick.entitlement.tokens import PublicKey, TokenVerifier, sign
from lotuspick.lab.fleet.site_settings import PAID_CLASS
from lotuspick.lab.seats import trial
from lotuspick.lab.seats.seats_rig import AUDIENCE
from lotuspick.lab.trial_result import Parameters, TrialResult
from lotuspick.transport.storage.group_commit import GroupCommit
from lotuspick.transport.storage.seat_store import SeatStore

BATCH_SEATS = 20_000
RECOVERY_STORE_MIB = 4_096
INDETERMINATE_SEAT_INTERVAL = 100
"""Every hundredth seat is reserved and not settled."""
KEY_ID = "k"
US_PER_S = 1e6
QUIET_BROKER = {
    "brokers": 1,
    "nodes": 12,
    "clients": 1,
    "kill_s": 0,
    "clocks": False,
    "faults": False,
    "http": 0.0,
}
"""Parameters for one broker without faults."""


class TrialKind(StrEnum):
    """Kind of a trial; the values are those of the key ``kind``."""

    WRITE = "write"
    BROKER = "broker"
    RECOVERY = "recovery"


class Latency(NamedTuple):
    """Quantiles of a latency sample, in the sample's unit."""

    median: float
    p99: float

    @classmethod
    def of(cls, sample: list[float]) -> Latency:
        """Compute the quantiles of a sample."""
        return cls(statistics.median(sample), statistics.quantiles(sample, n=100)[98])


def cost(world: Parameters, arm: Parameters, seed: int) -> TrialResult:
    """Run one trial.

    Args:
        world: Parameters of all arms.
        arm: Parameters of this arm. ``kind`` is ``write`` (checks and writes in this process), ``broker``
            (one real broker at a fixed rate, with or without seats) or ``recovery`` (restoring a store with
            many seats).
        seed: Seed of all random choices.
    """
    parameters = {**world, **arm}
    match parameters["kind"]:
        case TrialKind.WRITE:
            return _run_write_trial(parameters["rate"], parameters["sessions"])
        case TrialKind.RECOVERY:
            return _run_recovery_trial(parameters["seats_kept"])
        case _:
            return _run_broker_trial(parameters, seed)


def _run_write_trial(rate: float, seat_count: int) -> TrialResult:
    """Check tokens at a fixed rate, independent of the disk's latency.

    Each write is timed from the scheduled start of its check until its reservation is on disk. Commits run on
    a separate thread, as in a broker.
    """
    key, now_s = Ed25519PrivateKey.generate(), int(time.time())
    verifier = TokenVerifier(AUDIENCE, {KEY_ID: PublicKey(KEY_ID, key.public_key())})
    tokens = [_sign(f"s{number}", now_s, key) for number in range(seat_count)]
    ledger = Ledger()
    checks_us: list[float] = []
    writes_us = [0.0] * seat_count
    with tempfile.TemporaryDirectory(dir=".") as name:
        store = SeatStore(Path(name, "seats"))
        commits = GroupCommit(store)

        def on_written(number: int, due_s: float, _: object) -> None:
            writes_us[number] = (time.perf_counter() - due_s) * US_PER_S

        began_s = time.perf_counter()
        for number, token in enumerate(tokens):
            due_s = began_s + number / rate
            _sleep_until(due_s)
            check_began_s = time.perf_counter()
            seat = verifier.verify(token, now_s)
            session = f"q{number}"
            record = ledger.reserve(now_s, seat.seat, session, seat.viewer, seat.epoch, seat.ends_s)[1]
            assert record is not None
            checks_us.append((time.perf_counter() - check_began_s) * US_PER_S)
            commits.submit(record, partial(on_written, number, due_s))
        commits.close()
        store.close()
    return TrialResult({**_latency_figures(checks_us, writes_us), "commits": commits.commits}, {})


def _latency_figures(checks_us: list[float], writes_us: list[float]) -> dict[str, float]:
    check, write = Latency.of(checks_us), Latency.of(writes_us)
    return {
        "check_us": check.median,
        "check_p99_us": check.p99,
        "write_us": write.median,
        "write_p99_us": write.p99,
    }


def _sign(seat: str, now_s: int, key: Ed25519PrivateKey) -> str:
    entitlement = Seat(seat, "v", "law", "aa00", PAID_CLASS, now_s, now_s, now_s + 9_000)
    return sign(entitlement, AUDIENCE, KEY_ID, key)


def _sleep_until(due_s: float) -> None:
    while (wait_s := due_s - time.perf_counter()) > 0:
        time.sleep(wait_s)


def _run_recovery_trial(seat_count: int) -> TrialResult:
    """Measure the time to restore a ledger in which 1% of the seats are indeterminate."""
    with tempfile.TemporaryDirectory(dir=".") as name:
        path = Path(name, "seats")
        store = SeatStore(path, RECOVERY_STORE_MIB)
        for first in range(0, seat_count, BATCH_SEATS):
            store.write([_record(number) for number in range(first, min(seat_count, first + BATCH_SEATS))])
        store.close()
        began_s = time.perf_counter()
        store, ledger = SeatStore(path, RECOVERY_STORE_MIB), Ledger()
        store.write(ledger.restore(store.load()))
        elapsed_s = time.perf_counter() - began_s
        store.close()
    assert len(ledger.records) == seat_count
    assert ledger.indeterminate_count == len(range(0, seat_count, INDETERMINATE_SEAT_INTERVAL))
    return TrialResult({"recovered_s": elapsed_s}, {})


def _record(number: int) -> Record:
    """Create the record of a released seat, or of a reserved one for every hundredth number."""
    is_settled = number % INDETERMINATE_SEAT_INTERVAL != 0
    return Record(
        seat=f"1-{number}",
        state=State.RELEASED if is_settled else State.RESERVED,
        session=f"{number:016x}",
        viewer=f"{number:016x}",
        epoch=0,
        ends_s=1_800_000_000,
        changes=3,
        counted=is_settled,
        from_s=1_799_000_000,
        until_s=1_799_000_060,
    )


def _run_broker_trial(parameters: Parameters, seed: int) -> TrialResult:
    """Run one broker without faults at a fixed rate of paid set-ups."""
    result = trial.seats({**QUIET_BROKER, **parameters}, {}, seed)
    figures, time_to_first_serve = result.figures, Latency.of(result.samples["took_ms"])
    return TrialResult(
        {
            "cpu_us": figures["cpu_s"] / figures["viewers"] * US_PER_S,
            "took_ms": time_to_first_serve.median,
            "took_p99_ms": time_to_first_serve.p99,
            "never_served": figures["never_served"],
            "sustained": figures["viewers"] / figures["seconds"],
        },
        {},
    )
