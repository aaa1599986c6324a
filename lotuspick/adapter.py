"""Wire codec and loop: many isolated controllers behind one standard input and output.

The text wire comes in as batches of events for numbered instances and goes out as one reply of actions
each. Nothing is decided here: lines become the events of :mod:`lotuspick.interface` and its actions become
lines. A malformed line ends the process with a message on standard error; an exception inside one
instance is reported on the wire as that instance's fault.
"""

from __future__ import annotations

import math
import sys
from collections.abc import Callable, Iterator
from typing import TextIO

from lotuspick.control import Controller
from lotuspick.interface import (
    Action,
    ClassSettings,
    Ended,
    Event,
    Fail,
    Log,
    Note,
    Refuse,
    Send,
    ServerEntry,
    ServerList,
    SessionPlaying,
    SessionRequest,
    SetRung,
    SetTimer,
    Settings,
    Started,
    Subscribe,
    TimerFired,
    ViewerGone,
)

Fields = dict[str, str]

EFFECTS = {"pure": "safe", "token": "keyed", "side_effect": "paid"}
STATES = {"active": "active", "leaving": "draining", "left": "gone"}
FORMS = ("delta", "full", "cached", "failed")
TOPICS = {"1": "share", "2": "rung", "3": "link", "4": "rack"}
COLUMNS = {"outstanding": "streams", "x0": "link", "x1": "rack"}
OUTCOMES = {
    "delivered": "served", "app_error": "error", "shed": "full", "expired": "timeout",
    "dial_failed": "unreachable", "dropped": "lost", "revoked": "cancelled", "unused": "unsent",
}


class WireError(Exception):
    """A line that does not follow the wire."""


def _split(parts: list[str]) -> Fields:
    fields: Fields = {}
    for part in parts:
        name, equals, value = part.partition("=")
        if not equals or not name:
            raise WireError(f"{part!r} is not name=value")
        fields[name] = value
    return fields


def _need(fields: Fields, name: str) -> str:
    try:
        return fields[name]
    except KeyError:
        raise WireError(f"{name} is missing") from None


def _whole(fields: Fields, name: str, default: int | None = None) -> int:
    if default is not None and name not in fields:
        return default
    text = _need(fields, name)
    try:
        return int(text)
    except ValueError:
        raise WireError(f"{name} is not a whole number: {text!r}") from None


def _number(fields: Fields, name: str, default: float | None = None) -> float:
    if default is not None and name not in fields:
        return default
    text = _need(fields, name)
    try:
        value = float(text)
    except ValueError:
        raise WireError(f"{name} is not a number: {text!r}") from None
    if not math.isfinite(value):
        raise WireError(f"{name} is not a finite number: {text!r}")
    return value


def _loose(text: str | None) -> float | None:
    """A reading that may be nonsense: None where it is no number at all."""
    try:
        return None if text is None else float(text)
    except ValueError:
        return None


def _report(fields: Fields) -> dict[str, float]:
    report: dict[str, float] = {}
    for pair in fields.get("Metrics", "").split(","):
        name, _, text = pair.partition(":")
        value = _loose(text)
        if name in COLUMNS and value is not None:
            report[COLUMNS[name]] = value
    return report


def _list(fields: Fields, name: str) -> list[str]:
    text = fields.get(name, "")
    return text.split(",") if text else []


def _flag(fields: Fields, name: str) -> bool:
    return fields.get(name, "0") in ("1", "true")


