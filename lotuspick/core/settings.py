"""Settings of one broker, validated on construction.

Times are integer microseconds on the broker's own clock, rates are in kB per second, shares and loads are
fractions (1.0 = 100 %). Each class raises ``ValueError`` with the name of an invalid field, so that the
decision modules only receive valid settings.
"""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from enum import StrEnum
from typing import TYPE_CHECKING, Any

from lotuspick.core.validation import require_not_negative, require_positive

if TYPE_CHECKING:
    from lotuspick.core.events import ServerEntry


_REQUIRED: Any = None


class RetrySafety(StrEnum):
    """Rule for retrying a session after an attempt that may have executed."""

    IDEMPOTENT = "safe"
    """May be repeated without limit."""
    NOT_IDEMPOTENT = "paid"
    """Must be set up at most once."""
    KEYED = "keyed"
    """Retries carry an idempotency key and are allowed inside ``retry_scope`` only."""


@dataclass(frozen=True, slots=True)
class ClassSettings:
    """Settings of one class of sessions."""

    name: str
    latency_objective_us: int
    """Target time for a set-up."""
    retry_safety: RetrySafety = RetrySafety.IDEMPOTENT
    """Rule for retries; see :class:`RetrySafety`."""
    priority_weight: float = 1.0
    """Value of one second at a rung of value 1."""
    bitrate_scale: float = 1.0
    """Bitrates of this class divided by the bitrates of the ladder."""
    lowest_rung: int = 0
    """Lowest rung that may be set."""
    highest_rung: int = 1_000
    """Highest rung of the class."""
    title_session_limit: int = 0
    """Maximum number of a broker's sessions of one title; 0: no limit."""
    live: bool = False
    """The titles of the class are live, so viewers may share streams."""
    retry_scope: str = "all"
    """For ``keyed``: the scope of retries: ``all``, ``zone`` or ``position``."""
    retry_window_us: int = 0
    """For ``keyed``: time after an attempt in which a retry is allowed."""

    def __post_init__(self) -> None:
        owner = f"class {self.name}"
        require_positive(
            owner, latency_objective_us=self.latency_objective_us, bitrate_scale=self.bitrate_scale
        )
        require_not_negative(
            owner,
            priority_weight=self.priority_weight,
            lowest_rung=self.lowest_rung,
            highest_rung=self.highest_rung,
            title_session_limit=self.title_session_limit,
            retry_window_us=self.retry_window_us,
        )
        if self.retry_safety not in tuple(RetrySafety):
            raise ValueError(f"{owner}.retry_safety must be safe, paid or keyed, not {self.retry_safety!r}")
        if self.retry_scope not in ("all", "zone", "position"):
            raise ValueError(f"{owner}.retry_scope must be all, zone or position, not {self.retry_scope!r}")


