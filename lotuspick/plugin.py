"""lotuspick inside a client: the decisions and the loop as a plug-in for an RPC library, without any wire.

The RPC library keeps its own connections. It implements :class:`Calls`, which starts and cancels calls, and
tells the plug-in what it sees; the plug-in picks servers and rungs, and owes each request one answer:

    plugin = Plugin(settings, seed=7, calls=calls)
    plugin.servers(ServerList([...], complete=True))
    plugin.ask(request, on_answer)             # one Served, Refused or Failed, later Released after a Served
    plugin.answered(server, session, payload)  # the call that Calls.start began has an answer
    plugin.ended(server, session, Ending.RESET)
    threading.Thread(target=plugin.run).start()

Methods may be called from any thread; ``on_answer`` and ``Calls`` are called from the thread of ``run`` (or
of ``step``, where the library has a loop of its own) and must not block.
"""

from __future__ import annotations

import threading
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Protocol

from lotuspick.core.constraints import ConstraintProvider
from lotuspick.core.controller import Controller
from lotuspick.core.events import PlayerHint, ServerHint, ServerListUpdate, SessionRequest
from lotuspick.core.settings import Settings
from lotuspick.routing.dispatcher import SessionDispatcher, stay_away_ms
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
    "Calls",
    "TerminationReason",
    "Failed",
    "Plugin",
    "Refused",
    "Released",
    "Served",
    "AttemptRequest",
]

PERIOD_US = 10_000


@dataclass(frozen=True, slots=True)
class Served:
    """The session stands at a server; ``payload`` is what that server answered."""

    session: str
    payload: bytes


@dataclass(frozen=True, slots=True)
class Refused:
    """To ask again is harmless, after ``gap_ms`` where above 0."""

    session: str
    gap_ms: int
    why: str = ""
    """The reason of a guide, if it was one."""


@dataclass(frozen=True, slots=True)
class Failed:
    """No promise about the effect."""

    session: str


@dataclass(frozen=True, slots=True)
class Released:
    """A session that stood is over."""

    session: str
    reason: TerminationReason


Answer = Served | Refused | Failed | Released


class Calls(Protocol):
    """What the RPC library does for the plug-in. A call that cannot be started is reported with ``ended``."""

    def start(self, server: str, ask: AttemptRequest) -> None:
        """Begin the call that sets a session up, with the payload of the request as its description."""

    def cancel(self, server: str, session: str) -> bool:
        """Cancel it. True only where it provably never left this process."""

    def release(self, server: str, session: str) -> None:
        """End a session that stands."""

    def set_rung(self, server: str, session: str, rung: int) -> None:
        """Change the rung of a session that stands."""


class _Edges:
    """The loop's view of :class:`Calls`."""

    def __init__(self, calls: Calls) -> None:
        self.calls = calls

    def start_attempt(self, edge: str, ask: AttemptRequest) -> TerminationReason | None:
        self.calls.start(edge, ask)
        return None

    def cancel_attempt(self, edge: str, session: str) -> bool:
        return self.calls.cancel(edge, session)

    def release(self, edge: str, session: str, ending: TerminationReason) -> None:
        self.calls.release(edge, session)

    def set_rung(self, edge: str, session: str, rung: int) -> None:
        self.calls.set_rung(edge, session, rung)

    def keep_connected(self, edge: str) -> None:
        pass


class _Asker:
    """The loop's view of whoever asked: never gone, since it is in this process."""

    is_open, last_message_us = True, 0

    def __init__(self, tell: Callable[[Answer], None]) -> None:
        self.tell = tell

    def served(self, session: str, description: bytes) -> None:
        self.tell(Served(session, description))

    def rejected(self, session: str, gap_ms: int, why: str = "") -> None:
        self.tell(Refused(session, gap_ms, why))

    def failed(self, session: str, why: str = "") -> None:
        self.tell(Failed(session))

    def close_with_error(self, why: str) -> None:
        """Only a connection can be closed."""

    def released(self, session: str, ending: TerminationReason) -> None:
        self.tell(Released(session, ending))


