"""Plays an experiment: all arms on the same seeds, in parallel, paired; writes a table, a chart and a verdict."""

from __future__ import annotations

import csv
import json
import math
import statistics
import subprocess
from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from scipy import stats

from lotuspick.lab.experiment import trials
from lotuspick.lab.experiment.model import Experiment, Measure

Row = dict[str, float]
RESULTS = Path("docs/results")


@dataclass(frozen=True, slots=True)
class Figure:
    """A measure as found."""

    measure: Measure
    mean: float
    low: float
    high: float
    """The ends of the 95% interval of the mean, by Student's t over seeds; of a total, the total itself."""

    @property
    def holds(self) -> bool:
        return self.high <= self.measure.most and self.low >= self.measure.least

    @property
    def bound(self) -> str:
        most, least = self.measure.most, self.measure.least
        return f"at most {most:g}" if most < math.inf else f"at least {least:g}" if least > -math.inf else ""


def trial(job: tuple[str, dict[str, Any], dict[str, Any], int]) -> tuple[Row, dict[str, list[float]]]:
    """One arm on one seed: its figures, and samples that are put together over seeds."""
    name, world, arm, seed = job
    return trials.TRIALS[name](world, arm, seed)


def play(
    experiment: Experiment, seeds: Sequence[int], processes: int = 8
) -> tuple[dict[str, list[Row]], dict[str, dict[str, list[float]]]]:
    """All arms on all seeds: the rows of each arm in the order of seeds, and the samples of each."""
    jobs = [
        (experiment.trial, dict(experiment.world), dict(arm), seed)
        for arm in experiment.arms.values()
        for seed in seeds
    ]
    if processes > 1 and not experiment.alone:
        with ProcessPoolExecutor(processes) as pool:
            found = list(pool.map(trial, jobs))
    else:
        found = [trial(job) for job in jobs]
    rows: dict[str, list[Row]] = {}
    samples: dict[str, dict[str, list[float]]] = {}
    for at, arm in enumerate(experiment.arms):
        part = found[at * len(seeds) : (at + 1) * len(seeds)]
        rows[arm] = [row for row, _ in part]
        samples[arm] = {}
        for _, more in part:
            for key, values in more.items():
                samples[arm].setdefault(key, []).extend(values)
    return rows, samples


def weigh(experiment: Experiment, rows: dict[str, list[Row]]) -> list[Figure]:
    """Every measure of the experiment."""
    figures = []
    for measure in experiment.measures:
        values = [row[measure.value] for row in rows[measure.arm]]
        if measure.minus:
            values = [one - row[measure.value] for one, row in zip(values, rows[measure.minus])]
        values = [value * measure.times for value in values]
        if measure.total:
            total = sum(values)
            figures.append(Figure(measure, total, total, total))
            continue
        mean = statistics.fmean(values)
        half = 0.0
        if len(values) > 1 and statistics.stdev(values) > 0:
            half = (
                float(stats.t.ppf(0.975, len(values) - 1)) * statistics.stdev(values) / math.sqrt(len(values))
            )
        figures.append(Figure(measure, mean, mean - half, mean + half))
    return figures


def verdict(experiment: Experiment, figures: Sequence[Figure], seeds: Sequence[int]) -> tuple[bool, str]:
    """Whether all bounds hold, and the one line that says so."""
    holds = all(figure.holds for figure in figures)
    pairs = " ".join(
        f"{figure.measure.name}={figure.mean:.3g}"
        if figure.measure.total
        else f"{figure.measure.name}={figure.mean:.2f}[{figure.low:.2f},{figure.high:.2f}]"
        for figure in figures
    )
    return (
        holds,
        f"{experiment.name}: {'holds' if holds else 'falls short'} {pairs} seeds={seeds[0]}-{seeds[-1]}",
    )


