"""The viewer of one session that was requested over HTTP."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Any

from twisted.python.failure import Failure
from twisted.web import http

from lotuspick.routing.messages import ViewerConnectionClosed
from lotuspick.routing.termination import TerminationReason
from lotuspick.transport.sockets import closed_by_peer

if TYPE_CHECKING:
    from lotuspick.transport.http.http_server import HttpServer

TOKEN_REASON_PREFIX = "token-"  # of rejections for which the same token never becomes valid


class HttpPlayer:
    """The viewer of one session, as a :class:`lotuspick.routing.interfaces.ViewerConnection`.

    It outlives the HTTP request that set up the session.
    """

    def __init__(self, server: HttpServer, session: str, request: Any) -> None:
        self.server, self.session = server, session
        self.request: Any = request  # the set-up request, until it has a response
        self.is_open, self.last_message_us = True, 0
        self.end_requests: list[Any] = []  # requests that wait for the end of the session
        request.notifyFinish().addErrback(self._disconnected)

    @property
    def is_closed_by_viewer(self) -> bool:
        """Whether the viewer has closed the connection of the set-up, even if the close is still unread."""
        return not self.is_open or (
            self.request is not None and closed_by_peer(self.request.transport.fileno())
        )

    def served(self, session: str, description: bytes) -> None:
        """Answer that the session plays."""
        del session
        self._respond(http.OK, description)

    def rejected(self, session: str, retry_after_ms: int, reason: str = "") -> None:
        """Answer that the session was rejected: 403 if the same token never becomes valid, else 503."""
        del session
        if reason.startswith(TOKEN_REASON_PREFIX):
            self._respond(http.FORBIDDEN, reason.encode())
        else:
            self._respond(http.SERVICE_UNAVAILABLE, reason.encode(), retry_after_ms)
        self.server.session_ended(self, TerminationReason.REJECTED_BY_SERVER)

    def failed(self, session: str, reason: str = "") -> None:
        """Answer that the session failed; it may have run."""
        del session
        self._respond(http.INTERNAL_SERVER_ERROR, reason.encode())
        self.server.session_ended(self, TerminationReason.SERVER_ERROR)

    def released(self, session: str, reason: TerminationReason) -> None:
        """Notify the viewer that the session has ended."""
        del session
        self.server.session_ended(self, reason)

    def close_with_error(self, reason: str) -> None:
        """Do nothing: a session id in use is rejected before the request reaches the dispatcher."""

    def _disconnected(self, failure: Failure) -> None:
        """Cancel the set-up: its connection was closed before the response."""
        del failure
        if self.request is not None:
            self.request, self.is_open = None, False
            self.server.session_ended(self, TerminationReason.CANCELLED_BY_VIEWER)
            self.server.post(ViewerConnectionClosed(self))

    def _respond(self, status: int, body: bytes = b"", retry_after_ms: int | None = None) -> None:
        request, self.request = self.request, None
        if request is None:
            return
        if retry_after_ms is not None:
            request.setHeader("retry-after", str(max(1, math.ceil(retry_after_ms / 1_000))))
            if retry_after_ms > 0:
                request.setHeader("p-gap-ms", str(retry_after_ms))
        respond(request, status, body)


def respond(request: Any, status: int, body: bytes = b"") -> None:
    """Write a complete response, unless the connection is closed or the request already has a response."""
    if request._disconnected or request.finished:
        return
    request.setResponseCode(status)
    request.setHeader("content-type", "application/sdp" if status == http.OK else "text/plain")
    request.setHeader("cache-control", "no-store")
    if status == http.NO_CONTENT or request.method == b"HEAD":
        body = b""
    else:
        request.setHeader("content-length", str(len(body)))
    request.write(body)
    request.finish()
