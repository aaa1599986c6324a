"""The session table and the one loop.

Whatever happens anywhere lands in the inbox. Once a tick all that is ready goes to the module in one call, in
the order in which it came, and then the actions that came back are carried out in order. Nothing here decides
about a session; this is the bookkeeping that makes the module's answers true on the wire.
"""

from __future__ import annotations

import heapq
import logging
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Any, Protocol

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
from lotuspick.core.events import (
    PROVES_NOT_EXECUTED,
    AttemptEnded,
    AttemptOutcome,
    AttemptResolved,
    ConstraintsChanged,
    Event,
    ServerFailed,
    SessionNotification,
    SessionPlaying,
    SessionRequest,
    SessionStarted,
    TimerFired,
    ViewerDisconnected,
)
from lotuspick.core.settings import Settings
from lotuspick.routing.indeterminate_attempts import IndeterminateAttempts
from lotuspick.routing.interfaces import AttemptRequest, EdgeServers, ViewerConnection
from lotuspick.routing.messages import (
    AttemptAnswered,
    AttemptTerminated,
    AttemptWritten,
    EdgeServerFailed,
    EdgeServerNotified,
    EdgeServerReleased,
    EndpointListChanged,
    HintReceived,
    InboundMessage,
    LedgerCommitted,
    SessionCancelled,
    SessionRequested,
    SessionRevoked,
    TenantRatesUpdated,
    ViewerConnectionClosed,
    ViewerConnectionOpened,
)
from lotuspick.routing.termination import ATTEMPT_OUTCOMES, SERVER_STILL_ALIVE, TerminationReason

log = logging.getLogger(__name__)

STAY_AWAY_US = 1_000_000  # asked of viewers that come while as many set-ups are open as can be held
MOST_OPEN = 2_000  # set-ups open at once; with 16 KiB each they stay far inside the memory limit
OWED_US = 8_000_000  # a release that finds no viewer connection is of no use after this
AGAIN_US = 100_000  # a copy that came so long before its request's connection ended is its viewer's: 50 ms by the page
UNSETTLED_US = 10_000_000  # an answer to a set-up that was given up may come so late
QUIET_US = 100_000  # a connection on which a message came within this is not closed for a newcomer: its next may cross
SHARED = 3  # a connection with more set-ups and sessions than this is one that many share ...
SHARED_US = 1_000_000  # ... and is given up so often at most
SOON = 4  # part of a period
MS = 1_000


def stay_away_ms(settings: Settings) -> int:
    """How long viewers are asked to stay away from a broker that is full, as far as its settings let them be asked."""
    return min(STAY_AWAY_US, settings.max_retry_after_us) // MS if settings.retry_after_allowed else 0


class DecisionModule(Protocol):
    """What the loop needs of the module: see :class:`lotuspick.core.controller.Controller`."""

    def handle(self, now: int, events: list[Event]) -> list[Action]: ...


@dataclass(slots=True, eq=False)
class SessionEntry:
    """One session in the table: an open set-up or a session that stands."""

    request: SessionRequest
    description: bytes = b""
    viewer: ViewerConnection | None = None
    edge: str = ""
    attempt: int = -1
    rung: int = 0
    sent_us: int = 0
    written_us: int = 0  # later where a connection had to come up first
    out: bool = False  # an attempt is out
    stands: bool = False
    again: dict[ViewerConnection, int] = field(
        default_factory=dict
    )  # other connections on which it came while open, and when


@dataclass(slots=True, eq=False)
class ConnectionStats:
    """What is known of a viewer connection."""

    came_us: int
    asked: int = 0  # set-ups that it has carried

    def rank(self, viewer: ViewerConnection, there: int) -> tuple[int, int, int]:
        """The least is closed first: one that never said anything, one on which nothing stands, one with sessions, one
        that many share; of these, who asked least, and longest ago."""
        if not viewer.last_message_us:
            return 0, 0, self.came_us
        if not there:
            return 1, self.asked, viewer.last_message_us
        return (2 if self.asked + there <= SHARED else 3), self.asked + there, viewer.last_message_us


