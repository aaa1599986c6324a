"""Exposure figures: how many nodes one tenant can reach, and how many tenants share those nodes."""

from __future__ import annotations

import fnmatch
import statistics
from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import NamedTuple

from lotuspick.cells.directory import CellDirectory
from lotuspick.cells.model import UndersizedPolicy


@dataclass(frozen=True, slots=True)
class Exposure:
    """The reach of a set of tenants over the nodes that accept sessions."""

    nodes: int
    """Nodes of the fleet that accept sessions."""
    tenants: int
    max_nodes: int
    """The maximum number of nodes that one tenant can reach while its cells are large enough."""
    max_nodes_tenant: str
    """The tenant that can reach ``max_nodes`` nodes."""
    mean_nodes: float
    mean_nodes_with_spill: float
    """The mean with spilling and widening, where the policy of a cell permits them."""
    max_tenants_sharing: int
    """Maximum number of tenants with the same nodes, all of which are affected if one overloads its nodes."""
    unshared_tenants: int
    """Tenants whose set of nodes no other tenant has."""
    mean_overlap: float
    """Mean fraction of a tenant's nodes that a random other tenant can reach as well."""


class Reach(NamedTuple):
    """The nodes that one tenant can reach."""

    own: frozenset[str]
    """The nodes it can reach while its cells are large enough."""
    with_spill: frozenset[str]
    """Also the nodes that it can reach by spilling and widening, where the policy of a cell permits them."""


def reach(directory: CellDirectory, tenant: str) -> Reach:
    """Return the nodes that a tenant can reach.

    Declared migrations count with both of their cells.
    """
    plan = directory.plan
    cells = {
        directory.base_cell(tenant, "").name,
        *(migration.target_cell for migration in directory.migrations_by_tenant.get(tenant, ())),
    }
    cells |= {
        rule.cell
        for rule in plan.rules
        if rule.cell and fnmatch.fnmatchcase(tenant, rule.tenant) and rule.title != "*"
    }
    own: frozenset[str] = frozenset()
    overflow_servers: frozenset[str] = frozenset()
    for name in cells:
        cell = plan.cells[name]
        own |= directory.shard(cell, tenant)
        if cell.undersized_policy is UndersizedPolicy.WIDEN:
            overflow_servers |= _active(directory)
        for target in cell.spill:
            overflow_servers |= directory.servers_by_cell[target]
    return Reach(own, own | overflow_servers)


def exposure(directory: CellDirectory, tenants: Iterable[str]) -> Exposure:
    """Compute the exposure of a set of tenants.

    Raises:
        ValueError: the set is empty.
    """
    reached = {tenant: reach(directory, tenant) for tenant in tenants}
    if not reached:
        raise ValueError("exposure needs at least one tenant")
    tenants_by_nodes = Counter(nodes.own for nodes in reached.values())
    widest = max(reached, key=lambda tenant: (len(reached[tenant].own), tenant))
    return Exposure(
        nodes=len(_active(directory)),
        tenants=len(reached),
        max_nodes=len(reached[widest].own),
        max_nodes_tenant=widest,
        mean_nodes=statistics.fmean(len(nodes.own) for nodes in reached.values()),
        mean_nodes_with_spill=statistics.fmean(len(nodes.with_spill) for nodes in reached.values()),
        max_tenants_sharing=max(tenants_by_nodes.values()),
        unshared_tenants=sum(count == 1 for count in tenants_by_nodes.values()),
        mean_overlap=_mean_overlap(tenants_by_nodes, len(reached)),
    )


def _active(directory: CellDirectory) -> frozenset[str]:
    return frozenset(name for name, entry in directory.entries.items() if entry.state == "active")


def _mean_overlap(tenants_by_nodes: Mapping[frozenset[str], int], tenants: int) -> float:
    """Sum over distinct sets of nodes instead of pairs of tenants: without shuffling there are few sets."""
    if tenants <= 1:
        return 0.0
    overlap = sum(
        count * (other_count - (own == other)) * len(own & other) / len(own)
        for own, count in tenants_by_nodes.items()
        if own
        for other, other_count in tenants_by_nodes.items()
    )
    return overlap / (tenants * (tenants - 1))
