"""Checks the records of a soak's clients, media nodes and rig against the limits of the platform.

Each check is a function that returns a list of violations, empty if there are none. No check queries the
broker. Timestamps around a stall of the client process are unreliable and are not checked.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Sequence
from dataclasses import dataclass, field

from lotuspick.lab.rtsp import STATUS_OK
from lotuspick.lab.soak.records import BrokerRun, ClientEvent, ClientEventKind, NodeEvent, NodeEventKind

ANSWER_SLACK_S = 0.5 + 0.05
"""The platform counts a final answer as lost 0.5 s after the time limit. Limits of answers and releases
include a tolerance of 50 ms."""
CROSSING_WINDOW_S = 0.05
FORWARDED_AFTER_CANCEL_LIMIT_S = 0.3
RELEASE_LIMIT_S = 1.0 + 0.05
RELEASE_LIMIT_UNCONNECTED_S = 8.0 + 0.05
KILL_EXEMPTION_S = 0.7
"""A request sent at most this long after SIGTERM may be unanswered at SIGKILL; a later one is lost."""
TERMINATION_GRACE_S = 3.0 + 0.7
"""Minimum time from SIGTERM to SIGKILL: the longest deadline in the soak's site settings plus 0.7 s."""
READY_LIMIT_S = 10.0
SIGTERM_EXIT_CODE = -15
"""Exit code of a process that SIGTERM terminated before its handlers were installed."""
MEMORY_LIMIT_MB = 192.0
VIEWER_DESCRIPTOR_DIVISOR = 3
"""On the platform viewers hold at most 1/3 of the broker's descriptors; a connection burst may hold more."""
MAX_EXTRA_DESCRIPTORS = 8
"""Allowance for connections to edge servers and the coordinator that opened during a connection flood."""


@dataclass(slots=True)
class Request:
    """One set-up as seen by its client, including resends on other connections."""

    session: str
    is_paid: bool = False
    sent: list[ClientEvent] = field(default_factory=list)
    answers: list[ClientEvent] = field(default_factory=list)
    cancelled_s: float = 0.0
    """0 if the client did not cancel."""


@dataclass(frozen=True, slots=True)
class Violation:
    """A broken rule; ``detail`` names the session or process and the observation."""

    rule: str
    detail: str


class ClientRecord:
    """Events of the clients, indexed by request, connection and session."""

    def __init__(self, events: Sequence[ClientEvent], descriptors: int) -> None:
        self.requests: dict[str, Request] = {}
        self.closed_s: dict[int, float] = {}
        self.released_s: dict[str, float] = {}
        self.ended_s: dict[str, float] = {}
        self.stalled_spans: list[tuple[float, float]] = []
        """Time spans in which the client process was stalled."""
        self.open_spans: dict[int, tuple[float, float]] = {}
        """Time span in which each connection was open."""
        self.over_limit_spans: list[tuple[float, float]] = []
        """Time spans in which clients held more connections than viewers may on the platform."""
        self._max_viewer_connections = descriptors // VIEWER_DESCRIPTOR_DIVISOR
        self._open_count = 0
        self._over_limit_since_s: float | None = None
        for event in events:
            self._add(event)

    def _add(self, event: ClientEvent) -> None:
        match event.kind:
            case ClientEventKind.CONNECTED:
                self.open_spans[event.connection] = (event.at_s, float("inf"))
                self._count_open(1, event.at_s)
            case ClientEventKind.CLOSED:
                self.closed_s[event.connection] = event.at_s
                self.open_spans[event.connection] = (self.open_spans[event.connection][0], event.at_s)
                self._count_open(-1, event.at_s)
            case ClientEventKind.SENT:
                request = self.requests.setdefault(event.session, Request(event.session, event.is_paid))
                request.sent.append(event)
            case ClientEventKind.ANSWERED:
                if event.session in self.requests:
                    self.requests[event.session].answers.append(event)
            case ClientEventKind.CANCELLED:
                self.requests[event.session].cancelled_s = event.at_s
            case ClientEventKind.ENDED:
                self.ended_s[event.session] = event.at_s
            case ClientEventKind.RELEASED:
                self.released_s.setdefault(event.session, event.at_s)
            case ClientEventKind.STALLED:
                self.stalled_spans.append((event.at_s - event.stalled_s, event.at_s))

    def _count_open(self, change: int, at_s: float) -> None:
        self._open_count += change
        is_over_limit = self._open_count > self._max_viewer_connections
        if is_over_limit and self._over_limit_since_s is None:
            self._over_limit_since_s = at_s
        elif not is_over_limit and self._over_limit_since_s is not None:
            self.over_limit_spans.append((self._over_limit_since_s, at_s))
            self._over_limit_since_s = None

    def was_over_limit(self, since_s: float, until_s: float) -> bool:
        """Whether clients held too many connections in a span: the broker delays or closes some of them."""
        last = [] if self._over_limit_since_s is None else [(self._over_limit_since_s, float("inf"))]
        return any(
            begin_s <= until_s and end_s >= since_s for begin_s, end_s in [*self.over_limit_spans, *last]
        )

    def was_stalled(self, since_s: float, until_s: float) -> bool:
        """Whether the client process was stalled at any time in a span, so that timestamps are unreliable."""
        return any(begin_s <= until_s and end_s >= since_s for begin_s, end_s in self.stalled_spans)

    def is_inconclusive(self, request: Request) -> bool:
        """Whether the client process was stalled while a request was sent, answered or closed."""
        last = request.sent[-1]
        until_s = last.at_s + last.time_left_s + ANSWER_SLACK_S
        if request.answers:
            until_s = min(until_s, request.answers[-1].at_s)
        closed_s = self.closed_s.get(last.connection)
        if closed_s is not None:
            until_s = min(until_s, closed_s)
        return self.was_stalled(last.at_s - CROSSING_WINDOW_S, last.at_s) or self.was_stalled(
            until_s - CROSSING_WINDOW_S, until_s
        )

    def has_open_connection(self, since_s: float, until_s: float) -> bool:
        """Whether a client connection was open throughout a span."""
        return any(begin_s <= since_s and end_s >= until_s for begin_s, end_s in self.open_spans.values())


