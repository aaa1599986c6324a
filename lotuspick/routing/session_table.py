"""The sessions of one broker, indexed by id, edge server and viewer connection.

Only :class:`SessionTable` changes its indexes, the phase of an entry and the duplicates of a request. Times
are integer microseconds of the dispatcher's clock.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from enum import Enum
from typing import TypeVar

from lotuspick.core.events import SessionRequest
from lotuspick.routing.interfaces import ViewerConnection
from lotuspick.routing.timers import Timer

DUPLICATE_WINDOW_US = 100_000
"""Maximum age of a duplicate, when the connection of its request closes, to count as sent by the same viewer.
The protocol allows a viewer 50 ms to resend its request."""

_Key = TypeVar("_Key")


class DispatchPhase(Enum):
    """The next step that the dispatcher expects for a session."""

    OPEN = "open"  # a request without an attempt: the decision module must forward or answer it
    FORWARDED = "forwarded"  # an attempt was started: its edge server must answer
    PLAYING = "playing"  # the session plays until one side ends it


@dataclass(slots=True, eq=False)
class SessionEntry:
    """An open request or a playing session. Compared by identity."""

    request: SessionRequest
    description: bytes = b""
    viewer: ViewerConnection | None = None
    server: str = ""
    """The edge server of the current attempt or playing session; empty: none."""
    attempt: int = -1
    rung: int = 0
    forwarded_at_us: int = 0
    written_at_us: int = 0
    """Time at which the attempt was sent; after ``forwarded_at_us`` if a connection had to be opened."""
    phase: DispatchPhase = DispatchPhase.OPEN
    duplicates: dict[ViewerConnection, int] = field(default_factory=dict)
    """Other connections that received the same request while it was open, and the times of receipt."""
    timers: list[Timer] = field(default_factory=list)
    """Timers of the open request, cancelled once it plays or has ended."""
    may_have_executed: bool = False
    """Whether an attempt was or may have been executed; of a reported session, by its server's word only."""
    is_reported: bool = False
    """Whether the session already played when its viewer reported it."""
    size_bytes: int = 0
    """Size of the texts of the request."""
    attempt_timer: Timer | None = None
    """Timer of the current attempt, cancelled once the attempt is answered or has ended."""

    @property
    def is_forwarded(self) -> bool:
        """Whether an attempt waits for the answer of its edge server."""
        return self.phase is DispatchPhase.FORWARDED

    @property
    def is_playing(self) -> bool:
        """Whether the session plays."""
        return self.phase is DispatchPhase.PLAYING

    def cancel_timers(self) -> None:
        """Cancel the timers of the request and of its attempt."""
        self.cancel_attempt_timer()
        for timer in self.timers:
            timer.cancel()
        self.timers.clear()

    def cancel_attempt_timer(self) -> None:
        """Cancel the timer of the current attempt."""
        if self.attempt_timer is not None:
            self.attempt_timer.cancel()
            self.attempt_timer = None


