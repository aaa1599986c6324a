"""Stalls the broker around a flood of duplicate set-ups while paid requests are open.

Paid requests are sent on separate connections 0.1 s before the flood. Each flooding connection then sends
hundreds of copies of one set-up, for which the broker closes it. The broker's process is paused at a random
time near the start of the flood. Each paid request must receive exactly one answer within its time limit.
"""

from __future__ import annotations

import random
import selectors
import socket
import tempfile
import time
from collections import Counter
from dataclasses import dataclass
from pathlib import Path

from lotuspick.lab.fleet.site_settings import PAID_CLASS
from lotuspick.lab.rtsp import parse_messages
from lotuspick.lab.soak import judge
from lotuspick.lab.soak.scenario import STALL_DURATION_S, SoakScenario, Stall
from lotuspick.lab.soak.trial import BROKER, NODES, SoakRig
from lotuspick.lab.trial_result import Parameters, TrialResult

ROUNDS = 10
PAID_REQUESTS = 12
FLOOD_CONNECTIONS = 4
COPIES_PER_CONNECTION = 200
TIME_LEFT_S = 1.5
FLOOD_DELAY_S = 0.1
STALL_OFFSET_S = (-0.1, 0.1)
"""Start of the stall relative to the flood."""
ROUND_INTERVAL_S = 0.3
READ_BYTES = 65_536
QUIET_SCENARIO = SoakScenario(
    (), 0, 0, log_is_read=True, log_level="info", coordinator_stalls=False, viewers_cancel=False
)


@dataclass(slots=True)
class PaidRequest:
    """One paid request on a dedicated connection."""

    session: str
    connection: socket.socket
    sent_s: float
    received: bytes = b""
    answered_s: float = 0.0
    answers: int = 0

    def read(self) -> None:
        """Read available bytes and count the answers."""
        self.received += self.connection.recv(READ_BYTES)
        messages, self.received = parse_messages(self.received)
        for message in messages:
            if message.is_response and message.session == self.session:
                self.answers += 1
                self.answered_s = self.answered_s or time.monotonic()

    @property
    def is_lost(self) -> bool:
        """Whether the request has no answer within its time limit, or several answers."""
        in_time = self.answered_s - self.sent_s <= TIME_LEFT_S + judge.ANSWER_SLACK_S
        return self.answers != 1 or not in_time


def flood(world: Parameters, arm: Parameters, seed: int) -> TrialResult:
    """Run several rounds of a flood with a stall of the broker.

    Args:
        world: Not used.
        arm: Not used.
        seed: Seed of all random times.

    Returns:
        Counts of lost paid requests, paid requests, rounds, and brokers that logged a traceback.
    """
    del world, arm
    random_source = random.Random(f"flood {seed}")
    counts: Counter[str] = Counter()
    with tempfile.TemporaryDirectory() as folder:
        rig = SoakRig(Path(folder), QUIET_SCENARIO, seed)
        try:
            rig.start(BROKER)
            for number in range(ROUNDS):
                requests = _run_round(rig, random_source, number)
                counts["lost"] += sum(request.is_lost for request in requests)
                counts["requests"] += len(requests)
                counts["tries"] += 1
                time.sleep(ROUND_INTERVAL_S)
            counts["crashed"] = len(rig.crashed_brokers())
        finally:
            rig.close()
    return TrialResult({key: float(counts[key]) for key in ("lost", "requests", "tries", "crashed")}, {})


def _run_round(rig: SoakRig, random_source: random.Random, number: int) -> list[PaidRequest]:
    port = rig.rtsp_ports[BROKER].number
    planned_stall = Stall(
        FLOOD_DELAY_S + random_source.uniform(*STALL_OFFSET_S), random_source.uniform(*STALL_DURATION_S)
    )
    began_s = time.monotonic()
    requests = [
        _send_paid_request(port, f"{number:08x}{request_number:08x}")
        for request_number in range(PAID_REQUESTS)
    ]
    flooding_connections = [socket.create_connection(("127.0.0.1", port)) for _ in range(FLOOD_CONNECTIONS)]
    stalls_before_flood = planned_stall.after_s < FLOOD_DELAY_S
    if stalls_before_flood:
        _stall_at(rig, began_s + planned_stall.after_s)
    time.sleep(max(0.0, began_s + FLOOD_DELAY_S - time.monotonic()))
    for index, connection in enumerate(flooding_connections):
        connection.settimeout(TIME_LEFT_S)
        connection.sendall(_set_up_request(f"{number:08x}{0xF000 + index:08x}") * COPIES_PER_CONNECTION)
    if not stalls_before_flood:
        _stall_at(rig, began_s + planned_stall.after_s)
    time.sleep(planned_stall.duration_s)
    rig.resume(BROKER)
    _read_answers(requests)
    for connection in (*flooding_connections, *(request.connection for request in requests)):
        connection.close()
    return requests


def _stall_at(rig: SoakRig, at_s: float) -> None:
    time.sleep(max(0.0, at_s - time.monotonic()))
    rig.stall(BROKER)


def _send_paid_request(port: int, session: str) -> PaidRequest:
    connection = socket.create_connection(("127.0.0.1", port))
    connection.sendall(_set_up_request(session))
    return PaidRequest(session, connection, time.monotonic())


def _read_answers(requests: list[PaidRequest]) -> None:
    """Read until each request has an answer or the time limit has passed."""
    with selectors.DefaultSelector() as selector:
        for request in requests:
            selector.register(request.connection, selectors.EVENT_READ, request)
        end_s = time.monotonic() + TIME_LEFT_S + judge.ANSWER_SLACK_S
        while time.monotonic() < end_s and not all(request.answers for request in requests):
            for key, _ in selector.select(end_s - time.monotonic()):
                key.data.read()


def _set_up_request(session: str) -> bytes:
    home = int(session, 16) % NODES
    lines = [
        "SETUP rtsp://media/aa00 RTSP/1.0",
        "CSeq: 1",
        f"Session: {session}",
        f"P-Kind: {PAID_CLASS}",
        f"P-Time-Left: {TIME_LEFT_S * 1_000:.0f}",
        f"P-Path: home:{home};copies:3;top:2",
        "Content-Length: 3",
        "",
        "v=0",
    ]
    return "\r\n".join(lines).encode("ascii")
