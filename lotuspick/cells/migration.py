"""The stages of a move, from its declaration and the clock alone.

Brokers share nothing and may be killed at any time, so nothing of a move is remembered: whoever reads the
same file at the same time finds the same stage, and the same viewers migrated. Times are Unix microseconds.
"""

from __future__ import annotations

from enum import Enum

from lotuspick.cells.model import Move


class Stage(Enum):
    """The stage of a move. The value is the word used in log lines."""

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


MOVING = frozenset({Stage.SHIFTING, Stage.PAUSED, Stage.DRAINING, Stage.RETURNING, Stage.EMPTYING})
"""Stages in which the tenant's sessions count in both cells."""


def progress_us(move: Move, now: int) -> int:
    """Time for which the move has made progress by ``now``, without its pauses; below 0 before its start."""
    end_us = min(now, move.back_us) if move.back_us else now
    if end_us <= move.start_us:
        return end_us - move.start_us
    paused_us = sum(min(end_us, to_us) - min(end_us, begin_us) for begin_us, to_us in move.pauses)
    return end_us - move.start_us - paused_us


def share(move: Move, now: int) -> float:
    """Fraction of the tenant's viewers that belong to the new cell, from 0 to 1."""
    shifted_us = progress_us(move, now) - move.prepare_us
    if shifted_us < 0:
        return 0.0
    fraction = min(1.0, shifted_us / move.shift_us) if move.shift_us else 1.0
    if move.back_us and now >= move.back_us:
        fraction -= (now - move.back_us) / move.shift_us if move.shift_us else 1.0
    return max(0.0, fraction)


def stage(move: Move, now: int) -> Stage:
    """The stage at a time.

    A clock that steps back may bring an earlier one again: every stage keeps the rules by itself, so that
    this costs no session.
    """
    if now < move.start_us:
        return Stage.DECLARED
    if move.back_us and now >= move.back_us:
        return _stage_of_rollback(move, now)
    progress = progress_us(move, now)
    shifted = move.prepare_us + move.shift_us
    if progress >= shifted:
        return Stage.DRAINING if progress < shifted + move.drain_us else Stage.DONE
    if any(begin_us <= now < to_us for begin_us, to_us in move.pauses):
        return Stage.PAUSED
    return Stage.PREPARED if progress < move.prepare_us else Stage.SHIFTING


def is_migrated(move: Move, viewer_fraction: float, returned: bool, now: int) -> bool:
    """Whether a viewer belongs to the new cell.

    ``viewer_fraction`` is the hash of its name, from 0 up to 1: as the share only grows (or, rolled back,
    only falls), no viewer goes back and forth. One that comes again goes over at once.
    """
    fraction = share(move, now)
    if viewer_fraction < fraction:
        return True
    return returned and fraction > 0 and stage(move, now) is Stage.SHIFTING


def _stage_of_rollback(move: Move, now: int) -> Stage:
    if share(move, now) > 0:
        return Stage.RETURNING
    migrated = share(move, move.back_us - 1)
    since_empty_us = now - move.back_us - int(migrated * move.shift_us)
    return Stage.EMPTYING if migrated and since_empty_us < move.drain_us else Stage.UNDONE
