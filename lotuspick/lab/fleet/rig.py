"""The rig: stand-in nodes and coordinator, real brokers, relays between them, and faults. Nothing outlives it.

Brokers listen at ports that the rig holds for them, so that they come back to the same ones and nobody else takes
them meanwhile. Whoever waits here waits for a line or a state, never for a time.
"""

from __future__ import annotations

import ctypes
import http.server
import json
import os
import random
import signal
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from lotuspick.lab.fleet.relay import Relays
from lotuspick.lab.net.story import Fault
from lotuspick.transport.control_port import ControlPortError, send_request

PATIENCE_S = 60.0
SETTINGS: dict[str, Any] = {
    "Az": "a",
    "GroupSize": 1,
    "MachineTypes": ["box"],
    "PeriodUs": 10_000,
    "Discovery": "automatic",
    "Categories": [
        {"Name": "clip", "Repeat": "pure", "TargetUs": 1_000_000, "Worth": 1.0},
        {
            "Name": "exam",
            "Repeat": "side_effect",
            "TargetUs": 1_000_000,
            "Worth": 2.0,
            "HardLimitUs": 3_000_000,
        },
    ],
    "FamilyInfo": {
        "LevelKb": [1.0, 2.0, 4.0],
        "WorthByRung": [0.3, 0.6, 1.0],
        "WeightKb": 4e6,
        "PlacesByKind": [4_000],
        "ClassFloor": [0, 1],
    },
    "Limits": {
        "AttemptsCap": 3,
        "DialTimeoutUs": 250_000,
        "ConnIdleUs": 30_000_000,
        "StreamsPerConn": 512,
        "RetryAfter": True,
        "MaxRetryAfterUs": 2_000_000,
    },
    "Invariants": {"DrainGraceUs": 2_000_000},
}
_LIBC = ctypes.CDLL(None)


def _dies_with_its_parent() -> None:
    _LIBC.prctl(1, signal.SIGKILL)  # PR_SET_PDEATHSIG


class Server(http.server.ThreadingHTTPServer):
    """The coordinator's; brokers that are killed leave their polls."""

    daemon_threads = True

    def handle_error(self, *_: Any) -> None:
        pass


class Coordinator(http.server.BaseHTTPRequestHandler):
    """Says that nothing has changed."""

    protocol_version = "HTTP/1.1"

    def log_message(self, *_: Any) -> None:
        pass

    def do_GET(self) -> None:
        time.sleep(1.0)
        body = b'{"index": 1, "updates": []}'
        self.send_response(200)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)


class Port:
    """A port that is held for a broker: outside the range from which the kernel takes those of outgoing connections,
    bound here and not listened on, so that only who asks for it by its number gets it."""

    def __init__(self) -> None:
        draw = random.SystemRandom()
        while True:
            self.held = socket.socket()
            try:
                self.held.bind(("127.0.0.1", draw.randrange(10_000, 32_000)))
                break
            except OSError:
                self.held.close()
        self.held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)  # from now on another may bind it
        self.number: int = self.held.getsockname()[1]


@dataclass(frozen=True, slots=True)
class Call:
    """What became of one set-up that the callers asked for."""

    broker: int
    paid: bool
    asked_s: float
    took_ms: float
    status: int
    """0: none came."""
    reason: str
    answers: int
    cut: bool
    """Its connection was lost, or never came up."""

    @classmethod
    def read(cls, line: str) -> Call:
        """From the callers' log."""
        at, kind, _, asked, took, status, reason, answers, how = line.split()
        return cls(
            int(at),
            kind == "exam",
            float(asked),
            float(took),
            int(status),
            reason.partition("/")[0],
            int(answers),
            how == "cut" or reason.startswith("lost"),
        )


