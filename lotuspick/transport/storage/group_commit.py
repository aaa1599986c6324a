"""Group commit off the reactor's thread: whatever waits when a commit ends goes into the next one."""

from __future__ import annotations

import queue
import threading
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any, Protocol

from lotuspick.transport.storage.errors import StoreError

BATCH = 512  # records of one commit at most


class Store(Protocol):
    """What group commit writes to."""

    def write(self, records: Iterable[Any], drop: Iterable[str] = ()) -> None:
        """Put records in and drop keys, all or nothing; raises :class:`StoreError`."""


Done = Callable[[str], None]
"""Called with what was wrong; empty: it lasts."""


@dataclass(frozen=True, slots=True)
class _Due:
    records: tuple[Any, ...]
    drop: tuple[str, ...]
    done: Done


def _call(heard: list[tuple[Done, str]]) -> None:
    for done, fault in heard:
        done(fault)


class GroupCommit:
    """Writes on a thread of its own: whatever waits when a commit ends goes into the next one. ``deliver`` is called
    on that thread after each commit, with all that are to hear of it, and brings them to the reactor."""

    def __init__(
        self,
        store: Store,
        deliver: Callable[[list[tuple[Done, str]]], None] = _call,
        batch: int = BATCH,
        name: str = "seats",
    ) -> None:
        self.store, self.deliver, self.batch = store, deliver, batch
        self.commits = 0
        self._waiting: queue.SimpleQueue[_Due | None] = queue.SimpleQueue()
        self._thread = threading.Thread(target=self._run, name=name, daemon=True)
        self._thread.start()

    def submit(self, record: Any, done: Done) -> None:
        """Have a record written; the last of several on one key wins."""
        self._waiting.put(_Due((record,), (), done))

    def submit_all(self, records: Iterable[Any], done: Done) -> None:
        """Have records written, all or nothing."""
        self._waiting.put(_Due(tuple(records), (), done))

    def drop(self, keys: Iterable[str], done: Done) -> None:
        """Have records dropped."""
        self._waiting.put(_Due((), tuple(keys), done))

    def close(self) -> None:
        """Write what waits, and end."""
        self._waiting.put(None)
        self._thread.join()

    def _run(self) -> None:
        ending = False
        while not ending:
            first = self._waiting.get()
            due: list[_Due] = []
            ending = first is None
            if first is not None:
                due.append(first)
            while not ending and len(due) < self.batch and not self._waiting.empty():
                more: Any = self._waiting.get()
                ending = more is None
                if more is not None:
                    due.append(more)
            if due:
                self._commit(due)

    def _commit(self, due: list[_Due]) -> None:
        fault = ""
        try:
            self.store.write(
                [record for each in due for record in each.records],
                [key for each in due for key in each.drop],
            )
            self.commits += 1
        except StoreError as error:
            fault = str(error)
        self.deliver([(each.done, fault) for each in due])
