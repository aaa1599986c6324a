"""Parser of ``deploy/cells.toml``; returns a :class:`~lotuspick.cells.model.Plan`. Errors name the key."""

from __future__ import annotations

import math
import re
from collections.abc import Callable, Iterator, Mapping
from graphlib import CycleError, TopologicalSorter
from typing import Any, TypeVar

from netaddr import AddrFormatError, IPNetwork, IPSet

from lotuspick.cells.model import (
    FOREVER_US,
    HASH,
    SECOND,
    Cell,
    FairShare,
    Limits,
    Plan,
    PlanError,
    Rule,
    Selector,
    TenantMigration,
    UndersizedPolicy,
)
from lotuspick.cells.toml_values import (
    check_keys,
    parse_time,
    read_integer,
    read_list,
    read_number,
    read_string,
    read_strings,
    read_table,
    read_tables,
    read_time,
)

MAX_STAGE_S = 10 * 365 * 86_400.0  # maximum duration of a stage of a migration
CELL_NAME = re.compile(r"[A-Za-z0-9_.-]{1,64}")
POSITION_RANGE = re.compile(r"(\d{1,6})-(\d{1,6})(?:/(\d{1,6}))?")  # low-high, or low-high/step
WILDCARDS = "*?["

PLAN_KEYS = frozenset(
    {
        "enabled",
        "epoch",
        "salt",
        "default",
        "nameless",
        "cells",
        "assign",
        "moves",
        "budgets",
        "parts",
        "tenants_kept",
        "viewers_kept",
    }
)
CELL_KEYS = frozenset(
    {
        "nodes",
        "zones",
        "kinds",
        "positions",
        "networks",
        "weight",
        "shuffle",
        "holders",
        "small",
        "spill",
        "elsewhere",
        "budget",
    }
)
RULE_KEYS = frozenset({"tenant", "title", "cell", "weight"})
MIGRATION_KEYS = frozenset(
    {"tenant", "to", "epoch", "start", "prepare_s", "shift_s", "drain_s", "pauses", "back"}
)
LIMIT_FIELDS = {
    "ratio": "retry_ratio",
    "floor": "retry_floor_per_s",
    "window_s": "window_s",
    "open": "open_limit",
    "gap_s": "retry_after_s",
    "gap_most_s": "max_retry_after_s",
    "jitter": "jitter",
}
"""Fields of :class:`~lotuspick.cells.model.Limits` by key of the file."""
FAIR_SHARE_FIELDS = {
    "contended_from": "contended_from",
    "slack": "slack",
    "least": "minimum_sessions",
    "usual_s": "usual_window_s",
}
"""Fields of :class:`~lotuspick.cells.model.FairShare` by key of the file."""
POSITIVE_KEYS = frozenset({"window_s", "usual_s", "slack", "open"})
FRACTION_KEYS = frozenset({"jitter"})

NumericSettings = TypeVar("NumericSettings", Limits, FairShare)


def parse(document: Mapping[str, Any]) -> Plan:
    """Convert a parsed TOML document to a plan.

    Raises:
        PlanError: the plan is invalid; the message starts with the key at fault.
    """
    check_keys(document, PLAN_KEYS, "")
    budgets = read_table(document, "budgets", "budgets")
    check_keys(budgets, {"tenant", "cell"}, "budgets")
    tenant_limits = _limits(read_table(budgets, "tenant", "budgets.tenant"), "budgets.tenant", Limits())
    cell_limits = _limits(read_table(budgets, "cell", "budgets.cell"), "budgets.cell", Cell("").limits)
    cells = _cells(document, cell_limits)
    default, nameless = _default_cells(document, cells)
    rules = tuple(_rule(table, path, cells) for table, path in read_tables(document, "assign"))
    migrations = _migrations(document, cells)
    named_tenants = [rule.tenant for rule in rules if not _is_pattern(rule.tenant)]
    return Plan(
        cells,
        read_integer(document, "epoch", "epoch", 1, 0),
        read_string(document, "salt", "salt", "lotuspick"),
        default,
        nameless,
        rules,
        migrations,
        tenant_limits,
        _fair_share(document),
        read_integer(document, "tenants_kept", "tenants_kept", 4_096, 1),
        read_integer(document, "viewers_kept", "viewers_kept", 65_536, 1),
        frozenset(named_tenants + [migration.tenant for migration in migrations]),
    )


