"""RTSP as the lab's stand-ins read it: whole messages off a stream, their heads alone."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

ANSWER_S = 6.0
Answer = tuple[int, str, int]
"""Status (0: the connection was lost), reason, and milliseconds to stay away."""
LOST: Answer = (0, "lost", 300)


def take(buffer: bytes) -> tuple[list[tuple[str, dict[str, str]]], bytes]:
    """The messages that have come whole, bodies passed over, and what is left of the stream: of each its first line and
    its headers by name in lower case."""
    found: list[tuple[str, dict[str, str]]] = []
    while (end := buffer.find(b"\r\n\r\n")) >= 0:
        first, *lines = buffer[:end].decode("ascii", "replace").split("\r\n")
        headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}
        whole = end + 4 + int(headers.get("content-length", "0"))
        if len(buffer) < whole:
            break
        buffer = buffer[whole:]
        found.append((first, headers))
    return found, buffer


class Rtsp(asyncio.Protocol):
    """One connection that many viewers share, as behind a portal."""

    def __init__(self) -> None:
        self.buffer = b""
        self.waiting: dict[str, asyncio.Future[Answer]] = {}
        self.cut: dict[str, Callable[[], None]] = {}
        self.up = False

    def answered(self, cseq: str, session: str) -> None:
        """An answer came; what is asked of each is whether it was the only one."""

    def connection_made(self, transport: Any) -> None:
        self.transport, self.up = transport, True

    def connection_lost(self, error: Exception | None) -> None:
        self.up = False
        for future in self.waiting.values():
            if not future.done():
                future.set_result(LOST)
        for ended in list(self.cut.values()):
            ended()

    def data_received(self, data: bytes) -> None:
        messages, self.buffer = take(self.buffer + data)
        for first, headers in messages:
            session = headers.get("session", "")
            if first.startswith("RTSP/1.0"):
                self.answered(headers.get("cseq", ""), session)
                future = self.waiting.get(f"{headers.get('cseq')} {session}")
                if future is not None and not future.done():
                    future.set_result(
                        (int(first[9:12]), first[13:].strip(), int(headers.get("p-gap-ms", "0")))
                    )
            elif session in self.cut:
                self.cut[session]()

    async def ask(
        self,
        method: str,
        cseq: str,
        session: str,
        headers: dict[str, str],
        body: str = "",
        address: str = "session",
    ) -> Answer:
        if not self.up:
            return LOST
        lines = [
            f"{method} rtsp://media/{address} RTSP/1.0",
            f"CSeq: {cseq}",
            f"Session: {session}",
            *(f"{name}: {value}" for name, value in headers.items()),
            f"Content-Length: {len(body)}",
            "",
            body,
        ]
        key = f"{cseq} {session}"
        future = self.waiting[key] = asyncio.get_running_loop().create_future()
        self.transport.write("\r\n".join(lines).encode("ascii"))
        try:
            return await asyncio.wait_for(future, ANSWER_S)
        except TimeoutError:
            return (0, "silent", 300)
        finally:
            del self.waiting[key]
