"""Compares stored data, messages and the output of commands with recorded data.

``tests/data/golden`` contains bytes and plain values under labels that do not depend on names in the code. Only the
builders below use names of the code, mostly with positional arguments: a rename in the code changes the builders but
never the data. The data changes only with an intentional change of a format.
"""

from __future__ import annotations

import dataclasses
import io
import json
import shutil
import tempfile
import tomllib
import unittest
from enum import Enum
from pathlib import Path
from types import SimpleNamespace
from typing import Any
from unittest import mock

import lmdb
import msgspec
import typer.main
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey
from twisted.internet.testing import MemoryReactorClock, StringTransport
from typer.testing import CliRunner

from lotuspick import simulator
from lotuspick.cells import plan_file as cells_plan_file
from lotuspick.core.actions import (
    Action,
    FailSession,
    ForwardAttempt,
    LogMessage,
    RejectSession,
    SetRung,
    StartTimer,
    Subscribe,
)
from lotuspick.core.events import SessionPlaying, SessionRequest
from lotuspick.entitlement import ledger as seat_ledger
from lotuspick.entitlement import model as seat_model
from lotuspick.entitlement.tokens import PublicKey, TokenVerifier, sign
from lotuspick.membership import constraints as fleet_constraints
from lotuspick.membership import members as fleet_members
from lotuspick.membership import model as fleet_model
from lotuspick.membership import quorum as fleet_quorum
from lotuspick.program import cli, configuration, entitlement
from lotuspick.program import membership as peers_program
from lotuspick.program.commands import cells as cells_commands
from lotuspick.program.commands import keys as keys_commands
from lotuspick.program.commands import members as members_commands
from lotuspick.program.commands import seats as seats_commands
from lotuspick.protocol import cmcd, cmsd, edge_messages, endpoint_events, media_node_messages, rtsp
from lotuspick.routing import termination
from lotuspick.routing.interfaces import AttemptRequest
from lotuspick.routing.messages import SessionRequested
from lotuspick.state_machine import (
    CommandReceived,
    MessageReceived,
    PersistRecord,
    ProcessStarted,
    SendMessage,
)
from lotuspick.transport import control_port
from lotuspick.transport.peers import peer_connections
from lotuspick.transport.storage import key_folder, seat_store
from lotuspick.transport.storage.durable_store import StateMachineStore

DATA = Path(__file__).parent / "data" / "golden"
SESSION = "00c0ffee00c0ffee"
AWAKE_US = 7_000_000


# ---- builders: the only part that uses names of the code ----------------------------------------------------


def seat_records() -> list[seat_ledger.Record]:
    """Return seats in each state; every field is set in at least one of them."""
    make, state = seat_ledger.Record, seat_ledger.State
    return [
        make("seat-a", state.FREE),
        make("seat-b", state.RESERVED, "s-b", "viewer-b", 1, 1_800_000_100, 2),
        make("seat-c", state.DOUBT, "s-c", "viewer-c", 2, 1_800_000_200, 5, False, 0, 0, ("s-x", "s-y")),
        make("seat-d", state.COUNTED, "s-d", "viewer-d", 3, 1_800_000_300, 6, True, 1_700_000_001),
        make(
            "seat-e", state.VACANT, "s-e", "viewer-e", 4, 1_800_000_400, 7, True, 1_700_000_002, 1_700_000_009
        ),
        make(
            "seat-\u00e9",
            state.RELEASED,
            "s-f",
            "viewer-f",
            5,
            1_800_000_500,
            8,
            True,
            1_700_000_003,
            1_700_000_010,
        ),
    ]


def write_seat_store(path: Path) -> None:
    store = seat_store.SeatStore(path, 1, sync=False)
    store.write(seat_records())
    store.close()


def fleet_record(name: str = "broker-a", **changes: Any) -> fleet_model.Record:
    """Return a membership record of a broker with every field set."""
    complete_record = fleet_model.Record(
        name, 3, 2**62 + 1, 4, fleet_model.State.ALIVE, "10.0.0.1:7400", "zone-1", "0.1.0", ("relay", "lead")
    )
    return msgspec.structs.replace(complete_record, **changes)


