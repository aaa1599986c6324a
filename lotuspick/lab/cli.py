"""The lab's commands: ``lotuspick lab list | verify NAME | run NAME``."""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path
from typing import Annotated

import typer

from lotuspick.lab.experiment import model, run

app = typer.Typer(
    help="Experiments on the project's own model of the world.",
    no_args_is_help=True,
    add_completion=False,
    pretty_exceptions_enable=False,
)
Seeds = Annotated[str, typer.Option(help="Other seeds, as FIRST-LAST.")]
Folder = Annotated[Path, typer.Option("--dir", help="Where the experiments lie.")]
Processes = Annotated[int, typer.Option(help="How many run at once.", min=1)]


def _load(name: str, folder: Path) -> model.Experiment:
    try:
        return model.load(name, folder)
    except model.ExperimentError as error:
        typer.echo(f"lotuspick: {error}", err=True)
        raise typer.Exit(2) from None


def _seeds(text: str, span: tuple[int, int]) -> list[int]:
    first, dash, last = text.partition("-") if text else (str(span[0]), "-", str(span[1]))
    if not first.isdigit() or (last or first).isdigit() is False or int(last or first) < int(first):
        raise typer.BadParameter(f"must be FIRST-LAST, not {text!r}", param_hint="--seeds")
    return list(range(int(first), int(last or first) + 1))


@app.command("list")
def list_all(folder: Folder = model.FOLDER) -> None:
    """Name all experiments."""
    for name in model.names(folder):
        typer.echo(f"{name}: {_load(name, folder).about.splitlines()[0]}")


@app.command()
def verify(name: str, seeds: Seeds = "", folder: Folder = model.FOLDER, processes: Processes = 8) -> None:
    """Play the small form, print the figures and a verdict; exit 0 only where it holds."""
    experiment = _load(name, folder)
    chosen = _seeds(seeds, experiment.quick)
    rows, _ = run.play(experiment, chosen, processes)
    raise typer.Exit(0 if _show(experiment, chosen, rows) else 1)


@app.command("run")
def run_full(
    name: str,
    seeds: Seeds = "",
    folder: Folder = model.FOLDER,
    processes: Processes = 8,
    results: Annotated[Path, typer.Option(help="Where table and chart go.")] = run.RESULTS,
) -> None:
    """Play the full form and keep its table and chart."""
    experiment = _load(name, folder)
    experiment = replace(experiment, world={**experiment.world, **experiment.world_full})
    chosen = _seeds(seeds, experiment.full)
    rows, samples = run.play(experiment, chosen, processes)
    holds = _show(experiment, chosen, rows)
    figures = run.weigh(experiment, rows)
    command = f"python -m lotuspick lab run {name}" + (f" --seeds {seeds}" if seeds else "")
    there = run.write(
        experiment,
        chosen,
        rows,
        samples,
        figures,
        run.verdict(experiment, figures, chosen)[1],
        command,
        results,
    )
    typer.echo(f"kept in {there}")
    raise typer.Exit(0 if holds else 1)


def _show(experiment: model.Experiment, seeds: list[int], rows: dict[str, list[run.Row]]) -> bool:
    figures = run.weigh(experiment, rows)
    for figure in figures:
        span = "total" if figure.measure.total else f"95% interval {figure.low:.2f} to {figure.high:.2f}"
        typer.echo(
            f"{figure.measure.name:34} {figure.mean:9.2f}  {span}  {figure.bound}"
            f"{'' if figure.holds else '  MISSED'}"
        )
    holds, line = run.verdict(experiment, figures, seeds)
    typer.echo(line)
    return holds
