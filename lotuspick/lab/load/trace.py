"""Traces: an open file format for requests. A header line is followed by one JSON object per line.

    {"format": "lotuspick-trace", "version": 1}
    {"at": 0, "session": 1, "cls": "repaso", "lesson": "a", "tenant": "t", "viewer": 1, "length": 30000000}

Times are microseconds. Traces from other systems can have gaps, clock adjustments and truncated lines. Each
defect is reported with its line number, and all valid requests are kept.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, replace
from enum import StrEnum

import msgspec

from lotuspick.lab.load.arrivals import US_PER_S, Arrival, LoadError

FORMAT, VERSION = "lotuspick-trace", 1
FIRST_RECORD_LINE = 2
MIN_GAP_US = 5_000_000  # minimum gap; suits traces with at least one request per second
MAX_DEFECTS = 1_000  # further defects are only counted
MAX_DETAIL_CHARACTERS = 100


class TraceHeader(msgspec.Struct, forbid_unknown_fields=True):
    """The header line."""

    format: str
    version: int


class TraceRecord(msgspec.Struct, forbid_unknown_fields=True):
    """A request line."""

    at_us: int = msgspec.field(name="at")
    session: int
    session_class: str = msgspec.field(name="cls")
    title: str = msgspec.field(name="lesson")
    tenant: str = ""
    viewer: int = 0
    highest_rung: int = msgspec.field(default=3, name="ceiling")
    length_us: int = msgspec.field(default=0, name="length")
    phase: str = ""

    @classmethod
    def from_arrival(cls, arrival: Arrival) -> TraceRecord:
        """Create the record of an arrival."""
        return cls(
            at_us=arrival.at_us,
            session=arrival.session,
            session_class=arrival.session_class,
            title=arrival.title,
            tenant=arrival.tenant,
            viewer=arrival.viewer,
            highest_rung=arrival.highest_rung,
            length_us=arrival.length_us,
            phase=arrival.phase,
        )

    def arrival(self, at_us: int) -> Arrival:
        """Return the arrival of this record at an adjusted time."""
        return Arrival(
            at_us=at_us,
            session=self.session,
            session_class=self.session_class,
            title=self.title,
            tenant=self.tenant,
            viewer=self.viewer,
            highest_rung=self.highest_rung,
            length_us=self.length_us,
            phase=self.phase,
        )


class DefectKind(StrEnum):
    """Kinds of defects."""

    MALFORMED = "broken"
    """The line is not a valid request."""
    GAP = "gap"
    """The line follows a gap of more than ``MIN_GAP_US``."""
    CLOCK = "clock"
    """The time is before that of the preceding request."""
    DUPLICATE = "twice"
    """The session id occurred before."""


@dataclass(frozen=True, slots=True)
class Defect:
    """A defect of a line."""

    line: int
    kind: DefectKind
    detail: str


@dataclass(frozen=True, slots=True)
class Trace:
    """The valid requests in order of time, starting at 0, and the defects."""

    arrivals: Sequence[Arrival]
    defects: Sequence[Defect]
    omitted_defects: int = 0
    """Number of defects beyond ``MAX_DEFECTS``."""


def write(arrivals: Iterable[Arrival]) -> Iterator[bytes]:
    """Yield the lines of a trace."""
    encode = msgspec.json.Encoder().encode
    yield encode(TraceHeader(FORMAT, VERSION)) + b"\n"
    for arrival in arrivals:
        yield encode(TraceRecord.from_arrival(arrival)) + b"\n"


def read(lines: Iterable[bytes]) -> Trace:
    """Read a trace and its defects.

    If times go back, the clock was adjusted: the following requests continue at the last time, and the
    intervals between them are kept. A repeated session id is taken for another session, which gets a new
    number above all others.

    Raises:
        LoadError: The first line is not the header of a trace of this version.
    """
    remaining = iter(lines)
    _check_header(next(remaining, b""))
    reader = _TraceReader()
    for number, line in enumerate(remaining, FIRST_RECORD_LINE):
        if line.strip():
            reader.read_line(number, line)
    return reader.finish()


def _check_header(line: bytes) -> None:
    try:
        header = msgspec.json.decode(line, type=TraceHeader)
    except msgspec.MsgspecError as error:
        raise LoadError(f"line 1: not the header of a trace: {error}") from error
    if (header.format, header.version) != (FORMAT, VERSION):
        raise LoadError(f"line 1: {header.format} version {header.version}, not {FORMAT} version {VERSION}")


class _TraceReader:
    """State of reading a trace."""

    def __init__(self) -> None:
        self._decode = msgspec.json.Decoder(TraceRecord).decode
        self._arrivals: list[Arrival] = []
        self._defects: list[Defect] = []
        self._defect_count = 0
        self._sessions: set[int] = set()
        self._duplicates: list[int] = []
        """Indexes of arrivals with a repeated session id."""
        self._shift_us = 0
        """Offset added to the trace's times to compensate for clock adjustments."""
        self._last_us: int | None = None

    def read_line(self, number: int, line: bytes) -> None:
        """Read one request, or record its defect."""
        try:
            record = self._decode(line)
            _check_numbers(record)
        except (msgspec.MsgspecError, UnicodeDecodeError) as error:
            self._add_defect(number, DefectKind.MALFORMED, str(error)[:MAX_DETAIL_CHARACTERS])
            return
        at_us = self._adjust_time(number, record)
        if record.session in self._sessions:
            self._add_defect(number, DefectKind.DUPLICATE, f"session {record.session}")
            self._duplicates.append(len(self._arrivals))
        self._sessions.add(record.session)
        self._arrivals.append(record.arrival(at_us))

    def _adjust_time(self, number: int, record: TraceRecord) -> int:
        """Return the adjusted time of a request, which is not before that of the preceding one."""
        at_us, last_us = record.at_us + self._shift_us, self._last_us
        if last_us is not None and at_us < last_us:
            self._add_defect(number, DefectKind.CLOCK, f"{(last_us - at_us) / US_PER_S:.3f} s back")
            self._shift_us += last_us - at_us
            at_us = last_us
        elif last_us is not None and at_us - last_us > MIN_GAP_US:
            self._add_defect(number, DefectKind.GAP, f"{(at_us - last_us) / US_PER_S:.3f} s")
        self._last_us = at_us
        return at_us

    def _add_defect(self, line: int, kind: DefectKind, detail: str) -> None:
        self._defect_count += 1
        if len(self._defects) < MAX_DEFECTS:
            self._defects.append(Defect(line, kind, detail))

    def finish(self) -> Trace:
        """Assign new session numbers to duplicates, and shift times to start at 0."""
        new_session = max(self._sessions, default=0)
        for index in self._duplicates:
            new_session += 1
            self._arrivals[index] = replace(self._arrivals[index], session=new_session)
        first_us = self._arrivals[0].at_us if self._arrivals else 0
        arrivals = [replace(arrival, at_us=arrival.at_us - first_us) for arrival in self._arrivals]
        return Trace(arrivals, self._defects, self._defect_count - len(self._defects))


