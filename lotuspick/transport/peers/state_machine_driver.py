"""The daemon's driver of parts in the step form: Twisted's timers, a store that lasts, the link between brokers.

It keeps what :mod:`lotuspick.state_machine` lists and has no logic beyond that; ``tests/test_steps.py`` holds it and the
simulated network to the same list.
"""

from __future__ import annotations

import logging
import time
from collections import deque
from collections.abc import Callable, Sequence
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

WRITE_RETRY_S = 1.0  # between tries of a write that the disk did not take
PersistRecords = Callable[[Sequence[tuple[str, bytes]], CommitCallback], None]
"""Writes records, all or nothing, and calls back where the decisions are made."""


def awake_us() -> int:
    """Time since the machine started, which goes on while it sleeps (us)."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000


class StateMachineDriver:
    """Drives one machine. ``send`` carries a message out and ``notify`` takes its news; neither may step it by itself.
    ``on_timer_step`` is called after each timer's step."""

    def __init__(
        self,
        reactor: Reactor,
        machine: StateMachine,
        persist: PersistRecords,
        send: Callable[[SendMessage], object],
        notify: Callable[[Any], None],
        clock: Callable[[], int] = awake_us,
        on_timer_step: Callable[[], None] = lambda: None,
    ) -> None:
        self.reactor, self.machine, self.clock = reactor, machine, clock
        self.persist, self.send, self.notify, self.on_timer_step = persist, send, notify, on_timer_step
        self.write_error: StoreError | None = None
        """Why the disk does not take what is written; None: it does."""
        self._effects = EffectQueue()
        self._unwritten: list[
            tuple[str, bytes]
        ] = []  # in order; the first so many are on their way to the disk
        self._in_flight = 0
        self._timers: dict[str, tuple[int, Any]] = {}  # when each is due, and the call that waits for it
        self._events: deque[Event] = deque()
        self._stepping = self._closed = False

    # ---- events -------------------------------------------------------------------------------------------

    def start(self, records: dict[str, bytes], seed: int) -> None:
        self._dispatch(ProcessStarted(records, seed))

    def receive_message(self, peer: str, message: Any) -> None:
        self._dispatch(MessageReceived(peer, message))

    def submit_command(self, command: Any) -> None:
        self._dispatch(CommandReceived(command))

    def close(self) -> None:
        """No timer fires any more, and nothing is sent."""
        self._closed = True
        for _, call in self._timers.values():
            if call.active():
                call.cancel()
        self._timers.clear()

    def _dispatch(self, event: Event) -> None:
        """One event after another: what an effect brings about waits until all effects before it are carried out."""
        self._events.append(event)
        if self._stepping:
            return
        self._stepping = True
        try:
            while self._events and not self._closed:
                self._carry_out(self._effects.add(self.machine.step(self.clock(), self._events.popleft())))
        finally:
            self._stepping = False

    # ---- effects ------------------------------------------------------------------------------------------

    def _carry_out(self, effects: Sequence[Effect]) -> None:
        for effect in effects:
            match effect:
                case PersistRecord(key=key, record=record):
                    self._unwritten.append((key, record))
                case SendMessage():
                    self.send(effect)
                case StartTimer(timer=timer, delay_us=delay_us):
                    self._start_timer(timer, self.clock() + delay_us)
                case Notify(notification=news):
                    self.notify(news)
        self._write()

    def _write(self) -> None:
        """One batch is on its way at a time, so that no later write lasts before an earlier one."""
        if self._in_flight or not self._unwritten or self._closed:
            return
        self._in_flight = len(self._unwritten)
        self.persist(tuple(self._unwritten), self._written)

    def _written(self, error: StoreError | None) -> None:
        count, self._in_flight = self._in_flight, 0
        if self._closed:
            return
        if error is not None:
            if self.write_error is None or str(error) != str(self.write_error):
                log.error(
                    "a record does not last, nothing that rests on it is said", extra={"fault": str(error)}
                )
            self.write_error = error
            self.reactor.callLater(WRITE_RETRY_S, self._write)
            return
        self.write_error = None
        del self._unwritten[:count]
        last = self._effects.committed + count
        first = self._effects.committed + 1
        self._carry_out(self._effects.commit(last))
        for write in range(first, last + 1):
            self._dispatch(WriteCommitted(write))
        self._write()

    def _start_timer(self, timer: str, due_us: int) -> None:
        if timer in self._timers and self._timers[timer][1].active():
            self._timers[timer][1].cancel()
        self._timers[timer] = (
            due_us,
            self.reactor.callLater(max(0, due_us - self.clock()) / 1e6, self._on_timer_due, timer),
        )

    def _on_timer_due(self, timer: str) -> None:
        due_us, _ = self._timers.pop(timer)
        if self.clock() < due_us:  # the reactor's clock is another one: late it may be, never early
            self._start_timer(timer, due_us)
            return
        self._dispatch(TimerFired(timer))
        self.on_timer_step()
