"""The commands on cells: ``lotuspick cells check | show | explain | move``.

They read the file of cells and, for what depends on nodes, the server list in the broker's own configuration. Only
``move`` writes, and only what still is a good file afterwards.
"""

from __future__ import annotations

import os
import tomllib
from datetime import UTC, datetime, timedelta
from pathlib import Path
from typing import Annotated, Any

import tomlkit
import typer
from rich.console import Console
from rich.table import Table

from lotuspick.cells import migration
from lotuspick.cells.directory import CellDirectory
from lotuspick.cells.exposure import exposure, reach
from lotuspick.cells.model import SECOND, Plan, PlanError
from lotuspick.cells.plan_file import parse
from lotuspick.core.events import ServerListUpdate
from lotuspick.program import configuration

app = typer.Typer(
    help="Tenants and lessons confined to parts of the fleet.",
    no_args_is_help=True,
    pretty_exceptions_enable=False,
)
CellsFile = Annotated[Path, typer.Option("--cells", help="The file of cells.")]
ConfigFile = Annotated[
    Path | None, typer.Option("--config", help="The broker's file, for nodes; else PROXY_CONFIG.")
]
At = Annotated[str, typer.Option(help="As of this time, such as 2026-12-01T18:00:00Z; else now.")]


def _fail(text: str) -> typer.Exit:
    typer.echo(f"lotuspick: {text}", err=True)
    return typer.Exit(2)


def _plan(path: Path) -> Plan:
    try:
        return parse(tomllib.loads(path.read_text(encoding="utf-8")))
    except OSError as error:
        raise _fail(f"{path}: {error.strerror}") from None
    except PlanError as error:
        raise _fail(f"{path}: {error}") from None
    except ValueError as error:
        raise _fail(f"{path}: not TOML: {error}") from None


def _atlas(plan: Plan, path: Path | None) -> tuple[CellDirectory, bool]:
    """The map, and whether it knows any nodes."""
    if path is None and not os.environ.get("PROXY_CONFIG"):
        return CellDirectory(plan, 1), False
    try:
        loaded = configuration.load(os.environ, path)
    except configuration.ConfigError as error:
        raise _fail(str(error)) from None
    atlas = CellDirectory(plan, loaded.settings.positions)
    for change in loaded.changes:
        atlas.update_servers(ServerListUpdate(change.news.servers, change.news.complete))
    return atlas, bool(atlas.entries)


def _when(text: str) -> int:
    try:
        at = datetime.fromisoformat(text) if text else datetime.now(UTC)
    except ValueError:
        raise typer.BadParameter(f"not a time: {text!r}", param_hint="--at") from None
    if at.tzinfo is None:
        raise typer.BadParameter(f"needs its offset from UTC, such as {text}Z", param_hint="--at")
    return int(at.timestamp() * SECOND)


def _names(plan: Plan, count: int) -> list[str]:
    """Tenants to reckon with: those that the file names, and so many that it does not."""
    return sorted(plan.named) + [f"unnamed-{index}" for index in range(count)]


@app.command()
def check(
    path: CellsFile = configuration.DEFAULT_CELLS,
    nodes: ConfigFile = None,
    tenants: Annotated[
        int, typer.Option(help="Tenants beside the named ones to reckon with.", min=0)
    ] = 1_000,
) -> None:
    """Check the file, and say what one tenant can touch; exit 1 where a cell is empty or too small."""
    plan = _plan(path)
    atlas, known = _atlas(plan, nodes)
    typer.echo(
        f"{path}: epoch {plan.epoch}, {len(plan.cells)} cells, {len(plan.rules)} rules, "
        f"{len(plan.migrations)} moves"
    )
    if not known:
        typer.echo("no nodes are known: sizes and reach need --config or PROXY_CONFIG")
        return
    for name, entry in sorted(atlas.entries.items()):
        selected = atlas.selected_by(entry)
        if len(selected) > 1:
            typer.echo(f"warning: {name} is selected by {', '.join(selected)}; it is in {selected[0]}")
        if not atlas.cell_by_server[name]:
            typer.echo(f"warning: {name} is in no cell: only widening reaches it")
    small = atlas.undersized_cells()
    for name, count in small.items():
        cell = plan.cells[name]
        typer.echo(
            f"{'EMPTY' if not count else 'too small'}: {name} has {count} nodes, lessons want "
            f"{cell.holders}; policy {cell.small}"
        )
    found = exposure(atlas, _names(plan, tenants) or ["unnamed-0"])
    typer.echo(
        f"one tenant touches at most {found.maximum} of {found.nodes} nodes ({found.widest}), {found.mean:.1f} on "
        f"average, {found.mean_with_spill:.1f} with spilling and widening"
    )
    typer.echo(
        f"of {found.tenants} tenants {found.alone} share all of their nodes with nobody; at most "
        f"{found.together} share all of them; two drawn at random share {found.overlap:.1%} of their nodes"
    )
    if small:
        raise typer.Exit(1)


