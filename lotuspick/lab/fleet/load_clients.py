"""Load clients: viewers that request sessions from every broker at a constant average rate (open loop).

``python -m lotuspick.lab.fleet.load_clients JOB`` runs as a separate process; ``JOB`` is a JSON file with a
:class:`LoadClientsJob`. On SIGTERM the process sends no more requests, waits for the outstanding answers, and
exits. Its log has one line for each set-up, which :class:`lotuspick.lab.fleet.set_up_result.SetUpResult`
parses:

    BROKER CLASS SESSION REQUESTED_AT LATENCY_MS STATUS REASON/RETRY_AFTER_MS ANSWERS CONNECTION
"""

from __future__ import annotations

import asyncio
import random
import signal
import sys
import time
from collections import Counter
from pathlib import Path
from typing import TextIO

import msgspec

from lotuspick.lab.fleet.site_settings import IDEMPOTENT_CLASS, PAID_CLASS
from lotuspick.lab.rtsp import LOST, STATUS_OK, RtspAnswer, RtspConnection

SET_UP_CSEQ, TEARDOWN_CSEQ = "1", "2"
CONNECT_TIMEOUT_S = 1.0
PLAY_S = (0.1, 0.5)
TENANT = "law"
CONNECTION_LOST, CONNECTION_OPEN = "cut", "-"
"""Last field of a log line: whether the connection was lost during the session."""


class LoadClientsJob(msgspec.Struct, frozen=True):
    """Parameters of the process."""

    ports: list[int]
    """RTSP ports of the brokers, by number."""
    rate: float
    """Requests per second at each broker."""
    paid: float
    """Share of requests for paid sessions."""
    seed: int
    nodes: int
    """Number of positions on which titles are stored."""
    log: str
    """Path of the log."""


class AnswerCountingConnection(RtspConnection):
    """An RTSP connection that counts the answers to each set-up."""

    def __init__(self) -> None:
        super().__init__()
        self.answers: Counter[str] = Counter()
        """Number of answers, by session."""

    def answer_received(self, cseq: str, session: str) -> None:
        """Count an answer to a set-up; ignore other answers."""
        if cseq == SET_UP_CSEQ:
            self.answers[session] += 1


class LoadClients:
    """All viewers of all brokers."""

    def __init__(self, job: LoadClientsJob, log: TextIO) -> None:
        self._job = job
        self._log = log
        self._random = random.Random(f"callers {job.seed}")
        self._session_count = 0
        self._stopping = asyncio.Event()
        self._viewers: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Request sessions until SIGTERM, then wait for the outstanding ones."""
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, self._stopping.set)
        print("calling", flush=True)
        await asyncio.gather(
            *(self._load_broker(broker, port) for broker, port in enumerate(self._job.ports))
        )
        if self._viewers:
            await asyncio.wait(self._viewers)

    async def _load_broker(self, broker: int, port: int) -> None:
        """Send Poisson arrivals to one broker; reconnect after a loss of the connection."""
        connection: AnswerCountingConnection | None = None
        due_s = time.monotonic()
        while True:
            due_s += self._random.expovariate(self._job.rate)
            if await self._stopped_before(due_s):
                return
            if connection is None or not connection.connected:
                connection = await _connect(port)
            is_paid = self._random.random() < self._job.paid
            session_class = PAID_CLASS if is_paid else IDEMPOTENT_CLASS
            viewer = asyncio.create_task(self._view(broker, connection, session_class))
            self._viewers.add(viewer)
            viewer.add_done_callback(self._viewers.discard)

    async def _stopped_before(self, due_s: float) -> bool:
        """Wait until a time of the monotonic clock; return whether SIGTERM arrived before."""
        if self._stopping.is_set():
            return True
        try:
            await asyncio.wait_for(self._stopping.wait(), max(0.0, due_s - time.monotonic()))
        except TimeoutError:
            return False
        return True

    async def _view(
        self, broker: int, connection: AnswerCountingConnection | None, session_class: str
    ) -> None:
        """Run one viewer: request a session, play briefly, tear the session down, and log the result."""
        self._session_count += 1
        session = f"{self._session_count:016x}"
        requested_s, began_s = time.time(), time.monotonic()
        answer = await self._set_up(broker, connection, session, session_class)
        latency_ms = (time.monotonic() - began_s) * 1_000
        if connection is not None and answer.status == STATUS_OK:
            await asyncio.sleep(self._random.uniform(*PLAY_S))
            await connection.request("TEARDOWN", TEARDOWN_CSEQ, session, {})
        answer_count = connection.answers.pop(session, 0) if connection is not None else 0
        still_connected = connection is None or connection.connected
        self._log.write(
            f"{broker} {session_class} {session} {requested_s:.3f} {latency_ms:.1f} {answer.status} "
            f"{answer.reason.replace(' ', '-') or '-'}/{answer.retry_after_ms} {answer_count} "
            f"{CONNECTION_OPEN if still_connected else CONNECTION_LOST}\n"
        )

    async def _set_up(
        self, broker: int, connection: AnswerCountingConnection | None, session: str, session_class: str
    ) -> RtspAnswer:
        home = self._random.randrange(self._job.nodes)
        if connection is None:
            return LOST
        headers = {
            "P-Kind": session_class,
            "P-Time-Left": "3000",
            "P-Path": f"home:{home};copies:3;top:2;viewer:{session}",
            "X-Length": "20000.0",
            "P-Billed": TENANT,
        }
        return await connection.request("SETUP", SET_UP_CSEQ, session, headers, f"seat=b{broker}", "aa00")


async def _connect(port: int) -> AnswerCountingConnection | None:
    """Connect to a broker; return None if it does not accept the connection in time."""
    loop = asyncio.get_running_loop()
    connecting = loop.create_connection(AnswerCountingConnection, "127.0.0.1", port)
    try:
        _, connection = await asyncio.wait_for(connecting, CONNECT_TIMEOUT_S)
    except (OSError, TimeoutError):
        return None
    return connection


def main() -> None:
    """Run the job in the file that the command line names."""
    job = msgspec.json.decode(Path(sys.argv[1]).read_bytes(), type=LoadClientsJob)
    with Path(job.log).open("w", encoding="ascii") as log:
        asyncio.run(_run(job, log))


async def _run(job: LoadClientsJob, log: TextIO) -> None:
    await LoadClients(job, log).run()


if __name__ == "__main__":
    main()
