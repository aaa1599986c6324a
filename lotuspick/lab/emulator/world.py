"""Plays one day: nodes, links, racks, brokers and viewers round the real loop and core."""

from __future__ import annotations

import random
from bisect import bisect
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from functools import partial
from itertools import accumulate

import simpy

from lotuspick.cells.constraints import CellConstraints
from lotuspick.cells.model import Plan, PlanError
from lotuspick.core.controller import Controller
from lotuspick.core.events import EndpointState, ReadingTopic, ServerEntry, ServerListUpdate, SessionRequest
from lotuspick.core.operator_events import OperatorEvent
from lotuspick.lab.emulator.audit import AIM_US, PAID, WORTH, Books, Intent
from lotuspick.lab.emulator.spec import (
    GIVE_UP,
    LADDER,
    LENGTHS,
    MIDDLE_KB,
    PAID_PART,
    RUNG_WORTH,
    SECOND,
    ZONES,
    Spec,
    Storm,
    Trouble,
)
from lotuspick.routing.dispatcher import SessionDispatcher
from lotuspick.routing.interfaces import AttemptRequest
from lotuspick.routing.messages import (
    AttemptAnswered,
    AttemptTerminated,
    EdgeServerFailed,
    EdgeServerNotified,
    EdgeServerReleased,
    EndpointListChanged,
    InboundMessage,
    SessionCancelled,
    SessionRequested,
)
from lotuspick.routing.termination import TerminationReason

HOP_US = 600  # one way between any two parties
TICK_US = 10_000
METER_US = SECOND // 2
NOTE_US, LOAD_US, LATE_US = SECOND, 3 * SECOND, 700_000
ROSTER_US, ROSTER_LATE_US = 2 * SECOND, 10 * SECOND
WORK_US = 20_000  # of a node's one set-up queue, for each set-up
COLD_US, COLD_FROM = 8 * SECOND, 0.3
TRIES = 6  # a viewer comes again so often at most
COMES_AGAIN = 0.9
SHARE_FULL, SHORTFALL = 0.98, 8.0
PLAYER_US = SECOND // 2  # a broken player asks so often
CLASSES = frozenset(WORTH)


@dataclass(slots=True, eq=False)
class Stream:
    """A session at a node."""

    session: str
    broker: Broker
    life: int
    viewer: Try
    rung: int
    rate: float
    """True rate over the ladder's."""
    scale: float

    @property
    def kb(self) -> float:
        return LADDER[self.rung] * self.scale * self.rate


