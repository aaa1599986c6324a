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
from typing import Any

from lotuspick.core import tuning
from lotuspick.core.actions import (
    Action,
    FailSession,
    ForwardAttempt,
    LogMessage,
    RejectSession,
    SetRung,
    StartTimer,
    Subscribe,
)
from lotuspick.core.constraints import (
    CombinedProviders,
    ConstraintProvider,
)
from lotuspick.core.events import (
    PROVES_NOT_EXECUTED,
    AttemptEnded,
    AttemptResolved,
    ConstraintsChanged,
    Event,
    PlayerHint,
    ServerEntry,
    ServerFailed,
    ServerHint,
    ServerListUpdate,
    SessionNotification,
    SessionPlaying,
    SessionRequest,
    SessionStarted,
    TenantRates,
    TimerFired,
    ViewerDisconnected,
)
from lotuspick.core.hint_trust import HintTrust
from lotuspick.core.length_popularity import LengthPopularity, length_pool
from lotuspick.core.load_estimation import LinkLoad, LoadAverage, UplinkLoad
from lotuspick.core.settings import ClassSettings, RetrySafety, Settings
from lotuspick.core.state import ServerState, SessionState
from lotuspick.core.validation import is_not_negative, is_positive

Fit = tuple[int, list[float], float]  # a rung, its draws on the pools and the load it makes
Averages = tuple[float, float]  # load of the middle link and of the middle uplink


