"""Stand-ins for the cases 6 to 10: coordinator, edge servers, viewers, and the broker as a process.

All of them run on one asyncio loop, on loopback addresses and the real clock, and use the standard library
only. They follow the operators' PROTOCOL page; where it is silent, they behave like a sound program.
"""

from __future__ import annotations

import asyncio
import json
import os
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from contextlib import suppress
from pathlib import Path
from typing import Any, ClassVar
from urllib.parse import parse_qs, urlparse

ROOT = Path(__file__).resolve().parent.parent
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
SLACK_S = 0.05  # every time limit is 50 ms longer on sockets
SET_UP, ANSWER, RELEASE, ACK, TEST, TESTED, NOTE, RUNG = 1, 9, 12, 16, 52, 53, 44, 60
NO_LINGER = struct.pack("ii", 1, 0)
FILLERS = 4  # connections that fill the accept queue of a machine that vanished


class CaseError(Exception):
    """The case could not run."""


class Record:
    """Writes what was sent, answered and run to ``record.txt``."""

    def __init__(self, folder: Path) -> None:
        self.file = (folder / "record.txt").open("w", encoding="utf-8")
        self.started = time.time()

    def __call__(self, text: str) -> None:
        """Write one line with the time since the start."""
        self.file.write(f"{time.time() - self.started:8.3f} {text}\n")
        self.file.flush()


def settings(**changes: Any) -> dict[str, Any]:
    """Return the settings of a small deployment, like those on the WIRE page."""
    classes = [
        {"Name": "repaso", "Repeat": "pure", "TargetUs": 1_500_000, "HardLimitUs": 5_000_000, "Worth": 1.0},
        {
            "Name": "asistencia",
            "Repeat": "side_effect",
            "TargetUs": 800_000,
            "HardLimitUs": 3_000_000,
            "Worth": 2.0,
        },
    ]
    for one in classes:
        one |= {"KeyScope": "all", "LateShare": 0.0, "Streamed": True, "WindowUs": 5_000_000}
    family = {
        "Cells": 12,
        "ChangeCostsS": 0.44,
        "ClassFloor": [0, 1],
        "ClassScale": [0.7, 1.4],
        "HighestRung": [3, 3],
        "Join": 1.0,
        "LevelKb": [125.0, 284.0, 642.0, 1454.0],
        "LinksKb": 68_421.0,
        "Live": [False, False],
        "PlacesByKind": [36],
        "RackKb": 27_368.0,
        "Racks": 3,
        "RefusesFrom": 0.0,
        "Seats": [0, 0],
        "SeenAfterUs": 1_285_049,
        "ShortfallCost": 9.0,
        "TellUs": 3_250_000,
        "WeightKb": 5_702.0,
        "WorthByRung": [0.18, 0.49, 0.75, 1.0],
    }
    limits = {
        "AttemptsCap": 4,
        "Cancel": True,
        "ConnIdleUs": 30_000_000,
        "CpuUsPerRequest": 0.0,
        "CpuUsPerS": 500_000,
        "DialTimeoutUs": 250_000,
        "MaxOpen": 1_000_000,
        "MaxRetryAfterUs": 2_000_000,
        "MayDuplicate": False,
        "MayTell": False,
        "Probes": False,
        "RetryAfter": True,
        "StreamsPerConn": 1_048_576,
    }
    rules = {
        "AnswerSlackUs": 40_000,
        "ColdFrom": 0.4,
        "ColdUs": 12_000_000,
        "DrainGraceUs": 2_000_000,
        "MustAskInUs": 10_000_000,
        "OverloadFactor": 2.5,
        "TipAfterUs": 3_000_000,
    }
    whole: dict[str, Any] = {
        "Az": "pabellon-norte",
        "Categories": classes,
        "ClientHabits": {"MarksRetry": True},
        "Discovery": "automatic",
        "Family": "streams",
        "FamilyInfo": family,
        "GroupSize": 3,
        "Index": 0,
        "Invariants": rules,
        "Limits": limits,
        "MachineTypes": ["nodo-2c"],
        "OverShareWorth": 0.1,
        "PeriodUs": 10_000,
        "Prices": {"CrossZone": 0.057, "LateFail": 0.023, "Moves": 0.094},
        "Projects": [],
        "Reporting": {"Columns": ["outstanding", "x0"], "How": "inline"},
        "Stages": ["aulas-media"],
        "Tier": 0,
        "WeightKind": "off",
        "WorthBy": "work",
        "Zones": ["pabellon-norte", "pabellon-sur", "edificio-central"],
    }
    family.update(changes)
    return whole


