"""Bad clients report sessions at servers that do not exist: the broker stops answering everybody."""

from __future__ import annotations

import contextlib
import socket
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins import HOST, Broker, CannotRunError, Coordinator, EdgeServer, Record, Viewer, run_case, settings

BAD_CLIENTS = 16
REQUESTS_AT_ONCE = 900  # of each bad client
TIME_LEFT_MS = 3_000
SLACK_S = 0.55  # half a second after its time, and the 50 ms of the rules on sockets
SET_UP_EVERY_S = 0.25
SEND_FOR_S = 14.0
HELD = 20  # sessions that play at the same time


def bad_client(record: Record, viewer: Viewer, port: int, number: int) -> None:
    """Send hundreds of requests at once, each with an id that no edge server knows; read all that comes."""
    requests = []
    for index in range(REQUESTS_AT_ONCE):
        request = viewer.set_up(f"bad{number:05x}{index:08x}", "repaso", "aa01", 0, 3_000, 3)
        requests.append(request.replace(b";viewer:", f";at:s-{number:04x}{index:04x};viewer:".encode()))
    with contextlib.suppress(OSError), socket.create_connection((HOST, port), timeout=60) as connection:
        reader = threading.Thread(target=read_all, args=(connection,), daemon=True)
        reader.start()
        connection.sendall(b"".join(requests))
        record.add(f"bad client {number}", f"has sent {REQUESTS_AT_ONCE} requests")
        reader.join()
    record.add(f"bad client {number}", "its connection has ended")


def read_all(connection: socket.socket) -> None:
    """Read until the end of the connection."""
    with contextlib.suppress(OSError):
        while connection.recv(65_536):
            pass


def send_set_ups(viewer: Viewer, until_s: float) -> dict[str, float]:
    """Send paid set-ups of usual viewers at a steady rate; return the time of each by its id."""
    sent: dict[str, float] = {}
    while time.time() < until_s:
        number = len(sent) + 1
        session, title = f"{number:016x}", f"bb{number:02x}"
        set_up = viewer.set_up(session, "asistencia", title, 0, TIME_LEFT_MS, 3, 1)
        sent[session] = viewer.send(set_up, f"SETUP {session}")
        if not sent[session]:
            raise CannotRunError("the connection of the usual viewers has ended")
        if number > HELD:
            viewer.tear_down(f"{number - HELD:016x}")
        time.sleep(SET_UP_EVERY_S)
    return sent


def play(record: Record, trouble: bool) -> list[str]:
    """Send set-ups of usual viewers while bad clients come, and look for those that are not answered."""
    servers = [EdgeServer(record, f"s-{cell}", cell) for cell in range(3)]
    coordinator = Coordinator(record)
    coordinator.publish([server.entry() for server in servers], full=True)
    broker = Broker(record, coordinator, settings())
    try:
        broker.wait_until_ready()
        viewer = Viewer(record, broker.port)
        for number in range(BAD_CLIENTS if trouble else 0):
            bad = threading.Thread(target=bad_client, args=(record, viewer, broker.port, number), daemon=True)
            bad.start()
        sent = send_set_ups(viewer, time.time() + SEND_FOR_S)
        limit_s = TIME_LEFT_MS / 1_000 + SLACK_S
        time.sleep(limit_s + 0.2)
        unanswered, late = [], []
        for session, sent_s in sent.items():
            answers = viewer.answers.get(session, [])
            if not answers:
                unanswered.append(session)
            elif answers[0][0] > sent_s + limit_s:
                late.append(session)
        record.add("case", f"set-ups {len(sent)}, never answered {unanswered}, too late {late}")
        if not unanswered and not late:
            return []
        return [
            f"lost: of {len(sent)} set-ups of usual viewers {len(unanswered)} have no answer {limit_s:.2f} s "
            f"after they were sent, and {len(late)} got theirs later than that"
        ]
    finally:
        broker.end()
        coordinator.end()
        for server in servers:
            server.end()


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent / "record.txt", play))