def fleet_news() -> list[fleet_model.MembershipUpdate]:
    return [
        fleet_record(),
        fleet_model.Record("broker-b", 1, 9),
        fleet_record("broker-c", state=fleet_model.State.DEAD),
        fleet_record("broker-d", state=fleet_model.State.LEFT),
        fleet_model.Suspicion("broker-b", 1, 9, 2, "broker-a"),
    ]


def fleet_messages() -> dict[str, fleet_model.Message]:
    """Return every type of message between brokers, with all fields set and with defaults."""
    return {
        "ping": fleet_model.Ping(1, fleet_news()),
        "ping, no news": fleet_model.Ping(2),
        "ack": fleet_model.Ack(3, "broker-b", fleet_news()),
        "ack, no news": fleet_model.Ack(4),
        "relay": fleet_model.Relay(5, "broker-c", fleet_news()),
        "relay, no news": fleet_model.Relay(6, "broker-c"),
        "sync": fleet_model.Sync(
            [each for each in fleet_news() if isinstance(each, fleet_model.Record)], True
        ),
        "sync, nothing": fleet_model.Sync([]),
        "digest": fleet_model.Digest(2**64 - 1),
    }


def fleet_frames() -> dict[str, Any]:
    """Return every type of frame sent over TCP."""
    numbered = {
        f"in order: {label}": peer_connections.Numbered(at, message)
        for at, (label, message) in enumerate(fleet_messages().items(), 1)
    }
    return {
        "hello": peer_connections.Hello("10.0.0.1:7400", 1, 2**62 + 3),
        "hello, defaults": peer_connections.Hello("10.0.0.2:7400"),
        **numbered,
    }


def fleet_datagrams() -> dict[str, peer_connections.Envelope]:
    """Return every type of datagram sent over UDP."""
    return {
        f"datagram: {label}": peer_connections.Envelope("10.0.0.1:7400", each)
        for label, each in fleet_messages().items()
    }


def started_member(records: dict[str, bytes], out: list[Any]) -> fleet_members.Members:
    """Start a member with a fixed seed; append its effects to ``out``."""
    member = fleet_members.Members()
    out += member.step(1_000_000, ProcessStarted(records, 5))
    begin = fleet_model.Begin("broker-x", "10.0.0.9:7400", ("10.0.0.1:7400",), "zone-2", "0.1.0", ("relay",))
    out += member.step(1_000_000, CommandReceived(begin))
    return member


def member_conversation(records: dict[str, bytes]) -> list[Any]:
    """Return the effects of a member that starts, joins, gets an earlier record of itself and gets requests."""
    out: list[Any] = []
    member = started_member(records, out)
    earlier = fleet_record("broker-x", incarnation=6)
    for message in (
        fleet_model.Sync([fleet_record(), earlier]),
        fleet_model.Ping(11, [fleet_model.Record("broker-b", 1, 9, address="10.0.0.2:7400")]),
        fleet_model.Relay(12, "broker-b"),
        fleet_model.Digest(1),
        fleet_model.Sync([], True),
    ):
        out += member.step(2_000_000, MessageReceived("10.0.0.1:7400", message))
    return out


def member_digest_answers(value: int) -> list[Any]:
    """Return the answers to a digest of a member that knows one other and uses no random numbers."""
    member = fleet_members.Members()
    member.step(0, ProcessStarted({}, 5))
    member.step(0, CommandReceived(fleet_model.Begin("broker-x", "10.0.0.9:7400")))
    member.step(0, MessageReceived("10.0.0.1:7400", fleet_model.Sync([fleet_record()])))
    return [
        each
        for each in member.step(0, MessageReceived("10.0.0.1:7400", fleet_model.Digest(value)))
        if isinstance(each, SendMessage)
    ]


def sent_messages(effects: list[Any]) -> list[list[Any]]:
    """Return the messages among the effects: peer, whether in order, and bytes."""
    return [
        [each.peer, each.reliable, peer_connections.ENCODE(each.message).hex()]
        for each in effects
        if isinstance(each, SendMessage)
    ]


def persisted_records(effects: list[Any]) -> list[tuple[str, bytes]]:
    """Return the records among the effects."""
    return [(each.key, each.record) for each in effects if isinstance(each, PersistRecord)]


