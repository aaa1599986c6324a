"""Placement constraints of cells: which servers a session may use, or why it is rejected.

:class:`CellConstraints` is a :class:`lotuspick.core.constraints.ConstraintProvider`. The first constraint
computed for a request decides on its admission: it classifies the request as a first attempt or a return,
and checks the capacity of its tenant and its cell. Later constraints only select servers, from results that
are cached until the server list or the plan changes.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from lotuspick.cells.budgets import Budget, TenantBudgets
from lotuspick.cells.cell_status import CHECK_INTERVAL_US, CellStatus
from lotuspick.cells.directory import CellDirectory, hash_fraction
from lotuspick.cells.migration_tracker import MigrationTracker
from lotuspick.cells.model import Cell, Plan, PlanError, UndersizedPolicy
from lotuspick.cells.returning_viewers import ReturningViewers
from lotuspick.cells.session_counts import CellSession, SessionCounts
from lotuspick.cells.undersized_tracker import UndersizedTracker
from lotuspick.core.actions import FailSession, ForwardAttempt, Observation, RejectSession
from lotuspick.core.constraints import PlacementConstraint
from lotuspick.core.events import (
    AttemptEnded,
    AttemptOutcome,
    ReadingTopic,
    ServerListUpdate,
    SessionNotification,
    SessionPlaying,
    SessionRequest,
    SessionStarted,
    ViewerDisconnected,
)
from lotuspick.core.operator_events import OperatorEvent, RateLimitedEvents

# Share of a link: a node of another cell is used only if the nodes of the cell are fuller by this amount.
OTHER_CELL_COST = 0.25


class CellConstraints:
    """Confines tenants to their cells. Owns sessions, budgets and the status of each cell.

    Each limit applies to this broker alone: a broker sees only its part of the traffic, and a ratio that
    holds for each part holds for the total.

    Args:
        plan: plan of cells.
        positions: length of the ring of positions on which titles lie, from the settings.
    """

    max_wait_us = 0

    def __init__(self, plan: Plan, positions: int) -> None:
        self.plan, self.directory = plan, CellDirectory(plan, positions)
        usual_window_s = plan.fair_share.usual_window_s
        self.tenants = TenantBudgets(plan.tenant, usual_window_s, plan.tenants_kept, plan.named_tenants)
        self.viewers = ReturningViewers(plan.viewers_kept)
        self.statuses = {name: CellStatus.new(cell, usual_window_s) for name, cell in plan.cells.items()}
        self.counts = SessionCounts(self.directory, self.statuses)
        self.sessions = self.counts.sessions
        self.events = RateLimitedEvents()
        self.migrations = MigrationTracker(self.events, self.counts.playing_of)
        self.undersized = UndersizedTracker(self.events)
        self._migrations_checked_at_us = -CHECK_INTERVAL_US
        self._rejected: dict[str, int] = {}  # rejections by reason since the last summary
        self._admitted = self._sent_to_other_cells = 0  # since the last summary
        self._handlers: dict[type, Callable[[Any, int], None]] = {
            ServerListUpdate: self._on_server_list,
            SessionPlaying: self._on_playing,
            ForwardAttempt: self._on_forwarded,
            SessionStarted: self._on_started,
            AttemptEnded: self._on_attempt_ended,
            RejectSession: self._on_answered,
            FailSession: self._on_answered,
            ViewerDisconnected: self._on_viewer_disconnected,
            SessionNotification: self._on_notification,
        }

    # ---- the constraint -----------------------------------------------------------------------------------

    def constraint_for(self, now: int, request: SessionRequest) -> PlacementConstraint:
        """Return the constraint of a request, or of a retry of it, at clock time ``now`` (us)."""
        if not 0 <= now - self._migrations_checked_at_us < CHECK_INTERVAL_US:
            self._check_migrations(now)
        session = self.sessions.get(request.session)
        if session is None:
            return self._admit(now, request)
        if session.retry_pending:
            self._follow_migration(session, now)
            rejection = self._reject_over_budget(session, now)
            if rejection is not None:
                return rejection
        return self._servers_for(session, now)

    def _admit(self, now: int, request: SessionRequest) -> PlacementConstraint:
        tenant = self.tenants.budget_of(request.tenant, now)
        returned = request.returned or self.viewers.is_returning(request.viewer, now)
        # A session that was cut through no fault of its viewer returns without a charge.
        exempt = request.moved or self.viewers.use_exemption(request.viewer, now)
        cell = self.directory.cell_for(
            request.tenant, request.title, request.viewer, returned or request.moved, now
        )
        session = CellSession(request, tenant, cell)
        self.viewers.remember(request.viewer, now)
        if not (returned or exempt):
            self._count_first_attempt(session, now)
        rejection = self._reject_over_open_limit(session, now) or self._reject_over_share(session, now)
        if rejection is None and returned and not exempt:
            rejection = self._reject_over_budget(session, now)
            if rejection is None:
                self._count_retry(session, now)
        constraint = rejection or self._servers_for(session, now)
        if not constraint.reason:
            self._admitted += 1
            self.counts.open(session, now)
        return constraint

    def _count_first_attempt(self, session: CellSession, now: int) -> None:
        status = self.statuses[session.cell]
        for budget in (session.tenant, status.budget):
            budget.first_attempts.add(now)
            budget.usual_first_attempts.add(now)
        status.first_attempts.add(now)

    def _count_retry(self, session: CellSession, now: int) -> None:
        for budget in (session.tenant, self.statuses[session.cell].budget):
            budget.retries.add(now)

    def _follow_migration(self, session: CellSession, now: int) -> None:
        """Move a retry to the cell that its viewer belongs to after a migration of the tenant."""
        request = session.request
        cell = self.directory.cell_for(request.tenant, request.title, request.viewer, True, now)
        self.counts.change_cell(session, cell)

    # ---- rejections ---------------------------------------------------------------------------------------

    def _budgets(self, session: CellSession) -> tuple[tuple[Budget, str], ...]:
        """Return the budgets of the tenant and the cell, each with its name in rejection reasons.

        The tenant's budget is checked first, so that requests beyond it do not use up the cell's budget.
        """
        return (session.tenant, "tenant"), (self.statuses[session.cell].budget, "cell")

    def _reject_over_open_limit(self, session: CellSession, now: int) -> PlacementConstraint | None:
        for budget, owner in self._budgets(session):
            if budget.open_setups >= budget.limits.open_limit:
                return self._reject(session, budget, f"open-{owner}", budget.open_excess(), now)
        return None

    def _reject_over_budget(self, session: CellSession, now: int) -> PlacementConstraint | None:
        """Check the budgets of retries and returning viewers."""
        for budget, owner in self._budgets(session):
            excess = budget.retry_excess(now)
            if excess:
                return self._reject(session, budget, f"budget-{owner}", excess, now)
        return None

    def _reject_over_share(self, session: CellSession, now: int) -> PlacementConstraint | None:
        """Limit a tenant to its share of the cell while the cell is contended."""
        name, tenant = session.cell, session.tenant
        if session.request.moved or not self._is_contended(name, now):
            return None
        sessions = tenant.sessions_by_cell.get(name, 0)
        total = self.statuses[name].budget.sessions_by_cell.get(name, 0)
        rules = self.plan.fair_share
        allowed = max(float(rules.minimum_sessions), rules.slack * self._share(session, now) * total)
        if sessions + 1 <= allowed:
            return None
        return self._reject(session, tenant, "part", (sessions + 1) / allowed, now)

    def _share(self, session: CellSession, now: int) -> float:
        """Return the tenant's share of the cell: by its weight, or by its usual first attempts."""
        request, name = session.request, session.cell
        weight = self.directory.base_cell(request.tenant, request.title).weight
        if weight:
            return weight / max(weight, self.directory.tenant_weights.get(name, 0.0))
        total = self.statuses[name].budget.usual_first_attempts
        return session.tenant.usual_first_attempts.read(now) / max(1.0, total.read(now))

    def _is_contended(self, name: str, now: int) -> bool:
        status = self.statuses[name]
        if status.update_contention(now, self.plan.fair_share.contended_from):
            self.events.record(
                now,
                "cell_contended" if status.contended else "cell_contention_ended",
                name,
                cell=name,
                load=round(status.mean_load(), 2),
                rejections=round(status.rejections.read(now), 1),
            )
        return status.contended

    def _reject(
        self, session: CellSession, budget: Budget, reason: str, excess: float, now: int
    ) -> PlacementConstraint:
        budget.rejected.add(now)
        self._rejected[reason] = self._rejected.get(reason, 0) + 1
        draw = hash_fraction(session.request.session, str(now))
        retry_after_us = budget.retry_after_us(excess, draw)
        self.events.record(
            now,
            "session_rejected",
            f"{reason} {budget.name}",
            reason=reason,
            tenant=session.request.tenant,
            cell=session.cell,
            excess=round(excess, 2),
            retry_after_ms=retry_after_us // 1_000,
        )
        return PlacementConstraint(reason=reason, retry_after_us=retry_after_us)

    # ---- servers ------------------------------------------------------------------------------------------

    def _servers_for(self, session: CellSession, now: int) -> PlacementConstraint:
        """Return the servers of the cell, and those of other cells if the cell is too small for the title."""
        request, status, cell = session.request, self.statuses[session.cell], self.plan.cells[session.cell]
        available = self.directory.available_servers(
            session.cell, request.tenant, request.home_position, request.copies
        )
        if not available.insufficient:
            return PlacementConstraint(servers=available.in_cell)
        overflow_servers = available.overflow_servers(cell.undersized_policy)
        if overflow_servers and self._may_use_other_cells(status, cell, now):
            costs = dict.fromkeys(overflow_servers, OTHER_CELL_COST)
            return PlacementConstraint(servers=available.in_cell | overflow_servers, costs=costs)
        if available.in_cell and cell.undersized_policy is not UndersizedPolicy.REFUSE:
            return PlacementConstraint(servers=available.in_cell)
        return self._reject(session, status.budget, "too-small", 1.0, now)

    def _may_use_other_cells(self, status: CellStatus, cell: Cell, now: int) -> bool:
        sent = status.sent_to_other_cells.read(now)
        return sent + 1 <= 1 + cell.other_cells_ratio * status.first_attempts.read(now)

    # ---- observations of the core -------------------------------------------------------------------------

    def on_event(self, now: int, observation: Observation) -> None:
        """Process an observation of the core. Observations of unknown sessions are ignored."""
        handler = self._handlers.get(type(observation))
        if handler is not None:
            handler(observation, now)

    def _on_server_list(self, update: ServerListUpdate, now: int) -> None:
        if self.directory.update_servers(update):
            self.undersized.update(now, self.directory)
            self.counts.recount(now)

    def _on_playing(self, request: SessionPlaying, now: int) -> None:
        if request.session in self.sessions:
            return
        tenant = self.tenants.budget_of(request.tenant, now)
        cell = self.directory.cell_by_server.get(request.server, "")
        session = CellSession(request, tenant, cell, request.server, 1, playing=True)
        self.sessions[request.session] = session
        self.counts.count(session, now)

    def _on_forwarded(self, action: ForwardAttempt, now: int) -> None:
        session = self.sessions.get(action.session)
        if session is None:
            return
        session.server, session.attempts = action.server, session.attempts + 1
        status = self.statuses.get(session.cell)
        if session.retry_pending and status is not None:
            self._count_retry(session, now)
        session.retry_pending = False
        if status is not None and self.directory.cell_by_server.get(action.server) != session.cell:
            status.sent_to_other_cells.add(now)
            self._sent_to_other_cells += 1
        self.counts.count(session, now)

    def _on_started(self, event: SessionStarted, _now: int) -> None:
        session = self.sessions.get(event.session)
        if session is not None and not session.playing and session.server == event.server:
            self.counts.start_playing(session)

    def _on_attempt_ended(self, event: AttemptEnded, now: int) -> None:
        load = event.load_report.get(ReadingTopic.LINK)
        if load is not None:
            self._report_load(event.server, load, now)
        session = self.sessions.get(event.session)
        if session is None or event.server != session.server:
            return
        served = event.outcome == AttemptOutcome.SERVED
        if not (session.playing or event.final or served):
            session.retry_pending = True
            return
        viewer = session.request.viewer
        if served:
            self.viewers.forget(viewer)
        elif session.playing:
            self.viewers.remember(viewer, now)
            if event.outcome == AttemptOutcome.LOST:
                self.viewers.grant_exemption(viewer, now)
        self.counts.remove(session)

    def _on_answered(self, action: RejectSession | FailSession, now: int) -> None:
        session = self.sessions.get(action.session)
        if session is None:
            return
        self.viewers.remember(session.request.viewer, now)
        if isinstance(action, RejectSession) and not action.reason and session.cell in self.statuses:
            self.statuses[session.cell].rejections.add(now)
        self.counts.remove(session)

    def _on_viewer_disconnected(self, event: ViewerDisconnected, _now: int) -> None:
        session = self.sessions.get(event.session)
        if session is not None and not session.playing:
            self.counts.remove(session)

    def _on_notification(self, notification: SessionNotification, now: int) -> None:
        if notification.topic == ReadingTopic.LINK:
            self._report_load(notification.server, notification.value, now)

    def _report_load(self, server: str, load: float, now: int) -> None:
        status = self.statuses.get(self.directory.cell_by_server.get(server, ""))
        if status is not None:
            status.report_load(server, load, now)

    # ---- the plan and its migrations ----------------------------------------------------------------------

    def apply_plan(self, plan: Plan, now: int) -> None:
        """Apply a new plan at a time (us). Sessions, counts and the server list are kept.

        Raises:
            PlanError: the epoch is below the current one, or is the current one with a different plan:
                brokers that receive the same plans in a different order must end with the same plan.
        """
        if plan.epoch < self.plan.epoch:
            raise PlanError(f"epoch must not fall: {plan.epoch} after {self.plan.epoch}")
        if plan == self.plan:
            return
        if plan.epoch == self.plan.epoch:
            raise PlanError(f"epoch must rise with every change of the file: still {plan.epoch}")
        self.counts.uncount_all()
        self.plan = plan
        self.directory = CellDirectory(plan, self.directory.positions, self.directory.entries.values())
        usual_window_s = plan.fair_share.usual_window_s
        self.tenants.apply_plan(plan.tenant, usual_window_s, plan.tenants_kept, plan.named_tenants)
        self.viewers.apply_capacity(plan.viewers_kept)
        before, self.statuses = self.statuses, {}
        for name, cell in plan.cells.items():
            self.statuses[name] = before.get(name) or CellStatus.new(cell, usual_window_s)
            self.statuses[name].apply_plan(cell, usual_window_s)
        self.counts.apply_plan(self.directory, self.statuses, now)
        self.events.record(
            now,
            "cell_plan_applied",
            str(plan.epoch),
            epoch=plan.epoch,
            cells=len(plan.cells),
            migrations=len(plan.migrations),
        )
        self.undersized.update(now, self.directory)
        self._check_migrations(now)
        self.counts.recount(now)

    def _check_migrations(self, now: int) -> None:
        self._migrations_checked_at_us = now
        if self.migrations.update(now, self.directory):
            self.counts.recount(now)

    # ---- for operators ------------------------------------------------------------------------------------

    def take_events(self) -> list[OperatorEvent]:
        """Return the operator events since the last call, at most one per event and key in ten seconds."""
        return self.events.take_events()

    def summary(self) -> OperatorEvent:
        """Return the counts since the last summary, and the current totals."""
        contended = [name for name, status in self.statuses.items() if status.contended]
        fields: dict[str, str | int | float] = {
            "epoch": self.plan.epoch,
            "admitted": self._admitted,
            "sent_elsewhere": self._sent_to_other_cells,
            "sessions": len(self.sessions),
            "tenants": len(self.tenants),
            "contended": ",".join(contended) or "none",
            "undersized": ",".join(self.undersized.server_counts) or "none",
        }
        fields |= {
            f"rejected_{reason.replace('-', '_')}": count for reason, count in sorted(self._rejected.items())
        }
        self._admitted = self._sent_to_other_cells = 0
        self._rejected.clear()
        return OperatorEvent("cells_summary", fields)
