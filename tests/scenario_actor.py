"""What every actor of a scenario is: it hears things, and what is expected of it is compared with them."""

from __future__ import annotations

import contextlib
import http.client
import queue
import re
import socket
import struct
import threading
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from scenario import World

PATIENCE = 20.0  # a broker that says nothing for so long fails its scenario
QUIET = 0.4
Said = tuple[str, str, dict[str, str]]


def number(session: str) -> str:
    """``s1`` as 16 hex digits."""
    return f"{int(session[1:]):016x}" if re.fullmatch(r"s\d+", session) else session


def name(text: str) -> str:
    return f"s{int(text, 16)}" if re.fullmatch(r"[0-9a-f]{16}", text) else text


def like(value: str, wanted: str) -> bool:
    if wanted == "+":
        return value.isdigit() and int(value) > 0
    return wanted[1:] in value if wanted.startswith("~") else value == wanted


def reset(connection: socket.socket, reader: threading.Thread) -> None:
    """Close a connection with a reset. Whoever reads it is let go first: the kernel keeps it open for as long."""
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    with contextlib.suppress(OSError):  # its other side was faster
        connection.shutdown(socket.SHUT_RD)
    reader.join(PATIENCE)
    connection.close()


class Actor:
    """Hears things on threads of its own and keeps them until they are expected."""

    def __init__(self, world: World, label: str) -> None:
        self.world, self.label = world, label
        self.heard: queue.Queue[Said] = queue.Queue()

    def thread(self, work: Callable[..., None], *given: Any) -> threading.Thread:
        thread = self.worker(work, *given)
        thread.start()
        return thread

    def worker(self, work: Callable[..., None], *given: Any) -> threading.Thread:
        def guarded() -> None:
            try:
                work(*given)
            except (OSError, ValueError, http.client.HTTPException) as error:
                self.lost(type(error).__name__)

        return threading.Thread(target=guarded, daemon=True)

    def lost(self, why: str) -> None:
        self.heard.put(("CLOSED", "", {"why": why}))

    def expect(self, kind: str, session: str, fields: dict[str, str]) -> None:
        if kind == "NOTHING":
            try:
                raise AssertionError(f"{self.label} heard {self.heard.get(timeout=QUIET)}")
            except queue.Empty:
                return
        try:
            said = self.heard.get(timeout=PATIENCE)
        except queue.Empty:
            raise AssertionError(f"{self.label} heard nothing, not {kind} {session} {fields}") from None
        same = said[0] == kind and session in ("", said[1])
        if not same or not all(like(said[2].get(key, ""), value) for key, value in fields.items()):
            raise AssertionError(f"{self.label} heard {said}, not {kind} {session} {fields}")
