"""Seats put together: keys, store and ledger round the guide, for the daemon and for the plug-in alike."""

from __future__ import annotations

import json
import logging
import time
from collections.abc import Callable, Sequence
from pathlib import Path

from lotuspick.core.operator_events import OperatorEvent
from lotuspick.entitlement.constraints import SeatConstraints
from lotuspick.entitlement.ledger import Ledger, Record
from lotuspick.entitlement.renewal import RenewalCallback
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

ENDINGS = {"lapsed": TerminationReason.ENTITLEMENT_EXPIRED, "superseded": TerminationReason.SUPERSEDED}
MOST_REVOKED = 100_000


class EntitlementError(ConfigError):
    """Seats that cannot be served; the text names the file."""


class Entitlement:
    """One broker's seats. ``run`` has something done where the decisions are made, from any thread; ``post`` puts an
    item into the loop's inbox. Raises :class:`EntitlementError`."""

    def __init__(
        self,
        config: SeatsConfig,
        run: Callable[[Callable[[], None]], None],
        post: Callable[[InboundMessage], None],
        wall: Callable[[], float] = wall_s,
        fault: Callable[[str], None] = lambda point: None,
    ) -> None:
        self.config, self.run, self.post, self.wall = config, run, post, wall
        try:
            checker = self._checker()
            self.store = SeatStore(config.store, config.store_mib, fault)
            began = time.monotonic()
            ledger = Ledger(config.grace_s, config.skew_s)
            self.store.write(ledger.restore(self.store.load()))
        except (KeyFolderError, StoreError) as error:
            raise EntitlementError(str(error)) from None
        log.info(
            "seats recovered",
            extra={
                "seats": len(ledger.records),
                "in_doubt": ledger.indeterminate_count,
                "ms": int((time.monotonic() - began) * 1_000),
            },
        )
        self.commits = GroupCommit(self.store, self._lasting)
        self.guide = SeatConstraints(config.rules, checker, ledger, self, wall)
        self._lists()

    # ---- the guide's journal ------------------------------------------------------------------------------

    def submit(self, record: Record, done: CommitCallback) -> None:
        self.commits.submit(record, done)

    def drop(self, seats: list[str], done: CommitCallback) -> None:
        self.commits.drop(seats, done)

    def _lasting(self, reports: Sequence[CommitReport]) -> None:
        """On the thread of the commits."""

        def tell() -> None:
            notify_all(reports)
            self.post(LedgerCommitted())

        self.run(tell)

    # ---- while it serves ----------------------------------------------------------------------------------

    def renew(self, now: int, session: str, token: str, done: RenewalCallback) -> None:
        """A renewal from a front; see :meth:`SeatConstraints.renew`."""
        self.guide.renew(now, session, token, done)

    def tick(self, now: int, summary: bool = False) -> list[OperatorEvent]:
        """Now and then, where the decisions are made: what is due by time. Returns lines to log."""
        self.guide.sweep(now)
        for session, why in self.guide.take_terminations():
            self.post(SessionRevoked(session, ENDINGS[why]))
        return self.guide.take_events() + ([self.guide.summary()] if summary else [])

    def reload(self, now: int) -> None:
        """Read keys, revocations and proofs again. What cannot be read is logged, and what was known stands."""
        try:
            self.guide.replace_verifier(self._checker())
        except KeyFolderError as error:
            log.error("keys not taken, the old ones stand", extra={"fault": str(error)})
        self._lists(now)

    def close(self) -> None:
        """Write what waits, and let the store go."""
        self.commits.close()
        self.store.close()

    def _checker(self) -> TokenVerifier:
        return TokenVerifier(self.config.audience, KeyFolder(self.config.keys).load(), self.config.skew_s)

    def _lists(self, now: int = 0) -> None:
        try:
            if self.config.revoked is not None:
                self.guide.replace_revocations(read_revoked(self.config.revoked, self.wall()))
            if self.config.proofs is not None:
                settled = sum(
                    self.guide.resolve(session, ran)
                    for session, ran in read_proofs(self.config.proofs).items()
                )
                log.info("proofs read", extra={"settled": settled})
        except EntitlementError as error:
            log.error("list not taken, the old one stands", extra={"fault": str(error)})


def read_revoked(path: Path, now_s: float) -> dict[str, int]:
    """Seats that are revoked, and until when their tokens might be good; what is past that has aged out."""
    told = _json_lines(path)
    seats: dict[str, int] = {}
    for number, line in enumerate(told, 1):
        seat, until = line.get("seat"), line.get("until")
        if not isinstance(seat, str) or not isinstance(until, int):
            raise EntitlementError(f"{path}: line {number}: seat must be text and until a whole number")
        if until > now_s:
            seats[seat] = max(until, seats.get(seat, 0))
    if len(seats) > MOST_REVOKED:
        raise EntitlementError(f"{path}: more than {MOST_REVOKED} seats that have not aged out")
    return seats


def read_proofs(path: Path) -> dict[str, bool]:
    """What media nodes say of sessions: whether their set-up ran."""
    proofs: dict[str, bool] = {}
    for number, line in enumerate(_json_lines(path), 1):
        session, ran = line.get("session"), line.get("ran")
        if not isinstance(session, str) or not isinstance(ran, bool):
            raise EntitlementError(f"{path}: line {number}: session must be text and ran true or false")
        proofs[session] = proofs.get(session, False) or ran
    return proofs


def _json_lines(path: Path) -> list[dict[str, object]]:
    """A file with a JSON object a line; one that is not there has none."""
    try:
        lines = path.read_text(encoding="utf-8").splitlines()
    except FileNotFoundError:
        return []
    except (OSError, UnicodeDecodeError) as error:
        raise EntitlementError(f"{path}: {error}") from None
    told = []
    for number, line in enumerate(lines, 1):
        try:
            each = json.loads(line)
        except ValueError:
            each = None
        if not isinstance(each, dict):
            raise EntitlementError(f"{path}: line {number}: not a JSON object")
        told.append(each)
    return told
