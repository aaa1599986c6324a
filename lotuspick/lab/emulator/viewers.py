"""Viewers that request sessions, and broken players that retry without end."""

from __future__ import annotations

import random
from functools import partial

from lotuspick.lab.emulator.attempt import Attempt
from lotuspick.lab.emulator.audit import ViewerIntent
from lotuspick.lab.emulator.cluster import Cluster
from lotuspick.lab.emulator.spec import (
    CLASSES,
    IDEMPOTENT_CLASS,
    LADDER_KB_PER_S,
    PAID_CLASS,
    PAID_SHARE,
    SECOND_US,
    ZONES,
    FlashCrowd,
    RetryStorm,
)
from lotuspick.lab.emulator.tenants import TenantPopulation, Title
from lotuspick.routing.messages import SessionCancelled

SMALL_SCREEN_SHARE = 0.24
SMALL_SCREEN_RUNGS = (1, 2)
"""Highest usable rungs of viewers with a small screen."""
PLAYER_INTERVAL_US = SECOND_US // 2
"""Interval between the requests of a broken player."""
PLAYER_JITTER = (0.9, 1.1)
CRASH_CANCEL_US = 300_000
"""Time from the crash of a player until its session is cancelled."""


class Viewers:
    """All viewers of a day."""

    def __init__(self, cluster: Cluster, tenants: TenantPopulation) -> None:
        self.simulation = cluster.simulation
        self.tenants = tenants
        self._cluster = cluster
        self._viewer_count = 0

    def create_intent(
        self, viewer: str, tenant: str, random_source: random.Random, is_measured: bool
    ) -> ViewerIntent:
        """Draw the class, the length and the highest rung of a viewer's playback."""
        session_class = PAID_CLASS if random_source.random() < PAID_SHARE else IDEMPOTENT_CLASS
        highest_rung = len(LADDER_KB_PER_S) - 1
        if random_source.random() < SMALL_SCREEN_SHARE:
            highest_rung = random_source.choice(SMALL_SCREEN_RUNGS)
        length_s = random_source.uniform(*CLASSES[session_class].length_s)
        now_us = self.simulation.now_us
        return ViewerIntent(viewer, tenant, session_class, length_s, highest_rung, now_us, is_measured)

    def request(
        self,
        intent: ViewerIntent,
        number: int,
        title: Title,
        random_source: random.Random,
        player: RetryingPlayer | None = None,
    ) -> None:
        """Send an attempt to a random running broker of the viewer's zone."""
        zone = ZONES[self.simulation.random_stream(intent.viewer).randrange(len(ZONES))]
        in_zone = [broker for broker in self._cluster.brokers if broker.zone == zone]
        up = [broker for broker in in_zone if broker.up] or in_zone
        broker = random_source.choice(up)
        attempt = Attempt(self, intent, number, broker, title, player)
        if broker.up:
            attempt.send()
        else:
            attempt.retry(0)

    # ---- arrivals -----------------------------------------------------------------------------------------

    def start(self) -> None:
        """Schedule all arrivals of the day: regular viewers, flash crowds and the players of retry storms."""
        spec, simulation = self.simulation.spec, self.simulation
        self._schedule_arrivals(spec.rate_per_s, 0.0, spec.day_s, simulation.random_stream("arrivals"))
        for index, flash_crowd in enumerate(spec.crowds):
            random_source = simulation.random_stream(f"crowd {index}")
            self._schedule_arrivals(
                flash_crowd.rate_per_s, flash_crowd.start_s, flash_crowd.end_s, random_source, flash_crowd
            )
        for storm in spec.storms:
            extra_rate = (storm.rate_factor - 1) * self.tenants.shares[storm.tenant] * spec.rate_per_s
            for index in range(max(1, round(extra_rate * PLAYER_INTERVAL_US / SECOND_US))):
                RetryingPlayer(self, storm, index)

    def _schedule_arrivals(
        self,
        rate_per_s: float,
        start_s: float,
        end_s: float,
        random_source: random.Random,
        flash_crowd: FlashCrowd | None = None,
    ) -> None:
        """Schedule Poisson arrivals in advance, so that they do not depend on answers."""
        at_s = start_s + random_source.expovariate(rate_per_s)
        while at_s < end_s:
            viewer_random = random.Random(random_source.random())
            self.simulation.call_later(
                int(at_s * SECOND_US), partial(self._arrive, flash_crowd, viewer_random)
            )
            at_s += random_source.expovariate(rate_per_s)

    def _arrive(self, flash_crowd: FlashCrowd | None, random_source: random.Random) -> None:
        """Send the first request of a viewer: for the flash crowd's title, or for any title of a tenant."""
        spec = self.simulation.spec
        tenant = flash_crowd.tenant if flash_crowd is not None else self.tenants.draw_tenant(random_source)
        self._viewer_count += 1
        viewer = f"v{self._viewer_count}" if flash_crowd is None else f"c{self._viewer_count}"
        is_measured = spec.measure_from_s * SECOND_US <= self.simulation.now_us < spec.day_s * SECOND_US
        intent = self.create_intent(viewer, tenant, random_source, is_measured)
        titles = self.tenants.titles[tenant]
        title = titles[0] if flash_crowd is not None else random_source.choice(titles)
        self.request(intent, 0, title, random_source)


class RetryingPlayer:
    """A broken player of a retry storm: sends requests at a fixed interval, whatever the answers."""

    def __init__(self, viewers: Viewers, storm: RetryStorm, index: int) -> None:
        self.storm = storm
        self._viewers = viewers
        self._simulation = viewers.simulation
        self._index = index
        self._attempt_count = 0
        self._random = self._simulation.random_stream(f"player {storm.tenant} {index}")
        first_us = int(storm.start_s * SECOND_US + self._random.random() * PLAYER_INTERVAL_US)
        self._simulation.call_later(first_us, self._request)

    def _request(self) -> None:
        if self._simulation.now_us >= self.storm.end_s * SECOND_US:
            return
        name = f"x{self._index}" if self.storm.identifies_viewer else f"x{self._index}-{self._attempt_count}"
        intent = self._viewers.create_intent(name, self.storm.tenant, self._random, is_measured=False)
        title = self._random.choice(self._viewers.tenants.titles[self.storm.tenant])
        self._viewers.request(intent, self._attempt_count, title, self._random, self)
        self._attempt_count += 1
        self._simulation.call_later(
            int(PLAYER_INTERVAL_US * self._random.uniform(*PLAYER_JITTER)), self._request
        )

    def served(self, attempt: Attempt) -> None:
        """Crash after a served attempt: its session is cancelled, or plays to its end without a viewer."""
        if self._random.random() >= self.storm.leaked_share:
            attempt.broker_process.deliver(SessionCancelled(attempt.session), CRASH_CANCEL_US)
