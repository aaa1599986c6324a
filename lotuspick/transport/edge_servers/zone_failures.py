"""Recent failures of edge servers by zone: two in one zone may be a zone outage.

Times with the suffix ``_s`` are in seconds of the reactor's clock.
"""

from __future__ import annotations

ZONE_FAILURE_WINDOW_S = 2.0  # two failures in a zone within this time may be a zone outage
ZONE_CHECK_INTERVAL_S = 0.1  # between two checks of a zone: many of its servers may fail in one reactor step
OUTAGE_FAILURES = 2  # failures of different servers


class ZoneFailures:
    """Selects the zones whose other servers should be checked.

    Recording a failure takes constant time, amortized over the failures.
    """

    def __init__(self) -> None:
        self._failed_s: dict[str, dict[str, float]] = {}  # zone -> server -> time, oldest first
        self._checked_s: dict[str, float] = {}  # zone -> time of the last check
        self._suspected: set[str] = set()  # zones with a failure since their last check

    def record(self, zone: str, server: str, now_s: float) -> None:
        """Record the failure of a server."""
        failures = self._failed_s.setdefault(zone, {})
        failures.pop(server, None)  # reinserted as the latest
        failures[server] = now_s
        self._expire(failures, now_s)
        if len(failures) >= OUTAGE_FAILURES:
            self._suspected.add(zone)

    def has_failed(self, zone: str, server: str) -> bool:
        """Return whether a server is among the recorded failures of a zone."""
        return server in self._failed_s.get(zone, ())

    def pop_zones_to_check(self, now_s: float) -> set[str]:
        """Return the suspected zones whose last check is at least ``ZONE_CHECK_INTERVAL_S`` ago.

        They count as checked now.
        """
        due = {
            zone
            for zone in self._suspected
            if now_s - self._checked_s.get(zone, -ZONE_CHECK_INTERVAL_S) >= ZONE_CHECK_INTERVAL_S
        }
        self._suspected -= due
        self._checked_s.update(dict.fromkeys(due, now_s))
        return due

    @staticmethod
    def _expire(failures: dict[str, float], now_s: float) -> None:
        while True:
            server, failed_s = next(iter(failures.items()))
            if failed_s >= now_s - ZONE_FAILURE_WINDOW_S:
                return
            del failures[server]
