"""Seven in ten brokers are killed at once, into a release: do they push a cold server over on return?"""

from __future__ import annotations

import asyncio
import time
from collections import deque
from pathlib import Path

from standins_2 import Broker, CaseError, Coordinator, Edge, Record, Viewers, listed, run_case, settings

HERE = Path(__file__).resolve().parent

BROKERS = 40  # LATER (fleet scale): about 40 playback brokers and up to 60 edge servers
KILLED = 28  # STANDING: seven in ten playback brokers are killed at once
SERVERS = 12
PLACES = 18  # of a server: 2 cores of 4 sessions at the middle rate, 2.3 times as many streams
COLD_S, COLD_FROM, MULTIPLE, WINDOW_S = 12.0, 0.4, 2.5, 3.0  # ColdUs, ColdFrom, OverloadFactor, TipAfterUs
REQUESTS = 4  # that each broker gets for the wanted lesson, one in 0.3 s
OLDEST_S = 9.0  # of the cold server when the crowd begins


class ColdServer:
    """Counts the set-ups that a server gets after its start, and says when it falls over."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.started_at, self.recent = 0.0, deque[float]()
        self.most, self.fallen = 0, ""

    def on_set_up(self, edge: Edge, _session: bytes, first_byte_at: float) -> None:
        """Count a set-up; the budget is that of the STANDING page, with a warmth that rises evenly."""
        self.recent.append(first_byte_at)
        while self.recent[0] < first_byte_at - WINDOW_S:
            self.recent.popleft()
        age_s = first_byte_at - self.started_at
        warmth = COLD_FROM + (1 - COLD_FROM) * min(1.0, age_s / COLD_S)
        allowed = MULTIPLE * PLACES / COLD_S * warmth * WINDOW_S
        slack = 2 * allowed**0.5 + 2 if allowed >= 30 else 3 * allowed**0.5 + 3
        self.most = max(self.most, len(self.recent))
        count, limit = len(self.recent), allowed + slack
        self.record(f"{edge.name}: {count} in {WINDOW_S} s at age {age_s:.2f} s, falls over {limit:.1f}")
        if age_s < COLD_S and len(self.recent) > allowed + slack and not self.fallen:
            self.fallen = (
                f"{len(self.recent)} set-ups in {WINDOW_S} s at age {age_s:.2f} s, over {allowed + slack:.1f}"
            )


async def play(record: Record, trouble: bool) -> list[str]:
    """Run the case; returns the faults."""
    coordinator, at_return = Coordinator(record), Coordinator(record)
    brokers = [Broker(record, f"n{number}") for number in range(BROKERS)]
    edges = [Edge(f"s-{number}", record, f"127.0.0.{number + 1}") for number in range(SERVERS)]
    successor, cold = Edge("s-c01d", record, "127.0.0.100"), ColdServer(record)
    successor.on_set_up = cold.on_set_up
    await coordinator.start()
    await at_return.start()
    for edge in (*edges, successor):
        edge.places = PLACES
        edge.life_s = lambda _session: 15.0
    for edge in edges:
        await edge.start()
    entries = [listed(edge.name, edge.address, cell) for cell, edge in enumerate(edges)]
    coordinator.tell(*entries, full=True)
    try:
        await asyncio.gather(*(_start(broker, coordinator) for broker in brokers))
        await asyncio.sleep(6)  # a broker is careful with servers that may have started a moment ago
        killed = brokers[:KILLED] if trouble else []
        for broker in killed:
            broker.kill()
        record(f"{len(killed)} brokers are killed")
        await asyncio.sleep(1)
        await successor.start()
        cold.started_at = int(time.time() * 1_000) / 1_000
        entries[2]["state"] = "terminating"
        edges[2].draining = True
        entries.append(listed(successor.name, successor.address, 2, started_ms=int(cold.started_at * 1_000)))
        coordinator.tell(entries[2], entries[-1])
        at_return.tell(*entries, full=True)  # events are numbered from 1 at every start of a broker
        record("the coordinator has the start of s-c01d")
        await asyncio.sleep(0.7)  # the brokers come back 1.7 s after they were killed
        await asyncio.gather(*(_start(broker, at_return) for broker in killed))
        age_s = time.time() - cold.started_at
        record(f"all brokers are ready, s-c01d is {age_s:.1f} s old")
        if age_s > OLDEST_S:
            raise CaseError("the brokers took too long to start")
        await asyncio.gather(*(_ask(record, broker) for broker in brokers))
        await asyncio.sleep(4)
        record(f"s-c01d got {cold.most} set-ups in {WINDOW_S} s at most")
    finally:
        await asyncio.gather(*(broker.stop() for broker in brokers))
    return [cold.fallen] if cold.fallen else []


async def _start(broker: Broker, coordinator: Coordinator) -> None:
    site = settings(PlacesByKind=[PLACES])
    site["GroupSize"] = BROKERS
    site["Index"] = int(broker.name[1:])
    site["Invariants"]["ColdUs"] = int(COLD_S * 1e6)
    await broker.start(coordinator, coordinator.known, site)


async def _ask(record: Record, broker: Broker) -> None:
    viewers = Viewers(record, broker.address, f"viewers of {broker.name}")
    await viewers.connect()
    for number in range(REQUESTS):
        session = f"{int(broker.name[1:]):08x}{number:08x}"
        kind = "asistencia" if number % 3 == 0 else "repaso"
        viewers.set_up(session, kind, "91f03b7c55d20a64", "home:0;copies:3;top:2", 3_000)
        await asyncio.sleep(0.3)


if __name__ == "__main__":
    run_case(HERE, play, 110)
