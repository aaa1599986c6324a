"""Renewal of the token of a session that plays: its result, and the interface that transports call."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from lotuspick.entitlement.model import TokenRejection


class RenewalFailure(Enum):
    """Why a renewal fails whose token is not at fault. The value is the word in answers."""

    SESSION_UNKNOWN = "session-unknown"
    """No session of this id plays here."""
    SEAT_LAPSED = "seat-lapsed"
    """The seat is no longer the session's."""
    STORE = "seat-store"
    """The renewal could not be written."""


@dataclass(frozen=True, slots=True)
class RenewalRejection:
    """A renewal that did not take place."""

    reason: TokenRejection | RenewalFailure

    @property
    def token_is_invalid(self) -> bool:
        """Whether the same token is never valid for this session."""
        return isinstance(self.reason, TokenRejection)

    @property
    def text(self) -> str:
        """The reason as it is answered to the viewer."""
        return f"token-{self.reason.value}" if self.token_is_invalid else self.reason.value


RenewalCallback = Callable[[RenewalRejection | None], None]
"""Called once a renewal is durable, with None, or is rejected, with the reason."""

RenewToken = Callable[[str, str, RenewalCallback], None]
"""Takes a session that plays, a newer token, and a callback; the callback may be called at once."""
