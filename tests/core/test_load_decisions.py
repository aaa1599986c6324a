"""Decisions beyond basic placement, tested through events: each test fails if the code of its decision is removed."""

from __future__ import annotations

import pytest
from helpers import SECOND, controller, entry, of, place, request, servers, settings

from lotuspick.core.actions import RejectSession, SetRung
from lotuspick.core.controller import Controller
from lotuspick.core.events import (
    AttemptEnded,
    ServerFailed,
    ServerListUpdate,
    SessionNotification,
    SessionPlaying,
    SessionStarted,
)
from lotuspick.core.settings import ClassSettings
from lotuspick.core.state import SessionPhase
from lotuspick.core.tuning import (
    DEFAULT_NOTIFICATION_INTERVAL_US,
    MAX_LINK_LOAD,
    POOL_ENFORCEMENT_LOAD,
    READING_FADE_US,
)

NOW = 20 * SECOND


def load_notification(topic: str, value: float, server: str = "s0") -> SessionNotification:
    return SessionNotification("none", server, topic, value)


def playing_session(name: str, server: str = "s0", **changes: object) -> SessionPlaying:
    base = request(name, NOW, **changes)
    names = (
        "session",
        "session_class",
        "title",
        "home_position",
        "copies",
        "highest_rung",
        "deadline_us",
        "length_us",
    )
    return SessionPlaying(**{key: getattr(base, key) for key in names}, server=server)


def test_rungs_by_load_limit_leave_capacity_for_later_sessions() -> None:
    core = controller(count=1)
    rungs = []
    for n in range(24):
        placed = place(core, NOW + n, f"r{n}", copies=1)
        rungs.append(placed[1] if placed else None)
    assert rungs[0] is not None
    assert rungs[0] >= 2
    served = [rung for rung in rungs if rung is not None]
    assert served == sorted(served, reverse=True)
    assert served[-1] == 0
    # Two sessions at the rung of the first would fill the link.
    assert len(served) >= 4


def test_load_limit_of_a_rung_worth_less_per_kb_is_lower() -> None:
    core = controller()
    for session_class in core.classes.values():
        limits = [core.rungs.load_limit(session_class, rung) for rung in range(4)]
        assert limits == sorted(limits, reverse=True), session_class.name
        assert limits[0] == MAX_LINK_LOAD, session_class.name
    # "exam" has three times the priority weight of "clip".
    assert core.rungs.load_limit(core.classes["exam"], 3) > core.rungs.load_limit(core.classes["clip"], 3)


def test_free_load_rises_without_shortage_and_falls_with_short_sessions() -> None:
    core = controller(count=2)
    before = core.rungs.free_load
    for second in range(1, 6):
        core.handle(NOW + second * SECOND, [])
    free_load_after_rise = core.rungs.free_load
    assert free_load_after_rise > before
    place(core, NOW + 6 * SECOND, "a", home_position=0, copies=1)
    place(core, NOW + 6 * SECOND, "b", home_position=1, copies=1)
    free_load_before_fall = core.rungs.free_load
    core.handle(NOW + 6 * SECOND, [load_notification("share", 0.9)])
    fall = free_load_before_fall - core.rungs.free_load
    for second in range(200):
        core.handle(NOW + 6 * SECOND + second, [load_notification("share", 0.9)])
    assert 0 < fall < 0.1
    assert core.rungs.free_load >= 0.3


def test_free_load_moves_in_proportion_to_session_turnover() -> None:
    """With sessions a fifth as long, a limit that rises over half a minute would rise too late."""
    rises, falls = [], []
    for length_us in (50e6, 10e6):
        core = controller(count=2)
        for position in (0, 1):
            place(core, NOW, f"r{position}", home_position=position, copies=1, length_us=length_us)
        before = core.rungs.free_load
        core.handle(NOW + SECOND, [])
        rises.append(core.rungs.free_load - before)
        core.handle(NOW + SECOND, [load_notification("share", 0.9)])
        falls.append(before + rises[-1] - core.rungs.free_load)
    assert rises[1] == pytest.approx(5 * rises[0])
    assert falls[1] == pytest.approx(5 * falls[0])


@pytest.mark.parametrize(("load", "times_at_home"), [(0.2, range(16, 21)), (0.5, range(1))])
def test_own_zone_is_chosen_unless_it_is_much_fuller(load: float, times_at_home: range) -> None:
    """A crossing is priced by the second, and a broker has few sessions: a small load difference is no reason to cross."""
    chosen = []
    for seed in range(20):
        core = Controller(settings(cross_zone_price=0.06, positions=2), seed)
        core.handle(0, [ServerListUpdate([entry(0), entry(1, zone="b")], complete=True)])
        core.handle(NOW, [load_notification("link", load), load_notification("link", 0.18, "s1")])
        placed = place(core, NOW, "a", copies=2, highest_rung=0)
        chosen.append(placed is not None and placed[0] == "s0")
    assert sum(chosen) in times_at_home


