"""Interfaces to viewers, edge servers and the tenant directory.

They are independent of any protocol; each transport implements them for its own.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from lotuspick.errors import LotuspickError
from lotuspick.routing.termination import TerminationReason


class ViewerConnection(Protocol):
    """One viewer connection of any protocol; calls on a closed connection have no effect."""

    @property
    def is_open(self) -> bool:
        """Whether data can still be written to the connection."""

    @property
    def is_closed_by_viewer(self) -> bool:
        """Whether the viewer has closed the connection, even if the transport has not read the close yet."""

    @property
    def last_message_us(self) -> int:
        """Time of the last complete message from the viewer, in dispatcher clock microseconds; 0: none."""

    def served(self, session: str, description: bytes) -> None:
        """Report that the session plays; ``description`` is the edge server's, byte for byte."""

    def rejected(self, session: str, retry_after_ms: int, reason: str = "") -> None:
        """Report that the request was not executed, so that the viewer may retry it.

        Args:
            session: the id of the request.
            retry_after_ms: the delay before a retry; 0: none.
            reason: the reason of the constraint provider that rejected the request; empty if none did.
        """

    def failed(self, session: str, reason: str = "") -> None:
        """Report that the request failed; it may have been executed."""

    def released(self, session: str, reason: TerminationReason) -> None:
        """Report that a playing session has ended."""

    def close_with_error(self, reason: str) -> None:
        """Report a protocol error to the peer and close the connection."""


@dataclass(frozen=True, slots=True)
class AttemptRequest:
    """One attempt as sent to an edge server; ``description`` is the viewer's, byte for byte."""

    session: str
    session_class: str
    title: str
    rung: int
    timeout_ms: int
    description: bytes


class EdgeServers(Protocol):
    """The connections to all edge servers, which are identified by id."""

    def start_attempt(self, server: str, attempt: AttemptRequest) -> TerminationReason | None:
        """Send or queue an attempt; returns the reason if neither is possible, else None."""

    def cancel_attempt(self, server: str, session: str) -> bool:
        """Withdraw an attempt; returns True if it was still queued and therefore never sent."""

    def release(self, server: str, session: str, reason: TerminationReason) -> None:
        """End a session that plays or may play."""

    def set_rung(self, server: str, session: str, rung: int) -> None:
        """Change the rung of a session that plays."""

    def keep_connected(self, server: str) -> None:
        """Open a connection if there is none, because sessions play on the server."""


class TenantDirectory(Protocol):
    """The directory of the tenants."""

    def rates(self) -> dict[str, float]:
        """Read the request rate of each tenant, in requests per second; may block.

        Raises:
            TenantDirectoryError: the directory cannot be read.
        """


class TenantDirectoryError(LotuspickError):
    """The directory cannot be read; the text states the reason."""
