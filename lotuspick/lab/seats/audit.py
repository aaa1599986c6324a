"""The auditor: reads what the stand-in nodes ran, and the seats that count once all ledgers are settled. It asks no
broker and shares no code with the ledger."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field


@dataclass(slots=True)
class Findings:
    """What is wrong, by seat."""

    ran: int = 0
    """Seats of which a set-up ran."""
    set_ups: int = 0
    """Set-ups that ran; more than seats where viewers came again."""
    twice: list[str] = field(default_factory=list)
    """Counted more than once."""
    phantom: list[str] = field(default_factory=list)
    """Counted, and nothing of them ran."""
    missed: list[str] = field(default_factory=list)
    """Something of them ran, and they are neither counted nor named as in doubt."""
    doubted: int = 0
    """In doubt, and rightly: something ran of which no broker heard."""
    at_once: int = 0
    """Seats that played twice at once for longer than a viewer's change takes."""


def audit(
    runs: Iterable[str], counted: Iterable[str], doubted: Iterable[str], change_s: float = 3.0
) -> Findings:
    """``runs``: lines of nodes' logs, ``ran|over SESSION SEAT NODE TIME``; ``counted``, ``doubted``: seats."""
    sessions: dict[str, set[str]] = defaultdict(set)
    spans: dict[str, dict[str, list[float]]] = defaultdict(dict)
    for line in runs:
        words = line.split()
        if len(words) != 5:
            continue  # a line cut off when its node was stopped
        what, session, seat, _, at = words
        if what == "ran":
            sessions[seat].add(session)
            spans[seat][session] = [float(at), float("inf")]
        elif session in spans[seat]:
            spans[seat][session][1] = float(at)
    times, open_ = Counter(counted), set(doubted)
    found = Findings(ran=len(sessions), set_ups=sum(len(each) for each in sessions.values()))
    for seat, each in times.items():
        if each > 1:
            found.twice.append(seat)
        if seat not in sessions:
            found.phantom.append(seat)
    for seat in sessions:
        if seat not in times:
            if seat in open_:
                found.doubted += 1
            else:
                found.missed.append(seat)
        if len(spans[seat]) > 1:
            ordered = sorted(spans[seat].values())
            found.at_once += any(
                min(before[1], after[1]) - after[0] > change_s for before, after in zip(ordered, ordered[1:])
            )
    return found
