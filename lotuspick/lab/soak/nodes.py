"""Media nodes of a soak: ``nodes COUNT SEED LOG FAULTS``.

They speak the platform's edge protocol and record each set-up that ran and each session that is over. As the
protocol has it, sessions belong to no connection: a release goes out on the connection of the set-up, else on
any open one, and also on the next that opens. What happens to a set-up is drawn from its session's id.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import sys
import time
from pathlib import Path
from typing import Any, BinaryIO

import msgspec

from lotuspick.lab.soak.records import NodeEvent, NodeEventKind
from lotuspick.protocol import edge_messages

LOG_FLUSH_S = 0.1
ANSWER_S = (0.001, 0.03)
LIFE_S = (0.3, 2.5)
CAUSE_FINISHED, CAUSE_FULL, CAUSE_INTERRUPTED, CAUSE_SERVER_ERROR = 16, 34, 41, 47
FAULT_SHARES = {"full": 0.02, "error": 0.005, "silent": 0.005, "reset": 0.003}
"""Share of set-ups that a node rejects, fails, leaves without an answer, or answers with a reset."""
BREAK_SHARE = 0.1
"""Share of sessions that are cut in place of finishing."""


class MediaNode:
    """One media node: its sessions, and the connections over which it may speak of them."""

    def __init__(self, seed: int, log: BinaryIO) -> None:
        self.seed, self.log = seed, log
        self.connections: list[NodeConnection] = []
        self.playing: dict[str, NodeConnection] = {}
        """Sessions, with the connections of their set-ups."""
        self.pending_releases: list[tuple[str, int]] = []
        """To be sent on the next connection too."""

    def record(self, kind: NodeEventKind, session: str) -> None:
        """Write down what happens now."""
        self.log.write(msgspec.json.encode(NodeEvent(kind, time.time(), session)) + b"\n")

    def opened(self, connection: NodeConnection) -> None:
        """Take a new connection, and send the releases that wait for one."""
        self.connections.append(connection)
        pending, self.pending_releases = self.pending_releases, []
        for session, cause in pending:
            connection.send_release(session, cause)

    def set_up(self, connection: NodeConnection, session: str) -> None:
        """Run, reject or spoil a set-up."""
        draw = random.Random(f"{self.seed} {session}")
        share = draw.random()
        for fault, fault_share in FAULT_SHARES.items():
            if share < fault_share:
                self._spoil(fault, connection, session)
                return
            share -= fault_share
        self.record(NodeEventKind.RAN, session)
        self.playing[session] = connection
        loop = asyncio.get_running_loop()
        loop.call_later(draw.uniform(*ANSWER_S), self._answer, connection, session)
        cause = CAUSE_INTERRUPTED if draw.random() < BREAK_SHARE else CAUSE_FINISHED
        loop.call_later(ANSWER_S[1] + draw.uniform(*LIFE_S), self._finish, session, cause)

    def _spoil(self, fault: str, connection: NodeConnection, session: str) -> None:
        if fault == "full":
            connection.send_release(session, CAUSE_FULL)
            return
        self.record(NodeEventKind.RAN, session)
        self.record(NodeEventKind.OVER, session)
        if fault == "error":
            connection.send_release(session, CAUSE_SERVER_ERROR)
        elif fault == "reset":
            connection.transport.abort()

    def _answer(self, connection: NodeConnection, session: str) -> None:
        if session not in self.playing:
            return
        if connection.is_open:
            connection.send_answer(session)
        else:
            self._end(session)  # the set-up was given up with its connection

    def _finish(self, session: str, cause: int) -> None:
        if session not in self.playing:
            return
        own = self.playing[session]
        self._end(session)
        self.pending_releases.append((session, cause))
        connection = own if own.is_open else next((each for each in self.connections), None)
        if connection is not None:
            connection.send_release(session, cause)

    def release(self, session: str) -> None:
        """End a session that the broker has released."""
        if session in self.playing:
            self._end(session)

    def _end(self, session: str) -> None:
        del self.playing[session]
        self.record(NodeEventKind.OVER, session)


class NodeConnection(asyncio.Protocol):
    """One connection of a broker."""

    def __init__(self, node: MediaNode) -> None:
        self.node = node
        self.is_open = False
        self._buffer = b""

    def connection_made(self, transport: Any) -> None:
        """Take messages from now on."""
        self.transport, self.is_open = transport, True
        self.node.opened(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Send nothing more here."""
        del exc
        self.is_open = False
        self.node.connections.remove(self)

    def data_received(self, data: bytes) -> None:
        """Handle all complete messages."""
        prefix_bytes = edge_messages.LENGTH_PREFIX_BYTES
        self._buffer += data
        while len(self._buffer) >= prefix_bytes:
            end = prefix_bytes + int.from_bytes(self._buffer[:prefix_bytes], "big")
            if len(self._buffer) < end:
                return
            frame, self._buffer = self._buffer[prefix_bytes:end], self._buffer[end:]
            message = edge_messages.decode(frame)
            if message.kind == edge_messages.SET_UP:
                self.node.set_up(self, message.session)
            elif message.kind == edge_messages.RELEASE:
                self.node.release(message.session)
                self._send(edge_messages.acknowledge(message.session))

    def send_answer(self, session: str) -> None:
        """Say that a session plays."""
        self._send(edge_messages.encode(edge_messages.ANSWER, session, {edge_messages.DESCRIPTION: b"v=0"}))

    def send_release(self, session: str, cause: int) -> None:
        """Say that a set-up or a session is over."""
        parameters = {edge_messages.CAUSE: bytes((cause,))}
        self._send(edge_messages.encode(edge_messages.RELEASE, session, parameters))

    def _send(self, frame: bytes) -> None:
        if self.is_open:
            prefix = len(frame).to_bytes(edge_messages.LENGTH_PREFIX_BYTES, "big")
            self.transport.write(prefix + frame)


async def serve(count: int, seed: int, log: BinaryIO) -> None:
    """Serve nodes on ports of loopback, print the ports as a JSON list, and go on until the process ends."""
    ports = []
    for _ in range(count):
        node = MediaNode(seed, log)

        def connect(node: MediaNode = node) -> NodeConnection:
            return NodeConnection(node)

        server = await asyncio.get_running_loop().create_server(connect, "127.0.0.1", 0)
        ports.append(server.sockets[0].getsockname()[1])
    print(json.dumps(ports), flush=True)
    while True:
        await asyncio.sleep(LOG_FLUSH_S)
        log.flush()


def main() -> None:
    """Serve what the command line asks for; the last argument is not used by these nodes."""
    count, seed, log_path, _ = sys.argv[1:]
    with Path(log_path).open("wb") as log, contextlib.suppress(KeyboardInterrupt):
        asyncio.run(serve(int(count), int(seed), log))


if __name__ == "__main__":
    main()
