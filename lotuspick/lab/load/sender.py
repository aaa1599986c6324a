"""Sends arrivals over RTSP when they are due, independently of the broker's answers.

All requests share a few connections, like those of a portal, and answers are matched by session.
:class:`LoadMeasurement` voids the seconds in which this process could not send on time.
"""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any

from lotuspick.lab.load.arrivals import US_PER_S, Arrival
from lotuspick.lab.load.measure import LoadMeasurement
from lotuspick.lab.rtsp import parse_messages

NO_ANSWER, CONNECTION_LOST, NOT_CONNECTED = "silent", "cut", "not-connected"
"""Outcomes of requests without an answer; for the others the outcome is the status code."""
SERVED = "200"
CONNECT_TIMEOUT_S = 2.0
DRAIN_POLL_S = 0.01
SENDS_PER_YIELD = 64


@dataclass(frozen=True, slots=True)
class Target:
    """Address of the broker, and parameters of the requests."""

    port: int
    positions: int
    """Number of positions over which titles are distributed."""
    host: str = "127.0.0.1"
    connections: int = 8
    time_left_ms: int = 3_000
    answer_timeout_s: float = 6.0
    """Later answers count as missing."""


class SenderConnection(asyncio.Protocol):
    """One connection; matches answers to requests and reports the requests that are lost with it."""

    def __init__(self, sender: LoadSender) -> None:
        self.connected = False
        self.pending: dict[str, Arrival] = {}
        """Requests without an answer by session."""
        self._sender = sender
        self._buffer = b""

    def connection_made(self, transport: Any) -> None:
        """Mark the connection as usable."""
        self.transport = transport
        self.connected = True

    def connection_lost(self, exc: Exception | None) -> None:
        """Record all pending requests as lost."""
        del exc
        self.connected = False
        lost_requests, self.pending = self.pending, {}
        for arrival in lost_requests.values():
            self._sender.record_outcome(arrival, CONNECTION_LOST)

    def data_received(self, data: bytes) -> None:
        """Match answers to pending requests; ignore all other messages."""
        messages, self._buffer = parse_messages(self._buffer + data)
        for message in messages:
            if message.is_response and message.session in self.pending:
                arrival = self.pending.pop(message.session)
                self._sender.record_outcome(arrival, message.status_text, self)


@dataclass(slots=True, eq=False)
class LoadSender:
    """Sends one process's part of a load."""

    arrivals: Sequence[Arrival]
    target: Target
    measurement: LoadMeasurement = field(default_factory=LoadMeasurement)
    connect_errors: Counter[str] = field(default_factory=Counter)
    """Failed connection attempts by type of the error."""
    _start_s: float = field(default=0.0, init=False)
    _connections: list[SenderConnection] = field(default_factory=list, init=False)
    _tasks: set[asyncio.Task[None]] = field(default_factory=set, init=False)

    async def run(self, start_s: float | None = None) -> LoadMeasurement:
        """Send all requests, wait for pending answers until the timeout, and return the measurements.

        Args:
            start_s: Start of the load on the system's monotonic clock, so that several processes can start
                together; by default the time at which all connections are open.
        """
        await asyncio.gather(*(self._open_connection() for _ in range(self.target.connections)))
        self._start_s = time.monotonic() if start_s is None else start_s
        for number, arrival in enumerate(self.arrivals):
            wait_s = self._start_s + arrival.at_us / US_PER_S - time.monotonic()
            if wait_s > 0:
                await asyncio.sleep(wait_s)
            elif number % SENDS_PER_YIELD == 0:
                await asyncio.sleep(0)  # answers must be read even if sends are late or closely spaced
            self._send(number, arrival)
        await self._drain()
        return self.measurement.finalize()

    async def _drain(self) -> None:
        """Wait for pending answers until the timeout, then close all connections."""
        end_s = time.monotonic() + self.target.answer_timeout_s
        while any(connection.pending for connection in self._connections) and time.monotonic() < end_s:
            await asyncio.sleep(DRAIN_POLL_S)
        for connection in self._connections:
            for arrival in connection.pending.values():
                self.record_outcome(arrival, NO_ANSWER)
            connection.pending = {}
            if connection.connected:
                connection.transport.close()

    async def _open_connection(self) -> None:
        connection = SenderConnection(self)
        self._connections.append(connection)
        loop = asyncio.get_running_loop()
        connecting = loop.create_connection(lambda: connection, self.target.host, self.target.port)
        try:
            await asyncio.wait_for(connecting, CONNECT_TIMEOUT_S)
        except (OSError, TimeoutError) as error:
            self.connect_errors[type(error).__name__] += 1

    def _send(self, number: int, arrival: Arrival) -> None:
        self.measurement.record_sent(arrival.at_us, self._elapsed_us())
        index = number % len(self._connections)
        connection = self._connections[index]
        if not connection.connected:
            self.record_outcome(arrival, NOT_CONNECTED)
            reconnecting = asyncio.get_running_loop().create_task(self._reconnect(index, connection))
            self._tasks.add(reconnecting)
            reconnecting.add_done_callback(self._tasks.discard)
            return
        connection.pending[_session_id(arrival)] = arrival
        connection.transport.write(set_up_request(arrival, self.target).encode("ascii"))

    async def _reconnect(self, index: int, previous: SenderConnection) -> None:
        """Replace a lost connection, so that the load continues, unless it has been replaced already."""
        if self._connections[index] is not previous:
            return
        self._connections[index] = connection = SenderConnection(self)
        loop = asyncio.get_running_loop()
        try:
            await loop.create_connection(lambda: connection, self.target.host, self.target.port)
        except OSError as error:
            self.connect_errors[type(error).__name__] += 1

    def record_outcome(
        self, arrival: Arrival, outcome: str, connection: SenderConnection | None = None
    ) -> None:
        """Record the outcome of a request; if it was served, schedule the end of the session."""
        self.measurement.record_outcome(
            arrival.session_class, arrival.phase, outcome, arrival.at_us, self._elapsed_us()
        )
        if outcome == SERVED and connection is not None:
            length_s = arrival.length_us / US_PER_S
            asyncio.get_running_loop().call_later(length_s, _end_session, arrival, connection)

    def _elapsed_us(self) -> int:
        return int((time.monotonic() - self._start_s) * US_PER_S)


def _session_id(arrival: Arrival) -> str:
    return f"{arrival.session:016x}"


def _end_session(arrival: Arrival, connection: SenderConnection) -> None:
    if connection.connected:
        connection.transport.write(
            f"TEARDOWN rtsp://media/{arrival.title} RTSP/1.0\r\nCSeq: 2\r\n"
            f"Session: {_session_id(arrival)}\r\nContent-Length: 0\r\n\r\n".encode("ascii")
        )


def set_up_request(arrival: Arrival, target: Target) -> str:
    """Return the set-up request for an arrival."""
    home = sum(arrival.title.encode()) % target.positions
    return (
        f"SETUP rtsp://media/{arrival.title} RTSP/1.0\r\nCSeq: 1\r\nSession: {_session_id(arrival)}\r\n"
        f"P-Kind: {arrival.session_class}\r\nP-Time-Left: {target.time_left_ms}\r\n"
        f"P-Path: home:{home};copies:3;top:{arrival.highest_rung};viewer:{arrival.viewer:016x}\r\n"
        f"X-Length: {arrival.length_us / 1_000:.1f}\r\nP-Billed: {arrival.tenant}\r\n"
        "Content-Length: 0\r\n\r\n"
    )
