"""What the transports share: the reactor's face, the clock, and how a connection ended."""

from __future__ import annotations

import errno
import select
import socket
import time
from contextlib import suppress
from typing import Any

from twisted.internet import error
from twisted.python.failure import Failure

from lotuspick.routing.termination import TerminationReason

Reactor = Any  # Twisted's reactor has no one type: it provides IReactorTCP, IReactorTime and more


ANCHOR_NS = time.time_ns() - time.monotonic_ns()


def now_us() -> int:
    """Unix time as it went on since the start of the process, whatever is done to the system's clock: a step back of
    that one would have all that is due wait, a step forward would have all of it due at once."""
    return (ANCHOR_NS + time.monotonic_ns()) // 1_000


def wall_s() -> float:
    """The system's Unix clock."""
    return time.time()


def readable(*descriptors: int) -> bool:
    """Whether something has come on a socket, its end included, that was not read yet; a new connection, on one that
    listens."""
    poll = select.poll()
    for descriptor in descriptors:
        if descriptor >= 0:
            poll.register(descriptor, select.POLLIN)
    return bool(poll.poll(0))


def hung_up(descriptor: int) -> bool:
    """Whether the other side has closed, though what it sent before that may lie unread."""
    poll = select.poll()
    if descriptor >= 0:
        poll.register(descriptor, select.POLLRDHUP)
    return bool(poll.poll(0))


def ended(connection: socket.socket) -> None:
    """Tell the other side now that a connection is over: the reactor closes it in its next look at the earliest, and
    what is sent meanwhile would be lost."""
    with suppress(OSError):
        connection.shutdown(socket.SHUT_RDWR)


def lost(reason: Failure) -> TerminationReason:
    """How a connection ended that was up."""
    if reason.check(error.ConnectionDone):
        return TerminationReason.CLOSED_BY_PEER
    return TerminationReason.RESET


def dial_failed(reason: Failure) -> TerminationReason:
    """How a connection ended that never came up."""
    if reason.check(error.ConnectionRefusedError):
        return TerminationReason.DIAL_REFUSED
    if reason.check(error.TimeoutError, error.TCPTimedOutError):
        return TerminationReason.DIAL_TIMEOUT
    if isinstance(reason.value, OSError) and reason.value.errno == errno.ECONNREFUSED:
        return TerminationReason.DIAL_REFUSED
    return TerminationReason.DIAL_FAILED
