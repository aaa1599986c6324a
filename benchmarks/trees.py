"""Shared helpers of the benchmarks that compare this tree with another tree of the project."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path

PACKAGE = "lotuspick"
THIS_TREE = Path(__file__).resolve().parent.parent


class BenchmarkError(Exception):
    """A run failed, or would measure the sources of another tree than the requested one."""


def check_module_file(file: str, tree: Path) -> None:
    """Check that a module of the package was loaded from a tree.

    Args:
        file: File of the module.
        tree: Tree whose sources are to be measured.

    Raises:
        BenchmarkError: The module was loaded from elsewhere.
    """
    if not Path(file).resolve().is_relative_to(tree / PACKAGE):
        raise BenchmarkError(f"{PACKAGE} was imported from {file}, not from {tree}")


def run_order(trees: Sequence[Path], pair: int) -> Sequence[int]:
    """Return the indices of the trees in the order of their runs, which alternates from pair to pair."""
    indices = range(len(trees))
    return indices if pair % 2 == 0 else indices[::-1]
