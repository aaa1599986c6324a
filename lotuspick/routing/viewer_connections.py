"""The viewer connections of one broker: selection of connections for releases and for eviction.

:class:`ViewerConnections` owns the statistics of each connection and the pending releases. Times are integer
microseconds of the dispatcher's clock.
"""

from __future__ import annotations

import heapq
import logging
from collections import deque
from collections.abc import Container
from dataclasses import dataclass
from enum import IntEnum

from lotuspick.routing.interfaces import ViewerConnection
from lotuspick.routing.session_table import SessionTable
from lotuspick.routing.termination import TerminationReason

log = logging.getLogger(__name__)

PENDING_RELEASE_US = 8_000_000
"""Time after which a release that found no viewer connection is dropped."""
MIN_QUIET_US = 100_000
"""Time without a message before a connection may be evicted; its next message may already be in transit."""
SHARED_SESSIONS = 3
"""A connection with more requests and sessions than this counts as shared by many viewers."""
SHARED_EVICTION_INTERVAL_US = 1_000_000
"""Minimum time between two evictions of shared connections."""


class EvictionRank(IntEnum):
    """Use of a connection; connections with the lowest rank are evicted first."""

    NO_MESSAGE = 0  # it has never sent a message
    NO_SESSION = 1
    SESSIONS = 2
    SHARED = 3  # used by many viewers


@dataclass(slots=True, eq=False)
class ConnectionStats:
    """Statistics of one viewer connection."""

    opened_at_us: int
    request_count: int = 0
    """Number of requests received on the connection."""

    def eviction_key(self, viewer: ViewerConnection, session_count: int) -> tuple[EvictionRank, int, int]:
        """Return the sort key of eviction: rank, then number of requests, then time of the last message."""
        if not viewer.last_message_us:
            return EvictionRank.NO_MESSAGE, 0, self.opened_at_us
        if not session_count:
            return EvictionRank.NO_SESSION, self.request_count, viewer.last_message_us
        usage = self.request_count + session_count
        rank = EvictionRank.SESSIONS if usage <= SHARED_SESSIONS else EvictionRank.SHARED
        return rank, usage, viewer.last_message_us


class ViewerConnections:
    """The open viewer connections, ordered by latest request, and the pending releases."""

    def __init__(self) -> None:
        """Start without connections."""
        self.stats: dict[ViewerConnection, ConnectionStats] = {}
        self._pending_releases: deque[tuple[int, str, TerminationReason]] = deque()  # expiry, session, reason
        self._shared_evicted_at_us = -SHARED_EVICTION_INTERVAL_US
        self._most_used: ViewerConnection | None = None
        self._most_used_at_us = -1  # time of the tick in which it was chosen

    @property
    def has_pending_releases(self) -> bool:
        """Whether a release waits for a viewer connection."""
        return bool(self._pending_releases)

    def add(self, viewer: ViewerConnection, now: int) -> None:
        """Add a connection that has opened and send it the pending releases."""
        self.stats[viewer] = ConnectionStats(now)
        self._most_used_at_us = -1
        pending, self._pending_releases = self._pending_releases, deque()
        for _, session, reason in pending:
            viewer.released(session, reason)

    def remove(self, viewer: ViewerConnection) -> None:
        """Remove a connection that has closed."""
        self.stats.pop(viewer, None)
        if viewer is self._most_used:
            self._most_used, self._most_used_at_us = None, -1

    def count_request(self, viewer: ViewerConnection) -> None:
        """Count a request received on a connection."""
        stats = self.stats.pop(viewer, None)
        if stats is not None:
            self.stats[viewer] = stats
            stats.request_count += 1

    def release(
        self, session: str, viewer: ViewerConnection | None, reason: TerminationReason, now: int
    ) -> None:
        """Report the end of a session on its own connection, on another open one, or on the next to open."""
        if viewer is None or not viewer.is_open:
            viewer = self._most_used_connection(now)
        if viewer is None:
            self._pending_releases.append((now + PENDING_RELEASE_US, session, reason))
        else:
            viewer.released(session, reason)

    def _most_used_connection(self, now: int) -> ViewerConnection | None:
        """Return the open connection with the most requests as of this tick; None if none is open.

        Sessions are not bound to connections, so any open one is valid, and this one is certain to be read by
        a viewer. It is chosen once in a tick, since thousands of sessions may end together.
        """
        chosen = self._most_used
        if self._most_used_at_us == now and (chosen is None or chosen.is_open):
            return chosen
        candidates = [candidate for candidate in self.stats if candidate.is_open]
        chosen = max(candidates, key=lambda candidate: self.stats[candidate].request_count, default=None)
        self._most_used, self._most_used_at_us = chosen, now
        return chosen

    def drop_expired_releases(self, now: int) -> None:
        """Drop the pending releases whose time has expired."""
        while self._pending_releases and self._pending_releases[0][0] <= now:
            _, session, reason = self._pending_releases.popleft()
            log.warning("release_expired", extra={"session": session, "reason": reason.value})

    def drop_releases_without_viewer(self) -> None:
        """Drop the pending releases if no connection is open, so that a shutdown does not wait for one."""
        if not any(viewer.is_open for viewer in self.stats):
            log.info("releases_dropped", extra={"releases": len(self._pending_releases)})
            self._pending_releases.clear()

    def eviction_candidates(
        self, limit: int, now: int, sessions: SessionTable, requesting: Container[ViewerConnection | None]
    ) -> list[ViewerConnection]:
        """Choose the connections to close for new ones, by :meth:`ConnectionStats.eviction_key`.

        Eviction must not lose a request or a session. A connection is therefore not chosen if it has an open
        request, or received any message within :data:`MIN_QUIET_US`, since the next may be in transit. Only
        one shared connection is chosen at a time, and at most one in :data:`SHARED_EVICTION_INTERVAL_US`,
        because other new connections of the same burst are not known here yet.

        Args:
            limit: maximum number of connections; choosing several avoids a new ranking for each connection of
                a burst.
            now: the current time.
            sessions: the session table.
            requesting: connections with a request in the inbox.
        """
        ranked: list[tuple[tuple[EvictionRank, int, int], ViewerConnection]] = []
        for viewer, stats in self.stats.items():
            session_ids = sessions.by_connection.get(viewer, ())
            if (
                viewer.is_open
                and viewer not in requesting
                and viewer.last_message_us <= now - MIN_QUIET_US
                and not sessions.has_open_request(viewer)
            ):
                ranked.append((stats.eviction_key(viewer, len(session_ids)), viewer))
        chosen = heapq.nsmallest(limit, ranked, key=lambda candidate: candidate[0])
        if chosen and chosen[0][0][0] is EvictionRank.SHARED:
            if now - self._shared_evicted_at_us < SHARED_EVICTION_INTERVAL_US:
                return []
            self._shared_evicted_at_us = now
        return [
            viewer
            for index, (key, viewer) in enumerate(chosen)
            if not index or key[0] is not EvictionRank.SHARED
        ]
