"""The step form: how the parts that make brokers a fleet are written, and what whoever drives them has to keep.

A part is a state machine that does no I/O, reads no clock and draws no random number but from a seed that it is
given: it is told what happened and when, and says what is to be done. The same step is driven by the daemon, by the
simulated network and by the explorer, and none of these has logic of its own. What a driver keeps is this:

1. Effects are carried out in the order in which a step returned them, those of an earlier step first.
2. A ``Send`` or ``Tell`` that comes after a ``Write`` leaves once that write lasts, and not if it never does: a promise
   cannot outrun the disk. :class:`EffectQueue` does so for all drivers.
3. A write that lasts is told with ``Lasting``, in the order of the writes. After a crash ``Started`` brings, for each
   key, the last record that lasted or a later one that was written: a write may last untold.
4. Of one name one timer is set: a later ``SetTimer`` takes the place of the one before. A timer may fire late, never
   early.
5. ``now`` never goes back while a process lives. It goes on while the machine sleeps, and is no wall clock.
6. A message may be lost, doubled, late or out of order, unless the link promises more; it is never another message.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any, Protocol


@dataclass(frozen=True, slots=True)
class ProcessStarted:
    """The process begins: what its disk holds by key, and a seed for all that it draws. A wiped disk holds nothing."""

    records: Mapping[str, bytes]
    seed: int


@dataclass(frozen=True, slots=True)
class MessageReceived:
    """A message came. ``peer`` is who the link says has sent it."""

    peer: str
    message: Any


@dataclass(frozen=True, slots=True)
class WriteCommitted:
    """A write lasts: its number, counted from 1 at the start of the process."""

    write_number: int


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer is due."""

    timer: str


@dataclass(frozen=True, slots=True)
class CommandReceived:
    """The broker that the part belongs to wants something of it."""

    command: Any


Event = ProcessStarted | MessageReceived | WriteCommitted | TimerFired | CommandReceived


@dataclass(frozen=True, slots=True)
class PersistRecord:
    """Keep a record under a key, in place of the one before."""

    key: str
    record: bytes


@dataclass(frozen=True, slots=True)
class SendMessage:
    """Send a message. ``sure``: by the link that keeps order and tries again; else once, and it may be lost."""

    peer: str
    message: Any
    reliable: bool = False


@dataclass(frozen=True, slots=True)
class StartTimer:
    """Have ``Fired`` come after a time (us); in place of the timer of the same name."""

    timer: str
    delay_us: int


@dataclass(frozen=True, slots=True)
class Notify:
    """What the part's own broker should know."""

    notification: Any


Effect = PersistRecord | SendMessage | StartTimer | Notify


class StateMachine(Protocol):
    """A part in the step form."""

    def step(self, now: int, event: Event) -> Sequence[Effect]:
        """Take one event at a time ``now`` (us); return what is to be done, in order."""


@dataclass(slots=True)
class EffectQueue:
    """Holds back what must not leave before a write lasts (rule 2), for any driver."""

    written: int = 0
    committed: int = 0
    blocked: deque[tuple[int, Effect]] = field(default_factory=deque)
    """What waits, with the write that it waits for."""

    def add(self, effects: Sequence[Effect]) -> list[Effect]:
        """Take the effects of a step; returns those that are to be carried out at once, in order."""
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

    def commit(self, write: int) -> list[Effect]:
        """A write lasts, and with it all before; returns what it has held back. Raises ``ValueError`` for one that was
        never written."""
        if write > self.written:
            raise ValueError(f"write {write} was never asked for, {self.written} were")
        self.committed = max(self.committed, write)
        ready: list[Effect] = []
        while self.blocked and self.blocked[0][0] <= self.committed:
            ready.append(self.blocked.popleft()[1])
        return ready
