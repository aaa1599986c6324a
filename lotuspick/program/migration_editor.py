"""Edits the tenant migrations in a cells file, for ``lotuspick cells move``.

Comments and the order of the file are kept. The file is replaced atomically, and only if the new plan is
valid. Each change increments the plan's epoch, since brokers apply only a newer plan.
"""

from __future__ import annotations

import tomllib
from dataclasses import dataclass
from datetime import UTC, datetime
from enum import Enum
from pathlib import Path
from typing import Any

import tomlkit

from lotuspick.cells.migration import MigrationStage, stage_at
from lotuspick.cells.model import SECOND, Plan
from lotuspick.cells.plan_file import parse
from lotuspick.errors import LotuspickError
from lotuspick.transport.storage.replaced_file import replace_file

ENDING_STAGES = frozenset(
    {MigrationStage.DONE, MigrationStage.UNDONE, MigrationStage.RETURNING, MigrationStage.EMPTYING}
)
"""Stages in which a migration can no longer be changed: it is finished, or rolled back already."""


class MigrationChange(Enum):
    """A change of a declared migration."""

    PAUSE = "pause"
    RESUME = "resume"
    ROLL_BACK = "back"


class MigrationChangeError(LotuspickError):
    """There is no migration, or its stage does not allow the change; the text gives the reason."""


@dataclass(frozen=True, slots=True)
class MigrationTimes:
    """Start of a migration, and durations of its stages."""

    start: datetime
    prepare_s: float
    shift_s: float
    drain_s: float


class MigrationEditor:
    """Editor of one cells file; nothing is written before :meth:`save`.

    Args:
        path: of the file.
        plan: the current plan in the file.
    """

    def __init__(self, path: Path, plan: Plan) -> None:
        self.path, self.plan = path, plan
        self._document = tomlkit.parse(path.read_text(encoding="utf-8"))
        self._entries: Any = self._document.setdefault("moves", tomlkit.aot())

    def declare(self, tenant: str, target_cell: str, times: MigrationTimes) -> None:
        """Declare the next migration of a tenant."""
        epochs = [entry["epoch"] for entry in self._entries_for(tenant)]
        entry = tomlkit.table()
        entry.update(
            {
                "tenant": tenant,
                "to": target_cell,
                "epoch": max(epochs, default=0) + 1,
                "start": times.start,
                "prepare_s": times.prepare_s,
                "shift_s": times.shift_s,
                "drain_s": times.drain_s,
            }
        )
        self._entries.append(entry)

    def change_last(self, tenant: str, change: MigrationChange, now: datetime) -> None:
        """Pause, resume or roll back the last migration of a tenant.

        Raises:
            MigrationChangeError: the tenant has no migration, or its stage does not allow the change.
        """
        entries = self._entries_for(tenant)
        if not entries:
            raise MigrationChangeError(f"{tenant} has no move")
        entry = entries[-1]
        pauses = entry.get("pauses", [])
        self._check_change(tenant, change, is_paused=bool(pauses) and len(pauses[-1]) == 1, now=now)
        match change:
            case MigrationChange.PAUSE:
                entry["pauses"] = [*pauses, [max(now, _to_datetime(entry["start"]))]]
            case MigrationChange.RESUME:
                paused_at = pauses[-1][0]
                entry["pauses"] = [*pauses[:-1], [paused_at, max(now, _to_datetime(paused_at))]]
            case MigrationChange.ROLL_BACK:
                entry["back"] = max(now, _to_datetime(entry["start"]))

    def save(self) -> Plan:
        """Write the file with the next epoch, and return the new plan.

        Raises:
            PlanError: the new plan is invalid; nothing is written.
            OSError: the file cannot be written.
        """
        self._document["epoch"] = self.plan.epoch + 1
        text = tomlkit.dumps(self._document)
        plan = parse(tomllib.loads(text))
        replace_file(self.path, text)
        return plan

    def _entries_for(self, tenant: str) -> list[Any]:
        return [entry for entry in self._entries if entry.get("tenant") == tenant]

    def _check_change(self, tenant: str, change: MigrationChange, is_paused: bool, now: datetime) -> None:
        migration = self.plan.last_migration_of(tenant)
        stage = stage_at(migration, int(now.timestamp() * SECOND))
        name = f"move {migration.epoch} of {tenant}"
        if stage in ENDING_STAGES:
            raise MigrationChangeError(f"{name} is {stage.value}")
        if change is MigrationChange.PAUSE and is_paused:
            raise MigrationChangeError(f"{name} is paused already")
        if change is MigrationChange.RESUME and not is_paused:
            raise MigrationChangeError(f"{name} is not paused")


def _to_datetime(value: Any) -> datetime:
    """Convert a time of the file, a datetime with its offset from UTC or Unix seconds."""
    return value if isinstance(value, datetime) else datetime.fromtimestamp(float(value), UTC)
