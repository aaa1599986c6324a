"""The entitlement in a token, validated when it is parsed. Times are Unix seconds, as in RFC 7519."""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Any

from lotuspick.errors import LotuspickError

MAX_TOKEN_BYTES = 1_024  # of an encoded token
MAX_NAME_LENGTH = 128  # characters of each name in a token; equals the limit in ``NAME``
NAME = re.compile(r"[\x21-\x7e]{1,128}")
MAX_TIME_S = 1 << 40  # Unix seconds; a larger value is a malformed claim


class TokenRejection(Enum):
    """The reason for which a token is rejected. The values are used in log lines and answers."""

    MISSING = "missing"
    OVERSIZE = "oversize"
    MALFORMED = "malformed"
    ALGORITHM = "algorithm"  # differs from the algorithm of the key
    UNKNOWN_KEY = "unknown-key"
    WITHDRAWN_KEY = "withdrawn-key"
    SIGNATURE = "signature"
    AUDIENCE = "audience"
    CLAIM = "claim"  # missing or malformed; the detail names the claim
    NOT_YET = "not-yet"
    EXPIRED = "expired"
    REVOKED = "revoked"
    OTHER = "other-request"  # valid, but for a request with another viewer, tenant, title or class


class TokenError(LotuspickError, ValueError):
    """Raised for a rejected token.

    Attributes:
        rejection: reason of the rejection.
        detail: claim, key or size at fault; may be empty.
    """

    def __init__(self, rejection: TokenRejection, detail: str = "") -> None:
        super().__init__(f"{rejection.value}: {detail}" if detail else rejection.value)
        self.rejection, self.detail = rejection, detail


@dataclass(frozen=True, slots=True)
class Seat:
    """One entitlement: a viewer may play a title until a given time."""

    seat: str
    viewer: str
    tenant: str
    title: str
    session_class: str
    issued_s: int
    starts_s: int
    ends_s: int
    epoch: int = 0
    """Incremented by each renewal of the same seat."""

    def claims(self, audience: str) -> dict[str, Any]:
        """Return the claims of a JWT, under the registered names of RFC 7519 where they exist."""
        return {
            "jti": self.seat,
            "sub": self.viewer,
            "ten": self.tenant,
            "les": self.title,
            "cls": self.session_class,
            "aud": audience,
            "iat": self.issued_s,
            "nbf": self.starts_s,
            "exp": self.ends_s,
            "ren": self.epoch,
        }


def parse_claims(claims: Mapping[str, Any]) -> Seat:
    """Parse the seat that claims name.

    Raises:
        TokenError: a claim is missing or malformed; the detail names it.
    """
    names = [_name_claim(claims, key) for key in ("jti", "sub", "ten", "les", "cls")]
    issued_s, starts_s, ends_s, epoch = (_integer_claim(claims, key) for key in ("iat", "nbf", "exp", "ren"))
    if ends_s <= starts_s:
        raise TokenError(TokenRejection.CLAIM, "exp is not after nbf")
    return Seat(names[0], names[1], names[2], names[3], names[4], issued_s, starts_s, ends_s, epoch)


def _name_claim(claims: Mapping[str, Any], key: str) -> str:
    value = claims.get(key)
    if value is None:
        raise TokenError(TokenRejection.CLAIM, f"{key} is missing")
    if not isinstance(value, str) or not NAME.fullmatch(value):
        text = f"{key} must be 1 to {MAX_NAME_LENGTH} printable characters without spaces"
        raise TokenError(TokenRejection.CLAIM, text)
    return value


def _integer_claim(claims: Mapping[str, Any], key: str) -> int:
    value = claims.get(key)
    if value is None:
        raise TokenError(TokenRejection.CLAIM, f"{key} is missing")
    if isinstance(value, bool) or not isinstance(value, int) or not 0 <= value < MAX_TIME_S:
        raise TokenError(TokenRejection.CLAIM, f"{key} must be an integer")
    return value