def listed(name: str, address: str, cell: int, state: str = "in_service", **changes: Any) -> dict[str, Any]:
    """Return the entry of an edge server in the coordinator's list."""
    entry = {
        "id": name,
        "addr": address,
        "zone": "pabellon-norte",
        "kind": "nodo-2c",
        "cell": cell,
        "state": state,
        "weight": 1,
        "started_ms": 0,
    }
    return entry | changes


# ---- the coordinator --------------------------------------------------------------------------------------


class Coordinator:
    """Numbers the events of the list, and answers long polls."""

    def __init__(self, record: Record) -> None:
        self.record, self.updates = record, list[dict[str, Any]]()
        self.delay_s = 0.0  # added to each answer
        self.down = False  # new connections are closed at once, and open calls get no answer
        self.changed = asyncio.Event()
        self.address = ""
        self.writers = set[asyncio.StreamWriter]()

    async def start(self) -> None:
        """Listen."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    def tell(self, *servers: dict[str, Any], full: bool = False) -> None:
        """Add an event; it counts as told from now on."""
        index = len(self.updates) + 1
        endpoints = {"version": index, "full": full, "servers": list(servers)}
        self.updates.append({"index": index, "endpoints": endpoints})
        self.changed.set()
        self.changed = asyncio.Event()

    def break_off(self) -> None:
        """Become unreachable: open connections are closed, new ones are closed at once."""
        self.down = True
        for writer in list(self.writers):
            writer.close()

    @property
    def known(self) -> dict[str, Any]:
        """The events so far, in the form of ``known``."""
        return {"index": len(self.updates), "updates": list(self.updates)}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.down:
            writer.close()
            return
        self.writers.add(writer)
        with suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                query = parse_qs(urlparse(head.split(b" ")[1].decode()).query)
                follow, wait_ms = int(query["follow"][0]), min(5_000, int(query["wait_ms"][0]))
                await self._wait(follow, wait_ms / 1_000)
                body = self._answer(follow)
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                head = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                writer.write(head + f"Content-Length: {len(body)}\r\n\r\n".encode() + body)
                await writer.drain()
        self.writers.discard(writer)
        writer.close()

    async def _wait(self, follow: int, wait_s: float) -> None:
        until = time.monotonic() + wait_s
        while len(self.updates) <= follow and (left := until - time.monotonic()) > 0:
            with suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self.changed.wait(), left)

    def _answer(self, follow: int) -> bytes:
        later = {"index": len(self.updates), "updates": self.updates[follow:]}
        body = json.dumps(later, separators=(",", ":")).encode()
        self.record(f"coordinator: answer follow={follow} last={len(self.updates)} bytes={len(body)}")
        return body


# ---- edge servers -----------------------------------------------------------------------------------------


def frame(kind: int, session: bytes, parameters: dict[int, bytes]) -> bytes:
    """Encode a binary message with its length."""
    body = bytes((kind,)) + session
    for code, value in parameters.items():
        body += struct.pack(">BH", code, len(value)) + value
    return struct.pack(">H", len(body)) + body


def parameters_of(body: bytes) -> dict[int, bytes]:
    """Decode the parameters of a binary message."""
    parameters, position = {}, 9
    while position < len(body):
        code, length = struct.unpack(">BH", body[position : position + 3])
        parameters[code] = body[position + 3 : position + 3 + length]
        position += 3 + length
    return parameters


class EdgeLink(asyncio.Protocol):
    """One connection of a broker to an edge server."""

    def __init__(self, edge: Edge) -> None:
        self.edge, self.buffer, self.stale = edge, b"", False
        self.transport: Any = None
        self.first_byte_at = 0.0

    def connection_made(self, transport: Any) -> None:
        """Register the connection, and send the releases that could not be sent (asyncio's callback)."""
        self.transport = transport
        transport.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.edge.links.append(self)
        for body in self.edge.releases:
            transport.write(body)

    def connection_lost(self, exc: Exception | None) -> None:
        """Give up the set-ups that are open on the connection (asyncio's callback)."""
        del exc
        if self in self.edge.links:
            self.edge.links.remove(self)
        for session, link in list(self.edge.opening.items()):
            if link is self:
                del self.edge.opening[session]

    def data_received(self, data: bytes) -> None:
        """Read messages (asyncio's callback)."""
        if self.stale:
            self.reset()
            return
        if not self.buffer:
            self.first_byte_at = time.time()
        self.buffer += data
        while len(self.buffer) >= 2:
            length = int.from_bytes(self.buffer[:2], "big")
            if len(self.buffer) < 2 + length:
                return
            body, self.buffer = self.buffer[2 : 2 + length], self.buffer[2 + length :]
            self.edge.received(self, body)
            self.first_byte_at = time.time()

    def reset(self) -> None:
        """Reset the connection."""
        self.transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
        self.transport.abort()


class Edge:
    """An edge server: answers set-ups, notes how full its link is, and ends sessions after their time."""

    def __init__(self, name: str, record: Record, host: str = "127.0.0.1", tell_s: float = 3.25) -> None:
        self.name, self.record, self.host, self.tell_s = name, record, host, tell_s
        self.port = 0
        self.life_s: Callable[[bytes], float] = lambda _session: 1e9
        self.draining = False
        self.usable: Callable[[str], bool] = lambda _title: True  # others are answered with an error
        self.places = 1_000_000  # streams that it runs at most; more are turned away
        self.on_set_up: Callable[[Edge, bytes, float], None] = lambda *_: None
        self.on_end: Callable[[Edge, bytes], None] = lambda *_: None
        self._clear()
        self.server: Any = None
        self.blocked: list[socket.socket] = []

    def _clear(self) -> None:
        self.links: list[EdgeLink] = []
        self.opening: dict[bytes, EdgeLink] = {}
        self.sessions: dict[bytes, EdgeLink] = {}
        self.releases: list[bytes] = []
        self.calls: list[asyncio.TimerHandle] = []

    @property
    def address(self) -> str:
        """The address at which the server listens."""
        return f"{self.host}:{self.port}"

    async def start(self) -> None:
        """Listen, at the same port again if it did before."""
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: EdgeLink(self), self.host, self.port, backlog=256)
        self.port = self.server.sockets[0].getsockname()[1]
        self.calls.append(loop.call_later(self.tell_s, self._tell))

    def received(self, link: EdgeLink, body: bytes) -> None:
        """Handle one message of a broker."""
        kind, session = body[0], body[1:9]
        if kind == SET_UP:
            given = parameters_of(body)
            self.record(f"{self.name}: set-up {session.hex()} class={given[100].decode()}")
            self.on_set_up(self, session, link.first_byte_at)
            if not self.usable(given[108].decode()):
                link.transport.write(frame(RELEASE, session, {128: b"\x2f"}))
                return
            if self.draining or len(self.sessions) + len(self.opening) >= self.places:
                self.record(f"{self.name}: turned away {session.hex()}")
                link.transport.write(frame(RELEASE, session, {128: b"\x22"}))
                return
            self.opening[session] = link
            self._later(0.03, self._answer, session, given[130])
        elif kind == RELEASE:
            self.opening.pop(session, None)
            if self.sessions.pop(session, None) is not None:
                self.record(f"{self.name}: released by the broker {session.hex()}")
        elif kind == ACK:
            self.releases = [one for one in self.releases if one[3:11] != session]
        elif kind == TEST:
            link.transport.write(frame(TESTED, session, {128: b"\x01"}))

    def _later(self, delay_s: float, call: Callable[..., None], *arguments: Any) -> None:
        self.calls.append(asyncio.get_running_loop().call_later(delay_s, call, *arguments))

    def _report(self) -> bytes:
        return f"inflight:{len(self.sessions) + len(self.opening)};x0:0.3".encode()

    def _answer(self, session: bytes, description: bytes) -> None:
        link = self.opening.pop(session, None)
        if link is None:
            return
        self.sessions[session] = link
        link.transport.write(
            frame(ANSWER, session, {130: b"answer of " + self.name.encode(), 118: self._report()})
        )
        del description
        link.transport.write(frame(NOTE, session, {114: b"nic", 124: b"0.3"}))
        self.record(f"{self.name}: answered {session.hex()}")
        life_s = self.life_s(session)
        if life_s < 1e6:
            self._later(life_s, self._finish, session)

    def _finish(self, session: bytes) -> None:
        link = self.sessions.pop(session, None)
        if link is None:
            return
        self.on_end(self, session)
        body = frame(RELEASE, session, {128: b"\x10", 118: self._report()})
        self.record(f"{self.name}: session over {session.hex()}")
        self.releases.append(body)
        target = link if link in self.links else (self.links[-1] if self.links else None)
        if target is not None:
            target.transport.write(body)

    def _tell(self) -> None:
        self._later(self.tell_s, self._tell)
        self.tell()

    def tell(self) -> None:
        """Send the note of how full the link is, on one session."""
        for session, link in self.sessions.items():
            target = link if link in self.links else (self.links[-1] if self.links else None)
            if target is not None:
                target.transport.write(frame(NOTE, session, {114: b"nic", 124: b"0.3"}))
            return

    # ---- disruptions

    def vanish(self) -> list[bytes]:
        """Cut the machine off for good: connections stay open and silent, and new ones never come up.

        Returns:
            The sessions that this ends.
        """
        for call in self.calls:
            call.cancel()
        for link in self.links:
            link.stale = True
            link.transport.pause_reading()
        cut, self.gone = list(self.sessions), self.links
        self.server.close()
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((self.host, self.port))
        listener.listen(0)
        self.blocked = [listener]
        for _ in range(FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            with suppress(BlockingIOError):
                filler.connect((self.host, self.port))
            self.blocked.append(filler)
        self._clear()
        self.record(f"{self.name}: machine vanished with sessions {[one.hex() for one in cut]}")
        return cut

    async def return_cold(self) -> None:
        """Come back as a new process: it resets what arrives on connections from before."""
        for one in reversed(self.blocked):
            one.close()
        self.blocked = []
        for link in self.gone:
            if not link.transport.is_closing():
                link.transport.resume_reading()
        await self.start()
        self.record(f"{self.name}: machine is back, a new process")

    def stop(self) -> None:
        """End the process."""
        for call in self.calls:
            call.cancel()
        self.server.close()
        for link in list(self.links):
            link.reset()


# ---- viewers ----------------------------------------------------------------------------------------------


class Viewers:
    """One connection that carries the sessions of many viewers."""

    opened: ClassVar[list[Viewers]] = []

    def __init__(self, record: Record, address: str, name: str = "viewers") -> None:
        self.record, self.name = record, name
        self.host, _, port = address.rpartition(":")
        self.port = int(port)
        self.statuses: dict[str, int] = {}
        self.answered_at: dict[str, float] = {}
        self.released_at: dict[str, float] = {}
        self.closed = False
        self._tested: asyncio.Future[int] | None = None

    async def connect(self) -> None:
        """Open the connection and read it."""
        self.reader, self.writer = await asyncio.open_connection(self.host, self.port)
        self.task = asyncio.create_task(self._read())
        Viewers.opened.append(self)

    def send(self, text: str, body: bytes = b"") -> None:
        """Send one message; ``text`` holds its lines without the length."""
        self.writer.write(f"{text}Content-Length: {len(body)}\r\n\r\n".encode() + body)

    def set_up(self, session: str, kind: str, title: str, path: str, left_ms: int, extra: str = "") -> None:
        """Ask for a session."""
        self.record(f"{self.name}: SETUP {session} {kind} left={left_ms}")
        self.send(
            f"SETUP rtsp://media/{title} RTSP/1.0\r\nCSeq: 1\r\nSession: {session}\r\nP-Kind: {kind}\r\n"
            f"P-Time-Left: {left_ms}\r\nP-Path: {path}\r\n{extra}",
            b"v=0\r\nc=IN IP4 127.0.0.1\r\n",
        )

    async def test(self) -> int:
        """Test the broker; returns the status."""
        self._tested = asyncio.get_running_loop().create_future()
        self.send("OPTIONS rtsp://media/ping RTSP/1.0\r\nCSeq: 3\r\n")
        return await asyncio.wait_for(self._tested, 3)

    async def _read(self) -> None:
        with suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                head = (await self.reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
                headers = {
                    name.lower(): value.strip()
                    for name, colon, value in (line.partition(":") for line in head[1:])
                    if colon
                }
                await self.reader.readexactly(int(headers.get("content-length", 0)))
                self._received(head[0], headers)
        self.closed = True
        self.record(f"{self.name}: connection ended")

    def _received(self, start: str, headers: dict[str, str]) -> None:
        session, cseq = headers.get("session", ""), headers.get("cseq", "")
        if start.startswith("TEARDOWN"):
            self.record(f"{self.name}: heard TEARDOWN {session} {headers.get('reason', '')}")
            self.released_at.setdefault(session, time.time())
            self.send(f"RTSP/1.0 200 OK\r\nCSeq: {cseq}\r\nSession: {session}\r\n")
        elif start.startswith("RTSP/1.0"):
            status = int(start.split(" ")[1])
            if cseq == "3" and self._tested is not None and not self._tested.done():
                self._tested.set_result(status)
            elif cseq == "1" and status >= 200:
                self.record(f"{self.name}: answer {status} to {session}")
                self.statuses.setdefault(session, status)
                self.answered_at.setdefault(session, time.time())


# ---- the broker -------------------------------------------------------------------------------------------


class Broker:
    """One playback broker, started by ``run`` of the deploy file."""

    processes: ClassVar[list[subprocess.Popen[bytes]]] = []
    folders: ClassVar[list[Path]] = []

    def __init__(self, record: Record, name: str = "n1") -> None:
        self.record, self.name = record, name
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        Broker.folders.append(self.folder)
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            self.address = f"127.0.0.1:{probe.getsockname()[1]}"
        self.process: subprocess.Popen[bytes] | None = None

    async def start(
        self,
        coordinator: Coordinator,
        known: dict[str, Any],
        site: dict[str, Any],
        sockets: int = 1_024,
        memory_mb: int = 192,
    ) -> None:
        """Start the process, and wait until it has passed a test."""
        config = {
            "name": self.name,
            "listen": self.address,
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
            "coordinator": coordinator.address,
            "known": known,
            "settings": site,
        }
        path = self.folder / "config.json"
        path.write_text(json.dumps(config), encoding="utf-8")
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))["run"]
        temporary = self.folder / "tmp"
        temporary.mkdir(exist_ok=True)
        inherited = {name: value for name, value in os.environ.items() if name != "PYTHONPATH"}
        environment = inherited | {
            "PROXY_CONFIG": str(path),
            "PROXY_NAME": self.name,
            "PROXY_LISTEN": self.address,
            "TMPDIR": str(temporary),
        }
        with (self.folder / "log").open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", run], cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        Broker.processes.append(self.process)
        await self._wait_until_ready()
        self.record(f"{self.name}: passed a test, pid is the broker's")

    async def _wait_until_ready(self) -> None:
        until = time.monotonic() + 30
        while time.monotonic() < until:
            viewers = Viewers(self.record, self.address, "front")
            with suppress(OSError, asyncio.TimeoutError):
                await viewers.connect()
                if await viewers.test() == 200:
                    viewers.writer.close()
                    return
            await asyncio.sleep(0.1)
            if self.has_ended:
                break
        raise CaseError("the broker was not ready within 30 s: " + self.log_text()[-400:])

    @property
    def has_ended(self) -> bool:
        """Whether the process has ended."""
        return self.process is not None and self.process.poll() is not None

    def resident_mb(self) -> float:
        """The resident memory of the process (MiB); 0 once it has ended."""
        with suppress(OSError):
            text = Path(f"/proc/{self.process.pid if self.process else 0}/status").read_text(encoding="utf-8")
            for line in text.splitlines():
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) / 1_024
        return 0.0

    def log_text(self) -> str:
        """What the broker wrote to its log."""
        return (self.folder / "log").read_text(encoding="utf-8", errors="replace")

    def kill(self) -> None:
        """Kill the process outright."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()

    async def stop(self) -> None:
        """End the process."""
        self.kill()

    @classmethod
    def end_all(cls) -> None:
        """End every process that was started, and remove the temporary folders."""
        for process in cls.processes:
            if process.poll() is None:
                process.kill()
                process.wait()
        for folder in cls.folders:
            shutil.rmtree(folder, ignore_errors=True)


class LoopLag:
    """Measures how late the stand-ins' own loop runs; what it delays is not the broker's fault."""

    def __init__(self) -> None:
        self.worst_s = 0.0
        self.task = asyncio.create_task(self._run())

    async def _run(self) -> None:
        while True:
            before = time.monotonic()
            await asyncio.sleep(0.01)
            self.worst_s = max(self.worst_s, time.monotonic() - before - 0.01)


async def _bounded(case: Awaitable[list[str]], limit_s: float) -> list[str]:
    """Run a case until it ends, its time is over, or a signal arrives."""
    loop, task = asyncio.get_running_loop(), asyncio.current_task()
    if task is not None:
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            loop.add_signal_handler(number, task.cancel)
    return await asyncio.wait_for(case, limit_s)


def run_case(folder: Path, case: Callable[[Record, bool], Awaitable[list[str]]], limit_s: float) -> None:
    """Run a case and exit: 1 with the faults that it returns, 0 without any, 2 if it could not run.

    Whatever ends the case, all processes that it started are ended first. A fault of the case itself, also
    one that it did not foresee, is no verdict.
    """
    record, trouble = Record(folder), os.environ.get("TROUBLE", "1") != "0"
    record(f"trouble={trouble}")
    status, text = HELD, "held"
    try:
        faults = asyncio.run(_bounded(case(record, trouble), limit_s))
        for fault in faults:
            record(f"BROKEN {fault}")
        if faults:
            status, text = BROKEN, f"broken: {len(faults)} faults, first: {faults[0]}"
    except (Exception, asyncio.CancelledError, KeyboardInterrupt) as error:  # noqa: BLE001
        status, text = COULD_NOT_RUN, f"could not run: {type(error).__name__} {error}"
    finally:
        Broker.end_all()
    record(text)
    print(text, flush=True)
    os._exit(status)  # open connections of the stand-ins need no farewell
