"""RTSP as viewers speak it: framing, the messages of this protocol, and set-ups as the loop takes them.

The decoder is fed lines and bodies, as a line protocol has them, and keeps no more than one message.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from lotuspick.core.events import SessionPlaying, SessionRequest
from lotuspick.protocol.errors import MOST_BYTES, ProtocolError, fits, session_id, whole
from lotuspick.routing.interfaces import ViewerConnection
from lotuspick.routing.messages import SessionRequested
from lotuspick.routing.termination import TerminationReason

VERSION = "RTSP/1.0"
BASE = "rtsp://media/"
MOST_HEADERS = 64
EDGE_HEAD = 256  # what an edge message holds beside description and title, with room to spare
MOST_LEFT_MS = 24 * 3_600_000
KEPT_MS = 60_000  # a viewer that would wait longer is answered within this: nothing is kept for hours
METHODS = frozenset({"SETUP", "TEARDOWN", "OPTIONS", "ANNOUNCE", "REDIRECT", "SET_PARAMETER"})

FORBIDDEN = 403
SERVED, BAD_REQUEST, NO_BANDWIDTH, FAILED, NOT_READY, NOT_IMPLEMENTED = 200, 400, 453, 500, 503, 501
REASONS = {
    SERVED: "OK",
    BAD_REQUEST: "Bad Request",
    FORBIDDEN: "Forbidden",
    NO_BANDWIDTH: "Not Enough Bandwidth",
    FAILED: "Internal Server Error",
    NOT_READY: "Service Unavailable",
    NOT_IMPLEMENTED: "Not Implemented",
}
TOKEN = "p-token"  # a header of ours: what entitles the viewer; read where seats are on
CSEQ = {"SETUP": "1", "TEARDOWN": "2", "OPTIONS": "3"}
CAUSES = {
    TerminationReason.FINISHED: 16,
    TerminationReason.REVOKED: 31,
    TerminationReason.ENTITLEMENT_EXPIRED: 31,
    TerminationReason.SUPERSEDED: 31,
}
"""Causes of a release towards a viewer; any other end is a break, 41."""
BREAK = 41


@dataclass(frozen=True, slots=True)
class Terms:
    """What a set-up may name."""

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
    """By name in lower case."""
    body: bytes = b""

    def header(self, name: str) -> str:
        """A header that has to be there."""
        try:
            return self.headers[name.lower()]
        except KeyError:
            raise ProtocolError(f"{name} is missing") from None

    @property
    def session(self) -> str:
        return session_id(self.header("Session"))


class Decoder:
    """Takes the lines of a head one by one, then the body."""

    def __init__(self) -> None:
        self._message: Message | None = None
        self._size = 0

    @property
    def part_way(self) -> bool:
        """Whether a message has begun and is not whole."""
        return self._message is not None

    def line(self, line: bytes) -> int | None:
        """Take a line without its end. Returns the length of the body once the head is whole."""
        self._size += len(line) + 2
        fits(self._size, "head")
        try:
            text = line.decode("ascii")
        except UnicodeDecodeError:
            raise ProtocolError(f"head line is not ASCII: {line[:40]!r}") from None
        if self._message is None:
            if text:  # empty lines between messages are allowed
                self._message = _start(text)
            return None  # they count towards the bound all the same: nobody sends them without end
        if not text:
            length = whole(self._message.header("Content-Length"), "Content-Length")
            fits(self._size + length, "message")
            return length
        name, colon, value = text.partition(":")
        if not colon or not name or name != name.strip():
            raise ProtocolError(f"header line has no name: {text[:40]!r}")
        if name.lower() in self._message.headers:
            raise ProtocolError(f"{name} is given twice")
        if len(self._message.headers) >= MOST_HEADERS:
            raise ProtocolError(f"more than {MOST_HEADERS} headers")
        self._message.headers[name.lower()] = value.strip()
        return None

    def body(self, body: bytes) -> Message:
        """Take the whole body; returns the message and is ready for the next."""
        message = self._message
        if message is None:
            raise ProtocolError("body without a head")
        message.body = body
        self._message, self._size = None, 0
        return message


def _start(text: str) -> Message:
    parts = text.split(" ")
    if parts[0] == VERSION:
        if len(parts) < 2 or len(parts[1]) != 3:
            raise ProtocolError(f"status line is malformed: {text[:40]!r}")
        return Message(status=whole(parts[1], "status", 100, 599))
    if len(parts) != 3 or parts[2] != VERSION:
        raise ProtocolError(f"request line is malformed: {text[:40]!r}")
    if parts[0] not in METHODS:
        raise ProtocolError(f"unknown method {parts[0][:20]!r}")
    if not parts[1].startswith(BASE):
        raise ProtocolError(f"address does not start with {BASE}: {parts[1][:40]!r}")
    return Message(method=parts[0], address=parts[1])


def _path(text: str) -> dict[str, str]:
    figures: dict[str, str] = {}
    for part in text.split(";"):
        name, colon, value = part.strip().partition(":")
        if not colon or not name:
            raise ProtocolError(f"P-Path has a part that is not name:value: {part[:40]!r}")
        figures[name] = value
    return figures


def read_set_up(
    message: Message, now_us: int, terms: Terms, viewer: ViewerConnection | None = None
) -> SessionRequested:
    """The set-up that a SETUP asks for. ``now_us``: when it was read, for its deadline. Guards against
    figures that no viewer of this site has: a home past the positions would be taken for another title's."""
    if message.header("P-Kind") not in terms.classes:
        raise ProtocolError(f"P-Kind is unknown: {message.header('P-Kind')[:40]!r}")
    title = message.address[len(BASE) :]
    if not title:
        raise ProtocolError("address names no title")
    if len(message.body) + len(title) > MOST_BYTES - EDGE_HEAD:
        raise ProtocolError("description is too long to be passed on")
    figures = _path(message.header("P-Path"))
    for name in ("home", "copies", "top"):
        if name not in figures:
            raise ProtocolError(f"P-Path has no {name}")
    left_ms = min(whole(message.header("P-Time-Left"), "P-Time-Left", 0, MOST_LEFT_MS), KEPT_MS)
    common = {
        "session": message.session,
        "session_class": message.header("P-Kind"),
        "title": title,
        "home_position": whole(figures["home"], "P-Path home", 0, terms.positions - 1),
        "copies": whole(figures["copies"], "P-Path copies", 1, terms.positions),
        "highest_rung": whole(figures["top"], "P-Path top", 0, terms.rungs - 1),
        "deadline_us": now_us + left_ms * 1_000,
        "length_us": _hint(message.headers.get("x-length")),
        "viewer": figures.get("viewer", ""),
        "tenant": message.headers.get("p-billed", ""),
        "moved": figures.get("moved") == "1",
        "returned": figures.get("again") == "1",
        "token": message.headers.get(TOKEN, ""),
    }
    if "at" in figures:
        return SessionRequested(SessionPlaying(**common, server=figures["at"]), viewer=viewer)  # type: ignore[arg-type]
    return SessionRequested(SessionRequest(**common), message.body, viewer)  # type: ignore[arg-type]


