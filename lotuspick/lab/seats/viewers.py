"""Stand-in viewers with good tokens: ``python -m lotuspick.lab.seats.viewers JOB``, a JSON file. They come at a stated
rate whatever the brokers do, come again after refusals, failures and breaks, at the same broker or another of their
building, renew while they play, and write one line each of what they met."""

from __future__ import annotations

import asyncio
import json
import random
import sys
import time
from collections import Counter
from pathlib import Path
from typing import Any

from lotuspick.entitlement.model import Seat
from lotuspick.entitlement.tokens import sign
from lotuspick.lab.rtsp import ANSWER_TIMEOUT_S, LOST, RtspAnswer, RtspConnection
from lotuspick.transport.storage.key_folder import KeyFolder

TRIES, LEFT_MS = 40, 3_000


class Broker:
    """The way to one broker: a few connections, made again when they are lost."""

    def __init__(self, port: int, http: int) -> None:
        self.port, self.http = port, http
        self.open: dict[int, RtspConnection] = {}
        self.locks: dict[int, asyncio.Lock] = {}

    async def connection(self, at: int) -> RtspConnection | None:
        made = self.open.get(at)
        if made is not None and made.connected:
            return made
        async with self.locks.setdefault(at, asyncio.Lock()):
            made = self.open.get(at)
            if made is not None and made.connected:
                return made
            try:
                _, made = await asyncio.get_running_loop().create_connection(
                    RtspConnection, "127.0.0.1", self.port
                )
            except OSError:
                return None
            self.open[at] = made
            return made


