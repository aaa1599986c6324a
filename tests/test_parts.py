"""The parts below the program, without sockets: codecs under any input, the loop under faults, links and endings."""

from __future__ import annotations

import json
import unittest
from dataclasses import asdict
from functools import partial
from typing import Any
from unittest.mock import Mock, patch

from helpers import request
from hypothesis import given
from hypothesis import strategies as st
from twisted.internet import error
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport
from twisted.python.failure import Failure

from lotuspick.core.actions import RejectSession
from lotuspick.core.events import (
    PROVES_NOT_EXECUTED,
    ServerEntry,
    ServerListUpdate,
    SessionPlaying,
    SessionRequest,
)
from lotuspick.protocol import cmcd, cmsd, edge_messages, endpoint_events, media_node_messages, rtsp
from lotuspick.protocol.errors import MOST_BYTES, ProtocolError
from lotuspick.routing.dispatcher import SessionDispatcher
from lotuspick.routing.interfaces import AttemptRequest
from lotuspick.routing.messages import (
    AttemptAnswered,
    AttemptTerminated,
    EdgeServerFailed,
    EdgeServerNotified,
    EdgeServerReleased,
    SessionRequested,
    ViewerConnectionOpened,
)
from lotuspick.routing.termination import ATTEMPT_OUTCOMES, TerminationReason
from lotuspick.transport.edge_servers.attempts import QueuedAttempt, SentAttempt
from lotuspick.transport.edge_servers.edge_connection import EdgeConnection
from lotuspick.transport.edge_servers.edge_pool import EdgeLimits, EdgePool
from lotuspick.transport.edge_servers.edge_server_client import EdgeServerClient
from lotuspick.transport.rtsp.rtsp_connection import RtspConnection
from lotuspick.transport.rtsp.rtsp_server import RtspServer

ID = "9b1f03aa5c7e2d41"
TERMS = rtsp.Terms(frozenset({"paid"}), positions=12, rungs=5)
HEAD = [
    b"SETUP rtsp://media/7f3a9c21e0b4d655 RTSP/1.0",
    b"CSeq: 1",
    f"Session: {ID}".encode(),
    b"P-Kind: paid",
    b"P-Time-Left: 1500",
    b"X-Length: 8200.0",
    b"P-Path: home:4;copies:3;top:4;viewer:00000000b4d65521;again:1",
    b"Content-Length: 3",
    b"",
]


def decode(lines: list[bytes], body: bytes) -> rtsp.Message | None:
    decoder = rtsp.Decoder()
    lengths = [decoder.line(line) for line in lines]
    return decoder.body(body) if lengths[-1] is not None else None


