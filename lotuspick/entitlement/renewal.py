"""Renewal of the token of a playing session: its result, and the callback types that transports use."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from lotuspick.entitlement.model import TokenRejection


class RenewalFailure(Enum):
    """The reason for which a renewal with a valid token fails. The values are used in answers."""

    SESSION_UNKNOWN = "session-unknown"
    """No session with this id plays at this broker."""
    SEAT_LAPSED = "seat-lapsed"
    """The session no longer holds the seat."""
    STORE = "seat-store"
    """The renewal could not be stored."""


@dataclass(frozen=True, slots=True)
class RenewalRejection:
    """A rejected renewal."""

    reason: TokenRejection | RenewalFailure

    @property
    def token_is_invalid(self) -> bool:
        """Whether the token can never be valid for this session."""
        return isinstance(self.reason, TokenRejection)

    @property
    def text(self) -> str:
        """The reason in the answer to the viewer."""
        return f"token-{self.reason.value}" if self.token_is_invalid else self.reason.value


RenewalCallback = Callable[[RenewalRejection | None], None]
"""Called with None once a renewal is durable, or with the rejection."""

RenewToken = Callable[[str, str, RenewalCallback], None]
"""Takes a playing session, a newer token and a callback, which may be called at once."""
