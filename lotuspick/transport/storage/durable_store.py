"""Durable records: an LMDB environment with a single owner and checksums, and the store of state machines.

LMDB is copy-on-write: it writes changed pages to free pages and switches to them with one small write, so the
last commit survives if the process is killed at any point. Each record also carries a checksum, which detects
later damage on the disk. Commits block; :mod:`lotuspick.transport.storage.group_commit` runs them outside the
reactor's thread.
"""

from __future__ import annotations

import fcntl
from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import IO

import lmdb
from xxhash import xxh3_64_digest

from lotuspick.transport.storage.errors import (
    CorruptRecordError,
    StoreAccessError,
    StoreError,
    StoreFormatError,
    StoreFullError,
    StoreLockedError,
    StoreMissingError,
    StoreTruncatedError,
)

CHECKSUM_BYTES = 8  # size of the XXH3-64 checksum before the body of each record
BYTES_PER_MIB = 2**20
DELETION_SIZE_FACTOR = 2  # a deletion copies the pages that it modifies, at most all of them
TABLES_PER_ENVIRONMENT = 2  # metadata and records
FOLDER_MODE = 0o700
DATA_FILE = "data.mdb"  # fixed by LMDB
OWNER_FILE = "owner"
META_TABLE, FORMAT_KEY = b"meta", b"format"
UNKNOWN_FORMAT = b"none"
STATE_MACHINE_TABLE, STATE_MACHINE_FORMAT = b"steps", b"steps 1"
STATE_MACHINE_MAX_MIB = 16

FaultPoint = Callable[[str], None]
"""Called with the name of each point of a commit; tests kill the process or raise an error there."""


def no_fault(_point: str) -> None:
    """Do nothing: no fault is injected in production."""


def add_checksum(key: bytes, body: bytes) -> bytes:
    """Return the stored form of a record: the checksum of its key and body, then the body."""
    return xxh3_64_digest(key + b"\0" + body) + body


def verify_checksum(record_name: str, key: bytes, stored: bytes) -> bytes:
    """Return the body of a stored record.

    Args:
        record_name: the name of the record in the error message.
        key: the key of the record.
        stored: the result of :func:`add_checksum`.

    Raises:
        CorruptRecordError: the checksum does not match.
    """
    checksum, body = stored[:CHECKSUM_BYTES], stored[CHECKSUM_BYTES:]
    if not body or xxh3_64_digest(key + b"\0" + body) != checksum:
        raise CorruptRecordError(record_name)
    return body


def _check_not_truncated(path: Path) -> None:
    """Reject a truncated data file, since reading a missing page would kill the process (SIGBUS)."""
    data_file = path / DATA_FILE
    if not data_file.exists() or not data_file.stat().st_size:
        return
    probe = lmdb.open(str(path), readonly=True, lock=False, max_dbs=TABLES_PER_ENVIRONMENT)
    needed_bytes = (probe.info()["last_pgno"] + 1) * probe.stat()["psize"]
    probe.close()
    found_bytes = data_file.stat().st_size
    if found_bytes < needed_bytes:
        raise StoreTruncatedError(data_file, found_bytes, needed_bytes)


def _check_format(path: Path, found: bytes, expected: bytes) -> None:
    if found != expected:
        raise StoreFormatError(path, found, expected)


