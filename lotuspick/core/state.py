"""Records of one broker's servers and sessions, without decision logic."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from lotuspick.core.constraints import UNCONSTRAINED, PlacementConstraint
from lotuspick.core.events import ServerEntry, SessionRequest
from lotuspick.core.load_estimation import NEVER, LinkLoad, UplinkLoad
from lotuspick.core.settings import ClassSettings
from lotuspick.core.tuning import POOL_COUNT

MAX_TRACKED_ATTEMPTS = 256  # attempts on a server, for slow start


class LoadClaim(NamedTuple):
    """Claim of a hint that the load of a link is between ``low`` and ``high``."""

    low: float
    high: float
    at_us: int


class Fit(NamedTuple):
    """A rung that fits on a server, its draws from the pools (kB per second) and the resulting load."""

    rung: int
    pool_draws: list[float]
    load: float


class Loads(NamedTuple):
    """Measurements for one call: pool sizes, and the load assumed for links and uplinks without a reading."""

    pool_sizes: list[float]
    average_link_load: float
    average_uplink_load: float


class SessionPhase(Enum):
    """Phase of a session between its request and its end."""

    QUEUED = "queued"
    FORWARDED = "forwarded"
    PLAYING = "playing"


class RetryDecision(Enum):
    """Decision on a session whose attempt ended before playback."""

    RETRY = "retry"
    REJECT = "reject"
    FAIL = "fail"


@dataclass(slots=True, eq=False)
class ServerState:
    """This broker's record of one server."""

    entry: ServerEntry
    link: LinkLoad
    uplink: UplinkLoad
    stream_limit: float
    pools: list[float] = field(default_factory=lambda: [0.0] * POOL_COUNT)
    """Draw of this broker's sessions from each length pool, in kB per second."""
    sessions: dict[str, SessionState] = field(default_factory=dict)
    """This broker's sessions on the server by name, including set-ups."""
    other_streams: float = 0.0
    """Streams of other brokers, if reported."""
    attempt_times: deque[int] = field(default_factory=lambda: deque(maxlen=MAX_TRACKED_ATTEMPTS))
    warm_at: int = 0
    start_guessed: bool = False
    """No start time was reported, and this broker is too new to have observed one."""
    first_attempt_at: int = 0
    """Earliest time of the first attempt during warm-up."""
    ejection_count: int = 0
    consecutive_failures: int = 0
    """Failed set-ups since the last successful set-up."""
    ejected_until: int = 0
    last_shortfall_at: int = -NEVER
    """Time of the last notification that showed a shortfall."""
    lowering_allowed_at: int = 0
    rungs_checked_at: int = 0
    """Time of the last check whether sessions can be raised."""
    listed: bool = True
    claims: dict[str, LoadClaim] = field(default_factory=dict)
    """Hints about the server's link by source."""


@dataclass(slots=True, eq=False)
class SessionState:
    """Record of a session that is queued, being set up or playing."""

    request: SessionRequest
    session_class: ClassSettings
    pool: int
    rung: int = 0
    """Current rung."""
    admitted_rung: int = 0
    """Highest rung that the session may be raised to."""
    kb_per_s: float = 0.0
    pool_draws: list[float] = field(default_factory=lambda: [0.0] * POOL_COUNT)
    server: ServerState | None = None
    attempt: int = -1
    phase: SessionPhase = SessionPhase.QUEUED
    may_have_executed: bool = False
    load_reported: bool = False
    """The first load notification of the session has been received."""
    ends_at: float = math.inf
    """Expected end by the length hint."""
    tried_servers: list[str] = field(default_factory=list)
    queued_until: int = 0
    evaluated_at: int = -1
    """Time of the last attempt to place the session; -1: never."""
    over_tenant_rate: bool = False
    constraint: PlacementConstraint = UNCONSTRAINED
    """The last constraint from the constraint provider."""
    timers: list[int] = field(default_factory=list)
    """Ids of the timers that were started for the session."""
    answered: bool = False
    """The viewer has an answer; only the outcome of the attempt is outstanding."""
