"""Simulator adapter: many isolated controllers served over standard input and output.

The line protocol carries batches of events for numbered instances; each batch gets one reply with actions.
The adapter has no decision logic: it decodes lines into the events of :mod:`lotuspick.core.events` and
encodes the actions of :mod:`lotuspick.core.actions` as lines. A malformed line ends the process with a
message on standard error. An exception in one instance is reported in the reply as that instance's fault.
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
    ServerEjected,
    SetRung,
    StartTimer,
    Subscribe,
)
from lotuspick.core.controller import Controller
from lotuspick.core.events import (
    AttemptEnded,
    AttemptOutcome,
    EndpointState,
    Event,
    ReadingTopic,
    ServerEntry,
    ServerListUpdate,
    SessionNotification,
    SessionPlaying,
    SessionRequest,
    SessionStarted,
    TimerFired,
    ViewerDisconnected,
)
from lotuspick.protocol.key_values import (
    Fields,
    FormatError,
    parse_number_or_none,
    read_flag,
    read_float,
    read_integer,
    required,
    split_fields,
)
from lotuspick.protocol.site_settings import read_settings

STATES_BY_NAME = {
    "active": EndpointState.ACTIVE,
    "leaving": EndpointState.DRAINING,
    "left": EndpointState.GONE,
}
UPDATE_FORMS = ("delta", "full", "cached", "failed")
TOPICS_BY_NUMBER = {
    "1": ReadingTopic.SHARE,
    "2": ReadingTopic.RUNG,
    "3": ReadingTopic.LINK,
    "4": ReadingTopic.RACK,
}
TOPICS_BY_COLUMN = {"outstanding": ReadingTopic.STREAMS, "x0": ReadingTopic.LINK, "x1": ReadingTopic.RACK}
OUTCOMES_BY_NAME = {
    "delivered": AttemptOutcome.SERVED,
    "app_error": AttemptOutcome.ERROR,
    "shed": AttemptOutcome.FULL,
    "expired": AttemptOutcome.TIMEOUT,
    "dial_failed": AttemptOutcome.UNREACHABLE,
    "dropped": AttemptOutcome.LOST,
    "revoked": AttemptOutcome.CANCELLED,
    "unused": AttemptOutcome.UNSENT,
}


def _decode_load_report(fields: Fields) -> dict[ReadingTopic, float]:
    report: dict[ReadingTopic, float] = {}
    for pair in fields.get("Metrics", "").split(","):
        name, _, text = pair.partition(":")
        value = parse_number_or_none(text)
        if name in TOPICS_BY_COLUMN and value is not None:
            report[TOPICS_BY_COLUMN[name]] = value
    return report


def _decode_session_fields(fields: Fields) -> dict[str, object]:
    return {
        "session": required(fields, "Tid"),
        "session_class": required(fields, "Cls"),
        "title": fields.get("Show", ""),
        "home_position": read_integer(fields, "FirstCell", 0),
        "copies": read_integer(fields, "Copies", 1),
        "highest_rung": read_integer(fields, "CeilingRung"),
        "deadline_us": read_integer(fields, "DropDeadUs"),
        "length_us": parse_number_or_none(fields.get("WorkUs")),
        "tenant": fields.get("Org", ""),
        "viewer": fields.get("Entity", ""),
        "moved": read_flag(fields, "Relocated"),
        "returned": read_flag(fields, "Returned"),
    }


def _decode_request(fields: Fields) -> Event:
    return SessionRequest(**_decode_session_fields(fields))  # type: ignore[arg-type]


def _decode_playing(fields: Fields) -> Event:
    return SessionPlaying(**_decode_session_fields(fields), server=required(fields, "Host"))  # type: ignore[arg-type]


def _decode_ended(fields: Fields) -> Event:
    outcome = required(fields, "Outcome")
    if outcome not in OUTCOMES_BY_NAME:
        raise FormatError(f"unknown Outcome {outcome!r}")
    return AttemptEnded(
        required(fields, "Tid"),
        read_integer(fields, "Shot"),
        required(fields, "Host"),
        OUTCOMES_BY_NAME[outcome],
        read_flag(fields, "NoMore"),
        read_integer(fields, "TookUs", 0),
        _decode_load_report(fields),
    )


def _decode_notification(fields: Fields) -> Event | None:
    topic, value = (
        TOPICS_BY_NUMBER.get(required(fields, "Topic")),
        parse_number_or_none(required(fields, "Level")),
    )
    if topic is None or value is None:
        return None
    return SessionNotification(required(fields, "Tid"), required(fields, "Host"), topic, value)


def _decode_started(fields: Fields) -> Event:
    return SessionStarted(
        required(fields, "Tid"),
        read_integer(fields, "Shot"),
        required(fields, "Host"),
        read_integer(fields, "TookUs", 0),
    )


def _ignore(_: Fields) -> Event | None:
    """Ignore an event that the core does not use."""
    return None


DECODERS: dict[str, Callable[[Fields], Event | None]] = {
    "KNOCK": _decode_request,
    "PREEXISTING": _decode_playing,
    "UNDER_WAY": _decode_started,
    "RESOLVED": _decode_ended,
    "PROGRESS": _decode_notification,
    "TIMED_OUT_CLIENT": lambda fields: ViewerDisconnected(required(fields, "Tid")),
    "WAKE": lambda fields: TimerFired(read_integer(fields, "Handle")),
    "PEER_DATA": _ignore,
    "PING_RESULT": _ignore,
}


def _decode_server_entry(fields: Fields) -> ServerEntry:
    state = required(fields, "State")
    return ServerEntry(
        required(fields, "Host"),
        fields.get("Az", ""),
        fields.get("ClassOfHost", ""),
        read_integer(fields, "Position", 0),
        STATES_BY_NAME.get(state, state),  # type: ignore[arg-type]  # ServerEntry rejects an unknown state
        read_float(fields, "Units", 1.0),
        read_integer(fields, "SinceUs", 0),
    )


def encode(action: Action) -> str:
    """Encode an action as a line of the protocol."""
    match action:
        case ForwardAttempt():
            return f"PLACE Tid={action.session} Host={action.server} MaxWaitUs={action.timeout_us}"
        case SetRung():
            return f"SET_LEVEL Tid={action.session} Rung={action.rung}"
        case RejectSession():
            retry_after = f" StayAwayUs={action.retry_after_us}" if action.retry_after_us else ""
            return f"REJECT Tid={action.session}{retry_after}"
        case FailSession():
            return f"ERROR Tid={action.session}"
        case StartTimer():
            return f"TIMER Handle={action.timer_id} FromNowUs={action.delay_us}"
        case Subscribe():
            return "FOLLOW On=1"
        case LogMessage() | ServerEjected():
            return f"RECORD ReasonText={to_single_line(action.text)}"


def to_single_line(text: str) -> str:
    """Return the text as a single line, with each run of whitespace as one space."""
    return " ".join(text.split())


NO_INSTANCE = -1


class Simulator:
    """The controller instances of one process; answers batches with replies."""

    def __init__(self) -> None:
        self.instances: dict[int, Controller | None] = {}
        self.catalogs: dict[int, list[ServerEntry]] = {}
        self.faults: dict[int, str] = {}
        self.pending: dict[int, list[Event]] = {}

    def process_batch(self, now: int, lines: Iterator[tuple[int, str]]) -> list[str]:
        """Process the numbered lines of a batch at clock time ``now`` (us); return the reply's lines."""
        self.pending, self.faults = {}, {}
        self._read_batch(lines)
        reply: list[str] = []
        for instance in list(self.pending):
            actions = self._run_instance(now, instance)
            if actions:
                reply.append(f"ON_BEHALF I={instance}")
                reply.extend(actions)
        return reply

    def _read_batch(self, lines: Iterator[tuple[int, str]]) -> None:
        instance = NO_INSTANCE
        for number, line in lines:
            name, *parts = line.split(" ")
            if name == "EOF_BATCH":
                return
            try:
                if name == "TO":
                    instance = read_integer(split_fields(parts), "I")
                elif name == "CATALOG":
                    self._read_catalog(split_fields(parts), lines)
                else:
                    self._read_event(instance, name, parts)
            except (FormatError, ValueError) as error:
                raise FormatError(f"line {number} ({name}): {error}") from None
        raise FormatError("end of input inside a batch")

    def _run_instance(self, now: int, instance: int) -> list[str]:
        """Return the encoded actions of an instance; report and close an instance that fails."""
        controller = self.instances.get(instance)
        fault = self.faults.get(instance)
        actions: list[str] = []
        if controller is not None and fault is None:
            try:
                actions = [encode(action) for action in controller.handle(now, self.pending[instance])]
            except Exception as error:  # noqa: BLE001 - any failure is reported in the reply
                fault = f"{type(error).__name__}: {error}"
        if fault is None:
            return actions
        self.instances[instance] = None
        return [f"BUG ReasonText={to_single_line(fault)}"]

    def _read_catalog(self, fields: Fields, lines: Iterator[tuple[int, str]]) -> None:
        entries = []
        for _ in range(read_integer(fields, "Rows")):
            number, line = next(lines, (0, ""))
            name, *parts = line.split(" ")
            if name != "HOST":
                raise FormatError(f"line {number}: expected HOST, not {name!r}")
            entries.append(_decode_server_entry(split_fields(parts)))
        self.catalogs[read_integer(fields, "List")] = entries

    def _read_event(self, instance: int, name: str, parts: list[str]) -> None:
        if instance < 0:
            raise FormatError("event before the first TO")
        events = self.pending.setdefault(instance, [])
        if name == "OPEN_INSTANCE":
            setting_fields = split_fields(parts)
            events.clear()
            self.faults.pop(instance, None)
            try:
                self.instances[instance] = Controller(
                    read_settings(setting_fields), read_integer(setting_fields, "Salt", 0)
                )
            except ValueError as error:
                self.faults[instance] = str(error)
        elif name == "TEARDOWN":
            events.clear()
            self.instances.pop(instance, None)
        elif name == "DISCOVERY":
            events.append(self._decode_server_list(split_fields(parts)))
        elif name in DECODERS:
            event = DECODERS[name](split_fields(parts))
            if event is not None:
                events.append(event)
        else:
            raise FormatError("unknown message")

    def _decode_server_list(self, fields: Fields) -> ServerListUpdate:
        form = required(fields, "Form")
        if form not in UPDATE_FORMS:
            raise FormatError(f"unknown Form {form!r}")
        if form == "failed":
            return ServerListUpdate(failed=True)
        number = read_integer(fields, "List")
        if number not in self.catalogs:
            raise FormatError(f"List {number} was never sent")
        return ServerListUpdate(self.catalogs[number], complete=form in ("full", "cached"))


def serve(source: TextIO, sink: TextIO) -> None:
    """Answer batches until the input ends."""
    simulator = Simulator()
    lines = ((number, line.rstrip("\n")) for number, line in enumerate(source, 1))
    for number, line in lines:
        if not line:
            continue
        name, *parts = line.split(" ")
        if name != "ROUND":
            raise FormatError(f"line {number} ({name}): expected ROUND")
        try:
            now = read_integer(split_fields(parts), "TimeUs")
        except FormatError as error:
            raise FormatError(f"line {number} (ROUND): {error}") from None
        reply = simulator.process_batch(now, lines)
        reply.append("NEXT\n")
        sink.write("\n".join(reply))
        sink.flush()


def main() -> int:
    """Serve standard input; return exit code 2 after a malformed line, otherwise 0."""
    try:
        serve(sys.stdin, sys.stdout)
    except FormatError as error:
        print(f"lotuspick: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