def unanswered_requests(clients: ClientRecord, runs: Sequence[BrokerRun]) -> list[Violation]:
    """Find accepted requests without a complete answer in time."""
    violations = []
    for request in clients.requests.values():
        last = request.sent[-1]
        if request.cancelled_s or clients.is_inconclusive(request):
            continue
        due_s = last.at_s + last.time_left_s + ANSWER_SLACK_S
        if request.answers and request.answers[0].at_s <= due_s:
            continue
        closed_s = clients.closed_s.get(last.connection)
        if not request.answers and closed_s is not None:
            may_cross = len(request.sent) == 1 or clients.was_over_limit(
                last.at_s - CROSSING_WINDOW_S, closed_s
            )
            crossed = closed_s - last.at_s <= CROSSING_WINDOW_S and may_cross
            if crossed or _is_excused_by_kill(last.at_s, runs):
                continue
            detail = f"closed {closed_s - last.at_s:.3f} s after it was sent"
        else:
            detail = "never answered"
        if request.answers:
            opened_s = clients.open_spans[last.connection][0]
            if last.at_s - opened_s <= CROSSING_WINDOW_S and clients.was_over_limit(opened_s, last.at_s):
                continue  # accepted late, as clients held more connections than viewers may
            answer = request.answers[0]
            detail = f"answer {answer.status} after {answer.at_s - last.at_s:.3f} of {last.time_left_s:.3f} s"
        rule = "late-answer" if request.answers else "unanswered"
        violations.append(Violation(rule, f"{request.session} sent at {last.at_s:.3f}: {detail}"))
    return violations


def _is_excused_by_kill(sent_s: float, runs: Sequence[BrokerRun]) -> bool:
    """Whether a request may be unanswered because a process was killed soon after receiving it."""
    return any(run.killed and run.launched_s <= sent_s <= run.sigterm_s + KILL_EXEMPTION_S for run in runs)


def repeated_answers(clients: ClientRecord) -> list[Violation]:
    """Find requests answered more than once on one connection."""
    violations = []
    for request in clients.requests.values():
        counts = Counter(answer.connection for answer in request.answers)
        if any(count > 1 for count in counts.values()):
            violations.append(Violation("answered-twice", request.session))
    return violations


def repeated_set_ups(clients: ClientRecord, node_events: Sequence[NodeEvent]) -> list[Violation]:
    """Find paid set-ups that ran more than once."""
    ran = Counter(event.session for event in node_events if event.kind is NodeEventKind.RAN)
    return [
        Violation("paid-twice", f"{request.session}: ran {ran[request.session]} times")
        for request in clients.requests.values()
        if request.is_paid and ran[request.session] > 1
    ]


