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

SUM = 8  # bytes of checksum before each record
META = b"meta"


def add_checksum(key: bytes, body: bytes) -> bytes:
    """A record as it lies on disk: its checksum, over its key as well, and its body."""
    return xxh3_64_digest(key + b"\0" + body) + body


def verify_checksum(what: str, key: bytes, raw: bytes) -> bytes:
    """The body of a record. Raises :class:`StoreError`, naming ``what``, for one that is not as it was written."""
    if len(raw) <= SUM or xxh3_64_digest(key + b"\0" + raw[SUM:]) != raw[:SUM]:
        raise StoreError(f"{what}: the record is spoilt")
    return raw[SUM:]


def _whole(path: Path) -> None:
    """Guards against a file that was cut off: a page that is not there would end the process by a signal."""
    data = path / "data.mdb"
    if data.exists() and data.stat().st_size:
        probe = lmdb.open(str(path), readonly=True, lock=False, max_dbs=2)
        need = (probe.info()["last_pgno"] + 1) * probe.stat()["psize"]
        probe.close()
        if data.stat().st_size < need:
            raise StoreError(f"{data}: cut off at {data.stat().st_size} of {need} bytes")


def _known(path: Path, found: bytes, wanted: bytes) -> None:
    if found != wanted:
        raise StoreError(f"{path}: format {found.decode(errors='replace')[:20]}, not {wanted.decode()}")


class Environment:
    """One folder with the records of one table. ``most_mib`` bounds its size; ``fault`` is called at each point at
    which a process may die."""

    def __init__(
        self,
        path: Path,
        table: bytes,
        form: bytes,
        most_mib: int,
        fault: Callable[[str], None] = lambda point: None,
        sync: bool = True,
    ) -> None:
        self.path, self.fault, self.most = path, fault, most_mib * 2**20
        try:
            path.mkdir(mode=0o700, parents=True, exist_ok=True)
            self._lock = (path / "owner").open("w")
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            raise StoreError(f"{path}: another process has it open") from None
        except OSError as error:
            raise StoreError(f"{path}: {error.strerror}") from None
        try:
            _whole(path)
            self.env = lmdb.open(str(path), map_size=self.most, max_dbs=2, sync=sync, metasync=sync)
            self._meta, self._table = self.env.open_db(META), self.env.open_db(table)
            with self.env.begin(write=True) as change:
                found = change.get(b"format", db=self._meta)
                if found is None:
                    change.put(b"format", form, db=self._meta)
                else:
                    _known(path, found, form)
        except lmdb.Error as error:
            self._lock.close()
            raise StoreError(f"{path}: {error}") from None
        except StoreError:
            self._lock.close()
            raise

    def rows(self) -> list[tuple[bytes, bytes]]:
        """All records by key, as they lie there."""
        with self.env.begin(db=self._table, buffers=False) as reading:
            return list(reading.cursor())

    def commit(self, rows: Iterable[tuple[bytes, bytes]], drop: Iterable[bytes] = ()) -> None:
        """Put records in and drop others, all or nothing, and return when it lasts; of one key the last wins. Raises
        :class:`StoreError`. Dropping copies the pages that it touches, up to all of them, so a full store may go to
        twice its bound for it; what is freed is used again."""
        drop = list(drop)
        try:
            self.fault("begin")
            self.env.set_mapsize(self.most * (2 if drop else 1))
            with self.env.begin(write=True, db=self._table) as change:
                for key in drop:
                    change.delete(key)
                for key, row in rows:
                    change.put(key, row)
                    self.fault("put")
            self.fault("committed")
        except lmdb.MapFullError:
            raise StoreError(f"{self.path}: full") from None
        except (lmdb.Error, OSError) as error:
            raise StoreError(f"{self.path}: {error}") from None

    def close(self) -> None:
        self.env.close()
        self._lock.close()


@contextmanager
def read_only(path: Path, table: bytes, form: bytes, what: str) -> Iterator[Iterable[tuple[bytes, bytes]]]:
    """All records of a store, whether a process has it open or not. Raises :class:`StoreError`, naming ``what`` is not
    there where nothing is."""
    if not (path / "data.mdb").exists():
        raise StoreError(f"{path}: no {what}")
    try:
        _whole(path)
        env = lmdb.open(str(path), readonly=True, max_dbs=2)
        try:
            with env.begin() as reading:
                meta, rows = (
                    env.open_db(META, reading, create=False),
                    env.open_db(table, reading, create=False),
                )
                _known(path, reading.get(b"format", db=meta) or b"none", form)
                yield reading.cursor(db=rows)
        finally:
            env.close()
    except lmdb.Error as error:
        raise StoreError(f"{path}: {error}") from None


class StateMachineStore:
    """What parts in the step form keep (:class:`lotuspick.state_machine.Write`): records by key."""

    TABLE, FORM = b"steps", b"steps 1"

    def __init__(
        self,
        path: Path,
        most_mib: int = 16,
        fault: Callable[[str], None] = lambda point: None,
        sync: bool = True,
    ) -> None:
        self.env = Environment(path, self.TABLE, self.FORM, most_mib, fault, sync)

    def load(self) -> dict[str, bytes]:
        """All records. Raises :class:`StoreError` naming a spoilt one: nothing is guessed about what was promised."""
        return {
            key.decode(): verify_checksum(f"{self.env.path}: {key.decode(errors='replace')}", key, row)
            for key, row in self.env.rows()
        }

    def write(self, records: Iterable[tuple[str, bytes]], drop: Iterable[str] = ()) -> None:
        """Put records in place of those before, all or nothing, and return when it lasts, or :class:`StoreError`."""
        keyed = ((key.encode(), record) for key, record in records)
        self.env.commit(
            ((key, add_checksum(key, record)) for key, record in keyed), (key.encode() for key in drop)
        )

    def close(self) -> None:
        self.env.close()
