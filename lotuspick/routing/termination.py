"""Every way in which a connection, an attempt or a session can end, and what each tells the decisions."""

from __future__ import annotations

from enum import Enum

from lotuspick.core.events import AttemptOutcome


class TerminationReason(Enum):
    """One way to end. The value is the word used in log lines."""

    # Nothing of the attempt left this process.
    DIAL_REFUSED = "dial-refused"
    DIAL_TIMEOUT = "dial-timeout"
    DIAL_FAILED = "dial-failed"  # no route, no descriptor left: nothing was connected
    NO_ADDRESS = "no-address"  # the list has no address for this id, or gave it to another
    QUEUE_FULL = "queue-full"
    UNSENT = "unsent"  # still queued when its time was up, or when it was given up
    # The edge server says that it turned the attempt away unseen.
    REJECTED_BY_SERVER = "turned-away"
    NOT_STARTED = "moot"
    # Bytes may have left: the attempt may have run.
    RESET = "reset"  # the connection was reset; whether its process died shows at the next dial
    CLOSED_BY_PEER = "closed"  # the other side closed in order, with the attempt open on it
    SERVER_UNRESPONSIVE = "silent"  # the machine gives no sign and takes no new connection
    MALFORMED = "malformed"  # the other side broke the framing and lost its connection
    SETUP_INTERRUPTED = "broken"  # the edge server says that the set-up broke on its way
    ADDRESS_CHANGED = "moved"  # the server's id has another address now
    SERVER_ERROR = "edge-error"
    NO_ANSWER = "no-answer"  # the attempt's time ran out
    CANCELLED_BY_VIEWER = "given-up"  # by the viewer, before an answer
    ANSWERED_MEANWHILE = "overruled"  # the module answered the viewer while the attempt was out
    # A session that stood.
    FINISHED = "finished"
    INTERRUPTED = "cut"
    SERVER_DOWN = (
        "down"  # its process takes no connection any more, so that it died, and its sessions with it
    )
    REVOKED = "revoked"  # moved, or ended by its viewer
    ENTITLEMENT_EXPIRED = "lapsed"  # what entitled its viewer to it is over, and was not renewed
    SUPERSEDED = "superseded"  # its viewer, coming again, has another in its place
    # Connections only.
    IDLE = "idle"
    CONNECTION_LIMIT = "crowded"  # closed to keep inside the bounds
    BROKER_STOPPED = "stopped"  # this process ends


ATTEMPT_OUTCOMES: dict[TerminationReason, AttemptOutcome] = {
    # Only these prove that nothing ran, so that a paid set-up may be sent again or refused.
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
"""What the module is told. The one place where endings become outcomes."""

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
"""An attempt that ends so tells of itself or its connection alone, not that the server's process is gone."""
