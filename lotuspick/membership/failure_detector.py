"""Failure detection: monitored members, acknowledgements and suspicions. Pure.

Suspicions that the subject can refute are taken from SWIM (Das et al., 2002). A process resets its own
suspicions after a stall, as with the local health of Lifeguard (Dadgar et al., 2018). Declaring a member dead
requires a second watcher that also suspects it, so that one broker with a bad link declares no member dead.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass, field

from lotuspick.membership.model import FailureDetectionRules

SUSPICION_LIFETIME = 2  # multiple of silent_us after which a suspicion that is not renewed expires


@dataclass(slots=True)
class SuspectedMember:
    """Suspicions of one member."""

    since_us: int
    """Start of the current uninterrupted suspicion."""
    report_times_us: dict[str, int] = field(default_factory=dict)
    """Time of the last report, by the member that suspects it."""


class FailureDetector:
    """Acknowledgements and suspicions at one broker. It declares no member dead; the caller does."""

    def __init__(self, rules: FailureDetectionRules) -> None:
        self.rules = rules
        self.last_ack_us: dict[str, int] = {}  # by watched member
        self.suspected: dict[str, SuspectedMember] = {}
        self.own_suspicions: dict[
            str, int
        ] = {}  # start of the suspicion (us), by member that this broker suspects
        self.unreachable_reports: dict[
            str, int
        ] = {}  # time (us) of the last report, by member that suspects us
        self.suspicions_raised = 0  # by this broker
        self.false_suspicions = 0  # raised by this broker and refuted

    def watch(self, now: int, subjects: Collection[str]) -> None:
        """Replace the set of watched members."""
        self.last_ack_us = {name: self.last_ack_us.get(name, now) for name in subjects}
        for name in self.own_suspicions.keys() - set(subjects):
            del self.own_suspicions[name]

    def reset_after_stall(self, now: int) -> None:
        """Restart all timeouts: messages that arrived during the stall have not been read yet."""
        self.last_ack_us = dict.fromkeys(self.last_ack_us, now)
        self.own_suspicions.clear()
        for suspected in self.suspected.values():
            suspected.since_us = now

    def silent_members(self, now: int) -> list[str]:
        """Return watched members without an acknowledgement for ``silent_us`` or longer."""
        limit_us = self.rules.silent_us
        return [name for name, acked_us in self.last_ack_us.items() if now - acked_us >= limit_us]

    def suspect(self, now: int, name: str) -> None:
        """Record that this broker suspects a member."""
        self.suspicions_raised += name not in self.own_suspicions
        self.own_suspicions.setdefault(name, now)

    def add_suspicion(self, now: int, name: str, source: str) -> bool:
        """Record that a source suspects a member; return whether this source is new."""
        sources = self.suspected.setdefault(name, SuspectedMember(now)).report_times_us
        new = source not in sources
        sources[source] = now
        return new

    def record_ack(self, now: int, name: str, own_name: str) -> None:
        """Record an acknowledgement of a member and withdraw this broker's suspicion of it."""
        if name in self.last_ack_us:
            self.last_ack_us[name] = now
        suspected = self.suspected.get(name)
        if suspected is not None and name in self.own_suspicions:
            del self.own_suspicions[name]
            self.false_suspicions += 1
            suspected.report_times_us.pop(own_name, None)

    def clear(self, name: str, alive: bool) -> None:
        """Drop all suspicions of a member; ``alive``: it refuted them, otherwise it is dead or has left."""
        self.suspected.pop(name, None)
        if name in self.own_suspicions:
            del self.own_suspicions[name]
            self.false_suspicions += alive

    def expire_unreachable_reports(self, now: int) -> None:
        """Drop reports that this broker is unreachable, unless they were renewed."""
        limit_us = SUSPICION_LIFETIME * self.rules.silent_us
        self.unreachable_reports = {
            name: reported_us
            for name, reported_us in self.unreachable_reports.items()
            if now - reported_us <= limit_us
        }

    def expire_suspicions(self, now: int, name: str) -> bool:
        """Drop suspicions of a member that were not renewed; return whether it is still suspected."""
        sources, limit_us = self.suspected[name].report_times_us, SUSPICION_LIFETIME * self.rules.silent_us
        expired = [source for source, reported_us in sources.items() if now - reported_us > limit_us]
        for source in expired:
            del sources[source]
        if not sources:
            del self.suspected[name]
        return bool(sources)

    def is_overdue(self, now: int, name: str) -> bool:
        """Return whether this broker has suspected a member for ``doubt_us`` or longer."""
        return now - self.own_suspicions.get(name, now) >= self.rules.doubt_us

    def has_quorum(self, name: str, own_name: str, watchers: set[str]) -> bool:
        """Return whether enough watchers suspect a member; this broker counts as a watcher."""
        sources = self.suspected[name].report_times_us.keys()
        return len(sources & watchers | sources & {own_name}) >= min(self.rules.quorum, max(1, len(watchers)))
