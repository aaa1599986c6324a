"""Tokens: JWS compact (RFC 7515) of a JWT (RFC 7519), signed with Ed25519 (RFC 8037)."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass
from functools import lru_cache
from typing import Any

import jwt
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey, Ed25519PublicKey

from lotuspick.entitlement.model import MAX_TOKEN_BYTES, Seat, TokenError, TokenRejection, parse_claims

ALGORITHM = "EdDSA"
JWS = jwt.PyJWS(algorithms=[ALGORITHM])
HEADER_CACHE_SIZE = 256  # parsed headers; all tokens of one key share one header
DEFAULT_SKEW_S = 60  # allowed difference between the clocks of issuers and brokers


@dataclass(frozen=True, slots=True)
class PublicKey:
    """A verification key, and the period (Unix seconds) of the tokens that it may sign."""

    kid: str
    key: Ed25519PublicKey
    from_s: int = 0
    until_s: int = 1 << 40
    withdrawn: bool = False


def sign(seat: Seat, audience: str, kid: str, key: Ed25519PrivateKey) -> str:
    """Sign the token of a seat.

    Raises:
        TokenError: no broker would accept the token: a claim is malformed, or the token is too long.
    """
    parse_claims(seat.claims(audience))
    token = jwt.encode(seat.claims(audience), key, ALGORITHM, {"kid": kid})
    if len(token) > MAX_TOKEN_BYTES:
        raise TokenError(TokenRejection.OVERSIZE, f"{len(token)} bytes")
    return token


class TokenVerifier:
    """Verifies tokens for one audience. Owns a copy of its keys, which is not modified."""

    def __init__(self, audience: str, keys: Mapping[str, PublicKey], skew_s: int = DEFAULT_SKEW_S) -> None:
        self.audience, self.keys, self.skew_s = audience, dict(keys), skew_s

    def verify(self, token: str, now_s: float, grace_s: float = 0.0) -> Seat:
        """Return the seat of a valid token. The signature is verified before any claim is read.

        Args:
            token: encoded token of the request.
            now_s: Unix seconds.
            grace_s: time after the end of the token in which it is still accepted, for renewals.

        Raises:
            TokenError: the token is rejected, with the reason.
        """
        if len(token) > MAX_TOKEN_BYTES:
            raise TokenError(TokenRejection.OVERSIZE, f"{len(token)} bytes")
        key = self._key_of(token)
        claims = _verified_claims(token, key)
        if claims.get("aud") != self.audience:
            raise TokenError(TokenRejection.AUDIENCE)
        seat = parse_claims(claims)
        self._check_times(seat, key, now_s, grace_s)
        return seat

    def _key_of(self, token: str) -> PublicKey:
        """Return the key that the header names. The key, not the header, determines the algorithm."""
        try:
            algorithm, kid = _parse_header(token.partition(".")[0])
        except (jwt.PyJWTError, ValueError, TypeError, RecursionError):
            raise TokenError(TokenRejection.MALFORMED) from None
        if algorithm != ALGORITHM:
            raise TokenError(TokenRejection.ALGORITHM)
        key = self.keys.get(kid)
        if key is None:
            raise TokenError(TokenRejection.UNKNOWN_KEY)
        if key.withdrawn:
            raise TokenError(TokenRejection.WITHDRAWN_KEY, key.kid)
        return key

    def _check_times(self, seat: Seat, key: PublicKey, now_s: float, grace_s: float) -> None:
        if not key.from_s - self.skew_s <= seat.issued_s <= key.until_s + self.skew_s:
            raise TokenError(TokenRejection.WITHDRAWN_KEY, f"{key.kid} did not sign at that time")
        if max(seat.starts_s, seat.issued_s) > now_s + self.skew_s:
            raise TokenError(TokenRejection.NOT_YET)
        if seat.ends_s + self.skew_s + grace_s <= now_s:
            raise TokenError(TokenRejection.EXPIRED)


@lru_cache(maxsize=HEADER_CACHE_SIZE)
def _parse_header(text: str) -> tuple[object, str]:
    """Return the algorithm and the key id of an encoded header."""
    header = jwt.get_unverified_header(f"{text}.e30.")
    return header.get("alg"), str(header.get("kid"))


def _verified_claims(token: str, key: PublicKey) -> dict[str, Any]:
    try:
        claims = json.loads(JWS.decode(token, key.key, algorithms=[ALGORITHM]))
    except jwt.InvalidSignatureError:
        raise TokenError(TokenRejection.SIGNATURE) from None
    except (jwt.PyJWTError, ValueError, TypeError, RecursionError):
        raise TokenError(TokenRejection.MALFORMED) from None
    if not isinstance(claims, dict):
        raise TokenError(TokenRejection.MALFORMED)
    return claims
