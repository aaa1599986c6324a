"""Error reporting of the commands."""

from __future__ import annotations

import typer

EXIT_FAILURE = 2  # an argument or a file is invalid


def report_failure(error: Exception | str) -> typer.Exit:
    """Print an error on standard error, and return the exit to raise."""
    typer.echo(f"lotuspick: {error}", err=True)
    return typer.Exit(EXIT_FAILURE)
