"""State shared by the decision modules: the broker's records, the clock time and the actions of a call.

The controller creates a :class:`BrokerContext` and passes it to each module. The context accounts for the
capacity that sessions use on servers; it contains no decision logic.
"""

from __future__ import annotations

import math
import random
from collections import Counter

from lotuspick.core import tuning
from lotuspick.core.actions import Action, FailSession, ForwardAttempt, RejectSession, SetRung, StartTimer
from lotuspick.core.constraints import ConstraintProvider
from lotuspick.core.events import (
    LoadReport,
    PlayerHint,
    ReadingTopic,
    ServerEntry,
    ServerHint,
    SessionNotification,
)
from lotuspick.core.hint_trust import HintTrust
from lotuspick.core.length_popularity import LengthPopularity
from lotuspick.core.load_estimation import NEVER, LinkLoad, LoadAverage, UplinkLoad
from lotuspick.core.settings import Settings
from lotuspick.core.state import Fit, Loads, ServerState, SessionPhase, SessionState
from lotuspick.core.validation import is_not_negative, is_positive


class BrokerContext:
    """The records of one broker, shared by its decision modules."""

    __slots__ = (
        "actions", "changed_positions", "constraint_provider", "hint_trust", "link_loads", "next_timer",
        "notification_interval_us", "now", "popularity", "queued", "racks", "random", "servers",
        "servers_by_position", "sessions", "sessions_by_title", "settings", "timers", "uplink_loads",
    )  # fmt: skip

    def __init__(self, settings: Settings, seed: int, constraint_provider: ConstraintProvider) -> None:
        self.settings = settings
        self.constraint_provider = constraint_provider
        self.random = random.Random(seed)
        self.now = 0
        self.actions: list[Action] = []
        self.servers = dict[str, ServerState]()
        self.servers_by_position = dict[int, list[ServerState]]()
        """The listed servers."""
        self.notification_interval_us = (
            settings.notification_interval_us or tuning.DEFAULT_NOTIFICATION_INTERVAL_US
        )
        self.link_loads = LoadAverage(self.notification_interval_us)
        self.uplink_loads = LoadAverage(self.notification_interval_us)
        self.racks = [self._new_uplink() for _ in range(settings.racks)]
        self.sessions = dict[str, SessionState]()
        self.queued = dict[str, SessionState]()
        self.sessions_by_title = Counter[tuple[str, str]]()
        """Number of sessions by title and class, for classes with a title session limit."""
        self.changed_positions = set[int]()
        """Positions that may have more free capacity than in the last call."""
        self.popularity = LengthPopularity()
        self.hint_trust = HintTrust()
        self.timers = dict[int, str]()
        """The session of each timer; empty for a timer that retries the subscription."""
        self.next_timer = 1

    def _new_uplink(self) -> UplinkLoad:
        size = self.settings.uplink_kb_per_s or math.inf
        if self.settings.uplink_kb_per_s:
            return UplinkLoad(size, self.uplink_loads, None, -NEVER, configured_kb_per_s=size)
        # An uplink without a configured size never counts as full: no reading replaces this reading of 0.
        return UplinkLoad(size, self.uplink_loads, 0.0, NEVER, configured_kb_per_s=size)

    # ---- actions ------------------------------------------------------------------------------------------

    def emit_observed(self, action: ForwardAttempt | RejectSession | FailSession) -> None:
        """Append an action and pass it to the constraint provider."""
        self.actions.append(action)
        self.constraint_provider.on_event(self.now, action)

    def start_timer(self, delay_us: int, session: str) -> None:
        """Start a timer for a session; an empty name stands for a retry of the server list subscription."""
        self.timers[self.next_timer] = session
        if session:
            self.sessions[session].timers.append(self.next_timer)
        self.actions.append(StartTimer(self.next_timer, max(0, delay_us), session))
        self.next_timer += 1

    def forget_timers(self, session: SessionState) -> None:
        """Forget the timers of a session that plays or has ended; their events have no effect any more."""
        for timer_id in session.timers:
            self.timers.pop(timer_id, None)
        session.timers.clear()

    # ---- servers ------------------------------------------------------------------------------------------

    def add_server(self, entry: ServerEntry) -> ServerState:
        """Create the record of a server, unless it exists."""
        stream_limit, link_kb_per_s = self.settings.capacity(entry)
        rack = self.racks[entry.position % self.settings.racks]
        link = LinkLoad(link_kb_per_s, self.link_loads)
        return self.servers.setdefault(entry.server, ServerState(entry, link, rack, stream_limit))

    def index_servers(self) -> None:
        """Rebuild the index of listed servers by position and rack."""
        self.servers_by_position = {}
        for rack in self.racks:
            rack.attached_servers = []
        for server in self.servers.values():
            if server.listed:
                self.servers_by_position.setdefault(server.entry.position, []).append(server)
                server.uplink = self.racks[server.entry.position % self.settings.racks]
                server.uplink.attached_servers.append(server)

    def forget_server(self, name: str) -> None:
        """Delete the record of a server and its contribution to the average load."""
        self.link_loads.forget(self.servers.pop(name).link)

    def observe_load(self, server: ServerState, topic: ReadingTopic, value: float, at_us: int) -> None:
        """Record a reading taken at ``at_us``; ignore a value that is not a finite number of 0 or more."""
        if not is_not_negative(value):
            return
        if topic == ReadingTopic.LINK:
            server.link.observe(value, at_us)
            if server.claims:
                self.hint_trust.compare_with_reading(server, value, at_us, self.now)
        elif topic == ReadingTopic.RACK:
            server.uplink.observe(value, at_us)
        elif topic == ReadingTopic.STREAMS:
            server.other_streams = max(0.0, value - len(server.sessions))

    def observe_notified_load(
        self, server: ServerState, session: SessionState | None, event: SessionNotification
    ) -> bool:
        """Record the reading of a notification; return whether it is the first link reading of the session.

        The first link reading of a session that this broker set up is current and includes the session; later
        readings are ``notification_delay_us`` old.
        """
        first = event.topic == ReadingTopic.LINK and session is not None and not session.load_reported
        read_at = self.now - (0 if first else self.settings.notification_delay_us)
        self.observe_load(server, event.topic, event.value, read_at)
        if first and session is not None:
            session.load_reported = True
        return first

    def observe_report(self, server: ServerState, load_report: LoadReport) -> None:
        """Record the readings reported at the end of an attempt."""
        read_at = self.now - self.settings.notification_delay_us // 2
        for topic, value in load_report.items():
            self.observe_load(server, topic, value, read_at)

    def observe_player_hint(self, hint: PlayerHint) -> None:
        """Record a hint from the player of a playing session."""
        session = self.sessions.get(hint.session)
        if session is not None and session.phase is SessionPhase.PLAYING and session.server is not None:
            self.hint_trust.add_player_hint(hint, session, session.server, self.now)

    def observe_server_hint(self, hint: ServerHint) -> None:
        """Record a server's hint about its link."""
        if server := self.servers.get(hint.server):
            self.hint_trust.add_server_hint(hint, server, self.now)

    def observe_share(self, server: ServerState, share: float) -> bool:
        """Record the share of its rate that a session gets; return whether it shows a shortfall.

        1 / share is also a load reading. If recent load notifications show that the link is less loaded, it
        is a reading of the uplink and reveals the size of the uplink; otherwise it is a reading of the link.
        A full share ends an overload of either.
        """
        link, uplink, settings = server.link, server.uplink, self.settings
        read_at = self.now - settings.notification_delay_us
        fresh = read_at - link.observed_at <= tuning.STALE_INTERVALS * settings.notification_interval_us
        demand = uplink.aggregate_load(self.link_loads.value(self.now), self.now)
        short = share < tuning.SHORTFALL_SHARE
        load = 1 / max(share, tuning.STALLED_SHARE) if short else min(1.0, link.load(0.0, self.now))
        self.hint_trust.compare_with_reading(server, load, read_at, self.now)
        if not short:
            if link.load(0.0, self.now) > 1:
                link.observe(1.0, read_at)
            if not settings.reports_uplink_load:
                uplink.kb_per_s = max(uplink.kb_per_s, demand)
        elif share <= tuning.STALLED_SHARE:
            pass  # The server has stalled: its share is not a reading of load.
        elif not fresh:
            link.observe(1 / share, read_at)
        elif not settings.reports_uplink_load and self._load_cannot_explain_share(link, share):
            uplink.last_shortfall_at = self.now
            uplink.kb_per_s += tuning.UPLINK_SIZE_LEARNING_RATE * (demand * share - uplink.kb_per_s)
        return short

    def _load_cannot_explain_share(self, link: LinkLoad, share: float) -> bool:
        """Return whether the link's load is too low to have caused the share."""
        return link.load(tuning.UNKNOWN_LINK_LOAD, self.now) < (1 / share + 1) / 2

    def measure_loads(self) -> Loads:
        """Return the load measurements for one call."""
        pool_sizes, links = self.popularity.pool_sizes(self.now), self.link_loads.value(self.now)
        if self.settings.reports_uplink_load:
            return Loads(pool_sizes, links, self.uplink_loads.value(self.now))
        if self.settings.uplink_kb_per_s:
            for rack in self.racks:
                rack.estimate_from_links(links, self.now)
        return Loads(pool_sizes, links, tuning.UNKNOWN_LINK_LOAD)

    # ---- sessions and their reservations ------------------------------------------------------------------

    def begin_attempt(self, session: SessionState, server: ServerState, fit: Fit) -> None:
        """Move a session from the queue to a server and reserve capacity for it there."""
        name = session.request.session
        session.attempt += 1
        session.phase, session.server, session.rung = SessionPhase.FORWARDED, server, fit.rung
        session.tried_servers.append(server.entry.server)
        self.queued.pop(name, None)
        server.sessions[name] = session
        server.attempt_times.append(self.now)
        kb_per_s = self.settings.ladder_kb_per_s[fit.rung] * session.session_class.bitrate_scale
        self.reserve(session, kb_per_s, fit.pool_draws)
        self.adjust_title_count(session, 1)

    def mark_playing(self, session: SessionState) -> None:
        """Mark a session as playing and estimate its end from its length hint."""
        length_us = session.request.length_us
        session.phase = SessionPhase.PLAYING
        session.ends_at = self.now + (length_us if is_positive(length_us) else math.inf)
        self.forget_timers(session)

    def remove_session(self, name: str) -> None:
        """Delete the record of a session that has ended or is rejected, with its timers."""
        self.queued.pop(name, None)
        if (session := self.sessions.pop(name, None)) is not None:
            self.forget_timers(session)

    def reserve(
        self, session: SessionState, kb_per_s: float, pool_draws: list[float], reported: bool = False
    ) -> None:
        """Change the reservation of a session; ``reported``: load readings already include the change."""
        server = session.server
        assert server is not None
        for pool, draw in enumerate(pool_draws):
            server.pools[pool] += draw - session.pool_draws[pool]
        for link in (server.link, server.uplink):
            link.own_kb_per_s += kb_per_s - session.kb_per_s
            if not reported:
                link.add(self.now, kb_per_s - session.kb_per_s)
        session.kb_per_s, session.pool_draws = kb_per_s, pool_draws

    def change_rung(self, session: SessionState, rung: int) -> None:
        """Change the rung of a playing session and scale its draws from the pools in proportion."""
        kb_per_s = self.settings.ladder_kb_per_s[rung] * session.session_class.bitrate_scale
        pool_draws = [draw * kb_per_s / session.kb_per_s for draw in session.pool_draws]
        self.reserve(session, kb_per_s, pool_draws)
        session.rung = rung
        self.actions.append(SetRung(session.request.session, rung))

    def adopt(self, session: SessionState, rung: int) -> None:
        """Reserve capacity for a session that already plays; the servers' load reports include its use."""
        if session.server is None:
            return
        kb_per_s = self.settings.ladder_kb_per_s[rung] * session.session_class.bitrate_scale
        pool_draws = [0.0] * tuning.POOL_COUNT
        pool_draws[session.pool] = kb_per_s
        session.rung = rung
        session.server.sessions[session.request.session] = session
        self.reserve(session, kb_per_s, pool_draws, reported=True)

    def release(self, session: SessionState) -> None:
        """Release the reservation of a session."""
        self.adjust_title_count(session, -1)
        if session.server is not None:
            self.reserve(session, 0.0, [0.0] * tuning.POOL_COUNT)
            session.server.sessions.pop(session.request.session, None)
            session.server = None

    def adjust_title_count(self, session: SessionState, change: int) -> None:
        """Change the session count of a title by ``change``, if the class has a title session limit."""
        if session.session_class.title_session_limit:
            title = session.request.title, session.session_class.name
            self.sessions_by_title[title] += change
            if not self.sessions_by_title[title]:
                del self.sessions_by_title[title]  # viewers may name any title
