"""Dissemination of membership updates. Pure.

Updates are piggybacked on the messages of failure detection, as in SWIM (Das et al., 2002). The updates
sent least often go first. An update is dropped after a number of transmissions that is proportional to the
logarithm of the fleet's size.
"""

from __future__ import annotations

from collections.abc import Iterable
from itertools import islice

from lotuspick.membership.model import MAX_RECORDS, MembershipUpdate, Suspicion

UpdateKey = tuple[str, str]
"""The member that an update concerns, and the member that suspects it (empty for a record)."""


class GossipQueue:
    """Updates that still have to be sent. A newer update replaces an older one with the same key.

    Args:
        retransmit_factor: transmissions of an update, as a multiple of the bit length of the fleet's size.
        max_piggybacked: maximum number of updates in one message.
    """

    def __init__(self, retransmit_factor: int, max_piggybacked: int) -> None:
        self.retransmit_factor, self.max_piggybacked = retransmit_factor, max_piggybacked
        levels = 1 + retransmit_factor * MAX_RECORDS.bit_length()
        self._by_times_sent: list[dict[UpdateKey, MembershipUpdate]] = [{} for _ in range(levels)]
        self._times_sent: dict[UpdateKey, int] = {}

    def add(self, update: MembershipUpdate) -> None:
        """Add an update with a transmission count of 0."""
        key = (update.name, update.suspected_by if isinstance(update, Suspicion) else "")
        if key in self._times_sent:
            del self._by_times_sent[self._times_sent[key]][key]
        self._times_sent[key] = 0
        self._by_times_sent[0][key] = update

    def take(
        self, members: int, receiver: str = "", suspected_by: Iterable[str] = ()
    ) -> list[MembershipUpdate]:
        """Return the updates for one message, and count them as sent.

        Updates about the receiver come first, then the updates that were sent least often.

        Args:
            members: number of known members, including this broker.
            receiver: name of the receiving member; empty: any member.
            suspected_by: members that suspect the receiver.
        """
        if not self._times_sent:
            return []
        about_receiver = [(receiver, ""), *((receiver, source) for source in suspected_by)]
        keys = [key for key in about_receiver if key in self._times_sent][: self.max_piggybacked]
        for level in filter(None, self._by_times_sent):
            others = (key for key in level if key[0] != receiver)
            keys += islice(others, self.max_piggybacked - len(keys))
            if len(keys) >= self.max_piggybacked:
                break
        limit = min(len(self._by_times_sent) - 1, self.retransmit_factor * max(1, members.bit_length()))
        return [self._send_once(key, limit) for key in keys]

    def _send_once(self, key: UpdateKey, limit: int) -> MembershipUpdate:
        times = self._times_sent.pop(key)
        update = self._by_times_sent[times].pop(key)
        if times + 1 < limit:
            self._times_sent[key] = times + 1
            self._by_times_sent[times + 1][key] = update
        return update
