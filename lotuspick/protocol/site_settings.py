"""The settings of a gateway, read from path=value pairs: the same for the simulator's driver and the daemon.

Everything here is checked once; ``ValueError`` names the key at fault. The readers of single fields serve the
simulator's wire too.
"""

from __future__ import annotations

import math

from lotuspick.core.settings import ClassSettings, RetrySafety, Settings

Fields = dict[str, str]

GROUPS = {"cell": "position"}  # the wire's word for where a title lies, in this one place
RETRY_SAFETY = {
    "pure": RetrySafety.IDEMPOTENT,
    "token": RetrySafety.KEYED,
    "side_effect": RetrySafety.NOT_IDEMPOTENT,
}


class WireError(Exception):
    """A line that does not follow the wire."""


def split(parts: list[str]) -> Fields:
    fields: Fields = {}
    for part in parts:
        name, equals, value = part.partition("=")
        if not equals or not name:
            raise WireError(f"{part!r} is not name=value")
        fields[name] = value
    return fields


def need(fields: Fields, name: str) -> str:
    try:
        return fields[name]
    except KeyError:
        raise WireError(f"{name} is missing") from None


def whole(fields: Fields, name: str, default: int | None = None) -> int:
    if default is not None and name not in fields:
        return default
    text = need(fields, name)
    try:
        return int(text)
    except ValueError:
        raise WireError(f"{name} is not a whole number: {text!r}") from None


def decimal(fields: Fields, name: str, default: float | None = None) -> float:
    if default is not None and name not in fields:
        return default
    text = need(fields, name)
    try:
        value = float(text)
    except ValueError:
        raise WireError(f"{name} is not a number: {text!r}") from None
    if not math.isfinite(value):
        raise WireError(f"{name} is not a finite number: {text!r}")
    return value


def loose(text: str | None) -> float | None:
    """A reading that may be nonsense: None where it is no number at all."""
    try:
        return None if text is None else float(text)
    except ValueError:
        return None


def listed(fields: Fields, name: str) -> list[str]:
    text = fields.get(name, "")
    return text.split(",") if text else []


def flag(fields: Fields, name: str) -> bool:
    return fields.get(name, "0") in ("1", "true")


def _retry_safety(class_name: str, text: str) -> RetrySafety:
    """The wire's word for whether a class may be repeated; the words of :class:`RetrySafety` are taken as well."""
    try:
        return RETRY_SAFETY.get(text) or RetrySafety(text)
    except ValueError:
        message = f"class {class_name}.retry_safety must be safe, paid or keyed, not {text!r}"
        raise ValueError(message) from None


