"""Simulation of state machines on an unreliable network and disks, in virtual time, from one seed.

The simulation keeps the guarantees of a driver (:mod:`lotuspick.state_machine`) and no others: messages are
lost, duplicated and reordered, timers fire late, and an unconfirmed write may be on disk after its process
was killed. Nothing depends on real time or on the order of a set, so that a seed reproduces a run exactly.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from lotuspick.state_machine import (
    Effect,
    EffectQueue,
    Event,
    MessageReceived,
    Notify,
    PersistRecord,
    ProcessStarted,
    SendMessage,
    StartTimer,
    StateMachine,
    TimerFired,
    WriteCommitted,
)

MS_US = 1_000
FOREVER_US = 1 << 60
ANY_PROCESS = 0
"""Addresses an event to the process of its host that is running at delivery."""
START_RANDOM_BITS = 62
"""Size of the random seed that a process is started with."""


class _StallEnded:
    """Event at the end of a timed stall."""


_STALL_ENDED = _StallEnded()


@dataclass(slots=True)
class NetworkConditions:
    """Current behaviour of network and disks; times in microseconds."""

    delay_us: tuple[int, int] = (200, 2_000)
    """Minimum and maximum delay of a message."""
    loss: float = 0.0
    """Share of unreliable messages that are lost."""
    duplication: float = 0.0
    """Share of unreliable messages that arrive twice."""
    disk_us: tuple[int, int] = (500, 5_000)
    """Minimum and maximum duration of a write."""


class PendingWrite(NamedTuple):
    """An unconfirmed write."""

    number: int
    key: str
    record: bytes


class _ScheduledEvent(NamedTuple):
    """An event scheduled for a host; ordered by time, then by order of scheduling."""

    at_us: int
    number: int
    host: str
    process: int
    """Number of the process of the host that receives it, or ``ANY_PROCESS``."""
    event: Any


class Notification(NamedTuple):
    """A notification from a state machine to its broker."""

    at_us: int
    host: str
    content: Any


@dataclass(slots=True, eq=False)
class SimulatedHost:
    """A host with its disk, its clock and its current process."""

    name: str
    create_machine: Callable[[], StateMachine]
    startup_events: Sequence[Any]
    """Events that the state machine receives after each start."""
    clock_rate: float = 1.0
    """Rate of its clock relative to simulated time."""
    disk: dict[str, bytes] = field(default_factory=dict)
    machine: Any = None
    process: int = 0
    """Number of the current process; events for an earlier one are dropped."""
    up: bool = False
    stalled_until_us: int = 0
    deferred: list[tuple[int, Any]] = field(default_factory=list)
    """Events that arrived during a stall, each with the number of its process."""
    effects: EffectQueue = field(default_factory=EffectQueue)
    timers: dict[str, int] = field(default_factory=dict)
    """Due time of each timer, on the host's clock."""
    write_count: int = 0
    """Number of writes requested since the start."""
    pending_writes: list[PendingWrite] = field(default_factory=list)
    last_write_done_us: int = 0
    """Time at which the last write is confirmed; writes are confirmed in order."""

    def start_process(self) -> None:
        """Replace the process by a new one."""
        self.process += 1
        self.up = True
        self.machine = self.create_machine()
        self.effects = EffectQueue()
        self.timers = {}
        self.deferred = []
        self.stalled_until_us = 0
        self.write_count = 0
        self.pending_writes = []
        self.last_write_done_us = 0

    def confirm_writes(self, last_number: int) -> None:
        """Move the writes up to a number to the disk."""
        while self.pending_writes and self.pending_writes[0].number <= last_number:
            write = self.pending_writes.pop(0)
            self.disk[write.key] = write.record


