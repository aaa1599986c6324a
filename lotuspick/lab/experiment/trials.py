"""What an arm of an experiment may play. Each trial takes the world, the arm and a seed; it returns figures, and
samples that are put together over seeds. Worth is in points of 100."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import replace
from typing import Any

from lotuspick.cells.model import Cell, FairShare, Limits, Move, Plan, Rule, Selector
from lotuspick.lab.emulator.audit import Answer
from lotuspick.lab.emulator.link_meter import METER_US
from lotuspick.lab.emulator.spec import SECOND_US, Fault, FaultKind, FlashCrowd, RetryStorm, Spec
from lotuspick.lab.emulator.world import World
from lotuspick.lab.experiment.cost import cost
from lotuspick.lab.fleet.trial import fleet
from lotuspick.lab.load.trial import load
from lotuspick.lab.net.trial import membership
from lotuspick.lab.seats.cost import cost as seats_cost
from lotuspick.lab.seats.trial import seats

Found = tuple[dict[str, float], dict[str, list[float]]]
FREE = Limits(retry_floor_per_s=1e9, open_limit=1_000_000_000)


def blocks(world: World, budgets: bool = True, epoch: int = 1, moves: tuple[Move, ...] = ()) -> Plan:
    """Cells as the operators of the emulated fleet would draw them: a block of positions each, tenants where their
    lessons were laid, weighed by what they usually ask. Without budgets nobody is limited."""
    spec = world.spec
    size = spec.nodes // spec.cells
    cells = {}
    for at in range(spec.cells):
        selector = Selector(positions=frozenset(range(at * size, (at + 1) * size)))
        cell = Cell(f"c{at}", selector)
        cells[cell.name] = cell if budgets else replace(cell, limits=FREE, elsewhere=1e9)
    rules = tuple(
        Rule(tenant, "*", f"c{world.tenants.blocks[tenant]}", world.tenants.shares[tenant])
        for tenant in world.tenants.names
    )
    named = frozenset(world.tenants.names)
    plan = Plan(cells, epoch, rules=rules, moves=moves, named=named)
    return (
        plan
        if budgets
        else replace(
            plan, tenant=FREE, fair_share=FairShare(contended_from=1e9, minimum_sessions=1_000_000_000)
        )
    )


def world_of(told: dict[str, Any]) -> Spec:
    """The world of a file. Raises ``TypeError`` naming a key that it has not."""
    values: dict[str, Any] = {
        key: tuple(value) if isinstance(value, list) else value for key, value in told.items()
    }
    return Spec(**values)


def troubles(spec: Spec, draw: random.Random) -> tuple[Fault, ...]:
    """A slow node, a dead one, a late roster and silent notes, somewhere in the day."""

    def when(long_s: float) -> tuple[float, float]:
        start = draw.uniform(20.0, spec.day_s - long_s - 10.0)
        return start, start + long_s

    return (
        Fault(FaultKind.NODE_SLOW, *when(12.0), draw.randrange(spec.nodes)),
        Fault(FaultKind.NODE_DEAD, *when(15.0), draw.randrange(spec.nodes)),
        Fault(FaultKind.ENDPOINT_LIST_LATE, *when(15.0)),
        Fault(FaultKind.NOTIFICATIONS_MUTE, *when(8.0)),
    )


def cells(told: dict[str, Any], arm: dict[str, Any], seed: int) -> Found:
    """A day with or without a storm of one tenant, with or without cells and budgets. ``others``: service of the
    tenants of other cells; ``same``: of the other tenants of its cell; ``own``: its own viewers'."""
    spec = world_of(told)
    draw = random.Random(f"storm {seed}")
    tenant = (
        f"t{draw.randrange(12):03d}"  # one of the larger ones: what a small one asks at 20 times is little
    )
    if arm.get("troubles"):
        spec = replace(spec, faults=troubles(spec, draw))
    if arm.get("storm"):
        storm = RetryStorm(
            tenant,
            spec.measure_from_s + 5,
            spec.day_s - 5,
            float(arm.get("times", 20.0)),
            float(arm.get("leaks", 1.0)),
            bool(arm.get("marked", True)),
        )
        spec = replace(spec, storms=(storm,))
    world = World(spec, seed)
    if arm["plan"] != "none":
        world = World(spec, seed, [(0.0, blocks(world, arm["plan"] == "budgets"))])
    day = world.play()
    home = world.tenants.blocks[tenant]
    groups = {
        "others": {each for each in world.tenants.names if world.tenants.blocks[each] != home},
        "same": {
            each for each in world.tenants.names if world.tenants.blocks[each] == home and each != tenant
        },
        "own": {tenant},
        "all": set(world.tenants.names),
    }
    row = {name: 100 * day.audit.service(group) for name, group in groups.items()}
    row |= {
        "broken": float(len(day.audit.violations)),
        "requests": float(day.audit.requests[tenant]),
        "nodes": float(len(day.audit.nodes_by_tenant.get(tenant, ()))),
        "refused": float(day.audit.answers[Answer.REJECTED]),
    }
    return row, {}


