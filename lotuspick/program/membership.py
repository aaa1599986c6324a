"""Membership of a broker in its fleet: connections to peers, store, members, quorum state, control port.

:class:`MembershipComponent` drives one :class:`~lotuspick.membership.members.Members`, logs its
notifications, tracks the quorum state and answers operators at the control port. Everything runs on the
reactor's thread, except for the commits to the store.
"""

from __future__ import annotations

import logging
import random
from collections.abc import Callable, Mapping, Sequence
from importlib import metadata
from typing import Any

import msgspec

from lotuspick.core.constraints import ConstraintProvider
from lotuspick.core.operator_events import OperatorEvent
from lotuspick.core.settings import RetrySafety
from lotuspick.membership.constraints import MembershipConstraints
from lotuspick.membership.members import Members
from lotuspick.membership.model import Begin, Changed, Displaced, Drain, Leave, Record, Stalled, State
from lotuspick.membership.quorum import QuorumState, QuorumTracker
from lotuspick.program.components import Broker, Component
from lotuspick.program.configuration import ConfigError
from lotuspick.program.membership_answers import (
    Answer,
    DrainAnswer,
    MembershipCounts,
    MemberStatus,
    ShowAnswer,
    encode_answer,
    encode_counts,
    explain_answer,
    member_status,
)
from lotuspick.state_machine import SendMessage
from lotuspick.transport.control_port import ControlPort, ControlPortError
from lotuspick.transport.peers.peer_connections import PeerConnections
from lotuspick.transport.peers.state_machine_driver import StateMachineDriver, boottime_us
from lotuspick.transport.storage.durable_store import StateMachineStore
from lotuspick.transport.storage.errors import StoreError
from lotuspick.transport.storage.group_commit import CommitReport, GroupCommit, notify_all

log = logging.getLogger(__name__)

TICKS_PER_IDLE_SWEEP = 10  # one-second ticks between two checks for idle connections
SEED_BITS = 62  # of the random seed and the process id
MAX_LOGGED_MISSING_MEMBERS = 16  # names in one log line
MAX_SHOWN_NAME_LENGTH = 64  # characters of an unknown name in an error message
US_PER_MS = 1_000


