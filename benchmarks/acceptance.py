"""Generates the table of acceptance plays, docs/results/acceptance/plays.md, from the journal.

    python benchmarks/acceptance.py SINCE            # print it
    python benchmarks/acceptance.py SINCE --write    # replace docs/results/acceptance/plays.md

SINCE is the name of a journal entry, such as 20261202T024500. The table lists all plays from that entry on,
including failed ones.
"""

from __future__ import annotations

import argparse
import subprocess
from collections.abc import Iterable, Iterator
from pathlib import Path

import msgspec

ROOT = Path(__file__).parent.parent
JOURNAL = ROOT / "journal"
PAGE = ROOT / "docs" / "results" / "acceptance" / "plays.md"
COLUMNS = (
    "entry",
    "play",
    "site",
    "day",
    "seed",
    "brokers",
    "commit",
    "score",
    "served, and wanted",
    "MB",
    "rules broken",
    "verdict",
)
GATE_PASSED = 1.0


class Day(msgspec.Struct, rename={"brokers": "nodes", "min_served": "served_least"}):
    """The fields of a day of a play that the table shows.

    The journal omits fields that a kind of day does not have.
    """

    name: str = ""
    seed: int | str | None = ""
    brokers: int | str = ""
    score: float | None = None
    served: float = 0.0
    min_served: float | None = None
    """Minimum share of requests that must be served."""
    memory_mb: int | str = ""
    rules: dict[str, int | float] = {}
    """Number of violations by rule."""
    fault: str | None = None
    fair: bool = True
    """False if the machine was too busy for the score to count."""

    def broken_rules(self) -> str:
        """Return the violated rules with their counts."""
        return ", ".join(f"{name} {count}" for name, count in self.rules.items() if count) or "none"

    def served_and_required(self) -> str:
        """Return the served share and the required minimum."""
        return "" if self.min_served is None else f"{self.served:.3f}, {self.min_served:.3f}"


class Entry(msgspec.Struct, rename={"command": "cmd", "arguments": "argv", "commit": "head"}):
    """The fields of a journal entry that the table shows."""

    command: str
    arguments: list[str]
    commit: str
    dirty: bool
    """Whether the working tree had uncommitted changes."""
    ok: bool
    site: str | None = None
    error: str | None = None
    figures: dict[str, float | str | None] = {}
    days: list[Day] = []

    def play(self) -> str:
        """Return the command with the options that change the played days."""
        quick = " quick" if "--quick" in self.arguments else ""
        return f"{self.command}{quick}{self._panel()}"

    def _panel(self) -> str:
        if "--panel" not in self.arguments:
            return ""
        return f" {self.arguments[self.arguments.index('--panel') + 1]}"

    def commit_status(self) -> str:
        """Return the short commit id, marked if it is a trial or had uncommitted changes."""
        trial = "" if is_on_main(self.commit) else ", trial"
        changed = ", changed" if self.dirty else ""
        return f"{self.commit[:7]}{trial}{changed}"


def is_on_main(commit: str) -> bool:
    """Return whether a commit is in the history of HEAD; plays on other commits are trials."""
    command = ["git", "merge-base", "--is-ancestor", commit, "HEAD"]
    return subprocess.run(command, cwd=ROOT, capture_output=True).returncode == 0


def verdict(entry: Entry, day: Day | None) -> str:
    """Return the result of a day, or of a play without days."""
    if not entry.ok:
        return f"not finished: {entry.error}"
    if day is None:
        return "not a day"
    if day.fault or any(day.rules.values()):
        return "failed"
    if not day.fair:
        return "rules kept, score void: the machine was too busy"
    gate = entry.figures.get("gate")
    if gate is None:
        return "rules kept"
    return "gate passed" if gate == GATE_PASSED else "gate failed"


def table_line(cells: Iterable[object]) -> str:
    """Return a line of a Markdown table."""
    return "| " + " | ".join(str(cell) for cell in cells) + " |"


def table_row(name: str, entry: Entry, day: Day | None) -> str:
    """Return the table line of a day, or of a play without days."""
    displayed_day = day or Day()
    return table_line(
        [
            name,
            entry.play(),
            entry.site or "",
            displayed_day.name,
            displayed_day.seed,
            displayed_day.brokers,
            entry.commit_status(),
            "" if displayed_day.score is None else f"{displayed_day.score:.2f}",
            displayed_day.served_and_required(),
            displayed_day.memory_mb,
            displayed_day.broken_rules() if day else "",
            verdict(entry, day),
        ]
    )


def table_rows(since: str) -> Iterator[str]:
    """Yield the table lines of all plays from an entry on."""
    for path in sorted(JOURNAL.glob("*.json")):
        if path.name < since:
            continue
        entry = msgspec.json.decode(path.read_bytes(), type=Entry)
        days: list[Day | None] = [*entry.days] or [None]
        for day in days:
            yield table_row(path.stem, entry, day)


def make_page(since: str) -> str:
    """Return the page, including the command that generates it."""
    provenance = f"Made by `python benchmarks/acceptance.py {since} --write` from the journal."
    header = [table_line(COLUMNS), table_line(["---"] * len(COLUMNS))]
    return "\n".join(["# Plays", "", provenance, "", *header, *table_rows(since), ""])


def main() -> None:
    """Print the page or replace the file."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("since")
    parser.add_argument("--write", action="store_true")
    options = parser.parse_args()
    page = make_page(options.since)
    if options.write:
        PAGE.parent.mkdir(parents=True, exist_ok=True)
        PAGE.write_text(page)
    else:
        print(page)


if __name__ == "__main__":
    main()
