"""Estimates of link and uplink load from readings and from this broker's own reservations."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from lotuspick.core import tuning

if TYPE_CHECKING:
    from lotuspick.core.state import ServerState

NEVER = 1 << 62  # us: a time later than any clock time
LOAD_AVERAGE_SCALE = 1 << 60  # fixed-point value of 1.0 in averages


class LoadAverage:
    """Expected load of a link without a reading: the harmonic mean of the recent readings of other links.

    Busy links report more often, and stalled links report a load of many times their size. The harmonic mean
    compensates for both. The sum is an integer, so that removing a reading leaves no rounding error.
    """

    def __init__(self, notification_interval_us: int) -> None:
        self.reading_lifetime_us = int(tuning.STALE_INTERVALS * notification_interval_us)
        self.contributions = dict[LinkLoad, int]()
        """The reciprocal load of each link (fixed point), least recently observed first."""
        self.total = 0

    def observe(self, link: LinkLoad, load: float) -> None:
        """Record a reading of a link's load and replace its previous reading."""
        self.forget(link)
        self.contributions[link] = int(LOAD_AVERAGE_SCALE / max(tuning.MIN_AVERAGED_LOAD, load))
        self.total += self.contributions[link]

    def forget(self, link: LinkLoad) -> None:
        """Remove the reading of a link."""
        self.total -= self.contributions.pop(link, 0)

    def value(self, now: int) -> float:
        """Return the average of the readings that have not expired at clock time ``now`` (us)."""
        while (
            self.contributions
            and (first := next(iter(self.contributions))).observed_at + tuning.READING_FADE_US <= now
        ):
            self.forget(first)
        if not self.contributions:
            return tuning.UNKNOWN_LINK_LOAD
        # Without load notifications only full links report, through their shortfall. The average is capped,
        # because the other links need not be full.
        mean = len(self.contributions) * LOAD_AVERAGE_SCALE / max(1, self.total)
        return min(tuning.POOL_ENFORCEMENT_LOAD, mean)


@dataclass(slots=True, eq=False)
class LinkLoad:
    """The load of a link or an uplink: its last reading and this broker's changes since that reading."""

    kb_per_s: float
    """Capacity of the link."""
    average: LoadAverage
    """The average that the readings of the link contribute to."""
    last_reading: float | None = None
    """Demand at the last reading, as a share of the link."""
    observed_at: int = -NEVER
    unreported_kb_per_s: float = 0.0
    """Change of this broker's use since the last reading."""
    own_kb_per_s: float = 0.0
    """This broker's total use."""
    changes: deque[tuple[int, float]] = field(default_factory=deque)

    def add(self, now: int, kb_per_s: float) -> None:
        """Record a change of this broker's use; merge changes older than ``READING_FADE_US`` into one."""
        self.unreported_kb_per_s += kb_per_s
        self.changes.append((now, kb_per_s))
        while len(self.changes) > 1 and self.changes[1][0] <= now - tuning.READING_FADE_US:
            (_, first), (changed_at, second) = self.changes.popleft(), self.changes.popleft()
            self.changes.appendleft((changed_at, first + second))

    def observe(self, value: float, at_us: int) -> None:
        """Record a load reading taken at ``at_us``; ignore it if it is older than the last reading."""
        if at_us < self.observed_at:
            return
        self.last_reading, self.observed_at = value, at_us
        self.average.observe(self, value)
        while self.changes and self.changes[0][0] <= at_us:
            self.unreported_kb_per_s -= self.changes.popleft()[1]

    def load(self, average: float, now: int) -> float:
        """Return the estimated demand at clock time ``now`` (us), as a share of the link.

        A link without a reading has the load ``average``. A reading decays to ``average``, unless this broker
        has sessions on the link: they would report a shortfall.
        """
        reading = average if self.last_reading is None else self.last_reading
        if self.last_reading is not None and self.own_kb_per_s <= 0:
            weight = math.exp(
                min(0.0, (self.observed_at + self.average.reading_lifetime_us - now) / tuning.READING_FADE_US)
            )
            reading = average + (self.last_reading - average) * weight
        return max(0.0, reading + self.unreported_kb_per_s / self.kb_per_s)


@dataclass(slots=True, eq=False)
class UplinkLoad(LinkLoad):
    """The load of a rack's uplink; if it is not reported, the sum of the loads of the links behind it."""

    configured_kb_per_s: float = math.inf
    """Configured capacity; ``kb_per_s`` is the learned capacity."""
    attached_servers: list[ServerState] = field(default_factory=list)
    last_shortfall_at: int = 0
    """Time of the last notification that showed a shortfall of the uplink."""

    def aggregate_load(self, average: float, now: int) -> float:
        """Return the estimated demand of the uplink's links at clock time ``now`` (us) in kB per second.

        The load assumed for links without a reading is limited, so that they alone cannot fill the uplink. A
        broker whose sessions all play one popular title has readings of full links only, and would otherwise
        reject every request.
        """
        links_kb_per_s = 1e-9 + sum(server.link.kb_per_s for server in self.attached_servers)
        average = min(average, tuning.UNKNOWN_LINK_LOAD * self.configured_kb_per_s / links_kb_per_s)
        return sum(server.link.load(average, now) * server.link.kb_per_s for server in self.attached_servers)

    def estimate_from_links(self, average: float, now: int) -> None:
        """Record the demand of the links as the uplink's load; raise the learned capacity while busy."""
        demand = self.aggregate_load(average, now)
        no_recent_shortfall = now - self.last_shortfall_at > tuning.UPLINK_GROWTH_DELAY_US
        if no_recent_shortfall and demand > tuning.POOL_ENFORCEMENT_LOAD * self.kb_per_s:
            self.kb_per_s *= 1 + tuning.UPLINK_SIZE_GROWTH_PER_S * min(1.0, (now - self.observed_at) / 1e6)
        self.observe(demand / self.kb_per_s, now)
