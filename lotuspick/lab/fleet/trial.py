"""What is asked of real brokers that know each other: a story of faults drawn from the seed while viewers call, what
the link costs, and whether serving is slower with it."""

from __future__ import annotations

import random
import statistics
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

from lotuspick.lab.fleet.rig import Call, Fleet, processor_s
from lotuspick.lab.net.story import Fault, draw, rest, write

Found = tuple[dict[str, float], dict[str, list[float]]]
NEVER_S = 60.0
HURT = ("stall", "kill")


def fleet(told: dict[str, Any], arm: dict[str, Any], seed: int) -> Found:
    """``kind``: ``story`` (``brokers`` under faults for ``seconds``), ``names`` (two have one name), ``cost``
    (processor time of ``brokers`` that only know each other) or ``serving`` (the same calls at the same time to brokers
    that know each other and to as many that do not). Times in s, parts in percent."""
    told = {**told, **arm}
    with tempfile.TemporaryDirectory() as name:
        match told["kind"]:
            case "story":
                return story(Path(name), told, seed)
            case "names":
                return names(Path(name), told, seed)
            case "cost":
                return cost(Path(name), told, seed)
            case _:
                return serving(Path(name), told, seed)


def outcomes(calls: list[Call], hurt: set[int]) -> dict[str, float]:
    """How many set-ups had no outcome, or more than one, though their connection stood; and the part of plain ones at
    brokers whose process was not hurt that was not served."""
    wrong = [
        call
        for call in calls
        if call.answers > 1 or call.answers == 0 and not call.cut and call.broker not in hurt
    ]
    plain = [call for call in calls if not call.paid and call.broker not in hurt]
    paid = [call for call in calls if call.paid]
    return {
        "calls": float(len(calls)),
        "not_one_outcome": float(len(wrong)),
        "plain_lost": 100 * sum(call.status != 200 for call in plain) / max(1, len(plain)),
        "paid_turned_away": 100 * sum(call.reason.startswith("fleet-") for call in paid) / max(1, len(paid)),
        "plain_turned_away": float(sum(call.reason.startswith("fleet-") for call in calls if not call.paid)),
    }


def story(folder: Path, told: dict[str, Any], seed: int) -> Found:
    """All kinds of faults on one fleet, then none, until all agree."""
    count, seconds = int(told["brokers"]), float(told["seconds"])
    faults = draw(random.Random(f"story {seed}"), count, seconds)
    made = Fleet(folder, count, 6, seed)
    try:
        made.agree(range(count))
        made.call(float(told["rate"]))
        made.play(faults + rest(faults, seconds))
        began = time.monotonic()
        try:
            made.agree(range(count))
            took_s = time.monotonic() - began
        except RuntimeError as error:
            took_s = NEVER_S
            print(f"seed {seed}: {error}\n{write(faults)}", file=sys.stderr)
        calls = made.called()
        hurt = {at for fault in faults if fault.do in HURT for at in fault.one}
        crashed = sum("Traceback" in made.log(at) for at in range(count))
    finally:
        made.end()
    return {
        **outcomes(calls, hurt),
        "agree_s": took_s,
        "never_agreed": float(took_s >= NEVER_S),
        "faults": float(len(faults)),
        "crashed": float(crashed),
    }, {"agree_s": [took_s]}


def names(folder: Path, told: dict[str, Any], seed: int) -> Found:
    """A process comes under a name that another has, with the ways to that one cut or not: for how long both served
    paid set-ups, from the first answer of the newcomer to the last of the other, as their viewers saw them."""
    count = int(told["brokers"])
    made = Fleet(folder, count + 1, 6, seed, names={count: "n1"}, later=1)
    try:
        made.agree(range(count))
        made.call(float(told["rate"]), paid=0.8)
        if told.get("cut"):
            made.happens(Fault(0.0, "cut", (count,), (1,)))
        made.launch(count)
        made.stood([1], "displaced")
        made.stood([count], "whole")
        ran = len(made.ran())
        made.until(lambda: len(made.ran()) > ran + 200, "set-ups run")
        calls = made.called()
        paid = {
            at: [
                call.asked_s + call.took_ms / 1_000
                for call in calls
                if call.broker == at and call.paid and call.status == 200
            ]
            for at in (1, count)
        }
        crashed = sum("Traceback" in made.log(at) for at in range(count + 1))
    finally:
        made.end()
    both_s = max(0.0, max(paid[1]) - min(paid[count]))
    return {**outcomes(calls, {count}), "both_s": both_s, "crashed": float(crashed)}, {"both_s": [both_s]}


def cost(folder: Path, told: dict[str, Any], seed: int) -> Found:
    """Processor time of brokers without viewers over a quiet stretch, as percent of a core, each."""
    count, seconds = int(told["brokers"]), float(told["seconds"])
    made = Fleet(folder, count, 3, seed, direct=True, peers=bool(told["peers"]))
    try:
        if told["peers"]:
            made.agree(range(count))
        time.sleep(float(told["settle"]))  # what was told on joining is told by then
        before = [processor_s(made.brokers[at].pid) for at in range(count)]
        began = time.monotonic()
        time.sleep(seconds)
        took_s = time.monotonic() - began
        used = [100 * (processor_s(made.brokers[at].pid) - before[at]) / took_s for at in range(count)]
    finally:
        made.end()
    return {"core": statistics.fmean(used), "core_most": max(used)}, {"core": used}


def serving(folder: Path, told: dict[str, Any], seed: int) -> Found:
    """Median and 99th percentile of the time to an answer, with peers on over off."""
    took: dict[bool, list[float]] = {}
    fleets: dict[bool, Fleet] = {}
    try:
        for on in (False, True):
            there = folder / f"peers-{on}"
            there.mkdir()
            fleets[on] = Fleet(there, int(told["brokers"]), 6, seed, direct=True, peers=on)
        fleets[True].agree(range(int(told["brokers"])))
        for made in fleets.values():
            made.call(float(told["rate"]), paid=0.5)
        time.sleep(float(told["seconds"]))
        for on, made in fleets.items():
            took[on] = [call.took_ms for call in made.called() if call.status == 200]
    finally:
        for made in fleets.values():
            made.end()
    row: dict[str, float] = {}
    for name, on in (("off", False), ("on", True)):
        cuts = statistics.quantiles(took[on], n=100)
        row |= {
            f"median_{name}_ms": cuts[49],
            f"p99_{name}_ms": cuts[98],
            f"calls_{name}": float(len(took[on])),
        }
    return row | {
        "median_ratio": row["median_on_ms"] / row["median_off_ms"],
        "p99_ratio": row["p99_on_ms"] / row["p99_off_ms"],
    }, {}
