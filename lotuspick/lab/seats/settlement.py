"""Settles ledgers with the operators' command ``lotuspick seats settle``."""

from __future__ import annotations

import subprocess
import sys
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from pathlib import Path

from lotuspick.lab.errors import ProcessFailedError, SettlementMismatchError


@dataclass(slots=True)
class Settlement:
    """Seat names in the output of the command, by result."""

    counted: list[str]
    indeterminate: list[str] = field(default_factory=list)
    conflicts: list[str] = field(default_factory=list)


def settle(output_path: Path, stores: Sequence[str]) -> Settlement:
    """Settle ledgers.

    Args:
        output_path: Output file for the merged ledger.
        stores: ``NAME=FOLDER`` argument of each broker's ledger.

    Raises:
        ProcessFailedError: The command failed.
    """
    counted_file = output_path.with_suffix(".seats")
    arguments = ["seats", "settle", *stores, "--into", str(output_path), "--counted", str(counted_file)]
    completed = subprocess.run(
        [sys.executable, "-m", "lotuspick", *arguments], capture_output=True, text=True, check=False
    )
    if completed.returncode:
        raise ProcessFailedError("seats settle", completed.stderr)
    settlement = Settlement(counted_file.read_text().split())
    for line in completed.stdout.splitlines():
        match line.split(" ", 1)[0]:
            case "doubt":
                settlement.indeterminate.append(_parse_seat(line))
            case "conflict":
                settlement.conflicts.append(_parse_seat(line))
    return settlement


def _parse_seat(line: str) -> str:
    return line.partition("seat=")[2].split(" ")[0]


def settle_in_both_orders(folder: Path, stores: Mapping[str, Path]) -> Settlement:
    """Settle ledgers in forward, reverse and again forward order; the results must be equal.

    Args:
        folder: Output folder for the merged ledgers.
        stores: Ledger folder by broker name.

    Raises:
        SettlementMismatchError: The results differ.
        ProcessFailedError: The command failed.
    """
    ledger_arguments = [f"{name}={store}" for name, store in stores.items()]
    forward_path, reverse_path = folder / "settled0.jsonl", folder / "settled1.jsonl"
    settlement = settle(forward_path, ledger_arguments)
    settle(reverse_path, ledger_arguments[::-1])
    repeated = settle(forward_path, ledger_arguments)
    if forward_path.read_bytes() != reverse_path.read_bytes() or repeated != settlement:
        raise SettlementMismatchError
    return settlement