def _cells(document: Mapping[str, Any], limits: Limits) -> dict[str, Cell]:
    tables = read_table(document, "cells", "cells")
    if not tables:
        raise PlanError("cells: no cell is named")
    cells = {name: _cell(name, table, limits) for name, table in tables.items()}
    for cell in cells.values():
        for target in cell.spill:
            _check_cell(target, cells, f"cells.{cell.name}.spill")
    try:
        TopologicalSorter({cell.name: cell.spill for cell in cells.values()}).prepare()
    except CycleError as error:
        cycle = error.args[1]
        raise PlanError(f"cells.{cycle[0]}.spill: a cycle: {' -> '.join(cycle)}") from None
    return cells


def _cell(name: str, table: Any, limits: Limits) -> Cell:
    path = f"cells.{name}"
    if not CELL_NAME.fullmatch(name) or name == HASH:
        raise PlanError(
            f"{path}: a cell's name is 1 to 64 letters, digits, '_', '.' or '-', and not {HASH!r}"
        )
    if not isinstance(table, dict):
        raise PlanError(f"{path} must be a table, not {table!r:.40}")
    check_keys(table, CELL_KEYS, path)
    policy, spill = _undersized_policy(table, path)
    return Cell(
        name,
        _selector(table, path),
        read_number(table, "weight", f"{path}.weight", 1.0, 0.0, exclusive=True),
        read_integer(table, "shuffle", f"{path}.shuffle", 0, 0),
        read_integer(table, "holders", f"{path}.holders", 3, 1),
        policy,
        spill,
        read_number(table, "elsewhere", f"{path}.elsewhere", 0.3, 0.0, 1.0),
        _limits(read_table(table, "budget", f"{path}.budget"), f"{path}.budget", limits),
    )


def _undersized_policy(table: Mapping[str, Any], path: str) -> tuple[UndersizedPolicy, tuple[str, ...]]:
    """Read the policy of a cell that is too small for a title, and the cells that it spills to."""
    default = UndersizedPolicy.SPILL if table.get("spill") else UndersizedPolicy.WIDEN
    policy_name = read_string(table, "small", f"{path}.small", default.value)
    try:
        policy = UndersizedPolicy(policy_name)
    except ValueError as error:
        raise PlanError(f"{path}.small must be spill, widen or refuse, not {policy_name!r}") from error
    spill = read_strings(table, "spill", path)
    if policy is UndersizedPolicy.SPILL and not spill:
        raise PlanError(f"{path}.spill names no cell, though {path}.small is 'spill'")
    return policy, spill


def _selector(table: Mapping[str, Any], path: str) -> Selector:
    return Selector(
        read_strings(table, "nodes", path),
        read_strings(table, "zones", path),
        read_strings(table, "kinds", path),
        frozenset(_positions(table, path)),
        _networks(table, path),
    )


def _positions(table: Mapping[str, Any], table_path: str) -> Iterator[int]:
    for index, value in enumerate(read_list(table, "positions", table_path)):
        path = f"{table_path}.positions[{index}]"
        if isinstance(value, str) and (match := POSITION_RANGE.fullmatch(value)):
            low, high, step = int(match[1]), int(match[2]), int(match[3] or 1)
            if high < low or not step:
                raise PlanError(f"{path}: {value!r} is not a range")
            yield from range(low, high + 1, step)
        elif isinstance(value, int) and not isinstance(value, bool) and value >= 0:
            yield value
        else:
            raise PlanError(f"{path} must be a position, '3-7' or '0-39/8', not {value!r:.40}")


def _networks(table: Mapping[str, Any], path: str) -> IPSet | None:
    texts = read_strings(table, "networks", path)
    networks = [_network(text, f"{path}.networks[{index}]") for index, text in enumerate(texts)]
    return IPSet(networks) if texts else None


def _network(text: str, path: str) -> IPNetwork:
    try:
        return IPNetwork(text)
    except (AddrFormatError, ValueError):
        raise PlanError(f"{path}: not a network: {text[:60]!r}") from None


def _default_cells(document: Mapping[str, Any], cells: Mapping[str, Cell]) -> tuple[str, str]:
    """Read the cells of tenants without a rule and of requests without a tenant."""
    default = read_string(document, "default", "default", HASH)
    nameless = read_string(document, "nameless", "nameless", "")
    for key, value in (("default", default), ("nameless", nameless)):
        if value not in ("", HASH):
            _check_cell(value, cells, key)
    return default, "" if nameless == HASH else nameless


def _rule(table: Mapping[str, Any], path: str, cells: Mapping[str, Cell]) -> Rule:
    check_keys(table, RULE_KEYS, path)
    rule = Rule(
        read_string(table, "tenant", f"{path}.tenant", "*"),
        read_string(table, "title", f"{path}.title", "*"),
        read_string(table, "cell", f"{path}.cell", ""),
        read_number(table, "weight", f"{path}.weight", 0.0, 0.0),
    )
    if not (rule.cell or rule.weight):
        raise PlanError(f"{path}.cell is missing")
    if rule.cell:
        _check_cell(rule.cell, cells, f"{path}.cell")
    return rule