def _discard(index: dict[Any, set[str]], key: Any, session: str) -> None:
    """Take a session off an index, which keeps no key under which nothing is left."""
    there = index.get(key)
    if there is not None:
        there.discard(session)
        if not there:
            del index[key]


class SessionDispatcher:
    """Holds the sessions of one broker; all times are whole microseconds of one clock."""

    def __init__(
        self,
        module: DecisionModule,
        edges: EdgeServers,
        clock: Callable[[], int],
        wake_at: Callable[[int], None],
        period_us: int,
        classes: frozenset[str],
        gap_ms: int = 0,
    ) -> None:
        """``gap_ms``: how long viewers are asked to stay away that come while more is open than can be held."""
        self.decisions, self.edge_servers, self.clock, self.wake_at = module, edges, clock, wake_at
        self.period_us, self.classes, self.gap_ms = period_us, classes, gap_ms
        self.inbox: deque[InboundMessage] = deque()
        self.table: dict[str, SessionEntry] = {}
        self.by_server: dict[str, set[str]] = {}
        self.viewers: dict[
            ViewerConnection, ConnectionStats
        ] = {}  # connections on which a release can go out, last to ask last
        self.by_viewer: dict[ViewerConnection, set[str]] = {}
        self.pending_releases: deque[tuple[int, str, TerminationReason]] = (
            deque()
        )  # releases that found no viewer connection
        self.indeterminate = IndeterminateAttempts()  # attempts taken back after they left
        self.timers: list[tuple[int, int, Callable[[int], Event | None]]] = []
        self.expired: list[tuple[str, SessionRequest]] = []  # whose deadline has passed in this tick
        self.ticked_us, self.woken_us, self.timer_count = 0, 0, 0
        self.shared_us = -SHARED_US  # when a connection that many share was last given up for a newcomer
        self.open_set_ups = 0
        self.turns: dict[type, Callable[[Any, int], list[Event]]] = {
            SessionRequested: self._asked,
            SessionCancelled: self._dropped,
            ViewerConnectionClosed: self._viewer_lost,
            ViewerConnectionOpened: self._viewer_came,
            AttemptAnswered: self._answered,
            EdgeServerReleased: self._edge_released,
            EdgeServerNotified: self._noted,
            AttemptTerminated: self._attempt_over,
            EdgeServerFailed: self._edge_down,
            EndpointListChanged: self._roster,
            HintReceived: lambda item, now: [item.hint],
            TenantRatesUpdated: lambda item, now: [item.update],
            SessionRevoked: self._dismissed,
            LedgerCommitted: lambda item, now: [ConstraintsChanged()],
            AttemptWritten: self._written,
        }

    # ---- inbox and tick -----------------------------------------------------------------------------------

    def post(self, item: InboundMessage) -> None:
        """Take an item in; it is looked at in the next tick."""
        self.inbox.append(item)
        # A write that lasts is told within a part of a period: there are as many as the disk makes of them.
        self._wake(self.ticked_us + self.period_us // (SOON if isinstance(item, LedgerCommitted) else 1))

    def sessions_at(self, edge: str) -> int:
        """Sessions and attempts at an edge server."""
        return len(self.by_server.get(edge, ()))

    def eviction_candidates(self, most: int) -> list[ViewerConnection]:
        """The viewer connections that can best be closed to make room, by :meth:`ConnectionStats.rank`. Guards against requests
        and sessions lost with their connection: none with a set-up open can be closed, nor one on which a message came
        a moment ago, whatever it was: the next is on its way, and a newcomer has not said anything yet. Up to ``most``
        at once, shared ones singly and one a second: a crowd must not have all looked at for each newcomer, and many
        newcomers of one look, which are not known here yet, must not cost those that many share."""
        now = self.clock()
        asking = {item.viewer for item in self.inbox if isinstance(item, SessionRequested)}
        ranked: list[tuple[tuple[int, int, int], ViewerConnection]] = []
        for viewer, seat in self.viewers.items():
            there = self.by_viewer.get(viewer, ())
            if (
                viewer.is_open
                and viewer not in asking
                and viewer.last_message_us <= now - QUIET_US
                and all(self.table[each].stands for each in there)
            ):
                ranked.append((seat.rank(viewer, len(there)), viewer))
        best = heapq.nsmallest(most, ranked, key=lambda each: each[0])
        if best and best[0][0][0] == 3:
            if now - self.shared_us < SHARED_US:
                return []
            self.shared_us = now
        return [viewer for at, (rank, viewer) in enumerate(best) if not at or rank[0] < 3]

    @property
    def has_pending_work(self) -> bool:
        """Whether a viewer still waits for an answer or for word of an end."""
        return bool(self.open_set_ups or self.inbox or self.pending_releases)

    def tick(self) -> None:
        """Hand all that is ready to the module and carry out what it returns."""
        now = self.ticked_us = self.clock()
        self.woken_us = 0
        events: list[Event] = []
        ready, self.inbox = self.inbox, deque()
        for item in ready:
            try:
                events.extend(self.turns[type(item)](item, now))
            except Exception:  # guards the rest of the batch, and the process, against a fault over one item
                log.exception("item passed over", extra={"item": type(item).__name__})
        while self.timers and self.timers[0][0] <= now:
            event = heapq.heappop(self.timers)[2](now)
            if event is not None:
                events.append(event)
        self.indeterminate.forget(now - UNSETTLED_US)
        while self.pending_releases and self.pending_releases[0][0] <= now:
            log.warning("release never sent", extra={"session": self.pending_releases.popleft()[1]})
        if events or self.expired:
            self._run(now, events)
        late, self.expired = self.expired, []
        for session, request in late:
            self._unanswered(session, request)
        if self.inbox:
            self._wake(now + self.period_us)
        if self.timers:
            self._wake(max(self.timers[0][0], now + self.period_us))

    def _wake(self, at_us: int) -> None:
        if not self.woken_us or at_us < self.woken_us:
            self.woken_us = at_us
            self.wake_at(at_us)

    def _run(self, now: int, events: list[Event]) -> None:
        try:
            actions = self.decisions.handle(now, events)
        except Exception:
            # A fault of the module must not cost the sessions that it is not about: those that it was asked
            # about are failed, since nobody will answer them, and the rest play on.
            log.exception("module fault", extra={"events": len(events)})
            actions = [
                FailSession(event.session)
                for event in events
                if isinstance(event, SessionRequest) and not isinstance(event, SessionPlaying)
            ]
        for action in actions:
            try:
                self._carry_out(action, now)
            except Exception:  # as above: the other actions still have to be carried out
                log.exception("action not carried out", extra={"action": type(action).__name__})

    def _after(self, at_us: int, then: Callable[[int], Event | None]) -> None:
        self.timer_count += 1
        heapq.heappush(self.timers, (at_us, self.timer_count, then))

    def release_all(self) -> None:
        """The broker ends, and with it what it holds: guards against sessions that go on at their edge
        servers for nobody, and viewers that watch nothing."""
        now = self.clock()
        for session, entry in list(self.table.items()):
            if entry.stands:
                self.edge_servers.release(entry.edge, session, TerminationReason.BROKER_STOPPED)
                self._over(session, entry, TerminationReason.BROKER_STOPPED, now)
        if not any(
            each.is_open for each in self.viewers
        ):  # guards against an end put off for viewers that are gone
            log.info("no viewer left to tell", extra={"releases": len(self.pending_releases)})
            self.pending_releases.clear()

    # ---- from viewers -------------------------------------------------------------------------------------

    def _asked(self, item: SessionRequested, now: int) -> list[Event]:
        request, session = item.request, item.request.session
        held = self.table.get(session)
        seat = self.viewers.pop(item.viewer, None) if item.viewer is not None else None
        if seat is not None and item.viewer is not None:
            self.viewers[item.viewer] = seat
            seat.asked += 1
        if isinstance(request, SessionPlaying):
            return self._handed_over(request, held, item.viewer, now)
        if item.viewer is not None and not item.viewer.is_open:
            return []  # it has left. Guards against a flood that costs a line and an answer for each of its copies
        if held is not None and not held.stands and item.viewer is not None:
            if item.viewer is held.viewer or item.viewer in held.again:
                item.viewer.close_with_error(
                    f"Session {session} is asked for twice"
                )  # which answer would be whose?
                return []
            if self._same(held, item):
                # Sent again after a close that it crossed: one request, one answer. Guards against a stranger that
                # sends what it saw of another and would get its answer: the first connection keeps it while it is open.
                held.again[item.viewer] = now
                self._seat(session, item.viewer)
                if held.viewer is not None and not held.viewer.is_open:
                    self._pass_on(session, held, now)
                return []
        # Guards against a paid set-up that goes out twice: its viewer left, or lost its connection, and comes again
        # under the same name while the attempt made for it may still run.
        used = held is not None or session in self.indeterminate
        if used or request.session_class not in self.classes:
            self._say(
                item.viewer,
                lambda viewer: viewer.failed(
                    session, "id in use" if used else f"unknown class {request.session_class}"
                ),
            )
            return []
        if self.open_set_ups >= MOST_OPEN:
            self._say(item.viewer, lambda viewer: viewer.rejected(session, self.gap_ms))
            return []
        entry = self.table[session] = SessionEntry(request, item.description, item.viewer)
        self._seat(session, entry.viewer)
        self.open_set_ups += 1
        self._after(request.deadline_us, lambda later: self._overdue(session, request))
        return [request]

    def _pass_on(self, session: str, entry: SessionEntry, now: int) -> bool:
        """The connection of an open request has ended: go on on the one on which it came again, if that was just
        before. False: its viewer has left."""
        for viewer, came_us in entry.again.items():
            if viewer.is_open and now - came_us <= AGAIN_US:
                self._unseat(session, entry.viewer)
                entry.viewer = viewer
                del entry.again[viewer]
                return True
        return False

    def _same(self, held: SessionEntry, item: SessionRequested) -> bool:
        return held.description == item.description and replace(held.request, deadline_us=0) == replace(
            item.request, deadline_us=0
        )

    def _handed_over(
        self, request: SessionPlaying, held: SessionEntry | None, viewer: ViewerConnection | None, now: int
    ) -> list[Event]:
        if held is not None or request.session_class not in self.classes:
            return []
        entry = SessionEntry(
            request, viewer=viewer, edge=request.server, attempt=0, sent_us=now, written_us=now, stands=True
        )
        self._put(request.session, entry)
        self._seat(request.session, entry.viewer)
        self.edge_servers.keep_connected(request.server)
        return [request]

    def _dropped(self, item: SessionCancelled, now: int) -> list[Event]:
        entry = self.table.get(item.session)
        if entry is None:
            return []
        if not entry.stands:
            return self._give_up(item.session, entry)
        self.edge_servers.release(entry.edge, item.session, TerminationReason.REVOKED)
        return [replace(self._over(item.session, entry, TerminationReason.REVOKED, now), viewer_left=True)]

    def _dismissed(self, item: SessionRevoked, now: int) -> list[Event]:
        entry = self.table.get(item.session)
        if entry is None or not entry.stands:
            return []
        self.edge_servers.release(entry.edge, item.session, item.reason)
        return [self._over(item.session, entry, item.reason, now)]

    def _viewer_lost(self, item: ViewerConnectionClosed, now: int) -> list[Event]:
        self.viewers.pop(item.viewer, None)
        events: list[Event] = []
        for session in sorted(self.by_viewer.get(item.viewer, ())):
            entry = self.table[session]
            if entry.viewer is not item.viewer:
                del entry.again[item.viewer]
                self._unseat(session, item.viewer)
            elif entry.stands:
                self._unseat(session, item.viewer)
                entry.viewer = None
            elif not self._pass_on(session, entry, now):
                events.extend(self._give_up(session, entry))
        return events

    def _viewer_came(self, item: ViewerConnectionOpened, now: int) -> list[Event]:
        self.viewers[item.viewer] = ConnectionStats(now)
        owed, self.pending_releases = self.pending_releases, deque()
        for _, session, ending in owed:
            item.viewer.released(session, ending)
        return []

    def _give_up(self, session: str, entry: SessionEntry) -> list[Event]:
        """The viewer no longer waits: nothing is owed, and the attempt that is out is taken back."""
        events: list[Event] = [ViewerDisconnected(session)]
        if entry.out:
            events.append(self._take_back(session, entry, TerminationReason.CANCELLED_BY_VIEWER, final=True))
        self._forget(session, entry)
        return events

    def _overdue(self, session: str, request: SessionRequest) -> Event | None:
        """A deadline has passed. In a tick that comes late the module's own timer is due as well, and its answer, which
        may be that to ask again is harmless, goes first."""
        entry = self.table.get(session)
        if entry is not None and not entry.stands and entry.request is request:
            self.expired.append((session, request))
        return None

    def _unanswered(self, session: str, request: SessionRequest) -> None:
        """Guards against a request left without an answer: the module answers before the deadline, or in that tick."""
        entry = self.table.get(session)
        if entry is None or entry.stands or entry.request is not request:
            return
        log.error("deadline passed unanswered", extra={"session": session})
        self._answer(session, entry, lambda viewer: viewer.failed(session))
        self._after(0, lambda later: ViewerDisconnected(session))

    # ---- from edge servers --------------------------------------------------------------------------------

    def _answered(self, item: AttemptAnswered, now: int) -> list[Event]:
        entry, told = self.table.get(item.session), list[Event]()
        if (
            entry is not None
            and entry.edge == item.server
            and entry.out
            and entry.viewer is not None
            and not entry.viewer.is_open
            and not self._pass_on(item.session, entry, now)
        ):
            # Its viewer left, which is not told yet. Guards against a session that stands for nobody.
            told, entry = self._give_up(item.session, entry), None
        if entry is None or entry.edge != item.server or not entry.out:
            # Given up while the answer was on its way: nothing may be left standing. Guards against a release
            # that cuts what stands rightly: a second copy of an answer, and one to an id that was never asked
            # for there, are dropped.
            if self.indeterminate.settle(item.session, item.server):
                self.edge_servers.release(item.server, item.session, TerminationReason.REVOKED)
                told.append(AttemptResolved(item.session, item.server, True))
            return told
        entry.out, entry.stands = False, True
        self.open_set_ups -= 1
        self._drop_copies(item.session, entry)
        self._say(entry.viewer, lambda viewer: viewer.served(item.session, item.description))
        entry.description = b""
        return [SessionStarted(item.session, entry.attempt, item.server, now - entry.sent_us)]

    def _edge_released(self, item: EdgeServerReleased, now: int) -> list[Event]:
        entry = self.table.get(item.session)
        if entry is None or entry.edge != item.server or not (entry.out or entry.stands):
            # Its end is known already; the load that comes with it is news all the same, and so is proof.
            told: list[Event] = []
            if (
                entry is None
                and ATTEMPT_OUTCOMES[item.reason_before_answer] in PROVES_NOT_EXECUTED
                and self.indeterminate.settle(item.session, item.server)
            ):
                told.append(AttemptResolved(item.session, item.server, False))
            if item.load_report:
                told.append(
                    AttemptEnded(
                        item.session, -1, item.server, AttemptOutcome.UNSENT, True, 0, item.load_report
                    )
                )
            return told
        if entry.stands:
            return [self._over(item.session, entry, item.reason_after_answer, now, item.load_report)]
        return [self._ended(item.session, entry, item.reason_before_answer, now, item.load_report)]

    def _noted(self, item: EdgeServerNotified, now: int) -> list[Event]:
        return [SessionNotification(item.session, item.server, item.topic, item.value)]

    def _written(self, item: AttemptWritten, now: int) -> list[Event]:
        entry = self.table.get(item.session)
        if entry is not None and entry.edge == item.server and entry.out:
            entry.written_us = max(entry.written_us, item.written_at_us)
        return []

    def _attempt_over(self, item: AttemptTerminated, now: int) -> list[Event]:
        entry = self.table.get(item.session)
        if entry is None or entry.edge != item.server or not entry.out:
            return []
        return [self._ended(item.session, entry, item.reason, now)]

    def _edge_down(self, item: EdgeServerFailed, now: int) -> list[Event]:
        return [ServerFailed(item.server), *self._cut(item.server, item.reason, now, now)]

    def _roster(self, item: EndpointListChanged, now: int) -> list[Event]:
        """Guards against sessions left standing at a process that died and came back before it was dialled: a
        start cuts what stood before it. What was written later is the new process's, whenever it was queued."""
        events: list[Event] = []
        for entry in item.update.servers:
            events.extend(self._cut(entry.server, TerminationReason.SERVER_DOWN, now, entry.started_us))
        return [*events, item.update]

    def _cut(self, edge: str, ending: TerminationReason, now: int, before_us: int) -> list[Event]:
        """End what stands at an edge server since before a time; attempts are reported one by one."""
        there = sorted(self.by_server.get(edge, ())) if before_us else []
        return [
            self._over(session, entry, ending, now)
            for session in there
            if (entry := self.table[session]).stands and entry.written_us < before_us
        ]

    # ---- endings ------------------------------------------------------------------------------------------

    def _ended(
        self, session: str, entry: SessionEntry, ending: TerminationReason, now: int, report: Any = None
    ) -> AttemptEnded:
        """An attempt that is out ends without an answer; the request stays open."""
        log.debug("attempt over", extra={"session": session, "edge": entry.edge, "ending": ending.value})
        event = self._tell(session, entry, ending, False, now, report)
        entry.out = False
        self._leave(session, entry)
        return event

    def _tell(
        self,
        session: str,
        entry: SessionEntry,
        ending: TerminationReason,
        final: bool,
        now: int,
        report: Any = None,
    ) -> AttemptEnded:
        """What the module is told of an end. A session that stood is cut by its server, whatever the word."""
        return AttemptEnded(
            session,
            entry.attempt,
            entry.edge,
            ATTEMPT_OUTCOMES[ending],
            final,
            now - entry.sent_us,
            report or {},
            not entry.stands and ending in SERVER_STILL_ALIVE,
        )

    def _over(
        self, session: str, entry: SessionEntry, ending: TerminationReason, now: int, report: Any = None
    ) -> AttemptEnded:
        """A session that stood is over; its viewer hears of it unless it ended it."""
        event = self._tell(session, entry, ending, True, now, report)
        self._forget(session, entry)
        if ending is not TerminationReason.REVOKED:
            self._release(session, entry, ending, now)
        return event

    def _release(self, session: str, entry: SessionEntry, ending: TerminationReason, now: int) -> None:
        viewer = entry.viewer if entry.viewer is not None and entry.viewer.is_open else None
        if viewer is None:
            # A session belongs to no connection, so any that is open will do. Guards against one that is read
            # by nobody any more: the one that has carried most set-ups is surely in use.
            can = [each for each in self.viewers if each.is_open]
            viewer = max(can, key=lambda each: self.viewers[each].asked, default=None)
        if viewer is None:
            self.pending_releases.append((now + OWED_US, session, ending))
        else:
            viewer.released(session, ending)

    def _take_back(self, session: str, entry: SessionEntry, ending: TerminationReason, final: bool) -> Event:
        if self.edge_servers.cancel_attempt(entry.edge, session):
            ending = TerminationReason.UNSENT  # it never left the queue
        else:
            self.indeterminate.add(session, entry.edge, self.ticked_us)
        event = self._tell(session, entry, ending, final, self.clock())
        entry.out = False
        self._leave(session, entry)
        return event

    def _put(self, session: str, entry: SessionEntry) -> None:
        self.table[session] = entry
        self.by_server.setdefault(entry.edge, set()).add(session)

    def _leave(self, session: str, entry: SessionEntry) -> None:
        _discard(self.by_server, entry.edge, session)
        entry.edge = ""

    def _seat(self, session: str, viewer: ViewerConnection | None) -> None:
        if viewer is not None:
            self.by_viewer.setdefault(viewer, set()).add(session)

    def _unseat(self, session: str, viewer: ViewerConnection | None) -> None:
        if viewer is not None:
            _discard(self.by_viewer, viewer, session)

    def _drop_copies(self, session: str, entry: SessionEntry) -> None:
        for viewer in entry.again:
            self._unseat(session, viewer)
        entry.again.clear()

    def _forget(self, session: str, entry: SessionEntry) -> None:
        if self.table.get(session) is entry:
            del self.table[session]
            self._unseat(session, entry.viewer)
            self._drop_copies(session, entry)
            if not entry.stands:
                self.open_set_ups -= 1
        self._leave(session, entry)

    def _say(self, viewer: ViewerConnection | None, what: Callable[[ViewerConnection], None]) -> None:
        if viewer is not None and viewer.is_open:
            what(viewer)

    def _answer(self, session: str, entry: SessionEntry, what: Callable[[ViewerConnection], None]) -> None:
        """The request's one final answer; an attempt that is out is taken back."""
        if entry.viewer is not None and not entry.viewer.is_open:
            self._pass_on(session, entry, self.clock())
        self._say(entry.viewer, what)
        if entry.out:
            attempt = self._take_back(session, entry, TerminationReason.ANSWERED_MEANWHILE, final=True)
            self._after(0, lambda now: attempt)
        self._forget(session, entry)

    # ---- the module's actions -----------------------------------------------------------------------------

    def _carry_out(self, action: Action, now: int) -> None:
        match action:
            case StartTimer():
                token = action.timer_id
                self._after(now + max(action.delay_us, 1), lambda later: TimerFired(token))
            case LogMessage():
                log.info("module", extra={"text": action.text})
            case Subscribe():
                pass  # the coordinator is followed from the start
            case SetRung() | ForwardAttempt() | RejectSession() | FailSession():
                entry = self.table.get(action.session)
                if entry is not None:
                    self._on_session(action, entry, now)

    def _on_session(
        self, action: SetRung | ForwardAttempt | RejectSession | FailSession, entry: SessionEntry, now: int
    ) -> None:
        session = action.session
        match action:
            case SetRung():
                entry.rung = action.rung
                if entry.stands:
                    self.edge_servers.set_rung(entry.edge, session, action.rung)
            case ForwardAttempt():
                self._send(action, entry, now)
            case RejectSession() if not entry.stands:
                gap_ms, why = action.retry_after_us // MS, action.reason
                self._answer(session, entry, lambda viewer: viewer.rejected(session, gap_ms, why))
            case FailSession() if not entry.stands:
                self._answer(session, entry, lambda viewer: viewer.failed(session))

    def _send(self, action: ForwardAttempt, entry: SessionEntry, now: int) -> None:
        session, request = action.session, entry.request
        entry.attempt += 1
        entry.edge, entry.out, entry.sent_us, entry.written_us = action.server, True, now, now
        self._put(session, entry)
        left_us = request.deadline_us - now
        wait_us = min(action.timeout_us, left_us) if action.timeout_us else left_us
        attempt = entry.attempt
        log.debug("sent", extra={"session": session, "edge": action.server, "rung": entry.rung})
        ending = self.edge_servers.start_attempt(
            action.server,
            AttemptRequest(
                session,
                request.session_class,
                request.title,
                entry.rung,
                max(1, wait_us // MS),
                entry.description,
            ),
        )
        if ending is not None:
            self.post(AttemptTerminated(action.server, session, ending))
        else:
            self._after(now + max(0, wait_us), lambda later: self._expire(session, entry, attempt))

    def _expire(self, session: str, entry: SessionEntry, attempt: int) -> Event | None:
        if not entry.out or entry.attempt != attempt:
            return None
        return self._take_back(session, entry, TerminationReason.NO_ANSWER, final=False)
