"""lotuspick inside a client: the decision module and the dispatcher as a plug-in for an RPC library.

The RPC library manages its own connections. It implements :class:`Calls`, which starts and cancels calls, and
reports events to the plug-in. The plug-in picks servers and rungs, and returns one answer for each request:

    plugin = Plugin(settings, seed=7, calls=calls)
    plugin.servers(ServerListUpdate([...], complete=True))
    plugin.request(request, on_answer)         # one Served, Rejected or Failed, later Released after a Served
    plugin.answered(server, session, payload)  # the call that Calls.start started was answered
    plugin.ended(server, session, TerminationReason.RESET)
    threading.Thread(target=plugin.run).start()

Methods may be called from any thread; ``on_answer`` and ``Calls`` are called from the thread of ``run`` (or
of ``step``, if the library has its own event loop) and must not block.
"""

from __future__ import annotations

import threading
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from lotuspick.core.constraints import ConstraintProvider
from lotuspick.core.controller import Controller
from lotuspick.core.events import (
    LoadReport,
    PlayerHint,
    ReadingTopic,
    ServerHint,
    ServerListUpdate,
    SessionRequest,
)
from lotuspick.core.settings import Settings
from lotuspick.routing.dispatcher import SessionDispatcher, overload_retry_after_ms
from lotuspick.routing.interfaces import AttemptRequest
from lotuspick.routing.messages import (
    AttemptAnswered,
    EdgeServerFailed,
    EdgeServerNotified,
    EdgeServerReleased,
    EndpointListChanged,
    HintReceived,
    InboundMessage,
    SessionCancelled,
    SessionRequested,
)
from lotuspick.routing.termination import TerminationReason

__all__ = [
    "AttemptRequest",
    "Calls",
    "Failed",
    "Plugin",
    "Rejected",
    "Released",
    "Served",
    "TerminationReason",
]

PERIOD_US = 10_000
"""Default time between two ticks of the dispatcher."""
US_PER_S = 1_000_000


@dataclass(frozen=True, slots=True)
class Served:
    """The session plays at a server; ``payload`` is the payload of that server's answer."""

    session: str
    payload: bytes


@dataclass(frozen=True, slots=True)
class Rejected:
    """The request was rejected and not executed; it may be retried after ``retry_after_ms``."""

    session: str
    retry_after_ms: int
    """0: no delay is requested."""
    reason: str = ""
    """Reason of the constraint provider that rejected the request; empty if none did."""


@dataclass(frozen=True, slots=True)
class Failed:
    """The request failed; it may have been executed."""

    session: str


@dataclass(frozen=True, slots=True)
class Released:
    """A playing session has ended."""

    session: str
    reason: TerminationReason


Answer = Served | Rejected | Failed | Released


class Calls(Protocol):
    """The operations that the RPC library provides for the plug-in.

    The library reports a call that it cannot start with :meth:`Plugin.ended`.
    """

    def start(self, server: str, attempt: AttemptRequest) -> None:
        """Start the call that sets up a session; ``attempt.description`` is the payload of its request."""

    def cancel(self, server: str, session: str) -> bool:
        """Cancel the call; returns True only if it is certain that it was never sent."""

    def release(self, server: str, session: str) -> None:
        """End a playing session."""

    def set_rung(self, server: str, session: str, rung: int) -> None:
        """Change the rung of a playing session."""


class _CallsAsEdgeServers:
    """Adapts :class:`Calls` to the dispatcher's interface to edge servers."""

    def __init__(self, calls: Calls) -> None:
        self.calls = calls

    def start_attempt(self, server: str, attempt: AttemptRequest) -> TerminationReason | None:
        self.calls.start(server, attempt)
        return None

    def cancel_attempt(self, server: str, session: str) -> bool:
        return self.calls.cancel(server, session)

    def release(self, server: str, session: str, reason: TerminationReason) -> None:  # noqa: ARG002
        self.calls.release(server, session)

    def set_rung(self, server: str, session: str, rung: int) -> None:
        self.calls.set_rung(server, session, rung)

    def keep_connected(self, server: str) -> None:
        """Do nothing: the RPC library manages its connections."""


class _Requester:
    """Adapts an answer callback to a viewer connection; always open, because it is in this process."""

    is_open, is_closed_by_viewer, last_message_us = True, False, 0

    def __init__(self, on_answer: Callable[[Answer], None]) -> None:
        self.on_answer = on_answer

    def served(self, session: str, description: bytes) -> None:
        self.on_answer(Served(session, description))

    def rejected(self, session: str, retry_after_ms: int, reason: str = "") -> None:
        self.on_answer(Rejected(session, retry_after_ms, reason))

    def failed(self, session: str, reason: str = "") -> None:  # noqa: ARG002
        self.on_answer(Failed(session))

    def close_with_error(self, reason: str) -> None:
        """Do nothing: there is no connection to close."""

    def released(self, session: str, reason: TerminationReason) -> None:
        self.on_answer(Released(session, reason))


