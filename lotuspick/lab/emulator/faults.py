"""Injection of the faults of a day."""

from __future__ import annotations

from functools import partial

from lotuspick.core.events import EndpointState
from lotuspick.lab.emulator.broker import EmulatedBroker
from lotuspick.lab.emulator.cluster import Cluster
from lotuspick.lab.emulator.link_meter import LinkMeter
from lotuspick.lab.emulator.node import MediaNode
from lotuspick.lab.emulator.spec import SECOND_US, Fault, FaultKind

SLOWDOWN_FACTOR = 20
DEGRADED_LINK_SHARE = 0.33


class FaultInjector:
    """Starts and ends the faults of a day."""

    def __init__(self, cluster: Cluster, meter: LinkMeter) -> None:
        self._cluster = cluster
        self._meter = meter

    def start(self) -> None:
        """Schedule the start and end of all faults."""
        simulation = self._cluster.simulation
        for fault in simulation.spec.faults:
            simulation.call_later(int(fault.start_s * SECOND_US), partial(self._begin, fault))
            simulation.call_later(int(fault.end_s * SECOND_US), partial(self._end, fault))

    def _node(self, fault: Fault) -> MediaNode:
        return self._cluster.nodes[fault.index % len(self._cluster.nodes)]

    def _broker(self, fault: Fault) -> EmulatedBroker:
        return self._cluster.brokers[fault.index % len(self._cluster.brokers)]

    def _begin(self, fault: Fault) -> None:
        node, broker = self._node(fault), self._broker(fault)
        match fault.kind:
            case FaultKind.NODE_CRASHED:
                node.crash()
                node.state = EndpointState.GONE
                self._cluster.announce(node)
            case FaultKind.NODE_DRAINING:
                node.state = EndpointState.DRAINING
                self._cluster.announce(node)
            case FaultKind.NODE_SLOW:
                node.slowdown = SLOWDOWN_FACTOR
            case FaultKind.LINK_DEGRADED:
                node.link_share = DEGRADED_LINK_SHARE
            case FaultKind.ENDPOINT_LIST_DELAYED:
                self._cluster.list_delay_faults += 1
            case FaultKind.NOTIFICATIONS_LOST:
                self._meter.notification_loss_faults += 1
            case FaultKind.BROKER_KILLED:
                broker.kill()
            case FaultKind.PLAN_STALE:
                broker.plan_is_stale = True

    def _end(self, fault: Fault) -> None:
        node, broker = self._node(fault), self._broker(fault)
        match fault.kind:
            case FaultKind.NODE_CRASHED:
                self._restart_node(node)
            case FaultKind.NODE_DRAINING:
                node.crash()
                self._restart_node(node)
            case FaultKind.NODE_SLOW:
                node.slowdown = 1
            case FaultKind.LINK_DEGRADED:
                node.link_share = 1.0
            case FaultKind.ENDPOINT_LIST_DELAYED:
                self._cluster.list_delay_faults -= 1
            case FaultKind.NOTIFICATIONS_LOST:
                self._meter.notification_loss_faults -= 1
            case FaultKind.BROKER_KILLED:
                broker.start()
            case FaultKind.PLAN_STALE:
                self._end_stale_plan(broker)

    def _restart_node(self, node: MediaNode) -> None:
        node.restart()
        self._cluster.announce(node)

    def _end_stale_plan(self, broker: EmulatedBroker) -> None:
        broker.plan_is_stale = False
        plan = self._cluster.plans.plan_at(self._cluster.simulation.now_us)
        if plan is not None:
            broker.take_plan(plan)
