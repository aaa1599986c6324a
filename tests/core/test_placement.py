"""Placement: eligible servers, preference among them, and draws from length pools."""

from __future__ import annotations

import unittest
from unittest.mock import patch

from helpers import NOW, controller, entry, request, servers

from lotuspick.core.constraints import PlacementConstraint
from lotuspick.core.context import BrokerContext
from lotuspick.core.events import ServerListUpdate
from lotuspick.core.placement import draw_shares, free_shares
from lotuspick.core.state import Loads, SessionState

LOADS = Loads([0.2, 0.3, 0.5], 0.1, 0.1)


class PlacementTest(unittest.TestCase):
    def setUp(self) -> None:
        core = controller(positions=2)
        self.context, self.placement = core.context, core.placement
        core.handle(NOW, [servers(2)])
        for server in core.servers.values():
            server.warm_at = 0
        session_request = request("a", NOW, copies=2)
        self.session = SessionState(session_request, core.classes["clip"], 1)

    def chosen(self) -> str | None:
        choice = self.placement.choose(self.session, LOADS)
        return choice and choice[0].entry.server

    def test_server_with_less_load_is_preferred(self) -> None:
        self.context.servers["s0"].link.observe(0.9, NOW)
        self.assertEqual(self.chosen(), "s1")

    def test_tried_ejected_and_excluded_servers_are_not_chosen(self) -> None:
        self.session.tried_servers.append("s0")
        self.assertEqual(self.chosen(), "s1")
        self.context.servers["s1"].ejected_until = NOW + 1
        self.assertIsNone(self.chosen())
        self.context.servers["s1"].ejected_until = NOW
        self.session.constraint = PlacementConstraint(servers=frozenset({"s0"}))
        self.assertIsNone(self.chosen())

    def test_server_is_chosen_again_from_the_end_of_its_ejection_on(self) -> None:
        self.context.servers["s0"].ejected_until = self.context.servers["s1"].ejected_until = NOW
        self.assertIsNotNone(self.chosen())

    def test_server_without_a_free_stream_is_not_chosen(self) -> None:
        for server in self.context.servers.values():
            server.other_streams = server.stream_limit
        self.assertIsNone(self.chosen())

    def test_draws_come_from_the_own_pool_and_then_from_those_below(self) -> None:
        self.assertEqual(draw_shares(0.5, [0.25, 0.25, 0.25], 1), [0.25, 0.25, 0.0])
        self.assertEqual(draw_shares(0.75, [0.25, 0.25, 0.25], 1), [0.25, 0.5, 0.0])
        self.assertEqual(draw_shares(0.5, [0.5, 0.125, 0.25], 2), [0.125, 0.125, 0.25])

    def test_use_of_other_brokers_is_spread_over_all_pools(self) -> None:
        server = self.context.add_server(entry(9))
        for found, expected in zip(free_shares(server, 0.3, [0.2, 0.3, 0.05]), [0.1, 0.2, 0.0]):
            self.assertAlmostEqual(found, expected)


class ServerIndex(unittest.TestCase):
    def test_successive_list_updates_are_indexed_once_and_before_the_next_event(self) -> None:
        """Guards against a pass over all servers for each of thousands of updates that follow an outage."""
        core = controller()
        updates = [ServerListUpdate([entry(position, server=f"n{position}")]) for position in range(40)]
        index_servers = BrokerContext.index_servers
        with patch.object(BrokerContext, "index_servers", autospec=True, side_effect=index_servers) as index:
            core.handle(NOW, updates)
            self.assertEqual(index.call_count, 1)
            core.handle(NOW, [*updates, request("a", NOW), *updates])
        self.assertEqual(index.call_count, 3)
        indexed = [
            server for at_position in core.context.servers_by_position.values() for server in at_position
        ]
        self.assertEqual(len(indexed), len(core.servers))
