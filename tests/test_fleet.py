"""Brokers that know each other, as real processes with faults between them: each hard case of membership is caused here.

What is waited for is a state; what is asserted is what brokers said of each other and what viewers were answered.
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

from lotuspick.lab.fleet.rig import Call, Fleet
from lotuspick.lab.net.story import Fault

WATCH = {"silent_ms": 1_200, "doubt_ms": 1_500}  # patient: many fleets share the machine here


class Case(unittest.TestCase):
    def fleet(self, brokers: int = 5, rate: float = 4.0, **changes: Any) -> Fleet:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        made = Fleet(Path(folder.name), brokers, 3, 1, watch=WATCH, **changes)
        self.addCleanup(made.end)
        made.agree(range(brokers - made.later))
        made.call(rate)
        return made

    def deaths(self, made: Fleet, of: int | None = None) -> list[str]:
        """Lines in which brokers say that one is dead."""
        named = made.name(of) if of is not None else "\\S+"
        return [
            line
            for at in made.brokers
            for line in made.log(at).splitlines()
            if re.search(rf"msg=member_changed member={named} state=dead", line)
        ]

    def judge(self, made: Fleet, hurt: set[int]) -> list[Call]:
        """Each set-up had one outcome, and plain ones lost nothing at brokers whose process was not hurt."""
        calls = made.called()
        self.assertGreater(len(calls), 50)
        for call in calls:
            self.assertEqual(call.answers, 0 if call.cut and not call.status else 1, call)
            if call.broker not in hurt:
                self.assertFalse(call.cut, call)
                self.assertTrue(call.status == 200 or call.paid and call.reason.startswith("fleet-"), call)
        for at in made.brokers:
            self.assertNotIn("Traceback", made.log(at))
        return calls


class Links(Case):
    def test_cuts_that_heal_and_overlap_and_flap(self) -> None:
        made = self.fleet()
        for few, many in (([0, 1], [2, 3, 4]), ([3], [0, 1, 2, 4])):
            made.happens(Fault(0, "cut", tuple(few)))
            made.stood(few, "minority", "alone")
            made.agree(many, "majority")  # they bury those who are cut off, and stand
            made.happens(Fault(0, "heal"))
            made.agree(range(5))
        for _ in range(6):
            made.play([Fault(0.0, "cut", (0,)), Fault(0.5, "heal"), Fault(1.0, "heal")])
        made.agree(range(5))
        calls = self.judge(made, set())
        refused = {call.broker for call in calls if call.reason in ("fleet-minority", "fleet-alone")}
        self.assertTrue(refused & {0, 1, 3}, "those who were cut off promised nothing")

    def test_a_link_that_a_third_goes_round_and_one_whose_words_are_lost(self) -> None:
        made = self.fleet()
        watcher = next(
            at for at in range(1, 5) if made.name(at) in made.ask(0, "explain", name="n0")["watchers"]
        )
        assert made.relays is not None
        way = made.relays.ways[watcher, 0]
        made.happens(Fault(0, "cut", (watcher,), (0,)))
        before = way.dropped
        made.until(lambda: way.dropped > before + 40, "pings are lost")
        self.assertEqual(self.deaths(made), [])
        made.happens(Fault(0, "heal"))
        made.agree(range(5))
        made.happens(Fault(0, "cut", (2,), both=False))  # it hears all, and nobody hears it
        made.stood([2], "minority", "alone")
        made.agree([0, 1, 3, 4], "majority")
        made.happens(Fault(0, "heal"))
        made.agree(range(5))
        self.judge(made, set())

    def test_two_fifths_lost_everywhere(self) -> None:
        made = self.fleet()
        assert made.relays is not None
        ways = made.relays.ways.values()
        made.happens(Fault(0, "loss", part=0.4))
        made.until(lambda: sum(way.dropped for way in ways) > 700, "much is lost")
        made.happens(Fault(0, "heal"))
        made.agree(range(5))
        self.judge(made, set())


class Processes(Case):
    def test_one_that_was_away_knows_it_before_it_promises_anything(self) -> None:
        made = self.fleet()
        made.stall(1)
        made.agree([0, 2, 3, 4], "majority")
        made.resume(1)
        made.agree(range(5))
        self.assertIn("msg=process_stalled", made.log(1))
        self.assertEqual(
            [line for line in made.log(1).splitlines() if "state=dead" in line], [], "it accuses nobody"
        )
        calls = [call for call in self.judge(made, {1}) if call.broker == 1 and call.paid]
        waited = [call for call in calls if call.took_ms > 900]  # those that were sent while it stood still
        self.assertTrue(waited)
        self.assertFalse(
            [call for call in waited if call.status == 200], "nothing is promised on what it believed before"
        )

    def test_one_that_is_slow_and_hears_nobody_buries_nobody(self) -> None:
        made = self.fleet()
        made.happens(Fault(0, "cut", (0, 1, 2, 3), (4,), both=False))  # all hear it
        made.stood([4], "minority", "alone")
        made.until(lambda: made.ask(4, "show")["counts"]["accusations"] >= 3, "it accuses the others")
        made.happens(Fault(0, "heal"))
        made.until(
            lambda: made.ask(4, "show")["counts"]["false_accusations"] > 0, "it is told that they live"
        )
        for _ in range(8):  # slow: it runs for a part of the time
            made.play([Fault(0.0, "stall", (4,)), Fault(0.6, "resume", (4,)), Fault(0.8, "heal")])
        made.agree(range(5))
        self.assertEqual(
            [
                line
                for at in range(4)
                for line in made.log(at).splitlines()
                if re.search(r"member=n[0-3] state=dead", line)
            ],
            [],
        )
        self.judge(made, {4})

    def test_killed_and_back_before_anyone_noticed_all_at_once_and_with_disks_lost(self) -> None:
        made = self.fleet()
        made.kill(3)
        made.start(3)
        made.agree(range(5))
        self.assertEqual(
            {
                each["life"]
                for at in range(5)
                for each in made.ask(at, "show")["members"]
                if each["member"] == "n3"
            },
            {2},
        )
        for at in range(5):
            made.kill(at)
        for at in range(5):
            if at % 2:
                made.wipe(at)
            made.launch(at)
        made.agree(range(5))
        for at in (0, 1, 2):  # all seeds
            made.kill(at)
        made.agree([3, 4], "minority")
        made.kill(4)
        made.launch(4)
        made.agree([3, 4], "minority")
        for at in (0, 1, 2):
            made.launch(at)
        made.agree(range(5))
        self.judge(made, set(range(5)))

    def test_the_later_of_two_with_one_name_serves_paid_sessions_and_the_other_none(self) -> None:
        made = self.fleet(6, names={5: "n2"}, later=1)
        made.launch(5)
        made.stood([2], "displaced")
        made.stood([5], "whole")
        self.assertIn("msg=broker_displaced", made.log(2))
        before = len(made.ran())
        made.until(lambda: len(made.ran()) > before + 60, "set-ups run")
        calls = self.judge(made, {5})
        ends = {
            at: max(call.asked_s for call in calls if call.broker == at and call.paid and call.status == 200)
            for at in (2, 5)
        }
        begin = min(call.asked_s for call in calls if call.broker == 5 and call.paid and call.status == 200)
        self.assertLess(ends[2], begin, "never both")
        self.assertTrue(
            [
                call
                for call in calls
                if call.broker == 2 and not call.paid and call.asked_s > begin and call.status == 200
            ]
        )


class Operators(Case):
    def members(self, made: Fleet, *words: str) -> tuple[int, str]:
        done = subprocess.run(
            [
                sys.executable,
                "-m",
                "lotuspick",
                "members",
                *words,
                "--peers",
                str(made.folder / "b0-peers.toml"),
            ],
            cwd=ROOT,
            capture_output=True,
            text=True,
            env={"PATH": "/usr/bin:/bin"},
        )
        return done.returncode, done.stdout + done.stderr

    def test_show_explain_and_drain(self) -> None:
        made = self.fleet(3)
        code, text = self.members(made, "show")
        self.assertEqual((code, len(re.findall(r"n\d +alive", text))), (0, 3), text)
        self.assertIn("standing=whole", text)
        code, text = self.members(made, "explain", "n1")
        self.assertEqual(code, 0)
        self.assertRegex(text, "state: alive(.|\n)*watchers: n")
        self.assertEqual(self.members(made, "explain", "nobody")[0], 2)
        self.assertIn("no member is named 'nobody'", self.members(made, "explain", "nobody")[1])
        code, text = self.members(made, "drain", "n2")
        self.assertEqual((code, text), (0, "n2: left, by n0\n"))
        made.agree([0, 1], "majority")
        made.stood([2], "displaced")
        self.assertIn("has left already", self.members(made, "drain", "n2")[1])
        made.kill(1)  # gone for good: it no longer counts as missing once that was said
        made.stood([0], "alone")
        self.members(made, "drain", "n1")
        made.kill(2)
        made.start(2)
        made.agree([0, 2], "majority")
        made.kill(0)
        self.assertIn("no answer from", self.members(made, "show")[1])
        self.judge(made, {0, 1, 2})


if __name__ == "__main__":
    unittest.main()
