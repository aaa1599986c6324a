"""Actor that is the program itself, in a process of its own."""

from __future__ import annotations

import json
import queue
import re
import signal
import subprocess
import time
from pathlib import Path
from typing import TYPE_CHECKING

from scenario_actor import PATIENCE, Actor

if TYPE_CHECKING:
    from scenario import World

ROOT = Path(__file__).parent.parent


class Broker(Actor):
    """The program itself: ``b send TERM``, ``b expect EXIT code=0``; ``b send HUP coordinator=c2`` or ``text=``
    first replaces the configuration file, and ``cells=NAME`` the file of cells; ``b send START`` starts it again. ``b expect LINE key=value`` waits for
    a log line with that pair in it."""

    def __init__(self, world: World, command: list[str], environment: dict[str, str]) -> None:
        super().__init__(world, "b")
        self.log: list[str] = []
        self.lines: queue.Queue[str] = queue.Queue()
        self.process = subprocess.Popen(command, cwd=ROOT, env=environment, stderr=subprocess.PIPE, text=True)
        self.thread(self.read)

    def read(self) -> None:
        assert self.process.stderr is not None
        for line in self.process.stderr:
            self.log.append(line)
            self.lines.put(line)
            said = re.search(r"msg=(serving|http_serving) .*listen=127\.0\.0\.1:(\d+)", line)
            if said:
                self.heard.put((said[1], "", {"port": said[2]}))
        self.heard.put(("EXIT", "", {"code": str(self.process.wait())}))

    def port(self) -> int:
        kind, _, fields = self.heard.get(timeout=PATIENCE)
        assert kind != "EXIT", "".join(self.log)
        return int(fields["port"])

    def expect(self, kind: str, session: str, fields: dict[str, str]) -> None:
        if kind != "LINE":
            return super().expect(kind, session, fields)
        wanted, end = [f"{key}={value}" for key, value in fields.items()], time.monotonic() + PATIENCE
        try:
            line = ""
            while not all(pair in line for pair in wanted):
                line = self.lines.get(timeout=max(0.0, end - time.monotonic()))
        except queue.Empty:
            raise AssertionError(f"no line with {wanted}") from None

    def send(self, kind: str, session: str, fields: dict[str, str]) -> None:
        if "coordinator" in fields:
            told = {**self.world.told, "coordinator": self.world.actor(fields["coordinator"]).address}
            self.world.config.write_text(json.dumps(told))
        if "cells" in fields:
            self.world.write_cells(fields["cells"])
        if "text" in fields:
            self.world.config.write_text(fields["text"])
        if kind == "START":
            self.world.start()
            return
        self.process.send_signal(getattr(signal, f"SIG{kind}"))
