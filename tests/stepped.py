"""A broker in this process, on real connections, whose every look the test makes: its timers and its sockets, in either
order, on a clock that the test may put forward. That is what a process that was held up does: its timers are due before it
has looked at what came meanwhile."""

from __future__ import annotations

import json
import os
import socket
import tempfile
import time
import unittest
from collections.abc import Callable
from pathlib import Path
from typing import Any
from unittest.mock import patch

from scenario import PATIENCE, SETTINGS
from twisted.internet.epollreactor import EPollReactor

from lotuspick.program.daemon import Daemon
from lotuspick.program.serve import Files
from lotuspick.transport import sockets
from lotuspick.transport.sockets import now_us


class Stepped(unittest.TestCase):
    hints = False

    def setUp(self) -> None:
        clock = patch.object(sockets, "MONOTONIC_TO_UNIX_NS", sockets.MONOTONIC_TO_UNIX_NS)
        clock.start()
        self.addCleanup(clock.stop)
        self.reactor = EPollReactor()
        self.reactor.seconds = lambda: now_us() / 1e6  # type: ignore[method-assign]
        self.addCleanup(self._end)
        self.stopped = False
        self.reactor.stop = lambda: setattr(self, "stopped", True)  # type: ignore[method-assign]
        self.edge, self.coordinator = self.listen(), self.listen()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = Path(folder.name, "config.json")
        entry = {
            "id": "s-e0",
            "addr": f"127.0.0.1:{self.edge.getsockname()[1]}",
            "zone": "a",
            "kind": "box",
            "cell": 0,
            "state": "in_service",
            "weight": 1,
            "started_ms": 0,
        }
        path.write_text(
            json.dumps(
                {
                    "name": "n0",
                    "listen": "127.0.0.1:0",
                    "seed": "1",
                    "settings": SETTINGS,
                    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                    "coordinator": f"127.0.0.1:{self.coordinator.getsockname()[1]}",
                    "known": {
                        "index": 1,
                        "updates": [
                            {"index": 1, "endpoints": {"version": 1, "full": True, "servers": [entry]}}
                        ],
                    },
                }
            )
        )
        front = Path(folder.name, "hints.toml")
        front.write_text('enabled = true\nlisten = "127.0.0.1:0"\n')
        files = Files(path, front if self.hints else None)
        with patch.dict(os.environ, {"PROXY_NAME": "n0"}, clear=False):
            for key in ("PROXY_CONFIG", "PROXY_LISTEN", "PROXY_NAME"):
                os.environ.pop(key, None)
            self.daemon = Daemon(files.load(), self.reactor, files.load)
        self.daemon.start()
        self.port = self.daemon.listener.getHost().port

    def _end(self) -> None:
        for each in self.reactor.removeAll():
            if hasattr(each, "connectionLost") and each is not self.reactor.waker:
                with patch.object(self.reactor, "callLater"):
                    each.stopReading()
                    each.socket.close() if hasattr(each, "socket") else None
        self.reactor._poller.close()

    def listen(self) -> socket.socket:
        made = socket.socket()
        self.addCleanup(made.close)
        made.bind(("127.0.0.1", 0))
        made.listen(16)
        made.settimeout(PATIENCE)
        return made

    def call(self, port: int = 0) -> socket.socket:
        """A viewer's connection."""
        made = socket.create_connection(("127.0.0.1", port or self.port), timeout=PATIENCE)
        self.addCleanup(made.close)
        return made

    def held_up(self, seconds: float) -> None:
        """So much time passes in which this process looks at nothing."""
        sockets.MONOTONIC_TO_UNIX_NS += int(seconds * 1e9)

    def timers(self) -> None:
        """Whatever is due runs, before anything is looked at."""
        self.reactor.runUntilCurrent()

    def until(self, what: Callable[[], Any]) -> Any:
        """Go on in good order until something is so."""
        end_s = time.monotonic() + PATIENCE
        while not (found := what()):
            self.assertLess(time.monotonic(), end_s, "it never came")
            self.reactor.doIteration(0.01)
            self.reactor.runUntilCurrent()
        return found

    def take(self) -> socket.socket:
        """The connection that the broker opens to the edge server."""
        self.edge.settimeout(0.0)

        def come() -> socket.socket | None:
            try:
                return self.edge.accept()[0]
            except BlockingIOError:
                return None

        made: socket.socket = self.until(come)
        self.addCleanup(made.close)
        return made

    def hears(self, connection: socket.socket, text: bytes) -> None:
        """The broker says this there."""
        connection.settimeout(0.0)
        heard = bytearray()

        def come() -> bool:
            try:
                heard.extend(connection.recv(65536))
            except BlockingIOError:
                pass
            return text in heard

        self.until(come)
