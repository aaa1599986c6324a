"""Parsing of the site's settings from path=value pairs, for the simulator and for the broker.

The platform defines the keys; only this module maps them to :class:`~lotuspick.core.settings.Settings`.
"""

from __future__ import annotations

from typing import Any

from lotuspick.core.settings import ClassSettings, RetrySafety, Settings
from lotuspick.protocol.key_values import (
    Fields,
    FormatError,
    read_flag,
    read_float,
    read_integer,
    read_list,
    required,
)

RETRY_SCOPES = {"cell": "position"}
"""Our name of a scope by the platform's name; all other scopes have the same name in both."""
RETRY_SAFETY = {
    "pure": RetrySafety.IDEMPOTENT,
    "token": RetrySafety.KEYED,
    "side_effect": RetrySafety.NOT_IDEMPOTENT,
}


def read_settings(pairs: Fields) -> Settings:
    """Build the settings.

    Raises:
        ValueError: A pair is missing or malformed; the text names its key.
    """
    try:
        classes = _classes(pairs)
        tenant_rates = _tenant_rates(pairs)
        return Settings(
            zone=required(pairs, "Az"),
            brokers=read_integer(pairs, "GroupSize"),
            classes=classes,
            positions=read_integer(pairs, "FamilyInfo.Cells"),
            racks=read_integer(pairs, "FamilyInfo.Racks", 1),
            tenant_rates=tenant_rates,
            **_ladder(pairs),
            **_capacity(pairs),
            **_notifications(pairs),
            **_limits(pairs),
            **_slow_start(pairs),
            **_retry_budget(pairs),
            **_prices(pairs),
        )
    except FormatError as error:
        raise ValueError(f"settings: {error}") from None


def _classes(pairs: Fields) -> list[ClassSettings]:
    return [_class_settings(pairs, index) for index in range(read_integer(pairs, "Categories.count"))]


def _class_settings(pairs: Fields, index: int) -> ClassSettings:
    prefix = f"Categories.{index}."
    retry_safety = required(pairs, prefix + "Repeat")
    retry_scope = pairs.get(prefix + "KeyScope", "all")
    return ClassSettings(
        name=required(pairs, prefix + "Name"),
        latency_objective_us=read_integer(pairs, prefix + "TargetUs"),
        retry_safety=_retry_safety(pairs[prefix + "Name"], retry_safety),
        priority_weight=read_float(pairs, prefix + "Worth", 1.0),
        bitrate_scale=read_float(_class_value(pairs, "ClassScale", index, "1"), "FamilyInfo.ClassScale"),
        lowest_rung=read_integer(_class_value(pairs, "ClassFloor", index, "0"), "FamilyInfo.ClassFloor"),
        highest_rung=read_integer(
            _class_value(pairs, "HighestRung", index, "1000"), "FamilyInfo.HighestRung"
        ),
        title_session_limit=read_integer(_class_value(pairs, "Seats", index, "0"), "FamilyInfo.Seats"),
        live=read_flag(_class_value(pairs, "Live", index, "false"), "FamilyInfo.Live"),
        retry_scope=RETRY_SCOPES.get(retry_scope, retry_scope),
        retry_window_us=read_integer(pairs, prefix + "WindowUs", 0),
    )


def _class_value(pairs: Fields, name: str, index: int, default: str) -> Fields:
    """Return one class's entry of a list with an entry for each class, under the list's own key."""
    values = read_list(pairs, f"FamilyInfo.{name}")
    return {f"FamilyInfo.{name}": values[index] if index < len(values) else default}


def _retry_safety(class_name: str, text: str) -> RetrySafety:
    """Parse the retry safety of a class: the platform's value or a value of the enum."""
    try:
        return RETRY_SAFETY.get(text) or RetrySafety(text)
    except ValueError:
        message = f"class {class_name}.retry_safety must be safe, paid or keyed, not {text!r}"
        raise ValueError(message) from None


def _tenant_rates(pairs: Fields) -> dict[str, float]:
    return {
        required(pairs, f"Projects.{index}.Name"): read_float(pairs, f"Projects.{index}.QuotaPerS", 0.0)
        for index in range(read_integer(pairs, "Projects.count", 0))
    }


