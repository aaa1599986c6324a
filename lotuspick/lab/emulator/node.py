"""One media node: a queue of set-ups, and a link shared by all its streams."""

from __future__ import annotations

from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING

from lotuspick.core.events import EndpointState, ReadingTopic, ServerEntry
from lotuspick.lab.emulator.simulation import ONE_WAY_DELAY_US, Simulation
from lotuspick.lab.emulator.spec import (
    CLASSES,
    LADDER_KB_PER_S,
    NODE_KIND,
    SECOND_US,
    SLOW_START_SHARE,
    STREAMS_PER_SESSION,
    WARM_UP_S,
    ZONES,
)
from lotuspick.routing.interfaces import AttemptRequest
from lotuspick.routing.messages import (
    AttemptAnswered,
    AttemptTerminated,
    EdgeServerFailed,
    EdgeServerNotified,
    EdgeServerReleased,
)
from lotuspick.routing.termination import TerminationReason

if TYPE_CHECKING:
    from lotuspick.lab.emulator.attempt import Attempt
    from lotuspick.lab.emulator.broker import BrokerProcess, EmulatedBroker

SET_UP_SERVICE_TIME_US = 20_000
"""Time for which a set-up occupies the queue of its node."""
SET_UP_DELAY_US = 40_000
"""Latency of a set-up in addition to its service time."""
FAILURE_DETECTION_DELAY_US = 40_000
"""Time until a broker detects that a node has crashed."""
WARM_UP_US = WARM_UP_S * SECOND_US
LINK_CAPACITY_FACTORS = (0.82, 1.18)
"""Range of the ratio of actual to nominal link capacity."""
CRASHED_CAUSE = "node died"


@dataclass(slots=True, eq=False)
class Stream:
    """A session that is playing on a node."""

    session: str
    owner: BrokerProcess
    viewer: Attempt
    rung: int
    bitrate_factor: float
    """Ratio of its actual bitrate to that of its class."""
    bitrate_scale: float
    """Bitrate scale of its class."""

    @property
    def kb_per_s(self) -> float:
        """Return its demand on the link."""
        return LADDER_KB_PER_S[self.rung] * self.bitrate_scale * self.bitrate_factor


