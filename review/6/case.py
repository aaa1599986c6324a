"""A bad client asks again the moment it is turned away: does the broker stay under its memory limit?"""

from __future__ import annotations

import asyncio
import time
from contextlib import suppress
from pathlib import Path

from standins_2 import Broker, CaseError, Coordinator, Edge, Record, Viewers, listed, run_case, settings

HERE = Path(__file__).resolve().parent

MEMORY_MB = 96  # LATER (service days): each broker gets 32 to 192 MB
FLOOD_S = 50.0
AT_ONCE = 200  # requests that the bad client has open: 'hundreds of requests at once'
TIME_LEFT_MS = 86_400_000  # 'figures out of range'


class BadClient:
    """Sends requests that are turned away, and each one again at once; reads whatever it is sent."""

    def __init__(self, address: str, number: int) -> None:
        self.host, _, port = address.rpartition(":")
        self.port, self.number, self.sent = int(port), number, 0

    def _request(self) -> bytes:
        self.sent += 1
        session = f"{self.number:02x}{self.sent:014x}"
        return (
            f"SETUP rtsp://media/{session} RTSP/1.0\r\nCSeq: 1\r\nSession: {session}\r\n"
            f"P-Kind: asistencia\r\nP-Time-Left: {TIME_LEFT_MS}\r\nP-Path: home:0;copies:3;top:0\r\n"
            f"Content-Length: 0\r\n\r\n"
        ).encode()

    async def run(self, until: float) -> None:
        """Send until a time, at full speed."""
        with suppress(ConnectionError, asyncio.IncompleteReadError):
            reader, writer = await asyncio.open_connection(self.host, self.port)
            for _ in range(AT_ONCE):
                writer.write(self._request())
            while time.monotonic() < until:
                await reader.readuntil(b"\r\n\r\n")
                writer.write(self._request())
                await writer.drain()
            writer.close()


async def play(record: Record, trouble: bool) -> list[str]:
    """Run the case; returns the faults."""
    coordinator, broker = Coordinator(record), Broker(record)
    edges = [Edge(f"s-{number}", record, f"127.0.0.{number + 1}") for number in range(3)]
    await coordinator.start()
    for edge in edges:
        edge.life_s = lambda _session: 5.0
        await edge.start()
    coordinator.tell(*(listed(edge.name, edge.address, cell) for cell, edge in enumerate(edges)), full=True)
    try:
        await broker.start(coordinator, coordinator.known, settings(), memory_mb=MEMORY_MB)
        return await _serve(record, broker, trouble)
    finally:
        record(f"the broker's log ends: {broker.log_text()[-300:]!r}")
        await broker.stop()


async def _serve(record: Record, broker: Broker, trouble: bool) -> list[str]:
    viewers = Viewers(record, broker.address)
    await viewers.connect()
    until, bad, most_mb = time.monotonic() + FLOOD_S, BadClient(broker.address, 0xBB), 0.0
    flood = asyncio.create_task(bad.run(until)) if trouble else None
    number = 0
    while time.monotonic() < until:
        number += 1
        viewers.set_up(f"{number:016x}", "repaso", f"{number:016x}", "home:0;copies:3;top:1", 5_000)
        await asyncio.sleep(0.5)
        if number % 4 == 0:
            resident_mb = broker.resident_mb()
            most_mb = max(most_mb, resident_mb)
            record(f"broker: resident {resident_mb:.0f} MiB, bad client sent {bad.sent}")
            if resident_mb > MEMORY_MB or broker.has_ended:
                break
    if flood is not None:
        flood.cancel()
    if 200 not in viewers.statuses.values():
        raise CaseError("no usual viewer was served")
    if broker.has_ended:
        return ["the broker has ended"]
    if most_mb > MEMORY_MB:
        return [f"{most_mb:.0f} MiB resident, over the limit of {MEMORY_MB}: the platform kills the broker"]
    return []


if __name__ == "__main__":
    run_case(HERE, play, 100)
