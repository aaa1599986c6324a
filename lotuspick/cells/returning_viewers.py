"""Detects returning viewers: those whose recent request was not served to the end. Memory is bounded."""

from __future__ import annotations

from xxhash import xxh3_64_intdigest

from lotuspick.cells.model import SECOND

RETENTION_US = 30 * SECOND  # a viewer that requests again within this time is a returning one


class RecentNames:
    """A set of recently added names, by hash, in two generations.

    When the current generation is full, the previous one is dropped. Entries are never evicted singly, so
    that the tables do not grow for any sequence of names.
    """

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self._current: dict[int, int] = {}  # expiry time (us) by hash of the name
        self._previous: dict[int, int] = {}

    def __len__(self) -> int:
        return len(self._current) + len(self._previous)

    def add(self, name: str, now: int) -> None:
        """Add a name at a time (us), for ``RETENTION_US``."""
        if len(self._current) >= max(1, self.capacity // 2):
            self._current, self._previous = {}, self._current
        self._current[_key(name)] = now + RETENTION_US

    def contains(self, name: str, now: int) -> bool:
        """Return whether the set contains a name at a time (us)."""
        key = _key(name)
        return (self._current.get(key) or self._previous.get(key, 0)) > now

    def discard(self, name: str) -> None:
        """Remove a name."""
        key = _key(name)
        self._current.pop(key, None)
        self._previous.pop(key, None)


class ReturningViewers:
    """Recent viewers that were not served to the end, and those that may return once without a charge.

    An empty name stands for an unknown viewer, which is never a returning one.
    """

    def __init__(self, capacity: int) -> None:
        self.recent, self.exempt_viewers = RecentNames(capacity), RecentNames(capacity)

    def remember(self, viewer: str, now: int) -> None:
        """Remember a viewer at a time (us)."""
        if viewer:
            self.recent.add(viewer, now)

    def is_returning(self, viewer: str, now: int) -> bool:
        """Return whether the viewer is a returning one at a time (us)."""
        return bool(viewer) and self.recent.contains(viewer, now)

    def forget(self, viewer: str) -> None:
        """Forget a viewer whose session ended normally: its next request is a first attempt."""
        if viewer:
            self.recent.discard(viewer)

    def grant_exemption(self, viewer: str, now: int) -> None:
        """Exempt the viewer's next return from budgets: its session was cut through no fault of its own."""
        if viewer:
            self.exempt_viewers.add(viewer, now)

    def use_exemption(self, viewer: str, now: int) -> bool:
        """Return whether the viewer had an exemption, and use it up."""
        if not viewer or not len(self.exempt_viewers) or not self.exempt_viewers.contains(viewer, now):
            return False
        self.exempt_viewers.discard(viewer)
        return True

    def apply_capacity(self, capacity: int) -> None:
        """Apply the capacity of a new plan. Remembered names are kept."""
        self.recent.capacity = self.exempt_viewers.capacity = capacity


def _key(name: str) -> int:
    return xxh3_64_intdigest(name.encode())
