"""TCP and UDP proxies that inject network faults between brokers, without any privileges.

Each direction between two brokers has its own proxy, which can drop, delay, throttle, block and reset its
traffic. All proxies run on one thread; the rig's thread calls the public methods of :class:`FaultProxies`.
"""

from __future__ import annotations

import asyncio
import random
import threading
from collections.abc import Coroutine, Iterable
from dataclasses import dataclass, field
from typing import Any, NamedTuple, TypedDict, TypeVar, Unpack

from lotuspick.lab.errors import NoFreePortError

Result = TypeVar("Result")
Address = tuple[str, int]

READ_BYTES = 64 * 1024
RETRANSMISSION_S = 0.2  # extra delay of a lost TCP segment
CALL_TIMEOUT_S = 60
JOIN_TIMEOUT_S = 10
PORT_ATTEMPTS = 20


class Direction(NamedTuple):
    """Direction of a link, by the numbers of the brokers."""

    source: int
    destination: int


class ConditionChanges(TypedDict, total=False):
    """Conditions of a link to change; absent ones are kept."""

    loss: float
    delay_s: float
    bytes_per_s: float
    blocked: bool


@dataclass(slots=True, eq=False)
class Link:
    """Current conditions and traffic counters of one direction between two brokers."""

    loss: float = 0.0
    """Share of datagrams that are dropped; for TCP, share of reads that are delayed by a retransmission."""
    delay_s: float = 0.0
    bytes_per_s: float = 0.0
    """0: unlimited."""
    blocked: bool = False
    forwarded: int = 0
    dropped: int = 0
    unblocked: asyncio.Event = field(default_factory=asyncio.Event)
    """Set while the link is not blocked."""

    def apply(self, changes: ConditionChanges) -> None:
        """Change conditions; called on the proxies' thread."""
        for condition, value in changes.items():
            setattr(self, condition, value)
        if self.blocked:
            self.unblocked.clear()
        else:
            self.unblocked.set()

    async def delay(self, size: int, random_source: random.Random) -> None:
        """Delay ``size`` bytes of a TCP stream according to the conditions."""
        await self.unblocked.wait()
        wait_s = self.delay_s + (size / self.bytes_per_s if self.bytes_per_s else 0.0)
        wait_s += RETRANSMISSION_S if random_source.random() < self.loss else 0.0
        if wait_s:
            await asyncio.sleep(wait_s)
            await self.unblocked.wait()


