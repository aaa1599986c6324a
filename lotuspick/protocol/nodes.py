"""What media nodes of the second front say over HTTP: how set-ups end, and the events of sessions."""

from __future__ import annotations

import json
from typing import Any

from lotuspick.protocol.edge import TOPICS
from lotuspick.protocol.faults import ProtocolFault, session_id
from lotuspick.routing.endings import Ending
from lotuspick.routing.ports import EdgeAnswered, EdgeNoted, EdgeReleased

STATUSES = {503: Ending.TURNED_AWAY, 500: Ending.EDGE_ERROR}
"""How a set-up ended that was not served; any other status: it broke on its way."""
ENDS = {"finished": Ending.FINISHED, "cut": Ending.CUT, "revoked": Ending.REVOKED}


def answer(node: str, session: str, status: int, body: bytes) -> EdgeAnswered | EdgeReleased:
    """What the answer to a set-up tells the loop."""
    if status == 200:
        return EdgeAnswered(node, session, body)
    return EdgeReleased(node, session, STATUSES.get(status, Ending.BROKEN), Ending.CUT)


def events(node: str, text: bytes) -> tuple[int, list[EdgeReleased | EdgeNoted]]:
    """``{"index": LAST, "events": [...]}``: an event has a ``session`` and either ``over`` (finished, cut,
    revoked) or ``note`` (quality, nic, tor) with a ``value``."""
    try:
        told = json.loads(text)
    except (ValueError, RecursionError):
        raise ProtocolFault(f"events are not JSON: {text[:40]!r}") from None
    if not isinstance(told, dict) or not isinstance(told.get("events"), list):
        raise ProtocolFault("events is missing")
    index = told.get("index")
    if isinstance(index, bool) or not isinstance(index, int) or index < 0:
        raise ProtocolFault("index is missing or malformed")
    return index, [_event(node, each) for each in told["events"]]


def _event(node: str, event: Any) -> EdgeReleased | EdgeNoted:
    if not isinstance(event, dict) or not isinstance(event.get("session"), str):
        raise ProtocolFault("event names no session")
    session = session_id(event["session"], "session")
    if "over" in event:
        if event["over"] not in ENDS:
            raise ProtocolFault(f"over is unknown: {str(event['over'])[:40]!r}")
        return EdgeReleased(node, session, Ending.BROKEN, ENDS[event["over"]])
    value = event.get("value")
    if event.get("note") not in TOPICS or isinstance(value, bool) or not isinstance(value, (int, float)):
        raise ProtocolFault("event has neither over nor a note with a value")
    return EdgeNoted(node, session, TOPICS[event["note"]], float(value))