@app.command()
def show(path: CellsFile = configuration.DEFAULT_CELLS, nodes: ConfigFile = None, at: At = "") -> None:
    """The cells with their nodes, and the moves with their stages."""
    plan, now = _plan(path), _when(at)
    atlas, known = _atlas(plan, nodes)
    table = Table("cell", "nodes", "weight", "policy", "named tenants", title=f"epoch {plan.epoch}")
    for name, cell in plan.cells.items():
        here = [tenant for tenant in sorted(plan.named) if atlas.base_cell(tenant, "")[0] == name]
        table.add_row(
            name,
            str(len(atlas.servers_by_cell[name])) if known else "?",
            f"{cell.weight:g}",
            f"{cell.small} {','.join(cell.spill)}".strip(),
            ", ".join(here[:6]) + (" ..." if here[6:] else ""),
        )
    console = Console(width=120, highlight=False)
    console.print(table)
    if plan.migrations:
        table = Table("tenant", "epoch", "from", "to", "stage", "taken over", title="moves")
        for move in plan.migrations:
            table.add_row(
                move.tenant,
                str(move.epoch),
                atlas.base_cell(move.tenant, "")[0],
                move.target_cell,
                migration.stage_at(move, now).value,
                f"{migration.share_at(move, now):.0%}",
            )
        console.print(table)


@app.command()
def explain(
    tenant: str,
    lesson: str,
    path: CellsFile = configuration.DEFAULT_CELLS,
    nodes: ConfigFile = None,
    home: Annotated[int, typer.Option(help="The lesson's first position.", min=0)] = 0,
    copies: Annotated[int, typer.Option(help="Positions that it lies on; 0: not told.", min=0)] = 0,
    viewer: Annotated[str, typer.Option(help="A viewer, where the tenant moves.")] = "",
    at: At = "",
) -> None:
    """Say where a tenant's lesson plays, step by step."""
    plan, now = _plan(path), _when(at)
    atlas, known = _atlas(plan, nodes)
    base, weight = atlas.base_cell(tenant, lesson)
    typer.echo(f"cell: {base}" + (f", weight {weight:g}" if weight else ""))
    for move in atlas.migrations_by_tenant.get(tenant, ()):
        typer.echo(
            f"move {move.epoch} to {move.target_cell}: {migration.stage_at(move, now).value}, "
            f"{migration.share_at(move, now):.0%} of its viewers"
        )
    cell = atlas.cell_for(tenant, lesson, viewer, False, now)
    if atlas.migrations_by_tenant.get(tenant):
        typer.echo(f"viewer {viewer!r}: {cell}")
    if not known:
        return
    own, most = reach(atlas, tenant)
    typer.echo(
        f"nodes of the tenant: {' '.join(sorted(own)) or 'none'}; at most {len(most)} of "
        f"{len(atlas.entries)} with spilling and widening"
    )
    if copies:
        room = atlas.available_servers(cell, tenant, home, copies)
        typer.echo(f"holders there: {' '.join(sorted(room.own)) or 'none'}")
        if room.insufficient:
            there = plan.cells[cell]
            typer.echo(
                f"too small for the lesson (wants {there.holders}): {there.small}, elsewhere "
                f"{' '.join(sorted(room.spilled if there.small == 'spill' else room.elsewhere)) or 'none'}"
            )


