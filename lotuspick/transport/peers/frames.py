"""Frames and datagrams between brokers."""

from __future__ import annotations

import msgspec

from lotuspick.membership.model import Message

PROTOCOL_VERSION = 1
MAX_FRAME_BYTES = 512 * 1024  # bytes: all records of a fleet of some thousands
MAX_DATAGRAM_BYTES = 8 * 1024  # bytes

ENCODE = msgspec.msgpack.Encoder().encode


class Hello(msgspec.Struct, frozen=True, tag="hello"):
    """The first frame each way: who speaks, and by what its numbers are told from those of an earlier time."""

    address: str
    version: int = PROTOCOL_VERSION
    sequence_id: int = msgspec.field(default=0, name="run")


class Numbered(msgspec.Struct, frozen=True, tag="n"):
    """One message of those in order. The number rises with each that a process sends to a peer."""

    number: int
    message: Message


class Envelope(msgspec.Struct, frozen=True, tag="d"):
    """A datagram: it may come from another port than the one its sender takes them on."""

    sender: str
    message: Message


FRAME = msgspec.msgpack.Decoder(Hello | Numbered)
DATAGRAM = msgspec.msgpack.Decoder(Envelope)
