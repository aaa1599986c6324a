"""Outlier detection: temporary ejection of failing servers with exponential backoff."""

from __future__ import annotations

from lotuspick.core import tuning
from lotuspick.core.actions import ServerEjected
from lotuspick.core.context import BrokerContext
from lotuspick.core.events import AttemptOutcome
from lotuspick.core.load_estimation import NEVER
from lotuspick.core.slow_start import SlowStart
from lotuspick.core.state import ServerState

NEUTRAL_OUTCOMES = frozenset({AttemptOutcome.SERVED, AttemptOutcome.CANCELLED, AttemptOutcome.UNSENT})


class OutlierDetection:
    """Ejects servers based on the outcomes of attempts."""

    def __init__(self, context: BrokerContext, slow_start: SlowStart) -> None:
        self.context = context
        self.slow_start = slow_start

    def record_outcome(self, server: ServerState, outcome: AttemptOutcome, server_alive: bool) -> None:
        """Eject a server after a failure, or after consecutive failures if its process is alive."""
        if outcome in NEUTRAL_OUTCOMES:
            return
        now = self.context.now
        if outcome == AttemptOutcome.FULL:
            server.ejected_until = max(server.ejected_until, now + tuning.FULL_SERVER_BACKOFF_US)
            return
        server.consecutive_failures += 1
        if server_alive and server.consecutive_failures < tuning.CONSECUTIVE_FAILURES_LIMIT:
            return
        if now >= server.ejected_until:  # Concurrent failures count, and are logged, as one.
            server.ejection_count += 1
            doublings = min(server.ejection_count - 1, 10)
            ejection_us = min(tuning.MAX_EJECTION_US, tuning.BASE_EJECTION_US << doublings)
            server.ejected_until = now + ejection_us
            self.context.actions.append(ServerEjected(server.entry.server, outcome, ejection_us))
        process_gone = not server_alive and outcome != AttemptOutcome.ERROR
        if outcome == AttemptOutcome.TIMEOUT or process_gone:
            # Slow start lasts until the server has returned and warmed up.
            self.slow_start.expect_start(server, NEVER)

    def record_start(self, server: ServerState) -> None:
        """Record the start of a session: forget one ejection and all consecutive failures."""
        server.ejection_count = max(0, server.ejection_count - 1)
        server.consecutive_failures = 0
