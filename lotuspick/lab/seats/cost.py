"""What seats cost: a token's check with its ledger write on a real disk, the same broker with seats and without at one
rate, and how long a broker with many seats takes to start."""

from __future__ import annotations

import statistics
import tempfile
import time
from pathlib import Path
from typing import Any

from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey

from lotuspick.entitlement.ledger import Ledger, Record, State
from lotuspick.entitlement.model import Seat
from lotuspick.entitlement.tokens import PublicKey, TokenVerifier, sign
from lotuspick.lab.seats import trial
from lotuspick.transport.storage.errors import StoreError
from lotuspick.transport.storage.group_commit import GroupCommit
from lotuspick.transport.storage.seat_store import SeatStore

Found = tuple[dict[str, float], dict[str, list[float]]]
BATCH = 20_000


def cost(told: dict[str, Any], arm: dict[str, Any], seed: int) -> Found:
    """``kind``: ``write`` (checks and writes in this process), ``broker`` (one real broker at a rate, with seats or
    without) or ``recovery`` (of a store with many seats)."""
    told = {**told, **arm}
    match told["kind"]:
        case "write":
            return write(told["rate"], told["sessions"])
        case "recovery":
            return recovery(told["seats_kept"])
        case _:
            return broker(told, seed)


def quantiles(values: list[float]) -> tuple[float, float]:
    """Median and 99th percentile."""
    cuts = statistics.quantiles(values, n=100)
    return statistics.median(values), cuts[98]


def write(rate: float, count: int) -> Found:
    """Checks come at a steady rate, whatever the disk does; each is timed from when it should have begun until its
    reservation lasts. The commits run on their own thread, as in a broker."""
    key, now_s = Ed25519PrivateKey.generate(), int(time.time())
    checker = TokenVerifier("site", {"k": PublicKey("k", key.public_key())})
    tokens = [
        sign(Seat(f"s{at}", "v", "law", "aa00", "exam", now_s, now_s, now_s + 9_000), "site", "k", key)
        for at in range(count)
    ]
    ledger, checks, lasts = Ledger(), list[float](), [0.0] * count
    with tempfile.TemporaryDirectory(dir=".") as name:
        store = SeatStore(Path(name, "seats"))
        commits = GroupCommit(store)
        began = time.perf_counter()
        for at, token in enumerate(tokens):
            due = began + at / rate
            while (wait_s := due - time.perf_counter()) > 0:
                time.sleep(wait_s)
            start = time.perf_counter()
            seat = checker.verify(token, now_s)
            record = ledger.reserve(now_s, seat.seat, f"q{at}", seat.viewer, seat.epoch, seat.ends_s)[1]
            assert record is not None
            checks.append((time.perf_counter() - start) * 1e6)

            def done(_error: StoreError | None, at: int = at, due: float = due) -> None:
                lasts[at] = (time.perf_counter() - due) * 1e6

            commits.submit(record, done)
        commits.close()
        store.close()
    (check, check_99), (last, last_99) = quantiles(checks), quantiles(lasts)
    return {
        "check_us": check,
        "check_p99_us": check_99,
        "write_us": last,
        "write_p99_us": last_99,
        "commits": commits.commits,
    }, {}


def recovery(count: int) -> Found:
    """Seconds until a ledger of so many seats is there again, a part of them in doubt."""
    with tempfile.TemporaryDirectory(dir=".") as name:
        store = SeatStore(Path(name, "seats"), 4_096)
        for first in range(0, count, BATCH):
            store.write(
                [
                    Record(
                        f"1-{at}",
                        State.RESERVED if at % 100 == 0 else State.RELEASED,
                        f"{at:016x}",
                        f"{at:016x}",
                        0,
                        1_800_000_000,
                        3,
                        at % 100 != 0,
                        1_799_000_000,
                        1_799_000_060,
                    )
                    for at in range(first, min(count, first + BATCH))
                ]
            )
        store.close()
        began = time.perf_counter()
        store, ledger = SeatStore(Path(name, "seats"), 4_096), Ledger()
        store.write(ledger.restore(store.load()))
        took_s = time.perf_counter() - began
        store.close()
    assert len(ledger.records) == count
    assert ledger.indeterminate_count == len(range(0, count, 100))
    return {"recovered_s": took_s}, {}


def broker(told: dict[str, Any], seed: int) -> Found:
    """One broker without any faults at a rate of paid set-ups."""
    row, samples = trial.seats(
        {
            "brokers": 1,
            "nodes": 12,
            "clients": 1,
            "kill_s": 0,
            "clocks": False,
            "faults": False,
            "http": 0.0,
            **told,
        },
        {},
        seed,
    )
    took, took_99 = quantiles(samples["took_ms"])
    return {
        "cpu_us": row["cpu_s"] / row["viewers"] * 1e6,
        "took_ms": took,
        "took_p99_ms": took_99,
        "never_served": row["never_served"],
        "sustained": row["viewers"] / row["seconds"],
    }, {}
