"""Stand-ins for the platform: edge servers, the coordinator, viewers and the record of a run.

They use the standard library only and listen on loopback addresses. They behave as the operators' pages say;
where a page is silent they behave like a sound server, client or platform.
"""

from __future__ import annotations

import contextlib
import json
import os
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import threading
import time
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
SET_UP, PROGRESS, ANSWER, RELEASE, ACK, NOTE, TEST, TESTED, RUNG = 1, 6, 9, 12, 16, 44, 52, 53, 60
CLASS, WAIT, TITLE, TOPIC, REPORT, RUNG_INDEX, VALUE, CAUSE, DESCRIPTION = (
    100, 102, 108, 114, 118, 122, 124, 128, 130,
)  # fmt: skip
READY_S = 30.0
LIMIT_S = 110
STOP_SIGNALS = (signal.SIGALRM, signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
HELD, BROKEN, CANNOT_RUN = 10, 11, 12  # ends of case.py; run.sh maps them, so that a crash is not a verdict
SHOWN_SERVERS = 5
LATE_ANSWER_S = 0.4


class CannotRunError(Exception):
    """The case could not be run; it says nothing about the rule."""


class Record:
    """What was sent, answered and run, in order of time; written to the file of the case as it happens."""

    def __init__(self, path: Path) -> None:
        self.path, self.lock = path, threading.Lock()
        self.started_s = time.time()
        self.path.write_text(
            f"run begins at {self.started_s:.3f} (Unix time); times below are seconds since\n"
        )

    def add(self, who: str, what: str) -> float:
        """Write one line; return its time (Unix seconds)."""
        now_s = time.time()
        with self.lock, self.path.open("a") as file:
            file.write(f"{now_s - self.started_s:8.3f} {who:<12} {what}\n")
        return now_s


def free_port() -> int:
    """Return a port of the loopback address that is free now."""
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        port: int = probe.getsockname()[1]
        return port


def encode(kind: int, session: str, parameters: dict[int, bytes]) -> bytes:
    """Encode a message of the binary protocol, with its length."""
    frame = bytes((kind,)) + bytes.fromhex(session)
    for code, value in parameters.items():
        frame += struct.pack(">BH", code, len(value)) + value
    return struct.pack(">H", len(frame)) + frame


def decode(frame: bytes) -> tuple[int, str, dict[int, bytes]]:
    """Decode a message of the binary protocol, without its length."""
    parameters, position = {}, 9
    while position < len(frame):
        code, length = struct.unpack(">BH", frame[position : position + 3])
        parameters[code] = frame[position + 3 : position + 3 + length]
        position += 3 + length
    return frame[0], frame[1:9].hex(), parameters


def read_exactly(connection: socket.socket, size: int) -> bytes:
    """Read a number of bytes; empty at the end of the connection."""
    data = b""
    while len(data) < size:
        part = connection.recv(size - len(data))
        if not part:
            return b""
        data += part
    return data


class EdgeServer:
    """An edge server: it answers each set-up after ``answer_after_s`` and tells how full its link is."""

    def __init__(
        self, record: Record, name: str, cell: int, answer_after_s: float = 0.02, note_every_s: float = 4.3
    ) -> None:
        self.record, self.name, self.cell = record, name, cell
        self.answer_after_s, self.note_every_s = answer_after_s, note_every_s
        self.lock = threading.RLock()
        self.connections: list[socket.socket] = []
        self.sessions: dict[
            str, socket.socket
        ] = {}  # sessions that stand, and the connections of their set-ups
        self.open: dict[str, socket.socket] = {}  # set-ups without an answer
        self.set_ups: list[tuple[float, str]] = []  # first byte of each set-up
        self.ran: list[tuple[float, str]] = []  # set-ups that were run: their sessions began to stand
        self.useless: set[socket.socket] = set()  # open connections on which nothing arrives any more
        self.released: list[tuple[str, int]] = []  # releases to send also on the next connection
        self.late_next = ""  # class of the next set-up that is answered ``LATE_ANSWER_S`` after it
        self.stops_short = False  # whether that answer stops short; its connection stays open
        self.last_note_s = 0.0
        self.port = free_port()
        self.address = f"{HOST}:{self.port}"
        self.listener = self._listen(64)
        threading.Thread(target=self._accept, args=(self.listener,), daemon=True).start()
        threading.Thread(target=self._tell, daemon=True).start()

    def entry(self, state: str = "in_service", started_ms: int = 0) -> dict[str, Any]:
        """Return the entry of the coordinator's list."""
        return {
            "id": self.name, "addr": self.address, "zone": "pabellon-norte", "kind": "nodo-2c",
            "cell": self.cell, "state": state, "weight": 1, "started_ms": started_ms,
        }  # fmt: skip

    def _listen(self, backlog: int) -> socket.socket:
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((HOST, self.port))
        listener.listen(backlog)
        return listener

    def end(self) -> None:
        """Close everything."""
        for one in (self.listener, *self.connections):
            with contextlib.suppress(OSError):
                one.close()

    def finish(self, session: str, cause: int = 16) -> None:
        """End a session that stands, and tell the broker."""
        with self.lock:
            connection = self.sessions.pop(session, None)
        if connection is not None:
            self.record.add(self.name, f"release of {session}, cause {cause}")
            self.released.append((session, cause))
            self._send(connection, RELEASE, session, {CAUSE: bytes((cause,))})

    def tell(self) -> None:
        """Tell how full the link is, on one of the sessions that stand."""
        with self.lock:
            sessions = dict(self.sessions)
        for session, connection in list(sessions.items())[:1]:
            self.last_note_s = self.record.add(self.name, f"note nic on {session}: 0.2")
            self._send(connection, NOTE, session, {TOPIC: b"nic", VALUE: b"0.2"})

    def _tell(self) -> None:
        while True:
            time.sleep(self.note_every_s)
            self.tell()

    def _send(self, connection: socket.socket, kind: int, session: str, parameters: dict[int, bytes]) -> None:
        """Send on the connection of the set-up, otherwise on any open connection."""
        with self.lock:
            others = [other for other in self.connections if other is not connection]
            for candidate in (connection, *others):
                if candidate in self.connections and candidate in self.useless:
                    self.record.add(
                        self.name, f"what it sends on {session} does not arrive: spoilt connection"
                    )
                    return
                with contextlib.suppress(OSError):
                    candidate.sendall(encode(kind, session, parameters))
                    return

    def _accept(self, listener: socket.socket) -> None:
        while True:
            try:
                connection, _ = listener.accept()
            except OSError:
                return
            with self.lock:
                self.connections.append(connection)
                released, self.released = self.released, []
            self.record.add(self.name, "a connection is accepted")
            for session, cause in released:
                with contextlib.suppress(OSError):
                    connection.sendall(encode(RELEASE, session, {CAUSE: bytes((cause,))}))
            threading.Thread(target=self._read, args=(connection,), daemon=True).start()

    def _read(self, connection: socket.socket) -> None:
        with contextlib.suppress(OSError):
            while head := read_exactly(connection, 2):
                arrived_s = time.time()
                frame = read_exactly(connection, struct.unpack(">H", head)[0])
                if not frame:
                    break
                self._receive(connection, frame, arrived_s)
        with self.lock:  # the set-ups that are open on a closed connection are given up
            if connection in self.connections:
                self.connections.remove(connection)
                self.record.add(self.name, "a connection has ended")
            for session in [name for name, own in self.open.items() if own is connection]:
                del self.open[session]
                self.record.add(self.name, f"set-up {session} is given up: its connection has ended")

    def _receive(self, connection: socket.socket, frame: bytes, arrived_s: float) -> None:
        kind, session, parameters = decode(frame)
        if kind == SET_UP:
            fields = {
                name: parameters.get(code, b"").decode()
                for name, code in (("class", CLASS), ("title", TITLE), ("rung", RUNG_INDEX), ("wait", WAIT))
            }
            self.record.add(self.name, f"set-up {session} {fields}")
            with self.lock:
                self.set_ups.append((arrived_s, session))
                self.open[session] = connection
            if fields["class"] == self.late_next:
                self.late_next = ""
                threading.Timer(LATE_ANSWER_S, self._answer, (session, self.stops_short)).start()
            else:
                threading.Timer(self.answer_after_s, self._answer, (session,)).start()
        elif kind == RELEASE:
            self.record.add(self.name, f"told release of {session}, cause {parameters[CAUSE][0]}")
            with self.lock:
                self.open.pop(session, None)
                self.sessions.pop(session, None)
            self._send(connection, ACK, session, {})
        elif kind == TEST:
            self._send(connection, TESTED, session, {CAUSE: b"\x01"})
        elif kind == RUNG:
            self.record.add(self.name, f"told rung {parameters[RUNG_INDEX].decode()} for {session}")
            if session not in self.sessions:  # the page is silent here: say that there is no such session
                self._send(connection, RELEASE, session, {CAUSE: bytes((41,))})

    def _answer(self, session: str, spoilt: bool = False) -> None:
        with self.lock:
            connection = self.open.pop(session, None)
            if connection is None:
                return
            self.sessions[session] = connection
            self.ran.append((self.record.add(self.name, f"runs {session} and answers"), session))
        description = f"v=0 {self.name} {session}".encode()
        if spoilt:
            answer = encode(ANSWER, session, {DESCRIPTION: description})
            self.record.add(self.name, f"its answer to {session} stops short; the connection stays open")
            with self.lock, contextlib.suppress(OSError):
                connection.sendall(answer[: len(answer) // 2])
                self.useless.add(connection)
            return
        self._send(connection, ANSWER, session, {DESCRIPTION: description, REPORT: b"inflight:1;x0:0.2"})
        self._send(connection, NOTE, session, {TOPIC: b"nic", VALUE: b"0.2"})
        self.last_note_s = time.time()


class Coordinator:
    """The coordinator."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.events: list[dict[str, Any]] = []
        self.changed = threading.Condition()
        self.listener = socket.create_server((HOST, 0), backlog=64)
        self.address = f"{HOST}:{self.listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def publish(self, servers: list[dict[str, Any]], full: bool = False) -> float:
        """Add an event: it counts as told from now on. Returns the time (Unix seconds)."""
        with self.changed:
            index = len(self.events) + 1
            endpoints = {"version": index, "full": full, "servers": servers}
            self.events.append({"index": index, "endpoints": endpoints})
            self.changed.notify_all()
        shown = [
            f"{one['id']} {one['state']} started_ms={one['started_ms']}" for one in servers[:SHOWN_SERVERS]
        ]
        more = f" and {len(servers) - len(shown)} more" if len(servers) > len(shown) else ""
        return self.record.add("coordinator", f"event {index}: {', '.join(shown)}{more}")

    def known(self) -> dict[str, Any]:
        """Return the events so far, as the configuration holds them."""
        return {"index": len(self.events), "updates": list(self.events)}

    def end(self) -> None:
        """Stop listening."""
        self.listener.close()

    def _accept(self) -> None:
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection: socket.socket) -> None:
        with contextlib.suppress(OSError, ValueError), connection, connection.makefile("rb") as stream:
            while line := stream.readline():
                while stream.readline().strip():
                    pass
                query = parse_qs(urlsplit(line.split()[1].decode()).query)
                follow, wait_ms = int(query["follow"][0]), int(query["wait_ms"][0])
                self.record.add("coordinator", f"is asked follow={follow} wait_ms={wait_ms}")
                with self.changed:
                    self.changed.wait_for(lambda: len(self.events) > follow, min(wait_ms, 5_000) / 1_000)  # noqa: B023
                    answer = {"index": len(self.events), "updates": self.events[follow:]}
                body = json.dumps(answer, separators=(",", ":")).encode()
                head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
                connection.sendall(head.encode() + body)
                told = f"{len(answer['updates'])} events in {len(body)} bytes"
                self.record.add("coordinator", f"has answered follow={follow}: {told}")


class Viewer:
    """One connection to the broker; it carries any number of sessions."""

    def __init__(self, record: Record, port: int, name: str = "viewer") -> None:
        self.record, self.name = record, name
        self.socket = socket.create_connection((HOST, port), timeout=10)
        self.socket.settimeout(None)
        self.answers: dict[str, list[tuple[float, int, bytes]]] = {}
        self.released: dict[str, list[float]] = {}
        self.closed_s = 0.0
        self.tested = 0
        self.news = threading.Condition()
        threading.Thread(target=self._read, daemon=True).start()

    def set_up(
        self, session: str, kind: str, title: str, home: int, time_left_ms: int, copies: int = 1, top: int = 3
    ) -> bytes:
        """Return the bytes of a set-up."""
        body = f"v=0 offer {session}".encode()
        lines = [
            f"SETUP rtsp://media/{title} RTSP/1.0", "CSeq: 1", f"Session: {session}", f"P-Kind: {kind}",
            f"P-Time-Left: {time_left_ms}", "X-Length: 40000.0",
            f"P-Path: home:{home};copies:{copies};top:{top};viewer:{session}",
            f"Content-Length: {len(body)}", "", "",
        ]  # fmt: skip
        return "\r\n".join(lines).encode() + body

    def send(self, data: bytes, what: str) -> float:
        """Send bytes; return the time when the last one was written (Unix seconds), 0 if it could not be."""
        try:
            self.socket.sendall(data)
        except OSError as error:
            self.record.add(self.name, f"cannot send {what}: {type(error).__name__}")
            return 0.0
        return self.record.add(self.name, f"has sent {what}")

    def tear_down(self, session: str) -> None:
        """Give a set-up up, or end a session."""
        head = f"TEARDOWN rtsp://media/{session} RTSP/1.0\r\nCSeq: 2\r\nSession: {session}\r\n"
        self.send(f"{head}Reason: cause=16\r\nContent-Length: 0\r\n\r\n".encode(), f"TEARDOWN {session}")

    def test(self) -> None:
        """Send the test of the front."""
        self.socket.sendall(b"OPTIONS rtsp://media/ping RTSP/1.0\r\nCSeq: 3\r\nContent-Length: 0\r\n\r\n")

    def wait_for(self, condition: Callable[[], Any], timeout_s: float) -> bool:
        """Wait until a condition on what was received holds; return whether it does."""
        with self.news:
            return bool(self.news.wait_for(condition, timeout_s))

    def close(self) -> None:
        """Close the connection."""
        with contextlib.suppress(OSError):
            self.socket.shutdown(socket.SHUT_RDWR)
        self.socket.close()

    def _read(self) -> None:
        with contextlib.suppress(OSError, ValueError), self.socket.makefile("rb") as stream:
            while line := stream.readline():
                headers = {}
                while field := stream.readline().decode().strip():
                    key, _, value = field.partition(":")
                    headers[key.lower()] = value.strip()
                body = stream.read(int(headers["content-length"]))
                self._receive(line.decode().split(), headers, body)
        with self.news:
            self.closed_s = self.record.add(self.name, "its connection has ended")
            self.news.notify_all()

    def _receive(self, start: list[str], headers: dict[str, str], body: bytes) -> None:
        session, cseq = headers.get("session", ""), headers.get("cseq", "")
        with self.news:
            if start[0] == "TEARDOWN":
                now_s = self.record.add(self.name, f"told release of {session}, {headers.get('reason')}")
                self.released.setdefault(session, []).append(now_s)
            elif start[0] == "RTSP/1.0" and cseq == "1":
                now_s = self.record.add(
                    self.name, f"gets {start[1]} for {session}: {body.decode('utf-8', 'replace')}"
                )
                self.answers.setdefault(session, []).append((now_s, int(start[1]), body))
            elif start[0] == "RTSP/1.0" and cseq == "3":
                self.tested = int(start[1])
            elif start[0] == "RTSP/1.0" and int(start[1]) >= 300:
                self.record.add(self.name, f"gets {' '.join(start[1:])}")
            self.news.notify_all()


def settings(**family: Any) -> dict[str, Any]:
    """Return the settings of a small deployment like ``litoral-campus``."""
    return {
        "Az": "pabellon-norte",
        "GroupSize": 3,
        "Index": 0,
        "MachineTypes": ["nodo-2c"],
        "PeriodUs": 10_000,
        "Discovery": "automatic",
        "Zones": ["pabellon-norte", "pabellon-sur", "edificio-central"],
        "WeightKind": "off",
        "Reporting": {"How": "inline", "Columns": ["inflight", "x0"]},
        "Categories": [
            {"Name": "repaso", "Repeat": "pure", "TargetUs": 1_500_000, "HardLimitUs": 5_000_000,
             "KeyScope": "all", "WindowUs": 5_000_000, "Worth": 1.0, "Streamed": True},
            {"Name": "asistencia", "Repeat": "side_effect", "TargetUs": 800_000, "HardLimitUs": 3_000_000,
             "KeyScope": "all", "WindowUs": 5_000_000, "Worth": 2.0, "Streamed": True},
        ],
        "FamilyInfo": {
            "Cells": 12, "Racks": 3, "LevelKb": [170.0, 580.0, 1000.0, 1700.0],
            "WorthByRung": [0.2, 0.55, 0.8, 1.0], "WeightKb": 6000.0, "PlacesByKind": [27],
            "ClassFloor": [0, 1], "ClassScale": [0.7, 1.4], "HighestRung": [3, 3], "Seats": [0, 0],
            "LinksKb": 90_000.0, "RackKb": 30_000.0, "TellUs": 4_300_000, "SeenAfterUs": 1_300_000,
            "ChangeCostsS": 0.6, "ShortfallCost": 8.0, "Join": 1.0, "RefusesFrom": 0.0, **family,
        },
        "Limits": {
            "AttemptsCap": 4, "DialTimeoutUs": 250_000, "ConnIdleUs": 30_000_000, "StreamsPerConn": 32,
            "RetryAfter": True, "MaxRetryAfterUs": 2_000_000, "Cancel": True, "Probes": False,
            "MayTell": False, "MayDuplicate": False,
        },
        "Invariants": {
            "AnswerSlackUs": 0, "DrainGraceUs": 2_000_000, "ColdUs": 8_000_000, "ColdFrom": 0.5,
            "OverloadFactor": 2.5, "TipAfterUs": 3_000_000,
        },
    }  # fmt: skip


class Broker:
    """One broker, started with the command ``run`` of the deploy file."""

    def __init__(
        self, record: Record, coordinator: Coordinator, site: dict[str, Any], root: Path = ROOT
    ) -> None:
        self.record, self.port = record, free_port()
        self.folder = Path(tempfile.mkdtemp(dir=os.environ["REVIEW_TMP"]))
        config = {
            "name": "n1", "listen": f"{HOST}:{self.port}", "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "coordinator": coordinator.address, "known": coordinator.known(), "settings": site,
        }  # fmt: skip
        self.config = self.folder / "config.json"
        self.config.write_text(json.dumps(config))
        (self.folder / "tmp").mkdir()
        environment = {key: value for key, value in os.environ.items() if not key.startswith("PROXY_")}
        environment |= {
            "PROXY_CONFIG": str(self.config), "PROXY_NAME": "n1", "PROXY_LISTEN": f"{HOST}:{self.port}",
            "TMPDIR": str(self.folder / "tmp"),
        }  # fmt: skip
        command = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        self.log = self.folder / "log"
        with self.log.open("wb") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", command], cwd=root, env=environment, stdout=log, stderr=subprocess.STDOUT
            )
        self.pid_file = Path(
            os.environ["REVIEW_TMP"], "broker.pid"
        )  # run.sh ends the broker if this process dies
        self.pid_file.write_text(str(self.process.pid))

    def wait_until_ready(self) -> None:
        """Test the broker as the front does, until it passes."""
        end_s = time.time() + READY_S
        while time.time() < end_s:
            if self.process.poll() is not None:
                raise CannotRunError(f"the broker has ended:\n{self.log.read_text()}")
            with contextlib.suppress(OSError):
                front = Viewer(self.record, self.port, "front")
                front.test()
                passed = front.wait_for(lambda tests=front: tests.tested, 1) and front.tested == 200
                front.close()
                if passed:
                    self.record.add("front", "the broker has passed its test")
                    return
            time.sleep(0.1)
        raise CannotRunError("the broker was not ready in time")

    def end(self) -> None:
        """Stop the broker; add its log to the record."""
        running = self.process.poll() is None
        if running:
            self.process.send_signal(signal.SIGKILL)
        self.process.wait()
        self.pid_file.unlink(missing_ok=True)
        self.record.add("broker", "is stopped" if running else f"had ended with {self.process.returncode}")
        with self.record.lock, self.record.path.open("a") as file:
            file.write("\nlog of the broker:\n" + self.log.read_text())
        shutil.rmtree(self.folder, ignore_errors=True)


def _stop(number: int, _frame: object) -> None:
    for other in STOP_SIGNALS:  # what follows must not be interrupted again
        signal.signal(other, signal.SIG_IGN)
    raise CannotRunError(f"stopped by {signal.Signals(number).name}")


def run_case(path: Path, play: Callable[[Record, bool], list[str]]) -> int:
    """Play a case, and record it in the file ``path``.

    Returns:
        :data:`HELD` or :data:`BROKEN`; any other end of the process means that the case could not run.
    """
    for number in STOP_SIGNALS:
        signal.signal(number, _stop)
    signal.alarm(LIMIT_S)
    record = Record(path)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.add("case", "with the disruption" if trouble else "without the disruption (TROUBLE=0)")
    try:
        broken = play(record, trouble)
    except Exception as error:  # noqa: BLE001  # whatever it is, it says nothing about the rule
        record.add("case", f"could not run: {type(error).__name__}: {error}")
        print(f"could not run: {type(error).__name__}: {error}")
        return CANNOT_RUN
    for line in broken or ["the rule held"]:
        record.add("verdict", line)
        print(line)
    return BROKEN if broken else HELD
