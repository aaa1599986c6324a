"""Trials of real brokers with membership enabled.

The trials cover a random fault scenario under load, two processes with the same name, the processor time of
membership, and its effect on latency.
"""

from __future__ import annotations

import random
import statistics
import sys
import tempfile
import time
from collections.abc import Collection, Sequence
from enum import StrEnum
from pathlib import Path

from lotuspick.lab.errors import ConditionTimeoutError
from lotuspick.lab.fleet.fleet_rig import HEALTHY, FleetRig
from lotuspick.lab.fleet.set_up_result import SetUpResult
from lotuspick.lab.net.fault_scenario import Fault, FaultKind, draw_scenario, recovery_faults, to_toml
from lotuspick.lab.processes import processor_time_s
from lotuspick.lab.trial_result import Figures, Parameters, TrialResult

NEVER_S = 60.0
"""Reported in place of a time if the condition did not occur."""
NODES, COST_TRIAL_NODES = 6, 3
FLEET_REJECTION = "fleet-"
"""Prefix of the reason of rejections by the quorum state."""
DISPLACED = "displaced"
"""Quorum state of a broker whose name another process has taken."""
SET_UPS_AFTER_TAKEOVER = 200


class TrialKind(StrEnum):
    """Kind of a trial. The values are those of the key ``kind``."""

    SCENARIO = "story"
    NAME_CONFLICT = "names"
    COST = "cost"
    SERVING = "serving"


def fleet(world: Parameters, arm: Parameters, seed: int) -> TrialResult:
    """Run one trial.

    Args:
        world: Parameters of all arms.
        arm: Parameters of this arm. ``kind`` is ``story`` (``brokers`` under faults for ``seconds``),
            ``names`` (two brokers with the same name), ``cost`` (processor time of ``brokers`` without
            load) or ``serving`` (the same load on brokers with and without membership, concurrently).
        seed: Random seed of the trial.

    Returns:
        Times in seconds, shares in percent.
    """
    parameters = {**world, **arm}
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        match parameters["kind"]:
            case TrialKind.SCENARIO:
                return _run_scenario_trial(folder, parameters, seed)
            case TrialKind.NAME_CONFLICT:
                return _run_name_conflict_trial(folder, parameters, seed)
            case TrialKind.COST:
                return _run_cost_trial(folder, parameters, seed)
            case _:
                return _run_serving_trial(folder, parameters, seed)


def summarize(results: Sequence[SetUpResult], disturbed: Collection[int]) -> Figures:
    """Count the results by outcome.

    Args:
        results: Results of all set-ups.
        disturbed: Brokers whose process was stalled or killed.

    Returns:
        The number of set-ups with no answer or several answers on an open connection, the share of plain ones
        that undisturbed brokers did not serve, and the rejections by the quorum state.
    """
    paid = [result for result in results if result.is_paid]
    plain = [result for result in results if not result.is_paid]
    plain_undisturbed = [result for result in plain if result.broker not in disturbed]
    plain_lost = sum(not result.is_served for result in plain_undisturbed)
    paid_rejected = sum(result.reason.startswith(FLEET_REJECTION) for result in paid)
    return {
        "calls": float(len(results)),
        "not_one_outcome": float(sum(_has_wrong_outcome(result, disturbed) for result in results)),
        "plain_lost": 100 * plain_lost / max(1, len(plain_undisturbed)),
        "paid_turned_away": 100 * paid_rejected / max(1, len(paid)),
        "plain_turned_away": float(sum(result.reason.startswith(FLEET_REJECTION) for result in plain)),
    }


def _has_wrong_outcome(result: SetUpResult, disturbed: Collection[int]) -> bool:
    if result.answer_count > 1:
        return True
    return result.answer_count == 0 and not result.connection_lost and result.broker not in disturbed


def _run_scenario_trial(folder: Path, parameters: Parameters, seed: int) -> TrialResult:
    """Inject all kinds of faults into a fleet, then recover it and wait until all brokers agree."""
    count, seconds = int(parameters["brokers"]), float(parameters["seconds"])
    scenario = draw_scenario(random.Random(f"story {seed}"), count, seconds)
    rig = FleetRig(folder, count, NODES, seed)
    try:
        rig.wait_for_agreement(range(count))
        rig.start_load(float(parameters["rate"]))
        rig.run_scenario(scenario + recovery_faults(scenario, seconds))
        agreed_s = _agreement_s(rig, scenario)
        results = rig.stop_load()
        crashed = len(rig.crashed_brokers())
    finally:
        rig.close()
    figures = {
        **summarize(results, _disturbed_brokers(scenario)),
        "agree_s": agreed_s,
        "never_agreed": float(agreed_s >= NEVER_S),
        "faults": float(len(scenario)),
        "crashed": float(crashed),
    }
    return TrialResult(figures, {"agree_s": [agreed_s]})


def _agreement_s(rig: FleetRig, scenario: Sequence[Fault]) -> float:
    """Return the seconds until all brokers agree; on a timeout, print the scenario on standard error."""
    began_s = time.monotonic()
    try:
        rig.wait_for_agreement(range(len(rig.brokers)))
    except ConditionTimeoutError as error:
        print(f"seed {rig.seed}: {error}\n{to_toml(scenario)}", file=sys.stderr)
        return NEVER_S
    return time.monotonic() - began_s


