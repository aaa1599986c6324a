"""Attempts that were withdrawn after they had been sent: whether they were executed is not known yet."""

from __future__ import annotations


class IndeterminateAttempts:
    """Withdrawn attempts by session and server.

    A late message from a server identifies its attempt unambiguously: the decision module never forwards a
    session twice to one server, and no request is accepted under a session id that is in this table.
    """

    def __init__(self) -> None:
        """Start without attempts."""
        self.withdrawn_at_us: dict[tuple[str, str], int] = {}  # oldest first
        self.servers: dict[str, set[str]] = {}  # by session

    def __contains__(self, session: str) -> bool:
        """Whether an attempt of the session may still be executed."""
        return session in self.servers

    def add(self, session: str, server: str, now: int) -> None:
        """Add an attempt that was withdrawn at ``now`` microseconds."""
        self.resolve(session, server)  # reinserts the entry, so that the oldest stays first
        self.withdrawn_at_us[session, server] = now
        self.servers.setdefault(session, set()).add(server)

    def resolve(self, session: str, server: str) -> bool:
        """Remove an attempt whose result is known; returns False if it is not in the table."""
        if self.withdrawn_at_us.pop((session, server), None) is None:
            return False
        servers = self.servers[session]
        servers.discard(server)
        if not servers:
            del self.servers[session]
        return True

    def expire(self, before_us: int) -> None:
        """Remove attempts withdrawn before ``before_us``; no message about them can arrive any more."""
        while self.withdrawn_at_us:
            (session, server), withdrawn_at_us = next(iter(self.withdrawn_at_us.items()))
            if withdrawn_at_us >= before_us:
                break
            self.resolve(session, server)