def write_member_store(path: Path) -> None:
    store = StateMachineStore(path, 1, sync=False)
    store.write(persisted_records(member_conversation({})))
    store.close()


def membership_component(folder: Path) -> peers_program.MembershipComponent:
    """Return the component that answers operators, in a fleet of three other members, without a network."""
    (folder / "peers.toml").write_text((DATA / "peers.toml").read_text(encoding="utf-8"), encoding="utf-8")
    peers_config = configuration.read_peers(folder / "peers.toml")
    broker: Any = SimpleNamespace(
        config=SimpleNamespace(
            name="broker-x", peers=peers_config, settings=SimpleNamespace(classes=[], zone="zone-2")
        ),
        reactor=MemoryReactorClock(),
    )
    component = peers_program.MembershipComponent(broker)
    component.members = component.driver.machine = member = started_member({}, [])
    component.driver.clock = lambda: AWAKE_US
    names = ("broker-a", "broker-b", "broker-c")
    records = [fleet_record(name, address=f"10.0.0.{at}:7400") for at, name in enumerate(names, 1)]
    member.step(2_000_000, MessageReceived("10.0.0.1:7400", fleet_model.Sync(records)))
    accusation = fleet_model.Suspicion("broker-b", 3, 2**62 + 1, 4, "broker-a")
    member.step(3_000_000, MessageReceived("10.0.0.1:7400", fleet_model.Ping(1, [accusation])))
    component.peer_connections.counts["not-dialled"] = 2
    return component


def control_port_answers(folder: Path) -> dict[str, str]:
    """Return each answer to an operator as the line sent."""
    component = membership_component(folder)
    requests = {
        "show": b'{"ask": "show"}',
        "explain": b'{"ask": "explain", "name": "broker-b"}',
        "drain": b'{"ask": "drain", "name": "broker-c"}',
        "unknown member": b'{"ask": "explain", "name": "broker-q"}',
        "unknown question": b'{"ask": "sing"}',
    }
    answers = {}
    with mock.patch.object(peers_program, "boottime_us", return_value=AWAKE_US):
        for label, line in requests.items():
            operator = control_port.ControlPort(component.answer).buildProtocol(None)
            transport = StringTransport()
            operator.makeConnection(transport)
            operator.dataReceived(line + b"\n")
            operator.setTimeout(None)
            answers[label] = transport.value().decode()
    component.close()
    return answers


def fleet_reasons() -> dict[str, str]:
    """Return the reason sent to viewers for rejecting a paid session, by quorum state."""
    rules = fleet_quorum.QuorumRules(3)
    request = SessionRequest(SESSION, "exam", "lesson", 0, 1, 0, 0)
    reasons = {}
    for quorum_state in fleet_quorum.QuorumState:
        tracker = fleet_quorum.QuorumTracker(rules)
        tracker.state = quorum_state
        constraints = fleet_constraints.MembershipConstraints(tracker, frozenset({"exam"}), lambda: 0)
        reasons[str(int(quorum_state))] = constraints.constraint_for(0, request).reason
    return reasons


def enumeration_values() -> dict[str, list[Any]]:
    """Return the texts and numbers of enumerations that appear in records, answers and log lines."""
    return {
        "state of a seat": [[int(each), each.name] for each in seat_ledger.State],
        "verdict on a seat": [each.value for each in seat_ledger.Verdict],
        "fault of a token": [each.value for each in seat_model.TokenRejection],
        "state of a broker": [[int(each), each.name] for each in fleet_model.State],
        "standing of a broker": [[int(each), each.name] for each in fleet_quorum.QuorumState],
        "ending": [
            [each.value, termination.ATTEMPT_OUTCOMES[each]] for each in termination.TerminationReason
        ],
    }


