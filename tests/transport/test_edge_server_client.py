"""Unit tests of the edge server client and pool, without sockets and on a simulated clock."""

from __future__ import annotations

import unittest
from functools import partial
from typing import Any
from unittest.mock import Mock, patch

from helpers import CountingDict
from twisted.internet import error
from twisted.internet.task import Clock
from twisted.python.failure import Failure

from lotuspick.core.events import (
    PROVES_NOT_EXECUTED,
    ServerEntry,
    ServerListUpdate,
)
from lotuspick.routing.messages import (
    AttemptTerminated,
    EdgeServerFailed,
    EdgeServerReleased,
    EdgeServerReplaced,
)
from lotuspick.routing.termination import ATTEMPT_OUTCOMES, TerminationReason
from lotuspick.transport.edge_servers.attempts import QueuedMessage, SentAttempt
from lotuspick.transport.edge_servers.edge_connection import MAX_BLOCKED_SET_UP_BYTES, EdgeConnection
from lotuspick.transport.edge_servers.edge_pool import EdgeLimits, EdgePool
from lotuspick.transport.edge_servers.edge_server_client import EdgeServerClient

ID = "9b1f03aa5c7e2d41"


class EdgeServerClients(unittest.TestCase):
    """A client with fake transports, on a simulated clock."""

    def setUp(self) -> None:
        self.posted: list[Any] = []
        self.open_sessions = 1
        limits = EdgeLimits(
            dial_timeout_s=0.25,
            idle_timeout_s=27,
            silence_timeout_s=5,
            attempts_per_connection=32,
            max_connections=1,
        )
        self.clock = Clock()
        self.pool = EdgePool(
            self.clock, limits, self.posted.append, lambda server: self.open_sessions, lambda session: True
        )
        self.client = EdgeServerClient(self.pool, "e")
        self.pool.clients["e"] = self.client

    def test_attempt_that_was_written_is_never_reported_as_unsent(self) -> None:
        for end_reason in TerminationReason:
            connection = EdgeConnection(self.client)
            self.client.sent_attempts["s"] = SentAttempt(connection, 0.0)
            self.client.connection_closed(connection, end_reason)
            self.assertNotIn(ATTEMPT_OUTCOMES[self.posted.pop().reason], PROVES_NOT_EXECUTED, end_reason)

    def test_silence_during_a_process_stall_does_not_count(self) -> None:
        """After a process stall the timers fire before the messages received in the meantime are read."""
        connection = self.client.connection = EdgeConnection(self.client)
        connection.transport, connection.is_open, connection.partial_message_since_s = Mock(), True, 0.0
        self.pool.start()
        self.clock.advance(3.0)
        self.assertTrue(connection.is_open)
        self.clock.advance(0.1)
        self.assertFalse(connection.is_open)

    def connect(self) -> EdgeConnection:
        self.client.address = ("127.0.0.1", 9)
        connection = self.client.connection = EdgeConnection(self.client)
        connection.transport, connection.is_open, connection.last_message_s = (
            Mock(),
            True,
            self.clock.seconds(),
        )
        return connection

    def test_server_that_does_not_read_gets_a_bounded_size_of_set_ups(self) -> None:
        """Guards against a write buffer that grows with the length of set-ups after they are cancelled."""
        connection, frame = self.connect(), b"x" * (MAX_BLOCKED_SET_UP_BYTES // 2)
        self.assertIsNone(self.client.send(QueuedMessage(frame, "s1")))
        connection.pauseProducing()
        for session in ("s2", "s3"):
            self.assertIsNone(self.client.send(QueuedMessage(frame, session)))
        reason = self.client.send(QueuedMessage(frame, "s4"))
        assert reason is not None
        self.assertIn(ATTEMPT_OUTCOMES[reason], PROVES_NOT_EXECUTED)
        self.assertEqual(set(self.client.sent_attempts), {"s1", "s2", "s3"})
        self.assertIsNone(self.client.send(QueuedMessage(frame)))  # a release is sent all the same
        connection.resumeProducing()
        self.assertIsNone(self.client.send(QueuedMessage(frame, "s4")))

    def list_at_the_address(self, started_us: int, removed_first: bool) -> list[Any]:
        """List a new server at the address of the client, which may be removed first; return what is posted."""
        address = ("127.0.0.1", 9)
        self.pool.update_endpoints(ServerListUpdate([ServerEntry("e", "a", "box", 0)]), {"e": address})
        if removed_first:
            self.pool.update_endpoints(ServerListUpdate([ServerEntry("e", "a", "box", 0, "gone")]), {})
        new = ServerEntry("new", "a", "box", 0, started_us=started_us)
        self.pool.update_endpoints(ServerListUpdate([new]), {"new": address})
        self.assertIsNone(self.client.address)
        self.assertFalse(self.pool.former_clients)
        return self.posted

    def test_server_is_replaced_by_one_that_started_before_its_connection_was_opened(self) -> None:
        for removed_first in (False, True):
            with self.subTest(removed_first=removed_first):
                self.setUp()
                self.connect().opened_us = 1_000
                self.assertEqual(self.list_at_the_address(999, removed_first), [EdgeServerReplaced("e")])

    def test_server_without_a_connection_is_replaced(self) -> None:
        self.assertEqual(self.list_at_the_address(999, True), [EdgeServerReplaced("e")])

    def test_address_of_a_client_that_is_deleted_is_forgotten(self) -> None:
        """Guards against a table that grows with each server that was ever removed."""
        self.open_sessions = 0
        address = ("127.0.0.1", 9)
        self.pool.update_endpoints(ServerListUpdate([ServerEntry("e", "a", "box", 0)]), {"e": address})
        self.pool.update_endpoints(ServerListUpdate([ServerEntry("e", "a", "box", 0, "gone")]), {})
        self.assertEqual(set(self.pool.former_clients), {address})
        self.pool.start()
        self.clock.advance(0.1)
        self.assertFalse(self.pool.clients)
        self.assertFalse(self.pool.former_clients)

    def test_server_whose_connection_is_older_than_the_new_one_is_not_replaced(self) -> None:
        self.connect().opened_us = 998
        self.assertEqual(self.list_at_the_address(999, False), [])

    def test_server_is_not_replaced_without_a_reported_start(self) -> None:
        self.connect().opened_us = 1_000
        self.assertEqual(self.list_at_the_address(0, False), [])

    def test_set_up_on_an_idle_connection_starts_no_check(self) -> None:
        """Otherwise each of 40 brokers would replace a connection in use at its first set-up after a pause."""
        self.open_sessions = 0
        self.connect()
        self.pool.start()
        with patch.object(self.client, "dial") as dial:
            self.clock.pump([0.1] * 200)
            self.client.send(QueuedMessage(b"x", "s"))
            self.open_sessions = 1
            self.clock.pump([0.1] * 2)
            dial.assert_not_called()
            self.client.sent_attempts.clear()
            self.clock.pump([0.1] * 60)
            dial.assert_called()  # silence while a session is open is still checked

    def test_replaced_connection_stays_a_second_after_its_last_answer(self) -> None:
        """An edge server ends a session whose connection is closed right after the answer."""
        old = self.connect()
        self.client.send(QueuedMessage(b"x", "s"))
        self.pool.limits = EdgeLimits(0.25, 27, 5, 32, max_connections=4)
        self.client._on_connected(EdgeConnection(self.client), ("127.0.0.1", 9))
        self.client.connection.transport, self.client.connection.is_open = Mock(), True
        self.pool.start()
        self.clock.pump([0.1] * 20)
        old.last_message_s = self.clock.seconds()
        self.client.sent_attempts.pop("s")
        self.clock.advance(0.1)
        old.transport.loseWriteConnection.assert_not_called()
        self.clock.pump([0.1] * 11)
        old.transport.loseWriteConnection.assert_called_once()
        # A release that was sent before the half-close is still received.
        old.dataReceived(b"\x00\x0d\x0c" + bytes.fromhex(ID) + b"\x80\x00\x01\x10")
        self.assertEqual(
            self.posted[-1],
            EdgeServerReleased("e", ID, TerminationReason.SETUP_INTERRUPTED, TerminationReason.FINISHED),
        )
        self.clock.pump([0.1] * 11)
        self.assertFalse(old.is_open)  # closed after LINGER_S although the peer has not closed

    def server_clients(self, *zones: str) -> list[EdgeServerClient]:
        """Create clients with sessions and established connections in these zones."""
        self.pool.clients = {
            f"e{index}": EdgeServerClient(self.pool, f"e{index}") for index in range(len(zones))
        }
        for client, zone in zip(self.pool.clients.values(), zones):
            client.zone, client.address = zone, ("127.0.0.1", 9)
            client.dial = Mock(side_effect=partial(self.begin_dial, client))  # type: ignore[method-assign]
            connection = client.connection = EdgeConnection(client)
            connection.transport, connection.is_open = Mock(), True
        return list(self.pool.clients.values())

    def begin_dial(self, client: EdgeServerClient, purpose: str) -> None:
        self.pool.dialing.add(client)

    def dial_count(self) -> int:
        return sum(client.dial.call_count for client in self.pool.clients.values())  # type: ignore[attr-defined]

    def test_two_failures_in_a_zone_check_its_other_servers(self) -> None:
        """In a zone outage some connections show no error, and would only be detected by the silence timeout."""
        server_clients = self.server_clients("a", "a", "b", "a", "b")
        self.clock.advance(3.0)
        server_clients[0]._on_dial_failed(TerminationReason.DIAL_REFUSED, server_clients[0].address)
        self.assertEqual(self.dial_count(), 0)  # one failure is no zone outage
        server_clients[1]._on_dial_failed(TerminationReason.DIAL_REFUSED, server_clients[1].address)
        self.assertEqual([client.dial.call_count for client in server_clients], [0, 0, 0, 1, 0])  # type: ignore[attr-defined]
        server_clients[2]._on_dial_failed(TerminationReason.DIAL_REFUSED, server_clients[2].address)
        self.clock.advance(5.0)
        server_clients[4]._on_dial_failed(TerminationReason.DIAL_REFUSED, server_clients[4].address)
        # Two failures further apart than ZONE_FAILURE_WINDOW_S are no zone outage either.
        self.assertEqual(self.dial_count(), 1)

    def test_zone_outage_is_checked_once_for_many_failures_in_one_step(self) -> None:
        """A pass over all servers for each failure takes seconds in a large zone."""
        server_clients = self.server_clients(*"a" * 40)
        self.clock.advance(3.0)
        with patch.object(
            self.pool.zone_failures, "has_failed", wraps=self.pool.zone_failures.has_failed
        ) as visit:
            for client in server_clients[:39]:
                client._on_dial_failed(TerminationReason.DIAL_REFUSED, client.address)
        self.assertEqual(visit.call_count, 40)
        server_clients[39].dial.assert_called_once_with("zone")  # type: ignore[attr-defined]

    def test_server_that_connects_during_a_zone_outage_is_checked_by_a_later_sweep(self) -> None:
        server_clients = self.server_clients("a", "a", "a", "a")
        self.clock.advance(3.0)
        server_clients[3].connected_s = 1.05
        for client in server_clients[:2]:
            client._on_dial_failed(TerminationReason.DIAL_REFUSED, client.address)
        self.assertEqual([client.checking for client in server_clients[2:]], [True, False])
        server_clients[2]._on_dial_failed(TerminationReason.DIAL_REFUSED, server_clients[2].address)
        self.pool.start()
        self.clock.pump([0.1] * 2)
        server_clients[3].dial.assert_called_once_with("zone")  # type: ignore[attr-defined]

    def test_dials_and_checks_cost_no_pass_over_all_servers(self) -> None:
        """Guards against seconds in one step when thousands of servers are dialled or silent together."""
        server_clients = self.server_clients(*"a" * 40)
        self.pool.limits = EdgeLimits(0.25, 27, 3, 32, max_connections=100)
        self.pool.clients = clients = CountingDict(self.pool.clients)
        self.clock.advance(4.0)
        for client in server_clients:
            self.assertTrue(self.pool.has_capacity())
            client.sweep(self.clock.seconds())
        self.assertEqual(clients.passes, 0)
        self.assertEqual(self.dial_count(), 1)

    def test_listed_address_costs_no_pass_over_all_servers(self) -> None:
        self.pool.clients = clients = CountingDict(self.pool.clients)
        for port in range(40):
            update = ServerListUpdate([ServerEntry(f"n{port}", "a", "box", 0, "active")])
            self.pool.update_endpoints(update, {f"n{port}": ("127.0.0.1", port)})
        self.assertEqual(clients.passes, 0)

    def test_failures_of_draining_servers_do_not_count_as_a_zone_outage(self) -> None:
        """During a rolling release many servers end together; dialling the others would find them healthy."""
        server_clients = self.server_clients("a", "a", "a")
        draining_entries = [
            ServerEntry(client.server, "a", "box", 0, "draining") for client in server_clients[:2]
        ]
        self.pool.update_endpoints(
            ServerListUpdate(draining_entries),
            {client.server: ("127.0.0.1", 9 + index) for index, client in enumerate(server_clients)},
        )
        self.clock.advance(3.0)
        for client in server_clients[:2]:
            client._on_dial_failed(TerminationReason.DIAL_REFUSED, client.address)
        self.assertEqual(self.dial_count(), 0)

    def test_draining_server_may_be_silent_for_longer(self) -> None:
        """It sends no notifications and refuses dials while its sessions play; marking it down would end them."""
        server_clients = self.server_clients("a", "a")
        server_clients[0].draining = True
        self.pool.limits = EdgeLimits(
            0.25, 27, silence_timeout_s=3, attempts_per_connection=32, max_connections=40
        )
        self.pool.start()
        self.clock.pump([0.1] * 50)
        self.assertEqual([bool(client.checking) for client in server_clients], [False, True])

    def test_check_pause_does_not_delay_the_check_of_a_long_silence(self) -> None:
        server_clients = self.server_clients("a", "a")
        self.pool.limits = EdgeLimits(
            0.25, 27, silence_timeout_s=3, attempts_per_connection=32, max_connections=40
        )
        self.pool.next_check_s = 1e9
        self.pool.start()
        self.clock.pump([0.1] * 50)
        self.assertEqual(self.dial_count(), 0)
        self.clock.pump([0.1] * 15)
        self.assertTrue(all(client.checking for client in server_clients))

    def test_missing_notifications_of_all_servers_check_few_of_them(self) -> None:
        """If all servers are silent, notifications are missing; checking each would cost every broker many dials."""
        server_clients = self.server_clients(*"abcabcabcabc")
        self.pool.limits = EdgeLimits(
            0.25, 27, silence_timeout_s=3, attempts_per_connection=32, max_connections=40
        )
        self.pool.start()
        for _ in range(200):
            self.clock.advance(0.1)
            for client in server_clients:
                if client.checking:
                    new = EdgeConnection(client)
                    new.transport, new.is_open = Mock(), True
                    client._on_connected(new, ("127.0.0.1", 9))
        # 72 if each server were checked as soon as it is silent.
        self.assertLessEqual(self.dial_count(), 12 * 20 / 6)
        for _ in range(140):  # a failed check is followed by the next check without a pause
            self.clock.advance(0.1)
            for client in server_clients:
                if client.checking:
                    client._on_dial_failed(TerminationReason.DIAL_REFUSED, client.address)
        self.assertFalse(
            [client for client in server_clients if client.connection and client.connection.is_open]
        )

    def connect_new(
        self, client: EdgeServerClient, address: tuple[str, int] = ("127.0.0.1", 9)
    ) -> EdgeConnection:
        """Complete a dial of a client."""
        connected = EdgeConnection(client, address)
        connected.makeConnection(Mock())
        client._on_connected(connected, address)
        return connected

    def replaced_connection(self) -> EdgeConnection:
        """Replace a connection on which a set-up was answered by another one."""
        self.pool.limits = EdgeLimits(0.25, 27, 60, 32, max_connections=4)
        self.client.address = ("127.0.0.1", 9)
        replaced = self.connect_new(self.client)
        self.connect_new(self.client)
        return replaced

    def test_end_of_a_replaced_connection_is_followed_by_a_new_one_if_messages_may_be_lost(self) -> None:
        """Otherwise a viewer is not told of the end of a session that was sent on that connection."""
        for reason, partial_since_s, awaits_message, expected in (
            (TerminationReason.IDLE, None, False, 0),
            (TerminationReason.CLOSED_BY_PEER, None, False, 0),
            (TerminationReason.RESET, None, False, 1),
            (TerminationReason.MALFORMED, None, False, 1),
            (TerminationReason.IDLE, 1.0, False, 1),
            (TerminationReason.CLOSED_BY_PEER, None, True, 1),
        ):
            with self.subTest(reason=reason, partial=partial_since_s, awaits_message=awaits_message):
                self.setUp()
                replaced = self.replaced_connection()
                replaced.partial_message_since_s, replaced.is_open = partial_since_s, False
                replaced.last_set_up_s = replaced.last_message_s + awaits_message
                self.client.connection_closed(replaced, reason)
                with patch.object(self.client, "dial") as dial:
                    self.client.sweep(self.clock.seconds())
                self.assertEqual(dial.call_count, expected)

    def test_new_connection_is_not_followed_by_another_one(self) -> None:
        replaced = self.replaced_connection()
        self.client.connection_closed(replaced, TerminationReason.RESET)
        self.connect_new(self.client)
        with patch.object(self.client, "dial") as dial:
            self.client.sweep(self.clock.seconds())
        dial.assert_not_called()

    def test_draining_server_that_refuses_the_new_connection_is_not_dialled_again(self) -> None:
        replaced = self.replaced_connection()
        self.client.draining = True
        self.client.connection_closed(replaced, TerminationReason.RESET)
        self.client._on_dial_failed(TerminationReason.DIAL_REFUSED, self.client.address)
        with patch.object(self.client, "dial") as dial:
            self.client.sweep(self.clock.seconds())
        dial.assert_not_called()

    def test_truncated_message_on_a_half_closed_connection_drops_it(self) -> None:
        replaced = self.replaced_connection()
        replaced.half_close()
        replaced.dataReceived(b"\x00\x0d\x0c")
        self.clock.advance(0.2)
        self.client.sweep(self.clock.seconds())
        replaced.transport.abortConnection.assert_not_called()
        self.clock.advance(0.1)
        self.client.sweep(self.clock.seconds())
        replaced.transport.abortConnection.assert_called_once_with()

    def test_closing_connection_counts_as_a_descriptor_until_its_socket_is_closed(self) -> None:
        self.open_sessions, self.client.address = 0, ("127.0.0.1", 9)
        self.pool.limits = EdgeLimits(0.25, 1, 5, 32, max_connections=1)
        idle_connection = self.connect_new(self.client)
        self.pool.start()
        self.clock.pump([0.1] * 12)
        self.assertEqual(
            (self.client.connection, idle_connection.is_open, self.pool.has_capacity()), (None, False, False)
        )
        # While a producer is registered, Twisted does not close the connection.
        idle_connection.transport.unregisterProducer.assert_called_once()
        idle_connection.transport.loseConnection.assert_called_once()
        idle_connection.transport.abortConnection.assert_not_called()
        self.clock.pump([0.1] * 11)
        idle_connection.transport.abortConnection.assert_called_once()  # the peer does not read
        idle_connection.connectionLost(Failure(error.ConnectionAborted()))
        self.assertTrue(self.pool.has_capacity())

    def test_connection_that_ends_leaves_no_timer(self) -> None:
        self.open_sessions, self.client.address = 0, ("127.0.0.1", 9)
        for close_method in (EdgeConnection.half_close, EdgeConnection.close_after_flush):
            connection = self.connect_new(self.client)
            close_method(connection)
            self.assertEqual(len(self.clock.getDelayedCalls()), 1)
            connection.connectionLost(Failure(error.ConnectionDone()))
            self.assertEqual(self.clock.getDelayedCalls(), [])

    def test_draining_server_that_refuses_a_dial_but_sends_messages_keeps_its_sessions(self) -> None:
        connection = self.connect()
        for is_draining, last_received_s, keeps_sessions in ((True, 0.0, True), (False, 0.0, False)):
            with self.subTest(is_draining=is_draining):
                self.posted.clear()
                self.client.draining, connection.last_message_s = is_draining, last_received_s
                self.client._on_dial_failed(TerminationReason.DIAL_REFUSED, self.client.address)
                self.assertEqual(
                    EdgeServerFailed("e", TerminationReason.SERVER_DOWN) not in self.posted, keeps_sessions
                )

    def test_dial_over_the_connection_limit_does_not_mark_the_server_down(self) -> None:
        self.client.address = ("127.0.0.1", 9)
        self.pool.limits = EdgeLimits(0.25, 27, 5, 32, max_connections=0)
        self.assertIsNone(self.client.send(QueuedMessage(b"x", "s")))
        self.assertEqual(self.posted, [AttemptTerminated("e", "s", TerminationReason.DIAL_FAILED)])
        for _ in range(40):
            self.client.sweep(self.clock.seconds())
        self.assertEqual(len(self.posted), 1)

    def test_dial_that_times_out_keeps_releases_and_ends_set_ups(self) -> None:
        self.open_sessions = 0
        self.client.queue.extend([QueuedMessage(b"x", "s"), QueuedMessage(b"release")])
        self.client._on_dial_failed(TerminationReason.DIAL_TIMEOUT, self.client.address)
        self.assertEqual([each.frame for each in self.client.queue], [b"release"])
        self.client._on_dial_failed(TerminationReason.DIAL_REFUSED, self.client.address)
        self.assertFalse(self.client.queue)
        self.assertEqual(
            self.posted,
            [
                AttemptTerminated("e", "s", TerminationReason.DIAL_TIMEOUT),
                EdgeServerFailed("e", TerminationReason.SERVER_DOWN),
            ],
        )

    def test_queued_attempts_at_a_server_marked_down_are_reported_unsent(self) -> None:
        self.client.queue.append(QueuedMessage(b"x", "s"))
        self.client.mark_down(TerminationReason.SERVER_UNRESPONSIVE)
        self.assertEqual(
            self.posted,
            [
                AttemptTerminated("e", "s", TerminationReason.UNSENT),
                EdgeServerFailed("e", TerminationReason.SERVER_UNRESPONSIVE),
            ],
        )
