"""Trials of the membership on the simulated network: failure detection, loss, and fault scenarios."""

from __future__ import annotations

import statistics
import sys
from enum import StrEnum

from lotuspick.lab.net.fault_scenario import draw_scenario, recovery_faults, to_toml
from lotuspick.lab.net.simulated_fleet import SECOND_US, MeteredFleet, SimulatedFleet
from lotuspick.lab.net.simulated_network import MS_US, NetworkConditions
from lotuspick.lab.trial_result import Parameters, TrialResult
from lotuspick.membership.model import Changed, Displaced, State

NEVER_S = 60.0
"""Reported in place of a time if the event did not occur."""
CONVERGENCE_LIMIT_S = 5.0
"""Maximum time between the last fault and agreement of all views."""
EQUAL_CLOCKS = (1.0,)
DRIFTING_CLOCKS = (1.0, 1.0, 0.95, 1.05)
QUIET_S, DETECTION_S = 3, 6
STALL_PROBABILITY = 0.3
STALL_US = (50 * MS_US, 999 * MS_US)
LOSS_TRIAL_DUPLICATION = 0.02
SCENARIO_DUPLICATIONS = (0.0, 0.1, 0.2)
SECONDS_PER_HOUR = 3_600


class TrialKind(StrEnum):
    """Kind of a trial. The values are those of the key ``kind``."""

    DEATH = "death"
    LOSS = "loss"
    SCENARIO = "faults"


def membership(world: Parameters, arm: Parameters, seed: int) -> TrialResult:
    """Run one trial.

    Args:
        world: Parameters of all arms.
        arm: Parameters of this arm. ``kind`` is ``death`` (kill one of ``brokers`` and measure the detection
            time at the others), ``loss`` (lose a share of messages for ``seconds``, with stalls shorter than
            a second, and count live members that were declared dead) or ``faults`` (inject all kinds of
            faults for ``seconds`` and measure the time from the last fault to agreement). ``brokers`` and
            ``seconds`` are numbers, or names of numeric parameters of the world.
        seed: Random seed of the simulation.
    """
    parameters = {**world, **arm}
    kind = parameters["kind"]
    count = _number(parameters, "brokers")
    clock_rates = DRIFTING_CLOCKS if kind == TrialKind.SCENARIO else EQUAL_CLOCKS
    fleet = (MeteredFleet if kind == TrialKind.DEATH else SimulatedFleet)(
        count, seed, clock_rates=clock_rates
    )
    joined_s = fleet.converge_s()
    fleet.run(SECOND_US)
    fleet.sent_count = 0
    fleet.notifications.clear()
    match kind:
        case TrialKind.DEATH:
            assert isinstance(fleet, MeteredFleet)
            fleet.sent_bytes = 0
            return _run_death_trial(fleet, joined_s)
        case TrialKind.LOSS:
            return _run_loss_trial(fleet, float(parameters["loss"]), _number(parameters, "seconds"))
        case _:
            return _run_scenario_trial(fleet, int(parameters["seconds"]))


def _number(parameters: Parameters, key: str) -> int:
    """Return a parameter that is a number, or the name of a numeric parameter."""
    value = parameters[key]
    return int(parameters.get(value, value))


def _run_death_trial(fleet: MeteredFleet, joined_s: float) -> TrialResult:
    """Count messages over an interval without faults, then kill one member."""
    count = len(fleet.names)
    fleet.run(QUIET_S * SECOND_US)
    messages = fleet.sent_count / QUIET_S / count
    sent_bytes = fleet.sent_bytes / QUIET_S / count
    victim = fleet.random.randrange(count)
    fleet.crash(fleet.names[victim])
    killed_s = fleet.now_us / SECOND_US
    fleet.run(DETECTION_S * SECOND_US)
    detection_s = [at_s - killed_s for at_s, _ in fleet.deaths(f"b{victim}")]
    all_detected = len(detection_s) == count - 1
    figures = {
        "joined_s": joined_s,
        "messages": messages,
        "bytes": sent_bytes,
        "known_s": statistics.median(detection_s) if detection_s else NEVER_S,
        "worst_s": max(detection_s) if all_detected else NEVER_S,
        "wrong": float(len(fleet.deaths()) - len(detection_s)),
    }
    return TrialResult(figures, {"known_s": detection_s})


def _run_loss_trial(fleet: SimulatedFleet, loss: float, seconds: int) -> TrialResult:
    """Run with losses and stalls, without crashes.

    A member that was declared dead counts once, even if several members declared it dead.
    """
    fleet.conditions.loss = loss
    fleet.conditions.duplication = LOSS_TRIAL_DUPLICATION
    for _ in range(seconds):
        if fleet.random.random() < STALL_PROBABILITY:
            fleet.stall(fleet.random.choice(fleet.names), fleet.random.randrange(*STALL_US))
        fleet.run(SECOND_US)
    dead = {
        (change.record.process, change.record.refutation)
        for _, change in fleet.notifications_of(Changed)
        if change.record.state is State.DEAD
    }
    refuted = sum(host.machine.detector.false_suspicions for host in fleet.hosts.values())
    figures = {
        "hours": seconds * len(fleet.names) / SECONDS_PER_HOUR,
        "deaths": float(len(dead)),
        "refuted": float(refuted),
    }
    return TrialResult(figures, {})


def _run_scenario_trial(fleet: SimulatedFleet, seconds: int) -> TrialResult:
    """Run a random scenario with drifting clocks and duplicated messages, until all views agree.

    If the views do not agree in time, the scenario is printed on standard error.
    """
    fleet.conditions.duplication = fleet.random.choice(SCENARIO_DUPLICATIONS)
    scenario = draw_scenario(fleet.random, len(fleet.names), seconds)
    fleet.run_scenario(scenario + recovery_faults(scenario, seconds))
    fleet.conditions = NetworkConditions()
    convergence_s = fleet.converge_s()
    if convergence_s > CONVERGENCE_LIMIT_S:
        print(to_toml(scenario), file=sys.stderr)
    displaced = len(fleet.notifications_of(Displaced))
    figures = {"agree_s": min(convergence_s, NEVER_S), "displaced": float(displaced)}
    return TrialResult(figures, {"agree_s": [convergence_s]})
