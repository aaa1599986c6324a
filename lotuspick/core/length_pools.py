"""The length pools of a link: what each has left, and how a session's use is spread over them."""

from __future__ import annotations

from lotuspick.core.state import ServerState
from lotuspick.core.tuning import POOL_COUNT


def free_shares(server: ServerState, load: float, pool_sizes: list[float]) -> list[float]:
    """What each pool has left of its share of the link; other brokers' use is spread over all pools."""
    link = server.link
    others = max(0.0, load - link.own_kb_per_s / link.kb_per_s) / POOL_COUNT
    return [max(0.0, size - own / link.kb_per_s - others) for size, own in zip(pool_sizes, server.pools)]


def draw_shares(share: float, free: list[float], pool: int) -> list[float]:
    """Draw a share of the link from a pool and then from those below it."""
    draws, needed = [0.0] * POOL_COUNT, share
    for index in range(pool, -1, -1):
        draws[index] = min(needed, free[index])
        needed -= draws[index]
    draws[pool] += needed  # Only where the load is so low that pools do not bind.
    return draws