class Rtsp(unittest.TestCase):
    def test_a_set_up(self) -> None:
        message = decode(HEAD, b"abc")
        assert message is not None
        asked = rtsp.read_set_up(message, 1_000_000, TERMS)
        request = asked.request
        self.assertEqual(
            (request.session, request.session_class, request.title), (ID, "paid", "7f3a9c21e0b4d655")
        )
        self.assertEqual((request.home_position, request.copies, request.highest_rung), (4, 3, 4))
        self.assertEqual((request.deadline_us, request.length_us), (2_500_000, 8_200_000.0))
        self.assertTrue(request.returned)
        self.assertEqual(asked.description, b"abc")

    def test_each_bad_field_is_named(self) -> None:
        for good, bad, fault in (
            (b"Session: " + ID.encode(), b"Session: 12", "Session"),
            (b"P-Time-Left: 1500", b"P-Time-Left: -1", "P-Time-Left"),
            (b"P-Kind: paid", b"P-Kind: free", "P-Kind"),
            (b"home:4;", b"home:x;", "home"),
            (b"copies:3;", b"", "copies"),
            (b"top:4;", b"top;", "P-Path"),
            (b"P-Kind: paid", b"P-Kinds: paid", "P-Kind"),
            (b"media/7f3a9c21e0b4d655", b"media/", "title"),
        ):
            lines = [line.replace(good, bad) for line in HEAD]
            with self.subTest(bad), self.assertRaisesRegex(ProtocolError, fault):
                message = decode(lines, b"abc")
                assert message is not None
                rtsp.read_set_up(message, 0, TERMS)

    def test_a_hint_that_makes_no_sense_is_none(self) -> None:
        for text in (b"nan", b"-1", b"long", b"inf", b"0"):
            message = decode([line.replace(b"8200.0", text) for line in HEAD], b"abc")
            assert message is not None
            self.assertIsNone(rtsp.read_set_up(message, 0, TERMS).request.length_us)

    def test_nobody_is_waited_for_for_hours(self) -> None:
        message = decode([line.replace(b"1500", b"86400000") for line in HEAD], b"abc")
        assert message is not None
        self.assertEqual(
            rtsp.read_set_up(message, 0, TERMS).request.deadline_us, rtsp.MAX_DEADLINE_MS * 1_000
        )

    def test_what_no_edge_message_could_hold_is_turned_away_at_the_door(self) -> None:
        for size, good in ((MOST_BYTES - 300, True), (MOST_BYTES - 200, False)):
            message = rtsp.Message(
                "SETUP",
                rtsp.BASE + "t" * 16,
                headers={
                    "session": ID,
                    "p-kind": "paid",
                    "p-time-left": "9",
                    "p-path": "home:0;copies:1;top:0",
                },
                body=b"x" * size,
            )
            if good:
                edge_messages.set_up(
                    AttemptRequest(
                        ID, "paid", "t" * 16, 2, 9, rtsp.read_set_up(message, 0, TERMS).description
                    )
                )
            else:
                with self.assertRaisesRegex(ProtocolError, "too long"):
                    rtsp.read_set_up(message, 0, TERMS)

    def test_the_bound_holds_for_heads_and_bodies(self) -> None:
        for lines in (
            [HEAD[0], *(b"h%d: %s" % (n, b"x" * 1_000) for n in range(20))],
            [*HEAD[:7], b"Content-Length: %d" % MOST_BYTES, b""],
            [HEAD[0], *(b"h%d: x" % n for n in range(200))],
        ):
            with self.assertRaises(ProtocolError):
                decode(lines, b"")

    @given(st.lists(st.one_of(st.sampled_from(HEAD), st.binary(max_size=60))))
    def test_any_lines(self, lines: list[bytes]) -> None:
        decoder = rtsp.Decoder()
        try:
            for line in lines:
                length = decoder.line(line)
                if length is not None:
                    rtsp.read_set_up(decoder.body(b"x" * length), 0, TERMS)
        except ProtocolError as fault:
            self.assertTrue(str(fault))

    def test_phrases_cannot_break_the_head(self) -> None:
        text = rtsp.response(400, "1", ID, reason="a\r\nSession: other\x00\u20ac")
        self.assertEqual(text.count(b"\r\n"), 5)
        self.assertTrue(text.startswith(b"RTSP/1.0 400 a Session: other"))


class Edge(unittest.TestCase):
    def test_set_up_and_back(self) -> None:
        message = edge_messages.decode(
            edge_messages.set_up(AttemptRequest(ID, "paid", "t", 2, 1_500, b"a\r\n"))
        )
        self.assertEqual((message.kind, message.session), (1, ID))
        self.assertEqual(
            dict(message.parameters), {100: b"paid", 102: b"1500", 108: b"t", 122: b"2", 130: b"a\r\n"}
        )

    def test_what_messages_tell(self) -> None:
        report = {118: b"outstanding:44.4;x0:0.838;queue:3;x1:nan"}
        told = {"streams": 44.4, "link": 0.838}
        for kind, parameters, item in (
            (9, {130: b"d"}, AttemptAnswered("e", ID, b"d")),
            (
                12,
                {128: b"\x22", **report},
                EdgeServerReleased(
                    "e", ID, TerminationReason.REJECTED_BY_SERVER, TerminationReason.INTERRUPTED, told
                ),
            ),
            (
                12,
                {128: b"\x10"},
                EdgeServerReleased("e", ID, TerminationReason.SETUP_INTERRUPTED, TerminationReason.FINISHED),
            ),
            (
                12,
                {128: b"\x1f"},
                EdgeServerReleased("e", ID, TerminationReason.SETUP_INTERRUPTED, TerminationReason.REVOKED),
            ),
            (
                12,
                {128: b"\x66"},
                EdgeServerReleased("e", ID, TerminationReason.NOT_STARTED, TerminationReason.INTERRUPTED),
            ),
            (44, {114: b"nic", 124: b"0.5"}, EdgeServerNotified("e", ID, "link", 0.5)),
            (44, {114: b"nic", 124: b"x"}, None),
            (44, {114: b"new", 124: b"1"}, None),
            (6, {}, None),
        ):
            with self.subTest(kind=kind, parameters=parameters):
                self.assertEqual(
                    edge_messages.read("e", edge_messages.decode(edge_messages.encode(kind, ID, parameters))),
                    item,
                )

    @given(st.binary(max_size=80))
    def test_any_bytes(self, frame: bytes) -> None:
        try:
            edge_messages.read("e", edge_messages.decode(frame))
        except ProtocolError as fault:
            self.assertTrue(str(fault))


