"""One answer that stops short: a session on the same connection is left standing after its end."""

from __future__ import annotations

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins import Broker, CannotRunError, Coordinator, EdgeServer, Record, Viewer, run_case, settings

BOUND_S = 8.05  # 8 s of the rule, and the 50 ms of the rules on sockets
WATCH_S = 30.0
SET_UP_EVERY_S = 0.3
HELD = 30  # sessions that play at the same time


class Viewers:
    """Sets paid sessions up at a steady rate."""

    def __init__(self, record: Record, port: int) -> None:
        self.connection, self.number = Viewer(record, port), 0

    def set_up(self) -> str:
        """Send a set-up, and end the oldest session; return the id of the new one."""
        self.number += 1
        session = f"{self.number:016x}"
        title = f"aa{self.number:02x}"
        set_up = self.connection.set_up(session, "asistencia", title, 0, 3_000, 3, 1)
        self.connection.send(set_up, f"SETUP {session}")
        if self.number > HELD + 1:  # the first session is left alone: its viewer waits for its release
            self.connection.tear_down(f"{self.number - HELD:016x}")
        return session

    def watch(self, session: str, until_s: float) -> bool:
        """Set sessions up until one has been released; return whether it has."""
        while time.time() < until_s and session not in self.connection.released:
            self.set_up()
            self.connection.wait_for(lambda: session in self.connection.released, SET_UP_EVERY_S)
        return session in self.connection.released


def answer_late(viewers: Viewers, node: EdgeServer, trouble: bool) -> None:
    """Let the node answer its next set-up late, and stop short in that answer if there is trouble."""
    node.stops_short, node.late_next = trouble, "asistencia"
    runs, end_s = len(node.ran), time.time() + 10
    while time.time() < end_s and len(node.ran) == runs:
        if node.late_next:
            viewers.set_up()
        time.sleep(SET_UP_EVERY_S)
    if len(node.ran) == runs:
        raise CannotRunError("no second set-up came to the node")


def play(record: Record, trouble: bool) -> list[str]:
    """Spoil one answer, then end a session that was set up on the same connection."""
    servers = [EdgeServer(record, f"s-{cell}", cell, note_every_s=2.3) for cell in range(3)]
    coordinator = Coordinator(record)
    coordinator.publish([server.entry() for server in servers], full=True)
    broker = Broker(record, coordinator, settings(TellUs=2_300_000, SeenAfterUs=410_000))
    try:
        broker.wait_until_ready()
        viewers = Viewers(record, broker.port)
        answers = viewers.connection.answers
        ours = viewers.set_up()
        if not viewers.connection.wait_for(lambda: ours in answers, 5) or answers[ours][0][1] != 200:
            raise CannotRunError("the session does not play")
        node = next(server for server in servers if ours in server.sessions)
        answer_late(viewers, node, trouble)
        over_s = time.time()
        node.finish(ours)
        told = viewers.watch(ours, over_s + WATCH_S)
        if viewers.connection.closed_s:
            raise CannotRunError("the viewer's connection has ended")
        if not told:
            return [f"lost: {ours} is over, and its viewer is not told within {WATCH_S} s (8 s are allowed)"]
        took_s = viewers.connection.released[ours][0] - over_s
        record.add("case", f"the viewer is told {took_s:.3f} s after the end of its session")
        if took_s <= (BOUND_S if trouble else 1.05):
            return []
        return [f"lost: {ours} was left standing for {took_s:.3f} s after its end (8 s are allowed)"]
    finally:
        broker.end()
        coordinator.end()
        for server in servers:
            server.end()


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent / "record.txt", play))
