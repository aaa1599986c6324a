"""The interface of lotuspick: settings, events and actions of one gateway's controller.

Times are whole microseconds on the gateway's own clock, rates are kB a second, shares and loads are
fractions (1.0 = all of it). Every object checks its own values when it is made and raises ``ValueError``
naming what is wrong, so that :meth:`lotuspick.control.Controller.handle` only ever sees sound input.
"""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any, Protocol

_REQUIRED: Any = None


def _positive(owner: str, **values: float) -> None:
    for name, value in values.items():
        if value is None:
            raise ValueError(f"{owner}.{name} is missing")
        if isinstance(value, bool) or not isinstance(value, (int, float)) or not 0 < value < math.inf:
            raise ValueError(f"{owner}.{name} must be above 0, not {value!r}")


def _from_zero(owner: str, **values: float) -> None:
    for name, value in values.items():
        if value is None:
            raise ValueError(f"{owner}.{name} is missing")
        if isinstance(value, bool) or not isinstance(value, (int, float)) or not 0 <= value < math.inf:
            raise ValueError(f"{owner}.{name} must be a number of 0 or more, not {value!r}")


@dataclass(frozen=True, slots=True)
class ClassSettings:
    """One class of session."""

    name: str
    aim_us: int
    """A set-up is wanted within this time."""
    effect: str = "safe"
    """``safe``: free to repeat. ``paid``: set up once. ``keyed``: repeats only inside ``group``."""
    worth: float = 1.0
    """Worth of one second at a rung of worth 1."""
    scale: float = 1.0
    """Rates of this class over those of the ladder."""
    floor: int = 0
    """Lowest rung that may be set."""
    top: int = 1_000
    """Highest rung of the class."""
    seats: int = 0
    """Sessions of one title that a gateway may hold; 0: no cap."""
    live: bool = False
    """Its titles are live, so that viewers may share streams."""
    group: str = "all"
    """For ``keyed``: where a repeat may go: ``all``, ``zone`` or ``position``."""
    group_window_us: int = 0
    """For ``keyed``: how long after a send a repeat is allowed."""

    def __post_init__(self) -> None:
        owner = f"class {self.name}"
        _positive(owner, aim_us=self.aim_us, scale=self.scale)
        _from_zero(
            owner,
            worth=self.worth,
            floor=self.floor,
            top=self.top,
            seats=self.seats,
            group_window_us=self.group_window_us,
        )
        if self.effect not in ("safe", "paid", "keyed"):
            raise ValueError(f"{owner}.effect must be safe, paid or keyed, not {self.effect!r}")
        if self.group not in ("all", "zone", "position"):
            raise ValueError(f"{owner}.group must be all, zone or position, not {self.group!r}")


