"""Clients of a soak: ``clients JOB`` runs as a separate process and records each event.

Each connection sends set-ups at its own rate without waiting for answers until it is closed; its client then
reconnects. A set-up that crossed the close on the wire is resent once, as the protocol requires. SIGUSR1
starts a burst of additional connections. After SIGTERM no set-ups are sent, and the process exits once the
last deadline has passed.
"""

from __future__ import annotations

import asyncio
import random
import signal
import sys
import time
from pathlib import Path
from typing import Any, BinaryIO

import msgspec

from lotuspick.lab.fleet.site_settings import IDEMPOTENT_CLASS, PAID_CLASS
from lotuspick.lab.rtsp import STATUS_OK, RtspMessage, parse_messages
from lotuspick.lab.soak.records import ClientEvent, ClientEventKind

REQUEST_INTERVAL_S = (0.01, 0.08)
"""Interval between two set-ups on a persistent connection."""
TIME_LEFT_S = (0.4, 3.0)
PAID_SHARE = 0.5
CANCEL_SHARE = 0.05
CANCEL_DELAY_S = (0.0, 0.05)
TEARDOWN_SHARE = 0.3
"""Share of sessions that the client tears down; the others play until the media node ends them."""
TEARDOWN_DELAY_S = (0.1, 1.0)
CROSSING_WINDOW_S = 0.05
"""A set-up sent at most this long before its connection closes is resent once."""
RECONNECT_DELAY_S = 0.05
CONNECT_TIMEOUT_S = 5.0
STALL_POLL_S = 0.005
MIN_STALL_S = 0.02
"""Timestamps around a stall of the client process longer than this are unreliable."""
FINAL_ANSWER_WAIT_S = 4.0
ANNOUNCED_TITLE = "aa00"


class ClientsJob(msgspec.Struct, frozen=True):
    """Parameters of the client process."""

    port: int
    seed: int
    nodes: int
    connections: int
    burst_connections: int
    burst_request_interval_s: tuple[float, float]
    """Shortest and longest interval between two set-ups on a connection of the burst."""
    viewers_cancel: bool
    log: str


class SetUp(msgspec.Struct):
    """A set-up that awaits its answer."""

    session: str
    request: bytes
    is_paid: bool
    sent_s: float
    time_left_s: float
    resends: int = 0


class ClientConnection(asyncio.Protocol):
    """One connection of a client to the broker."""

    def __init__(self, clients: Clients, number: int) -> None:
        self.clients, self.number = clients, number
        self.is_open = False
        self.pending: dict[str, SetUp] = {}
        self._buffer = b""

    def connection_made(self, transport: Any) -> None:
        """Record the connection."""
        self.transport, self.is_open = transport, True
        self.clients.record(ClientEventKind.CONNECTED, self.number)

    def connection_lost(self, exc: Exception | None) -> None:
        """Record the close and queue the set-ups that crossed it for a resend."""
        del exc
        self.is_open = False
        self.clients.record(ClientEventKind.CLOSED, self.number)
        now_s = time.time()
        for set_up in self.pending.values():
            if now_s - set_up.sent_s <= CROSSING_WINDOW_S and not set_up.resends:  # resend only once
                self.clients.resend_queue.append(set_up)
        self.pending.clear()

    def data_received(self, data: bytes) -> None:
        """Record answers to set-ups and release notifications."""
        messages, self._buffer = parse_messages(self._buffer + data)
        for message in messages:
            self._handle(message)

    def _handle(self, message: RtspMessage) -> None:
        if not message.is_response:
            self.clients.record(ClientEventKind.RELEASED, self.number, message.session)
        elif message.headers.get("cseq") == "1":
            self.clients.record(ClientEventKind.ANSWERED, self.number, message.session, status=message.status)
            self.pending.pop(message.session, None)
            if message.status == STATUS_OK:
                self.clients.schedule_teardown(message.session)

    def send(self, set_up: SetUp) -> None:
        """Send and record a set-up."""
        self.transport.write(set_up.request)
        set_up.sent_s = time.time()
        self.pending[set_up.session] = set_up
        self.clients.record(
            ClientEventKind.SENT,
            self.number,
            set_up.session,
            time_left_s=set_up.time_left_s,
            is_paid=set_up.is_paid,
        )

    def send_teardown(self, session: str) -> None:
        """Send a TEARDOWN for a pending set-up or a playing session."""
        if self.is_open:
            self.transport.write(_message("TEARDOWN", "2", session, {}, ""))


