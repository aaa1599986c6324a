"""Decoding of CMCD (CTA-5004), the client data that players send in headers or in the query."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from lotuspick.core.events import PlayerHint
from lotuspick.protocol import structured_fields
from lotuspick.protocol.errors import ProtocolError, check_size
from lotuspick.protocol.structured_fields import BOOLEAN, INTEGER, KB_PER_KBIT, NUMBER, STRING, TOKEN

HEADERS = ("cmcd-request", "cmcd-object", "cmcd-status", "cmcd-session")
QUERY = "CMCD"
KEY_TYPES = {
    "br": INTEGER,
    "bl": INTEGER,
    "bs": BOOLEAN,
    "cid": STRING,
    "d": INTEGER,
    "dl": INTEGER,
    "mtp": INTEGER,
    "nor": STRING,
    "nrr": STRING,
    "ot": TOKEN,
    "pr": NUMBER,
    "rtp": INTEGER,
    "sf": TOKEN,
    "sid": STRING,
    "st": TOKEN,
    "su": BOOLEAN,
    "tb": INTEGER,
    "v": INTEGER,
}


def parse_keys(headers: Mapping[str, str], query: str | None = None) -> dict[str, Any]:
    """Decode the known keys of the four headers (names in lower case) and of the query argument."""
    parts = [(name, headers[name]) for name in HEADERS if name in headers]
    if query is not None:
        parts.append((QUERY, query))
    check_size(sum(len(text) for _, text in parts), "CMCD")
    known: dict[str, Any] = {}
    for name, text in parts:
        pairs = [
            (key, structured_fields.strip_parameters(value))
            for key, value in structured_fields.parse(text, "dictionary", name).items()
        ]
        for key, value in structured_fields.select_known(pairs, KEY_TYPES, name).items():
            if known.setdefault(key, value) != value:
                raise ProtocolError(f"{key} is given twice with different values")
    return known


def to_player_hint(session: str, keys: Mapping[str, Any]) -> PlayerHint | None:
    """Build the hint about a session; None if no key is relevant to the decisions."""
    if not keys.keys() & {"bl", "bs", "mtp"}:
        return None
    return PlayerHint(
        session,
        buffer_s=keys["bl"] / 1_000 if "bl" in keys else None,
        starved=keys.get("bs", False),
        throughput_kb_per_s=keys["mtp"] * KB_PER_KBIT if "mtp" in keys else None,
    )
