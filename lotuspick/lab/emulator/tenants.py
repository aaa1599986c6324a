"""Tenants, and the positions at which their titles are stored."""

from __future__ import annotations

import random
from bisect import bisect
from dataclasses import dataclass
from itertools import accumulate

from lotuspick.lab.emulator.simulation import Simulation

STRAY_COPIES = 3


@dataclass(frozen=True, slots=True)
class Title:
    """A title, stored on ``copies`` consecutive positions from ``home`` on."""

    name: str
    home: int
    copies: int
    bitrate_factor: float
    """Ratio of its actual bitrate to that of the ladder."""


class TenantPopulation:
    """Tenants by descending size, each with its block of positions and its titles."""

    def __init__(self, simulation: Simulation) -> None:
        spec = simulation.spec
        self._simulation = simulation
        self.names = [f"t{index:03d}" for index in range(spec.tenants)]
        weights = [1 / (index + 1) ** spec.skew for index in range(spec.tenants)]
        self.shares = {tenant: weight / sum(weights) for tenant, weight in zip(self.names, weights)}
        """Share of all requests by tenant."""
        self.blocks = self._assign_blocks()
        """Block number by tenant."""
        self._cumulative_shares = list(accumulate(self.shares.values()))
        self.titles = {
            tenant: [self._place_title(tenant, index) for index in range(spec.lessons)]
            for tenant in self.names
        }

    def _assign_blocks(self) -> dict[str, int]:
        """Assign tenants to blocks, largest first, each to the block with the lowest load so far."""
        blocks: dict[str, int] = {}
        loads = [0.0] * self._simulation.spec.cells
        for tenant, share in self.shares.items():
            blocks[tenant] = loads.index(min(loads))
            loads[blocks[tenant]] += share
        return blocks

    def _place_title(self, tenant: str, index: int) -> Title:
        spec = self._simulation.spec
        random_source = self._simulation.random_stream(f"{tenant} lesson {index}")
        block_start = spec.block_size * self.blocks[tenant]
        home, copies = block_start + random_source.randrange(2), random_source.randint(*spec.copies)
        if random_source.random() < spec.strays:
            home, copies = random_source.randrange(spec.nodes), STRAY_COPIES
        if tenant in spec.wide:
            home, copies = block_start, 2 * spec.block_size
        return Title(f"{tenant}-{index}", home, copies, random_source.uniform(0.85, 1.15))

    def draw_tenant(self, random_source: random.Random) -> str:
        """Draw a tenant, weighted by its share of the requests."""
        index = bisect(self._cumulative_shares, random_source.random())
        return self.names[min(index, len(self.names) - 1)]
