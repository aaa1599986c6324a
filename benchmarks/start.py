"""Start time and private memory of a broker.

    python benchmarks/start.py                       # this tree
    python benchmarks/start.py --against OTHER_TREE  # paired: both trees in turn

Each run starts two brokers with the ``run`` command of the tree's deploy/balancer.toml; the ``build`` command
must have been run in the tree. There are two brokers so that pages shared between processes of the program do
not count as private.

- ``start_s``: time from the start of the process until it answers a ping.
- ``empty_mib``: private memory at that time (Private_Clean + Private_Dirty of /proc/PID/smaps_rollup).
- ``served_mib``: private memory after serving viewers at 30 requests per second.
- ``slope_mib_h``: growth of the private memory in MiB per hour, by least squares over the last two thirds of
  the load. It is significant only if ``--seconds`` is several minutes.

The run fails if the kernel does not report private memory.

The tree that runs first alternates from run to run. The edge servers, the coordinator and the viewers are
always those of this tree. Before measuring, the script checks that the brokers use the other tree's sources.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import re
import signal
import socket
import statistics
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from collections.abc import Iterator, Sequence
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass, fields
from pathlib import Path
from typing import Any

import numpy as np

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from benchmarks.trees import PACKAGE, THIS_TREE, BenchmarkError, check_module_file, run_order
from lotuspick.lab.fleet.fake_coordinator import CoordinatorServer
from lotuspick.lab.fleet.site_settings import SITE_SETTINGS
from lotuspick.lab.load.arrivals import ClassShare, LoadProfile, Phase, draw_arrivals
from lotuspick.lab.load.sender import LoadSender, Target

SCRIPT = "benchmarks/start.py"
LOOPBACK = "127.0.0.1"
BROKERS = 2
EDGE_SERVERS = 60
REQUESTS_PER_S = 30.0
SESSION_CLASSES = [ClassShare("clip", 0.7, 3.0, 8.0), ClassShare("exam", 0.3, 3.0, 8.0)]
READY_TIMEOUT_S = 30.0
READY_POLL_S = 0.002
SAMPLE_INTERVAL_S = 2.0
PING = (
    b"OPTIONS rtsp://media/ping RTSP/1.0\r\nCSeq: 3\r\nSession: 0000000000000001\r\nContent-Length: 0\r\n\r\n"
)
PING_ANSWERED = b"RTSP/1.0 200"
PRINT_MODULE_FILES = f"""
import sys
import {PACKAGE}.program.serve
for name, module in sys.modules.items():
    if name.partition(".")[0] == "{PACKAGE}":
        print(module.__file__)
