"""Optional subsystems of a broker, each enabled by its own file under ``deploy/``.

A component uses its broker through the interface :class:`Broker`. It may provide constraints, additional edge
servers, events for operators and the renewal of tokens. The daemon handles all enabled components alike.
A component imports its libraries when it is created, so that a disabled one costs neither start-up time nor
memory.
"""

from __future__ import annotations

import importlib
import logging
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Any, Protocol

from lotuspick.core.constraints import ConstraintProvider
from lotuspick.core.events import TenantRates
from lotuspick.core.operator_events import OperatorEvent
from lotuspick.program.configuration import Config
from lotuspick.protocol.rtsp import SetUpLimits
from lotuspick.routing.interfaces import EdgeServers, TenantDirectory
from lotuspick.routing.messages import InboundMessage, TenantRatesUpdated
from lotuspick.transport.sockets import Reactor, now_us, readable

if TYPE_CHECKING:
    from lotuspick.cells.model import Plan
    from lotuspick.entitlement.renewal import RenewToken

log = logging.getLogger(__name__)

LISTEN_BACKLOG = 256  # connections that the kernel queues until they are accepted
SECOND = 1_000_000


class Broker(Protocol):
    """The interface of the broker for its components."""

    config: Config
    reactor: Reactor
    set_up_limits: SetUpLimits
    renew_token: RenewToken | None

    def post(self, message: InboundMessage) -> None:
        """Put a message into the dispatcher's inbox."""

    def sessions_at(self, server: str) -> int:
        """Return the number of sessions and attempts at a server."""

    def is_ready(self) -> bool:
        """Return whether viewers are served."""

    def earliest_arrival_us(self) -> int:
        """Return the earliest time (us) at which input that is read now can have arrived."""


class Component:
    """Base class of an optional subsystem; each hook does nothing unless it is overridden."""

    constraint_provider: ConstraintProvider | None = None
    renew_token: RenewToken | None = None
    server_ids: frozenset[str] = frozenset()
    """Servers to which this component connects in place of the platform's protocol."""

    def __init__(self, broker: Broker) -> None:
        self.broker = broker

    def wrap_edge_servers(self, edge_servers: EdgeServers) -> EdgeServers:
        """Wrap the interface to edge servers, to route this component's servers to itself."""
        return edge_servers

    def start(self) -> None:
        """Start the subsystem; the broker is already listening."""

    def tick(self, now: int, summary: bool) -> list[OperatorEvent]:
        """Run periodic work; called once a second.

        Args:
            now: in microseconds.
            summary: whether to return a summary, too.

        Returns:
            Events to log.
        """
        return []

    def reload(self, new: Config, applied: Config) -> Config:
        """Apply the parts of a new configuration that can change without a restart.

        Returns:
            ``applied`` with these parts replaced.
        """
        return applied

    def has_unread_input(self) -> bool:
        """Return whether input has arrived that was not read yet."""
        return False

    def begin_closing(self) -> None:
        """Close each connection with its next response; requests are rejected from now on."""

    def close_idle(self) -> bool:
        """Close connections without open requests or unread input; return whether any stay open."""
        return False

    def stop_accepting(self) -> None:
        """Accept no more input; all requests are answered, and written data is still sent."""

    def close(self) -> None:
        """Free resources; the reactor has stopped."""


class CellsComponent(Component):
    """Cells, which confine tenants and lessons to parts of the fleet."""

    def __init__(self, broker: Broker) -> None:
        super().__init__(broker)
        from lotuspick.cells.constraints import CellConstraints

        assert broker.config.cells is not None
        self.constraint_provider: CellConstraints = CellConstraints(
            broker.config.cells, broker.config.settings.positions
        )

    def tick(self, now: int, summary: bool) -> list[OperatorEvent]:
        """Return the events of the subsystem."""
        return [
            *self.constraint_provider.take_events(),
            *([self.constraint_provider.summary()] if summary else []),
        ]

    def reload(self, new: Config, applied: Config) -> Config:
        """Apply a new plan of cells."""
        return replace(applied, cells=new.cells) if self._apply_plan(new.cells) else applied

    def _apply_plan(self, plan: Plan | None) -> bool:
        """Replace the plan of cells unless the new plan is older; return whether it was applied."""
        if plan is None:
            return False  # enabling or disabling cells needs a restart
        try:
            self.constraint_provider.apply_plan(plan, now_us())
        except ValueError as error:
            log.error("cell_plan_rejected", extra={"reason": str(error)})
            return False
        return True


