"""Frames and datagrams between brokers, encoded as MessagePack by msgspec.

Unknown fields are ignored, so that brokers of two versions are compatible. Field names and tags are part of
the wire format: a renamed field keeps its key with ``msgspec.field(name=...)``.
"""

from __future__ import annotations

import msgspec

from lotuspick.membership.model import Message

PROTOCOL_VERSION = 1
MAX_FRAME_BYTES = 512 * 1024  # holds all records of a fleet of several thousand brokers
MAX_DATAGRAM_BYTES = 8 * 1024


class Hello(msgspec.Struct, frozen=True, tag="hello"):
    """The first frame in each direction, which identifies the sender."""

    address: str
    """host:port on which the sender accepts connections and datagrams."""
    version: int = PROTOCOL_VERSION
    sequence_id: int = msgspec.field(default=0, name="run")
    """Distinguishes the frame numbers that follow from those of an earlier process or channel."""


class Numbered(msgspec.Struct, frozen=True, tag="n"):
    """A message that is delivered in order."""

    number: int
    """Sequence number, which increases with each message that a channel sends to its peer."""
    message: Message


class Envelope(msgspec.Struct, frozen=True, tag="d"):
    """A datagram; its source port may differ from the port on which the sender receives."""

    sender: str
    """host:port of the sender, as in :class:`Hello`."""
    message: Message


ENCODE = msgspec.msgpack.Encoder().encode
"""Encodes any of the messages above."""
FRAME_DECODER = msgspec.msgpack.Decoder(Hello | Numbered)
"""Decodes a TCP frame; raises ``msgspec.DecodeError``."""
DATAGRAM_DECODER = msgspec.msgpack.Decoder(Envelope)
"""Decodes a UDP datagram; raises ``msgspec.DecodeError``."""
