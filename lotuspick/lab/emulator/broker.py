"""One broker: the real dispatcher and controller, connected to emulated nodes."""

from __future__ import annotations

from functools import partial
from typing import NamedTuple

from lotuspick.cells.constraints import CellConstraints
from lotuspick.cells.model import Plan, PlanError
from lotuspick.core.controller import Controller
from lotuspick.core.events import EndpointState, ServerListUpdate
from lotuspick.core.operator_events import OperatorEvent
from lotuspick.lab.emulator.attempt import Attempt
from lotuspick.lab.emulator.cluster import Cluster
from lotuspick.lab.emulator.node import WARM_UP_US
from lotuspick.lab.emulator.simulation import ONE_WAY_DELAY_US
from lotuspick.lab.emulator.spec import (
    CLASSES,
    DRAIN_GRACE_S,
    RUNG_CHANGE_COST_S,
    RUNG_VALUES,
    SECOND_US,
    ZONES,
)
from lotuspick.routing.dispatcher import SessionDispatcher
from lotuspick.routing.interfaces import AttemptRequest
from lotuspick.routing.messages import EndpointListChanged, InboundMessage
from lotuspick.routing.termination import TerminationReason

TICK_US = 10_000
SESSION_CLASSES = frozenset(CLASSES)
KILLED_CAUSE = "broker killed"


class BrokerProcess(NamedTuple):
    """One process of a broker; messages for an earlier process are dropped."""

    broker: EmulatedBroker
    number: int

    @property
    def is_running(self) -> bool:
        """Return whether this process is the one that is running."""
        return self.broker.up and self.number == self.broker.process_number

    def deliver(self, message: InboundMessage, delay_us: int = 0) -> None:
        """Deliver a message to this process after a delay."""
        self.broker.deliver(self, message, delay_us)


