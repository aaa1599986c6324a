"""Clients of all edge servers, by server id, within the broker's connection limit.

The pool implements :class:`lotuspick.routing.interfaces.EdgeServers` for the dispatcher. Times with the
suffix ``_s`` are in seconds of the reactor's clock.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from lotuspick.core.events import ServerListUpdate
from lotuspick.protocol import edge_messages as wire
from lotuspick.routing.interfaces import AttemptRequest
from lotuspick.routing.messages import EdgeServerFailed, InboundMessage
from lotuspick.routing.termination import TerminationReason
from lotuspick.transport.edge_servers.attempts import QueuedMessage
from lotuspick.transport.edge_servers.edge_connection import EdgeConnection
from lotuspick.transport.edge_servers.edge_server_client import EdgeServerClient
from lotuspick.transport.edge_servers.zone_failures import ZONE_FAILURE_WINDOW_S, ZoneFailures
from lotuspick.transport.sockets import Reactor

SWEEP_INTERVAL_S = 0.1  # between two sweeps over all clients
MAX_SWEEP_DELAY_S = 0.1  # a sweep with a longer delay is skipped, since this process was stalled
INITIAL_CHECK_PAUSE_S = 1.0  # after a check that found a healthy server; doubles with each consecutive one
MAX_CHECK_PAUSE_S = 8.0
UNLISTED_SERVER_LIMIT = 4_096  # more than the servers of a fleet: viewers may name any server


@dataclass(frozen=True, slots=True)
class EdgeLimits:
    """Timeouts (in seconds) and limits from the settings."""

    dial_timeout_s: float
    idle_timeout_s: float
    silence_timeout_s: float
    """Time without messages after which a server with open sessions is checked by a new dial."""
    attempts_per_connection: int
    max_connections: int


class EdgePool:
    """Clients of all edge servers, with the sweep and the checks that they share."""

    def __init__(
        self,
        reactor: Reactor,
        limits: EdgeLimits,
        post: Callable[[InboundMessage], None],
        session_count: Callable[[str], int],
        viewer_waits: Callable[[str], bool],
    ) -> None:
        self.reactor, self.limits, self.post, self.session_count = reactor, limits, post, session_count
        self.viewer_waits = viewer_waits
        self.clients: dict[str, EdgeServerClient] = {}
        self.clients_by_address: dict[tuple[str, int], EdgeServerClient] = {}
        self.former_clients: dict[tuple[str, int], EdgeServerClient] = {}  # by an address without a server
        self.connections: set[EdgeConnection] = set()  # with an open socket, closing ones included
        self.dialing: set[EdgeServerClient] = set()
        self.checking: set[EdgeServerClient] = set()  # whose current dial is a liveness check
        self.last_sweep_s = 0.0
        self.next_check_s, self.check_pause_s = 0.0, INITIAL_CHECK_PAUSE_S
        self.zone_failures = ZoneFailures()

    def start(self) -> None:
        """Start the periodic sweep."""
        self.last_sweep_s = self.reactor.seconds()
        self.reactor.callLater(SWEEP_INTERVAL_S, self._sweep)

    # ---- called by the dispatcher -------------------------------------------------------------------------

    def start_attempt(self, server: str, request: AttemptRequest) -> TerminationReason | None:
        """Send or queue an attempt; return the reason if neither is possible."""
        return self._client(server).send(QueuedMessage(wire.set_up(request), request.session))

    def cancel_attempt(self, server: str, session: str) -> bool:
        """Cancel an attempt; return True if it was still queued and so was never sent."""
        return self._client(server).cancel_attempt(session)

    def release(self, server: str, session: str, reason: TerminationReason) -> None:
        """Release a session that plays or may play."""
        self._client(server).send(QueuedMessage(wire.release(session, reason)))

    def set_rung(self, server: str, session: str, rung: int) -> None:
        """Change the rung of a playing session."""
        self._client(server).send(QueuedMessage(wire.change_rung(session, rung)))

    def keep_connected(self, server: str) -> None:
        """Dial a server that holds sessions, unless a connection is open.

        Over ``UNLISTED_SERVER_LIMIT`` a server without an address counts as failed at once, and not only
        after the time in which it could still be listed.
        """
        if server not in self.clients and self._unlisted_count >= UNLISTED_SERVER_LIMIT:
            self.post(EdgeServerFailed(server, TerminationReason.SERVER_UNRESPONSIVE))
            return
        client = self._client(server)
        if client.connection is None:
            client.dial("handed over")

    # ---- called by the endpoint watch ---------------------------------------------------------------------

    def update_endpoints(self, update: ServerListUpdate, addresses: dict[str, tuple[str, int]]) -> None:
        """Apply the addresses of one update of the endpoint list.

        An address may be reused by another server. Any other client with that address loses it, so that it
        does not dial the wrong server, and its sessions end with its process.
        """
        for entry in update.servers:
            client = self._client(entry.server)
            client.zone, client.draining = entry.zone, entry.state != "active"
            if entry.state == "gone":
                self._remove_address(client)
                continue
            self._assign_address(client, addresses[entry.server], entry.started_us)
        if update.complete:
            listed = {entry.server for entry in update.servers}
            for server, client in self.clients.items():
                if server not in listed:
                    self._remove_address(client)

    # ---- called by the clients ----------------------------------------------------------------------------

    def has_capacity(self) -> bool:
        """Return whether another connection fits within the limit on descriptors.

        A closing connection counts until its socket is closed.
        """
        return len(self.connections) + len(self.dialing) < self.limits.max_connections

    @property
    def can_check(self) -> bool:
        """Whether a silent server may be checked now.

        Checks are limited to one at a time. If notifications of all servers are missing, simultaneous checks
        would cost every broker one connection for each server.
        """
        return self.reactor.seconds() >= self.next_check_s and not self.checking

    def record_check(self, healthy: bool) -> None:
        """Set the pause until the next check; there is none after a check that failed."""
        self.check_pause_s = (
            min(MAX_CHECK_PAUSE_S, self.check_pause_s * 2) if healthy else INITIAL_CHECK_PAUSE_S
        )
        self.next_check_s = self.reactor.seconds() + (self.check_pause_s if healthy else 0.0)

    def record_failure(self, client: EdgeServerClient) -> None:
        """Record a failure; after two in a zone, check the other servers there that hold sessions.

        In a zone outage some connections show no error, and each client would detect its failure only by the
        silence timeout. The failure of a draining server is planned and does not indicate a zone outage. A
        server that was never listed has no zone.
        """
        if client.draining or client.zone is None:
            return
        now_s = self.reactor.seconds()
        self.zone_failures.record(client.zone, client.server, now_s)
        self._check_suspected_zones(now_s)

    # ---- internal -----------------------------------------------------------------------------------------

    @property
    def _unlisted_count(self) -> int:
        """The number of clients without an address."""
        return len(self.clients) - len(self.clients_by_address)

    def _assign_address(self, client: EdgeServerClient, address: tuple[str, int], started_us: int) -> None:
        if client.address != address:
            self._remove_address(client)
        previous = self.clients_by_address.get(address) or self.former_clients.get(address)
        self._forget_former(client)
        if previous is not None and previous is not client:
            self._forget_former(previous)
            previous.lose_address(started_us)
        self.clients_by_address[address] = client
        client.set_address(address)

    def _remove_address(self, client: EdgeServerClient) -> None:
        if client.address is not None:
            self.clients_by_address.pop(client.address, None)
            self._forget_former(client)
            self.former_clients[client.address] = client
            client.former_address, client.address = client.address, None

    def _forget_former(self, client: EdgeServerClient) -> None:
        """Forget the address that a client had."""
        if client.former_address is not None and self.former_clients.get(client.former_address) is client:
            del self.former_clients[client.former_address]
        client.former_address = None

    def _client(self, server: str) -> EdgeServerClient:
        if server not in self.clients:
            self.clients[server] = EdgeServerClient(self, server)
        return self.clients[server]

    def _check_suspected_zones(self, now_s: float) -> None:
        zones = self.zone_failures.pop_zones_to_check(now_s)
        if not zones:
            return
        for client in self.clients.values():
            if (
                client.zone in zones
                and not self.zone_failures.has_failed(client.zone, client.server)
                and client.connection is not None
                and client.connected_s < now_s - ZONE_FAILURE_WINDOW_S
                and self.session_count(client.server)
            ):
                client.check("zone")

    def _sweep(self) -> None:
        self.reactor.callLater(SWEEP_INTERVAL_S, self._sweep)
        now_s = self.reactor.seconds()
        delay_s, self.last_sweep_s = now_s - self.last_sweep_s - SWEEP_INTERVAL_S, now_s
        if delay_s > MAX_SWEEP_DELAY_S:
            return  # this process was stalled: messages received in the meantime have not been read yet
        for server, client in list(self.clients.items()):
            client.sweep(now_s)
            if client.address is None and client.connection is None and client.is_idle and not client.dialing:
                del self.clients[server]
                self._forget_former(client)
        self._check_suspected_zones(now_s)
