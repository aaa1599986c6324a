"""Tracks the cells that are too small for every title, and records each change as an operator event. Pure."""

from __future__ import annotations

from lotuspick.cells.directory import CellDirectory
from lotuspick.core.operator_events import RateLimitedEvents


class UndersizedTracker:
    """The cells that were too small at the last change of the server list or the plan."""

    def __init__(self, events: RateLimitedEvents) -> None:
        self.server_counts: dict[str, int] = {}
        """Number of usable servers of each cell that is too small."""
        self._events = events

    def update(self, now: int, directory: CellDirectory) -> None:
        """Update the cells from a directory at a time (us)."""
        undersized = directory.undersized_cells()
        for name in directory.plan.cells:
            if undersized.get(name) != self.server_counts.get(name):
                self._record(now, name, undersized.get(name), directory)
        self.server_counts = undersized

    def _record(self, now: int, name: str, server_count: int | None, directory: CellDirectory) -> None:
        """Record a change. ``server_count`` None: the cell is large enough again."""
        if server_count is None:
            event = "cell_size_restored"
        else:
            event = "cell_undersized" if server_count else "cell_empty"
        cell = directory.plan.cells[name]
        self._events.record(
            now,
            event,
            name,
            cell=name,
            servers=len(directory.servers_by_cell[name]),
            holders=cell.holders,
            policy=cell.undersized_policy.value,
        )
