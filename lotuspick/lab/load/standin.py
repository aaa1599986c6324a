"""A stand-in broker with delays that are known: ``python -m lotuspick.lab.load.standin KIND``. It answers every set-up
with 200, after the delay of its kind, and prints its port. What is measured of it can be held against the truth."""

from __future__ import annotations

import asyncio
import sys
import time
from collections.abc import Sequence
from typing import Any

from lotuspick.lab.rtsp import parse_messages

CONSTANT_S, FAST_S, SLOW_S, SLOW_EACH = 0.02, 0.005, 0.25, 50
STALL_FROM_S, STALL_TO_S = 3.0, 4.0
KINDS = ("constant", "two-point", "stall")


def delay_s(kind: str, number: int, at_s: float) -> float:
    """The delay of the request with this number, that came so long after the first."""
    match kind:
        case "two-point":
            return SLOW_S if number % SLOW_EACH == 0 else FAST_S
        case "stall":
            return max(0.0, STALL_TO_S - at_s) + FAST_S if STALL_FROM_S <= at_s < STALL_TO_S else FAST_S
        case _:
            return CONSTANT_S


def truth(kind: str, due_s: Sequence[float]) -> list[float]:
    """Latencies in seconds of requests that come when they are due."""
    return [delay_s(kind, int(number), at) for number, at in enumerate(due_s, 1)]


class Broker(asyncio.Protocol):
    """Answers by the session's number, which counts the requests."""

    began_s = 0.0

    def __init__(self, kind: str) -> None:
        self.kind, self.buffer = kind, b""

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        loop = asyncio.get_running_loop()
        messages, self.buffer = parse_messages(self.buffer + data)
        for first, headers in messages:
            if not first.startswith("SETUP"):
                continue
            session = headers["session"]
            if not Broker.began_s:
                Broker.began_s = time.monotonic()
            after_s = delay_s(self.kind, int(session, 16), time.monotonic() - Broker.began_s)
            loop.call_later(after_s, self.answer, session)

    def answer(self, session: str) -> None:
        self.transport.write(
            f"RTSP/1.0 200 OK\r\nCSeq: 1\r\nSession: {session}\r\nContent-Length: 0\r\n\r\n".encode()
        )


async def serve(kind: str) -> None:
    server = await asyncio.get_running_loop().create_server(lambda: Broker(kind), "127.0.0.1", 0)
    print(server.sockets[0].getsockname()[1], flush=True)
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(serve(sys.argv[1]))
