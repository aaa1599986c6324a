"""Output of an experiment's results: tables, samples, a chart and a page in a folder of its own."""

from __future__ import annotations

import csv
import json
import math
import statistics
import subprocess
from collections.abc import Sequence
from pathlib import Path
from typing import Any, NamedTuple

from lotuspick.lab.experiment.evaluation import MeasuredValue, Verdict, make_verdict, quantile
from lotuspick.lab.experiment.experiment_file import Experiment
from lotuspick.lab.experiment.runner import ExperimentRun
from lotuspick.lab.trial_result import Samples

FOLDER = Path("docs/results")
BAR_COLOUR, BOUND_COLOUR = "#6f94b8", "#b03030"
PANEL_INCHES = (6.5, 4.2)
CHART_DPI = 110
BOUND_HALF_HEIGHT = 0.4
SAMPLE_DIGITS = 3
UNKNOWN_COMMIT = "unknown"


class Distribution(NamedTuple):
    """A sample that is plotted as a distribution."""

    arm: str
    name: str
    values: list[float]


def write(
    experiment: Experiment,
    run: ExperimentRun,
    values: Sequence[MeasuredValue],
    command: str,
    folder: Path = FOLDER,
) -> Path:
    """Write ``table.csv`` (one row per run), ``measures.csv``, ``chart.png`` and ``README.md``.

    ``samples.json`` is written too if there are samples.

    Args:
        experiment: The experiment.
        run: Its figures and samples.
        values: The values of its measures.
        command: Command that repeats the run.
        folder: Parent folder of the results.

    Returns:
        The folder with the files.
    """
    target = folder / experiment.name
    target.mkdir(parents=True, exist_ok=True)
    _write_table(target / "table.csv", run)
    _write_measures(target / "measures.csv", values)
    if any(run.samples.values()):
        _write_samples(target / "samples.json", run.samples)
    distributions = [
        Distribution(arm, name, sample)
        for arm, samples in run.samples.items()
        for name, sample in samples.items()
        if sample
    ]
    _draw_chart(target / "chart.png", values, distributions)
    verdict = make_verdict(experiment, values, run.seeds)
    page = _page_lines(experiment, run, values, verdict, distributions, command)
    (target / "README.md").write_text("\n".join(page), encoding="utf-8")
    return target


# ---- tables -----------------------------------------------------------------------------------------------


def _write_table(path: Path, run: ExperimentRun) -> None:
    names = list(dict.fromkeys(name for rows in run.rows.values() for name in rows[0]))
    with path.open("w", newline="", encoding="utf-8") as sink:
        table = csv.writer(sink)
        table.writerow(["arm", "seed", *names])
        for arm, rows in run.rows.items():
            for seed, figures in zip(run.seeds, rows):
                cells = (f"{figures[name]:.6g}" if name in figures else "" for name in names)
                table.writerow([arm, seed, *cells])


def _write_measures(path: Path, values: Sequence[MeasuredValue]) -> None:
    with path.open("w", newline="", encoding="utf-8") as sink:
        table = csv.writer(sink)
        table.writerow(["measure", "mean", "low", "high", "bound", "holds"])
        for value in values:
            figures = (f"{figure:.4f}" for figure in (value.mean, value.low, value.high))
            table.writerow([value.measure.name, *figures, value.bound, "yes" if value.holds else "no"])


def _write_samples(path: Path, samples: dict[str, Samples]) -> None:
    rounded = {
        arm: {name: sorted(round(value, SAMPLE_DIGITS) for value in sample) for name, sample in named.items()}
        for arm, named in samples.items()
    }
    path.write_text(json.dumps(rounded) + "\n", encoding="utf-8")


# ---- the chart --------------------------------------------------------------------------------------------


