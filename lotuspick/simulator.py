"""Wire codec and loop: many isolated controllers behind one standard input and output.

The text wire comes in as batches of events for numbered instances and goes out as one reply of actions
each. Nothing is decided here: lines become the events of :mod:`lotuspick.core.events`, and the actions of
:mod:`lotuspick.core.actions` become
lines. A malformed line ends the process with a message on standard error; an exception inside one
instance is reported on the wire as that instance's fault.
"""

from __future__ import annotations

import sys
from collections.abc import Callable, Iterator
from typing import TextIO

from lotuspick.core.actions import (
    Action,
    FailSession,
    ForwardAttempt,
    LogMessage,
    RejectSession,
    SetRung,
    StartTimer,
    Subscribe,
)
from lotuspick.core.controller import Controller
from lotuspick.core.events import (
    AttemptEnded,
    AttemptOutcome,
    Event,
    ServerEntry,
    ServerListUpdate,
    SessionNotification,
    SessionPlaying,
    SessionRequest,
    SessionStarted,
    TimerFired,
    ViewerDisconnected,
)
from lotuspick.protocol.site_settings import (
    Fields,
    WireError,
    decimal,
    flag,
    loose,
    need,
    read_settings,
    split,
    whole,
)

STATES = {"active": "active", "leaving": "draining", "left": "gone"}
FORMS = ("delta", "full", "cached", "failed")
TOPICS = {"1": "share", "2": "rung", "3": "link", "4": "rack"}
COLUMNS = {"outstanding": "streams", "x0": "link", "x1": "rack"}
OUTCOMES = {
    "delivered": AttemptOutcome.SERVED,
    "app_error": AttemptOutcome.ERROR,
    "shed": AttemptOutcome.FULL,
    "expired": AttemptOutcome.TIMEOUT,
    "dial_failed": AttemptOutcome.UNREACHABLE,
    "dropped": AttemptOutcome.LOST,
    "revoked": AttemptOutcome.CANCELLED,
    "unused": AttemptOutcome.UNSENT,
}


def _report(fields: Fields) -> dict[str, float]:
    report: dict[str, float] = {}
    for pair in fields.get("Metrics", "").split(","):
        name, _, text = pair.partition(":")
        value = loose(text)
        if name in COLUMNS and value is not None:
            report[COLUMNS[name]] = value
    return report


def _session(fields: Fields) -> dict[str, object]:
    return {
        "session": need(fields, "Tid"),
        "session_class": need(fields, "Cls"),
        "title": fields.get("Show", ""),
        "home_position": whole(fields, "FirstCell", 0),
        "copies": whole(fields, "Copies", 1),
        "highest_rung": whole(fields, "CeilingRung"),
        "deadline_us": whole(fields, "DropDeadUs"),
        "length_us": loose(fields.get("WorkUs")),
        "tenant": fields.get("Org", ""),
        "viewer": fields.get("Entity", ""),
        "moved": flag(fields, "Relocated"),
        "returned": flag(fields, "Returned"),
    }


def _request(fields: Fields) -> Event:
    return SessionRequest(**_session(fields))  # type: ignore[arg-type]


def _playing(fields: Fields) -> Event:
    return SessionPlaying(**_session(fields), server=need(fields, "Host"))  # type: ignore[arg-type]


def _ended(fields: Fields) -> Event:
    outcome = need(fields, "Outcome")
    if outcome not in OUTCOMES:
        raise WireError(f"unknown Outcome {outcome!r}")
    return AttemptEnded(
        need(fields, "Tid"),
        whole(fields, "Shot"),
        need(fields, "Host"),
        OUTCOMES[outcome],
        flag(fields, "NoMore"),
        whole(fields, "TookUs", 0),
        _report(fields),
    )


def _note(fields: Fields) -> Event | None:
    topic, value = TOPICS.get(need(fields, "Topic")), loose(need(fields, "Level"))
    if topic is None or value is None:
        return None
    return SessionNotification(need(fields, "Tid"), need(fields, "Host"), topic, value)


def _started(fields: Fields) -> Event:
    return SessionStarted(
        need(fields, "Tid"), whole(fields, "Shot"), need(fields, "Host"), whole(fields, "TookUs", 0)
    )


DECODERS: dict[str, Callable[[Fields], Event | None]] = {
    "KNOCK": _request,
    "PREEXISTING": _playing,
    "UNDER_WAY": _started,
    "RESOLVED": _ended,
    "PROGRESS": _note,
    "TIMED_OUT_CLIENT": lambda fields: ViewerDisconnected(need(fields, "Tid")),
    "WAKE": lambda fields: TimerFired(whole(fields, "Handle")),
    "PEER_DATA": lambda fields: None,
    "PING_RESULT": lambda fields: None,
}


def _entry(fields: Fields) -> ServerEntry:
    state = need(fields, "State")
    return ServerEntry(
        need(fields, "Host"),
        fields.get("Az", ""),
        fields.get("ClassOfHost", ""),
        whole(fields, "Position", 0),
        STATES.get(state, state),
        decimal(fields, "Units", 1.0),
        whole(fields, "SinceUs", 0),
    )