def write(
    experiment: Experiment,
    seeds: Sequence[int],
    rows: dict[str, list[Row]],
    samples: dict[str, dict[str, list[float]]],
    figures: Sequence[Figure],
    line: str,
    command: str,
    folder: Path = RESULTS,
) -> Path:
    """Write ``table.csv`` (a row a run), ``measures.csv``, ``chart.png`` and ``README.md`` in a folder of its own."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    there = folder / experiment.name
    there.mkdir(parents=True, exist_ok=True)
    with (there / "table.csv").open("w", newline="", encoding="utf-8") as sink:
        keys = list(dict.fromkeys(key for listed in rows.values() for key in listed[0]))
        table = csv.writer(sink)
        table.writerow(["arm", "seed", *keys])
        for arm, listed in rows.items():
            for seed, row in zip(seeds, listed):
                table.writerow([arm, seed, *(f"{row[key]:.6g}" if key in row else "" for key in keys)])
    with (there / "measures.csv").open("w", newline="", encoding="utf-8") as sink:
        table = csv.writer(sink)
        table.writerow(["measure", "mean", "low", "high", "bound", "holds"])
        for figure in figures:
            table.writerow(
                [
                    figure.measure.name,
                    f"{figure.mean:.4f}",
                    f"{figure.low:.4f}",
                    f"{figure.high:.4f}",
                    figure.bound,
                    "yes" if figure.holds else "no",
                ]
            )
    if any(samples.values()):
        (there / "samples.json").write_text(
            json.dumps(
                {
                    arm: {key: sorted(round(value, 3) for value in values) for key, values in more.items()}
                    for arm, more in samples.items()
                }
            )
            + "\n",
            encoding="utf-8",
        )
    shown = [figure for figure in figures if not figure.measure.total]
    distributions = [
        (arm, key, values) for arm, more in samples.items() for key, values in more.items() if values
    ]
    count = bool(shown) + len(distributions)
    drawing, axes = pyplot.subplots(1, max(1, count), figsize=(6.5 * max(1, count), 4.2), squeeze=False)
    if shown:
        axis = axes[0][0]
        places = range(len(shown))
        ends = [[each.mean - each.low for each in shown], [each.high - each.mean for each in shown]]
        axis.barh(places, [each.mean for each in shown], xerr=ends, color="#6f94b8")
        for place, figure in zip(places, shown):
            for bound in (figure.measure.most, figure.measure.least):
                if math.isfinite(bound):
                    axis.plot([bound, bound], [place - 0.4, place + 0.4], color="#b03030")
        axis.set_yticks(list(places), [figure.measure.name for figure in shown])
        axis.invert_yaxis()
        axis.axvline(0, color="black", linewidth=0.6)
        axis.set_title("mean and 95% interval; red: bound")
    for at, (arm, key, values) in enumerate(distributions, bool(shown)):
        axis = axes[0][at]
        axis.ecdf(values, color="#6f94b8")
        axis.set_title(f"{arm}: {key}, {len(values)} samples")
        axis.set_ylabel("part at or below")
    drawing.tight_layout()
    drawing.savefig(there / "chart.png", dpi=110, metadata={"Software": None})
    pyplot.close(drawing)
    (there / "README.md").write_text(
        "\n".join(
            [
                f"# {experiment.name}",
                "",
                experiment.about,
                "",
                f"    {line}",
                "",
                f"Command: `{command}`, commit `{commit()}`, seeds {seeds[0]} to {seeds[-1]}. "
                "`table.csv` has a row a run.",
                "",
                "| measure | mean | 95% interval | bound | holds |",
                "| --- | --- | --- | --- | --- |",
                *(
                    f"| {figure.measure.name} | {figure.mean:.3f} | "
                    f"{'total' if figure.measure.total else f'{figure.low:.3f} to {figure.high:.3f}'} | "
                    f"{figure.bound} | "
                    f"{'yes' if figure.holds else 'NO'} |"
                    for figure in figures
                ),
                *(
                    [
                        "",
                        *(
                            f"{arm}, {key}: {len(values)} samples, median {statistics.median(values):.2f}, "
                            f"p90 {quantile(values, 0.9):.2f}, most {max(values):.2f}."
                            for arm, key, values in distributions
                        ),
                    ]
                ),
                "",
                "![chart](chart.png)",
                "",
            ]
        ),
        encoding="utf-8",
    )
    return there


def quantile(values: Sequence[float], at: float) -> float:
    """The value that a part of the sample lies at or below."""
    return float(stats.scoreatpercentile(values, at * 100))


def commit() -> str:
    """The commit of the sources, with ``+`` where they were changed since."""
    try:
        head = subprocess.run(
            ["git", "rev-parse", "--short", "HEAD"], capture_output=True, text=True, check=True
        )
        changed = subprocess.run(
            ["git", "status", "--porcelain", "lotuspick", "experiments"],
            capture_output=True,
            text=True,
            check=True,
        )
    except (OSError, subprocess.CalledProcessError):
        return "unknown"
    return head.stdout.strip() + ("+" if changed.stdout.strip() else "")
