"""Processor time of the controller per request and per tick, by rate, link load and number of nodes.

    python benchmarks/core.py                       # this tree
    python benchmarks/core.py --against OTHER_TREE  # paired: both trees at once, with the ratio of each pair
    python benchmarks/core.py --against OTHER_TREE --case 60-100-full --case 240-100-free --pairs 12

One controller, ticks of 10 ms, no network. Sessions start 80 ms after the request, send a notification
every 2 s and end after 10 to 20 s. In ``full`` cases the demand is 1.7 times the capacity of the links, so
that most requests are queued and then rejected. Figures are the processor time in ``Controller.handle``
after a warm-up, in microseconds: the mean per request (``request``), and the median, the 99th percentile and
the maximum (``longest``) over all ticks with events. The garbage collector is enabled; objects created
before the first tick are frozen and not traversed.

Each run is a separate process that executes the tree's own copy of this file on the tree's own sources. It
runs without ``site``: the import hook of an editable install would resolve modules that the other tree lacks,
and the core needs only the standard library. The two processes of a pair share one processor core and use
the same seed, so that other load on the machine affects both alike; if they ran one after the other, their
ratio would vary by a third and more. The tree that starts first alternates from pair to pair. The output has,
for each case and figure, the median of each tree, the ratio of this tree to the other in pairs (median,
minimum and maximum) and the ratio of their minimum values.
"""

from __future__ import annotations

import argparse
import json
import os
import statistics
import subprocess
import sys
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from benchmarks.trees import PACKAGE, THIS_TREE, BenchmarkError, check_module_file, run_order

SCRIPT = "benchmarks/core.py"


@dataclass(frozen=True)
class Case:
    """A load and the size of the fleet."""

    nodes: int
    rate_per_s: int
    links_full: bool

    @property
    def name(self) -> str:
        """Return its name for ``--case``."""
        return f"{self.nodes}-{self.rate_per_s}-{'full' if self.links_full else 'free'}"


CASES = [
    *(Case(nodes, 100, links_full) for links_full in (True, False) for nodes in (15, 60, 240, 960)),
    Case(15, 800, True),
    Case(60, 800, True),
]
FIGURES = ("request", "p50", "p99", "longest")


def run_in_process(nodes: int, rate_per_s: int, links_full: bool, seed: int) -> list[float]:
    """Run the workload in this process; return microseconds, one value for each of ``FIGURES``.

    Raises:
        BenchmarkError: A module of the package was loaded from another tree.
    """
    # Imported here because the process that compares trees does not need the package.
    from benchmarks.core_workload import measure_cost

    figures = measure_cost(nodes, rate_per_s, links_full, seed)
    for name, module in sys.modules.items():
        if name.partition(".")[0] == PACKAGE:
            check_module_file(str(module.__file__), THIS_TREE)
    return figures


@dataclass(frozen=True)
class TreeProcess:
    """An interpreter process that uses only the sources of one tree."""

    tree: Path
    arguments: tuple[str, ...]
    process: subprocess.Popen[str]

    @classmethod
    def start(cls, tree: Path, *arguments: str) -> TreeProcess:
        """Start the process; :meth:`output` returns its output."""
        process = subprocess.Popen(
            [sys.executable, "-B", "-S", "-P", *arguments],
            cwd=tree,
            env={**os.environ, "PYTHONPATH": str(tree)},
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
        )
        return cls(tree, arguments, process)

    def output(self) -> str:
        """Wait for the process to end; return its standard output.

        Raises:
            BenchmarkError: The process failed; the message ends with its standard error.
        """
        printed, error = self.process.communicate()
        if self.process.returncode != 0:
            raise BenchmarkError(f"{' '.join(self.arguments)} failed in {self.tree}:\n{error.strip()}")
        return printed


def check_tree(tree: Path) -> None:
    """Check that a process in a tree imports the package from that tree.

    The tree's own copy of the benchmark may lack this check.

    Raises:
        BenchmarkError: The package is imported from elsewhere, or the tree has no benchmark.
    """
    if not (tree / SCRIPT).is_file():
        raise BenchmarkError(f"{tree} has no {SCRIPT}")
    file = TreeProcess.start(tree, "-c", f"import {PACKAGE}; print({PACKAGE}.__file__)").output().strip()
    check_module_file(file, tree)