class DatagramProxy(asyncio.DatagramProtocol):
    """Forwards the datagrams of one direction."""

    def __init__(
        self,
        link: Link,
        destination: Address,
        loop: asyncio.AbstractEventLoop,
        random_source: random.Random,
    ) -> None:
        self.link = link
        self.destination = destination
        self.loop = loop
        self.random_source = random_source

    def connection_made(self, transport: Any) -> None:
        """Store the transport that forwards datagrams."""
        self.transport = transport

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Forward or drop one datagram from any sender."""
        del addr
        link = self.link
        if link.blocked or self.random_source.random() < link.loss:
            link.dropped += 1
            return
        link.forwarded += 1
        if link.delay_s:
            self.loop.call_later(link.delay_s, self.transport.sendto, data, self.destination)
        else:
            self.transport.sendto(data, self.destination)


class FaultProxies:
    """The proxies of all directions, on a separate thread.

    Args:
        broker_addresses: TCP and UDP address of each broker, by number.
        seed: Random seed of the losses.
    """

    def __init__(self, broker_addresses: list[Address], seed: int) -> None:
        self.broker_addresses = broker_addresses
        self.links: dict[Direction, Link] = {}
        self.ports: dict[Direction, int] = {}
        """Listening port of the proxy of each direction."""
        self._random = random.Random(f"relays {seed}")
        self._writers: dict[Direction, set[asyncio.StreamWriter]] = {}
        """Writers of open connections, by the direction of the dial."""
        self._listeners: list[asyncio.Server | asyncio.DatagramTransport] = []
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True, name="fault-proxies")
        self._thread.start()
        self._call(self._start())

    # ---- on the rig's thread ------------------------------------------------------------------------------

    def set_conditions(self, directions: Iterable[Direction], **changes: Unpack[ConditionChanges]) -> None:
        """Change conditions of some directions; return once they are in effect."""

        async def apply() -> None:
            for direction in directions:
                self.links[direction].apply(changes)

        self._call(apply())

    def reset_connections(self, directions: Iterable[Direction]) -> None:
        """Abort the TCP connections that were dialled in these directions."""

        async def abort() -> None:
            for direction in directions:
                for writer in list(self._writers[direction]):
                    writer.transport.abort()

        self._call(abort())

    def close(self) -> None:
        """Close all sockets and end the thread."""
        self._call(self._stop())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(JOIN_TIMEOUT_S)
        self._loop.close()

    def _call(self, work: Coroutine[Any, Any, Result]) -> Result:
        """Run a coroutine on the proxies' thread and wait for its result."""
        return asyncio.run_coroutine_threadsafe(work, self._loop).result(CALL_TIMEOUT_S)

    # ---- on the proxies' thread ---------------------------------------------------------------------------

    async def _start(self) -> None:
        brokers = range(len(self.broker_addresses))
        for source in brokers:
            for destination in brokers:
                if source != destination:
                    direction = Direction(source, destination)
                    self.links[direction] = Link()
                    self.links[direction].unblocked.set()
                    self._writers[direction] = set()
        for direction in self.links:
            await self._listen(direction)

    async def _listen(self, direction: Direction) -> None:
        """Listen for TCP and UDP on the same port."""
        for _ in range(PORT_ATTEMPTS):
            server = await asyncio.start_server(
                lambda reader, writer: self._proxy_connection(direction, reader, writer), "127.0.0.1", 0
            )
            port = server.sockets[0].getsockname()[1]
            try:
                datagrams = await self._listen_datagrams(direction, port)
            except OSError:
                server.close()
                continue
            self.ports[direction] = port
            self._listeners += [server, datagrams]
            return
        raise NoFreePortError(PORT_ATTEMPTS)

    async def _listen_datagrams(self, direction: Direction, port: int) -> asyncio.DatagramTransport:
        destination = self.broker_addresses[direction.destination]
        transport, _ = await self._loop.create_datagram_endpoint(
            lambda: DatagramProxy(self.links[direction], destination, self._loop, self._random),
            ("127.0.0.1", port),
        )
        return transport

    async def _proxy_connection(
        self, direction: Direction, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Proxy a connection: data from the dialler over one link, data to it over the opposite link."""
        forward = self.links[direction]
        backward = self.links[Direction(direction.destination, direction.source)]
        upstream: asyncio.StreamWriter | None = None
        self._writers[direction].add(writer)
        try:
            await forward.unblocked.wait()
            await backward.unblocked.wait()
            upstream_reader, upstream = await asyncio.open_connection(
                *self.broker_addresses[direction.destination]
            )
            self._writers[direction].add(upstream)
            await self._copy_both(
                self._copy(reader, upstream, forward), self._copy(upstream_reader, writer, backward)
            )
        except (OSError, asyncio.CancelledError):
            pass  # the connection was closed, or the rig is closing
        finally:
            for each in (writer, upstream):
                if each is not None:
                    self._writers[direction].discard(each)
                    each.transport.abort()

    async def _copy_both(self, *copies: Coroutine[Any, Any, None]) -> None:
        """Copy until both directions have ended or one has failed."""
        tasks = [asyncio.create_task(copy) for copy in copies]
        await asyncio.wait(tasks, return_when=asyncio.FIRST_EXCEPTION)
        for task in tasks:
            task.cancel()

    async def _copy(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, link: Link) -> None:
        """Copy one direction of a connection until end of file."""
        while data := await reader.read(READ_BYTES):
            await link.delay(len(data), self._random)
            link.forwarded += 1
            writer.write(data)
            await writer.drain()
        await link.unblocked.wait()
        writer.write_eof()

    async def _stop(self) -> None:
        for listener in self._listeners:
            listener.close()
        current = asyncio.current_task()
        for task in asyncio.all_tasks():
            if task is not current:
                task.cancel()
        await asyncio.sleep(0)