def rtsp_messages() -> dict[str, bytes]:
    """Return every type of message to a viewer."""
    served = rtsp.response(rtsp.SERVED, "1", SESSION, b"v=0\r\nd\x00\xff")
    statuses = (
        rtsp.BAD_REQUEST,
        rtsp.FORBIDDEN,
        rtsp.NO_BANDWIDTH,
        rtsp.FAILED,
        rtsp.NOT_READY,
        rtsp.NOT_IMPLEMENTED,
    )
    return {
        "served": served,
        "served, no session": rtsp.response(rtsp.SERVED, "3"),
        "refused, gap": rtsp.response(rtsp.NO_BANDWIDTH, "1", SESSION, retry_after_ms=1_500),
        "refused, reason": rtsp.response(
            rtsp.NO_BANDWIDTH, "1", SESSION, retry_after_ms=20, reason="token-expired\r\n x\u00e9"
        ),
        **{f"status {each}": rtsp.response(each, "7", SESSION) for each in statuses},
        **{f"over: {each.value}": rtsp.release(SESSION, each) for each in termination.TerminationReason},
    }


def read_rtsp(text: str) -> list[Any]:
    """Decode one message; for a set-up, also return the message for the dispatcher."""
    decoder = rtsp.Decoder()
    head, _, body = text.encode("latin-1").partition(b"\r\n\r\n")
    lengths = [decoder.line(line) for line in [*head.split(b"\r\n"), b""]]
    message = decoder.body(body)
    set_up_limits = rtsp.SetUpLimits(frozenset({"clip", "exam"}), 64, 4)
    requested = rtsp.parse_set_up(message, 1_000_000, set_up_limits) if message.method == "SETUP" else None
    return [lengths[-1], to_plain(message), request_kind(requested), to_plain(requested)]


def request_kind(requested: SessionRequested | None) -> str:
    """Return the kind of a set-up as a label that does not depend on class names."""
    if requested is None:
        return "none"
    return "plays already" if isinstance(requested.request, SessionPlaying) else "asks"


def written_edge_messages() -> dict[str, bytes]:
    """Return every type of message to an edge server."""
    attempt = AttemptRequest(SESSION, "exam", "lesson-\u00e9", 2, 1_500, b"v=0\x00\xff")
    return {
        "set up": edge_messages.set_up(attempt),
        "heard": edge_messages.acknowledge(SESSION),
        "new rung": edge_messages.change_rung(SESSION, 3),
        **{
            f"release: {each.value}": edge_messages.release(SESSION, each)
            for each in termination.TerminationReason
        },
    }


def edge_frames() -> dict[str, bytes]:
    """Return every type of message from an edge server."""
    report = b"outstanding:3;x0:0.5;x1:0.25;odd:1;x0:nan"
    topics = (b"quality", b"profile", b"nic", b"tor", b"odd")
    frames = {
        "answer": (
            edge_messages.ANSWER,
            {edge_messages.DESCRIPTION: b"v=0\x00\xff", edge_messages.REPORT: report},
        ),
        "answer, no report": (edge_messages.ANSWER, {edge_messages.DESCRIPTION: b""}),
        **{
            f"release {cause}": (
                edge_messages.RELEASE,
                {edge_messages.CAUSE: bytes((cause,)), edge_messages.REPORT: report},
            )
            for cause in (16, 31, 34, 41, 47, 102)
        },
        **{
            f"note {each.decode()}": (
                edge_messages.NOTIFICATION,
                {edge_messages.TOPIC: each, edge_messages.VALUE: b"0.75"},
            )
            for each in topics
        },
        "progress": (edge_messages.PROGRESS, {}),
        "heard": (edge_messages.ACK, {}),
        "tested": (edge_messages.CONNECTION_TESTED, {}),
    }
    return {
        label: edge_messages.encode(kind, SESSION, parameters) for label, (kind, parameters) in frames.items()
    }


def read_edge(raw: str) -> list[Any]:
    message = edge_messages.decode(bytes.fromhex(raw))
    return [to_plain(message), to_plain(edge_messages.to_dispatcher_message("edge-1", message))]


def read_coordinator(case: dict[str, Any]) -> Any:
    return to_plain(endpoint_events.parse(case["text"].encode(), case["after"]))


def read_cmcd(case: dict[str, Any]) -> list[Any]:
    keys = cmcd.parse_keys(case["headers"], case["query"])
    return [keys, to_plain(cmcd.to_player_hint(SESSION, keys))]