def read_settings(pairs: Fields) -> Settings:
    """Build the settings from the path=value pairs of a start; ``ValueError`` names what is missing."""

    def per_class(name: str, index: int, default: str) -> Fields:
        values = _list(pairs, f"FamilyInfo.{name}")
        return {f"FamilyInfo.{name}": values[index] if index < len(values) else default}

    def numbers(name: str) -> list[float]:
        return [_number({name: text}, name) for text in _list(pairs, name)]

    try:
        classes = []
        for index in range(_whole(pairs, "Categories.count")):
            at = f"Categories.{index}."
            effect = _need(pairs, at + "Repeat")
            classes.append(ClassSettings(
                name=_need(pairs, at + "Name"),
                aim_us=_whole(pairs, at + "TargetUs"),
                effect=EFFECTS.get(effect, effect),
                worth=_number(pairs, at + "Worth", 1.0),
                scale=_number(per_class("ClassScale", index, "1"), "FamilyInfo.ClassScale"),
                floor=_whole(per_class("ClassFloor", index, "0"), "FamilyInfo.ClassFloor"),
                top=_whole(per_class("HighestRung", index, "1000"), "FamilyInfo.HighestRung"),
                seats=_whole(per_class("Seats", index, "0"), "FamilyInfo.Seats"),
                live=_flag(per_class("Live", index, "false"), "FamilyInfo.Live"),
                group=pairs.get(at + "KeyScope", "all"),
                group_window_us=_whole(pairs, at + "WindowUs", 0),
            ))
        kinds = _list(pairs, "MachineTypes")
        places = numbers("FamilyInfo.PlacesByKind")
        tenants = {
            _need(pairs, f"Projects.{index}.Name"): _number(pairs, f"Projects.{index}.QuotaPerS", 0.0)
            for index in range(_whole(pairs, "Projects.count", 0))
        }
        columns = _list(pairs, "Reporting.Columns")
        budget = "Invariants.FurtherRatio" in pairs or "Invariants.BudgetFree" in pairs
        return Settings(
            zone=_need(pairs, "Az"),
            gateways=_whole(pairs, "GroupSize"),
            classes=classes,
            ladder_kb=numbers("FamilyInfo.LevelKb"),
            rung_worth=numbers("FamilyInfo.WorthByRung"),
            places_by_kind=dict(zip(kinds, places, strict=False)),
            cells=_whole(pairs, "FamilyInfo.Cells"),
            racks=_whole(pairs, "FamilyInfo.Racks", 1),
            links_kb=_number(pairs, "FamilyInfo.LinksKb", 0.0),
            link_kb_per_weight=_number(pairs, "FamilyInfo.WeightKb"),
            weights=pairs.get("WeightKind", "off"),
            uplink_kb=_number(pairs, "FamilyInfo.RackKb", 0.0),
            refuses_from=_number(pairs, "FamilyInfo.RefusesFrom", 0.0),
            join=_number(pairs, "FamilyInfo.Join", 1.0),
            seen_after_us=_whole(pairs, "FamilyInfo.SeenAfterUs", 0),
            tell_us=_whole(pairs, "FamilyInfo.TellUs", 0),
            change_cost_s=_number(pairs, "FamilyInfo.ChangeCostsS", 0.0),
            shortfall_cost=_number(pairs, "FamilyInfo.ShortfallCost", 0.0),
            max_attempts=_whole(pairs, "Limits.AttemptsCap", 1),
            dial_timeout_us=_whole(pairs, "Limits.DialTimeoutUs", 0),
            drain_grace_us=_whole(pairs, "Invariants.DrainGraceUs", 0),
            cold_from=_number(pairs, "Invariants.ColdFrom", 1.0),
            cold_us=_whole(pairs, "Invariants.ColdUs", 0),
            fall_multiple=_number(pairs, "Invariants.OverloadFactor", 1.0),
            fall_us=_whole(pairs, "Invariants.TipAfterUs", 1_000_000),
            budget_free=_number(pairs, "Invariants.BudgetFree", 0.0) if budget else None,
            budget_ratio=_number(pairs, "Invariants.FurtherRatio", 0.0) if budget else None,
            budget_window_us=_whole(pairs, "Invariants.ResendSpanUs", 0),
            may_probe=_flag(pairs, "Limits.Probes"),
            may_cancel=_flag(pairs, "Limits.Cancel"),
            retry_after=_flag(pairs, "Limits.RetryAfter"),
            max_retry_after_us=_whole(pairs, "Limits.MaxRetryAfterUs", 0),
            must_subscribe=pairs.get("Discovery") == "subscribe",
            ask_within_us=_whole(pairs, "Invariants.MustAskInUs", 0),
            reports=pairs.get("Reporting.How") == "inline",
            reports_rack=pairs.get("Reporting.How") == "inline" and "x1" in columns,
            cross_zone_price=_number(pairs, "Prices.CrossZone", 0.0),
            move_price=_number(pairs, "Prices.Moves", 0.0),
            probe_price=_number(pairs, "Prices.Probe", 0.0),
            over_share_worth=_number(pairs, "OverShareWorth", 1.0),
            tenant_rates=tenants,
        )
    except WireError as error:
        raise ValueError(f"settings: {error}") from None


def _session(fields: Fields) -> dict[str, object]:
    return {
        "session": _need(fields, "Tid"), "cls": _need(fields, "Cls"), "title": fields.get("Show", ""),
        "home": _whole(fields, "FirstCell", 0), "copies": _whole(fields, "Copies", 1),
        "ceiling": _whole(fields, "CeilingRung"), "deadline_us": _whole(fields, "DropDeadUs"),
        "length_us": _loose(fields.get("WorkUs")), "tenant": fields.get("Org", ""),
        "viewer": fields.get("Entity", ""), "moved": _flag(fields, "Relocated"),
        "returned": _flag(fields, "Returned"),
    }


