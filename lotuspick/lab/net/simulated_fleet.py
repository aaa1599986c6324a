"""Members of a fleet on the simulated network, and injection of faults."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

import msgspec

from lotuspick.lab.net.fault_scenario import Fault, FaultKind
from lotuspick.lab.net.simulated_network import NetworkConditions, SimulatedHost, SimulatedNetwork
from lotuspick.membership.members import Members
from lotuspick.membership.model import Begin, Changed, FailureDetectionRules, State
from lotuspick.state_machine import CommandReceived, SendMessage

SECOND_US = 1_000_000
SEED_COUNT = 3
"""Number of seeds: the first members."""
MIN_DELAY_FAULT_US = 2_000
CONVERGENCE_POLL_US = SECOND_US // 10


class SimulatedFleet(SimulatedNetwork):
    """Brokers b0, b1, ... on hosts h0, h1, ...; the first three are seeds.

    Args:
        count: Number of brokers.
        seed: Random seed of the simulation.
        conditions: Initial network conditions.
        clock_rates: Clock rates, one of which is drawn for each host.
        rules: Overrides of :class:`FailureDetectionRules`.
    """

    def __init__(
        self,
        count: int,
        seed: int,
        conditions: NetworkConditions | None = None,
        clock_rates: tuple[float, ...] = (1.0,),
        **rules: int,
    ) -> None:
        super().__init__(seed, conditions)
        self.names = [f"h{index}" for index in range(count)]
        seeds = tuple(self.names[:SEED_COUNT])
        for index, name in enumerate(self.names):
            begin = CommandReceived(Begin(f"b{index}", name, seeds))
            self.add(
                name,
                lambda: Members(FailureDetectionRules(**rules)),
                [begin],
                self.random.choice(clock_rates),
            )
            self.start(name)

    # ---- state of members ---------------------------------------------------------------------------------

    def participants(self) -> list[SimulatedHost]:
        """Return the hosts that are up and whose member is neither displaced nor has left."""
        return [
            host
            for host in self.hosts.values()
            if host.up and not (host.machine.displaced or host.machine.left)
        ]

    def views(self) -> set[tuple[Any, ...]]:
        """Return the distinct views that participants have of all members."""
        return {
            tuple(
                (record.name, record.incarnation, record.state)
                for record in sorted(host.machine.records.values(), key=lambda record: record.name)
            )
            for host in self.participants()
        }

    def alive_counts(self) -> set[int]:
        """Return the distinct numbers of live members in the views of the participants."""
        return {len(host.machine.alive()) for host in self.participants()}

    def reached_counts(self) -> set[int]:
        """Return the distinct numbers of members that participants reach."""
        return {len(host.machine.reached()) for host in self.participants()}

    def converge_s(self, limit_s: float = 60.0) -> float:
        """Run until all participants share one view, in which all participants are alive.

        Returns:
            Simulated time in seconds; infinite if it exceeds the limit.
        """
        began_us = self.now_us
        while len(self.views()) > 1 or self.alive_counts() != {len(self.participants())}:
            if self.now_us - began_us > limit_s * SECOND_US:
                return float("inf")
            self.run(CONVERGENCE_POLL_US)
        return (self.now_us - began_us) / SECOND_US

    def notifications_of(self, kind: type) -> list[tuple[str, Any]]:
        """Return the hosts and contents of all notifications of one type."""
        return [
            (notification.host, notification.content)
            for notification in self.notifications
            if isinstance(notification.content, kind)
        ]

    def deaths(self, *names: str) -> list[tuple[float, str]]:
        """Return the times (s) and hosts at which a member was declared dead; without names, any member."""
        return [
            (at_us / SECOND_US, host)
            for at_us, host, content in self.notifications
            if isinstance(content, Changed)
            and content.record.state is State.DEAD
            and (not names or content.record.name in names)
        ]

    # ---- faults -------------------------------------------------------------------------------------------

    def inject(self, fault: Fault) -> None:
        """Inject one fault of a scenario. RESET has no effect: there are no connections."""
        names = [self.names[index] for index in fault.brokers] or self.names
        match fault.kind:
            case FaultKind.CUT:
                self.cut(names, self._other_side(fault, names), fault.both_ways)
            case FaultKind.HEAL:
                self.heal()
                self.conditions.loss = 0.0
            case FaultKind.LOSS:
                self.conditions.loss = fault.amount
            case FaultKind.DELAY:
                max_delay_us = max(MIN_DELAY_FAULT_US, int(fault.amount * SECOND_US))
                self.conditions.delay_us = (self.conditions.delay_us[0], max_delay_us)
            case FaultKind.RESET:
                pass
            case _:
                for name in names:
                    self._inject_process_fault(fault.kind, name)

    def _other_side(self, fault: Fault, names: list[str]) -> list[str]:
        if fault.others:
            return [self.names[index] for index in fault.others]
        return [name for name in self.names if name not in names] or names

    def _inject_process_fault(self, kind: FaultKind, name: str) -> None:
        is_up = self.hosts[name].up
        match kind:
            case FaultKind.STALL:
                self.stall(name)
            case FaultKind.RESUME:
                self.resume(name)
            case FaultKind.KILL if is_up:
                self.crash(name)
            case FaultKind.START | FaultKind.START_WIPED if not is_up:
                self.start(name, wipe=kind is FaultKind.START_WIPED)
            case _:
                pass  # the process is already in the requested state

    def run_scenario(self, scenario: Sequence[Fault]) -> None:
        """Inject the faults of a scenario at their times, relative to now."""
        began_us = self.now_us
        for fault in scenario:
            self.run(max(0, began_us + int(fault.at_s * SECOND_US) - self.now_us))
            self.inject(fault)


class MeteredFleet(SimulatedFleet):
    """A fleet that counts the bytes of its encoded messages."""

    sent_bytes = 0

    def _send(self, host: SimulatedHost, effect: SendMessage) -> None:
        self.sent_bytes += len(msgspec.msgpack.encode(effect.message))
        super()._send(host, effect)
