"""What a broker is put together from, beside the ordinary path: each part is on or off by the configuration.

A part says what it takes of its broker (``Broker``) and gives what it has: a guide, a way to edge servers, lines to
log, renewals. The daemon goes over the list of those that are on and knows none by name. Whatever a part needs is
imported where the part is made, so that what is off costs neither start nor memory.
"""

from __future__ import annotations

import importlib
import logging
from collections.abc import Callable
from dataclasses import replace
from typing import TYPE_CHECKING, Any, Protocol

from lotuspick.core.constraints import ConstraintProvider
from lotuspick.core.events import TenantRates
from lotuspick.core.operator_events import OperatorEvent
from lotuspick.program.configuration import Config
from lotuspick.protocol.rtsp import Terms
from lotuspick.routing.interfaces import EdgeServers, TenantDirectory
from lotuspick.routing.messages import InboundMessage, TenantRatesUpdated
from lotuspick.transport.sockets import Reactor, now_us, readable

if TYPE_CHECKING:
    from lotuspick.cells.model import Plan

log = logging.getLogger(__name__)

BACKLOG = 256
SECOND = 1_000_000
Renew = Callable[[str, str, Callable[[str], None]], None]
"""Renews a session's token: session, token, and what is called with why not."""


class Broker(Protocol):
    """What a part may use of the broker that it belongs to."""

    config: Config
    reactor: Reactor
    terms: Terms
    renew_token: Renew | None

    def post(self, item: InboundMessage) -> None:
        """Put an item into the loop's inbox."""

    def sessions_at(self, edge: str) -> int:
        """How many sessions stand at an edge server."""

    def is_ready(self) -> bool:
        """Whether viewers are served."""


class Component:
    """One part; what it does not need it leaves as it stands here."""

    constraint_provider: ConstraintProvider | None = None
    renew_token: Renew | None = None
    server_ids: frozenset[str] = frozenset()
    """Servers that are reached by this part, and not by the platform's protocol."""

    def __init__(self, broker: Broker) -> None:
        self.broker = broker

    def wrap_edge_servers(self, edges: EdgeServers) -> EdgeServers:
        """The way to edge servers, with this part's own put in front."""
        return edges

    def start(self) -> None:
        """The broker listens: begin."""

    def tick(self, now: int, summary: bool) -> list[OperatorEvent]:
        """Once a second: what is due by time; returns lines to log, with a summary where one is asked for."""
        return []

    def reload(self, new: Config, taken: Config) -> Config:
        """Take over what it can of a configuration that was read again; returns ``taken`` with that in it."""
        return taken

    def has_unread_input(self) -> bool:
        """Whether a request has come to this part that it has not looked at yet."""
        return False

    def stop_accepting(self) -> None:
        """A planned end: nothing is owed any more, and what is said now still leaves."""

    def close(self) -> None:
        """The reactor has ended: nothing is served any more."""


class CellsComponent(Component):
    """Tenants and lessons confined to parts of the fleet."""

    def __init__(self, broker: Broker) -> None:
        super().__init__(broker)
        from lotuspick.cells.constraints import CellConstraints

        assert broker.config.cells is not None
        self.constraint_provider: CellConstraints = CellConstraints(broker.config.cells, broker.config.settings.positions)

    def tick(self, now: int, summary: bool) -> list[OperatorEvent]:
        return [*self.constraint_provider.take_events(), *([self.constraint_provider.summary()] if summary else [])]

    def reload(self, new: Config, taken: Config) -> Config:
        return replace(taken, cells=new.cells) if self._take(new.cells) else taken

    def _take(self, plan: Plan | None) -> bool:
        """Follow another plan of cells. Guards against a plan that comes late and would undo a newer one."""
        if plan is None:
            return False  # to begin or end with cells takes a restart
        try:
            self.constraint_provider.take(plan, now_us())
        except ValueError as error:
            log.error("plan of cells not taken, the old one stands", extra={"fault": str(error)})
            return False
        return True


