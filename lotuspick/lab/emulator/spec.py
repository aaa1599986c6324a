"""Parameters of an emulated day.

Units: seconds for times, kB/s for bitrates and link capacities, fractions of 1 for shares.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from lotuspick.core.settings import ClassSettings, RetrySafety, Settings

SECOND_US = 1_000_000
ZONES = ("norte", "sur", "central")
NODE_KIND = "nodo-2c"
REFERENCE_KB_PER_S = 580.0
LADDER_KB_PER_S = tuple(REFERENCE_KB_PER_S * factor for factor in (0.3, 0.7, 1.4, 3.0))
RUNG_VALUES = (0.22, 0.5, 0.8, 1.0)
RUNG_CHANGE_COST_S = 0.6
SHORTFALL_COST = 8.0
STREAMS_PER_SESSION = 2.6
"""Stream limit of a node, as a multiple of the sessions that its link carries at the reference bitrate."""
WARM_UP_S = 8
SLOW_START_SHARE = 0.3
OVERLOAD_FACTOR = 2.5
OVERLOAD_WINDOW_S = 3
DRAIN_GRACE_S = 2
IDEMPOTENT_CLASS, PAID_CLASS = "repaso", "asistencia"


@dataclass(frozen=True, slots=True)
class ClassModel:
    """One class of sessions and the behaviour of its viewers."""

    share: float
    """Share of all sessions."""
    length_s: tuple[float, float]
    """Range of session lengths."""
    patience_s: float
    """How long a viewer waits for an answer."""
    latency_objective_us: int
    priority_weight: float
    bitrate_scale: float
    """Ratio of its bitrates to those of the ladder."""


PAID_SHARE = 0.35
CLASSES: dict[str, ClassModel] = {
    IDEMPOTENT_CLASS: ClassModel(1 - PAID_SHARE, (15.0, 46.0), 5.0, 1_500_000, 1.0, 0.7),
    PAID_CLASS: ClassModel(PAID_SHARE, (22.0, 65.0), 3.0, 800_000, 2.0, 1.4),
}


class FaultKind(StrEnum):
    """Kinds of injected faults."""

    NODE_CRASHED = "dead"
    """A node crashes; it restarts when the fault ends."""
    NODE_SLOW = "slow"
    """Set-ups on a node take 20 times as long."""
    LINK_DEGRADED = "thin"
    """The link of a node has a third of its capacity."""
    ENDPOINT_LIST_DELAYED = "late"
    """Endpoint list updates are delayed by 10 s."""
    NOTIFICATIONS_LOST = "mute"
    """All load notifications are lost."""
    NODE_DRAINING = "drain"
    """A node is draining; it restarts when the fault ends."""
    BROKER_KILLED = "kill"
    """A broker is killed; it restarts when the fault ends."""
    PLAN_STALE = "stale"
    """A broker receives no new plan until the fault ends."""


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault and its time span."""

    kind: FaultKind
    start_s: float
    end_s: float
    index: int = 0
    """Index of the node or broker, modulo their number."""


@dataclass(frozen=True, slots=True)
class RetryStorm:
    """Broken players of one tenant that retry at a fixed interval and may abandon served sessions."""

    tenant: str
    start_s: float
    end_s: float
    rate_factor: float = 20.0
    """Ratio of the tenant's requests during the storm to its usual ones."""
    leaked_share: float = 0.5
    """Share of served attempts whose session keeps playing while its player retries."""
    identifies_viewer: bool = True
    """Whether retries carry the viewer's id and are marked as retries.

    Otherwise each attempt looks like the first one of a new viewer.
    """


@dataclass(frozen=True, slots=True)
class FlashCrowd:
    """Additional viewers of one tenant, all for one title."""

    tenant: str
    start_s: float
    end_s: float
    rate_per_s: float


