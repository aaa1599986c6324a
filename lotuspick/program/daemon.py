"""The real broker: puts the module, the loop and the transports together, and ends them in order."""

from __future__ import annotations

import gc
import logging
import resource
import signal
from collections.abc import Callable
from dataclasses import replace
from typing import Any

from lotuspick.core.constraints import CombinedProviders
from lotuspick.core.controller import Controller
from lotuspick.core.events import ServerListUpdate
from lotuspick.program.components import BACKLOG, SECOND, build_components
from lotuspick.program.configuration import Config, ConfigError
from lotuspick.protocol.endpoint_events import Change
from lotuspick.protocol.rtsp import Terms
from lotuspick.routing.dispatcher import SessionDispatcher, stay_away_ms
from lotuspick.routing.interfaces import EdgeServers
from lotuspick.routing.messages import EndpointListChanged
from lotuspick.transport.edge_servers.edge_pool import EdgeLimits, EdgePool
from lotuspick.transport.endpoint_watch import EndpointWatch
from lotuspick.transport.rtsp.rtsp_server import RtspServer
from lotuspick.transport.sockets import Reactor, now_us, readable

log = logging.getLogger(__name__)

STAY_S = 0.8  # after SIGTERM requests keep coming for 0.6 s; those up to 0.7 s are owed an answer
LEAVE_S = 0.35  # what stands is released so long before SIGKILL may come: enough for a thousand releases
LONGEST_S = 30.0  # no set-up waits longer for its answer
IDLE_PART = 0.9  # this side closes idle connections first: a set-up must not cross the other side's close
SUMMARY_S = 60  # between summaries of the parts


