"""Placement constraints from the quorum state of a broker. Pure."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from lotuspick.core.actions import Observation
from lotuspick.core.constraints import UNCONSTRAINED, PlacementConstraint
from lotuspick.core.events import SessionRequest
from lotuspick.membership.quorum import Permission, QuorumState, QuorumTracker

DEFAULT_RETRY_AFTER_US = 1_000_000  # usually longer than detecting a partition or settling after a start


class MembershipConstraints:
    """Rejects paid sessions at once while the quorum state does not permit them.

    Plain sessions are never constrained.

    Args:
        quorum: the tracker of this broker's quorum state.
        paid: classes of paid sessions.
        clock: clock of the quorum tracker (us). It includes machine sleep, so that a resumed process detects
            the pause before it admits a paid session.
        retry_after_us: retry delay that each rejection carries.
    """

    max_wait_us = 0

    def __init__(
        self,
        quorum: QuorumTracker,
        paid: frozenset[str],
        clock: Callable[[], int],
        retry_after_us: int = DEFAULT_RETRY_AFTER_US,
    ) -> None:
        self.quorum, self.paid, self.clock, self.retry_after_us = quorum, paid, clock, retry_after_us
        self.rejections: Counter[QuorumState] = Counter()
        self._rejections_by_state = {
            state: PlacementConstraint(reason=f"fleet-{state.name.lower()}", retry_after_us=retry_after_us)
            for state in QuorumState
        }

    def constraint_for(self, _now: int, request: SessionRequest) -> PlacementConstraint:
        """See :class:`lotuspick.core.constraints.ConstraintProvider`."""
        if request.session_class not in self.paid:
            return UNCONSTRAINED
        now_us = self.clock()
        if self.quorum.is_allowed(Permission.PAID, now_us):
            return UNCONSTRAINED
        state = self.quorum.state_at(now_us)
        self.rejections[state] += 1
        return self._rejections_by_state[state]

    def on_event(self, now: int, observation: Observation) -> None:
        """Ignore the observation: sessions do not change the quorum state."""
