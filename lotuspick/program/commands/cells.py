"""Commands that read and edit the cells file: ``lotuspick cells check | show | explain | move``.

All commands read the cells file. Figures that depend on nodes also need the server list in the broker's
configuration. Only ``move`` writes, and it writes only a file that is valid.
"""

from __future__ import annotations

import os
import tomllib
from datetime import UTC, datetime, timedelta
from pathlib import Path
from typing import Annotated

import typer
from rich.console import Console
from rich.table import Table

from lotuspick.cells.directory import CellDirectory
from lotuspick.cells.exposure import exposure, reach
from lotuspick.cells.migration import share_at, stage_at
from lotuspick.cells.model import SECOND, Cell, Plan, PlanError, UndersizedPolicy
from lotuspick.cells.plan_file import parse
from lotuspick.core.events import ServerListUpdate
from lotuspick.program import configuration
from lotuspick.program.commands.failure import report_failure
from lotuspick.program.migration_editor import (
    MigrationChange,
    MigrationChangeError,
    MigrationEditor,
    MigrationTimes,
)

app = typer.Typer(
    help="Cells, which confine tenants and lessons to parts of the fleet.",
    no_args_is_help=True,
    pretty_exceptions_enable=False,
)
CellsOption = Annotated[Path, typer.Option("--cells", help="Path of the cells file.")]
ConfigOption = Annotated[
    Path | None,
    typer.Option("--config", help="Path of the broker's file, which lists the nodes; default: PROXY_CONFIG."),
]
AtOption = Annotated[str, typer.Option(help="Time to evaluate, such as 2026-12-01T18:00:00Z; default: now.")]
START_DELAY = timedelta(seconds=10)  # between a declaration and its start, so that all brokers reload in time
TABLE_WIDTH = 120  # characters
MAX_TENANTS_SHOWN = 6  # for each cell in a table
EXIT_UNDERSIZED = 1  # the file is valid, but a cell is empty or too small
MOVE_HELP = (
    "Declare a tenant's move, or pause, resume or roll back its last one. "
    "Writes the file with the next epoch;\nbrokers apply it when they receive SIGHUP."
)


@app.command()
def check(
    path: CellsOption = configuration.DEFAULT_CELLS_PATH,
    nodes: ConfigOption = None,
    tenants: Annotated[
        int, typer.Option(help="Number of tenants to assume besides the named ones.", min=0)
    ] = 1_000,
) -> None:
    """Check the file and print how many nodes a tenant can reach; exit 1 if a cell is empty or too small."""
    plan = _read_plan(path)
    directory = _load_directory(plan, nodes)
    typer.echo(
        f"{path}: epoch {plan.epoch}, {len(plan.cells)} cells, {len(plan.rules)} rules, "
        f"{len(plan.migrations)} moves"
    )
    if not directory.entries:
        typer.echo("no nodes are known: cell sizes and reach need --config or PROXY_CONFIG")
        return
    _print_node_warnings(directory)
    _print_undersized(directory)
    _print_exposure(directory, tenants)
    if directory.undersized_cells():
        raise typer.Exit(EXIT_UNDERSIZED)


@app.command()
def show(
    path: CellsOption = configuration.DEFAULT_CELLS_PATH, nodes: ConfigOption = None, at: AtOption = ""
) -> None:
    """Print the cells with their nodes, and the moves with their stages."""
    plan, now = _read_plan(path), _parse_time(at)
    directory = _load_directory(plan, nodes)
    console = Console(width=TABLE_WIDTH, highlight=False)
    console.print(_cells_table(directory))
    if plan.migrations:
        console.print(_migrations_table(directory, now))


@app.command()
def explain(
    tenant: str,
    lesson: str,
    path: CellsOption = configuration.DEFAULT_CELLS_PATH,
    nodes: ConfigOption = None,
    home: Annotated[int, typer.Option(help="The lesson's first position.", min=0)] = 0,
    copies: Annotated[int, typer.Option(help="Number of positions that hold it; 0: unknown.", min=0)] = 0,
    viewer: Annotated[str, typer.Option(help="A viewer, for a tenant that is moving.")] = "",
    at: AtOption = "",
) -> None:
    """Explain step by step in which cell a tenant's lesson plays."""
    plan, now = _read_plan(path), _parse_time(at)
    directory = _load_directory(plan, nodes)
    cell = _print_cell(directory, tenant, lesson, viewer, now)
    if not directory.entries:
        return
    reachable_nodes = reach(directory, tenant)
    typer.echo(
        f"nodes of the tenant: {_join(reachable_nodes.own)}; at most {len(reachable_nodes.with_spill)} of "
        f"{len(directory.entries)} with spilling and widening"
    )
    if copies:
        _print_holders(directory, cell, tenant, home, copies)


