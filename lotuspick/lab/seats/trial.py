"""One run of seats under faults: starts nodes, brokers and viewers, kills brokers and sets their clocks while it goes
on, settles what the brokers wrote, and has it audited."""

from __future__ import annotations

import json
import os
import random
import signal
import subprocess
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path
from typing import Any

from lotuspick.lab.fleet.broker_rig import BrokerRig
from lotuspick.lab.fleet.reserved_port import ReservedPort
from lotuspick.lab.processes import processor_time_s
from lotuspick.lab.seats.audit import audit
from lotuspick.lab.seats.nodes import FAULTS
from lotuspick.transport.storage.key_folder import KeyFolder


class Fleet(BrokerRig):
    """Brokers with seats, an HTTP front, and clocks that can be set."""

    broker_module = "lotuspick.lab.seats.broker"

    def __init__(self, folder: Path, told: dict[str, Any], seed: int) -> None:
        self.told = told
        self.http = [ReservedPort() for _ in range(told["brokers"])]
        faults = FAULTS if told.get("faults", True) else {}
        super().__init__(folder, told["brokers"], told["nodes"], seed, node_faults=faults)
        self.listens = [(port.number, http.number) for port, http in zip(self.rtsp_ports, self.http)]

    def prepare(self) -> None:
        KeyFolder(self.folder / "keys").make(int(time.time()) - 10, 600)

    def configure_broker(self, at: int) -> None:
        super().configure_broker(at)
        (self.folder / f"b{at}-hints.toml").write_text(
            f'enabled = true\nlisten = "127.0.0.1:{self.http[at].number}"\n'
        )
        (self.folder / f"b{at}-seats.toml").write_text(
            f'enabled = {str(bool(self.told.get("seats", True))).lower()}\naudience = "site"\nkeys = "keys"\n'
            f'store = "store{at}"\nstore_mib = 2048\n'
        )

    def broker_command(self, at: int) -> list[str]:
        module, *rest = super().broker_command(at)
        return [module, str(self.folder / f"b{at}-clock"), *rest]

    def broker_options(self, at: int) -> list[str]:
        return [
            "--hints",
            str(self.folder / f"b{at}-hints.toml"),
            "--seats",
            str(self.folder / f"b{at}-seats.toml"),
        ]

    def step_clock(self, at: int, off_s: float) -> None:
        (self.folder / f"b{at}-clock").write_text(str(off_s))
        self.brokers[at].send_signal(signal.SIGUSR1)

    def close(self) -> None:
        super().close()
        for port in self.http:
            port.close()


def seats(
    told: dict[str, Any], arm: dict[str, Any], seed: int
) -> tuple[dict[str, float], dict[str, list[float]]]:
    """Play one run. ``told``: sessions, rate (a second, all viewers together), brokers, nodes, clients, kill_s (between
    kills; 0: none) and clocks (whether they are set). The figures are counts of seats, but for times in ms. Where
    ``LOTUSPICK_KEEP`` names a folder, brokers' logs and all that viewers met are left there."""
    told = {**told, **arm}
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        fleet = Fleet(folder, told, seed)
        try:
            return play(fleet, folder, told, seed)
        finally:
            fleet.close()


def play(
    fleet: Fleet, folder: Path, told: dict[str, Any], seed: int
) -> tuple[dict[str, float], dict[str, list[float]]]:
    """The run itself, and what was found."""
    draw, clients, viewers = random.Random(f"faults {seed}"), told["clients"], []
    before_s = sum(processor_time_s(each.pid) for each in fleet.brokers.values())
    began = time.monotonic()
    for part in range(clients):
        job = folder / f"job{part}.json"
        job.write_text(
            json.dumps(
                {
                    "part": part,
                    "seed": seed,
                    "sessions": told["sessions"] // clients,
                    "rate": told["rate"] / clients,
                    "brokers": fleet.listens,
                    "nodes": told["nodes"],
                    "keys": str(folder / "keys"),
                    "http": told.get("http", 0.05),
                    "connections": 8,
                    "log": str(folder / f"viewers{part}.log"),
                }
            )
        )
        viewers.append(fleet.start_process("lotuspick.lab.seats.viewers", str(job)))
    steps = [-30.0, 3_600.0, 0.0] if told.get("clocks", True) else []
    kills, next_s, stepped = 0, float(told.get("kill_s", 0)) or float("inf"), 0
    length_s = told["sessions"] / told["rate"]
    while any(each.poll() is None for each in viewers):
        time.sleep(0.2)
        at_s = time.monotonic() - began
        if at_s > next_s and at_s < length_s:
            at = draw.randrange(told["brokers"])
            fleet.kill(at)
            time.sleep(draw.uniform(0.2, 1.0))
            fleet.start(at)
            kills, next_s = kills + 1, time.monotonic() - began + told["kill_s"] * draw.uniform(0.7, 1.3)
        if stepped < len(steps) and at_s > length_s * (stepped + 1) / (len(steps) + 1):
            for at in range(told["brokers"]):
                fleet.step_clock(at, steps[stepped])
            stepped += 1
    took_s = time.monotonic() - began
    if any(each.returncode for each in viewers):
        raise RuntimeError("viewers failed")
    cpu_s = (
        sum(processor_time_s(each.pid) for each in fleet.brokers.values()) - before_s
    )  # of no use where some were killed
    fleet.close()  # brokers write what waits, nodes what they ran
    row, samples = judge(folder, told, kills, stepped, took_s)
    return {**row, "cpu_s": cpu_s}, samples


