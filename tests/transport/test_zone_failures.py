"""Unit tests of the failures by zone."""

from __future__ import annotations

from lotuspick.transport.edge_servers.zone_failures import ZoneFailures


def test_two_servers_within_the_window_make_a_zone_suspected() -> None:
    failures = ZoneFailures()
    failures.record("a", "e0", 0.0)
    failures.record("a", "e0", 1.0)  # the same server again is no second failure
    failures.record("b", "e1", 1.0)
    assert failures.pop_zones_to_check(1.0) == set()
    failures.record("a", "e2", 3.1)  # more than the window after the first
    assert failures.pop_zones_to_check(3.1) == set()
    failures.record("a", "e3", 5.0)
    assert failures.pop_zones_to_check(5.0) == {"a"}


def test_failure_after_a_check_is_due_an_interval_later() -> None:
    failures = ZoneFailures()
    failures.record("a", "e0", 1.0)
    failures.record("a", "e1", 1.0)
    assert failures.pop_zones_to_check(1.0) == {"a"}
    failures.record("a", "e2", 1.05)
    assert failures.pop_zones_to_check(1.05) == set()
    assert failures.pop_zones_to_check(1.15) == {"a"}
    assert failures.pop_zones_to_check(9.0) == set()  # no failure since


def test_repeated_failure_of_a_server_counts_from_its_latest_time() -> None:
    failures = ZoneFailures()
    failures.record("a", "e0", 0.0)
    failures.record("a", "e1", 1.0)
    failures.record("a", "e0", 2.5)
    failures.record("a", "e2", 3.5)
    assert [failures.has_failed("a", server) for server in ("e0", "e1", "e2")] == [True, False, True]
