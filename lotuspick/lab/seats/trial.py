"""Trial of seats under faults.

It starts media nodes, brokers and viewers, kills brokers and steps their clocks during the run, then settles
and audits the brokers' ledgers.
"""

from __future__ import annotations

import json
import os
import random
import subprocess
import tempfile
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from lotuspick.lab.errors import ProcessFailedError
from lotuspick.lab.processes import processor_time_s
from lotuspick.lab.seats.audit import audit
from lotuspick.lab.seats.seats_rig import SeatsParameters, SeatsRig
from lotuspick.lab.seats.settlement import settle_in_both_orders
from lotuspick.lab.seats.viewers import SEAT_INDETERMINATE, SessionEnd, ViewerReport, ViewersJob
from lotuspick.lab.trial_result import Figures, Parameters, TrialResult

KEEP_FOLDER_VARIABLE = "LOTUSPICK_KEEP"
"""Environment variable that names a folder for logs and events."""
CLOCK_OFFSETS_S = (-30.0, 3_600.0, 0.0)
"""Successive offsets of the brokers' clocks, spread evenly over the run."""
CONNECTIONS = 8
POLL_S = 0.2
RESTART_DELAY_S = (0.2, 1.0)
KILL_INTERVAL_SPREAD = (0.7, 1.3)
SAMPLE_LIMIT = 5_000


def seats(world: Parameters, arm: Parameters, seed: int) -> TrialResult:
    """Run one trial with the parameters of :class:`SeatsParameters`.

    If ``LOTUSPICK_KEEP`` names a folder, the brokers' logs and the viewers' events are saved there.

    Returns:
        Counts of seats and viewers' events, and the sample ``took_ms``: milliseconds until first served.
    """
    parameters = SeatsParameters.from_mapping({**world, **arm})
    with tempfile.TemporaryDirectory() as name:
        rig = SeatsRig(Path(name), parameters, seed)
        try:
            return _run(rig, parameters, seed)
        finally:
            rig.close()


