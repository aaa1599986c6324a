"""Log lines of the load clients and of the media nodes, parsed."""

from __future__ import annotations

from dataclasses import dataclass

from lotuspick.lab.fleet.load_clients import CONNECTION_LOST
from lotuspick.lab.fleet.site_settings import PAID_CLASS
from lotuspick.lab.rtsp import LOST, STATUS_OK

NODE_LOG_FIELDS = 5


@dataclass(frozen=True, slots=True)
class SetUpResult:
    """Result of one set-up that the load clients requested."""

    broker: int
    is_paid: bool
    requested_s: float
    """Unix time."""
    latency_ms: float
    status: int
    """Status code; 0: no answer."""
    reason: str
    answer_count: int
    connection_lost: bool
    """Whether the connection was lost or could not be opened."""

    @property
    def is_served(self) -> bool:
        """Whether the viewer was served."""
        return self.status == STATUS_OK

    @property
    def answered_s(self) -> float:
        """Unix time of the answer."""
        return self.requested_s + self.latency_ms / 1_000

    @classmethod
    def parse(cls, line: str) -> SetUpResult:
        """Parse a line of the load clients' log."""
        broker, session_class, _, requested_s, latency_ms, status, reason, answer_count, connection_state = (
            line.split()
        )
        return cls(
            int(broker),
            session_class == PAID_CLASS,
            float(requested_s),
            float(latency_ms),
            int(status),
            reason.partition("/")[0],
            int(answer_count),
            connection_state == CONNECTION_LOST or reason.startswith(LOST.reason),
        )


@dataclass(frozen=True, slots=True)
class NodeSetUp:
    """A set-up that a media node executed."""

    executed_s: float
    """Unix time."""
    seat: str
    """Description from the viewer's request, which names the broker."""

    @classmethod
    def parse(cls, line: str) -> NodeSetUp | None:
        """Parse a line of the nodes' log; return None for other entries and incomplete lines."""
        fields = line.split()
        if len(fields) != NODE_LOG_FIELDS or fields[0] != "ran":
            return None
        return cls(float(fields[4]), fields[2])
