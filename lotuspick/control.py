"""All decisions of a lotuspick gateway. Types, events and actions: see lotuspick/interface.py.

Mechanism: popularity-based bandwidth prepartitioning (PBP) with f2 sizing. Each server's link is split into
length pools sized by popularity x length of the hints heard; a session enters where the pools at or below its
own length have room, drawing from its own first and then downward, at the highest rung that fits and is kept.
If none does it is held for a moment, then refused. docs/design.md tells the exceptions."""

from __future__ import annotations

import heapq
import math
import random
from collections import Counter, deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Any, NamedTuple, TypeGuard

from lotuspick.interface import (ANY, NEVER_RAN, Action, Bounds, ClassSettings, Ended, Event, Fail, Guide,
    GuideNews, Log, Note, PlayerHint, Proof, Refuse, Send, ServerDown, ServerEntry, ServerHint, ServerList,
    SessionPlaying, SessionRequest, SetRung, SetTimer, Settings, Started, Subscribe, TenantRates, TimerFired,
    Together, ViewerGone)

# Every tuned constant, with its unit and reason.
CUTS_US = (80_000_000, 160_000_000)  # us: cuts between the length pools (design)
TURN_US = 30_000_000  # us: sessions turn over in so long until hints are heard, then in their mean length
TYPICAL_US = (40e6, 120e6, 240e6)  # us: length taken for a range without hints: the middle of the range
MIDDLE = 1  # pool of a session without a valid hint (design)
WINDOW_US = 60_000_000  # us: hints count for popularity so long (design)
BIND_FROM = 0.80  # share of a link: pools bind only above it (design)
LIMIT = 0.96  # share of a line that may be asked: sizes and rates told are off by more than the rest
HOLD_US = 1_000_000  # us: longest hold before a refusal (design)
STAY_US = 1_000_000  # us: how long a refused viewer is asked to stay away; 0.4 and 2 s served less
BATCH = 64  # held sessions that are weighed again at once: 1 to 2 ms
POLL_US = 100_000  # us: held sessions are looked at so often, well under the time in which room changes
FREE_FROM = 0.45  # share of a line above which the step of least worth a kB is not given, at first
FREE_LEAST, FREE_MOST = 0.35, 0.75  # its bounds: lower gave nothing more, higher left lines short
FREE_RISE, FREE_FALL = 0.30, 3.0  # a turn-over; the same of a shortage, times the part of own sessions on it
WORTH_POWER = 0.5  # power of a class's worth in its bid: below 1 keeps the worst-served class in view
SHORT_FROM = 0.98  # share delivered under which a line counts as short (where worth begins to be lost)
CUT_FROM = 0.97  # share delivered under which own sessions are cut, to that: a cut costs a second's worth
CALM_NOTES = 1.8  # times that time without a short note before a raise: longer than a neighbour's pauses
RAISE_GAIN = 2.0  # times its cost that a rung up must bring: hints are rough
STALLED = 0.3  # share delivered under which a server stands still: no reading of a load
NOTE_US = 1_000_000  # us: a short server tells so often; cuts there are no closer, and by how late notes are
STALE_NOTES = 1.5  # times the time between load notes after which they count as out, and a reading fades
LEARN = 0.5  # weight of a new reading of an uplink's size
GROW = 0.02  # part a second by which a learned uplink grows back while busy and not short: a slow probe
GROW_AFTER_US = 3_000_000  # us: without a short note before it grows: longer than notes are late
TELL_US = 3_300_000  # us: time between load notes that is gone by where none is told
FADE_US = 10_000_000  # us: then it fades to the average in about this time, in which sessions turn over
UNIT = 1 << 60  # one, in the whole numbers in which averages are kept
LEAST = 0.05  # share of a line: least load that counts in the average, so an idle one does not outweigh all
UNHEARD = 0.6  # share of a line taken as asked where nothing, or full lines alone, is heard: busy, not full
LEAD_US = 20_000  # us: answers are given so long before a deadline: two ticks of a gateway
EJECT_US, EJECT_MAX_US = 1_000_000, 8_000_000  # us: first ejection, doubled up to a machine's way back
STRIKES = 3  # failures in a row before a server that lives rests: bad requests fail singly, everywhere alike
FULL_US = 500_000  # us: rest of a server that answers full, and further hold of a session not started
SETUP_US = 100_000  # us: time of a set-up before any is seen; then smoothed by 1/8, its spread by 1/4
WAIT_MIN_US = 300_000  # us: shortest attempt time-out, over the slowest normal set-up
NEWS_US = 5_000_000  # us: a gateway that starts hears so soon of servers that started shortly before
PACE_PART = 0.6  # share of the slow-start budget that is used: leaves slack for chance
CROSS_BIAS = 2.0  # load that a crossing counts as, for each unit of its price: 4 saved more and lost balance
HINT_UP, HINT_DOWN = 0.05, 0.02  # share of a link by which hints move its load: down less, the costly error
HINT_US = 4_000_000  # us: a hint stands so long: about the time between load notes
HINT_SLACK = 0.10  # share of a link by which a server's estimate may be off and still agree with a reading
HINT_SOURCES = 4_096  # sources whose trust is kept; the one longest unheard goes first
TRUST_RISE, TRUST_FALL = 0.25, 0.5  # of 1, from 0: added where a reading agrees, kept where it does not
FULL_BUFFER_S = 2.0  # s: a player with so much buffered, and not starved, is not short
TENANT_US = 5_000_000  # us: a tenant's requests are counted over so long: short bursts are no excess
SPREAD = 0.15  # share of a link: random part in the choice among holders, so gateways do not move as one