def _hint(text: str | None) -> float | None:
    """A hint of the length, in microseconds; one that makes no sense is no hint, and no fault."""
    try:
        value = float(text) * 1_000 if text is not None else math.nan
    except ValueError:
        return None
    return value if math.isfinite(value) and value > 0 else None


def _head(first: str, headers: list[tuple[str, str]], body: bytes) -> bytes:
    lines = [first, *(f"{name}: {value}" for name, value in headers), f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("ascii", "replace") + body


def response(
    status: int, cseq: str, session: str = "", body: bytes = b"", gap_ms: int = 0, why: str = ""
) -> bytes:
    """A response; ``why`` goes out as its reason phrase."""
    phrase = " ".join("".join(each if " " <= each <= "~" else " " for each in why).split())[:120]
    headers = [("CSeq", cseq)]
    if session:
        headers.append(("Session", session))
    if gap_ms > 0:
        headers.append(("P-Gap-Ms", str(gap_ms)))
    return _head(f"{VERSION} {status} {phrase or REASONS[status]}", headers, body)


def release(session: str, ending: TerminationReason) -> bytes:
    """The message that a session which stood is over."""
    cause = CAUSES.get(ending, BREAK)
    return _head(
        f"TEARDOWN {BASE}{session} {VERSION}",
        [("CSeq", CSEQ["TEARDOWN"]), ("Session", session), ("Reason", f"cause={cause}")],
        b"",
    )
