"""Trials of cells on the emulator: a retry storm of one tenant, and moves of tenants under load.

Service is the delivered value in percent of the requested value.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass, replace
from typing import Any

from lotuspick.cells.model import Plan, TenantMigration
from lotuspick.lab.emulator.audit import Answer, DayAudit
from lotuspick.lab.emulator.broker import KILLED_CAUSE
from lotuspick.lab.emulator.link_meter import METER_INTERVAL_US
from lotuspick.lab.emulator.spec import (
    SECOND_US,
    Fault,
    FaultKind,
    FlashCrowd,
    RetryStorm,
    Spec,
)
from lotuspick.lab.emulator.world import World
from lotuspick.lab.experiment.cell_plans import block_plan, cell_name
from lotuspick.lab.trial_result import Figures, Parameters, TrialResult

LARGE_TENANTS = 12
"""A storm comes from one of the largest tenants: 20 times the load of a small one has little effect."""
MOVABLE_TENANTS = 60
"""Moves are drawn among this many of the largest tenants."""
CROWD_RATE, CROWD_S = 1.5, 30.0
MOVES_DECLARED_S, MOVES_AMENDED_S = 12.0, 15.0
"""When the plan with the moves and the plan with the amended moves take effect."""
PREPARE_US, SHIFT_US, DRAIN_US = 3 * SECOND_US, 15 * SECOND_US, 70 * SECOND_US
KILL_S = 1.0


def parse_spec(world: Parameters) -> Spec:
    """Return the day of an experiment file.

    Raises:
        TypeError: A key is not a field of :class:`Spec`.
    """
    values: dict[str, Any] = {
        key: tuple(value) if isinstance(value, list) else value for key, value in world.items()
    }
    return Spec(**values)


def draw_faults(spec: Spec, random_source: random.Random) -> tuple[Fault, ...]:
    """Draw a slow node, a crashed node, a delayed endpoint list and lost notifications, at random times."""

    def draw_times(duration_s: float) -> tuple[float, float]:
        start_s = random_source.uniform(20.0, spec.day_s - duration_s - 10.0)
        return start_s, start_s + duration_s

    return (
        Fault(FaultKind.NODE_SLOW, *draw_times(12.0), random_source.randrange(spec.nodes)),
        Fault(FaultKind.NODE_CRASHED, *draw_times(15.0), random_source.randrange(spec.nodes)),
        Fault(FaultKind.ENDPOINT_LIST_DELAYED, *draw_times(15.0)),
        Fault(FaultKind.NOTIFICATIONS_LOST, *draw_times(8.0)),
    )


# ---- a retry storm ----------------------------------------------------------------------------------------


def cells(world: Parameters, arm: Parameters, seed: int) -> TrialResult:
    """Run a day with or without a retry storm of one tenant, and with or without cells and budgets.

    Args:
        world: Parameters of the day.
        arm: ``plan`` (``none``, ``cells`` or ``budgets``), ``troubles`` (whether faults are injected),
            ``storm`` (whether there is a retry storm), and ``times``, ``leaks`` and ``marked`` of the storm.
        seed: Seed of all random choices.

    Returns:
        ``others``: service of the tenants in other cells; ``same``: service of the other tenants in the
        same cell; ``own``: service of the tenant itself.
    """
    spec = parse_spec(world)
    random_source = random.Random(f"storm {seed}")
    tenant = f"t{random_source.randrange(LARGE_TENANTS):03d}"
    if arm.get("troubles"):
        spec = replace(spec, faults=draw_faults(spec, random_source))
    if arm.get("storm"):
        spec = replace(spec, storms=(_storm(spec, tenant, arm),))
    day = World(spec, seed)
    if arm["plan"] != "none":
        day = World(spec, seed, [(0.0, block_plan(day, arm["plan"] == "budgets"))])
    audit = day.run().audit
    figures: Figures = {
        **_service_by_group(day, audit, tenant),
        "broken": float(len(audit.violations)),
        "requests": float(audit.requests[tenant]),
        "nodes": float(len(audit.nodes_by_tenant.get(tenant, ()))),
        "refused": float(audit.answers[Answer.REJECTED]),
    }
    return TrialResult(figures, {})


def _storm(spec: Spec, tenant: str, arm: Parameters) -> RetryStorm:
    return RetryStorm(
        tenant,
        spec.measure_from_s + 5,
        spec.day_s - 5,
        float(arm.get("times", 20.0)),
        float(arm.get("leaks", 1.0)),
        bool(arm.get("marked", True)),
    )


def _service_by_group(day: World, audit: DayAudit, tenant: str) -> Figures:
    """Return the service of tenants in other cells, of others in the same cell, of the tenant, and of all."""
    names, blocks = day.tenants.names, day.tenants.blocks
    groups = {
        "others": {name for name in names if blocks[name] != blocks[tenant]},
        "same": {name for name in names if blocks[name] == blocks[tenant] and name != tenant},
        "own": {tenant},
        "all": set(names),
    }
    return {name: 100 * audit.service(group) for name, group in groups.items()}


# ---- moves ------------------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class MoveSchedule:
    """Moves as first declared, and after some of them were amended."""

    declared: Sequence[TenantMigration]
    amended: Sequence[TenantMigration]

    def drain_starts_us(self) -> dict[str, int]:
        """Return the end of the shift by tenant, for moves that were not amended."""
        return {
            move.tenant: move.start_us
            + move.prepare_us
            + move.shift_us
            + sum(end_us - start_us for start_us, end_us in move.pauses)
            for move in self.declared
            if self._is_unamended(move)
        }

    def _is_unamended(self, move: TenantMigration) -> bool:
        tenant_moves = [amended for amended in self.amended if amended.tenant == move.tenant]
        return len(tenant_moves) == 1 and not tenant_moves[0].rollback_us


def draw_moves(reference_world: World, tenants: Sequence[str], random_source: random.Random) -> MoveSchedule:
    """Draw moves of tenants to the next cell.

    Of every five, one is followed by a move back before it is complete, one is rolled back and one is paused.
    ``reference_world`` gives the tenants' blocks.
    """
    declared: list[TenantMigration] = []
    amended: list[TenantMigration] = []
    for index, tenant in enumerate(tenants):
        home = reference_world.tenants.blocks[tenant]
        target = cell_name((home + 1) % reference_world.spec.cells)
        start_us = int(random_source.uniform(16.0, 45.0) * SECOND_US)
        is_paused, is_moved_home, is_rolled_back = index % 5 == 3, index % 5 == 1, index % 5 == 2
        pauses = ((start_us + 8 * SECOND_US, start_us + 12 * SECOND_US),) if is_paused else ()
        move = TenantMigration(tenant, target, 1, start_us, PREPARE_US, SHIFT_US, DRAIN_US, pauses)
        declared.append(move)
        amended.append(replace(move, rollback_us=start_us + 11 * SECOND_US) if is_rolled_back else move)
        if is_moved_home:
            home_us = start_us + 12 * SECOND_US
            amended.append(
                TenantMigration(tenant, cell_name(home), 2, home_us, 2 * SECOND_US, 10 * SECOND_US, DRAIN_US)
            )
    return MoveSchedule(declared, amended)


class DrainObserver:
    """Measures how long sessions of moved tenants remain in their former cells."""

    def __init__(self, day: World, drain_starts_us: dict[str, int]) -> None:
        self.drain_times_s: dict[str, float] = {}
        """By tenant: time from the end of the shift until no session plays in the former cell."""
        self._day = day
        self._drain_starts_us = drain_starts_us

    def observe(self) -> None:
        """Check the former cells of all tenants whose shift has ended."""
        now_us = self._day.simulation.now_us
        for tenant, start_us in self._drain_starts_us.items():
            if now_us < start_us:
                continue
            if self._plays_in_former_cell(tenant):
                self.drain_times_s[tenant] = (now_us + METER_INTERVAL_US - start_us) / SECOND_US
            else:
                self.drain_times_s.setdefault(tenant, 0.0)

    def _plays_in_former_cell(self, tenant: str) -> bool:
        size, block = self._day.spec.block_size, self._day.tenants.blocks[tenant]
        nodes = self._day.cluster.nodes[block * size : (block + 1) * size]
        return any(
            stream.viewer.intent.tenant == tenant for node in nodes for stream in node.streams.values()
        )


def moves(world: Parameters, arm: Parameters, seed: int) -> TrialResult:
    """Run a day with moves under load; half of the moved tenants also have a flash crowd.

    Some brokers are killed, and some receive the plans late.

    Args:
        world: Parameters of the day.
        arm: ``moves``, ``kills`` and ``stale`` (numbers of moves, killed brokers and brokers with a stale
            plan), ``troubles`` (whether other faults are injected), ``still`` (the same day without moves).
        seed: Seed of all random choices.

    Returns:
        Sample ``drain``: seconds from the end of the shift until no session plays in the former cell.
    """
    spec = parse_spec(world)
    random_source = random.Random(f"moves {seed}")
    count, is_baseline = int(arm.get("moves", 10)), bool(arm.get("still"))
    tenants = [f"t{index:03d}" for index in random_source.sample(range(MOVABLE_TENANTS), count)]
    reference_world = World(replace(spec, wide=tuple(tenants)), seed)
    schedule = draw_moves(reference_world, tenants, random_source)
    spec = replace(
        spec,
        crowds=_flash_crowds(schedule.declared[: count // 2]),
        faults=_draw_move_faults(spec, arm, random_source),
        wide=tuple(tenants),
    )
    plans = _plans(reference_world, schedule)
    day = World(spec, seed, plans[:1] if is_baseline else plans)
    observer = DrainObserver(day, schedule.drain_starts_us())
    day.meter.observers.append(observer.observe)
    audit = day.run().audit
    figures = {
        "moves": 0.0 if is_baseline else float(len(schedule.amended)),
        **_move_figures(audit, set(tenants)),
    }
    return TrialResult(figures, {"drain": [] if is_baseline else list(observer.drain_times_s.values())})


def _flash_crowds(moves: Sequence[TenantMigration]) -> tuple[FlashCrowd, ...]:
    """Return a flash crowd for each tenant, from the start of its move on."""
    return tuple(
        FlashCrowd(move.tenant, move.start_us / SECOND_US, move.start_us / SECOND_US + CROWD_S, CROWD_RATE)
        for move in moves
    )


def _draw_move_faults(spec: Spec, arm: Parameters, random_source: random.Random) -> tuple[Fault, ...]:
    """Draw killed brokers, brokers with a stale plan, and other faults if the arm sets ``troubles``."""
    faults: list[Fault] = []
    for _ in range(int(arm.get("kills", 2))):
        at_s = random_source.uniform(18.0, 70.0)
        broker = random_source.randrange(spec.brokers)
        faults.append(Fault(FaultKind.BROKER_KILLED, at_s, at_s + KILL_S, broker))
    for _ in range(int(arm.get("stale", 2))):
        end_s = random_source.uniform(25.0, 60.0)
        broker = random_source.randrange(spec.brokers)
        faults.append(Fault(FaultKind.PLAN_STALE, 10.0, end_s, broker))
    if arm.get("troubles"):
        faults += draw_faults(spec, random_source)
    return tuple(faults)


def _plans(reference_world: World, schedule: MoveSchedule) -> list[tuple[float, Plan]]:
    return [
        (0.0, block_plan(reference_world)),
        (MOVES_DECLARED_S, block_plan(reference_world, epoch=2, moves=schedule.declared)),
        (MOVES_AMENDED_S, block_plan(reference_world, epoch=3, moves=schedule.amended)),
    ]


def _move_figures(audit: DayAudit, moved: set[str]) -> Figures:
    dropped_count = sum(
        occurrences for cause, occurrences in audit.end_causes.items() if cause.startswith("dropped")
    )
    duplicate_count = sum(occurrences > 1 for occurrences in audit.paid_set_ups.values())
    return {
        "dropped": float(dropped_count),
        "twice": float(duplicate_count),
        "broken": float(len(audit.violations)),
        "service": 100 * audit.service(),
        "moving": 100 * audit.service(moved),
        "sessions": float(audit.answers[Answer.SERVED]),
        "cut by kills": float(audit.end_causes[KILLED_CAUSE]),
    }