def _number_list(pairs: Fields, name: str) -> list[float]:
    return [read_float({name: text}, name) for text in read_list(pairs, name)]


def _ladder(pairs: Fields) -> dict[str, Any]:
    return {
        "ladder_kb_per_s": _number_list(pairs, "FamilyInfo.LevelKb"),
        "rung_values": _number_list(pairs, "FamilyInfo.WorthByRung"),
        "shared_stream_cost": read_float(pairs, "FamilyInfo.Join", 1.0),
        "rung_change_cost_s": read_float(pairs, "FamilyInfo.ChangeCostsS", 0.0),
        "shortfall_cost": read_float(pairs, "FamilyInfo.ShortfallCost", 0.0),
    }


def _capacity(pairs: Fields) -> dict[str, Any]:
    kinds = read_list(pairs, "MachineTypes")
    stream_limits = _number_list(pairs, "FamilyInfo.PlacesByKind")
    return {
        "stream_limit_by_kind": dict(zip(kinds, stream_limits, strict=False)),
        "total_link_kb_per_s": read_float(pairs, "FamilyInfo.LinksKb", 0.0),
        "link_kb_per_weight": read_float(pairs, "FamilyInfo.WeightKb"),
        "weight_kind": pairs.get("WeightKind", "off"),
        "uplink_kb_per_s": read_float(pairs, "FamilyInfo.RackKb", 0.0),
        "rejects_from_load": read_float(pairs, "FamilyInfo.RefusesFrom", 0.0),
    }


def _notifications(pairs: Fields) -> dict[str, Any]:
    inline = pairs.get("Reporting.How") == "inline"
    return {
        "notification_delay_us": read_integer(pairs, "FamilyInfo.SeenAfterUs", 0),
        "notification_interval_us": read_integer(pairs, "FamilyInfo.TellUs", 0),
        "inline_load_reports": inline,
        "reports_uplink_load": inline and "x1" in read_list(pairs, "Reporting.Columns"),
        "subscription_required": pairs.get("Discovery") == "subscribe",
        "request_within_us": read_integer(pairs, "Invariants.MustAskInUs", 0),
    }


def _limits(pairs: Fields) -> dict[str, Any]:
    return {
        "max_attempts": read_integer(pairs, "Limits.AttemptsCap", 1),
        "dial_timeout_us": read_integer(pairs, "Limits.DialTimeoutUs", 0),
        "drain_grace_us": read_integer(pairs, "Invariants.DrainGraceUs", 0),
        "health_checks_allowed": read_flag(pairs, "Limits.Probes"),
        "cancel_allowed": read_flag(pairs, "Limits.Cancel"),
        "retry_after_allowed": read_flag(pairs, "Limits.RetryAfter"),
        "max_retry_after_us": read_integer(pairs, "Limits.MaxRetryAfterUs", 0),
    }


def _slow_start(pairs: Fields) -> dict[str, Any]:
    return {
        "slow_start_fraction": read_float(pairs, "Invariants.ColdFrom", 1.0),
        "warm_up_us": read_integer(pairs, "Invariants.ColdUs", 0),
        "overload_factor": read_float(pairs, "Invariants.OverloadFactor", 1.0),
        "overload_window_us": read_integer(pairs, "Invariants.TipAfterUs", 1_000_000),
    }


def _retry_budget(pairs: Fields) -> dict[str, Any]:
    window_us = read_integer(pairs, "Invariants.ResendSpanUs", 0)
    if "Invariants.FurtherRatio" not in pairs and "Invariants.BudgetFree" not in pairs:
        return {"retry_budget_window_us": window_us}
    return {
        "retry_budget_window_us": window_us,
        "retry_budget_floor": read_float(pairs, "Invariants.BudgetFree", 0.0),
        "retry_budget_ratio": read_float(pairs, "Invariants.FurtherRatio", 0.0),
    }


def _prices(pairs: Fields) -> dict[str, Any]:
    return {
        "cross_zone_price": read_float(pairs, "Prices.CrossZone", 0.0),
        "migration_price": read_float(pairs, "Prices.Moves", 0.0),
        "health_check_price": read_float(pairs, "Prices.Probe", 0.0),
        "over_quota_value": read_float(pairs, "OverShareWorth", 1.0),
    }