class EmulatedBroker:
    """One broker; gives its dispatcher the interface to all edge servers."""

    def __init__(self, cluster: Cluster, index: int) -> None:
        self._cluster = cluster
        self._simulation = cluster.simulation
        self.index = index
        self.zone = ZONES[index % len(ZONES)]
        self.process_number = 0
        self.up = False
        self.plan_is_stale = False
        """Whether it receives no new plans."""
        self.constraints: CellConstraints | None = None
        self._draining_since_us: dict[str, int] = {}
        """By draining server: when this broker was notified."""
        self._wake_due_us: int | None = None
        self.start()

    # ---- the process --------------------------------------------------------------------------------------

    def start(self) -> None:
        """Start a process that has only the plan and the current endpoint list."""
        simulation, cluster = self._simulation, self._cluster
        self.process_number += 1
        self.up = True
        self._wake_due_us = None
        plan = cluster.plans.plan_at(0 if self.plan_is_stale else simulation.now_us)
        self.constraints = CellConstraints(plan, simulation.spec.nodes) if plan is not None else None
        seed = simulation.seed * 1_000 + self.index * 10 + self.process_number
        decisions = Controller(
            simulation.spec.settings(self.zone), seed, constraint_provider=self.constraints
        )
        self._dispatcher = SessionDispatcher(
            decisions,
            self,
            lambda: simulation.now_us,
            partial(self._wake_at, self.current_process()),
            TICK_US,
            SESSION_CLASSES,
        )
        self._draining_since_us = {}
        entries = list(cluster.endpoint_list.values())
        self.current_process().deliver(EndpointListChanged(ServerListUpdate(entries, complete=True)))

    def kill(self) -> None:
        """Kill the process; its sessions end and its viewers lose their connections."""
        self.up = False
        self.process_number += 1
        for node in self._cluster.nodes:
            node.drop_sessions_of(self)
        entries = self._dispatcher.sessions.entries.values()
        for viewer in [entry.viewer for entry in entries if isinstance(entry.viewer, Attempt)]:
            viewer.interrupted(KILLED_CAUSE)

    def current_process(self) -> BrokerProcess:
        """Return the process that new messages are addressed to."""
        return BrokerProcess(self, self.process_number)

    def deliver(self, process: BrokerProcess, message: InboundMessage, delay_us: int = 0) -> None:
        """Deliver a message to the dispatcher after a delay, unless the addressed process has ended."""
        if delay_us:
            self._simulation.call_later(delay_us, lambda: self.deliver(process, message))
        elif process.is_running:
            if isinstance(message, EndpointListChanged):
                self._note_draining(message.update)
            self._dispatcher.post(message)

    def _note_draining(self, update: ServerListUpdate) -> None:
        for entry in update.servers:
            if entry.state == EndpointState.DRAINING:
                self._draining_since_us.setdefault(entry.server, self._simulation.now_us)
            else:
                self._draining_since_us.pop(entry.server, None)

    def _wake_at(self, process: BrokerProcess, at_us: int) -> None:
        if self._wake_due_us is None or at_us < self._wake_due_us:
            self._wake_due_us = at_us
            delay_us = max(0, at_us - self._simulation.now_us)
            self._simulation.call_later(delay_us, lambda: self._wake(process, at_us))

    def _wake(self, process: BrokerProcess, at_us: int) -> None:
        if process.is_running and self._wake_due_us == at_us:
            self._wake_due_us = None
            self._dispatcher.tick()

    # ---- cells --------------------------------------------------------------------------------------------

    def take_plan(self, plan: Plan) -> None:
        """Apply a new plan, if the broker has a plan and receives updates of it."""
        if self.constraints is not None and self.up and not self.plan_is_stale:
            try:
                self.constraints.apply_plan(plan, self._simulation.now_us)
            except PlanError as error:
                event = OperatorEvent("plan not taken", {"fault": str(error)})
                self._simulation.operator_events.append(event)

    def take_operator_events(self) -> list[OperatorEvent]:
        """Return the operator events of the cells since the last call."""
        if self.constraints is None or not self.up:
            return []
        return list(self.constraints.take_events())

    # ---- the dispatcher's interface to edge servers -------------------------------------------------------

    def start_attempt(self, server: str, attempt: AttemptRequest) -> TerminationReason | None:
        """Send an attempt to a node."""
        simulation, node = self._simulation, self._cluster.nodes_by_name[server]
        viewer = self._dispatcher.sessions.entries[attempt.session].viewer
        assert isinstance(viewer, Attempt)
        self._audit_attempt(server)
        process = self.current_process()
        simulation.call_later(ONE_WAY_DELAY_US, lambda: node.set_up(process, attempt, viewer))
        return None

    def _audit_attempt(self, server: str) -> None:
        """Check the rules for draining nodes and for nodes that are warming up."""
        simulation, node = self._simulation, self._cluster.nodes_by_name[server]
        now_us = simulation.now_us
        draining_since_us = self._draining_since_us.get(server)
        if draining_since_us is not None and now_us > draining_since_us + DRAIN_GRACE_S * SECOND_US:
            simulation.audit.record_violation(
                now_us, f"set-up sent to {server}, draining for {now_us - draining_since_us} us"
            )
        warm_up_share = node.warm_up_share()
        if warm_up_share < 1:
            simulation.audit.record_warm_up_send(now_us, server, warm_up_share, node.stream_limit, WARM_UP_US)

    def cancel_attempt(self, server: str, session: str) -> bool:
        """Return False: attempts are not queued here and cannot be withdrawn."""
        del server, session
        return False

    def release(self, server: str, session: str, reason: TerminationReason) -> None:
        """End a playing session."""
        del reason
        node = self._cluster.nodes_by_name[server]
        self._simulation.call_later(ONE_WAY_DELAY_US, lambda: node.release(session))

    def set_rung(self, server: str, session: str, rung: int) -> None:
        """Change the rung of a playing session and subtract the cost of the change from its value."""
        node = self._cluster.nodes_by_name[server]

        def change() -> None:
            stream = node.streams.get(session)
            if stream is not None:
                stream.rung = rung
                intent = stream.viewer.intent
                weight = CLASSES[intent.session_class].priority_weight
                intent.received -= RUNG_CHANGE_COST_S * weight * RUNG_VALUES[rung]

        self._simulation.call_later(ONE_WAY_DELAY_US, change)

    def keep_connected(self, server: str) -> None:
        """Do nothing: connections are not modelled."""
