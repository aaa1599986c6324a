"""The daemon: one broker in one process, from its configuration to its graceful shutdown.

:class:`Daemon` builds the controller, the dispatcher and the transports, starts and stops them in order, and
handles signals: SIGTERM and SIGINT shut the broker down, SIGHUP reloads the configuration. The state of the
sessions belongs to the dispatcher.
"""

from __future__ import annotations

import gc
import logging
import resource
import signal
from collections.abc import Callable
from dataclasses import replace
from typing import Any

from lotuspick.core.constraints import CombinedProviders, ConstraintProvider
from lotuspick.core.controller import Controller
from lotuspick.core.events import ServerListUpdate
from lotuspick.program.components import LISTEN_BACKLOG, SECOND, build_components
from lotuspick.program.configuration import Config, ConfigError
from lotuspick.program.shutdown import GracefulShutdown, ShutdownPhase
from lotuspick.protocol.endpoint_events import Change
from lotuspick.protocol.rtsp import SetUpLimits
from lotuspick.routing.dispatcher import SessionDispatcher, overload_retry_after_ms
from lotuspick.routing.interfaces import EdgeServers
from lotuspick.routing.messages import EndpointListChanged, InboundMessage
from lotuspick.transport.edge_servers.edge_pool import EdgeLimits, EdgePool
from lotuspick.transport.endpoint_watch import EndpointWatch
from lotuspick.transport.rtsp.rtsp_server import RtspServer
from lotuspick.transport.sockets import Reactor, now_us
from lotuspick.transport.stall_detector import StallDetector

log = logging.getLogger(__name__)

# The broker closes idle connections before the edge server does, so that no attempt crosses a close.
IDLE_TIMEOUT_RATIO = 0.9
COMPONENT_TICK_S = 1
TICKS_PER_SUMMARY = 60  # component ticks between two summaries
EDGE_DESCRIPTOR_DIVISOR = 4  # a quarter of the descriptors is for connections to edge servers
VIEWER_DESCRIPTOR_DIVISOR = 2  # half of the descriptors is for connections of viewers


