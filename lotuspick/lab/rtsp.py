"""A minimal RTSP client and parser for the lab's fakes: complete messages off a stream, their heads alone."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, NamedTuple

ANSWER_TIMEOUT_S = 6.0
RETRY_AFTER_MS = 300
"""How long a client stays away after no answer came."""
STATUS_OK = 200
NO_STATUS = 0
"""In the place of a status code where no answer came."""
HEADER_END = b"\r\n\r\n"


class RtspMessage(NamedTuple):
    """The head of one message."""

    start_line: str
    headers: dict[str, str]
    """By name in lower case."""

    @property
    def is_response(self) -> bool:
        """Whether it answers a request, in place of being one."""
        return self.start_line.startswith("RTSP/1.0")

    @property
    def status_text(self) -> str:
        """The status code of a response, as it was sent."""
        return self.start_line[9:12]

    @property
    def status(self) -> int:
        """The status code of a response."""
        return int(self.status_text)

    @property
    def reason(self) -> str:
        """The reason phrase of a response."""
        return self.start_line[13:].strip()

    @property
    def session(self) -> str:
        """The session that it is about; empty where it names none."""
        return self.headers.get("session", "")


class RtspAnswer(NamedTuple):
    """What became of a request."""

    status: int
    """``NO_STATUS`` where the connection was lost or no answer came in time."""
    reason: str
    retry_after_ms: int


LOST = RtspAnswer(NO_STATUS, "lost", RETRY_AFTER_MS)
TIMED_OUT = RtspAnswer(NO_STATUS, "silent", RETRY_AFTER_MS)


def parse_messages(buffer: bytes) -> tuple[list[RtspMessage], bytes]:
    """Take the complete messages off the front of a stream; bodies are skipped.

    Returns:
        The messages in order, and the bytes that are left.
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
    """Headers by name in lower case; of a name that comes twice the last value counts."""
    pairs = (line.partition(":") for line in lines)
    return {name.lower(): value.strip() for name, _, value in pairs}


class RtspConnection(asyncio.Protocol):
    """One client connection that many viewers share, as behind a portal."""

    def __init__(self) -> None:
        self.connected = False
        self.on_session_ended: dict[str, Callable[[], None]] = {}
        """By session: called when the broker ends it, or when the connection is lost."""
        self._buffer = b""
        self._pending: dict[tuple[str, str], asyncio.Future[RtspAnswer]] = {}
        """Requests without an answer, by CSeq and session."""

    def answer_received(self, cseq: str, session: str) -> None:
        """Hook: called for each answer, also for one that nobody waits for."""

    def connection_made(self, transport: Any) -> None:
        """Take requests from now on."""
        self.transport = transport
        self.connected = True

    def connection_lost(self, exc: Exception | None) -> None:
        """Answer all pending requests with ``LOST`` and end all sessions."""
        del exc
        self.connected = False
        for future in self._pending.values():
            if not future.done():
                future.set_result(LOST)
        for ended in list(self.on_session_ended.values()):
            ended()

    def data_received(self, data: bytes) -> None:
        """Match answers to requests; any other message ends the session that it names."""
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
        """Send a request and wait for its answer; a lost connection or a timeout is an answer too."""
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
