"""Ids of ended sessions that were or may have been executed, for classes that forbid repetition.

A viewer whose connection closed may send its set-up again under the same id. If the first one was executed,
the second must not be.
"""

from __future__ import annotations

RETENTION_US = 10_000_000
"""Time for which an id is kept: as long as for messages about withdrawn attempts.

A set-up that crosses a close is sent again within 50 ms of it."""
MAX_EXECUTED_SESSIONS = 32_768
"""Number of ids from which set-ups of these classes are rejected, so that no id is forgotten early."""


class ExecutedSessions:
    """Recently ended sessions that must not be executed again, by id."""

    def __init__(self, session_classes: frozenset[str]) -> None:
        """Start without sessions.

        Args:
            session_classes: the classes whose sessions may be executed only once; others are not kept.
        """
        self.session_classes = session_classes
        self._ended_at_us: dict[str, int] = {}  # oldest first

    def __contains__(self, session: str) -> bool:
        """Whether a session with this id was or may have been executed."""
        return session in self._ended_at_us

    def __len__(self) -> int:
        """Return the number of ids."""
        return len(self._ended_at_us)

    def is_full_for(self, session_class: str) -> bool:
        """Return whether no further session of a class can be kept."""
        return session_class in self.session_classes and len(self) >= MAX_EXECUTED_SESSIONS

    def add(self, session: str, session_class: str, now: int) -> None:
        """Keep the id of a session that ended at ``now`` microseconds, if its class forbids repetition."""
        if session_class in self.session_classes:
            self._ended_at_us.pop(session, None)  # reinserted, so that the oldest stays first
            self._ended_at_us[session] = now

    def discard(self, session: str) -> None:
        """Forget an id: its only attempt was not executed."""
        self._ended_at_us.pop(session, None)

    def expire(self, now: int) -> None:
        """Forget the ids of sessions that ended longer than ``RETENTION_US`` ago."""
        while self._ended_at_us:
            session, ended_at_us = next(iter(self._ended_at_us.items()))
            if ended_at_us > now - RETENTION_US:
                return
            del self._ended_at_us[session]