def _check_numbers(record: TraceRecord) -> None:
    numbers = (record.at_us, record.session, record.viewer, record.highest_rung, record.length_us)
    if min(numbers) < 0 or not record.session_class:
        raise msgspec.ValidationError("a number is below 0, or the class is empty")


def excerpt(
    trace: Trace,
    from_s: float = 0.0,
    to_s: float = float("inf"),
    speed: float = 1.0,
    max_gap_s: float = float("inf"),
) -> Trace:
    """Return a part of a trace that starts at 0, ``speed`` times as fast and with gaps shortened.

    Session lengths are unchanged, so that a faster trace has more concurrent sessions.

    Raises:
        LoadError: An argument is out of its range.
    """
    if not speed > 0 or not 0 <= from_s < to_s or not max_gap_s >= 0:
        raise LoadError("speed must be above 0, from_s at least 0 and below to_s, and max_gap_s at least 0")
    selected: list[Arrival] = []
    shift_us, last_us = 0, None
    for arrival in trace.arrivals:
        if not from_s * US_PER_S <= arrival.at_us < to_s * US_PER_S:
            continue
        if last_us is None:
            shift_us = arrival.at_us
        elif arrival.at_us - last_us > max_gap_s * US_PER_S:
            shift_us += arrival.at_us - last_us - int(max_gap_s * US_PER_S)
        last_us = arrival.at_us
        selected.append(replace(arrival, at_us=int((arrival.at_us - shift_us) / speed)))
    return replace(trace, arrivals=selected)
