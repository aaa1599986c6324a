"""What a driver of state machines guarantees (``lotuspick/state_machine.py``), asked of each driver alike.

And the store that it writes to.
"""

from __future__ import annotations

import random
import subprocess
import sys
import tempfile
import unittest
from collections.abc import Sequence
from pathlib import Path
from typing import Any

from scenario import ROOT
from twisted.internet.task import Clock

from lotuspick.lab.net.simulated_network import SimulatedNetwork
from lotuspick.state_machine import (
    CommandReceived,
    Effect,
    Event,
    MessageReceived,
    Notify,
    PersistRecord,
    ProcessStarted,
    SendMessage,
    StartTimer,
    TimerFired,
    WriteCommitted,
)
from lotuspick.transport.peers.state_machine_driver import StateMachineDriver
from lotuspick.transport.storage.durable_store import StateMachineStore
from lotuspick.transport.storage.errors import StoreError
from lotuspick.transport.storage.group_commit import CommitCallback, GroupCommit

SECOND = 1_000_000
WRITER = """
import os, signal, sys
from pathlib import Path
from lotuspick.transport.storage.durable_store import StateMachineStore
left = int(sys.argv[2])
def fault(point):
    global left
    left -= 1
    if left == 0:
        os.kill(os.getpid(), signal.SIGKILL)
store = StateMachineStore(Path(sys.argv[1]), fault_point=fault)
for at in range(4):
    store.write([("a", b"%d" % at), ("b", b"%d" % at)])
    print(at, flush=True)
print("END", flush=True)
"""


class ScriptedMachine:
    """A machine that promises by numbers, and notes all that happens to it and when."""

    def __init__(self) -> None:
        self.steps: list[tuple[int, Event]] = []
        self.promises = 0

    def step(self, now: int, event: Event) -> Sequence[Effect]:
        self.steps.append((now, event))
        match event:
            case ProcessStarted():
                return [StartTimer("t", 5 * SECOND), StartTimer("t", 2 * SECOND)]
            case CommandReceived(command="promise"):
                self.promises += 1
                number = self.promises
                return [
                    Notify(f"before {number}"),
                    PersistRecord("k", b"%d" % number),
                    SendMessage("other", number),
                    Notify(f"after {number}"),
                ]
            case CommandReceived(command="two"):
                return [PersistRecord("a", b"1"), Notify("one"), PersistRecord("b", b"2"), Notify("two")]
            case TimerFired():
                return [Notify("fired")]
            case _:
                return []


class DriverUnderTest:
    """A driver under test: its machine, what was told and sent in order, and what lasts."""

    machine: ScriptedMachine
    out: list[Any]

    def command(self, what: str) -> None: ...
    def advance(self, seconds: float) -> None: ...
    def durable(self) -> dict[str, bytes]: ...


class DaemonDriver(DriverUnderTest):
    def __init__(self) -> None:
        self.clock, self.machine, self.out = Clock(), ScriptedMachine(), []
        self.disk: dict[str, bytes] = {}
        self.waiting: list[tuple[Sequence[tuple[str, bytes]], CommitCallback]] = []
        self.full = False
        self.driver = StateMachineDriver(
            self.clock,
            self.machine,
            self._persist,
            self.out.append,
            self.out.append,
            lambda: int(self.clock.seconds() * SECOND),
        )
        self.driver.start({}, 1)

    def _persist(self, records: Sequence[tuple[str, bytes]], done: CommitCallback) -> None:
        assert not self.waiting, "one batch is under way at a time"
        self.waiting.append((records, done))
        self.clock.callLater(0.01, self._on_persisted)

    def _on_persisted(self) -> None:
        records, done = self.waiting.pop()
        if not self.full:
            self.disk.update(records)
        done(StoreError("full") if self.full else None)

    def command(self, what: str) -> None:
        self.driver.submit_command(what)

    def advance(self, seconds: float) -> None:
        for _ in range(int(seconds * 1_000)):
            self.clock.advance(0.001)

    def durable(self) -> dict[str, bytes]:
        return self.disk


class SimulatedDriver(DriverUnderTest):
    def __init__(self) -> None:
        self.network, self.machine = SimulatedNetwork(3), ScriptedMachine()
        self.network.add("h", lambda: self.machine, [])
        self.network.add("other", ScriptedMachine, [])
        self.network.start("other")
        self.network.start("h")

    @property
    def out(self) -> list[Any]:  # type: ignore[override]
        sent = [
            SendMessage("other", event.message)
            for _, event in self.network.hosts["other"].machine.steps
            if isinstance(event, MessageReceived)
        ]
        return [Notify(news) for _, host, news in self.network.notifications if host == "h"] + sent

    def command(self, what: str) -> None:
        self.network.deliver("h", CommandReceived(what))

    def advance(self, seconds: float) -> None:
        self.network.run(int(seconds * SECOND))

    def durable(self) -> dict[str, bytes]:
        return self.network.hosts["h"].disk


def contents(out: Sequence[Any]) -> list[Any]:
    return [
        each.message
        if isinstance(each, SendMessage)
        else each.notification
        if isinstance(each, Notify)
        else each
        for each in out
    ]


