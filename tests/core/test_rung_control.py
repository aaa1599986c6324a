"""Rungs: what a step is worth, and up to which load each rung is given."""

from __future__ import annotations

import unittest

from helpers import NOW, SECOND, controller, request

from lotuspick.core import tuning
from lotuspick.core.constraints import PlacementConstraint
from lotuspick.core.state import SessionState


class RungControlTest(unittest.TestCase):
    def setUp(self) -> None:
        self.made = controller()
        self.rungs, self.session_class = self.made.rungs, self.made.classes["clip"]
        self.session = SessionState(request("a", NOW, highest_rung=2), self.session_class, 1)

    def test_steps_rank_from_least_to_most_value(self) -> None:
        steps = self.rungs.steps
        ranked = sorted(
            (self.rungs.ranks[name][rung], steps.value(session_class, rung))
            for name, session_class in self.made.classes.items()
            for rung in range(session_class.lowest_rung + 1, len(steps.ladder))
        )
        self.assertEqual([value for _, value in ranked], sorted(value for _, value in ranked))

    def test_lowest_rung_is_given_up_to_the_maximum_load(self) -> None:
        limit = self.rungs.load_limit(self.session_class, self.session_class.lowest_rung)
        self.assertEqual(limit, tuning.MAX_LINK_LOAD)

    def test_highest_rung_is_narrowed_by_request_and_constraint_but_not_below_the_lowest(self) -> None:
        self.assertEqual(self.rungs.highest_rung(self.session), 2)
        self.session.constraint = PlacementConstraint(highest_rung=1)
        self.assertEqual(self.rungs.highest_rung(self.session), 1)
        self.session.constraint = PlacementConstraint(highest_rung=-1)
        self.assertEqual(self.rungs.highest_rung(self.session), self.session_class.lowest_rung)

    def test_highest_rung_past_the_tenant_rate_is_the_lowest(self) -> None:
        self.session.over_tenant_rate = True
        self.assertEqual(self.rungs.highest_rung(self.session), self.session_class.lowest_rung)

    def test_free_load_rises_to_its_maximum(self) -> None:
        before = self.rungs.free_load
        self.rungs.raise_free_load(SECOND)
        self.assertGreater(self.rungs.free_load, before)
        self.rungs.raise_free_load(10_000 * SECOND)
        self.assertEqual(self.rungs.free_load, tuning.MAX_FREE_LOAD)
