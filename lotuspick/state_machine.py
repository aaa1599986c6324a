"""State machines of the fleet: their interface, events and effects, and the guarantees of their drivers.

A state machine does no I/O, reads no clock, and derives all random numbers from a given seed. Each step
takes an event and its time, and returns effects. The daemon, the simulated network and the explorer are
drivers of the same step function and contain no protocol logic. A driver guarantees:

1. Effects are executed in the order in which a step returned them, and after the effects of earlier steps.
2. A :class:`SendMessage` or :class:`Notify` that follows a :class:`PersistRecord` is executed after that
   write is committed, and never if the write is not committed. A message therefore cannot promise state
   that a crash could lose. :class:`EffectQueue` implements this rule.
3. Each commit is reported with :class:`WriteCommitted`, in the order of the writes. After a crash,
   :class:`ProcessStarted` contains, for each key, the last committed record or a later written record: a
   write may be committed without a report.
4. There is one timer per name: a later :class:`StartTimer` replaces an earlier one. A timer may fire late,
   but never early.
5. ``now`` never decreases during the life of a process. It advances while the machine sleeps and is not a
   wall clock.
6. A message may be lost, duplicated, delayed or reordered, unless the link guarantees more. It is never
   altered.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any, Protocol


@dataclass(frozen=True, slots=True)
class ProcessStarted:
    """The process starts, with its stored records by key (none after a wipe) and its random seed."""

    records: Mapping[str, bytes]
    seed: int


@dataclass(frozen=True, slots=True)
class MessageReceived:
    """A message was received; ``peer`` is the sender as identified by the link."""

    peer: str
    message: Any


@dataclass(frozen=True, slots=True)
class WriteCommitted:
    """A write is committed; writes are numbered from 1 at the start of the process."""

    write_number: int


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer has expired."""

    timer: str


@dataclass(frozen=True, slots=True)
class CommandReceived:
    """The broker that owns the state machine sent a command."""

    command: Any


Event = ProcessStarted | MessageReceived | WriteCommitted | TimerFired | CommandReceived


@dataclass(frozen=True, slots=True)
class PersistRecord:
    """Store a record under a key and replace the previous record."""

    key: str
    record: bytes


@dataclass(frozen=True, slots=True)
class SendMessage:
    """Send a message; ``reliable``: over the link that retries and keeps order, otherwise once."""

    peer: str
    message: Any
    reliable: bool = False


@dataclass(frozen=True, slots=True)
class StartTimer:
    """Request :class:`TimerFired` after ``delay_us``; replaces the timer of the same name."""

    timer: str
    delay_us: int


@dataclass(frozen=True, slots=True)
class Notify:
    """Notify the broker that owns the state machine."""

    notification: Any


Effect = PersistRecord | SendMessage | StartTimer | Notify


class StateMachine(Protocol):
    """Interface of a state machine."""

    def step(self, now: int, event: Event) -> Sequence[Effect]:
        """Handle one event at clock time ``now`` (us); return the effects in order."""


@dataclass(slots=True)
class EffectQueue:
    """Delays effects that must wait for the commit of a write (rule 2), for any driver."""

    written: int = 0
    committed: int = 0
    blocked: deque[tuple[int, Effect]] = field(default_factory=deque)
    """Delayed effects, each with the number of the write that it waits for."""

    def add(self, effects: Sequence[Effect]) -> list[Effect]:
        """Add the effects of a step; return the effects to execute at once, in order."""
        ready: list[Effect] = []
        for effect in effects:
            match effect:
                case PersistRecord():
                    self.written += 1
                    ready.append(effect)
                case SendMessage() | Notify() if self.written > self.committed:
                    self.blocked.append((self.written, effect))
                case _:
                    ready.append(effect)
        return ready

    def commit(self, committed_write: int) -> list[Effect]:
        """Record the commit of a write and of all earlier writes; return the effects that waited for them.

        Raises:
            ValueError: no write with this number was requested.
        """
        if committed_write > self.written:
            raise ValueError(f"write {committed_write} was never requested; the last write is {self.written}")
        self.committed = max(self.committed, committed_write)
        ready: list[Effect] = []
        while self.blocked and self.blocked[0][0] <= self.committed:
            ready.append(self.blocked.popleft()[1])
        return ready
