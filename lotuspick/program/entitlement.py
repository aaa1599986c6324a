"""Entitlement of paid sessions for the daemon and the plug-in: keys, store, ledger and constraints.

:class:`Entitlement` owns the store and the thread that commits to it. Ledger and constraints are changed only
on the controller's thread. Operators may change the files of keys, revocations and proofs while the broker
serves; if a new file is invalid, the previous content stays in force.
"""

from __future__ import annotations

import json
import logging
import time
from collections.abc import Callable, Mapping, Sequence
from pathlib import Path

from lotuspick.core.operator_events import OperatorEvent
from lotuspick.entitlement.constraints import SeatConstraints
from lotuspick.entitlement.ledger import Ledger, Record
from lotuspick.entitlement.renewal import RenewalCallback
from lotuspick.entitlement.seat_session import SeatTermination
from lotuspick.entitlement.tokens import TokenVerifier
from lotuspick.program.configuration import ConfigError, SeatsConfig
from lotuspick.routing.messages import InboundMessage, LedgerCommitted, SessionRevoked
from lotuspick.routing.termination import TerminationReason
from lotuspick.transport.sockets import wall_s
from lotuspick.transport.storage.errors import StoreError
from lotuspick.transport.storage.group_commit import CommitCallback, CommitReport, GroupCommit, notify_all
from lotuspick.transport.storage.key_folder import KeyFolder, KeyFolderError
from lotuspick.transport.storage.seat_store import SeatStore

log = logging.getLogger(__name__)

TERMINATION_REASONS: Mapping[SeatTermination, TerminationReason] = {
    SeatTermination.LAPSED: TerminationReason.ENTITLEMENT_EXPIRED,
    SeatTermination.SUPERSEDED: TerminationReason.SUPERSEDED,
}
MAX_REVOKED_SEATS = 100_000  # entries of the list of revoked seats that have not expired
MS_PER_S = 1_000


class EntitlementError(ConfigError):
    """A file of the entitlement subsystem cannot be used; the text names the file."""


def _ignore_fault_point(point: str) -> None:
    """Do nothing at a fault point; crash tests pass a function that may end the process."""


class Entitlement:
    """The entitlements of one broker; the :class:`~lotuspick.entitlement.seat_session.Journal` of its ledger.

    Args:
        config: of the subsystem.
        call_in_reactor: runs a function on the controller's thread; may be called on any thread.
        post: puts a message into the dispatcher's inbox.
        wall_clock: returns the system time in Unix seconds.
        fault_point: called at each point at which a crash can interrupt a write; for tests.

    Raises:
        EntitlementError: the keys, the store or a record in it are invalid.
    """

    def __init__(
        self,
        config: SeatsConfig,
        call_in_reactor: Callable[[Callable[[], None]], None],
        post: Callable[[InboundMessage], None],
        wall_clock: Callable[[], float] = wall_s,
        fault_point: Callable[[str], None] = _ignore_fault_point,
    ) -> None:
        self.config, self.call_in_reactor, self.post, self.wall_clock = (
            config,
            call_in_reactor,
            post,
            wall_clock,
        )
        try:
            verifier = self._load_verifier()
            self.store = SeatStore(config.store, config.store_mib, fault_point)
            ledger = self._restore_ledger()
        except (KeyFolderError, StoreError) as error:
            raise EntitlementError(str(error)) from error
        self.commits = GroupCommit(self.store, self._deliver_commits)
        self.constraints = SeatConstraints(config.rules, verifier, ledger, self, wall_clock)
        self._reload_lists()

    # ---- journal of the ledger ----------------------------------------------------------------------------

    def submit(self, record: Record, done: CommitCallback) -> None:
        """Queue a record for writing; see :class:`~lotuspick.entitlement.seat_session.Journal`."""
        self.commits.submit(record, done)

    def drop(self, seats: list[str], done: CommitCallback) -> None:
        """Queue seats for deletion; see :class:`~lotuspick.entitlement.seat_session.Journal`."""
        self.commits.drop(seats, done)

    def _deliver_commits(self, reports: Sequence[CommitReport]) -> None:
        """Deliver the outcomes of a commit on the controller's thread; called on the commit thread."""

        def run_callbacks() -> None:
            notify_all(reports)
            self.post(LedgerCommitted())

        self.call_in_reactor(run_callbacks)

    # ---- operation ----------------------------------------------------------------------------------------

    def renew(self, now: int, session: str, token: str, done: RenewalCallback) -> None:
        """Renew the token of a playing session; see :meth:`SeatConstraints.renew`."""
        self.constraints.renew(now, session, token, done)

    def tick(self, now: int, summary: bool = False) -> list[OperatorEvent]:
        """Run periodic work, such as terminating lapsed sessions; called on the controller's thread.

        Args:
            now: in microseconds.
            summary: whether to return a summary, too.

        Returns:
            Events to log.
        """
        self.constraints.sweep(now)
        for termination in self.constraints.take_terminations():
            self.post(SessionRevoked(termination.session, TERMINATION_REASONS[termination.reason]))
        events = self.constraints.take_events()
        return [*events, self.constraints.summary()] if summary else events

    def reload(self) -> None:
        """Read keys, revocations and proofs again.

        An invalid file is logged, and its previous content stays in force.
        """
        try:
            self.constraints.replace_verifier(self._load_verifier())
        except KeyFolderError as error:
            log.error("token_keys_rejected", extra={"error": str(error)})
        self._reload_lists()

    def close(self) -> None:
        """Write queued records and close the store."""
        self.commits.close()
        self.store.close()

    # ---- files --------------------------------------------------------------------------------------------

    def _load_verifier(self) -> TokenVerifier:
        keys = KeyFolder(self.config.keys).load()
        return TokenVerifier(self.config.audience, keys, self.config.skew_s)

    def _restore_ledger(self) -> Ledger:
        """Load the ledger from the store; attempts that a crash interrupted become indeterminate."""
        started_s = time.monotonic()
        ledger = Ledger(self.config.grace_s, self.config.skew_s)
        self.store.write(ledger.restore(self.store.load()))
        log.info(
            "ledger_restored",
            extra={
                "seats": len(ledger.records),
                "indeterminate": ledger.indeterminate_count,
                "duration_ms": int((time.monotonic() - started_s) * MS_PER_S),
            },
        )
        return ledger

    def _reload_lists(self) -> None:
        try:
            if self.config.revoked is not None:
                self.constraints.replace_revocations(read_revoked(self.config.revoked, self.wall_clock()))
            if self.config.proofs is not None:
                self._apply_proofs(self.config.proofs)
        except EntitlementError as error:
            log.error("seat_list_rejected", extra={"error": str(error)})

    def _apply_proofs(self, path: Path) -> None:
        proofs = read_proofs(path)
        resolved = sum(self.constraints.resolve(session, executed) for session, executed in proofs.items())
        log.info("proofs_applied", extra={"resolved": resolved})


