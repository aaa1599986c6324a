"""Errors of the stores on disk, one type for each kind of fault."""

from __future__ import annotations

from pathlib import Path

from lotuspick.errors import LotuspickError

MAX_LOGGED_FORMAT_CHARS = 20


class StoreError(LotuspickError):
    """The store cannot be used, or a write failed; the message gives the reason."""


class StoreAccessError(StoreError):
    """The operating system or LMDB reported an error."""

    def __init__(self, path: Path, detail: object) -> None:
        super().__init__(f"{path}: {detail}")
        self.path, self.detail = path, detail


class StoreLockedError(StoreError):
    """Another process owns the store."""

    def __init__(self, path: Path) -> None:
        super().__init__(f"{path}: another process has it open")
        self.path = path


class StoreMissingError(StoreError):
    """No store exists at the path."""

    def __init__(self, path: Path, description: str) -> None:
        super().__init__(f"{path}: no {description}")
        self.path, self.description = path, description


class StoreTruncatedError(StoreError):
    """The data file ends before the last page that it refers to."""

    def __init__(self, data_file: Path, found_bytes: int, needed_bytes: int) -> None:
        super().__init__(f"{data_file}: truncated at {found_bytes} of {needed_bytes} bytes")
        self.data_file, self.found_bytes, self.needed_bytes = data_file, found_bytes, needed_bytes


class StoreFormatError(StoreError):
    """The store has another format than expected."""

    def __init__(self, path: Path, found: bytes, expected: bytes) -> None:
        found_text = found.decode(errors="replace")[:MAX_LOGGED_FORMAT_CHARS]
        super().__init__(f"{path}: format {found_text}, not {expected.decode()}")
        self.path, self.found, self.expected = path, found, expected


class StoreFullError(StoreError):
    """The store has reached its size limit; no record of the batch was written."""

    def __init__(self, path: Path) -> None:
        super().__init__(f"{path}: full")
        self.path = path


class CorruptRecordError(StoreError):
    """A record fails its checksum."""

    def __init__(self, record_name: str) -> None:
        super().__init__(f"{record_name}: the record is corrupt")
        self.record_name = record_name


class UnwritableRecordError(StoreError):
    """A write failed with an unexpected exception, such as a value that cannot be encoded."""

    def __init__(self, cause: Exception) -> None:
        super().__init__(f"not written: {type(cause).__name__}: {cause}")
        self.cause = cause
