"""State machine of one broker's membership: handles messages, timers and commands. Pure.

:class:`Members` implements :mod:`lotuspick.state_machine`. It tracks which members are alive, dead or have
left, and returns messages, writes and notifications as effects. ``view`` and ``table`` hold the records,
``rings`` the monitoring topology, ``failure_detector`` the suspicions and ``gossip`` the updates to send.
``docs/membership/design.md`` compares the design with alternatives.
"""

from __future__ import annotations

import random
from collections.abc import Sequence

import msgspec

from lotuspick.membership.failure_detector import SuspectedMember
from lotuspick.membership.model import (
    MAX_RECORDS,
    Ack,
    Begin,
    Digest,
    Drain,
    FailureDetectionRules,
    Leave,
    MembershipError,
    MembershipUpdate,
    MonitoringReport,
    Ping,
    Record,
    Relay,
    Stalled,
    State,
    Suspicion,
    SuspicionReport,
    Sync,
)
from lotuspick.membership.rings import MonitoringRings
from lotuspick.membership.view import INCARNATION_KEY, PERIOD_TIMER, MembershipView
from lotuspick.state_machine import (
    CommandReceived,
    Effect,
    Event,
    MessageReceived,
    Notify,
    ProcessStarted,
    StartTimer,
    TimerFired,
)

RELAY_COUNT = 2  # relays that ping a member that does not answer; doubled once it is suspected
MAX_PENDING_RELAYS = 256  # relayed pings without an acknowledgement
MAX_REJECTED_PEERS = 64  # peers with a count of rejected messages; the oldest are dropped