def _disturbed_brokers(scenario: Sequence[Fault]) -> set[int]:
    """Return the brokers whose process is stalled or killed in a scenario."""
    process_faults = [fault for fault in scenario if fault.kind in (FaultKind.STALL, FaultKind.KILL)]
    return {broker for fault in process_faults for broker in fault.brokers}


def _run_name_conflict_trial(folder: Path, parameters: Parameters, seed: int) -> TrialResult:
    """Start a broker with the name of a running one, optionally with the links between the two cut.

    The measure is the time in which both served paid set-ups: from the new broker's first answer to the other
    broker's last one, at the viewers.
    """
    new_broker = int(parameters["brokers"])
    other = 1
    rig = FleetRig(
        folder, new_broker + 1, NODES, seed, name_overrides={new_broker: f"n{other}"}, late_brokers=1
    )
    try:
        rig.wait_for_agreement(range(new_broker))
        rig.start_load(float(parameters["rate"]), paid=0.8)
        if parameters.get("cut"):
            rig.inject(Fault(0.0, FaultKind.CUT, (new_broker,), (other,)))
        rig.launch(new_broker)
        rig.wait_for_quorum_state([other], DISPLACED)
        rig.wait_for_quorum_state([new_broker], HEALTHY)
        set_ups = len(rig.node_set_ups())
        rig.wait_until(lambda: len(rig.node_set_ups()) > set_ups + SET_UPS_AFTER_TAKEOVER, "set-ups run")
        results = rig.stop_load()
        crashed = len(rig.crashed_brokers())
    finally:
        rig.close()
    other_last_s = max(_paid_answers_s(results, other))
    overlap_s = max(0.0, other_last_s - min(_paid_answers_s(results, new_broker)))
    figures = {**summarize(results, {new_broker}), "both_s": overlap_s, "crashed": float(crashed)}
    return TrialResult(figures, {"both_s": [overlap_s]})


def _paid_answers_s(results: Sequence[SetUpResult], broker: int) -> list[float]:
    """Return the times at which viewers of a broker received answers to served paid set-ups."""
    return [
        result.answered_s
        for result in results
        if result.broker == broker and result.is_paid and result.is_served
    ]


def _run_cost_trial(folder: Path, parameters: Parameters, seed: int) -> TrialResult:
    """Measure the processor time of each broker without load or faults, as a percentage of a core."""
    count, peers_enabled = int(parameters["brokers"]), bool(parameters["peers"])
    rig = FleetRig(folder, count, COST_TRIAL_NODES, seed, proxied=False, peers_enabled=peers_enabled)
    try:
        if peers_enabled:
            rig.wait_for_agreement(range(count))
        time.sleep(float(parameters["settle"]))  # until the gossip about joining has been disseminated
        before_s = _processor_times_s(rig)
        began_s = time.monotonic()
        time.sleep(float(parameters["seconds"]))
        elapsed_s = time.monotonic() - began_s
        after_s = _processor_times_s(rig)
    finally:
        rig.close()
    core_percent = [100 * (after - before) / elapsed_s for before, after in zip(before_s, after_s)]
    return TrialResult(
        {"core": statistics.fmean(core_percent), "core_most": max(core_percent)}, {"core": core_percent}
    )


def _processor_times_s(rig: FleetRig) -> list[float]:
    return [processor_time_s(process.pid) for process in rig.brokers.values()]


def _run_serving_trial(folder: Path, parameters: Parameters, seed: int) -> TrialResult:
    """Measure the ratio of latencies (median and 99th percentile) with and without peers."""
    count = int(parameters["brokers"])
    rigs: dict[bool, FleetRig] = {}
    latency_ms: dict[bool, list[float]] = {}
    try:
        for peers_enabled in (False, True):
            rig_folder = folder / f"peers-{peers_enabled}"
            rig_folder.mkdir()
            rigs[peers_enabled] = FleetRig(
                rig_folder, count, NODES, seed, proxied=False, peers_enabled=peers_enabled
            )
        rigs[True].wait_for_agreement(range(count))
        for rig in rigs.values():
            rig.start_load(float(parameters["rate"]), paid=0.5)
        time.sleep(float(parameters["seconds"]))
        for peers_enabled, rig in rigs.items():
            latency_ms[peers_enabled] = [result.latency_ms for result in rig.stop_load() if result.is_served]
    finally:
        for rig in rigs.values():
            rig.close()
    figures = _latency_figures("off", latency_ms[False]) | _latency_figures("on", latency_ms[True])
    ratios = {
        "median_ratio": figures["median_on_ms"] / figures["median_off_ms"],
        "p99_ratio": figures["p99_on_ms"] / figures["p99_off_ms"],
    }
    return TrialResult(figures | ratios, {})


def _latency_figures(name: str, latency_ms: list[float]) -> Figures:
    percentiles = statistics.quantiles(latency_ms, n=100)
    return {
        f"median_{name}_ms": percentiles[49],
        f"p99_{name}_ms": percentiles[98],
        f"calls_{name}": float(len(latency_ms)),
    }
