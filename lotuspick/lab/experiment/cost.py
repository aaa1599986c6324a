"""Cost of cells in processor time and memory.

The same stream of sessions is passed to a controller with cells and to one without. The two take turns at
each step, so that other load on the machine affects both alike.
"""

from __future__ import annotations

import gc
import heapq
import random
import resource
import time
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any, NamedTuple

from lotuspick.cells.constraints import CellConstraints
from lotuspick.cells.plan_file import parse
from lotuspick.core.actions import Action, ForwardAttempt, RejectSession, StartTimer
from lotuspick.core.controller import Controller
from lotuspick.core.events import (
    AttemptEnded,
    AttemptOutcome,
    Event,
    ReadingTopic,
    ServerEntry,
    ServerListUpdate,
    SessionNotification,
    SessionRequest,
    SessionStarted,
    TimerFired,
)
from lotuspick.lab.emulator.spec import (
    CLASSES,
    IDEMPOTENT_CLASS,
    NODE_KIND,
    PAID_CLASS,
    SECOND_US,
    ZONES,
    Spec,
)
from lotuspick.lab.trial_result import Parameters, TrialResult

STEP_US = 10_000
START_US = 10 * SECOND_US
SET_UP_US, NOTIFIED_US = 80_000, 90_000
LINK_LOAD = 0.5
CELL_COUNT, RACKS, TITLES, HIGHEST_RUNG = 6, 10, 6, 3
HASHED_CELL_NODES = 5
REQUEST_PROBABILITY = 0.12
"""Probability of a request in a step."""
TENANT_SHAPE = 0.6
"""Shape of the Pareto distribution of requests over tenants."""
DEADLINE_US, LENGTH_HINT_US = 4 * SECOND_US, 30e6
WARM_UP_DIVISOR = 5
"""The first ``1 / WARM_UP_DIVISOR`` of the sessions is not measured."""
MEMORY_PHASES = 5
"""Equal parts of the memory test, each with its own peak."""
NAMES_PER_SAMPLE = 500
NAME_INTERVAL_US = 100
BYTES_PER_MIB = 2**20


@dataclass(frozen=True, slots=True)
class CostParameters:
    """Parameters of an arm; the field names are keys of the experiment files."""

    nodes: int = 60
    tenants: int = 1_000
    sessions: int = 6_000
    copies: int = 4
    names: int = 1_000_000
    """Number of distinct unknown names in the memory test."""
    hashed: bool = False
    """Whether cells are assigned by hash rather than as blocks of positions."""

    @classmethod
    def from_arm(cls, arm: Parameters) -> CostParameters:
        """Return the parameters of an arm; other keys are ignored."""
        return cls(**{name: value for name, value in arm.items() if name in cls.__dataclass_fields__})


class _ScheduledEvent(NamedTuple):
    at_us: int
    number: int
    event: Event


class TimedController:
    """A controller whose calls are timed, in an environment where all set-ups succeed."""

    def __init__(self, controller: Controller) -> None:
        self.seconds = 0.0
        """Total time spent in the controller."""
        self.session_lengths_us: dict[str, int] = {}
        """Session lengths by session id."""
        self._controller = controller
        self._schedule: list[_ScheduledEvent] = []
        self._scheduled_count = 0

    def step(self, now_us: int, new_events: Sequence[Event]) -> None:
        """Pass new and due events to the controller, and time the call."""
        events = list(new_events)
        while self._schedule and self._schedule[0].at_us <= now_us:
            events.append(heapq.heappop(self._schedule).event)
        if not events:
            return
        start_s = time.perf_counter()
        actions = self._controller.handle(now_us, events)
        self.seconds += time.perf_counter() - start_s
        for action in actions:
            self._execute(now_us, action)

    def _execute(self, now_us: int, action: Action) -> None:
        match action:
            case StartTimer():
                due_us = now_us + max(1, action.delay_us)
                self._schedule_event(due_us, TimerFired(action.timer_id))
            case ForwardAttempt():
                self._play(now_us, action.session, action.server)
            case _:
                pass

    def _play(self, now_us: int, session: str, server: str) -> None:
        """Schedule the start, one notification and the end of a session."""
        started = SessionStarted(session, 0, server, SET_UP_US)
        notified = SessionNotification(session, server, ReadingTopic.LINK, LINK_LOAD)
        ended = AttemptEnded(
            session, 0, server, AttemptOutcome.SERVED, True, load_report={ReadingTopic.LINK: LINK_LOAD}
        )
        self._schedule_event(now_us + SET_UP_US, started)
        self._schedule_event(now_us + NOTIFIED_US, notified)
        self._schedule_event(now_us + self.session_lengths_us[session], ended)

    def _schedule_event(self, at_us: int, event: Event) -> None:
        self._scheduled_count += 1
        heapq.heappush(self._schedule, _ScheduledEvent(at_us, self._scheduled_count, event))


def cost(world: Parameters, arm: Parameters, seed: int) -> TrialResult:
    """Run one trial.

    Args:
        world: Unused.
        arm: Fields of :class:`CostParameters`.
        seed: Seed of the stream of sessions.

    Returns:
        ``ratio``: mean controller time per session, outcomes included, with cells over without.
        ``grown``: difference in MiB between the peak resident memory in the last and in the second fifth
        of the memory test. Peaks are compared because tables that fill up and are cleared make the
        resident memory fluctuate.
    """
    del world
    parameters = CostParameters.from_arm(arm)
    stream = SessionStream(parameters, seed)
    without_cells_us, with_cells_us = stream.run()
    figures = {
        "without_us": without_cells_us,
        "within_us": with_cells_us,
        "ratio": with_cells_us / without_cells_us,
        "grown": _memory_growth_mib(parameters, stream.now_us),
    }
    return TrialResult(figures, {})


