"""Opens idle connections: ``silent_crowd PORT COUNT``; prints the number opened after the last attempt."""

from __future__ import annotations

import contextlib
import socket
import sys
import time

CONNECT_TIMEOUT_S = 0.2
OPEN_DURATION_S = 1.0


def main() -> None:
    """Open the connections and keep them open for a fixed time."""
    port, count = int(sys.argv[1]), int(sys.argv[2])
    connections = []
    for _ in range(count):
        with contextlib.suppress(OSError):
            connections.append(socket.create_connection(("127.0.0.1", port), CONNECT_TIMEOUT_S))
    time.sleep(OPEN_DURATION_S)
    print(len(connections), flush=True)
    time.sleep(OPEN_DURATION_S)


if __name__ == "__main__":
    main()
