"""Auditor: compares the set-ups that the fake nodes ran with the seats counted by the settled ledgers.

It queries no broker and shares no code with the ledger.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from itertools import pairwise

FIELDS_PER_LINE = 5
RAN, ENDED = "ran", "over"
HANDOVER_LIMIT_S = 3.0
"""Longest time that a viewer changing brokers may play two sessions at once."""


@dataclass(slots=True)
class AuditFindings:
    """Results of an audit; the lists contain seat names."""

    seats_run: int = 0
    """Number of seats with a set-up that ran."""
    set_ups: int = 0
    """Number of set-ups that ran; above ``seats_run`` where viewers returned."""
    double_counts: list[str] = field(default_factory=list)
    """Seats counted more than once."""
    phantom_counts: list[str] = field(default_factory=list)
    """Seats counted although no set-up ran."""
    missed_counts: list[str] = field(default_factory=list)
    """Seats with a set-up that ran, neither counted nor reported as indeterminate."""
    indeterminate: int = 0
    """Number of seats correctly reported as indeterminate: a set-up ran but no broker received its answer."""
    concurrent: int = 0
    """Number of seats with two concurrent sessions for longer than a handover."""


@dataclass(slots=True)
class PlayTime:
    """Start and end of one session, in Unix seconds."""

    began_s: float
    ended_s: float = float("inf")


PlayTimes = dict[str, dict[str, PlayTime]]
"""Play times by seat and session."""


def audit(
    node_log: Iterable[str],
    counted: Iterable[str],
    indeterminate: Iterable[str],
    handover_limit_s: float = HANDOVER_LIMIT_S,
) -> AuditFindings:
    """Check the settled ledgers against the set-ups that ran.

    Args:
        node_log: Lines of the nodes' logs, ``ran|over SESSION SEAT NODE TIME``.
        counted: Counted seats, once per count.
        indeterminate: Seats for which the ledgers cannot determine whether they were used.
        handover_limit_s: Longest permitted overlap of two sessions of one seat.
    """
    play_times = read_play_times(node_log)
    counts_by_seat, known_indeterminate = Counter(counted), set(indeterminate)
    findings = AuditFindings(
        seats_run=len(play_times), set_ups=sum(len(sessions) for sessions in play_times.values())
    )
    for seat, count in counts_by_seat.items():
        if count > 1:
            findings.double_counts.append(seat)
        if seat not in play_times:
            findings.phantom_counts.append(seat)
    for seat, sessions in play_times.items():
        if seat not in counts_by_seat:
            if seat in known_indeterminate:
                findings.indeterminate += 1
            else:
                findings.missed_counts.append(seat)
        findings.concurrent += _overlaps(list(sessions.values()), handover_limit_s)
    return findings


def read_play_times(node_log: Iterable[str]) -> PlayTimes:
    """Read the play times of all sessions; skip a line truncated by the stop of its node."""
    play_times: PlayTimes = defaultdict(dict)
    for line in node_log:
        fields = line.split()
        if len(fields) != FIELDS_PER_LINE:
            continue
        event, session, seat, _, at_s = fields
        if event == RAN:
            play_times[seat][session] = PlayTime(float(at_s))
        elif session in play_times.get(seat, {}):
            play_times[seat][session].ended_s = float(at_s)
    return play_times


def _overlaps(play_times: list[PlayTime], handover_limit_s: float) -> bool:
    """Whether two consecutive sessions overlap for longer than a handover."""
    ordered = sorted(play_times, key=lambda each: (each.began_s, each.ended_s))
    return any(
        min(former.ended_s, latter.ended_s) - latter.began_s > handover_limit_s
        for former, latter in pairwise(ordered)
    )
