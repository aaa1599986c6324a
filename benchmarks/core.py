"""What a request and a tick cost the decisions alone, by rate, by how full the links are, and by the number of nodes.

    python benchmarks/core.py                       # this tree
    python benchmarks/core.py --against OTHER_TREE  # paired: both trees in turn, and the ratio of each pair
    python benchmarks/core.py --against OTHER_TREE --case 60-100-full --case 240-100-free --pairs 12

One core, one tick of 10 ms, no wire: sessions are asked for, set up 80 ms later, noted every 2 s and ended after 10 to
20 s. ``full``: they ask for 1.7 times what the links give, so that most are held and refused. Figures are processor
time in ``Controller.handle`` after a warm-up, in microseconds: the mean a request, and of the ticks in which something
was due the median, the 99th percentile and the longest. Each column of a tree is the median over its runs. The
collector of garbage runs; what was there before the first tick is frozen out of it.

Each run is a process of its own that carries out the tree's own copy of this file on the tree's own sources, without
``site``: the import hook of an editable install would answer for modules that the other tree does not have, and the
core needs the standard library alone. The trees of a pair run one after the other, on the same seed, and the tree that
goes first alternates from pair to pair. Printed for each case and figure are the median of each tree, the ratio of this
tree over the other in pairs (median, lowest to highest) and the ratio of the lowest values of both.
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
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from pathlib import Path

THIS_TREE = Path(__file__).resolve().parent.parent


@dataclass(frozen=True)
class Case:
    """One load on one fleet."""

    nodes: int
    rate_per_s: int
    links_full: bool

    @property
    def name(self) -> str:
        """How ``--case`` names it."""
        return f"{self.nodes}-{self.rate_per_s}-{'full' if self.links_full else 'free'}"


CASES = [
    *(Case(nodes, 100, links_full) for links_full in (True, False) for nodes in (15, 60, 240, 960)),
    Case(15, 800, True),
    Case(60, 800, True),
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


class BenchmarkError(Exception):
    """A run that failed, or that would not measure the tree that it is asked to measure."""


def check_own_modules() -> None:
    """Check that every module of the package that this process has loaded lies in this tree.

    Raises:
        BenchmarkError: a module comes from elsewhere, so that the figures would be those of another tree.
    """
    for name, module in list(sys.modules.items()):
        if name.partition(".")[0] == "lotuspick":
            check_location(name, str(module.__file__), THIS_TREE)


def check_location(module: str, file: str, tree: Path) -> None:
    """Check that the file of a module lies in a tree.

    Raises:
        BenchmarkError: it does not.
    """
    if not Path(file).resolve().is_relative_to(tree / "lotuspick"):
        raise BenchmarkError(f"{module} was imported from {file}, not from {tree}")


def run_in_tree(tree: Path, *arguments: str) -> str:
    """Run the interpreter on the sources of a tree alone; what it prints.

    Raises:
        BenchmarkError: it failed; the message ends with what it wrote as its error.
    """
    done = subprocess.run(
        [sys.executable, "-B", "-S", "-P", *arguments],
        cwd=tree,
        env={**os.environ, "PYTHONPATH": str(tree)},
        capture_output=True,
        text=True,
    )
    if done.returncode != 0:
        raise BenchmarkError(f"{' '.join(arguments)} failed in {tree}:\n{done.stderr.strip()}")
    return done.stdout


def check_tree(tree: Path) -> None:
    """Check that a process in a tree imports the package from there, also where its benchmark does not check.

    Raises:
        BenchmarkError: it does not, or there is no benchmark.
    """
    if not (tree / "benchmarks" / "core.py").is_file():
        raise BenchmarkError(f"{tree} has no benchmarks/core.py")
    file = run_in_tree(tree, "-c", "import lotuspick; print(lotuspick.__file__)").strip()
    check_location("lotuspick", file, tree)


def measure(tree: Path, case: Case, seed: int) -> list[float]:
    """Microseconds of one run of a tree's own benchmark, one for each of ``FIGURES``."""
    script = str(tree / "benchmarks" / "core.py")
    words = json.dumps([case.nodes, case.rate_per_s, case.links_full, seed])
    figures: list[float] = json.loads(run_in_tree(tree, script, "--one", words))
    return figures


def measure_in_turn(trees: Sequence[Path], case: Case, pairs: int, seeds: int) -> list[list[list[float]]]:
    """For each tree the figures of its runs; the tree that goes first alternates from pair to pair."""
    runs: list[list[list[float]]] = [[] for _ in trees]
    for pair in range(pairs):
        seed = 1 + pair % seeds
        order = range(len(trees)) if pair % 2 == 0 else reversed(range(len(trees)))
        for index in order:
            runs[index].append(measure(trees[index], case, seed))
    return runs


def compare(ours: Sequence[float], theirs: Sequence[float]) -> str:
    """Ratios of a figure of this tree over the other's: in pairs, and of the lowest values."""
    ratios = sorted(our / their for our, their in zip(ours, theirs))
    spread = f"{statistics.median(ratios):.3f} ({ratios[0]:.3f} to {ratios[-1]:.3f})"
    return f"{spread:24} {min(ours) / min(theirs):.3f}"


def rows(trees: Sequence[Path], cases: Sequence[Case], pairs: int, seeds: int) -> Iterator[str]:
    """The lines of the table, each case as soon as it is measured."""
    columns = " ".join(f"{f'us_{index}':>7}" for index in range(len(trees)))
    ratio_columns = f" {'ratio of pairs':24} of lowest" if len(trees) > 1 else ""
    yield f"nodes rate full figure  {columns}{ratio_columns}"
    for case in cases:
        runs = measure_in_turn(trees, case, pairs, seeds)
        for position, figure in enumerate(FIGURES):
            values = [[run[position] for run in runs_of_tree] for runs_of_tree in runs]
            words = [f"{statistics.median(each):7.0f}" for each in values]
            if len(trees) > 1:
                words.append(compare(*values))
            full = "yes" if case.links_full else "no"
            yield f"{case.nodes:5} {case.rate_per_s:4} {full:4} {figure:8}{' '.join(words)}"


def parse_arguments() -> argparse.Namespace:
    """The command line."""
    by_name = {case.name: case for case in CASES}
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--against", type=Path, help="another tree of this project")
    parser.add_argument("--seeds", type=int, default=3, help="pairs take seeds from 1 to this in turn")
    parser.add_argument("--pairs", type=int, help="pairs (or runs) of each case; as many as seeds by default")
    parser.add_argument(
        "--case",
        action="append",
        choices=by_name,
        metavar="NODES-RATE-full|free",
        help="measure this case, and others named so; all by default",
    )
    parser.add_argument("--one", help=argparse.SUPPRESS)
    given = parser.parse_args()
    given.cases = [by_name[name] for name in given.case or by_name]
    given.pairs = given.seeds if given.pairs is None else given.pairs
    if given.seeds < 1 or given.pairs < 1:
        parser.error("--seeds and --pairs are at least 1")
    return given


def main() -> None:
    """Measure and print; with ``--one`` a single run in this process, as a JSON list for the process that asked."""
    given = parse_arguments()
    try:
        if given.one:
            figures = cost(*json.loads(given.one))
            check_own_modules()
            print(json.dumps(figures))
            return
        trees = [THIS_TREE, *([given.against.resolve()] if given.against else [])]
        for tree in trees:
            check_tree(tree)
        for row in rows(trees, given.cases, given.pairs, given.seeds):
            print(row, flush=True)
    except BenchmarkError as error:
        sys.exit(f"benchmarks/core.py: {error}")


if __name__ == "__main__":
    main()
