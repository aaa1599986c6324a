"""The table of plays in docs/results/acceptance, from the journal: ``python benchmarks/acceptance.py SINCE [--write]``.

SINCE is an entry's name, such as 20261202T024500; every play from it on is listed, failed ones too.
"""

from __future__ import annotations

import argparse
import json
import subprocess
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any

ROOT = Path(__file__).parent.parent
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


def landed(commit: str) -> bool:
    """Whether a commit is part of main's history: what was played on another is a trial."""
    done = subprocess.run(
        ["git", "merge-base", "--is-ancestor", commit, "HEAD"], cwd=ROOT, capture_output=True
    )
    return done.returncode == 0


def line(cells: Iterable[Any]) -> str:
    return "| " + " | ".join(str(each) for each in cells) + " |"


def verdict(entry: dict[str, Any], day: dict[str, Any]) -> str:
    if not entry["ok"]:
        return f"not finished: {entry['error']}"
    if not day:
        return "not a day"
    if day.get("fault") or any(day["rules"].values()):
        return "failed"
    if not day.get("fair", True):
        return "rules kept, score void: the machine was too busy"
    gate = entry["figures"].get("gate")
    return "rules kept" if gate is None else "gate passed" if gate == 1.0 else "gate failed"


def rows(since: str) -> Iterator[str]:
    for path in sorted((ROOT / "journal").glob("*.json")):
        if path.name < since:
            continue
        entry = json.loads(path.read_text())
        told, head = entry["argv"], entry["head"]
        commit = head[:7] + ("" if landed(head) else ", trial") + (", changed" if entry["dirty"] else "")
        panel = f" {told[told.index('--panel') + 1]}" if "--panel" in told else ""
        play = entry["cmd"] + (" quick" if "--quick" in told else "") + panel
        days = entry["days"] or [{}]
        for day in days:
            rules = (
                ", ".join(f"{name} {count}" for name, count in day.get("rules", {}).items() if count)
                or "none"
            )
            score = "" if day.get("score") is None else f"{day['score']:.2f}"
            least = day.get("served_least")
            served = "" if least is None else f"{day['served']:.3f}, {least:.3f}"
            seen = [day.get(key, "") for key in ("name", "seed", "nodes")]
            yield line(
                [
                    path.stem,
                    play,
                    entry["site"] or "",
                    *seen,
                    commit,
                    score,
                    served,
                    day.get("memory_mb", ""),
                    rules if day else "",
                    verdict(entry, day),
                ]
            )


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("since")
    parser.add_argument("--write", action="store_true")
    given = parser.parse_args()
    made = f"Made by `python benchmarks/acceptance.py {given.since} --write` from the journal."
    text = "\n".join(
        ["# Plays", "", made, "", line(COLUMNS), line(["---"] * len(COLUMNS)), *rows(given.since), ""]
    )
    if given.write:
        PAGE.parent.mkdir(parents=True, exist_ok=True)
        PAGE.write_text(text)
    else:
        print(text)


if __name__ == "__main__":
    main()