@dataclass(frozen=True, slots=True)
class Settings:
    """What a gateway is told at its start. Fields without a default here are required."""

    zone: str = _REQUIRED
    gateways: int = _REQUIRED
    """Gateways that share the servers, this one included."""
    classes: Sequence[ClassSettings] = _REQUIRED
    ladder_kb: Sequence[float] = _REQUIRED
    """Rate of each rung, lowest first."""
    rung_worth: Sequence[float] = _REQUIRED
    """What each rung earns, 1 at most."""
    places_by_kind: Mapping[str, float] = _REQUIRED
    """Streams that a server of each kind runs at most."""
    positions: int = _REQUIRED
    """Length of the ring of positions on which titles lie."""
    racks: int = 1
    links_kb: float = 0.0
    """All links together at the start; 0: not told."""
    link_kb_per_weight: float = _REQUIRED
    """Link of a server for each unit of its weight."""
    weights: str = "off"
    """What a server's weight holds: ``off``, ``nominal``, ``rough`` or ``live``."""
    uplink_kb: float = 0.0
    """Mean uplink of a rack; 0: not told."""
    refuses_from: float = 0.0
    """A server turns set-ups away while so much of its link is asked; 0: never."""
    join: float = 1.0
    """What a further viewer of a live stream adds to it, as a part of the rate."""
    seen_after_us: int = 0
    """How late notes on playing sessions are."""
    tell_us: int = 0
    """Time between load notes on a playing session; 0: none."""
    change_cost_s: float = 0.0
    """A change of rung costs so many seconds of the session's worth."""
    shortfall_cost: float = 0.0
    """Worth lost for each point of the rate that is missing."""
    max_attempts: int = 1
    dial_timeout_us: int = 0
    drain_grace_us: int = 0
    cold_from: float = 1.0
    """A server starts at no less than this part of its capacity."""
    cold_us: int = 0
    """A server is warm so long after its start."""
    fall_multiple: float = 1.0
    """A cold server falls over at this multiple of its pace ..."""
    fall_us: int = 1_000_000
    """... held for so long."""
    budget_free: float | None = None
    budget_ratio: float | None = None
    budget_window_us: int = 0
    """Budget of further attempts; none where ``budget_ratio`` and ``budget_free`` are None."""
    may_probe: bool = False
    may_cancel: bool = False
    retry_after: bool = False
    max_retry_after_us: int = 0
    must_subscribe: bool = False
    """The server list comes only to those who ask for it."""
    ask_within_us: int = 0
    reports: bool = False
    """Servers report their load in answers."""
    reports_rack: bool = False
    """Reports and notes tell the load of the rack's uplink."""
    cross_zone_price: float = 0.0
    move_price: float = 0.0
    probe_price: float = 0.0
    over_share_worth: float = 1.0
    tenant_rates: Mapping[str, float] = field(default_factory=dict)
    """Requests a second of each tenant, over all gateways, inside its share."""

    def capacity(self, entry: ServerEntry) -> tuple[float, float]:
        """Streams that a server runs at most, and the size of its link in kB a second: by its weight where weights hold
        that, else by its kind. A kind that is not named counts as the largest."""
        places = self.places_by_kind.get(entry.kind) or max(self.places_by_kind.values())
        if self.weights in ("nominal", "rough"):
            return places, self.link_kb_per_weight * (entry.weight or 1.0)
        mean = sum(self.places_by_kind.values()) / len(self.places_by_kind)
        return places, self.link_kb_per_weight * places / mean

    def __post_init__(self) -> None:
        if not self.zone:
            raise ValueError("settings.zone is missing")
        _positive(
            "settings",
            gateways=self.gateways,
            positions=self.positions,
            racks=self.racks,
            link_kb_per_weight=self.link_kb_per_weight,
            max_attempts=self.max_attempts,
            cold_from=self.cold_from,
            fall_multiple=self.fall_multiple,
            fall_us=self.fall_us,
        )
        _from_zero(
            "settings",
            links_kb=self.links_kb,
            uplink_kb=self.uplink_kb,
            join=self.join,
            refuses_from=self.refuses_from,
            seen_after_us=self.seen_after_us,
            tell_us=self.tell_us,
            change_cost_s=self.change_cost_s,
            shortfall_cost=self.shortfall_cost,
            dial_timeout_us=self.dial_timeout_us,
            drain_grace_us=self.drain_grace_us,
            cold_us=self.cold_us,
            budget_window_us=self.budget_window_us,
            ask_within_us=self.ask_within_us,
            max_retry_after_us=self.max_retry_after_us,
            cross_zone_price=self.cross_zone_price,
            move_price=self.move_price,
            probe_price=self.probe_price,
            over_share_worth=self.over_share_worth,
        )
        for name in ("classes", "ladder_kb", "rung_worth", "places_by_kind"):
            if not getattr(self, name):
                raise ValueError(f"settings.{name} is missing")
        if len(self.ladder_kb) != len(self.rung_worth):
            raise ValueError("settings.rung_worth must be as long as ladder_kb")
        for index, rate in enumerate(self.ladder_kb):
            _positive("settings", **{f"ladder_kb[{index}]": rate})
            _from_zero("settings", **{f"rung_worth[{index}]": self.rung_worth[index]})
        if list(self.ladder_kb) != sorted(self.ladder_kb):
            raise ValueError("settings.ladder_kb must rise")
        for kind, places in self.places_by_kind.items():
            _positive("settings", **{f"places_by_kind[{kind}]": places})
        for tenant, rate in self.tenant_rates.items():
            _from_zero("settings", **{f"tenant_rates[{tenant}]": rate})
        for cls in self.classes:
            if cls.floor >= len(self.ladder_kb):
                raise ValueError(f"class {cls.name}.floor is not on the ladder")


@dataclass(frozen=True, slots=True)
class ServerEntry:
    """One line of the server list."""

    server: str
    zone: str
    kind: str
    position: int
    state: str = "active"
    """``active``, ``draining`` or ``gone``."""
    weight: float = 1.0
    started_us: int = 0
    """Clock time of its last start; 0: long ago."""
    address: str = ""
    """host:port, where told."""

    def __post_init__(self) -> None:
        if self.state not in ("active", "draining", "gone"):
            raise ValueError(f"server {self.server}: unknown state {self.state!r}")
        _from_zero(f"server {self.server}", position=self.position, weight=self.weight)


