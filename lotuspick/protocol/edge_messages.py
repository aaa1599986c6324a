"""The binary messages of edge servers: type, session and parameters. The framing takes their length off."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field

from lotuspick.protocol.errors import ProtocolError, fits
from lotuspick.routing.interfaces import AttemptRequest
from lotuspick.routing.messages import AttemptAnswered, EdgeServerNotified, EdgeServerReleased
from lotuspick.routing.termination import TerminationReason

SET_UP, PROGRESS, ANSWER, RELEASE, HEARD, NOTE, TESTED, RUNG = 1, 6, 9, 12, 16, 44, 53, 60
CLASS, WAIT, TITLE, TOPIC, REPORT = 100, 102, 108, 114, 118
LEVEL, FIGURE, CAUSE, DESCRIPTION = 122, 124, 128, 130

NORMAL, REVOKED = 16, 31
GIVE_UP = 16
BEFORE = {
    34: TerminationReason.REJECTED_BY_SERVER,
    47: TerminationReason.SERVER_ERROR,
    102: TerminationReason.NOT_STARTED,
}
"""What a cause means before the answer; any other: the set-up broke on its way."""
AFTER = {NORMAL: TerminationReason.FINISHED, REVOKED: TerminationReason.REVOKED}
"""What a cause means after the answer; any other: the session was cut."""
TOPICS = {"quality": "share", "profile": "rung", "nic": "link", "tor": "rack"}
COLUMNS = {"outstanding": "streams", "inflight": "streams", "x0": "link", "x1": "rack"}
RELEASE_CAUSES = {
    TerminationReason.CANCELLED_BY_VIEWER: GIVE_UP,
    TerminationReason.NO_ANSWER: GIVE_UP,
    TerminationReason.ANSWERED_MEANWHILE: GIVE_UP,
}


@dataclass(frozen=True, slots=True)
class Message:
    kind: int
    session: str
    parameters: Mapping[int, bytes] = field(default_factory=dict)

    def text(self, code: int, name: str) -> str:
        try:
            return self.parameters[code].decode("utf-8")
        except KeyError:
            raise ProtocolError(f"{name} (parameter {code}) is missing") from None
        except UnicodeDecodeError:
            raise ProtocolError(f"{name} (parameter {code}) is not text") from None


def decode(frame: bytes) -> Message:
    """One message without its length."""
    fits(len(frame) + 2, "message")
    if len(frame) < 9:
        raise ProtocolError(f"message of {len(frame)} bytes has no type and session")
    parameters: dict[int, bytes] = {}
    at = 9
    while at < len(frame):
        if at + 3 > len(frame):
            raise ProtocolError("message ends inside the head of a parameter")
        code, length = frame[at], int.from_bytes(frame[at + 1 : at + 3], "big")
        at += 3
        if at + length > len(frame):
            raise ProtocolError(f"parameter {code} of {length} bytes goes past its message")
        parameters[code] = frame[at : at + length]
        at += length
    return Message(frame[0], frame[1:9].hex(), parameters)


def encode(kind: int, session: str, parameters: Mapping[int, bytes]) -> bytes:
    """One message without its length."""
    parts = [bytes((kind,)), bytes.fromhex(session)]
    for code, value in parameters.items():
        parts.append(bytes((code,)) + len(value).to_bytes(2, "big") + value)
    frame = b"".join(parts)
    fits(len(frame) + 2, "message")
    return frame


def set_up(ask: AttemptRequest) -> bytes:
    return encode(
        SET_UP,
        ask.session,
        {
            CLASS: ask.session_class.encode(),
            WAIT: str(ask.timeout_ms).encode(),
            TITLE: ask.title.encode(),
            LEVEL: str(ask.rung).encode(),
            DESCRIPTION: ask.description,
        },
    )


def release(session: str, ending: TerminationReason) -> bytes:
    """Gives a set-up up, or ends a session that stands."""
    return encode(RELEASE, session, {CAUSE: bytes((RELEASE_CAUSES.get(ending, REVOKED),))})


def heard(session: str) -> bytes:
    return encode(HEARD, session, {})


def new_rung(session: str, rung: int) -> bytes:
    return encode(RUNG, session, {LEVEL: str(rung).encode()})


def read(edge: str, message: Message) -> AttemptAnswered | EdgeServerReleased | EdgeServerNotified | None:
    """What a message of an edge server tells the loop; None where it tells nothing."""
    if message.kind == ANSWER:
        if DESCRIPTION not in message.parameters:
            raise ProtocolError("answer has no description (parameter 130)")
        return AttemptAnswered(edge, message.session, message.parameters[DESCRIPTION], report(message))
    if message.kind == RELEASE:
        cause = message.parameters.get(CAUSE, b"")
        if len(cause) != 1:
            raise ProtocolError("release has no cause of one byte (parameter 128)")
        return EdgeServerReleased(
            edge,
            message.session,
            BEFORE.get(cause[0], TerminationReason.SETUP_INTERRUPTED),
            AFTER.get(cause[0], TerminationReason.INTERRUPTED),
            report(message),
        )
    if message.kind == NOTE:
        topic = TOPICS.get(message.text(TOPIC, "topic"))
        value = _figure(message.text(FIGURE, "figure"))
        return (
            None
            if topic is None or value is None
            else EdgeServerNotified(edge, message.session, topic, value)
        )
    if message.kind not in (PROGRESS, HEARD, TESTED):
        raise ProtocolError(f"type {message.kind} is none of an edge server's")  # noise that fits a frame
    return None


def report(message: Message) -> dict[str, float]:
    """The load report, if one is there; fields that make no sense are passed over."""
    found: dict[str, float] = {}
    for part in message.parameters.get(REPORT, b"").decode("utf-8", "replace").split(";"):
        name, _, text = part.strip().partition(":")
        value = _figure(text)
        if name in COLUMNS and value is not None:
            found[COLUMNS[name]] = value
    return found


def _figure(text: str) -> float | None:
    try:
        value = float(text)
    except ValueError:
        return None
    return value if math.isfinite(value) else None
