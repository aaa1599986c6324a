"""A rig of brokers with membership enabled, fault proxies between them and load clients."""

from __future__ import annotations

import subprocess
import time
from collections.abc import Callable, Mapping, Sequence
from pathlib import Path
from typing import Any

import msgspec

from lotuspick.lab.fleet.broker_rig import WAIT_TIMEOUT_S, BrokerRig
from lotuspick.lab.fleet.fault_proxy import Direction, FaultProxies
from lotuspick.lab.fleet.load_clients import LoadClientsJob
from lotuspick.lab.fleet.reserved_port import ReservedPort
from lotuspick.lab.fleet.set_up_result import NodeSetUp, SetUpResult
from lotuspick.lab.net.fault_scenario import Fault, FaultKind
from lotuspick.lab.processes import read_line
from lotuspick.transport.control_port import ControlPortError, send_request

CONTROL_TIMEOUT_S = 10.0
SEED_COUNT = 3
"""Number of membership seeds: the first brokers."""
HEALTHY = "whole"
"""Quorum state of a broker that reaches all members."""


class FleetRig(BrokerRig):
    """Brokers that form a fleet.

    Args:
        folder: Folder of all files of the processes.
        broker_count: Number of brokers, including late ones.
        node_count: Number of media nodes.
        seed: Random seed of the processes and proxies.
        name_overrides: Names of brokers that differ from the default, by number.
        failure_detection: Keys of ``[watch]`` in the brokers' ``peers.toml``.
        proxied: Whether the brokers are connected through fault proxies.
        late_brokers: Number of brokers, at the end, that are not started initially.
        peers_enabled: Whether membership is enabled.
        settings: Site settings; default: ``SITE_SETTINGS``.
    """

    def __init__(
        self,
        folder: Path,
        broker_count: int,
        node_count: int,
        seed: int,
        name_overrides: Mapping[int, str] | None = None,
        failure_detection: Mapping[str, int] | None = None,
        proxied: bool = True,
        late_brokers: int = 0,
        peers_enabled: bool = True,
        settings: Mapping[str, Any] | None = None,
    ) -> None:
        self.name_overrides = name_overrides or {}
        self.failure_detection = failure_detection or {}
        self.peers_enabled = peers_enabled
        self.fleet_size = broker_count - late_brokers
        self.peer_ports = [ReservedPort() for _ in range(broker_count)]
        self.control_ports = [ReservedPort() for _ in range(broker_count)]
        self.proxies: FaultProxies | None = None
        if peers_enabled and proxied:
            self.proxies = FaultProxies([("127.0.0.1", port.number) for port in self.peer_ports], seed)
        super().__init__(folder, broker_count, node_count, seed, settings, late_brokers=late_brokers)

    def broker_name(self, broker: int) -> str:
        """Return the name of a broker."""
        return self.name_overrides.get(broker, super().broker_name(broker))

    def peer_address(self, broker: int) -> str:
        """Return the address on which a broker listens for other brokers."""
        return f"127.0.0.1:{self.peer_ports[broker].number}"

    def broker_options(self, broker: int) -> list[str]:
        """Return the option that names a broker's ``peers.toml``."""
        return ["--peers", str(self.peers_file(broker))] if self.peers_enabled else []

    def peers_file(self, broker: int) -> Path:
        """Return the path of a broker's ``peers.toml``."""
        return self.broker_file(broker, "-peers.toml")

    def configure_broker(self, broker: int) -> None:
        """Write a broker's configuration and its ``peers.toml``."""
        super().configure_broker(broker)
        seed_brokers = range(min(SEED_COUNT, len(self.peer_ports)))
        seeds = ", ".join(f'"{self.peer_address(seed_broker)}"' for seed_broker in seed_brokers)
        lines = [
            "enabled = true",
            f'listen = "{self.peer_address(broker)}"',
            f"seeds = [{seeds}]",
            f"brokers = {self.fleet_size}",
            f'store = "{self._store_folder(broker).name}"',
            f'control = "127.0.0.1:{self.control_ports[broker].number}"',
            "[watch]",
            *(f"{key} = {value}" for key, value in self.failure_detection.items()),
            *self._proxy_lines(broker),
        ]
        self.peers_file(broker).write_text("\n".join(lines) + "\n")

    def _store_folder(self, broker: int) -> Path:
        return self.folder / f"peers{broker}"

    def _proxy_lines(self, broker: int) -> list[str]:
        """Return the address overrides by which a broker connects through the proxies."""
        if self.proxies is None:
            return []
        return [
            "[via]",
            *(
                f'"{self.peer_address(direction.destination)}" = "127.0.0.1:{port}"'
                for direction, port in self.proxies.ports.items()
                if direction.source == broker
            ),
        ]

    # ---- load ---------------------------------------------------------------------------------------------

    def start_load(self, rate: float, paid: float = 0.4) -> None:
        """Start viewers that request sessions from every broker.

        Args:
            rate: Requests per second at each broker.
            paid: Share of requests for paid sessions.
        """
        job = LoadClientsJob(
            ports=[port.number for port in self.rtsp_ports],
            rate=rate,
            paid=paid,
            seed=self.seed,
            nodes=len(self.node_ports),
            log=str(self._load_log),
        )
        job_file = self.folder / "callers.json"
        job_file.write_bytes(msgspec.json.encode(job))
        self._load_clients = self.start_process(
            "lotuspick.lab.fleet.load_clients", str(job_file), stdout=subprocess.PIPE
        )
        read_line(self._load_clients)

    @property
    def _load_log(self) -> Path:
        return self.folder / "called.log"

    def stop_load(self) -> list[SetUpResult]:
        """Stop the load; return the result of each set-up."""
        self._load_clients.terminate()
        self._load_clients.wait(WAIT_TIMEOUT_S)
        return [SetUpResult.parse(line) for line in self._load_log.read_text().splitlines()]

    def node_set_ups(self) -> list[NodeSetUp]:
        """Return the set-ups that media nodes have executed so far."""
        parsed = (NodeSetUp.parse(line) for line in self.node_log.read_text().splitlines())
        return [set_up for set_up in parsed if set_up is not None]

    # ---- state of the brokers -----------------------------------------------------------------------------

    def query(self, broker: int, command: str, **arguments: str) -> dict[str, Any]:
        """Send an operator's command to a running broker; return its answer.

        Raises:
            ControlPortError: The broker does not answer, or rejects the command.
        """
        address = ("127.0.0.1", self.control_ports[broker].number)
        return send_request(address, {"ask": command, **arguments}, CONTROL_TIMEOUT_S)

    def member_states(self, broker: int) -> dict[str, str]:
        """Return the states of all members in a broker's view; empty if it does not answer."""
        try:
            members = self.query(broker, "show")["members"]
        except ControlPortError:
            return {}
        return {member["member"]: member["state"] for member in members}

    def quorum_state(self, broker: int) -> str:
        """Return the quorum state of a broker; empty if it does not answer."""
        try:
            return str(self.query(broker, "show")["counts"]["standing"])
        except ControlPortError:
            return ""

    def wait_for_agreement(self, brokers: Sequence[int], quorum_state: str = HEALTHY) -> float:
        """Wait until these brokers, and no others, are alive in each other's view, in a quorum state.

        Returns:
            The elapsed seconds.

        Raises:
            ConditionTimeoutError: They do not agree in time.
        """
        names = {self.broker_name(broker) for broker in brokers}

        def agree() -> bool:
            return all(
                self._alive_members(broker) == names and self.quorum_state(broker) == quorum_state
                for broker in brokers
            )

        return self.wait_until(
            agree,
            f"{sorted(names)} agree in the quorum state {quorum_state}",
            lambda: str([(each, self.quorum_state(each), self.member_states(each)) for each in brokers]),
        )

    def _alive_members(self, broker: int) -> set[str]:
        return {name for name, state in self.member_states(broker).items() if state == "alive"}

    def wait_for_quorum_state(self, brokers: Sequence[int], *states: str) -> float:
        """Wait until each broker is in one of the quorum states; return the elapsed seconds.

        Raises:
            ConditionTimeoutError: They do not reach such a state in time.
        """
        return self.wait_until(
            lambda: all(self.quorum_state(broker) in states for broker in brokers),
            f"{brokers} have quorum states in {states}",
            lambda: str([self.quorum_state(broker) for broker in brokers]),
        )

    # ---- faults -------------------------------------------------------------------------------------------

    def inject(self, fault: Fault) -> None:
        """Inject one fault of a scenario."""
        match fault.kind:
            case FaultKind.STALL:
                self._for_each(fault, self.stall)
            case FaultKind.RESUME:
                self._for_each(fault, self.resume)
            case FaultKind.KILL:
                self._for_each(fault, self.kill)
            case FaultKind.START | FaultKind.START_WIPED:
                self._start_together(fault)
            case _:
                self._inject_link_fault(fault)

    @staticmethod
    def _for_each(fault: Fault, action: Callable[[int], None]) -> None:
        for broker in fault.brokers:
            action(broker)

    def _start_together(self, fault: Fault) -> None:
        for broker in fault.brokers:
            if fault.kind is FaultKind.START_WIPED:
                self.wipe_disk(broker)
            self.launch(broker)
        for broker in fault.brokers:
            self.wait_until_serving(broker)

    def _inject_link_fault(self, fault: Fault) -> None:
        assert self.proxies is not None
        directions = self._directions(fault)
        match fault.kind:
            case FaultKind.CUT:
                self.proxies.set_conditions(directions, blocked=True)
            case FaultKind.HEAL:
                all_directions = list(self.proxies.links)
                self.proxies.set_conditions(
                    all_directions, blocked=False, loss=0.0, delay_s=0.0, bytes_per_s=0.0
                )
            case FaultKind.LOSS:
                self.proxies.set_conditions(directions, loss=fault.amount)
            case FaultKind.DELAY:
                self.proxies.set_conditions(directions, delay_s=fault.amount)
            case FaultKind.RESET:
                self.proxies.reset_connections(directions)

    def _directions(self, fault: Fault) -> list[Direction]:
        """Return the directions that a link fault affects."""
        all_brokers = range(len(self.peer_ports))
        brokers = fault.brokers or all_brokers
        others = fault.others or [broker for broker in all_brokers if broker not in fault.brokers]
        directions = [Direction(one, other) for one in brokers for other in others if one != other]
        if fault.both_ways:
            directions += [Direction(other, one) for one, other in directions]
        return directions

    def run_scenario(self, scenario: Sequence[Fault]) -> None:
        """Inject the faults of a scenario at their times, relative to now."""
        began_s = time.monotonic()
        for fault in scenario:
            time.sleep(max(0.0, began_s + fault.at_s - time.monotonic()))
            self.inject(fault)

    def wipe_disk(self, broker: int) -> None:
        """Delete the files in a broker's store."""
        for path in self._store_folder(broker).glob("*"):
            path.unlink()

    def close(self) -> None:
        """End all processes and proxies, and release all ports."""
        super().close()
        if self.proxies is not None:
            self.proxies.close()
        for port in self.peer_ports + self.control_ports:
            port.close()
