"""Dissemination: which news each message to another member carries. Pure.

News is piggybacked on the messages of failure detection, as in SWIM (Das et al., 2002): what was sent least
often goes first, and a piece is dropped once it was sent a multiple of the logarithm of the fleet's size.
"""

from __future__ import annotations

from collections.abc import Iterable
from itertools import islice

from lotuspick.membership.model import MAX_RECORDS, News, Suspicion

Key = tuple[str, str]
"""The member that a piece of news is about, and who suspects it; the latter is empty for a record."""


class GossipQueue:
    """The news that is still to be passed on; a newer piece with the same key replaces the one before.

    Args:
        spread: a piece is sent so many times the logarithm of the number of members.
        piggyback: pieces in one message at most.
    """

    def __init__(self, spread: int, piggyback: int) -> None:
        self.spread, self.piggyback = spread, piggyback
        levels = 1 + spread * MAX_RECORDS.bit_length()
        self._by_times_sent: list[dict[Key, News]] = [{} for _ in range(levels)]
        self._times_sent: dict[Key, int] = {}

    def add(self, news: News) -> None:
        """Pass a piece of news on, as one that was never sent."""
        key = (news.name, news.suspected_by if isinstance(news, Suspicion) else "")
        if key in self._times_sent:
            del self._by_times_sent[self._times_sent[key]][key]
        self._times_sent[key] = 0
        self._by_times_sent[0][key] = news

    def take(self, members: int, receiver: str = "", suspected_by: Iterable[str] = ()) -> list[News]:
        """Return the news for one message, and count it as sent.

        First comes what concerns the receiver, then what was sent least often.

        Args:
            members: how many are known, this broker included.
            receiver: the member that the message goes to; empty: any.
            suspected_by: members that suspect the receiver.
        """
        if not self._times_sent:
            return []
        about_receiver = [(receiver, ""), *((receiver, source) for source in suspected_by)]
        keys = [key for key in about_receiver if key in self._times_sent][: self.piggyback]
        for level in filter(None, self._by_times_sent):
            others = (key for key in level if key[0] != receiver)
            keys += islice(others, self.piggyback - len(keys))
            if len(keys) >= self.piggyback:
                break
        limit = min(len(self._by_times_sent) - 1, self.spread * max(1, members.bit_length()))
        return [self._send_once(key, limit) for key in keys]

    def _send_once(self, key: Key, limit: int) -> News:
        times = self._times_sent.pop(key)
        news = self._by_times_sent[times].pop(key)
        if times + 1 < limit:
            self._times_sent[key] = times + 1
            self._by_times_sent[times + 1][key] = news
        return news