class Clients:
    """All clients of one broker."""

    def __init__(self, job: ClientsJob, log: BinaryIO) -> None:
        self.job = job
        self.resend_queue: list[SetUp] = []
        self._log = log
        self._random = random.Random(f"clients {job.seed}")
        self._connection_count = self._session_count = 0
        self._open_connections: list[ClientConnection] = []
        self._stopping = False
        self._tasks: set[asyncio.Task[None]] = set()

    def record(self, kind: ClientEventKind, connection: int = 0, session: str = "", **fields: Any) -> None:
        """Append an event with the current time to the log."""
        event = ClientEvent(kind, time.time(), connection, session, **fields)
        self._log.write(msgspec.json.encode(event) + b"\n")

    async def run(self) -> None:
        """Send set-ups until SIGTERM, with a burst at each SIGUSR1; then wait for the last answers."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._request_stop)
        loop.add_signal_handler(signal.SIGUSR1, self._start_burst)
        self._start_task(self._watch_stalls())
        for _ in range(self.job.connections):
            self._start_task(self._keep_connected())
        print("started", flush=True)
        while not self._stopping:
            await asyncio.sleep(RECONNECT_DELAY_S)
        await asyncio.sleep(FINAL_ANSWER_WAIT_S)

    def schedule_teardown(self, session: str) -> None:
        """Tear down a share of the playing sessions after a random delay."""
        if self._random.random() < TEARDOWN_SHARE:
            self._start_task(self._teardown_later(session))

    def _request_stop(self) -> None:
        self._stopping = True

    def _start_task(self, work: Any) -> None:
        task: asyncio.Task[None] = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _start_burst(self) -> None:
        for _ in range(self.job.burst_connections):
            self._start_task(self._use_one_connection())

    async def _keep_connected(self) -> None:
        """Use a connection and reconnect whenever it is closed, until the process stops."""
        while not self._stopping:
            connection = await self._connect()
            if connection is not None:
                await self._use(connection, REQUEST_INTERVAL_S)
            await asyncio.sleep(RECONNECT_DELAY_S)

    async def _use_one_connection(self) -> None:
        """Use one connection until it is closed."""
        connection = await self._connect()
        if connection is not None:
            await self._use(connection, self.job.burst_request_interval_s)

    async def _use(self, connection: ClientConnection, interval_s: tuple[float, float]) -> None:
        self._open_connections.append(connection)
        resend_queue, self.resend_queue = self.resend_queue, []
        for set_up in resend_queue:  # resend on the new connection
            set_up.resends += 1
            connection.send(set_up)
        while connection.is_open and not self._stopping:
            set_up = self._create_set_up()
            connection.send(set_up)
            if self.job.viewers_cancel and self._random.random() < CANCEL_SHARE:
                self._start_task(self._cancel_later(connection, set_up.session))
            await asyncio.sleep(self._random.uniform(*interval_s))
        self._open_connections.remove(connection)

    async def _cancel_later(self, connection: ClientConnection, session: str) -> None:
        """Cancel a set-up after a random delay unless it has been answered by then."""
        await asyncio.sleep(self._random.uniform(*CANCEL_DELAY_S))
        if connection.pending.pop(session, None) is not None:
            connection.send_teardown(session)
            self.record(ClientEventKind.CANCELLED, connection.number, session)

    async def _teardown_later(self, session: str) -> None:
        await asyncio.sleep(self._random.uniform(*TEARDOWN_DELAY_S))
        if self._open_connections:
            self._random.choice(self._open_connections).send_teardown(session)
            self.record(ClientEventKind.ENDED, session=session)

    async def _connect(self) -> ClientConnection | None:
        loop = asyncio.get_running_loop()
        self._connection_count += 1
        number = self._connection_count
        connecting = loop.create_connection(
            lambda: ClientConnection(self, number), "127.0.0.1", self.job.port
        )
        try:
            _, connection = await asyncio.wait_for(connecting, CONNECT_TIMEOUT_S)
        except (OSError, TimeoutError):
            return None
        return connection

    def _create_set_up(self) -> SetUp:
        self._session_count += 1
        session = f"{self.job.seed & 0xFFFF:04x}{self._session_count:012x}"
        is_paid = self._random.random() < PAID_SHARE
        time_left_s = self._random.uniform(*TIME_LEFT_S)
        headers = {
            "P-Kind": PAID_CLASS if is_paid else IDEMPOTENT_CLASS,
            "P-Time-Left": f"{time_left_s * 1_000:.0f}",
            "P-Path": f"home:{self._random.randrange(self.job.nodes)};copies:3;top:2;viewer:{session}",
            "X-Length": "2000.0",
        }
        request = _message("SETUP", "1", session, headers, "v=0", ANNOUNCED_TITLE)
        return SetUp(session, request, is_paid, 0.0, time_left_s)

    async def _watch_stalls(self) -> None:
        """Record stalls of this process, so that the judge ignores its timestamps around them."""
        while True:
            due_s = time.monotonic() + STALL_POLL_S
            await asyncio.sleep(STALL_POLL_S)
            stall_s = time.monotonic() - due_s
            if stall_s > MIN_STALL_S:
                self.record(ClientEventKind.STALLED, stalled_s=stall_s)


def _message(
    method: str, cseq: str, session: str, headers: dict[str, str], body: str, address: str = "session"
) -> bytes:
    """Encode one request."""
    lines = [
        f"{method} rtsp://media/{address} RTSP/1.0",
        f"CSeq: {cseq}",
        f"Session: {session}",
        *(f"{name}: {value}" for name, value in headers.items()),
        f"Content-Length: {len(body)}",
        "",
        body,
    ]
    return "\r\n".join(lines).encode("ascii")


async def _run(job: ClientsJob, log: BinaryIO) -> None:
    await Clients(job, log).run()


def main() -> None:
    """Run the job file named on the command line."""
    job = msgspec.json.decode(Path(sys.argv[1]).read_bytes(), type=ClientsJob)
    with Path(job.log).open("wb") as log:
        asyncio.run(_run(job, log))


if __name__ == "__main__":
    main()