def _create_constraints(parameters: CostParameters) -> CellConstraints:
    """Create constraints with cells by hash or as blocks of positions."""
    size = parameters.nodes // CELL_COUNT
    cells: dict[str, Any] = {
        f"c{index}": {"shuffle": HASHED_CELL_NODES}
        if parameters.hashed
        else {"positions": [f"{index * size}-{index * size + size - 1}"]}
        for index in range(CELL_COUNT)
    }
    return CellConstraints(parse({"cells": cells}), parameters.nodes)


def _endpoint_list(parameters: CostParameters) -> ServerListUpdate:
    entries = [ServerEntry(f"m-{index}", ZONES[0], NODE_KIND, index) for index in range(parameters.nodes)]
    return ServerListUpdate(entries, complete=True)


class SessionStream:
    """A stream of sessions that is passed to a controller without cells and to one with cells."""

    def __init__(self, parameters: CostParameters, seed: int) -> None:
        settings = Spec(nodes=parameters.nodes, racks=RACKS).settings(ZONES[0])
        self.now_us = START_US
        self._parameters = parameters
        self._random = random.Random(f"cost {seed}")
        self._without_cells = TimedController(Controller(settings, seed, None))
        self._with_cells = TimedController(Controller(settings, seed, _create_constraints(parameters)))
        self._request_count = 0

    def run(self) -> tuple[float, float]:
        """Run all sessions; return the mean controller time per session without and with cells, in us."""
        controllers = (self._without_cells, self._with_cells)
        for controller in controllers:
            controller.step(0, [_endpoint_list(self._parameters)])
        warm_up = self._parameters.sessions // WARM_UP_DIVISOR
        gc.collect()
        while self._request_count < self._parameters.sessions:
            self.now_us += STEP_US
            events: list[Event] = []
            if self._random.random() < REQUEST_PROBABILITY:
                events.append(self._draw_request())
            if self._request_count == warm_up:
                for controller in controllers:
                    controller.seconds = 0.0
            for controller in controllers if self._request_count % 2 else reversed(controllers):
                controller.step(self.now_us, events)
        measured_count = self._parameters.sessions - warm_up
        return (
            self._without_cells.seconds / measured_count * 1e6,
            self._with_cells.seconds / measured_count * 1e6,
        )

    def _draw_request(self) -> SessionRequest:
        self._request_count += 1
        session = f"s{self._request_count}"
        tenant = f"t{min(int(self._random.paretovariate(TENANT_SHAPE)), self._parameters.tenants)}"
        session_class = self._random.choice([IDEMPOTENT_CLASS, IDEMPOTENT_CLASS, PAID_CLASS])
        title = self._random.randrange(TITLES)
        home = random.Random(f"{tenant} {title}").randrange(self._parameters.nodes)
        for controller in (self._without_cells, self._with_cells):
            length_s = self._random.uniform(*CLASSES[IDEMPOTENT_CLASS].length_s)
            controller.session_lengths_us[session] = int(length_s * SECOND_US)
        return SessionRequest(
            session=session,
            session_class=session_class,
            title=f"{tenant}-{title}",
            home_position=home,
            copies=self._parameters.copies,
            highest_rung=HIGHEST_RUNG,
            deadline_us=self.now_us + DEADLINE_US,
            length_us=LENGTH_HINT_US,
            viewer=f"v{self._request_count}",
            tenant=tenant,
        )


def _memory_growth_mib(parameters: CostParameters, start_us: int) -> float:
    """Send requests with distinct unknown names to the constraints.

    Returns:
        Growth of the peak resident memory from the second to the last fifth of the requests.
    """
    constraints = _create_constraints(parameters)
    constraints.on_event(0, _endpoint_list(parameters))
    peaks_mib = [0.0] * MEMORY_PHASES
    for number in range(parameters.names):
        if number % NAMES_PER_SAMPLE == 0:
            phase = number * MEMORY_PHASES // parameters.names
            peaks_mib[phase] = max(peaks_mib[phase], resident_mib())
        now_us = start_us + number * NAME_INTERVAL_US
        request = SessionRequest(
            session=f"n{number}",
            session_class=IDEMPOTENT_CLASS,
            title=f"l{number}",
            home_position=number % parameters.nodes,
            copies=4,
            highest_rung=HIGHEST_RUNG,
            deadline_us=start_us + DEADLINE_US,
            length_us=LENGTH_HINT_US,
            viewer=f"w{number}",
            tenant=f"made-up-{number}",
        )
        constraints.constraint_for(now_us, request)
        constraints.on_event(now_us, RejectSession(f"n{number}"))
    return peaks_mib[-1] - peaks_mib[1]


def resident_mib() -> float:
    """Return the resident memory of this process."""
    resident_pages = int(Path("/proc/self/statm").read_text(encoding="ascii").split()[1])
    return resident_pages * resource.getpagesize() / BYTES_PER_MIB
