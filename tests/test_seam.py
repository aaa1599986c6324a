"""The seam: bounds that only narrow, and a core that asks before each attempt and tells what became of it."""

from __future__ import annotations

import unittest
from typing import Any

from helpers import SECOND, controller, of, request, servers, settings
from hypothesis import given
from hypothesis import strategies as st

from lotuspick.control import Controller
from lotuspick.interface import (
    ANY,
    Bounds,
    ClassSettings,
    Ended,
    Fail,
    Refuse,
    Send,
    SetRung,
    Started,
    Together,
)

NOW = 20 * SECOND
NAMES = st.sampled_from(["s0", "s1", "s2", "s3"])
BOUNDS = st.builds(
    Bounds,
    st.none() | st.frozensets(NAMES),
    st.integers(0, 9),
    st.dictionaries(NAMES, st.sampled_from([0.1, 0.25, 0.5])),
    st.sampled_from(["", "", "budget", "part"]),
    st.integers(0, 5),
).map(lambda each: each if each.reason else Bounds(each.servers, each.top, each.costs))


class Scripted:
    """A guide that says what the test wants and keeps what it is told."""

    wait_us = 0

    def __init__(self, *answers: Bounds) -> None:
        self.answers, self.asked, self.heard = list(answers), 0, list[Any]()

    def bounds(self, now: int, request: Any) -> Bounds:
        self.asked += 1
        return self.answers.pop(0) if len(self.answers) > 1 else self.answers[0]

    def told(self, now: int, fact: Any) -> None:
        self.heard.append(type(fact).__name__)


def guided(*answers: Bounds, **changes: Any) -> tuple[Controller, Scripted]:
    guide = Scripted(*answers)
    made = Controller(settings(retry_after=True, max_retry_after_us=9 * SECOND, **changes), 7, guide)
    made.handle(0, [servers()])
    return made, guide


class Meet(unittest.TestCase):
    @given(BOUNDS, BOUNDS, BOUNDS)
    def test_order_does_not_matter_and_nothing_widens(self, one: Bounds, two: Bounds, three: Bounds) -> None:
        both = one.meet(two)
        self.assertEqual(both, two.meet(one))
        self.assertEqual(both.meet(three), one.meet(two.meet(three)))
        self.assertEqual(one.meet(one), one)
        self.assertEqual(one.meet(ANY), one)
        for each in (one, two):
            self.assertLessEqual(both.top, each.top)
            self.assertTrue(bool(both.reason) >= bool(each.reason) and both.gap_us >= each.gap_us)
            for name in ("s0", "s1", "s2", "s3"):
                self.assertLessEqual(both.admits(name), each.admits(name))
                self.assertGreaterEqual(both.costs.get(name, 0.0), each.costs.get(name, 0.0))


class Asked(unittest.TestCase):
    def test_only_admitted_servers_are_used_again_and_again(self) -> None:
        made, guide = guided(Bounds(frozenset({"s1", "s2"})))
        sent = []
        for outcome in ("unreachable", "unreachable"):
            actions = made.handle(
                NOW, [request("a", NOW)] if not sent else [Ended("a", len(sent) - 1, sent[-1], outcome)]
            )
            sent.append(of(actions, Send)[0].server)
        self.assertEqual(set(sent), {"s1", "s2"})
        self.assertEqual(of(made.handle(NOW, [Ended("a", 1, sent[-1], "unreachable")]), Send), [])
        self.assertEqual(guide.heard[:4], ["ServerList", "SessionRequest", "Send", "Ended"])

    def test_the_facts_may_change_between_attempts(self) -> None:
        made, guide = guided(Bounds(frozenset({"s1"})), Bounds(reason="moved-on", gap_us=3 * SECOND))
        self.assertEqual(of(made.handle(NOW, [request("a", NOW, cls="exam")]), Send)[0].server, "s1")
        refusal = of(made.handle(NOW, [Ended("a", 0, "s1", "full")]), Refuse)
        self.assertEqual(refusal, [Refuse("a", 3 * SECOND, "moved-on")])
        self.assertEqual(guide.heard[-1], "Refuse")

    def test_a_paid_attempt_that_may_have_run_is_never_turned_away(self) -> None:
        made, guide = guided(ANY, Bounds(reason="budget", gap_us=SECOND))
        server = of(made.handle(NOW, [request("a", NOW, cls="exam")]), Send)[0].server
        self.assertEqual(of(made.handle(NOW, [Ended("a", 0, server, "lost")]), Fail), [Fail("a")])
        self.assertEqual(guide.asked, 1)

    def test_a_refusal_is_at_once_and_no_longer_than_viewers_honour(self) -> None:
        made, _ = guided(Bounds(reason="part", gap_us=60 * SECOND))
        self.assertEqual(of(made.handle(NOW, [request("a", NOW)]), Refuse), [Refuse("a", 9 * SECOND, "part")])
        self.assertFalse(made.sessions or made.held)

    def test_a_top_below_the_floor_counts_as_the_floor(self) -> None:
        made, _ = guided(
            Bounds(top=0), classes=[ClassSettings("clip", SECOND, floor=2)], link_kb_per_weight=9_000.0
        )
        self.assertEqual(of(made.handle(NOW, [request("a", NOW)]), SetRung)[0].rung, 2)

    def test_costs_order_servers_of_one_rung(self) -> None:
        made, _ = guided(Bounds(costs={"s0": 9.0, "s1": 9.0, "s3": 9.0}))
        self.assertEqual(of(made.handle(NOW, [request("a", NOW)]), Send)[0].server, "s2")

    def test_all_guides_are_asked_and_told(self) -> None:
        guides = [Scripted(Bounds(frozenset({"s1", "s2"}))), Scripted(Bounds(frozenset({"s2", "s3"})))]
        made = Controller(settings(), 7, Together(guides))
        made.handle(0, [servers()])
        self.assertEqual(of(made.handle(NOW, [request("a", NOW)]), Send)[0].server, "s2")
        made.handle(NOW, [Started("a", 0, "s2")])
        self.assertEqual([guide.heard[-1] for guide in guides], ["Started", "Started"])

    def test_without_a_guide_nothing_is_bound(self) -> None:
        made = controller()
        self.assertEqual(len(of(made.handle(NOW, [request("a", NOW)]), Send)), 1)
