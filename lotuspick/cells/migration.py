"""The stages of a migration, from its declaration and the clock alone.

Brokers share nothing and may be killed at any time, so nothing of a migration is remembered: whoever reads
the same file at the same time finds the same stage, and the same viewers migrated. Times are Unix
microseconds.
"""

from __future__ import annotations

from enum import Enum

from lotuspick.cells.model import TenantMigration


class MigrationStage(Enum):
    """The stage of a migration. The value is the word used in log lines."""

    DECLARED = "declared"
    """Its start lies ahead."""
    PREPARED = "prepared"
    """Announced and checked; no viewer goes to the new cell yet."""
    SHIFTING = "shifting"
    """Viewers go to the new cell at the stated pace, those that come again at once."""
    PAUSED = "paused"
    """The shift makes no progress."""
    DRAINING = "draining"
    """All go to the new cell; what plays in the old one counts in both."""
    DONE = "done"
    RETURNING = "returning"
    """Rolled back: viewers return to the old cell at the stated pace."""
    EMPTYING = "emptying"
    """All are back; what plays in the new cell counts in both."""
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
    """How long the migration has made progress by ``now``, without its pauses; below 0 before its start."""
    end_us = min(now, migration.rollback_us) if migration.rollback_us else now
    if end_us <= migration.start_us:
        return end_us - migration.start_us
    paused_us = sum(min(end_us, to_us) - min(end_us, begin_us) for begin_us, to_us in migration.pauses)
    return end_us - migration.start_us - paused_us


def share_at(migration: TenantMigration, now: int) -> float:
    """Fraction of the tenant's viewers that belong to the new cell, from 0 to 1."""
    shifted_us = progress_us(migration, now) - migration.prepare_us
    if shifted_us < 0:
        return 0.0
    fraction = min(1.0, shifted_us / migration.shift_us) if migration.shift_us else 1.0
    if migration.rollback_us and now >= migration.rollback_us:
        fraction -= (now - migration.rollback_us) / migration.shift_us if migration.shift_us else 1.0
    return max(0.0, fraction)


def stage_at(migration: TenantMigration, now: int) -> MigrationStage:
    """The stage at a time.

    A clock that steps back may bring an earlier one again: every stage keeps the rules by itself, so that
    this costs no session.
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
    """Whether a viewer belongs to the new cell.

    ``viewer_fraction`` is the hash of its name, from 0 up to 1: as the share only grows (or, rolled back,
    only falls), no viewer goes back and forth. One that comes again goes over at once.
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
