"""The lab's commands: ``lotuspick lab list | verify NAME | run NAME``."""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path
from typing import Annotated

import typer

from lotuspick.lab.experiment import experiment_file, results
from lotuspick.lab.experiment.evaluation import MeasuredValue, evaluate, make_verdict
from lotuspick.lab.experiment.experiment_file import Experiment, ExperimentError, SeedRange
from lotuspick.lab.experiment.runner import ExperimentRun, run_experiment

EXIT_PASSED, EXIT_FAILED, EXIT_USAGE = 0, 1, 2
app = typer.Typer(
    help="Run experiments on emulated or local fleets.",
    no_args_is_help=True,
    add_completion=False,
    pretty_exceptions_enable=False,
)
Seeds = Annotated[str, typer.Option(help="Seeds to use instead, as FIRST-LAST.")]
Folder = Annotated[Path, typer.Option("--dir", help="Folder of the experiment files.")]
Processes = Annotated[int, typer.Option(help="Number of parallel processes.", min=1)]


def _load(name: str, folder: Path) -> Experiment:
    """Read an experiment; exit with a message if it cannot be read."""
    try:
        return experiment_file.load(name, folder)
    except ExperimentError as error:
        typer.echo(f"lotuspick: {error}", err=True)
        raise typer.Exit(EXIT_USAGE) from None


def _parse_seeds(text: str, default: SeedRange) -> list[int]:
    """Return the seeds of the option ``--seeds``: one number, or the first and the last."""
    first, _, last = text.partition("-") if text else (str(default.first), "-", str(default.last))
    last = last or first
    if not first.isdigit() or not last.isdigit() or int(last) < int(first):
        raise typer.BadParameter(f"must be FIRST-LAST, not {text!r}", param_hint="--seeds")
    return SeedRange(int(first), int(last)).seeds()


@app.command("list")
def list_all(folder: Folder = experiment_file.FOLDER) -> None:
    """List all experiments."""
    for name in experiment_file.names(folder):
        typer.echo(f"{name}: {_load(name, folder).about.splitlines()[0]}")


@app.command()
def verify(
    name: str, seeds: Seeds = "", folder: Folder = experiment_file.FOLDER, processes: Processes = 8
) -> None:
    """Run the quick form, print all measures and the verdict; exit with 0 if all bounds hold, else 1."""
    experiment = _load(name, folder)
    run = run_experiment(experiment, _parse_seeds(seeds, experiment.quick), processes)
    holds = _print_verdict(experiment, run, evaluate(experiment, run.rows))
    raise typer.Exit(EXIT_PASSED if holds else EXIT_FAILED)


@app.command("run")
def run_full(
    name: str,
    seeds: Seeds = "",
    folder: Folder = experiment_file.FOLDER,
    processes: Processes = 8,
    results_folder: Annotated[
        Path, typer.Option("--results", help="Parent folder of the results.")
    ] = results.FOLDER,
) -> None:
    """Run the full form, and write its tables and chart."""
    experiment = _load(name, folder)
    experiment = replace(experiment, world={**experiment.world, **experiment.world_full})
    run = run_experiment(experiment, _parse_seeds(seeds, experiment.full), processes)
    values = evaluate(experiment, run.rows)
    holds = _print_verdict(experiment, run, values)
    command = f"python -m lotuspick lab run {name}" + (f" --seeds {seeds}" if seeds else "")
    target = results.write(experiment, run, values, command, results_folder)
    typer.echo(f"results written to {target}")
    raise typer.Exit(EXIT_PASSED if holds else EXIT_FAILED)


def _print_verdict(experiment: Experiment, run: ExperimentRun, values: list[MeasuredValue]) -> bool:
    """Print all measures and the verdict; return whether all bounds hold."""
    for value in values:
        interval = "total" if value.measure.total else f"95% interval {value.low:.2f} to {value.high:.2f}"
        missed = "" if value.holds else "  MISSED"
        typer.echo(f"{value.measure.name:34} {value.mean:9.2f}  {interval}  {value.bound}{missed}")
    verdict = make_verdict(experiment, values, run.seeds)
    typer.echo(verdict.line)
    return verdict.holds