def _run(rig: SeatsRig, parameters: SeatsParameters, seed: int) -> TrialResult:
    processor_before_s = _processor_time_s(rig)
    began_s = time.monotonic()
    viewers = _start_viewers(rig, parameters, seed)
    fault_injector = FaultInjector(rig, parameters, random.Random(f"faults {seed}"), began_s)
    while any(process.poll() is None for process in viewers):
        time.sleep(POLL_S)
        fault_injector.inject_due_faults()
    run_duration_s = time.monotonic() - began_s
    if any(process.returncode for process in viewers):
        raise ProcessFailedError("viewers")
    processor_s = _processor_time_s(rig) - processor_before_s  # meaningless if brokers were killed
    rig.close()  # brokers flush pending writes, nodes flush their log
    viewer_totals = ViewerTotals.read(
        [_viewer_log(rig, process_index) for process_index in range(parameters.clients)]
    )
    figures: Figures = {
        **viewer_totals.viewer_counts(),
        "kills": fault_injector.kills,
        "clock_steps": fault_injector.clock_steps,
        "seconds": run_duration_s,
        **viewer_totals.event_counts(),
        **(_audit_figures(rig, parameters) if parameters.seats else {}),
    }
    _save_logs(rig, viewer_totals, figures)
    samples = viewer_totals.time_to_first_serve_ms[
        :: max(1, len(viewer_totals.time_to_first_serve_ms) // SAMPLE_LIMIT)
    ]
    return TrialResult({**figures, "cpu_s": processor_s}, {"took_ms": samples})


def _processor_time_s(rig: SeatsRig) -> float:
    return sum(processor_time_s(process.pid) for process in rig.brokers.values())


def _viewer_log(rig: SeatsRig, process_index: int) -> Path:
    return rig.folder / f"viewers{process_index}.log"


def _start_viewers(rig: SeatsRig, parameters: SeatsParameters, seed: int) -> list[subprocess.Popen[str]]:
    processes = []
    for process_index in range(parameters.clients):
        job = ViewersJob(
            process_index=process_index,
            seed=seed,
            sessions=parameters.sessions // parameters.clients,
            rate=parameters.rate / parameters.clients,
            brokers=rig.viewer_ports,
            nodes=parameters.nodes,
            keys=str(rig.key_folder),
            http=parameters.http,
            connections=CONNECTIONS,
            log=str(_viewer_log(rig, process_index)),
        )
        job_file = rig.folder / f"job{process_index}.json"
        job_file.write_bytes(msgspec.json.encode(job))
        processes.append(rig.start_process("lotuspick.lab.seats.viewers", str(job_file)))
    return processes


class FaultInjector:
    """Kills brokers at random times and steps all clocks at regular times while viewers arrive."""

    def __init__(
        self, rig: SeatsRig, parameters: SeatsParameters, random_source: random.Random, began_s: float
    ) -> None:
        self.kills = 0
        self.clock_steps = 0
        self._rig = rig
        self._parameters = parameters
        self._random = random_source
        self._began_s = began_s
        self._next_kill_s = parameters.kill_s or float("inf")
        self._clock_offsets_s = CLOCK_OFFSETS_S if parameters.clocks else ()

    def inject_due_faults(self) -> None:
        """Inject the faults that are due."""
        elapsed_s = self._elapsed_s()
        if self._next_kill_s < elapsed_s < self._parameters.duration_s:
            self._restart_random_broker()
        if self.clock_steps < len(self._clock_offsets_s):
            due_share = (self.clock_steps + 1) / (len(self._clock_offsets_s) + 1)
            if elapsed_s > self._parameters.duration_s * due_share:
                self._step_clocks()

    def _elapsed_s(self) -> float:
        return time.monotonic() - self._began_s

    def _restart_random_broker(self) -> None:
        broker = self._random.randrange(self._parameters.brokers)
        self._rig.kill(broker)
        time.sleep(self._random.uniform(*RESTART_DELAY_S))
        self._rig.start(broker)
        self.kills += 1
        interval_s = self._parameters.kill_s * self._random.uniform(*KILL_INTERVAL_SPREAD)
        self._next_kill_s = self._elapsed_s() + interval_s

    def _step_clocks(self) -> None:
        for broker in range(self._parameters.brokers):
            self._rig.set_clock_offset(broker, self._clock_offsets_s[self.clock_steps])
        self.clock_steps += 1


@dataclass(slots=True)
class ViewerTotals:
    """Totals over all viewers."""

    viewers: int = 0
    events: Counter[str] = field(default_factory=Counter)
    never_served: Counter[str] = field(default_factory=Counter)
    """Number of viewers that were never served, by their most frequent event."""
    time_to_first_serve_ms: list[float] = field(default_factory=list)
    """Time to first serve of each served viewer."""

    @classmethod
    def read(cls, logs: list[Path]) -> ViewerTotals:
        """Read the viewers' logs."""
        totals = cls()
        for log in logs:
            for line in log.read_text().splitlines():
                totals.add(ViewerReport.parse(line))
        return totals

    def add(self, report: ViewerReport) -> None:
        """Count one viewer."""
        self.viewers += 1
        self.events += report.events
        if not report.times_served:
            events = report.events
            self.never_served[max(events, key=lambda name: events[name], default="nothing")] += 1
        elif report.time_to_first_serve_ms >= 0:
            self.time_to_first_serve_ms.append(report.time_to_first_serve_ms)

    def viewer_counts(self) -> Figures:
        """Return the numbers of viewers, served viewers and viewers never served."""
        never_served = self.never_served.total()
        return {
            "viewers": self.viewers,
            "served": self.viewers - never_served,
            "never_served": never_served,
        }

    def event_counts(self) -> Figures:
        """Return counts of viewers' events.

        ``refused_good`` excludes replays, which the broker is expected to reject.
        """
        return {
            "refused_good": self._count_prefix("token-"),
            "waits": self.events[SEAT_INDETERMINATE],
            "in_use": self.events["seat-in-use"],
            "failed": self.events["Internal-Server-Error"],
            "cut": self.events[SessionEnd.INTERRUPTED],
            "lost": self.events["lost"],
            "renewed": self.events["renewed"],
            "replays": self._count_prefix("replay-"),
            "replays_served": self.events["replay-200"],
        }

    def _count_prefix(self, prefix: str) -> int:
        return sum(count for name, count in self.events.items() if name.startswith(prefix))


def _audit_figures(rig: SeatsRig, parameters: SeatsParameters) -> Figures:
    """Settle and audit the ledgers."""
    stores = {f"n{broker}": rig.ledger_store(broker) for broker in range(parameters.brokers)}
    settlement = settle_in_both_orders(rig.folder, stores)
    with rig.node_log.open() as node_log:
        findings = audit(node_log, settlement.counted, settlement.indeterminate)
    return {
        "ran": findings.seats_run,
        "set_ups": findings.set_ups,
        "double_counts": len(findings.double_counts),
        "phantom_counts": len(findings.phantom_counts),
        "missed_counts": len(findings.missed_counts),
        "in_doubt": findings.indeterminate,
        "at_once": findings.concurrent,
        "conflicts": len(settlement.conflicts),
    }


def _save_logs(rig: SeatsRig, viewer_totals: ViewerTotals, figures: Figures) -> None:
    """Save logs and events in the folder named by the environment, if any."""
    name = os.environ.get(KEEP_FOLDER_VARIABLE)
    if not name:
        return
    folder = Path(name)
    folder.mkdir(parents=True, exist_ok=True)
    summary = {"met": viewer_totals.events, "never": viewer_totals.never_served, "row": figures}
    (folder / "met.json").write_text(json.dumps(summary, indent=1) + "\n")
    for log in rig.folder.glob("b*.log"):
        (folder / log.name).write_text(log.read_text())
