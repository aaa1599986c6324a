"""What a broker takes before and while it serves: start time and memory that it shares with nobody.

    python benchmarks/start.py                       # this tree
    python benchmarks/start.py --against OTHER_TREE  # paired: both trees in turn

Each run starts two brokers at once by the line ``run`` of the tree's deploy/balancer.toml, so that what one program
shares between its processes counts as shared, in a tree whose line ``build`` has been carried out. ``start_s`` is the
time from the start of the process until it passes a test, ``empty_mib`` its private memory then (Private_Clean +
Private_Dirty of /proc/PID/smaps_rollup), ``served_mib`` after it served viewers at 30 requests a second and
``slope_mib_h`` by how much it grew an hour over the last two thirds of that (least squares; it takes ``--seconds`` of
several minutes to mean something). Where the kernel does not tell private memory, the run fails.

The tree that goes first alternates from run to run. The servers, the coordinator and the viewers are always this
tree's; that the brokers are the other tree's own is checked before anything is measured.
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
from pathlib import Path

import numpy as np

HERE = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(HERE))

from lotuspick.lab.fleet.rig import SETTINGS, Coordinator, Server  # noqa: E402
from lotuspick.lab.load.arrivals import Kind, Load, Phase, drawn  # noqa: E402
from lotuspick.lab.load.sender import Sender, Target  # noqa: E402

BROKERS, NODES, RATE, STARTED_S = 2, 60, 30.0, 30.0
ASK = (
    b"OPTIONS rtsp://media/ping RTSP/1.0\r\nCSeq: 3\r\nSession: 0000000000000001\r\nContent-Length: 0\r\n\r\n"
)
FIGURES = ("start_s", "empty_mib", "served_mib", "slope_mib_h")
SAMPLE_S = 2.0
PRINT_MODULE_FILES = """
import sys
import lotuspick.program.serve
for name, module in sorted(sys.modules.items()):
    if name.partition(".")[0] == "lotuspick":
        print(module.__file__)
"""


class BenchmarkError(Exception):
    """A run that failed, or that would not measure the tree that it is asked to measure."""


def run_line(tree: Path) -> str:
    """The shell line by which a tree starts a broker."""
    deployment = tomllib.loads((tree / "deploy/balancer.toml").read_text(encoding="utf-8"))
    line: str = deployment["run"]
    return line


def check_tree(tree: Path) -> None:
    """Check that the interpreter that a tree's line ``run`` names imports the package from that tree alone.

    Raises:
        BenchmarkError: the line ``build`` has not been carried out, or a module comes from elsewhere.
    """
    found = re.search(r"\bexec (\S+)", run_line(tree))
    interpreter = tree / (found[1] if found else "")
    if not interpreter.is_file():
        raise BenchmarkError(f"{tree} has no {interpreter}: carry out its line `build` first")
    done = subprocess.run(
        [str(interpreter), "-B", "-c", PRINT_MODULE_FILES],
        cwd=tree,
        env={"PATH": os.environ["PATH"]},
        capture_output=True,
        text=True,
    )
    if done.returncode != 0:
        raise BenchmarkError(f"{tree} cannot import its package: {done.stderr.strip()}")
    for file in done.stdout.splitlines():
        if not Path(file).resolve().is_relative_to(tree / "lotuspick"):
            raise BenchmarkError(f"{tree} imports {file}, which is not its own")


def free_port() -> int:
    """A port of the loopback address on which nobody listens now."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        port: int = probe.getsockname()[1]
        return port


def private_mib(pid: int) -> float:
    """Memory of a process that no other shares."""
    lines = Path(f"/proc/{pid}/smaps_rollup").read_text(encoding="ascii").splitlines()
    kb = [int(line.split()[1]) for line in lines if line.startswith(("Private_Clean:", "Private_Dirty:"))]
    if not kb:
        raise RuntimeError("the kernel does not tell private memory")
    return sum(kb) / 1024


def ready(port: int, process: subprocess.Popen[bytes], began_s: float) -> float:
    """Seconds from the start until a test is passed."""
    while time.perf_counter() - began_s < STARTED_S:
        if process.poll() is not None:
            raise RuntimeError("a broker ended")
        try:
            with socket.create_connection(("127.0.0.1", port), 1.0) as link:
                link.sendall(ASK)
                if link.recv(1_000).startswith(b"RTSP/1.0 200"):
                    return time.perf_counter() - began_s
        except OSError:
            pass
        time.sleep(0.002)
    raise RuntimeError("a broker did not become ready")