class Json(unittest.TestCase):
    SERVER = {
        "id": "s-1",
        "addr": "127.0.0.1:1",
        "zone": "z",
        "kind": "k",
        "cell": 2,
        "state": "in_service",
        "weight": 4,
        "started_ms": 5,
    }

    def answer(self, *servers: object) -> bytes:
        updates = [
            {"index": 1 + each, "endpoints": {"full": False, "servers": [server]}}
            for each, server in enumerate(servers)
        ]
        return json.dumps({"index": len(servers), "updates": updates}).encode()

    def test_changes_after_an_index(self) -> None:
        answer = endpoint_events.parse(self.answer(self.SERVER, {**self.SERVER, "state": "terminated"}), 1)
        self.assertEqual((answer.last, answer.faults, len(answer.changes)), (2, [], 1))
        entry = answer.changes[0].news.servers[0]
        self.assertEqual(
            (entry.server, entry.state, entry.position, entry.started_us), ("s-1", "gone", 2, 5_000)
        )
        self.assertEqual(answer.changes[0].addresses, {"s-1": ("127.0.0.1", 1)})

    def test_a_bad_update_is_named_and_passed_over(self) -> None:
        for key, value in (
            ("state", "odd"),
            ("addr", "nowhere"),
            ("cell", "x"),
            ("id", None),
            ("weight", True),
            ("started_ms", float("inf")),
        ):
            answer = endpoint_events.parse(self.answer({**self.SERVER, key: value}, self.SERVER), 0)
            with self.subTest(key):
                self.assertEqual(len(answer.changes), 1)
                self.assertIn({"addr": "address"}.get(key, key), answer.faults[0])

    @given(
        st.recursive(
            st.none()
            | st.booleans()
            | st.floats()
            | st.text(max_size=8)
            | st.sampled_from(["index", "updates", "events", "session", ID]),
            lambda inner: (
                st.lists(inner, max_size=3)
                | st.dictionaries(
                    st.sampled_from(
                        ["index", "updates", "endpoints", "servers", "events", "over", "session"]
                    ),
                    inner,
                )
            ),
        )
    )
    def test_any_json(self, told: object) -> None:
        for read in (
            lambda text: endpoint_events.parse(text, 0),
            lambda text: media_node_messages.events("n", text),
        ):
            try:
                read(json.dumps(told).encode())
            except ProtocolError as fault:
                self.assertTrue(str(fault))


class Hints(unittest.TestCase):
    @given(
        st.text(max_size=40)
        | st.from_regex(r'(br|bl|bs|mtp|cid|ot)=?[0-9a-z"?.(]{0,6}(,[a-z]{1,3})?', fullmatch=True)
    )
    def test_any_text(self, text: str) -> None:
        for read in (
            lambda: cmcd.read({}, text),
            lambda: cmsd.hint("n", {cmsd.DYNAMIC: text, cmsd.STATIC: text}),
        ):
            try:
                read()
            except ProtocolError as fault:
                self.assertTrue(str(fault))


