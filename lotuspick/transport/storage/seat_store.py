"""The seats on disk: records of the ledger in an environment of :mod:`lotuspick.transport.storage.durable_store`."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from pathlib import Path

import msgspec

from lotuspick.entitlement.ledger import Record, State
from lotuspick.transport.storage.durable_store import Environment, add_checksum, read_only, verify_checksum

FORMAT = 1
DEFAULT_MIB = 256  # a million seats take about 150
ENCODE = msgspec.msgpack.Encoder().encode
DECODE = msgspec.msgpack.Decoder(tuple[int, str, str, int, int, int, bool, int, int, tuple[str, ...]]).decode
STATES = list(State)
SEATS = b"seats"


def pack(record: Record) -> bytes:
    """A record as it lies on disk."""
    return add_checksum(
        record.seat.encode(),
        ENCODE(
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
    """The record of a seat. Raises :class:`StoreFault` for one that is not as it was written."""
    state, session, viewer, epoch, ends_s, changes, counted, from_s, until_s, indeterminate = DECODE(
        verify_checksum(f"seat {seat}", seat.encode(), raw)
    )
    return Record(
        seat, STATES[state], session, viewer, epoch, ends_s, changes, counted, from_s, until_s, indeterminate
    )


class SeatStore:
    """The file. ``most_mib`` bounds its size; ``fault`` is called at each point at which a process may die."""

    def __init__(
        self,
        path: Path,
        most_mib: int = DEFAULT_MIB,
        fault: Callable[[str], None] = lambda point: None,
        sync: bool = True,
    ) -> None:
        self.env = Environment(path, SEATS, str(FORMAT).encode(), most_mib, fault, sync)

    def load(self) -> list[Record]:
        """All records. Raises :class:`StoreFault` naming a spoilt one: nothing is guessed about a paid seat."""
        return [unpack(key.decode(), row) for key, row in self.env.rows()]

    def write(self, records: Iterable[Record], drop: Iterable[str] = ()) -> None:
        """Put records in and drop seats; see :meth:`Environment.commit`."""
        self.env.commit(
            ((each.seat.encode(), pack(each)) for each in records), (seat.encode() for seat in drop)
        )

    def close(self) -> None:
        self.env.close()


def read(path: Path) -> list[Record]:
    """All records of a store, whether a broker has it open or not. Raises :class:`StoreFault`."""
    with read_only(path, SEATS, str(FORMAT).encode(), "store of seats") as rows:
        return [unpack(key.decode(), row) for key, row in rows]
