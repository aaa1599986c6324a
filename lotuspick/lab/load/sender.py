"""Sends arrivals when they are due, over RTSP, whatever the broker does meanwhile.

No request waits for another: a few connections carry all of them, as those of a portal would, and an answer is matched
to its request by session. What the process could not send in time is seen by :class:`Found`, which voids those seconds.
"""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any

from lotuspick.lab.load.arrivals import Arrival
from lotuspick.lab.load.measure import Found
from lotuspick.lab.rtsp import parse_messages

SILENT, CUT, NOT_CONNECTED = "silent", "cut", "not-connected"
CONNECT_S = 2.0


@dataclass(frozen=True, slots=True)
class Target:
    """Where requests go, and what they say."""

    port: int
    positions: int
    host: str = "127.0.0.1"
    connections: int = 8
    left_ms: int = 3_000
    patience_s: float = 6.0
    """An answer that takes longer counts as none."""


class Link(asyncio.Protocol):
    """One connection: matches answers, and says what is lost with it."""

    def __init__(self, sender: Sender) -> None:
        self.sender, self.buffer, self.up = sender, b"", False
        self.open: dict[str, Arrival] = {}

    def connection_made(self, transport: Any) -> None:
        self.transport, self.up = transport, True

    def connection_lost(self, error: Exception | None) -> None:
        self.up = False
        lost, self.open = self.open, {}
        for each in lost.values():
            self.sender.answered(each, CUT)

    def data_received(self, data: bytes) -> None:
        messages, self.buffer = parse_messages(self.buffer + data)
        for first, headers in messages:
            session = headers.get("session", "")
            if first.startswith("RTSP/1.0") and session in self.open:
                self.sender.answered(self.open.pop(session), first[9:12], self)


@dataclass(slots=True, eq=False)
class Sender:
    """One process's part of a load."""

    arrivals: Sequence[Arrival]
    target: Target
    found: Found = field(default_factory=Found)
    began_s: float = 0.0
    links: list[Link] = field(default_factory=list)
    trouble: Counter[str] = field(default_factory=Counter)

    async def run(self, began_s: float | None = None) -> Found:
        """Send all, wait for what is open as long as patience lasts, and return what was met. ``began_s``: when the
        load begins on the system's monotonic clock, so that several processes begin together."""
        loop = asyncio.get_running_loop()
        await asyncio.gather(*(self._connect(loop) for _ in range(self.target.connections)))
        self.began_s = time.monotonic() if began_s is None else began_s
        for number, each in enumerate(self.arrivals):
            wait_s = self.began_s + each.at_us / 1e6 - time.monotonic()
            if wait_s > 0:
                await asyncio.sleep(wait_s)
            elif number % 64 == 0:
                await asyncio.sleep(0)  # behind, or in a crowd: answers must be read all the same
            self._send(number, each)
        until_s = time.monotonic() + self.target.patience_s
        while any(link.open for link in self.links) and time.monotonic() < until_s:
            await asyncio.sleep(0.01)
        for link in self.links:
            for each in link.open.values():
                self.answered(each, SILENT)
            link.open = {}
            if link.up:
                link.transport.close()
        return self.found.settle()

    async def _connect(self, loop: asyncio.AbstractEventLoop) -> None:
        link = Link(self)
        self.links.append(link)
        try:
            await asyncio.wait_for(
                loop.create_connection(lambda: link, self.target.host, self.target.port), CONNECT_S
            )
        except (OSError, TimeoutError) as error:
            self.trouble[type(error).__name__] += 1

    def _send(self, number: int, each: Arrival) -> None:
        self.found.sent(each.at_us, self._now_us())
        link = self.links[number % len(self.links)]
        if not link.up:
            self.answered(each, NOT_CONNECTED)
            asyncio.get_running_loop().create_task(self._again(number % len(self.links), link))
            return
        session = f"{each.session:016x}"
        link.open[session] = each
        link.transport.write(set_up(each, session, self.target).encode("ascii"))

    async def _again(self, at: int, old: Link) -> None:
        """Guards against a load that meets nothing more once its connections were cut."""
        if self.links[at] is not old:
            return
        self.links[at] = link = Link(self)
        try:
            await asyncio.get_running_loop().create_connection(
                lambda: link, self.target.host, self.target.port
            )
        except OSError as error:
            self.trouble[type(error).__name__] += 1

    def answered(self, each: Arrival, outcome: str, link: Link | None = None) -> None:
        """A request has its outcome; what plays is ended when its length is over."""
        self.found.answered(each.cls, each.phase, outcome, each.at_us, self._now_us())
        if outcome == "200" and link is not None:
            asyncio.get_running_loop().call_later(each.length_us / 1e6, self._end, each, link)

    def _end(self, each: Arrival, link: Link) -> None:
        if link.up:
            link.transport.write(
                f"TEARDOWN rtsp://media/{each.lesson} RTSP/1.0\r\nCSeq: 2\r\nSession: "
                f"{each.session:016x}\r\nContent-Length: 0\r\n\r\n".encode("ascii")
            )

    def _now_us(self) -> int:
        return int((time.monotonic() - self.began_s) * 1e6)


def set_up(each: Arrival, session: str, target: Target) -> str:
    """The platform's request for an arrival."""
    home = sum(each.lesson.encode()) % target.positions
    return (
        f"SETUP rtsp://media/{each.lesson} RTSP/1.0\r\nCSeq: 1\r\nSession: {session}\r\nP-Kind: {each.cls}\r\n"
        f"P-Time-Left: {target.left_ms}\r\nP-Path: home:{home};copies:3;top:{each.ceiling};"
        f"viewer:{each.viewer:016x}\r\nX-Length: {each.length_us / 1_000:.1f}\r\nP-Billed: {each.tenant}\r\n"
        "Content-Length: 0\r\n\r\n"
    )