class EntitlementComponent(Component):
    """Entitlement, which admits paid sessions by their seats."""

    def __init__(self, broker: Broker) -> None:
        super().__init__(broker)
        from lotuspick.program.entitlement import Entitlement

        assert broker.config.seats is not None
        self.entitlement = Entitlement(broker.config.seats, broker.reactor.callFromThread, broker.post)
        self.constraint_provider = self.entitlement.constraints
        self.renew_token: RenewToken | None = lambda session, token, done: self.entitlement.renew(
            now_us(), session, token, done
        )

    def tick(self, now: int, summary: bool) -> list[OperatorEvent]:
        """Return the events of the subsystem."""
        return self.entitlement.tick(now, summary)

    def reload(self, new: Config, applied: Config) -> Config:
        """Read keys, revocations and proofs again."""
        self.entitlement.reload()
        return applied

    def close(self) -> None:
        """Write queued records and close the store."""
        self.entitlement.close()


class HttpComponent(Component):
    """The HTTP front, and media nodes that speak its protocol."""

    def __init__(self, broker: Broker) -> None:
        super().__init__(broker)
        self.server_ids = frozenset(broker.config.hints.nodes)

    def wrap_edge_servers(self, edge_servers: EdgeServers) -> EdgeServers:
        """Route the servers that speak HTTP to their own connections."""
        if not self.server_ids:
            return edge_servers
        from lotuspick.transport.http.edge_server_router import EdgeServerRouter
        from lotuspick.transport.http.media_nodes import MediaNodePool

        config = self.broker.config
        pool = MediaNodePool(
            self.broker.reactor,
            dict(config.hints.nodes),
            config.dial_timeout_us / SECOND,
            self.broker.post,
            self.broker.sessions_at,
        )
        return EdgeServerRouter(pool, edge_servers)

    def start(self) -> None:
        """Listen for HTTP players."""
        from lotuspick.transport.http.http_server import HttpServer

        broker, config = self.broker, self.broker.config
        self.site = HttpServer(
            broker.reactor,
            broker.post,
            broker.is_ready,
            broker.set_up_limits,
            broker.renew_token,
            broker.earliest_arrival_us,
        ).site(config.max_descriptors // 6)
        self.listener = broker.reactor.listenTCP(
            config.hints.port, self.site, backlog=LISTEN_BACKLOG, interface=config.hints.host
        )
        log.info("http_serving", extra={"listen": "{0.host}:{0.port}".format(self.listener.getHost())})

    def has_unread_input(self) -> bool:
        """Return whether a connection or data of a player was not read yet."""
        return readable(self.listener.fileno(), *self.site.descriptors)

    def begin_closing(self) -> None:
        """Close each connection with its next response."""
        self.site.begin_closing()

    def close_idle(self) -> bool:
        """Close connections without a request, and the listening socket if no connection is pending."""
        if self.listener.connected and not readable(self.listener.fileno()):
            self.listener.stopListening()
        return bool(self.site.close_idle() or self.listener.connected)

    def stop_accepting(self) -> None:
        """Close the listening socket."""
        if self.listener.connected:
            self.listener.stopListening()


class TenantRatesComponent(Component):
    """Polling of the tenant directory on a thread; if a read fails, the previous rates stay in force."""

    def __init__(self, broker: Broker) -> None:
        super().__init__(broker)
        from lotuspick.transport.directory import LdapDirectory

        assert broker.config.tenants.ldap is not None
        self.directory: TenantDirectory = LdapDirectory(broker.config.tenants.ldap)

    def start(self) -> None:
        """Read the rates, and schedule the next read."""
        from twisted.internet.threads import deferToThread

        done = deferToThread(self.directory.rates)
        done.addCallback(lambda rates: self.broker.post(TenantRatesUpdated(TenantRates(rates))))
        done.addErrback(
            lambda reason: log.warning("tenant_directory_failed", extra={"reason": reason.getErrorMessage()})
        )
        done.addBoth(
            lambda _: self.broker.reactor.callLater(self.broker.config.tenants.refresh_s, self.start)
        )


@dataclass(frozen=True, slots=True)
class ComponentSpec:
    """The class of a component, and the condition that enables it."""

    is_enabled: Callable[[Config], Any]
    """Returns a true value if the configuration enables the component."""
    module: str
    class_name: str


COMPONENTS: tuple[ComponentSpec, ...] = (
    ComponentSpec(lambda config: config.cells, __name__, "CellsComponent"),
    ComponentSpec(lambda config: config.seats, __name__, "EntitlementComponent"),
    ComponentSpec(lambda config: config.peers, "lotuspick.program.membership", "MembershipComponent"),
    ComponentSpec(lambda config: config.hints.enabled, __name__, "HttpComponent"),
    ComponentSpec(lambda config: config.tenants.ldap, __name__, "TenantRatesComponent"),
)
"""All components, in the order in which they are built and called."""


def build_components(broker: Broker) -> list[Component]:
    """Build the enabled components.

    Raises:
        ConfigError: the configuration of a component cannot be used.
    """
    components: list[Component] = []
    for spec in COMPONENTS:
        if spec.is_enabled(broker.config):
            component_class = getattr(importlib.import_module(spec.module), spec.class_name)
            components.append(component_class(broker))
    return components
