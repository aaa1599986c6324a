"""Group commit: writes records on a separate thread, many in one commit.

All writes that are queued when a commit ends form the next one, so they share the cost of a disk sync and the
reactor never blocks on it. Since viewers wait for their writes, each write is reported as durable or failed,
also if it or another write raises an unexpected exception.
"""

from __future__ import annotations

import logging
import queue
import threading
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from typing import Generic, Protocol, TypeVar

from lotuspick.transport.storage.errors import StoreError, UnwritableRecordError

log = logging.getLogger(__name__)

MAX_BATCH = 512  # writes per commit

RecordT = TypeVar("RecordT")
RecordT_contra = TypeVar("RecordT_contra", contravariant=True)


class RecordStore(Protocol[RecordT_contra]):
    """The store that group commit writes to."""

    def write(self, records: Iterable[RecordT_contra], deleted_keys: Iterable[str] = ()) -> None:
        """Write and delete records atomically; return when the commit is durable.

        Raises:
            StoreError: no change was written.
        """


CommitCallback = Callable[[StoreError | None], None]
"""Called with None once a write is durable, or with the error if it failed."""


@dataclass(frozen=True, slots=True)
class CommitReport:
    """The outcome of one write."""

    callback: CommitCallback
    error: StoreError | None

    def notify(self) -> None:
        """Call the callback of the write."""
        self.callback(self.error)


@dataclass(frozen=True, slots=True)
class _PendingWrite(Generic[RecordT]):
    records: tuple[RecordT, ...]
    deleted_keys: tuple[str, ...]
    on_committed: CommitCallback


def notify_all(reports: Sequence[CommitReport]) -> None:
    """Call the callbacks on the caller's thread."""
    for report in reports:
        try:
            report.notify()
        except Exception:  # the remaining callbacks must still be called
            log.exception("commit_callback_failed")


class GroupCommit(Generic[RecordT]):
    """The only writer of a store, on a separate thread."""

    def __init__(
        self,
        store: RecordStore[RecordT],
        deliver: Callable[[Sequence[CommitReport]], None] = notify_all,
        max_batch: int = MAX_BATCH,
        name: str = "seats",
    ) -> None:
        """Start the thread.

        Args:
            store: the store; no other thread may write to it.
            deliver: called on the commit thread after each commit with the reports of all its writes; it must
                pass them to the reactor's thread.
            max_batch: the maximum number of writes in one commit.
            name: the name of the thread.
        """
        self.store, self.deliver, self.max_batch = store, deliver, max_batch
        self.commits = 0
        self.failure: StoreError | None = None
        """The error of the last commit; None if it succeeded."""
        self._queue: queue.SimpleQueue[_PendingWrite[RecordT] | None] = queue.SimpleQueue()
        self._closing = False  # the end marker was taken from the queue
        self._thread = threading.Thread(target=self._run, name=name, daemon=True)
        self._thread.start()

    def submit(self, record: RecordT, on_committed: CommitCallback) -> None:
        """Queue a record; the last record of a key wins."""
        self._queue.put(_PendingWrite((record,), (), on_committed))

    def submit_all(self, records: Iterable[RecordT], on_committed: CommitCallback) -> None:
        """Queue records that are written atomically."""
        self._queue.put(_PendingWrite(tuple(records), (), on_committed))

    def drop(self, keys: Iterable[str], on_committed: CommitCallback) -> None:
        """Queue the deletion of records."""
        self._queue.put(_PendingWrite((), tuple(keys), on_committed))

    def close(self) -> None:
        """Write all queued records and end the thread; block until both are done."""
        self._queue.put(None)
        self._thread.join()

    def _run(self) -> None:
        while not self._closing:
            batch = self._next_batch()
            if batch:
                self._commit(batch)

    def _next_batch(self) -> list[_PendingWrite[RecordT]]:
        """Wait for a write, then take the queued writes up to the batch limit or the end marker."""
        batch: list[_PendingWrite[RecordT]] = []
        while not batch or (len(batch) < self.max_batch and not self._queue.empty()):
            write = self._queue.get()
            if write is None:
                self._closing = True
                break
            batch.append(write)
        return batch

    def _commit(self, batch: Sequence[_PendingWrite[RecordT]]) -> None:
        failure = self._write(batch)
        if isinstance(failure, UnwritableRecordError) and len(batch) > 1:
            for write in batch:  # an unwritable record must not fail the other writes of the batch
                self._commit([write])
            return
        self._log_state_change(failure, len(batch))
        try:
            self.deliver([CommitReport(write.on_committed, failure) for write in batch])
        except Exception:  # the thread must keep running for later writes
            log.exception("commit_report_failed", extra={"writes": len(batch)})

    def _write(self, batch: Sequence[_PendingWrite[RecordT]]) -> StoreError | None:
        """Write a batch; return the error if it failed."""
        try:
            self.store.write(
                [record for write in batch for record in write.records],
                [key for write in batch for key in write.deleted_keys],
            )
        except StoreError as error:
            return error
        except Exception as error:  # noqa: BLE001  # callers await an outcome, later writes the thread
            return UnwritableRecordError(error)
        self.commits += 1
        return None

    def _log_state_change(self, failure: StoreError | None, write_count: int) -> None:
        """Log a write failure once for each cause, and the recovery."""
        if failure is not None and str(failure) != str(self.failure):
            log.error("store_write_failed", extra={"error": str(failure), "writes": write_count})
        elif failure is None and self.failure is not None:
            log.info("store_write_recovered")
        self.failure = failure
