"""Reserved ports, which let a process listen on the same port after a restart."""

from __future__ import annotations

import random
import socket

PORT_RANGE = (10_000, 32_000)  # outside the kernel's range of ephemeral ports


class ReservedPort:
    """A port of the loopback address that is reserved until :meth:`close`.

    The port is bound without listening, so that only a process that binds this number explicitly gets it.
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
        # Lets another process bind the port from now on.
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.number: int = self._socket.getsockname()[1]

    def close(self) -> None:
        """Release the port."""
        self._socket.close()
