"""What may be lost."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec
from twisted.internet import protocol

from lotuspick.protocol.endpoint_events import address as split
from lotuspick.protocol.errors import ProtocolError
from lotuspick.transport.peers.frames import DATAGRAM, MOST_DATAGRAM

if TYPE_CHECKING:
    from lotuspick.transport.peers.peer_connections import Peers


class Datagrams(protocol.DatagramProtocol):
    """What may be lost."""

    transport: Any

    def __init__(self, peers: Peers) -> None:
        self.peers = peers

    def datagramReceived(self, datagram: bytes, addr: Any) -> None:
        if len(datagram) > MOST_DATAGRAM:
            self.peers.fault(str(addr[0]), f"a datagram of {len(datagram)} bytes, over {MOST_DATAGRAM}")
            return
        try:
            told = DATAGRAM.decode(datagram)
            if told.sender not in self.peers.places:
                split(told.sender)
        except (msgspec.DecodeError, ProtocolError) as fault:
            self.peers.fault(str(addr[0]), str(fault))
            return
        self.peers.take(told.sender, told.message)
