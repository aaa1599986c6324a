"""Interface for subsystems that restrict the core's decisions: permitted servers and highest rung."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import Protocol

from lotuspick.core.actions import Observation
from lotuspick.core.events import SessionRequest

UNLIMITED_RUNG = 1_000  # above every ladder


@dataclass(frozen=True, slots=True)
class PlacementConstraint:
    """The servers and rungs that a provider permits for a session.

    A constraint can only restrict a decision. The core's own rules take precedence: a class's lowest rung,
    the bans on rejecting or retrying a session that may have executed, draining, slow start.
    """

    servers: frozenset[str] | None = None
    """Permitted servers; None: all."""
    highest_rung: int = UNLIMITED_RUNG
    """Highest permitted rung; a value below a class's lowest rung counts as the lowest rung."""
    costs: Mapping[str, float] = field(default_factory=dict)
    """Load added to each server's link when servers are compared, as a share of the link; default 0."""
    reason: str = ""
    """Not empty: reject the session with this reason."""
    retry_after_us: int = 0
    """Time after which a rejected viewer may retry; 0: the core's default."""
    pending_reason: str = ""
    """Not empty: the session must not be forwarded yet, for this reason.

    The session stays queued, no longer than it would for a free server, and is then rejected for it.
    """

    @property
    def rejection_reason(self) -> str:
        """The reason for a rejection, now or at the end of the wait."""
        return self.reason or self.pending_reason

    def admits(self, server: str) -> bool:
        """Return whether the server may be used now."""
        return not self.pending_reason and (self.servers is None or server in self.servers)

    def intersect(self, other: PlacementConstraint) -> PlacementConstraint:
        """Return the constraint that permits what both permit; commutative, associative and idempotent.

        A rejection takes precedence over a pending reason. Of two rejections, the one with the longer
        ``retry_after_us`` and its reason is kept.
        """
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
        rejection = max(self, other, key=lambda one: (bool(one.reason), one.retry_after_us, one.reason))
        pending_reason = max(self.pending_reason, other.pending_reason)
        return PlacementConstraint(
            servers,
            min(self.highest_rung, other.highest_rung),
            costs,
            rejection.reason,
            rejection.retry_after_us if rejection.reason or pending_reason else 0,
            pending_reason,
        )


UNCONSTRAINED = PlacementConstraint()


class ConstraintProvider(Protocol):
    """A subsystem that restricts the core's decisions: deterministic, without I/O, in near constant time."""

    max_wait_us: int
    """Maximum time a session may be pending; 0: no session is ever pending.

    Each session may be queued for this time, unless its deadline is earlier.
    """

    def constraint_for(self, now: int, request: SessionRequest) -> PlacementConstraint:
        """Return the constraint on a session at clock time ``now`` (us).

        Called before each attempt, because the state may have changed since the previous one. Not called
        after an attempt of a non-idempotent session may have executed.
        """

    def on_event(self, now: int, observation: Observation) -> None:
        """Observe each event before the core handles it, and each attempt and final answer once decided."""


class CombinedProviders:
    """Combines several providers into one; without providers, everything is permitted."""

    def __init__(self, providers: Sequence[ConstraintProvider]) -> None:
        self.providers = providers
        self.max_wait_us = max((provider.max_wait_us for provider in providers), default=0)

    def constraint_for(self, now: int, request: SessionRequest) -> PlacementConstraint:
        """Return the intersection of all constraints; call every provider, so that each sees all sessions."""
        constraint = UNCONSTRAINED
        for provider in self.providers:
            constraint = constraint.intersect(provider.constraint_for(now, request))
        return constraint

    def on_event(self, now: int, observation: Observation) -> None:
        """Pass an observation to every provider."""
        for provider in self.providers:
            provider.on_event(now, observation)
