"""Reads and writes settled ledgers as a file of JSON lines, one for each broker and seat.

Records from earlier runs are read again and merged with newer ones, so the keys must not change.
"""

from __future__ import annotations

import json
from dataclasses import asdict
from pathlib import Path
from typing import Any

from lotuspick.entitlement.ledger import Record, State
from lotuspick.entitlement.ledger_merge import Ledgers
from lotuspick.program.entitlement import EntitlementError
from lotuspick.transport.storage.replaced_file import replace_file

RENAMED_KEYS = {"indeterminate": "doubted"}
"""Keys that differ from the field's name, by field of :class:`~lotuspick.entitlement.ledger.Record`."""


def record_values(record: Record) -> dict[str, Any]:
    """Return a record's fields under the keys of settled ledgers, which ``lotuspick seats show`` prints."""
    return {RENAMED_KEYS.get(name, name): value for name, value in asdict(record).items()}


def write_settled(path: Path, ledgers: Ledgers) -> None:
    """Replace the file with the given ledgers, sorted so that equal ledgers give equal bytes.

    Raises:
        OSError: the file cannot be written.
    """
    lines = []
    for (broker, _), record in sorted(ledgers.items(), key=lambda item: item[0]):
        values = {"broker": broker, **record_values(record), "state": record.state.name}
        lines.append(json.dumps(values) + "\n")
    replace_file(path, "".join(lines))


def read_settled(path: Path) -> dict[tuple[str, str], Record]:
    """Read a file of :func:`write_settled` as records by broker and seat.

    Raises:
        EntitlementError: a line is not a settled seat.
        OSError: the file cannot be read.
    """
    ledgers: dict[tuple[str, str], Record] = {}
    with path.open(encoding="utf-8") as source:
        for number, line in enumerate(source, 1):
            try:
                broker, record = _parse_settled(line)
            except (ValueError, KeyError, TypeError, AttributeError) as error:
                raise EntitlementError(f"{path}: line {number}: not a settled seat") from error
            ledgers[broker, record.seat] = record
    return ledgers


def _parse_settled(line: str) -> tuple[str, Record]:
    values = json.loads(line)
    broker, state = values.pop("broker"), State[values.pop("state")]
    indeterminate = tuple(values.pop(RENAMED_KEYS["indeterminate"]))
    return broker, Record(state=state, indeterminate=indeterminate, **values)
