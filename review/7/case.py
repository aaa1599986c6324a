"""Some bad clients send hundreds of requests at once in a large fleet: are the others still answered?"""

from __future__ import annotations

import asyncio
import os
import resource
import time
from contextlib import suppress
from pathlib import Path

from standins_2 import (
    SLACK_S,
    Broker,
    CaseError,
    Coordinator,
    Edge,
    LoopLag,
    Record,
    Viewers,
    listed,
    run_case,
    settings,
)

HERE = Path(__file__).resolve().parent

SERVERS = int(os.environ.get("SERVERS", "1600"))  # STANDING: fleets with up to 3,200 edge servers
BAD_CLIENTS = 3
AT_ONCE = 200  # LATER (service days): 'hundreds of requests at once'
CELLS = 12
LEFT_MS = 3_000  # how long a viewer of a paid session waits: HardLimitUs
LATE_S = 0.5  # STANDING: up to half a second after its time an answer only earns nothing; later, it is lost
WATCH_S = 40.0


async def _be_bad(address: str, number: int) -> None:
    """Send all requests at once, and read whatever comes."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    for request in range(AT_ONCE):
        session = f"bad{number:05x}{request:08x}"
        head = (
            f"SETUP rtsp://media/no-such-title RTSP/1.0\r\nCSeq: 1\r\nSession: {session}\r\n"
            f"P-Kind: asistencia\r\nP-Time-Left: 60000\r\nP-Path: home:0;copies:{CELLS};top:3\r\n"
        )
        writer.write(f"{head}Content-Length: 7\r\n\r\nno sdp.".encode())
    with suppress(ConnectionError):
        while await reader.read(65_536):
            pass


async def play(record: Record, trouble: bool) -> list[str]:
    """Run the case; returns the faults."""
    needed = 2 * SERVERS
    _, most = resource.getrlimit(resource.RLIMIT_NOFILE)
    if most != resource.RLIM_INFINITY and most < needed:
        raise CaseError(f"{most} descriptors are too few for {SERVERS} stand-ins")
    resource.setrlimit(resource.RLIMIT_NOFILE, (needed, most))
    coordinator, broker = Coordinator(record), Broker(record)
    edges = [
        Edge(f"s-{number:04}", record, f"127.0.{number // 200 + 1}.{number % 200 + 1}")
        for number in range(SERVERS)
    ]
    await coordinator.start()
    for edge in edges:
        edge.usable = lambda title: title != "no-such-title"
        edge.life_s = lambda _session: 10.0
        await edge.start()
    zones = ("pabellon-norte", "pabellon-sur", "edificio-central")
    entries = [
        listed(edge.name, edge.address, number % CELLS, zone=zones[number % 3])
        for number, edge in enumerate(edges)
    ]
    coordinator.tell(*entries, full=True)
    site = settings(RackKb=SERVERS * 5_702.0 / 3, LinksKb=SERVERS * 5_702.0)
    try:
        await broker.start(coordinator, coordinator.known, site)
        await asyncio.sleep(6)  # the broker is careful with servers that may have started a moment ago
        return await _serve(record, broker, trouble)
    finally:
        await broker.stop()


async def _serve(record: Record, broker: Broker, trouble: bool) -> list[str]:
    viewers = Viewers(record, broker.address)
    await viewers.connect()
    lag = LoopLag()
    sent_at, started_at, bad = dict[str, float](), time.time(), list[asyncio.Task[None]]()
    while (passed_s := time.time() - started_at) < WATCH_S / 2:
        if trouble and passed_s > 3 and not bad:
            record(f"{BAD_CLIENTS} bad clients send {AT_ONCE} requests each")
            bad = [asyncio.create_task(_be_bad(broker.address, number)) for number in range(BAD_CLIENTS)]
        session = f"{len(sent_at) + 1:016x}"
        viewers.set_up(session, "asistencia", session, f"home:{len(sent_at) % CELLS};copies:3;top:2", LEFT_MS)
        sent_at[session] = time.time()
        await asyncio.sleep(0.25)
    await asyncio.sleep(started_at + WATCH_S - time.time())
    if 200 not in viewers.statuses.values():
        raise CaseError("no usual viewer was served")
    allowed_s = LEFT_MS / 1_000 + LATE_S + SLACK_S + lag.worst_s
    record(f"the stand-ins' own loop was {lag.worst_s:.2f} s late at most; allowed {allowed_s:.2f} s")
    faults = []
    for session, at in sent_at.items():
        after_s = viewers.answered_at.get(session, float("inf")) - at
        if after_s > allowed_s:
            faults.append(f"{session} was answered {after_s:.2f} s after it was sent, its time was 3 s")
    slowest_s = max(viewers.answered_at[session] - sent_at[session] for session in viewers.answered_at)
    record(f"{len(viewers.answered_at)} of {len(sent_at)} answered, the slowest after {slowest_s:.2f} s")
    return faults


if __name__ == "__main__":
    run_case(HERE, play, 100)
