"""Slow start: the rate of attempts to a warming-up server."""

from __future__ import annotations

import unittest

from helpers import NOW, SECOND, controller, entry, of, request, settings

from lotuspick.core.actions import ForwardAttempt
from lotuspick.core.controller import Controller
from lotuspick.core.events import ServerListUpdate
from lotuspick.core.load_estimation import NEVER
from lotuspick.core.slow_start import SlowStart
from lotuspick.core.state import ServerState


class SlowStartTest(unittest.TestCase):
    def build(self, **changes: object) -> tuple[SlowStart, ServerState]:
        context = controller(warm_up_us=10 * SECOND, **changes).context
        context.now = NOW
        return SlowStart(context), context.add_server(entry(9))

    def test_rate_of_many_brokers_is_one_attempt_in_a_longer_window(self) -> None:
        slow_start, server = self.build(brokers=10_000)
        attempts, window_us = slow_start.slow_start_rate(server)
        self.assertEqual(attempts, 1)
        self.assertGreater(window_us, slow_start.context.settings.overload_window_us)

    def test_rate_of_a_guessed_start_is_not_shared(self) -> None:
        slow_start, server = self.build(brokers=40)
        shared = slow_start.slow_start_rate(server)
        server.start_guessed = True
        alone = slow_start.slow_start_rate(server)
        self.assertGreater(alone[0] / alone[1], 20 * shared[0] / shared[1])
        slow_start.sessions_handed_over = True
        self.assertEqual(slow_start.slow_start_rate(server), shared)

    def test_attempts_are_allowed_up_to_the_rate_until_warm(self) -> None:
        slow_start, server = self.build(brokers=10_000)
        warm_at = NOW + 100_000 * SECOND
        slow_start.expect_start(server, warm_at)
        self.assertGreaterEqual(server.first_attempt_at, NOW)
        slow_start.context.now = server.first_attempt_at
        self.assertTrue(slow_start.slow_start_allows(server))
        server.attempt_times.append(slow_start.context.now)
        self.assertFalse(slow_start.slow_start_allows(server))
        slow_start.context.now = warm_at
        self.assertTrue(slow_start.slow_start_allows(server))

    def test_start_after_a_failure_begins_a_warm_up(self) -> None:
        slow_start, server = self.build()
        slow_start.expect_start(server, NEVER)
        slow_start.record_start(server)
        self.assertEqual(server.warm_at, NOW + 10 * SECOND)
        slow_start.context.now += SECOND
        slow_start.record_start(server)
        self.assertEqual(server.warm_at, NOW + 10 * SECOND)

    def test_first_attempt_waits_for_its_time(self) -> None:
        slow_start, server = self.build(brokers=40)
        slow_start.expect_start(server, NOW + 10 * SECOND)
        server.first_attempt_at = NOW + 1
        self.assertFalse(slow_start.slow_start_allows(server))
        slow_start.context.now = NOW + 1
        self.assertTrue(slow_start.slow_start_allows(server))


class BrokersThatStartTogether(unittest.TestCase):
    """Guards against a cold server that falls over: 28 of 40 brokers came back and sent it a set-up each at once."""

    BROKERS, STARTED_TOGETHER, WINDOW_S = 40, 28, 3
    FALLS_OVER = 13.9  # set-ups in the window, with a warmth of 0.4: N + 3 x root of N + 3, N = 4.5

    def start(self, seed: int, cold_started_us: int) -> Controller:
        """Start a broker with a list of servers, all of which but ``s0`` are draining."""
        broker = Controller(
            settings(
                brokers=self.BROKERS,
                stream_limit_by_kind={"box": 18},
                warm_up_us=12 * SECOND,
                slow_start_fraction=0.4,
                overload_window_us=self.WINDOW_S * SECOND,
            ),
            seed,
        )
        others = [entry(position, state="draining") for position in range(1, 4)]
        broker.handle(NOW, [ServerListUpdate([entry(0, started_us=cold_started_us), *others], complete=True)])
        return broker

    def set_ups(self, cold_started_us: int) -> list[int]:
        """Return the times of the set-ups that ``s0`` gets while viewers ask all brokers for 12 s."""
        brokers = [self.start(1_000 + seed, cold_started_us) for seed in range(self.STARTED_TOGETHER)]
        times = []
        for step in range(120):
            now = NOW + step * SECOND // 10
            for broker in brokers:
                times += [now] * len(of(broker.handle(now, [request(f"q{step}", now)]), ForwardAttempt))
        return times

    def test_reported_start_in_the_first_list_is_paced_by_each_for_the_sum_of_all(self) -> None:
        times = self.set_ups(NOW - 2 * SECOND)
        cold = [at for at in times if at < NOW + 10 * SECOND]
        most = max(sum(at <= other < at + self.WINDOW_S * SECOND for other in cold) for at in cold)
        self.assertLess(most, self.FALLS_OVER)

    def test_server_whose_warm_up_has_ended_is_not_delayed_by_its_reported_start(self) -> None:
        times = self.set_ups(NOW - 13 * SECOND)
        self.assertEqual(times[: self.STARTED_TOGETHER], [NOW] * self.STARTED_TOGETHER)
