"""Check of a request's token. Pure."""

from __future__ import annotations

from collections.abc import Container

from lotuspick.core.events import SessionRequest
from lotuspick.entitlement.model import Seat, TokenError, TokenRejection
from lotuspick.entitlement.tokens import TokenVerifier


def check_request_token(
    verifier: TokenVerifier,
    revoked: Container[str],
    request: SessionRequest,
    token: str,
    now_s: float,
    grace_s: float = 0.0,
) -> Seat:
    """Return the seat of a token that is valid for a request.

    Args:
        verifier: verifier with the keys of this installation.
        revoked: seats that are rejected even with a valid token.
        request: request whose viewer, title, class and tenant the token must name.
        token: token of the request; may be empty.
        now_s: Unix seconds.
        grace_s: time after the end of the token in which it is still accepted.

    Raises:
        TokenError: the token is rejected; if it is for another request, the detail is the claim that differs.
    """
    if not token:
        raise TokenError(TokenRejection.MISSING)
    seat = verifier.verify(token, now_s, grace_s)
    if seat.seat in revoked:
        raise TokenError(TokenRejection.REVOKED)
    for claim, entitled, requested in (
        ("sub", seat.viewer, request.viewer),
        ("les", seat.title, request.title),
        ("cls", seat.session_class, request.session_class),
        ("ten", seat.tenant, request.tenant or seat.tenant),
    ):
        if entitled != requested:
            raise TokenError(TokenRejection.OTHER, claim)
    return seat
