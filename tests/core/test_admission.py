"""Admission: queueing time, order of evaluation, and tenant rates."""

from __future__ import annotations

import unittest

from helpers import NOW, SECOND, controller, request

from lotuspick.core import tuning
from lotuspick.core.actions import RejectSession
from lotuspick.core.state import SessionState


class AdmissionTest(unittest.TestCase):
    def setUp(self) -> None:
        self.core = controller(
            positions=100, tenant_rates={"law": 0.4}, retry_after_allowed=True, max_retry_after_us=SECOND // 2
        )
        self.context, self.admission = self.core.context, self.core.admission
        self.context.now, self.context.actions = NOW, []

    def session(self, name: str, **changes: object) -> SessionState:
        state = SessionState(request(name, NOW, **changes), self.core.classes["clip"], 1)
        self.context.sessions[name] = state
        return state

    def test_wait_ends_before_the_deadline(self) -> None:
        state = self.session("a", deadline_us=NOW + SECOND // 10)
        self.admission.admit(state)
        self.assertEqual(state.queued_until, NOW + SECOND // 10 - tuning.DEADLINE_MARGIN_US)
        self.assertIn("a", self.context.queued)
        self.assertFalse(self.admission.may_be_forwarded(self.advance_to_end_of_wait(state)))

    def advance_to_end_of_wait(self, session: SessionState) -> SessionState:
        self.context.now = session.queued_until
        return session

    def test_rejection_forgets_the_session_and_caps_retry_after(self) -> None:
        state = self.session("a")
        self.admission.enqueue(state)
        self.context.actions = []
        self.admission.reject(state)
        self.assertEqual(self.context.actions, [RejectSession("a", SECOND // 2)])
        self.assertFalse(self.context.sessions or self.context.queued)

    def test_sessions_that_are_due_or_near_a_change_are_evaluated_first(self) -> None:
        count = tuning.REEVALUATION_BATCH_SIZE + 2
        sessions = [self.session(f"q{index}", copies=1, home_position=index) for index in range(count)]
        for session in sessions:
            session.queued_until = NOW + SECOND
            self.admission.enqueue(session)
            session.evaluated_at = NOW - SECOND
        sessions[-1].queued_until = NOW
        self.context.changed_positions = {count - 2}
        reevaluated = self.admission.sessions_to_evaluate().sessions
        self.assertEqual(len(reevaluated), tuning.REEVALUATION_BATCH_SIZE)
        self.assertLessEqual({sessions[-1], sessions[-2]}, reevaluated)

    def test_tenant_rate_is_counted_within_its_window(self) -> None:
        brokers = self.core.settings.brokers
        allowed = int(max(1.0, 0.4 / brokers * tuning.TENANT_RATE_WINDOW_US / 1e6))
        found = [
            self.admission.exceeds_tenant_rate(request("a", NOW, tenant="law")) for _ in range(allowed + 1)
        ]
        self.assertEqual(found, [False] * allowed + [True])
        self.context.now += tuning.TENANT_RATE_WINDOW_US
        self.assertFalse(self.admission.exceeds_tenant_rate(request("a", NOW, tenant="law")))
        self.assertTrue(self.admission.exceeds_tenant_rate(request("a", NOW, tenant="unknown")))
        self.admission.tenants.update({})
        self.assertFalse(self.admission.exceeds_tenant_rate(request("a", NOW, tenant="unknown")))

    def test_tenant_with_a_rate_below_one_in_its_window_has_one_request(self) -> None:
        self.admission.tenants.update({"law": 0.01})
        found = [self.admission.exceeds_tenant_rate(request("a", NOW, tenant="law")) for _ in range(2)]
        self.assertEqual(found, [False, True])
