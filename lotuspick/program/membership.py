"""Membership put together: link, store, members and standing round the guide, and the answers to operators."""

from __future__ import annotations

import logging
import random
from collections.abc import Callable, Sequence
from importlib import metadata
from typing import Any

from lotuspick.core.constraints import ConstraintProvider
from lotuspick.core.operator_events import OperatorEvent
from lotuspick.core.settings import RetrySafety
from lotuspick.membership.constraints import MembershipConstraints
from lotuspick.membership.members import Members
from lotuspick.membership.model import Begin, Changed, Displaced, Drain, Leave, Record, Stalled, State
from lotuspick.membership.quorum import QuorumTracker
from lotuspick.program.components import Broker, Component
from lotuspick.program.configuration import ConfigError
from lotuspick.state_machine import SendMessage
from lotuspick.transport.control_port import ControlPort, ControlPortError
from lotuspick.transport.peers.peer_connections import PeerConnections
from lotuspick.transport.peers.state_machine_driver import StateMachineDriver, awake_us
from lotuspick.transport.storage.durable_store import StateMachineStore
from lotuspick.transport.storage.errors import StoreError
from lotuspick.transport.storage.group_commit import CommitReport, GroupCommit, notify_all

log = logging.getLogger(__name__)

SWEEP_S = 10


