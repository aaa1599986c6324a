"""Stand-in viewers that call each broker all the time, whatever it does: ``python -m lotuspick.lab.fleet.callers JOB``,
a JSON file. At SIGTERM they stop calling, wait for what they are owed, and end; the log has a line a set-up:

    BROKER CLASS SESSION ASKED_AT TOOK_MS STATUS REASON ANSWERS HOW
"""

from __future__ import annotations

import asyncio
import json
import random
import signal
import sys
import time
from collections import Counter
from pathlib import Path
from typing import Any

from lotuspick.lab.rtsp import LOST, Rtsp


class Counting(Rtsp):
    """Counts the answers to each set-up."""

    def __init__(self) -> None:
        super().__init__()
        self.answers: Counter[str] = Counter()

    def answered(self, cseq: str, session: str) -> None:
        if cseq == "1":
            self.answers[session] += 1


class Callers:
    """All viewers of all brokers."""

    def __init__(self, job: dict[str, Any]) -> None:
        self.job = job
        self.draw = random.Random(f"callers {job['seed']}")
        self.number = 0
        self.stop = asyncio.Event()
        self.log = open(job["log"], "w", encoding="ascii")  # noqa: SIM115
        self.tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, self.stop.set)
        print("calling", flush=True)
        await asyncio.gather(*(self.broker(at, port) for at, port in enumerate(self.job["ports"])))
        if self.tasks:
            await asyncio.wait(self.tasks)
        self.log.close()

    async def broker(self, at: int, port: int) -> None:
        """Calls one broker at its rate, over a connection that is made again when it is lost."""
        connection: Counting | None = None
        loop, due = asyncio.get_running_loop(), time.monotonic()
        while not self.stop.is_set():
            due += self.draw.expovariate(self.job["rate"])
            try:
                await asyncio.wait_for(self.stop.wait(), max(0.0, due - time.monotonic()))
                break
            except TimeoutError:
                pass
            if connection is None or not connection.up:
                try:
                    _, connection = await asyncio.wait_for(
                        loop.create_connection(Counting, "127.0.0.1", port), 1.0
                    )
                except (OSError, TimeoutError):
                    connection = None
            paid = self.draw.random() < self.job["paid"]
            task = asyncio.create_task(self.viewer(at, connection, "exam" if paid else "clip"))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def viewer(self, at: int, connection: Counting | None, kind: str) -> None:
        self.number += 1
        session, draw = f"{self.number:016x}", self.draw
        asked, began = time.time(), time.monotonic()
        path = f"home:{draw.randrange(self.job['nodes'])};copies:3;top:2;viewer:{session}"
        headers = {
            "P-Kind": kind,
            "P-Time-Left": "3000",
            "P-Path": path,
            "X-Length": "20000.0",
            "P-Billed": "law",
        }
        status, reason, gap_ms = (
            LOST
            if connection is None
            else await connection.ask("SETUP", "1", session, headers, f"seat=b{at}", "aa00")
        )
        took_ms = (time.monotonic() - began) * 1_000
        if connection is not None and status == 200:
            await asyncio.sleep(draw.uniform(0.1, 0.5))
            await connection.ask("TEARDOWN", "2", session, {})
        answers = connection.answers.pop(session, 0) if connection is not None else 0
        how = "-" if connection is None or connection.up else "cut"
        self.log.write(
            f"{at} {kind} {session} {asked:.3f} {took_ms:.1f} {status} "
            f"{reason.replace(' ', '-') or '-'}/{gap_ms} {answers} {how}\n"
        )


async def _main() -> None:
    await Callers(json.loads(Path(sys.argv[1]).read_text(encoding="utf-8"))).run()


if __name__ == "__main__":
    asyncio.run(_main())
