"""Commands that query a running broker about its fleet: ``lotuspick members show | explain | drain``.

Answers are printed under the keys that the control port sends, so that the figures of a newer broker appear
as well. :mod:`lotuspick.program.membership_answers` lists the keys.
"""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Any

import typer
from rich.console import Console
from rich.table import Table

from lotuspick.program import configuration
from lotuspick.program.commands.failure import report_failure
from lotuspick.program.configuration import ConfigError
from lotuspick.transport.control_port import ControlPortError, send_request

app = typer.Typer(
    help="The brokers of a fleet.", no_args_is_help=True, add_completion=False, pretty_exceptions_enable=False
)
PeersOption = Annotated[Path | None, typer.Option("--peers", help="Path of the peers file.")]
ControlOption = Annotated[
    str, typer.Option("--control", help="Control address of the broker; default: as in the peers file.")
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
"""Keys of a member that ``show`` prints, in order."""
MONITORING_TEXTS = (
    ("silent_ms", "{} ms since the last message from it"),
    ("doubted_ms", "accused for {} ms"),
    ("deaf_ms", "{} ms ago it reported that it receives nothing from this broker"),
)
"""Keys of an explanation, each with the text that ``explain`` prints if the answer has the key."""
TABLE_WIDTH = 160  # characters
DRAIN_HELP = (
    "Remove a member from the fleet. A live member admits no paid session until it is restarted; "
    "a dead member\nno longer counts as missing."
)


@app.command()
def show(peers: PeersOption = None, control: ControlOption = "") -> None:
    """Print the members as the broker sees them, and its counts."""
    answer = _request(peers, control, ask="show")
    table = Table(box=None, pad_edge=False)
    for column in COLUMNS:
        table.add_column(column.replace("_", " "), overflow="fold")
    for member in answer["members"]:
        table.add_row(*(_format_value(member[column]) for column in COLUMNS))
    Console(width=TABLE_WIDTH).print(table)
    counts = " ".join(f"{key}={value}" for key, value in answer["counts"].items())
    typer.echo(f"{answer['own']}: {counts}")
    if answer["disk"]:
        typer.echo(f"writes to disk fail: {answer['disk']}")


@app.command()
def explain(name: str, peers: PeersOption = None, control: ControlOption = "") -> None:
    """Print the state of a member, and the reasons for it."""
    answer = _request(peers, control, ask="explain", name=name)
    for key, value in answer["member"].items():
        typer.echo(f"{key}: {_format_value(value)}")
    typer.echo(f"watchers: {_format_value(answer['watchers'])}")
    for key, text in MONITORING_TEXTS:
        if key in answer:
            typer.echo(text.format(answer[key]))
    for source, ms_ago in answer.get("accused_ms", {}).items():
        typer.echo(f"accused by {source}, {ms_ago} ms ago")


@app.command(help=DRAIN_HELP)
def drain(name: str, peers: PeersOption = None, control: ControlOption = "") -> None:
    """Remove a member from the fleet."""
    answer = _request(peers, control, ask="drain", name=name)
    typer.echo(f"{answer['member']['member']}: {answer['member']['state']}, by {answer['own']}")


def _request(peers: Path | None, control: str, **request: str) -> dict[str, Any]:
    """Send a request to a running broker and return its answer; end the command on failure."""
    try:
        return send_request(_control_address(peers, control), dict(request))
    except (ConfigError, ControlPortError) as error:
        raise report_failure(error) from error


def _control_address(peers: Path | None, control: str) -> tuple[str, int]:
    """Return the control address from the option, or from the peers file if the option is empty.

    Raises:
        ConfigError: neither gives an address.
    """
    if control:
        host, _, port = control.rpartition(":")
        if not host or not port.isdigit():
            raise ConfigError(f"--control must be HOST:PORT, not {control!r}")
        return host, int(port)
    config = configuration.read_peers(peers)
    if config is None or config.control is None:
        raise ConfigError(
            f"{peers or configuration.DEFAULT_PEERS_PATH}: peers are disabled, or control is missing"
        )
    return config.control


def _format_value(value: Any) -> str:
    """Format a value of an answer for printing."""
    if isinstance(value, bool):
        return "yes" if value else "no"
    return " ".join(map(str, value)) if isinstance(value, list) else str(value)
