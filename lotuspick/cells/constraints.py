"""The cells behind the core's one question: which servers a session may use now, or why it is turned away.

:class:`CellConstraints` is a :class:`lotuspick.core.constraints.ConstraintProvider`. A request is judged once, when it is first asked about:
whether it is a first try or comes again, and whether its tenant and its cell have room for it. From then on each
question is only about servers, from answers that are kept until the roster or the plan changes.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from lotuspick.cells.budgets import Account, Accounts, Fading, Returns
from lotuspick.cells.directory import CellDirectory, point
from lotuspick.cells.migration import MOVING, Stage, share, stage
from lotuspick.cells.model import SECOND, Cell, Plan, PlanError
from lotuspick.core.actions import FailSession, ForwardAttempt, Observation, RejectSession
from lotuspick.core.constraints import PlacementConstraint
from lotuspick.core.events import (
    AttemptEnded,
    ServerListUpdate,
    SessionNotification,
    SessionPlaying,
    SessionRequest,
    SessionStarted,
    ViewerDisconnected,
)
from lotuspick.core.operator_events import OperatorEvent, RateLimitedEvents

ELSEWHERE_COST = 0.25  # share of a link: a node of another cell is used where those here are fuller by this
ELSEWHERE_S = 30.0
LOOK_US = SECOND // 2  # stages of moves, and whether a cell is contended, are looked at so often
FRESH_US = 5 * SECOND  # a reading of a link says so long whether its cell is contended
TURNED_S, TURNED = 3.0, 3.0  # so many refusals for want of room, fading over this time, make a cell contended


@dataclass(slots=True, eq=False)
class Held:
    """One session, from its first question to its end."""

    ask: SessionRequest
    tenant: Account
    home: str
    """The cell that it was let into."""
    node: str = ""
    attempts: int = 0
    again: bool = False
    """An attempt has ended, and another would follow."""
    stands: bool = False
    cells: tuple[str, ...] = ()
    """Where it counts."""


@dataclass(slots=True, eq=False)
class State:
    """What a broker has seen of one cell."""

    account: Account
    elsewhere: Fading
    """Set-ups sent to nodes of other cells."""
    tries: Fading
    """First tries, over the same time."""
    turned: Fading
    """Refusals for want of room."""
    contended: bool = False
    looked_us: int = -LOOK_US
    loads: dict[str, tuple[float, int]] = field(default_factory=dict)


class CellConstraints:
    """Keeps tenants to their cells. ``positions`` is the settings' ring of positions. Every limit is one of this
    broker: it sees its own part of the traffic alone, and ratios hold for parts as for the whole."""

    max_wait_us = 0

    def __init__(self, plan: Plan, positions: int) -> None:
        self.plan, self.atlas = plan, CellDirectory(plan, positions)
        self.accounts = Accounts(plan.tenant, plan.parts.usual_s, plan.tenants_kept, plan.named)
        self.returns = Returns(plan.viewers_kept)
        self.states = {name: self._state(cell) for name, cell in plan.cells.items()}
        self.held: dict[str, Held] = {}
        self.stages: dict[tuple[str, int], Stage] = {}
        self.looked_us = -LOOK_US
        self.lines = RateLimitedEvents()
        self.refused: dict[str, int] = {}  # by reason, since the last summary
        self.let_in = self.sent_elsewhere = 0
        self.small: dict[str, int] = {}
        self.hears: dict[type, Callable[[Any, int], None]] = {
            ServerListUpdate: self._roster,
            SessionPlaying: self._playing,
            ForwardAttempt: self._sent,
            SessionStarted: self._started,
            AttemptEnded: self._ended,
            RejectSession: self._answered,
            FailSession: self._answered,
            ViewerDisconnected: self._gone,
            SessionNotification: self._noted,
        }

    def _state(self, cell: Cell) -> State:
        usual = Fading(self.plan.parts.usual_s)
        return State(
            Account(cell.name, cell.limits, usual), Fading(ELSEWHERE_S), Fading(ELSEWHERE_S), Fading(TURNED_S)
        )

    # ---- the question -------------------------------------------------------------------------------------

    def constraint_for(self, now: int, request: SessionRequest) -> PlacementConstraint:
        """The bounds of a request, or of a further attempt of it, at clock time ``now`` (us)."""
        if now - self.looked_us >= LOOK_US or now < self.looked_us:
            self._look(now)
        held = self.held.get(request.session)
        if held is None:
            return self._first(now, request)
        if held.again:
            self._follow(held, now)
            turned = self._over_budget(held, now)
            if turned is not None:
                return turned
        return self._where(held, now)

    def _first(self, now: int, ask: SessionRequest) -> PlacementConstraint:
        tenant = self.accounts.of(ask.tenant, now)
        again = ask.returned or self.returns.known(ask.viewer, now)
        free = ask.moved or self.returns.spend_excuse(ask.viewer, now)  # cut by no fault of the viewer's
        home = self.atlas.home(ask.tenant, ask.title, ask.viewer, again or ask.moved, now)
        held, state = Held(ask, tenant, home), self.states[home]
        self.returns.note(ask.viewer, now)
        if not (again or free):
            for account in (tenant, state.account):
                account.firsts.add(now)
                account.usual.add(now)
            state.tries.add(now)
        turned = self._crowded(held, now) or self._over_part(held, now)
        if turned is None and again and not free:
            turned = self._over_budget(held, now)
            if turned is None:
                for account in (tenant, state.account):
                    account.extras.add(now)
        bounds = turned or self._where(held, now)
        if not bounds.reason:
            self.held[ask.session] = held
            self.let_in += 1
            for account in (tenant, state.account):
                account.open += 1
            self._count(held, now)
        return bounds

    def _follow(self, held: Held, now: int) -> None:
        """A further attempt of a tenant that moved meanwhile goes where its viewers now belong."""
        ask = held.ask
        home = self.atlas.home(ask.tenant, ask.title, ask.viewer, True, now)
        if home != held.home:
            self.states[held.home].account.open -= 1
            self.states[home].account.open += 1
            held.home = home

    def _crowded(self, held: Held, now: int) -> PlacementConstraint | None:
        """Set-ups open at once, of the tenant and of the cell."""
        for account, whose in ((held.tenant, "tenant"), (self.states[held.home].account, "cell")):
            if account.open >= account.limits.open:
                return self._turn_away(held, account, f"open-{whose}", account.crowded(), now)
        return None

    def _over_budget(self, held: Held, now: int) -> PlacementConstraint | None:
        """Further attempts and returning viewers, of the tenant and of the cell. The tenant's comes first, so
        that what it asks over its own budget does not use up the cell's."""
        for account, whose in ((held.tenant, "tenant"), (self.states[held.home].account, "cell")):
            excess = account.excess(now)
            if excess:
                return self._turn_away(held, account, f"budget-{whose}", excess, now)
        return None

    def _over_part(self, held: Held, now: int) -> PlacementConstraint | None:
        """While the cell is contended a tenant keeps to its part of it; while it is not, nobody has a part."""
        state, tenant, parts = self.states[held.home], held.tenant, self.plan.parts
        if held.ask.moved or not self._contended(held.home, state, now):
            return None
        own, every = tenant.uses.get(held.home, 0), state.account.uses.get(held.home, 0)
        weight = self.atlas.base(held.ask.tenant, held.ask.title)[1]
        if weight:
            part = weight / max(weight, self.atlas.weights.get(held.home, 0.0))
        else:
            part = tenant.usual.read(now) / max(1.0, state.account.usual.read(now))
        allowed = max(float(parts.least), parts.slack * part * every)
        if own + 1 <= allowed:
            return None
        return self._turn_away(held, tenant, "part", (own + 1) / allowed, now)

    def _contended(self, name: str, state: State, now: int) -> bool:
        if now - state.looked_us >= LOOK_US or now < state.looked_us:
            state.looked_us = now
            for node in [node for node, (_, at_us) in state.loads.items() if now - at_us > FRESH_US]:
                del state.loads[node]
            loads = [load for load, _ in state.loads.values()]
            full = bool(loads) and sum(loads) / len(loads) >= self.plan.parts.contended_from
            contended = full or state.turned.read(now) >= TURNED
            if contended != state.contended:
                state.contended = contended
                self.lines.record(
                    now,
                    "cell contended" if contended else "cell at ease",
                    name,
                    cell=name,
                    load=round(sum(loads) / max(1, len(loads)), 2),
                    refused=round(state.turned.read(now), 1),
                )
        return state.contended

    def _turn_away(
        self, held: Held, account: Account, reason: str, excess: float, now: int
    ) -> PlacementConstraint:
        account.denied.add(now)
        self.refused[reason] = self.refused.get(reason, 0) + 1
        gap_us = account.gap_us(excess, point(held.ask.session, str(now)))
        self.lines.record(
            now,
            "turned away",
            f"{reason} {account.name}",
            reason=reason,
            tenant=held.ask.tenant,
            cell=held.home,
            excess=round(excess, 2),
            gap_ms=gap_us // 1_000,
        )
        return PlacementConstraint(reason=reason, retry_after_us=gap_us)

    # ---- servers ------------------------------------------------------------------------------------------

    def _where(self, held: Held, now: int) -> PlacementConstraint:
        """The servers of the session's cell, and those of others where the cell is too small for its lesson."""
        ask, state, cell = held.ask, self.states[held.home], self.plan.cells[held.home]
        room = self.atlas.room(held.home, ask.tenant, ask.home_position, ask.copies)
        if not room.short:
            return PlacementConstraint(servers=room.own)
        further = {"widen": room.elsewhere, "spill": room.spilled}.get(cell.small)
        if further and state.elsewhere.read(now) + 1 <= 1 + cell.elsewhere * state.tries.read(now):
            return PlacementConstraint(
                servers=room.own | further, costs=dict.fromkeys(further, ELSEWHERE_COST)
            )
        if room.own and cell.small != "refuse":
            return PlacementConstraint(servers=room.own)
        return self._turn_away(held, state.account, "too-small", 1.0, now)

    # ---- what became of it --------------------------------------------------------------------------------

    def on_event(self, now: int, fact: Observation) -> None:
        """Hear what the core was told and did. Facts on sessions that are not known here are passed over."""
        hear = self.hears.get(type(fact))
        if hear is not None:
            hear(fact, now)

    def _roster(self, news: ServerListUpdate, now: int) -> None:
        if self.atlas.roster(news):
            self._sizes(now)
            self._recount(now)

    def _sizes(self, now: int) -> None:
        """Say which cells have become too small for any lesson, and which no longer are."""
        small = self.atlas.small()
        for name in self.plan.cells:
            if small.get(name) != self.small.get(name):
                what = (
                    "cell large enough"
                    if name not in small
                    else "cell too small"
                    if small[name]
                    else "cell empty"
                )
                self.lines.record(
                    now,
                    what,
                    name,
                    cell=name,
                    nodes=len(self.atlas.nodes[name]),
                    holders=self.plan.cells[name].holders,
                    policy=self.plan.cells[name].small,
                )
        self.small = small

    def _playing(self, ask: SessionPlaying, now: int) -> None:
        if ask.session in self.held:
            return
        held = self.held[ask.session] = Held(
            ask, self.accounts.of(ask.tenant, now), "", ask.server, 1, stands=True
        )
        held.home = self.atlas.cell.get(ask.server, "")
        self._count(held, now)

    def _sent(self, action: ForwardAttempt, now: int) -> None:
        held = self.held.get(action.session)
        if held is None:
            return
        held.node, held.attempts = action.server, held.attempts + 1
        state = self.states.get(held.home)
        if held.again and state is not None:
            for account in (held.tenant, state.account):
                account.extras.add(now)
        held.again = False
        if state is not None and self.atlas.cell.get(action.server) != held.home:
            state.elsewhere.add(now)
            self.sent_elsewhere += 1
        self._count(held, now)

    def _started(self, event: SessionStarted, now: int) -> None:
        held = self.held.get(event.session)
        if held is not None and not held.stands and held.node == event.server:
            held.stands = True
            self._closed(held)

    def _ended(self, event: AttemptEnded, now: int) -> None:
        if event.load_report.get("link") is not None:
            self._load(event.server, event.load_report["link"], now)
        held = self.held.get(event.session)
        if held is None or event.server != held.node:
            return
        if held.stands or event.final or event.outcome == "served":
            if event.outcome == "served":
                self.returns.forget(held.ask.viewer)
            elif held.stands:
                self.returns.note(held.ask.viewer, now)
                if event.outcome == "lost":
                    self.returns.excuse(held.ask.viewer, now)
            self._drop(held)
        else:
            held.again = True

    def _answered(self, action: RejectSession | FailSession, now: int) -> None:
        held = self.held.get(action.session)
        if held is None:
            return
        self.returns.note(held.ask.viewer, now)
        if isinstance(action, RejectSession) and not action.reason and held.home in self.states:
            self.states[held.home].turned.add(now)
        self._drop(held)

    def _gone(self, event: ViewerDisconnected, now: int) -> None:
        held = self.held.get(event.session)
        if held is not None and not held.stands:
            self._drop(held)

    def _noted(self, note: SessionNotification, now: int) -> None:
        if note.topic == "link":
            self._load(note.server, note.value, now)

    def _load(self, server: str, value: float, now: int) -> None:
        state = self.states.get(self.atlas.cell.get(server, ""))
        if state is not None and 0 <= value < 1e6:
            state.loads[server] = (value, now)

    # ---- counts -------------------------------------------------------------------------------------------

    def _count(self, held: Held, now: int) -> None:
        """Count a session where it plays (before that, where it was let in) and, while its tenant moves, in
        every cell of the move."""
        plays = self.atlas.cell.get(held.node, "") or held.home
        cells = (plays, *self.atlas.moving(held.ask.tenant, held.ask.title, now))
        cells = tuple(name for name in dict.fromkeys(cells) if name in self.states)
        if cells != held.cells:
            self._uncount(held)
            held.cells = cells
            for name in cells:
                held.tenant.use(name, 1)
                self.states[name].account.use(name, 1)

    def _uncount(self, held: Held) -> None:
        for name in held.cells:
            held.tenant.use(name, -1)
            if name in self.states:
                self.states[name].account.use(name, -1)
        held.cells = ()

    def _recount(self, now: int) -> None:
        for held in self.held.values():
            self._count(held, now)

    def _closed(self, held: Held) -> None:
        """Its set-up is no longer open."""
        held.tenant.open -= 1
        state = self.states.get(held.home)
        if state is not None:
            state.account.open -= 1

    def _drop(self, held: Held) -> None:
        if not held.stands:
            self._closed(held)
        self._uncount(held)
        self.held.pop(held.ask.session, None)

    # ---- the plan and its moves ---------------------------------------------------------------------------

    def take(self, plan: Plan, now: int) -> None:
        """Follow another plan; sessions, counts and the roster stay. Raises :class:`PlanError` for an epoch
        below the present one, and for another plan of the same epoch: two brokers that hear of plans in
        another order must end with the same."""
        if plan.epoch < self.plan.epoch:
            raise PlanError(f"epoch must not fall: {plan.epoch} after {self.plan.epoch}")
        if plan == self.plan:
            return
        if plan.epoch == self.plan.epoch:
            raise PlanError(f"epoch must rise with every change of the file: still {plan.epoch}")
        for held in self.held.values():
            self._uncount(held)
        self.plan, self.atlas = plan, CellDirectory(plan, self.atlas.positions, self.atlas.entries.values())
        self.accounts.retake(plan.tenant, plan.parts.usual_s, plan.tenants_kept, plan.named)
        self.returns.came.kept = self.returns.excused.kept = plan.viewers_kept
        before, self.states = self.states, {}
        for name, cell in plan.cells.items():
            state = self.states[name] = before.get(name) or self._state(cell)
            state.account.limit(cell.limits)
            state.account.usual.window_us = plan.parts.usual_s * SECOND
            state.loads.clear()
        for held in self.held.values():
            if held.home not in self.states:  # its cell is gone: it is let in anew where its tenant is now
                ask = held.ask
                held.home = self.atlas.home(ask.tenant, ask.title, ask.viewer, False, now)
                if not held.stands:
                    self.states[held.home].account.open += 1
        self.lines.record(
            now, "plan taken", str(plan.epoch), epoch=plan.epoch, cells=len(plan.cells), moves=len(plan.moves)
        )
        self._sizes(now)
        self._look(now)
        self._recount(now)

    def _look(self, now: int) -> None:
        """Follow the stages of the moves."""
        self.looked_us = now
        moved = False
        for move in self.plan.moves:
            key, at = (move.tenant, move.epoch), stage(move, now)
            if self.stages.get(key) is at:
                continue
            was, self.stages[key] = self.stages.get(key), at
            moved = moved or at in MOVING or was in MOVING
            home = self.atlas.base(move.tenant, "")[0]
            self.lines.record(
                now,
                "move",
                f"{move.tenant} {move.epoch} {at.value}",
                tenant=move.tenant,
                epoch=move.epoch,
                stage=at.value,
                cell=home,
                to=move.to,
                share=round(share(move, now), 3),
                nodes=len(self.atlas.nodes[move.to]),
                stand=self._stand(move.tenant),
            )
        if len(self.stages) > len(self.plan.moves):
            kept = {(move.tenant, move.epoch) for move in self.plan.moves}
            self.stages = {key: at for key, at in self.stages.items() if key in kept}
        if moved:
            self._recount(now)

    def _stand(self, tenant: str) -> int:
        return sum(held.stands for held in self.held.values() if held.ask.tenant == tenant)

    # ---- for operators ------------------------------------------------------------------------------------

    def take_events(self) -> list[OperatorEvent]:
        """The lines since the last call; each matter has one in ten seconds at most."""
        return self.lines.take_events()

    def summary(self) -> OperatorEvent:
        """What happened since the last summary, and what stands."""
        fields: dict[str, str | int | float] = {
            "epoch": self.plan.epoch,
            "let_in": self.let_in,
            "elsewhere": self.sent_elsewhere,
            "held": len(self.held),
            "tenants": len(self.accounts.accounts) + len(self.accounts.named_accounts),
            "contended": ",".join(name for name, state in self.states.items() if state.contended) or "none",
            "small": ",".join(self.small) or "none",
        }
        fields |= {
            f"refused_{reason.replace('-', '_')}": count for reason, count in sorted(self.refused.items())
        }
        self.let_in = self.sent_elsewhere = 0
        self.refused.clear()
        return OperatorEvent("cells", fields)
