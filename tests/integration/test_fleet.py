"""Membership of real broker processes under network and process faults.

The tests wait for states, never for fixed times, and check the brokers' logs and the answers to viewers.
"""

from __future__ import annotations

import re
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path
from typing import Any

from scenario import ROOT

from lotuspick.lab.fleet.fleet_rig import FleetRig
from lotuspick.lab.fleet.set_up_result import SetUpResult
from lotuspick.lab.net.fault_scenario import Fault, FaultKind

# Longer than the defaults, because several fleets share the machine during tests.
FAILURE_DETECTION = {"silent_ms": 1_200, "doubt_ms": 1_500}

MIN_SET_UPS = 20  # 40% are paid: the probability that none of 20 is paid is 4 in 100,000


class FleetTestCase(unittest.TestCase):
    def fleet(self, brokers: int = 5, rate: float = 4.0, **changes: Any) -> FleetRig:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        rig = FleetRig(Path(folder.name), brokers, 3, 1, failure_detection=FAILURE_DETECTION, **changes)
        self.addCleanup(rig.close)
        rig.wait_for_agreement(range(brokers - rig.late_brokers))
        rig.start_load(rate)
        return rig

    def death_lines(self, rig: FleetRig, member: int | None = None) -> list[str]:
        """Log lines in which brokers declare a member dead."""
        member_pattern = rig.broker_name(member) if member is not None else "\\S+"
        return [
            line
            for broker in rig.brokers
            for line in rig.broker_log(broker).splitlines()
            if re.search(rf"msg=member_changed member={member_pattern} state=dead", line)
        ]

    def wait_for_set_ups(self, rig: FleetRig, broker: int, count: int) -> None:
        """Wait until ``count`` further set-ups that viewers requested from a broker have been executed."""

        def executed_count() -> int:
            return sum(set_up.seat == f"b{broker}" for set_up in rig.node_set_ups())

        target_count = executed_count() + count
        rig.wait_until(lambda: executed_count() >= target_count, f"{count} set-ups of broker {broker} run")

    def stop_and_check(self, rig: FleetRig, disturbed: set[int]) -> list[SetUpResult]:
        """Check that each set-up had one outcome, and that undisturbed brokers served all plain set-ups."""
        results = rig.stop_load()
        self.assertGreater(len(results), 50)
        for result in results:
            self.assertEqual(
                result.answer_count, 0 if result.connection_lost and not result.status else 1, result
            )
            if result.broker not in disturbed:
                self.assertFalse(result.connection_lost, result)
                self.assertTrue(
                    result.status == 200 or (result.is_paid and result.reason.startswith("fleet-")), result
                )
        for broker in rig.brokers:
            self.assertNotIn("Traceback", rig.broker_log(broker))
        return results