"""


@dataclass(frozen=True)
class BrokerFigures:
    """Figures of one broker in one run."""

    start_s: float
    empty_mib: float
    served_mib: float
    slope_mib_h: float


@dataclass(frozen=True)
class RunningBroker:
    """A broker that is ready."""

    process: subprocess.Popen[bytes]
    port: int
    start_s: float


def run_line(tree: Path) -> str:
    """Return the shell command that starts a broker of a tree."""
    deployment = tomllib.loads((tree / "deploy/balancer.toml").read_text(encoding="utf-8"))
    line: str = deployment["run"]
    return line


def check_tree(tree: Path) -> None:
    """Check that the interpreter in a tree's ``run`` command imports the package only from that tree.

    Raises:
        BenchmarkError: The ``build`` command has not been run, or a module is loaded from elsewhere.
    """
    match = re.search(r"\bexec (\S+)", run_line(tree))
    interpreter = tree / (match[1] if match else "")
    if not interpreter.is_file():
        raise BenchmarkError(f"{tree} has no {interpreter}: run its `build` command first")
    completed = subprocess.run(
        [str(interpreter), "-B", "-c", PRINT_MODULE_FILES],
        cwd=tree,
        env={"PATH": os.environ["PATH"]},
        capture_output=True,
        text=True,
    )
    if completed.returncode != 0:
        raise BenchmarkError(f"{tree} cannot import its package:\n{completed.stderr.strip()}")
    for file in completed.stdout.splitlines():
        check_module_file(file, tree)


def free_port() -> int:
    """Return a loopback port that is currently free."""
    with socket.socket() as probe:
        probe.bind((LOOPBACK, 0))
        port: int = probe.getsockname()[1]
        return port


def private_mib(pid: int) -> float:
    """Return the private memory of a process.

    Raises:
        BenchmarkError: The kernel does not report it.
    """
    lines = Path(f"/proc/{pid}/smaps_rollup").read_text(encoding="ascii").splitlines()
    private_kib = [
        int(line.split()[1]) for line in lines if line.startswith(("Private_Clean:", "Private_Dirty:"))
    ]
    if not private_kib:
        raise BenchmarkError("the kernel does not report private memory")
    return sum(private_kib) / 1024


def answers_ping(port: int) -> bool:
    """Return whether a broker answers a ping at a port."""
    try:
        with socket.create_connection((LOOPBACK, port), 1.0) as connection:
            connection.sendall(PING)
            return connection.recv(1_000).startswith(PING_ANSWERED)
    except OSError:
        return False


def wait_until_ready(port: int, process: subprocess.Popen[bytes], started_at_s: float) -> float:
    """Wait until a broker answers a ping; return the seconds since its start.

    Raises:
        BenchmarkError: The broker exited, or did not answer in time.
    """
    while time.perf_counter() - started_at_s < READY_TIMEOUT_S:
        if process.poll() is not None:
            raise BenchmarkError("a broker exited before it was ready")
        if answers_ping(port):
            return time.perf_counter() - started_at_s
        time.sleep(READY_POLL_S)
    raise BenchmarkError("a broker was not ready in time")


@contextmanager
def running_coordinator() -> Iterator[int]:
    """Run a coordinator that sends no updates; yield its port."""
    server = CoordinatorServer()
    threading.Thread(target=server.serve_forever, daemon=True).start()
    try:
        yield server.server_address[1]
    finally:
        server.shutdown()
        server.server_close()


@contextmanager
def terminated_on_exit(process: subprocess.Popen[bytes]) -> Iterator[subprocess.Popen[bytes]]:
    """Terminate a process at the end of the block."""
    try:
        yield process
    finally:
        process.send_signal(signal.SIGTERM)
        process.wait()


@contextmanager
def running_edge_servers(folder: Path, seed: int) -> Iterator[list[int]]:
    """Run fake edge servers; yield their ports."""
    command = [sys.executable, "-m", "lotuspick.lab.seats.fake_nodes"]
    arguments = [str(EDGE_SERVERS), str(seed), str(folder / "ran.log"), "{}"]
    process = subprocess.Popen([*command, *arguments], cwd=THIS_TREE, stdout=subprocess.PIPE)
    with terminated_on_exit(process):
        assert process.stdout is not None
        with process.stdout:
            yield json.loads(process.stdout.readline())


def endpoint(position: int, port: int) -> dict[str, Any]:
    """Return an entry of the endpoint list in the coordinator's format."""
    return {
        "id": f"s-{position}",
        "addr": f"{LOOPBACK}:{port}",
        "zone": "a",
        "kind": "box",
        "cell": position,
        "state": "in_service",
        "weight": 1,
        "started_ms": 0,
    }


def broker_configuration(
    index: int, port: int, seed: int, coordinator_port: int, edge_ports: Sequence[int]
) -> dict[str, Any]:
    """Return a broker's configuration in the platform's format."""
    servers = [endpoint(position, edge_port) for position, edge_port in enumerate(edge_ports)]
    complete_list = {"version": 1, "full": True, "servers": servers}
    return {
        "name": f"n{index}",
        "listen": f"{LOOPBACK}:{port}",
        "seed": f"{seed * 10 + index:x}",
        "coordinator": f"{LOOPBACK}:{coordinator_port}",
        "limits": {"cores": 1.0, "memory_mb": 80, "sockets": 1_024},
        "settings": {**SITE_SETTINGS, "FamilyInfo": {**SITE_SETTINGS["FamilyInfo"], "Cells": EDGE_SERVERS}},
        "known": {"index": 1, "updates": [{"index": 1, "endpoints": complete_list}]},
    }


@contextmanager
def running_broker(
    tree: Path, path: Path, configuration: dict[str, Any], port: int
) -> Iterator[RunningBroker]:
    """Run a broker of a tree; yield it once it is ready.

    Args:
        tree: Tree whose ``run`` command starts it.
        path: File to which its configuration is written.
        configuration: Its configuration.
        port: Port on which it listens.
    """
    path.write_text(json.dumps(configuration), encoding="utf-8")
    started_at_s = time.perf_counter()
    process = subprocess.Popen(
        ["/bin/sh", "-c", run_line(tree)],
        cwd=tree,
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
        env={"PATH": os.environ["PATH"], "PROXY_CONFIG": str(path)},
    )
    with terminated_on_exit(process):
        yield RunningBroker(process, port, wait_until_ready(port, process, started_at_s))


