"""What a day of the emulator is made of. Times are seconds, rates kB a second, shares fractions."""

from __future__ import annotations

from dataclasses import dataclass

from lotuspick.core.settings import ClassSettings, RetrySafety, Settings

SECOND = 1_000_000
ZONES = ("norte", "sur", "central")
MIDDLE_KB = 580.0
LADDER = tuple(MIDDLE_KB * part for part in (0.3, 0.7, 1.4, 3.0))
RUNG_WORTH = (0.22, 0.5, 0.8, 1.0)
LENGTHS = {"repaso": (15.0, 46.0), "asistencia": (22.0, 65.0)}
GIVE_UP = {"repaso": 5.0, "asistencia": 3.0}
PAID_PART = 0.35


@dataclass(frozen=True, slots=True)
class Storm:
    """Players of one tenant that ask again at once and without end, and leave what they set up standing."""

    tenant: str
    start_s: float
    end_s: float
    times: float = 20.0
    """Requests of the tenant over its usual ones."""
    leaks: float = 0.5
    """Part of the served tries whose session is left standing while its player asks again."""
    marked: bool = True
    """The players keep their viewer's name and say that they come again; else each try looks like a first."""


@dataclass(frozen=True, slots=True)
class Crowd:
    """Viewers of one tenant that come beside its usual ones, for one lesson."""

    tenant: str
    start_s: float
    end_s: float
    rate: float
    """A second."""


@dataclass(frozen=True, slots=True)
class Trouble:
    """What goes wrong. ``kind``: ``dead`` (a node dies, and comes back at the end), ``slow`` (its set-ups take 20
    times as long), ``thin`` (its link gives a third), ``late`` (the roster runs 10 s behind), ``mute`` (no load
    notes), ``drain`` (a node is told to leave), ``kill`` (a broker is killed, and back after a second), ``stale``
    (a broker does not hear of a new plan until the end)."""

    kind: str
    start_s: float
    end_s: float
    index: int = 0
    """Of the node or broker."""


@dataclass(frozen=True, slots=True)
class Spec:
    """One day."""

    nodes: int = 40
    racks: int = 8
    brokers: int = 6
    tenants: int = 240
    skew: float = 0.6
    """Exponent of Zipf's law over the tenants."""
    lessons: int = 6
    """Lessons of each tenant."""
    load: float = 0.5
    """What viewers would fill of the links at the middle rate."""
    day_s: float = 80.0
    measure_from_s: float = 25.0
    sessions_per_link: float = 10.0
    """At the middle rate."""
    cells: int = 8
    """Blocks of positions beside each other, over which the operators have laid the tenants' lessons ..."""
    copies: tuple[int, int] = (3, 5)
    """... each on so many positions from one of the first of its tenant's block on; what is over lies in the next."""
    strays: float = 0.1
    """Part of the lessons that lie on three positions anywhere."""
    wide: tuple[str, ...] = ()
    """Tenants whose lessons lie on all of their block and of the next, so that they can be moved there."""
    storms: tuple[Storm, ...] = ()
    crowds: tuple[Crowd, ...] = ()
    troubles: tuple[Trouble, ...] = ()

    @property
    def rate(self) -> float:
        """First tries a second, all tenants together."""
        mean_s = sum(
            part * sum(LENGTHS[name]) / 2 * scale
            for name, part, scale in (("repaso", 1 - PAID_PART, 0.7), ("asistencia", PAID_PART, 1.4))
        )
        return self.load * self.nodes * self.sessions_per_link / mean_s

    def settings(self, zone: str) -> Settings:
        """What each broker is told."""
        return Settings(
            zone=zone,
            brokers=self.brokers,
            ladder_kb_per_s=LADDER,
            rung_values=RUNG_WORTH,
            classes=[
                ClassSettings("repaso", 1_500_000, priority_weight=1.0, bitrate_scale=0.7),
                ClassSettings(
                    "asistencia",
                    800_000,
                    retry_safety=RetrySafety.NOT_IDEMPOTENT,
                    priority_weight=2.0,
                    bitrate_scale=1.4,
                    lowest_rung=1,
                ),
            ],
            stream_limit_by_kind={"nodo-2c": self.sessions_per_link * 2.6},
            positions=self.nodes,
            racks=self.racks,
            link_kb_per_weight=self.sessions_per_link * MIDDLE_KB,
            weight_kind="nominal",
            uplink_kb_per_s=self.nodes / self.racks * self.sessions_per_link * MIDDLE_KB,
            total_link_kb_per_s=self.nodes * self.sessions_per_link * MIDDLE_KB,
            notification_delay_us=700_000,
            notification_interval_us=3 * SECOND,
            rung_change_cost_s=0.6,
            shortfall_cost=8.0,
            max_attempts=4,
            dial_timeout_us=250_000,
            drain_grace_us=2 * SECOND,
            slow_start_fraction=0.3,
            warm_up_us=8 * SECOND,
            overload_factor=2.5,
            overload_window_us=3 * SECOND,
            retry_after_allowed=True,
            max_retry_after_us=30 * SECOND,
            inline_load_reports=True,
            cross_zone_price=0.057,
            migration_price=0.094,
        )
