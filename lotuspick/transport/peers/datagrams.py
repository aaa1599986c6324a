"""What may be lost."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec
from twisted.internet import protocol

from lotuspick.protocol.endpoint_events import address as parse_address
from lotuspick.protocol.errors import ProtocolError
from lotuspick.transport.peers.frames import DATAGRAM, MAX_DATAGRAM_BYTES

if TYPE_CHECKING:
    from lotuspick.transport.peers.peer_connections import PeerConnections


class PeerDatagrams(protocol.DatagramProtocol):
    """What may be lost."""

    transport: Any

    def __init__(self, peers: PeerConnections) -> None:
        self.peers = peers

    def datagramReceived(self, datagram: bytes, addr: Any) -> None:
        if len(datagram) > MAX_DATAGRAM_BYTES:
            self.peers.report_malformed(
                str(addr[0]), f"a datagram of {len(datagram)} bytes, over {MAX_DATAGRAM_BYTES}"
            )
            return
        try:
            told = DATAGRAM.decode(datagram)
            if told.sender not in self.peers.endpoints:
                parse_address(told.sender)
        except (msgspec.DecodeError, ProtocolError) as fault:
            self.peers.report_malformed(str(addr[0]), str(fault))
            return
        self.peers.on_message(told.sender, told.message)