@pytest.mark.parametrize("brokers", [1, 12])
def test_many_brokers_together_raise_within_the_free_capacity(brokers: int) -> None:
    """All brokers get the same notifications: the sum of their raises must fit, as with a single broker."""
    raised = 0
    for seed in range(brokers):
        core = Controller(settings(brokers=brokers, link_kb_per_weight=10_000.0), seed)
        core.handle(0, [servers(1)])
        names = [f"p{n}" for n in range(12 // brokers)]
        core.handle(
            NOW,
            [
                event
                for name in names
                for event in (
                    playing_session(name, highest_rung=1),
                    SessionNotification(name, "s0", "rung", 0),
                )
            ],
        )
        core.handle(NOW, [request("x", NOW, home_position=3, copies=1)])
        raised += len(
            of(core.handle(NOW + core.rungs.raise_delay_us, [load_notification("link", 0.6)]), SetRung)
        )
    # Some sessions are raised, up to the load limit of the rung, without a shortfall of the link.
    assert 0 < raised <= 12


def test_shortage_below_one_rung_lowers_by_chance() -> None:
    lowered = 0
    for seed in range(40):
        core = Controller(settings(brokers=40), seed)
        core.handle(0, [servers(1)])
        core.handle(NOW, [playing_session("p", highest_rung=3), SessionNotification("p", "s0", "rung", 2)])
        lowered += len(of(core.handle(NOW + SECOND, [load_notification("share", 0.93)]), SetRung))
    # Each should save a tenth of 400 kB, a step saves 200 kB: one in five is lowered.
    assert 2 <= lowered <= 20


def test_notification_at_the_start_includes_its_own_session() -> None:
    core = controller(count=1)
    place(core, NOW, "a", copies=1, highest_rung=0)
    core.handle(NOW + 50_000, [SessionStarted("a", 0, "s0"), SessionNotification("a", "s0", "link", 0.4)])
    assert core.servers["s0"].link.load(0.0, core.context.now) == pytest.approx(0.4)


def test_rung_chosen_without_notifications_is_adjusted_at_the_first() -> None:
    core = controller(count=1, loads=None, link_kb_per_weight=4000.0, brokers=100)
    core.handle(NOW, [request("x", NOW, home_position=3, copies=1)])
    assert place(core, NOW, "a", copies=1, highest_rung=3) is not None
    before = core.sessions["a"].rung
    actions = core.handle(
        NOW + 50_000, [SessionStarted("a", 0, "s0"), SessionNotification("a", "s0", "link", 0.05)]
    )
    assert before < 3
    assert [each.rung for each in of(actions, SetRung)] == [before + 1]


def test_load_without_own_sessions_fades_to_the_average() -> None:
    core = controller(count=2, loads=0.2)
    core.handle(NOW, [load_notification("link", 2.0)])
    link = core.servers["s0"].link
    reading_lifetime_us = core.context.link_loads.reading_lifetime_us
    assert link.load(0.2, NOW + reading_lifetime_us // 2) == 2.0
    assert link.load(0.2, NOW + reading_lifetime_us + 6 * READING_FADE_US) == pytest.approx(0.2, abs=0.01)
    link.own_kb_per_s = 1.0
    assert link.load(0.2, NOW + reading_lifetime_us + 6 * READING_FADE_US) == 2.0


def test_reading_lifetime_and_raise_delay_follow_the_notification_interval() -> None:
    """With a longer notification interval a reading must not expire before the next one is due."""
    for interval_us in (SECOND, 2 * SECOND, 6 * SECOND):
        core = controller(notification_interval_us=interval_us)
        assert core.context.link_loads.reading_lifetime_us > interval_us
        assert core.rungs.raise_delay_us > core.context.link_loads.reading_lifetime_us
        assert (core.context.link_loads.reading_lifetime_us, core.rungs.raise_delay_us) == (
            1.5 * interval_us,
            1.8 * interval_us,
        )
    # No notifications: the default interval applies.
    assert (
        controller(notification_interval_us=0).context.link_loads.reading_lifetime_us
        == 1.5 * DEFAULT_NOTIFICATION_INTERVAL_US
    )


def test_servers_without_notifications_do_not_count_as_full_among_full_ones() -> None:
    core = controller(count=4, loads=None)
    core.handle(NOW, [load_notification("link", 1.3), load_notification("link", 1.4, "s1")])
    assert core.context.link_loads.value(core.context.now) == POOL_ENFORCEMENT_LOAD
    assert place(core, NOW, "a", highest_rung=0) is not None


def test_short_share_lowers_own_sessions_once_per_lowering_interval() -> None:
    core = controller(count=1)
    place(core, NOW, "a", copies=1, highest_rung=3)
    core.handle(NOW, [SessionStarted("a", 0, "s0")])
    before = core.sessions["a"].rung
    lowered = of(core.handle(NOW + SECOND, [load_notification("share", 0.7)]), SetRung)
    assert lowered
    assert lowered[0].rung < before
    assert not of(core.handle(NOW + SECOND + 10_000, [load_notification("share", 0.7)]), SetRung)
    assert core.servers["s0"].pools[0] == sum(core.sessions["a"].pool_draws)


def test_lowered_session_is_raised_after_the_delay_up_to_its_admitted_rung() -> None:
    core = controller(count=1)
    place(core, NOW, "a", copies=1, highest_rung=2)
    core.handle(NOW, [SessionStarted("a", 0, "s0")])
    core.handle(NOW + SECOND, [load_notification("share", 0.7)])
    early = core.handle(NOW + SECOND + core.rungs.raise_delay_us // 2, [load_notification("link", 0.1)])
    assert not of(early, SetRung)
    late = core.handle(NOW + SECOND + core.rungs.raise_delay_us + 1, [load_notification("link", 0.1)])
    assert [action.rung for action in of(late, SetRung)] == [2]


def test_adopted_session_is_raised_where_there_is_capacity() -> None:
    core = controller(count=1)
    core.handle(NOW, [playing_session("old", highest_rung=2), SessionNotification("old", "s0", "rung", 0)])
    # This request cannot be placed; it only triggers an evaluation of the queue.
    core.handle(NOW + SECOND, [request("x", NOW, home_position=3, copies=1)])
    actions = core.handle(NOW + 2 * SECOND, [load_notification("link", 0.1)])
    assert SetRung("old", 1) in actions  # a step at a time


def test_load_of_a_stalled_link_does_not_move_the_average() -> None:
    core = controller(loads=0.2)
    core.handle(NOW, [load_notification("link", 40.0)])
    assert core.context.link_loads.value(core.context.now) < 0.3
    assert place(core, NOW, "a") is not None
    assert core.sessions["a"].server is not core.servers["s0"]


def test_uplink_without_notifications_is_aggregated_and_learned_from_short_shares() -> None:
    core = controller(loads=0.45, uplink_kb_per_s=2000.0)
    core.handle(NOW, [request("x", NOW, home_position=3, copies=1, highest_rung=0)])
    before = core.context.racks[0].kb_per_s
    core.handle(NOW + 1, [load_notification("share", 0.8)])
    assert core.context.racks[0].kb_per_s < before
    assert core.context.racks[1].kb_per_s == before
    core.handle(NOW + 2, [load_notification("share", 0.99)])
    assert core.context.racks[0].kb_per_s >= 0.9 * 1000.0


def test_share_counts_as_load_while_load_notifications_are_missing() -> None:
    core = controller(count=1, loads=0.2)
    later = NOW + 30 * SECOND
    core.handle(later, [load_notification("share", 0.5)])
    assert core.servers["s0"].link.load(0.0, core.context.now) == 2.0
    core.handle(later + SECOND, [load_notification("share", 0.99)])
    assert core.servers["s0"].link.load(0.0, core.context.now) == 1.0


def test_server_that_fails_is_ejected_with_backoff_and_comes_back() -> None:
    core = controller(count=1, classes=[ClassSettings("clip", SECOND)])
    now = NOW
    ejected_at = []
    for n in range(3):
        while place(core, now, f"r{n}-{now}", copies=1) is None:
            now += SECOND // 4
        ejected_at.append(now)
        name = next(name for name, each in core.sessions.items() if each.phase is SessionPhase.FORWARDED)
        core.handle(now, [AttemptEnded(name, core.sessions[name].attempt, "s0", "unreachable")])
    assert ejected_at[2] - ejected_at[1] > ejected_at[1] - ejected_at[0] >= SECOND


@pytest.mark.parametrize("outcome", ["error", "lost", "timeout"])
def test_server_known_to_be_alive_is_ejected_for_consecutive_failures_alone(outcome: str) -> None:
    """Bad requests and broken connections fail singly at every server: they must not eject the entire fleet."""
    core = controller(count=1)
    for number in range(6):
        assert place(core, NOW + number, f"good{number}", copies=1) is not None
        assert place(core, NOW + number, f"bad{number}", copies=1) is not None
        core.handle(
            NOW + number,
            [
                SessionStarted(f"good{number}", 0, "s0"),
                AttemptEnded(f"good{number}", 0, "s0", "served", final=True),
                AttemptEnded(f"bad{number}", 0, "s0", outcome, final=True, server_alive=True),
            ],
        )
    assert core.servers["s0"].warm_at <= NOW
    for number in range(6, 8):  # with the last failure above, three in a row
        assert place(core, NOW + number, f"bad{number}", copies=1) is not None
        core.handle(
            NOW + number, [AttemptEnded(f"bad{number}", 0, "s0", outcome, final=True, server_alive=True)]
        )
    assert place(core, NOW + 10, "after", copies=1) is None


def test_failed_server_is_ejected_and_expected_to_restart() -> None:
    core = controller(count=1)
    core.handle(NOW, [ServerFailed("s0"), ServerFailed("unknown")])
    assert place(core, NOW + 1, "a", copies=1) is None
    assert core.servers["s0"].warm_at > NOW + 60 * SECOND


def test_broker_that_starts_alone_paces_guessed_server_starts_by_the_full_budget() -> None:
    def forwarded(handed_over: bool, started_us: int, after_us: int = 0) -> int:
        core = Controller(settings(brokers=4, link_kb_per_weight=1e6), 7)
        core.handle(NOW, [ServerListUpdate([entry(0, started_us=started_us)], complete=True)])
        if handed_over:
            core.handle(NOW, [playing_session("old")])
        at = NOW + after_us
        return sum(place(core, at + number, f"r{number}", copies=1) is not None for number in range(25))

    # 0.6 of 2.5 times half its capacity, 30 streams in 8 s, over 1.5 s: four; each of four brokers gets one
    assert [forwarded(False, 0), forwarded(True, 0)] == [4, 1]
    # after a reported start each waits for a random part of the 1.5 s first, as many brokers may start together
    assert [forwarded(False, NOW - SECOND), forwarded(False, NOW - SECOND, 1_500_000)] == [0, 1]


def test_unlisted_servers_without_sessions_are_forgotten() -> None:
    core = controller(count=1)
    place(core, NOW, "a", copies=1)
    for number in range(50):
        core.handle(
            NOW + number * 2 * SECOND, [ServerListUpdate([entry(1, server=f"x{number}")], complete=True)]
        )
    assert set(core.servers) == {"s0", "x49"}  # a session still uses s0
    core.handle(NOW + 100 * SECOND, [AttemptEnded("a", 0, "s0", "lost", final=True)])
    core.handle(NOW + 102 * SECOND, [])
    assert set(core.servers) == {"x49"}


def test_session_about_to_end_is_not_raised() -> None:
    for length_us, raised in ((2e6, False), (60e6, True), (None, True)):
        core = controller(count=1, rung_change_cost_s=0.5)
        core.handle(
            NOW,
            [
                playing_session("old", highest_rung=2, length_us=length_us),
                SessionNotification("old", "s0", "rung", 0),
            ],
        )
        core.handle(NOW + SECOND, [request("x", NOW, home_position=3, copies=1)])
        actions = core.handle(NOW + SECOND, [load_notification("link", 0.1)])
        assert bool(of(actions, SetRung)) is raised


def test_aggregated_uplink_without_notifications_does_not_count_as_full() -> None:
    core = controller(count=12, loads=None, positions=12, uplink_kb_per_s=3900.0, brokers=300)
    # The servers of a popular title.
    core.handle(NOW, [load_notification("link", 0.9), load_notification("link", 0.9, "s1")])
    assert place(core, NOW, "a", home_position=4, copies=4, highest_rung=0) is not None


def test_sessions_are_raised_while_load_notifications_are_overdue() -> None:
    core = controller(count=1)
    core.handle(NOW, [playing_session("old", highest_rung=2), SessionNotification("old", "s0", "rung", 0)])
    core.handle(NOW, [request("x", NOW, home_position=3, copies=1)])
    core.servers["s0"].link.last_reading = 0.1
    rungs = [
        action.rung
        for second in range(1, 30)
        for action in of(core.handle(NOW + second * SECOND, []), SetRung)
    ]
    assert rungs
    assert rungs[0] == 1


def test_session_just_started_on_a_link_over_the_limit_is_lowered_at_once() -> None:
    core = controller(count=1)
    place(core, NOW, "a", copies=1, highest_rung=3)
    before = core.sessions["a"].rung
    actions = core.handle(
        NOW + 50_000, [SessionStarted("a", 0, "s0"), SessionNotification("a", "s0", "link", 1.1)]
    )
    assert of(actions, SetRung)[0].rung < before


@pytest.mark.parametrize(
    ("allowed", "max_retry_after_us", "expected_us"),
    [(True, 5 * SECOND, SECOND), (True, 300_000, 300_000), (False, SECOND, 0)],
)
def test_rejection_carries_the_bounded_retry_after(
    allowed: bool, max_retry_after_us: int, expected_us: int
) -> None:
    core = controller(count=1, retry_after_allowed=allowed, max_retry_after_us=max_retry_after_us)
    answers = core.handle(NOW, [request("a", NOW, highest_rung=0, home_position=3, copies=1)])
    answers += core.handle(NOW + 5 * SECOND, [])
    assert [each.retry_after_us for each in of(answers, RejectSession)] == [expected_us]