@dataclass(frozen=True, slots=True)
class ServerList:
    """News of the server list: all of it (``complete``) or what changed; ``failed``: a call failed."""

    servers: Sequence[ServerEntry] = ()
    complete: bool = False
    failed: bool = False


@dataclass(frozen=True, slots=True)
class SessionRequest:
    """A viewer asks for a session; it must be started, refused or failed before ``deadline_us``."""

    session: str
    cls: str
    title: str
    home: int
    copies: int
    ceiling: int
    """Highest rung that the viewer can use."""
    deadline_us: int
    length_us: float | None = None
    """Hint of the session's length; None or not above 0: no valid hint."""
    viewer: str = ""
    """Stays with the viewer over all tries."""
    tenant: str = ""
    moved: bool = False
    returned: bool = False
    token: str = field(default="", kw_only=True)
    """What entitles its viewer to it, as sent; the decisions never look at it, a guide may."""

    def __post_init__(self) -> None:
        _from_zero(f"session {self.session}", home=self.home, ceiling=self.ceiling)
        _positive(f"session {self.session}", copies=self.copies)

    def holders(self, positions: int) -> list[int]:
        """Positions at which its title lies, of a ring of so many."""
        return [(self.home + at) % positions for at in range(min(self.copies, positions))]


@dataclass(frozen=True, slots=True)
class SessionPlaying(SessionRequest):
    """At the start: a session that plays already, as attempt 0, at ``server``."""

    server: str = ""


@dataclass(frozen=True, slots=True)
class Started:
    """The session plays."""

    session: str
    attempt: int
    server: str
    took_us: int = 0


@dataclass(frozen=True, slots=True)
class Ended:
    """How an attempt ended. ``outcome`` is one of ``served``, ``error``, ``full``, ``timeout``,
    ``unreachable``, ``lost``, ``cancelled``, ``unsent``."""

    session: str
    attempt: int
    server: str
    outcome: str
    final: bool = False
    """Nothing more is owed for the session."""
    took_us: int = 0
    report: Mapping[str, float] = field(default_factory=dict)
    """Load report: any of ``streams``, ``link``, ``rack``."""
    alive: bool = False
    """The attempt or its connection failed alone: nothing shows that the server's process is gone."""
    left: bool = False
    """Its viewer ended a session that stood."""


NEVER_RAN = frozenset({"unreachable", "full", "unsent"})
"""Outcomes that prove that nothing of the attempt ran."""


@dataclass(frozen=True, slots=True)
class ServerDown:
    """The process or machine of a server was found to be gone; the ends of its sessions are told apart."""

    server: str


@dataclass(frozen=True, slots=True)
class Note:
    """News on a playing session. ``topic``: ``share`` (of its rate that it gets), ``rung``, ``link`` or
    ``rack`` (what is asked over what is given)."""

    session: str
    server: str
    topic: str
    value: float


@dataclass(frozen=True, slots=True)
class PlayerHint:
    """What the player of a session says of itself; None: it does not say."""

    session: str
    buffer_s: float | None = None
    """Seconds that it has buffered."""
    starved: bool = False
    """It has stalled for want of data since its last hint."""
    throughput_kb: float | None = None
    """What it measured, kB a second."""

    def __post_init__(self) -> None:
        _from_zero(
            f"hint on {self.session}", buffer_s=self.buffer_s or 0.0, throughput_kb=self.throughput_kb or 0.0
        )


@dataclass(frozen=True, slots=True)
class ServerHint:
    """What a server estimates that a further session would get from its link, kB a second."""

    server: str
    throughput_kb: float

    def __post_init__(self) -> None:
        _from_zero(f"hint of {self.server}", throughput_kb=self.throughput_kb)


@dataclass(frozen=True, slots=True)
class TenantRates:
    """The tenants as their directory has them now: requests a second of each, over all gateways."""

    rates: Mapping[str, float]

    def __post_init__(self) -> None:
        for tenant, rate in self.rates.items():
            _from_zero("tenants", **{tenant: rate})


@dataclass(frozen=True, slots=True)
class ViewerGone:
    """The viewer left before an answer; nothing more is owed."""

    session: str


@dataclass(frozen=True, slots=True)
class Proof:
    """Word on an attempt of a request that was answered meanwhile; only guides have a use for it."""

    session: str
    server: str
    ran: bool


