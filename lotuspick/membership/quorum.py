"""Quorum state of a broker, and the permissions that each state grants. Pure.

The quorum state depends on the members that the broker reaches, not on which members it has declared dead.
Dead members count as missing, since they may be on the other side of a network partition. Operations that
only one side of a partition may perform require a majority of all brokers. Until both sides have detected the
partition, both may still perform them. Operations that must never overlap require leases.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import IntEnum, StrEnum

from lotuspick.membership.members import Members
from lotuspick.membership.model import MembershipError, State


class Permission(StrEnum):
    """Permissions that a quorum state may grant. The values are used in the settings."""

    PLAIN = "plain"
    """Admit plain sessions; never depends on peers."""
    PAID = "paid"
    """Make new commitments that must hold in the entire fleet, such as paid sessions."""
    LEAD = "lead"
    """Acquire or keep leases and duties, which one broker holds for the fleet."""


ALL_PERMISSIONS = frozenset(Permission)


class QuorumState(IntEnum):
    """The part of the fleet that a broker reaches, in ascending order.

    Settings, log lines, answers to operators and rejection reasons use the names in lower case, so they must
    not change.
    """

    DISPLACED = 0
    """Another process has taken the broker's name."""
    UNSURE = 1
    """Recently started or resumed after a stall: its records may be out of date."""
    ALONE = 2
    MINORITY = 3
    """Reaches at most half of the fleet."""
    MAJORITY = 4
    WHOLE = 5


ALLOWED_BY_STATE: Mapping[QuorumState, frozenset[str]] = {
    QuorumState.WHOLE: ALL_PERMISSIONS,
    QuorumState.MAJORITY: ALL_PERMISSIONS,
    QuorumState.MINORITY: frozenset({Permission.PLAIN}),
    QuorumState.ALONE: frozenset({Permission.PLAIN}),
    QuorumState.UNSURE: frozenset({Permission.PLAIN}),
    QuorumState.DISPLACED: frozenset({Permission.PLAIN}),
}
"""Maximum permissions of each state.

Shares of the fleet's limits, such as the rate towards cold nodes, do not depend on the state: they are
divided by the number of brokers in the settings, including dead ones.
"""


@dataclass(frozen=True, slots=True)
class QuorumRules:
    """Settings of the quorum state."""

    brokers: int
    """Number of brokers in the fleet, running or not."""
    settle_us: int = 2_000_000
    """A better state takes effect after it has lasted this long; a worse state takes effect at once."""
    max_age_us: int = 900_000
    """Maximum age of an observation; after it the state is UNSURE, because the process has stalled."""
    allowed: Mapping[str, tuple[str, ...]] = field(default_factory=dict)
    """Permissions by state in lower case: a subset of :data:`ALLOWED_BY_STATE`."""

    def __post_init__(self) -> None:
        if isinstance(self.brokers, bool) or not isinstance(self.brokers, int) or self.brokers < 1:
            raise MembershipError(f"brokers must be an integer of 1 or more, not {self.brokers!r}")
        if not isinstance(self.settle_us, int) or self.settle_us < 0:
            raise MembershipError(f"settle_us must be 0 or more, not {self.settle_us!r}")
        if not isinstance(self.max_age_us, int) or self.max_age_us < 1:
            raise MembershipError(f"max_age_us must be 1 or more, not {self.max_age_us!r}")
        for name, permissions in self.allowed.items():
            _check_allowed(name, permissions)


class QuorumTracker:
    """Tracks one broker's quorum state. Only :meth:`observe` and :meth:`stalled` change it."""

    def __init__(self, rules: QuorumRules) -> None:
        self.rules = rules
        self.state = QuorumState.UNSURE
        self._unsure_until_us: int | None = None
        self._better_since_us: int | None = None
        self._observed_us = 0

    def stalled(self, now: int) -> None:
        """Handle a stall of the process: the state becomes UNSURE at once."""
        self.state, self._better_since_us = QuorumState.UNSURE, None
        self._unsure_until_us = now + self.rules.settle_us

    def observe(self, now: int, members: Members) -> QuorumState:
        """Update the state from the members at the time ``now`` (us) and return it.

        Called each period, and at once when the members may have changed.
        """
        if self._unsure_until_us is None:
            self._unsure_until_us = now + self.rules.settle_us
        elif now - self._observed_us > self.rules.max_age_us:
            self.stalled(now)
        self._observed_us = now
        observed = self._observed_state(now, members)
        if observed <= self.state:
            self.state, self._better_since_us = observed, None
            return self.state
        if self._better_since_us is None:
            self._better_since_us = now
        if now - self._better_since_us >= self.rules.settle_us:
            self.state, self._better_since_us = observed, None
        return self.state

    def state_at(self, now: int) -> QuorumState:
        """Return the state at the time ``now`` (us), taking the age of the last observation into account."""
        if now - self._observed_us > self.rules.max_age_us and self.state > QuorumState.UNSURE:
            return QuorumState.UNSURE
        return self.state

    def is_allowed(self, permission: str, now: int | None = None) -> bool:
        """Return whether a permission is granted at a time (us); None: at the last observation."""
        state = self.state if now is None else self.state_at(now)
        allowed = ALLOWED_BY_STATE[state] & set(self.rules.allowed.get(state.name.lower(), ALL_PERMISSIONS))
        return permission in allowed

    def _observed_state(self, now: int, members: Members) -> QuorumState:
        if members.displaced or members.left:
            return QuorumState.DISPLACED
        if now < (self._unsure_until_us or 0):
            return QuorumState.UNSURE
        known = sum(record.state is not State.LEFT for record in members.records.values())
        total, reached = max(self.rules.brokers, known), len(members.reached())
        if reached >= total:
            return QuorumState.WHOLE
        if 2 * reached > total:
            return QuorumState.MAJORITY
        return QuorumState.ALONE if reached <= 1 else QuorumState.MINORITY


def _check_allowed(name: str, permissions: tuple[str, ...]) -> None:
    if name.upper() not in QuorumState.__members__:
        states = ", ".join(state.name.lower() for state in QuorumState)
        raise MembershipError(f"allowed.{name}: a standing is one of {states}")
    if Permission.PLAIN not in permissions:
        raise MembershipError(f"allowed.{name}: plain sessions never wait for other brokers")
    if more := set(permissions) - ALLOWED_BY_STATE[QuorumState[name.upper()]]:
        raise MembershipError(f"allowed.{name}: {', '.join(sorted(more))} would let two brokers act at once")
