"""The client of one edge server: its dials, message queue, attempts and liveness checks.

Clients are owned by :class:`~lotuspick.transport.edge_servers.edge_pool.EdgePool`, which sweeps them
periodically. Times with the suffix ``_s`` are in seconds of the reactor's clock.
"""

from __future__ import annotations

import logging
from collections import deque
from typing import TYPE_CHECKING, Any

from twisted.internet import protocol
from twisted.internet.endpoints import TCP4ClientEndpoint

from lotuspick.core.events import PROVES_NOT_EXECUTED
from lotuspick.protocol import edge_messages as wire
from lotuspick.routing.messages import (
    AttemptTerminated,
    AttemptWritten,
    EdgeServerFailed,
    EdgeServerReleased,
    EdgeServerReplaced,
)
from lotuspick.routing.termination import ATTEMPT_OUTCOMES, TerminationReason
from lotuspick.transport.edge_servers.attempts import QueuedMessage, SentAttempt
from lotuspick.transport.edge_servers.edge_connection import LINGER_S, EdgeConnection
from lotuspick.transport.sockets import dial_failure_reason, now_us

if TYPE_CHECKING:
    from lotuspick.transport.edge_servers.edge_pool import EdgePool

log = logging.getLogger(__name__)

QUEUE_LIMIT = 256  # messages queued for one server
NO_ADDRESS_TIMEOUT_S = 3.0  # after which a server that holds sessions but has no address is marked down
DIAL_TIMEOUT_LIMIT = 3  # consecutive dial timeouts before a server that holds sessions is marked down
LOCAL_FAILURE_LIMIT = 12  # likewise, for dials that fail immediately with a local error
# Silence that both failure limits also require: a server that is slow to accept has not vanished.
MIN_SILENCE_BEFORE_DOWN_S = 1.5
# Silence of a replaced connection with an open set-up; then a new one is opened, which brings lost messages.
REPLACED_SILENCE_S = 3.0
BRIEF_CONNECTION_S = 1.0  # after a shorter connection the sweep redials, instead of an immediate dial
# A longer silence is always checked: a failure must be detected within 8 s, including the dials.
MAX_UNCHECKED_SILENCE_S = 6.0
RELEASE_DIAL_LIMIT = 40  # consecutive dial timeouts before queued releases are discarded
UNCONFIRMED_LIMIT = 64  # set-ups that may have run, to be released on the next connection
MAX_LOGGED_PARAMETERS_CHARS = 200
# Ends of a connection after which all that the server has sent on it has arrived.
ORDERLY_ENDS = frozenset({TerminationReason.IDLE, TerminationReason.CLOSED_BY_PEER})


