"""RTSP with viewers: decodes messages, converts set-ups for the dispatcher and encodes responses.

The decoder takes lines and bodies from a line protocol and buffers at most one message.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import Any

from lotuspick.core.events import SessionPlaying, SessionRequest
from lotuspick.protocol.errors import (
    MAX_MESSAGE_BYTES,
    ProtocolError,
    check_size,
    parse_integer,
    parse_session_id,
)
from lotuspick.routing.interfaces import ViewerConnection
from lotuspick.routing.messages import SessionRequested
from lotuspick.routing.termination import TerminationReason

VERSION = "RTSP/1.0"
BASE_URL = "rtsp://media/"
MAX_HEADERS = 64
EDGE_MESSAGE_OVERHEAD = 256  # bytes of an edge message without description and title, rounded up
MAX_TIME_LEFT_MS = 24 * 3_600_000
MAX_DEADLINE_MS = 60_000  # caps longer deadlines, so that no request stays open for hours
MAX_REASON_PHRASE_LENGTH = 120  # characters
REQUIRED_PATH_FIELDS = ("home", "copies", "top")
METHODS = frozenset({"SETUP", "TEARDOWN", "OPTIONS", "ANNOUNCE", "REDIRECT", "SET_PARAMETER"})

SERVED = 200
BAD_REQUEST = 400
FORBIDDEN = 403
NO_BANDWIDTH = 453
FAILED = 500
NOT_IMPLEMENTED = 501
NOT_READY = 503
PHRASE_BY_STATUS = {
    SERVED: "OK",
    BAD_REQUEST: "Bad Request",
    FORBIDDEN: "Forbidden",
    NO_BANDWIDTH: "Not Enough Bandwidth",
    FAILED: "Internal Server Error",
    NOT_READY: "Service Unavailable",
    NOT_IMPLEMENTED: "Not Implemented",
}
TOKEN_HEADER = "p-token"
"""Extension header with the viewer's entitlement token; read if entitlement is enabled."""
CSEQ_BY_METHOD = {"SETUP": "1", "TEARDOWN": "2", "OPTIONS": "3"}
CAUSE_BY_REASON = {
    TerminationReason.FINISHED: 16,
    TerminationReason.REVOKED: 31,
    TerminationReason.ENTITLEMENT_EXPIRED: 31,
    TerminationReason.SUPERSEDED: 31,
}
"""Cause in a release to a viewer, by reason; INTERRUPTED_CAUSE for any other reason."""
INTERRUPTED_CAUSE = 41


@dataclass(frozen=True, slots=True)
class SetUpLimits:
    """Limits of a set-up: the site's classes, the positions on its ring and the rungs of its ladder."""

    classes: frozenset[str]
    positions: int
    rungs: int


@dataclass(slots=True)
class Message:
    """A request (``method`` and ``address`` set) or a response (``status`` set)."""

    method: str = ""
    address: str = ""
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    """By lower-case name."""
    body: bytes = b""

    def header(self, name: str) -> str:
        """Return a required header."""
        try:
            return self.headers[name.lower()]
        except KeyError:
            raise ProtocolError(f"{name} is missing") from None

    @property
    def session(self) -> str:
        """The session id of the message."""
        return parse_session_id(self.header("Session"))


class Decoder:
    """Decodes a message from the lines of its head, then its body."""

    def __init__(self) -> None:
        self._message: Message | None = None
        self._size = 0

    @property
    def has_partial_message(self) -> bool:
        """Whether a message has started and is not complete."""
        return self._message is not None

    def line(self, line: bytes) -> int | None:
        """Feed a line without its terminator; returns the length of the body once the head is complete."""
        self._size += len(line) + 2
        check_size(self._size, "head")
        try:
            text = line.decode("ascii")
        except UnicodeDecodeError:
            raise ProtocolError(f"head line is not ASCII: {line[:40]!r}") from None
        if self._message is None:
            if text:  # empty lines between messages are allowed, but count towards the size limit
                self._message = _parse_start_line(text)
            return None
        if not text:
            length = parse_integer(self._message.header("Content-Length"), "Content-Length")
            check_size(self._size + length, "message")
            return length
        _add_header(self._message.headers, text)
        return None

    def body(self, body: bytes) -> Message:
        """Feed the complete body; returns the message and resets the decoder."""
        message = self._message
        if message is None:
            raise ProtocolError("body without a head")
        message.body = body
        self._message, self._size = None, 0
        return message


def _add_header(headers: dict[str, str], text: str) -> None:
    name, colon, value = text.partition(":")
    if not colon or not name or name != name.strip():
        raise ProtocolError(f"header line has no name: {text[:40]!r}")
    if name.lower() in headers:
        raise ProtocolError(f"{name} is given twice")
    if len(headers) >= MAX_HEADERS:
        raise ProtocolError(f"more than {MAX_HEADERS} headers")
    headers[name.lower()] = value.strip()