class Controller:
    """The decisions of one gateway. ``handle`` takes what happened and returns what to do."""

    def __init__(self, settings: Settings, seed: int, guide: ConstraintProvider | None = None) -> None:
        if isinstance(seed, bool) or not isinstance(seed, int):
            raise ValueError(f"seed must be a whole number, not {seed!r}")
        self.settings, self.guide = settings, guide or CombinedProviders(())
        self.random = random.Random(seed)
        self.classes = {cls.name: cls for cls in settings.classes}
        self.bids: dict[str, float] = {
            cls.name: float(cls.priority_weight) ** tuning.WORTH_POWER for cls in settings.classes
        }
        self.steps = {cls.name: self._steps(cls) for cls in settings.classes}
        self.free_from = tuning.FREE_FROM
        self.servers, self.by_position = (
            dict[str, ServerState](),
            dict[int, list[ServerState]](),
        )  # there: listed ones
        note_us, kb = (
            settings.notification_interval_us or tuning.TELL_US,
            settings.uplink_kb_per_s or math.inf,
        )
        self.links, self.uplinks, self.calm_us = (
            LoadAverage(note_us),
            LoadAverage(note_us),
            int(tuning.CALM_NOTES * note_us),
        )
        base, seen = (
            (None, -tuning.NEVER) if settings.uplink_kb_per_s else (0.0, tuning.NEVER)
        )  # without a size it is never full
        self.racks = [UplinkLoad(kb, self.uplinks, base, seen, told_kb=kb) for _ in range(settings.racks)]
        self.sessions, self.held = dict[str, SessionState](), dict[str, SessionState]()
        self.seats = Counter[tuple[str, str]]()
        self.changed = set[int]()  # positions at which there may be more room than in the last call
        self.fits = dict[Any, Fit | None]()  # what fits where, in this call
        self.popularity = LengthPopularity()
        self.taken, self.extra = deque[int](), deque[int]()  # requests and further attempts, for the budget
        self.tenant_rates = dict(settings.tenant_rates)
        self.hint_trust, self.asked = HintTrust(), dict[str, deque[int]]()  # asked lately, by tenant
        self.timers, self.next_timer = dict[int, str](), 1
        self.polling, self.handed_over, self.starting = False, False, True
        self.setup_us, self.setup_dev = (
            float(tuning.SETUP_US),
            tuning.SETUP_US / 2,
        )  # smoothed time of a set-up, and spread
        self.out: list[Action] = []
        self.now = self.checked_us = 0

    # ---- events -------------------------------------------------------------------------------------------

    def handle(self, now: int, events: Sequence[Event]) -> list[Action]:
        """Apply the events at clock time ``now`` (us); return the actions, in order. Raises ``ValueError``
        for an event of an unknown type or class, before anything is applied."""
        for event in events:
            if type(event) not in HANDLERS:
                raise ValueError(f"unknown event {type(event).__name__}")
            if isinstance(event, SessionRequest) and event.session_class not in self.classes:
                raise ValueError(f"session {event.session}: unknown class {event.session_class!r}")
        self.now, self.out = (
            now,
            [Subscribe()] if self.starting and self.settings.subscription_required else [],
        )
        self.starting = False
        for event in events:
            self.guide.on_event(now, event)
            HANDLERS[type(event)](self, event)
        if self.held:
            self._serve_held()
        self.changed, self.fits = set(), {}
        if now - self.checked_us >= tuning.POLL_US * 10:
            rise = tuning.FREE_RISE * self.popularity.turnovers(
                min(now - self.checked_us, 2 * tuning.NOTE_US)
            )
            self.free_from, self.checked_us = min(tuning.FREE_MOST, self.free_from + rise), now
            for name, server in list(self.servers.items()):
                if not (server.listed or server.own):
                    self.links.drop(self.servers.pop(name).line)  # guards against keeping all ever listed
                elif (
                    server.own
                    and now - server.settled_us
                    > tuning.STALE_NOTES * self.settings.notification_interval_us
                    > 0
                ):
                    self._restore(server, None)
        return self.out

    def _on_list(self, event: ServerListUpdate) -> None:
        if event.failed:
            return self._timer(tuning.HOLD_US, "") if self.settings.subscription_required else None
        first, named = not self.servers, {entry.server for entry in event.servers}
        for entry in event.servers:
            fresh = entry.server not in self.servers
            if fresh and entry.state == "gone":
                continue
            server = self._new_server(entry) if fresh else self.servers[entry.server]
            if fresh and first:
                # Slow start: the list a gateway starts with may be old, but soon brings news of a start.
                server.guessed = not entry.started_us
                server.cold_until = max(
                    self.now + min(tuning.NEWS_US, self.settings.warm_up_us),
                    entry.started_us + self.settings.warm_up_us if entry.started_us else 0,
                )
            elif fresh or entry.started_us > server.entry.started_us:
                self._expect_start(server, (entry.started_us or self.now) + self.settings.warm_up_us)
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

    def _anywhere(self, event: ServerListUpdate | AttemptResolved | ConstraintsChanged) -> None:
        self.changed.update(range(self.settings.positions))  # any held session may have been let in by it

    def _new_server(self, entry: ServerEntry) -> ServerState:
        places, kb = self.settings.capacity(entry)
        rack = self.racks[entry.position % self.settings.racks]
        return self.servers.setdefault(
            entry.server, ServerState(entry, LinkLoad(kb, self.links), rack, places)
        )

    def _on_request(self, ask: SessionRequest) -> None:
        if ask.session in self.sessions:
            return
        cls = self.classes[ask.session_class]
        session = SessionState(ask, cls, length_pool(ask.length_us))
        if is_positive(ask.length_us):
            self.popularity.add(ask.length_us, session.pool, self.now)
        self.taken.append(self.now)
        self._recent(self.taken, self.settings.retry_budget_window_us)
        session.over_share = self._over_share(ask.tenant)
        self.sessions[ask.session] = session
        hold_us = min(
            tuning.HOLD_US, max(self.guide.max_wait_us, cls.latency_objective_us - 2 * int(self.setup_us))
        )
        session.hold_until = min(self.now + hold_us, ask.deadline_us - tuning.LEAD_US)
        # Refused where no rung is both in the terms and of use to the viewer.
        (self._refuse if ask.highest_rung < cls.lowest_rung else self._hold)(session)

    def _on_playing(self, ask: SessionPlaying) -> None:
        if ask.session in self.sessions:
            return
        session = SessionState(ask, self.classes[ask.session_class], length_pool(ask.length_us))
        self.handed_over = True
        session.state, session.attempt, session.told = "playing", 0, True
        session.ends_us = self.now + (ask.length_us if is_positive(ask.length_us) else math.inf)
        # Departure: nobody here admitted it at its rung, so it counts as a cut session and may be raised.
        session.admitted = self._top(session)
        self.sessions[ask.session] = session
        self._take_seat(session, 1)
        session.server = self.servers.get(ask.server)
        self._inherit(session, session.cls.lowest_rung)

    def _inherit(self, session: SessionState, rung: int) -> None:
        """Book a session that already plays: its use is part of what servers report."""
        if session.server is not None:
            draws = [0.0] * tuning.POOLS
            session.rung, draws[session.pool] = (
                rung,
                self.settings.ladder_kb_per_s[rung] * session.cls.bitrate_scale,
            )
            session.server.own[session.ask.session] = session
            self._book(session, draws[session.pool], draws, told=True)

    def _book(self, session: SessionState, kb: float, draws: list[float], told: bool = False) -> None:
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

    def _on_started(self, event: SessionStarted) -> None:
        session = self.sessions.get(event.session)
        if session is None or session.attempt != event.attempt or session.server is None:
            return
        session.state, server = "playing", session.server
        session.ends_us = self.now + (
            session.ask.length_us if is_positive(session.ask.length_us) else math.inf
        )
        error = event.duration_us - self.setup_us
        self.setup_us += error / 8
        self.setup_dev += (abs(error) - self.setup_dev) / 4
        server.fails, server.strikes = max(0, server.fails - 1), 0
        if server.cold_until == tuning.NEVER:
            server.cold_until = self.now + self.settings.warm_up_us
        if session.told:
            self._settle(session, server)

    def _on_ended(self, event: AttemptEnded) -> None:
        server, session = self.servers.get(event.server), self.sessions.get(event.session)
        if server is not None:
            self.changed.add(server.entry.position)
            for topic, value in event.load_report.items():
                self._read(server, topic, value, self.now - self.settings.notification_delay_us // 2)
        if session is None or session.attempt != event.attempt or session.state == "held":
            return
        if server is not None:
            self._judge(server, event.outcome, event.server_alive)
        self._release(session)
        if event.final or session.ended or session.state == "playing" or event.outcome == "served":
            del self.sessions[event.session]
            return
        session.state, session.server = "held", None
        session.may_have_run |= event.outcome not in PROVES_NOT_EXECUTED
        last = session.ask.deadline_us - tuning.LEAD_US
        if session.may_have_run and session.cls.retry_safety is not RetrySafety.IDEMPOTENT:
            self._finish(session, FailSession(event.session))
        elif session.attempt + 1 >= self.settings.max_attempts or self.now >= last:
            self._refuse(session)
        else:
            session.hold_until = min(max(session.hold_until, self.now + tuning.FULL_US), last)
            self._hold(session)

    def _judge(self, server: ServerState, outcome: str, alive: bool) -> None:
        """Health: eject a server, with backoff, on a failure, or on a few in a row where they are known to be
        of the attempt or its connection alone. Harm: a sick one that lives fails a few before it rests."""
        if outcome in ("served", "cancelled", "unsent"):
            return
        if outcome == "full":
            server.blocked_until = max(server.blocked_until, self.now + tuning.FULL_US)
            return
        server.strikes += 1
        if alive and server.strikes < tuning.STRIKES:
            return
        if self.now >= server.blocked_until:  # what fails together counts, and is logged, once
            server.fails += 1
            rest = min(tuning.EJECT_MAX_US, tuning.EJECT_US << min(server.fails - 1, 10))
            server.blocked_until = self.now + rest
            self.out.append(LogMessage(f"eject {server.entry.server} {outcome} {rest // 1000} ms"))
        if outcome == "timeout" or not alive and outcome != "error":
            self._expect_start(server, tuning.NEVER)  # a failure witnessed: paced until a warm-up later

    def _on_down(self, event: ServerFailed) -> None:
        if server := self.servers.get(event.server):
            self._judge(server, "unreachable", False)

    def _on_note(self, note: SessionNotification) -> None:
        server, session = self.servers.get(note.server), self.sessions.get(note.session)
        if server is None or not is_not_negative(note.value):
            return
        self.changed.add(server.entry.position)
        if note.topic == "rung" and session is not None and session.server is server:
            self._inherit(session, min(int(note.value), len(self.settings.ladder_kb_per_s) - 1))
        elif note.topic == "share":
            self._read_share(server, note.value)
        # The first note on a session set up here is of now, and counts it already; later ones are late.
        fresh = session if note.topic == "link" and session is not None and not session.told else None
        self._read(
            server, note.topic, note.value, self.now - (0 if fresh else self.settings.notification_delay_us)
        )
        if fresh is not None:
            fresh.told = True
            self._settle(fresh, server)
        elif note.topic == "link":
            self._restore(server, None)

    def _change(self, session: SessionState, rung: int) -> None:
        """Change the rung of a playing session, its draws in proportion."""
        kb = self.settings.ladder_kb_per_s[rung] * session.cls.bitrate_scale
        self._book(session, kb, [draw * kb / session.kb for draw in session.draws])
        session.rung = rung
        self.out.append(SetRung(session.ask.session, rung))

    def _bid(self, cls: ClassSettings, low: int, high: int) -> float:
        """Worth of the step from one rung to another for each kB of it."""
        worth, ladder = self.settings.rung_values, self.settings.ladder_kb_per_s
        below_kb, below = (ladder[low], worth[low]) if low >= cls.lowest_rung else (0.0, 0.0)
        return self.bids[cls.name] * (worth[high] - below) / ((ladder[high] - below_kb) * cls.bitrate_scale)

    def _cut(self, server: ServerState, share: float) -> None:
        """Departure: a short line takes worth from every session on it, so each gateway lowers its own part.
        Harm: a late note cuts for a shortage that is over; the effect is awaited before the next cut."""
        server.short_us = self.now
        part = len(server.own) / max(1, len(self.sessions))
        self.free_from = max(
            tuning.FREE_LEAST,
            self.free_from - tuning.FREE_FALL * part * self.popularity.turnovers(tuning.NOTE_US),
        )
        if share >= tuning.CUT_FROM or self.now < server.cut_after:
            return
        server.cut_after = self.now + self.settings.notification_delay_us + tuning.NOTE_US
        over, ladder = server.line.own_kb * (1 - share * tuning.CUT_FROM), self.settings.ladder_kb_per_s
        can = [
            each
            for each in server.own.values()
            if each.state == "playing" and each.rung > each.cls.lowest_rung
        ]
        for session in sorted(can, key=lambda each: self._bid(each.cls, each.rung - 1, each.rung)):
            step = (ladder[session.rung] - ladder[session.rung - 1]) * session.cls.bitrate_scale
            if over < step * self.random.random():
                break  # a part of a step is taken by that chance: many gateways may hold one session each
            over -= step
            self._change(session, session.rung - 1)

    def _settle(self, session: SessionState, server: ServerState) -> None:
        """Departure: lower a session just set up, if the line proves fuller than was known, to the rung that
        fits, or raise it. Its note may come ahead of its start and counts with it. Harm: one change more."""
        rung, ladder = session.rung, self.settings.ladder_kb_per_s
        over = (server.line.load(0.0, self.now) - tuning.LIMIT) * server.line.kb
        while session.state == "playing" and rung > session.cls.lowest_rung and over > 0:
            over -= (ladder[rung] - ladder[rung - 1]) * session.cls.bitrate_scale
            rung -= 1
        if rung < session.rung:
            self._change(session, rung)
        self._restore(server, session)

    def _restore(self, server: ServerState, fresh: SessionState | None) -> None:
        """Raise sessions toward the rung admitted at; ``fresh``: one just set up, noted here alone."""
        server.settled_us = self.now
        if self.now - server.short_us < self.calm_us or server.rack.base is None or server.line.base is None:
            return
        line = max((server.line, server.rack), key=lambda each: each.load(0.0, self.now))
        busy = line.load(0.0, self.now)
        part = 1.0 if fresh else min(1.0, line.own_kb / (busy * line.kb + 1e-9))  # of the room: by chance
        worth, cost = self.settings.rung_values, tuning.RAISE_GAIN * self.settings.rung_change_cost_s * 1e6
        can = [fresh] if fresh else [each for each in server.own.values() if each.rung < each.admitted]
        for session in sorted(can, key=lambda each: each.rung):
            up, left_us = session.rung + 1, session.ends_us - self.now
            if (
                session.state == "playing"
                and up <= session.admitted
                and (worth[up] - worth[up - 1]) * left_us > cost
            ):  # it pays in the time left
                step = self.settings.ladder_kb_per_s[up] * session.cls.bitrate_scale - session.kb
                room = (self._level(session.cls, up) - busy) * line.kb
                if room * part > step * self.random.random():
                    self._change(session, up)
                    busy += step / line.kb

    def _read_share(self, server: ServerState, share: float) -> None:
        """Departure: 1 / share is a reading of load as well: of the uplink, whose size it tells, where load
        notes come and show the link less full, else of the link. A note that all is delivered ends both."""
        line, rack, at = server.line, server.rack, self.now - self.settings.notification_delay_us
        fresh = at - line.seen_us <= tuning.STALE_NOTES * self.settings.notification_interval_us
        asked = rack.aggregate_load(self.links.value(self.now), self.now)
        load = (
            1 / max(share, tuning.STALLED)
            if share < tuning.SHORT_FROM
            else min(1.0, line.load(0.0, self.now))
        )
        self.hint_trust.compare_with_reading(server, load, at, self.now)
        if share >= tuning.SHORT_FROM:
            if line.load(0.0, self.now) > 1:
                line.see(1.0, at)
            if not self.settings.reports_uplink_load:
                rack.kb = max(rack.kb, asked)
            return
        if share > tuning.STALLED and not fresh:
            line.see(1 / share, at)
        elif (
            share > tuning.STALLED
            and not self.settings.reports_uplink_load
            and line.load(tuning.UNHEARD, self.now) < (1 / share + 1) / 2
        ):
            rack.short_us = self.now
            rack.kb += tuning.LEARN * (asked * share - rack.kb)
        self._cut(server, share)

    def _read(self, server: ServerState, topic: str, value: float, at_us: int) -> None:
        """Take a reading; one that is not a finite number of 0 or more is passed over, the last stands."""
        if topic == "rack" and is_not_negative(value):
            server.rack.see(value, at_us)
        elif topic == "link" and is_not_negative(value):
            server.line.see(value, at_us)
            self.hint_trust.compare_with_reading(server, value, at_us, self.now)
        elif topic == "streams" and is_not_negative(value):
            server.other_streams = max(0.0, value - len(server.own))

    def _on_gone(self, event: ViewerDisconnected) -> None:
        if self.held.pop(event.session, None):
            del self.sessions[event.session]
        elif (session := self.sessions.get(event.session)) and session.state == "sent":
            session.ended = True

    def _on_timer(self, event: TimerFired) -> None:
        self.polling = self.polling and event.timer_id != 0
        name = self.timers.pop(event.timer_id, None)
        if name == "":
            self.out.append(Subscribe())
        session = self.sessions.get(name or "")
        if (
            session
            and session.state == "sent"
            and not session.ended
            and self.now >= session.ask.deadline_us - tuning.LEAD_US
        ):
            session.ended = True  # rule 1: no outcome came in time; the answer cannot wait for it
            self._answer(FailSession(session.ask.session))

    def _on_player_hint(self, hint: PlayerHint) -> None:
        session = self.sessions.get(hint.session)
        if session is not None and session.state == "playing" and session.server is not None:
            self.hint_trust.add_player_hint(hint, session, session.server, self.now)

    def _on_server_hint(self, hint: ServerHint) -> None:
        if server := self.servers.get(hint.server):
            self.hint_trust.add_server_hint(hint, server, self.now)

    def _top(self, session: SessionState) -> int:
        most = min(
            session.bounds.highest_rung,
            session.ask.highest_rung,
            session.cls.highest_rung,
            len(self.settings.ladder_kb_per_s) - 1,
        )
        return session.cls.lowest_rung if session.over_share else max(session.cls.lowest_rung, most)

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
        return self._recent(times, tuning.TENANT_US) > max(
            1.0, rate / self.settings.brokers * tuning.TENANT_US / 1e6
        )

    def _steps(self, cls: ClassSettings) -> list[float]:
        """For each rung, how much worth a kB its step brings: 0 for the least of all, 1 for the most."""
        bids = sorted(
            self._bid(each, rung - 1, rung)
            for each in self.settings.classes
            for rung in range(
                each.lowest_rung, min(each.highest_rung, len(self.settings.ladder_kb_per_s) - 1) + 1
            )
        )
        least = max(bids[0], 1e-9 * bids[-1]) or 1.0
        spread = math.log(max(bids[-1], least) / least) or 1.0
        return [
            1.0
            if rung <= cls.lowest_rung
            else min(1.0, math.log(max(least, self._bid(cls, rung - 1, rung)) / least) / spread)
            for rung in range(len(self.settings.ladder_kb_per_s))
        ]

    def _level(self, cls: ClassSettings, rung: int) -> float:
        """Departure: a rung is given up to a share of a line by its step's worth; else the first take all."""
        return self.free_from + self.steps[cls.name][rung] * (tuning.LIMIT - self.free_from)

    def _fit(
        self, session: SessionState, server: ServerState, sizes: list[float], averages: Averages
    ) -> Fit | None:
        """The highest rung that fits on the server: the same for sessions alike, until one is sent there."""
        line, rack, cls, ladder = server.line, server.rack, session.cls, self.settings.ladder_kb_per_s
        key = (server, cls.name, session.pool, top := self._top(session), line.own_kb, rack.own_kb)
        if key in self.fits:
            return self.fits[key]
        load, rack_load = line.load(averages[0], self.now), rack.load(averages[1], self.now)
        load += self.hint_trust.load_correction(server, load, self.now) if server.claims else 0.0
        least = ladder[cls.lowest_rung] * cls.bitrate_scale
        if max(load + least / line.kb, rack_load + least / rack.kb) > self._level(cls, cls.lowest_rung):
            return self.fits.setdefault(key, None)  # where the floor does not fit, nothing does
        others = max(0.0, load - line.own_kb / line.kb) / tuning.POOLS
        free = [max(0.0, size - own / line.kb - others) for size, own in zip(sizes, server.pools)]
        room = sum(free[: session.pool + 1])
        for rung in range(top, cls.lowest_rung - 1, -1):
            kb = ladder[rung] * cls.bitrate_scale
            busy = max(load + (share := kb / line.kb), rack_load + kb / rack.kb)
            if busy <= self._level(cls, rung) and (busy <= tuning.BIND_FROM or share <= room):
                draws, need = [0.0] * tuning.POOLS, share
                for pool in range(session.pool, -1, -1):
                    draws[pool] = min(need, free[pool])
                    need -= draws[pool]
                draws[session.pool] += need  # only below the mark, where pools do not bind
                return self.fits.setdefault(key, (rung, [draw * line.kb for draw in draws], busy))
        return self.fits.setdefault(key, None)

    # ---- placing ------------------------------------------------------------------------------------------

    def _serve_held(self) -> None:
        sizes, links = self.popularity.pool_sizes(self.now), self.links.value(self.now)
        if self.settings.reports_uplink_load:
            averages = (links, self.uplinks.value(self.now))
        else:
            # Departure: an uplink whose load is not told is put together from the links behind it.
            averages = (links, tuning.UNHEARD)
            for rack in self.racks if self.settings.uplink_kb_per_s else ():
                asked = rack.aggregate_load(links, self.now)
                if self.now - rack.short_us > tuning.GROW_AFTER_US and asked > tuning.BIND_FROM * rack.kb:
                    rack.kb *= 1 + tuning.GROW * min(1.0, (self.now - rack.seen_us) / 1e6)
                rack.see(asked / rack.kb, self.now)
        again = set(heapq.nsmallest(tuning.BATCH, self.held.values(), key=self._urgency))
        for session in list(self.held.values()):
            weigh = session.weighed_us < 0 or session in again
            if not (weigh and self._place(session, sizes, averages)) and self.now >= session.hold_until:
                self._refuse(session)
        if self.held and not self.polling:
            self.polling = True
            self.out.append(StartTimer(0, tuning.POLL_US))

    def _urgency(self, session: SessionState) -> tuple[bool, bool, int, float]:
        """The order in which held sessions are weighed again: those that are due, those near which something
        has changed, those weighed longest ago, those of most worth."""
        positions = session.ask.holder_positions(self.settings.positions)
        return (
            session.hold_until > self.now,
            self.changed.isdisjoint(positions),
            session.weighed_us,
            -self.bids[session.cls.name],
        )

    def _place(self, session: SessionState, sizes: list[float], averages: Averages) -> bool:
        ask, cls, settings = session.ask, session.cls, self.settings
        session.weighed_us = self.now
        if (
            self.now >= ask.deadline_us - tuning.LEAD_US
            or session.attempt >= 0
            and not self._budget_left()
            or cls.title_session_limit
            and self.seats[ask.title, cls.name] >= cls.title_session_limit
        ):
            return False
        session.bounds = self.guide.constraint_for(self.now, ask)
        if session.bounds.reason:
            self._refuse(session)
            return True
        fits = [
            (fit, server)
            for position in ask.holder_positions(settings.positions)
            for server in self.by_position.get(position, ())
            if self._usable(server)
            and server.entry.server not in session.tried
            and session.bounds.admits(server.entry.server)
            and (fit := self._fit(session, server, sizes, averages)) is not None
        ]
        if fits:
            cross = settings.cross_zone_price * tuning.CROSS_BIAS
            (rung, draws, _), server = max(
                fits,
                key=lambda each: (
                    each[0][0],
                    -each[0][2]
                    - (each[1].entry.zone != settings.zone) * cross
                    - session.bounds.costs.get(each[1].entry.server, 0.0)
                    - self.random.random() * tuning.SPREAD,
                ),
            )
            self._send(session, server, rung, draws)
        return bool(fits)

    def _usable(self, server: ServerState) -> bool:
        return (
            server.listed
            and server.entry.state == "active"
            and self.now >= server.blocked_until
            and len(server.own) + server.other_streams < server.places
            and self._pace_left(server)
        )

    def _pace(self, server: ServerState) -> tuple[int, int]:
        """Slow start: this gateway's part of what a cold server takes, as sends in any such window. All of it
        where a start is but guessed by this one, new alone: where sessions are handed over, all start now."""
        settings, alone = self.settings, server.guessed and not self.handed_over
        part = (
            tuning.PACE_PART
            * settings.overload_factor
            * settings.slow_start_fraction
            * settings.overload_window_us
            * server.places
            / max(1, settings.warm_up_us)
            / (1 if alone else settings.brokers)
        )
        return max(1, int(part)), settings.overload_window_us if part >= 1 else int(
            settings.overload_window_us / part
        )

    def _expect_start(self, server: ServerState, cold_until: int) -> None:
        """A start was told, or is expected after a failure. The first send waits for a random part of the
        window: hundreds of gateways that hear of one start count together."""
        server.guessed = False
        if server.cold_until != tuning.NEVER or cold_until != tuning.NEVER:
            wait_us = int(self._pace(server)[1] * self.random.random())
            server.first_us = max(self.now, server.blocked_until) + wait_us
            server.sends.clear()  # what was sent before was not to the one that starts
        server.cold_until = cold_until

    def _pace_left(self, server: ServerState) -> bool:
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
        taken, extra = (
            self._recent(times, settings.retry_budget_window_us) for times in (self.taken, self.extra)
        )
        return (
            settings.retry_budget_floor is None
            or settings.retry_budget_ratio is None
            or extra + 1 <= settings.retry_budget_floor + settings.retry_budget_ratio * taken
        )

    def _send(self, session: SessionState, server: ServerState, rung: int, draws: list[float]) -> None:
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
        self._book(session, self.settings.ladder_kb_per_s[rung] * session.cls.bitrate_scale, draws)
        self._take_seat(session, 1)
        wait = left - tuning.LEAD_US // 2
        if (
            session.cls.retry_safety is RetrySafety.IDEMPOTENT
            and session.attempt + 1 < self.settings.max_attempts
        ):
            wait = min(wait, max(tuning.WAIT_MIN_US, int(self.setup_us + 4 * self.setup_dev)))
        self.out.append(SetRung(name, rung))
        self._answer(ForwardAttempt(name, server.entry.server, wait))
        self._timer(left - tuning.LEAD_US // 2, name)

    def _release(self, session: SessionState) -> None:
        self._take_seat(session, -1)
        if session.server is not None:
            self._book(session, 0.0, [0.0] * tuning.POOLS)
            session.server.own.pop(session.ask.session, None)
            session.server = None

    def _hold(self, session: SessionState) -> None:
        self.held[session.ask.session], session.weighed_us = session, -1
        self._timer(session.hold_until - self.now, session.ask.session)

    def _take_seat(self, session: SessionState, step: int) -> None:
        if session.cls.title_session_limit:
            self.seats[session.ask.title, session.cls.name] += step

    def _finish(self, session: SessionState, answer: RejectSession | FailSession) -> None:
        self.held.pop(session.ask.session, None)
        self.sessions.pop(session.ask.session, None)
        self._answer(answer)

    def _answer(self, action: ForwardAttempt | RejectSession | FailSession) -> None:
        self.out.append(action)
        self.guide.on_event(self.now, action)

    def _refuse(self, session: SessionState) -> None:
        """Departure: a refusal says when to come back. Viewers told nothing come again at any time, and a
        link that was full for the whole hold is seldom free at once. Harm: no worth while they stay away."""
        most_us = self.settings.max_retry_after_us * self.settings.retry_after_allowed
        gap_us = min(session.bounds.retry_after_us or tuning.STAY_US, most_us)
        self._finish(session, RejectSession(session.ask.session, gap_us, session.bounds.rejection_reason))

    def _timer(self, delay_us: int, name: str) -> None:
        self.timers[self.next_timer] = name
        self.out.append(StartTimer(self.next_timer, max(0, delay_us)))
        self.next_timer += 1


HANDLERS: dict[type, Callable[[Controller, Any], None]] = {
    ServerListUpdate: Controller._on_list,
    SessionRequest: Controller._on_request,
    SessionPlaying: Controller._on_playing,
    SessionStarted: Controller._on_started,
    AttemptEnded: Controller._on_ended,
    SessionNotification: Controller._on_note,
    PlayerHint: Controller._on_player_hint,
    ServerHint: Controller._on_server_hint,
    TenantRates: Controller._on_tenants,
    ServerFailed: Controller._on_down,
    ViewerDisconnected: Controller._on_gone,
    TimerFired: Controller._on_timer,
    AttemptResolved: Controller._anywhere,
    ConstraintsChanged: Controller._anywhere,
}