class LinkFaults(FleetTestCase):
    def test_fleet_agrees_after_healed_and_flapping_cuts_and_the_minority_rejects_paid_sessions(self) -> None:
        rig = self.fleet()
        for minority, majority in (([0, 1], [2, 3, 4]), ([3], [0, 1, 2, 4])):
            rig.inject(Fault(0, FaultKind.CUT, tuple(minority)))
            rig.wait_for_quorum_state(minority, "minority", "alone")
            # They declare the isolated brokers dead and keep a majority.
            rig.wait_for_agreement(majority, "majority")
            rig.inject(Fault(0, FaultKind.HEAL))
            rig.wait_for_agreement(range(5))
        for _ in range(6):
            rig.run_scenario(
                [Fault(0.0, FaultKind.CUT, (0,)), Fault(0.5, FaultKind.HEAL), Fault(1.0, FaultKind.HEAL)]
            )
        rig.wait_for_agreement(range(5))
        results = self.stop_and_check(rig, set())
        rejecting = {
            result.broker for result in results if result.reason in ("fleet-minority", "fleet-alone")
        }
        self.assertTrue(rejecting & {0, 1, 3}, "isolated brokers reject paid sessions")

    def test_cut_of_one_link_is_tolerated_and_only_an_unreachable_broker_is_declared_dead(self) -> None:
        rig = self.fleet()
        watcher = next(
            broker
            for broker in range(1, 5)
            if rig.broker_name(broker) in rig.query(0, "explain", name="n0")["watchers"]
        )
        assert rig.proxies is not None
        link = rig.proxies.links[watcher, 0]
        rig.inject(Fault(0, FaultKind.CUT, (watcher,), (0,)))
        before = link.dropped
        rig.wait_until(lambda: link.dropped > before + 40, "more than 40 pings are lost")
        self.assertEqual(self.death_lines(rig), [])
        rig.inject(Fault(0, FaultKind.HEAL))
        rig.wait_for_agreement(range(5))
        # Broker 2 receives from all others, and none receives from it.
        rig.inject(Fault(0, FaultKind.CUT, (2,), both_ways=False))
        rig.wait_for_quorum_state([2], "minority", "alone")
        rig.wait_for_agreement([0, 1, 3, 4], "majority")
        rig.inject(Fault(0, FaultKind.HEAL))
        rig.wait_for_agreement(range(5))
        self.stop_and_check(rig, set())

    def test_fleet_agrees_after_40_percent_loss(self) -> None:
        rig = self.fleet()
        assert rig.proxies is not None
        links = rig.proxies.links.values()
        rig.inject(Fault(0, FaultKind.LOSS, amount=0.4))
        rig.wait_until(lambda: sum(link.dropped for link in links) > 700, "700 datagrams are lost")
        rig.inject(Fault(0, FaultKind.HEAL))
        rig.wait_for_agreement(range(5))
        self.stop_and_check(rig, set())


class ProcessFaults(FleetTestCase):
    def test_resumed_broker_admits_no_paid_sessions_on_outdated_records(self) -> None:
        # 6.4 paid requests a second: the probability that a stall of 2 s delays none by 0.9 s is 1 in 1,000.
        rig = self.fleet(rate=16.0)
        rig.stall(1)
        rig.wait_for_agreement([0, 2, 3, 4], "majority")
        rig.resume(1)
        rig.wait_for_agreement(range(5))
        self.assertIn("msg=process_stalled", rig.broker_log(1))
        self.assertEqual(
            [line for line in rig.broker_log(1).splitlines() if "state=dead" in line],
            [],
            "it declares no member dead",
        )
        results = [
            result for result in self.stop_and_check(rig, {1}) if result.broker == 1 and result.is_paid
        ]
        delayed = [result for result in results if result.latency_ms > 900]  # requests sent during the stall
        self.assertTrue(delayed)
        self.assertFalse(
            [result for result in delayed if result.status == 200],
            "no paid session is admitted on outdated records",
        )

    def test_broker_that_is_slow_or_receives_nothing_declares_no_member_dead(self) -> None:
        rig = self.fleet()
        rig.inject(Fault(0, FaultKind.CUT, (0, 1, 2, 3), (4,), both_ways=False))  # all receive from it
        rig.wait_for_quorum_state([4], "minority", "alone")
        rig.wait_until(
            lambda: rig.query(4, "show")["counts"]["accusations"] >= 3, "broker 4 suspects the others"
        )
        rig.inject(Fault(0, FaultKind.HEAL))
        rig.wait_until(
            lambda: rig.query(4, "show")["counts"]["false_accusations"] > 0,
            "the others refute the suspicions",
        )
        for _ in range(8):  # a slow process: it runs intermittently
            rig.run_scenario(
                [
                    Fault(0.0, FaultKind.STALL, (4,)),
                    Fault(0.6, FaultKind.RESUME, (4,)),
                    Fault(0.8, FaultKind.HEAL),
                ]
            )
        rig.wait_for_agreement(range(5))
        self.assertEqual(
            [
                line
                for broker in range(4)
                for line in rig.broker_log(broker).splitlines()
                if re.search(r"member=n[0-3] state=dead", line)
            ],
            [],
        )
        self.stop_and_check(rig, {4})

    def test_fleet_agrees_after_killed_brokers_and_lost_disks(self) -> None:
        rig = self.fleet()
        rig.kill(3)
        rig.start(3)
        rig.wait_for_agreement(range(5))
        self.assertEqual(
            {
                each["life"]
                for broker in range(5)
                for each in rig.query(broker, "show")["members"]
                if each["member"] == "n3"
            },
            {2},
        )
        for broker in range(5):
            rig.kill(broker)
        for broker in range(5):
            if broker % 2:
                rig.wipe_disk(broker)
            rig.launch(broker)
        rig.wait_for_agreement(range(5))
        for broker in (0, 1, 2):  # all seeds
            rig.kill(broker)
        rig.wait_for_agreement([3, 4], "minority")
        rig.kill(4)
        rig.launch(4)
        rig.wait_for_agreement([3, 4], "minority")
        for broker in (0, 1, 2):
            rig.launch(broker)
        rig.wait_for_agreement(range(5))
        self.stop_and_check(rig, set(range(5)))

    def test_only_the_new_broker_serves_paid_sessions_after_taking_a_name(self) -> None:
        rig = self.fleet(6, name_overrides={5: "n2"}, late_brokers=1)
        self.wait_for_set_ups(rig, 2, MIN_SET_UPS)
        rig.launch(5)
        rig.wait_for_quorum_state([2], "displaced")
        rig.wait_for_quorum_state([5], "whole")
        self.assertIn("msg=broker_displaced", rig.broker_log(2))
        before = len(rig.node_set_ups())
        rig.wait_until(lambda: len(rig.node_set_ups()) > before + 60, "set-ups run")
        self.wait_for_set_ups(rig, 5, MIN_SET_UPS)
        self.wait_for_set_ups(rig, 2, MIN_SET_UPS)
        results = self.stop_and_check(rig, {5})
        last_paid_s = {
            broker: max(
                result.requested_s
                for result in results
                if result.broker == broker and result.is_paid and result.status == 200
            )
            for broker in (2, 5)
        }
        first_paid_s = min(
            result.requested_s
            for result in results
            if result.broker == 5 and result.is_paid and result.status == 200
        )
        self.assertLess(last_paid_s[2], first_paid_s, "never both at the same time")
        self.assertTrue(
            [
                result
                for result in results
                if result.broker == 2
                and not result.is_paid
                and result.requested_s > first_paid_s
                and result.status == 200
            ]
        )


