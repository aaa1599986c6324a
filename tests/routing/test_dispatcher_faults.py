"""Faults inside the program, met by the dispatcher."""

from __future__ import annotations

import unittest
from typing import Any

from helpers import request

from lotuspick.core.actions import RejectSession
from lotuspick.core.events import (
    SessionRequest,
)
from lotuspick.routing.dispatcher import SessionDispatcher
from lotuspick.routing.messages import (
    SessionRequested,
)


class DispatcherFaults(unittest.TestCase):
    """A fault inside the program costs what it is about, and nothing else."""

    def test_message_that_fails_leaves_the_others_served(self) -> None:
        said: list[str] = []

        class Module:
            def handle(self, now: int, events: list[Any]) -> list[Any]:
                if any(getattr(event, "title", "") == "fatal" for event in events):
                    raise RuntimeError("fault of the module")
                return [RejectSession(event.session) for event in events if isinstance(event, SessionRequest)]

        class Asker:
            is_open = True

            def rejected(self, session: str, gap_ms: int, why: str = "") -> None:
                said.append(f"refused {session}")

            def failed(self, session: str, why: str = "") -> None:
                said.append(f"failed {session}")

        class Broken:
            is_open = True  # and no method of a viewer

        loop = SessionDispatcher(Module(), None, lambda: 0, lambda at: None, 10, frozenset({"clip"}))  # type: ignore[arg-type]
        with self.assertLogs("lotuspick.routing.dispatcher", "ERROR") as logged:
            for session, viewer in (("a", Broken()), ("b", Asker()), ("c", Asker())):
                loop.post(SessionRequested(request(session), viewer=viewer))  # type: ignore[arg-type]
            loop.tick()
            loop.post(SessionRequested(request("d", title="fatal"), viewer=Asker()))  # type: ignore[arg-type]
            loop.tick()
        self.assertEqual(said, ["refused b", "refused c", "failed d"])
        self.assertEqual(len(logged.records), 2)