def _request(fields: Fields) -> Event:
    return SessionRequest(**_session(fields))  # type: ignore[arg-type]


def _playing(fields: Fields) -> Event:
    return SessionPlaying(**_session(fields), server=_need(fields, "Host"))  # type: ignore[arg-type]


def _ended(fields: Fields) -> Event:
    outcome = _need(fields, "Outcome")
    if outcome not in OUTCOMES:
        raise WireError(f"unknown Outcome {outcome!r}")
    return Ended(_need(fields, "Tid"), _whole(fields, "Shot"), _need(fields, "Host"), OUTCOMES[outcome],
                 _flag(fields, "NoMore"), _whole(fields, "TookUs", 0), _report(fields))


def _note(fields: Fields) -> Event | None:
    topic, value = TOPICS.get(_need(fields, "Topic")), _loose(_need(fields, "Level"))
    if topic is None or value is None:
        return None
    return Note(_need(fields, "Tid"), _need(fields, "Host"), topic, value)


def _started(fields: Fields) -> Event:
    return Started(_need(fields, "Tid"), _whole(fields, "Shot"), _need(fields, "Host"),
                   _whole(fields, "TookUs", 0))


DECODERS: dict[str, Callable[[Fields], Event | None]] = {
    "KNOCK": _request, "PREEXISTING": _playing, "UNDER_WAY": _started, "RESOLVED": _ended,
    "PROGRESS": _note,
    "TIMED_OUT_CLIENT": lambda fields: ViewerGone(_need(fields, "Tid")),
    "WAKE": lambda fields: TimerFired(_whole(fields, "Handle")),
    "PEER_DATA": lambda fields: None,
    "PING_RESULT": lambda fields: None,
}


def _entry(fields: Fields) -> ServerEntry:
    state = _need(fields, "State")
    return ServerEntry(_need(fields, "Host"), fields.get("Az", ""), fields.get("ClassOfHost", ""),
                       _whole(fields, "Position", 0), STATES.get(state, state),
                       _number(fields, "Units", 1.0), _whole(fields, "SinceUs", 0))


def encode(action: Action) -> str:
    """One action as a line of the wire."""
    match action:
        case Send():
            return f"PLACE Tid={action.session} Host={action.server} MaxWaitUs={action.timeout_us}"
        case SetRung():
            return f"SET_LEVEL Tid={action.session} Rung={action.rung}"
        case Refuse():
            advice = f" StayAwayUs={action.retry_after_us}" if action.retry_after_us else ""
            return f"REJECT Tid={action.session}{advice}"
        case Fail():
            return f"ERROR Tid={action.session}"
        case SetTimer():
            return f"TIMER Handle={action.token} FromNowUs={action.delay_us}"
        case Subscribe():
            return "FOLLOW On=1"
        case Log():
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
                    instance = _whole(_split(parts), "I")
                elif name == "CATALOG":
                    self._catalog(_split(parts), lines)
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
        for _ in range(_whole(fields, "Rows")):
            number, line = next(lines, (0, ""))
            name, *parts = line.split(" ")
            if name != "HOST":
                raise WireError(f"line {number}: HOST expected, not {name!r}")
            entries.append(_entry(_split(parts)))
        self.catalogs[_whole(fields, "List")] = entries

    def _event(self, instance: int, name: str, parts: list[str]) -> None:
        events = self.pending.setdefault(instance, [])
        if name == "OPEN_INSTANCE":
            pairs = _split(parts)
            events.clear()
            self.faults.pop(instance, None)
            try:
                self.instances[instance] = Controller(read_settings(pairs), _whole(pairs, "Salt", 0))
            except ValueError as error:
                self.faults[instance] = str(error)
        elif name == "TEARDOWN":
            events.clear()
            self.instances.pop(instance, None)
        elif name == "DISCOVERY":
            fields = _split(parts)
            form = _need(fields, "Form")
            if form not in FORMS:
                raise WireError(f"unknown Form {form!r}")
            entries: list[ServerEntry] = []
            if form != "failed":
                number = _whole(fields, "List")
                if number not in self.catalogs:
                    raise WireError(f"List {number} was never sent")
                entries = self.catalogs[number]
            events.append(ServerList(entries, complete=form in ("full", "cached"), failed=form == "failed"))
        elif name in DECODERS:
            event = DECODERS[name](_split(parts))
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
            now = _whole(_split(parts), "TimeUs")
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
