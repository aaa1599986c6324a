"""Routes calls by server id to the pool for the server's protocol: HTTP media nodes or edge servers."""

from __future__ import annotations

from lotuspick.routing.interfaces import AttemptRequest, EdgeServers
from lotuspick.routing.termination import TerminationReason
from lotuspick.transport.http.media_nodes import MediaNodePool


class EdgeServerRouter:
    """A :class:`lotuspick.routing.interfaces.EdgeServers` over the two pools."""

    def __init__(self, nodes: MediaNodePool, edge_servers: EdgeServers) -> None:
        self.nodes, self.edge_servers = nodes, edge_servers

    def start_attempt(self, server: str, request: AttemptRequest) -> TerminationReason | None:
        """Send or queue an attempt; returns the reason if this is not possible."""
        return self._pool(server).start_attempt(server, request)

    def cancel_attempt(self, server: str, session: str) -> bool:
        """Cancel an attempt; returns True if it was still queued and is never sent."""
        return self._pool(server).cancel_attempt(server, session)

    def release(self, server: str, session: str, reason: TerminationReason) -> None:
        """End a session that plays or may play."""
        self._pool(server).release(server, session, reason)

    def set_rung(self, server: str, session: str, rung: int) -> None:
        """Change the rung of a session that plays."""
        self._pool(server).set_rung(server, session, rung)

    def keep_connected(self, server: str) -> None:
        """Keep a connection to a server that holds sessions."""
        self._pool(server).keep_connected(server)

    def _pool(self, server: str) -> EdgeServers:
        return self.nodes if server in self.nodes.nodes else self.edge_servers