NEVER, POOLS = 1 << 62, len(CUTS_US) + 1
Fit = tuple[int, list[float], float]  # a rung, its draws on the pools and the load it makes
Averages = tuple[float, float]  # load of the middle link and of the middle uplink


class Mean:
    """Load to expect of a line not heard: the harmonic mean of those heard lately, as busy lines are heard
    more and stalled ones read many times full. Kept in whole numbers: what is taken off leaves nothing."""

    def __init__(self, note_us: int) -> None:  # ``parts`` in the order in which they were heard
        self.keep_us, self.parts, self.total = int(STALE_NOTES * note_us), dict[Line, int](), 0

    def see(self, line: Line, load: float) -> None:
        self.drop(line)
        self.parts[line] = int(UNIT / max(LEAST, load))
        self.total += self.parts[line]

    def drop(self, line: Line) -> None:
        self.total -= self.parts.pop(line, 0)

    def value(self, now: int) -> float:
        while self.parts and (first := next(iter(self.parts))).seen_us + FADE_US <= now:
            self.drop(first)
        # While notes are out only full lines are heard, by their short shares: the others need not be full.
        return min(BIND_FROM, len(self.parts) * UNIT / max(1, self.total)) if self.parts else UNHEARD


@dataclass(slots=True, eq=False)
class Line:
    """A link or an uplink: what was last heard of its load and what this gateway changed since."""

    kb: float  # its size, kB a second
    mean: Mean  # the average in which its readings count
    base: float | None = None  # share asked at the last reading
    seen_us: int = -NEVER
    since_kb: float = 0.0
    own_kb: float = 0.0  # all of this gateway's use
    changes: deque[tuple[int, float]] = field(default_factory=deque)

    def add(self, now: int, kb: float) -> None:
        """Count a change of this gateway's own use. What no reading can be older than is kept as one."""
        self.since_kb += kb
        self.changes.append((now, kb))
        while len(self.changes) > 1 and self.changes[1][0] <= now - FADE_US:
            (_, first), (at, second) = self.changes.popleft(), self.changes.popleft()
            self.changes.appendleft((at, first + second))

    def see(self, value: float, at_us: int) -> None:
        """Take a reading of the load as it was at ``at_us``; an older one than the last is passed over."""
        if at_us < self.seen_us:
            return
        self.base, self.seen_us = value, at_us
        self.mean.see(self, value)
        while self.changes and self.changes[0][0] <= at_us:
            self.since_kb -= self.changes.popleft()[1]

    def load(self, average: float, now: int) -> float:
        """Share asked now, as far as known; an unheard line counts as average, and a reading fades to it
        unless own sessions there would bring word of a shortage."""
        base = average if self.base is None else self.base
        if self.base is not None and self.own_kb <= 0:
            stays = math.exp(min(0.0, (self.seen_us + self.mean.keep_us - now) / FADE_US))
            base = average + (self.base - average) * stays
        return max(0.0, base + self.since_kb / self.kb)


@dataclass(slots=True, eq=False)
class Rack(Line):
    """The uplink of a rack. Where its load is not told, it is put together from the links behind it."""

    told_kb: float = math.inf  # its size by the settings; ``kb`` is what was learned
    members: list[Server] = field(default_factory=list)
    short_us: int = 0  # last note that showed it short

    def put_together(self, average: float, now: int) -> float:
        """kB a second asked of the links behind the uplink, as far as known. Unheard links alone do not fill
        it: a gateway whose sessions watch one crowded title hears full links only, and would refuse all."""
        links_kb = 1e-9 + sum(server.line.kb for server in self.members)
        average = min(average, UNHEARD * self.told_kb / links_kb)
        return sum(server.line.load(average, now) * server.line.kb for server in self.members)


class Claim(NamedTuple):
    """What a hint says of a link: that its load lies from ``low`` to ``high``."""

    low: float
    high: float
    at_us: int


@dataclass(slots=True, eq=False)
class Server:
    """What this gateway knows of one server."""

    entry: ServerEntry
    line: Line
    rack: Rack
    places: float
    pools: list[float] = field(default_factory=lambda: [0.0] * POOLS)  # kB a second that own sessions drew
    own: dict[str, Session] = field(default_factory=dict)  # this gateway's sessions here, set-ups included
    other_streams: float = 0.0  # streams of other gateways, where told
    sends: deque[int] = field(default_factory=lambda: deque(maxlen=256))
    cold_until: int = 0
    guessed: bool = False  # nobody told of a start: this gateway alone is new, and cannot know
    first_us: int = 0  # when the first send to it while cold is due
    fails: int = 0
    strikes: int = 0  # set-ups that failed since the last start
    blocked_until: int = 0
    short_us: int = -NEVER  # last note of a short share
    cut_after: int = 0
    settled_us: int = 0  # when its sessions were last looked at for a raise
    listed: bool = True
    claims: dict[str, Claim] = field(default_factory=dict)  # by source


@dataclass(slots=True, eq=False)
class Session:
    """A session held, in set-up or playing."""

    ask: SessionRequest
    cls: ClassSettings
    pool: int
    rung: int = 0  # in force
    admitted: int = 0  # the rung it was admitted at
    kb: float = 0.0
    draws: list[float] = field(default_factory=lambda: [0.0] * POOLS)
    server: Server | None = None
    attempt: int = -1
    state: str = "held"  # held, sent, playing
    may_have_run: bool = False
    told: bool = False  # its first load note has come
    ends_us: float = math.inf  # when it should end, by its hint
    tried: list[str] = field(default_factory=list)
    hold_until: int = 0
    weighed_us: int = -1  # when a place for it was last looked for
    over_share: bool = False  # asked for past its tenant's rate
    bounds: Bounds = ANY  # what the guide left open when it was last asked
    ended: bool = False  # answered; only its attempt's outcome is still awaited