class SessionTable:
    """All open requests and playing sessions, with their indexes."""

    def __init__(self) -> None:
        """Start without sessions."""
        self.entries: dict[str, SessionEntry] = {}
        self.by_server: dict[str, set[str]] = {}
        self.by_connection: dict[ViewerConnection, set[str]] = {}
        self.open_request_count = 0
        self.open_request_bytes = 0
        self.reported_count = 0
        self.reported_by_server = Counter[str]()
        self.reported_bytes = 0

    def add_request(self, session: str, entry: SessionEntry) -> None:
        """Add an open request."""
        self.entries[session] = entry
        self._link(session, entry.viewer)
        entry.size_bytes = _size_bytes(entry)
        self.open_request_count += 1
        self.open_request_bytes += entry.size_bytes

    def add_playing(self, session: str, entry: SessionEntry) -> None:
        """Add a session that already plays at ``entry.server``."""
        entry.phase, entry.is_reported = DispatchPhase.PLAYING, True
        entry.size_bytes = _size_bytes(entry)
        self.reported_count += 1
        self.reported_by_server[entry.server] += 1
        self.reported_bytes += entry.size_bytes
        self._add_to_server(session, entry)
        self._link(session, entry.viewer)

    def begin_attempt(self, session: str, entry: SessionEntry, server: str, now: int) -> None:
        """Start a new attempt of an open request at ``server``."""
        entry.attempt += 1
        entry.server, entry.phase = server, DispatchPhase.FORWARDED
        entry.forwarded_at_us = entry.written_at_us = now
        self._add_to_server(session, entry)

    def end_attempt(self, session: str, entry: SessionEntry) -> None:
        """End the current attempt; the request stays open."""
        entry.cancel_attempt_timer()
        entry.phase = DispatchPhase.OPEN
        self._remove_from_server(session, entry)

    def begin_playing(self, session: str, entry: SessionEntry) -> None:
        """Mark an answered request as playing; drop its duplicates and its timers."""
        entry.cancel_timers()
        entry.phase, entry.may_have_executed = DispatchPhase.PLAYING, True
        self._uncount_open_request(entry)
        self._drop_duplicates(session, entry)

    def remove_session(self, session: str, entry: SessionEntry) -> None:
        """Remove a session, unless its id already belongs to another entry. The entry keeps its phase."""
        entry.cancel_timers()
        if self.entries.get(session) is entry:
            del self.entries[session]
            self._unlink(session, entry.viewer)
            self._drop_duplicates(session, entry)
            if not entry.is_playing:
                self._uncount_open_request(entry)
            elif entry.is_reported:
                self._uncount_reported(entry)
        self._remove_from_server(session, entry)

    def add_duplicate(self, session: str, entry: SessionEntry, viewer: ViewerConnection, now: int) -> None:
        """Record a duplicate of an open request on another connection."""
        entry.duplicates[viewer] = now
        self._link(session, viewer)

    def drop_duplicate(self, session: str, entry: SessionEntry, viewer: ViewerConnection) -> None:
        """Remove a connection from the duplicates of an open request."""
        del entry.duplicates[viewer]
        self._unlink(session, viewer)

    def continue_on_duplicate(self, session: str, entry: SessionEntry, now: int) -> bool:
        """Move an open request whose connection has closed to the connection of a recent duplicate.

        Returns:
            False if there is none, which means that the viewer has left.
        """
        for viewer, received_at_us in entry.duplicates.items():
            if viewer.is_open and now - received_at_us <= DUPLICATE_WINDOW_US:
                self._unlink(session, entry.viewer)
                entry.viewer = viewer
                del entry.duplicates[viewer]
                return True
        return False

    def detach_viewer(self, session: str, entry: SessionEntry) -> None:
        """Detach a playing session from its viewer connection."""
        self._unlink(session, entry.viewer)
        entry.viewer = None

    def sessions_on(self, viewer: ViewerConnection) -> list[str]:
        """Return the sessions and requests of a connection, ordered by id."""
        return sorted(self.by_connection.get(viewer, ()))

    def has_open_request(self, viewer: ViewerConnection) -> bool:
        """Whether a connection has an open request or a duplicate of one."""
        return any(not self.entries[session].is_playing for session in self.by_connection.get(viewer, ()))

    def sessions_at(self, server: str) -> list[str]:
        """Return the sessions and attempts at an edge server, ordered by id."""
        return sorted(self.by_server.get(server, ()))

    def _uncount_open_request(self, entry: SessionEntry) -> None:
        self.open_request_count -= 1
        self.open_request_bytes -= entry.size_bytes

    def _uncount_reported(self, entry: SessionEntry) -> None:
        self.reported_count -= 1
        self.reported_bytes -= entry.size_bytes
        self.reported_by_server[entry.server] -= 1
        if not self.reported_by_server[entry.server]:
            del self.reported_by_server[entry.server]  # viewers may name any server

    def _add_to_server(self, session: str, entry: SessionEntry) -> None:
        self.entries[session] = entry
        self.by_server.setdefault(entry.server, set()).add(session)

    def _remove_from_server(self, session: str, entry: SessionEntry) -> None:
        _discard(self.by_server, entry.server, session)
        entry.server = ""

    def _link(self, session: str, viewer: ViewerConnection | None) -> None:
        if viewer is not None:
            self.by_connection.setdefault(viewer, set()).add(session)

    def _unlink(self, session: str, viewer: ViewerConnection | None) -> None:
        if viewer is not None:
            _discard(self.by_connection, viewer, session)

    def _drop_duplicates(self, session: str, entry: SessionEntry) -> None:
        for viewer in entry.duplicates:
            self._unlink(session, viewer)
        entry.duplicates.clear()


def _size_bytes(entry: SessionEntry) -> int:
    """Return the size of the texts of a request, with the server that a report names."""
    request = entry.request
    texts = (request.title, request.viewer, request.tenant, request.token, entry.server)
    return sum(map(len, texts)) + len(entry.description)


def _discard(index: dict[_Key, set[str]], key: _Key, session: str) -> None:
    """Remove a session from an index; remove its key with the last session."""
    sessions = index.get(key)
    if sessions is not None:
        sessions.discard(session)
        if not sessions:
            del index[key]
