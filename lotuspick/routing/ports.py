"""What the loop takes in from the fronts and the edge servers, and what it asks of them.

Fronts, edges and the coordinator's feed put :data:`Inbound` items into the loop's inbox and do nothing else
about sessions. The loop talks back through the two small interfaces below, which know no wire.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Protocol

from lotuspick.interface import PlayerHint, ServerHint, ServerList, SessionRequest, TenantRates
from lotuspick.routing.endings import Ending


class Viewer(Protocol):
    """One viewer connection of any front, as the loop sees it. Calls after its end do nothing."""

    @property
    def open(self) -> bool:
        """Whether anything can still be written to it."""

    @property
    def heard_us(self) -> int:
        """When a whole message last came from it, on the clock of the loop; 0: never."""

    def served(self, session: str, description: bytes) -> None:
        """The session plays; the description is the edge server's, byte for byte."""

    def refused(self, session: str, gap_ms: int, why: str = "") -> None:
        """To ask again is harmless, after ``gap_ms`` where above 0. ``why``: the reason of a guide, if it was one."""

    def failed(self, session: str, why: str = "") -> None:
        """No promise about the effect."""

    def released(self, session: str, ending: Ending) -> None:
        """A session that stood is over."""

    def abandon(self, why: str) -> None:
        """Its peer cannot be told apart from itself any more: say why and close."""


@dataclass(frozen=True, slots=True)
class SetUp:
    """One attempt, as an edge server is asked for it."""

    session: str
    cls: str
    title: str
    rung: int
    wait_ms: int
    description: bytes


class Edges(Protocol):
    """The connections to all edge servers, known by id."""

    def set_up(self, edge: str, ask: SetUp) -> Ending | None:
        """Send or queue an attempt; an ending where that cannot be done."""

    def give_up(self, edge: str, session: str) -> bool:
        """Take an attempt back. True: it was still queued, so that it never left."""

    def release(self, edge: str, session: str, ending: Ending) -> None:
        """End a session that stands, or that may stand."""

    def set_rung(self, edge: str, session: str, rung: int) -> None:
        """Change the rung of a session that stands."""

    def watch(self, edge: str) -> None:
        """Sessions stand there: see to an open connection."""


Renew = Callable[[str, str, Callable[[str], None]], None]
"""Takes a session that plays, a newer token, and what is to be called with a reason, or with nothing once it lasts."""


class Directory(Protocol):
    """Where the tenants are kept."""

    def rates(self) -> dict[str, float]:
        """Requests a second of each tenant; raises :class:`DirectoryFault`. May block."""


class DirectoryFault(Exception):
    """The directory cannot be read; the text says why."""


@dataclass(frozen=True, slots=True)
class Asked:
    """A viewer's set-up; ``request`` is a ``SessionPlaying`` where the session plays already."""

    request: SessionRequest
    description: bytes = b""
    viewer: Viewer | None = None


@dataclass(frozen=True, slots=True)
class Dropped:
    """A viewer gives up a set-up, or ends a session that stands."""

    session: str


@dataclass(frozen=True, slots=True)
class ViewerLost:
    """A viewer connection has ended: its open set-ups are given up, its sessions stand on."""

    viewer: Viewer


@dataclass(frozen=True, slots=True)
class ViewerCame:
    """A viewer connection has opened: releases that found none can go out."""

    viewer: Viewer


@dataclass(frozen=True, slots=True)
class EdgeAnswered:
    """An edge server answers: the session stands."""

    edge: str
    session: str
    description: bytes
    report: Mapping[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class EdgeReleased:
    """An edge server ends an attempt or a session: ``before`` and ``after`` an answer this means so much."""

    edge: str
    session: str
    before: Ending
    after: Ending
    report: Mapping[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class EdgeNoted:
    """A note on a session that stands; topics as in :class:`lotuspick.interface.Note`."""

    edge: str
    session: str
    topic: str
    value: float


@dataclass(frozen=True, slots=True)
class AttemptOver:
    """An attempt ended without a word from the edge server."""

    edge: str
    session: str
    ending: Ending


@dataclass(frozen=True, slots=True)
class AttemptWritten:
    """An attempt that waited for a connection has left."""

    edge: str
    session: str
    at_us: int


@dataclass(frozen=True, slots=True)
class EdgeDown:
    """The process or machine of an edge server is gone, and what stood there with it."""

    edge: str
    ending: Ending


@dataclass(frozen=True, slots=True)
class Roster:
    """News of the server list."""

    news: ServerList


@dataclass(frozen=True, slots=True)
class Hinted:
    """What a player or a media node says of itself."""

    hint: PlayerHint | ServerHint


@dataclass(frozen=True, slots=True)
class Dismissed:
    """A session that stands is to end, by no wish of its viewer."""

    session: str
    ending: Ending


@dataclass(frozen=True, slots=True)
class Settled:
    """What a guide waited for has come; those that wait for it should not wait for the next full period."""


@dataclass(frozen=True, slots=True)
class Tenants:
    """The tenants, as just read from their directory."""

    news: TenantRates


Inbound = (
    Asked
    | Dropped
    | ViewerLost
    | ViewerCame
    | EdgeAnswered
    | EdgeReleased
    | EdgeNoted
    | AttemptOver
    | AttemptWritten
    | EdgeDown
    | Roster
    | Hinted
    | Tenants
    | Dismissed
    | Settled
)
