"""Messages of media nodes over HTTP: responses to attempts, and events of sessions."""

from __future__ import annotations

import json
from typing import Any

from lotuspick.protocol.edge_messages import TOPIC_BY_NAME
from lotuspick.protocol.errors import ProtocolError, parse_session_id
from lotuspick.routing.messages import AttemptAnswered, EdgeServerNotified, EdgeServerReleased
from lotuspick.routing.termination import TerminationReason

REASON_BY_STATUS = {503: TerminationReason.REJECTED_BY_SERVER, 500: TerminationReason.SERVER_ERROR}
"""Reason of an attempt that was not served, by HTTP status; SETUP_INTERRUPTED for any other status."""
REASON_BY_END = {
    "finished": TerminationReason.FINISHED,
    "cut": TerminationReason.INTERRUPTED,
    "revoked": TerminationReason.REVOKED,
}


def parse_answer(node: str, session: str, status: int, body: bytes) -> AttemptAnswered | EdgeServerReleased:
    """Convert the response to an attempt to a message for the dispatcher."""
    if status == 200:
        return AttemptAnswered(node, session, body)
    return EdgeServerReleased(
        node,
        session,
        REASON_BY_STATUS.get(status, TerminationReason.SETUP_INTERRUPTED),
        TerminationReason.INTERRUPTED,
    )


def parse_events(node: str, text: bytes) -> tuple[int, list[EdgeServerReleased | EdgeServerNotified]]:
    """Parse ``{"index": LAST, "events": [...]}``; return the index and the messages for the dispatcher.

    An event has a ``session`` and either ``over`` (finished, cut, revoked) or ``note`` (quality, nic, tor)
    with a ``value``.
    """
    try:
        document = json.loads(text)
    except (ValueError, RecursionError):
        raise ProtocolError(f"events are not JSON: {text[:40]!r}") from None
    if not isinstance(document, dict) or not isinstance(document.get("events"), list):
        raise ProtocolError("events is missing")
    index = document.get("index")
    if isinstance(index, bool) or not isinstance(index, int) or index < 0:
        raise ProtocolError("index is missing or malformed")
    return index, [_parse_event(node, event) for event in document["events"]]


def _parse_event(node: str, event: Any) -> EdgeServerReleased | EdgeServerNotified:
    if not isinstance(event, dict) or not isinstance(event.get("session"), str):
        raise ProtocolError("event names no session")
    session = parse_session_id(event["session"], "session")
    if "over" in event:
        if event["over"] not in REASON_BY_END:
            raise ProtocolError(f"over is unknown: {str(event['over'])[:40]!r}")
        return EdgeServerReleased(
            node, session, TerminationReason.SETUP_INTERRUPTED, REASON_BY_END[event["over"]]
        )
    value = event.get("value")
    if (
        event.get("note") not in TOPIC_BY_NAME
        or isinstance(value, bool)
        or not isinstance(value, (int, float))
    ):
        raise ProtocolError("event has neither over nor a known note with a numeric value")
    return EdgeServerNotified(node, session, TOPIC_BY_NAME[event["note"]], float(value))
