"""What a request and a tick cost the decisions alone, by rate, by how full the links are, and by the number of nodes.

    python benchmarks/core.py                       # this tree
    python benchmarks/core.py --against OTHER_TREE  # paired: both trees in turn, and the ratio of each pair

One core, one tick of 10 ms, no wire: sessions are asked for, set up 80 ms later, noted every 2 s and ended after 10 to
20 s. ``full``: they ask for 1.7 times what the links give, so that most are held and refused. Figures are processor
time in ``Controller.handle`` after a warm-up, in microseconds: the mean a request, and of the ticks in which something
was due the median, the 99th percentile and the longest. With several seeds each is the median over them. The collector
of garbage is off in the timed calls, as its pauses are not the decisions'.
"""

from __future__ import annotations

import argparse
import gc
import heapq
import json
import os
import random
import statistics
import subprocess
import sys
import time
from collections.abc import Iterator
from pathlib import Path

CASES = [
    *((nodes, 100, full) for full in (True, False) for nodes in (15, 60, 240, 960)),
    (15, 800, True),
    (60, 800, True),
]
FIGURES = ("request", "p50", "p99", "longest")
TICK_US, SECOND = 10_000, 1_000_000
WARM_S, MEASURED_S = 12, 6
LADDER = [90.0, 180.0, 360.0, 720.0]


def cost(nodes: int, rate: int, full: bool, seed: int) -> list[float]:
    """Microseconds, one for each of ``FIGURES``."""
    from lotuspick.core.actions import FailSession, ForwardAttempt, RejectSession, StartTimer
    from lotuspick.core.controller import Controller
    from lotuspick.core.events import (
        AttemptEnded,
        Event,
        ServerEntry,
        ServerListUpdate,
        SessionNotification,
        SessionRequest,
        SessionStarted,
        TimerFired,
    )
    from lotuspick.core.settings import ClassSettings, Settings

    asked_kb = rate * 15 * 360.0 * 0.5
    kb = asked_kb / nodes * (1 / 1.7 if full else 4.0)
    core = Controller(
        Settings(
            zone="a",
            brokers=1,
            classes=[ClassSettings("clip", 1_500_000), ClassSettings("exam", 800_000, "paid", 2.0, 1.4, 1)],
            ladder_kb_per_s=LADDER,
            rung_values=[0.25, 0.5, 0.8, 1.0],
            stream_limit_by_kind={"box": 10_000.0},
            positions=nodes,
            link_kb_per_weight=kb,
            weight_kind="nominal",
            notification_interval_us=2 * SECOND,
            notification_delay_us=500_000,
            max_attempts=3,
            dial_timeout_us=250_000,
            retry_after_allowed=True,
            max_retry_after_us=2 * SECOND,
            inline_load_reports=True,
        ),
        seed,
    )
    core.handle(
        0, [ServerListUpdate([ServerEntry(f"s{at}", "a", "box", at) for at in range(nodes)], complete=True)]
    )
    draw, due, count = random.Random(seed), [], 0
    held: dict[str, int] = {}
    load: dict[str, float] = dict.fromkeys((f"s{at}" for at in range(nodes)), 0.0)
    spent, measured, owed = list[float](), 0, 0.0
    gc.freeze()
    for tick in range((WARM_S + MEASURED_S) * SECOND // TICK_US):
        now = 20 * SECOND + tick * TICK_US
        events: list[Event] = []
        while due and due[0][0] <= now:
            event = heapq.heappop(due)[2]
            if isinstance(event, AttemptEnded):
                load[event.server] -= held.pop(event.session, 0.0)
            elif isinstance(event, SessionNotification):
                event = SessionNotification(event.session, event.server, "link", load[event.server] / kb)
            events.append(event)
        owed += rate * TICK_US / SECOND
        while owed >= 1:
            owed, count = owed - 1, count + 1
            cls = "exam" if draw.random() < 0.35 else "clip"
            home = draw.randrange(nodes)
            events.append(
                SessionRequest(
                    f"q{count}", cls, f"t{home}", home, 3, 3, now + (3 if cls == "exam" else 5) * SECOND, 15e6
                )
            )
        if not events:
            continue
        began = time.process_time()
        actions = core.handle(now, events)
        if tick * TICK_US >= WARM_S * SECOND:
            spent.append(time.process_time() - began)
            measured += sum(isinstance(event, SessionRequest) for event in events)
        for action in actions:
            if isinstance(action, StartTimer):
                heapq.heappush(
                    due,
                    (now + max(action.delay_us, 1), len(due) + draw.random(), TimerFired(action.timer_id)),
                )
            elif isinstance(action, ForwardAttempt):
                name, server = action.session, action.server
                held[name] = kbs = 250.0
                load[server] += kbs
                end = now + 80_000 + int(draw.uniform(10, 20) * SECOND)
                told: list[tuple[int, Event]] = [(now + 80_000, SessionStarted(name, 0, server, 80_000))]
                told += [
                    (at, SessionNotification(name, server, "link", 0.0))
                    for at in range(now + 300_000, end, 2 * SECOND)
                ]
                told.append((end, AttemptEnded(name, 0, server, "served", True)))
                for at, event in told:
                    heapq.heappush(due, (at, len(due) + draw.random(), event))
            elif isinstance(action, (RejectSession, FailSession)):
                held.pop(action.session, None)
    cuts = statistics.quantiles(spent, n=100)
    return [each * 1e6 for each in (sum(spent) / max(1, measured), cuts[49], cuts[98], max(spent))]


def runs(tree: Path, case: tuple[int, int, bool], seed: int) -> list[float]:
    """One case in a process of its own, on the sources of a tree."""
    words = [sys.executable, "-P", __file__, "--one", json.dumps([*case, seed])]
    done = subprocess.run(
        words,
        cwd=tree,
        env={**os.environ, "PYTHONPATH": str(tree)},
        capture_output=True,
        text=True,
        check=True,
    )
    told: list[float] = json.loads(done.stdout)
    return told


def rows(trees: list[Path], seeds: int) -> Iterator[str]:
    yield (
        "nodes rate full figure  "
        + " ".join(f"us_{index}" for index in range(len(trees)))
        + (" ratio of pairs" if trees[1:] else "")
    )
    for case in CASES:
        found: list[list[list[float]]] = [[] for _ in trees]
        for seed in range(1, seeds + 1):
            for index in sorted(range(len(trees)), reverse=bool(seed % 2)):
                found[index].append(runs(trees[index], case, seed))
        for at, figure in enumerate(FIGURES):
            words = [f"{statistics.median(each[at] for each in one):.0f}" for one in found]
            if trees[1:]:
                ratios = sorted(one[at] / two[at] for one, two in zip(found[0], found[1]))
                words.append(f"{statistics.median(ratios):.3f} ({ratios[0]:.3f} to {ratios[-1]:.3f})")
            yield f"{case[0]:5} {case[1]:4} {'yes' if case[2] else 'no ':4} {figure:8}" + " ".join(words)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--against", type=Path, help="another tree of this project")
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--one", help=argparse.SUPPRESS)
    told = parser.parse_args()
    if told.one:
        print(json.dumps(cost(*json.loads(told.one))))
        return
    here = Path(__file__).resolve().parent.parent
    for row in rows([here, *([told.against.resolve()] if told.against else [])], told.seeds):
        print(row, flush=True)


if __name__ == "__main__":
    main()