def read_cmsd(case: dict[str, Any]) -> list[Any]:
    headers = case["headers"]
    static = cmsd.parse_static(headers[cmsd.STATIC]) if cmsd.STATIC in headers else None
    dynamic = cmsd.parse_dynamic(headers[cmsd.DYNAMIC]) if cmsd.DYNAMIC in headers else None
    return [static, to_plain(dynamic), to_plain(cmsd.to_server_hint("node-1", headers))]


def read_node(case: dict[str, Any]) -> Any:
    if "status" in case:
        return to_plain(media_node_messages.parse_answer("node-1", SESSION, case["status"], b"v=0"))
    return to_plain(media_node_messages.parse_events("node-1", case["text"].encode()))


def simulator_actions() -> dict[str, Action]:
    """Return every action that is sent to the simulator."""
    return {
        "place": ForwardAttempt(SESSION, "h0:1", 250_000),
        "rung": SetRung(SESSION, 2),
        "reject": RejectSession(SESSION),
        "reject, stay away": RejectSession(SESSION, 90_000, "reason"),
        "error": FailSession(SESSION),
        "timer": StartTimer(4, 1_000),
        "follow": Subscribe(),
        "record": LogMessage("one\n  line"),
    }


def signing_key() -> Ed25519PrivateKey:
    return Ed25519PrivateKey.from_private_bytes(bytes(range(32)))


def entitled_seat() -> seat_model.Seat:
    return seat_model.Seat(
        "seat-a", "viewer-a", "tenant-a", "lesson-a", "exam", 1_700_000_000, 1_700_000_060, 1_700_003_600, 2
    )


def signed_token() -> str:
    return sign(entitled_seat(), "golden", "k1", signing_key())


def read_token(token: str) -> seat_model.Seat:
    keys = {"k1": PublicKey("k1", signing_key().public_key())}
    return TokenVerifier("golden", keys).verify(token, 1_700_000_100)


def read_cells_file(path: Path) -> Any:
    """Return the numbers of a cells file by position: budgets of tenants and cells, and shares."""
    plan = cells_plan_file.parse(tomllib.loads(path.read_text(encoding="utf-8")))
    return to_plain([plan.tenant, [cell.limits for cell in plan.cells.values()], plan.fair_share])


def read_peers_file(path: Path) -> Any:
    peers_config = configuration.read_peers(path)
    assert peers_config is not None
    return to_plain(
        [
            peers_config.listen,
            peers_config.seeds,
            peers_config.detection_rules,
            peers_config.quorum_rules,
            peers_config.control,
            peers_config.offers,
            peers_config.address_overrides,
            peers_config.retry_after_us,
        ]
    )


def read_tenants_file(path: Path) -> Any:
    return to_plain(configuration.read_tenants(path))


def command_apps() -> dict[str, typer.Typer]:
    return {
        "lotuspick": cli.app,
        "lotuspick cells": cells_commands.app,
        "lotuspick keys": keys_commands.app,
        "lotuspick members": members_commands.app,
        "lotuspick seats": seats_commands.app,
    }


# ---- values and files ---------------------------------------------------------------------------------------


def to_plain(value: Any) -> Any:
    """Convert a value for JSON: dataclasses to lists of values, bytes to hex, enumerations to their values."""
    if dataclasses.is_dataclass(value) and not isinstance(value, type):
        # A field that is not compared is no part of the message: the source of a request is its connection.
        return [to_plain(getattr(value, each.name)) for each in dataclasses.fields(value) if each.compare]
    if isinstance(value, Enum):
        return value.value
    if isinstance(value, bytes):
        return value.hex()
    if isinstance(value, dict):
        return {str(key): to_plain(each) for key, each in value.items()}
    if isinstance(value, list | tuple):
        return [to_plain(each) for each in value]
    return value


def read_records(path: Path) -> dict[str, dict[str, str]]:
    """Read all records of an LMDB environment as stored, by table and key."""
    with lmdb.open(str(path), readonly=True, max_dbs=8) as environment, environment.begin() as transaction:
        tables = [key for key, _ in transaction.cursor()]
        return {
            table.decode(): {
                key.decode(): row.hex()
                for key, row in transaction.cursor(environment.open_db(table, transaction, create=False))
            }
            for table in tables
        }


