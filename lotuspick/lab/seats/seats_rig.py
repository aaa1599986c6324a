"""A rig of brokers with seats, an HTTP front, and clocks that can be set."""

from __future__ import annotations

import signal
import time
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any, ClassVar

from lotuspick.lab.fleet.broker_rig import BrokerRig
from lotuspick.lab.fleet.reserved_port import ReservedPort
from lotuspick.lab.seats.fake_nodes import FAULT_SHARES
from lotuspick.transport.storage.key_folder import KeyFolder

KEY_AGE_S = 10
KEY_OVERLAP_S = 600
AUDIENCE = "site"


@dataclass(frozen=True, slots=True)
class SeatsParameters:
    """Parameters of a run."""

    sessions: int
    """Viewers, all together."""
    rate: float
    """Viewers a second, all together."""
    brokers: int
    nodes: int
    clients: int
    """Processes over which the viewers are spread."""
    kill_s: float = 0
    """Mean time between kills of a broker; 0: none."""
    clocks: bool = True
    """Whether the brokers' clocks are set."""
    faults: bool = True
    """Whether nodes spoil what they do."""
    seats: bool = True
    """Whether brokers check and count seats."""
    http: float = 0.05
    """Share of the sessions that come over HTTP."""

    @classmethod
    def from_mapping(cls, parameters: Mapping[str, Any]) -> SeatsParameters:
        """Take what concerns a run from the parameters of an experiment."""
        names = cls.__dataclass_fields__
        return cls(**{name: value for name, value in parameters.items() if name in names})

    @property
    def duration_s(self) -> float:
        """For how long viewers come."""
        return self.sessions / self.rate


class SeatsRig(BrokerRig):
    """Brokers with seats, each with a clock of its own."""

    broker_module: ClassVar[str] = "lotuspick.lab.seats.adjustable_clock_broker"

    def __init__(self, folder: Path, parameters: SeatsParameters, seed: int) -> None:
        self._seats_enabled = parameters.seats
        self._http_ports = [ReservedPort() for _ in range(parameters.brokers)]
        node_faults = FAULT_SHARES if parameters.faults else {}
        super().__init__(folder, parameters.brokers, parameters.nodes, seed, node_faults=node_faults)

    @property
    def viewer_ports(self) -> list[tuple[int, int]]:
        """RTSP and HTTP port of each broker."""
        return [(rtsp.number, http.number) for rtsp, http in zip(self.rtsp_ports, self._http_ports)]

    @property
    def key_folder(self) -> Path:
        """Where the keys lie by which tokens are signed."""
        return self.folder / "keys"

    def ledger_store(self, broker: int) -> Path:
        """Where a broker keeps its ledger."""
        return self.folder / f"store{broker}"

    def prepare(self) -> None:
        """Make the keys by which tokens are signed."""
        KeyFolder(self.key_folder).create_key(int(time.time()) - KEY_AGE_S, KEY_OVERLAP_S)

    def configure_broker(self, broker: int) -> None:
        """Write a broker's configuration, with its ``hints.toml`` and ``seats.toml``."""
        super().configure_broker(broker)
        self.broker_file(broker, "-hints.toml").write_text(
            f'enabled = true\nlisten = "127.0.0.1:{self._http_ports[broker].number}"\n'
        )
        self.broker_file(broker, "-seats.toml").write_text(
            f"enabled = {str(self._seats_enabled).lower()}\n"
            f'audience = "{AUDIENCE}"\n'
            f'keys = "{self.key_folder.name}"\n'
            f'store = "{self.ledger_store(broker).name}"\n'
            "store_mib = 2048\n"
        )

    def broker_command(self, broker: int) -> list[str]:
        """The broker's command line, with the file of its clock's offset before it."""
        module, *arguments = super().broker_command(broker)
        return [module, str(self._clock_file(broker)), *arguments]

    def broker_options(self, broker: int) -> list[str]:
        """The files of the HTTP front and of the seats."""
        hints, seats = self.broker_file(broker, "-hints.toml"), self.broker_file(broker, "-seats.toml")
        return ["--hints", str(hints), "--seats", str(seats)]

    def _clock_file(self, broker: int) -> Path:
        return self.broker_file(broker, "-clock")

    def set_clock_offset(self, broker: int, offset_s: float) -> None:
        """Have a broker's clock be off by so much from now on."""
        self._clock_file(broker).write_text(str(offset_s))
        self.brokers[broker].send_signal(signal.SIGUSR1)

    def close(self) -> None:
        """End all processes and release all ports."""
        super().close()
        for port in self._http_ports:
            port.close()