def encode(action: Action) -> str:
    """One action as a line of the wire."""
    match action:
        case ForwardAttempt():
            return f"PLACE Tid={action.session} Host={action.server} MaxWaitUs={action.timeout_us}"
        case SetRung():
            return f"SET_LEVEL Tid={action.session} Rung={action.rung}"
        case RejectSession():
            advice = f" StayAwayUs={action.retry_after_us}" if action.retry_after_us else ""
            return f"REJECT Tid={action.session}{advice}"
        case FailSession():
            return f"ERROR Tid={action.session}"
        case StartTimer():
            return f"TIMER Handle={action.timer_id} FromNowUs={action.delay_us}"
        case Subscribe():
            return "FOLLOW On=1"
        case LogMessage():
            return f"RECORD ReasonText={one_line(action.text)}"


def one_line(text: str) -> str:
    """The text without line breaks."""
    return " ".join(text.split())


class Adapter:
    """Holds the instances of one process and turns batches into replies."""

    def __init__(self) -> None:
        self.instances: dict[int, Controller | None] = {}
        self.catalogs: dict[int, list[ServerEntry]] = {}
        self.faults: dict[int, str] = {}
        self.pending: dict[int, list[Event]] = {}

    def batch(self, now: int, lines: Iterator[tuple[int, str]]) -> list[str]:
        """Read the lines of one batch up to its end and return the reply's lines."""
        self.pending, self.faults = {}, {}
        instance = -1
        closed = False
        for number, line in lines:
            name, *parts = line.split(" ")
            if name == "EOF_BATCH":
                closed = True
                break
            try:
                if name == "TO":
                    instance = whole(split(parts), "I")
                elif name == "CATALOG":
                    self._catalog(split(parts), lines)
                elif instance < 0:
                    raise WireError("event before any TO")
                else:
                    self._event(instance, name, parts)
            except (WireError, ValueError) as error:
                raise WireError(f"line {number} ({name}): {error}") from None
        if not closed:
            raise WireError("end of input inside a batch")
        reply: list[str] = []
        for instance in list(self.pending):
            controller, fault, actions = self.instances.get(instance), self.faults.get(instance), []
            if controller is not None and fault is None:
                try:
                    actions = [encode(action) for action in controller.handle(now, self.pending[instance])]
                except Exception as error:  # an instance's fault is told on the wire, never swallowed
                    fault = f"{type(error).__name__}: {error}"
            if fault is not None:
                actions = [f"BUG ReasonText={one_line(fault)}"]
                self.instances[instance] = None
            if actions:
                reply.append(f"ON_BEHALF I={instance}")
                reply.extend(actions)
        return reply

    def _catalog(self, fields: Fields, lines: Iterator[tuple[int, str]]) -> None:
        entries = []
        for _ in range(whole(fields, "Rows")):
            number, line = next(lines, (0, ""))
            name, *parts = line.split(" ")
            if name != "HOST":
                raise WireError(f"line {number}: HOST expected, not {name!r}")
            entries.append(_entry(split(parts)))
        self.catalogs[whole(fields, "List")] = entries

    def _event(self, instance: int, name: str, parts: list[str]) -> None:
        events = self.pending.setdefault(instance, [])
        if name == "OPEN_INSTANCE":
            pairs = split(parts)
            events.clear()
            self.faults.pop(instance, None)
            try:
                self.instances[instance] = Controller(read_settings(pairs), whole(pairs, "Salt", 0))
            except ValueError as error:
                self.faults[instance] = str(error)
        elif name == "TEARDOWN":
            events.clear()
            self.instances.pop(instance, None)
        elif name == "DISCOVERY":
            fields = split(parts)
            form = need(fields, "Form")
            if form not in FORMS:
                raise WireError(f"unknown Form {form!r}")
            entries: list[ServerEntry] = []
            if form != "failed":
                number = whole(fields, "List")
                if number not in self.catalogs:
                    raise WireError(f"List {number} was never sent")
                entries = self.catalogs[number]
            events.append(
                ServerListUpdate(entries, complete=form in ("full", "cached"), failed=form == "failed")
            )
        elif name in DECODERS:
            event = DECODERS[name](split(parts))
            if event is not None:
                events.append(event)
        else:
            raise WireError("unknown message")


def serve(source: TextIO, sink: TextIO) -> None:
    """Answer batches until the input ends."""
    adapter = Adapter()
    lines = ((number, line.rstrip("\n")) for number, line in enumerate(source, 1))
    for number, line in lines:
        if not line:
            continue
        name, *parts = line.split(" ")
        if name != "ROUND":
            raise WireError(f"line {number} ({name}): ROUND expected")
        try:
            now = whole(split(parts), "TimeUs")
        except WireError as error:
            raise WireError(f"line {number} (ROUND): {error}") from None
        reply = adapter.batch(now, lines)
        reply.append("NEXT\n")
        sink.write("\n".join(reply))
        sink.flush()


def main() -> int:
    """Serve standard input; 2 after a malformed line."""
    try:
        serve(sys.stdin, sys.stdout)
    except WireError as error:
        print(f"lotuspick: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