class Daemon:
    """One broker in one process."""

    def __init__(self, config: Config, reactor: Reactor, load_configuration: Callable[[], Config]) -> None:
        """Build the broker.

        Args:
            config: of the broker.
            reactor: that runs all transports and timers.
            load_configuration: reads the configuration again; raises :class:`ConfigError`.
        """
        self.config, self.reactor, self.load_configuration = config, reactor, load_configuration
        classes = frozenset(session_class.name for session_class in config.settings.classes)
        self.set_up_limits = SetUpLimits(
            classes, config.settings.positions, len(config.settings.ladder_kb_per_s)
        )
        self.components = build_components(self)
        self.renew_token = next(
            (component.renew_token for component in self.components if component.renew_token is not None),
            None,
        )
        self.stall_detector = StallDetector(reactor)
        self.controller = Controller(config.settings, config.seed, self._constraint_provider())
        self.edge_pool = EdgePool(
            reactor, _edge_limits(config), self.post, self.sessions_at, self.viewer_waits
        )
        self.component_server_ids = frozenset[str]().union(
            *(component.server_ids for component in self.components)
        )
        self.dispatcher = SessionDispatcher(
            self.controller,
            self._edge_servers(),
            now_us,
            self._schedule_tick,
            config.period_us,
            classes,
            overload_retry_after_ms(config.settings),
            config.settings.single_execution_classes,
            config.settings.largest_stream_limit,
        )
        self.rtsp_server = RtspServer(
            reactor,
            self.post,
            self.is_ready,
            self.set_up_limits,
            config.max_descriptors // VIEWER_DESCRIPTOR_DIVISOR,
            self.dispatcher.eviction_candidates,
            self.dispatcher.has_open_request,
            self.renew_token,
            self.earliest_arrival_us,
        )
        self.endpoint_watch = EndpointWatch(
            reactor, config.coordinator_address, config.index, self._apply_endpoint_change
        )
        self.shutdown = GracefulShutdown(
            reactor, self.dispatcher, self.rtsp_server, self.components, config.shutdown_grace_us / SECOND
        )
        self.listener: Any = None
        self._tick_call: Any = None

    def run(self, blocked_signals: frozenset[signal.Signals] = frozenset()) -> None:
        """Serve until SIGTERM or SIGINT, and return after the graceful shutdown.

        Args:
            blocked_signals: blocked by the process; they are unblocked once the handlers are installed.
        """
        _limit_descriptors(self.config.max_descriptors)
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(signal_number, lambda *_: self.reactor.callFromThread(self.stop))
        signal.signal(signal.SIGHUP, lambda *_: self.reactor.callFromThread(self.reload))
        self.start()
        signal.pthread_sigmask(signal.SIG_UNBLOCK, blocked_signals)
        self.reactor.run(installSignalHandlers=False)
        log.info("shutdown_finished")

    def start(self) -> None:
        """Apply the known endpoint list, listen for viewers, and watch the coordinator's endpoint list."""
        for change in self.config.changes:
            self._apply_endpoint_change(change)
        self.dispatcher.tick()
        host, port = self.config.listen
        self.listener = self.rtsp_server.listen(host, port, LISTEN_BACKLOG)
        port = self.listener.getHost().port
        for component in self.components:
            component.start()
        self.edge_pool.start()
        self.stall_detector.start()
        self.endpoint_watch.poll()
        if self.components:
            self._tick_components(0)
        gc.collect()
        gc.freeze()  # objects created at start-up live until the end: exclude them from later collections
        fields = {
            "broker": self.config.name,
            "listen": f"{host}:{port}",
            "servers": len(self.controller.servers),
        }
        log.info("serving", extra=fields)

    def reload(self) -> None:
        """Read the configuration again; apply the coordinator's address and the changes of the components.

        An invalid file changes nothing. A reload ends no connection and no session. All other changes need a
        restart.
        """
        try:
            config = self.load_configuration()
        except ConfigError as error:
            log.error("configuration_rejected", extra={"reason": str(error)})
            return
        self.endpoint_watch.change_coordinator(config.coordinator_address)
        for component in self.components:
            self.config = component.reload(config, self.config)
        applied = replace(
            self.config,
            coordinator_address=config.coordinator_address,
            index=config.index,
            changes=config.changes,
        )
        reload_result = "same" if applied == config else "for a restart"
        log.info(
            "configuration_reloaded", extra={"coordinator": config.coordinator_address, "rest": reload_result}
        )

    def stop(self) -> None:
        """Begin the graceful shutdown; further calls have no effect."""
        self.shutdown.begin(self.listener)

    def post(self, message: InboundMessage) -> None:
        """Put a message into the dispatcher's inbox."""
        self.dispatcher.post(message)

    def sessions_at(self, server: str) -> int:
        """Return the number of sessions and attempts at a server."""
        return self.dispatcher.sessions_at(server)

    def viewer_waits(self, session: str) -> bool:
        """Return whether the viewer of an open request still waits for its answer."""
        return self.dispatcher.viewer_waits(session)

    def is_ready(self) -> bool:
        """Return whether viewers are served: the endpoint list is known and no shutdown has begun."""
        return bool(self.controller.servers) and self.shutdown.phase is ShutdownPhase.NOT_STARTED

    def earliest_arrival_us(self) -> int:
        """Return the earliest time (us) at which input that is read now can have arrived."""
        return self.stall_detector.earliest_arrival_us()

    def _constraint_provider(self) -> ConstraintProvider:
        providers = [
            component.constraint_provider
            for component in self.components
            if component.constraint_provider is not None
        ]
        return providers[0] if len(providers) == 1 else CombinedProviders(providers)

    def _edge_servers(self) -> EdgeServers:
        """Return the interface to edge servers, wrapped by the components that have their own servers."""
        edge_servers: EdgeServers = self.edge_pool
        for component in self.components:
            edge_servers = component.wrap_edge_servers(edge_servers)
            self.reactor.addSystemEventTrigger("after", "shutdown", component.close)
        return edge_servers

    def _tick_components(self, tick: int) -> None:
        """Run the periodic work of the components, log their events and schedule the next tick."""
        for component in self.components:
            for event in component.tick(now_us(), tick % TICKS_PER_SUMMARY == 0):
                log.info(event.name, extra=dict(event.fields))
        self.reactor.callLater(COMPONENT_TICK_S, self._tick_components, tick + 1)

    def _schedule_tick(self, at_us: int) -> None:
        if self._tick_call is not None and self._tick_call.active():
            self._tick_call.cancel()
        delay_s = max(0, at_us - now_us()) / SECOND
        self._tick_call = self.reactor.callLater(delay_s, self._run_tick, at_us)

    def _run_tick(self, at_us: int) -> None:
        """Run a tick of the dispatcher; if it is late, let the reactor poll the sockets once before it.

        After a process pause, timers are due before the input that arrived meanwhile was read. Without the
        poll, an answer that arrived in time would count as timed out, and a viewer that has left as present.
        """
        if now_us() - at_us > self.config.period_us:
            self._tick_call = self.reactor.callLater(0, self.dispatcher.tick)
        else:
            self.dispatcher.tick()

    def _apply_endpoint_change(self, change: Change) -> None:
        entries = [entry for entry in change.update.servers if entry.server not in self.component_server_ids]
        self.edge_pool.update_endpoints(ServerListUpdate(entries, change.update.complete), change.addresses)
        self.dispatcher.post(EndpointListChanged(change.update))


def _edge_limits(config: Config) -> EdgeLimits:
    return EdgeLimits(
        dial_timeout_s=config.dial_timeout_us / SECOND,
        idle_timeout_s=config.idle_timeout_us / SECOND * IDLE_TIMEOUT_RATIO,
        silence_timeout_s=config.silence_timeout_us / SECOND,
        attempts_per_connection=config.streams_per_connection,
        max_connections=config.max_descriptors // EDGE_DESCRIPTOR_DIVISOR,
    )


def _limit_descriptors(maximum: int) -> None:
    """Lower the process's soft limit of file descriptors to the configured maximum."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft == resource.RLIM_INFINITY or soft > maximum:
        resource.setrlimit(resource.RLIMIT_NOFILE, (maximum, hard))
