"""Audit of a day: checks the rules independently of the code under test, and sums the delivered value."""

from __future__ import annotations

import math
from collections import Counter, deque
from dataclasses import dataclass, field
from enum import StrEnum

from lotuspick.lab.emulator.spec import (
    CLASSES,
    OVERLOAD_FACTOR,
    OVERLOAD_WINDOW_S,
    PAID_CLASS,
    RUNG_VALUES,
    SECOND_US,
    SLOW_START_SHARE,
)

MAX_VIOLATIONS = 20
"""Number of violations that are kept."""
SLOW_START_SLACK = 3
"""Set-ups over the budget that the operators tolerate as random variation."""


class Answer(StrEnum):
    """Answer to a session request."""

    SERVED = "served"
    REJECTED = "refused"
    FAILED = "failed"


@dataclass(slots=True, eq=False)
class ViewerIntent:
    """The playback that a viewer wants; spans its first attempt and all retries."""

    viewer: str
    tenant: str
    session_class: str
    length_s: float
    highest_rung: int
    """Highest rung that the viewer's device can play."""
    arrived_us: int
    is_measured: bool
    """Whether the viewer arrived in the measured period."""
    received: float = 0.0
    """Delivered value."""

    @property
    def requested(self) -> float:
        """Return the value of the complete playback at the highest rung."""
        return CLASSES[self.session_class].priority_weight * self.length_s * RUNG_VALUES[self.highest_rung]


@dataclass(slots=True)
class TenantValue:
    """Value requested and received by the viewers of a tenant."""

    requested: float = 0.0
    received: float = 0.0


@dataclass(slots=True)
class DayAudit:
    """Violations, counts and values of one day."""

    violations: list[str] = field(default_factory=list)
    """Descriptions of rule violations, each with its time."""
    end_causes: Counter[str] = field(default_factory=Counter)
    """Ended sessions by cause."""
    answers: Counter[str] = field(default_factory=Counter)
    values: dict[str, TenantValue] = field(default_factory=dict)
    """Values by tenant."""
    paid_set_ups: Counter[str] = field(default_factory=Counter)
    """Completed set-ups by paid session."""
    answer_counts: Counter[str] = field(default_factory=Counter)
    """Answers by session."""
    requests: Counter[str] = field(default_factory=Counter)
    """Requests by tenant."""
    nodes_by_tenant: dict[str, set[str]] = field(default_factory=dict)
    """By tenant: the nodes that ran its set-ups."""
    _recent_warm_up_sends: dict[str, deque[int]] = field(default_factory=dict, init=False)

    def record_violation(self, now_us: int, description: str) -> None:
        """Record a rule violation, up to ``MAX_VIOLATIONS``."""
        if len(self.violations) < MAX_VIOLATIONS:
            self.violations.append(f"{now_us / SECOND_US:.2f}s {description}")

    def record_set_up(
        self, now_us: int, session: str, session_class: str, rung: int, node: str, tenant: str
    ) -> None:
        """Record a completed set-up, and check the rules for paid sessions."""
        self.nodes_by_tenant.setdefault(tenant, set()).add(node)
        if session_class == PAID_CLASS:
            self.paid_set_ups[session] += 1
            if self.paid_set_ups[session] > 1:
                self.record_violation(now_us, f"paid session {session} set up twice")
            if rung == 0:
                self.record_violation(now_us, f"paid session {session} on the lowest rung")

    def record_answer(self, now_us: int, session: str, session_class: str, answer: Answer) -> None:
        """Record the answer to a request, and check that it is the only one."""
        self.answer_counts[session] += 1
        self.answers[answer] += 1
        if self.answer_counts[session] > 1:
            self.record_violation(now_us, f"second outcome for {session}: {answer}")
        if answer is Answer.REJECTED and session_class == PAID_CLASS and self.paid_set_ups[session]:
            self.record_violation(now_us, f"paid session {session} refused after it ran")

    def record_warm_up_send(
        self, now_us: int, node: str, warm_up_share: float, stream_limit: float, warm_up_us: int
    ) -> None:
        """Record an attempt sent to a node that is warming up, and check the slow-start budget.

        Over any 3 s all brokers together may send at most 2.5 times the slow-start rate of the node.
        """
        window_us = OVERLOAD_WINDOW_S * SECOND_US
        sends = self._recent_warm_up_sends.setdefault(node, deque())
        sends.append(now_us)
        while sends[0] <= now_us - window_us:
            sends.popleft()
        share = max(warm_up_share, SLOW_START_SHARE)
        budget = OVERLOAD_FACTOR * share * stream_limit / warm_up_us * OVERLOAD_WINDOW_S * SECOND_US
        if len(sends) > math.ceil(budget) + SLOW_START_SLACK:
            self.record_violation(
                now_us,
                f"node {node} received {len(sends)} set-ups in 3 s while warming up, budget {budget:.1f}",
            )

    def close_intent(self, intent: ViewerIntent) -> None:
        """Add the values of a viewer that has finished or given up."""
        if intent.is_measured:
            value = self.values.setdefault(intent.tenant, TenantValue())
            value.requested += intent.requested
            value.received += min(intent.received, intent.requested)

    def service(self, tenants: set[str] | None = None) -> float:
        """Return the ratio of received to requested value, for some tenants or for all."""
        chosen = [value for tenant, value in self.values.items() if tenants is None or tenant in tenants]
        requested = sum(value.requested for value in chosen)
        return sum(value.received for value in chosen) / requested if requested else 1.0