@app.command(help=MOVE_HELP)
def move(
    tenant: str,
    to: Annotated[str, typer.Argument(help="The cell to move to.")] = "",
    path: CellsOption = configuration.DEFAULT_CELLS_PATH,
    start: Annotated[
        str, typer.Option(help="Start time; default: in 10 s, so that all brokers reload in time.")
    ] = "",
    prepare: Annotated[float, typer.Option(help="Seconds before the first viewer moves.")] = 30.0,
    shift: Annotated[float, typer.Option(help="Seconds over which the viewers move.")] = 120.0,
    drain: Annotated[
        float, typer.Option(help="Seconds for which remaining sessions count in both cells.")
    ] = 600.0,
    pause: Annotated[bool, typer.Option("--pause", help="Pause the shift.")] = False,
    resume: Annotated[bool, typer.Option("--resume", help="Resume a paused shift.")] = False,
    back: Annotated[bool, typer.Option("--back", help="Move its viewers back at the same pace.")] = False,
) -> None:
    """Declare a tenant's migration, or change its last one."""
    change = _selected_change(to, pause, resume, back)
    editor = MigrationEditor(path, _read_plan(path))
    now = datetime.now(UTC).replace(microsecond=0)
    try:
        if change is None:
            start_time = _parse_start(start) if start else now + START_DELAY
            editor.declare(tenant, to, MigrationTimes(start_time, prepare, shift, drain))
        else:
            editor.change_last(tenant, change, now)
        plan = editor.save()
    except MigrationChangeError as error:
        raise report_failure(error) from error
    except (PlanError, OSError) as error:
        raise report_failure(f"{path}: not written: {error}") from error
    migration = plan.last_migration_of(tenant)
    stage = stage_at(migration, int(now.timestamp() * SECOND))
    typer.echo(
        f"{path}: epoch {plan.epoch}; move {migration.epoch} of {tenant} to {migration.target_cell}: "
        f"{stage.value}; send SIGHUP to the brokers"
    )


# ---- input ------------------------------------------------------------------------------------------------


def _parse_start(text: str) -> datetime:
    """Parse ``--start``; end the command if it is not a time."""
    try:
        return datetime.fromisoformat(text)
    except ValueError as error:
        example = "2026-01-31T18:00:00+00:00"
        raise report_failure(f"--start must be a time such as {example}, not {text!r}") from error


def _read_plan(path: Path) -> Plan:
    """Read the plan from a cells file; end the command if the file is invalid."""
    try:
        return parse(tomllib.loads(path.read_text(encoding="utf-8")))
    except OSError as error:
        raise report_failure(f"{path}: {error.strerror}") from error
    except PlanError as error:
        raise report_failure(f"{path}: {error}") from error
    except ValueError as error:
        raise report_failure(f"{path}: not TOML: {error}") from error


def _load_directory(plan: Plan, config: Path | None) -> CellDirectory:
    """Build the directory of a plan with the nodes of the broker's configuration, or without nodes."""
    if config is None and not os.environ.get("PROXY_CONFIG"):
        return CellDirectory(plan, 1)
    try:
        loaded = configuration.load(os.environ, config)
    except configuration.ConfigError as error:
        raise report_failure(error) from error
    directory = CellDirectory(plan, loaded.settings.positions)
    for change in loaded.changes:
        directory.update_servers(ServerListUpdate(change.update.servers, change.update.complete))
    return directory


def _parse_time(text: str) -> int:
    """Parse ``--at`` into Unix microseconds; an empty text means now."""
    try:
        at = datetime.fromisoformat(text) if text else datetime.now(UTC)
    except ValueError:
        raise typer.BadParameter(f"not a time: {text!r}", param_hint="--at") from None
    if at.tzinfo is None:
        raise typer.BadParameter(f"the offset from UTC is missing; example: {text}Z", param_hint="--at")
    return int(at.timestamp() * SECOND)


def _selected_change(to: str, pause: bool, resume: bool, back: bool) -> MigrationChange | None:
    """Return the change to the last migration, or None if a new migration is to be declared.

    Raises:
        typer.BadParameter: not exactly one of cell and options is given.
    """
    changes = [
        change
        for change, is_selected in (
            (MigrationChange.PAUSE, pause),
            (MigrationChange.RESUME, resume),
            (MigrationChange.ROLL_BACK, back),
        )
        if is_selected
    ]
    if bool(to) + len(changes) != 1:
        raise typer.BadParameter("name a cell to move to, or one of --pause, --resume and --back")
    return changes[0] if changes else None