@dataclass(frozen=True, slots=True)
class Spec:
    """Parameters of one day. The field names are keys of the experiment files."""

    nodes: int = 40
    racks: int = 8
    brokers: int = 6
    tenants: int = 240
    skew: float = 0.6
    """Zipf exponent of the distribution of requests over tenants."""
    lessons: int = 6
    """Number of titles of each tenant."""
    load: float = 0.5
    """Offered load at the reference bitrate, as a share of the total link capacity."""
    day_s: float = 80.0
    measure_from_s: float = 25.0
    sessions_per_link: float = 10.0
    """Sessions that a node's link carries at the reference bitrate."""
    cells: int = 8
    """Number of blocks of consecutive positions; each tenant belongs to one block."""
    copies: tuple[int, int] = (3, 5)
    """Range of the number of copies of a title.

    The copies are on consecutive positions that start at one of the first two of the tenant's block; copies
    beyond the end of the block are in the next block.
    """
    strays: float = 0.1
    """Share of titles that are stored on three consecutive positions from a random one on."""
    wide: tuple[str, ...] = ()
    """Tenants whose titles are on all positions of their block and the next, so that they can migrate."""
    storms: tuple[RetryStorm, ...] = ()
    crowds: tuple[FlashCrowd, ...] = ()
    faults: tuple[Fault, ...] = ()

    @property
    def rate_per_s(self) -> float:
        """Return the rate of first attempts over all tenants."""
        mean_s = sum(
            model.share * sum(model.length_s) / 2 * model.bitrate_scale for model in CLASSES.values()
        )
        return self.load * self.nodes * self.sessions_per_link / mean_s

    @property
    def link_kb_per_s(self) -> float:
        """Return the nominal link capacity of a node."""
        return self.sessions_per_link * REFERENCE_KB_PER_S

    @property
    def uplink_kb_per_s(self) -> float:
        """Return the nominal uplink capacity of a rack."""
        return self.nodes / self.racks * self.sessions_per_link * REFERENCE_KB_PER_S

    @property
    def block_size(self) -> int:
        """Return the number of positions in a block."""
        return self.nodes // self.cells

    def settings(self, zone: str) -> Settings:
        """Return the settings of the brokers of a zone."""
        return Settings(
            zone=zone,
            brokers=self.brokers,
            ladder_kb_per_s=LADDER_KB_PER_S,
            rung_values=RUNG_VALUES,
            classes=_class_settings(),
            stream_limit_by_kind={NODE_KIND: self.sessions_per_link * STREAMS_PER_SESSION},
            positions=self.nodes,
            racks=self.racks,
            link_kb_per_weight=self.link_kb_per_s,
            weight_kind="nominal",
            uplink_kb_per_s=self.uplink_kb_per_s,
            total_link_kb_per_s=self.nodes * self.sessions_per_link * REFERENCE_KB_PER_S,
            notification_delay_us=700_000,
            notification_interval_us=3 * SECOND_US,
            rung_change_cost_s=RUNG_CHANGE_COST_S,
            shortfall_cost=SHORTFALL_COST,
            max_attempts=4,
            dial_timeout_us=250_000,
            drain_grace_us=DRAIN_GRACE_S * SECOND_US,
            slow_start_fraction=SLOW_START_SHARE,
            warm_up_us=WARM_UP_S * SECOND_US,
            overload_factor=OVERLOAD_FACTOR,
            overload_window_us=OVERLOAD_WINDOW_S * SECOND_US,
            retry_after_allowed=True,
            max_retry_after_us=30 * SECOND_US,
            inline_load_reports=True,
            cross_zone_price=0.057,
            migration_price=0.094,
        )


def _class_settings() -> list[ClassSettings]:
    idempotent, paid = CLASSES[IDEMPOTENT_CLASS], CLASSES[PAID_CLASS]
    return [
        ClassSettings(
            IDEMPOTENT_CLASS,
            idempotent.latency_objective_us,
            priority_weight=idempotent.priority_weight,
            bitrate_scale=idempotent.bitrate_scale,
        ),
        ClassSettings(
            PAID_CLASS,
            paid.latency_objective_us,
            retry_safety=RetrySafety.NOT_IDEMPOTENT,
            priority_weight=paid.priority_weight,
            bitrate_scale=paid.bitrate_scale,
            lowest_rung=1,
        ),
    ]