class MembershipComponent(Component):
    """Membership of this broker in its fleet."""

    def __init__(self, broker: Broker) -> None:
        super().__init__(broker)
        config = broker.config.peers
        assert config is not None
        self.config = config
        system_random = random.SystemRandom()
        try:
            self.store = StateMachineStore(config.store)
            self.records = self.store.load()
        except StoreError as error:
            raise ConfigError(f"peers: store: {error}") from error
        self.commits = GroupCommit(self.store, self._deliver_commits, name="steps")
        self.members = Members(config.detection_rules)
        self.quorum = QuorumTracker(config.quorum_rules)
        process_id = system_random.getrandbits(SEED_BITS)
        self.peer_connections = PeerConnections(
            broker.reactor, config.listen[0], self._on_message, config.address_overrides, process_id
        )
        self.driver = StateMachineDriver(
            broker.reactor,
            self.members,
            self.commits.submit_all,
            self._send,
            self._on_notification,
            on_timer_step=self._observe_quorum,
        )
        self.constraints = MembershipConstraints(
            self.quorum, _paid_classes(broker), boottime_us, config.retry_after_us
        )
        self.constraint_provider: ConstraintProvider | None = self.constraints
        self.random_seed = system_random.getrandbits(SEED_BITS)
        self._logged_state = self.quorum.state
        self._ticks = self._stall_count = 0
        self._control_port: Any = None

    def start(self) -> None:
        """Listen for other brokers and for operators, and join the fleet."""
        config, broker = self.config, self.broker.config
        address = self.peer_connections.listen(config.listen[1])
        self.driver.start(self.records, self.random_seed)
        self.driver.submit_command(
            Begin(
                broker.name, address, config.seeds, broker.settings.zone, installed_version(), config.offers
            )
        )
        control = ""
        if config.control is not None:
            self._control_port = ControlPort(self.answer).listen(self.broker.reactor, *config.control)
            control = "{0.host}:{0.port}".format(self._control_port.getHost())
        log.info(
            "membership_started",
            extra={"address": address, "control": control, "seeds": ",".join(config.seeds)},
        )

    # ---- messages, commits and notifications --------------------------------------------------------------

    def _on_message(self, peer: str, message: Any) -> None:
        self.driver.receive_message(peer, message)

    def _send(self, effect: SendMessage) -> None:
        self.peer_connections.send(effect.peer, effect.message, effect.reliable)

    def _deliver_commits(self, reports: Sequence[CommitReport]) -> None:
        """Deliver the outcomes of a commit on the reactor's thread; called on the commit thread."""
        self.broker.reactor.callFromThread(notify_all, reports)

    def _on_notification(self, notification: Any) -> None:
        """Log a notification of the members in one line, and act on it."""
        match notification:
            case Changed(record=record, source=source, reason=reason):
                log.info(
                    "member_changed", extra={**_member_fields(record), "source": source, "reason": reason}
                )
                if record.state is not State.ALIVE:
                    self.peer_connections.disconnect(record.address)
            case Displaced(record=record):
                log.error("broker_displaced", extra=_member_fields(record))
            case Stalled(duration_us=duration_us):
                self._stall_count += 1
                self.quorum.stalled(boottime_us())
                log.warning("process_stalled", extra={"duration_ms": duration_us // US_PER_MS})

    def _observe_quorum(self) -> None:
        """Update the quorum state, once a period, and log a change."""
        state = self.quorum.observe(boottime_us(), self.members)
        if state is not self._logged_state:
            self._log_quorum_state(state, self._logged_state)
            self._logged_state = state

    def _log_quorum_state(self, state: QuorumState, previous: QuorumState) -> None:
        log.info(
            "quorum_state_changed",
            extra={
                "quorum_state": state.name.lower(),
                "previous_state": previous.name.lower(),
                "reached": len(self.members.reached()),
                "known": len(self.members.records),
                "missing": ",".join(sorted(self._missing())[:MAX_LOGGED_MISSING_MEMBERS]),
            },
        )

    def _missing(self) -> set[str]:
        """Return the names of members that belong to the fleet but are not reached."""
        reached = {record.name for record in self.members.reached()}
        return {
            name
            for name, record in self.members.records.items()
            if record.state is not State.LEFT and name not in reached
        }

    # ---- operation ----------------------------------------------------------------------------------------

    def tick(self, _now: int, summary: bool) -> list[OperatorEvent]:
        """Close idle connections periodically; return a summary if requested."""
        self._ticks += 1
        if self._ticks % TICKS_PER_IDLE_SWEEP == 0:
            self.peer_connections.close_idle()
        if not summary:
            return []
        fields = {**msgspec.structs.asdict(self.counts()), **self._connection_counts()}
        return [OperatorEvent("membership_summary", fields)]

    def stop_accepting(self) -> None:
        """Announce to peers that this broker leaves, which spares them detecting it; send nothing more."""
        self.driver.submit_command(Leave())

    def close(self) -> None:
        """Stop timers, close connections, write queued records and close the store."""
        self.driver.close()
        self.peer_connections.close()
        self.commits.close()
        self.store.close()

    # ---- operators ----------------------------------------------------------------------------------------

    def counts(self) -> MembershipCounts:
        """Return current totals, and counters since the start."""
        members = self.members
        return MembershipCounts(
            quorum_state=self.quorum.state_at(boottime_us()).name.lower(),
            alive=len(members.alive()),
            reached=len(members.reached()),
            suspicions=members.detector.suspicions_raised,
            false_suspicions=members.detector.false_suspicions,
            refutations=members.refutations,
            stalls=self._stall_count,
            rejected_messages=sum(members.rejected.values()),
            paid_rejections=self.constraints.rejections.total(),
        )

    def answer(self, request: Mapping[str, Any]) -> dict[str, Any]:
        """Answer one request of ``lotuspick members``.

        Args:
            request: ``ask`` is the kind of the request, ``name`` the member that it concerns.

        Returns:
            The JSON object of the answer; see :mod:`lotuspick.program.membership_answers`.

        Raises:
            ControlPortError: the kind or the member is unknown, or the member has left already.
        """
        name = str(request.get("name"))
        handlers: dict[str, Callable[[], Answer]] = {
            "show": self._show,
            "explain": lambda: self._explain(name),
            "drain": lambda: self._drain(name),
        }
        handler = handlers.get(str(request.get("ask")))
        if handler is None:
            raise ControlPortError(f"ask must be one of {', '.join(handlers)}")
        return encode_answer(handler())

    def _show(self) -> ShowAnswer:
        write_error = self.driver.write_error
        return ShowAnswer(
            own=self.broker.config.name,
            counts={**encode_counts(self.counts()), **self._connection_counts()},
            disk_error="" if write_error is None else str(write_error),
            members=tuple(self._status(name) for name in sorted(self.members.records)),
        )

    def _explain(self, name: str) -> Answer:
        member = self._status(name)
        return explain_answer(self.broker.config.name, member, self.members.explain(name, boottime_us()))

    def _drain(self, name: str) -> DrainAnswer:
        record = self._find_record(name)
        if record.state is State.LEFT:
            raise ControlPortError(f"{record.name} has left already")
        self.driver.submit_command(Drain(record.name))
        return DrainAnswer(own=self.broker.config.name, member=self._status(name))

    def _status(self, name: str) -> MemberStatus:
        return member_status(self.members, self._find_record(name), boottime_us())

    def _find_record(self, name: str) -> Record:
        record = self.members.records.get(name)
        if record is None:
            raise ControlPortError(f"no member is named {name[:MAX_SHOWN_NAME_LENGTH]!r}")
        return record

    def _connection_counts(self) -> dict[str, int]:
        return {
            f"link_{key.replace('-', '_')}": count
            for key, count in sorted(self.peer_connections.counts.items())
        }


def _paid_classes(broker: Broker) -> frozenset[str]:
    return frozenset(
        session_class.name
        for session_class in broker.config.settings.classes
        if session_class.retry_safety is RetrySafety.NOT_IDEMPOTENT
    )


def _member_fields(record: Record) -> dict[str, str | int]:
    """Return the fields of log events that concern a member."""
    return {
        "member": record.name,
        "state": record.state.name.lower(),
        "incarnation": record.incarnation,
        "address": record.address,
        "zone": record.zone,
        "version": record.version,
    }


def installed_version() -> str:
    """Return the version of the installed package, or ``sources`` if it is not installed."""
    try:
        return metadata.version("lotuspick")
    except metadata.PackageNotFoundError:
        return "sources"
