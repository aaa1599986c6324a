"""One emulated day: creates nodes, brokers, viewers and faults, and runs the simulation."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from functools import partial

from lotuspick.cells.model import Plan
from lotuspick.core.operator_events import OperatorEvent
from lotuspick.lab.emulator.audit import DayAudit
from lotuspick.lab.emulator.broker import EmulatedBroker
from lotuspick.lab.emulator.cluster import Cluster, PlanSchedule
from lotuspick.lab.emulator.faults import FaultInjector
from lotuspick.lab.emulator.link_meter import METER_INTERVAL_US, LinkMeter
from lotuspick.lab.emulator.simulation import Simulation
from lotuspick.lab.emulator.spec import SECOND_US, Spec
from lotuspick.lab.emulator.tenants import TenantPopulation
from lotuspick.lab.emulator.viewers import Viewers

EVENTS_INTERVAL_US = SECOND_US
WIND_DOWN_S = 75
"""Simulated time after the last arrival; covers the longest sessions."""


@dataclass(slots=True)
class DayResult:
    """The result of a day."""

    audit: DayAudit
    operator_events: list[OperatorEvent]
    home_cells: dict[str, str] = field(default_factory=dict)
    """By tenant: its cell in the initial plan; empty without a plan."""


class World:
    """An emulated day.

    Args:
        spec: Parameters of the day.
        seed: Seed of all random streams.
        plans: Versions of the brokers' plan file, each with the second from which it applies.
    """

    def __init__(self, spec: Spec, seed: int, plans: Sequence[tuple[float, Plan]] = ()) -> None:
        self.spec = spec
        self.simulation = Simulation(spec, seed)
        self.cluster = Cluster(self.simulation, PlanSchedule(tuple(plans)))
        self.tenants = TenantPopulation(self.simulation)
        self.meter = LinkMeter(self.cluster)
        self.viewers = Viewers(self.cluster, self.tenants)
        self.faults = FaultInjector(self.cluster, self.meter)
        for index in range(spec.brokers):
            self.cluster.brokers.append(EmulatedBroker(self.cluster, index))

    def run(self) -> DayResult:
        """Run the day until the sessions have ended."""
        simulation = self.simulation
        self.viewers.start()
        self.faults.start()
        self._schedule_plans()
        simulation.call_later(METER_INTERVAL_US, self.meter.read)
        simulation.call_later(EVENTS_INTERVAL_US, self._collect_operator_events)
        home_cells = self._home_cells()
        simulation.run_until(int((self.spec.day_s + WIND_DOWN_S) * SECOND_US))
        return DayResult(simulation.audit, simulation.operator_events, home_cells)

    def _schedule_plans(self) -> None:
        """Schedule the plans that apply after the start."""
        for from_s, plan in self.cluster.plans.plans:
            if from_s > 0:
                self.simulation.call_later(int(from_s * SECOND_US), partial(self._announce_plan, plan))

    def _announce_plan(self, plan: Plan) -> None:
        for broker in self.cluster.brokers:
            broker.take_plan(plan)

    def _home_cells(self) -> dict[str, str]:
        constraints = self.cluster.brokers[0].constraints
        if constraints is None:
            return {}
        return {tenant: constraints.directory.base_cell(tenant, "")[0] for tenant in self.tenants.names}

    def _collect_operator_events(self) -> None:
        for broker in self.cluster.brokers:
            self.simulation.operator_events.extend(broker.take_operator_events())
        self.simulation.call_later(EVENTS_INTERVAL_US, self._collect_operator_events)


def run_day(spec: Spec, seed: int, plans: Sequence[tuple[float, Plan]] = ()) -> DayResult:
    """Create and run one day."""
    return World(spec, seed, plans).run()