@app.command()
def move(
    tenant: str,
    to: Annotated[str, typer.Argument(help="The cell to move to.")] = "",
    path: CellsFile = configuration.DEFAULT_CELLS,
    start: Annotated[
        str, typer.Option(help="When it starts; else in 10 s, for all brokers to hear of it.")
    ] = "",
    prepare: Annotated[float, typer.Option(help="Seconds before the first viewer goes over.")] = 30.0,
    shift: Annotated[float, typer.Option(help="Seconds over which viewers go over.")] = 120.0,
    drain: Annotated[float, typer.Option(help="Seconds for which standing sessions count in both.")] = 600.0,
    pause: Annotated[bool, typer.Option("--pause", help="Let the shift stand still.")] = False,
    resume: Annotated[bool, typer.Option("--resume", help="Let it go on.")] = False,
    back: Annotated[bool, typer.Option("--back", help="Take its viewers back at the same pace.")] = False,
) -> None:
    """Declare a tenant's move, or pause, resume or roll back its last one. Writes the file with the next epoch;
    brokers take it over at SIGHUP."""
    if bool(to) + pause + resume + back != 1:
        raise typer.BadParameter("name a cell to move to, or one of --pause, --resume and --back")
    plan = _plan(path)
    document = tomlkit.parse(path.read_text(encoding="utf-8"))
    listed = document.setdefault("moves", tomlkit.aot())
    own = [each for each in listed if each.get("tenant") == tenant]
    now = datetime.now(UTC).replace(microsecond=0)
    if to:
        begin = datetime.fromisoformat(start) if start else now + timedelta(seconds=10)
        entry = tomlkit.table()
        entry.update(
            {
                "tenant": tenant,
                "to": to,
                "epoch": max((each["epoch"] for each in own), default=0) + 1,
                "start": begin,
                "prepare_s": prepare,
                "shift_s": shift,
                "drain_s": drain,
            }
        )
        listed.append(entry)
    else:
        _change(own, plan, tenant, now, pause, resume)
    document["epoch"] = plan.epoch + 1
    text = tomlkit.dumps(document)
    try:
        made = parse(tomllib.loads(text))
    except PlanError as error:
        raise _fail(f"{path}: not written: {error}") from None
    beside = path.with_suffix(".new")
    beside.write_text(text, encoding="utf-8")
    beside.replace(path)
    last = [each for each in made.migrations if each.tenant == tenant][-1]
    typer.echo(
        f"{path}: epoch {made.epoch}; move {last.epoch} of {tenant} to {last.target_cell}: "
        f"{migration.stage_at(last, int(now.timestamp() * SECOND)).value}; send SIGHUP to the brokers"
    )


def _change(own: list[Any], plan: Plan, tenant: str, now: datetime, pause: bool, resume: bool) -> None:
    """Pause, resume or roll back the tenant's last move."""
    if not own:
        raise _fail(f"{tenant} has no move")
    entry, last = own[-1], [each for each in plan.migrations if each.tenant == tenant][-1]
    at = migration.stage_at(last, int(now.timestamp() * SECOND))
    pauses = entry.get("pauses", [])
    open_end = bool(pauses) and len(pauses[-1]) == 1
    what = f"move {last.epoch} of {tenant}"
    if at in (
        migration.MigrationStage.DONE,
        migration.MigrationStage.UNDONE,
        migration.MigrationStage.RETURNING,
        migration.MigrationStage.EMPTYING,
    ):
        raise _fail(f"{what} is {at.value}")
    if pause and open_end:
        raise _fail(f"{what} is paused already")
    if resume and not open_end:
        raise _fail(f"{what} is not paused")
    if pause:
        entry["pauses"] = [*pauses, [max(now, _time(entry["start"]))]]
    elif resume:
        entry["pauses"] = [*pauses[:-1], [pauses[-1][0], max(now, _time(pauses[-1][0]))]]
    else:
        entry["back"] = max(now, _time(entry["start"]))


def _time(value: Any) -> datetime:
    return value if isinstance(value, datetime) else datetime.fromtimestamp(float(value), UTC)
