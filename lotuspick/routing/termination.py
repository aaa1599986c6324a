"""Termination reasons of connections, attempts and sessions, and their outcomes for the decision module."""

from __future__ import annotations

from enum import Enum

from lotuspick.core.events import AttemptOutcome


class TerminationReason(Enum):
    """Reason of a termination. The value is the text in log lines and in messages to other processes."""

    # No byte of the attempt was sent.
    DIAL_REFUSED = "dial-refused"
    DIAL_TIMEOUT = "dial-timeout"
    DIAL_FAILED = "dial-failed"  # for example no route or no free file descriptor; no connection was made
    NO_ADDRESS = (
        "no-address"  # the endpoint list has no address for this id, or assigned it to another server
    )
    QUEUE_FULL = "queue-full"
    UNSENT = "unsent"  # still queued when it timed out or was cancelled
    # The edge server reports that it did not execute the attempt.
    REJECTED_BY_SERVER = "turned-away"
    NOT_STARTED = "moot"
    # Bytes may have been sent, so the attempt may have been executed.
    RESET = "reset"  # the next dial shows whether the server process died
    CLOSED_BY_PEER = "closed"  # closed gracefully while the attempt was open
    SERVER_UNRESPONSIVE = "silent"  # the machine neither responds nor accepts connections
    MALFORMED = "malformed"  # the peer sent malformed frames, so its connection was closed
    SETUP_INTERRUPTED = "broken"  # the edge server reports that the set-up was interrupted
    ADDRESS_CHANGED = "moved"  # the server's id now has another address
    SERVER_ERROR = "edge-error"
    NO_ANSWER = "no-answer"  # the attempt timed out
    CANCELLED_BY_VIEWER = "given-up"  # cancelled by the viewer before an answer
    ANSWERED_MEANWHILE = "overruled"  # the decision module answered the viewer before the edge server did
    # Ends of playing sessions.
    FINISHED = "finished"
    INTERRUPTED = "cut"
    SERVER_DOWN = "down"  # its process died, which ended its sessions: it accepts no connections
    REVOKED = "revoked"  # moved or ended by its viewer
    ENTITLEMENT_EXPIRED = "lapsed"  # its viewer's entitlement expired without a renewal
    SUPERSEDED = "superseded"  # another session of the same viewer replaced it
    # Connections only.
    IDLE = "idle"
    CONNECTION_LIMIT = "crowded"  # closed because of the connection limit
    BROKER_STOPPED = "stopped"  # this process is stopping


ATTEMPT_OUTCOMES: dict[TerminationReason, AttemptOutcome] = {
    # Only these prove that nothing was executed, so that a paid session may be retried or rejected.
    TerminationReason.DIAL_REFUSED: AttemptOutcome.UNREACHABLE,
    TerminationReason.DIAL_TIMEOUT: AttemptOutcome.UNREACHABLE,
    TerminationReason.DIAL_FAILED: AttemptOutcome.UNREACHABLE,
    TerminationReason.NO_ADDRESS: AttemptOutcome.UNSENT,
    TerminationReason.QUEUE_FULL: AttemptOutcome.UNSENT,
    TerminationReason.UNSENT: AttemptOutcome.UNSENT,
    TerminationReason.REJECTED_BY_SERVER: AttemptOutcome.FULL,
    TerminationReason.NOT_STARTED: AttemptOutcome.UNSENT,
    # The rest may have been executed.
    TerminationReason.RESET: AttemptOutcome.LOST,
    TerminationReason.CLOSED_BY_PEER: AttemptOutcome.LOST,
    TerminationReason.SERVER_UNRESPONSIVE: AttemptOutcome.LOST,
    TerminationReason.MALFORMED: AttemptOutcome.LOST,
    TerminationReason.SETUP_INTERRUPTED: AttemptOutcome.LOST,
    TerminationReason.ADDRESS_CHANGED: AttemptOutcome.LOST,
    TerminationReason.SERVER_ERROR: AttemptOutcome.ERROR,
    TerminationReason.NO_ANSWER: AttemptOutcome.TIMEOUT,
    TerminationReason.CANCELLED_BY_VIEWER: AttemptOutcome.CANCELLED,
    TerminationReason.ANSWERED_MEANWHILE: AttemptOutcome.CANCELLED,
    TerminationReason.FINISHED: AttemptOutcome.SERVED,
    TerminationReason.INTERRUPTED: AttemptOutcome.LOST,
    TerminationReason.SERVER_DOWN: AttemptOutcome.LOST,
    TerminationReason.REVOKED: AttemptOutcome.CANCELLED,
    TerminationReason.ENTITLEMENT_EXPIRED: AttemptOutcome.CANCELLED,
    TerminationReason.SUPERSEDED: AttemptOutcome.CANCELLED,
    TerminationReason.IDLE: AttemptOutcome.LOST,
    TerminationReason.CONNECTION_LIMIT: AttemptOutcome.LOST,
    TerminationReason.BROKER_STOPPED: AttemptOutcome.LOST,
}
"""Outcome for the decision module, by reason."""

SERVER_MAY_BE_ALIVE = frozenset(
    {
        TerminationReason.DIAL_FAILED,
        TerminationReason.RESET,
        TerminationReason.CLOSED_BY_PEER,
        TerminationReason.MALFORMED,
        TerminationReason.SETUP_INTERRUPTED,
        TerminationReason.ADDRESS_CHANGED,
        TerminationReason.SERVER_ERROR,
        TerminationReason.NO_ANSWER,
    }
)
"""Reasons that concern only the attempt or its connection: the server process may still be alive."""
