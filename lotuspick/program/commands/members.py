"""``lotuspick members``: asks a running broker who is there, why it believes so, and to take one out."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Any

import typer
from rich.console import Console
from rich.table import Table

from lotuspick.program import configuration
from lotuspick.program.configuration import ConfigError
from lotuspick.transport.control_port import ControlPortError, send_request

app = typer.Typer(
    help="The brokers of a fleet.", no_args_is_help=True, add_completion=False, pretty_exceptions_enable=False
)
PeersOption = Annotated[Path | None, typer.Option("--peers", help="The file of the other brokers.")]
ControlOption = Annotated[
    str, typer.Option("--control", help="The broker's control address; else as the file says.")
]
COLUMNS = (
    "member",
    "state",
    "life",
    "address",
    "zone",
    "version",
    "since_s",
    "reached",
    "accused_by",
    "by",
    "why",
)


def _ask(peers: Path | None, control: str, **what: str) -> dict[str, Any]:
    try:
        if control:
            host, _, port = control.rpartition(":")
            if not host or not port.isdigit():
                raise ConfigError(f"--control must be HOST:PORT, not {control!r}")
            return send_request((host, int(port)), dict(what))
        told = configuration.read_peers(peers)
        if told is None or told.control is None:
            raise ConfigError(
                f"{peers or configuration.DEFAULT_PEERS}: peers are off, or control names no address"
            )
        return send_request(told.control, dict(what))
    except (ConfigError, ControlPortError) as fault:
        typer.echo(f"lotuspick: {fault}", err=True)
        raise typer.Exit(2) from None


def _text(value: Any) -> str:
    if isinstance(value, bool):
        return "yes" if value else "no"
    return " ".join(map(str, value)) if isinstance(value, list) else str(value)


@app.command()
def show(peers: PeersOption = None, control: ControlOption = "") -> None:
    """Who is there as this broker sees it, how it stands to the others, and its counts."""
    told = _ask(peers, control, ask="show")
    table = Table(box=None, pad_edge=False)
    for column in COLUMNS:
        table.add_column(column.replace("_", " "), overflow="fold")
    for member in told["members"]:
        table.add_row(*(_text(member[column]) for column in COLUMNS))
    Console(width=160).print(table)
    typer.echo(f"{told['own']}: " + " ".join(f"{key}={value}" for key, value in told["counts"].items()))
    if told["disk"]:
        typer.echo(f"the disk does not take what is written: {told['disk']}")


@app.command()
def explain(name: str, peers: PeersOption = None, control: ControlOption = "") -> None:
    """Why this broker believes what it does of a member."""
    told = _ask(peers, control, ask="explain", name=name)
    member = told["member"]
    for key, value in member.items():
        typer.echo(f"{key}: {_text(value)}")
    typer.echo(f"watchers: {_text(told['watchers'])}")
    for key, text in (
        ("silent_ms", "{} ms since this broker heard of it"),
        ("doubted_ms", "accused for {} ms"),
        ("deaf_ms", "{} ms ago it said to hear nothing of this broker"),
    ):
        if key in told:
            typer.echo(text.format(told[key]))
    for by, ago_ms in told.get("accused_ms", {}).items():
        typer.echo(f"accused by {by}, {ago_ms} ms ago")


@app.command()
def drain(name: str, peers: PeersOption = None, control: ControlOption = "") -> None:
    """Take a member out of the fleet: one that is there takes no paid session until it is started anew, one that is
    dead no longer counts as missing."""
    told = _ask(peers, control, ask="drain", name=name)
    typer.echo(f"{told['member']['member']}: {told['member']['state']}, by {told['own']}")
