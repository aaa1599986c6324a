"""Ports that are held for a process, so that it comes back to the same one after a restart."""

from __future__ import annotations

import random
import socket

PORT_RANGE = (10_000, 32_000)  # outside the range from which the kernel takes those of outgoing connections


class ReservedPort:
    """A port of the loopback address that nobody else takes meanwhile.

    It is bound here and not listened on, so that only who asks for it by its number gets it.
    """

    def __init__(self) -> None:
        random_source = random.SystemRandom()
        while True:
            self._socket = socket.socket()
            try:
                self._socket.bind(("127.0.0.1", random_source.randrange(*PORT_RANGE)))
                break
            except OSError:
                self._socket.close()
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)  # from now on another may bind it
        self.number: int = self._socket.getsockname()[1]

    def close(self) -> None:
        """Hold it no longer."""
        self._socket.close()