class DriverContract(unittest.TestCase):
    def drivers(self) -> list[DriverUnderTest]:
        return [DaemonDriver(), SimulatedDriver()]

    def test_effects_after_a_write_wait_for_its_commit_and_those_before_do_not(self) -> None:
        for driven in self.drivers():
            with self.subTest(type(driven).__name__):
                driven.command("promise")
                self.assertEqual((contents(driven.out), driven.durable()), (["before 1"], {}))
                driven.command("promise")  # it waits behind the first, as its own write comes after
                self.assertEqual(contents(driven.out), ["before 1"])
                driven.advance(0.5)
                self.assertEqual(driven.durable(), {"k": b"2"})
                self.assertEqual(
                    [each for each in contents(driven.out) if isinstance(each, str)],
                    ["before 1", "after 1", "before 2", "after 2"],
                )
                self.assertEqual([each for each in contents(driven.out) if isinstance(each, int)], [1, 2])
                self.assertEqual(
                    [
                        event.write_number
                        for _, event in driven.machine.steps
                        if isinstance(event, WriteCommitted)
                    ],
                    [1, 2],
                )

    def test_timer_started_twice_fires_once_and_never_early(self) -> None:
        for driven in self.drivers():
            with self.subTest(type(driven).__name__):
                began = driven.machine.steps[0][0]
                driven.advance(10)
                fired = [at for at, event in driven.machine.steps if isinstance(event, TimerFired)]
                self.assertEqual(len(fired), 1)
                self.assertGreaterEqual(fired[0] - began, 2 * SECOND)
                self.assertLess(fired[0] - began, 5 * SECOND)

    def test_step_times_never_go_back_and_effects_keep_their_order(self) -> None:
        for driven in self.drivers():
            with self.subTest(type(driven).__name__):
                for _ in range(20):
                    driven.command("promise")
                    driven.advance(0.02)
                driven.advance(1)
                times = [at for at, _ in driven.machine.steps]
                self.assertEqual(times, sorted(times))
                self.assertEqual(
                    contents(driven.out).index("after 20") > contents(driven.out).index("after 19"), True
                )

    def test_failing_disk_holds_back_effects_until_it_recovers(self) -> None:
        driven = DaemonDriver()
        driven.full = True
        with self.assertLogs("lotuspick.transport.peers.state_machine_driver", "ERROR") as logs:
            driven.command("two")
            driven.advance(3)
        self.assertEqual((driven.out, str(driven.driver.write_error), len(logs.output)), ([], "full", 1))
        [line] = logs.records
        self.assertEqual((line.getMessage(), vars(line)["error"]), ("record_write_failed", "full"))
        driven.command("promise")
        driven.full = False
        driven.advance(3)
        self.assertEqual(
            [each for each in contents(driven.out) if each != "fired"],
            ["one", "two", "before 1", 1, "after 1"],
        )
        self.assertEqual(
            (driven.durable(), driven.driver.write_error), ({"a": b"1", "b": b"2", "k": b"1"}, None)
        )

    def test_closed_driver_carries_out_no_effects(self) -> None:
        driven = DaemonDriver()
        driven.command("promise")
        driven.driver.close()
        driven.advance(10)
        driven.command("promise")
        self.assertEqual(contents(driven.out), ["before 1"])

    def test_killed_process_keeps_at_least_what_was_committed(self) -> None:
        kept = set()
        for seed in range(40):
            network = SimulatedNetwork(seed)
            network.add("h", ScriptedMachine, [])
            network.start("h")
            for _ in range(5):
                network.deliver("h", CommandReceived("promise"))
                network.run(random.Random(seed).randrange(6_000))
            reported = sum(str(news).startswith("after") for _, _, news in network.notifications)
            network.crash("h")
            last = int(network.hosts["h"].disk.get("k", b"0"))
            self.assertGreaterEqual(last, reported)
            kept.add(last - reported)
        self.assertGreater(len(kept), 1)


class StateMachineStores(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name)

    def test_state_machine_store_killed_at_any_point_keeps_whole_batches(self) -> None:
        ended, point = False, 0
        while not ended:
            point += 1
            path = self.path / str(point)
            process = subprocess.run(
                [sys.executable, "-c", WRITER, str(path), str(point)],
                cwd=ROOT,
                capture_output=True,
                text=True,
            )
            printed = process.stdout.split()
            ended = printed[-1:] == ["END"]
            store = StateMachineStore(path)
            found = store.load()
            store.close()
            self.assertEqual(found.get("a"), found.get("b"))
            committed = [int(each) for each in printed if each != "END"]
            self.assertGreaterEqual(int(found.get("a", b"-1")), max(committed, default=-1))
        self.assertEqual(
            point, 17
        )  # begin, two puts and committed of four writes, and the run that is not killed

    def test_state_machine_store_corrupt_foreign_or_in_use_raises(self) -> None:
        store = StateMachineStore(self.path / "s")
        store.write([("life", b"7")])
        with self.assertRaisesRegex(StoreError, "another process"):
            StateMachineStore(self.path / "s")
        with store.environment.lmdb_environment.begin(
            write=True, db=store.environment.records_table
        ) as change:
            change.put(b"life", change.get(b"life")[:-1] + b"8")
        with self.assertRaisesRegex(StoreError, "life: the record is spoilt"):
            store.load()
        with store.environment.lmdb_environment.begin(write=True, db=store.environment.meta_table) as change:
            change.put(b"format", b"steps 2")
        store.close()
        with self.assertRaisesRegex(StoreError, "format steps 2, not steps 1"):
            StateMachineStore(self.path / "s")

    def test_group_commit_of_several_records_keeps_the_last_of_a_key(self) -> None:
        store, results = StateMachineStore(self.path / "s"), list[StoreError | None]()
        commits = GroupCommit(store)
        commits.submit_all([("a", b"1"), ("b", b"2"), ("a", b"3")], results.append)
        commits.close()
        self.assertEqual((store.load(), results), ({"a": b"3", "b": b"2"}, [None]))
        store.close()


if __name__ == "__main__":
    unittest.main()