def _acquire_ownership(path: Path) -> IO[str]:
    """Create the folder if necessary and lock its owner file; the lock lasts while the file is open."""
    try:
        path.mkdir(mode=FOLDER_MODE, parents=True, exist_ok=True)
        owner_file = (path / OWNER_FILE).open("w")
        fcntl.flock(owner_file, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError as error:
        raise StoreLockedError(path) from error
    except OSError as error:
        raise StoreAccessError(path, error.strerror) from error
    return owner_file


class Environment:
    """An LMDB environment in one folder, with one table of records, owned by one process."""

    def __init__(
        self,
        path: Path,
        table: bytes,
        format_version: bytes,
        max_mib: int,
        fault_point: FaultPoint = no_fault,
        sync: bool = True,
    ) -> None:
        """Open the environment, or create it if it does not exist.

        Args:
            path: the folder.
            table: the name of the table.
            format_version: the record format; written to a new environment, checked in an existing one.
            max_mib: the size limit of the data, in MiB.
            fault_point: see :data:`FaultPoint`.
            sync: whether a commit waits for the disk; False only for data that need not survive a crash.

        Raises:
            StoreError: the environment cannot be used; the subtype gives the reason.
        """
        self.path, self.fault_point = path, fault_point
        self.max_bytes = max_mib * BYTES_PER_MIB
        self._owner_file = _acquire_ownership(path)
        try:
            _check_not_truncated(self.path)
            self.lmdb_environment = lmdb.open(
                str(self.path),
                map_size=self.max_bytes,
                max_dbs=TABLES_PER_ENVIRONMENT,
                sync=sync,
                metasync=sync,
            )
        except lmdb.Error as error:
            self._owner_file.close()
            raise StoreAccessError(path, error) from error
        except StoreError:
            self._owner_file.close()
            raise
        try:
            self._open_tables(table, format_version)
        except lmdb.Error as error:
            self.close()  # so that the caller can reopen it at once, also in this process
            raise StoreAccessError(path, error) from error
        except StoreError:
            self.close()
            raise

    def _open_tables(self, table: bytes, format_version: bytes) -> None:
        self.meta_table = self.lmdb_environment.open_db(META_TABLE)
        self.records_table = self.lmdb_environment.open_db(table)
        with self.lmdb_environment.begin(write=True) as transaction:
            found = transaction.get(FORMAT_KEY, db=self.meta_table)
            if found is None:
                transaction.put(FORMAT_KEY, format_version, db=self.meta_table)
            else:
                _check_format(self.path, found, format_version)

    def rows(self) -> list[tuple[bytes, bytes]]:
        """Return all keys and records in stored form, ordered by key."""
        with self.lmdb_environment.begin(db=self.records_table, buffers=False) as transaction:
            return list(transaction.cursor())

    def commit(self, rows: Iterable[tuple[bytes, bytes]], deleted_keys: Iterable[bytes] = ()) -> None:
        """Write and delete records atomically; return when the commit is durable.

        A deletion copies pages, so it may temporarily grow a full environment to twice its size limit. Later
        writes reuse the freed pages.

        Args:
            rows: keys and records; the last record of a key wins.
            deleted_keys: keys that are deleted before the records are written.

        Raises:
            StoreFullError: the records do not fit.
            StoreAccessError: the disk or LMDB failed.
        """
        deleted_keys = list(deleted_keys)
        size_factor = DELETION_SIZE_FACTOR if deleted_keys else 1
        try:
            self.fault_point("begin")
            self.lmdb_environment.set_mapsize(self.max_bytes * size_factor)
            with self.lmdb_environment.begin(write=True, db=self.records_table) as transaction:
                for key in deleted_keys:
                    transaction.delete(key)
                for key, row in rows:
                    transaction.put(key, row)
                    self.fault_point("put")
            self.fault_point("committed")
        except lmdb.MapFullError as error:
            raise StoreFullError(self.path) from error
        except (lmdb.Error, OSError) as error:
            raise StoreAccessError(self.path, error) from error

    def close(self) -> None:
        """Close the environment and release its ownership."""
        self.lmdb_environment.close()
        self._owner_file.close()


@contextmanager
def open_read_only(
    path: Path, table: bytes, format_version: bytes, description: str
) -> Iterator[Iterable[tuple[bytes, bytes]]]:
    """Open an environment for reading, whether or not a process owns it.

    Args:
        path: the folder.
        table: the name of the table.
        format_version: the expected format of the records.
        description: the name of the store in the error message if it does not exist.

    Yields:
        All keys and records in stored form.

    Raises:
        StoreError: the environment cannot be read; the subtype gives the reason.
    """
    if not (path / DATA_FILE).exists():
        raise StoreMissingError(path, description)
    try:
        _check_not_truncated(path)
        environment = lmdb.open(str(path), readonly=True, max_dbs=TABLES_PER_ENVIRONMENT)
        try:
            with environment.begin() as transaction:
                meta_table = environment.open_db(META_TABLE, transaction, create=False)
                records_table = environment.open_db(table, transaction, create=False)
                found = transaction.get(FORMAT_KEY, db=meta_table) or UNKNOWN_FORMAT
                _check_format(path, found, format_version)
                yield transaction.cursor(db=records_table)
        finally:
            environment.close()
    except lmdb.Error as error:
        raise StoreAccessError(path, error) from error


class StateMachineStore:
    """Records of state machines by key (:class:`lotuspick.state_machine.PersistRecord`)."""

    def __init__(
        self,
        path: Path,
        max_mib: int = STATE_MACHINE_MAX_MIB,
        fault_point: FaultPoint = no_fault,
        sync: bool = True,
    ) -> None:
        """Open the store; arguments and errors are those of :class:`Environment`."""
        self.environment = Environment(
            path, STATE_MACHINE_TABLE, STATE_MACHINE_FORMAT, max_mib, fault_point, sync
        )

    def load(self) -> dict[str, bytes]:
        """Return all records by key.

        Raises:
            CorruptRecordError: a record is damaged; a promise that rests on it is never guessed.
        """
        records: dict[str, bytes] = {}
        for key, row in self.environment.rows():
            record_name = f"{self.environment.path}: {key.decode(errors='replace')}"
            records[key.decode()] = verify_checksum(record_name, key, row)
        return records

    def write(self, records: Iterable[tuple[str, bytes]], deleted_keys: Iterable[str] = ()) -> None:
        """Write and delete records atomically; see :meth:`Environment.commit`.

        Raises:
            StoreError: no change was written.
        """
        keyed = ((key.encode(), record) for key, record in records)
        self.environment.commit(
            ((key, add_checksum(key, record)) for key, record in keyed),
            (key.encode() for key in deleted_keys),
        )

    def close(self) -> None:
        """Close the store and release its ownership."""
        self.environment.close()
