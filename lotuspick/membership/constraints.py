"""What the standing of a broker leaves open to its sessions: the seam's side of membership. Pure."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from lotuspick.core.actions import Observation
from lotuspick.core.constraints import UNCONSTRAINED, PlacementConstraint
from lotuspick.core.events import SessionRequest
from lotuspick.membership.quorum import PAID, QuorumState, QuorumTracker

GAP_US = 1_000_000


class MembershipConstraints:
    """Turns paid sessions away, at once and with a gap, while the standing does not allow new promises. Plain sessions
    are never asked about. ``clock`` is the one by which the standing is followed (us): one that goes on while the
    machine sleeps, so that whoever was away knows it before it promises anything."""

    max_wait_us = 0

    def __init__(
        self, standings: QuorumTracker, paid: frozenset[str], clock: Callable[[], int], gap_us: int = GAP_US
    ) -> None:
        self.standings, self.paid, self.clock, self.gap_us = standings, paid, clock, gap_us
        self.turned_away: Counter[QuorumState] = Counter()
        self._away = {
            standing: PlacementConstraint(reason=f"fleet-{standing.name.lower()}", retry_after_us=gap_us)
            for standing in QuorumState
        }

    def constraint_for(self, now: int, request: SessionRequest) -> PlacementConstraint:
        """See :class:`lotuspick.core.constraints.ConstraintProvider`."""
        if request.session_class not in self.paid:
            return UNCONSTRAINED
        at = self.clock()
        if self.standings.may(PAID, at):
            return UNCONSTRAINED
        standing = self.standings.at(at)
        self.turned_away[standing] += 1
        return self._away[standing]

    def on_event(self, now: int, fact: Observation) -> None:
        """Nothing that happens to a session changes a standing."""
