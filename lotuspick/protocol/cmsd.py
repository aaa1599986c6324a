"""Decoding of CMSD (CTA-5006), the server data in the response headers of media nodes."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from lotuspick.core.events import ServerHint
from lotuspick.protocol import structured_fields
from lotuspick.protocol.errors import ProtocolError
from lotuspick.protocol.structured_fields import BOOLEAN, INTEGER, KB_PER_KBIT, NUMBER, STRING, TOKEN

STATIC, DYNAMIC = "cmsd-static", "cmsd-dynamic"
STATIC_TYPES = {
    "at": INTEGER,
    "br": INTEGER,
    "d": INTEGER,
    "ht": INTEGER,
    "n": STRING,
    "nor": STRING,
    "nrr": STRING,
    "ot": TOKEN,
    "sf": TOKEN,
    "st": TOKEN,
    "v": INTEGER,
}
DYNAMIC_TYPES = {"du": BOOLEAN, "etp": INTEGER, "mb": INTEGER, "rd": NUMBER, "rtt": INTEGER}


def parse_static(text: str) -> dict[str, Any]:
    """Decode the known keys of ``CMSD-Static``."""
    pairs = [
        (key, structured_fields.strip_parameters(value))
        for key, value in structured_fields.parse(text, "dictionary", STATIC).items()
    ]
    return structured_fields.select_known(pairs, STATIC_TYPES, STATIC)


def parse_dynamic(text: str) -> list[tuple[str, dict[str, Any]]]:
    """Decode the entries of ``CMSD-Dynamic``: one for each server on the response path, origin first."""
    entries = []
    for value, parameters in structured_fields.parse(text, "list", DYNAMIC):
        if not isinstance(value, str):
            raise ProtocolError(f"{DYNAMIC} has an entry that names no server: {str(value)[:40]!r}")
        entries.append(
            (str(value), structured_fields.select_known(parameters.items(), DYNAMIC_TYPES, DYNAMIC))
        )
    return entries


def to_server_hint(node: str, headers: Mapping[str, str]) -> ServerHint | None:
    """Build the hint about a node's link from its response headers (names in lower case).

    Uses the entry with the node's name, or else the first, because the node is the origin of its responses.
    """
    if STATIC in headers:
        parse_static(headers[STATIC])
    entries = parse_dynamic(headers[DYNAMIC]) if DYNAMIC in headers else []
    keys = next((keys for name, keys in entries if name == node), entries[0][1] if entries else {})
    return ServerHint(node, keys["etp"] * KB_PER_KBIT) if "etp" in keys else None
