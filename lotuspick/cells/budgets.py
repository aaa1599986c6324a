"""What a tenant and a cell may ask: counts that fade, limits as ratios of real traffic, gaps for what is over.

Bounded whatever names are thrown at it: tenants past the number kept share one account, unless the file names
them, and viewers past the number remembered are forgotten oldest first.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from dataclasses import dataclass, field

from xxhash import xxh3_64_intdigest

from lotuspick.cells.model import SECOND, Limits

REMEMBER_US = (
    30 * SECOND
)  # a viewer that asks again within so long, and whose session did not end well, returns
HALF = 0.5  # one more fits once its half does: so a steady stream is let in at the rate that is stated


class Fading:
    """A count in which each event fades as exp(-age / window): a sliding window in two numbers."""

    __slots__ = ("value", "at_us", "window_us")

    def __init__(self, window_s: float) -> None:
        self.value, self.at_us, self.window_us = 0.0, 0, window_s * SECOND

    def read(self, now: int) -> float:
        """The count now. A clock that steps back fades nothing."""
        if now > self.at_us:
            if self.value:
                self.value *= math.exp((self.at_us - now) / self.window_us)
            self.at_us = now
        return self.value

    def add(self, now: int, amount: float = 1.0) -> None:
        self.read(now)
        self.value += amount


@dataclass(slots=True, eq=False)
class Account:
    """What one tenant, or one cell, has asked of this broker."""

    name: str
    limits: Limits
    usual: Fading
    """First tries over a long time: what it usually asks."""
    firsts: Fading = field(init=False)
    extras: Fading = field(init=False)
    """Further attempts and returning viewers that were let in."""
    denied: Fading = field(init=False)
    open: int = 0
    """Set-ups without an answer."""
    uses: dict[str, int] = field(default_factory=dict)
    """Sessions that stand or are being set up, by cell; of a cell: by itself."""
    seen_us: int = 0

    def __post_init__(self) -> None:
        window_s = self.limits.window_s
        self.firsts, self.extras, self.denied = Fading(window_s), Fading(window_s), Fading(window_s)

    def limit(self, limits: Limits) -> None:
        """Follow another plan; the counts stay."""
        if limits != self.limits:
            self.limits = limits
            for count in (self.firsts, self.extras, self.denied):
                count.window_us = limits.window_s * SECOND

    def allowance(self, now: int) -> float:
        """Further attempts and returning viewers that its window may hold."""
        return self.limits.floor * self.limits.window_s + self.limits.ratio * self.firsts.read(now)

    def excess(self, now: int) -> float:
        """0 where one more further attempt or returning viewer is allowed; else how many times over the
        allowance the demand is, refused tries included, so above 1."""
        allowance, let_in = self.allowance(now), self.extras.read(now)
        if let_in + HALF <= allowance:
            return 0.0
        return (let_in + self.denied.read(now) + 1) / max(allowance, 1.0) + 1e-9

    def crowded(self) -> float:
        """0 where one more set-up may be open, else the set-ups over the limit, above 1."""
        return 0.0 if self.open < self.limits.open else (self.open + 1) / self.limits.open

    def gap_us(self, excess: float, at: float) -> int:
        """How long to stay away: grows with the excess up to its bound, give or take the jitter; ``at`` draws
        it, from 0 up to 1. Guards against all that were refused together coming back together."""
        limits = self.limits
        gap_s = min(limits.gap_most_s, limits.gap_s * max(1.0, excess))
        return int(gap_s * (1 + limits.jitter * (2 * at - 1)) * SECOND)

    def use(self, cell: str, step: int) -> None:
        """Count a session in a cell, or take it off."""
        left = self.uses.get(cell, 0) + step
        if left > 0:
            self.uses[cell] = left
        else:
            self.uses.pop(cell, None)


class Accounts:
    """One account a tenant, at most ``kept`` beside those that the file names. When all are in use, newcomers
    share one; an account is given up once it is idle for its window, the one longest unheard first."""

    def __init__(self, limits: Limits, usual_s: float, kept: int, named: frozenset[str]) -> None:
        self.limits, self.usual_s, self.kept, self.named = limits, usual_s, kept, named
        self.named_accounts: dict[str, Account] = {}
        self.accounts: OrderedDict[str, Account] = OrderedDict()  # the one longest unheard first
        self.others = self._new("")

    def _new(self, name: str) -> Account:
        return Account(name, self.limits, Fading(self.usual_s))

    def of(self, tenant: str, now: int) -> Account:
        """The account of a tenant, its own or the shared one."""
        if tenant in self.named:
            account = self.named_accounts.get(tenant)
            if account is None:
                account = self.named_accounts[tenant] = self._new(tenant)
        else:
            account = self.accounts.get(tenant)
            if account is None:
                if len(self.accounts) >= self.kept and not self._make_room(now):
                    return self.others
                account = self.accounts[tenant] = self._new(tenant)
            self.accounts.move_to_end(tenant)
        account.seen_us = now
        return account

    def _make_room(self, now: int) -> bool:
        oldest = next(iter(self.accounts.values()))
        idle = now - oldest.seen_us > self.limits.window_s * SECOND and not oldest.open and not oldest.uses
        if idle:
            del self.accounts[oldest.name]
        return idle

    def retake(self, limits: Limits, usual_s: float, kept: int, named: frozenset[str]) -> None:
        """Follow another plan; what was counted stays."""
        self.limits, self.usual_s, self.kept = limits, usual_s, kept
        every = {**self.accounts, **self.named_accounts}
        self.named = named
        self.named_accounts = {name: account for name, account in every.items() if name in named}
        self.accounts = OrderedDict((name, account) for name, account in every.items() if name not in named)
        for account in (*every.values(), self.others):
            account.limit(limits)
            account.usual.window_us = usual_s * SECOND


class Recent:
    """Names noted of late, by their hash, in two generations: when the younger one is full the older is let go. None
    is pushed out singly, so that the tables stay as large as they once were, whatever is thrown at them."""

    def __init__(self, kept: int) -> None:
        self.kept = kept
        self.young: dict[int, int] = {}  # until when each is known
        self.old: dict[int, int] = {}

    def __len__(self) -> int:
        return len(self.young) + len(self.old)

    def note(self, name: str, now: int) -> None:
        if len(self.young) >= max(1, self.kept // 2):
            self.young, self.old = {}, self.young
        self.young[xxh3_64_intdigest(name.encode())] = now + REMEMBER_US

    def known(self, name: str, now: int) -> bool:
        key = xxh3_64_intdigest(name.encode())
        return (self.young.get(key) or self.old.get(key, 0)) > now

    def forget(self, name: str) -> None:
        key = xxh3_64_intdigest(name.encode())
        self.young.pop(key, None)
        self.old.pop(key, None)


class Returns:
    """Viewers that asked of late and were not served to the end, and those of them whose return is excused."""

    def __init__(self, kept: int) -> None:
        self.came, self.excused = Recent(kept), Recent(kept)

    def note(self, viewer: str, now: int) -> None:
        """Remember a viewer from now on."""
        if viewer:
            self.came.note(viewer, now)

    def known(self, viewer: str, now: int) -> bool:
        """Whether the viewer comes again."""
        return bool(viewer) and self.came.known(viewer, now)

    def forget(self, viewer: str) -> None:
        """Its session ended as it should: what it asks next is a first try."""
        if viewer:
            self.came.forget(viewer)

    def excuse(self, viewer: str, now: int) -> None:
        """Its session was cut though it played as it should: when it comes again, once, nobody is charged."""
        if viewer:
            self.excused.note(viewer, now)

    def spend_excuse(self, viewer: str, now: int) -> bool:
        """Whether the viewer was excused; it no longer is."""
        if not viewer or not len(self.excused) or not self.excused.known(viewer, now):
            return False
        self.excused.forget(viewer)
        return True