class Faults(unittest.TestCase):
    """A fault inside the program costs what it is about, and nothing else."""

    def test_one_bad_item_does_not_cost_the_others(self) -> None:
        said: list[str] = []

        class Module:
            def handle(self, now: int, events: list[Any]) -> list[Any]:
                if any(getattr(event, "title", "") == "fatal" for event in events):
                    raise RuntimeError("fault of the module")
                return [RejectSession(event.session) for event in events if isinstance(event, SessionRequest)]

        class Asker:
            is_open = True

            def rejected(self, session: str, gap_ms: int, why: str = "") -> None:
                said.append(f"refused {session}")

            def failed(self, session: str, why: str = "") -> None:
                said.append(f"failed {session}")

        class Broken:
            is_open = True  # and no method of a viewer

        loop = SessionDispatcher(Module(), None, lambda: 0, lambda at: None, 10, frozenset({"clip"}))  # type: ignore[arg-type]
        with self.assertLogs("lotuspick.routing.dispatcher", "ERROR") as logged:
            for session, viewer in (("a", Broken()), ("b", Asker()), ("c", Asker())):
                loop.post(SessionRequested(request(session), viewer=viewer))  # type: ignore[arg-type]
            loop.tick()
            loop.post(SessionRequested(request("d", title="fatal"), viewer=Asker()))  # type: ignore[arg-type]
            loop.tick()
        self.assertEqual(said, ["refused b", "refused c", "failed d"])
        self.assertEqual(len(logged.records), 2)


class Crowds(unittest.TestCase):
    """Which viewer connections make room."""

    def test_a_crowd_that_says_nothing_is_closed_many_at_once_and_shared_connections_one_by_one(self) -> None:
        now = [0]
        made = SessionDispatcher(
            Mock(handle=Mock(return_value=[])),
            Mock(),
            lambda: now[0],
            lambda at: None,
            1_000,
            frozenset({"clip"}),
        )
        shared = [Mock(is_open=True, last_message_us=1 + number) for number in range(3)]
        crowd = [Mock(is_open=True, last_message_us=0) for _ in range(40)]
        for viewer in shared:
            made.post(ViewerConnectionOpened(viewer))
            for number in range(4):
                made.post(
                    SessionRequested(
                        SessionPlaying(**asdict(request(f"{id(viewer)}-{number}")), server="s0"),
                        viewer=viewer,
                    )
                )
        made.tick()
        self.assertEqual(made.eviction_candidates(8), [], "their next request may be on its way")
        now[0] = 1_000_000
        self.assertEqual(made.eviction_candidates(8), shared[:1])
        self.assertEqual(made.eviction_candidates(8), [], "one a second")
        for viewer in crowd:
            made.post(ViewerConnectionOpened(viewer))
        made.tick()
        self.assertEqual(made.eviction_candidates(8), crowd[:8])
        made.post(
            SessionRequested(request("new"), viewer=crowd[0])
        )  # it has asked, though nobody has looked yet
        self.assertEqual(made.eviction_candidates(8), crowd[1:9])
        for number, viewer in enumerate(crowd):
            viewer.last_message_us = now[0] - number  # OPTIONS, and nothing more
        self.assertEqual(
            made.eviction_candidates(8),
            [],
            "nor are those closed that have just said something, whatever it was",
        )
        now[0] += 1_000_000
        self.assertEqual(
            made.eviction_candidates(8), crowd[:-9:-1], "who said nothing for longest goes first"
        )

    def test_those_that_are_being_closed_are_room_for_all_newcomers_of_one_look(self) -> None:
        class Pipe(StringTransport):
            shut = False

            def setTcpNoDelay(self, on: bool) -> None:
                pass

            def fileno(self) -> int:
                return -1

            def getHandle(self) -> Any:
                return Mock(shutdown=lambda how: setattr(self, "shut", True))

            def abortConnection(self) -> None:
                """The reactor tells of the end in its next look."""

        def come() -> RtspConnection:
            viewer = made.buildProtocol(None)
            viewer.makeConnection(Pipe())
            return viewer

        made = RtspServer(
            Clock(),
            lambda item: None,
            lambda: True,
            Mock(),
            64,
            lambda most: [each for each in made.connections if each.is_open][:most],
        )
        before = [come() for _ in range(64)]
        after = [come() for _ in range(3)]
        closed = [each for each in before if not each.is_open]
        self.assertEqual(len(closed), 3, "three for the first, and none for those after it")
        self.assertTrue(all(each.transport.shut for each in closed), "their viewers hear of it at once")
        for each in closed:
            each.connectionLost(Failure(error.ConnectionAborted()))
        self.assertEqual(
            (len(made.connections), made.closing, [each.is_open for each in after]), (64, set(), [True] * 3)
        )


