"""Queued messages to an edge server, and set-ups that await an answer."""

from __future__ import annotations

from dataclasses import dataclass

from lotuspick.transport.edge_servers.edge_connection import EdgeConnection

# Without any message for this time after a set-up, a new connection is opened. Most servers answer in 0.1 s.
UNRESPONSIVE_AFTER_S = 0.3


@dataclass(slots=True, eq=False)
class QueuedMessage:
    """A message that is queued until a connection is open; ``session`` is set only for a set-up."""

    frame: bytes
    session: str = ""


@dataclass(frozen=True, slots=True)
class SentAttempt:
    """A set-up that was written to a connection and awaits an answer."""

    connection: EdgeConnection
    written_s: float

    def is_unresponsive(self, now_s: float) -> bool:
        """Return whether the set-up is older than ``UNRESPONSIVE_AFTER_S`` with no message received since."""
        return self.connection.last_message_s < self.written_s < now_s - UNRESPONSIVE_AFTER_S