class Daemon:
    """One broker in one process."""

    def __init__(self, config: Config, reactor: Reactor, again: Callable[[], Config]) -> None:
        self.config, self.reactor, self.load_configuration = config, reactor, again
        classes = frozenset(each.name for each in config.settings.classes)
        self.terms = Terms(classes, config.settings.positions, len(config.settings.ladder_kb_per_s))
        self.components = build_components(self)
        self.renew_token = next((part.renew_token for part in self.components if part.renew_token is not None), None)
        guides = [part.constraint_provider for part in self.components if part.constraint_provider is not None]
        self.controller = Controller(
            config.settings, config.seed, guides[0] if len(guides) == 1 else CombinedProviders(guides)
        )
        limits = EdgeLimits(
            dial_s=config.dial_us / SECOND,
            idle_s=config.idle_us / SECOND * IDLE_PART,
            silence_s=config.silence_us / SECOND,
            per_connection=config.streams_per_connection,
            connections=config.sockets // 4,
        )
        self.edge_pool = EdgePool(reactor, limits, self.post, self.sessions_at)
        edges: EdgeServers = self.edge_pool
        for part in self.components:
            edges = part.wrap_edge_servers(edges)
            reactor.addSystemEventTrigger("after", "shutdown", part.close)
        self.component_server_ids = frozenset[str]().union(*(part.server_ids for part in self.components))
        self.dispatcher = SessionDispatcher(
            self.controller, edges, now_us, self._wake, config.period_us, classes, stay_away_ms(config.settings)
        )
        self.rtsp_server = RtspServer(
            reactor,
            self.post,
            self.is_ready,
            self.terms,
            config.sockets // 2,
            self.dispatcher.eviction_candidates,
            self.renew_token,
        )
        self.endpoint_watch = EndpointWatch(reactor, config.coordinator_address, config.index, self._changed)
        self.stopping = False
        self.listener: Any = None
        self._call: Any = None

    def run(self, blocked: frozenset[signal.Signals] = frozenset()) -> None:
        """Serve until SIGTERM or SIGINT, and until nothing is owed any more. ``blocked``: signals that wait for it."""
        _bound_descriptors(self.config.sockets)
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, lambda *_: self.reactor.callFromThread(self.stop))
        signal.signal(signal.SIGHUP, lambda *_: self.reactor.callFromThread(self.reload))
        self.start()
        signal.pthread_sigmask(signal.SIG_UNBLOCK, blocked)
        self.reactor.run(installSignalHandlers=False)
        log.info("stopped")

    def start(self) -> None:
        """Take what is known of the servers, listen and follow the coordinator."""
        for change in self.config.changes:
            self._changed(change)
        self.dispatcher.tick()
        host, port = self.config.listen
        self.listener = self.rtsp_server.listen(host, port, BACKLOG)
        port = self.listener.getHost().port
        for part in self.components:
            part.start()
        self.edge_pool.start()
        self.endpoint_watch.poll()
        if self.components:
            self._tick(0)
        gc.collect()
        gc.freeze()  # what is here now stays: collections need not look at it
        log.info(
            "serving",
            extra={
                "broker": self.config.name,
                "listen": f"{host}:{port}",
                "servers": len(self.controller.servers),
            },
        )

    def reload(self) -> None:
        """Read the configuration again and move to the coordinator named. Guards against a broker that
        ends for a new file, or for a bad one: connections, sessions and the last index stay as they are."""
        try:
            config = self.load_configuration()
        except ConfigError as error:
            log.error("configuration not taken, the old one stands", extra={"fault": str(error)})
            return
        self.endpoint_watch.move(config.coordinator_address)
        for part in self.components:
            self.config = part.reload(config, self.config)
        taken = replace(
            self.config,
            coordinator_address=config.coordinator_address,
            index=config.index,
            changes=config.changes,
        )
        log.info(
            "configuration read again",
            extra={
                "coordinator": config.coordinator_address,
                "rest": "same" if taken == config else "for a restart",
            },
        )

    def stop(self) -> None:
        """A planned end: go on accepting and answering, and exit once nothing is owed. Guards against
        sessions cut before they must be: what stands plays on for as long as the platform leaves."""
        if self.stopping:
            return
        self.stopping = True
        log.info("stopping", extra={"sessions": len(self.dispatcher.table)})
        now_s = self.reactor.seconds()
        play_s = max(STAY_S, self.config.grace_us / SECOND - LEAVE_S)
        self.reactor.callLater(STAY_S, self._stop_when_done, now_s + play_s, now_s + LONGEST_S)

    def _stop_when_done(self, play_until_s: float, last_s: float) -> None:
        now_s = self.reactor.seconds()
        if now_s >= play_until_s:
            self.dispatcher.release_all()
        # What lies unread was taken all the same. Guards against an end in the moment after this process was held up:
        # its timers are due before it has looked at its sockets.
        stays = self.dispatcher.has_pending_work or now_s < play_until_s and (self.dispatcher.table or self._unread())
        if now_s < last_s and stays:
            self.reactor.callLater(0.02, self._stop_when_done, play_until_s, last_s)
        else:  # nothing stands any more: it has ended by itself, or just above
            self.listener.stopListening()
            self.rtsp_server.finish()
            for part in self.components:
                part.stop_accepting()
            self.reactor.callLater(0.1, self.reactor.stop)  # what was just written leaves first

    def _unread(self) -> bool:
        """Whether a connection or a message has come that was not looked at yet."""
        return (
            self.rtsp_server.unread()
            or readable(self.listener.fileno())
            or any(part.has_unread_input() for part in self.components)
        )

    def _tick(self, told: int) -> None:
        """Have the parts do what is due, and log what they have to say, with a summary now and then."""
        for part in self.components:
            for news in part.tick(now_us(), told % SUMMARY_S == 0):
                log.info(news.name, extra=dict(news.fields))
        self.reactor.callLater(1, self._tick, told + 1)

    def post(self, item: Any) -> None:
        self.dispatcher.post(item)

    def sessions_at(self, edge: str) -> int:
        return self.dispatcher.sessions_at(edge)

    def _wake(self, at_us: int) -> None:
        if self._call is not None and self._call.active():
            self._call.cancel()
        self._call = self.reactor.callLater(max(0, at_us - now_us()) / SECOND, self._due, at_us)

    def _due(self, at_us: int) -> None:
        """A tick is due. Guards against one that decides without what has come, as this process was held up: an answer
        that lies unread beside its time-out, a viewer that has left. The sockets are looked at once before it."""
        if now_us() - at_us > self.config.period_us:
            self._call = self.reactor.callLater(0, self.dispatcher.tick)
        else:
            self.dispatcher.tick()

    def is_ready(self) -> bool:
        return bool(self.controller.servers) and not self.stopping

    def _changed(self, change: Change) -> None:
        edges = [entry for entry in change.news.servers if entry.server not in self.component_server_ids]
        self.edge_pool.named(ServerListUpdate(edges, change.news.complete), change.addresses)
        self.dispatcher.post(EndpointListChanged(change.news))


def _bound_descriptors(most: int) -> None:
    """Keep the process itself inside its limit, whatever it was started with."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft == resource.RLIM_INFINITY or soft > most:
        resource.setrlimit(resource.RLIMIT_NOFILE, (most, hard))
