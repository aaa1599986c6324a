"""Admission: queueing time, queue order and rejection of session requests."""

from __future__ import annotations

import heapq

from lotuspick.core import tuning
from lotuspick.core.actions import RejectSession
from lotuspick.core.context import BrokerContext
from lotuspick.core.events import SessionRequest
from lotuspick.core.retry import RetryBudget
from lotuspick.core.rung_control import RungControl
from lotuspick.core.setup_time import SetupTime
from lotuspick.core.state import SessionState
from lotuspick.core.tenant_requests import TenantRequests


class Admission:
    """Queues sessions, selects the queued sessions to evaluate, and rejects sessions."""

    def __init__(
        self, context: BrokerContext, rungs: RungControl, retry_budget: RetryBudget, setup_time: SetupTime
    ) -> None:
        self.context = context
        self.rungs = rungs
        self.retry_budget = retry_budget
        self.setup_time = setup_time
        self.tenants = TenantRequests(context.settings.tenant_rates)

    def exceeds_tenant_rate(self, request: SessionRequest) -> bool:
        """Count a request; return whether it exceeds this broker's share of its tenant's rate."""
        rates = self.tenants.rates
        rate = rates.get(request.tenant, 0.0)
        if not rates or not rate:
            return bool(rates)
        limit = rate / self.context.settings.brokers * tuning.TENANT_RATE_WINDOW_US / 1e6
        return self.tenants.count(request.tenant, self.context.now) > max(1.0, limit)

    def admit(self, session: SessionState) -> None:
        """Queue a new request, or reject it if the viewer cannot use any rung of its class."""
        context, request, session_class = self.context, session.request, session.session_class
        objective_us = session_class.latency_objective_us - 2 * int(self.setup_time.mean_us)
        wait_us = min(tuning.MAX_QUEUE_WAIT_US, max(context.constraint_provider.max_wait_us, objective_us))
        session.queued_until = min(context.now + wait_us, request.deadline_us - tuning.DEADLINE_MARGIN_US)
        if request.highest_rung < session_class.lowest_rung:
            self.reject(session)
        else:
            self.enqueue(session)

    def enqueue(self, session: SessionState) -> None:
        """Queue a session until it is forwarded, or rejected at the end of its wait."""
        name = session.request.session
        self.context.queued[name], session.evaluated_at = session, -1
        self.context.start_timer(session.queued_until - self.context.now, name)

    def sessions_to_reevaluate(self) -> set[SessionState]:
        """Return the most urgent queued sessions; other sessions evaluated before wait for a later call.

        Order of urgency: sessions whose wait has ended, sessions whose title is at a changed position, the
        least recently evaluated sessions, sessions of the class with the highest weight.
        """
        context, class_weights = self.context, self.rungs.steps.class_weights
        now, positions, changed = context.now, context.settings.positions, context.changed_positions

        def urgency(session: SessionState) -> tuple[bool, bool, int, float]:
            near_change = not changed.isdisjoint(session.request.holder_positions(positions))
            class_weight = class_weights[session.session_class.name]
            return session.queued_until > now, not near_change, session.evaluated_at, -class_weight

        return set(heapq.nsmallest(tuning.REEVALUATION_BATCH_SIZE, context.queued.values(), key=urgency))

    def may_be_forwarded(self, session: SessionState) -> bool:
        """Return whether the deadline, the retry budget and the title session limit permit an attempt now."""
        context, request, session_class = self.context, session.request, session.session_class
        if context.now >= request.deadline_us - tuning.DEADLINE_MARGIN_US:
            return False
        if session.attempt >= 0 and not self.retry_budget.allows_retry(context.now):
            return False
        limit = session_class.title_session_limit
        return not limit or context.sessions_by_title[request.title, session_class.name] < limit

    def reject(self, session: SessionState) -> None:
        """Reject a session with a retry time.

        A link that stayed full during the wait rarely frees up at once.
        """
        context, settings = self.context, self.context.settings
        name, constraint = session.request.session, session.constraint
        limit_us = settings.max_retry_after_us * settings.retry_after_allowed
        retry_after_us = min(constraint.retry_after_us or tuning.REJECTION_RETRY_AFTER_US, limit_us)
        context.remove_session(name)
        context.emit_observed(RejectSession(name, retry_after_us, constraint.rejection_reason))
