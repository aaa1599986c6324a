"""Runs the scenario of one seed against a real broker and counts the violations in the records."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Mapping
from pathlib import Path
from typing import ClassVar

import msgspec

from lotuspick.lab.errors import ConditionTimeoutError
from lotuspick.lab.fleet.broker_rig import BrokerRig
from lotuspick.lab.processes import read_line, start_module
from lotuspick.lab.soak import judge
from lotuspick.lab.soak.clients import ClientsJob
from lotuspick.lab.soak.records import BrokerRun, ClientEvent, NodeEvent, ResourceUsage, read_records
from lotuspick.lab.soak.scenario import Round, SoakScenario, Stall, draw_scenario
from lotuspick.lab.trial_result import Parameters, TrialResult

BROKER = 0
NODES = 4
POLL_S = 0.01
COORDINATOR_STALL_S = 4.0
BURST_DURATION_S = 1.0
"""Time that a connection burst is given before the stalls of a round and SIGTERM."""
BURST_AFTER_SIGTERM_S = 0.05
SETTLE_S = 1.5
"""Time from the close of the last client connection until descriptors are counted."""
NODE_LOG_FLUSH_WAIT_S = 0.3
"""Time in which the media nodes flush their log."""
READY_TIMEOUT_S = 30.0
KILL_TIMEOUT_S = 5.0
KILOBYTES_PER_MB = 1_024
RULES = (
    "unanswered",
    "late-answer",
    "answered-twice",
    "paid-twice",
    "forwarded-after-leave",
    "release",
    "left-standing",
    "killed",
    "exit",
    "traceback",
    "ready",
    "descriptors",
    "memory",
)
"""Rules checked by :mod:`lotuspick.lab.soak.judge`; each is a figure of a trial."""


class SoakRig(BrokerRig):
    """One broker under the platform's limits; its log may be a pipe without a reader."""

    node_module: ClassVar[str] = "lotuspick.lab.soak.nodes"
    limits: ClassVar[Mapping[str, float]] = {"cores": 1.0, "memory_mb": 192, "sockets": 192}

    def __init__(self, folder: Path, scenario: SoakScenario, seed: int) -> None:
        self.scenario = scenario
        self.runs: list[BrokerRun] = []
        super().__init__(folder, 1, NODES, seed, late_brokers=1)

    def broker_command(self, broker: int) -> list[str]:
        """Command of the broker, with the log level of the scenario."""
        return [*super().broker_command(broker), "--log-level", self.scenario.log_level]

    def launch(self, broker: int) -> None:
        """Start the broker process without waiting for readiness."""
        self.runs.append(BrokerRun(launched_s=time.time()))
        if self.scenario.log_is_read:
            super().launch(broker)
            return
        reader, writer = os.pipe()
        self.unread_log_pipes.append(reader)
        with os.fdopen(writer, "w") as log:
            self.brokers[broker] = self.start_process(*self.broker_command(broker), stderr=log)

    def prepare(self) -> None:
        """Create the list of unread log pipes, which keeps them open, and an empty log."""
        self.unread_log_pipes: list[int] = []
        self.broker_file(BROKER, ".log").touch()

    def close(self) -> None:
        """Stop all processes and close the pipes."""
        super().close()
        for reader in self.unread_log_pipes:
            os.close(reader)

    @property
    def process(self) -> subprocess.Popen[str]:
        """The current broker process."""
        return self.brokers[BROKER]

    def apply_stall(self, planned_stall: Stall, since_s: float) -> None:
        """Pause the broker process; the stall's delay counts from ``since_s`` on the monotonic clock."""
        _sleep_until(since_s + planned_stall.after_s)
        self.stall(BROKER)
        time.sleep(planned_stall.duration_s)
        self.resume(BROKER)

    def wait_for_exit(self, kill_at_s: float) -> None:
        """Wait for the process to exit, kill it at a monotonic time, and record the exit."""
        run = self.runs[-1]
        while self.process.poll() is None and time.monotonic() < kill_at_s:
            time.sleep(POLL_S)
        if self.process.poll() is None:
            run.killed = True
            self.process.kill()
        run.exit_code = self.process.wait(KILL_TIMEOUT_S)
        run.ended_s = time.time()
        run.has_traceback = bool(self.crashed_brokers())

    def descriptor_count(self) -> int:
        """Number of open descriptors of the broker."""
        return len(list(Path(f"/proc/{self.process.pid}/fd").iterdir()))

    def memory_mb(self) -> float:
        """Resident memory of the broker."""
        status = Path(f"/proc/{self.process.pid}/status").read_text(encoding="ascii")
        return (
            next(int(line.split()[1]) for line in status.splitlines() if "VmRSS" in line) / KILOBYTES_PER_MB
        )


