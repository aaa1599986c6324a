"""A fake broker with known latencies: ``python -m lotuspick.lab.load.fake_broker KIND``.

It prints its port, and answers every set-up with 200 after the delay of its kind, so that measured latencies
can be compared with the true ones.
"""

from __future__ import annotations

import asyncio
import sys
import time
from collections.abc import Sequence
from enum import StrEnum
from typing import Any

from lotuspick.lab.rtsp import parse_messages

CONSTANT_S = 0.02
FAST_S, SLOW_S = 0.005, 0.25
SLOW_REQUEST_INTERVAL = 50
STALL_START_S, STALL_END_S = 3.0, 4.0


class DelayKind(StrEnum):
    """Distributions of the delay."""

    CONSTANT = "constant"
    TWO_POINT = "two-point"
    """Fast, except for every ``SLOW_REQUEST_INTERVAL``-th request."""
    STALL = "stall"
    """Fast, except for a stall without answers from ``STALL_START_S`` to ``STALL_END_S``."""


def delay_s(kind: str, number: int, elapsed_s: float) -> float:
    """Return the delay of a request.

    Args:
        kind: A :class:`DelayKind`.
        number: Number of the request, from 1.
        elapsed_s: Time since the first request.
    """
    match kind:
        case DelayKind.TWO_POINT:
            return SLOW_S if number % SLOW_REQUEST_INTERVAL == 0 else FAST_S
        case DelayKind.STALL:
            is_stalled = STALL_START_S <= elapsed_s < STALL_END_S
            return max(0.0, STALL_END_S - elapsed_s) + FAST_S if is_stalled else FAST_S
        case _:
            return CONSTANT_S


def true_latencies_s(kind: str, due_s: Sequence[float]) -> list[float]:
    """Return the latencies of requests that arrive exactly when they are due."""
    return [delay_s(kind, number, elapsed_s) for number, elapsed_s in enumerate(due_s, 1)]


class FakeBroker:
    """State shared by all connections of the fake broker.

    The number of a request is its session id in hexadecimal.
    """

    def __init__(self, kind: str) -> None:
        self._kind = kind
        self._first_request_s: float | None = None

    def delay_s(self, session: str) -> float:
        """Return the delay of a request that arrives now."""
        now_s = time.monotonic()
        if self._first_request_s is None:
            self._first_request_s = now_s
        return delay_s(self._kind, int(session, 16), now_s - self._first_request_s)


class FakeBrokerConnection(asyncio.Protocol):
    """One connection of a client."""

    def __init__(self, broker: FakeBroker) -> None:
        self._broker = broker
        self._buffer = b""

    def connection_made(self, transport: Any) -> None:
        """Accept requests."""
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Answer each set-up after its delay; ignore all other requests."""
        messages, self._buffer = parse_messages(self._buffer + data)
        for message in messages:
            if message.start_line.startswith("SETUP"):
                session = message.headers["session"]
                delay_s = self._broker.delay_s(session)
                asyncio.get_running_loop().call_later(delay_s, self._answer, session)

    def _answer(self, session: str) -> None:
        self._transport.write(
            f"RTSP/1.0 200 OK\r\nCSeq: 1\r\nSession: {session}\r\nContent-Length: 0\r\n\r\n".encode()
        )


async def serve(kind: str) -> None:
    """Serve on a free loopback port until the process ends; print the port."""
    broker = FakeBroker(kind)
    loop = asyncio.get_running_loop()
    server = await loop.create_server(lambda: FakeBrokerConnection(broker), "127.0.0.1", 0)
    print(server.sockets[0].getsockname()[1], flush=True)
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(serve(sys.argv[1]))