def start_run(tree: Path, case: Case, seed: int) -> TreeProcess:
    """Start one run of a tree's own benchmark; it prints microseconds, one value for each of ``FIGURES``."""
    arguments = json.dumps([case.nodes, case.rate_per_s, case.links_full, seed])
    return TreeProcess.start(tree, str(tree / SCRIPT), "--one", arguments)


def measure_pairs(trees: Sequence[Path], case: Case, pairs: int, seeds: int) -> list[list[list[float]]]:
    """Return the figures of all runs by tree; the runs of a pair are concurrent."""
    runs: list[list[list[float]]] = [[] for _ in trees]
    for pair in range(pairs):
        seed = 1 + pair % seeds
        processes = {index: start_run(trees[index], case, seed) for index in run_order(trees, pair)}
        for index, run in processes.items():
            runs[index].append(json.loads(run.output()))
    return runs


def use_one_core() -> None:
    """Pin this process and its children to the highest-numbered core that it may use."""
    os.sched_setaffinity(0, {max(os.sched_getaffinity(0))})


def compare(own_values: Sequence[float], other_values: Sequence[float]) -> str:
    """Return the ratios of this tree's figure to the other's: in pairs, and of the minimum values."""
    ratios = sorted(own / other for own, other in zip(own_values, other_values))
    spread = f"{statistics.median(ratios):.3f} ({ratios[0]:.3f} to {ratios[-1]:.3f})"
    return f"{spread:24} {min(own_values) / min(other_values):.3f}"


def table_rows(trees: Sequence[Path], cases: Sequence[Case], pairs: int, seeds: int) -> Iterator[str]:
    """Yield the lines of the table, each case as soon as it is measured."""
    columns = " ".join(f"{f'us_{index}':>7}" for index in range(len(trees)))
    ratio_columns = f" {'ratio of pairs':24} of lowest" if len(trees) > 1 else ""
    yield f"nodes rate full figure  {columns}{ratio_columns}"
    for case in cases:
        runs = measure_pairs(trees, case, pairs, seeds)
        for position, figure in enumerate(FIGURES):
            values = [[run[position] for run in runs_of_tree] for runs_of_tree in runs]
            cells = [f"{statistics.median(each):7.0f}" for each in values]
            if len(trees) > 1:
                cells.append(compare(*values))
            full = "yes" if case.links_full else "no"
            yield f"{case.nodes:5} {case.rate_per_s:4} {full:4} {figure:8}{' '.join(cells)}"


def parse_arguments() -> argparse.Namespace:
    """Parse the command line."""
    cases_by_name = {case.name: case for case in CASES}
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--against", type=Path, help="another tree of this project")
    parser.add_argument(
        "--seeds", type=int, default=3, help="number of seeds; pairs use 1 to this number in turn"
    )
    parser.add_argument(
        "--pairs", type=int, help="pairs (or single runs) of each case; default: the number of seeds"
    )
    parser.add_argument(
        "--case",
        action="append",
        choices=cases_by_name,
        metavar="NODES-RATE-full|free",
        help="case to measure; can be repeated; default: all",
    )
    parser.add_argument("--one", help=argparse.SUPPRESS)
    options = parser.parse_args()
    options.cases = [cases_by_name[name] for name in options.case or cases_by_name]
    options.pairs = options.seeds if options.pairs is None else options.pairs
    if options.seeds < 1 or options.pairs < 1:
        parser.error("--seeds and --pairs must be at least 1")
    return options


def main() -> None:
    """Measure and print the table; with ``--one``, run once in this process and print the figures as JSON."""
    options = parse_arguments()
    try:
        if options.one:
            print(json.dumps(run_in_process(*json.loads(options.one))))
            return
        use_one_core()
        trees = [THIS_TREE, *([options.against.resolve()] if options.against else [])]
        for tree in trees:
            check_tree(tree)
        for row in table_rows(trees, options.cases, options.pairs, options.seeds):
            print(row, flush=True)
    except BenchmarkError as error:
        sys.exit(f"{SCRIPT}: {error}")


if __name__ == "__main__":
    main()
