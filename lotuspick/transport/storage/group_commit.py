"""Group commit: writes records on a thread of its own, many in one commit.

Whatever is queued when a commit ends goes into the next one, so that the cost of reaching the disk is shared
and the reactor never waits for it.
"""

from __future__ import annotations

import queue
import threading
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from typing import Generic, Protocol, TypeVar

from lotuspick.transport.storage.errors import StoreError

MAX_BATCH = 512  # writes in one commit

RecordT = TypeVar("RecordT")
RecordT_contra = TypeVar("RecordT_contra", contravariant=True)


class RecordStore(Protocol[RecordT_contra]):
    """What group commit writes to."""

    def write(self, records: Iterable[RecordT_contra], dropped_keys: Iterable[str] = ()) -> None:
        """Write records and delete others, all or nothing; returns when the commit is durable.

        Raises:
            StoreError: nothing of it was written.
        """


CommitCallback = Callable[[StoreError | None], None]
"""Called once a write is durable, with None, or has failed, with the error."""


@dataclass(frozen=True, slots=True)
class CommitReport:
    """What became of one write."""

    callback: CommitCallback
    error: StoreError | None

    def notify(self) -> None:
        """Call the callback of the write."""
        self.callback(self.error)


@dataclass(frozen=True, slots=True)
class _PendingWrite(Generic[RecordT]):
    records: tuple[RecordT, ...]
    dropped_keys: tuple[str, ...]
    on_committed: CommitCallback


def notify_all(reports: Sequence[CommitReport]) -> None:
    """Call the callbacks on the thread of the caller."""
    for report in reports:
        report.notify()


class GroupCommit(Generic[RecordT]):
    """The one writer of a store, on a thread of its own."""

    def __init__(
        self,
        store: RecordStore[RecordT],
        deliver: Callable[[Sequence[CommitReport]], None] = notify_all,
        max_batch: int = MAX_BATCH,
        name: str = "seats",
    ) -> None:
        """Start the thread.

        Args:
            store: what is written to, by this thread alone.
            deliver: called on this thread after each commit, with the reports of all its writes; it has to
                bring them to the thread of the reactor.
            max_batch: how many writes a commit takes at most.
            name: of the thread.
        """
        self.store, self.deliver, self.max_batch = store, deliver, max_batch
        self.commits = 0
        self._queue: queue.SimpleQueue[_PendingWrite[RecordT] | None] = queue.SimpleQueue()
        self._closing = False  # the thread has taken the end of the queue
        self._thread = threading.Thread(target=self._run, name=name, daemon=True)
        self._thread.start()

    def submit(self, record: RecordT, on_committed: CommitCallback) -> None:
        """Queue a record; of several with one key the last wins."""
        self._queue.put(_PendingWrite((record,), (), on_committed))

    def submit_all(self, records: Iterable[RecordT], on_committed: CommitCallback) -> None:
        """Queue records that are written all or nothing."""
        self._queue.put(_PendingWrite(tuple(records), (), on_committed))

    def drop(self, keys: Iterable[str], on_committed: CommitCallback) -> None:
        """Queue the deletion of records."""
        self._queue.put(_PendingWrite((), tuple(keys), on_committed))

    def close(self) -> None:
        """Write what is queued, and end the thread; blocks until then."""
        self._queue.put(None)
        self._thread.join()

    def _run(self) -> None:
        while not self._closing:
            batch = self._take_batch()
            if batch:
                self._commit(batch)

    def _take_batch(self) -> list[_PendingWrite[RecordT]]:
        """Wait for a write, and take what is queued behind it, up to the limit or the end of the queue."""
        batch: list[_PendingWrite[RecordT]] = []
        while not batch or (len(batch) < self.max_batch and not self._queue.empty()):
            write = self._queue.get()
            if write is None:
                self._closing = True
                break
            batch.append(write)
        return batch

    def _commit(self, batch: Sequence[_PendingWrite[RecordT]]) -> None:
        failure: StoreError | None = None
        try:
            self.store.write(
                [record for write in batch for record in write.records],
                [key for write in batch for key in write.dropped_keys],
            )
            self.commits += 1
        except StoreError as error:
            failure = error
        self.deliver([CommitReport(write.on_committed, failure) for write in batch])
