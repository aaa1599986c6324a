"""Request budgets of tenants and cells: decaying counts, limits relative to first attempts, and retry_after.

Memory is bounded for any set of names: tenants beyond the capacity share one budget unless the plan names
them, and the oldest returning viewers are forgotten first.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from dataclasses import dataclass, field

from lotuspick.cells.model import SECOND, Limits

# Another retry is admitted if half of it fits the allowance, so that a steady stream is admitted at the
# configured rate.
ROUNDING_MARGIN = 0.5
EXCESS_EPSILON = 1e-9  # keeps the excess above 1 when the demand equals the allowance


class DecayingCount:
    """An event count with exponential decay, exp(-age / window): a sliding window kept in two numbers."""

    __slots__ = ("updated_at_us", "value", "window_us")

    def __init__(self, window_s: float) -> None:
        self.value, self.updated_at_us, self.window_us = 0.0, 0, window_s * SECOND

    def read(self, now: int) -> float:
        """Return the count at a time (us). A clock that steps back causes no decay."""
        if now > self.updated_at_us:
            if self.value:
                self.value *= math.exp((self.updated_at_us - now) / self.window_us)
            self.updated_at_us = now
        return self.value

    def add(self, now: int, amount: float = 1.0) -> None:
        """Count an event at a time (us)."""
        self.read(now)
        self.value += amount


@dataclass(slots=True, eq=False)
class Budget:
    """Request counts and limits of one tenant or one cell at this broker."""

    name: str
    limits: Limits
    usual_first_attempts: DecayingCount
    """First attempts over the long window ``usual_window_s``: the tenant's usual demand."""
    first_attempts: DecayingCount = field(init=False)
    retries: DecayingCount = field(init=False)
    """Admitted retries and returning viewers."""
    rejected: DecayingCount = field(init=False)
    open_setups: int = 0
    """Set-ups that have not been answered."""
    sessions_by_cell: dict[str, int] = field(default_factory=dict)
    """Sessions that play or are being set up, by cell; the budget of a cell has only its own name as key."""
    last_used_us: int = 0

    def __post_init__(self) -> None:
        window_s = self.limits.window_s
        self.first_attempts, self.retries = DecayingCount(window_s), DecayingCount(window_s)
        self.rejected = DecayingCount(window_s)

    def apply_limits(self, limits: Limits) -> None:
        """Apply the limits of a new plan. The counts are kept."""
        if limits != self.limits:
            self.limits = limits
            for count in (self.first_attempts, self.retries, self.rejected):
                count.window_us = limits.window_s * SECOND

    def retry_allowance(self, now: int) -> float:
        """Return the number of retries and returning viewers that the window may contain."""
        limits = self.limits
        return limits.retry_floor_per_s * limits.window_s + limits.retry_ratio * self.first_attempts.read(now)

    def retry_excess(self, now: int) -> float:
        """Return the ratio of demand to allowance, above 1; rejected attempts count as demand.

        Returns 0 if one more retry or returning viewer is allowed.
        """
        allowance, admitted = self.retry_allowance(now), self.retries.read(now)
        if admitted + ROUNDING_MARGIN <= allowance:
            return 0.0
        return (admitted + self.rejected.read(now) + 1) / max(allowance, 1.0) + EXCESS_EPSILON

    def open_excess(self) -> float:
        """Return 0 if another set-up may be opened, else the ratio of open set-ups to the limit, above 1."""
        limit = self.limits.open_limit
        return 0.0 if self.open_setups < limit else (self.open_setups + 1) / limit

    def retry_after_us(self, excess: float, draw: float) -> int:
        """Return the delay before the viewer may retry. It grows with the excess up to ``max_retry_after_s``.

        ``draw``, from 0 up to 1, selects the jitter, so that viewers rejected at the same time do not return
        at the same time.
        """
        limits = self.limits
        retry_after_s = min(limits.max_retry_after_s, limits.retry_after_s * max(1.0, excess))
        return int(retry_after_s * (1 + limits.jitter * (2 * draw - 1)) * SECOND)

    def count_session(self, cell: str, step: int) -> None:
        """Add a session to a cell's count (``step`` 1) or remove it (``step`` -1)."""
        remaining = self.sessions_by_cell.get(cell, 0) + step
        if remaining > 0:
            self.sessions_by_cell[cell] = remaining
        else:
            self.sessions_by_cell.pop(cell, None)


class TenantBudgets:
    """One budget per tenant, for at most ``capacity`` tenants beside those that the plan names.

    Once the capacity is in use, new tenants share one budget. A budget that is idle for its window is
    dropped, the least recently used first.
    """

    def __init__(
        self, limits: Limits, usual_window_s: float, capacity: int, named_tenants: frozenset[str]
    ) -> None:
        self.limits, self.usual_window_s, self.capacity, self.named_tenants = (
            limits,
            usual_window_s,
            capacity,
            named_tenants,
        )
        self.named_budgets: dict[str, Budget] = {}
        self.budgets: OrderedDict[str, Budget] = OrderedDict()  # least recently used first
        self.shared = self._new("")

    def budget_of(self, tenant: str, now: int) -> Budget:
        """Return the budget of a tenant, its own or the shared one, and mark it as used at a time (us)."""
        if tenant in self.named_tenants:
            budget = self.named_budgets.get(tenant)
            if budget is None:
                budget = self.named_budgets[tenant] = self._new(tenant)
        else:
            budget = self.budgets.get(tenant)
            if budget is None:
                if len(self.budgets) >= self.capacity and not self._drop_idle(now):
                    return self.shared
                budget = self.budgets[tenant] = self._new(tenant)
            self.budgets.move_to_end(tenant)
        budget.last_used_us = now
        return budget

    def apply_plan(
        self, limits: Limits, usual_window_s: float, capacity: int, named_tenants: frozenset[str]
    ) -> None:
        """Apply the limits of a new plan. The counts are kept."""
        self.limits, self.usual_window_s, self.capacity = limits, usual_window_s, capacity
        known = {**self.budgets, **self.named_budgets}
        self.named_tenants = named_tenants
        self.named_budgets = {name: budget for name, budget in known.items() if name in named_tenants}
        self.budgets = OrderedDict(
            (name, budget) for name, budget in known.items() if name not in named_tenants
        )
        for budget in (*known.values(), self.shared):
            budget.apply_limits(limits)
            budget.usual_first_attempts.window_us = usual_window_s * SECOND

    def __len__(self) -> int:
        return len(self.budgets) + len(self.named_budgets)

    def _new(self, name: str) -> Budget:
        return Budget(name, self.limits, DecayingCount(self.usual_window_s))

    def _drop_idle(self, now: int) -> bool:
        oldest = next(iter(self.budgets.values()))
        unused = now - oldest.last_used_us > self.limits.window_s * SECOND
        idle = unused and not oldest.open_setups and not oldest.sessions_by_cell
        if idle:
            del self.budgets[oldest.name]
        return idle
