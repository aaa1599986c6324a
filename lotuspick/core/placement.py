"""Placement: the choice of server and rung for a session.

Each link is split into length pools, sized by popularity times length (popularity-based bandwidth
prepartitioning). A session fits on a server if its own pool and the pools below it have enough free capacity.
It gets the highest rung that fits, and draws from its own pool first. docs/design.md lists the exceptions.
"""

from __future__ import annotations

from typing import Any

from lotuspick.core import tuning
from lotuspick.core.context import BrokerContext
from lotuspick.core.events import EndpointState
from lotuspick.core.rung_control import RungControl
from lotuspick.core.slow_start import SlowStart
from lotuspick.core.state import Fit, Loads, ServerState, SessionState


class Placement:
    """Chooses the server and the rung of a session."""

    def __init__(self, context: BrokerContext, rungs: RungControl, slow_start: SlowStart) -> None:
        self.context = context
        self.rungs = rungs
        self.slow_start = slow_start
        self.fits = dict[tuple[Any, ...], Fit | None]()
        """Cached fits for the current call; see :meth:`fit`."""

    def choose(self, session: SessionState, loads: Loads) -> tuple[ServerState, Fit] | None:
        """Return the server with the highest rung, then the lowest load; None if the session fits on none."""
        context, constraint = self.context, session.constraint
        settings = context.settings
        fits = [
            (server, fit)
            for position in session.request.holder_positions(settings.positions)
            for server in context.servers_by_position.get(position, ())
            if self.is_usable(server)
            and server.entry.server not in session.tried_servers
            and constraint.admits(server.entry.server)
            and (fit := self.fit(session, server, loads)) is not None
        ]
        if not fits:
            return None
        cross_zone_load = settings.cross_zone_price * tuning.CROSS_ZONE_LOAD_PER_PRICE

        def preference(candidate: tuple[ServerState, Fit]) -> tuple[int, float]:
            server, (rung, _, load) = candidate
            return rung, (
                -load
                - (server.entry.zone != settings.zone) * cross_zone_load
                - constraint.costs.get(server.entry.server, 0.0)
                - context.random.random() * tuning.PLACEMENT_JITTER
            )

        return max(fits, key=preference)

    def is_usable(self, server: ServerState) -> bool:
        """Return whether a server may get an attempt now."""
        now = self.context.now
        return (
            server.listed
            and server.entry.state == EndpointState.ACTIVE
            and now >= server.ejected_until
            and len(server.sessions) + server.other_streams < server.stream_limit
            and (now >= server.warm_at or self.slow_start.slow_start_allows(server))
        )

    def fit(self, session: SessionState, server: ServerState, loads: Loads) -> Fit | None:
        """Return the highest rung that fits on a server.

        The result is cached for sessions of the same class, pool and highest rung until a session is
        forwarded to the server.
        """
        highest = self.rungs.highest_rung(session)
        used, uplink_used = server.link.own_kb_per_s, server.uplink.own_kb_per_s
        key = (server, session.session_class.name, session.pool, highest, used, uplink_used)
        if key in self.fits:
            return self.fits[key]
        return self.fits.setdefault(key, self._find_fit(session, server, highest, loads))

    def _find_fit(self, session: SessionState, server: ServerState, highest: int, loads: Loads) -> Fit | None:
        link, uplink, session_class, rungs = server.link, server.uplink, session.session_class, self.rungs
        now, ladder, scale = self.context.now, rungs.ladder, session_class.bitrate_scale
        load, uplink_load = (
            link.load(loads.average_link_load, now),
            uplink.load(loads.average_uplink_load, now),
        )
        if server.claims:
            load += self.context.hint_trust.load_correction(server, load, now)
        lowest_kb_per_s = ladder[session_class.lowest_rung] * scale
        lowest_load = max(
            load + lowest_kb_per_s / link.kb_per_s, uplink_load + lowest_kb_per_s / uplink.kb_per_s
        )
        if lowest_load > rungs.load_limit(session_class, session_class.lowest_rung):
            return None
        free = free_shares(server, load, loads.pool_sizes)
        free_capacity = sum(free[: session.pool + 1])
        for rung in range(highest, session_class.lowest_rung - 1, -1):
            kb_per_s = ladder[rung] * scale
            share = kb_per_s / link.kb_per_s
            new_load = max(load + share, uplink_load + kb_per_s / uplink.kb_per_s)
            if new_load > rungs.load_limit(session_class, rung):
                continue
            if new_load <= tuning.POOL_ENFORCEMENT_LOAD or share <= free_capacity:
                draws = draw_shares(share, free, session.pool)
                return Fit(rung, [draw * link.kb_per_s for draw in draws], new_load)
        return None


def free_shares(server: ServerState, load: float, pool_sizes: list[float]) -> list[float]:
    """Return the free share of the link in each pool; the use of other brokers is spread over all pools."""
    link = server.link
    other_brokers = max(0.0, load - link.own_kb_per_s / link.kb_per_s) / tuning.POOL_COUNT
    return [
        max(0.0, size - own / link.kb_per_s - other_brokers) for size, own in zip(pool_sizes, server.pools)
    ]


def draw_shares(share: float, free: list[float], pool: int) -> list[float]:
    """Split a share of the link into draws from a pool and then from the pools below it."""
    draws, needed = [0.0] * tuning.POOL_COUNT, share
    for index in range(pool, -1, -1):
        draws[index] = min(needed, free[index])
        needed -= draws[index]
    draws[pool] += needed  # Nonzero only below POOL_ENFORCEMENT_LOAD, where pools set no limit.
    return draws
