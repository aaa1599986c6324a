"""A fake coordinator: an HTTP server whose endpoint list never changes."""

from __future__ import annotations

import http.server
import time
from typing import Any

LONG_POLL_S = 1.0
UNCHANGED = b'{"index": 1, "updates": []}'


class CoordinatorServer(http.server.ThreadingHTTPServer):
    """The HTTP server, on a free port; run ``serve_forever`` in a thread."""

    daemon_threads = True

    def __init__(self) -> None:
        super().__init__(("127.0.0.1", 0), LongPollHandler)
        self.stalled_until_s = 0.0
        """No poll is answered before this time of the monotonic clock."""

    @property
    def port(self) -> int:
        """Port on loopback."""
        return int(self.server_address[1])

    def handle_error(self, *_: Any) -> None:
        """Ignore errors: killed brokers abort their polls."""


class LongPollHandler(http.server.BaseHTTPRequestHandler):
    """Answers each poll, after a delay, with an empty list of updates."""

    protocol_version = "HTTP/1.1"

    def log_message(self, *_: Any) -> None:
        """Log nothing."""

    def do_GET(self) -> None:
        """Answer a poll."""
        time.sleep(LONG_POLL_S)
        stalled_until_s: float = self.server.stalled_until_s  # type: ignore[attr-defined]
        time.sleep(max(0.0, stalled_until_s - time.monotonic()))
        self.send_response(200)
        self.send_header("Content-Length", str(len(UNCHANGED)))
        self.end_headers()
        self.wfile.write(UNCHANGED)
