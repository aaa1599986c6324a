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
SERVERS = 59
PLACES = 18  # of a server: 2 cores of 4 sessions at the middle rate, 2.3 times as many streams
COLD_S, MULTIPLE, WINDOW_S = 12.0, 2.5, 3.0  # ColdUs, OverloadFactor, TipAfterUs
# How a server warms up is not told: the case allows what a warm one may get, the most that any warmth allows.
ALLOWED = MULTIPLE * PLACES / COLD_S * WINDOW_S
FALLS_OVER = ALLOWED + 3 * ALLOWED**0.5 + 3  # STANDING, for an allowance under 30
STEPS, STEP_S = 4, 0.3  # at each step a broker gets one request for the wanted lesson
OTHERS = (
    4,
    3,
    4,
    3,
)  # and so many for others: the wanted one has 22% of the traffic (hot_key: 4.4 to 23%)
OLDEST_S = 9.0  # of the cold server when the crowd begins


class ColdServer:
    """Counts the set-ups that a server gets after its start, and says when it falls over."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.started_at, self.recent = 0.0, deque[float]()
        self.most, self.fallen = 0, ""

    def on_set_up(self, edge: Edge, _session: bytes, first_byte_at: float) -> None:
        """Count a set-up against the budget of the STANDING page."""
        self.recent.append(first_byte_at)
        while self.recent[0] < first_byte_at - WINDOW_S:
            self.recent.popleft()
        age_s = first_byte_at - self.started_at
        count = len(self.recent)
        self.most = max(self.most, count)
        self.record(f"{edge.name}: {count} in {WINDOW_S} s at age {age_s:.2f} s, falls over {FALLS_OVER:.1f}")
        if age_s < COLD_S and count > FALLS_OVER and not self.fallen:
            self.fallen = f"{count} set-ups in {WINDOW_S} s at age {age_s:.2f} s, over {FALLS_OVER:.1f}"


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
    entries = [
        listed(edge.name, edge.address, number if number < 3 else 3 + number % 9)
        for number, edge in enumerate(edges)
    ]
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
        if not any(200 in viewers.statuses.values() for viewers in Viewers.opened):
            raise CaseError("no session was served")
        record(f"s-c01d got {cold.most} set-ups in {WINDOW_S} s at most")
    finally:
        await asyncio.gather(*(broker.stop() for broker in brokers))
    return [cold.fallen] if cold.fallen else []


async def _start(broker: Broker, coordinator: Coordinator) -> None:
    site = settings(PlacesByKind=[PLACES], RackKb=SERVERS * 5_702.0 / 3, LinksKb=SERVERS * 5_702.0)
    site["GroupSize"] = BROKERS
    site["Index"] = int(broker.name[1:])
    site["Invariants"]["ColdUs"] = int(COLD_S * 1e6)
    await broker.start(coordinator, coordinator.known, site)


async def _ask(record: Record, broker: Broker) -> None:
    viewers = Viewers(record, broker.address, f"viewers of {broker.name}")
    await viewers.connect()
    number = 0
    for step in range(STEPS):
        for other in range(1 + OTHERS[step]):
            number += 1
            session = f"{int(broker.name[1:]):08x}{number:08x}"
            kind = "asistencia" if number % 3 == 0 else "repaso"
            title, home = (f"{number:016x}", 3 + number % 7) if other else ("91f03b7c55d20a64", 0)
            viewers.set_up(session, kind, title, f"home:{home};copies:3;top:2", 3_000)
        await asyncio.sleep(STEP_S)


if __name__ == "__main__":
    run_case(HERE, play, 100)
