"""The sessions of this broker, and the cells and budgets in which each counts. Pure."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from lotuspick.cells.budgets import Budget
from lotuspick.cells.cell_status import CellStatus
from lotuspick.cells.directory import CellDirectory
from lotuspick.core.events import SessionRequest


@dataclass(slots=True, eq=False)
class CellSession:
    """One session, from its first request to its end."""

    request: SessionRequest
    tenant: Budget
    cell: str
    """The cell that admitted it."""
    server: str = ""
    attempts: int = 0
    retry_pending: bool = False
    """An attempt has ended, and a retry may follow."""
    playing: bool = False
    counted_in: tuple[str, ...] = ()
    """Cells in which the session counts."""


class SessionCounts:
    """Owns the sessions. The budgets of tenants and cells count exactly these sessions."""

    def __init__(self, directory: CellDirectory, statuses: Mapping[str, CellStatus]) -> None:
        self.sessions: dict[str, CellSession] = {}
        self._directory, self._statuses = directory, statuses

    def open(self, session: CellSession, now: int) -> None:
        """Add a session with an open set-up at a time (us)."""
        self.sessions[session.request.session] = session
        for budget in (session.tenant, self._statuses[session.cell].budget):
            budget.open_setups += 1
        self.count(session, now)

    def count(self, session: CellSession, now: int) -> None:
        """Count a session in the cell where it plays; before that, in the cell that admitted it.

        During a migration of its tenant it counts in every cell of the migration.
        """
        cell = self._directory.cell_by_server.get(session.server, "") or session.cell
        request = session.request
        cells = (cell, *self._directory.cells_during_migration(request.tenant, request.title, now))
        cells = tuple(name for name in dict.fromkeys(cells) if name in self._statuses)
        if cells != session.counted_in:
            self._uncount(session)
            session.counted_in = cells
            for name in cells:
                session.tenant.count_session(name, 1)
                self._statuses[name].budget.count_session(name, 1)

    def recount(self, now: int) -> None:
        """Count all sessions again after a change of servers or migration stages."""
        for session in self.sessions.values():
            self.count(session, now)

    def change_cell(self, session: CellSession, cell: str) -> None:
        """Move the open set-up of a session to another cell."""
        if cell != session.cell:
            self._statuses[session.cell].budget.open_setups -= 1
            self._statuses[cell].budget.open_setups += 1
            session.cell = cell

    def start_playing(self, session: CellSession) -> None:
        """Mark a session as playing and close its set-up."""
        session.playing = True
        self._close_setup(session)

    def remove(self, session: CellSession) -> None:
        """Remove a session."""
        if not session.playing:
            self._close_setup(session)
        self._uncount(session)
        self.sessions.pop(session.request.session, None)

    def uncount_all(self) -> None:
        """Remove all sessions from the counts, before a new plan is applied."""
        for session in self.sessions.values():
            self._uncount(session)

    def apply_plan(self, directory: CellDirectory, statuses: Mapping[str, CellStatus], now: int) -> None:
        """Apply a new plan at a time (us).

        Sessions of a removed cell get the cell that their tenant belongs to under the new plan.
        """
        self._directory, self._statuses = directory, statuses
        for session in self.sessions.values():
            if session.cell not in statuses:
                request = session.request
                session.cell = directory.cell_for(request.tenant, request.title, request.viewer, False, now)
                if not session.playing:
                    statuses[session.cell].budget.open_setups += 1

    def playing_of(self, tenant: str) -> int:
        """Return the number of a tenant's playing sessions."""
        return sum(session.playing for session in self.sessions.values() if session.request.tenant == tenant)

    def _close_setup(self, session: CellSession) -> None:
        session.tenant.open_setups -= 1
        status = self._statuses.get(session.cell)
        if status is not None:
            status.budget.open_setups -= 1

    def _uncount(self, session: CellSession) -> None:
        for name in session.counted_in:
            session.tenant.count_session(name, -1)
            if name in self._statuses:
                self._statuses[name].budget.count_session(name, -1)
        session.counted_in = ()
