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
from lotuspick.routing.dispatcher import SessionDispatcher, overload_retry_after_ms
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
        self.config, self.reactor, self.again = config, reactor, again
        classes = frozenset(each.name for each in config.settings.classes)
        self.terms = Terms(classes, config.settings.positions, len(config.settings.ladder_kb_per_s))
        self.parts = build_components(self)
        self.renew = next((part.renew for part in self.parts if part.renew is not None), None)
        guides = [part.guide for part in self.parts if part.guide is not None]
        self.module = Controller(
            config.settings, config.seed, guides[0] if len(guides) == 1 else CombinedProviders(guides)
        )
        limits = EdgeLimits(
            dial_s=config.dial_us / SECOND,
            idle_s=config.idle_us / SECOND * IDLE_PART,
            silence_s=config.silence_us / SECOND,
            per_connection=config.streams_per_connection,
            connections=config.sockets // 4,
        )
        self.edges = EdgePool(reactor, limits, self.post, self.standing)
        edges: EdgeServers = self.edges
        for part in self.parts:
            edges = part.edges(edges)
            reactor.addSystemEventTrigger("after", "shutdown", part.close)
        self.nodes = frozenset[str]().union(*(part.nodes for part in self.parts))
        self.loop = SessionDispatcher(
            self.module,
            edges,
            now_us,
            self._wake,
            config.period_us,
            classes,
            overload_retry_after_ms(config.settings),
        )
        self.front = RtspServer(
            reactor,
            self.post,
            self.ready,
            self.terms,
            config.sockets // 2,
            self.loop.eviction_candidates,
            self.renew,
        )
        self.feed = EndpointWatch(reactor, config.coordinator_address, config.index, self._changed)
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
        self.loop.tick()
        host, port = self.config.listen
        self.listener = self.front.listen(host, port, BACKLOG)
        port = self.listener.getHost().port
        for part in self.parts:
            part.start()
        self.edges.start()
        self.feed.poll()
        if self.parts:
            self._tick(0)
        gc.collect()
        gc.freeze()  # what is here now stays: collections need not look at it
        log.info(
            "serving",
            extra={
                "broker": self.config.name,
                "listen": f"{host}:{port}",
                "servers": len(self.module.servers),
            },
        )

    def reload(self) -> None:
        """Read the configuration again and move to the coordinator named. Guards against a broker that
        ends for a new file, or for a bad one: connections, sessions and the last index stay as they are."""
        try:
            config = self.again()
        except ConfigError as error:
            log.error("configuration not taken, the old one stands", extra={"fault": str(error)})
            return
        self.feed.move(config.coordinator_address)
        for part in self.parts:
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
        log.info("stopping", extra={"sessions": len(self.loop.sessions.entries)})
        now_s = self.reactor.seconds()
        play_s = max(STAY_S, self.config.grace_us / SECOND - LEAVE_S)
        self.reactor.callLater(STAY_S, self._stop_when_done, now_s + play_s, now_s + LONGEST_S)

    def _stop_when_done(self, play_until_s: float, last_s: float) -> None:
        now_s = self.reactor.seconds()
        if now_s >= play_until_s:
            self.loop.release_all()
        # What lies unread was taken all the same. Guards against an end in the moment after this process was held up:
        # its timers are due before it has looked at its sockets.
        stays = (
            self.loop.has_pending_work
            or now_s < play_until_s
            and (self.loop.sessions.entries or self._unread())
        )
        if now_s < last_s and stays:
            self.reactor.callLater(0.02, self._stop_when_done, play_until_s, last_s)
        else:  # nothing stands any more: it has ended by itself, or just above
            self.listener.stopListening()
            self.front.finish()
            for part in self.parts:
                part.finish()
            self.reactor.callLater(0.1, self.reactor.stop)  # what was just written leaves first

    def _unread(self) -> bool:
        """Whether a connection or a message has come that was not looked at yet."""
        return (
            self.front.unread()
            or readable(self.listener.fileno())
            or any(part.unread() for part in self.parts)
        )

    def _tick(self, told: int) -> None:
        """Have the parts do what is due, and log what they have to say, with a summary now and then."""
        for part in self.parts:
            for news in part.tick(now_us(), told % SUMMARY_S == 0):
                log.info(news.name, extra=dict(news.fields))
        self.reactor.callLater(1, self._tick, told + 1)

    def post(self, item: Any) -> None:
        self.loop.post(item)

    def standing(self, edge: str) -> int:
        return self.loop.sessions_at(edge)

    def _wake(self, at_us: int) -> None:
        if self._call is not None and self._call.active():
            self._call.cancel()
        self._call = self.reactor.callLater(max(0, at_us - now_us()) / SECOND, self._due, at_us)

    def _due(self, at_us: int) -> None:
        """A tick is due. Guards against one that decides without what has come, as this process was held up: an answer
        that lies unread beside its time-out, a viewer that has left. The sockets are looked at once before it."""
        if now_us() - at_us > self.config.period_us:
            self._call = self.reactor.callLater(0, self.loop.tick)
        else:
            self.loop.tick()

    def ready(self) -> bool:
        return bool(self.module.servers) and not self.stopping

    def _changed(self, change: Change) -> None:
        edges = [entry for entry in change.news.servers if entry.server not in self.nodes]
        self.edges.named(ServerListUpdate(edges, change.news.complete), change.addresses)
        self.loop.post(EndpointListChanged(change.news))


def _bound_descriptors(most: int) -> None:
    """Keep the process itself inside its limit, whatever it was started with."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft == resource.RLIM_INFINITY or soft > most:
        resource.setrlimit(resource.RLIMIT_NOFILE, (most, hard))