def one(tree: Path, seconds: float, seed: int) -> dict[str, list[float]]:
    """Start the tree's brokers, load them, and end them."""
    run = run_line(tree)
    coordinator = Server(("127.0.0.1", 0), Coordinator)
    threading.Thread(target=coordinator.serve_forever, daemon=True).start()
    found: dict[str, list[float]] = {name: [] for name in FIGURES}
    started: list[subprocess.Popen[bytes]] = []
    with tempfile.TemporaryDirectory() as folder:
        nodes = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "lotuspick.lab.seats.nodes",
                str(NODES),
                str(seed),
                f"{folder}/ran.log",
                "{}",
            ],
            cwd=HERE,
            stdout=subprocess.PIPE,
        )
        assert nodes.stdout is not None
        servers = [
            {
                "id": f"s-{at}",
                "addr": f"127.0.0.1:{port}",
                "zone": "a",
                "kind": "box",
                "cell": at,
                "state": "in_service",
                "weight": 1,
                "started_ms": 0,
            }
            for at, port in enumerate(json.loads(nodes.stdout.readline()))
        ]
        ports = [free_port() for _ in range(BROKERS)]
        try:
            for at, port in enumerate(ports):
                config = Path(folder, f"{at}.json")
                config.write_text(
                    json.dumps(
                        {
                            "name": f"n{at}",
                            "listen": f"127.0.0.1:{port}",
                            "seed": f"{seed * 10 + at:x}",
                            "coordinator": f"127.0.0.1:{coordinator.server_address[1]}",
                            "limits": {"cores": 1.0, "memory_mb": 80, "sockets": 1_024},
                            "settings": {
                                **SETTINGS,
                                "FamilyInfo": {**SETTINGS["FamilyInfo"], "Cells": NODES},
                            },
                            "known": {
                                "index": 1,
                                "updates": [
                                    {
                                        "index": 1,
                                        "endpoints": {"version": 1, "full": True, "servers": servers},
                                    }
                                ],
                            },
                        }
                    ),
                    encoding="utf-8",
                )
                began_s = time.perf_counter()
                started.append(
                    subprocess.Popen(
                        ["/bin/sh", "-c", run],
                        cwd=tree,
                        stdout=subprocess.DEVNULL,
                        stderr=subprocess.DEVNULL,
                        env={"PATH": os.environ["PATH"], "PROXY_CONFIG": str(config)},
                    )
                )
                found["start_s"].append(ready(port, started[-1], began_s))
            found["empty_mib"] = [private_mib(each.pid) for each in started]
            kinds = [Kind("clip", 0.7, 3.0, 8.0), Kind("exam", 0.3, 3.0, 8.0)]
            load = Load([Phase("p", seconds, RATE)], kinds, ceilings={2: 1.0})
            found["slope_mib_h"] = asyncio.run(play(ports, load, seed, [each.pid for each in started]))
            found["served_mib"] = [private_mib(each.pid) for each in started]
        finally:
            for each in (*started, nodes):
                each.send_signal(signal.SIGTERM)
            for each in (*started, nodes):
                each.wait()
            nodes.stdout.close()
            coordinator.shutdown()
            coordinator.server_close()
    return found


async def play(ports: list[int], load: Load, seed: int, pids: list[int]) -> list[float]:
    """The same load on each broker; returns the slope of each one's memory, MiB an hour."""
    senders = [Sender(list(drawn(load, seed + at)), Target(port, NODES)) for at, port in enumerate(ports)]
    samples: list[list[float]] = []

    async def sample() -> None:
        while True:
            samples.append([time.monotonic(), *map(private_mib, pids)])
            await asyncio.sleep(SAMPLE_S)

    sampler = asyncio.create_task(sample())
    for found in await asyncio.gather(*(each.run() for each in senders)):
        if not found:
            raise RuntimeError("nothing was sent")
    sampler.cancel()
    at_s, *columns = np.array(samples[len(samples) // 3 :]).T
    return [float(np.polyfit(at_s - at_s[0], column, 1)[0]) * 3_600 for column in columns]


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--against", type=Path, help="another tree of this project, built")
    parser.add_argument("--runs", type=int, default=3)
    parser.add_argument("--seconds", type=float, default=20.0, help="of load")
    told = parser.parse_args()
    trees = [HERE, *([told.against.resolve()] if told.against else [])]
    try:
        for tree in trees:
            check_tree(tree)
    except BenchmarkError as error:
        sys.exit(f"benchmarks/start.py: {error}")
    all_found: list[dict[str, list[float]]] = [{name: [] for name in FIGURES} for _ in trees]
    for turn in range(1, told.runs + 1):
        for index in range(len(trees)) if turn % 2 else reversed(range(len(trees))):
            for name, values in one(trees[index], told.seconds, turn).items():
                all_found[index][name] += values
    for name in FIGURES:
        columns = []
        for found in all_found:
            values = found[name]
            columns.append(f"{statistics.median(values):7.2f} ({min(values):.2f} to {max(values):.2f})")
        print(f"{name:11}", "  ".join(columns))


if __name__ == "__main__":
    main()