class EntitlementComponent(Component):
    """Paid sessions that take seats."""

    def __init__(self, broker: Broker) -> None:
        super().__init__(broker)
        from lotuspick.program.entitlement import Entitlement

        assert broker.config.seats is not None
        self.seats = Entitlement(broker.config.seats, broker.reactor.callFromThread, broker.post)
        self.constraint_provider = self.seats.guide
        self.renew_token: Renew | None = lambda session, token, done: self.seats.renew(
            now_us(), session, token, done
        )

    def tick(self, now: int, summary: bool) -> list[OperatorEvent]:
        return self.seats.tick(now, summary)

    def reload(self, new: Config, taken: Config) -> Config:
        self.seats.reload(now_us())
        return taken

    def close(self) -> None:
        self.seats.close()


class HttpComponent(Component):
    """The second front, and media nodes that speak its protocol."""

    def __init__(self, broker: Broker) -> None:
        super().__init__(broker)
        self.server_ids = frozenset(broker.config.hints.nodes)

    def wrap_edge_servers(self, edges: EdgeServers) -> EdgeServers:
        if not self.server_ids:
            return edges
        from lotuspick.transport.http.media_nodes import EdgeServerRouter, MediaNodePool

        told = self.broker.config
        pool = MediaNodePool(
            self.broker.reactor,
            dict(told.hints.nodes),
            told.dial_us / SECOND,
            self.broker.post,
            self.broker.sessions_at,
        )
        return EdgeServerRouter(pool, edges)

    def start(self) -> None:
        from lotuspick.transport.http.http_server import HttpServer

        broker, told = self.broker, self.broker.config
        self.site = HttpServer(broker.reactor, broker.post, broker.is_ready, broker.terms, broker.renew_token).site(
            told.sockets // 6
        )
        self.door = broker.reactor.listenTCP(
            told.hints.port, self.site, backlog=BACKLOG, interface=told.hints.host
        )
        log.info("hints front", extra={"listen": "{0.host}:{0.port}".format(self.door.getHost())})

    def has_unread_input(self) -> bool:
        return readable(self.door.fileno(), *self.site.descriptors)

    def stop_accepting(self) -> None:
        self.door.stopListening()


class TenantRatesComponent(Component):
    """The directory of tenants, read again and again on a thread; while it is away the last reading stands."""

    def __init__(self, broker: Broker) -> None:
        super().__init__(broker)
        from lotuspick.transport.directory import LdapDirectory

        assert broker.config.tenants.ldap is not None
        self.directory: TenantDirectory = LdapDirectory(broker.config.tenants.ldap)

    def start(self) -> None:
        from twisted.internet.threads import deferToThread

        done = deferToThread(self.directory.rates)
        done.addCallback(lambda rates: self.broker.post(TenantRatesUpdated(TenantRates(rates))))
        done.addErrback(lambda reason: log.warning("no tenants", extra={"fault": reason.getErrorMessage()}))
        done.addBoth(
            lambda _: self.broker.reactor.callLater(self.broker.config.tenants.refresh_s, self.start)
        )


PARTS: tuple[tuple[Callable[[Config], Any], str, str], ...] = (
    (lambda told: told.cells, __name__, "CellsComponent"),
    (lambda told: told.seats, __name__, "EntitlementComponent"),
    (lambda told: told.peers, "lotuspick.program.membership", "MembershipComponent"),
    (lambda told: told.hints.enabled, __name__, "HttpComponent"),
    (lambda told: told.tenants.ldap, __name__, "TenantRatesComponent"),
)
"""All parts there are, in the order in which they are made and asked: what of the configuration switches each on, and
the module and class that it is in."""


def build_components(broker: Broker) -> list[Component]:
    """The parts that are on. Raises :class:`~lotuspick.program.configuration.ConfigError` where one cannot begin."""
    made: list[Component] = []
    for on, module, name in PARTS:
        if on(broker.config):
            part: Component = getattr(importlib.import_module(module), name)(broker)
            made.append(part)
    return made
