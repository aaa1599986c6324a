"""Actor in place of an edge server that speaks the platform's binary frames."""

from __future__ import annotations

import queue
import socket
import struct
import threading
import time
from typing import TYPE_CHECKING, Any

from scenario_actor import PATIENCE, Actor, name, number, reset

if TYPE_CHECKING:
    from scenario import World

KINDS = {"SETUP": 1, "ANSWER": 9, "RELEASE": 12, "HEARD": 16, "NOTE": 44, "RUNG": 60}
CODES = {
    "class": 100,
    "wait": 102,
    "title": 108,
    "topic": 114,
    "report": 118,
    "rung": 122,
    "figure": 124,
    "cause": 128,
    "body": 130,
}


class Edge(Actor):
    """One edge server: a listener, or a port that refuses, or one on which nothing ever comes up."""

    def __init__(self, world: World, label: str, state: str) -> None:
        super().__init__(world, label)
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        self.filled: set[Any] = set()
        self.opened: queue.Queue[None] = queue.Queue()  # apart: connections race with what is said on others
        self.connections: list[socket.socket] = []
        self.readers: dict[socket.socket, threading.Thread] = {}
        self.fillers: list[socket.socket] = []
        self.opened_ms = 0  # when it began to take connections, once it had not
        if state == "refused":
            self.listener.close()
        elif state == "silent":
            self.fall_silent()
        else:
            self.listener.listen(16)
            self.thread(self.accept)

    def fall_silent(self) -> None:
        """With its queue full the kernel lets no further connection come up."""
        self.listener.listen(0)
        for _ in range(4):
            self.fillers.append(socket.socket())
            self.fillers[-1].setblocking(False)
            self.fillers[-1].connect_ex(self.listener.getsockname())
        self.filled = {filler.getsockname() for filler in self.fillers}

    def take(self) -> None:
        """Take connections again. One that is being dialled comes up when the kernel tries the next time."""
        self.opened_ms = int(time.time() * 1_000)
        for filler in self.fillers:
            filler.close()
        self.listener.listen(16)
        self.thread(self.accept)

    def lost(self, why: str) -> None:
        """Not told: it would race with the next connection, which tells enough."""

    def accept(self) -> None:
        while True:
            connection, address = self.listener.accept()
            if address in self.filled:
                connection.close()
                continue
            self.readers[connection] = self.worker(self.read, connection)
            self.connections.append(connection)
            self.readers[connection].start()
            self.opened.put(None)

    def expect(self, kind: str, session: str, fields: dict[str, str]) -> None:
        if kind != "OPENED":
            super().expect(kind, session, fields)
            return
        try:
            self.opened.get(timeout=PATIENCE)
        except queue.Empty:
            raise AssertionError(f"{self.label} got no connection") from None

    def read(self, connection: socket.socket) -> None:
        with connection.makefile("rb") as stream:
            self.hear(stream)

    def hear(self, stream: Any) -> None:
        while head := stream.read(2):
            frame = stream.read(struct.unpack(">H", head)[0])
            fields, at = {}, 9
            while at < len(frame):
                length = struct.unpack(">H", frame[at + 1 : at + 3])[0]
                value = frame[at + 3 : at + 3 + length]
                key = next(key for key, code in CODES.items() if code == frame[at])
                fields[key] = str(value[0]) if key == "cause" else value.decode()
                at += 3 + length
            kind = next(kind for kind, code in KINDS.items() if code == frame[0])
            if kind != "HEARD":
                self.heard.put((kind, name(frame[1:9].hex()), fields))

    def send(self, kind: str, session: str, fields: dict[str, str]) -> None:
        if kind == "OPEN":
            self.take()
            return
        connection = self.connections[-1]
        if kind == "RAW":
            connection.sendall(fields["raw"].encode("latin-1"))
            return
        frame = bytes((KINDS[kind],)) + bytes.fromhex(number(session))
        for key, text in fields.items():
            value = bytes((int(text),)) if key == "cause" else text.encode()
            frame += struct.pack(">BH", CODES[key], len(value)) + value
        connection.sendall(struct.pack(">H", len(frame)) + frame)

    def close(self, how: str = "") -> None:
        """In order, or with ``reset`` as when a process dies; ``all`` takes no new connection either. A machine
        that goes ``silent`` keeps what is open and lets nothing new come up, until ``send OPEN``; with its ``door``
        closed it keeps what is open and refuses all else."""
        if how == "silent":
            address = self.listener.getsockname()
            self.listener.shutdown(socket.SHUT_RDWR)
            self.listener.close()
            self.listener = socket.socket()
            self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self.listener.bind(address)
            self.fall_silent()
            return
        if how == "door":
            self.listener.shutdown(socket.SHUT_RDWR)
            self.listener.close()
            return
        if how == "all":
            self.listener.shutdown(socket.SHUT_RDWR)
            self.listener.close()
        for connection in self.connections:
            if how in ("reset", "all"):
                reset(connection, self.readers.pop(connection))
                continue
            connection.shutdown(socket.SHUT_RDWR)
            connection.close()
        self.connections = []
