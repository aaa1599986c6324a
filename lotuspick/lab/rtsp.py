"""A minimal RTSP client and parser for the lab. Only the heads of messages are parsed; bodies are skipped."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, NamedTuple

ANSWER_TIMEOUT_S = 6.0
RETRY_AFTER_MS = 300
"""Retry delay of a client after a request without an answer."""
STATUS_OK = 200
NO_STATUS = 0
"""Stands for the status code of a request without an answer."""
HEADER_END = b"\r\n\r\n"


class RtspMessage(NamedTuple):
    """The head of one message."""

    start_line: str
    headers: dict[str, str]
    """Values by lower-case name."""

    @property
    def is_response(self) -> bool:
        """Return whether it is a response rather than a request."""
        return self.start_line.startswith("RTSP/1.0")

    @property
    def status_text(self) -> str:
        """Return the status code of a response as text."""
        return self.start_line[9:12]

    @property
    def status(self) -> int:
        """Return the status code of a response."""
        return int(self.status_text)

    @property
    def reason(self) -> str:
        """Return the reason phrase of a response."""
        return self.start_line[13:].strip()

    @property
    def session(self) -> str:
        """Return the value of the ``Session`` header; empty if there is none."""
        return self.headers.get("session", "")


class RtspAnswer(NamedTuple):
    """The outcome of a request."""

    status: int
    """``NO_STATUS`` if the connection was lost or the answer timed out."""
    reason: str
    retry_after_ms: int


LOST = RtspAnswer(NO_STATUS, "lost", RETRY_AFTER_MS)
TIMED_OUT = RtspAnswer(NO_STATUS, "silent", RETRY_AFTER_MS)


def parse_messages(buffer: bytes) -> tuple[list[RtspMessage], bytes]:
    """Parse the complete messages at the start of a buffer; bodies are skipped.

    Returns:
        The messages in order, and the remaining bytes.
    """
    messages: list[RtspMessage] = []
    while (header_length := buffer.find(HEADER_END)) >= 0:
        start_line, *lines = buffer[:header_length].decode("ascii", "replace").split("\r\n")
        headers = parse_headers(lines)
        message_length = header_length + len(HEADER_END) + int(headers.get("content-length", "0"))
        if len(buffer) < message_length:
            break
        buffer = buffer[message_length:]
        messages.append(RtspMessage(start_line, headers))
    return messages, buffer


def parse_headers(lines: list[str]) -> dict[str, str]:
    """Return headers by lower-case name; the last value of a repeated name counts."""
    pairs = (line.partition(":") for line in lines)
    return {name.lower(): value.strip() for name, _, value in pairs}


class RtspConnection(asyncio.Protocol):
    """One client connection that is shared by many viewers, like the connection of a portal."""

    def __init__(self) -> None:
        self.connected = False
        self.on_session_ended: dict[str, Callable[[], None]] = {}
        """Callbacks by session, for when the broker ends the session or the connection is lost."""
        self._buffer = b""
        self._pending: dict[tuple[str, str], asyncio.Future[RtspAnswer]] = {}
        """Pending requests by CSeq and session."""

    def answer_received(self, cseq: str, session: str) -> None:
        """Hook that is called for each answer, including those without a pending request."""

    def connection_made(self, transport: Any) -> None:
        """Accept requests."""
        self.transport = transport
        self.connected = True

    def connection_lost(self, exc: Exception | None) -> None:
        """Complete all pending requests with ``LOST``, and end all sessions."""
        del exc
        self.connected = False
        for future in self._pending.values():
            if not future.done():
                future.set_result(LOST)
        for callback in list(self.on_session_ended.values()):
            callback()

    def data_received(self, data: bytes) -> None:
        """Match answers to requests; any other message ends the session in its ``Session`` header."""
        messages, self._buffer = parse_messages(self._buffer + data)
        for message in messages:
            if message.is_response:
                self._handle_answer(message)
            elif message.session in self.on_session_ended:
                self.on_session_ended[message.session]()

    def _handle_answer(self, message: RtspMessage) -> None:
        cseq = message.headers.get("cseq", "")
        self.answer_received(cseq, message.session)
        future = self._pending.get((cseq, message.session))
        if future is not None and not future.done():
            retry_after_ms = int(message.headers.get("p-gap-ms", "0"))
            future.set_result(RtspAnswer(message.status, message.reason, retry_after_ms))

    async def request(
        self,
        method: str,
        cseq: str,
        session: str,
        headers: dict[str, str],
        body: str = "",
        address: str = "session",
    ) -> RtspAnswer:
        """Send a request and wait for its answer; return ``LOST`` or ``TIMED_OUT`` if there is none."""
        if not self.connected:
            return LOST
        lines = [
            f"{method} rtsp://media/{address} RTSP/1.0",
            f"CSeq: {cseq}",
            f"Session: {session}",
            *(f"{name}: {value}" for name, value in headers.items()),
            f"Content-Length: {len(body)}",
            "",
            body,
        ]
        key = (cseq, session)
        future = self._pending[key] = asyncio.get_running_loop().create_future()
        self.transport.write("\r\n".join(lines).encode("ascii"))
        try:
            return await asyncio.wait_for(future, ANSWER_TIMEOUT_S)
        except TimeoutError:
            return TIMED_OUT
        finally:
            del self._pending[key]
