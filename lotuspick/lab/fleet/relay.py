"""Relays between brokers: every directed way from one to another leads through one of them, which can lose, hold, slow,
cut and reset what goes that way, over TCP and UDP, without any privileges."""

from __future__ import annotations

import asyncio
import random
import threading
from collections.abc import Coroutine
from dataclasses import dataclass, field
from typing import Any

CHUNK = 64 * 1024
AGAIN_S = 0.2  # a lost segment of TCP comes so much later, as it is sent again


@dataclass(slots=True, eq=False)
class Way:
    """One direction between two brokers, as it is at present."""

    loss: float = 0.0
    """Part of datagrams that is lost; of TCP, part of reads that come late."""
    delay_s: float = 0.0
    rate: float = 0.0
    """Bytes a second; 0: no bound."""
    cut: bool = False
    passed: int = 0
    dropped: int = 0
    whole: asyncio.Event = field(default_factory=asyncio.Event)

    async def wait_s(self, size: int, draw: random.Random) -> None:
        """Hold what goes over TCP for as long as it takes."""
        await self.whole.wait()
        late_s = self.delay_s + (size / self.rate if self.rate else 0.0)
        late_s += AGAIN_S if draw.random() < self.loss else 0.0
        if late_s:
            await asyncio.sleep(late_s)
            await self.whole.wait()


class Datagrams(asyncio.DatagramProtocol):
    """Takes datagrams of one broker for another."""

    def __init__(self, relays: Relays, way: Way, to: tuple[str, int]) -> None:
        self.relays, self.way, self.to = relays, way, to

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def datagram_received(self, data: bytes, addr: Any) -> None:
        if self.way.cut or self.relays.draw.random() < self.way.loss:
            self.way.dropped += 1
            return
        self.way.passed += 1
        if self.way.delay_s:
            self.relays.loop.call_later(self.way.delay_s, self.transport.sendto, data, self.to)
        else:
            self.transport.sendto(data, self.to)


class Relays:
    """All of them, on a thread of their own. ``places``: where the brokers take TCP and UDP, by number."""

    def __init__(self, places: list[tuple[str, int]], seed: int) -> None:
        self.places, self.draw = places, random.Random(f"relays {seed}")
        self.ways: dict[tuple[int, int], Way] = {}
        self.ports: dict[tuple[int, int], int] = {}
        """Where each way is taken: (from, to) to the port."""
        self._open: dict[tuple[int, int], set[asyncio.StreamWriter]] = {}
        self._closers: list[Any] = []
        self.loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self.loop.run_forever, daemon=True, name="relays")
        self._thread.start()
        self._do(self._begin())

    def _do(self, work: Coroutine[Any, Any, Any]) -> Any:
        return asyncio.run_coroutine_threadsafe(work, self.loop).result(60)

    async def _begin(self) -> None:
        for one in range(len(self.places)):
            for other in range(len(self.places)):
                if one != other:
                    self.ways[one, other] = Way()
                    self.ways[one, other].whole.set()
                    self._open[one, other] = set()
        for pair in self.ways:
            await self._listen(*pair)

    async def _listen(self, one: int, other: int) -> None:
        for _ in range(20):
            server = await asyncio.start_server(
                lambda reader, writer: self._joined(one, other, reader, writer), "127.0.0.1", 0
            )
            port = server.sockets[0].getsockname()[1]
            try:
                datagrams, _protocol = await self.loop.create_datagram_endpoint(
                    lambda: Datagrams(self, self.ways[one, other], self.places[other]), ("127.0.0.1", port)
                )
            except OSError:
                server.close()
                continue
            self.ports[one, other] = port
            self._closers += [server, datagrams]
            return
        raise RuntimeError("no port is free for TCP and UDP alike")

    async def _joined(
        self, one: int, other: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """A broker has dialled another: what it says goes one way, what comes back the other."""
        there, back = self.ways[one, other], self.ways[other, one]
        onward: asyncio.StreamWriter | None = None
        self._open[one, other].add(writer)
        try:
            await there.whole.wait()
            await back.whole.wait()
            answers, onward = await asyncio.open_connection(*self.places[other])
            self._open[one, other].add(onward)
            pumps = [
                asyncio.create_task(self._pump(reader, onward, there)),
                asyncio.create_task(self._pump(answers, writer, back)),
            ]
            await asyncio.wait(pumps, return_when=asyncio.FIRST_EXCEPTION)
            for pump in pumps:
                pump.cancel()
        except (OSError, asyncio.CancelledError):
            pass  # over, or the rig ends
        finally:
            for each in (writer, onward):
                if each is not None:
                    self._open[one, other].discard(each)
                    each.transport.abort()

    async def _pump(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, way: Way) -> None:
        while data := await reader.read(CHUNK):
            await way.wait_s(len(data), self.draw)
            way.passed += 1
            writer.write(data)
            await writer.drain()
        await way.whole.wait()
        writer.write_eof()

    # ---- faults, from the rig's thread --------------------------------------------------------------------

    def change(self, ways: list[tuple[int, int]], **values: Any) -> None:
        """Set ``loss``, ``delay_s``, ``rate`` or ``cut`` of ways."""

        async def work() -> None:
            for pair in ways:
                way = self.ways[pair]
                for key, value in values.items():
                    setattr(way, key, value)
                (way.whole.clear if way.cut else way.whole.set)()

        self._do(work())

    def reset(self, ways: list[tuple[int, int]]) -> None:
        """Abort the connections that were dialled that way."""

        async def work() -> None:
            for pair in ways:
                for writer in list(self._open[pair]):
                    writer.transport.abort()

        self._do(work())

    def close(self) -> None:
        async def work() -> None:
            for each in self._closers:
                each.close()
            for each in [task for task in asyncio.all_tasks() if task is not asyncio.current_task()]:
                each.cancel()
            await asyncio.sleep(0)

        self._do(work())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self._thread.join(10)
        self.loop.close()
