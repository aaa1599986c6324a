"""Tracks the stages of a plan's migrations, and records each change as an operator event. Pure."""

from __future__ import annotations

from collections.abc import Callable

from lotuspick.cells.directory import CellDirectory
from lotuspick.cells.migration import COUNTED_IN_BOTH_CELLS, MigrationStage, share_at, stage_at
from lotuspick.cells.model import TenantMigration
from lotuspick.core.operator_events import RateLimitedEvents


class MigrationTracker:
    """The last observed stage of each migration, by tenant and epoch."""

    def __init__(self, events: RateLimitedEvents, playing_of: Callable[[str], int]) -> None:
        self.stages: dict[tuple[str, int], MigrationStage] = {}
        self._events, self._playing_of = events, playing_of

    def update(self, now: int, directory: CellDirectory) -> bool:
        """Update the stages to a time (us). Returns whether sessions must be counted again."""
        recount = False
        for migration in directory.plan.migrations:
            key, current = (migration.tenant, migration.epoch), stage_at(migration, now)
            before = self.stages.get(key)
            if before is current:
                continue
            self.stages[key] = current
            recount = recount or current in COUNTED_IN_BOTH_CELLS or before in COUNTED_IN_BOTH_CELLS
            self._record(now, migration, current, directory)
        if len(self.stages) > len(directory.plan.migrations):
            declared = {(migration.tenant, migration.epoch) for migration in directory.plan.migrations}
            self.stages = {key: current for key, current in self.stages.items() if key in declared}
        return recount

    def _record(
        self, now: int, migration: TenantMigration, current: MigrationStage, directory: CellDirectory
    ) -> None:
        self._events.record(
            now,
            "migration_stage_changed",
            f"{migration.tenant} {migration.epoch} {current.value}",
            tenant=migration.tenant,
            epoch=migration.epoch,
            stage=current.value,
            source_cell=directory.base_cell(migration.tenant, "").name,
            target_cell=migration.target_cell,
            share=round(share_at(migration, now), 3),
            servers=len(directory.servers_by_cell[migration.target_cell]),
            playing=self._playing_of(migration.tenant),
        )