async def sample_memory(pids: Sequence[int], samples: list[list[float]]) -> None:
    """Append the time and the private memory of each process at intervals, until cancelled."""
    while True:
        samples.append([time.monotonic(), *map(private_mib, pids)])
        await asyncio.sleep(SAMPLE_INTERVAL_S)


def slopes_per_hour(samples: Sequence[Sequence[float]]) -> list[float]:
    """Return the growth per hour of each column over the last two thirds; the first column is seconds."""
    at_s, *columns = np.array(samples[len(samples) // 3 :]).T
    return [float(np.polyfit(at_s - at_s[0], column, 1)[0]) * 3_600 for column in columns]


async def serve_viewers(brokers: Sequence[RunningBroker], seconds: float, seed: int) -> list[float]:
    """Send a load of the same rate to each broker.

    Returns:
        Growth of each broker's private memory in MiB per hour.

    Raises:
        BenchmarkError: Nothing was sent.
    """
    load = LoadProfile([Phase("p", seconds, REQUESTS_PER_S)], SESSION_CLASSES, rung_shares={2: 1.0})
    senders = [
        LoadSender(list(draw_arrivals(load, seed + index)), Target(broker.port, EDGE_SERVERS))
        for index, broker in enumerate(brokers)
    ]
    samples: list[list[float]] = []
    sampler = asyncio.create_task(sample_memory([broker.process.pid for broker in brokers], samples))
    for measurement in await asyncio.gather(*(sender.run() for sender in senders)):
        if not measurement.seconds:
            raise BenchmarkError("nothing was sent")
    sampler.cancel()
    return slopes_per_hour(samples)


def measure(tree: Path, seconds: float, seed: int) -> list[BrokerFigures]:
    """Start the brokers of a tree, serve viewers, and stop the brokers; return the figures of each."""
    with ExitStack() as stack:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        coordinator_port = stack.enter_context(running_coordinator())
        edge_ports = stack.enter_context(running_edge_servers(folder, seed))
        brokers = []
        for index, port in enumerate([free_port() for _ in range(BROKERS)]):
            configuration = broker_configuration(index, port, seed, coordinator_port, edge_ports)
            path = folder / f"{index}.json"
            brokers.append(stack.enter_context(running_broker(tree, path, configuration, port)))
        empty_mib = [private_mib(broker.process.pid) for broker in brokers]
        slopes_mib_h = asyncio.run(serve_viewers(brokers, seconds, seed))
        return [
            BrokerFigures(broker.start_s, empty, private_mib(broker.process.pid), slope)
            for broker, empty, slope in zip(brokers, empty_mib, slopes_mib_h)
        ]


def measure_in_turn(trees: Sequence[Path], runs: int, seconds: float) -> list[list[BrokerFigures]]:
    """Return the figures of all brokers by tree."""
    figures_by_tree: list[list[BrokerFigures]] = [[] for _ in trees]
    for run in range(runs):
        for index in run_order(trees, run):
            figures_by_tree[index] += measure(trees[index], seconds, seed=run + 1)
    return figures_by_tree


def print_table(figures_by_tree: Sequence[Sequence[BrokerFigures]]) -> None:
    """Print a line for each figure: median, minimum and maximum of each tree."""
    for field in fields(BrokerFigures):
        columns = []
        for figures in figures_by_tree:
            values = [getattr(each, field.name) for each in figures]
            columns.append(f"{statistics.median(values):7.2f} ({min(values):.2f} to {max(values):.2f})")
        print(f"{field.name:11}", "  ".join(columns))


def main() -> None:
    """Measure and print the table."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument(
        "--against", type=Path, help="another tree of this project in which `build` has been run"
    )
    parser.add_argument("--runs", type=int, default=3)
    parser.add_argument("--seconds", type=float, default=20.0, help="duration of the load")
    options = parser.parse_args()
    trees = [THIS_TREE, *([options.against.resolve()] if options.against else [])]
    try:
        for tree in trees:
            check_tree(tree)
        print_table(measure_in_turn(trees, options.runs, options.seconds))
    except BenchmarkError as error:
        sys.exit(f"{SCRIPT}: {error}")


if __name__ == "__main__":
    main()
