"""Cell plans for the emulated fleet."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import replace

from lotuspick.cells.model import Cell, FairShare, Limits, Plan, Rule, Selector, TenantMigration
from lotuspick.lab.emulator.world import World

UNLIMITED = Limits(retry_floor_per_s=1e9, open_limit=1_000_000_000)
UNLIMITED_SHARE = FairShare(contended_from=1e9, minimum_sessions=1_000_000_000)
UNLIMITED_OTHER_CELLS_RATIO = 1e9


def cell_name(block: int) -> str:
    """Return the name of the cell for a block of positions."""
    return f"c{block}"


def block_plan(
    world: World, budgets: bool = True, epoch: int = 1, moves: Sequence[TenantMigration] = ()
) -> Plan:
    """Return a plan with one cell for each block, and each tenant in the cell that stores its titles.

    Args:
        world: The world whose blocks and tenants are used; a tenant's weight is its share of the requests.
        budgets: Whether tenants have budgets; otherwise all limits are out of reach.
        epoch: Epoch of the plan.
        moves: Migrations of tenants to other cells.
    """
    spec, tenants = world.spec, world.tenants
    cells = {}
    for block in range(spec.cells):
        positions = range(block * spec.block_size, (block + 1) * spec.block_size)
        cell = Cell(cell_name(block), Selector(positions=frozenset(positions)))
        cells[cell.name] = (
            cell
            if budgets
            else replace(cell, limits=UNLIMITED, other_cells_ratio=UNLIMITED_OTHER_CELLS_RATIO)
        )
    rules = tuple(
        Rule(tenant, "*", cell_name(tenants.blocks[tenant]), tenants.shares[tenant])
        for tenant in tenants.names
    )
    plan = Plan(cells, epoch, rules=rules, migrations=tuple(moves), named_tenants=frozenset(tenants.names))
    return plan if budgets else replace(plan, tenant=UNLIMITED, fair_share=UNLIMITED_SHARE)