class Members(MembershipView):
    """Membership of one broker, as a state machine."""

    def __init__(self, rules: FailureDetectionRules | None = None) -> None:
        super().__init__(rules)
        self.rejected: dict[str, int] = {}  # number of rejected messages, by peer
        self._rings = MonitoringRings(self.rules.watchers)
        self._pending_relays: dict[int, tuple[str, int]] = {}  # requester and its ping number
        self._ping_number = 0

    def step(self, now: int, event: Event) -> Sequence[Effect]:
        """Handle one event; see :mod:`lotuspick.state_machine`."""
        self._now, self._effects = now, []
        match event:
            case ProcessStarted():
                self._random = random.Random(event.seed)
                self._incarnation = int(event.records.get(INCARNATION_KEY, b"0")) + 1
            case CommandReceived():
                self._on_command(event.command)
            case TimerFired() if event.timer == PERIOD_TIMER and self._is_active:
                self._on_period()
            case MessageReceived() if self._is_active:
                self._on_message(event.peer, event.message)
            case _:
                pass
        return self._effects

    def explain(self, name: str, now: int) -> MonitoringReport:
        """Return the monitoring data on a member at the time ``now`` (us)."""
        detector = self.detector
        return MonitoringReport(
            watchers=tuple(sorted(self._rings.watchers(name))),
            last_ack_us_ago=_time_since(detector.last_ack_us.get(name), now),
            suspicion=_suspicion_report(detector.suspected.get(name), now),
            unreachable_reported_us_ago=_time_since(detector.unreachable_reports.get(name), now),
        )

    def _on_command(self, command: object) -> None:
        match command:
            case Begin():
                self._begin(command)
            case Leave():
                self._leave()
            case Drain() if self._is_active:
                self._drain(command.name)
            case _:
                pass

    # ---- periodic work -------------------------------------------------------------------------------------

    def _on_period(self) -> None:
        rules, stall_us = self.rules, self._now - self._period_began_us - self.rules.period_us
        self._period_began_us = self._now
        self._effects.append(StartTimer(PERIOD_TIMER, rules.period_us))
        if stall_us > rules.period_us:
            self.detector.reset_after_stall(self._now)
            self._effects.append(Notify(Stalled(stall_us)))
        # At most once per period: in a large fleet many members join and leave together.
        if self._rings_outdated:
            self._rings_outdated = False
            self._rings.redraw([record.name for record in self.alive()])
            self._watch()
        self._suspect_silent()
        self._declare_dead()
        for name in list(self.detector.last_ack_us):
            self._ping(name)
        if self._now - self._synced_us >= rules.sync_interval_us:
            self._synced_us = self._now
            self._send_digests()

    def _watch(self) -> None:
        subjects = self._rings.subjects(self._own_name, self._is_alive, self.detector.suspected)
        self.detector.watch(self._now, subjects)

    def _is_alive(self, name: str) -> bool:
        record = self.records.get(name)
        return record is not None and record.state is State.ALIVE

    def _suspect_silent(self) -> None:
        for name in self.detector.silent_members(self._now):
            if name in self.detector.last_ack_us:  # each suspicion may change the watched members
                self.detector.suspect(self._now, name)
                record = self.records[name]
                self._on_suspicion(
                    Suspicion(name, record.incarnation, record.process_id, record.refutation, self._own_name)
                )

    def _declare_dead(self) -> None:
        """Declare members dead that a quorum of their watchers has suspected for long enough."""
        detector = self.detector
        detector.expire_unreachable_reports(self._now)
        for name, member in list(detector.suspected.items()):
            if not detector.expire_suspicions(self._now, name):
                self._watch()
            elif detector.is_overdue(self._now, name) and detector.has_quorum(
                name, self._own_name, self._rings.watchers(name)
            ):
                record = msgspec.structs.replace(self.records[name], state=State.DEAD)
                self._accept(
                    record, self._own_name, "silent, reported by " + " ".join(sorted(member.report_times_us))
                )

    def _ping(self, name: str) -> None:
        suspected = name in self.detector.own_suspicions
        for _ in range(1 + suspected):  # two pings to a suspected member: each may be lost
            self._ping_number += 1
            ping = Ping(self._ping_number, self._updates_for(name))
            self._send(self.records[name].address, ping)
        if self._now - self.detector.last_ack_us[name] >= self.rules.silent_us // 2:
            self._ping_by_relays(name, RELAY_COUNT * (1 + suspected))

    def _ping_by_relays(self, name: str, count: int) -> None:
        relays = [
            record.address
            for record in self.alive()
            if record.name not in (name, self._own_name) and record.name not in self.detector.suspected
        ]
        for address in self._random.sample(relays, min(count, len(relays))):
            self._send(address, Relay(self._ping_number, name, self._updates_for()))

    def _send_digests(self) -> None:
        """Send a digest to one live member, and to one member or seed that is not known to be alive.

        The latter merges the two sides of a healed network partition.
        """
        if not self.joined:
            self._sync_with_seeds()
        alive = {record.address for record in self.alive()}
        dead = {record.address for record in self.records.values() if record.state is State.DEAD}
        others = sorted(alive - {self.records[self._own_name].address})
        missing = sorted((dead | set(self.seeds)) - alive)
        for addresses in (others, missing):
            if addresses:  # unreliable: the next digest makes up for a lost one
                self._send(self._random.choice(addresses), Digest(self.table.digest()))

    # ---- messages -----------------------------------------------------------------------------------------

    def _on_message(self, peer: str, message: object) -> None:
        try:
            self._dispatch(peer, message)
        except MembershipError:
            self.rejected[peer] = self.rejected.pop(peer, 0) + 1
            if len(self.rejected) > MAX_REJECTED_PEERS:
                del self.rejected[next(iter(self.rejected))]

    def _dispatch(self, peer: str, message: object) -> None:
        match message:
            case Ping():
                self._on_updates(message.updates, peer)
                self._send(peer, Ack(message.number, self._own_name, self._updates_for()))
            case Ack():
                self._on_ack(peer, message)
            case Relay():
                self._on_relay(peer, message)
            case Sync():
                self._on_sync(peer, message)
            case Digest():
                if message.value != self.table.digest():
                    self._send(peer, self._full_sync(answer=True), reliable=True)
            case _:
                raise MembershipError(f"unknown message type {type(message).__name__}")

    def _on_ack(self, peer: str, ack: Ack) -> None:
        self._on_updates(ack.updates, peer)
        self._record_ack(ack.member)
        relayed = self._pending_relays.pop(ack.number, None)
        if relayed is not None:
            requester, number = relayed
            self._send(requester, Ack(number, ack.member, self._updates_for()))

    def _on_relay(self, peer: str, relay: Relay) -> None:
        self._on_updates(relay.updates, peer)
        target = self.records.get(relay.target)
        if target is None or target.state is not State.ALIVE or target.name == self._own_name:
            return
        self._ping_number += 1
        self._pending_relays[self._ping_number] = (peer, relay.number)
        if len(self._pending_relays) > MAX_PENDING_RELAYS:
            del self._pending_relays[next(iter(self._pending_relays))]
        self._send(target.address, Ping(self._ping_number, self._updates_for(target.name)))

    def _on_sync(self, peer: str, sync: Sync) -> None:
        if len(sync.records) > MAX_RECORDS:
            raise MembershipError(
                f"{len(sync.records)} records in a Sync exceed the maximum of {MAX_RECORDS}"
            )
        for record in sync.records:
            self._accept(record, peer, "told all")
        if self.displaced:
            return
        if sync.answer or not self.joined:
            self._send(peer, self._full_sync(answer=False), reliable=True)
        self.joined |= not sync.answer

    def _on_updates(self, updates: Sequence[MembershipUpdate], peer: str) -> None:
        for update in updates:
            if isinstance(update, Record):
                self._accept(update, peer, "told")
            else:
                self._on_suspicion(update)
            if self.displaced:
                return

    def _on_suspicion(self, suspicion: Suspicion) -> None:
        """Handle a suspicion of a current record. Sources must be known members, to bound the memory."""
        record, source = self.records.get(suspicion.name), suspicion.suspected_by
        if record is None or record.state is not State.ALIVE or source not in self.records:
            return
        if (record.incarnation, record.process_id, record.refutation) != (
            suspicion.incarnation,
            suspicion.process_id,
            suspicion.refutation,
        ):
            return
        if suspicion.name == self._own_name:
            self.detector.unreachable_reports[source] = self._now
            self._refute(self._own_record.refutation, f"refutes {source}")
            return
        first = suspicion.name not in self.detector.suspected
        new = self.detector.add_suspicion(self._now, suspicion.name, source)
        if new or source == self._own_name:
            self._gossip.add(suspicion)
        if first:
            self._watch()

    def _record_ack(self, name: str) -> None:
        self.detector.record_ack(self._now, name, self._own_name)

    def _full_sync(self, answer: bool) -> Sync:
        return Sync(sorted(self.records.values(), key=lambda record: record.name), answer)

    def _updates_for(self, receiver: str = "") -> list[MembershipUpdate]:
        """Return the updates for one message; without a receiver, for any member."""
        member = self.detector.suspected.get(receiver)
        return self._gossip.take(len(self.records), receiver, member.report_times_us if member else ())


def _time_since(at_us: int | None, now: int) -> int | None:
    return now - at_us if at_us is not None else None


def _suspicion_report(member: SuspectedMember | None, now: int) -> SuspicionReport | None:
    if member is None:
        return None
    reported_us_ago = {
        source: now - reported_us for source, reported_us in sorted(member.report_times_us.items())
    }
    return SuspicionReport(now - member.since_us, reported_us_ago)
