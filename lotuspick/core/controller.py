"""Event dispatch and session lifecycle of one broker.

:class:`Controller` queues, forwards and ends sessions. The decision modules that it composes contain the
policies; they share their records through ``context``.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any

from lotuspick.core import actions, events, tuning
from lotuspick.core.admission import Admission
from lotuspick.core.constraints import CombinedProviders, ConstraintProvider
from lotuspick.core.context import BrokerContext
from lotuspick.core.length_popularity import length_pool
from lotuspick.core.outlier_detection import OutlierDetection
from lotuspick.core.placement import Placement
from lotuspick.core.retry import RetryBudget, attempt_timeout_us, decide_retry
from lotuspick.core.rung_control import RungControl
from lotuspick.core.settings import Settings
from lotuspick.core.setup_time import SetupTime
from lotuspick.core.slow_start import SlowStart
from lotuspick.core.state import Fit, Loads, RetryDecision, ServerState, SessionPhase, SessionState
from lotuspick.core.validation import is_not_negative, require_seed

MAINTENANCE_INTERVAL_US = 10 * tuning.QUEUE_POLL_INTERVAL_US
MAX_MAINTENANCE_INTERVAL_US = 2 * tuning.SHORTFALL_INTERVAL_US
QUEUE_POLL_TIMER = 0  # timer id; session timers have ids from 1


class Controller:
    """The decision logic of one broker: ``handle`` takes events and returns actions."""

    def __init__(
        self, settings: Settings, seed: int, constraint_provider: ConstraintProvider | None = None
    ) -> None:
        require_seed(seed)
        self.settings = settings
        self.constraint_provider = constraint_provider or CombinedProviders(())
        self.classes = {session_class.name: session_class for session_class in settings.classes}
        self.context = BrokerContext(settings, seed, self.constraint_provider)
        self.sessions, self.servers = self.context.sessions, self.context.servers
        self.queued = self.context.queued
        self.setup_time = SetupTime()
        self.retry_budget = RetryBudget(settings)
        self.rungs = RungControl(self.context)
        self.slow_start = SlowStart(self.context)
        self.outliers = OutlierDetection(self.context, self.slow_start)
        self.placement = Placement(self.context, self.rungs, self.slow_start)
        self.admission = Admission(self.context, self.rungs, self.retry_budget, self.setup_time)
        self.subscription_due = settings.subscription_required
        self.queue_poll_pending = False
        self.last_maintenance_at = 0
        self.server_index_is_stale = False

    def handle(self, now: int, new_events: Sequence[events.Event]) -> list[actions.Action]:
        """Apply the events at clock time ``now`` (us); return the actions, in order.

        Raises:
            ValueError: the type or session class of an event is unknown. No event has been applied.
        """
        for event in new_events:
            if type(event) not in HANDLERS:
                raise ValueError(f"unknown event {type(event).__name__}")
            if isinstance(event, events.SessionRequest) and event.session_class not in self.classes:
                raise ValueError(f"session {event.session}: unknown class {event.session_class!r}")
        context = self.context
        context.now, context.actions = now, [actions.Subscribe()] if self.subscription_due else []
        self.subscription_due = False
        for event in new_events:
            if self.server_index_is_stale and not isinstance(event, events.ServerListUpdate):
                self._index_servers()
            self.constraint_provider.on_event(now, event)
            HANDLERS[type(event)](self, event)
        if self.server_index_is_stale:
            self._index_servers()
        if self.queued:
            self._evaluate_queue()
        context.changed_positions, self.placement.fits = set(), {}
        if now - self.last_maintenance_at >= MAINTENANCE_INTERVAL_US:
            self._run_maintenance(now)
        return context.actions

    def _run_maintenance(self, now: int) -> None:
        """Run periodic maintenance, about once a second."""
        self.rungs.raise_free_load(min(now - self.last_maintenance_at, MAX_MAINTENANCE_INTERVAL_US))
        self.last_maintenance_at = now
        overdue_us = tuning.STALE_INTERVALS * self.settings.notification_interval_us
        for name, server in list(self.servers.items()):
            if not (server.listed or server.sessions):
                # Otherwise the records of all servers ever listed would accumulate.
                self.context.forget_server(name)
            elif server.sessions and now - server.rungs_checked_at > overdue_us > 0:
                self.rungs.raise_rungs(server)

    def _on_server_list(self, event: events.ServerListUpdate) -> None:
        if event.failed:
            if self.settings.subscription_required:
                self.context.start_timer(tuning.MAX_QUEUE_WAIT_US, "")
            return
        first_list, listed_names = not self.servers, {entry.server for entry in event.servers}
        for entry in event.servers:
            self._on_server_entry(entry, first_list)
        if event.complete:
            for name, server in self.servers.items():
                server.listed = server.listed and name in listed_names
        self._on_global_change(event)
        self.server_index_is_stale = True  # thousands of updates may follow each other after an outage

    def _index_servers(self) -> None:
        self.context.index_servers()
        self.server_index_is_stale = False

    def _on_server_entry(self, entry: events.ServerEntry, first_list: bool) -> None:
        known = self.servers.get(entry.server)
        if known is None and entry.state == events.EndpointState.GONE:
            return
        server = known or self.context.add_server(entry)
        if known is None and first_list:
            self.slow_start.guess_start(server, entry)
        elif known is None or entry.started_us > known.entry.started_us:
            started_at = entry.started_us or self.context.now
            self.slow_start.expect_start(server, started_at + self.settings.warm_up_us)
        server.entry = entry
        server.listed = entry.state != events.EndpointState.GONE

    def _on_global_change(self, _: events.Event) -> None:
        self.context.changed_positions.update(range(self.settings.positions))

    def _on_server_failed(self, event: events.ServerFailed) -> None:
        if server := self.servers.get(event.server):
            self.outliers.record_outcome(server, events.AttemptOutcome.UNREACHABLE, False)

    def _on_notification(self, event: events.SessionNotification) -> None:
        context, settings = self.context, self.settings
        server, session = self.servers.get(event.server), self.sessions.get(event.session)
        if server is None or not is_not_negative(event.value):
            return
        context.changed_positions.add(server.entry.position)
        if event.topic == events.ReadingTopic.RUNG and session is not None and session.server is server:
            context.adopt(session, min(int(event.value), len(settings.ladder_kb_per_s) - 1))
        elif event.topic == events.ReadingTopic.SHARE and context.observe_share(server, event.value):
            self.rungs.lower_rungs(server, event.value)
        if context.observe_notified_load(server, session, event) and session is not None:
            self.rungs.adjust_after_start(session, server)
        elif event.topic == events.ReadingTopic.LINK:
            self.rungs.raise_rungs(server)

    def _on_player_hint(self, hint: events.PlayerHint) -> None:
        self.context.observe_player_hint(hint)

    def _on_server_hint(self, hint: events.ServerHint) -> None:
        self.context.observe_server_hint(hint)

    def _on_tenant_rates(self, event: events.TenantRates) -> None:
        self.admission.tenants.update(event.rates)

    def _on_request(self, request: events.SessionRequest) -> None:
        if request.session in self.sessions:
            return
        now, session_class = self.context.now, self.classes[request.session_class]
        session = SessionState(request, session_class, length_pool(request.length_us))
        self.context.popularity.add(request.length_us, session.pool, now)
        self.retry_budget.requests.record(now)
        session.over_tenant_rate = self.admission.exceeds_tenant_rate(request)
        self.sessions[request.session] = session
        self.admission.admit(session)

    def _on_playing(self, request: events.SessionPlaying) -> None:
        if request.session in self.sessions:
            return
        session_class = self.classes[request.session_class]
        session = SessionState(request, session_class, length_pool(request.length_us))
        self.slow_start.sessions_handed_over = True
        session.attempt, session.load_reported = 0, True
        self.context.mark_playing(session)
        # This broker did not choose the session's rung, so the session counts as lowered and may be raised.
        session.admitted_rung = self.rungs.highest_rung(session)
        self.sessions[request.session] = session
        self.context.adjust_title_count(session, 1)
        session.server = self.servers.get(request.server)
        self.context.adopt(session, session_class.lowest_rung)

    def _evaluate_queue(self) -> None:
        """Forward the queued sessions that fit, and reject sessions whose wait has ended."""
        loads = self.context.measure_loads()
        batch = self.admission.sessions_to_evaluate()
        for session in list(self.queued.values()):
            evaluate = session in batch.sessions
            if not (evaluate and self._evaluate(session, loads)) and self.context.now >= session.queued_until:
                self.admission.reject(session)
        if batch.backlog is not None and batch.backlog.request.session in self.queued:
            self.context.start_timer(0, batch.backlog.request.session)
        if self.queued and not self.queue_poll_pending:
            self.queue_poll_pending = True
            poll = actions.StartTimer(QUEUE_POLL_TIMER, tuning.QUEUE_POLL_INTERVAL_US)
            self.context.actions.append(poll)

    def _evaluate(self, session: SessionState, loads: Loads) -> bool:
        """Forward or reject a session; return False if it has to stay queued."""
        now = session.evaluated_at = self.context.now
        if not self.admission.may_be_forwarded(session):
            return False
        session.constraint = self.constraint_provider.constraint_for(now, session.request)
        if session.constraint.reason:
            self.admission.reject(session)
            return True
        choice = self.placement.choose(session, loads)
        if choice is None:
            return False
        self._forward(session, *choice)
        return True

    def _forward(self, session: SessionState, server: ServerState, fit: Fit) -> None:
        context, request = self.context, session.request
        if session.attempt >= 0:
            self.retry_budget.retries.record(context.now)
        context.begin_attempt(session, server, fit)
        # Without a recent load reading the rung is a guess that later notifications may raise.
        recently_read = context.now - server.link.observed_at < context.link_loads.reading_lifetime_us
        session.admitted_rung = fit.rung if recently_read else self.rungs.highest_rung(session)
        timeout_us = attempt_timeout_us(session, self.setup_time, self.settings, context.now)
        context.actions.append(actions.SetRung(request.session, fit.rung))
        context.emit_observed(actions.ForwardAttempt(request.session, server.entry.server, timeout_us))
        margin_us = tuning.DEADLINE_MARGIN_US // 2
        context.start_timer(request.deadline_us - context.now - margin_us, request.session)

    def _on_started(self, event: events.SessionStarted) -> None:
        session = self.sessions.get(event.session)
        if session is None or session.attempt != event.attempt or session.server is None:
            return
        server = session.server
        self.context.mark_playing(session)
        self.setup_time.observe(event.duration_us)
        self.outliers.record_start(server)
        self.slow_start.record_start(server)
        if session.load_reported:
            self.rungs.adjust_after_start(session, server)

    def _on_ended(self, event: events.AttemptEnded) -> None:
        context = self.context
        server, session = self.servers.get(event.server), self.sessions.get(event.session)
        if server is not None:
            context.changed_positions.add(server.entry.position)
            context.observe_report(server, event.load_report)
        if session is None or session.attempt != event.attempt or session.phase is SessionPhase.QUEUED:
            return
        if server is not None:
            self.outliers.record_outcome(server, event.outcome, event.server_alive)
        context.release(session)
        played = session.phase is SessionPhase.PLAYING or event.outcome == events.AttemptOutcome.SERVED
        if event.final or session.answered or played:
            context.remove_session(event.session)
            return
        session.phase = SessionPhase.QUEUED
        match decide_retry(session, event.outcome, self.settings, context.now):
            case RetryDecision.FAIL:
                context.remove_session(event.session)
                context.emit_observed(actions.FailSession(event.session))
            case RetryDecision.REJECT:
                self.admission.reject(session)
            case RetryDecision.RETRY:
                self.admission.enqueue(session)

    def _on_viewer_disconnected(self, event: events.ViewerDisconnected) -> None:
        if event.session in self.queued:
            self.context.remove_session(event.session)
        elif (session := self.sessions.get(event.session)) and session.phase is SessionPhase.FORWARDED:
            session.answered = True

    def _on_timer(self, event: events.TimerFired) -> None:
        self.queue_poll_pending = self.queue_poll_pending and event.timer_id != QUEUE_POLL_TIMER
        context = self.context
        name = context.timers.pop(event.timer_id, None)
        if name == "":
            context.actions.append(actions.Subscribe())
        session = self.sessions.get(name or "")
        if session is None or session.phase is not SessionPhase.FORWARDED or session.answered:
            return
        if context.now >= session.request.deadline_us - tuning.DEADLINE_MARGIN_US:
            # The attempt has no outcome yet, but the viewer must get an answer before the deadline (rule 1).
            session.answered = True
            context.emit_observed(actions.FailSession(session.request.session))


HANDLERS: dict[type, Callable[[Controller, Any], None]] = {
    events.ServerListUpdate: Controller._on_server_list,
    events.SessionRequest: Controller._on_request,
    events.SessionPlaying: Controller._on_playing,
    events.SessionStarted: Controller._on_started,
    events.AttemptEnded: Controller._on_ended,
    events.SessionNotification: Controller._on_notification,
    events.PlayerHint: Controller._on_player_hint,
    events.ServerHint: Controller._on_server_hint,
    events.TenantRates: Controller._on_tenant_rates,
    events.ServerFailed: Controller._on_server_failed,
    events.ViewerDisconnected: Controller._on_viewer_disconnected,
    events.TimerFired: Controller._on_timer,
    events.AttemptResolved: Controller._on_global_change,
    events.ConstraintsChanged: Controller._on_global_change,
}
