"""The binary messages of edge servers: type, session and parameters, without the framing's length prefix."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field

from lotuspick.core.events import ReadingTopic
from lotuspick.protocol.errors import ProtocolError, check_size
from lotuspick.routing.interfaces import AttemptRequest
from lotuspick.routing.messages import AttemptAnswered, EdgeServerNotified, EdgeServerReleased
from lotuspick.routing.termination import TerminationReason

# Message types.
SET_UP, PROGRESS, ANSWER, RELEASE, ACK, NOTIFICATION, CONNECTION_TESTED, RUNG = 1, 6, 9, 12, 16, 44, 53, 60
# Parameter codes.
CLASS, TIMEOUT_MS, TITLE, TOPIC, REPORT = 100, 102, 108, 114, 118
RUNG_INDEX, VALUE, CAUSE, DESCRIPTION = 122, 124, 128, 130
# Causes of a release sent or received.
NORMAL, REVOKED = 16, 31
CANCELLED = 16
LENGTH_PREFIX_BYTES = 2
HEADER_BYTES = 9  # type and session
PARAMETER_HEADER_BYTES = 3  # code and length
REASON_BEFORE_ANSWER = {
    34: TerminationReason.REJECTED_BY_SERVER,
    47: TerminationReason.SERVER_ERROR,
    102: TerminationReason.NOT_STARTED,
}
"""Reason by the cause of a release before the answer; SETUP_INTERRUPTED for any other cause."""
REASON_AFTER_ANSWER = {NORMAL: TerminationReason.FINISHED, REVOKED: TerminationReason.REVOKED}
"""Reason by the cause of a release after the answer; INTERRUPTED for any other cause."""
TOPIC_BY_NAME = {
    "quality": ReadingTopic.SHARE,
    "profile": ReadingTopic.RUNG,
    "nic": ReadingTopic.LINK,
    "tor": ReadingTopic.RACK,
}
TOPIC_BY_COLUMN = {
    "outstanding": ReadingTopic.STREAMS,
    "inflight": ReadingTopic.STREAMS,
    "x0": ReadingTopic.LINK,
    "x1": ReadingTopic.RACK,
}
CAUSE_BY_REASON = {
    TerminationReason.CANCELLED_BY_VIEWER: CANCELLED,
    TerminationReason.NO_ANSWER: CANCELLED,
    TerminationReason.ANSWERED_MEANWHILE: CANCELLED,
}


@dataclass(frozen=True, slots=True)
class Message:
    """One message: type, session (16 hex digits) and parameters by code."""

    kind: int
    session: str
    parameters: Mapping[int, bytes] = field(default_factory=dict)

    def text(self, code: int, name: str) -> str:
        """Return a required parameter as text; ``name`` is used in errors."""
        try:
            return self.parameters[code].decode("utf-8")
        except KeyError:
            raise ProtocolError(f"{name} (parameter {code}) is missing") from None
        except UnicodeDecodeError:
            raise ProtocolError(f"{name} (parameter {code}) is not text") from None


def decode(frame: bytes) -> Message:
    """Decode one message without its length prefix."""
    check_size(len(frame) + LENGTH_PREFIX_BYTES, "message")
    if len(frame) < HEADER_BYTES:
        raise ProtocolError(f"message of {len(frame)} bytes has no type and session")
    parameters: dict[int, bytes] = {}
    position = HEADER_BYTES
    while position < len(frame):
        value_start = position + PARAMETER_HEADER_BYTES
        if value_start > len(frame):
            raise ProtocolError("message ends inside the head of a parameter")
        code = frame[position]
        length = int.from_bytes(frame[position + 1 : value_start], "big")
        position = value_start + length
        if position > len(frame):
            raise ProtocolError(f"parameter {code} of {length} bytes goes past its message")
        parameters[code] = frame[value_start:position]
    return Message(frame[0], frame[1:HEADER_BYTES].hex(), parameters)


def encode(kind: int, session: str, parameters: Mapping[int, bytes]) -> bytes:
    """Encode one message without its length prefix."""
    parts = [bytes((kind,)), bytes.fromhex(session)]
    for code, value in parameters.items():
        parts.append(bytes((code,)) + len(value).to_bytes(2, "big") + value)
    frame = b"".join(parts)
    check_size(len(frame) + LENGTH_PREFIX_BYTES, "message")
    return frame


def set_up(request: AttemptRequest) -> bytes:
    """Encode the request of an attempt."""
    return encode(
        SET_UP,
        request.session,
        {
            CLASS: request.session_class.encode(),
            TIMEOUT_MS: str(request.timeout_ms).encode(),
            TITLE: request.title.encode(),
            RUNG_INDEX: str(request.rung).encode(),
            DESCRIPTION: request.description,
        },
    )


def release(session: str, termination: TerminationReason) -> bytes:
    """Encode a release, which cancels an attempt or ends a session that plays."""
    return encode(RELEASE, session, {CAUSE: bytes((CAUSE_BY_REASON.get(termination, REVOKED),))})


def acknowledge(session: str) -> bytes:
    """Encode the acknowledgement of a message, which also tests the connection."""
    return encode(ACK, session, {})


def change_rung(session: str, rung: int) -> bytes:
    """Encode a change of rung of a session that plays."""
    return encode(RUNG, session, {RUNG_INDEX: str(rung).encode()})


def to_dispatcher_message(
    server: str, message: Message
) -> AttemptAnswered | EdgeServerReleased | EdgeServerNotified | None:
    """Convert a message of an edge server to one for the dispatcher; None if the dispatcher ignores it."""
    if message.kind == ANSWER:
        if DESCRIPTION not in message.parameters:
            raise ProtocolError("answer has no description (parameter 130)")
        return AttemptAnswered(
            server, message.session, message.parameters[DESCRIPTION], parse_load_report(message)
        )
    if message.kind == RELEASE:
        cause = message.parameters.get(CAUSE, b"")
        if len(cause) != 1:
            raise ProtocolError("release has no cause of one byte (parameter 128)")
        return EdgeServerReleased(
            server,
            message.session,
            REASON_BEFORE_ANSWER.get(cause[0], TerminationReason.SETUP_INTERRUPTED),
            REASON_AFTER_ANSWER.get(cause[0], TerminationReason.INTERRUPTED),
            parse_load_report(message),
        )
    if message.kind == NOTIFICATION:
        topic = TOPIC_BY_NAME.get(message.text(TOPIC, "topic"))
        value = _parse_finite(message.text(VALUE, "figure"))
        return (
            None
            if topic is None or value is None
            else EdgeServerNotified(server, message.session, topic, value)
        )
    if message.kind not in (PROGRESS, ACK, CONNECTION_TESTED):
        raise ProtocolError(
            f"type {message.kind} is not a message type of edge servers"
        )  # random bytes can form a frame
    return None


def parse_load_report(message: Message) -> dict[ReadingTopic, float]:
    """Parse the load report by topic; empty if there is none. Unknown and malformed fields are ignored."""
    columns: dict[ReadingTopic, float] = {}
    for part in message.parameters.get(REPORT, b"").decode("utf-8", "replace").split(";"):
        name, _, text = part.strip().partition(":")
        value = _parse_finite(text)
        if name in TOPIC_BY_COLUMN and value is not None:
            columns[TOPIC_BY_COLUMN[name]] = value
    return columns


def _parse_finite(text: str) -> float | None:
    try:
        value = float(text)
    except ValueError:
        return None
    return value if math.isfinite(value) else None