class Rig:
    """Stand-in nodes, a coordinator and brokers. ``options`` gives further words of a broker's command line, whose
    files it has written."""

    module = "lotuspick"
    faults: dict[str, float] = {}
    later = 0
    """So many of the brokers, the last ones, are not started with the rest."""

    def __init__(
        self, folder: Path, brokers: int, nodes: int, seed: int, settings: dict[str, Any] | None = None
    ) -> None:
        self.folder, self.seed = folder, seed
        self.settings = settings or SETTINGS
        self.processes: list[subprocess.Popen[str]] = []
        self.brokers: dict[int, subprocess.Popen[str]] = {}
        self.server = Server(("127.0.0.1", 0), Coordinator)
        threading.Thread(target=self.server.serve_forever, daemon=True).start()
        self.held = [Port() for _ in range(brokers)]
        try:
            media = self.spawn(
                "lotuspick.lab.seats.nodes",
                str(nodes),
                str(seed),
                str(folder / "ran.log"),
                json.dumps(self.faults),
                stdout=subprocess.PIPE,
            )
            assert media.stdout is not None
            self.ports = json.loads(media.stdout.readline())
            self.prepare()
            for at in range(brokers):
                self.configure(at)
            for at in range(brokers - self.later):
                self.launch(at)
            for at in range(brokers - self.later):
                self.started(at)
        except BaseException:
            self.end()
            raise

    def prepare(self) -> None:
        """Before any broker is configured."""

    def options(self, at: int) -> list[str]:
        """Further words of a broker's command line."""
        return []

    # ---- processes ----------------------------------------------------------------------------------------

    def spawn(
        self, module: str, *words: str, stdout: Any = subprocess.DEVNULL, stderr: Any = None
    ) -> subprocess.Popen[str]:
        environment = {key: value for key, value in os.environ.items() if not key.startswith("PROXY_")}
        made = subprocess.Popen(
            [sys.executable, "-m", module, *words],
            stdout=stdout,
            stderr=stderr,
            text=True,
            env=environment,
            preexec_fn=_dies_with_its_parent,
        )
        self.processes.append(made)
        return made

    def name(self, at: int) -> str:
        return f"n{at}"

    def configure(self, at: int) -> None:
        servers = [
            {
                "id": f"s-{node}",
                "addr": f"127.0.0.1:{port}",
                "zone": "a",
                "kind": "box",
                "cell": node,
                "state": "in_service",
                "weight": 1,
                "started_ms": 0,
            }
            for node, port in enumerate(self.ports)
        ]
        settings = {**self.settings, "FamilyInfo": {**self.settings["FamilyInfo"], "Cells": len(servers)}}
        (self.folder / f"b{at}.json").write_text(
            json.dumps(
                {
                    "name": self.name(at),
                    "listen": f"127.0.0.1:{self.held[at].number}",
                    "seed": f"{self.seed * 100 + at:x}",
                    "settings": settings,
                    "limits": {"cores": 1.0, "memory_mb": 2_048, "sockets": 4_096},
                    "coordinator": f"127.0.0.1:{self.server.server_address[1]}",
                    "known": {
                        "index": 1,
                        "updates": [
                            {"index": 1, "endpoints": {"version": 1, "full": True, "servers": servers}}
                        ],
                    },
                }
            ),
            encoding="utf-8",
        )

    def log(self, at: int) -> str:
        """All that a broker has logged, over all its starts."""
        return (self.folder / f"b{at}.log").read_text()

    def command(self, at: int) -> list[str]:
        return [self.module, "serve", "--config", str(self.folder / f"b{at}.json"), *self.options(at)]

    def launch(self, at: int) -> None:
        with (self.folder / f"b{at}.log").open("a") as log:
            self.brokers[at] = self.spawn(*self.command(at), stderr=log)

    def started(self, at: int) -> None:
        """Wait until a broker takes viewers."""
        self.until(lambda: self._answers(at), f"broker {at} starts", lambda: self.log(at)[-800:])

    def _answers(self, at: int) -> bool:
        if self.brokers[at].poll() is not None:
            raise RuntimeError(f"broker {at} did not start: " + self.log(at)[-800:])
        try:
            socket.create_connection(("127.0.0.1", self.held[at].number), 0.5).close()
            return True
        except OSError:
            return False

    def start(self, at: int) -> None:
        self.launch(at)
        self.started(at)

    def kill(self, at: int) -> None:
        self.brokers[at].kill()
        self.brokers[at].wait()

    def stall(self, at: int) -> None:
        self.brokers[at].send_signal(signal.SIGSTOP)

    def resume(self, at: int) -> None:
        self.brokers[at].send_signal(signal.SIGCONT)

    def until(self, true: Callable[[], bool], what: str, more: Callable[[], str] = lambda: "") -> float:
        """Wait until something is so; returns how long it took, seconds. Raises ``RuntimeError`` naming what was
        waited for."""
        began = time.monotonic()
        while not true():
            if time.monotonic() - began > PATIENCE_S:
                raise RuntimeError(f"not so after {PATIENCE_S:g} s: {what} {more()}")
            time.sleep(0.05)
        return time.monotonic() - began

    def end(self) -> None:
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.terminate()
        for process in self.processes:
            try:
                process.wait(20)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
            if process.stdout is not None:
                process.stdout.close()
        self.server.shutdown()
        self.server.server_close()
        for port in self.held:
            port.held.close()


