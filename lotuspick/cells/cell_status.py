"""The state of one cell as observed by this broker, and whether the cell is contended. Pure."""

from __future__ import annotations

from dataclasses import dataclass, field

from lotuspick.cells.budgets import Budget, DecayingCount
from lotuspick.cells.model import SECOND, Cell

CHECK_INTERVAL_US = SECOND // 2  # interval between checks of migration stages and contention
LOAD_LIFETIME_US = 5 * SECOND  # a load report expires after this time
# Decay window of set-ups sent to other cells, and of the first attempts that they are compared with.
OTHER_CELLS_WINDOW_S = 30.0
REJECTION_WINDOW_S = 3.0  # decay window of rejections for lack of capacity
CONTENDED_FROM_REJECTIONS = 3.0  # rejections within the window that make a cell contended
MAX_LOAD = 1e6  # of a link; a larger value is invalid


@dataclass(slots=True, eq=False)
class CellStatus:
    """The state of one cell at this broker."""

    budget: Budget
    sent_to_other_cells: DecayingCount
    """Set-ups sent to nodes of other cells."""
    first_attempts: DecayingCount
    """First attempts over the same window."""
    rejections: DecayingCount
    """Rejections for lack of capacity."""
    contended: bool = False
    _checked_at_us: int = -CHECK_INTERVAL_US
    _loads: dict[str, tuple[float, int]] = field(default_factory=dict)
    """By server: the load of its link, and the time of the report (us)."""

    @classmethod
    def new(cls, cell: Cell, usual_window_s: float) -> CellStatus:
        """Create the status of a cell without observations."""
        return cls(
            Budget(cell.name, cell.limits, DecayingCount(usual_window_s)),
            DecayingCount(OTHER_CELLS_WINDOW_S),
            DecayingCount(OTHER_CELLS_WINDOW_S),
            DecayingCount(REJECTION_WINDOW_S),
        )

    def apply_plan(self, cell: Cell, usual_window_s: float) -> None:
        """Apply a new plan. Counts are kept; loads are cleared, since servers may have changed cells."""
        self.budget.apply_limits(cell.limits)
        self.budget.usual_first_attempts.window_us = usual_window_s * SECOND
        self._loads.clear()

    def report_load(self, server: str, load: float, now: int) -> None:
        """Store the load of a server's link, reported at a time (us). Ignore invalid loads."""
        if 0 <= load < MAX_LOAD:
            self._loads[server] = (load, now)

    def mean_load(self) -> float:
        """Return the mean load of the links with an unexpired report; 0 if there is none."""
        return sum(load for load, _ in self._loads.values()) / max(1, len(self._loads))

    def update_contention(self, now: int, contended_from: float) -> bool:
        """Recompute whether the cell is contended at a time (us), at most once per ``CHECK_INTERVAL_US``.

        ``contended_from`` is the mean load at which a cell becomes contended. Returns whether the state
        changed.
        """
        if 0 <= now - self._checked_at_us < CHECK_INTERVAL_US:
            return False
        self._checked_at_us = now
        expired = [
            server for server, (_, reported_us) in self._loads.items() if now - reported_us > LOAD_LIFETIME_US
        ]
        for server in expired:
            del self._loads[server]
        overloaded = bool(self._loads) and self.mean_load() >= contended_from
        before = self.contended
        self.contended = overloaded or self.rejections.read(now) >= CONTENDED_FROM_REJECTIONS
        return self.contended != before
