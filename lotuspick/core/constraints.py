"""The one question that subsystems answer to narrow the decisions: which servers, up to which rung."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import Protocol

from lotuspick.core.actions import Observation
from lotuspick.core.events import SessionRequest

UNLIMITED_RUNG = 1_000


@dataclass(frozen=True, slots=True)
class PlacementConstraint:
    """What a guide leaves open to a session. Bounds only ever narrow: the decisions' own rules (a class's floor, what
    must not be refused or sent again, drains, slow starts) stand above them."""

    servers: frozenset[str] | None = None
    """Servers that may be used; None: any."""
    highest_rung: int = UNLIMITED_RUNG
    """Highest rung; below a class's floor it counts as the floor."""
    costs: Mapping[str, float] = field(default_factory=dict)
    """An order among servers: the share of a link by which each counts as fuller than it is, 0 where not named."""
    reason: str = ""
    """Not empty: turn the session away, and why."""
    retry_after_us: int = 0
    """How long a session that is turned away is asked to stay away; 0: as the decisions would say."""
    pending_reason: str = ""
    """Not empty: nothing may be sent so far, and why. The session waits as it does for a free server, for no longer,
    and is then turned away with this reason."""

    @property
    def rejection_reason(self) -> str:
        """What a session is told that is turned away, now or after waiting in vain."""
        return self.reason or self.pending_reason

    def admits(self, server: str) -> bool:
        """Whether the server may be used now."""
        return not self.pending_reason and (self.servers is None or server in self.servers)

    def intersect(self, other: PlacementConstraint) -> PlacementConstraint:
        """What both leave open. Commutative, associative and idempotent; the longer gap wins, with its reason, and
        to be turned away wins over waiting."""
        servers = (
            self.servers
            if other.servers is None
            else other.servers
            if self.servers is None
            else self.servers & other.servers
        )
        costs = self.costs or other.costs
        if self.costs and other.costs:
            costs = {
                name: max(self.costs.get(name, 0.0), other.costs.get(name, 0.0))
                for name in {*self.costs, *other.costs}
            }
        away = max(self, other, key=lambda each: (bool(each.reason), each.retry_after_us, each.reason))
        not_yet = max(self.pending_reason, other.pending_reason)
        return PlacementConstraint(
            servers,
            min(self.highest_rung, other.highest_rung),
            costs,
            away.reason,
            away.retry_after_us if away.reason or not_yet else 0,
            not_yet,
        )


UNCONSTRAINED = PlacementConstraint()


class ConstraintProvider(Protocol):
    """A further part that narrows the decisions: deterministic, without I/O, near constant time."""

    max_wait_us: int
    """How long a session may have to wait until what it says ``not_yet`` for has come; each is held as long, unless its
    deadline is before that. 0: it never says so."""

    def constraint_for(self, now: int, request: SessionRequest) -> PlacementConstraint:
        """Asked before each attempt, while the session waits for one: the facts may have changed in between. Not
        asked once an attempt of a paid session may have run."""

    def on_event(self, now: int, fact: Observation) -> None:
        """Hears each event before it is handled, and each send and final answer as it is decided."""


class CombinedProviders:
    """Several guides as one; of none, one that leaves everything open."""

    def __init__(self, guides: Sequence[ConstraintProvider]) -> None:
        self.guides = guides
        self.max_wait_us = max((guide.max_wait_us for guide in guides), default=0)

    def constraint_for(self, now: int, request: SessionRequest) -> PlacementConstraint:
        """What all of them leave open. All are asked, so that each knows every session."""
        bounds = UNCONSTRAINED
        for guide in self.guides:
            bounds = bounds.intersect(guide.constraint_for(now, request))
        return bounds

    def on_event(self, now: int, fact: Observation) -> None:
        for guide in self.guides:
            guide.on_event(now, fact)
