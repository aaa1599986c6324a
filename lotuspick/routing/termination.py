"""Why a connection, an attempt or a session ends, and the outcome that the decisions get."""

from __future__ import annotations

from enum import Enum

from lotuspick.core.events import AttemptOutcome


class TerminationReason(Enum):
    """Why something ended. The value is the text in log lines and in messages to other processes."""

    # Nothing of the attempt left this process.
    DIAL_REFUSED = "dial-refused"
    DIAL_TIMEOUT = "dial-timeout"
    DIAL_FAILED = "dial-failed"  # no route, no descriptor left: nothing was connected
    NO_ADDRESS = "no-address"  # the endpoint list has no address for this id, or gave it to another
    QUEUE_FULL = "queue-full"
    UNSENT = "unsent"  # still queued when it timed out or was cancelled
    # The edge server reports that it did not run the attempt.
    REJECTED_BY_SERVER = "turned-away"
    NOT_STARTED = "moot"
    # Bytes may have left: the attempt may have run.
    RESET = "reset"  # the connection was reset; whether the process died shows at the next dial
    CLOSED_BY_PEER = "closed"  # closed in order, with the attempt open on it
    SERVER_UNRESPONSIVE = "silent"  # the machine does not respond and accepts no new connection
    MALFORMED = "malformed"  # the peer broke the framing and lost its connection
    SETUP_INTERRUPTED = "broken"  # the edge server reports that the set-up was interrupted
    ADDRESS_CHANGED = "moved"  # the server's id has another address now
    SERVER_ERROR = "edge-error"
    NO_ANSWER = "no-answer"  # the attempt's time ran out
    CANCELLED_BY_VIEWER = "given-up"  # by the viewer, before an answer
    ANSWERED_MEANWHILE = "overruled"  # the decisions answered the viewer while the attempt was out
    # A session that played.
    FINISHED = "finished"
    INTERRUPTED = "cut"
    SERVER_DOWN = "down"  # its process accepts no connection any more: it died, and its sessions with it
    REVOKED = "revoked"  # moved, or ended by its viewer
    ENTITLEMENT_EXPIRED = "lapsed"  # its viewer's entitlement has expired and was not renewed
    SUPERSEDED = "superseded"  # another session of the same viewer replaced it
    # Connections only.
    IDLE = "idle"
    CONNECTION_LIMIT = "crowded"  # closed to keep within the limit of connections
    BROKER_STOPPED = "stopped"  # this process stops


ATTEMPT_OUTCOMES: dict[TerminationReason, AttemptOutcome] = {
    # Only these prove that nothing ran, so that a paid session may be retried or rejected.
    TerminationReason.DIAL_REFUSED: AttemptOutcome.UNREACHABLE,
    TerminationReason.DIAL_TIMEOUT: AttemptOutcome.UNREACHABLE,
    TerminationReason.DIAL_FAILED: AttemptOutcome.UNREACHABLE,
    TerminationReason.NO_ADDRESS: AttemptOutcome.UNSENT,
    TerminationReason.QUEUE_FULL: AttemptOutcome.UNSENT,
    TerminationReason.UNSENT: AttemptOutcome.UNSENT,
    TerminationReason.REJECTED_BY_SERVER: AttemptOutcome.FULL,
    TerminationReason.NOT_STARTED: AttemptOutcome.UNSENT,
    # The rest may have run.
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
"""The outcome that the decisions get for each reason."""

SERVER_STILL_ALIVE = frozenset(
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
"""Reasons that concern the attempt or its connection alone: the process of the server may well be alive."""
