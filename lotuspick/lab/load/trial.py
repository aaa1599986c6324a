"""Whether what is measured is true: the generator against a stand-in broker whose delays are known, beside a client
that waits for each answer before it asks again."""

from __future__ import annotations

import asyncio
import subprocess
import sys
import time
from typing import Any

from lotuspick.lab.load import standin
from lotuspick.lab.load.arrivals import Kind, Load, Phase, drawn
from lotuspick.lab.load.measure import Found
from lotuspick.lab.load.sender import Sender, Target

AT = (50.0, 99.0, 99.9)
NEAR_PART, NEAR_US = 0.02, 1_000.0


def load(
    told: dict[str, Any], arm: dict[str, Any], seed: int
) -> tuple[dict[str, float], dict[str, list[float]]]:
    """``kind`` of delay, ``rate`` a second for ``seconds``. ``off``: the largest error of p50, p99 and p99.9, where 1
    is the larger of 2% of the truth and 1 ms; ``closed_off`` the same of a client that waits."""
    told = {**told, **arm}
    kinds = [Kind("c", 1.0, 600.0, 600.0)]
    arrivals = list(drawn(Load([Phase("p", told["seconds"], told["rate"])], kinds), seed))
    first_us = arrivals[0].at_us
    true_us = sorted(
        each * 1e6
        for each in standin.truth(told["kind"], [(each.at_us - first_us) / 1e6 for each in arrivals])
    )
    found, trouble = asyncio.run(against(told["kind"], arrivals))
    closed = asyncio.run(waiting(told["kind"], told["seconds"], told["rate"]))
    row: dict[str, float] = {
        "voided": len(found.voided()),
        "sent": len(arrivals),
        "trouble": trouble,
        "lag_p999_us": float(found.lag.get_value_at_percentile(99.9)),
    }
    measured = found.quantiles("c", "200", at=AT)
    for name, values in (("", measured), ("closed_", {at: quantile(closed, at) for at in AT})):
        worst = 0.0
        for at in AT:
            right = quantile(true_us, at)
            worst = max(worst, abs(values[at] - right) / max(NEAR_PART * right, NEAR_US))
            row[f"{name}p{at:g}_us"] = values[at]
        row[f"{name}off"] = worst
    row |= {f"true_p{at:g}_us": quantile(true_us, at) for at in AT}
    return row, {}


def quantile(ordered: list[float], at: float) -> float:
    """The value that a percentage of a sorted sample lies at or below."""
    return ordered[min(len(ordered) - 1, max(0, int(len(ordered) * at / 100 + 0.5) - 1))]


def started(kind: str) -> tuple[subprocess.Popen[str], int]:
    process = subprocess.Popen(
        [sys.executable, "-m", "lotuspick.lab.load.standin", kind], stdout=subprocess.PIPE, text=True
    )
    assert process.stdout is not None
    return process, int(process.stdout.readline())


def ended(process: subprocess.Popen[str]) -> None:
    process.terminate()
    process.wait()
    if process.stdout is not None:
        process.stdout.close()


async def against(kind: str, arrivals: list[Any]) -> tuple[Found, int]:
    process, port = started(kind)
    try:
        sender = Sender(arrivals, Target(port, 12))
        return await sender.run(), sum(sender.trouble.values())
    finally:
        ended(process)


async def waiting(kind: str, seconds: float, rate: float) -> list[float]:
    """Microseconds of each answer, by clients that send at the rate while answers are quick, and else wait."""
    process, port = started(kind)
    try:
        clients = 8
        took: list[float] = []

        async def client(at: int) -> None:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            until_s, number = time.monotonic() + seconds, at + 1
            while time.monotonic() < until_s:
                sent_s = time.monotonic()
                writer.write(f"SETUP rtsp://media/a RTSP/1.0\r\nSession: {number:016x}\r\n\r\n".encode())
                await reader.readuntil(b"\r\n\r\n")
                took.append((time.monotonic() - sent_s) * 1e6)
                number += clients
                await asyncio.sleep(max(0.0, clients / rate - (time.monotonic() - sent_s)))
            writer.close()

        await asyncio.gather(*(client(at) for at in range(clients)))
        return sorted(took)
    finally:
        ended(process)
