"""Assignment of nodes, tenants and titles to cells, and the usable holders of a title.

The assignments are computed from the plan and the server list alone, so that brokers without shared state
agree. What the plan does not name is assigned by weighted rendezvous hashing: each candidate gets a score
from the hash of its own name and the key, and the highest score wins. A candidate that joins or leaves
therefore moves only the keys that it wins or had.
"""

from __future__ import annotations

import fnmatch
import math
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass
from typing import NamedTuple

from xxhash import xxh3_64_intdigest

from lotuspick.cells.migration import COUNTED_IN_BOTH_CELLS, is_migrated, share_at, stage_at
from lotuspick.cells.model import HASH, Cell, Plan, UndersizedPolicy
from lotuspick.core.events import ServerEntry, ServerListUpdate

CACHE_LIMIT = 8_192  # entries of each cache; caches are cleared when the server list or the plan changes
NO_SERVERS = frozenset[str]()
MIN_FRACTION = 1e-18  # keeps the logarithm finite if a hash is 0


def hash_fraction(*names: str) -> float:
    """Hash names to a number from 0 up to 1, evenly distributed and equal in every broker."""
    return xxh3_64_intdigest("\0".join(names).encode()) / 2.0**64


def rendezvous(weights: Mapping[str, float], *key: str) -> str:
    """Return the candidate with the highest score for the key; each wins in proportion to its weight."""

    def score(name: str) -> tuple[float, str]:
        return -weights[name] / math.log(max(hash_fraction(*key, name), MIN_FRACTION)), name

    return max(weights, key=score)


def shuffle_shard(names: Collection[str], count: int, *key: str) -> frozenset[str]:
    """Shuffle sharding: select ``count`` of the names by the key; all of them if there are no more."""
    if len(names) <= count:
        return frozenset(names)
    return frozenset(sorted(names, key=lambda name: (hash_fraction(*key, name), name))[:count])


@dataclass(frozen=True, slots=True)
class AvailableServers:
    """The servers that a cell offers for a title. Only usable nodes are included."""

    in_cell: frozenset[str]
    """Holders of the title in the cell, or in the tenant's shard of the cell."""
    in_other_cells: frozenset[str]
    """All other holders of the title."""
    insufficient: bool
    """The cell is too small for the title."""
    spilled: frozenset[str] = NO_SERVERS
    """Holders in the cells of the spill list, in its order, as many cells as needed."""

    def overflow_servers(self, policy: UndersizedPolicy) -> frozenset[str]:
        """Return the servers of other cells that a policy permits."""
        match policy:
            case UndersizedPolicy.SPILL:
                return self.spilled
            case UndersizedPolicy.WIDEN:
                return self.in_other_cells
            case UndersizedPolicy.REFUSE:
                return NO_SERVERS


class BaseCell(NamedTuple):
    """The cell of a tenant's title before any migration."""

    name: str
    weight: float
    """The tenant's share of the cell while the cell is contended; 0: the plan sets none."""


