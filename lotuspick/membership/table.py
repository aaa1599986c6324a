"""Membership table: the accepted record of each name, its time of change and its source. Pure."""

from __future__ import annotations

from typing import NamedTuple

from xxhash import xxh3_64_intdigest

from lotuspick.membership.model import Record, State


class Provenance(NamedTuple):
    """The origin of an accepted record."""

    source: str
    """Name of the reporting member, or address of its link."""
    reason: str


class MembershipTable:
    """The records that one broker has accepted, including its own.

    Dead members and members that have left stay as tombstones, so that a late message does not revive them.

    Args:
        max_tombstones: maximum number of tombstones; the oldest are dropped first.
        tombstone_lifetime_us: maximum age of a tombstone.
    """

    def __init__(self, max_tombstones: int, tombstone_lifetime_us: int) -> None:
        self.max_tombstones, self.tombstone_lifetime_us = max_tombstones, tombstone_lifetime_us
        self.records: dict[str, Record] = {}
        self.changed_at_us: dict[str, int] = {}
        self.provenance: dict[str, Provenance] = {}

    def store(self, now: int, record: Record, source: str, reason: str) -> None:
        """Replace the record of a name at the time ``now`` (us)."""
        self.records[record.name] = record
        self.changed_at_us[record.name] = now
        self.provenance[record.name] = Provenance(source, reason)

    def alive(self) -> list[Record]:
        """Return the records of live members, sorted by name."""
        return sorted(
            (record for record in self.records.values() if record.state is State.ALIVE),
            key=lambda record: record.name,
        )

    def digest(self) -> int:
        """Return a hash of the live records only: tables drop tombstones at different times."""
        return xxh3_64_intdigest(
            repr(
                [
                    (record.name, record.incarnation, record.process_id, record.refutation)
                    for record in self.alive()
                ]
            ).encode()
        )

    def forget_tombstones(self, now: int) -> None:
        """Drop tombstones past their lifetime at the time ``now`` (us), and the oldest above the limit."""
        tombstones = [record for record in self.records.values() if record.state is not State.ALIVE]
        expired = [
            record
            for record in tombstones
            if now - self.changed_at_us[record.name] > self.tombstone_lifetime_us
        ]
        if len(tombstones) - len(expired) > self.max_tombstones:
            by_age = sorted(tombstones, key=lambda record: self.changed_at_us[record.name])
            expired = by_age[: len(tombstones) - self.max_tombstones]
        for record in expired:
            del self.records[record.name], self.changed_at_us[record.name], self.provenance[record.name]
