"""Recent requests of each tenant, for comparison with its permitted rate."""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping

from lotuspick.core.sliding_window import count_recent
from lotuspick.core.tuning import TENANT_RATE_WINDOW_US


class TenantRequests:
    """Counts the requests of tenants with a rate, for one broker."""

    __slots__ = ("rates", "request_times")

    def __init__(self, rates: Mapping[str, float]) -> None:
        self.rates = dict(rates)
        """Permitted requests per second of each tenant, over all brokers."""
        self.request_times = dict[str, deque[int]]()

    def update(self, rates: Mapping[str, float]) -> None:
        """Replace the rates; delete the counts of tenants without a rate."""
        self.rates = dict(rates)
        self.request_times = {
            tenant: times for tenant, times in self.request_times.items() if tenant in rates
        }

    def count(self, tenant: str, now: int) -> int:
        """Count a request at clock time ``now`` (us); return the number of requests in the window."""
        times = self.request_times.setdefault(tenant, deque())
        times.append(now)
        return count_recent(times, now, TENANT_RATE_WINDOW_US)
