"""Group commit off the reactor's thread: whatever waits when a commit ends goes into the next one."""

from __future__ import annotations

import queue
import threading
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any, Protocol

from lotuspick.transport.storage.errors import StoreError

MAX_BATCH = 512  # records of one commit at most


class RecordStore(Protocol):
    """What group commit writes to."""

    def write(self, records: Iterable[Any], dropped_keys: Iterable[str] = ()) -> None:
        """Put records in and drop keys, all or nothing; raises :class:`StoreError`."""


CommitCallback = Callable[[str], None]
"""Called with what was wrong; empty: it lasts."""


@dataclass(frozen=True, slots=True)
class _PendingWrite:
    records: tuple[Any, ...]
    dropped_keys: tuple[str, ...]
    on_committed: CommitCallback


def _run_callbacks(reports: list[tuple[CommitCallback, str]]) -> None:
    for on_committed, error_text in reports:
        on_committed(error_text)


class GroupCommit:
    """Writes on a thread of its own: whatever waits when a commit ends goes into the next one. ``deliver`` is called
    on that thread after each commit, with all that are to hear of it, and brings them to the reactor."""

    def __init__(
        self,
        store: RecordStore,
        deliver: Callable[[list[tuple[CommitCallback, str]]], None] = _run_callbacks,
        max_batch: int = MAX_BATCH,
        name: str = "seats",
    ) -> None:
        self.store, self.deliver, self.max_batch = store, deliver, max_batch
        self.commits = 0
        self._queue: queue.SimpleQueue[_PendingWrite | None] = queue.SimpleQueue()
        self._thread = threading.Thread(target=self._run, name=name, daemon=True)
        self._thread.start()

    def submit(self, record: Any, on_committed: CommitCallback) -> None:
        """Have a record written; the last of several on one key wins."""
        self._queue.put(_PendingWrite((record,), (), on_committed))

    def submit_all(self, records: Iterable[Any], on_committed: CommitCallback) -> None:
        """Have records written, all or nothing."""
        self._queue.put(_PendingWrite(tuple(records), (), on_committed))

    def drop(self, keys: Iterable[str], on_committed: CommitCallback) -> None:
        """Have records dropped."""
        self._queue.put(_PendingWrite((), tuple(keys), on_committed))

    def close(self) -> None:
        """Write what waits, and end."""
        self._queue.put(None)
        self._thread.join()

    def _run(self) -> None:
        closing = False
        while not closing:
            first = self._queue.get()
            pending: list[_PendingWrite] = []
            closing = first is None
            if first is not None:
                pending.append(first)
            while not closing and len(pending) < self.max_batch and not self._queue.empty():
                more: Any = self._queue.get()
                closing = more is None
                if more is not None:
                    pending.append(more)
            if pending:
                self._commit(pending)

    def _commit(self, pending: list[_PendingWrite]) -> None:
        error_text = ""
        try:
            self.store.write(
                [record for write in pending for record in write.records],
                [key for write in pending for key in write.dropped_keys],
            )
            self.commits += 1
        except StoreError as error:
            error_text = str(error)
        self.deliver([(write.on_committed, error_text) for write in pending])
