"""What lasts: an LMDB environment with checked records and one owner, and the store of the parts that are written in
the step form.

LMDB writes pages anew and turns to them with one small write, so that a process killed at any point leaves the last
commit; each record carries a checksum all the same, against what a disk does to it later.
"""

from __future__ import annotations

import fcntl
from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager
from pathlib import Path

import lmdb
from xxhash import xxh3_64_digest

from lotuspick.transport.storage.errors import StoreError

CHECKSUM_BYTES = 8  # bytes of checksum before each record
META_TABLE = b"meta"
STATE_MACHINE_TABLE, STATE_MACHINE_FORMAT = b"steps", b"steps 1"


def add_checksum(key: bytes, body: bytes) -> bytes:
    """A record as it lies on disk: its checksum, over its key as well, and its body."""
    return xxh3_64_digest(key + b"\0" + body) + body


def verify_checksum(what: str, key: bytes, raw: bytes) -> bytes:
    """The body of a record. Raises :class:`StoreError`, naming ``what``, for one that is not as it was written."""
    if (
        len(raw) <= CHECKSUM_BYTES
        or xxh3_64_digest(key + b"\0" + raw[CHECKSUM_BYTES:]) != raw[:CHECKSUM_BYTES]
    ):
        raise StoreError(f"{what}: the record is spoilt")
    return raw[CHECKSUM_BYTES:]


def _check_not_truncated(path: Path) -> None:
    """Guards against a file that was cut off: a page that is not there would end the process by a signal."""
    data = path / "data.mdb"
    if data.exists() and data.stat().st_size:
        probe = lmdb.open(str(path), readonly=True, lock=False, max_dbs=2)
        needed_bytes = (probe.info()["last_pgno"] + 1) * probe.stat()["psize"]
        probe.close()
        if data.stat().st_size < needed_bytes:
            raise StoreError(f"{data}: cut off at {data.stat().st_size} of {needed_bytes} bytes")


def _check_format(path: Path, found: bytes, expected: bytes) -> None:
    if found != expected:
        raise StoreError(f"{path}: format {found.decode(errors='replace')[:20]}, not {expected.decode()}")


class Environment:
    """One folder with the records of one table. ``max_mib`` bounds its size; ``fault_point`` is called at each point at
    which a process may die."""

    def __init__(
        self,
        path: Path,
        table: bytes,
        format_version: bytes,
        max_mib: int,
        fault_point: Callable[[str], None] = lambda point: None,
        sync: bool = True,
    ) -> None:
        self.path, self.fault_point, self.max_bytes = path, fault_point, max_mib * 2**20
        try:
            path.mkdir(mode=0o700, parents=True, exist_ok=True)
            self._owner_file = (path / "owner").open("w")
            fcntl.flock(self._owner_file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            raise StoreError(f"{path}: another process has it open") from None
        except OSError as error:
            raise StoreError(f"{path}: {error.strerror}") from None
        try:
            _check_not_truncated(path)
            self.lmdb_environment = lmdb.open(
                str(path), map_size=self.max_bytes, max_dbs=2, sync=sync, metasync=sync
            )
            self.meta_table, self.records_table = (
                self.lmdb_environment.open_db(META_TABLE),
                self.lmdb_environment.open_db(table),
            )
            with self.lmdb_environment.begin(write=True) as transaction:
                found = transaction.get(b"format", db=self.meta_table)
                if found is None:
                    transaction.put(b"format", format_version, db=self.meta_table)
                else:
                    _check_format(path, found, format_version)
        except lmdb.Error as error:
            self._owner_file.close()
            raise StoreError(f"{path}: {error}") from None
        except StoreError:
            self._owner_file.close()
            raise

    def rows(self) -> list[tuple[bytes, bytes]]:
        """All records by key, as they lie there."""
        with self.lmdb_environment.begin(db=self.records_table, buffers=False) as transaction:
            return list(transaction.cursor())

    def commit(self, rows: Iterable[tuple[bytes, bytes]], dropped_keys: Iterable[bytes] = ()) -> None:
        """Put records in and drop others, all or nothing, and return when it lasts; of one key the last wins. Raises
        :class:`StoreError`. Dropping copies the pages that it touches, up to all of them, so a full store may go to
        twice its bound for it; what is freed is used again."""
        dropped_keys = list(dropped_keys)
        try:
            self.fault_point("begin")
            self.lmdb_environment.set_mapsize(self.max_bytes * (2 if dropped_keys else 1))
            with self.lmdb_environment.begin(write=True, db=self.records_table) as transaction:
                for key in dropped_keys:
                    transaction.delete(key)
                for key, row in rows:
                    transaction.put(key, row)
                    self.fault_point("put")
            self.fault_point("committed")
        except lmdb.MapFullError:
            raise StoreError(f"{self.path}: full") from None
        except (lmdb.Error, OSError) as error:
            raise StoreError(f"{self.path}: {error}") from None

    def close(self) -> None:
        self.lmdb_environment.close()
        self._owner_file.close()


@contextmanager
def read_only(
    path: Path, table: bytes, format_version: bytes, what: str
) -> Iterator[Iterable[tuple[bytes, bytes]]]:
    """All records of a store, whether a process has it open or not. Raises :class:`StoreError`, naming ``what`` is not
    there where nothing is."""
    if not (path / "data.mdb").exists():
        raise StoreError(f"{path}: no {what}")
    try:
        _check_not_truncated(path)
        env = lmdb.open(str(path), readonly=True, max_dbs=2)
        try:
            with env.begin() as transaction:
                meta, rows = (
                    env.open_db(META_TABLE, transaction, create=False),
                    env.open_db(table, transaction, create=False),
                )
                _check_format(path, transaction.get(b"format", db=meta) or b"none", format_version)
                yield transaction.cursor(db=rows)
        finally:
            env.close()
    except lmdb.Error as error:
        raise StoreError(f"{path}: {error}") from None


class StateMachineStore:
    """What parts in the step form keep (:class:`lotuspick.state_machine.Write`): records by key."""

    def __init__(
        self,
        path: Path,
        max_mib: int = 16,
        fault_point: Callable[[str], None] = lambda point: None,
        sync: bool = True,
    ) -> None:
        self.environment = Environment(
            path, STATE_MACHINE_TABLE, STATE_MACHINE_FORMAT, max_mib, fault_point, sync
        )

    def load(self) -> dict[str, bytes]:
        """All records. Raises :class:`StoreError` naming a spoilt one: nothing is guessed about what was promised."""
        return {
            key.decode(): verify_checksum(
                f"{self.environment.path}: {key.decode(errors='replace')}", key, row
            )
            for key, row in self.environment.rows()
        }

    def write(self, records: Iterable[tuple[str, bytes]], dropped_keys: Iterable[str] = ()) -> None:
        """Put records in place of those before, all or nothing, and return when it lasts, or :class:`StoreError`."""
        keyed = ((key.encode(), record) for key, record in records)
        self.environment.commit(
            ((key, add_checksum(key, record)) for key, record in keyed),
            (key.encode() for key in dropped_keys),
        )

    def close(self) -> None:
        self.environment.close()
