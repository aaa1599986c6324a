"""Atomic replacement of a small file: a reader sees the old or the new one, also after a power failure."""

from __future__ import annotations

import os
from pathlib import Path


def replace_file(path: Path, text: str) -> None:
    """Replace a file by one with another text; return once both the text and the rename are durable.

    Without the sync of the file the rename could become durable before the text, which would leave an empty
    file after a power failure.

    Raises:
        OSError: the new file cannot be written; the previous file is unchanged.
    """
    new_path = path.with_name(f"{path.name}.new")
    with new_path.open("w", encoding="utf-8") as new_file:
        new_file.write(text)
        new_file.flush()
        os.fsync(new_file.fileno())
    new_path.replace(path)
    _sync_folder(path.parent)


def _sync_folder(folder: Path) -> None:
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
