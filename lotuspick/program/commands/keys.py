"""Commands that manage signing keys: ``lotuspick keys make | list | withdraw``."""

from __future__ import annotations

import time
from datetime import UTC, datetime
from pathlib import Path
from typing import Annotated

import typer

from lotuspick.entitlement.tokens import PublicKey
from lotuspick.program.commands.failure import report_failure
from lotuspick.transport.storage.key_folder import KeyFolder, KeyFolderError

app = typer.Typer(
    help="Keys that sign and verify tokens.", no_args_is_help=True, pretty_exceptions_enable=False
)
FolderOption = Annotated[Path, typer.Option("--keys", help="Folder of the keys.")]
OverlapOption = Annotated[int, typer.Option(help="Seconds for which older keys may still sign.", min=0)]
DEFAULT_FOLDER = Path("keys")
DEFAULT_OVERLAP_S = 86_400


@app.command()
def make(folder: FolderOption = DEFAULT_FOLDER, overlap: OverlapOption = DEFAULT_OVERLAP_S) -> None:
    """Create a key that signs from now on, and print its id."""
    try:
        typer.echo(KeyFolder(folder).create_key(int(time.time()), overlap).kid)
    except KeyFolderError as error:
        raise report_failure(error) from error


@app.command("list")
def list_keys(folder: FolderOption = DEFAULT_FOLDER) -> None:
    """Print all keys, oldest first."""
    try:
        keys = KeyFolder(folder).load()
    except KeyFolderError as error:
        raise report_failure(error) from error
    now_s = time.time()
    for key in keys.values():
        made_at = datetime.fromtimestamp(key.from_s, UTC)
        typer.echo(f"{key.kid} from {made_at:%Y-%m-%dT%H:%M:%SZ} {_state(key, now_s)}")


@app.command()
def withdraw(kid: str, folder: FolderOption = DEFAULT_FOLDER) -> None:
    """Withdraw a key; all tokens that it signed become invalid."""
    try:
        KeyFolder(folder).withdraw(kid)
    except KeyFolderError as error:
        raise report_failure(error) from error


def _state(key: PublicKey, now_s: float) -> str:
    """Return the state of a key as ``list`` prints it."""
    if key.withdrawn:
        return "withdrawn"
    return "signs" if key.until_s > now_s else "checks only"
