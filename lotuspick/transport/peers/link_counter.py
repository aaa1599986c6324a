"""Counters of the link between brokers, which operators see as ``link_...``."""

from __future__ import annotations

from enum import StrEnum


class LinkCounter(StrEnum):
    """Names of the counters. They are printed with underscores and must not change."""

    CROSSED = "crossed"
    """A connection was replaced by another one with the same peer."""
    HELLO_TIMEOUT = "mute"
    """A connection was closed because no hello arrived in time."""
    MALFORMED = "malformed"
    """A frame or datagram was malformed or violated the protocol."""
    NOT_DIALLED = "not-dialled"
    """A dial failed."""
    CLOSED_BEFORE_HELLO = "not-greeted"
    """A dialled connection closed before the peer's hello."""
    NOT_SENT = "not-sent"
    """A datagram could not be sent."""
    OUT_OF_ORDER = "overtaken"
    """A frame was ignored because it followed a later one or belongs to an earlier sequence."""
    QUEUE_FULL = "refused"
    """A message was rejected because the queue of its peer is full."""
    TOO_LARGE = "too-large"
    """A message was rejected because it exceeds the frame size."""
    HELLO_LIMIT = "crowded"
    """An accepted connection was closed because too many connections were awaiting a hello."""
