"""The seat ledger on disk, in an environment of :mod:`lotuspick.transport.storage.durable_store`."""

from __future__ import annotations

from collections.abc import Iterable
from pathlib import Path

import msgspec

from lotuspick.entitlement.ledger import Record, State
from lotuspick.transport.storage.durable_store import (
    Environment,
    FaultPoint,
    add_checksum,
    no_fault,
    open_read_only,
    verify_checksum,
)

SEATS_TABLE, SEATS_FORMAT = b"seats", b"1"
DEFAULT_MAX_MIB = 256  # a million seats take about 150 MiB
STATES_BY_NUMBER = list(State)

Row = tuple[int, str, str, int, int, int, bool, int, int, tuple[str, ...]]
"""The fields of ``Record`` in order, without the seat, which is the key; the state is a number."""

_encode_row = msgspec.msgpack.Encoder().encode
_decode_row = msgspec.msgpack.Decoder(Row).decode


def pack(record: Record) -> bytes:
    """Return the stored form of a record."""
    row: Row = (
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
    return add_checksum(record.seat.encode(), _encode_row(row))


def unpack(seat: str, stored: bytes) -> Record:
    """Return the record of a seat from its stored form, the result of :func:`pack`.

    Raises:
        CorruptRecordError: the checksum does not match.
    """
    row: Row = _decode_row(verify_checksum(f"seat {seat}", seat.encode(), stored))
    state, session, viewer, epoch, ends_s, changes, counted, from_s, until_s, indeterminate = row
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
    """The seat ledger of one broker."""

    def __init__(
        self,
        path: Path,
        max_mib: int = DEFAULT_MAX_MIB,
        fault_point: FaultPoint = no_fault,
        sync: bool = True,
    ) -> None:
        """Open the store; arguments and errors are those of :class:`Environment`."""
        self.environment = Environment(path, SEATS_TABLE, SEATS_FORMAT, max_mib, fault_point, sync)

    def load(self) -> list[Record]:
        """Return all records.

        Raises:
            CorruptRecordError: a record is damaged; the state of a paid seat is never guessed.
        """
        return [unpack(key.decode(), row) for key, row in self.environment.rows()]

    def write(self, records: Iterable[Record], deleted_keys: Iterable[str] = ()) -> None:
        """Write records and delete seats atomically; see :meth:`Environment.commit`.

        Raises:
            StoreError: no change was written.
        """
        self.environment.commit(
            ((record.seat.encode(), pack(record)) for record in records),
            (seat.encode() for seat in deleted_keys),
        )

    def close(self) -> None:
        """Close the store and release its ownership."""
        self.environment.close()


def read_records(path: Path) -> list[Record]:
    """Return all records of a store, whether or not a broker has it open.

    Raises:
        StoreError: the store cannot be read; the subtype gives the reason.
    """
    with open_read_only(path, SEATS_TABLE, SEATS_FORMAT, "seat store") as rows:
        return [unpack(key.decode(), row) for key, row in rows]
