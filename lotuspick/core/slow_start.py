"""Slow start: rate limit on attempts to a server that has just started."""

from __future__ import annotations

from lotuspick.core import tuning
from lotuspick.core.context import BrokerContext
from lotuspick.core.events import ServerEntry
from lotuspick.core.load_estimation import NEVER
from lotuspick.core.sliding_window import count_recent
from lotuspick.core.state import ServerState


class SlowStart:
    """Decides when a warming-up server may get another attempt."""

    def __init__(self, context: BrokerContext) -> None:
        self.context = context
        self.sessions_handed_over = False
        """Sessions already played when this broker started, which means that all brokers are starting now."""

    def slow_start_rate(self, server: ServerState) -> tuple[int, int]:
        """Return this broker's share of the slow-start rate: number of attempts, and their window (us).

        This broker uses the full rate if it only guessed that the server has just started: then this broker
        alone is new, and the others treat the server as warm.
        """
        settings = self.context.settings
        alone = server.start_guessed and not self.sessions_handed_over
        attempts = (
            tuning.SLOW_START_BUDGET_SHARE
            * settings.overload_factor
            * settings.slow_start_fraction
            * settings.overload_window_us
            * server.stream_limit
            / max(1, settings.warm_up_us)
            / (1 if alone else settings.brokers)
        )
        if attempts >= 1:
            return int(attempts), settings.overload_window_us
        return 1, int(settings.overload_window_us / attempts)

    def slow_start_allows(self, server: ServerState) -> bool:
        """Return whether a server may get an attempt now."""
        now = self.context.now
        if now >= server.warm_at:
            return True
        limit, window_us = self.slow_start_rate(server)
        return now >= server.first_attempt_at and count_recent(server.attempt_times, now, window_us) < limit

    def guess_start(self, server: ServerState, entry: ServerEntry) -> None:
        """Set the warm-up of a server in the first list.

        A reported start is paced as by the brokers that ran before: many brokers may start together. The
        server may also have started again, but that would be reported within ``START_REPORT_DELAY_US``.
        """
        context = self.context
        warm_up_us = context.settings.warm_up_us
        server.start_guessed = not entry.started_us
        server.warm_at = context.now + min(tuning.START_REPORT_DELAY_US, warm_up_us)
        if entry.started_us and entry.started_us + warm_up_us > context.now:
            self.expect_start(server, max(server.warm_at, entry.started_us + warm_up_us))

    def expect_start(self, server: ServerState, warm_at: int) -> None:
        """Set the warm-up after a reported start, or after a failure from which the server should restart.

        The first attempt is delayed by a random fraction of the window, because hundreds of brokers are
        notified of the same start.
        """
        server.start_guessed = False
        if server.warm_at != NEVER or warm_at != NEVER:
            wait_us = int(self.slow_start_rate(server)[1] * self.context.random.random())
            server.first_attempt_at = max(self.context.now, server.ejected_until) + wait_us
            server.attempt_times.clear()  # Earlier attempts went to the previous process.
        server.warm_at = warm_at

    def record_start(self, server: ServerState) -> None:
        """Record the start of a session; a server that had failed has returned and warms up from now."""
        if server.warm_at == NEVER:
            server.warm_at = self.context.now + self.context.settings.warm_up_us