class EdgeServerClient:
    """The connection to one edge server and the messages queued for it."""

    def __init__(self, pool: EdgePool, server: str) -> None:
        self.pool, self.server = pool, server
        self.address: tuple[str, int] | None = None
        self.former_address: tuple[str, int] | None = None  # removed from the list, and of no server since
        self.zone: str | None = None  # None: the server was never listed
        self.draining = False
        self.connection: EdgeConnection | None = None
        self.failed_dials = 0  # consecutive
        self.queue: deque[QueuedMessage] = deque()
        self.sent_attempts: dict[str, SentAttempt] = {}
        self.unconfirmed: deque[str] = deque(maxlen=UNCONFIRMED_LIMIT)
        self.replaced: list[EdgeConnection] = []  # each is closed once no set-up is open on it
        self.messages_may_be_lost = False  # on a replaced connection; the next new connection brings them
        now_s: float = pool.reactor.seconds()
        self.last_message_s = self.last_write_s = self.connected_s = now_s
        self.last_idle_s = now_s  # last time at which no message was expected

    @property
    def dialing(self) -> bool:
        """Whether a dial is in progress."""
        return self in self.pool.dialing

    @property
    def checking(self) -> bool:
        """Whether the current dial is a liveness check."""
        return self in self.pool.checking

    @property
    def queued_attempts(self) -> int:
        """The number of set-ups that are queued for a connection."""
        return sum(bool(item.session) for item in self.queue)

    @property
    def is_idle(self) -> bool:
        """Whether no attempt is open, no message is queued and no session plays."""
        return not (self.sent_attempts or self.queue or self.pool.session_count(self.server))

    @property
    def is_draining_and_responsive(self) -> bool:
        """Whether the server is draining and has sent a message recently.

        Such a server refuses new connections but keeps its sessions until they end.
        """
        return (
            self.draining
            and self.connection is not None
            and self.connection.is_open
            and self.pool.reactor.seconds() - self.connection.last_message_s < MAX_UNCHECKED_SILENCE_S
        )

    # ---- sending ------------------------------------------------------------------------------------------

    def send(self, item: QueuedMessage) -> TerminationReason | None:
        """Write or queue a message; return the reason if neither is possible."""
        connection = self.connection
        if (
            item.session
            and len(self.sent_attempts) + self.queued_attempts >= self.pool.limits.attempts_per_connection
        ):
            return TerminationReason.QUEUE_FULL
        if connection is not None and connection.is_open:
            if item.session and connection.is_full:
                return TerminationReason.QUEUE_FULL
            self._write(connection, item)
            return None
        if self.address is None:
            return TerminationReason.NO_ADDRESS
        if len(self.queue) >= QUEUE_LIMIT:
            return TerminationReason.QUEUE_FULL
        self.queue.append(item)
        self.dial("to send")
        return None

    def _write(self, connection: EdgeConnection, item: QueuedMessage) -> None:
        self.last_write_s = self.pool.reactor.seconds()
        if item.session:
            self.sent_attempts[item.session] = SentAttempt(connection, self.last_write_s)
            connection.last_set_up_s = self.last_write_s
            connection.blocked_set_up_bytes += len(item.frame)
        connection.sendString(item.frame)

    def remove_queued(self, session: str) -> bool:
        """Remove a queued set-up; return whether there was one."""
        for item in self.queue:
            if item.session == session:
                self.queue.remove(item)
                return True
        return False

    def cancel_attempt(self, session: str) -> bool:
        """Cancel a set-up; return True if it was still queued and so was never sent."""
        if self.remove_queued(session):
            return True
        sent = self.sent_attempts.get(session)
        if sent is not None and sent.connection.is_open:
            sent.connection.sendString(wire.release(session, TerminationReason.CANCELLED_BY_VIEWER))
            now_s = self.pool.reactor.seconds()
            if sent.is_unresponsive(now_s) or sent.connection is not self.connection:
                self.unconfirmed.append(session)  # the server may not have read the release
                if self.connection is sent.connection:
                    self.dial("cancelled")  # detects a machine that vanished, which accepts no connection
        self.sent_attempts.pop(session, None)
        return False

    # ---- connecting ---------------------------------------------------------------------------------------

    def dial(self, purpose: str) -> None:
        """Open a connection, unless a dial is in progress; ``purpose`` is for the log only."""
        if self.dialing or self.address is None:
            return
        log.debug("edge_server_dialled", extra={"server": self.server, "purpose": purpose})
        if not self.pool.has_capacity():
            self._fail_queue(TerminationReason.DIAL_FAILED)  # a local limit says nothing about the server
            return
        self.pool.dialing.add(self)
        address = self.address
        endpoint = TCP4ClientEndpoint(self.pool.reactor, *address, timeout=self.pool.limits.dial_timeout_s)
        factory: Any = protocol.Factory.forProtocol(lambda: EdgeConnection(self, address))
        factory.noisy = False
        dial_attempt = endpoint.connect(factory)
        dial_attempt.addCallbacks(
            self._on_connected,
            lambda failure: self._on_dial_failed(dial_failure_reason(failure), address),
            callbackArgs=(address,),
        )
        dial_attempt.addErrback(self._on_dial_error)

    def check(self, purpose: str) -> None:
        """Dial to check that the server is alive: a dead server accepts no connection."""
        if not self.dialing:
            self.dial(purpose)
            if self.dialing:
                self.pool.checking.add(self)

    def set_address(self, address: tuple[str, int]) -> None:
        """Set the server's address, and replace the connection if the address has changed.

        Open attempts finish at the old address. New attempts use the new address, also if the id was missing
        from the endpoint list in between.
        """
        if self.connection is not None and self.connection.address != address:
            old, self.connection = self.connection, None
            self._replace(old)
        self.address = address

    def lose_address(self, started_us: int) -> None:
        """Handle that another server, which started at ``started_us``, listens at this server's address.

        A connection that was opened before proves that this server's process is still there. Without a
        reported start (0) nothing is known about it.
        """
        self.address = None
        connection = self.connection
        is_older = connection is not None and connection.is_open and connection.opened_us < started_us
        if started_us and not is_older:
            self.pool.post(EdgeServerReplaced(self.server))

    def _on_connected(self, connection: EdgeConnection, address: tuple[str, int]) -> None:
        self._finish_dial(healthy=True)
        self.failed_dials = 0
        if address != self.address:  # changed, or assigned to another server, during the dial
            connection.drop(TerminationReason.ADDRESS_CHANGED)
            self._on_address_changed()
            return
        old, self.connection = self.connection, connection
        self.messages_may_be_lost = False
        self.last_message_s = self.last_write_s = self.connected_s = self.pool.reactor.seconds()
        if old is not None:
            self._replace(old)
        while self.unconfirmed:
            # Without a valid answer these set-ups may have run, and would hold capacity for no viewer.
            connection.sendString(wire.release(self.unconfirmed.popleft(), TerminationReason.REVOKED))
        now = now_us()
        while self.queue:
            item = self.queue.popleft()
            if item.session and not self.pool.viewer_waits(item.session):
                # The viewer left during the dial, possibly without this being read yet: drop the set-up.
                self.pool.post(AttemptTerminated(self.server, item.session, TerminationReason.UNSENT))
                continue
            self._write(connection, item)
            if item.session:
                self.pool.post(AttemptWritten(self.server, item.session, now))

    def _on_dial_failed(self, reason: TerminationReason, address: tuple[str, int] | None) -> None:
        self._finish_dial(healthy=False)
        log.info("edge_server_dial_failed", extra={"server": self.server, "reason": reason.value})
        if address != self.address:
            self._on_address_changed()  # the failure concerns the old address only
            return
        self._fail_queue(reason)
        self.failed_dials += 1
        if reason is TerminationReason.DIAL_REFUSED:
            self.messages_may_be_lost = False  # no further connection, also to a draining server
            if not self.is_draining_and_responsive:
                self.mark_down(TerminationReason.SERVER_DOWN)  # the process and its sessions are gone
        elif not self.pool.session_count(self.server):
            return
        elif self._is_unreachable(reason):
            # A machine that vanished sends no message to end its sessions.
            self.mark_down(TerminationReason.SERVER_UNRESPONSIVE)
        elif reason is not TerminationReason.DIAL_FAILED:  # DIAL_FAILED is immediate, so the sweep redials
            self.dial("again")

    def _is_unreachable(self, reason: TerminationReason) -> bool:
        limit = LOCAL_FAILURE_LIMIT if reason is TerminationReason.DIAL_FAILED else DIAL_TIMEOUT_LIMIT
        silent_s: float = self.pool.reactor.seconds() - self.last_message_s
        return self.failed_dials >= limit and silent_s > MIN_SILENCE_BEFORE_DOWN_S

    def _on_dial_error(self, failure: Any) -> None:
        log.error("edge_server_dial_error", extra={"server": self.server, "error": str(failure)})

    def _on_address_changed(self) -> None:
        """Continue after a dial to an address that the server no longer has."""
        if self.address is None:
            self._fail_queue(TerminationReason.NO_ADDRESS)
        elif self.queue or self.pool.session_count(self.server):
            self.dial("moved")

    def _finish_dial(self, healthy: bool) -> None:
        self.pool.dialing.discard(self)
        if self.checking:
            self.pool.checking.discard(self)
            self.pool.record_check(healthy)

    def _replace(self, old: EdgeConnection) -> None:
        if old.is_open:
            self.replaced.append(old)

    def _sweep_replaced(self, now_s: float) -> None:
        """Close the replaced connections that are of no further use or have no open set-up.

        A set-up that cannot be retried must not be lost because its connection was slow. A connection stays
        open for ``LINGER_S`` after its last message, since the edge server would end a session whose
        connection is closed right after the answer.
        """
        in_use = {sent.connection for sent in self.sent_attempts.values()}
        for old in list(self.replaced):
            if old.has_truncated_message(now_s):
                old.drop(TerminationReason.MALFORMED, "incomplete message on a replaced connection")
            elif old not in in_use and now_s - old.last_message_s > LINGER_S:
                old.half_close()
            elif old.awaits_message and now_s - max(old.last_set_up_s, self.connected_s) > REPLACED_SILENCE_S:
                self.messages_may_be_lost = True

    # ---- failure ------------------------------------------------------------------------------------------

    def mark_down(self, reason: TerminationReason) -> None:
        """Report that the server's process or machine has failed; queued set-ups are reported as unsent."""
        self._fail_queue(TerminationReason.UNSENT)
        if self.connection is not None:
            self.connection.drop(reason)
        self.pool.post(EdgeServerFailed(self.server, reason))
        self.pool.record_failure(self)

    def connection_closed(self, connection: EdgeConnection, reason: TerminationReason) -> None:
        """Terminate the set-ups that are open on a closed connection; playing sessions continue.

        A reset does not prove that the process has died: many connections are reset while it keeps running. A
        new dial shows the difference immediately, since a dead process refuses it.
        """
        log.info("edge_server_connection_closed", extra={"server": self.server, "reason": reason.value})
        orderly = reason in ORDERLY_ENDS
        if ATTEMPT_OUTCOMES[reason] in PROVES_NOT_EXECUTED:
            # A set-up that was written may have run, whatever closed the connection: it must not be retried.
            reason = TerminationReason.RESET
        for session in [key for key, sent in self.sent_attempts.items() if sent.connection is connection]:
            del self.sent_attempts[session]
            self.unconfirmed.append(session)
            self.pool.post(AttemptTerminated(self.server, session, reason))
        if connection in self.replaced:
            self.replaced.remove(connection)
            self._note_lost_messages(connection, orderly)
        if connection is not self.connection:
            return
        self.connection = None
        if self._needs_new_connection(reason):
            self.dial("lost")  # messages that end sessions arrive on the next connection

    def _note_lost_messages(self, connection: EdgeConnection, orderly: bool) -> None:
        """Have a new connection opened if messages on an ended one may not have arrived.

        An edge server sends the end of a session on the connection of its set-up, and again on the next one
        that is opened. The current connection was opened before.
        """
        if not orderly or connection.partial_message_since_s is not None or connection.awaits_message:
            self.messages_may_be_lost = True  # the sweep dials

    def _needs_new_connection(self, reason: TerminationReason) -> bool:
        if reason is not TerminationReason.RESET and (
            not self.pool.session_count(self.server) or reason is TerminationReason.SERVER_UNRESPONSIVE
        ):
            return False
        connected_for_s: float = self.pool.reactor.seconds() - self.connected_s
        return connected_for_s > BRIEF_CONNECTION_S

    def _fail_queue(self, reason: TerminationReason) -> None:
        queued_messages, self.queue = self.queue, deque()
        for item in queued_messages:
            if item.session:
                self.pool.post(AttemptTerminated(self.server, item.session, reason))
            elif reason is TerminationReason.DIAL_TIMEOUT and self.failed_dials < RELEASE_DIAL_LIMIT:
                # After a network partition the server may still hold the session. A server that refuses the
                # dial holds none.
                self.queue.append(item)

    # ---- receiving ----------------------------------------------------------------------------------------

    def message_received(self, connection: EdgeConnection, message: wire.Message) -> None:
        """Post a decoded message to the dispatcher, and acknowledge a release."""
        self.last_message_s = connection.last_message_s = self.pool.reactor.seconds()
        if log.isEnabledFor(logging.DEBUG):
            self._log_message(message)
        item = wire.to_dispatcher_message(self.server, message)
        if item is None:
            return
        if message.kind in (wire.ANSWER, wire.RELEASE):
            self.sent_attempts.pop(message.session, None)
        if isinstance(item, EdgeServerReleased):
            connection.sendString(wire.acknowledge(message.session))
        self.pool.post(item)

    def _log_message(self, message: wire.Message) -> None:
        log.debug(
            "edge_server_message_received",
            extra={
                "server": self.server,
                "kind": message.kind,
                "session": message.session,
                "parameters": str(dict(message.parameters))[:MAX_LOGGED_PARAMETERS_CHARS],
            },
        )

    # ---- liveness -----------------------------------------------------------------------------------------

    def sweep(self, now_s: float) -> None:
        """Handle a missing, blocked, silent or idle connection; called periodically."""
        connection = self.connection
        has_sessions, is_idle = bool(self.pool.session_count(self.server)), self.is_idle
        if is_idle:
            # Silence is measured from the time at which a message is expected. A set-up on a connection that
            # was idle needs no check, and each check costs a connection at every broker.
            self.last_idle_s = now_s
        if self.replaced:
            self._sweep_replaced(now_s)
        if self.messages_may_be_lost and has_sessions:
            self.dial("messages lost")
        if connection is None or not connection.is_open:
            self._sweep_unconnected(now_s, has_sessions)
        else:
            self._sweep_connected(connection, now_s, has_sessions, is_idle)

    def _sweep_unconnected(self, now_s: float, has_sessions: bool) -> None:
        if not (has_sessions or self.queue) or self.dialing:
            return
        if self.address is not None:
            self.dial("none")
        elif now_s - self.last_message_s > NO_ADDRESS_TIMEOUT_S:
            self.mark_down(TerminationReason.SERVER_UNRESPONSIVE)

    def _sweep_connected(
        self, connection: EdgeConnection, now_s: float, has_sessions: bool, is_idle: bool
    ) -> None:
        limits = self.pool.limits
        blocked_since_s = connection.write_blocked_since_s
        if blocked_since_s is not None and now_s - blocked_since_s > limits.silence_timeout_s:
            connection.drop(TerminationReason.SERVER_UNRESPONSIVE, "writes blocked")
        elif connection.has_truncated_message(now_s):
            # After a corrupt answer nothing more arrives on the connection, so new set-ups would be lost.
            connection.drop(TerminationReason.MALFORMED, "incomplete message")
        elif self._is_unresponsive(connection, now_s):
            self.dial("unresponsive")
        elif (has_sessions or self.sent_attempts) and self._silent_s(now_s) > self._silence_limit_s():
            self._check_silent(now_s)
        elif is_idle and now_s - max(self.last_write_s, self.last_message_s) > self._idle_timeout_s():
            self.connection = None
            connection.close_after_flush()

    def _idle_timeout_s(self) -> float:
        """Return the idle time after which the connection is closed; shorter without an address."""
        limit_s = self.pool.limits.idle_timeout_s
        return limit_s if self.address is not None else min(limit_s, LINGER_S)

    def _is_unresponsive(self, connection: EdgeConnection, now_s: float) -> bool:
        return not self.replaced and any(
            sent.connection is connection and sent.is_unresponsive(now_s)
            for sent in self.sent_attempts.values()
        )

    def _silent_s(self, now_s: float) -> float:
        return now_s - max(self.last_message_s, self.last_idle_s)

    def _silence_limit_s(self) -> float:
        """Return the silence after which the server is checked.

        A draining server accepts no connection and sends no notifications, but keeps its sessions. Its exit
        closes its open connections, so a longer silence is allowed before a check.
        """
        return max(self.pool.limits.silence_timeout_s, MAX_UNCHECKED_SILENCE_S if self.draining else 0.0)

    def _check_silent(self, now_s: float) -> None:
        if self.address is None:
            self.mark_down(TerminationReason.SERVER_UNRESPONSIVE)
        elif self._silent_s(now_s) > MAX_UNCHECKED_SILENCE_S or self.pool.can_check:
            self.check("silent")