def read_revoked(path: Path, now_s: float) -> dict[str, int]:
    """Read the list of revoked seats.

    Args:
        path: of a file with a JSON object on each line; a missing file reads as an empty list.
        now_s: Unix seconds.

    Returns:
        For each seat the time (Unix seconds) until which its tokens could be valid; past times are left out.

    Raises:
        EntitlementError: a line is malformed, or there are too many seats.
    """
    seats: dict[str, int] = {}
    for number, entry in enumerate(_read_json_lines(path), 1):
        seat, until_s = entry.get("seat"), entry.get("until")
        if not isinstance(seat, str) or not isinstance(until_s, int):
            raise EntitlementError(f"{path}: line {number}: seat must be a string and until an integer")
        if until_s > now_s:
            seats[seat] = max(until_s, seats.get(seat, 0))
    if len(seats) > MAX_REVOKED_SEATS:
        raise EntitlementError(f"{path}: more than {MAX_REVOKED_SEATS} seats that have not expired")
    return seats


def read_proofs(path: Path) -> dict[str, bool]:
    """Read the reports of media nodes on sessions.

    Args:
        path: of a file with a JSON object on each line; a missing file reads as an empty list.

    Returns:
        For each session whether its set-up was executed; it was if at least one report says so.

    Raises:
        EntitlementError: a line is malformed.
    """
    proofs: dict[str, bool] = {}
    for number, entry in enumerate(_read_json_lines(path), 1):
        session, executed = entry.get("session"), entry.get("ran")
        if not isinstance(session, str) or not isinstance(executed, bool):
            raise EntitlementError(f"{path}: line {number}: session must be a string and ran a boolean")
        proofs[session] = proofs.get(session, False) or executed
    return proofs


def _read_json_lines(path: Path) -> list[dict[str, object]]:
    """Return the JSON objects of a file, one on each line; none if the file is missing."""
    try:
        lines = path.read_text(encoding="utf-8").splitlines()
    except FileNotFoundError:
        return []
    except (OSError, UnicodeDecodeError) as error:
        raise EntitlementError(f"{path}: {error}") from error
    return [_parse_json_object(line, f"{path}: line {number}") for number, line in enumerate(lines, 1)]


def _parse_json_object(line: str, location: str) -> dict[str, object]:
    try:
        entry = json.loads(line)
    except ValueError as error:
        raise EntitlementError(f"{location}: not a JSON object") from error
    if not isinstance(entry, dict):
        raise EntitlementError(f"{location}: not a JSON object")
    return entry
