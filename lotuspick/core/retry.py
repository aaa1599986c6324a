"""Retries: the retry budget, the decision after a failed attempt, and the time-out of an attempt."""

from __future__ import annotations

from lotuspick.core import tuning
from lotuspick.core.events import PROVES_NOT_EXECUTED, AttemptOutcome
from lotuspick.core.settings import RetrySafety, Settings
from lotuspick.core.setup_time import SetupTime
from lotuspick.core.sliding_window import RecentEvents
from lotuspick.core.state import RetryDecision, SessionState


class RetryBudget:
    """Limits retries to a floor plus a configured ratio of recent requests."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.requests = RecentEvents(settings.retry_budget_window_us)
        self.retries = RecentEvents(settings.retry_budget_window_us)

    def allows_retry(self, now: int) -> bool:
        """Return whether the budget permits one more retry."""
        settings = self.settings
        requests, retries = self.requests.count(now), self.retries.count(now)
        if settings.retry_budget_floor is None or settings.retry_budget_ratio is None:
            return True
        return retries + 1 <= settings.retry_budget_floor + settings.retry_budget_ratio * requests


def decide_retry(
    session: SessionState, outcome: AttemptOutcome, settings: Settings, now: int
) -> RetryDecision:
    """Decide what to do with a session after an attempt ended with ``outcome`` at clock time ``now`` (us)."""
    session.may_have_executed |= outcome not in PROVES_NOT_EXECUTED
    if session.may_have_executed and session.session_class.retry_safety is not RetrySafety.IDEMPOTENT:
        return RetryDecision.FAIL
    last_attempt_at = session.request.deadline_us - tuning.DEADLINE_MARGIN_US
    if session.attempt + 1 >= settings.max_attempts or now >= last_attempt_at:
        return RetryDecision.REJECT
    queued_until = max(session.queued_until, now + tuning.FULL_SERVER_BACKOFF_US)
    session.queued_until = min(queued_until, last_attempt_at)
    return RetryDecision.RETRY


def attempt_timeout_us(session: SessionState, setup_time: SetupTime, settings: Settings, now: int) -> int:
    """Return the time-out of the current attempt: shorter than the deadline only if a retry may follow."""
    timeout_us = session.request.deadline_us - now - tuning.DEADLINE_MARGIN_US // 2
    idempotent = session.session_class.retry_safety is RetrySafety.IDEMPOTENT
    if idempotent and session.attempt + 1 < settings.max_attempts:
        return min(timeout_us, max(tuning.MIN_ATTEMPT_TIMEOUT_US, setup_time.timeout_us()))
    return timeout_us
