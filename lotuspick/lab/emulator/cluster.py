"""The nodes and brokers of a day, the coordinator's endpoint list, and the brokers' plan file."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import TYPE_CHECKING

from lotuspick.cells.model import Plan
from lotuspick.core.events import ServerListUpdate
from lotuspick.lab.emulator.node import MediaNode
from lotuspick.lab.emulator.simulation import Simulation
from lotuspick.lab.emulator.spec import SECOND_US
from lotuspick.routing.messages import EndpointListChanged

if TYPE_CHECKING:
    from lotuspick.lab.emulator.broker import EmulatedBroker

LIST_DELAY_US, FAULTY_LIST_DELAY_US = 2 * SECOND_US, 10 * SECOND_US


@dataclass(frozen=True, slots=True)
class PlanSchedule:
    """The versions of the brokers' plan file, each with the second from which it applies."""

    plans: Sequence[tuple[float, Plan]] = ()

    def plan_at(self, now_us: int) -> Plan | None:
        """Return the plan in effect at a time; None if there is none yet."""
        current = [plan for from_s, plan in self.plans if from_s * SECOND_US <= now_us]
        return current[-1] if current else None


class Cluster:
    """Nodes, brokers and the coordinator's endpoint list."""

    def __init__(self, simulation: Simulation, plans: PlanSchedule) -> None:
        self.simulation = simulation
        self.plans = plans
        self.nodes = [MediaNode(simulation, index) for index in range(simulation.spec.nodes)]
        self.nodes_by_name = {node.name: node for node in self.nodes}
        self.endpoint_list = {node.name: node.entry() for node in self.nodes}
        """By server: its entry as last published by the coordinator."""
        self.brokers: list[EmulatedBroker] = []
        self.list_delay_faults = 0
        """Number of active faults that delay the endpoint list."""

    def announce(self, node: MediaNode) -> None:
        """Publish a node's current state to all brokers after the delay of the endpoint list."""
        entry = node.entry()

        def notify_brokers() -> None:
            self.endpoint_list[entry.server] = entry
            for broker in self.brokers:
                broker.current_process().deliver(EndpointListChanged(ServerListUpdate([entry])))

        delay_us = FAULTY_LIST_DELAY_US if self.list_delay_faults else LIST_DELAY_US
        self.simulation.call_later(delay_us, notify_brokers)
