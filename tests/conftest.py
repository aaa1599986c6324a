"""KNOWN-RED.txt at the root: tests of real faults that are not mended yet, a line each: ``test | cause | issue``.

CI passes over just these, prints them, and fails where one passes after all, where a line names no test or is malformed,
and where there are more than three. A test of several cases (subTest) cannot be named: the one that is red needs its own.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import pytest

PATH = Path(__file__).parent.parent / "KNOWN-RED.txt"
MOST = 3


class RedListError(Exception):
    """A list that cannot be used; the text names the line and the fault."""


@dataclass(frozen=True)
class Red:
    test: str
    cause: str
    issue: str


def read(text: str) -> list[Red]:
    """The lines of the list; blank ones and those that begin with # count for nothing."""
    found = []
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip() or line.startswith("#"):
            continue
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != 3 or not all(parts) or "::" not in parts[0] or not parts[2].isdigit():
            raise RedListError(
                f"{PATH.name}, line {number}: not `file::test | cause | issue number`: {line.strip()!r}"
            )
        found.append(Red(*parts))
    if len(found) > MOST:
        raise RedListError(f"{PATH.name}: {len(found)} tests, {MOST} at most")
    if len({red.test for red in found}) < len(found):
        raise RedListError(f"{PATH.name}: a test is named twice")
    return found


def mark(reds: Iterable[Red], items: list[Any]) -> None:
    """Have these tests be expected to fail, strictly."""
    by_name = {item.nodeid: item for item in items}
    for red in reds:
        if red.test not in by_name:
            raise RedListError(f"{PATH.name}: no test {red.test}")
        by_name[red.test].add_marker(
            pytest.mark.xfail(reason=f"{red.cause} (issue {red.issue})", strict=True)
        )


def pytest_configure(config: Any) -> None:
    try:  # once for all processes, where the fault is told best
        read(PATH.read_text(encoding="utf-8") if PATH.exists() else "")
    except RedListError as error:
        raise pytest.UsageError(str(error)) from None


def pytest_collection_modifyitems(session: Any, config: Any, items: list[Any]) -> None:
    reds = read(PATH.read_text(encoding="utf-8")) if PATH.exists() else []
    if config.getoption("keyword") or not all(Path(each).is_dir() for each in config.args):
        names = {item.nodeid for item in items}  # a run of some tests alone
        reds = [red for red in reds if red.test in names]
    try:
        mark(reds, items)
    except RedListError as error:
        raise pytest.UsageError(str(error)) from None


def pytest_terminal_summary(terminalreporter: Any) -> None:
    for red in read(PATH.read_text(encoding="utf-8")) if PATH.exists() else []:
        terminalreporter.write_line(f"KNOWN RED: {red.test}: {red.cause} (issue {red.issue})")