def forwarded_after_cancel(clients: ClientRecord, node_events: Sequence[NodeEvent]) -> list[Violation]:
    """Find set-ups that reached a media node long after the client had cancelled them."""
    violations = []
    for event in node_events:
        request = clients.requests.get(event.session)
        if event.kind is not NodeEventKind.RAN or request is None or not request.cancelled_s:
            continue
        after_s = event.at_s - request.cancelled_s
        if after_s > FORWARDED_AFTER_CANCEL_LIMIT_S and not clients.was_stalled(
            request.cancelled_s, event.at_s
        ):
            violations.append(Violation("forwarded-after-leave", f"{event.session}: {after_s:.3f} s"))
    return violations


def late_releases(clients: ClientRecord, node_events: Sequence[NodeEvent]) -> list[Violation]:
    """Find ended sessions whose clients were not notified in time."""
    node_stopped_s: dict[str, float] = {
        event.session: event.at_s for event in node_events if event.kind is NodeEventKind.STOPPED
    }
    last_event_s = max((event.at_s for event in node_events), default=0.0)
    violations = []
    for session, request in clients.requests.items():
        if not _expects_release(request, clients):
            continue
        if session not in node_stopped_s:
            continue
        released_s = clients.released_s.get(session, float("inf"))
        ended_s = max(node_stopped_s[session], request.answers[0].at_s)
        connected = clients.has_open_connection(ended_s, ended_s + RELEASE_LIMIT_S)
        allowed_s = RELEASE_LIMIT_S if connected else RELEASE_LIMIT_UNCONNECTED_S
        if released_s <= ended_s + allowed_s or ended_s + allowed_s > last_event_s:
            continue
        if not clients.was_stalled(ended_s, min(released_s, ended_s + allowed_s)):
            violations.append(Violation("release", f"{session}: over at {ended_s:.3f}, {released_s:.3f}"))
    return violations


def _expects_release(request: Request, clients: ClientRecord) -> bool:
    """Whether a session played and its client did not tear it down."""
    was_served = bool(request.answers) and request.answers[0].status == STATUS_OK
    return was_served and not request.cancelled_s and request.session not in clients.ended_s


def unreleased_sessions(node_events: Sequence[NodeEvent], last_ended_s: float) -> list[Violation]:
    """Find sessions that a media node still plays after the last broker process has exited."""
    playing: dict[str, float] = {}
    for event in node_events:
        if event.kind is NodeEventKind.RAN:
            playing[event.session] = event.at_s
        else:
            playing.pop(event.session, None)
    return [
        Violation("left-standing", f"{session}: ran at {at_s:.3f}")
        for session, at_s in playing.items()
        if at_s <= last_ended_s
    ]


def process_failures(runs: Sequence[BrokerRun]) -> list[Violation]:
    """Find processes that crashed, needed SIGKILL, or were not ready in time."""
    violations = []
    for number, run in enumerate(runs):
        allowed_exit_codes = (0,) if run.ready_s else (0, SIGTERM_EXIT_CODE)
        if run.killed:
            violations.append(
                Violation("killed", f"process {number} ran {TERMINATION_GRACE_S} s after SIGTERM")
            )
        elif run.exit_code not in allowed_exit_codes:
            violations.append(Violation("exit", f"process {number}: exit code {run.exit_code}"))
        if run.has_traceback:
            violations.append(Violation("traceback", f"process {number}"))
        if run.ready_s and run.ready_s - run.launched_s > READY_LIMIT_S:
            violations.append(Violation("ready", f"process {number}: {run.ready_s - run.launched_s:.1f} s"))
    return violations


def leaked_resources(before: int, after: int, memory_mb: float) -> list[Violation]:
    """Find descriptors left open after a connection flood, and memory above the platform's limit."""
    violations = []
    if after > before + MAX_EXTRA_DESCRIPTORS:
        violations.append(Violation("descriptors", f"{before} before the crowd, {after} after it"))
    if memory_mb > MEMORY_LIMIT_MB:
        violations.append(Violation("memory", f"{memory_mb:.0f} MB"))
    return violations


def count_by_rule(violations: Sequence[Violation]) -> dict[str, int]:
    """Count violations by rule."""
    counts: dict[str, int] = defaultdict(int)
    for violation in violations:
        counts[violation.rule] += 1
    return dict(counts)