class MembershipComponent(Component):
    """This broker among the others of its fleet."""

    def __init__(self, broker: Broker) -> None:
        super().__init__(broker)
        told = broker.config.peers
        assert told is not None
        self.told = told
        draw = random.SystemRandom()
        try:
            self.store = StateMachineStore(told.store)
            self.records = self.store.load()
        except StoreError as fault:
            raise ConfigError(f"peers: store: {fault}") from None
        self.commits = GroupCommit(self.store, self._lasting, name="steps")
        self.members = Members(told.watch)
        self.standings = QuorumTracker(told.standing)
        self.link = PeerConnections(
            broker.reactor, told.listen[0], self._heard, told.via, draw.getrandbits(62)
        )
        self.driver = StateMachineDriver(
            broker.reactor,
            self.members,
            self.commits.submit_all,
            self._send,
            self._told,
            on_timer_step=self._follow,
        )
        paid = frozenset(
            each.name
            for each in broker.config.settings.classes
            if each.retry_safety is RetrySafety.NOT_IDEMPOTENT
        )
        self.fleet = MembershipConstraints(self.standings, paid, awake_us, told.gap_us)
        self.constraint_provider: ConstraintProvider | None = self.fleet
        self.seed = draw.getrandbits(62)
        self._said = self.standings.state
        self._ticks = self._stalls = 0
        self._port: Any = None

    def start(self) -> None:
        told, broker = self.told, self.broker.config
        address = self.link.listen(told.listen[1])
        self.driver.start(self.records, self.seed)
        self.driver.submit_command(
            Begin(broker.name, address, told.seeds, broker.settings.zone, version(), told.offers)
        )
        control = ""
        if told.control is not None:
            self._port = ControlPort(self.answer).listen(self.broker.reactor, *told.control)
            control = "{0.host}:{0.port}".format(self._port.getHost())
        log.info("peers", extra={"address": address, "control": control, "seeds": ",".join(told.seeds)})

    # ---- between link, store and members ------------------------------------------------------------------

    def _heard(self, peer: str, message: Any) -> None:
        self.driver.receive_message(peer, message)

    def _send(self, effect: SendMessage) -> None:
        self.link.send(effect.peer, effect.message, effect.reliable)

    def _lasting(self, reports: Sequence[CommitReport]) -> None:
        """On the thread of the commits."""
        self.broker.reactor.callFromThread(notify_all, reports)

    def _told(self, news: Any) -> None:
        """What the members have to tell, each in a line of its own."""
        match news:
            case Changed(record=record, source=by, reason=why):
                log.info("member", extra={**line(record), "by": by, "why": why})
                if record.state is not State.ALIVE:
                    self.link.disconnect(record.address)
            case Displaced(record=record):
                log.error(
                    "displaced: another process has this broker's name, no paid session is taken until a restart",
                    extra=line(record),
                )
            case Stalled(away_us=away_us):
                self._stalls += 1
                self.standings.stalled(awake_us())
                log.warning("stalled", extra={"away_ms": away_us // 1_000})

    def _follow(self) -> None:
        """Each period the standing is looked at; a change is a line."""
        standing = self.standings.observe(awake_us(), self.members)
        if standing is not self._said:
            log.info(
                "standing",
                extra={
                    "standing": standing.name.lower(),
                    "before": self._said.name.lower(),
                    "reached": len(self.members.reached()),
                    "known": len(self.members.records),
                    "missing": ",".join(sorted(self._missing())[:16]),
                },
            )
            self._said = standing

    def _missing(self) -> set[str]:
        reached = {each.name for each in self.members.reached()}
        return {
            name
            for name, each in self.members.records.items()
            if each.state is not State.LEFT and name not in reached
        }

    # ---- while it serves ----------------------------------------------------------------------------------

    def tick(self, now: int, summary: bool) -> list[OperatorEvent]:
        self._ticks += 1
        if self._ticks % SWEEP_S == 0:
            self.link.close_idle()
        return [OperatorEvent("members", self.counts())] if summary else []

    def stop_accepting(self) -> None:
        """The last that it says: that it has left, so nobody has to find out."""
        self.driver.submit_command(Leave())

    def close(self) -> None:
        self.driver.close()
        self.link.close()
        self.commits.close()
        self.store.close()

    # ---- operators ----------------------------------------------------------------------------------------

    def counts(self) -> dict[str, str | int]:
        """Figures since the start."""
        members = self.members
        return {
            "standing": self.standings.state_at(awake_us()).name.lower(),
            "alive": len(members.alive()),
            "reached": len(members.reached()),
            "accusations": members.detector.suspicions_raised,
            "false_accusations": members.detector.false_suspicions,
            "refutations": members.refutations,
            "stalls": self._stalls,
            "refused_messages": sum(members.rejected.values()),
            "paid_turned_away": self.fleet.rejections.total(),
            **{f"link_{key.replace('-', '_')}": count for key, count in sorted(self.link.counts.items())},
        }

    def answer(self, asked: dict[str, Any]) -> dict[str, Any]:
        """What a command asks. Raises :class:`ControlPortError`."""
        name = asked.get("name")
        asks: dict[str, Callable[[], dict[str, Any]]] = {
            "show": self._show,
            "explain": lambda: self._explain(name),
            "drain": lambda: self._drain(name),
        }
        what = asks.get(str(asked.get("ask")))
        if what is None:
            raise ControlPortError(f"ask must be one of {', '.join(asks)}")
        return what()

    def _show(self) -> dict[str, Any]:
        return {
            "own": self.broker.config.name,
            "counts": self.counts(),
            "disk": "" if self.driver.write_error is None else str(self.driver.write_error),
            "members": [self._member(name) for name in sorted(self.members.records)],
        }

    def _record(self, name: object) -> Record:
        record = self.members.records.get(str(name))
        if record is None:
            raise ControlPortError(f"no member is named {str(name)[:64]!r}")
        return record

    def _member(self, name: str) -> dict[str, Any]:
        members = self.members
        record = self._record(name)
        by, why = members.table.provenance[name]
        return {
            **line(record),
            "offers": list(record.offers),
            "accused_by": list(members.suspected().get(name, ())),
            "reached": record in members.reached(),
            "by": by,
            "why": why,
            "since_s": round((awake_us() - members.table.changed_at_us[name]) / 1e6, 1),
        }

    def _explain(self, name: object) -> dict[str, Any]:
        return {
            "own": self.broker.config.name,
            "member": self._member(self._record(name).name),
            **self.members.explain(self._record(name).name, awake_us()),
        }

    def _drain(self, name: object) -> dict[str, Any]:
        record = self._record(name)
        if record.state is State.LEFT:
            raise ControlPortError(f"{record.name} has left already")
        self.driver.submit_command(Drain(record.name))
        return {"own": self.broker.config.name, "member": self._member(record.name)}


def line(record: Record) -> dict[str, Any]:
    """A member in a line's words."""
    return {
        "member": record.name,
        "state": record.state.name.lower(),
        "life": record.incarnation,
        "address": record.address,
        "zone": record.zone,
        "version": record.version,
    }


def version() -> str:
    try:
        return metadata.version("lotuspick")
    except metadata.PackageNotFoundError:
        return "sources"