def golden(name: str) -> Any:
    """Load recorded values."""
    return json.loads((DATA / name).read_text(encoding="utf-8"))


def golden_text(name: str) -> str:
    return (DATA / name).read_bytes().decode("utf-8")


def to_hex(frames: dict[str, bytes]) -> dict[str, str]:
    return {label: raw.hex() for label, raw in frames.items()}


def command_parameters(app: typer.Typer) -> dict[str, Any]:
    """Return the arguments, in order, and the options of each command by name."""
    group = typer.main.get_command(app)
    commands = getattr(group, "commands", {"": group})
    return {
        name: {
            "arguments": [each.name for each in command.params if each.param_type_name == "argument"],
            "options": sorted(
                option
                for each in command.params
                if each.param_type_name == "option"
                for option in (*each.opts, *each.secondary_opts)
            ),
        }
        for name, command in sorted(commands.items())
    }


def run_command(app: typer.Typer, *arguments: str) -> str:
    """Return the output of a command, which must exit with status 0."""
    done = CliRunner().invoke(app, list(arguments))
    if done.exit_code:
        raise AssertionError(f"{arguments}: {done.exit_code}: {done.output}")
    return done.output


class Golden(unittest.TestCase):
    maxDiff = None

    def temporary_folder(self) -> Path:
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        return Path(directory.name)

    def copy_store(self, name: str) -> Path:
        """Copy a recorded store to a temporary folder, so that a test can write to it."""
        return Path(shutil.copytree(DATA / name, self.temporary_folder() / name))


class Stores(Golden):
    def test_seat_store_recorded_is_read_with_every_value(self) -> None:
        path = self.copy_store("seats")
        self.assertEqual(seat_store.read_records(path), seat_records())
        store = seat_store.SeatStore(path, 1, sync=False)
        self.addCleanup(store.close)
        self.assertEqual(store.load(), seat_records())

    def test_seat_store_recorded_holds_the_listed_records(self) -> None:
        self.assertEqual(read_records(self.copy_store("seats")), golden("records.json")["seats"])

    def test_seat_store_written_again_has_the_same_records(self) -> None:
        path = self.temporary_folder() / "store"
        write_seat_store(path)
        self.assertEqual(read_records(path), golden("records.json")["seats"])

    def test_seat_ledger_restored_from_recorded_store_has_the_recorded_changes(self) -> None:
        ledger = seat_ledger.Ledger()
        changed = ledger.restore(seat_store.read_records(self.copy_store("seats")))
        self.assertEqual(
            {each.seat: seat_store.pack(each).hex() for each in changed}, golden("records.json")["restored"]
        )

    def test_member_store_recorded_is_read_with_every_value(self) -> None:
        store = StateMachineStore(self.copy_store("members"), 1, sync=False)
        self.addCleanup(store.close)
        expected = {key: text.encode() for key, text in golden("records.json")["member values"].items()}
        self.assertEqual(store.load(), expected)
        self.assertEqual(
            sent_messages(member_conversation(store.load())), golden("conversations.json")["second life"]
        )

    def test_member_store_recorded_holds_the_listed_records(self) -> None:
        self.assertEqual(read_records(self.copy_store("members")), golden("records.json")["members"])

    def test_member_store_written_again_has_the_same_records(self) -> None:
        path = self.temporary_folder() / "store"
        write_member_store(path)
        self.assertEqual(read_records(path), golden("records.json")["members"])


