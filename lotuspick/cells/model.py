"""The values of a plan of cells, as read from ``deploy/cells.toml``. Immutable."""

from __future__ import annotations

import fnmatch
from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum

from netaddr import AddrFormatError, IPAddress, IPSet

from lotuspick.core.events import ServerEntry
from lotuspick.errors import LotuspickError

HASH = "hash"
SECOND = 1_000_000
FOREVER_US = 1 << 62
"""End of a pause without a declared end."""


class PlanError(LotuspickError, ValueError):
    """An invalid plan of cells. The message starts with the key at fault."""


@dataclass(frozen=True, slots=True)
class Limits:
    """Request limits of one tenant or one cell at one broker. Counts decay over ``window_s``."""

    retry_ratio: float = 0.5
    """Retries and returning viewers allowed per first attempt ..."""
    retry_floor_per_s: float = 0.03
    """... plus this many per second, so that a tenant with little traffic can return too."""
    window_s: float = 30.0
    open_limit: int = 128
    """Maximum number of unanswered set-ups."""
    retry_after_s: float = 1.0
    """Retry-after of a rejected viewer if the limit is just exceeded ..."""
    max_retry_after_s: float = 30.0
    """... growing with the excess up to this maximum ..."""
    jitter: float = 0.3
    """... with a random variation of plus or minus this fraction."""


@dataclass(frozen=True, slots=True)
class FairShare:
    """Settings for sharing a contended cell among tenants."""

    contended_from: float = 0.9
    """A cell is contended from this mean load of its links."""
    slack: float = 1.5
    """A tenant may have this multiple of its share of the sessions of a contended cell ..."""
    minimum_sessions: int = 3
    """... and at least this number of sessions."""
    usual_window_s: float = 600.0
    """The share of a tenant without a weight is that of its first attempts over about this time."""


@dataclass(frozen=True, slots=True)
class Selector:
    """Selects the nodes of a cell: nodes named by id, and nodes that match all other keys that are set."""

    nodes: tuple[str, ...] = ()
    zones: tuple[str, ...] = ()
    kinds: tuple[str, ...] = ()
    positions: frozenset[int] = frozenset()
    networks: IPSet | None = None

    @property
    def is_empty(self) -> bool:
        """Whether no key is set, so that it selects no node."""
        return not (self.nodes or self.zones or self.kinds or self.positions or self.networks is not None)

    def matches(self, entry: ServerEntry) -> bool:
        """Return whether the selector matches a node. A node without an address is in no network."""
        if any(fnmatch.fnmatchcase(entry.server, pattern) for pattern in self.nodes):
            return True
        criteria = [
            (bool(self.zones), entry.zone in self.zones),
            (bool(self.kinds), entry.kind in self.kinds),
            (bool(self.positions), entry.position in self.positions),
            (self.networks is not None, self._is_in_networks(entry.address)),
        ]
        return any(given for given, _ in criteria) and all(fits for given, fits in criteria if given)

    def _is_in_networks(self, address: str) -> bool:
        if self.networks is None or not address:
            return False
        host = address.rpartition(":")[0] or address
        try:
            return IPAddress(host.strip("[]")) in self.networks
        except (AddrFormatError, ValueError):
            return False


class UndersizedPolicy(StrEnum):
    """The policy for a title whose cell is too small. The values are those of the file."""

    SPILL = "spill"
    """Use the cells of the spill list, in order, as many as needed."""
    WIDEN = "widen"
    """Use all holders of the title."""
    REFUSE = "refuse"


@dataclass(frozen=True, slots=True)
class Cell:
    """The settings of one cell."""

    name: str
    selector: Selector = Selector()
    weight: float = 1.0
    """Relative share of the nodes and tenants that are assigned by hash."""
    shuffle: int = 0
    """Number of nodes that each tenant uses, selected by hash; 0: all nodes."""
    holders: int = 3
    """The cell is too small for a title with fewer usable holders in it, unless it contains all of them."""
    undersized_policy: UndersizedPolicy = UndersizedPolicy.WIDEN
    """Policy for titles for which the cell is too small."""
    spill: tuple[str, ...] = ()
    other_cells_ratio: float = 0.3
    """Set-ups that may use nodes of other cells, as a fraction of the cell's first attempts in 30 s."""
    limits: Limits = Limits(retry_ratio=0.5, retry_floor_per_s=0.2, open_limit=512)


@dataclass(frozen=True, slots=True)
class Rule:
    """Assigns tenants and titles by name or pattern; the first matching rule with a cell decides."""

    tenant: str = "*"
    title: str = "*"
    cell: str = ""
    """Empty: the rule only sets a weight, and later rules decide on the cell."""
    weight: float = 0.0
    """Share of a contended cell, relative to the sum of the weights there; 0: by its usual first attempts."""


@dataclass(frozen=True, slots=True)
class TenantMigration:
    """A declared migration of a tenant (``[[moves]]`` in the file). Times are Unix microseconds."""

    tenant: str
    target_cell: str
    epoch: int
    start_us: int
    prepare_us: int = 30 * SECOND
    shift_us: int = 120 * SECOND
    """Viewers are migrated evenly over this time, by a hash of their names."""
    drain_us: int = 600 * SECOND
    """After the shift, sessions that play in the old cell count in both cells for at most this time."""
    pauses: tuple[tuple[int, int], ...] = ()
    """Periods in which the shift is paused. The last one may be open: its end is then ``FOREVER_US``."""
    rollback_us: int = 0
    """Time from which viewers are migrated back, at the same rate; 0: no rollback."""


@dataclass(frozen=True, slots=True)
class Plan:
    """A parsed plan of cells."""

    cells: Mapping[str, Cell]
    epoch: int = 1
    salt: str = "lotuspick"
    default: str = HASH
    """The cell of tenants without a matching rule, or ``hash``."""
    nameless: str = ""
    """The cell of requests without a tenant; empty: as set by ``default``, hashed by title."""
    rules: tuple[Rule, ...] = ()
    migrations: tuple[TenantMigration, ...] = ()
    tenant: Limits = Limits()
    fair_share: FairShare = FairShare()
    tenants_kept: int = 4_096
    viewers_kept: int = 65_536
    named_tenants: frozenset[str] = frozenset()
    """Tenants that the file names without a pattern. Each of them always has its own budget."""

    def last_migration_of(self, tenant: str) -> TenantMigration:
        """Return the migration of a tenant that was declared last.

        Raises:
            IndexError: the tenant has no migration.
        """
        return [migration for migration in self.migrations if migration.tenant == tenant][-1]