class EdgeLinks(unittest.TestCase):
    """A link without a socket, on a clock of the test's."""

    def setUp(self) -> None:
        self.posted: list[Any] = []
        self.standing = 1
        limits = EdgeLimits(dial_s=0.25, idle_s=27, silence_s=5, per_connection=32, connections=1)
        self.clock = Clock()
        self.pool = EdgePool(self.clock, limits, self.posted.append, lambda edge_messages: self.standing)
        self.link = EdgeServerClient(self.pool, "e")
        self.pool.clients["e"] = self.link

    def test_what_was_written_is_never_taken_for_unsent(self) -> None:
        for ending in TerminationReason:
            connection = EdgeConnection(self.link)
            self.link.sent_attempts["s"] = SentAttempt(connection, 0.0)
            self.link.connection_closed(connection, ending)
            self.assertNotIn(ATTEMPT_OUTCOMES[self.posted.pop().reason], PROVES_NOT_EXECUTED, ending)

    def test_silence_while_this_process_itself_stood_still_is_no_silence(self) -> None:
        """What came meanwhile has not been read yet when the timers of a process that was held up fire."""
        connection = self.link.connection = EdgeConnection(self.link)
        connection.transport, connection.is_open, connection.partial_message_since_s = Mock(), True, 0.0
        self.pool.start()
        self.clock.advance(3.0)
        self.assertTrue(connection.is_open)
        self.clock.advance(0.1)
        self.assertFalse(connection.is_open)

    def connect(self) -> EdgeConnection:
        self.link.address = ("127.0.0.1", 9)
        connection = self.link.connection = EdgeConnection(self.link)
        connection.transport, connection.is_open, connection.last_message_s = (
            Mock(),
            True,
            self.clock.seconds(),
        )
        return connection

    def test_a_set_up_on_a_connection_that_was_rightly_quiet_has_it_checked_by_nobody(self) -> None:
        """At forty brokers each set-up after a pause would open a connection more, and close one in use."""
        self.standing = 0
        self.connect()
        self.pool.start()
        with patch.object(self.link, "dial") as dial:
            self.clock.pump([0.1] * 200)
            self.link.send(QueuedAttempt(b"x", "s"))
            self.standing = 1
            self.clock.pump([0.1] * 2)
            dial.assert_not_called()
            self.link.sent_attempts.clear()
            self.clock.pump([0.1] * 60)
            dial.assert_called()  # silence that is none of ours is looked into all the same

    def test_a_replaced_connection_outlasts_its_last_answer_a_little(self) -> None:
        """An edge server cuts a session whose connection is closed in the moment of its answer."""
        old = self.connect()
        self.link.send(QueuedAttempt(b"x", "s"))
        self.pool.limits = EdgeLimits(0.25, 27, 5, 32, connections=4)
        self.link._on_connected(EdgeConnection(self.link), ("127.0.0.1", 9))
        self.link.connection.transport, self.link.connection.is_open = Mock(), True
        self.pool.start()
        self.clock.pump([0.1] * 20)
        old.last_message_s = self.clock.seconds()
        self.link.sent_attempts.pop("s")
        self.clock.advance(0.1)
        old.transport.loseWriteConnection.assert_not_called()
        self.clock.pump([0.1] * 11)
        old.transport.loseWriteConnection.assert_called_once()
        old.dataReceived(
            b"\x00\x0d\x0c" + bytes.fromhex(ID) + b"\x80\x00\x01\x10"
        )  # was on its way: heard all the same
        self.assertEqual(
            self.posted[-1],
            EdgeServerReleased("e", ID, TerminationReason.SETUP_INTERRUPTED, TerminationReason.FINISHED),
        )
        self.clock.pump([0.1] * 11)
        self.assertFalse(old.is_open)  # the other side need not close

    def links(self, *zones: str) -> list[EdgeServerClient]:
        """Links with sessions in these zones, their connections up for a while."""
        self.pool.clients = {f"e{at}": EdgeServerClient(self.pool, f"e{at}") for at in range(len(zones))}
        for link, zone in zip(self.pool.clients.values(), zones):
            link.zone, link.address = zone, ("127.0.0.1", 9)
            link.dial = Mock(side_effect=partial(setattr, link, "dialing"))  # type: ignore[method-assign]
            connection = link.connection = EdgeConnection(link)
            connection.transport, connection.is_open = Mock(), True
        return list(self.pool.clients.values())

    def dialled(self) -> int:
        return sum(link.dial.call_count for link in self.pool.clients.values())  # type: ignore[attr-defined]

    def test_two_deaths_in_a_zone_have_the_rest_of_it_looked_at(self) -> None:
        """Of a zone that is lost some connections show nothing, and each would be found out by its silence."""
        links = self.links("a", "a", "b", "a", "b")
        self.clock.advance(3.0)
        links[0]._on_dial_failed(TerminationReason.DIAL_REFUSED, links[0].address)
        self.assertEqual(self.dialled(), 0)  # one death is no loss of a zone
        links[1]._on_dial_failed(TerminationReason.DIAL_REFUSED, links[1].address)
        self.assertEqual([link.dial.call_count for link in links], [0, 0, 0, 1, 0])  # type: ignore[attr-defined]
        links[2]._on_dial_failed(TerminationReason.DIAL_REFUSED, links[2].address)
        self.clock.advance(5.0)
        links[4]._on_dial_failed(TerminationReason.DIAL_REFUSED, links[4].address)
        self.assertEqual(self.dialled(), 1)  # and neither are two with time between them

    def test_servers_that_were_told_to_leave_are_no_lost_zone(self) -> None:
        """At a release many die together, and a dial at every broker to all the others would find them well."""
        links = self.links("a", "a", "a")
        leaving = [ServerEntry(link.server, "a", "box", 0, "draining") for link in links[:2]]
        self.pool.update_endpoints(
            ServerListUpdate(leaving), {link.server: ("127.0.0.1", 9 + at) for at, link in enumerate(links)}
        )
        self.clock.advance(3.0)
        for link in links[:2]:
            link._on_dial_failed(TerminationReason.DIAL_REFUSED, link.address)
        self.assertEqual(self.dialled(), 0)

    def test_a_server_that_was_told_to_leave_may_be_silent_for_longer(self) -> None:
        """It plays on without notes, and refuses a dial: taken for dead, all that stands there would be cut."""
        links = self.links("a", "a")
        links[0].draining = True
        self.pool.limits = EdgeLimits(0.25, 27, silence_s=3, per_connection=32, connections=40)
        self.pool.start()
        self.clock.pump([0.1] * 50)
        self.assertEqual([bool(link.checking) for link in links], [False, True])

    def test_no_pause_between_checks_keeps_an_end_from_its_viewer(self) -> None:
        links = self.links("a", "a")
        self.pool.limits = EdgeLimits(0.25, 27, silence_s=3, per_connection=32, connections=40)
        self.pool.next_check_s = 1e9
        self.pool.start()
        self.clock.pump([0.1] * 50)
        self.assertEqual(self.dialled(), 0)
        self.clock.pump([0.1] * 15)
        self.assertTrue(all(link.checking for link in links))

    def test_when_the_notes_stay_out_few_links_are_checked(self) -> None:
        """Silence of all is the notes': a connection each, at every broker and again and again, is dear."""
        links = self.links(*"abcabcabcabc")
        self.pool.limits = EdgeLimits(0.25, 27, silence_s=3, per_connection=32, connections=40)
        self.pool.start()
        for _ in range(200):
            self.clock.advance(0.1)
            for link in links:
                if link.checking:
                    new = EdgeConnection(link)
                    new.transport, new.is_open = Mock(), True
                    link._on_connected(new, ("127.0.0.1", 9))
        self.assertLessEqual(self.dialled(), 12 * 20 / 6)  # 72 if each were checked as soon as it is silent
        for _ in range(140):  # where they prove dead, the next is looked at without a pause
            self.clock.advance(0.1)
            for link in links:
                if link.checking:
                    link._on_dial_failed(TerminationReason.DIAL_REFUSED, link.address)
        self.assertFalse([link for link in links if link.connection and link.connection.is_open])

    def up(self, link: EdgeServerClient, address: tuple[str, int] = ("127.0.0.1", 9)) -> EdgeConnection:
        """A dial of this link comes up."""
        made = EdgeConnection(link, address)
        made.makeConnection(Mock())
        link._on_connected(made, address)
        return made

    def test_one_that_is_being_closed_takes_up_a_descriptor_until_it_is_gone(self) -> None:
        self.standing, self.link.address = 0, ("127.0.0.1", 9)
        self.pool.limits = EdgeLimits(0.25, 1, 5, 32, connections=1)
        idle = self.up(self.link)
        self.pool.start()
        self.clock.pump([0.1] * 12)
        self.assertEqual((self.link.connection, idle.is_open, self.pool.has_capacity()), (None, False, False))
        idle.transport.unregisterProducer.assert_called_once()  # one that waits to be read would never close
        idle.transport.loseConnection.assert_called_once()
        idle.transport.abortConnection.assert_not_called()
        self.clock.pump([0.1] * 11)
        idle.transport.abortConnection.assert_called_once()  # its peer does not read
        idle.connectionLost(Failure(error.ConnectionAborted()))
        self.assertTrue(self.pool.has_capacity())

    def test_no_timer_of_a_connection_outlives_it(self) -> None:
        self.standing, self.link.address = 0, ("127.0.0.1", 9)
        for way in (EdgeConnection.half_close, EdgeConnection.close_after_flush):
            connection = self.up(self.link)
            way(connection)
            self.assertEqual(len(self.clock.getDelayedCalls()), 1)
            connection.connectionLost(Failure(error.ConnectionDone()))
            self.assertEqual(self.clock.getDelayedCalls(), [])

    def test_a_server_told_to_leave_that_refuses_a_dial_and_talks_on_plays_on(self) -> None:
        connection = self.connect()
        for leaving, heard_s, plays in ((True, 0.0, True), (False, 0.0, False)):
            with self.subTest(leaving=leaving):
                self.posted.clear()
                self.link.draining, connection.last_message_s = leaving, heard_s
                self.link._on_dial_failed(TerminationReason.DIAL_REFUSED, self.link.address)
                self.assertEqual(
                    EdgeServerFailed("e", TerminationReason.SERVER_DOWN) not in self.posted, plays
                )

    def test_no_descriptor_left_tells_nothing_of_the_server(self) -> None:
        self.link.address = ("127.0.0.1", 9)
        self.pool.limits = EdgeLimits(0.25, 27, 5, 32, connections=0)
        self.assertIsNone(self.link.send(QueuedAttempt(b"x", "s")))
        self.assertEqual(self.posted, [AttemptTerminated("e", "s", TerminationReason.DIAL_FAILED)])
        for _ in range(40):
            self.link.sweep(self.clock.seconds())
        self.assertEqual(len(self.posted), 1)

    def test_releases_outlive_dials_that_time_out_and_set_ups_do_not(self) -> None:
        self.standing = 0
        self.link.queue.extend([QueuedAttempt(b"x", "s"), QueuedAttempt(b"release")])
        self.link._on_dial_failed(TerminationReason.DIAL_TIMEOUT, self.link.address)
        self.assertEqual([each.frame for each in self.link.queue], [b"release"])
        self.link._on_dial_failed(TerminationReason.DIAL_REFUSED, self.link.address)
        self.assertFalse(self.link.queue)
        self.assertEqual(
            self.posted,
            [
                AttemptTerminated("e", "s", TerminationReason.DIAL_TIMEOUT),
                EdgeServerFailed("e", TerminationReason.SERVER_DOWN),
            ],
        )

    def test_what_waits_at_a_server_that_is_given_up_never_left(self) -> None:
        self.link.queue.append(QueuedAttempt(b"x", "s"))
        self.link.mark_down(TerminationReason.SERVER_UNRESPONSIVE)
        self.assertEqual(
            self.posted,
            [
                AttemptTerminated("e", "s", TerminationReason.UNSENT),
                EdgeServerFailed("e", TerminationReason.SERVER_UNRESPONSIVE),
            ],
        )


class Endings(unittest.TestCase):
    def test_every_ending_has_an_outcome_and_only_proof_counts_as_proof(self) -> None:
        self.assertEqual(set(ATTEMPT_OUTCOMES), set(TerminationReason))
        proofs = {
            ending.name for ending, outcome in ATTEMPT_OUTCOMES.items() if outcome in PROVES_NOT_EXECUTED
        }
        self.assertEqual(
            proofs,
            {
                "DIAL_REFUSED",
                "DIAL_TIMEOUT",
                "DIAL_FAILED",
                "NO_ADDRESS",
                "QUEUE_FULL",
                "UNSENT",
                "REJECTED_BY_SERVER",
                "NOT_STARTED",
            },
        )


if __name__ == "__main__":
    unittest.main()
