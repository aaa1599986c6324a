"""Settings of one broker, checked when they are made.

Times are whole microseconds on the broker's own clock, rates are kB a second, shares and loads are
fractions (1.0 = all of it). Every object raises ``ValueError`` naming what is wrong, so that the
decisions only ever see sound input.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from enum import StrEnum
from typing import TYPE_CHECKING, Any

from lotuspick.core.validation import require_not_negative, require_positive

if TYPE_CHECKING:
    from lotuspick.core.events import ServerEntry


_REQUIRED: Any = None


class RetrySafety(StrEnum):
    """Whether a session of a class may be set up again after an attempt that may have run."""

    IDEMPOTENT = "safe"
    """Free to repeat."""
    NOT_IDEMPOTENT = "paid"
    """Set up at most once."""
    KEYED = "keyed"
    """Repeats carry an idempotency key and are allowed inside ``retry_scope`` only."""


@dataclass(frozen=True, slots=True)
class ClassSettings:
    """One class of session."""

    name: str
    latency_objective_us: int
    """A set-up is wanted within this time."""
    retry_safety: RetrySafety = RetrySafety.IDEMPOTENT
    """``safe``: free to repeat. ``paid``: set up once. ``keyed``: repeats only inside ``group``."""
    priority_weight: float = 1.0
    """Worth of one second at a rung of worth 1."""
    bitrate_scale: float = 1.0
    """Rates of this class over those of the ladder."""
    lowest_rung: int = 0
    """Lowest rung that may be set."""
    highest_rung: int = 1_000
    """Highest rung of the class."""
    title_session_limit: int = 0
    """Sessions of one title that a broker may have; 0: no limit."""
    live: bool = False
    """Its titles are live, so that viewers may share streams."""
    retry_scope: str = "all"
    """For ``keyed``: where a repeat may go: ``all``, ``zone`` or ``position``."""
    retry_window_us: int = 0
    """For ``keyed``: how long after a send a repeat is allowed."""

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
    """What a broker is configured with. Fields without a default here are required."""

    zone: str = _REQUIRED
    brokers: int = _REQUIRED
    """Brokers that share the servers, this one included."""
    classes: Sequence[ClassSettings] = _REQUIRED
    ladder_kb_per_s: Sequence[float] = _REQUIRED
    """Rate of each rung, lowest first."""
    rung_values: Sequence[float] = _REQUIRED
    """What each rung earns, 1 at most."""
    stream_limit_by_kind: Mapping[str, float] = _REQUIRED
    """Streams that a server of each kind runs at most."""
    positions: int = _REQUIRED
    """Length of the ring of positions on which titles lie."""
    racks: int = 1
    total_link_kb_per_s: float = 0.0
    """All links together at the start; 0: not configured."""
    link_kb_per_weight: float = _REQUIRED
    """Link of a server for each unit of its weight."""
    weight_kind: str = "off"
    """What a server's weight holds: ``off``, ``nominal``, ``rough`` or ``live``."""
    uplink_kb_per_s: float = 0.0
    """Mean uplink of a rack; 0: not configured."""
    rejects_from_load: float = 0.0
    """A server turns set-ups away while so much of its link is asked; 0: never."""
    shared_stream_cost: float = 1.0
    """What a further viewer of a live stream adds to it, as a part of the rate."""
    notification_delay_us: int = 0
    """How late notifications on playing sessions are."""
    notification_interval_us: int = 0
    """Time between load notifications on a playing session; 0: none."""
    rung_change_cost_s: float = 0.0
    """A change of rung costs so many seconds of the session's worth."""
    shortfall_cost: float = 0.0
    """Worth lost for each point of the rate that is missing."""
    max_attempts: int = 1
    dial_timeout_us: int = 0
    drain_grace_us: int = 0
    slow_start_fraction: float = 1.0
    """A server starts at no less than this part of its capacity."""
    warm_up_us: int = 0
    """A server is warm so long after its start."""
    overload_factor: float = 1.0
    """A server that warms up fails at this multiple of its slow-start rate ..."""
    overload_window_us: int = 1_000_000
    """... held for so long."""
    retry_budget_floor: float | None = None
    retry_budget_ratio: float | None = None
    retry_budget_window_us: int = 0
    """Window of the retry budget; there is no budget where its floor or its ratio is None."""
    health_checks_allowed: bool = False
    cancel_allowed: bool = False
    retry_after_allowed: bool = False
    max_retry_after_us: int = 0
    subscription_required: bool = False
    """The server list comes only to those who ask for it."""
    request_within_us: int = 0
    inline_load_reports: bool = False
    """Servers report their load in answers."""
    reports_uplink_load: bool = False
    """Reports and notifications include the load of the rack's uplink."""
    cross_zone_price: float = 0.0
    migration_price: float = 0.0
    health_check_price: float = 0.0
    over_quota_value: float = 1.0
    tenant_rates: Mapping[str, float] = field(default_factory=dict)
    """Requests a second of each tenant, over all brokers, inside its share."""

    def capacity(self, entry: ServerEntry) -> tuple[float, float]:
        """Streams that a server runs at most, and the size of its link in kB a second.

        By its weight where weights hold that, else by its kind; an unknown kind counts as the largest.
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
            raise ValueError("settings.rung_values must be as long as ladder_kb_per_s")
        for index, rate in enumerate(self.ladder_kb_per_s):
            require_positive("settings", **{f"ladder_kb_per_s[{index}]": rate})
            require_not_negative("settings", **{f"rung_values[{index}]": self.rung_values[index]})
        if list(self.ladder_kb_per_s) != sorted(self.ladder_kb_per_s):
            raise ValueError("settings.ladder_kb_per_s must rise")

    def _check_collections(self) -> None:
        for kind, stream_limit in self.stream_limit_by_kind.items():
            require_positive("settings", **{f"stream_limit_by_kind[{kind}]": stream_limit})
        for tenant, rate in self.tenant_rates.items():
            require_not_negative("settings", **{f"tenant_rates[{tenant}]": rate})
        for session_class in self.classes:
            if session_class.lowest_rung >= len(self.ladder_kb_per_s):
                raise ValueError(f"class {session_class.name}.lowest_rung is not on the ladder")