class Fleet(Rig):
    """Brokers that know each other, with a relay on every way between two. ``names``: other names than their numbers
    give, for those that share one; ``direct``: without relays."""

    def __init__(
        self,
        folder: Path,
        brokers: int,
        nodes: int,
        seed: int,
        names: dict[int, str] | None = None,
        watch: dict[str, int] | None = None,
        direct: bool = False,
        later: int = 0,
        peers: bool = True,
        settings: dict[str, Any] | None = None,
    ) -> None:
        self.names, self.watch, self.direct, self.peers = names or {}, watch or {}, direct, peers
        self.later, self.fleet = later, brokers - later
        self.links = [Port() for _ in range(brokers)]
        self.controls = [Port() for _ in range(brokers)]
        places = [("127.0.0.1", port.number) for port in self.links]
        self.relays = Relays(places, seed) if peers and not direct else None
        super().__init__(folder, brokers, nodes, seed, settings)

    def name(self, at: int) -> str:
        return self.names.get(at, super().name(at))

    def address(self, at: int) -> str:
        """Of a broker's link."""
        return f"127.0.0.1:{self.links[at].number}"

    def options(self, at: int) -> list[str]:
        return ["--peers", str(self.folder / f"b{at}-peers.toml")] if self.peers else []

    def configure(self, at: int) -> None:
        super().configure(at)
        seeds = ", ".join(f'"{self.address(each)}"' for each in range(min(3, len(self.links))))
        lines = [
            "enabled = true",
            f'listen = "{self.address(at)}"',
            f"seeds = [{seeds}]",
            f"brokers = {self.fleet}",
            f'store = "peers{at}"',
            f'control = "127.0.0.1:{self.controls[at].number}"',
            "[watch]",
            *(f"{key} = {value}" for key, value in self.watch.items()),
        ]
        if self.relays is not None:
            lines += [
                "[via]",
                *(
                    f'"{self.address(other)}" = "127.0.0.1:{port}"'
                    for (one, other), port in self.relays.ports.items()
                    if one == at
                ),
            ]
        (self.folder / f"b{at}-peers.toml").write_text("\n".join(lines) + "\n")

    # ---- viewers ------------------------------------------------------------------------------------------

    def call(self, rate: float, paid: float = 0.4) -> None:
        """Have viewers call every broker from now on, so many a second each, a part of them for paid sessions."""
        job = self.folder / "callers.json"
        job.write_text(
            json.dumps(
                {
                    "ports": [port.number for port in self.held],
                    "rate": rate,
                    "paid": paid,
                    "seed": self.seed,
                    "nodes": len(self.ports),
                    "log": str(self.folder / "called.log"),
                }
            )
        )
        self.callers = self.spawn("lotuspick.lab.fleet.callers", str(job), stdout=subprocess.PIPE)
        assert self.callers.stdout is not None
        self.callers.stdout.readline()

    def called(self) -> list[Call]:
        """Stop the calls; what each came to."""
        self.callers.terminate()
        self.callers.wait(PATIENCE_S)
        lines = (self.folder / "called.log").read_text().splitlines()
        return [Call.read(line) for line in lines]

    def ran(self) -> list[tuple[float, str]]:
        """When nodes ran set-ups, and for which broker's viewers (``b`` and its number)."""
        rows = [line.split() for line in (self.folder / "ran.log").read_text().splitlines()]
        return [(float(row[4]), row[2]) for row in rows if len(row) == 5 and row[0] == "ran"]

    # ---- what brokers believe -----------------------------------------------------------------------------

    def ask(self, at: int, what: str, **more: str) -> dict[str, Any]:
        """What a running broker answers its operators. Raises :class:`ControlPortError`."""
        return send_request(("127.0.0.1", self.controls[at].number), {"ask": what, **more}, 10.0)

    def seen(self, at: int) -> dict[str, str]:
        """The states of all members as a broker believes; empty where it does not answer."""
        try:
            return {each["member"]: each["state"] for each in self.ask(at, "show")["members"]}
        except ControlPortError:
            return {}

    def standing(self, at: int) -> str:
        try:
            return str(self.ask(at, "show")["counts"]["standing"])
        except ControlPortError:
            return ""

    def agree(self, up: Sequence[int], standing: str = "whole") -> float:
        """Wait until all these believe each other alive and nobody else, at a standing; seconds."""
        wanted = {self.name(at) for at in up}

        def so() -> bool:
            return all(
                {name for name, state in self.seen(at).items() if state == "alive"} == wanted
                and self.standing(at) == standing
                for at in up
            )

        return self.until(
            so,
            f"{sorted(wanted)} agree at {standing}",
            lambda: str([(at, self.standing(at), self.seen(at)) for at in up]),
        )

    def stood(self, at: Sequence[int], *standings: str) -> float:
        """Wait until brokers stand so; seconds."""
        return self.until(
            lambda: all(self.standing(each) in standings for each in at),
            f"{at} stand {standings}",
            lambda: str([self.standing(each) for each in at]),
        )

    # ---- faults -------------------------------------------------------------------------------------------

    def ways(self, one: Sequence[int], other: Sequence[int], both: bool = True) -> list[tuple[int, int]]:
        found = [(a, b) for a in one for b in other if a != b]
        return found + [(b, a) for a, b in found] if both else found

    def happens(self, fault: Fault) -> None:
        """One fault of a story."""
        assert self.relays is not None
        everyone = range(len(self.links))
        one, other = fault.one or everyone, fault.other or [at for at in everyone if at not in fault.one]
        match fault.do:
            case "cut":
                self.relays.change(self.ways(one, other, fault.both), cut=True)
            case "heal":
                self.relays.change(list(self.relays.ways), cut=False, loss=0.0, delay_s=0.0, rate=0.0)
            case "loss":
                self.relays.change(self.ways(one, other, fault.both), loss=fault.part)
            case "delay":
                self.relays.change(self.ways(one, other, fault.both), delay_s=fault.part)
            case "reset":
                self.relays.reset(self.ways(one, other, fault.both))
            case "stall":
                for at in fault.one:
                    self.stall(at)
            case "resume":
                for at in fault.one:
                    self.resume(at)
            case "kill":
                for at in fault.one:
                    self.kill(at)
            case "start" | "wiped":
                for at in fault.one:
                    if fault.do == "wiped":
                        self.wipe(at)
                    self.launch(at)
                for at in fault.one:
                    self.started(at)

    def play(self, story: Sequence[Fault]) -> None:
        """Have the faults of a story happen, each at its time."""
        began = time.monotonic()
        for fault in story:
            time.sleep(max(0.0, began + fault.at_s - time.monotonic()))
            self.happens(fault)

    def wipe(self, at: int) -> None:
        """Lose a broker's disk."""
        for path in (self.folder / f"peers{at}").glob("*"):
            path.unlink()

    def end(self) -> None:
        super().end()
        if self.relays is not None:
            self.relays.close()
        for port in self.links + self.controls:
            port.held.close()


def processor_s(pid: int) -> float:
    """Processor time of a process so far, its threads included."""
    words = Path(f"/proc/{pid}/stat").read_text(encoding="ascii").rpartition(")")[2].split()
    return (int(words[11]) + int(words[12])) / os.sysconf("SC_CLK_TCK")
