"""Fake media nodes that spoil a part of what they do: ``fake_nodes COUNT SEED LOG FAULTS``.

They speak the platform's edge protocol and log each set-up that ran: the one record that the auditor
takes as truth. The description of a set-up is ``seat=NAME``, where a portal would put its own matter.
What happens to a set-up is drawn from its session's id alone, so that the same seed has the same faults.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import sys
import time
from collections.abc import Mapping
from enum import StrEnum
from pathlib import Path
from typing import Any, TextIO

from xxhash import xxh3_64_intdigest

from lotuspick.lab.seats.audit import OVER, RAN
from lotuspick.protocol import edge_messages

LATE_S = 3.2
"""After the time within which a viewer has to be answered."""
QUEUED_S = 2.5
INTERRUPTED_AFTER_S = 0.5
LOG_FLUSH_S = 0.2
CAUSE_REJECTED, CAUSE_INTERRUPTED, CAUSE_SERVER_ERROR, CAUSE_NOT_STARTED = 34, 41, 47, 102
SEAT_PREFIX = "seat="
DESCRIPTION = b"v=0"
MALFORMED_FRAME = b"\xff" * 20
HASH_RANGE = 2**64


class NodeFault(StrEnum):
    """What a node does to a set-up in place of running it and answering."""

    FULL = "full"
    """Rejected unseen: proof that it never ran."""
    QUEUED = "queued"
    """Runs later, unless it is cancelled before: then proof that it never ran."""
    ERROR = "error"
    """Ran, and says that it failed."""
    LOST = "lost"
    """Ran, and no answer comes."""
    LATE = "late"
    """Ran, and the answer comes after the viewer had to be told."""
    DOUBLED = "doubled"
    """Ran, and answers twice."""
    BREAK = "break"
    """Plays, and is interrupted after a while."""
    SPOILT = "spoilt"
    """Ran, and the answer is malformed: costs the connection, with all sessions on it."""
    RESET = "reset"
    """Ran, and the connection is reset."""


FAULT_SHARES: dict[str, float] = {
    NodeFault.FULL: 0.02,
    NodeFault.QUEUED: 0.003,
    NodeFault.ERROR: 0.003,
    NodeFault.LOST: 0.004,
    NodeFault.LATE: 0.004,
    NodeFault.DOUBLED: 0.01,
    NodeFault.BREAK: 0.01,
    NodeFault.SPOILT: 0.0001,
    NodeFault.RESET: 0.0001,
}
"""The usual share of set-ups that each fault strikes."""


class FakeNodeConnection(asyncio.Protocol):
    """One connection of a broker to a node. Sessions end with it, as on the platform.

    Args:
        node: The node's name.
        seed: With a session's id, it draws the fault.
        fault_shares: Share of set-ups that each fault strikes.
        log: Where set-ups that ran and sessions that ended are logged.
    """

    def __init__(self, node: str, seed: int, fault_shares: Mapping[str, float], log: TextIO) -> None:
        self._node = node
        self._seed = seed
        self._fault_shares = fault_shares
        self._log = log
        self._buffer = b""
        self._queued: dict[str, asyncio.TimerHandle] = {}
        """By session: set-ups that run later."""
        self._playing: dict[str, str] = {}
        """Seats by session."""

    # ---- the connection -----------------------------------------------------------------------------------

    def connection_made(self, transport: Any) -> None:
        """Take set-ups from now on."""
        self._transport = transport
        self._loop = asyncio.get_running_loop()

    def connection_lost(self, exc: Exception | None) -> None:
        """End all sessions; what is queued never runs."""
        del exc
        for handle in self._queued.values():
            handle.cancel()
        for session, seat in self._playing.items():
            self._log_event(OVER, session, seat)
        self._playing.clear()

    def data_received(self, data: bytes) -> None:
        """Handle all complete messages."""
        prefix_bytes = edge_messages.LENGTH_PREFIX_BYTES
        self._buffer += data
        while len(self._buffer) >= prefix_bytes:
            end = prefix_bytes + int.from_bytes(self._buffer[:prefix_bytes], "big")
            if len(self._buffer) < end:
                return
            frame, self._buffer = self._buffer[prefix_bytes:end], self._buffer[end:]
            self._handle(edge_messages.decode(frame))

    def _send(self, frame: bytes) -> None:
        if not self._transport.is_closing():
            prefix = len(frame).to_bytes(edge_messages.LENGTH_PREFIX_BYTES, "big")
            self._transport.write(prefix + frame)

    def _send_answer(self, session: str) -> None:
        parameters = {edge_messages.DESCRIPTION: DESCRIPTION}
        self._send(edge_messages.encode(edge_messages.ANSWER, session, parameters))

    def _send_release(self, session: str, cause: int) -> None:
        parameters = {edge_messages.CAUSE: bytes((cause,))}
        self._send(edge_messages.encode(edge_messages.RELEASE, session, parameters))

    def _log_event(self, event: str, session: str, seat: str) -> None:
        self._log.write(f"{event} {session} {seat} {self._node} {time.time():.3f}\n")

    # ---- sessions -----------------------------------------------------------------------------------------

    def _handle(self, message: edge_messages.Message) -> None:
        match message.kind:
            case edge_messages.RELEASE:
                self._release(message.session)
            case edge_messages.SET_UP:
                description = message.parameters[edge_messages.DESCRIPTION].decode()
                self._set_up(message.session, description.removeprefix(SEAT_PREFIX))

    def _release(self, session: str) -> None:
        if session in self._queued:  # now it never runs
            self._queued.pop(session).cancel()
            self._send_release(session, CAUSE_NOT_STARTED)
        elif session in self._playing:
            self._end(session)
        self._send(edge_messages.acknowledge(session))

    def _draw_fault(self, session: str) -> str:
        """The fault that strikes a session; empty for none."""
        drawn = xxh3_64_intdigest(f"{self._seed} {session}".encode()) / HASH_RANGE
        for fault, share in self._fault_shares.items():
            if drawn < share:
                return fault
            drawn -= share
        return ""

    def _set_up(self, session: str, seat: str) -> None:
        match self._draw_fault(session):
            case NodeFault.FULL:
                self._send_release(session, CAUSE_REJECTED)
            case NodeFault.QUEUED:
                self._queued[session] = self._loop.call_later(QUEUED_S, self._run_and_answer, session, seat)
            case NodeFault.DOUBLED:
                self._run_and_answer(session, seat)
                self._send_answer(session)
            case NodeFault.BREAK:
                self._run_and_answer(session, seat)
                self._loop.call_later(INTERRUPTED_AFTER_S, self._interrupt, session)
            case "":
                self._run_and_answer(session, seat)
            case fault:
                self._run(session, seat)
                self._spoil_answer(fault, session)

    def _spoil_answer(self, fault: str, session: str) -> None:
        """What comes in place of the answer to a set-up that ran."""
        match fault:
            case NodeFault.ERROR:
                self._end(session)
                self._send_release(session, CAUSE_SERVER_ERROR)
            case NodeFault.LATE:
                self._loop.call_later(LATE_S, self._send_answer, session)
            case NodeFault.SPOILT:
                self._send(MALFORMED_FRAME)
            case NodeFault.RESET:
                self._transport.abort()
            case NodeFault.LOST:
                pass

    def _run(self, session: str, seat: str) -> None:
        self._playing[session] = seat
        self._log_event(RAN, session, seat)

    def _run_and_answer(self, session: str, seat: str) -> None:
        self._queued.pop(session, None)
        self._run(session, seat)
        self._send_answer(session)

    def _end(self, session: str) -> None:
        self._log_event(OVER, session, self._playing.pop(session))

    def _interrupt(self, session: str) -> None:
        if session in self._playing:
            self._end(session)
            self._send_release(session, CAUSE_INTERRUPTED)


async def serve(count: int, seed: int, log: TextIO, fault_shares: Mapping[str, float]) -> None:
    """Serve nodes on ports of loopback, print the ports as a JSON list, and go on until the process ends."""
    ports = []
    for index in range(count):

        def connect(node: str = f"s-{index}") -> FakeNodeConnection:
            return FakeNodeConnection(node, seed, fault_shares, log)

        server = await asyncio.get_running_loop().create_server(connect, "127.0.0.1", 0)
        ports.append(server.sockets[0].getsockname()[1])
    print(json.dumps(ports), flush=True)
    while True:
        await asyncio.sleep(LOG_FLUSH_S)
        log.flush()


def main() -> None:
    """Serve what the command line asks for."""
    count, seed, log_path, fault_shares = sys.argv[1:]
    with Path(log_path).open("w", encoding="ascii") as log, contextlib.suppress(KeyboardInterrupt):
        asyncio.run(serve(int(count), int(seed), log, json.loads(fault_shares)))


if __name__ == "__main__":
    main()