class Node:
    """One media node: a queue of set-ups, and a link that all streams share."""

    def __init__(self, world: World, index: int) -> None:
        draw = random.Random(f"{world.seed} node {index}")
        self.world, self.index, self.name = world, index, f"m-{index:02d}"
        self.zone = ZONES[index * len(ZONES) // world.spec.nodes]
        self.rack = index % world.spec.racks
        self.kb = world.spec.sessions_per_link * MIDDLE_KB * draw.uniform(0.82, 1.18)
        self.places = int(world.spec.sessions_per_link * 2.6)
        self.streams: dict[str, Stream] = {}
        self.coming: dict[str, tuple[Broker, int]] = {}
        self.up, self.slow, self.thin, self.state = True, 1, 1.0, EndpointState.ACTIVE
        self.started_us = self.free_us = 0
        self.life = 0

    def entry(self) -> ServerEntry:
        return ServerEntry(
            self.name,
            self.zone,
            "nodo-2c",
            self.index,
            self.state,
            1.0,
            self.started_us,
            f"10.{self.index % 8}.0.{self.index}:9000",
        )

    @property
    def asked_kb(self) -> float:
        return sum(stream.kb for stream in self.streams.values())

    @property
    def load(self) -> float:
        """What is asked of the link over what it gives."""
        return self.asked_kb / (self.kb * self.thin)

    def set_up(self, broker: Broker, life: int, ask: AttemptRequest, viewer: Try) -> None:
        if not self.up:
            self.world.later(
                HOP_US,
                lambda: broker.hear(
                    life, AttemptTerminated(self.name, ask.session, TerminationReason.DIAL_REFUSED)
                ),
            )
            return
        if len(self.streams) + len(self.coming) >= self.places:
            self.world.later(
                HOP_US,
                lambda: broker.hear(
                    life,
                    EdgeServerReleased(
                        self.name,
                        ask.session,
                        TerminationReason.REJECTED_BY_SERVER,
                        TerminationReason.INTERRUPTED,
                        {ReadingTopic.LINK: self.load},
                    ),
                ),
            )
            return
        now = self.world.now
        self.coming[ask.session] = (broker, life)
        self.free_us = max(self.free_us, now) + WORK_US * self.slow
        took = self.free_us - now + 40_000 * self.slow
        self.world.later(took, partial(self.stand, self.life, broker, life, ask, viewer))

    def stand(self, here: int, broker: Broker, life: int, ask: AttemptRequest, viewer: Try) -> None:
        if here != self.life or self.coming.pop(ask.session, None) is None:
            return  # the node, or the broker that asked, died meanwhile
        world = self.world
        world.books.ran(world.now, ask.session, ask.session_class, ask.rung, self.name, viewer.intent.tenant)
        scale = 1.4 if ask.session_class == PAID else 0.7
        self.streams[ask.session] = Stream(ask.session, broker, life, viewer, ask.rung, viewer.rate, scale)
        load = self.load
        broker.hear(life, AttemptAnswered(self.name, ask.session, b""), HOP_US)
        broker.hear(life, EdgeServerNotified(self.name, ask.session, ReadingTopic.LINK, load), HOP_US)
        world.later(int(viewer.left_s * SECOND), lambda: self.finish(ask.session))

    def finish(self, session: str) -> None:
        stream = self.streams.pop(session, None)
        if stream is not None:
            stream.broker.hear(
                stream.life,
                EdgeServerReleased(
                    self.name,
                    session,
                    TerminationReason.FINISHED,
                    TerminationReason.FINISHED,
                    {ReadingTopic.LINK: self.load},
                ),
                HOP_US,
            )

    def drop(self, session: str) -> None:
        self.streams.pop(session, None)

    def die(self) -> None:
        """The process is gone; its brokers see their connections reset and dials refused."""
        self.up, self.life = False, self.life + 1
        brokers = {(stream.broker, stream.life) for stream in self.streams.values()} | set(
            self.coming.values()
        )
        for session, (broker, life) in self.coming.items():
            broker.hear(life, AttemptTerminated(self.name, session, TerminationReason.RESET), HOP_US)
        for broker, life in sorted(brokers, key=lambda each: each[0].index):
            broker.hear(life, EdgeServerFailed(self.name, TerminationReason.SERVER_DOWN), 40_000)
        for stream in self.streams.values():
            stream.viewer.cause = "node died"
        self.streams, self.coming = {}, {}

    def come_back(self) -> None:
        self.up, self.state, self.started_us = True, EndpointState.ACTIVE, self.world.now

    def warmed(self) -> float:
        """Share of a cold node's capacity that it has; 1 for a warm one."""
        age = self.world.now - self.started_us
        return 1.0 if not self.started_us or age >= COLD_US else max(COLD_FROM, age / COLD_US)


class Broker:
    """One broker: the real loop and core, and the loop's view of the nodes."""

    def __init__(self, world: World, index: int) -> None:
        self.world, self.index, self.zone = world, index, ZONES[index % len(ZONES)]
        self.life, self.up = 0, False
        self.drained: dict[str, int] = {}
        self.deaf_plan = False
        self.due: int | None = None
        self.guide: CellConstraints | None = None
        self.start()

    def start(self) -> None:
        world = self.world
        self.life, self.up, self.due = self.life + 1, True, None
        plan = world.plan_at(world.now if not self.deaf_plan else 0)
        self.guide = CellConstraints(plan, world.spec.nodes) if plan is not None else None
        seed = world.seed * 1_000 + self.index * 10 + self.life
        self.core = Controller(world.spec.settings(self.zone), seed, constraint_provider=self.guide)
        self.loop = SessionDispatcher(
            self.core, self, lambda: world.now, partial(self.wake_at, self.life), TICK_US, CLASSES
        )
        self.drained = {}
        entries = list(world.listed.values())
        self.hear(self.life, EndpointListChanged(ServerListUpdate(entries, complete=True)))

    def kill(self) -> None:
        """Gone at once, with all that it holds; viewers see their connections break."""
        self.up, self.life = False, self.life + 1
        for node in self.world.nodes:
            for session, (broker, _) in list(node.coming.items()):
                if broker is self:
                    del node.coming[session]
            for stream in [each for each in node.streams.values() if each.broker is self]:
                node.drop(stream.session)
        entries = self.loop.sessions.entries.values()
        for viewer in [entry.viewer for entry in entries if isinstance(entry.viewer, Try)]:
            viewer.broken("broker killed")

    def hear(self, life: int, item: InboundMessage, delay_us: int = 0) -> None:
        """Something reaches this broker, if it is still the one that it was meant for."""
        if delay_us:
            self.world.later(delay_us, lambda: self.hear(life, item))
        elif self.up and life == self.life:
            if isinstance(item, EndpointListChanged):
                for entry in item.update.servers:
                    if entry.state == EndpointState.DRAINING:
                        self.drained.setdefault(entry.server, self.world.now)
                    else:
                        self.drained.pop(entry.server, None)
            self.loop.post(item)

    def wake_at(self, life: int, at_us: int) -> None:
        if self.due is None or at_us < self.due:
            self.due = at_us
            self.world.later(max(0, at_us - self.world.now), lambda: self.wake(life, at_us))

    def wake(self, life: int, at_us: int) -> None:
        if self.up and life == self.life and self.due == at_us:
            self.due = None
            self.loop.tick()

    def take(self, plan: Plan) -> None:
        if self.guide is not None and self.up and not self.deaf_plan:
            try:
                self.guide.apply_plan(plan, self.world.now)
            except PlanError as error:
                self.world.said.append(OperatorEvent("plan not taken", {"fault": str(error)}))

    # ---- the loop's edges ---------------------------------------------------------------------------------

    def start_attempt(self, edge: str, ask: AttemptRequest) -> TerminationReason | None:
        world, node = self.world, self.world.by_name[edge]
        viewer = self.loop.sessions.entries[ask.session].viewer
        assert isinstance(viewer, Try)
        told = self.drained.get(edge)
        if told is not None and world.now > told + 2 * SECOND:
            world.books.rule(world.now, f"set-up sent to {edge}, told to drain {world.now - told} us ago")
        if node.warmed() < 1:
            world.books.sent_cold(world.now, edge, node.warmed(), node.places, COLD_US)
        life = self.life
        world.later(HOP_US, lambda: node.set_up(self, life, ask, viewer))
        return None

    def cancel_attempt(self, edge: str, session: str) -> bool:
        return False

    def release(self, edge: str, session: str, ending: TerminationReason) -> None:
        self.world.later(HOP_US, lambda: self.world.by_name[edge].drop(session))

    def set_rung(self, edge: str, session: str, rung: int) -> None:
        def change() -> None:
            stream = self.world.by_name[edge].streams.get(session)
            if stream is not None:
                stream.rung = rung
                stream.viewer.intent.got -= 0.6 * WORTH[stream.viewer.intent.cls] * RUNG_WORTH[rung]

        self.world.later(HOP_US, change)

    def keep_connected(self, edge: str) -> None:
        """Connections are not part of this model."""


class Try:
    """One request of a viewer, and the session that may come of it."""

    is_open, last_message_us = True, 0

    def __init__(
        self,
        world: World,
        intent: Intent,
        number: int,
        broker: Broker,
        lesson: Lesson,
        player: Player | None = None,
    ) -> None:
        self.world, self.intent, self.number, self.broker, self.life = (
            world,
            intent,
            number,
            broker,
            broker.life,
        )
        self.lesson, self.player, self.rate = lesson, player, lesson.rate
        self.session = f"{intent.viewer}.{number}"
        self.asked_us = world.now
        self.left_s = max(1.0, intent.length_s - intent.got / (WORTH[intent.cls] + 1e-9))
        self.in_time = self.stands = self.over = False
        self.cause = ""
        self.draw = random.Random(f"{world.seed} {self.session}")

    def ask(self) -> None:
        world, intent, lesson = self.world, self.intent, self.lesson
        deadline = world.now + int(GIVE_UP[intent.cls] * SECOND)
        returned = self.number > 0 and (self.player is None or self.player.storm.marked)
        world.books.tries[intent.tenant] += 1
        request = SessionRequest(
            self.session,
            intent.cls,
            lesson.title,
            lesson.home,
            lesson.copies,
            intent.ceiling,
            deadline,
            self.left_s * SECOND * self.draw.uniform(0.8, 1.25),
            intent.viewer,
            intent.tenant,
            returned=returned,
        )
        self.broker.hear(self.life, SessionRequested(request, b"", self), HOP_US)
        world.later(deadline - world.now + 60_000, self.overdue)

    def overdue(self) -> None:
        alive = self.broker.up and self.broker.life == self.life
        if alive and not self.over and not self.stands and not self.world.books.answered[self.session]:
            self.world.books.rule(self.world.now, f"no outcome for {self.session}")

    # ---- what the loop says -------------------------------------------------------------------------------

    def served(self, session: str, description: bytes) -> None:
        self.world.books.outcome(self.world.now, session, self.intent.cls, "served")
        self.stands = True
        self.in_time = self.world.now - self.asked_us <= AIM_US[self.intent.cls]
        if self.player is not None:
            self.player.served(self)

    def rejected(self, session: str, gap_ms: int, why: str = "") -> None:
        self.world.books.outcome(self.world.now, session, self.intent.cls, "refused")
        self.again(gap_ms * 1_000)

    def failed(self, session: str, why: str = "") -> None:
        self.world.books.outcome(self.world.now, session, self.intent.cls, "failed")
        self.again(0)

    def released(self, session: str, ending: TerminationReason) -> None:
        if ending is TerminationReason.FINISHED:
            self.end("finished")
        else:
            self.broken(self.cause or f"dropped: {ending.value}")

    def close_with_error(self, why: str) -> None:
        self.world.books.rule(self.world.now, f"{self.session} abandoned: {why}")

    def broken(self, cause: str) -> None:
        """The session, or the broker that was asked for it, is lost."""
        if not self.over:
            if self.stands:
                self.world.books.ends[cause] += 1
            self.again(0)

    def again(self, gap_us: int) -> None:
        """The viewer comes again, unless it has had enough. Broken players have a loop of their own."""
        if self.over:
            return
        self.over = True
        if self.player is not None:
            return
        if self.number + 1 >= TRIES or self.draw.random() >= COMES_AGAIN:
            self.world.books.close(self.intent)
            return
        wait = max(gap_us, int(self.draw.uniform(0.54, 2.7) * SECOND))
        self.world.later(wait, lambda: self.world.ask(self.intent, self.number + 1, self.lesson, self.draw))

    def end(self, cause: str) -> None:
        if not self.over:
            self.over = True
            self.world.books.ends[cause] += 1
            if self.player is None:
                self.world.books.close(self.intent)


@dataclass(frozen=True, slots=True)
class Lesson:
    """Where a lesson lies."""

    title: str
    home: int
    copies: int
    rate: float


class Player:
    """A broken player: asks again and again, whatever it is told."""

    def __init__(self, world: World, storm: Storm, index: int) -> None:
        self.world, self.storm, self.index, self.number = world, storm, index, 0
        self.draw = random.Random(f"{world.seed} player {storm.tenant} {index}")
        world.later(int(storm.start_s * SECOND + self.draw.random() * PLAYER_US), self.ask)

    def ask(self) -> None:
        world, draw = self.world, self.draw
        if world.now >= self.storm.end_s * SECOND:
            return
        name = f"x{self.index}" if self.storm.marked else f"x{self.index}-{self.number}"
        intent = world.intent(name, self.storm.tenant, draw, counted=False)
        world.ask(intent, self.number, draw.choice(world.lessons[self.storm.tenant]), draw, self)
        self.number += 1
        world.later(int(PLAYER_US * draw.uniform(0.9, 1.1)), self.ask)

    def served(self, tried: Try) -> None:
        """It crashes: what it set up is closed, or left to play to its end for nobody."""
        if self.draw.random() >= self.storm.leaks:
            tried.broker.hear(tried.life, SessionCancelled(tried.session), 300_000)


@dataclass(slots=True)
class Day:
    """What came of a day."""

    books: Books
    news: list[OperatorEvent]
    homes: dict[str, str] = field(default_factory=dict)
    """The cell of each tenant by the plan at the start; empty without a plan."""


class World:
    """A day, from its seed. ``plans``: what the brokers' file says from which second on."""

    def __init__(self, spec: Spec, seed: int, plans: Sequence[tuple[float, Plan]] = ()) -> None:
        self.spec, self.seed, self.plans = spec, seed, list(plans)
        self.env = simpy.Environment()
        self.books = Books(spec)
        self.said: list[OperatorEvent] = []
        self.deaf_roster = self.mute = 0
        self.meters: list[Callable[[], None]] = []  # called with each reading of the meter
        self.nodes = [Node(self, index) for index in range(spec.nodes)]
        self.by_name = {node.name: node for node in self.nodes}
        self.listed = {node.name: node.entry() for node in self.nodes}  # what the coordinator has told
        self.uplinks = [random.Random(f"{seed} rack {rack}").uniform(0.8, 1.2) for rack in range(spec.racks)]
        self.draw = random.Random(f"{seed} arrivals")
        self.tenants = [f"t{index:03d}" for index in range(spec.tenants)]
        weights = [1 / (index + 1) ** spec.skew for index in range(spec.tenants)]
        self.parts = {tenant: weight / sum(weights) for tenant, weight in zip(self.tenants, weights)}
        self.blocks: dict[str, int] = {}
        loads = [0.0] * spec.cells
        for tenant, part in self.parts.items():  # the largest first, each to the block that has least so far
            self.blocks[tenant] = loads.index(min(loads))
            loads[self.blocks[tenant]] += part
        self.sums = list(accumulate(self.parts.values()))
        self.lessons = {
            tenant: [self.lesson(tenant, at) for at in range(spec.lessons)] for tenant in self.tenants
        }
        self.brokers = [Broker(self, index) for index in range(spec.brokers)]
        self.viewers = 0

    @property
    def now(self) -> int:
        return int(self.env.now)

    def later(self, delay_us: int, then: Callable[[], None]) -> None:
        """Call ``then`` in so many microseconds."""
        self.env.timeout(delay_us).callbacks.append(lambda _: then())

    def plan_at(self, now: int) -> Plan | None:
        """What a broker that starts at ``now`` reads."""
        told = [plan for at_s, plan in self.plans if at_s * SECOND <= now]
        return told[-1] if told else None

    def lesson(self, tenant: str, at: int) -> Lesson:
        draw = random.Random(f"{self.seed} {tenant} lesson {at}")
        block = self.spec.nodes // self.spec.cells
        home, copies = block * self.blocks[tenant] + draw.randrange(2), draw.randint(*self.spec.copies)
        if draw.random() < self.spec.strays:
            home, copies = draw.randrange(self.spec.nodes), 3
        if tenant in self.spec.wide:
            home, copies = block * self.blocks[tenant], 2 * block
        return Lesson(f"{tenant}-{at}", home, copies, draw.uniform(0.85, 1.15))

    # ---- viewers ------------------------------------------------------------------------------------------

    def intent(self, viewer: str, tenant: str, draw: random.Random, counted: bool) -> Intent:
        cls = PAID if draw.random() < PAID_PART else "repaso"
        ceiling = draw.choice([1, 2]) if draw.random() < 0.24 else len(LADDER) - 1
        return Intent(viewer, tenant, cls, draw.uniform(*LENGTHS[cls]), ceiling, self.now, counted)

    def ask(
        self, intent: Intent, number: int, lesson: Lesson, draw: random.Random, player: Player | None = None
    ) -> None:
        """A try, at any broker of the viewer's building that is up."""
        zone = ZONES[random.Random(f"{self.seed} {intent.viewer}").randrange(len(ZONES))]
        near = [each for each in self.brokers if each.zone == zone]
        up = [each for each in near if each.up] or near
        tried = Try(self, intent, number, draw.choice(up), lesson, player)
        if tried.broker.up:
            tried.ask()
        else:
            tried.again(0)

    def arrive(self, tenant: str | None, lesson: Lesson | None, draw: random.Random) -> None:
        named = tenant or self.tenants[min(bisect(self.sums, draw.random()), len(self.tenants) - 1)]
        self.viewers += 1
        counted = self.spec.measure_from_s * SECOND <= self.now < self.spec.day_s * SECOND
        viewer = f"v{self.viewers}" if tenant is None else f"c{self.viewers}"
        intent = self.intent(viewer, named, draw, counted)
        self.ask(intent, 0, lesson or draw.choice(self.lessons[named]), draw)

    def arrivals(
        self,
        rate: float,
        start_s: float,
        end_s: float,
        tenant: str | None,
        draw: random.Random,
        lesson: Lesson | None = None,
    ) -> None:
        """Poisson arrivals, drawn ahead: they don't wait for answers."""
        at = start_s + draw.expovariate(rate)
        while at < end_s:
            inner = random.Random(draw.random())
            self.later(int(at * SECOND), partial(self.arrive, tenant, lesson, inner))
            at += draw.expovariate(rate)

    # ---- the coordinator, notes, the meter -----------------------------------------------------------------

    def tell_roster(self, node: Node) -> None:
        """The coordinator pushes a change, late."""
        entry = node.entry()

        def told() -> None:
            self.listed[entry.server] = entry
            for broker in self.brokers:
                broker.hear(broker.life, EndpointListChanged(ServerListUpdate([entry])))

        self.later(ROSTER_LATE_US if self.deaf_roster else ROSTER_US, told)

    def meter(self) -> None:
        """Book the worth of the last half second, and send the notes that are due."""
        asked: dict[int, float] = {}
        for node in self.nodes:
            asked[node.rack] = asked.get(node.rack, 0.0) + min(node.asked_kb, node.kb * node.thin)
        uplink = self.spec.nodes / self.spec.racks * self.spec.sessions_per_link * MIDDLE_KB
        for node in self.nodes:
            gives = min(1.0, 1 / max(node.load, 1e-9))
            gives *= min(1.0, uplink * self.uplinks[node.rack] / max(asked[node.rack], 1e-9))
            for stream in node.streams.values():
                intent = stream.viewer.intent
                if stream.viewer.in_time:
                    worth = RUNG_WORTH[min(stream.rung, intent.ceiling)]
                    worth *= max(0.0, 1 - SHORTFALL * max(0.0, SHARE_FULL - gives))
                    intent.got += WORTH[intent.cls] * worth * METER_US / SECOND
            if not self.mute:
                self.notes(node, gives)
        for look in self.meters:
            look()
        self.later(METER_US, self.meter)

    def notes(self, node: Node, gives: float) -> None:
        first: dict[int, Stream] = {}
        for stream in node.streams.values():
            first.setdefault(stream.broker.index, stream)
        for stream in first.values():
            if self.now % NOTE_US < METER_US and gives < SHARE_FULL:
                stream.broker.hear(
                    stream.life,
                    EdgeServerNotified(node.name, stream.session, ReadingTopic.SHARE, gives),
                    LATE_US,
                )
            if (self.now + node.index * 70_000) % LOAD_US < METER_US:
                stream.broker.hear(
                    stream.life,
                    EdgeServerNotified(node.name, stream.session, ReadingTopic.LINK, node.load),
                    LATE_US,
                )

    # ---- troubles -----------------------------------------------------------------------------------------

    def begin(self, trouble: Trouble) -> None:
        node = self.nodes[trouble.index % len(self.nodes)]
        broker = self.brokers[trouble.index % len(self.brokers)]
        match trouble.kind:
            case "dead":
                node.die()
                node.state = EndpointState.GONE
                self.tell_roster(node)
            case "drain":
                node.state = EndpointState.DRAINING
                self.tell_roster(node)
            case "slow":
                node.slow = 20
            case "thin":
                node.thin = 0.33
            case "late":
                self.deaf_roster += 1
            case "mute":
                self.mute += 1
            case "kill":
                broker.kill()
            case "stale":
                broker.deaf_plan = True

    def finish(self, trouble: Trouble) -> None:
        node = self.nodes[trouble.index % len(self.nodes)]
        broker = self.brokers[trouble.index % len(self.brokers)]
        match trouble.kind:
            case "dead" | "drain":
                if trouble.kind == "drain":
                    node.die()
                node.come_back()
                self.tell_roster(node)
            case "slow":
                node.slow = 1
            case "thin":
                node.thin = 1.0
            case "late":
                self.deaf_roster -= 1
            case "mute":
                self.mute -= 1
            case "kill":
                broker.start()
            case "stale":
                broker.deaf_plan = False
                plan = self.plan_at(self.now)
                if plan is not None:
                    broker.take(plan)

    # ---- the day ------------------------------------------------------------------------------------------

    def play(self) -> Day:
        """Play the day, until what was asked for is over."""
        spec = self.spec
        self.arrivals(spec.rate, 0.0, spec.day_s, None, self.draw)
        for at, crowd in enumerate(spec.crowds):
            self.arrivals(
                crowd.rate,
                crowd.start_s,
                crowd.end_s,
                crowd.tenant,
                random.Random(f"{self.seed} crowd {at}"),
                self.lessons[crowd.tenant][0],
            )
        for storm in spec.storms:
            extra = (storm.times - 1) * self.parts[storm.tenant] * spec.rate
            for index in range(max(1, round(extra * PLAYER_US / SECOND))):
                Player(self, storm, index)
        for trouble in spec.troubles:
            self.later(int(trouble.start_s * SECOND), partial(self.begin, trouble))
            self.later(int(trouble.end_s * SECOND), partial(self.finish, trouble))
        for at_s, plan in self.plans:
            if at_s > 0:
                self.later(int(at_s * SECOND), partial(self.tell_plan, plan))
        self.later(METER_US, self.meter)
        self.later(SECOND, self.listen)
        guide = self.brokers[0].guide
        homes = {tenant: guide.directory.base_cell(tenant, "")[0] for tenant in self.tenants} if guide else {}
        self.env.run(until=int((spec.day_s + 75) * SECOND))
        return Day(self.books, self.said, homes)

    def tell_plan(self, plan: Plan) -> None:
        for broker in self.brokers:
            broker.take(plan)

    def listen(self) -> None:
        """Fetch the lines for operators."""
        for broker in self.brokers:
            if broker.guide is not None and broker.up:
                self.said.extend(broker.guide.take_events())
        self.later(SECOND, self.listen)


def play(spec: Spec, seed: int, plans: Sequence[tuple[float, Plan]] = ()) -> Day:
    """Play one day."""
    return World(spec, seed, plans).play()
