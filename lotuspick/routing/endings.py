"""Every way in which a connection, an attempt or a session can end, and what each tells the decisions."""

from __future__ import annotations

from enum import Enum


class Ending(Enum):
    """One way to end. The value is the word used in log lines."""

    # Nothing of the attempt left this process.
    DIAL_REFUSED = "dial-refused"
    DIAL_TIMEOUT = "dial-timeout"
    DIAL_FAILED = "dial-failed"  # no route, no descriptor left: nothing was connected
    NO_ADDRESS = "no-address"  # the list has no address for this id, or gave it to another
    QUEUE_FULL = "queue-full"
    UNSENT = "unsent"  # still queued when its time was up, or when it was given up
    # The edge server says that it turned the attempt away unseen.
    TURNED_AWAY = "turned-away"
    MOOT = "moot"
    # Bytes may have left: the attempt may have run.
    RESET = "reset"  # the connection was reset; whether its process died shows at the next dial
    CLOSED = "closed"  # the other side closed in order, with the attempt open on it
    SILENT = "silent"  # the machine gives no sign and takes no new connection
    MALFORMED = "malformed"  # the other side broke the framing and lost its connection
    BROKEN = "broken"  # the edge server says that the set-up broke on its way
    MOVED = "moved"  # the server's id has another address now
    EDGE_ERROR = "edge-error"
    NO_ANSWER = "no-answer"  # the attempt's time ran out
    GIVEN_UP = "given-up"  # by the viewer, before an answer
    OVERRULED = "overruled"  # the module answered the viewer while the attempt was out
    # A session that stood.
    FINISHED = "finished"
    CUT = "cut"
    DOWN = "down"  # its process takes no connection any more, so that it died, and its sessions with it
    REVOKED = "revoked"  # moved, or ended by its viewer
    LAPSED = "lapsed"  # what entitled its viewer to it is over, and was not renewed
    SUPERSEDED = "superseded"  # its viewer, coming again, has another in its place
    # Connections only.
    IDLE = "idle"
    CROWDED = "crowded"  # closed to keep inside the bounds
    STOPPED = "stopped"  # this process ends


OUTCOMES: dict[Ending, str] = {
    # Only these prove that nothing ran, so that a paid set-up may be sent again or refused.
    Ending.DIAL_REFUSED: "unreachable",
    Ending.DIAL_TIMEOUT: "unreachable",
    Ending.DIAL_FAILED: "unreachable",
    Ending.NO_ADDRESS: "unsent",
    Ending.QUEUE_FULL: "unsent",
    Ending.UNSENT: "unsent",
    Ending.TURNED_AWAY: "full",
    Ending.MOOT: "unsent",
    # The rest may have run.
    Ending.RESET: "lost",
    Ending.CLOSED: "lost",
    Ending.SILENT: "lost",
    Ending.MALFORMED: "lost",
    Ending.BROKEN: "lost",
    Ending.MOVED: "lost",
    Ending.EDGE_ERROR: "error",
    Ending.NO_ANSWER: "timeout",
    Ending.GIVEN_UP: "cancelled",
    Ending.OVERRULED: "cancelled",
    Ending.FINISHED: "served",
    Ending.CUT: "lost",
    Ending.DOWN: "lost",
    Ending.REVOKED: "cancelled",
    Ending.LAPSED: "cancelled",
    Ending.SUPERSEDED: "cancelled",
    Ending.IDLE: "lost",
    Ending.CROWDED: "lost",
    Ending.STOPPED: "lost",
}
"""What the module is told. The one place where endings become outcomes."""

ALIVE = frozenset(
    {
        Ending.DIAL_FAILED,
        Ending.RESET,
        Ending.CLOSED,
        Ending.MALFORMED,
        Ending.BROKEN,
        Ending.MOVED,
        Ending.EDGE_ERROR,
        Ending.NO_ANSWER,
    }
)
"""An attempt that ends so tells of itself or its connection alone, not that the server's process is gone."""