class Controller:
    """The decisions of one gateway. ``handle`` takes what happened and returns what to do."""

    def __init__(self, settings: Settings, seed: int, guide: Guide | None = None) -> None:
        if isinstance(seed, bool) or not isinstance(seed, int):
            raise ValueError(f"seed must be a whole number, not {seed!r}")
        self.settings, self.guide = settings, guide or Together(())
        self.random = random.Random(seed)
        self.classes = {cls.name: cls for cls in settings.classes}
        self.bids: dict[str, float] = {cls.name: float(cls.worth) ** WORTH_POWER for cls in settings.classes}
        self.steps = {cls.name: self._steps(cls) for cls in settings.classes}
        self.free_from = FREE_FROM
        self.servers, self.by_position = dict[str, Server](), dict[int, list[Server]]()  # there: listed ones
        note_us, kb = settings.tell_us or TELL_US, settings.uplink_kb or math.inf
        self.links, self.uplinks, self.calm_us = Mean(note_us), Mean(note_us), int(CALM_NOTES * note_us)
        base, seen = (None, -NEVER) if settings.uplink_kb else (0.0, NEVER)  # without a size it is never full
        self.racks = [Rack(kb, self.uplinks, base, seen, told_kb=kb) for _ in range(settings.racks)]
        self.sessions, self.held = dict[str, Session](), dict[str, Session]()
        self.seats = Counter[tuple[str, str]]()
        self.changed = set[int]()  # positions at which there may be more room than in the last call
        self.fits = dict[Any, Fit | None]()  # what fits where, in this call
        self.window: deque[tuple[int, int, float]] = deque()  # hints heard lately
        self.hint_count, self.hint_us = [0] * POOLS, [0.0] * POOLS
        self.taken, self.extra = deque[int](), deque[int]()  # requests and further attempts, for the budget
        self.tenant_rates = dict(settings.tenant_rates)
        self.trust, self.asked = dict[str, float](), dict[str, deque[int]]()  # by source; lately, by tenant
        self.timers, self.next_timer = dict[int, str](), 1
        self.polling, self.handed_over, self.starting = False, False, True
        self.setup_us, self.setup_dev = float(SETUP_US), SETUP_US / 2  # smoothed time of a set-up, and spread
        self.out: list[Action] = []
        self.now = self.checked_us = 0

    # ---- events -------------------------------------------------------------------------------------------

    def handle(self, now: int, events: Sequence[Event]) -> list[Action]:
        """Apply the events at clock time ``now`` (us); return the actions, in order. Raises ``ValueError``
        for an event of an unknown type or class, before anything is applied."""
        for event in events:
            if type(event) not in HANDLERS:
                raise ValueError(f"unknown event {type(event).__name__}")
            if isinstance(event, SessionRequest) and event.cls not in self.classes:
                raise ValueError(f"session {event.session}: unknown class {event.cls!r}")
        self.now, self.out = now, [Subscribe()] if self.starting and self.settings.must_subscribe else []
        self.starting = False
        for event in events:
            self.guide.told(now, event)
            HANDLERS[type(event)](self, event)
        if self.held:
            self._serve_held()
        self.changed, self.fits = set(), {}
        if now - self.checked_us >= POLL_US * 10:
            rise = FREE_RISE * self._turns(min(now - self.checked_us, 2 * NOTE_US))
            self.free_from, self.checked_us = min(FREE_MOST, self.free_from + rise), now
            for name, server in list(self.servers.items()):
                if not (server.listed or server.own):
                    self.links.drop(self.servers.pop(name).line)  # guards against keeping all ever listed
                elif server.own and now - server.settled_us > STALE_NOTES * self.settings.tell_us > 0:
                    self._restore(server, None)
        return self.out

    def _on_list(self, event: ServerList) -> None:
        if event.failed:
            return self._timer(HOLD_US, "") if self.settings.must_subscribe else None
        first, named = not self.servers, {entry.server for entry in event.servers}
        for entry in event.servers:
            fresh = entry.server not in self.servers
            if fresh and entry.state == "gone":
                continue
            server = self._new_server(entry) if fresh else self.servers[entry.server]
            if fresh and first:
                # Slow start: the list a gateway starts with may be old, but soon brings news of a start.
                server.guessed = not entry.started_us
                server.cold_until = max(self.now + min(NEWS_US, self.settings.cold_us),
                                        entry.started_us + self.settings.cold_us if entry.started_us else 0)
            elif fresh or entry.started_us > server.entry.started_us:
                self._expect_start(server, (entry.started_us or self.now) + self.settings.cold_us)
            server.entry = entry
            server.listed = entry.state != "gone"
        if event.complete:
            for name, server in self.servers.items():
                server.listed = server.listed and name in named
        self._anywhere(event)
        self.by_position = {}
        for rack in self.racks:
            rack.members = []
        for server in self.servers.values():
            if server.listed:
                self.by_position.setdefault(server.entry.position, []).append(server)
                server.rack = self.racks[server.entry.position % self.settings.racks]
                server.rack.members.append(server)

    def _anywhere(self, event: ServerList | Proof | GuideNews) -> None:
        self.changed.update(range(self.settings.positions))  # any held session may have been let in by it

    def _new_server(self, entry: ServerEntry) -> Server:
        places, kb = self.settings.capacity(entry)
        rack = self.racks[entry.position % self.settings.racks]
        return self.servers.setdefault(entry.server, Server(entry, Line(kb, self.links), rack, places))

    def _on_request(self, ask: SessionRequest) -> None:
        if ask.session in self.sessions:
            return
        cls = self.classes[ask.cls]
        session = Session(ask, cls, self._pool_of(ask.length_us))
        if _valid(ask.length_us):
            self.window.append((self.now, session.pool, ask.length_us))
            self.hint_count[session.pool] += 1
            self.hint_us[session.pool] += ask.length_us
        self.taken.append(self.now)
        self._recent(self.taken, self.settings.budget_window_us)
        session.over_share = self._over_share(ask.tenant)
        self.sessions[ask.session] = session
        hold_us = min(HOLD_US, max(self.guide.wait_us, cls.aim_us - 2 * int(self.setup_us)))
        session.hold_until = min(self.now + hold_us, ask.deadline_us - LEAD_US)
        # Refused where no rung is both in the terms and of use to the viewer.
        (self._refuse if ask.ceiling < cls.floor else self._hold)(session)

    def _on_playing(self, ask: SessionPlaying) -> None:
        if ask.session in self.sessions:
            return
        session = Session(ask, self.classes[ask.cls], self._pool_of(ask.length_us))
        self.handed_over = True
        session.state, session.attempt, session.told = "playing", 0, True
        session.ends_us = self.now + (ask.length_us if _valid(ask.length_us) else math.inf)
        # Departure: nobody here admitted it at its rung, so it counts as a cut session and may be raised.
        session.admitted = self._top(session)
        self.sessions[ask.session] = session
        self._take_seat(session, 1)
        session.server = self.servers.get(ask.server)
        self._inherit(session, session.cls.floor)

    def _inherit(self, session: Session, rung: int) -> None:
        """Book a session that already plays: its use is part of what servers report."""
        if session.server is not None:
            draws = [0.0] * POOLS
            session.rung, draws[session.pool] = rung, self.settings.ladder_kb[rung] * session.cls.scale
            session.server.own[session.ask.session] = session
            self._book(session, draws[session.pool], draws, told=True)

    def _book(self, session: Session, kb: float, draws: list[float], told: bool = False) -> None:
        """Change what the session holds of its server's link and pools; ``told``: reports count it."""
        server = session.server
        assert server is not None
        for pool, draw in enumerate(draws):
            server.pools[pool] += draw - session.draws[pool]
        for line in (server.line, server.rack):
            line.own_kb += kb - session.kb
            if not told:
                line.add(self.now, kb - session.kb)
        session.kb, session.draws = kb, draws

    def _on_started(self, event: Started) -> None:
        session = self.sessions.get(event.session)
        if session is None or session.attempt != event.attempt or session.server is None:
            return
        session.state, server = "playing", session.server
        session.ends_us = self.now + (session.ask.length_us if _valid(session.ask.length_us) else math.inf)
        error = event.took_us - self.setup_us
        self.setup_us += error / 8
        self.setup_dev += (abs(error) - self.setup_dev) / 4
        server.fails, server.strikes = max(0, server.fails - 1), 0
        if server.cold_until == NEVER:
            server.cold_until = self.now + self.settings.cold_us
        if session.told:
            self._settle(session, server)

    def _on_ended(self, event: Ended) -> None:
        server, session = self.servers.get(event.server), self.sessions.get(event.session)
        if server is not None:
            self.changed.add(server.entry.position)
            for topic, value in event.report.items():
                self._read(server, topic, value, self.now - self.settings.seen_after_us // 2)
        if session is None or session.attempt != event.attempt or session.state == "held":
            return
        if server is not None:
            self._judge(server, event.outcome, event.alive)
        self._release(session)
        if event.final or session.ended or session.state == "playing" or event.outcome == "served":
            del self.sessions[event.session]
            return
        session.state, session.server = "held", None
        session.may_have_run |= event.outcome not in NEVER_RAN
        last = session.ask.deadline_us - LEAD_US
        if session.may_have_run and session.cls.effect != "safe":
            self._finish(session, Fail(event.session))
        elif session.attempt + 1 >= self.settings.max_attempts or self.now >= last:
            self._refuse(session)
        else:
            session.hold_until = min(max(session.hold_until, self.now + FULL_US), last)
            self._hold(session)

    def _judge(self, server: Server, outcome: str, alive: bool) -> None:
        """Health: eject a server, with backoff, on a failure, or on a few in a row where they are known to be
        of the attempt or its connection alone. Harm: a sick one that lives fails a few before it rests."""
        if outcome in ("served", "cancelled", "unsent"):
            return
        if outcome == "full":
            server.blocked_until = max(server.blocked_until, self.now + FULL_US)
            return
        server.strikes += 1
        if alive and server.strikes < STRIKES:
            return
        if self.now >= server.blocked_until:  # what fails together counts, and is logged, once
            server.fails += 1
            rest = min(EJECT_MAX_US, EJECT_US << min(server.fails - 1, 10))
            server.blocked_until = self.now + rest
            self.out.append(Log(f"eject {server.entry.server} {outcome} {rest // 1000} ms"))
        if outcome == "timeout" or not alive and outcome != "error":
            self._expect_start(server, NEVER)  # a failure witnessed: paced until a warm-up later

    def _on_down(self, event: ServerDown) -> None:
        if server := self.servers.get(event.server):
            self._judge(server, "unreachable", False)

    def _on_note(self, note: Note) -> None:
        server, session = self.servers.get(note.server), self.sessions.get(note.session)
        if server is None or not _number(note.value):
            return
        self.changed.add(server.entry.position)
        if note.topic == "rung" and session is not None and session.server is server:
            self._inherit(session, min(int(note.value), len(self.settings.ladder_kb) - 1))
        elif note.topic == "share":
            self._read_share(server, note.value)
        # The first note on a session set up here is of now, and counts it already; later ones are late.
        fresh = session if note.topic == "link" and session is not None and not session.told else None
        self._read(server, note.topic, note.value, self.now - (0 if fresh else self.settings.seen_after_us))
        if fresh is not None:
            fresh.told = True
            self._settle(fresh, server)
        elif note.topic == "link":
            self._restore(server, None)

    def _change(self, session: Session, rung: int) -> None:
        """Change the rung of a playing session, its draws in proportion."""
        kb = self.settings.ladder_kb[rung] * session.cls.scale
        self._book(session, kb, [draw * kb / session.kb for draw in session.draws])
        session.rung = rung
        self.out.append(SetRung(session.ask.session, rung))

    def _bid(self, cls: ClassSettings, low: int, high: int) -> float:
        """Worth of the step from one rung to another for each kB of it."""
        worth, ladder = self.settings.rung_worth, self.settings.ladder_kb
        below_kb, below = (ladder[low], worth[low]) if low >= cls.floor else (0.0, 0.0)
        return self.bids[cls.name] * (worth[high] - below) / ((ladder[high] - below_kb) * cls.scale)

    def _cut(self, server: Server, share: float) -> None:
        """Departure: a short line takes worth from every session on it, so each gateway lowers its own part.
        Harm: a late note cuts for a shortage that is over; the effect is awaited before the next cut."""
        server.short_us = self.now
        part = len(server.own) / max(1, len(self.sessions))
        self.free_from = max(FREE_LEAST, self.free_from - FREE_FALL * part * self._turns(NOTE_US))
        if share >= CUT_FROM or self.now < server.cut_after:
            return
        server.cut_after = self.now + self.settings.seen_after_us + NOTE_US
        over, ladder = server.line.own_kb * (1 - share * CUT_FROM), self.settings.ladder_kb
        can = [each for each in server.own.values() if each.state == "playing" and each.rung > each.cls.floor]
        for session in sorted(can, key=lambda each: self._bid(each.cls, each.rung - 1, each.rung)):
            step = (ladder[session.rung] - ladder[session.rung - 1]) * session.cls.scale
            if over < step * self.random.random():
                break  # a part of a step is taken by that chance: many gateways may hold one session each
            over -= step
            self._change(session, session.rung - 1)

    def _settle(self, session: Session, server: Server) -> None:
        """Departure: lower a session just set up, if the line proves fuller than was known, to the rung that
        fits, or raise it. Its note may come ahead of its start and counts with it. Harm: one change more."""
        rung, ladder = session.rung, self.settings.ladder_kb
        over = (server.line.load(0.0, self.now) - LIMIT) * server.line.kb
        while session.state == "playing" and rung > session.cls.floor and over > 0:
            over -= (ladder[rung] - ladder[rung - 1]) * session.cls.scale
            rung -= 1
        if rung < session.rung:
            self._change(session, rung)
        self._restore(server, session)

    def _restore(self, server: Server, fresh: Session | None) -> None:
        """Raise sessions toward the rung admitted at; ``fresh``: one just set up, noted here alone."""
        server.settled_us = self.now
        if self.now - server.short_us < self.calm_us or server.rack.base is None or server.line.base is None:
            return
        line = max((server.line, server.rack), key=lambda each: each.load(0.0, self.now))
        busy = line.load(0.0, self.now)
        part = 1.0 if fresh else min(1.0, line.own_kb / (busy * line.kb + 1e-9))  # of the room: by chance
        worth, cost = self.settings.rung_worth, RAISE_GAIN * self.settings.change_cost_s * 1e6
        can = [fresh] if fresh else [each for each in server.own.values() if each.rung < each.admitted]
        for session in sorted(can, key=lambda each: each.rung):
            up, left_us = session.rung + 1, session.ends_us - self.now
            if (session.state == "playing" and up <= session.admitted
                    and (worth[up] - worth[up - 1]) * left_us > cost):  # it pays in the time left
                step = self.settings.ladder_kb[up] * session.cls.scale - session.kb
                room = (self._level(session.cls, up) - busy) * line.kb
                if room * part > step * self.random.random():
                    self._change(session, up)
                    busy += step / line.kb

    def _read_share(self, server: Server, share: float) -> None:
        """Departure: 1 / share is a reading of load as well: of the uplink, whose size it tells, where load
        notes come and show the link less full, else of the link. A note that all is delivered ends both."""
        line, rack, at = server.line, server.rack, self.now - self.settings.seen_after_us
        fresh = at - line.seen_us <= STALE_NOTES * self.settings.tell_us
        asked = rack.put_together(self.links.value(self.now), self.now)
        self._judge_hints(server, 1 / max(share, STALLED) if share < SHORT_FROM else
                          min(1.0, line.load(0.0, self.now)), at)
        if share >= SHORT_FROM:
            if line.load(0.0, self.now) > 1:
                line.see(1.0, at)
            if not self.settings.reports_rack:
                rack.kb = max(rack.kb, asked)
            return
        if share > STALLED and not fresh:
            line.see(1 / share, at)
        elif (share > STALLED and not self.settings.reports_rack
              and line.load(UNHEARD, self.now) < (1 / share + 1) / 2):
            rack.short_us = self.now
            rack.kb += LEARN * (asked * share - rack.kb)
        self._cut(server, share)

    def _read(self, server: Server, topic: str, value: float, at_us: int) -> None:
        """Take a reading; one that is not a finite number of 0 or more is passed over, the last stands."""
        if topic == "rack" and _number(value):
            server.rack.see(value, at_us)
        elif topic == "link" and _number(value):
            server.line.see(value, at_us)
            self._judge_hints(server, value, at_us)
        elif topic == "streams" and _number(value):
            server.other_streams = max(0.0, value - len(server.own))

    def _on_gone(self, event: ViewerGone) -> None:
        if self.held.pop(event.session, None):
            del self.sessions[event.session]
        elif (session := self.sessions.get(event.session)) and session.state == "sent":
            session.ended = True

    def _on_timer(self, event: TimerFired) -> None:
        self.polling = self.polling and event.token != 0
        name = self.timers.pop(event.token, None)
        if name == "":
            self.out.append(Subscribe())
        session = self.sessions.get(name or "")
        if (session and session.state == "sent" and not session.ended
                and self.now >= session.ask.deadline_us - LEAD_US):
            session.ended = True  # rule 1: no outcome came in time; the answer cannot wait for it
            self._answer(Fail(session.ask.session))

    # ---- hints --------------------------------------------------------------------------------------------
    # Departure: players and servers say what they see before notes do. It moves a link's load by few points,
    # for seconds, by the trust that its source has earned. Harm: until contradicted, a false hint misleads.

    def _on_player_hint(self, hint: PlayerHint) -> None:
        session = self.sessions.get(hint.session)
        if session is None or session.state != "playing" or session.server is None:
            return
        got_kb = hint.throughput_kb
        claims, viewer = session.server.claims, session.ask.viewer or hint.session
        if hint.starved or got_kb is not None and got_kb < session.kb * SHORT_FROM:
            # Trust in cries of a shortage is earned by such cries alone: to be well is said for nothing.
            claims.pop("well " + viewer, None)
            claims["short " + viewer] = Claim(1 / SHORT_FROM, math.inf, self.now)
        elif got_kb is not None or (hint.buffer_s or 0.0) >= FULL_BUFFER_S:
            claims.pop("short " + viewer, None)  # its rate is delivered; what more would be, it cannot know
            claims["well " + viewer] = Claim(0.0, 1 / SHORT_FROM, self.now)

    def _on_server_hint(self, hint: ServerHint) -> None:
        if server := self.servers.get(hint.server):
            load = max(0.0, 1 - hint.throughput_kb / server.line.kb)
            high = load + HINT_SLACK if load < 1 - HINT_SLACK else math.inf  # nothing left: any overload
            server.claims["server " + hint.server] = Claim(load - HINT_SLACK, high, self.now)

    def _hinted(self, server: Server, load: float) -> float:
        """How far hints move the load of a link: all together, within the bound."""
        moves = sum(max(-HINT_DOWN, min(HINT_UP, min(max(load, claim.low), claim.high) - load))
                    * self.trust.get(source, 0.0) for source, claim in self._claims(server))
        return max(-HINT_DOWN, min(HINT_UP, moves))

    def _claims(self, server: Server) -> list[tuple[str, Claim]]:
        """Hints on its link that still stand, by source."""
        for source in [source for source, claim in server.claims.items() if self.now - claim.at_us > HINT_US]:
            del server.claims[source]
        return list(server.claims.items())

    def _judge_hints(self, server: Server, load: float, at_us: int) -> None:
        """A reading wins over hints on the same time: it raises or lowers the trust in whoever gave them, and
        those that it contradicts are dropped."""
        for source, claim in self._claims(server):
            if abs(claim.at_us - at_us) <= HINT_US:
                agrees, trust = claim.low <= load <= claim.high, self.trust.pop(source, 0.0)
                self.trust[source] = min(1.0, trust + TRUST_RISE) if agrees else trust * TRUST_FALL
                if not agrees:
                    del server.claims[source]
                if len(self.trust) > HINT_SOURCES:
                    del self.trust[next(iter(self.trust))]

    # ---- pools --------------------------------------------------------------------------------------------

    def _pool_of(self, length_us: float | None) -> int:
        return sum(length_us >= cut for cut in CUTS_US) if _valid(length_us) else MIDDLE

    def _turns(self, us: int) -> float:
        """A time in turn-overs of sessions, which what is known of a line outlives no better than they do."""
        return us / (sum(self.hint_us) / sum(self.hint_count) if self.window else TURN_US)

    def _pool_sizes(self) -> list[float]:
        """The share of a link for each pool: f2 = popularity x length over the range."""
        while self.window and self.window[0][0] <= self.now - WINDOW_US:
            _, pool, hint = self.window.popleft()
            self.hint_count[pool] -= 1
            self.hint_us[pool] -= hint
        total = sum(us for us, count in zip(self.hint_us, self.hint_count) if count)
        if not total:  # nothing heard yet: every range counts as equally popular
            return [typical / sum(TYPICAL_US) for typical in TYPICAL_US]
        # Departure: a range without hints gets nothing, or idle, longer ranges would get most of the link.
        return [us / total if count else 0.0 for us, count in zip(self.hint_us, self.hint_count)]

    def _top(self, session: Session) -> int:
        most = min(session.bounds.top, session.ask.ceiling, session.cls.top, len(self.settings.ladder_kb) - 1)
        return session.cls.floor if session.over_share else max(session.cls.floor, most)

    def _on_tenants(self, event: TenantRates) -> None:
        self.tenant_rates = dict(event.rates)
        self.asked = {tenant: times for tenant, times in self.asked.items() if tenant in event.rates}

    def _over_share(self, tenant: str) -> bool:
        """Departure: what a tenant asks past this gateway's part of its rate plays at its lowest rung."""
        rate = self.tenant_rates.get(tenant, 0.0)
        if not self.tenant_rates or not rate:
            return bool(self.tenant_rates)
        times = self.asked.setdefault(tenant, deque())
        times.append(self.now)
        return self._recent(times, TENANT_US) > max(1.0, rate / self.settings.gateways * TENANT_US / 1e6)

    def _steps(self, cls: ClassSettings) -> list[float]:
        """For each rung, how much worth a kB its step brings: 0 for the least of all, 1 for the most."""
        bids = sorted(self._bid(each, rung - 1, rung) for each in self.settings.classes
                      for rung in range(each.floor, min(each.top, len(self.settings.ladder_kb) - 1) + 1))
        least = max(bids[0], 1e-9 * bids[-1]) or 1.0
        spread = math.log(max(bids[-1], least) / least) or 1.0
        return [1.0 if rung <= cls.floor else
                min(1.0, math.log(max(least, self._bid(cls, rung - 1, rung)) / least) / spread)
                for rung in range(len(self.settings.ladder_kb))]

    def _level(self, cls: ClassSettings, rung: int) -> float:
        """Departure: a rung is given up to a share of a line by its step's worth; else the first take all."""
        return self.free_from + self.steps[cls.name][rung] * (LIMIT - self.free_from)

    def _fit(self, session: Session, server: Server, sizes: list[float], averages: Averages) -> Fit | None:
        """The highest rung that fits on the server: the same for sessions alike, until one is sent there."""
        line, rack, cls, ladder = server.line, server.rack, session.cls, self.settings.ladder_kb
        key = (server, cls.name, session.pool, top := self._top(session), line.own_kb, rack.own_kb)
        if key in self.fits:
            return self.fits[key]
        load, rack_load = line.load(averages[0], self.now), rack.load(averages[1], self.now)
        load += self._hinted(server, load) if server.claims else 0.0
        least = ladder[cls.floor] * cls.scale
        if max(load + least / line.kb, rack_load + least / rack.kb) > self._level(cls, cls.floor):
            return self.fits.setdefault(key, None)  # where the floor does not fit, nothing does
        others = max(0.0, load - line.own_kb / line.kb) / POOLS
        free = [max(0.0, size - own / line.kb - others) for size, own in zip(sizes, server.pools)]
        room = sum(free[:session.pool + 1])
        for rung in range(top, cls.floor - 1, -1):
            kb = ladder[rung] * cls.scale
            busy = max(load + (share := kb / line.kb), rack_load + kb / rack.kb)
            if busy <= self._level(cls, rung) and (busy <= BIND_FROM or share <= room):
                draws, need = [0.0] * POOLS, share
                for pool in range(session.pool, -1, -1):
                    draws[pool] = min(need, free[pool])
                    need -= draws[pool]
                draws[session.pool] += need  # only below the mark, where pools do not bind
                return self.fits.setdefault(key, (rung, [draw * line.kb for draw in draws], busy))
        return self.fits.setdefault(key, None)

    # ---- placing ------------------------------------------------------------------------------------------

    def _serve_held(self) -> None:
        sizes, links = self._pool_sizes(), self.links.value(self.now)
        if self.settings.reports_rack:
            averages = (links, self.uplinks.value(self.now))
        else:
            # Departure: an uplink whose load is not told is put together from the links behind it.
            averages = (links, UNHEARD)
            for rack in self.racks if self.settings.uplink_kb else ():
                asked = rack.put_together(links, self.now)
                if self.now - rack.short_us > GROW_AFTER_US and asked > BIND_FROM * rack.kb:
                    rack.kb *= 1 + GROW * min(1.0, (self.now - rack.seen_us) / 1e6)
                rack.see(asked / rack.kb, self.now)
        again = set(heapq.nsmallest(BATCH, self.held.values(), key=self._urgency))
        for session in list(self.held.values()):
            weigh = session.weighed_us < 0 or session in again
            if not (weigh and self._place(session, sizes, averages)) and self.now >= session.hold_until:
                self._refuse(session)
        if self.held and not self.polling:
            self.polling = True
            self.out.append(SetTimer(0, POLL_US))

    def _urgency(self, session: Session) -> tuple[bool, bool, int, float]:
        """The order in which held sessions are weighed again: those that are due, those near which something
        has changed, those weighed longest ago, those of most worth."""
        positions = session.ask.holders(self.settings.positions)
        return (session.hold_until > self.now, self.changed.isdisjoint(positions), session.weighed_us,
                -self.bids[session.cls.name])

    def _place(self, session: Session, sizes: list[float], averages: Averages) -> bool:
        ask, cls, settings = session.ask, session.cls, self.settings
        session.weighed_us = self.now
        if (self.now >= ask.deadline_us - LEAD_US or session.attempt >= 0 and not self._budget_left()
                or cls.seats and self.seats[ask.title, cls.name] >= cls.seats):
            return False
        session.bounds = self.guide.bounds(self.now, ask)
        if session.bounds.reason:
            self._refuse(session)
            return True
        fits = [(fit, server) for position in ask.holders(settings.positions)
                for server in self.by_position.get(position, ()) if self._usable(server)
                and server.entry.server not in session.tried and session.bounds.admits(server.entry.server)
                and (fit := self._fit(session, server, sizes, averages)) is not None]
        if fits:
            cross = settings.cross_zone_price * CROSS_BIAS
            (rung, draws, _), server = max(fits, key=lambda each: (
                each[0][0], -each[0][2] - (each[1].entry.zone != settings.zone) * cross
                - session.bounds.costs.get(each[1].entry.server, 0.0) - self.random.random() * SPREAD))
            self._send(session, server, rung, draws)
        return bool(fits)

    def _usable(self, server: Server) -> bool:
        return (server.listed and server.entry.state == "active" and self.now >= server.blocked_until
                and len(server.own) + server.other_streams < server.places and self._pace_left(server))

    def _pace(self, server: Server) -> tuple[int, int]:
        """Slow start: this gateway's part of what a cold server takes, as sends in any such window. All of it
        where a start is but guessed by this one, new alone: where sessions are handed over, all start now."""
        settings, alone = self.settings, server.guessed and not self.handed_over
        part = (PACE_PART * settings.fall_multiple * settings.cold_from * settings.fall_us * server.places
                / max(1, settings.cold_us) / (1 if alone else settings.gateways))
        return max(1, int(part)), settings.fall_us if part >= 1 else int(settings.fall_us / part)

    def _expect_start(self, server: Server, cold_until: int) -> None:
        """A start was told, or is expected after a failure. The first send waits for a random part of the
        window: hundreds of gateways that hear of one start count together."""
        server.guessed = False
        if server.cold_until != NEVER or cold_until != NEVER:
            wait_us = int(self._pace(server)[1] * self.random.random())
            server.first_us = max(self.now, server.blocked_until) + wait_us
            server.sends.clear()  # what was sent before was not to the one that starts
        server.cold_until = cold_until

    def _pace_left(self, server: Server) -> bool:
        if self.now >= server.cold_until:
            return True
        most, window = self._pace(server)
        return self.now >= server.first_us and self._recent(server.sends, window) < most

    def _recent(self, times: deque[int], window_us: int) -> int:
        """How many of the times lie within the window; the others are dropped."""
        while times and times[0] <= self.now - window_us:
            times.popleft()
        return len(times)

    def _budget_left(self) -> bool:
        """Rule 6: further attempts within the stated budget."""
        settings = self.settings
        taken, extra = (self._recent(times, settings.budget_window_us) for times in (self.taken, self.extra))
        return (settings.budget_free is None or settings.budget_ratio is None
                or extra + 1 <= settings.budget_free + settings.budget_ratio * taken)

    def _send(self, session: Session, server: Server, rung: int, draws: list[float]) -> None:
        name, left = session.ask.session, session.ask.deadline_us - self.now
        if session.attempt >= 0:
            self.extra.append(self.now)
        session.attempt += 1
        session.state, session.server, session.rung = "sent", server, rung
        # Departure: a rung chosen for a server not heard of lately is a guess, settled by later notes.
        session.admitted = rung if self.now - server.line.seen_us < self.links.keep_us else self._top(session)
        session.tried.append(server.entry.server)
        self.held.pop(name, None)
        server.own[name] = session
        server.sends.append(self.now)
        self._book(session, self.settings.ladder_kb[rung] * session.cls.scale, draws)
        self._take_seat(session, 1)
        wait = left - LEAD_US // 2
        if session.cls.effect == "safe" and session.attempt + 1 < self.settings.max_attempts:
            wait = min(wait, max(WAIT_MIN_US, int(self.setup_us + 4 * self.setup_dev)))
        self.out.append(SetRung(name, rung))
        self._answer(Send(name, server.entry.server, wait))
        self._timer(left - LEAD_US // 2, name)

    def _release(self, session: Session) -> None:
        self._take_seat(session, -1)
        if session.server is not None:
            self._book(session, 0.0, [0.0] * POOLS)
            session.server.own.pop(session.ask.session, None)
            session.server = None

    def _hold(self, session: Session) -> None:
        self.held[session.ask.session], session.weighed_us = session, -1
        self._timer(session.hold_until - self.now, session.ask.session)

    def _take_seat(self, session: Session, step: int) -> None:
        if session.cls.seats:
            self.seats[session.ask.title, session.cls.name] += step

    def _finish(self, session: Session, answer: Refuse | Fail) -> None:
        self.held.pop(session.ask.session, None)
        self.sessions.pop(session.ask.session, None)
        self._answer(answer)

    def _answer(self, action: Send | Refuse | Fail) -> None:
        self.out.append(action)
        self.guide.told(self.now, action)

    def _refuse(self, session: Session) -> None:
        """Departure: a refusal says when to come back. Viewers told nothing come again at any time, and a
        link that was full for the whole hold is seldom free at once. Harm: no worth while they stay away."""
        most_us = self.settings.max_retry_after_us * self.settings.retry_after
        gap_us = min(session.bounds.gap_us or STAY_US, most_us)
        self._finish(session, Refuse(session.ask.session, gap_us, session.bounds.why))

    def _timer(self, delay_us: int, name: str) -> None:
        self.timers[self.next_timer] = name
        self.out.append(SetTimer(self.next_timer, max(0, delay_us)))
        self.next_timer += 1


def _number(value: float | None) -> TypeGuard[float]:
    return isinstance(value, (int, float)) and 0 <= value < math.inf


def _valid(length_us: float | None) -> TypeGuard[float]:
    return _number(length_us) and length_us > 0


HANDLERS: dict[type, Callable[[Controller, Any], None]] = {
    ServerList: Controller._on_list, SessionRequest: Controller._on_request,
    SessionPlaying: Controller._on_playing, Started: Controller._on_started, Ended: Controller._on_ended,
    Note: Controller._on_note, PlayerHint: Controller._on_player_hint, ServerHint: Controller._on_server_hint,
    TenantRates: Controller._on_tenants, ServerDown: Controller._on_down, ViewerGone: Controller._on_gone,
    TimerFired: Controller._on_timer, Proof: Controller._anywhere, GuideNews: Controller._anywhere,
}
