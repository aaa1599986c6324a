"""Follows the stages of the moves of a plan, and records each change for operators. Pure."""

from __future__ import annotations

from collections.abc import Callable

from lotuspick.cells.directory import CellDirectory
from lotuspick.cells.migration import MOVING, Stage, share, stage
from lotuspick.cells.model import Move
from lotuspick.core.operator_events import RateLimitedEvents


class MoveTracker:
    """The stage of each move, by tenant and epoch, as it was last seen."""

    def __init__(self, events: RateLimitedEvents, playing_of: Callable[[str], int]) -> None:
        self.stages: dict[tuple[str, int], Stage] = {}
        self._events, self._playing_of = events, playing_of

    def update(self, now: int, directory: CellDirectory) -> bool:
        """Take the stages at a time (us). Returns whether sessions may count in other cells now."""
        recount = False
        for move in directory.plan.moves:
            key, current = (move.tenant, move.epoch), stage(move, now)
            before = self.stages.get(key)
            if before is current:
                continue
            self.stages[key] = current
            recount = recount or current in MOVING or before in MOVING
            self._record(now, move, current, directory)
        if len(self.stages) > len(directory.plan.moves):
            declared = {(move.tenant, move.epoch) for move in directory.plan.moves}
            self.stages = {key: current for key, current in self.stages.items() if key in declared}
        return recount

    def _record(self, now: int, move: Move, current: Stage, directory: CellDirectory) -> None:
        self._events.record(
            now,
            "move",
            f"{move.tenant} {move.epoch} {current.value}",
            tenant=move.tenant,
            epoch=move.epoch,
            stage=current.value,
            cell=directory.base_cell(move.tenant, "")[0],
            to=move.to,
            share=round(share(move, now), 3),
            nodes=len(directory.servers_by_cell[move.to]),
            stand=self._playing_of(move.tenant),
        )