UNIX_EPOCH_OFFSET_NS = time.time_ns() - time.monotonic_ns()
"""Unix time at the zero of the monotonic clock, sampled when this module was loaded."""


def unix_us() -> int:
    """Return Unix time in integer microseconds, the clock of deadlines; it never goes backwards."""
    return (UNIX_EPOCH_OFFSET_NS + time.monotonic_ns()) // 1_000


class Plugin:
    """The plug-in of one client; the caller assigns each session an id and must not reuse it."""

    def __init__(
        self,
        settings: Settings,
        seed: int,
        calls: Calls,
        clock: Callable[[], int] = unix_us,
        period_us: int = PERIOD_US,
        constraint_provider: ConstraintProvider | None = None,
    ) -> None:
        """Start without servers and sessions.

        Args:
            settings: the site's settings.
            seed: seed of the random draws among servers.
            calls: starts and cancels calls.
            clock: returns the current time in microseconds.
            period_us: time between two ticks of the dispatcher.
            constraint_provider: restricts the placement of sessions; None: no restriction.
        """
        self.clock = clock
        self.dispatcher = SessionDispatcher(
            Controller(settings, seed, constraint_provider),
            _CallsAsEdgeServers(calls),
            clock,
            self._request_tick,
            period_us,
            frozenset(session_class.name for session_class in settings.classes),
            overload_retry_after_ms(settings),
            settings.single_execution_classes,
            settings.largest_stream_limit,
        )
        self._next_tick_us: int | None = None  # None: no tick is scheduled
        self._condition = threading.Condition()
        self._closed = False

    # ---- reports from the RPC library

    def servers(self, update: ServerListUpdate) -> None:
        """Report the endpoint list or a change of it."""
        self.post(EndpointListChanged(update))

    def request(
        self, request: SessionRequest, on_answer: Callable[[Answer], None], payload: bytes = b""
    ) -> None:
        """Request a session; its deadline is measured on this plug-in's clock.

        ``on_answer`` is called with one :class:`Served`, :class:`Rejected` or :class:`Failed`, and after a
        :class:`Served` with one :class:`Released`.
        """
        self.post(SessionRequested(request, payload, _Requester(on_answer)))

    def cancel(self, session: str) -> None:
        """Cancel a request or end a playing session."""
        self.post(SessionCancelled(session))

    def answered(self, server: str, session: str, payload: bytes = b"") -> None:
        """Report that a call was answered: the session plays."""
        self.post(AttemptAnswered(server, session, payload))

    def ended(
        self,
        server: str,
        session: str,
        reason: TerminationReason,
        load_report: LoadReport | None = None,
    ) -> None:
        """Report that a call ended without an answer, or that a playing session has ended."""
        self.post(EdgeServerReleased(server, session, reason, reason, load_report or {}))

    def server_failed(self, server: str, reason: TerminationReason = TerminationReason.RESET) -> None:
        """Report that a server has failed, which ends all its sessions."""
        self.post(EdgeServerFailed(server, reason))

    def notified(self, server: str, session: str, topic: ReadingTopic, value: float) -> None:
        """Report a reading of a playing session; ``topic`` is one of SHARE, RUNG, LINK, RACK."""
        self.post(EdgeServerNotified(server, session, topic, value))

    def hinted(self, hint: PlayerHint | ServerHint) -> None:
        """Report a hint of a player or a server; its weight depends on the trust in its source."""
        self.post(HintReceived(hint))

    def change(self, apply: Callable[[int], None]) -> None:
        """Change a constraint provider between two ticks.

        For example ``plugin.change(lambda now: cells.apply_plan(plan, now))``.
        Exceptions of ``apply`` propagate to the caller.
        """
        with self._condition:
            apply(self.clock())

    # ---- running

    def step(self) -> float | None:
        """Run the tick if it is due; return the seconds until the next, or None if none is scheduled."""
        with self._condition:
            due_us, now = self._next_tick_us, self.clock()
            if due_us is not None and due_us <= now:
                self._next_tick_us = None
                self.dispatcher.tick()
                due_us = self._next_tick_us
            return None if due_us is None else max(0.0, (due_us - self.clock()) / US_PER_S)

    def run(self) -> None:
        """Call :meth:`step` whenever a tick is due, until :meth:`close`."""
        while not self._closed:
            wait_s = self.step()
            with self._condition:
                if not self._closed and (self._next_tick_us is None or self._next_tick_us > self.clock()):
                    self._condition.wait(wait_s)

    def close(self) -> None:
        """End all playing sessions and make :meth:`run` return."""
        with self._condition:
            self.dispatcher.release_all()
            self._closed = True
            self._condition.notify_all()

    def post(self, message: InboundMessage) -> None:
        """Post a message to the dispatcher, for constraint providers; see ``program/entitlement.py``."""
        with self._condition:
            self.dispatcher.post(message)

    def _request_tick(self, at_us: int) -> None:
        with self._condition:
            self._next_tick_us = at_us if self._next_tick_us is None else min(self._next_tick_us, at_us)
            self._condition.notify_all()