def judge(
    folder: Path, told: dict[str, Any], kills: int, stepped: int, took_s: float
) -> tuple[dict[str, float], dict[str, list[float]]]:
    """Settle the ledgers by the command, twice and in another order, and audit what came out."""
    met: Counter[str] = Counter()
    never, answered, took = Counter[str](), 0, list[float]()
    for part in range(told["clients"]):
        for line in (folder / f"viewers{part}.log").read_text().splitlines():
            _, plays, took_ms, words = line.split(" ", 3)
            pairs = [pair.rpartition(":") for pair in words.split(",")] if words != "-" else []
            for reason, _, times in pairs:
                met[reason] += int(times)
            answered += 1
            if plays == "0":
                never[max(pairs, key=lambda each: int(each[2]))[0] if pairs else "nothing"] += 1
            elif float(took_ms) >= 0:
                took.append(float(took_ms))
    row: dict[str, float] = {
        "viewers": answered,
        "served": answered - sum(never.values()),
        "never_served": sum(never.values()),
        "kills": kills,
        "clock_steps": stepped,
        "seconds": took_s,
    }
    # A replay is not a good session: its refusals are meant.
    refused = sum(times for reason, times in met.items() if reason.startswith("token-"))
    replays = sum(times for reason, times in met.items() if reason.startswith("replay-"))
    row |= {
        "refused_good": refused,
        "waits": met["seat-in-doubt"],
        "in_use": met["seat-in-use"],
        "failed": met["Internal-Server-Error"],
        "cut": met["cut"],
        "lost": met["lost"],
        "renewed": met["renewed"],
        "replays": replays,
        "replays_served": met["replay-200"],
    }
    if told.get("seats", True):
        stores = [f"n{at}={folder / f'store{at}'}" for at in range(told["brokers"])]
        settled = [
            settle(folder / f"settled{turn}.jsonl", order)
            for turn, order in enumerate((stores, stores[::-1]))
        ]
        again = settle(folder / "settled0.jsonl", stores)
        if (
            len({(folder / f"settled{turn}.jsonl").read_bytes() for turn in range(2)}) != 1
            or again != settled[0]
        ):
            raise RuntimeError("ledgers settle differently in another order, or a second time")
        said = settled[0]
        with (folder / "ran.log").open() as runs:
            found = audit(runs, said["counted"], said["doubt"])
        row |= {
            "ran": found.ran,
            "set_ups": found.set_ups,
            "double_counts": len(found.twice),
            "phantom_counts": len(found.phantom),
            "missed_counts": len(found.missed),
            "in_doubt": found.doubted,
            "at_once": found.at_once,
            "conflicts": len(said["conflict"]),
        }
    keep = os.environ.get("LOTUSPICK_KEEP")
    if keep:
        Path(keep).mkdir(parents=True, exist_ok=True)
        (Path(keep) / "met.json").write_text(
            json.dumps({"met": met, "never": never, "row": row}, indent=1) + "\n"
        )
        for log in folder.glob("b*.log"):
            (Path(keep) / log.name).write_text(log.read_text())
    return row, {"took_ms": took[:: max(1, len(took) // 5_000)]}


def settle(into: Path, stores: list[str]) -> dict[str, list[str]]:
    """What ``lotuspick seats settle`` says: seats that are counted, in doubt, in conflict."""
    listed = into.with_suffix(".seats")
    done = subprocess.run(
        [
            sys.executable,
            "-m",
            "lotuspick",
            "seats",
            "settle",
            *stores,
            "--into",
            str(into),
            "--counted",
            str(listed),
        ],
        capture_output=True,
        text=True,
    )
    if done.returncode:
        raise RuntimeError(done.stderr)
    found: dict[str, list[str]] = {"counted": listed.read_text().split(), "doubt": [], "conflict": []}
    for line in done.stdout.splitlines():
        word = line.split(" ", 1)[0]
        if word in found:
            found[word].append(line.partition("seat=")[2].split(" ")[0])
    return found