def moves(told: dict[str, Any], arm: dict[str, Any], seed: int) -> Found:
    """Ten moves under load, half of them in a crowd, with brokers killed and brokers that hear late; some are moved
    on before they are done, some taken back; with ``still`` the same day without the moves. ``drain``: seconds from the
    end of the shift until nothing stands in the cell that was left."""
    spec = world_of(told)
    draw = random.Random(f"moves {seed}")
    count = int(arm.get("moves", 10))
    tenants = [f"t{index:03d}" for index in draw.sample(range(60), count)]
    crowds = tuple(FlashCrowd(tenant, 0.0, 0.0, 1.5) for tenant in tenants[: count // 2])
    scout = World(replace(spec, wide=tuple(tenants)), seed)
    first: list[Move] = []
    later: list[Move] = []
    for at, tenant in enumerate(tenants):
        target = f"c{(scout.tenants.blocks[tenant] + 1) % spec.cells}"
        start = int(draw.uniform(16.0, 45.0) * SECOND_US)
        pauses = ((start + 8 * SECOND_US, start + 12 * SECOND_US),) if at % 5 == 3 else ()
        move = Move(tenant, target, 1, start, 3 * SECOND_US, 15 * SECOND_US, 70 * SECOND_US, pauses)
        first.append(move)
        if at % 5 == 1:  # moved back home before the first move is done
            later += [
                move,
                Move(
                    tenant,
                    f"c{scout.tenants.blocks[tenant]}",
                    2,
                    start + 12 * SECOND_US,
                    2 * SECOND_US,
                    10 * SECOND_US,
                    70 * SECOND_US,
                ),
            ]
        elif at % 5 == 2:
            later.append(replace(move, back_us=start + 11 * SECOND_US))
        else:
            later.append(move)
    crowds = tuple(
        replace(crowd, start_s=move.start_us / SECOND_US, end_s=move.start_us / SECOND_US + 30.0)
        for crowd, move in zip(crowds, first)
    )
    noise = []
    for _ in range(int(arm.get("kills", 2))):
        at_s = draw.uniform(18.0, 70.0)
        noise.append(Fault(FaultKind.BROKER_KILLED, at_s, at_s + 1.0, draw.randrange(spec.brokers)))
    for _ in range(int(arm.get("stale", 2))):
        noise.append(
            Fault(FaultKind.PLAN_STALE, 10.0, draw.uniform(25.0, 60.0), draw.randrange(spec.brokers))
        )
    noise += troubles(spec, draw) if arm.get("troubles") else ()
    spec = replace(spec, crowds=crowds, faults=tuple(noise), wide=tuple(tenants))
    plans = [
        (0.0, blocks(scout)),
        (12.0, blocks(scout, epoch=2, moves=tuple(first))),
        (15.0, blocks(scout, epoch=3, moves=tuple(later))),
    ]
    if arm.get("still"):  # the same day, and nobody is moved
        plans = plans[:1]
    world = World(spec, seed, plans)
    drains: dict[str, float] = {}
    ends = {
        move.tenant: move.start_us + move.prepare_us + move.shift_us + sum(to - at for at, to in move.pauses)
        for move in first
        if len([each for each in later if each.tenant == move.tenant]) == 1
        and not any(each.back_us for each in later if each.tenant == move.tenant)
    }
    size = spec.nodes // spec.cells

    def look() -> None:
        for tenant, end_us in ends.items():
            if world.simulation.now_us >= end_us:
                old = world.cluster.nodes[
                    world.tenants.blocks[tenant] * size : (world.tenants.blocks[tenant] + 1) * size
                ]
                if any(
                    stream.viewer.intent.tenant == tenant for node in old for stream in node.streams.values()
                ):
                    drains[tenant] = (world.simulation.now_us + METER_US - end_us) / SECOND_US
                else:
                    drains.setdefault(tenant, 0.0)

    world.meter.observers.append(look)
    day = world.play()
    audit = day.audit
    dropped = sum(times for cause, times in audit.ends.items() if cause.startswith("dropped"))
    twice = sum(times > 1 for times in audit.paid_set_ups.values())
    return {
        "moves": 0.0 if arm.get("still") else float(len(later)),
        "dropped": float(dropped),
        "twice": float(twice),
        "broken": float(len(audit.violations)),
        "service": 100 * audit.service(),
        "moving": 100 * audit.service(set(tenants)),
        "sessions": float(audit.answers[Answer.SERVED]),
        "cut by kills": float(audit.ends["broker killed"]),
    }, {"drain": [] if arm.get("still") else list(drains.values())}


TRIALS: dict[str, Callable[[dict[str, Any], dict[str, Any], int], Found]] = {
    "cells": cells,
    "moves": moves,
    "cost": cost,
    "seats": seats,
    "seats-cost": seats_cost,
    "load": load,
    "membership": membership,
    "fleet": fleet,
}
