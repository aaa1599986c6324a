"""The seats on disk: records of the ledger in an environment of :mod:`lotuspick.transport.storage.durable_store`."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from pathlib import Path

import msgspec

from lotuspick.entitlement.ledger import Record, State
from lotuspick.transport.storage.durable_store import Environment, add_checksum, read_only, verify_checksum

FORMAT = 1
DEFAULT_MAX_MIB = 256  # a million seats take about 150
ENCODE_ROW = msgspec.msgpack.Encoder().encode
DECODE_ROW = msgspec.msgpack.Decoder(
    tuple[int, str, str, int, int, int, bool, int, int, tuple[str, ...]]
).decode
STATES_BY_NUMBER = list(State)
SEATS_TABLE = b"seats"


def pack(record: Record) -> bytes:
    """A record as it lies on disk."""
    return add_checksum(
        record.seat.encode(),
        ENCODE_ROW(
            (
                int(record.state),
                record.session,
                record.viewer,
                record.epoch,
                record.ends_s,
                record.changes,
                record.counted,
                record.from_s,
                record.until_s,
                record.indeterminate,
            )
        ),
    )


def unpack(seat: str, raw: bytes) -> Record:
    """The record of a seat. Raises :class:`StoreError` for one that is not as it was written."""
    state, session, viewer, epoch, ends_s, changes, counted, from_s, until_s, indeterminate = DECODE_ROW(
        verify_checksum(f"seat {seat}", seat.encode(), raw)
    )
    return Record(
        seat,
        STATES_BY_NUMBER[state],
        session,
        viewer,
        epoch,
        ends_s,
        changes,
        counted,
        from_s,
        until_s,
        indeterminate,
    )


class SeatStore:
    """The file. ``max_mib`` bounds its size; ``fault_point`` is called at each point at which a process may die."""

    def __init__(
        self,
        path: Path,
        max_mib: int = DEFAULT_MAX_MIB,
        fault_point: Callable[[str], None] = lambda point: None,
        sync: bool = True,
    ) -> None:
        self.environment = Environment(path, SEATS_TABLE, str(FORMAT).encode(), max_mib, fault_point, sync)

    def load(self) -> list[Record]:
        """All records. Raises :class:`StoreError` naming a spoilt one: nothing is guessed about a paid seat."""
        return [unpack(key.decode(), row) for key, row in self.environment.rows()]

    def write(self, records: Iterable[Record], dropped_keys: Iterable[str] = ()) -> None:
        """Put records in and drop seats; see :meth:`Environment.commit`."""
        self.environment.commit(
            ((record.seat.encode(), pack(record)) for record in records),
            (seat.encode() for seat in dropped_keys),
        )

    def close(self) -> None:
        self.environment.close()


def read(path: Path) -> list[Record]:
    """All records of a store, whether a broker has it open or not. Raises :class:`StoreError`."""
    with read_only(path, SEATS_TABLE, str(FORMAT).encode(), "store of seats") as rows:
        return [unpack(key.decode(), row) for key, row in rows]