class BetweenBrokers(Golden):
    def test_frames_encoded_have_the_recorded_bytes(self) -> None:
        expected = golden("frames.json")
        encoded = {
            label: peer_connections.ENCODE(each)
            for label, each in (fleet_frames() | fleet_datagrams()).items()
        }
        self.assertEqual(to_hex(encoded), expected)

    def test_frames_recorded_are_decoded_to_their_messages(self) -> None:
        expected = golden("frames.json")
        for label, frame in fleet_frames().items():
            with self.subTest(label):
                self.assertEqual(peer_connections.FRAME_DECODER.decode(bytes.fromhex(expected[label])), frame)
        for label, datagram in fleet_datagrams().items():
            with self.subTest(label):
                self.assertEqual(
                    peer_connections.DATAGRAM_DECODER.decode(bytes.fromhex(expected[label])), datagram
                )

    def test_every_kind_of_message_is_recorded(self) -> None:
        kinds = {type(each) for each in fleet_messages().values()}
        self.assertEqual(kinds, set(fleet_model.Message.__args__))
        self.assertEqual({type(each) for each in fleet_news()}, set(fleet_model.MembershipUpdate.__args__))

    def test_broker_that_starts_and_joins_sends_the_recorded_messages(self) -> None:
        self.assertEqual(sent_messages(member_conversation({})), golden("conversations.json")["first life"])

    def test_digest_of_the_same_beliefs_is_the_recorded_number(self) -> None:
        digest = golden("conversations.json")["digest"]
        self.assertEqual(member_digest_answers(digest), [])
        self.assertEqual(len(member_digest_answers(digest + 1)), 1)


class Operators(Golden):
    def test_answers_on_the_control_port_are_the_recorded_lines(self) -> None:
        self.assertEqual(control_port_answers(self.temporary_folder()), golden("control.json"))

    def test_members_commands_print_the_recorded_text(self) -> None:
        answers = golden("control.json")
        printed = {}
        for label, arguments in (
            ("show", ["show"]),
            ("explain", ["explain", "broker-b"]),
            ("drain", ["drain", "broker-c"]),
        ):
            with mock.patch.object(
                members_commands, "send_request", lambda *_, label=label: json.loads(answers[label])
            ):
                printed[label] = run_command(members_commands.app, *arguments, "--control", "127.0.0.1:1")
        self.assertEqual(printed, golden("members-printed.json"))

    def test_commands_have_the_recorded_parameters(self) -> None:
        found = {name: command_parameters(app) for name, app in command_apps().items()}
        self.assertEqual(found, golden("commands.json"))

    def test_files_of_operators_are_read_to_the_recorded_values(self) -> None:
        found = {
            "cells": read_cells_file(DATA / "cells.toml"),
            "peers": read_peers_file(DATA / "peers.toml"),
            "tenants": read_tenants_file(DATA / "tenants.toml"),
        }
        self.assertEqual(found, golden("files.json"))

    def test_reasons_of_quorum_states_are_the_recorded_texts(self) -> None:
        self.assertEqual(fleet_reasons(), golden("reasons.json"))

    def test_values_of_enumerations_are_the_recorded_ones(self) -> None:
        self.assertEqual(enumeration_values(), golden("words.json"))


class Settling(Golden):
    def test_settled_ledgers_written_are_the_recorded_lines(self) -> None:
        into = self.temporary_folder() / "settled.jsonl"
        broker = self.copy_store("seats")
        printed = run_command(
            seats_commands.app, "settle", f"b1={broker}", f"b2={broker}", "--into", str(into)
        )
        self.assertEqual(into.read_bytes(), (DATA / "settled.jsonl").read_bytes())
        self.assertEqual(printed, golden_text("settle-printed.txt"))

    def test_settled_ledgers_recorded_are_read_and_written_alike(self) -> None:
        merged = seats_commands.read_settled(DATA / "settled.jsonl")
        expected = {(broker, each.seat): each for broker in ("b1", "b2") for each in seat_records()}
        self.assertEqual(merged, expected)
        path = self.temporary_folder() / "again.jsonl"
        seats_commands.write_settled(path, merged)
        self.assertEqual(path.read_bytes(), (DATA / "settled.jsonl").read_bytes())

    def test_seats_show_prints_the_recorded_text(self) -> None:
        path = self.copy_store("seats")
        printed = run_command(seats_commands.app, "show", str(path))
        for record in seat_records():
            printed += run_command(seats_commands.app, "show", str(path), record.seat)
        self.assertEqual(printed, golden_text("show-printed.txt"))

    def test_list_of_revoked_seats_is_read_and_written_alike(self) -> None:
        self.assertEqual(
            entitlement.read_revoked(DATA / "revoked.jsonl", 0), {"seat-a": 2**40, "seat-b": 2**39}
        )
        path = self.temporary_folder() / "revoked.jsonl"
        path.write_bytes((DATA / "revoked.jsonl").read_bytes())
        self.assertEqual(
            run_command(seats_commands.app, "revoke", "seat-b", "--list", str(path)), "2 seats revoked\n"
        )
        self.assertEqual(path.read_bytes(), (DATA / "revoked.jsonl").read_bytes())

    def test_list_of_proofs_is_read_to_its_values(self) -> None:
        self.assertEqual(entitlement.read_proofs(DATA / "proofs.jsonl"), {"s-c": True, "s-x": False})