class SimulatedNetwork:
    """Simulated hosts and the network between them. Hosts are identified by the addresses of their links.

    Args:
        seed: Random seed of the simulation.
        conditions: Initial network conditions.
    """

    def __init__(self, seed: int, conditions: NetworkConditions | None = None) -> None:
        self.random = random.Random(seed)
        self.conditions = conditions or NetworkConditions()
        self.hosts: dict[str, SimulatedHost] = {}
        self.cut_links: set[tuple[str, str]] = set()
        """Sender and receiver of each direction that is cut."""
        self.now_us = 0
        self.notifications: list[Notification] = []
        self.sent_count = self.lost_count = 0
        self._schedule: list[_ScheduledEvent] = []
        self._scheduled_count = 0
        self._last_reliable_us: dict[tuple[str, str], int] = {}
        """Arrival time of the last reliable message, by sender and receiver."""

    # ---- hosts --------------------------------------------------------------------------------------------

    def add(
        self,
        name: str,
        create_machine: Callable[[], StateMachine],
        startup_events: Sequence[Any],
        clock_rate: float = 1.0,
    ) -> SimulatedHost:
        """Add a host, initially down."""
        self.hosts[name] = SimulatedHost(name, create_machine, startup_events, clock_rate)
        return self.hosts[name]

    def start(self, name: str, wipe: bool = False) -> None:
        """Start the process of a host; ``wipe``: with an empty disk.

        Raises:
            ValueError: The host is up.
        """
        host = self.hosts[name]
        if host.up:
            raise ValueError(f"{name} is up")
        if wipe:
            host.disk = {}
        host.start_process()
        self._step(host, ProcessStarted(dict(host.disk), self.random.getrandbits(START_RANDOM_BITS)))
        for event in host.startup_events:
            self._step(host, event)

    def crash(self, name: str) -> None:
        """Kill the process of a host. A random prefix of the unconfirmed writes reaches the disk."""
        host = self.hosts[name]
        written_count = self.random.randint(0, len(host.pending_writes))
        for write in host.pending_writes[:written_count]:
            host.disk[write.key] = write.record
        host.up = False

    def stall(self, name: str, duration_us: int = FOREVER_US) -> None:
        """Suspend a process for a time, or until it is resumed; arriving events are deferred."""
        self.hosts[name].stalled_until_us = self.now_us + duration_us
        self._schedule_event(self.now_us + duration_us, name, ANY_PROCESS, _STALL_ENDED)

    def resume(self, name: str) -> None:
        """Resume a stalled process and deliver the deferred events."""
        host = self.hosts[name]
        host.stalled_until_us = 0
        deferred, host.deferred = host.deferred, []
        for process, event in deferred:
            self._schedule_event(self.now_us, name, process, event)

    def deliver(self, name: str, event: Event) -> None:
        """Deliver an event to a host's state machine immediately."""
        self._step(self.hosts[name], event)

    # ---- the network --------------------------------------------------------------------------------------

    def cut(self, senders: Sequence[str], receivers: Sequence[str], both_ways: bool = True) -> None:
        """Cut the links from senders to receivers; ``both_ways``: in the opposite direction too."""
        for sender in senders:
            for receiver in receivers:
                self.cut_links.add((sender, receiver))
                if both_ways:
                    self.cut_links.add((receiver, sender))

    def heal(self) -> None:
        """Restore all links."""
        self.cut_links.clear()

    # ---- time ---------------------------------------------------------------------------------------------

    def run(self, duration_us: int, check: Callable[[], None] | None = None) -> None:
        """Advance the time, and call ``check`` after each step."""
        until_us = self.now_us + duration_us
        while self._schedule and self._schedule[0].at_us <= until_us:
            scheduled = heapq.heappop(self._schedule)
            self.now_us = scheduled.at_us
            if self._dispatch(scheduled) and check is not None:
                check()
        self.now_us = until_us

    def _dispatch(self, scheduled: _ScheduledEvent) -> bool:
        """Deliver an event to its host; return False if it was dropped or deferred."""
        host = self.hosts[scheduled.host]
        if not host.up or scheduled.process not in (ANY_PROCESS, host.process):
            return False
        if scheduled.event is _STALL_ENDED:
            if host.stalled_until_us <= self.now_us:
                self.resume(host.name)
            return False
        if host.stalled_until_us > self.now_us or host.deferred:
            host.deferred.append((scheduled.process, scheduled.event))
            return False
        self._handle(host, scheduled.event)
        return True

    def _schedule_event(self, at_us: int, host: str, process: int, event: Any) -> None:
        self._scheduled_count += 1
        heapq.heappush(self._schedule, _ScheduledEvent(at_us, self._scheduled_count, host, process, event))

    def clock_us(self, host: SimulatedHost) -> int:
        """Return the time on a host's clock."""
        return int(self.now_us * host.clock_rate)

    # ---- steps of a host ----------------------------------------------------------------------------------

    def _handle(self, host: SimulatedHost, event: Any) -> None:
        match event:
            case TimerFired(timer=timer):
                if timer not in host.timers or host.timers[timer] > self.clock_us(host):
                    return  # the timer was restarted, or has fired already
                del host.timers[timer]
            case WriteCommitted(write_number=number):
                host.confirm_writes(number)
                self._perform(host, host.effects.commit(number))
            case _:
                pass
        self._step(host, event)

    def _step(self, host: SimulatedHost, event: Event) -> None:
        self._perform(host, host.effects.add(host.machine.step(self.clock_us(host), event)))

    def _perform(self, host: SimulatedHost, effects: Sequence[Effect]) -> None:
        for effect in effects:
            match effect:
                case PersistRecord(key=key, record=record):
                    self._write(host, key, record)
                case SendMessage():
                    self._send(host, effect)
                case StartTimer(timer=timer, delay_us=delay_us):
                    self._start_timer(host, timer, delay_us)
                case Notify(notification=content):
                    self.notifications.append(Notification(self.now_us, host.name, content))

    def _write(self, host: SimulatedHost, key: str, record: bytes) -> None:
        host.write_count += 1
        host.pending_writes.append(PendingWrite(host.write_count, key, record))
        done_us = self.now_us + self.random.randint(*self.conditions.disk_us)
        host.last_write_done_us = max(host.last_write_done_us, done_us)
        committed = WriteCommitted(host.write_count)
        self._schedule_event(host.last_write_done_us, host.name, host.process, committed)

    def _start_timer(self, host: SimulatedHost, timer: str, delay_us: int) -> None:
        """Start a timer; it fires up to 1 ms late."""
        host.timers[timer] = self.clock_us(host) + delay_us
        late_us = 1 + self.random.randint(0, MS_US)
        at_us = self.now_us + int(delay_us / host.clock_rate) + late_us
        self._schedule_event(at_us, host.name, host.process, TimerFired(timer))

    def _send(self, host: SimulatedHost, effect: SendMessage) -> None:
        self.sent_count += 1
        link, conditions = (host.name, effect.peer), self.conditions
        lost = not effect.reliable and self.random.random() < conditions.loss
        if effect.peer not in self.hosts or link in self.cut_links or lost:
            self.lost_count += 1
            return
        at_us = self.now_us + self.random.randint(*conditions.delay_us)
        if effect.reliable:
            at_us = self._last_reliable_us[link] = max(at_us, self._last_reliable_us.get(link, 0) + 1)
        delivered_once = effect.reliable or self.random.random() >= conditions.duplication
        for _ in range(1 if delivered_once else 2):
            received = MessageReceived(host.name, effect.message)
            self._schedule_event(at_us, effect.peer, ANY_PROCESS, received)
            at_us += self.random.randint(*conditions.delay_us)