class OperatorCommands(FleetTestCase):
    def members(self, rig: FleetRig, *arguments: str) -> tuple[int, str]:
        process = subprocess.run(
            [
                sys.executable,
                "-m",
                "lotuspick",
                "members",
                *arguments,
                "--peers",
                str(rig.folder / "b0-peers.toml"),
            ],
            cwd=ROOT,
            capture_output=True,
            text=True,
            env={"PATH": "/usr/bin:/bin"},
        )
        return process.returncode, process.stdout + process.stderr

    def test_members_command_shows_explains_and_drains(self) -> None:
        rig = self.fleet(3)
        code, text = self.members(rig, "show")
        self.assertEqual((code, len(re.findall(r"n\d +alive", text))), (0, 3), text)
        self.assertIn("standing=whole", text)
        code, text = self.members(rig, "explain", "n1")
        self.assertEqual(code, 0)
        self.assertRegex(text, "state: alive(.|\n)*watchers: n")
        self.assertEqual(self.members(rig, "explain", "nobody")[0], 2)
        self.assertIn("no member is named 'nobody'", self.members(rig, "explain", "nobody")[1])
        code, text = self.members(rig, "drain", "n2")
        self.assertEqual((code, text), (0, "n2: left, by n0\n"))
        rig.wait_for_agreement([0, 1], "majority")
        rig.wait_for_quorum_state([2], "displaced")
        self.assertIn("has left already", self.members(rig, "drain", "n2")[1])
        rig.kill(1)  # permanently: it counts as missing until it is drained
        rig.wait_for_quorum_state([0], "alone")
        self.members(rig, "drain", "n1")
        rig.kill(2)
        rig.start(2)
        rig.wait_for_agreement([0, 2], "majority")
        rig.kill(0)
        self.assertIn("no answer from", self.members(rig, "show")[1])
        self.stop_and_check(rig, {0, 1, 2})


if __name__ == "__main__":
    unittest.main()