# ---- output -----------------------------------------------------------------------------------------------


def _print_node_warnings(directory: CellDirectory) -> None:
    """Print a warning for each node that several cells select or that is in no cell."""
    for name, entry in sorted(directory.entries.items()):
        cells = directory.matching_cells(entry)
        if len(cells) > 1:
            typer.echo(f"warning: {name} is selected by {', '.join(cells)}; it is in {cells[0]}")
        if not directory.cell_by_server[name]:
            typer.echo(f"warning: {name} is in no cell: only widening reaches it")


def _print_undersized(directory: CellDirectory) -> None:
    for name, count in directory.undersized_cells().items():
        cell = directory.plan.cells[name]
        typer.echo(
            f"{'EMPTY' if not count else 'too small'}: {name} has {count} nodes, lessons want "
            f"{cell.holders}; policy {cell.undersized_policy}"
        )


def _print_exposure(directory: CellDirectory, unnamed_count: int) -> None:
    """Print how many nodes a tenant can reach, for the named tenants and ``unnamed_count`` others."""
    tenants = sorted(directory.plan.named_tenants) + [f"unnamed-{index}" for index in range(unnamed_count)]
    figures = exposure(directory, tenants or ["unnamed-0"])
    typer.echo(
        f"one tenant touches at most {figures.max_nodes} of {figures.nodes} nodes "
        f"({figures.max_nodes_tenant}), {figures.mean_nodes:.1f} on average, "
        f"{figures.mean_nodes_with_spill:.1f} with spilling and widening"
    )
    typer.echo(
        f"of {figures.tenants} tenants {figures.unshared_tenants} share all of their nodes with nobody; "
        f"at most {figures.max_tenants_sharing} share all of them; two drawn at random share "
        f"{figures.mean_overlap:.1%} of their nodes"
    )


def _cells_table(directory: CellDirectory) -> Table:
    plan = directory.plan
    table = Table("cell", "nodes", "weight", "policy", "named tenants", title=f"epoch {plan.epoch}")
    for name, cell in plan.cells.items():
        tenants = [
            tenant for tenant in sorted(plan.named_tenants) if directory.base_cell(tenant, "").name == name
        ]
        table.add_row(
            name,
            str(len(directory.servers_by_cell[name])) if directory.entries else "?",
            f"{cell.weight:g}",
            f"{cell.undersized_policy} {','.join(cell.spill)}".strip(),
            ", ".join(tenants[:MAX_TENANTS_SHOWN]) + (" ..." if tenants[MAX_TENANTS_SHOWN:] else ""),
        )
    return table


def _migrations_table(directory: CellDirectory, now: int) -> Table:
    table = Table("tenant", "epoch", "from", "to", "stage", "taken over", title="moves")
    for migration in directory.plan.migrations:
        table.add_row(
            migration.tenant,
            str(migration.epoch),
            directory.base_cell(migration.tenant, "").name,
            migration.target_cell,
            stage_at(migration, now).value,
            f"{share_at(migration, now):.0%}",
        )
    return table


def _print_cell(directory: CellDirectory, tenant: str, lesson: str, viewer: str, now: int) -> str:
    """Print how the cell of a lesson is selected, and return the cell."""
    base, weight = directory.base_cell(tenant, lesson)
    typer.echo(f"cell: {base}" + (f", weight {weight:g}" if weight else ""))
    migrations = directory.migrations_by_tenant.get(tenant, ())
    for migration in migrations:
        typer.echo(
            f"move {migration.epoch} to {migration.target_cell}: {stage_at(migration, now).value}, "
            f"{share_at(migration, now):.0%} of its viewers"
        )
    cell = directory.cell_for(tenant, lesson, viewer, False, now)
    if migrations:
        typer.echo(f"viewer {viewer!r}: {cell}")
    return cell


def _print_holders(directory: CellDirectory, cell_name: str, tenant: str, home: int, copies: int) -> None:
    """Print the holders of a lesson in its cell, and those elsewhere if the cell is too small for it."""
    available = directory.available_servers(cell_name, tenant, home, copies)
    typer.echo(f"holders there: {_join(available.in_cell)}")
    if available.insufficient:
        cell: Cell = directory.plan.cells[cell_name]
        policy = cell.undersized_policy
        alternates = available.spilled if policy is UndersizedPolicy.SPILL else available.in_other_cells
        typer.echo(
            f"too small for the lesson (wants {cell.holders}): {policy}, elsewhere {_join(alternates)}"
        )


def _join(servers: frozenset[str]) -> str:
    return " ".join(sorted(servers)) or "none"
