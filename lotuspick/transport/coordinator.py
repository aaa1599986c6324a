"""The coordinator's feed: a long poll that is asked again at once, whatever happens to it."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred
from twisted.python.failure import Failure
from twisted.web.client import Agent, HTTPConnectionPool

from lotuspick.protocol import coordinator as wire
from lotuspick.protocol.faults import ProtocolFault
from lotuspick.transport.base import Reactor
from lotuspick.transport.bodies import read_body

log = logging.getLogger(__name__)

WAIT_MS = 1_000  # how long an answer may take that has nothing to tell; short, so that silence shows soon
GRACE_S = 0.75  # an answer later than the wait by this has been lost with its connection
AGAIN_S = 0.1  # pause after a failure, so that a coordinator that refuses is not asked in a tight loop


class Feed:
    """Follows the coordinator from an index on."""

    def __init__(self, reactor: Reactor, address: str, index: int,
                 tell: Callable[[wire.Change], None]) -> None:
        self.reactor, self.address, self.index, self.tell = reactor, address, index, tell
        self.agent = Agent(reactor, connectTimeout=GRACE_S, pool=HTTPConnectionPool(reactor))
        self.failing = self.moved = False
        self.asked: Deferred[Any] | None = None

    def move(self, address: str) -> None:
        """Follow another coordinator from the same index on. Guards against a wait at the old one that tells
        nothing more: it is given up, and the new one is asked at once."""
        if address == self.address:
            return
        self.address, self.moved = address, True
        if self.asked is not None:
            self.asked.cancel()

    def poll(self) -> None:
        """Ask for what is later than the last index; never stops."""
        self.moved = False
        url = f"http://{self.address}/v2/stream?follow={self.index}&wait_ms={WAIT_MS}"
        asked: Deferred[Any] = self.agent.request(b"GET", url.encode())
        self.asked = asked
        asked.addCallback(self._answer)
        asked.addTimeout(WAIT_MS / 1_000 + GRACE_S, self.reactor)
        asked.addCallbacks(self._read, self._failed)
        asked.addErrback(self._failed)

    def _answer(self, response: Any) -> Deferred[bytes]:
        if response.code != 200:
            raise ProtocolFault(f"status {response.code}")
        return read_body(response)

    def _read(self, body: bytes) -> None:
        answer = wire.parse(body, self.index)
        for fault in answer.faults:
            log.error("malformed update passed over", extra={"fault": fault})
        for change in answer.changes:
            self.tell(change)
        self.index = max(self.index, answer.last)
        if self.failing:
            log.info("coordinator answers again", extra={"index": self.index})
            self.failing = False
        self.reactor.callLater(0, self.poll)

    def _failed(self, reason: Failure) -> None:
        if not self.failing and not self.moved:
            log.warning("coordinator does not answer", extra={"fault": reason.getErrorMessage()[:200]})
            self.failing = True
        self.reactor.callLater(0 if self.moved else AGAIN_S, self.poll)