def _migrations(document: Mapping[str, Any], cells: Mapping[str, Cell]) -> tuple[TenantMigration, ...]:
    migrations: list[TenantMigration] = []
    for table, path in read_tables(document, "moves"):
        migrations.append(_migration(table, path, cells, migrations))
    return tuple(migrations)


def _migration(
    table: Mapping[str, Any], path: str, cells: Mapping[str, Cell], earlier: list[TenantMigration]
) -> TenantMigration:
    check_keys(table, MIGRATION_KEYS, path)
    tenant, target_cell = (
        read_string(table, "tenant", f"{path}.tenant"),
        read_string(table, "to", f"{path}.to"),
    )
    _check_cell(target_cell, cells, f"{path}.to")
    if not tenant or _is_pattern(tenant):
        raise PlanError(f"{path}.tenant must be one tenant's name, not {tenant!r}")
    epoch = read_integer(table, "epoch", f"{path}.epoch", None, 1)
    if any(migration.tenant == tenant and migration.epoch >= epoch for migration in earlier):
        raise PlanError(f"{path}.epoch must be above that of the previous move of {tenant!r}, not {epoch}")
    start_us = read_time(table, "start", path)
    prepare_us, shift_us, drain_us = (
        int(read_number(table, key, f"{path}.{key}", default, 0.0, MAX_STAGE_S) * SECOND)
        for key, default in (("prepare_s", 30.0), ("shift_s", 120.0), ("drain_s", 600.0))
    )
    rollback_us = read_time(table, "back", path) if "back" in table else 0
    if rollback_us and rollback_us < start_us:
        raise PlanError(f"{path}.back is before the start of the move")
    pauses = tuple(_pauses(table, path, start_us))
    return TenantMigration(
        tenant, target_cell, epoch, start_us, prepare_us, shift_us, drain_us, pauses, rollback_us
    )


def _pauses(table: Mapping[str, Any], table_path: str, start_us: int) -> Iterator[tuple[int, int]]:
    pauses = table.get("pauses", [])
    if not isinstance(pauses, list):
        raise PlanError(f"{table_path}.pauses must be a list of [from, to], not {pauses!r:.40}")
    previous_end_us = start_us
    for index, pause in enumerate(pauses):
        path = f"{table_path}.pauses[{index}]"
        if not isinstance(pause, list) or len(pause) not in (1, 2):
            raise PlanError(f"{path} must be [from, to], or [from] if it has no end, not {pause!r:.40}")
        begin_us = parse_time(pause[0], path)
        end_us = parse_time(pause[1], path) if len(pause) == 2 else FOREVER_US
        if not previous_end_us <= begin_us <= end_us:
            raise PlanError(
                f"{path} must begin after the start and the previous pause, and must not end before it begins"
            )
        if end_us == FOREVER_US and index + 1 < len(pauses):
            raise PlanError(f"{path} has no end, but is not the last")
        previous_end_us = end_us
        yield begin_us, end_us


def _limits(table: Mapping[str, Any], path: str, default: Limits) -> Limits:
    return _read_numeric_settings(Limits, LIMIT_FIELDS, table, path, default)


def _fair_share(document: Mapping[str, Any]) -> FairShare:
    table = read_table(document, "parts", "parts")
    return _read_numeric_settings(FairShare, FAIR_SHARE_FIELDS, table, "parts", FairShare())


def _read_numeric_settings(
    settings_type: Callable[..., NumericSettings],
    fields: Mapping[str, str],
    table: Mapping[str, Any],
    path: str,
    default: NumericSettings,
) -> NumericSettings:
    """Read a dataclass of non-negative numbers. ``default`` provides the values that the file omits."""
    check_keys(table, fields, path)
    values: dict[str, float] = {}
    for key, name in fields.items():
        value = getattr(default, name)
        integral, maximum = isinstance(value, int), 1.0 if key in FRACTION_KEYS else math.inf
        number = read_number(table, key, f"{path}.{key}", value, 0.0, maximum, key in POSITIVE_KEYS, integral)
        values[name] = int(number) if integral else number
    return settings_type(**values)


def _is_pattern(text: str) -> bool:
    return any(character in text for character in WILDCARDS)


def _check_cell(name: str, cells: Mapping[str, Cell], path: str) -> None:
    if name not in cells:
        raise PlanError(f"{path}: no cell is named {name!r}")
