"""Unreliable messages between brokers, one UDP datagram each."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec
from twisted.internet import protocol

from lotuspick.protocol.endpoint_events import parse_address
from lotuspick.protocol.errors import ProtocolError
from lotuspick.transport.peers.frames import DATAGRAM_DECODER, MAX_DATAGRAM_BYTES, Envelope

if TYPE_CHECKING:
    from lotuspick.transport.peers.peer_connections import PeerConnections


class PeerDatagrams(protocol.DatagramProtocol):
    """The UDP socket of one broker."""

    transport: Any

    def __init__(self, peers: PeerConnections) -> None:
        self.peers = peers

    def datagramReceived(self, datagram: bytes, addr: tuple[str, int]) -> None:
        """Handle a datagram (Twisted's callback); ``addr`` is its source and does not identify the sender."""
        try:
            envelope = self._decode(datagram)
        except (msgspec.DecodeError, ProtocolError) as error:
            self.peers.report_malformed(str(addr[0]), str(error))
            return
        self.peers.on_message(envelope.sender, envelope.message)

    def _decode(self, datagram: bytes) -> Envelope:
        if len(datagram) > MAX_DATAGRAM_BYTES:
            raise ProtocolError(f"datagram of {len(datagram)} bytes exceeds {MAX_DATAGRAM_BYTES}")
        envelope = DATAGRAM_DECODER.decode(datagram)
        if envelope.sender not in self.peers.endpoints:  # a known endpoint has been parsed already
            parse_address(envelope.sender)
        return envelope
