"""Traces: an open format of requests, one JSON object a line, after a first line that names format and version.

    {"format": "lotuspick-trace", "version": 1}
    {"at": 0, "session": 1, "cls": "repaso", "lesson": "a", "tenant": "t", "viewer": 1, "length": 30000000}

Times are microseconds. A trace from outside has gaps, clocks that were set and lines cut off: each is reported by its
line, and what can be played is played.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, replace

import msgspec

from lotuspick.lab.load.arrivals import Arrival, LoadError

FORMAT, VERSION = "lotuspick-trace", 1
GAP_US = 5_000_000  # nothing for so long, in a trace that has at least one request a second, is a gap
MOST_FAULTS = 1_000  # that are kept


class Head(msgspec.Struct, forbid_unknown_fields=True):
    """The first line."""

    format: str
    version: int


class Line(msgspec.Struct, forbid_unknown_fields=True):
    """One request."""

    at: int
    session: int
    cls: str
    lesson: str
    tenant: str = ""
    viewer: int = 0
    ceiling: int = 3
    length: int = 0
    phase: str = ""


@dataclass(frozen=True, slots=True)
class Fault:
    """What is wrong with a line: ``broken``, ``gap``, ``clock`` (times go back) or ``twice`` (an id again)."""

    line: int
    kind: str
    detail: str


@dataclass(frozen=True, slots=True)
class Trace:
    """What could be read, in order of time from 0 on."""

    arrivals: Sequence[Arrival]
    faults: Sequence[Fault]
    left_out: int = 0
    """Faults beyond those that are kept."""


def write(arrivals: Iterable[Arrival]) -> Iterator[bytes]:
    """The lines of a trace."""
    encode = msgspec.json.Encoder().encode
    yield encode(Head(FORMAT, VERSION)) + b"\n"
    for each in arrivals:
        yield (
            encode(
                Line(
                    each.at_us,
                    each.session,
                    each.cls,
                    each.lesson,
                    each.tenant,
                    each.viewer,
                    each.ceiling,
                    each.length_us,
                    each.phase,
                )
            )
            + b"\n"
        )


def read(lines: Iterable[bytes]) -> Trace:
    """A trace and its faults. Raises :class:`LoadError` where the first line is not that of a trace of this version.

    Where times go back the clock was set: the rest goes on from the last moment, with the gaps between its own
    requests. A session's id that comes again is another session, under a new number past all others."""
    source = iter(lines)
    try:
        head = msgspec.json.decode(next(source, b""), type=Head)
    except msgspec.MsgspecError as error:
        raise LoadError(f"line 1: not the head of a trace: {error}") from None
    if (head.format, head.version) != (FORMAT, VERSION):
        raise LoadError(f"line 1: {head.format} version {head.version}, not {FORMAT} version {VERSION}")
    decode = msgspec.json.Decoder(Line).decode
    found: list[Arrival] = []
    faults: list[Fault] = []
    numbers: set[int] = set()
    renamed: list[int] = []
    shift_us, last_us, total = 0, None, 0
    for number, raw in enumerate(source, 2):
        if not raw.strip():
            continue
        problems: list[Fault] = []
        try:
            told = decode(raw)
            if min(told.at, told.session, told.viewer, told.ceiling, told.length) < 0 or not told.cls:
                raise msgspec.ValidationError("a figure below 0, or no class")
        except (msgspec.MsgspecError, UnicodeDecodeError) as error:
            problems.append(Fault(number, "broken", str(error)[:100]))
        else:
            at_us = told.at + shift_us
            if last_us is not None and at_us < last_us:
                problems.append(Fault(number, "clock", f"{(last_us - at_us) / 1e6:.3f} s back"))
                shift_us += last_us - at_us
                at_us = last_us
            elif last_us is not None and at_us - last_us > GAP_US:
                problems.append(Fault(number, "gap", f"{(at_us - last_us) / 1e6:.3f} s"))
            last_us = at_us
            if told.session in numbers:
                problems.append(Fault(number, "twice", f"session {told.session}"))
                renamed.append(len(found))
            numbers.add(told.session)
            found.append(
                Arrival(
                    at_us,
                    told.session,
                    told.cls,
                    told.lesson,
                    told.tenant,
                    told.viewer,
                    told.ceiling,
                    told.length,
                    told.phase,
                )
            )
        total += len(problems)
        faults.extend(problems[: MOST_FAULTS - len(faults)])
    following = max(numbers, default=0)
    for index in renamed:
        following += 1
        found[index] = replace(found[index], session=following)
    first_us = found[0].at_us if found else 0
    return Trace([replace(each, at_us=each.at_us - first_us) for each in found], faults, total - len(faults))


def cut(
    trace: Trace,
    from_s: float = 0.0,
    to_s: float = float("inf"),
    speed: float = 1.0,
    longest_gap_s: float = float("inf"),
) -> Trace:
    """A part of a trace, from 0 on, ``speed`` times as fast, its gaps shortened. Lengths of sessions stay as they are,
    so that a faster trace asks for more at once. Raises :class:`LoadError`."""
    if not speed > 0 or not 0 <= from_s < to_s or not longest_gap_s >= 0:
        raise LoadError("speed must be above 0, the cut in order and the longest gap 0 or more")
    kept: list[Arrival] = []
    shift_us, before_us = 0, None
    for each in trace.arrivals:
        if not from_s * 1e6 <= each.at_us < to_s * 1e6:
            continue
        if before_us is None:
            shift_us = each.at_us
        elif each.at_us - before_us > longest_gap_s * 1e6:
            shift_us += each.at_us - before_us - int(longest_gap_s * 1e6)
        before_us = each.at_us
        kept.append(replace(each, at_us=int((each.at_us - shift_us) / speed)))
    return replace(trace, arrivals=kept)
