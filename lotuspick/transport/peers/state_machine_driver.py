"""The daemon's driver of state machines: Twisted's timers, a durable store and the link between brokers.

The driver provides the guarantees listed in :mod:`lotuspick.state_machine` and has no other logic.
``tests/transport/test_state_machine_drivers.py`` runs the same tests against it and the simulated network.
"""

from __future__ import annotations

import logging
import time
from collections import deque
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from lotuspick.state_machine import (
    CommandReceived,
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
from lotuspick.transport.sockets import Reactor
from lotuspick.transport.storage.errors import StoreError
from lotuspick.transport.storage.group_commit import CommitCallback

log = logging.getLogger(__name__)

WRITE_RETRY_S = 1.0  # delay before a failed write is retried
NS_PER_US, US_PER_S = 1_000, 1_000_000

PersistRecords = Callable[[Sequence[tuple[str, bytes]], CommitCallback], None]
"""Writes keys and records atomically, and calls back later on the reactor's thread."""


def boottime_us() -> int:
    """Return the time since the machine booted, including suspend (us)."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // NS_PER_US


@dataclass(frozen=True, slots=True)
class _RunningTimer:
    due_us: int
    """On the driver's clock."""
    call: Any
    """Twisted's delayed call."""


class StateMachineDriver:
    """Drives one state machine; all calls are made on the reactor's thread."""

    def __init__(
        self,
        reactor: Reactor,
        machine: StateMachine,
        persist: PersistRecords,
        send: Callable[[SendMessage], object],
        notify: Callable[[Any], None],
        clock: Callable[[], int] = boottime_us,
        on_timer_step: Callable[[], None] = lambda: None,
    ) -> None:
        """Create the driver; :meth:`start` takes the first step.

        Args:
            reactor: Twisted's reactor.
            machine: the state machine.
            persist: writes its records.
            send: sends its messages.
            notify: receives its notifications.
            clock: returns the time of a step (us); it is monotonic and includes suspend.
            on_timer_step: called after each step that a timer triggers.
        """
        self.reactor, self.machine, self.clock = reactor, machine, clock
        self.persist, self.send, self.notify = persist, send, notify
        self.on_timer_step = on_timer_step
        self.write_error: StoreError | None = None
        """The error of the last write; None if it succeeded."""
        self._effects = EffectQueue()
        self._pending_records: list[tuple[str, bytes]] = []  # in order, records in flight first
        self._in_flight_count = 0  # records that are being written
        self._timers: dict[str, _RunningTimer] = {}
        self._events: deque[Event] = deque()
        self._stepping = self._closed = False

    # ---- events -------------------------------------------------------------------------------------------

    def start(self, records: Mapping[str, bytes], seed: int) -> None:
        """Start the machine with the stored records, and a seed for its random numbers."""
        self._dispatch(ProcessStarted(records, seed))

    def receive_message(self, peer: str, message: Any) -> None:
        """Pass a message to the machine; ``peer`` is the address of its sender."""
        self._dispatch(MessageReceived(peer, message))

    def submit_command(self, command: Any) -> None:
        """Pass a command of this broker to the machine."""
        self._dispatch(CommandReceived(command))

    def close(self) -> None:
        """Stop the driver: no more steps are taken, and nothing is sent or written."""
        self._closed = True
        for timer in self._timers.values():
            if timer.call.active():
                timer.call.cancel()
        self._timers.clear()

    def _dispatch(self, event: Event) -> None:
        """Step the machine; events raised by an effect wait until all effects of the step are applied."""
        self._events.append(event)
        if self._stepping:
            return
        self._stepping = True
        try:
            while self._events and not self._closed:
                effects = self.machine.step(self.clock(), self._events.popleft())
                self._apply_effects(self._effects.add(effects))
        finally:
            self._stepping = False

    # ---- effects ------------------------------------------------------------------------------------------

    def _apply_effects(self, effects: Sequence[Effect]) -> None:
        for effect in effects:
            match effect:
                case PersistRecord(key=key, record=record):
                    self._pending_records.append((key, record))
                case SendMessage():
                    self.send(effect)
                case StartTimer(timer=timer, delay_us=delay_us):
                    self._start_timer(timer, self.clock() + delay_us)
                case Notify(notification=notification):
                    self.notify(notification)
        self._write()

    # ---- writes -------------------------------------------------------------------------------------------

    def _write(self) -> None:
        """Write one batch at a time, so that no later write is durable before an earlier one."""
        if self._in_flight_count or not self._pending_records or self._closed:
            return
        self._in_flight_count = len(self._pending_records)
        self.persist(tuple(self._pending_records), self._on_written)

    def _on_written(self, error: StoreError | None) -> None:
        count, self._in_flight_count = self._in_flight_count, 0
        if self._closed:
            return
        if error is not None:
            self._on_write_failed(error)
            return
        self.write_error = None
        del self._pending_records[:count]
        first = self._effects.committed + 1
        last = self._effects.committed + count
        self._apply_effects(self._effects.commit(last))
        for write_number in range(first, last + 1):
            self._dispatch(WriteCommitted(write_number))
        self._write()

    def _on_write_failed(self, error: StoreError) -> None:
        """Schedule a retry, and log a new error; effects that depend on the write remain blocked."""
        if self.write_error is None or str(error) != str(self.write_error):
            log.error("record_write_failed", extra={"error": str(error)})
        self.write_error = error
        self.reactor.callLater(WRITE_RETRY_S, self._write)

    # ---- timers -------------------------------------------------------------------------------------------

    def _start_timer(self, name: str, due_us: int) -> None:
        """Start a timer, which replaces a timer of the same name."""
        previous = self._timers.get(name)
        if previous is not None and previous.call.active():
            previous.call.cancel()
        delay_s = max(0, due_us - self.clock()) / US_PER_S
        call = self.reactor.callLater(delay_s, self._on_timer_due, name)
        self._timers[name] = _RunningTimer(due_us, call)

    def _on_timer_due(self, name: str) -> None:
        timer = self._timers.pop(name)
        # The reactor uses another clock. A timer may fire late but never early.
        if self.clock() < timer.due_us:
            self._start_timer(name, timer.due_us)
            return
        self._dispatch(TimerFired(name))
        self.on_timer_step()
