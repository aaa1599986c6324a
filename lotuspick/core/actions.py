"""Actions: what the controller asks its owner to do, in order."""

from __future__ import annotations

from dataclasses import dataclass

from lotuspick.core.events import AttemptOutcome, Event


@dataclass(frozen=True, slots=True)
class SetRung:
    """Set the session's rung; free before its start."""

    session: str
    rung: int


@dataclass(frozen=True, slots=True)
class ForwardAttempt:
    """Ask ``server`` to start the session; the attempt times out after ``timeout_us``."""

    session: str
    server: str
    timeout_us: int


@dataclass(frozen=True, slots=True)
class RejectSession:
    """Final answer: rejected; to ask again is harmless. ``retry_after_us`` 0: no advice."""

    session: str
    retry_after_us: int = 0
    reason: str = ""
    """The reason of a constraint provider; empty: the decisions' own."""


@dataclass(frozen=True, slots=True)
class FailSession:
    """Final answer: failed, with no promise about the effect."""

    session: str


@dataclass(frozen=True, slots=True)
class StartTimer:
    """Ask for a :class:`TimerFired` in ``delay_us``."""

    timer_id: int
    delay_us: int


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Ask for changes of the server list from now on."""


@dataclass(frozen=True, slots=True)
class LogMessage:
    """A line of text for on-call staff, of a decision module without a type of its own for it."""

    text: str


@dataclass(frozen=True, slots=True)
class ServerEjected:
    """Notify on-call staff that a server is given no attempts for ``duration_us``, after this outcome."""

    server: str
    outcome: AttemptOutcome
    duration_us: int

    @property
    def text(self) -> str:
        """The message as one line."""
        return f"eject {self.server} {self.outcome} {self.duration_us // 1000} ms"


Action = (
    SetRung
    | ForwardAttempt
    | RejectSession
    | FailSession
    | StartTimer
    | Subscribe
    | LogMessage
    | ServerEjected
)

Observation = Event | ForwardAttempt | RejectSession | FailSession
