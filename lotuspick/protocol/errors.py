"""The error, size limits and checks shared by all codecs."""

from __future__ import annotations

from lotuspick.errors import LotuspickError

MAX_MESSAGE_BYTES = 16 * 1024
"""Size limit of a message of any protocol in this package."""
MAX_ANSWER_BYTES = 64 * MAX_MESSAGE_BYTES
"""Size limit of an HTTP response body; an endpoint list of thousands of servers exceeds the message limit."""


class ProtocolError(LotuspickError):
    """Input that violates its protocol; the text names the fault."""


def check_size(size: int, label: str) -> None:
    """Raise :class:`ProtocolError` if ``size`` bytes exceed the message limit."""
    if size > MAX_MESSAGE_BYTES:
        raise ProtocolError(f"{label} has {size} bytes, over {MAX_MESSAGE_BYTES}")


def parse_integer(text: str, name: str, minimum: int = 0, maximum: int = 1 << 53) -> int:
    """Parse an integer of at most 16 decimal digits; errors contain the field's name."""
    if not (text.isascii() and text.isdigit() and len(text) <= 16) or not minimum <= int(text) <= maximum:
        raise ProtocolError(f"{name} is not a whole number from {minimum} to {maximum}: {text[:40]!r}")
    return int(text)


def parse_session_id(text: str, name: str = "Session") -> str:
    """Check that the text is 16 hex digits; return it in lower case."""
    if len(text) != 16 or not text.isascii() or any(digit not in "0123456789abcdefABCDEF" for digit in text):
        raise ProtocolError(f"{name} is not 16 hex digits: {text[:40]!r}")
    return text.lower()