@dataclass(frozen=True, slots=True)
class Settings:
    """Configuration of a broker. Fields without a default value are required."""

    zone: str = _REQUIRED
    brokers: int = _REQUIRED
    """Number of brokers that share the servers, including this one."""
    classes: Sequence[ClassSettings] = _REQUIRED
    ladder_kb_per_s: Sequence[float] = _REQUIRED
    """Bitrate of each rung, lowest first."""
    rung_values: Sequence[float] = _REQUIRED
    """Value of each rung, at most 1."""
    stream_limit_by_kind: Mapping[str, float] = _REQUIRED
    """Maximum number of streams on a server of each kind."""
    positions: int = _REQUIRED
    """Number of positions on the ring that titles are placed on."""
    racks: int = 1
    total_link_kb_per_s: float = 0.0
    """Total capacity of all links at the start; 0: not configured."""
    link_kb_per_weight: float = _REQUIRED
    """Link capacity of a server per unit of its weight."""
    weight_kind: str = "off"
    """Meaning of a server's weight: ``off``, ``nominal``, ``rough`` or ``live``."""
    uplink_kb_per_s: float = 0.0
    """Mean uplink capacity of a rack; 0: not configured."""
    rejects_from_load: float = 0.0
    """Link load from which a server rejects set-ups; 0: never."""
    shared_stream_cost: float = 1.0
    """Load that one more viewer adds to a live stream, as a fraction of the bitrate."""
    notification_delay_us: int = 0
    """Delay of notifications on playing sessions."""
    notification_interval_us: int = 0
    """Interval of load notifications on a playing session; 0: no notifications."""
    rung_change_cost_s: float = 0.0
    """Cost of a rung change, in seconds of the session's value."""
    shortfall_cost: float = 0.0
    """Value lost for each point of the bitrate that is not delivered."""
    max_attempts: int = 1
    dial_timeout_us: int = 0
    drain_grace_us: int = 0
    slow_start_fraction: float = 1.0
    """Minimum fraction of its capacity that a server has at its start."""
    warm_up_us: int = 0
    """Time from a server's start until it is warm."""
    overload_factor: float = 1.0
    """Multiple of its slow-start rate at which a warming-up server fails ..."""
    overload_window_us: int = 1_000_000
    """... if the rate is sustained for this time."""
    retry_budget_floor: float | None = None
    retry_budget_ratio: float | None = None
    retry_budget_window_us: int = 0
    """Window of the retry budget; there is no budget if its floor or its ratio is None."""
    health_checks_allowed: bool = False
    cancel_allowed: bool = False
    retry_after_allowed: bool = False
    max_retry_after_us: int = 0
    subscription_required: bool = False
    """The server list is sent to subscribers only."""
    request_within_us: int = 0
    inline_load_reports: bool = False
    """Servers report their load in their answers."""
    reports_uplink_load: bool = False
    """Reports and notifications include the load of the rack's uplink."""
    cross_zone_price: float = 0.0
    migration_price: float = 0.0
    health_check_price: float = 0.0
    over_quota_value: float = 1.0
    tenant_rates: Mapping[str, float] = field(default_factory=dict)
    """Permitted requests per second of each tenant, over all brokers."""

    @property
    def largest_stream_limit(self) -> int:
        """The maximum number of streams on a server of the largest kind."""
        return math.ceil(max(self.stream_limit_by_kind.values()))

    @property
    def single_execution_classes(self) -> frozenset[str]:
        """The names of the classes whose sessions may be executed only once."""
        return frozenset(
            session_class.name
            for session_class in self.classes
            if session_class.retry_safety != RetrySafety.IDEMPOTENT
        )

    def capacity(self, entry: ServerEntry) -> tuple[float, float]:
        """Return the maximum number of streams of a server and its link capacity in kB per second.

        The link capacity follows the weight of the server if weights express it, otherwise its kind. An
        unknown kind counts as the largest.
        """
        stream_limit = self.stream_limit_by_kind.get(entry.kind) or max(self.stream_limit_by_kind.values())
        if self.weight_kind in ("nominal", "rough"):
            return stream_limit, self.link_kb_per_weight * (entry.weight or 1.0)
        mean_limit = sum(self.stream_limit_by_kind.values()) / len(self.stream_limit_by_kind)
        return stream_limit, self.link_kb_per_weight * stream_limit / mean_limit

    def __post_init__(self) -> None:
        if not self.zone:
            raise ValueError("settings.zone is missing")
        require_positive(
            "settings",
            brokers=self.brokers,
            positions=self.positions,
            racks=self.racks,
            link_kb_per_weight=self.link_kb_per_weight,
            max_attempts=self.max_attempts,
            slow_start_fraction=self.slow_start_fraction,
            overload_factor=self.overload_factor,
            overload_window_us=self.overload_window_us,
        )
        require_not_negative(
            "settings",
            total_link_kb_per_s=self.total_link_kb_per_s,
            uplink_kb_per_s=self.uplink_kb_per_s,
            shared_stream_cost=self.shared_stream_cost,
            rejects_from_load=self.rejects_from_load,
            notification_delay_us=self.notification_delay_us,
            notification_interval_us=self.notification_interval_us,
            rung_change_cost_s=self.rung_change_cost_s,
            shortfall_cost=self.shortfall_cost,
            dial_timeout_us=self.dial_timeout_us,
            drain_grace_us=self.drain_grace_us,
            warm_up_us=self.warm_up_us,
            retry_budget_window_us=self.retry_budget_window_us,
            request_within_us=self.request_within_us,
            max_retry_after_us=self.max_retry_after_us,
            cross_zone_price=self.cross_zone_price,
            migration_price=self.migration_price,
            health_check_price=self.health_check_price,
            over_quota_value=self.over_quota_value,
        )
        self._check_ladder()
        self._check_collections()

    def _check_ladder(self) -> None:
        for name in ("classes", "ladder_kb_per_s", "rung_values", "stream_limit_by_kind"):
            if not getattr(self, name):
                raise ValueError(f"settings.{name} is missing")
        if len(self.ladder_kb_per_s) != len(self.rung_values):
            raise ValueError("settings.rung_values must have as many entries as ladder_kb_per_s")
        for index, rate in enumerate(self.ladder_kb_per_s):
            require_positive("settings", **{f"ladder_kb_per_s[{index}]": rate})
            require_not_negative("settings", **{f"rung_values[{index}]": self.rung_values[index]})
        if list(self.ladder_kb_per_s) != sorted(self.ladder_kb_per_s):
            raise ValueError("settings.ladder_kb_per_s must be in ascending order")

    def _check_collections(self) -> None:
        for kind, stream_limit in self.stream_limit_by_kind.items():
            require_positive("settings", **{f"stream_limit_by_kind[{kind}]": stream_limit})
        for tenant, rate in self.tenant_rates.items():
            require_not_negative("settings", **{f"tenant_rates[{tenant}]": rate})
        for session_class in self.classes:
            if session_class.lowest_rung >= len(self.ladder_kb_per_s):
                raise ValueError(
                    f"class {session_class.name}.lowest_rung is above the highest rung of the ladder"
                )