def _parse_start_line(text: str) -> Message:
    parts = text.split(" ")
    if parts[0] == VERSION:
        if len(parts) < 2 or len(parts[1]) != 3:
            raise ProtocolError(f"status line is malformed: {text[:40]!r}")
        return Message(status=parse_integer(parts[1], "status", 100, 599))
    if len(parts) != 3 or parts[2] != VERSION:
        raise ProtocolError(f"request line is malformed: {text[:40]!r}")
    if parts[0] not in METHODS:
        raise ProtocolError(f"unknown method {parts[0][:20]!r}")
    if not parts[1].startswith(BASE_URL):
        raise ProtocolError(f"address does not start with {BASE_URL}: {parts[1][:40]!r}")
    return Message(method=parts[0], address=parts[1])


def _parse_path(text: str) -> dict[str, str]:
    fields: dict[str, str] = {}
    for part in text.split(";"):
        name, colon, value = part.strip().partition(":")
        if not colon or not name:
            raise ProtocolError(f"P-Path has a part that is not name:value: {part[:40]!r}")
        fields[name] = value
    for name in REQUIRED_PATH_FIELDS:
        if name not in fields:
            raise ProtocolError(f"P-Path has no {name}")
    return fields


def _parse_title(message: Message) -> str:
    """Return the title in the address; check that title and description fit into an edge message."""
    title = message.address[len(BASE_URL) :]
    if not title:
        raise ProtocolError("address names no title")
    if len(message.body) + len(title) > MAX_MESSAGE_BYTES - EDGE_MESSAGE_OVERHEAD:
        raise ProtocolError("description is too long to be forwarded to an edge server")
    return title


def parse_set_up(
    message: Message,
    now_us: int,
    set_up_limits: SetUpLimits,
    viewer: ViewerConnection | None = None,
    source: str = "",
) -> SessionRequested:
    """Convert a SETUP request to a message for the dispatcher; check it against the limits of the site.

    Args:
        message: The decoded request.
        now_us: The time at which the request was read; its deadline counts from then.
        set_up_limits: The limits of its fields; a home beyond the positions would be another title's home.
        viewer: The connection that received the request.
        source: Identifies the connection for the decision module.

    Raises:
        ProtocolError: The request is invalid; the text names the header.
    """
    if message.header("P-Kind") not in set_up_limits.classes:
        raise ProtocolError(f"P-Kind is unknown: {message.header('P-Kind')[:40]!r}")
    title = _parse_title(message)
    fields = _parse_path(message.header("P-Path"))
    remaining_ms = min(
        parse_integer(message.header("P-Time-Left"), "P-Time-Left", 0, MAX_TIME_LEFT_MS), MAX_DEADLINE_MS
    )
    common: dict[str, Any] = {
        "session": message.session,
        "session_class": message.header("P-Kind"),
        "title": title,
        "home_position": parse_integer(fields["home"], "P-Path home", 0, set_up_limits.positions - 1),
        "copies": parse_integer(fields["copies"], "P-Path copies", 1, set_up_limits.positions),
        "highest_rung": parse_integer(fields["top"], "P-Path top", 0, set_up_limits.rungs - 1),
        "deadline_us": now_us + remaining_ms * 1_000,
        "length_us": _parse_length_us(message.headers.get("x-length")),
        "viewer": fields.get("viewer", ""),
        "tenant": message.headers.get("p-billed", ""),
        "moved": fields.get("moved") == "1",
        "returned": fields.get("again") == "1",
        "token": message.headers.get(TOKEN_HEADER, ""),
        "source": source,
    }
    if "at" in fields:
        return SessionRequested(SessionPlaying(**common, server=fields["at"]), viewer=viewer)
    return SessionRequested(SessionRequest(**common), message.body, viewer)


def _parse_length_us(text: str | None) -> float | None:
    """Parse the hint of a session's length (text in ms); a malformed or non-positive hint is ignored."""
    try:
        value = float(text) * 1_000 if text is not None else math.nan
    except ValueError:
        return None
    return value if math.isfinite(value) and value > 0 else None


def _encode(start_line: str, headers: list[tuple[str, str]], body: bytes) -> bytes:
    lines = [
        start_line,
        *(f"{name}: {value}" for name, value in headers),
        f"Content-Length: {len(body)}",
        "",
        "",
    ]
    return "\r\n".join(lines).encode("ascii", "replace") + body


def response(
    status: int, cseq: str, session: str = "", body: bytes = b"", retry_after_ms: int = 0, reason: str = ""
) -> bytes:
    """Encode a response; ``reason`` becomes its reason phrase, ``retry_after_ms`` the header ``P-Gap-Ms``."""
    printable = "".join(character if " " <= character <= "~" else " " for character in reason)
    phrase = " ".join(printable.split())[:MAX_REASON_PHRASE_LENGTH]
    headers = [("CSeq", cseq)]
    if session:
        headers.append(("Session", session))
    if retry_after_ms > 0:
        headers.append(("P-Gap-Ms", str(retry_after_ms)))
    return _encode(f"{VERSION} {status} {phrase or PHRASE_BY_STATUS[status]}", headers, body)


def release(session: str, termination: TerminationReason) -> bytes:
    """Encode the notice to a viewer that its session has ended."""
    cause = CAUSE_BY_REASON.get(termination, INTERRUPTED_CAUSE)
    return _encode(
        f"TEARDOWN {BASE_URL}{session} {VERSION}",
        [("CSeq", CSEQ_BY_METHOD["TEARDOWN"]), ("Session", session), ("Reason", f"cause={cause}")],
        b"",
    )