ANCHOR_NS = time.time_ns() - time.monotonic_ns()


def unix_us() -> int:
    """Unix time as it went on since this module was loaded, whole microseconds; deadlines of requests are on it."""
    return (ANCHOR_NS + time.monotonic_ns()) // 1_000


class Plugin:
    """One client's decisions. Sessions are named by the caller; a name is not used again."""

    def __init__(
        self,
        settings: Settings,
        seed: int,
        calls: Calls,
        clock: Callable[[], int] = unix_us,
        period_us: int = PERIOD_US,
        guide: ConstraintProvider | None = None,
    ) -> None:
        self.clock = clock
        self.loop = SessionDispatcher(
            Controller(settings, seed, guide),
            _Edges(calls),
            clock,
            self._wake,
            period_us,
            frozenset(each.name for each in settings.classes),
            stay_away_ms(settings),
        )
        self._due_us: int | None = None
        self._changed = threading.Condition()
        self._closed = False

    # ---- what the RPC library tells -----------------------------------------------------------------------

    def servers(self, news: ServerListUpdate) -> None:
        """The server list, or a change of it."""
        self.post(EndpointListChanged(news))

    def ask(self, request: SessionRequest, on_answer: Callable[[Answer], None], payload: bytes = b"") -> None:
        """Ask for a session; its deadline is on this plug-in's clock."""
        self.post(SessionRequested(request, payload, _Asker(on_answer)))

    def drop(self, session: str) -> None:
        """Nobody wants the session any more, whether it stands or not."""
        self.post(SessionCancelled(session))

    def answered(self, server: str, session: str, payload: bytes = b"") -> None:
        """The call has an answer: the session stands."""
        self.post(AttemptAnswered(server, session, payload))

    def ended(
        self, server: str, session: str, ending: TerminationReason, report: Mapping[str, float] | None = None
    ) -> None:
        """A call ended without an answer, or a session that stood is over."""
        self.post(EdgeServerReleased(server, session, ending, ending, report or {}))

    def lost(self, server: str, ending: TerminationReason = TerminationReason.RESET) -> None:
        """A server is gone, and all that stood there with it."""
        self.post(EdgeServerFailed(server, ending))

    def noted(self, server: str, session: str, topic: str, value: float) -> None:
        """A note on a session that stands: ``share``, ``rung``, ``link`` or ``rack``."""
        self.post(EdgeServerNotified(server, session, topic, value))

    def hinted(self, hint: PlayerHint | ServerHint) -> None:
        """A hint, weighed by the trust that its source has earned."""
        self.post(HintReceived(hint))

    def change(self, then: Callable[[int], None]) -> None:
        """Change a guide between two steps: ``plugin.change(lambda now: cells.take(plan, now))``. What ``then``
        raises is raised here."""
        with self._changed:
            then(self.clock())

    # ---- running ------------------------------------------------------------------------------------------

    def step(self) -> float | None:
        """Do what is due. Returns the seconds until more will be, or None where nothing is planned."""
        with self._changed:
            due, now = self._due_us, self.clock()
            if due is not None and due <= now:
                self._due_us = None
                self.loop.tick()
                due = self._due_us
            return None if due is None else max(0.0, (due - self.clock()) / 1e6)

    def run(self) -> None:
        """Step until ``close``."""
        while not self._closed:
            wait_s = self.step()
            with self._changed:
                if not self._closed and (self._due_us is None or self._due_us > self.clock()):
                    self._changed.wait(wait_s)

    def close(self) -> None:
        """Release what stands, and let ``run`` return."""
        with self._changed:
            self.loop.release_all()
            self._closed = True
            self._changed.notify_all()

    def post(self, item: InboundMessage) -> None:
        """Put an item into the loop's inbox, as a guide's helper may have to: see ``program/entitled.py``."""
        with self._changed:
            self.loop.post(item)

    def _wake(self, at_us: int) -> None:
        with self._changed:
            self._due_us = at_us if self._due_us is None else min(self._due_us, at_us)
            self._changed.notify_all()
