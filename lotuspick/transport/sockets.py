"""Helpers shared by all transports: clocks, socket checks, and the reasons why connections end."""

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

Reactor = Any  # Twisted's reactor has no single type: it implements IReactorTCP, IReactorTime and others

MONOTONIC_TO_UNIX_NS = time.time_ns() - time.monotonic_ns()  # as of the start of the process


def now_us() -> int:
    """Unix time (us) that advances monotonically from the start of the process.

    It ignores steps of the system clock: a step back would delay all timers, and a step forward would fire
    them all at once.
    """
    return (MONOTONIC_TO_UNIX_NS + time.monotonic_ns()) // 1_000


def wall_s() -> float:
    """Unix time of the system clock (s)."""
    return time.time()


def readable(*descriptors: int) -> bool:
    """Whether any of the sockets has unread input, an unread end of stream, or a connection to accept.

    Negative descriptors are ignored.
    """
    poll = select.poll()
    for descriptor in descriptors:
        if descriptor >= 0:
            poll.register(descriptor, select.POLLIN)
    return bool(poll.poll(0))


def closed_by_peer(descriptor: int) -> bool:
    """Whether the peer has closed the connection or its sending direction, even if input is still unread."""
    poll = select.poll()
    if descriptor >= 0:
        poll.register(descriptor, select.POLLRDHUP)
    return bool(poll.poll(0))


def has_unsent_output(transport: Any) -> bool:
    """Whether a Twisted transport buffers bytes that it has not yet written to its socket.

    Twisted has no public API for this. The transports of tests may have no buffer and then no unsent output.
    """
    return bool(getattr(transport, "dataBuffer", b"") or getattr(transport, "_tempDataBuffer", ()))


def peer_address(transport: Any) -> str:
    """The address of the peer of a Twisted transport, which identifies its connection while it is open."""
    peer = transport.getPeer()
    return f"{getattr(peer, 'host', '')}:{getattr(peer, 'port', '')}"


def shut_down(connection: socket.socket) -> None:
    """Shut down both directions of a connection, so that the peer detects the close at once.

    The reactor closes the socket in its next iteration at the earliest, and data that the peer sends until
    then would be lost.
    """
    with suppress(OSError):
        connection.shutdown(socket.SHUT_RDWR)


def loss_reason(failure: Failure) -> TerminationReason:
    """The reason why an established connection ended."""
    if failure.check(error.ConnectionDone):
        return TerminationReason.CLOSED_BY_PEER
    return TerminationReason.RESET


def dial_failure_reason(failure: Failure) -> TerminationReason:
    """The reason why a connection could not be established."""
    if failure.check(error.ConnectionRefusedError):
        return TerminationReason.DIAL_REFUSED
    if failure.check(error.TimeoutError, error.TCPTimedOutError):
        return TerminationReason.DIAL_TIMEOUT
    if isinstance(failure.value, OSError) and failure.value.errno == errno.ECONNREFUSED:
        return TerminationReason.DIAL_REFUSED
    return TerminationReason.DIAL_FAILED