def read_settings(pairs: Fields) -> Settings:
    """Build the settings from the path=value pairs of a start; ``ValueError`` names what is missing."""

    def per_class(name: str, index: int, default: str) -> Fields:
        values = listed(pairs, f"FamilyInfo.{name}")
        return {f"FamilyInfo.{name}": values[index] if index < len(values) else default}

    def numbers(name: str) -> list[float]:
        return [decimal({name: text}, name) for text in listed(pairs, name)]

    try:
        classes = []
        for index in range(whole(pairs, "Categories.count")):
            at = f"Categories.{index}."
            effect = need(pairs, at + "Repeat")
            classes.append(
                ClassSettings(
                    name=need(pairs, at + "Name"),
                    latency_objective_us=whole(pairs, at + "TargetUs"),
                    retry_safety=_retry_safety(need(pairs, at + "Name"), effect),
                    priority_weight=decimal(pairs, at + "Worth", 1.0),
                    bitrate_scale=decimal(per_class("ClassScale", index, "1"), "FamilyInfo.ClassScale"),
                    lowest_rung=whole(per_class("ClassFloor", index, "0"), "FamilyInfo.ClassFloor"),
                    highest_rung=whole(per_class("HighestRung", index, "1000"), "FamilyInfo.HighestRung"),
                    title_session_limit=whole(per_class("Seats", index, "0"), "FamilyInfo.Seats"),
                    live=flag(per_class("Live", index, "false"), "FamilyInfo.Live"),
                    retry_scope=GROUPS.get(group := pairs.get(at + "KeyScope", "all"), group),
                    retry_window_us=whole(pairs, at + "WindowUs", 0),
                )
            )
        kinds = listed(pairs, "MachineTypes")
        places = numbers("FamilyInfo.PlacesByKind")
        tenants = {
            need(pairs, f"Projects.{index}.Name"): decimal(pairs, f"Projects.{index}.QuotaPerS", 0.0)
            for index in range(whole(pairs, "Projects.count", 0))
        }
        columns = listed(pairs, "Reporting.Columns")
        budget = "Invariants.FurtherRatio" in pairs or "Invariants.BudgetFree" in pairs
        return Settings(
            zone=need(pairs, "Az"),
            brokers=whole(pairs, "GroupSize"),
            classes=classes,
            ladder_kb_per_s=numbers("FamilyInfo.LevelKb"),
            rung_values=numbers("FamilyInfo.WorthByRung"),
            stream_limit_by_kind=dict(zip(kinds, places, strict=False)),
            positions=whole(pairs, "FamilyInfo.Cells"),
            racks=whole(pairs, "FamilyInfo.Racks", 1),
            total_link_kb_per_s=decimal(pairs, "FamilyInfo.LinksKb", 0.0),
            link_kb_per_weight=decimal(pairs, "FamilyInfo.WeightKb"),
            weight_kind=pairs.get("WeightKind", "off"),
            uplink_kb_per_s=decimal(pairs, "FamilyInfo.RackKb", 0.0),
            rejects_from_load=decimal(pairs, "FamilyInfo.RefusesFrom", 0.0),
            shared_stream_cost=decimal(pairs, "FamilyInfo.Join", 1.0),
            notification_delay_us=whole(pairs, "FamilyInfo.SeenAfterUs", 0),
            notification_interval_us=whole(pairs, "FamilyInfo.TellUs", 0),
            rung_change_cost_s=decimal(pairs, "FamilyInfo.ChangeCostsS", 0.0),
            shortfall_cost=decimal(pairs, "FamilyInfo.ShortfallCost", 0.0),
            max_attempts=whole(pairs, "Limits.AttemptsCap", 1),
            dial_timeout_us=whole(pairs, "Limits.DialTimeoutUs", 0),
            drain_grace_us=whole(pairs, "Invariants.DrainGraceUs", 0),
            slow_start_fraction=decimal(pairs, "Invariants.ColdFrom", 1.0),
            warm_up_us=whole(pairs, "Invariants.ColdUs", 0),
            overload_factor=decimal(pairs, "Invariants.OverloadFactor", 1.0),
            overload_window_us=whole(pairs, "Invariants.TipAfterUs", 1_000_000),
            retry_budget_floor=decimal(pairs, "Invariants.BudgetFree", 0.0) if budget else None,
            retry_budget_ratio=decimal(pairs, "Invariants.FurtherRatio", 0.0) if budget else None,
            retry_budget_window_us=whole(pairs, "Invariants.ResendSpanUs", 0),
            health_checks_allowed=flag(pairs, "Limits.Probes"),
            cancel_allowed=flag(pairs, "Limits.Cancel"),
            retry_after_allowed=flag(pairs, "Limits.RetryAfter"),
            max_retry_after_us=whole(pairs, "Limits.MaxRetryAfterUs", 0),
            subscription_required=pairs.get("Discovery") == "subscribe",
            request_within_us=whole(pairs, "Invariants.MustAskInUs", 0),
            inline_load_reports=pairs.get("Reporting.How") == "inline",
            reports_uplink_load=pairs.get("Reporting.How") == "inline" and "x1" in columns,
            cross_zone_price=decimal(pairs, "Prices.CrossZone", 0.0),
            migration_price=decimal(pairs, "Prices.Moves", 0.0),
            health_check_price=decimal(pairs, "Prices.Probe", 0.0),
            over_quota_value=decimal(pairs, "OverShareWorth", 1.0),
            tenant_rates=tenants,
        )
    except WireError as error:
        raise ValueError(f"settings: {error}") from None