class CellDirectory:
    """The assignments of one plan. Owns the server list, which only :meth:`update_servers` changes.

    Args:
        plan: plan of cells; it is not modified.
        positions: length of the ring of positions on which titles lie.
        servers: the initial server list.
    """

    def __init__(self, plan: Plan, positions: int, servers: Iterable[ServerEntry] = ()) -> None:
        self.plan, self.positions = plan, positions
        self.entries = {entry.server: entry for entry in servers}
        self.migrations_by_tenant = {
            tenant: [migration for migration in plan.migrations if migration.tenant == tenant]
            for tenant in {migration.tenant for migration in plan.migrations}
        }
        self._weights = {cell.name: cell.weight for cell in plan.cells.values()}
        self._weights_without_selector = {
            cell.name: cell.weight for cell in plan.cells.values() if cell.selector.is_empty
        }
        self._base_cells: dict[tuple[str, str], BaseCell] = {}
        self.tenant_weights: dict[str, float] = {}
        """By cell: the sum of the weights of the tenants that the plan assigns to it with a weight."""
        for rule in plan.rules:
            cell = rule.cell or (
                self.base_cell(rule.tenant, "").name if rule.tenant in plan.named_tenants else ""
            )
            if rule.weight and cell:
                self.tenant_weights[cell] = self.tenant_weights.get(cell, 0.0) + rule.weight
        self._assign_servers()

    # ---- nodes --------------------------------------------------------------------------------------------

    def update_servers(self, update: ServerListUpdate) -> bool:
        """Apply an update of the server list. Returns whether the list changed."""
        if update.failed:
            return False
        before = dict(self.entries)
        for entry in update.servers:
            if entry.state == "gone":
                self.entries.pop(entry.server, None)
            else:
                self.entries[entry.server] = entry
        if update.complete:
            listed_servers = {entry.server for entry in update.servers}
            self.entries = {name: entry for name, entry in self.entries.items() if name in listed_servers}
        if before == self.entries:
            return False
        self._assign_servers()
        return True

    def cell_of(self, entry: ServerEntry) -> str:
        """Return the cell of a node: the first cell of the plan that selects it. Empty: it is in no cell.

        A node that no cell selects is assigned by hash to one of the cells without a selector, by weight.
        """
        for cell in self.plan.cells.values():
            if cell.selector.matches(entry):
                return cell.name
        weights = self._weights_without_selector
        return rendezvous(weights, self.plan.salt, "node", entry.server) if weights else ""

    def matching_cells(self, entry: ServerEntry) -> list[str]:
        """Return all cells whose selector matches the node. Operators are warned of more than one."""
        return [cell.name for cell in self.plan.cells.values() if cell.selector.matches(entry)]

    def undersized_cells(self) -> dict[str, int]:
        """Return the cells with fewer usable nodes than ``holders``, each with its number of usable nodes."""
        return {
            name: len(self.servers_by_cell[name])
            for name, cell in self.plan.cells.items()
            if len(self.servers_by_cell[name]) < cell.holders
        }

    def _assign_servers(self) -> None:
        self.cell_by_server: dict[str, str] = {
            name: self.cell_of(entry) for name, entry in self.entries.items()
        }
        servers: dict[str, set[str]] = {name: set() for name in self.plan.cells}
        self._servers_by_position: dict[int, list[str]] = {}
        for name, entry in self.entries.items():
            if entry.state == "active":
                servers.get(self.cell_by_server[name], set()).add(name)
                self._servers_by_position.setdefault(entry.position % self.positions, []).append(name)
        self.servers_by_cell = {name: frozenset(members) for name, members in servers.items()}
        self._available: dict[tuple[str, str, int, int], AvailableServers] = {}

    # ---- tenants ------------------------------------------------------------------------------------------

    def base_cell(self, tenant: str, title: str) -> BaseCell:
        """Return the cell of a tenant's title before any migration."""
        key = (tenant, title)
        found = self._base_cells.get(key)
        if found is None:
            if len(self._base_cells) >= CACHE_LIMIT:
                self._base_cells.clear()
            found = self._base_cells[key] = self._find_base_cell(tenant, title)
        return found

    def cell_for(self, tenant: str, title: str, viewer: str, returned: bool, now: int) -> str:
        """Return the cell of a request at a time (us), after all migrations of the tenant up to that time."""
        cell = self.base_cell(tenant, title).name
        for migration in self.migrations_by_tenant.get(tenant, ()):
            fraction = hash_fraction(self.plan.salt, "viewer", viewer, str(migration.epoch))
            if is_migrated(migration, fraction, returned, now):
                cell = migration.target_cell
        return cell

    def cells_during_migration(self, tenant: str, title: str, now: int) -> tuple[str, ...]:
        """Return the cells that count the tenant's sessions during a migration; empty without one."""
        migrations = self.migrations_by_tenant.get(tenant, ())
        if not any(stage_at(migration, now) in COUNTED_IN_BOTH_CELLS for migration in migrations):
            return ()
        cells = [self.base_cell(tenant, title).name]
        for migration in migrations:
            if stage_at(migration, now) in COUNTED_IN_BOTH_CELLS:
                cells.append(migration.target_cell)
            elif share_at(migration, now) >= 1:
                cells = [migration.target_cell]
        return tuple(dict.fromkeys(cells))

    def _find_base_cell(self, tenant: str, title: str) -> BaseCell:
        plan, weight = self.plan, 0.0
        for rule in plan.rules:
            if fnmatch.fnmatchcase(tenant, rule.tenant) and fnmatch.fnmatchcase(title, rule.title):
                weight = weight or rule.weight
                if rule.cell:
                    return BaseCell(rule.cell, weight)
        if not tenant and plan.nameless:
            return BaseCell(plan.nameless, weight)
        if plan.default != HASH:
            return BaseCell(plan.default, weight)
        key = ("tenant", tenant) if tenant else ("title", title)
        return BaseCell(rendezvous(self._weights, plan.salt, *key), weight)

    # ---- holders ------------------------------------------------------------------------------------------

    def holders(self, home_position: int, copies: int) -> frozenset[str]:
        """Return the usable nodes that hold a title."""
        return frozenset(
            name
            for step in range(min(copies, self.positions))
            for name in self._servers_by_position.get((home_position + step) % self.positions, ())
        )

    def available_servers(self, cell: str, tenant: str, home_position: int, copies: int) -> AvailableServers:
        """Return the servers for a title that lies on ``copies`` positions from ``home_position`` on."""
        definition = self.plan.cells[cell]
        key = (cell, tenant if definition.shuffle else "", home_position, copies)
        available = self._available.get(key)
        if available is None:
            if len(self._available) >= CACHE_LIMIT:
                self._available.clear()
            available = self._available[key] = self._find_available(definition, tenant, home_position, copies)
        return available

    def shard(self, cell: Cell, tenant: str) -> frozenset[str]:
        """Return the nodes of the cell that a tenant may use."""
        servers = self.servers_by_cell[cell.name]
        if not cell.shuffle:
            return servers
        return shuffle_shard(servers, cell.shuffle, self.plan.salt, "shard", tenant)

    def _find_available(self, cell: Cell, tenant: str, home_position: int, copies: int) -> AvailableServers:
        holders = self.holders(home_position, copies)
        own = self.shard(cell, tenant) & holders
        needed = min(cell.holders, len(holders))
        spilled: set[str] = set()
        if len(own) < needed:
            for name in cell.spill:
                if len(own) + len(spilled) < needed:
                    spilled |= (self.servers_by_cell[name] & holders) - own
        insufficient = len(own) < needed or not holders
        return AvailableServers(own, holders - own, insufficient, frozenset(spilled))
