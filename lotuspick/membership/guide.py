"""What the standing of a broker leaves open to its sessions: the seam's side of membership. Pure."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from lotuspick.interface import ANY, Bounds, Fact, SessionRequest
from lotuspick.membership.standing import PAID, Standing, Standings

GAP_US = 1_000_000


class FleetGuide:
    """Turns paid sessions away, at once and with a gap, while the standing does not allow new promises. Plain sessions
    are never asked about. ``clock`` is the one by which the standing is followed (us): one that goes on while the
    machine sleeps, so that whoever was away knows it before it promises anything."""

    wait_us = 0

    def __init__(
        self, standings: Standings, paid: frozenset[str], clock: Callable[[], int], gap_us: int = GAP_US
    ) -> None:
        self.standings, self.paid, self.clock, self.gap_us = standings, paid, clock, gap_us
        self.turned_away: Counter[Standing] = Counter()
        self._away = {
            standing: Bounds(reason=f"fleet-{standing.name.lower()}", gap_us=gap_us) for standing in Standing
        }

    def bounds(self, now: int, request: SessionRequest) -> Bounds:
        """See :class:`lotuspick.interface.Guide`."""
        if request.cls not in self.paid:
            return ANY
        at = self.clock()
        if self.standings.may(PAID, at):
            return ANY
        standing = self.standings.at(at)
        self.turned_away[standing] += 1
        return self._away[standing]

    def told(self, now: int, fact: Fact) -> None:
        """Nothing that happens to a session changes a standing."""