def _draw_chart(path: Path, values: Sequence[MeasuredValue], distributions: Sequence[Distribution]) -> None:
    """Draw a panel with all means, and one for each distribution."""
    import matplotlib  # imported here because it is slow to load

    matplotlib.use("Agg")
    from matplotlib import pyplot

    means = [value for value in values if not value.measure.total]
    panels = max(1, bool(means) + len(distributions))
    size = (PANEL_INCHES[0] * panels, PANEL_INCHES[1])
    drawing, axes = pyplot.subplots(1, panels, figsize=size, squeeze=False)
    if means:
        _draw_means(axes[0][0], means)
    for panel, distribution in enumerate(distributions, bool(means)):
        _draw_distribution(axes[0][panel], distribution)
    drawing.tight_layout()
    drawing.savefig(path, dpi=CHART_DPI, metadata={"Software": None})
    pyplot.close(drawing)


def _draw_means(axis: Any, means: Sequence[MeasuredValue]) -> None:
    positions = range(len(means))
    errors = [[value.mean - value.low for value in means], [value.high - value.mean for value in means]]
    axis.barh(positions, [value.mean for value in means], xerr=errors, color=BAR_COLOUR)
    for position, value in zip(positions, means):
        for bound in (value.measure.most, value.measure.least):
            if math.isfinite(bound):
                ends = [position - BOUND_HALF_HEIGHT, position + BOUND_HALF_HEIGHT]
                axis.plot([bound, bound], ends, color=BOUND_COLOUR)
    axis.set_yticks(list(positions), [value.measure.name for value in means])
    axis.invert_yaxis()
    axis.axvline(0, color="black", linewidth=0.6)
    axis.set_title("mean and 95% interval; red: bound")


def _draw_distribution(axis: Any, distribution: Distribution) -> None:
    axis.ecdf(distribution.values, color=BAR_COLOUR)
    axis.set_title(f"{distribution.arm}: {distribution.name}, {len(distribution.values)} samples")
    axis.set_ylabel("fraction at or below")


# ---- the page ---------------------------------------------------------------------------------------------


def _page_lines(
    experiment: Experiment,
    run: ExperimentRun,
    values: Sequence[MeasuredValue],
    verdict: Verdict,
    distributions: Sequence[Distribution],
    command: str,
) -> list[str]:
    """Return the lines of the page."""
    return [
        f"# {experiment.name}",
        "",
        experiment.about,
        "",
        f"    {verdict.line}",
        "",
        f"Command: `{command}`, commit `{current_commit()}`, seeds {run.seeds[0]} to {run.seeds[-1]}. "
        "`table.csv` has one row per run.",
        "",
        "| measure | mean | 95% interval | bound | holds |",
        "| --- | --- | --- | --- | --- |",
        *(_measure_row(value) for value in values),
        "",
        *(_distribution_line(distribution) for distribution in distributions),
        "",
        "![chart](chart.png)",
        "",
    ]


def _measure_row(value: MeasuredValue) -> str:
    interval = "total" if value.measure.total else f"{value.low:.3f} to {value.high:.3f}"
    holds = "yes" if value.holds else "NO"
    return f"| {value.measure.name} | {value.mean:.3f} | {interval} | {value.bound} | {holds} |"


def _distribution_line(distribution: Distribution) -> str:
    sample = distribution.values
    return (
        f"{distribution.arm}, {distribution.name}: {len(sample)} samples, "
        f"median {statistics.median(sample):.2f}, p90 {quantile(sample, 0.9):.2f}, maximum {max(sample):.2f}."
    )


def current_commit() -> str:
    """Return the short commit id of the sources, with ``+`` if there are uncommitted changes."""
    try:
        head = _git("rev-parse", "--short", "HEAD")
        changes = _git("status", "--porcelain", "lotuspick", "experiments")
    except (OSError, subprocess.CalledProcessError):
        return UNKNOWN_COMMIT
    return head + ("+" if changes else "")


def _git(*arguments: str) -> str:
    completed = subprocess.run(["git", *arguments], capture_output=True, text=True, check=True)
    return completed.stdout.strip()