class Crowd:
    """All viewers of one process."""

    def __init__(self, job: dict[str, Any]) -> None:
        self.job = job
        self.draw = random.Random(f"viewers {job['seed']} {job['part']}")
        self.brokers = [Broker(*ports) for ports in job["brokers"]]
        self.half = max(1, len(self.brokers) // 2)
        folder = KeyFolder(Path(job["keys"]))
        self.kid = next(iter(folder.load()))
        self.key = folder.private(self.kid)
        self.sessions = 0
        self.sink = open(job["log"], "w", encoding="ascii")  # noqa: SIM115

    def token(self, seat: str, viewer: str, epoch: int, now_s: int) -> str:
        made = Seat(seat, viewer, "law", "aa00", "exam", now_s, now_s, now_s + 9_000, epoch)
        return sign(made, "site", self.kid, self.key)

    def session(self) -> str:
        self.sessions += 1
        return f"{self.job['part'] + 1:04x}{self.sessions:012x}"

    def broker(self, building: int) -> Broker:
        return self.brokers[building * self.half + self.draw.randrange(self.half)]

    async def run(self) -> None:
        began, rate, count = time.monotonic(), self.job["rate"], self.job["sessions"]
        tasks: set[asyncio.Task[None]] = set()
        for at in range(count):
            wait_s = began + at / rate - time.monotonic()
            if wait_s > 0:
                await asyncio.sleep(wait_s)
            elif at % 50 == 0:
                await asyncio.sleep(0)
            task = asyncio.create_task(self.viewer(at))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        while tasks:
            await asyncio.wait(list(tasks))
        self.sink.close()

    async def viewer(self, number: int) -> None:
        draw, seat = self.draw, f"{self.job['part']}-{number}"
        viewer = f"{self.job['part']:04x}{number:012x}"
        building = draw.randrange(len(self.brokers) // self.half)
        epoch, waits, token = 0, 0, self.token(seat, viewer, 0, int(time.time()))
        met: Counter[str] = Counter()
        took_ms, plays, again, ended, broker = -1.0, 0, False, "", self.broker(building)
        began = time.monotonic()
        for _ in range(TRIES):
            status, reason, gap_ms, ended = await self.once(broker, token, viewer, seat, again, met, epoch)
            if status == 200:
                plays += 1
                if took_ms < 0:
                    took_ms = (time.monotonic() - began) * 1_000
                if ended != "cut":
                    break
                met["cut"] += 1
            else:
                met[reason.replace(" ", "-")] += 1
            waits += reason == "seat-in-doubt"
            if reason == "seat-in-doubt" and waits % 2 == 0:  # its portal signs anew
                epoch += 1
                token = self.token(seat, viewer, epoch, int(time.time()))
            again = True
            await asyncio.sleep(max(gap_ms, 200) / 1_000 * draw.uniform(1.0, 1.5))
            if draw.random() < 0.5:
                broker = self.broker(building)
        if (
            plays and ended == "left" and draw.random() < 0.02
        ):  # the same token once more, where its session has ended
            status, reason, _, _ = await self.once(broker, token, viewer, seat, False, met, epoch)
            met[f"replay-{status}"] += 1
        told = ",".join(f"{name}:{times}" for name, times in sorted(met.items())) or "-"
        self.sink.write(f"{seat} {plays} {took_ms:.1f} {told}\n")

    async def once(
        self, broker: Broker, token: str, viewer: str, seat: str, again: bool, met: Counter[str], epoch: int
    ) -> tuple[int, str, int, str]:
        """One session: its answer, and how it ended where it played."""
        draw, session = self.draw, self.session()
        path = f"home:{draw.randrange(self.job['nodes'])};copies:3;top:2;viewer:{viewer}{';again:1' if again else ''}"
        headers = {
            "P-Kind": "exam",
            "P-Time-Left": str(LEFT_MS),
            "P-Path": path,
            "X-Length": "20000.0",
            "P-Billed": "law",
        }
        if draw.random() < self.job["http"]:
            return await self.over_http(broker, session, headers, token, f"seat={seat}")
        headers["P-Token"] = token
        connection = await broker.connection(draw.randrange(self.job["connections"]))
        if connection is None:
            return (*LOST, "")
        leaves = draw.random() < 0.003
        if leaves:  # this viewer's own connection is cut with its set-up open
            try:
                _, connection = await asyncio.get_running_loop().create_connection(
                    RtspConnection, "127.0.0.1", broker.port
                )
            except OSError:
                return (*LOST, "")
            asyncio.get_running_loop().call_later(draw.uniform(0.0, 0.03), connection.transport.abort)
        over = asyncio.Event()
        connection.on_session_ended[session] = over.set
        try:
            status, reason, gap_ms = await connection.request(
                "SETUP", "1", session, headers, f"seat={seat}", "aa00"
            )
            if status != 200:
                return status, reason, gap_ms, ""
            if draw.random() < 0.05:
                newer = self.token(seat, viewer, epoch + 1, int(time.time()))
                for turn in range(1 + (draw.random() < 0.2)):
                    renewed, why, _ = await connection.request(
                        "SET_PARAMETER", str(7 + turn), session, {"P-Token": newer}
                    )
                    met["renewed" if renewed == 200 else f"renewal-{why.replace(' ', '-')}"] += 1
            try:
                await asyncio.wait_for(over.wait(), draw.uniform(0.1, 1.0))
                return 200, "", 0, "cut"
            except TimeoutError:
                status, _, _ = await connection.request("TEARDOWN", "2", session, {})
                return (
                    200,
                    "",
                    0,
                    "left" if status == 200 else "lost",
                )  # lost with its broker, who may not know of it
        finally:
            connection.on_session_ended.pop(session, None)

    async def over_http(
        self, broker: Broker, session: str, headers: dict[str, str], token: str, body: str
    ) -> tuple[int, str, int, str]:
        headers = {**headers, "Session": session, "Authorization": f"Bearer {token}"}
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", broker.http)
        except OSError:
            return (*LOST, "")
        try:
            asked = http(reader, writer, "POST", "/media/aa00", headers, body)
            status, text, gap_ms = await asyncio.wait_for(asked, ANSWER_TIMEOUT_S)
            if status != 200:
                return status, text or "refused", gap_ms, ""
            await asyncio.sleep(self.draw.uniform(0.1, 1.0))
            asked = http(reader, writer, "DELETE", f"/sessions/{session}", {}, "")
            status, _, _ = await asyncio.wait_for(asked, ANSWER_TIMEOUT_S)
            return 200, "", 0, "left" if status == 204 else "cut"
        except (OSError, TimeoutError, ValueError, asyncio.IncompleteReadError):
            return (*LOST, "")
        finally:
            writer.close()


async def http(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    method: str,
    path: str,
    headers: dict[str, str],
    body: str,
) -> RtspAnswer:
    """One request on a connection that stays open."""
    lines = [
        f"{method} {path} HTTP/1.1",
        "Host: broker",
        *(f"{name}: {value}" for name, value in headers.items()),
        f"Content-Length: {len(body)}",
        "",
        body,
    ]
    writer.write("\r\n".join(lines).encode("ascii"))
    head = (await reader.readuntil(b"\r\n\r\n")).decode("ascii").split("\r\n")
    told = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in head[1:])}
    text = await reader.readexactly(int(told.get("content-length", "0")))
    return RtspAnswer(
        int(head[0].split(" ")[1]), text.decode("ascii", "replace"), int(told.get("p-gap-ms", "0"))
    )


def main() -> None:
    asyncio.run(Crowd(json.loads(Path(sys.argv[1]).read_text(encoding="utf-8"))).run())


if __name__ == "__main__":
    main()