class MediaNode:
    """One media node."""

    def __init__(self, simulation: Simulation, index: int) -> None:
        spec = simulation.spec
        random_source = simulation.random_stream(f"node {index}")
        self._simulation = simulation
        self.index = index
        self.name = f"m-{index:02d}"
        self.zone = ZONES[index * len(ZONES) // spec.nodes]
        self.rack = index % spec.racks
        self.link_kb_per_s = spec.link_kb_per_s * random_source.uniform(*LINK_CAPACITY_FACTORS)
        self.stream_limit = int(spec.sessions_per_link * STREAMS_PER_SESSION)
        self.streams: dict[str, Stream] = {}
        """By session."""
        self.pending: dict[str, BrokerProcess] = {}
        """Queued and running set-ups: the requesting broker process by session."""
        self.up = True
        self.slowdown = 1
        """Factor on the duration of set-ups."""
        self.link_share = 1.0
        """Ratio of current to regular link capacity."""
        self.state = EndpointState.ACTIVE
        self.started_us = 0
        self._queue_free_us = 0
        self._process = 0

    def entry(self) -> ServerEntry:
        """Return its current entry for the endpoint list."""
        return ServerEntry(
            server=self.name,
            zone=self.zone,
            kind=NODE_KIND,
            position=self.index,
            state=self.state,
            weight=1.0,
            started_us=self.started_us,
            address=f"10.{self.index % 8}.0.{self.index}:9000",
        )

    # ---- load ---------------------------------------------------------------------------------------------

    @property
    def demand_kb_per_s(self) -> float:
        """Return the total demand of its streams on the link."""
        return sum(stream.kb_per_s for stream in self.streams.values())

    @property
    def capacity_kb_per_s(self) -> float:
        """Return the current link capacity."""
        return self.link_kb_per_s * self.link_share

    @property
    def load(self) -> float:
        """Return the ratio of demand to capacity of the link."""
        return self.demand_kb_per_s / self.capacity_kb_per_s

    def warm_up_share(self) -> float:
        """Return the share of its capacity that the node has while it warms up; 1 afterwards."""
        age_us = self._simulation.now_us - self.started_us
        if not self.started_us or age_us >= WARM_UP_US:
            return 1.0
        return max(SLOW_START_SHARE, age_us / WARM_UP_US)

    # ---- sessions -----------------------------------------------------------------------------------------

    def set_up(self, owner: BrokerProcess, attempt: AttemptRequest, viewer: Attempt) -> None:
        """Handle a broker's attempt: reject it or queue the set-up."""
        simulation = self._simulation
        if not self.up:
            refused = AttemptTerminated(self.name, attempt.session, TerminationReason.DIAL_REFUSED)
            simulation.call_later(ONE_WAY_DELAY_US, lambda: owner.deliver(refused))
            return
        if len(self.streams) + len(self.pending) >= self.stream_limit:
            simulation.call_later(ONE_WAY_DELAY_US, lambda: owner.deliver(self._rejection(attempt.session)))
            return
        self.pending[attempt.session] = owner
        now_us = simulation.now_us
        self._queue_free_us = max(self._queue_free_us, now_us) + SET_UP_SERVICE_TIME_US * self.slowdown
        delay_us = self._queue_free_us - now_us + SET_UP_DELAY_US * self.slowdown
        simulation.call_later(delay_us, partial(self._answer, self._process, owner, attempt, viewer))

    def _rejection(self, session: str) -> EdgeServerReleased:
        return EdgeServerReleased(
            self.name,
            session,
            TerminationReason.REJECTED_BY_SERVER,
            TerminationReason.INTERRUPTED,
            {ReadingTopic.LINK: self.load},
        )

    def _answer(self, process: int, owner: BrokerProcess, attempt: AttemptRequest, viewer: Attempt) -> None:
        """Complete a set-up: the session starts to play."""
        if process != self._process or self.pending.pop(attempt.session, None) is None:
            return  # the node or the requesting broker has crashed since
        simulation, session, session_class = self._simulation, attempt.session, attempt.session_class
        simulation.audit.record_set_up(
            simulation.now_us, session, session_class, attempt.rung, self.name, viewer.intent.tenant
        )
        bitrate_scale = CLASSES[session_class].bitrate_scale
        self.streams[session] = Stream(
            session, owner, viewer, attempt.rung, viewer.title.bitrate_factor, bitrate_scale
        )
        load = self.load
        owner.deliver(AttemptAnswered(self.name, session, b""), ONE_WAY_DELAY_US)
        owner.deliver(EdgeServerNotified(self.name, session, ReadingTopic.LINK, load), ONE_WAY_DELAY_US)
        simulation.call_later(int(viewer.remaining_s * SECOND_US), lambda: self._finish(session))

    def _finish(self, session: str) -> None:
        """End a session that has played its full length."""
        stream = self.streams.pop(session, None)
        if stream is not None:
            finished = TerminationReason.FINISHED
            released = EdgeServerReleased(
                self.name, session, finished, finished, {ReadingTopic.LINK: self.load}
            )
            stream.owner.deliver(released, ONE_WAY_DELAY_US)

    def release(self, session: str) -> None:
        """End a session on a broker's request."""
        self.streams.pop(session, None)

    def drop_sessions_of(self, broker: EmulatedBroker) -> None:
        """Drop the sessions and pending set-ups of a broker whose process has ended."""
        for session, owner in list(self.pending.items()):
            if owner.broker is broker:
                del self.pending[session]
        for stream in list(self.streams.values()):
            if stream.owner.broker is broker:
                self.release(stream.session)

    # ---- the process --------------------------------------------------------------------------------------

    def crash(self) -> None:
        """End the process: brokers see connections reset, and later dials are refused."""
        self.up = False
        self._process += 1
        owners = {stream.owner for stream in self.streams.values()} | set(self.pending.values())
        for session, owner in self.pending.items():
            reset = AttemptTerminated(self.name, session, TerminationReason.RESET)
            owner.deliver(reset, ONE_WAY_DELAY_US)
        failed = EdgeServerFailed(self.name, TerminationReason.SERVER_DOWN)
        for owner in sorted(owners, key=lambda owner: owner.broker.index):
            owner.deliver(failed, FAILURE_DETECTION_DELAY_US)
        for stream in self.streams.values():
            stream.viewer.end_cause = CRASHED_CAUSE
        self.streams, self.pending = {}, {}

    def restart(self) -> None:
        """Start the process again; the node has to warm up."""
        self.up = True
        self.state = EndpointState.ACTIVE
        self.started_us = self._simulation.now_us