class Tokens(Golden):
    def test_claims_of_a_seat_are_the_recorded_ones(self) -> None:
        self.assertEqual(entitled_seat().claims("golden"), golden("token.json")["claims"])
        self.assertEqual(seat_model.parse_claims(golden("token.json")["claims"]), entitled_seat())

    def test_token_signed_again_has_the_recorded_bytes(self) -> None:
        self.assertEqual(signed_token(), golden("token.json")["token"])

    def test_token_recorded_is_read_to_its_seat(self) -> None:
        self.assertEqual(read_token(golden("token.json")["token"]), entitled_seat())

    def test_keys_recorded_are_read_and_written_alike(self) -> None:
        path = self.temporary_folder()
        (path / "keys.json").write_bytes((DATA / "keys.json").read_bytes())
        folder = key_folder.KeyFolder(path)
        found = [(each.kid, each.from_s, each.until_s, each.withdrawn) for each in folder.load().values()]
        self.assertEqual(
            found, [("k1", 1_700_000_000, 1_700_086_400, False), ("k2", 1_700_000_100, 2**40, True)]
        )
        folder.withdraw("k2")
        self.assertEqual((path / "keys.json").read_bytes(), (DATA / "keys.json").read_bytes())


class Viewers(Golden):
    def test_rtsp_messages_written_have_the_recorded_bytes(self) -> None:
        found = {label: raw.decode("latin-1") for label, raw in rtsp_messages().items()}
        self.assertEqual(found, golden("rtsp-written.json"))

    def test_rtsp_messages_read_give_the_recorded_values(self) -> None:
        for label, case in golden("rtsp-read.json").items():
            with self.subTest(label):
                self.assertEqual(read_rtsp(case["text"]), case["values"])

    def test_cmcd_read_gives_the_recorded_values(self) -> None:
        for label, case in golden("cmcd.json").items():
            with self.subTest(label):
                self.assertEqual(read_cmcd(case), case["values"])


class Nodes(Golden):
    def test_edge_messages_written_have_the_recorded_bytes(self) -> None:
        self.assertEqual(to_hex(written_edge_messages()), golden("edge-written.json"))

    def test_edge_messages_read_give_the_recorded_values(self) -> None:
        recorded = golden("edge-read.json")
        self.assertEqual(to_hex(edge_frames()), {label: case["bytes"] for label, case in recorded.items()})
        for label, case in recorded.items():
            with self.subTest(label):
                self.assertEqual(read_edge(case["bytes"]), case["values"])

    def test_node_answers_and_events_read_give_the_recorded_values(self) -> None:
        for label, case in golden("nodes.json").items():
            with self.subTest(label):
                self.assertEqual(read_node(case), case["values"])

    def test_cmsd_read_gives_the_recorded_values(self) -> None:
        for label, case in golden("cmsd.json").items():
            with self.subTest(label):
                self.assertEqual(read_cmsd(case), case["values"])

    def test_coordinator_events_read_give_the_recorded_values(self) -> None:
        for label, case in golden("coordinator.json").items():
            with self.subTest(label):
                self.assertEqual(read_coordinator(case), case["values"])


class Simulator(Golden):
    def test_simulator_transcript_is_answered_by_the_recorded_bytes(self) -> None:
        answered = io.StringIO()
        simulator.serve(io.StringIO(golden_text("simulator-in.txt")), answered)
        self.assertEqual(answered.getvalue(), golden_text("simulator-out.txt"))

    def test_simulator_actions_are_written_as_the_recorded_lines(self) -> None:
        found = {label: simulator.encode(each) for label, each in simulator_actions().items()}
        self.assertEqual(found, golden("simulator-actions.json"))
