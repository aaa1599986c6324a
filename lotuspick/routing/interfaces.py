"""Interfaces through which the dispatcher talks to viewers, edge servers and the tenant directory.

They know no wire: each transport implements them for its own protocol.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from lotuspick.routing.termination import TerminationReason


class ViewerConnection(Protocol):
    """One viewer connection of any front, as the loop sees it. Calls after its end do nothing."""

    @property
    def is_open(self) -> bool:
        """Whether anything can still be written to it."""

    @property
    def last_message_us(self) -> int:
        """When a whole message last came from it, on the clock of the loop; 0: never."""

    def served(self, session: str, description: bytes) -> None:
        """The session plays; the description is the edge server's, byte for byte."""

    def rejected(self, session: str, gap_ms: int, why: str = "") -> None:
        """To ask again is harmless, after ``gap_ms`` where above 0. ``why``: the reason of a guide, if it was one."""

    def failed(self, session: str, why: str = "") -> None:
        """No promise about the effect."""

    def released(self, session: str, ending: TerminationReason) -> None:
        """A session that stood is over."""

    def close_with_error(self, why: str) -> None:
        """Its peer cannot be told apart from itself any more: say why and close."""


@dataclass(frozen=True, slots=True)
class AttemptRequest:
    """One attempt, as an edge server is asked for it."""

    session: str
    session_class: str
    title: str
    rung: int
    timeout_ms: int
    description: bytes


class EdgeServers(Protocol):
    """The connections to all edge servers, known by id."""

    def start_attempt(self, edge: str, ask: AttemptRequest) -> TerminationReason | None:
        """Send or queue an attempt; an ending where that cannot be done."""

    def cancel_attempt(self, edge: str, session: str) -> bool:
        """Take an attempt back. True: it was still queued, so that it never left."""

    def release(self, edge: str, session: str, ending: TerminationReason) -> None:
        """End a session that stands, or that may stand."""

    def set_rung(self, edge: str, session: str, rung: int) -> None:
        """Change the rung of a session that stands."""

    def keep_connected(self, edge: str) -> None:
        """Sessions stand there: see to an open connection."""


RenewToken = Callable[[str, str, Callable[[str], None]], None]
"""Takes a session that plays, a newer token, and what is to be called with a reason, or with nothing once it lasts."""


class TenantDirectory(Protocol):
    """Where the tenants are kept."""

    def rates(self) -> dict[str, float]:
        """Requests a second of each tenant; raises :class:`TenantDirectoryError`. May block."""


class TenantDirectoryError(Exception):
    """The directory cannot be read; the text says why."""
