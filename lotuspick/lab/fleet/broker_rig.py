"""A rig of real processes: media nodes, a fake coordinator, and brokers that can be killed and restarted.

The rig reserves the ports of its brokers, so that a restarted broker listens on the same port. Waits are for
a line of output or a state, never for a fixed time. All processes end with the rig.
"""

from __future__ import annotations

import json
import signal
import socket
import subprocess
import threading
import time
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import IO, Any, ClassVar

from lotuspick.lab.errors import BrokerStartError, ConditionTimeoutError
from lotuspick.lab.fleet.fake_coordinator import CoordinatorServer
from lotuspick.lab.fleet.reserved_port import ReservedPort
from lotuspick.lab.fleet.site_settings import GENEROUS_LIMITS, SITE_SETTINGS, broker_configuration
from lotuspick.lab.processes import read_line, start_module

WAIT_TIMEOUT_S = 60.0
POLL_INTERVAL_S = 0.05
CONNECT_TIMEOUT_S = 0.5
EXIT_TIMEOUT_S = 20
LOG_TAIL_CHARACTERS = 800
SEEDS_PER_RIG = 100
"""A broker's seed is the rig's seed times this, plus the broker's number."""


class BrokerRig:
    """Media nodes, a coordinator and brokers.

    A subclass writes further files in :meth:`prepare` and :meth:`configure_broker` and passes them to brokers
    in :meth:`broker_options`. It must set the attributes that these methods use before it initialises this
    class, because the initialiser starts all processes.

    Args:
        folder: Folder of all files of the processes.
        broker_count: Number of brokers.
        node_count: Number of media nodes.
        seed: Random seed of the processes.
        settings: Site settings; default: ``SITE_SETTINGS``.
        node_faults: Shares of set-ups in which the media nodes inject a fault, by kind.
        late_brokers: Number of brokers, at the end, that are not started initially.
    """

    broker_module: ClassVar[str] = "lotuspick"
    """Module that runs as a broker."""
    node_module: ClassVar[str] = "lotuspick.lab.seats.fake_nodes"
    """Module that runs as the media nodes."""
    limits: ClassVar[Mapping[str, float]] = GENEROUS_LIMITS
    """Resource limits of a broker's process."""

    def __init__(
        self,
        folder: Path,
        broker_count: int,
        node_count: int,
        seed: int,
        settings: Mapping[str, Any] | None = None,
        node_faults: Mapping[str, float] | None = None,
        late_brokers: int = 0,
    ) -> None:
        self.folder = folder
        self.seed = seed
        self.settings = settings or SITE_SETTINGS
        self.late_brokers = late_brokers
        self.processes: list[subprocess.Popen[str]] = []
        self.brokers: dict[int, subprocess.Popen[str]] = {}
        self.coordinator = CoordinatorServer()
        threading.Thread(target=self.coordinator.serve_forever, daemon=True).start()
        self.rtsp_ports = [ReservedPort() for _ in range(broker_count)]
        try:
            self.node_ports = self._start_nodes(node_count, node_faults or {})
            self.prepare()
            for broker in range(broker_count):
                self.configure_broker(broker)
            self._start_brokers(broker_count - late_brokers)
        except BaseException:
            self.close()
            raise

    def _start_nodes(self, count: int, faults: Mapping[str, float]) -> list[int]:
        """Start the media nodes; return their ports."""
        nodes = self.start_process(
            self.node_module,
            str(count),
            str(self.seed),
            str(self.node_log),
            json.dumps(faults),
            stdout=subprocess.PIPE,
        )
        ports: list[int] = json.loads(read_line(nodes))
        return ports

    def _start_brokers(self, count: int) -> None:
        for broker in range(count):
            self.launch(broker)
        for broker in range(count):
            self.wait_until_serving(broker)

    def prepare(self) -> None:
        """Hook that is called before the brokers are configured."""

    def broker_options(self, broker: int) -> list[str]:
        """Hook that returns further arguments of a broker's command line."""
        del broker
        return []

    def broker_name(self, broker: int) -> str:
        """Return the name of a broker."""
        return f"n{broker}"

    # ---- files --------------------------------------------------------------------------------------------

    @property
    def node_log(self) -> Path:
        """Path of the media nodes' log of executed requests."""
        return self.folder / "ran.log"

    def broker_file(self, broker: int, suffix: str) -> Path:
        """Return the path of a file of one broker."""
        return self.folder / f"b{broker}{suffix}"

    def broker_log(self, broker: int) -> str:
        """Return the complete log of a broker, over all its starts."""
        return self.broker_file(broker, ".log").read_text()

    def configure_broker(self, broker: int) -> None:
        """Write the configuration files of a broker."""
        configuration = broker_configuration(
            self.broker_name(broker),
            self.rtsp_ports[broker].number,
            self.seed * SEEDS_PER_RIG + broker,
            self.coordinator.port,
            self.settings,
            self.node_ports,
            self.limits,
        )
        self.broker_file(broker, ".json").write_text(json.dumps(configuration), encoding="utf-8")

    def broker_command(self, broker: int) -> list[str]:
        """Return the module that runs as a broker, and its arguments."""
        configuration = str(self.broker_file(broker, ".json"))
        return [self.broker_module, "serve", "--config", configuration, *self.broker_options(broker)]

    # ---- processes ----------------------------------------------------------------------------------------

    def start_process(
        self,
        module: str,
        *arguments: str,
        stdout: int | IO[str] = subprocess.DEVNULL,
        stderr: IO[str] | None = None,
    ) -> subprocess.Popen[str]:
        """Start a module as a process that ends with the rig."""
        process = start_module(module, *arguments, stdout=stdout, stderr=stderr)
        self.processes.append(process)
        return process

    def launch(self, broker: int) -> None:
        """Start a broker's process without waiting for it."""
        with self.broker_file(broker, ".log").open("a") as log:
            self.brokers[broker] = self.start_process(*self.broker_command(broker), stderr=log)

    def wait_until_serving(self, broker: int) -> None:
        """Wait until a broker accepts viewers.

        Raises:
            BrokerStartError: Its process has ended.
            ConditionTimeoutError: It does not accept viewers in time.
        """
        self.wait_until(
            lambda: self.accepts_viewers(broker), f"broker {broker} starts", lambda: self._log_tail(broker)
        )

    def accepts_viewers(self, broker: int) -> bool:
        """Return whether a broker accepts a connection.

        Raises:
            BrokerStartError: Its process has ended.
        """
        if self.brokers[broker].poll() is not None:
            raise BrokerStartError(broker, self._log_tail(broker))
        address = ("127.0.0.1", self.rtsp_ports[broker].number)
        try:
            socket.create_connection(address, CONNECT_TIMEOUT_S).close()
        except OSError:
            return False
        return True

    def _log_tail(self, broker: int) -> str:
        return self.broker_log(broker)[-LOG_TAIL_CHARACTERS:]

    def start(self, broker: int) -> None:
        """Start a broker and wait until it accepts viewers."""
        self.launch(broker)
        self.wait_until_serving(broker)

    def kill(self, broker: int) -> None:
        """Kill a broker's process and wait for its exit."""
        self.brokers[broker].kill()
        self.brokers[broker].wait()

    def stall(self, broker: int) -> None:
        """Suspend a broker's process."""
        self.brokers[broker].send_signal(signal.SIGSTOP)

    def resume(self, broker: int) -> None:
        """Resume a suspended process."""
        self.brokers[broker].send_signal(signal.SIGCONT)

    def crashed_brokers(self) -> list[int]:
        """Return the brokers that have logged a traceback."""
        return [broker for broker in self.brokers if "Traceback" in self.broker_log(broker)]

    def wait_until(
        self, condition: Callable[[], bool], description: str, details: Callable[[], str] = lambda: ""
    ) -> float:
        """Wait until a condition holds; return the elapsed seconds.

        Raises:
            ConditionTimeoutError: It does not hold in time; ``details`` describes the state at that time.
        """
        began_s = time.monotonic()
        while not condition():
            if time.monotonic() - began_s > WAIT_TIMEOUT_S:
                raise ConditionTimeoutError(description, WAIT_TIMEOUT_S, details())
            time.sleep(POLL_INTERVAL_S)
        return time.monotonic() - began_s

    def close(self) -> None:
        """End all processes, including suspended ones, and release all ports."""
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.terminate()
        for process in self.processes:
            _wait_or_kill(process)
        self.coordinator.shutdown()
        self.coordinator.server_close()
        for port in self.rtsp_ports:
            port.close()


def _wait_or_kill(process: subprocess.Popen[str]) -> None:
    try:
        process.wait(EXIT_TIMEOUT_S)
    except subprocess.TimeoutExpired:
        process.kill()
        process.wait()
    if process.stdout is not None:
        process.stdout.close()
