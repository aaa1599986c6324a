"""Admission: queueing time, queue order and rejection of session requests."""

from __future__ import annotations

import heapq
from collections import Counter
from collections.abc import Iterable
from typing import NamedTuple

from lotuspick.core import tuning
from lotuspick.core.actions import RejectSession
from lotuspick.core.context import BrokerContext
from lotuspick.core.events import SessionRequest
from lotuspick.core.retry import RetryBudget
from lotuspick.core.rung_control import RungControl
from lotuspick.core.setup_time import SetupTime
from lotuspick.core.state import SessionState
from lotuspick.core.tenant_requests import TenantRequests


class EvaluationBatch(NamedTuple):
    """The queued sessions to evaluate in one call."""

    sessions: set[SessionState]
    backlog: SessionState | None
    """A new session that has to wait for a later call; None if there is none."""


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

    def sessions_to_evaluate(self) -> EvaluationBatch:
        """Return the new sessions and the most urgent of the others, as far as the limit on servers permits.

        A call blocks the broker, and a session costs it a step for each server that holds its title.
        """
        context, examined = self.context, ExaminedServers(self.context)
        queued = list(context.queued.values())
        new = [session for session in queued if session.evaluated_at < 0]
        sessions = set(examined.within_limit(examined.in_turns(new)))
        backlog = next((session for session in new if session not in sessions), None)
        if backlog is not None:
            queued = [session for session in queued if session.evaluated_at >= 0]
        urgent = self._most_urgent(queued)
        sessions.update(examined.within_limit(session for session in urgent if session.evaluated_at >= 0))
        return EvaluationBatch(sessions, backlog)

    def _most_urgent(self, candidates: Iterable[SessionState]) -> list[SessionState]:
        """Return the sessions to evaluate again, most urgent first.

        Order of urgency: sessions whose wait has ended, sessions whose title is at a changed position, the
        least recently evaluated sessions, sessions of the class with the highest weight.
        """
        context, class_weights = self.context, self.rungs.steps.class_weights
        now, positions, changed = context.now, context.settings.positions, context.changed_positions

        def urgency(session: SessionState) -> tuple[bool, bool, int, float]:
            near_change = not changed.isdisjoint(session.request.holder_positions(positions))
            class_weight = class_weights[session.session_class.name]
            return session.queued_until > now, not near_change, session.evaluated_at, -class_weight

        return heapq.nsmallest(tuning.REEVALUATION_BATCH_SIZE, candidates, key=urgency)

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


class ExaminedServers:
    """The number of servers that an evaluation examines: those that hold the session's title."""

    def __init__(self, context: BrokerContext) -> None:
        self.context = context
        self._count_by_holders = dict[tuple[int, int], int]()

    def count(self, request: SessionRequest) -> int:
        """Return the number of servers to examine for a request, at least 1."""
        key = request.home_position, request.copies
        if key not in self._count_by_holders:
            positions = request.holder_positions(self.context.settings.positions)
            servers = sum(len(self.context.servers_by_position.get(position, ())) for position in positions)
            self._count_by_holders[key] = max(1, servers)
        return self._count_by_holders[key]

    def in_turns(self, sessions: Iterable[SessionState]) -> list[SessionState]:
        """Order sessions by what their source has examined with them, so that no source delays the others.

        Sessions of one source keep their order (fair queueing: by the end of each session's service, if all
        sources were served at once).
        """
        examined_by_source = Counter[str]()
        ranked = []
        for index, session in enumerate(sessions):
            source = session.request.source
            examined_by_source[source] += self.count(session.request)
            ranked.append((examined_by_source[source], index, session))
        return [session for _, _, session in sorted(ranked, key=lambda item: item[:2])]

    def within_limit(self, sessions: Iterable[SessionState]) -> list[SessionState]:
        """Return the first sessions that examine at most ``EXAMINED_SERVERS_LIMIT`` servers; at least one."""
        remaining, selected = tuning.EXAMINED_SERVERS_LIMIT, list[SessionState]()
        for session in sessions:
            remaining -= self.count(session.request)
            if selected and remaining < 0:
                break
            selected.append(session)
        return selected
