"""A set-up whose connection the broker closes, because the next message on it comes in pieces."""

from __future__ import annotations

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins import Broker, CannotRunError, Coordinator, EdgeServer, Record, Viewer, run_case, settings

FIRST, SECOND = "00000000000000a1", "00000000000000a2"
TIME_LEFT_MS = 3_000
ANSWER_AFTER_S = 2.5
PIECES, PIECE_EVERY_S = 11, 0.204  # the last piece is due 2.04 s after the first
PIECES_LIMIT_S = 2.05  # 2 s, and the 50 ms of the rules on sockets


def send_in_pieces(viewer: Viewer, data: bytes) -> None:
    """Send a request in pieces, the last of them 2.04 s after the first."""
    size, began_s = -(-len(data) // PIECES), time.time()
    for number, start in enumerate(range(0, len(data), size)):
        time.sleep(max(0.0, began_s + number * PIECE_EVERY_S - time.time()))
        end = min(start + size, len(data))
        viewer.send(data[start:end], f"bytes {start} to {end} of {len(data)} of SETUP {SECOND}")


def play(record: Record, trouble: bool) -> list[str]:
    """Send a paid set-up, then a second one on the same connection, in pieces if there is trouble."""
    servers = [EdgeServer(record, f"s-{cell}", cell, ANSWER_AFTER_S) for cell in range(3)]
    coordinator = Coordinator(record)
    coordinator.publish([server.entry() for server in servers], full=True)
    broker = Broker(record, coordinator, settings())
    try:
        broker.wait_until_ready()
        viewer = Viewer(record, broker.port)
        taken_s = viewer.send(
            viewer.set_up(FIRST, "asistencia", "aa01", 0, TIME_LEFT_MS, 3), f"SETUP {FIRST}"
        )
        time.sleep(0.05)
        began_s = time.time()
        second = viewer.set_up(SECOND, "repaso", "aa02", 0, 5_000, 3)
        if trouble:
            send_in_pieces(viewer, second)
        else:
            viewer.send(second, f"SETUP {SECOND}")
        viewer.wait_for(lambda: FIRST in viewer.answers, taken_s + TIME_LEFT_MS / 1_000 + 0.55 - time.time())
        time.sleep(0.2)
        runs = [session for server in servers for _, session in server.ran if session == FIRST]
        record.add("case", f"{FIRST}: answers {viewer.answers.get(FIRST, [])}, runs {len(runs)}")
        if not any(session == FIRST for server in servers for _, session in server.set_ups):
            raise CannotRunError("the first set-up was not sent on: a close would be excused")
        if viewer.closed_s > began_s + PIECES_LIMIT_S:
            raise CannotRunError("the pieces took longer than the pages allow")
        broken = []
        if viewer.closed_s and FIRST not in viewer.answers:
            broken.append(
                f"lost: {FIRST} was taken, and its connection ended {viewer.closed_s - taken_s:.3f} s later "
                f"without an answer; its viewer still waited ({TIME_LEFT_MS} ms)"
            )
        elif len(viewer.answers.get(FIRST, [])) != 1:
            broken.append(f"lost: {FIRST} has {len(viewer.answers.get(FIRST, []))} answers")
        return broken
    finally:
        broker.end()
        coordinator.end()
        for server in servers:
            server.end()


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent / "record.txt", play))
