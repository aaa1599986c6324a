"""The command line."""

from __future__ import annotations

import os
import signal
from importlib import metadata
from pathlib import Path
from typing import Annotated

import typer

from lotuspick.program import config, logs

app = typer.Typer(help="lotuspick: a playback broker.", no_args_is_help=True, add_completion=False,
                  pretty_exceptions_enable=False)

ConfigOption = Annotated[Path | None, typer.Option("--config", help="The broker's file; else PROXY_CONFIG.")]
HintsOption = Annotated[Path | None, typer.Option("--hints", help="The second front's file.")]
TenantsOption = Annotated[Path | None, typer.Option("--tenants", help="The file of the tenants' directory.")]


def _load(path: Path | None, hints: Path | None, tenants: Path | None) -> config.Config:
    try:
        return config.load(os.environ, path, hints, tenants)
    except config.ConfigError as error:
        typer.echo(f"lotuspick: {error}", err=True)
        raise typer.Exit(2) from None


@app.command()
def serve(path: ConfigOption = None, hints: HintsOption = None, tenants: TenantsOption = None,
          log_level: Annotated[str, typer.Option(help=" | ".join(logs.LEVELS))] = "info") -> None:
    """Serve viewers until SIGTERM."""
    if log_level not in logs.LEVELS:
        raise typer.BadParameter(f"must be one of {', '.join(logs.LEVELS)}", param_hint="--log-level")
    loaded = _load(path, hints, tenants)
    logs.start(log_level)
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # it must not end for one that comes before it is ready
    from twisted.internet import reactor  # importing it installs it

    from lotuspick.program.daemon import Daemon

    Daemon(loaded, reactor, lambda: config.load(os.environ, path, hints, tenants)).run()


@app.command("check-config")
def check_config(path: ConfigOption = None, hints: HintsOption = None,
                 tenants: TenantsOption = None) -> None:
    """Read and check the configuration, and say what was understood."""
    loaded = _load(path, hints, tenants)
    front = f"{loaded.hints.host}:{loaded.hints.port}" if loaded.hints.enabled else "off"
    typer.echo(f"{loaded.name}: listens on {loaded.listen[0]}:{loaded.listen[1]}, "
               f"{sum(len(change.news.servers) for change in loaded.changes)} servers known, "
               f"classes {', '.join(each.name for each in loaded.settings.classes)}, hints front {front}, "
               f"tenants {loaded.tenants.ldap.url if loaded.tenants.ldap else 'none'}")


@app.command()
def version() -> None:
    """Print the version."""
    try:
        typer.echo(f"lotuspick {metadata.version('lotuspick')}")
    except metadata.PackageNotFoundError:
        typer.echo("lotuspick (not installed, run from its sources)")


def main() -> None:
    app()
