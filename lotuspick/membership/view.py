"""One broker's view of the fleet: its own record, the records of others, joining and leaving. Pure.

:class:`MembershipView` holds the state and the rules for accepting records. Its subclass
:class:`~lotuspick.membership.members.Members` handles messages and timers. Only these two classes change the
state.
"""

from __future__ import annotations

import random

import msgspec

from lotuspick.membership.failure_detector import FailureDetector
from lotuspick.membership.gossip import GossipQueue
from lotuspick.membership.model import (
    Begin,
    Changed,
    Displaced,
    FailureDetectionRules,
    Message,
    Record,
    State,
    Sync,
    validate,
)
from lotuspick.membership.table import MembershipTable
from lotuspick.state_machine import Effect, Notify, PersistRecord, SendMessage, StartTimer

PERIOD_TIMER = "period"
INCARNATION_KEY = "life"  # key of the record on disk
MIN_LEAVE_NOTICES = 3  # minimum number of members that are notified directly when this broker leaves


class MembershipView:
    """The records of all members at one broker. Peers are identified by the addresses of their links."""

    def __init__(self, rules: FailureDetectionRules | None = None) -> None:
        self.rules = rules or FailureDetectionRules()
        self.own: Record | None = None
        self.seeds: tuple[str, ...] = ()
        self.table = MembershipTable(self.rules.max_tombstones, self.rules.tombstone_lifetime_us)
        self.records = self.table.records  # by name, including this broker's own
        self.detector = FailureDetector(self.rules)
        self.joined = False  # a member has answered, or there are no seeds
        self.displaced = self.left = False
        self.refutations = 0  # of others' reports about this broker
        self._gossip = GossipQueue(self.rules.retransmit_factor, self.rules.max_piggybacked)
        self._random = random.Random(0)
        self._incarnation = 0
        self._rings_outdated = False  # the live members have changed since the rings were computed
        self._period_began_us = self._synced_us = 0
        self._effects: list[Effect] = []
        self._now = 0

    def alive(self) -> list[Record]:
        """Return the records of live members, including this broker, sorted by name."""
        return self.table.alive()

    def reached(self) -> list[Record]:
        """Return the records of members that can exchange messages with this broker.

        Includes this broker, and excludes members that are suspected or that suspect this broker. An isolated
        broker cannot declare members dead without another watcher, but it reaches no other member.
        """
        suspected, unreachable_reports = self.detector.suspected, self.detector.unreachable_reports
        return [
            record
            for record in self.alive()
            if record.name not in suspected and record.name not in unreachable_reports
        ]

    def suspected(self) -> dict[str, tuple[str, ...]]:
        """Return the suspected members, each with the members that suspect it."""
        return {
            name: tuple(sorted(member.report_times_us)) for name, member in self.detector.suspected.items()
        }

    @property
    def _is_active(self) -> bool:
        return self.own is not None and not self.displaced and not self.left

    @property
    def _own_name(self) -> str:
        return self._own_record.name

    @property
    def _own_record(self) -> Record:
        assert self.own is not None, "no message is sent or record accepted before Begin"
        return self.own

    # ---- joining and leaving ------------------------------------------------------------------------------

    def _begin(self, begin: Begin) -> None:
        self.seeds = tuple(seed for seed in begin.seeds if seed != begin.address)
        self.joined = not self.seeds
        self.own = validate(
            Record(
                begin.name,
                self._incarnation,
                self._random.getrandbits(63),
                0,
                State.ALIVE,
                begin.address,
                begin.zone,
                begin.version,
                begin.offers,
            )
        )
        self._persist_incarnation()  # before any message that carries it
        self._period_began_us = self._synced_us = self._now
        self._accept(self.own, begin.name, "start")
        delay_us = self._random.randrange(1, self.rules.period_us + 1)
        self._effects.append(StartTimer(PERIOD_TIMER, delay_us))
        self._sync_with_seeds()

    def _persist_incarnation(self) -> None:
        self._effects.append(PersistRecord(INCARNATION_KEY, b"%d" % self._incarnation))

    def _sync_with_seeds(self) -> None:
        """Request the fleet's record of this name before announcing an own record."""
        for seed in self.seeds:
            self._send(seed, Sync([], answer=True), reliable=True)

    def _leave(self) -> None:
        if self.own is None or self.left:
            return
        own = self.own
        record = msgspec.structs.replace(own, state=State.LEFT, refutation=own.refutation + 1)
        self._announce_departure(record, own.name, "left")

    def _announce_departure(self, record: Record, source: str, reason: str) -> None:
        """Send the final messages of this broker, and mark it as having left."""
        addresses = [other.address for other in self.alive() if other.name != record.name]
        count = min(len(addresses), max(MIN_LEAVE_NOTICES, self.rules.watchers))
        for address in self._random.sample(addresses, count):
            self._send(address, Sync([record]), reliable=True)
        self.own, self.left = record, True
        self._accept(record, source, reason)

    def _drain(self, name: str) -> None:
        """Remove a member for an operator. The member is notified, and leaves if it is alive."""
        record = self.records.get(name)
        if name == self._own_name:
            self._leave()
        elif record is not None and record.state is not State.LEFT:
            left_record = msgspec.structs.replace(record, state=State.LEFT, refutation=record.refutation + 1)
            self._send(record.address, Sync([left_record]), reliable=True)
            self._accept(left_record, self._own_name, "drained")

    def _take_next_incarnation(self, earlier: Record) -> None:
        """Choose an incarnation above the one in the fleet's record of an earlier process of this name."""
        self._incarnation = max(self._incarnation, earlier.incarnation) + 1
        self._persist_incarnation()
        own = msgspec.structs.replace(self._own_record, incarnation=self._incarnation, refutation=0)
        self.own = own
        self._accept(own, own.name, "the fleet has a record of an earlier incarnation")

    # ---- records -------------------------------------------------------------------------------------------

    def _accept(self, record: Record, source: str, reason: str) -> None:
        """Accept a reported record if it supersedes the current one."""
        own, before = self.own, self.records.get(record.name)
        if own is not None and not self.joined and record.name == own.name and record.process != own.process:
            if record.incarnation >= own.incarnation:
                self._take_next_incarnation(record)  # an earlier process of this name
            return
        if before is not None and not record.supersedes(before):
            return
        validate(record)
        if own is not None and record.name == own.name and record != own:
            self._on_report_of_self(record, source, reason)
            return
        self._store(record, before, source, reason)

    def _store(self, record: Record, before: Record | None, source: str, reason: str) -> None:
        alive = record.state is State.ALIVE
        self.table.store(self._now, record, source, reason)
        self.detector.clear(record.name, alive)  # they concern an earlier refutation
        self._gossip.add(record)
        if before is None or (before.process, before.state, before.address) != (
            record.process,
            record.state,
            record.address,
        ):
            self._effects.append(Notify(Changed(record, source, reason)))
            self._rings_outdated = True
        if not alive:
            self.detector.last_ack_us.pop(record.name, None)  # stops watching before the rings are recomputed
            self.table.forget_tombstones(self._now)

    def _on_report_of_self(self, record: Record, source: str, reason: str) -> None:
        """Handle a report about this broker's name that does not originate from it."""
        own = self._own_record
        if record.process == own.process:
            if record.state is State.LEFT:  # drained
                self._announce_departure(record, source, reason)
            elif record.state is State.DEAD:
                self._refute(record.refutation, "refuted")
        elif record.state is not State.ALIVE or record.address == own.address:
            self._take_next_incarnation(record)  # an earlier process, dead or at this address
        else:
            self.displaced = True
            self.records[record.name] = record
            self._effects.append(Notify(Displaced(record)))

    def _refute(self, refutation: int, reason: str) -> None:
        """Announce that this broker is alive, with a higher refutation number than the report."""
        self.refutations += 1
        self.own = msgspec.structs.replace(self._own_record, refutation=refutation + 1)
        self._accept(self.own, self.own.name, reason)

    def _send(self, peer: str, message: Message, reliable: bool = False) -> None:
        if not self.displaced:
            self._effects.append(SendMessage(peer, message, reliable))
