"""Monitoring rings: assign watchers to members. Pure.

Each member is watched by its predecessors on a fixed number of rings (Suresh et al., "Stable and Consistent
Membership at Scale with Rapid", 2018). The messages that a broker sends and the detection time therefore do
not grow with the fleet.
"""

from __future__ import annotations

from collections.abc import Callable, Container, Sequence

from xxhash import xxh3_64_intdigest


class MonitoringRings:
    """The current rings. All brokers that know the same members compute the same rings."""

    def __init__(self, count: int) -> None:
        self.count = count
        self._rings: list[list[str]] = []
        self._positions: dict[str, tuple[int, ...]] = {}  # one position per ring, by member

    def redraw(self, names: Sequence[str]) -> None:
        """Compute the rings for these members."""
        self._positions = {name: self._positions.get(name) or self._ring_positions(name) for name in names}
        self._rings = [self._ring(names, ring) for ring in range(self.count)]

    def subjects(
        self, own: str, is_alive: Callable[[str], bool], suspected: Container[str]
    ) -> dict[str, None]:
        """Return the members that a member watches, in order: on each ring its next live successor.

        If that successor is suspected, the one after it is watched too, so that several dead members in
        sequence are detected at the same time.
        """
        subjects: dict[str, None] = {}
        for ring in self._rings:
            if own not in ring:
                continue
            position = ring.index(own)
            for step in range(1, len(ring)):
                name = ring[(position + step) % len(ring)]
                if is_alive(name):
                    subjects[name] = None
                    if name not in suspected:
                        break
        return subjects

    def watchers(self, name: str) -> set[str]:
        """Return the watchers of a member: its predecessors on the rings."""
        return {ring[ring.index(name) - 1] for ring in self._rings if name in ring} - {name}

    def _ring_positions(self, name: str) -> tuple[int, ...]:
        return tuple(xxh3_64_intdigest(name.encode(), seed=ring) for ring in range(self.count))

    def _ring(self, names: Sequence[str], ring: int) -> list[str]:
        return sorted(names, key=lambda name: (self._positions[name][ring], name))
