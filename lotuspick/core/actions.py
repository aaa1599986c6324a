"""Actions: the instructions that the controller returns to its caller, in order of execution."""

from __future__ import annotations

from dataclasses import dataclass

from lotuspick.core.events import AttemptOutcome, Event


@dataclass(frozen=True, slots=True)
class SetRung:
    """Set the session's rung; a change before the session starts costs nothing."""

    session: str
    rung: int


@dataclass(frozen=True, slots=True)
class ForwardAttempt:
    """Request ``server`` to start the session; the attempt times out after ``timeout_us``."""

    session: str
    server: str
    timeout_us: int


@dataclass(frozen=True, slots=True)
class RejectSession:
    """Final answer: rejected; the viewer may safely retry. ``retry_after_us`` 0: no retry time is given."""

    session: str
    retry_after_us: int = 0
    reason: str = ""
    """The reason given by a constraint provider; empty: the core itself rejected the session."""


@dataclass(frozen=True, slots=True)
class FailSession:
    """Final answer: failed; the session may or may not have been set up."""

    session: str


@dataclass(frozen=True, slots=True)
class StartTimer:
    """Request a :class:`TimerFired` event after ``delay_us``."""

    timer_id: int
    delay_us: int
    session: str = ""
    """The session whose request needs the event: none is needed once it plays or has ended. Empty: none."""


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Subscribe to updates of the server list."""


@dataclass(frozen=True, slots=True)
class LogMessage:
    """A log line for on-call staff from a decision module that has no action type of its own."""

    text: str


@dataclass(frozen=True, slots=True)
class ServerEjected:
    """Notify on-call staff that a server gets no attempts for ``duration_us``, because of ``outcome``."""

    server: str
    outcome: AttemptOutcome
    duration_us: int

    @property
    def text(self) -> str:
        """The message as a single line."""
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
