"""What a driver of parts in the step form has to keep (``lotuspick/steps.py``), asked of each driver alike, and the store
that it writes to."""

from __future__ import annotations

import random
import subprocess
import sys
import tempfile
import unittest
from collections.abc import Callable, Sequence
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
from lotuspick.transport.peers.state_machine_driver import Driver
from lotuspick.transport.storage.durable_store import GroupCommit, StateMachineStore, StoreError

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
store = StateMachineStore(Path(sys.argv[1]), fault=fault)
for at in range(4):
    store.write([("a", b"%d" % at), ("b", b"%d" % at)])
    print(at, flush=True)
print("END", flush=True)
"""


class Scripted:
    """A machine that promises by numbers, and notes all that happens to it and when."""

    def __init__(self) -> None:
        self.seen: list[tuple[int, Event]] = []
        self.asked = 0

    def step(self, now: int, event: Event) -> Sequence[Effect]:
        self.seen.append((now, event))
        match event:
            case ProcessStarted():
                return [StartTimer("t", 5 * SECOND), StartTimer("t", 2 * SECOND)]
            case CommandReceived(command="promise"):
                self.asked += 1
                number = self.asked
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


class Drive:
    """A driver under test: its machine, what was told and sent in order, and what lasts."""

    machine: Scripted
    out: list[Any]

    def ask(self, what: str) -> None: ...
    def pass_s(self, seconds: float) -> None: ...
    def lasting(self) -> dict[str, bytes]: ...


class Daemons(Drive):
    def __init__(self) -> None:
        self.clock, self.machine, self.out = Clock(), Scripted(), []
        self.disk: dict[str, bytes] = {}
        self.waiting: list[tuple[Sequence[tuple[str, bytes]], Callable[[str], None]]] = []
        self.full = False
        self.driver = Driver(
            self.clock,
            self.machine,
            self._keep,
            self.out.append,
            self.out.append,
            lambda: int(self.clock.seconds() * SECOND),
        )
        self.driver.start({}, 1)

    def _keep(self, records: Sequence[tuple[str, bytes]], done: Callable[[str], None]) -> None:
        assert not self.waiting, "one batch is under way at a time"
        self.waiting.append((records, done))
        self.clock.callLater(0.01, self._kept)

    def _kept(self) -> None:
        records, done = self.waiting.pop()
        if not self.full:
            self.disk.update(records)
        done("full" if self.full else "")

    def ask(self, what: str) -> None:
        self.driver.ask(what)

    def pass_s(self, seconds: float) -> None:
        for _ in range(int(seconds * 1_000)):
            self.clock.advance(0.001)

    def lasting(self) -> dict[str, bytes]:
        return self.disk


class Simulated(Drive):
    def __init__(self) -> None:
        self.network, self.machine = SimulatedNetwork(3), Scripted()
        self.network.add("h", lambda: self.machine, [])
        self.network.add("other", Scripted, [])
        self.network.start("other")
        self.network.start("h")

    @property
    def out(self) -> list[Any]:  # type: ignore[override]
        sent = [
            SendMessage("other", event.message)
            for _, event in self.network.hosts["other"].machine.seen
            if isinstance(event, MessageReceived)
        ]
        return [Notify(news) for _, host, news in self.network.notifications if host == "h"] + sent

    def ask(self, what: str) -> None:
        self.network.deliver("h", CommandReceived(what))

    def pass_s(self, seconds: float) -> None:
        self.network.run(int(seconds * SECOND))

    def lasting(self) -> dict[str, bytes]:
        return self.network.hosts["h"].disk


def words(out: Sequence[Any]) -> list[Any]:
    return [
        each.message
        if isinstance(each, SendMessage)
        else each.notification
        if isinstance(each, Notify)
        else each
        for each in out
    ]


class Contract(unittest.TestCase):
    def each(self) -> list[Drive]:
        return [Daemons(), Simulated()]

    def test_a_promise_leaves_once_its_write_lasts_and_what_came_before_leaves_at_once(self) -> None:
        for made in self.each():
            with self.subTest(type(made).__name__):
                made.ask("promise")
                self.assertEqual((words(made.out), made.lasting()), (["before 1"], {}))
                made.ask("promise")  # it waits behind the first, as its own write comes after
                self.assertEqual(words(made.out), ["before 1"])
                made.pass_s(0.5)
                self.assertEqual(made.lasting(), {"k": b"2"})
                self.assertEqual(
                    [each for each in words(made.out) if isinstance(each, str)],
                    ["before 1", "after 1", "before 2", "after 2"],
                )
                self.assertEqual([each for each in words(made.out) if isinstance(each, int)], [1, 2])
                self.assertEqual(
                    [
                        event.write_number
                        for _, event in made.machine.seen
                        if isinstance(event, WriteCommitted)
                    ],
                    [1, 2],
                )

    def test_of_one_name_one_timer_is_set_and_it_is_never_early(self) -> None:
        for made in self.each():
            with self.subTest(type(made).__name__):
                began = made.machine.seen[0][0]
                made.pass_s(10)
                fired = [at for at, event in made.machine.seen if isinstance(event, TimerFired)]
                self.assertEqual(len(fired), 1)
                self.assertGreaterEqual(fired[0] - began, 2 * SECOND)
                self.assertLess(fired[0] - began, 5 * SECOND)

    def test_now_never_goes_back_and_events_come_one_after_another(self) -> None:
        for made in self.each():
            with self.subTest(type(made).__name__):
                for _ in range(20):
                    made.ask("promise")
                    made.pass_s(0.02)
                made.pass_s(1)
                times = [at for at, _ in made.machine.seen]
                self.assertEqual(times, sorted(times))
                self.assertEqual(words(made.out).index("after 20") > words(made.out).index("after 19"), True)

    def test_where_the_disk_takes_nothing_nothing_is_promised_until_it_does(self) -> None:
        made = Daemons()
        made.full = True
        with self.assertLogs("lotuspick.transport.peers.state_machine_driver", "ERROR") as logs:
            made.ask("two")
            made.pass_s(3)
        self.assertEqual((made.out, made.driver.fault, len(logs.output)), ([], "full", 1))
        made.ask("promise")
        made.full = False
        made.pass_s(3)
        self.assertEqual(
            [each for each in words(made.out) if each != "fired"], ["one", "two", "before 1", 1, "after 1"]
        )
        self.assertEqual((made.lasting(), made.driver.fault), ({"a": b"1", "b": b"2", "k": b"1"}, ""))

    def test_a_driver_that_is_closed_does_nothing_more(self) -> None:
        made = Daemons()
        made.ask("promise")
        made.driver.close()
        made.pass_s(10)
        made.ask("promise")
        self.assertEqual(words(made.out), ["before 1"])

    def test_a_killed_process_may_keep_more_than_it_was_told_and_never_less(self) -> None:
        kept = set()
        for seed in range(40):
            network = SimulatedNetwork(seed)
            network.add("h", Scripted, [])
            network.start("h")
            for _ in range(5):
                network.deliver("h", CommandReceived("promise"))
                network.run(random.Random(seed).randrange(6_000))
            told = sum(str(news).startswith("after") for _, _, news in network.notifications)
            network.crash("h")
            last = int(network.hosts["h"].disk.get("k", b"0"))
            self.assertGreaterEqual(last, told)
            kept.add(last - told)
        self.assertGreater(len(kept), 1)


class Stored(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name)

    def test_a_writer_killed_at_every_point_keeps_whole_batches(self) -> None:
        ended, point = False, 0
        while not ended:
            point += 1
            path = self.path / str(point)
            done = subprocess.run(
                [sys.executable, "-c", WRITER, str(path), str(point)],
                cwd=ROOT,
                capture_output=True,
                text=True,
            )
            told = done.stdout.split()
            ended = told[-1:] == ["END"]
            store = StateMachineStore(path)
            found = store.load()
            store.close()
            self.assertEqual(found.get("a"), found.get("b"))
            lasting = [int(each) for each in told if each != "END"]
            self.assertGreaterEqual(int(found.get("a", b"-1")), max(lasting, default=-1))
        self.assertEqual(
            point, 17
        )  # begin, two puts and committed of four writes, and the run that is not killed

    def test_what_is_spoilt_foreign_or_in_use_is_named(self) -> None:
        store = StateMachineStore(self.path / "s")
        store.write([("life", b"7")])
        with self.assertRaisesRegex(StoreError, "another process"):
            StateMachineStore(self.path / "s")
        with store.env.env.begin(write=True, db=store.env._table) as change:
            change.put(b"life", change.get(b"life")[:-1] + b"8")
        with self.assertRaisesRegex(StoreError, "life: the record is spoilt"):
            store.load()
        with store.env.env.begin(write=True, db=store.env._meta) as change:
            change.put(b"format", b"steps 2")
        store.close()
        with self.assertRaisesRegex(StoreError, "format steps 2, not steps 1"):
            StateMachineStore(self.path / "s")

    def test_the_driver_writes_by_group_commit(self) -> None:
        store, heard = StateMachineStore(self.path / "s"), list[str]()
        commits = GroupCommit(store)
        commits.submit_all([("a", b"1"), ("b", b"2"), ("a", b"3")], heard.append)
        commits.close()
        self.assertEqual((store.load(), heard), ({"a": b"3", "b": b"2"}, [""]))
        store.close()


if __name__ == "__main__":
    unittest.main()
