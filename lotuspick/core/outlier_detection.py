"""Outlier detection: servers that fail are ejected for a while, with backoff."""

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
    """Decides from the outcomes of attempts which servers are ejected, and for how long."""

    def __init__(self, context: BrokerContext, slow_start: SlowStart) -> None:
        self.context = context
        self.slow_start = slow_start

    def record_outcome(self, server: ServerState, outcome: AttemptOutcome, server_alive: bool) -> None:
        """Eject a server on a failure, or on a few in a row where its process is known to live."""
        if outcome in NEUTRAL_OUTCOMES:
            return
        now = self.context.now
        if outcome == AttemptOutcome.FULL:
            server.ejected_until = max(server.ejected_until, now + tuning.FULL_SERVER_BACKOFF_US)
            return
        server.consecutive_failures += 1
        if server_alive and server.consecutive_failures < tuning.CONSECUTIVE_FAILURES_LIMIT:
            return
        if now >= server.ejected_until:  # Failures at the same time count, and are logged, once.
            server.ejection_count += 1
            doublings = min(server.ejection_count - 1, 10)
            ejection_us = min(tuning.MAX_EJECTION_US, tuning.BASE_EJECTION_US << doublings)
            server.ejected_until = now + ejection_us
            self.context.actions.append(ServerEjected(server.entry.server, outcome, ejection_us))
        process_gone = not server_alive and outcome != AttemptOutcome.ERROR
        if outcome == AttemptOutcome.TIMEOUT or process_gone:
            self.slow_start.expect_start(server, NEVER)  # Slow start until a warm-up after its return.

    def record_start(self, server: ServerState) -> None:
        """A session has started on the server."""
        server.ejection_count = max(0, server.ejection_count - 1)
        server.consecutive_failures = 0
