"""The stages of a migration, computed from its declaration and the clock alone.

Brokers share no state and may be killed at any time, so no state of a migration is stored: brokers that read
the same file at the same time compute the same stage and the same migrated viewers. Times are Unix
microseconds.
"""

from __future__ import annotations

from enum import Enum

from lotuspick.cells.model import TenantMigration


class MigrationStage(Enum):
    """The stage of a migration. The values are used in log lines."""

    DECLARED = "declared"
    """Its start is in the future."""
    PREPARED = "prepared"
    """Announced and checked; no viewer is assigned to the new cell yet."""
    SHIFTING = "shifting"
    """Viewers migrate to the new cell at the configured rate; returning viewers migrate at once."""
    PAUSED = "paused"
    """The shift is paused."""
    DRAINING = "draining"
    """All viewers belong to the new cell; sessions that play in the old cell count in both."""
    DONE = "done"
    RETURNING = "returning"
    """Rolled back: viewers migrate back to the old cell at the configured rate."""
    EMPTYING = "emptying"
    """All viewers belong to the old cell again; sessions that play in the new cell count in both."""
    UNDONE = "undone"


COUNTED_IN_BOTH_CELLS = frozenset(
    {
        MigrationStage.SHIFTING,
        MigrationStage.PAUSED,
        MigrationStage.DRAINING,
        MigrationStage.RETURNING,
        MigrationStage.EMPTYING,
    }
)
"""Stages in which the tenant's sessions count in both cells."""


def progress_us(migration: TenantMigration, now: int) -> int:
    """Return the time (us) of progress up to ``now``, without pauses; negative before the start."""
    end_us = min(now, migration.rollback_us) if migration.rollback_us else now
    if end_us <= migration.start_us:
        return end_us - migration.start_us
    paused_us = sum(min(end_us, to_us) - min(end_us, begin_us) for begin_us, to_us in migration.pauses)
    return end_us - migration.start_us - paused_us


def share_at(migration: TenantMigration, now: int) -> float:
    """Return the fraction of the tenant's viewers that belong to the new cell, from 0 to 1."""
    shifted_us = progress_us(migration, now) - migration.prepare_us
    if shifted_us < 0:
        return 0.0
    fraction = min(1.0, shifted_us / migration.shift_us) if migration.shift_us else 1.0
    if migration.rollback_us and now >= migration.rollback_us:
        fraction -= (now - migration.rollback_us) / migration.shift_us if migration.shift_us else 1.0
    return max(0.0, fraction)


def stage_at(migration: TenantMigration, now: int) -> MigrationStage:
    """Return the stage at a time.

    A clock that steps back may return to an earlier stage. No session is lost, since the rules of each stage
    do not depend on the stages before it.
    """
    if now < migration.start_us:
        return MigrationStage.DECLARED
    if migration.rollback_us and now >= migration.rollback_us:
        return _stage_of_rollback(migration, now)
    progress = progress_us(migration, now)
    shifted = migration.prepare_us + migration.shift_us
    if progress >= shifted:
        return MigrationStage.DRAINING if progress < shifted + migration.drain_us else MigrationStage.DONE
    if any(begin_us <= now < to_us for begin_us, to_us in migration.pauses):
        return MigrationStage.PAUSED
    return MigrationStage.PREPARED if progress < migration.prepare_us else MigrationStage.SHIFTING


def is_migrated(migration: TenantMigration, viewer_fraction: float, returned: bool, now: int) -> bool:
    """Return whether a viewer belongs to the new cell.

    ``viewer_fraction`` is the hash of the viewer's name, from 0 up to 1. The migrated share only grows (or,
    after a rollback, only shrinks), so no viewer migrates back and forth. A returning viewer migrates at
    once.
    """
    fraction = share_at(migration, now)
    if viewer_fraction < fraction:
        return True
    return returned and fraction > 0 and stage_at(migration, now) is MigrationStage.SHIFTING


def _stage_of_rollback(migration: TenantMigration, now: int) -> MigrationStage:
    if share_at(migration, now) > 0:
        return MigrationStage.RETURNING
    migrated = share_at(migration, migration.rollback_us - 1)
    since_empty_us = now - migration.rollback_us - int(migrated * migration.shift_us)
    return (
        MigrationStage.EMPTYING if migrated and since_empty_us < migration.drain_us else MigrationStage.UNDONE
    )
