"""Samples all links twice a second, credits the delivered value, and sends load notifications."""

from __future__ import annotations

from collections.abc import Callable

from lotuspick.core.events import ReadingTopic
from lotuspick.lab.emulator.cluster import Cluster
from lotuspick.lab.emulator.node import MediaNode, Stream
from lotuspick.lab.emulator.spec import CLASSES, RUNG_VALUES, SECOND_US, SHORTFALL_COST
from lotuspick.routing.messages import EdgeServerNotified

METER_INTERVAL_US = SECOND_US // 2
SHARE_NOTIFICATION_INTERVAL_US, LOAD_NOTIFICATION_INTERVAL_US = SECOND_US, 3 * SECOND_US
"""Intervals of the notifications of a session's share of its bitrate, and of the load of a link."""
LOAD_STAGGER_US = 70_000
"""Offset between the load notifications of consecutive nodes."""
NOTIFICATION_DELAY_US = 700_000
FULL_SHARE = 0.98
"""Delivered share of the bitrate from which on nothing counts as missing."""
EPSILON = 1e-9
UPLINK_CAPACITY_FACTORS = (0.8, 1.2)
"""Range of the ratio of actual to nominal uplink capacity."""


class LinkMeter:
    """Samples all links and uplinks."""

    def __init__(self, cluster: Cluster) -> None:
        simulation = cluster.simulation
        self.observers: list[Callable[[], None]] = []
        """Called after each sample."""
        self.notification_loss_faults = 0
        """Number of active faults that lose all notifications."""
        self._cluster = cluster
        self._simulation = simulation
        self._uplink_factors = [
            simulation.random_stream(f"rack {rack}").uniform(*UPLINK_CAPACITY_FACTORS)
            for rack in range(simulation.spec.racks)
        ]

    def read(self) -> None:
        """Credit the last interval, send notifications, and schedule the next sample."""
        demand_by_rack = self._demand_by_rack()
        for node in self._cluster.nodes:
            share = self._delivered_share(node, demand_by_rack[node.rack])
            for stream in node.streams.values():
                _credit_value(stream, share)
            if not self.notification_loss_faults:
                self._notify(node, share)
        for observe in self.observers:
            observe()
        self._simulation.call_later(METER_INTERVAL_US, self.read)

    def _demand_by_rack(self) -> dict[int, float]:
        """Return the demand of each rack's nodes on its uplink, in kB/s."""
        demand: dict[int, float] = {}
        for node in self._cluster.nodes:
            sent = min(node.demand_kb_per_s, node.capacity_kb_per_s)
            demand[node.rack] = demand.get(node.rack, 0.0) + sent
        return demand

    def _delivered_share(self, node: MediaNode, rack_demand: float) -> float:
        """Return the share of their bitrates that the streams of a node receive."""
        uplink = self._simulation.spec.uplink_kb_per_s * self._uplink_factors[node.rack]
        share = min(1.0, 1 / max(node.load, EPSILON))
        return share * min(1.0, uplink / max(rack_demand, EPSILON))

    def _notify(self, node: MediaNode, share: float) -> None:
        """Send the due notifications of a node, through one session of each broker."""
        now_us = self._simulation.now_us
        first_by_broker: dict[int, Stream] = {}
        for stream in node.streams.values():
            first_by_broker.setdefault(stream.owner.broker.index, stream)
        for stream in first_by_broker.values():
            if now_us % SHARE_NOTIFICATION_INTERVAL_US < METER_INTERVAL_US and share < FULL_SHARE:
                notified = EdgeServerNotified(node.name, stream.session, ReadingTopic.SHARE, share)
                stream.owner.deliver(notified, NOTIFICATION_DELAY_US)
            if (now_us + node.index * LOAD_STAGGER_US) % LOAD_NOTIFICATION_INTERVAL_US < METER_INTERVAL_US:
                notified = EdgeServerNotified(node.name, stream.session, ReadingTopic.LINK, node.load)
                stream.owner.deliver(notified, NOTIFICATION_DELAY_US)


def _credit_value(stream: Stream, share: float) -> None:
    """Credit the value delivered since the last sample; a session that started late has no value."""
    if not stream.viewer.is_on_time:
        return
    intent = stream.viewer.intent
    value = RUNG_VALUES[min(stream.rung, intent.highest_rung)]
    value *= max(0.0, 1 - SHORTFALL_COST * max(0.0, FULL_SHARE - share))
    intent.received += CLASSES[intent.session_class].priority_weight * value * METER_INTERVAL_US / SECOND_US
