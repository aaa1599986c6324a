"""The command line: ``lotuspick serve``, ``check-config``, ``version`` and the commands of subsystems."""

from __future__ import annotations

import importlib
from importlib import metadata
from pathlib import Path
from typing import Annotated

import typer

from lotuspick.program import logging
from lotuspick.program.configuration import ConfigError
from lotuspick.program.serve import ConfigFiles
from lotuspick.program.serve import serve as serve_viewers

app = typer.Typer(
    help="lotuspick: a playback broker.",
    no_args_is_help=True,
    add_completion=False,
    pretty_exceptions_enable=False,
)

ConfigOption = Annotated[
    Path | None, typer.Option("--config", help="Path of the broker's file; default: PROXY_CONFIG.")
]
HintsOption = Annotated[Path | None, typer.Option("--hints", help="Path of the HTTP front's file.")]
TenantsOption = Annotated[Path | None, typer.Option("--tenants", help="Path of the tenant directory's file.")]
CellsOption = Annotated[Path | None, typer.Option("--cells", help="Path of the cells file.")]
SeatsOption = Annotated[Path | None, typer.Option("--seats", help="Path of the seats file.")]

PeersOption = Annotated[Path | None, typer.Option("--peers", help="Path of the peers file.")]


@app.command()
def serve(
    path: ConfigOption = None,
    hints: HintsOption = None,
    tenants: TenantsOption = None,
    cells: CellsOption = None,
    seats: SeatsOption = None,
    peers: PeersOption = None,
    log_level: Annotated[str, typer.Option(help=" | ".join(logging.LEVELS))] = "info",
) -> None:
    """Serve viewers until SIGTERM or SIGINT."""
    if log_level not in logging.LEVELS:
        raise typer.BadParameter(f"must be one of {', '.join(logging.LEVELS)}", param_hint="--log-level")
    try:
        serve_viewers(ConfigFiles(path, hints, tenants, cells, seats, peers), log_level)
    except ConfigError as error:
        raise _config_error_exit(error) from None


def _config_error_exit(error: ConfigError) -> typer.Exit:
    typer.echo(f"lotuspick: {error}", err=True)
    return typer.Exit(2)


@app.command("check-config")
def check_config(
    path: ConfigOption = None,
    hints: HintsOption = None,
    tenants: TenantsOption = None,
    cells: CellsOption = None,
    seats: SeatsOption = None,
    peers: PeersOption = None,
) -> None:
    """Read and validate the configuration, and print a summary of it."""
    try:
        config = ConfigFiles(path, hints, tenants, cells, seats, peers).load()
    except ConfigError as error:
        raise _config_error_exit(error) from None
    classes = ", ".join(session_class.name for session_class in config.settings.classes)
    hints_address = f"{config.hints.host}:{config.hints.port}" if config.hints.enabled else "off"
    typer.echo(
        f"{config.name}: listens on {config.listen[0]}:{config.listen[1]}, "
        f"{sum(len(change.update.servers) for change in config.changes)} servers known, "
        f"classes {classes}, hints front {hints_address}, "
        f"tenants {config.tenants.ldap.url if config.tenants.ldap else 'none'}, "
        f"cells {len(config.cells.cells) if config.cells else 'none'}, "
        f"seats {', '.join(sorted(config.seats.rules.classes)) if config.seats else 'none'}, peers "
        f"{f'{config.peers.quorum_rules.brokers} at {config.peers.listen[0]}' if config.peers else 'none'}"
    )


def _add_lazy_command(name: str, module: str, missing_message: str) -> None:
    """Add a command whose module is imported only when it is called, since it needs more libraries."""

    def run_command(context: typer.Context) -> None:
        try:
            commands = importlib.import_module(module)
        except ModuleNotFoundError as error:
            typer.echo(f"lotuspick: {missing_message}: {error}", err=True)
            raise typer.Exit(2) from None
        commands.app(args=context.args, prog_name=f"lotuspick {name}")

    help_texts = {
        "cells": "Confine tenants and lessons to cells, parts of the fleet: check, show, explain, move.",
        "keys": "Keys that sign and verify tokens: make, list, withdraw.",
        "seats": "Paid seats: issue, show, renew, revoke, settle.",
        "members": "The brokers of a fleet: show, explain, drain.",
        "lab": "Experiments on simulated and on real brokers: list, verify, run.",
    }
    app.command(
        name,
        help=help_texts[name],
        context_settings={"allow_extra_args": True, "ignore_unknown_options": True, "help_option_names": []},
    )(run_command)


_add_lazy_command("cells", "lotuspick.program.commands.cells", "a library is missing")
_add_lazy_command("keys", "lotuspick.program.commands.keys", "a library is missing")
_add_lazy_command("seats", "lotuspick.program.commands.seats", "a library is missing")
_add_lazy_command("members", "lotuspick.program.commands.members", "a library is missing")
_add_lazy_command("lab", "lotuspick.lab.cli", "the lab is not installed; run pip install 'lotuspick[lab]'")


@app.command()
def version() -> None:
    """Print the version."""
    try:
        typer.echo(f"lotuspick {metadata.version('lotuspick')}")
    except metadata.PackageNotFoundError:
        typer.echo("lotuspick (run from source, not installed)")


def main() -> None:
    """Run the command line."""
    app()
