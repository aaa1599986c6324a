"""What the rig reads back: set-ups that load clients asked for, and those that media nodes ran."""

from __future__ import annotations

from dataclasses import dataclass

from lotuspick.lab.fleet.load_clients import CONNECTION_CUT
from lotuspick.lab.fleet.site_settings import PAID_CLASS
from lotuspick.lab.rtsp import LOST, STATUS_OK

NODE_LOG_WORDS = 5


@dataclass(frozen=True, slots=True)
class SetUpResult:
    """What became of one set-up that the load clients asked for."""

    broker: int
    is_paid: bool
    asked_s: float
    """Unix time."""
    took_ms: float
    status: int
    """0: no answer came."""
    reason: str
    answer_count: int
    connection_lost: bool
    """Its connection was lost, or never came up."""

    @property
    def is_served(self) -> bool:
        """Whether the viewer was served."""
        return self.status == STATUS_OK

    @property
    def answered_s(self) -> float:
        """Unix time of its answer."""
        return self.asked_s + self.took_ms / 1_000

    @classmethod
    def parse(cls, line: str) -> SetUpResult:
        """Read a line of the load clients' log."""
        broker, session_class, _, asked_s, took_ms, status, reason, answer_count, how = line.split()
        return cls(
            int(broker),
            session_class == PAID_CLASS,
            float(asked_s),
            float(took_ms),
            int(status),
            reason.partition("/")[0],
            int(answer_count),
            how == CONNECTION_CUT or reason.startswith(LOST.reason),
        )


@dataclass(frozen=True, slots=True)
class NodeSetUp:
    """A set-up that a media node ran."""

    ran_s: float
    """Unix time."""
    seat: str
    """The description that the viewer sent: which broker it asked."""

    @classmethod
    def parse(cls, line: str) -> NodeSetUp | None:
        """Read a line of the nodes' log; none where it is of something else, or not complete."""
        words = line.split()
        if len(words) != NODE_LOG_WORDS or words[0] != "ran":
            return None
        return cls(float(words[4]), words[2])