def soak(world: Parameters, arm: Parameters, seed: int) -> TrialResult:
    """Run the scenario of a seed.

    Args:
        world: Parameters of all arms.
        arm: Parameters of this arm. ``crowd_gap_s`` is the shortest and longest interval between two set-ups
            on a connection of the burst; ``always_crowded`` adds a burst to the scenario of every seed.
        seed: Seed of all random choices.

    Returns:
        Number of violations by rule, number of requests, percentage of requests that are inconclusive because
        the client process was stalled, and longest time until a broker was ready.
    """
    parameters = {**world, **arm}
    scenario = draw_scenario(seed, always_burst=parameters["always_crowded"])
    with tempfile.TemporaryDirectory() as name:
        runner = ScenarioRunner(Path(name), scenario, seed, tuple(parameters["crowd_gap_s"]))
        try:
            usage = runner.run_all_rounds()
        finally:
            runner.rig.close()
        return _evaluate(runner, usage, seed)


class ScenarioRunner:
    """Runs one scenario on a dedicated rig with dedicated clients."""

    def __init__(
        self, folder: Path, scenario: SoakScenario, seed: int, burst_request_interval_s: tuple[float, float]
    ) -> None:
        self.folder, self.scenario = folder, scenario
        self.client_log = folder / "clients.log"
        self.rig = SoakRig(folder, scenario, seed)
        self.job = ClientsJob(
            port=self.rig.rtsp_ports[BROKER].number,
            seed=seed,
            nodes=NODES,
            connections=scenario.connections,
            burst_connections=scenario.burst_connections,
            burst_request_interval_s=burst_request_interval_s,
            viewers_cancel=scenario.viewers_cancel,
            log=str(self.client_log),
        )

    def run_all_rounds(self) -> ResourceUsage:
        """Run all rounds; return the resource usage before and after the final connection flood."""
        usage = ResourceUsage()
        clients = self._start_clients()
        for index, soak_round in enumerate(self.scenario.rounds):
            self._run_round(soak_round, clients)
            if index + 1 == len(self.scenario.rounds):
                self._start_broker()
                self._stop_clients(clients)
                usage = self._measure_resources()
                self._signal_and_wait(signal.SIGTERM)
        time.sleep(NODE_LOG_FLUSH_WAIT_S)
        return usage

    def _start_clients(self) -> subprocess.Popen[str]:
        job_file = self.folder / "clients.json"
        job_file.write_bytes(msgspec.json.encode(self.job))
        clients = self.rig.start_process("lotuspick.lab.soak.clients", str(job_file), stdout=subprocess.PIPE)
        read_line(clients)
        return clients

    @staticmethod
    def _stop_clients(clients: subprocess.Popen[str]) -> None:
        clients.terminate()
        clients.wait()

    def _run_round(self, soak_round: Round, clients: subprocess.Popen[str]) -> None:
        if soak_round.early_sigterm_s is not None:
            self.rig.launch(BROKER)
            time.sleep(soak_round.early_sigterm_s)
            self._signal_and_wait(signal.SIGTERM)
        self._start_broker()
        ready_s = time.monotonic()
        if self.scenario.coordinator_stalls:
            self.rig.coordinator.stalled_until_s = ready_s + COORDINATOR_STALL_S
        if self.scenario.burst_connections and not soak_round.burst_after_sigterm:
            clients.send_signal(signal.SIGUSR1)
            time.sleep(BURST_DURATION_S)
        for planned_stall in soak_round.stalls:
            self.rig.apply_stall(planned_stall, ready_s)
        _sleep_until(ready_s + soak_round.serving_s)
        self._shut_down(soak_round, clients)

    def _shut_down(self, soak_round: Round, clients: subprocess.Popen[str]) -> None:
        """Send the signals of a round and wait for the exit; later delays count from the first SIGTERM."""
        sigterm_s = 0.0
        for signal_number in soak_round.signals:
            if signal_number is signal.SIGTERM and not sigterm_s:
                sigterm_s, self.rig.runs[-1].sigterm_s = time.monotonic(), time.time()
            self.rig.process.send_signal(signal_number)
            time.sleep(soak_round.signal_interval_s)
        if self.scenario.burst_connections and soak_round.burst_after_sigterm:
            _sleep_until(sigterm_s + BURST_AFTER_SIGTERM_S)
            clients.send_signal(signal.SIGUSR1)
        if soak_round.shutdown_stall is not None:
            self.rig.apply_stall(soak_round.shutdown_stall, sigterm_s)
        self.rig.wait_for_exit(sigterm_s + judge.TERMINATION_GRACE_S)

    def _signal_and_wait(self, signal_number: signal.Signals) -> None:
        """Send one signal and wait for the process to exit."""
        self.rig.runs[-1].sigterm_s = time.time()
        self.rig.process.send_signal(signal_number)
        self.rig.wait_for_exit(time.monotonic() + judge.TERMINATION_GRACE_S)

    def _start_broker(self) -> None:
        """Launch the broker and wait until it accepts viewers.

        Raises:
            ConditionTimeoutError: The broker does not accept viewers within ``READY_TIMEOUT_S``.
        """
        began_s = time.monotonic()
        self.rig.launch(BROKER)
        while not self.rig.accepts_viewers(BROKER):
            if time.monotonic() - began_s > READY_TIMEOUT_S:
                raise ConditionTimeoutError(
                    "the broker is ready", READY_TIMEOUT_S, self.rig.broker_log(BROKER)
                )
            time.sleep(POLL_S)
        self.rig.runs[-1].ready_s = time.time()

    def _measure_resources(self) -> ResourceUsage:
        """Count descriptors without clients, before and after a flood of idle connections."""
        time.sleep(SETTLE_S)
        descriptors_before = self.rig.descriptor_count()
        idle_clients = start_module(
            "lotuspick.lab.soak.silent_crowd",
            str(self.job.port),
            str(int(self.rig.limits["sockets"])),
            stdout=subprocess.PIPE,
        )
        read_line(idle_clients)
        idle_clients.kill()
        idle_clients.wait()
        assert idle_clients.stdout is not None
        idle_clients.stdout.close()
        time.sleep(SETTLE_S)
        return ResourceUsage(descriptors_before, self.rig.descriptor_count(), self.rig.memory_mb())


