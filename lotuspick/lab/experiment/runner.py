"""Runs all arms of an experiment on the same seeds, in parallel unless the experiment measures time."""

from __future__ import annotations

from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from typing import Any, NamedTuple

from lotuspick.lab.experiment.evaluation import Rows
from lotuspick.lab.experiment.experiment_file import Experiment
from lotuspick.lab.experiment.trials import TRIALS
from lotuspick.lab.trial_result import Samples, TrialResult


class TrialJob(NamedTuple):
    """One arm on one seed."""

    trial: str
    world: dict[str, Any]
    arm: dict[str, Any]
    seed: int


@dataclass(frozen=True, slots=True)
class ExperimentRun:
    """Figures and samples of all runs of an experiment."""

    seeds: Sequence[int]
    rows: Rows
    samples: dict[str, Samples]
    """By arm: samples by name, pooled over the seeds."""


def run_trial(job: TrialJob) -> TrialResult:
    """Run one arm on one seed."""
    return TRIALS[job.trial](job.world, job.arm, job.seed)


def run_experiment(experiment: Experiment, seeds: Sequence[int], processes: int = 8) -> ExperimentRun:
    """Run all arms on all seeds."""
    jobs = [
        TrialJob(experiment.trial, dict(experiment.world), dict(arm), seed)
        for arm in experiment.arms.values()
        for seed in seeds
    ]
    if processes > 1 and not experiment.alone:
        with ProcessPoolExecutor(processes) as pool:
            results = list(pool.map(run_trial, jobs))
    else:
        results = [run_trial(job) for job in jobs]
    rows: Rows = {}
    samples: dict[str, Samples] = {}
    for index, arm in enumerate(experiment.arms):
        arm_results = results[index * len(seeds) : (index + 1) * len(seeds)]
        rows[arm] = [result.figures for result in arm_results]
        samples[arm] = _pool_samples(arm_results)
    return ExperimentRun(seeds, rows, samples)


def _pool_samples(results: Sequence[TrialResult]) -> Samples:
    pooled: Samples = {}
    for result in results:
        for name, values in result.samples.items():
            pooled.setdefault(name, []).extend(values)
    return pooled
