"""Rung control: the load limit of each rung, and rung changes of playing sessions."""

from __future__ import annotations

import math

from lotuspick.core import tuning
from lotuspick.core.context import BrokerContext
from lotuspick.core.settings import ClassSettings, Settings
from lotuspick.core.state import ServerState, SessionPhase, SessionState
from lotuspick.core.step_values import StepValues


class RungControl:
    """Decides the rungs of sessions by the value per kB of each step up the ladder."""

    def __init__(self, context: BrokerContext) -> None:
        self.context = context
        self.ladder = context.settings.ladder_kb_per_s
        self.steps = StepValues(context.settings)
        self.ranks = rank_steps(context.settings, self.steps)
        """Rank of each rung's step among the steps of all classes, from 0 (least value) to 1."""
        self.free_load = tuning.INITIAL_FREE_LOAD
        """Link load up to which every step is permitted."""
        self.lowering_interval_us = context.settings.notification_delay_us + tuning.SHORTFALL_INTERVAL_US
        self.raise_delay_us = int(tuning.RAISE_DELAY_INTERVALS * context.notification_interval_us)

    def load_limit(self, session_class: ClassSettings, rung: int) -> float:
        """Return the link load up to which a rung is permitted; it rises with the value of its step."""
        free_load, rank = self.free_load, self.ranks[session_class.name][rung]
        return free_load + rank * (tuning.MAX_LINK_LOAD - free_load)

    def highest_rung(self, session: SessionState) -> int:
        """Return the highest rung that a session may have."""
        session_class = session.session_class
        if session.over_tenant_rate:
            return session_class.lowest_rung
        requested, permitted = session.request.highest_rung, session.constraint.highest_rung
        highest = min(requested, permitted, session_class.highest_rung, len(self.ladder) - 1)
        return max(session_class.lowest_rung, highest)

    def raise_free_load(self, duration_us: int) -> None:
        """Raise ``free_load`` with time, which permits steps of low value on more loaded links."""
        rise = tuning.FREE_LOAD_RISE * self.context.popularity.turnovers(duration_us)
        self.free_load = min(tuning.MAX_FREE_LOAD, self.free_load + rise)

    def lower_rungs(self, server: ServerState, share: float) -> None:
        """Lower the rungs of sessions on a link with a shortfall, starting with the steps of least value.

        A shortfall costs every session on the link, so each broker lowers its own share of the excess, and
        then waits for the effect before it lowers again.
        """
        context = self.context
        server.last_shortfall_at = context.now
        own_share = len(server.sessions) / max(1, len(context.sessions))
        turnovers = context.popularity.turnovers(tuning.SHORTFALL_INTERVAL_US)
        self.free_load = max(
            tuning.MIN_FREE_LOAD, self.free_load - tuning.FREE_LOAD_FALL * own_share * turnovers
        )
        if share >= tuning.LOWER_RUNGS_SHARE or context.now < server.lowering_allowed_at:
            return
        server.lowering_allowed_at = context.now + self.lowering_interval_us
        excess_kb_per_s = server.link.own_kb_per_s * (1 - share * tuning.LOWER_RUNGS_SHARE)
        candidates = [
            session
            for session in server.sessions.values()
            if session.phase is SessionPhase.PLAYING and session.rung > session.session_class.lowest_rung
        ]
        candidates.sort(key=lambda session: self.steps.value(session.session_class, session.rung))
        for session in candidates:
            step = self.ladder[session.rung] - self.ladder[session.rung - 1]
            step_kb_per_s = step * session.session_class.bitrate_scale
            if excess_kb_per_s < step_kb_per_s * context.random.random():
                break  # A fraction of a step is a probability: each broker may have just one session.
            excess_kb_per_s -= step_kb_per_s
            self.context.change_rung(session, session.rung - 1)

    def adjust_after_start(self, session: SessionState, server: ServerState) -> None:
        """Lower a session that has just started if the link is more loaded than expected, or raise it."""
        context, rung = self.context, session.rung
        link, session_class = server.link, session.session_class
        excess_kb_per_s = (link.load(0.0, context.now) - tuning.MAX_LINK_LOAD) * link.kb_per_s
        playing = session.phase is SessionPhase.PLAYING
        while playing and rung > session_class.lowest_rung and excess_kb_per_s > 0:
            excess_kb_per_s -= (self.ladder[rung] - self.ladder[rung - 1]) * session_class.bitrate_scale
            rung -= 1
        if rung < session.rung:
            self.context.change_rung(session, rung)
        self.raise_rungs(server, session)

    def raise_rungs(self, server: ServerState, started: SessionState | None = None) -> None:
        """Raise sessions toward their admitted rungs if their link had no recent shortfall.

        ``started`` limits this to a session that has just started.
        """
        context = self.context
        server.rungs_checked_at = now = context.now
        if (
            now - server.last_shortfall_at < self.raise_delay_us
            or server.uplink.last_reading is None
            or server.link.last_reading is None
        ):
            return
        link, load = server.link, server.link.load(0.0, now)
        if (uplink_load := server.uplink.load(0.0, now)) > load:
            link, load = server.uplink, uplink_load
        # Other brokers raise their sessions too, so each uses its share of the free capacity, at random.
        # They do not react to the start of this broker's session, which may use all of it.
        own_share = 1.0 if started else min(1.0, link.own_kb_per_s / (load * link.kb_per_s + 1e-9))
        sessions = (started,) if started else server.sessions.values()
        raisable = [session for session in sessions if session.rung < session.admitted_rung]
        for session in sorted(filter(self._raise_is_worthwhile, raisable), key=lambda session: session.rung):
            rung = session.rung + 1
            step = self.ladder[rung] * session.session_class.bitrate_scale - session.kb_per_s
            free_capacity = (self.load_limit(session.session_class, rung) - load) * link.kb_per_s
            if free_capacity * own_share > step * context.random.random():
                self.context.change_rung(session, rung)
                load += step / link.kb_per_s

    def _raise_is_worthwhile(self, session: SessionState) -> bool:
        """Return whether raising a playing session gains more than it costs in its remaining time."""
        if session.phase is not SessionPhase.PLAYING:
            return False
        settings = self.context.settings
        gain = settings.rung_values[session.rung + 1] - settings.rung_values[session.rung]
        cost = tuning.MIN_RAISE_GAIN * settings.rung_change_cost_s * 1e6
        return gain * (session.ends_at - self.context.now) > cost


def rank_steps(settings: Settings, steps: StepValues) -> dict[str, list[float]]:
    """Rank the steps of each class by the logarithm of their value; a class's lowest rung ranks first."""
    top, classes = len(settings.ladder_kb_per_s) - 1, settings.classes
    values = [
        steps.value(session_class, rung)
        for session_class in classes
        for rung in range(session_class.lowest_rung, min(session_class.highest_rung, top) + 1)
    ]
    maximum = max(values)
    minimum = max(min(values), 1e-9 * maximum) or 1.0
    spread = math.log(max(maximum, minimum) / minimum) or 1.0

    def rank(session_class: ClassSettings, rung: int) -> float:
        if rung <= session_class.lowest_rung:
            return 1.0
        return min(1.0, math.log(max(minimum, steps.value(session_class, rung)) / minimum) / spread)

    return {one.name: [rank(one, rung) for rung in range(top + 1)] for one in classes}