@dataclass(frozen=True, slots=True)
class GuideNews:
    """What a guide waited for has come: those whom it told to wait are to be asked about again."""


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer set with :class:`SetTimer` is due."""

    token: int


Event = (
    ServerList
    | SessionRequest
    | Started
    | Ended
    | Note
    | PlayerHint
    | ServerHint
    | TenantRates
    | ServerDown
    | ViewerGone
    | Proof
    | GuideNews
    | TimerFired
)


@dataclass(frozen=True, slots=True)
class SetRung:
    """Set the session's rung; free before its start."""

    session: str
    rung: int


@dataclass(frozen=True, slots=True)
class Send:
    """Ask ``server`` to start the session; the attempt times out after ``timeout_us``."""

    session: str
    server: str
    timeout_us: int


@dataclass(frozen=True, slots=True)
class Refuse:
    """Final answer: refused; to ask again is harmless. ``retry_after_us`` 0: no advice."""

    session: str
    retry_after_us: int = 0
    reason: str = ""
    """Why a guide turned it away; empty: the decisions' own."""


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: failed, with no promise about the effect."""

    session: str


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Ask for a :class:`TimerFired` in ``delay_us``."""

    token: int
    delay_us: int


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Ask for changes of the server list from now on."""


@dataclass(frozen=True, slots=True)
class Log:
    """A line for on-call staff."""

    text: str


Action = SetRung | Send | Refuse | Fail | SetTimer | Subscribe | Log
Fact = Event | Send | Refuse | Fail

# ---- the seam: what may narrow the decisions ----------------------------------------------------------------

NO_TOP = 1_000


@dataclass(frozen=True, slots=True)
class Bounds:
    """What a guide leaves open to a session. Bounds only ever narrow: the decisions' own rules (a class's floor, what
    must not be refused or sent again, drains, slow starts) stand above them."""

    servers: frozenset[str] | None = None
    """Servers that may be used; None: any."""
    top: int = NO_TOP
    """Highest rung; below a class's floor it counts as the floor."""
    costs: Mapping[str, float] = field(default_factory=dict)
    """An order among servers: the share of a link by which each counts as fuller than it is, 0 where not named."""
    reason: str = ""
    """Not empty: turn the session away, and why."""
    gap_us: int = 0
    """How long a session that is turned away is asked to stay away; 0: as the decisions would say."""
    not_yet: str = ""
    """Not empty: nothing may be sent so far, and why. The session waits as it does for a free server, for no longer,
    and is then turned away with this reason."""

    @property
    def why(self) -> str:
        """What a session is told that is turned away, now or after waiting in vain."""
        return self.reason or self.not_yet

    def admits(self, server: str) -> bool:
        """Whether the server may be used now."""
        return not self.not_yet and (self.servers is None or server in self.servers)

    def meet(self, other: Bounds) -> Bounds:
        """What both leave open. Commutative, associative and idempotent; the longer gap wins, with its reason, and
        to be turned away wins over waiting."""
        servers = (
            self.servers
            if other.servers is None
            else other.servers
            if self.servers is None
            else self.servers & other.servers
        )
        costs = self.costs or other.costs
        if self.costs and other.costs:
            costs = {
                name: max(self.costs.get(name, 0.0), other.costs.get(name, 0.0))
                for name in {*self.costs, *other.costs}
            }
        away = max(self, other, key=lambda each: (bool(each.reason), each.gap_us, each.reason))
        not_yet = max(self.not_yet, other.not_yet)
        return Bounds(
            servers,
            min(self.top, other.top),
            costs,
            away.reason,
            away.gap_us if away.reason or not_yet else 0,
            not_yet,
        )


ANY = Bounds()


class Guide(Protocol):
    """A further part that narrows the decisions: deterministic, without I/O, near constant time."""

    wait_us: int
    """How long a session may have to wait until what it says ``not_yet`` for has come; each is held as long, unless its
    deadline is before that. 0: it never says so."""

    def bounds(self, now: int, request: SessionRequest) -> Bounds:
        """Asked before each attempt, while the session waits for one: the facts may have changed in between. Not
        asked once an attempt of a paid session may have run."""

    def told(self, now: int, fact: Fact) -> None:
        """Hears each event before it is handled, and each send and final answer as it is decided."""


class Together:
    """Several guides as one; of none, one that leaves everything open."""

    def __init__(self, guides: Sequence[Guide]) -> None:
        self.guides = guides
        self.wait_us = max((guide.wait_us for guide in guides), default=0)

    def bounds(self, now: int, request: SessionRequest) -> Bounds:
        """What all of them leave open. All are asked, so that each knows every session."""
        bounds = ANY
        for guide in self.guides:
            bounds = bounds.meet(guide.bounds(now, request))
        return bounds

    def told(self, now: int, fact: Fact) -> None:
        for guide in self.guides:
            guide.told(now, fact)