def _evaluate(runner: ScenarioRunner, usage: ResourceUsage, seed: int) -> TrialResult:
    events = read_records(runner.client_log, ClientEvent)
    node_events = read_records(runner.rig.node_log, NodeEvent)
    runs = runner.rig.runs
    clients = judge.ClientRecord(events, int(runner.rig.limits["sockets"]))
    violations = [
        *judge.unanswered_requests(clients, runs),
        *judge.repeated_answers(clients),
        *judge.repeated_set_ups(clients, node_events),
        *judge.forwarded_after_cancel(clients, node_events),
        *judge.late_releases(clients, node_events),
        *judge.unreleased_sessions(node_events, runs[-1].ended_s),
        *judge.process_failures(runs),
        *judge.leaked_resources(usage.descriptors_before, usage.descriptors_after, usage.memory_mb_after),
    ]
    if violations:
        _report_violations(runner, violations, seed)
    counts = judge.count_by_rule(violations)
    requests = list(clients.requests.values())
    inconclusive = sum(clients.is_inconclusive(request) for request in requests)
    figures = {rule: float(counts.get(rule, 0)) for rule in RULES}
    figures["requests"] = float(len(requests))
    figures["voided"] = 100.0 * inconclusive / max(1, len(requests))
    figures["ready_s"] = max(run.ready_s - run.launched_s for run in runs)
    return TrialResult(figures, {})


def _report_violations(runner: ScenarioRunner, violations: list[judge.Violation], seed: int) -> None:
    """Print the scenario of a seed, the broker processes and the violations."""
    lines = [f"soak seed {seed}: {runner.scenario}"]
    lines += [f"  process {index}: {run}" for index, run in enumerate(runner.rig.runs)]
    lines += [f"  {violation.rule}: {violation.detail}" for violation in violations]
    print("\n".join(lines), file=sys.stderr, flush=True)


def _sleep_until(at_s: float) -> None:
    time.sleep(max(0.0, at_s - time.monotonic()))
