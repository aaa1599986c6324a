"""Machines in the step form on a network and disks that fail, in virtual time, all drawn from one seed.

What a driver has to keep (:mod:`lotuspick.state_machine`) is kept here, and beyond that as little as that allows: messages are
lost, doubled and overtaken, timers fire late, a write that was not told may have lasted when its process died. Nothing
depends on the real time or on the order of a set, so that a seed plays the same bytes each time.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Any

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

MS = 1_000
FOREVER_US = 1 << 60
RESUME = object()  # a stall ends by itself


@dataclass(slots=True)
class Weather:
    """How the network is at present; times in us."""

    delay_us: tuple[int, int] = (200, 2_000)
    loss: float = 0.0
    doubled: float = 0.0
    disk_us: tuple[int, int] = (500, 5_000)


@dataclass(slots=True, eq=False)
class Host:
    """One machine, with its disk and its clock."""

    name: str
    make: Callable[[], StateMachine]
    begin: Sequence[Any]
    """What its broker asks for after each start."""
    rate: float = 1.0
    """How fast its clock runs."""
    disk: dict[str, bytes] = field(default_factory=dict)
    machine: Any = None
    process: int = 0
    """Rises with each start; what was meant for an earlier one is dropped."""
    up: bool = False
    stalled_until_us: int = 0
    held: list[tuple[int, Any]] = field(default_factory=list)
    """What has come while it stalls."""
    outbox: EffectQueue = field(default_factory=EffectQueue)
    timers: dict[str, int] = field(default_factory=dict)
    writes: int = 0
    """Asked for since the start."""
    unsure: list[tuple[int, str, bytes]] = field(default_factory=list)
    """Those that do not last yet."""
    kept_us: int = 0
    """When the last of them does: writes last in their order."""


class World:
    """All of it. Hosts are named by the addresses of their links."""

    def __init__(self, seed: int, weather: Weather | None = None) -> None:
        self.random = random.Random(seed)
        self.weather = weather or Weather()
        self.hosts: dict[str, Host] = {}
        self.cuts: set[tuple[str, str]] = set()
        self.now_us = 0
        self.told: list[tuple[int, str, Any]] = []
        """All that was told, with the time and by which host."""
        self.sent = self.lost = 0
        self._due: list[tuple[int, int, str, int, Any]] = []
        self._made = 0
        self._last: dict[tuple[str, str], int] = {}  # when the last sure message of a pair comes

    # ---- hosts --------------------------------------------------------------------------------------------

    def add(
        self, name: str, make: Callable[[], StateMachine], begin: Sequence[Any], rate: float = 1.0
    ) -> Host:
        """A host that is down at first."""
        self.hosts[name] = Host(name, make, begin, rate)
        return self.hosts[name]

    def start(self, name: str, wipe: bool = False) -> None:
        """Start the process of a host, on the disk it has."""
        host = self.hosts[name]
        if host.up:
            raise ValueError(f"{name} is up")
        if wipe:
            host.disk = {}
        host.process += 1
        host.up, host.machine, host.outbox, host.timers = True, host.make(), EffectQueue(), {}
        host.held = []
        host.stalled_until_us, host.writes, host.kept_us, host.unsure = 0, 0, 0, []
        self._step(host, ProcessStarted(dict(host.disk), self.random.getrandbits(62)))
        for event in host.begin:
            self._step(host, event)

    def crash(self, name: str) -> None:
        """Kill the process. Of the writes that were not told some lasted, the earlier ones first."""
        host = self.hosts[name]
        for _, key, record in host.unsure[: self.random.randint(0, len(host.unsure))]:
            host.disk[key] = record
        host.up = False

    def stall(self, name: str, us: int = FOREVER_US) -> None:
        """The process does nothing for a time, or until it is resumed; what comes meanwhile waits."""
        self.hosts[name].stalled_until_us = self.now_us + us
        self._later(self.now_us + us, name, 0, RESUME)

    def resume(self, name: str) -> None:
        """A process that stalls goes on, with what has come meanwhile."""
        host = self.hosts[name]
        host.stalled_until_us = 0
        held, host.held = host.held, []
        for process, event in held:
            self._later(self.now_us, name, process, event)

    def ask(self, name: str, event: Event) -> None:
        """Have a host's machine take an event now."""
        self._step(self.hosts[name], event)

    # ---- the network --------------------------------------------------------------------------------------

    def cut(self, one: Sequence[str], other: Sequence[str], both: bool = True) -> None:
        """Nothing gets from the one side to the other any more; ``both``: nor back."""
        for a in one:
            for b in other:
                self.cuts.add((a, b))
                if both:
                    self.cuts.add((b, a))

    def heal(self) -> None:
        self.cuts.clear()

    # ---- time ---------------------------------------------------------------------------------------------

    def run(self, us: int, each: Callable[[], None] | None = None) -> None:
        """Let so much time pass; ``each`` is called after every step, as a check."""
        until_us = self.now_us + us
        while self._due and self._due[0][0] <= until_us:
            at_us, _, name, process, event = heapq.heappop(self._due)
            host = self.hosts[name]
            self.now_us = at_us
            if not host.up or process not in (0, host.process):
                continue
            if event is RESUME:
                if host.stalled_until_us <= at_us:
                    self.resume(name)
                continue
            if host.stalled_until_us > at_us or host.held:
                host.held.append((process, event))
                continue
            self._happens(host, event)
            if each is not None:
                each()
        self.now_us = until_us

    def clock(self, host: Host) -> int:
        """A host's own time."""
        return int(self.now_us * host.rate)

    def _happens(self, host: Host, event: Any) -> None:
        match event:
            case TimerFired(timer=timer):
                if timer not in host.timers or host.timers[timer] > self.clock(host):
                    return  # another has taken its place, or had
                del host.timers[timer]
            case WriteCommitted(write_number=write):
                while host.unsure and host.unsure[0][0] <= write:
                    _, key, record = host.unsure.pop(0)
                    host.disk[key] = record
                self._carry_out(host, host.outbox.commit(write))
            case _:
                pass
        self._step(host, event)

    def _step(self, host: Host, event: Event) -> None:
        self._carry_out(host, host.outbox.add(host.machine.step(self.clock(host), event)))

    def _carry_out(self, host: Host, effects: Sequence[Effect]) -> None:
        for effect in effects:
            match effect:
                case PersistRecord(key=key, record=record):
                    host.writes += 1
                    host.unsure.append((host.writes, key, record))
                    host.kept_us = max(host.kept_us, self.now_us + self.random.randint(*self.weather.disk_us))
                    self._later(host.kept_us, host.name, host.process, WriteCommitted(host.writes))
                case SendMessage():
                    self._send(host, effect)
                case StartTimer(timer=timer, delay_us=delay_us):
                    host.timers[timer] = self.clock(host) + delay_us
                    self._later(
                        self.now_us + int(delay_us / host.rate) + 1 + self.random.randint(0, MS),
                        host.name,
                        host.process,
                        TimerFired(timer),
                    )
                case Notify(notification=news):
                    self.told.append((self.now_us, host.name, news))

    def _send(self, host: Host, effect: SendMessage) -> None:
        self.sent += 1
        pair, weather = (host.name, effect.peer), self.weather
        lost = not effect.reliable and self.random.random() < weather.loss
        if effect.peer not in self.hosts or pair in self.cuts or lost:
            self.lost += 1
            return
        at_us = self.now_us + self.random.randint(*weather.delay_us)
        if effect.reliable:
            at_us = self._last[pair] = max(at_us, self._last.get(pair, 0) + 1)
        for _ in range(1 if effect.reliable or self.random.random() >= weather.doubled else 2):
            self._later(at_us, effect.peer, 0, MessageReceived(host.name, effect.message))
            at_us += self.random.randint(*weather.delay_us)

    def _later(self, at_us: int, name: str, process: int, event: Any) -> None:
        self._made += 1
        heapq.heappush(self._due, (at_us, self._made, name, process, event))
