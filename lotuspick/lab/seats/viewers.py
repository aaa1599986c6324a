"""Viewers with good tokens: ``python -m lotuspick.lab.seats.viewers JOB``, where ``JOB`` is a JSON file.

They arrive at a stated rate whatever the brokers do, come again after rejections, failures and
interruptions, at the same broker or another of their building, renew while they play, and log one line
each (:class:`ViewerReport`).
"""

from __future__ import annotations

import asyncio
import random
import sys
import time
from collections import Counter
from enum import StrEnum
from pathlib import Path
from typing import NamedTuple, TextIO

import msgspec

from lotuspick.entitlement.model import Seat
from lotuspick.entitlement.tokens import sign
from lotuspick.lab.fleet.site_settings import PAID_CLASS
from lotuspick.lab.rtsp import ANSWER_TIMEOUT_S, LOST, STATUS_OK, RtspAnswer, RtspConnection
from lotuspick.lab.seats.broker_client import BrokerClient, connect_rtsp, send_http_request
from lotuspick.lab.seats.seats_rig import AUDIENCE
from lotuspick.transport.storage.key_folder import KeyFolder

MAX_ATTEMPTS = 40
TIME_LEFT_MS = 3_000
TENANT, TITLE = "law", "aa00"
TOKEN_LIFETIME_S = 9_000
LEAST_PAUSE_MS = 200
PAUSE_SPREAD = (1.0, 1.5)
PLAY_S = (0.1, 1.0)
ABORT_AFTER_S = (0.0, 0.03)
CHANGE_BROKER_PROBABILITY = 0.5
ABORT_PROBABILITY = 0.003
RENEWAL_PROBABILITY = 0.05
SECOND_RENEWAL_PROBABILITY = 0.2
REPLAY_PROBABILITY = 0.02
FIRST_RENEWAL_CSEQ = 7
DOUBTS_PER_TOKEN = 2
"""After so many rejections of a seat in doubt its portal signs anew."""
SEAT_IN_DOUBT = "seat-in-doubt"
SENDS_PER_YIELD = 50
STATUS_NO_CONTENT = 204


class SessionEnd(StrEnum):
    """How a session ended that played."""

    LEFT = "left"
    CUT = "cut"
    """The broker ended it, or its connection was lost."""
    LOST = "lost"
    """It was lost with its broker, who may not know of it."""


class SessionResult(NamedTuple):
    """What became of one attempt of a viewer."""

    answer: RtspAnswer
    end: SessionEnd | None = None
    """None where it did not play."""


LOST_ATTEMPT = SessionResult(LOST)
PLAYED = RtspAnswer(STATUS_OK, "", 0)


class ViewersJob(msgspec.Struct, frozen=True):
    """What the process is asked to do."""

    part: int
    """Which of several such processes it is."""
    seed: int
    sessions: int
    """How many viewers arrive."""
    rate: float
    """Viewers a second."""
    brokers: list[tuple[int, int]]
    """RTSP and HTTP ports."""
    nodes: int
    """Positions on which titles lie."""
    keys: str
    """Folder of the keys by which tokens are signed."""
    http: float
    """Share of the sessions that come over HTTP."""
    connections: int
    """Shared RTSP connections to each broker."""
    log: str


class ViewerReport(NamedTuple):
    """What one viewer met."""

    seat: str
    plays: int
    """How often it was served."""
    took_ms: float
    """From its arrival until it was served first; negative: never."""
    events: Counter[str]
    """Reasons of rejections, interruptions, renewals and replays."""

    def to_line(self) -> str:
        """The line of the log."""
        events = ",".join(f"{name}:{times}" for name, times in sorted(self.events.items())) or "-"
        return f"{self.seat} {self.plays} {self.took_ms:.1f} {events}\n"

    @classmethod
    def parse(cls, line: str) -> ViewerReport:
        """Read a line of the log."""
        seat, plays, took_ms, words = line.rstrip("\n").split(" ", 3)
        events: Counter[str] = Counter()
        for pair in words.split(",") if words != "-" else []:
            name, _, times = pair.rpartition(":")
            events[name] += int(times)
        return cls(seat, int(plays), float(took_ms), events)


class ViewerPopulation:
    """All viewers of one process.

    Buildings have half of the brokers each; a viewer stays in its building.
    """

    def __init__(self, job: ViewersJob, log: TextIO) -> None:
        self.job = job
        self.random = random.Random(f"viewers {job.seed} {job.part}")
        self._log = log
        self._brokers = [BrokerClient(rtsp_port, http_port) for rtsp_port, http_port in job.brokers]
        self._building_size = max(1, len(self._brokers) // 2)
        keys = KeyFolder(Path(job.keys))
        self._key_id = next(iter(keys.load()))
        self._private_key = keys.load_private_key(self._key_id)
        self._session_count = 0

    async def run(self) -> None:
        """Have all viewers arrive in time and wait until they have ended."""
        began_s = time.monotonic()
        viewers: set[asyncio.Task[None]] = set()
        for number in range(self.job.sessions):
            wait_s = began_s + number / self.job.rate - time.monotonic()
            if wait_s > 0:
                await asyncio.sleep(wait_s)
            elif number % SENDS_PER_YIELD == 0:
                await asyncio.sleep(0)  # behind: answers must be read all the same
            viewer = asyncio.create_task(self._run_viewer(number))
            viewers.add(viewer)
            viewer.add_done_callback(viewers.discard)
        while viewers:
            await asyncio.wait(list(viewers))

    async def _run_viewer(self, number: int) -> None:
        report = await Viewer(self, number).run()
        self._log.write(report.to_line())

    def sign_token(self, seat: str, viewer: str, epoch: int) -> str:
        """A good token, valid from now on."""
        now_s = int(time.time())
        entitlement = Seat(
            seat, viewer, TENANT, TITLE, PAID_CLASS, now_s, now_s, now_s + TOKEN_LIFETIME_S, epoch
        )
        return sign(entitlement, AUDIENCE, self._key_id, self._private_key)

    def new_session(self) -> str:
        """The id of another session."""
        self._session_count += 1
        return f"{self.job.part + 1:04x}{self._session_count:012x}"

    def choose_building(self) -> int:
        """Any building."""
        return self.random.randrange(len(self._brokers) // self._building_size)

    def choose_broker(self, building: int) -> BrokerClient:
        """Any broker of a building."""
        return self._brokers[building * self._building_size + self.random.randrange(self._building_size)]


class Viewer:
    """One viewer, with one seat, from its arrival until it has played or has given up."""

    def __init__(self, population: ViewerPopulation, number: int) -> None:
        job = population.job
        self._population = population
        self._job = job
        self._random = population.random
        self._seat = f"{job.part}-{number}"
        self._name = f"{job.part:04x}{number:012x}"
        self._building = population.choose_building()
        self._epoch = 0
        self._token = population.sign_token(self._seat, self._name, self._epoch)
        self._broker = population.choose_broker(self._building)
        self._events: Counter[str] = Counter()
        self._plays = 0
        self._took_ms = -1.0

    async def run(self) -> ViewerReport:
        """Come until the session has played to its end, or attempts are used up."""
        began_s = time.monotonic()
        result = LOST_ATTEMPT
        for attempt in range(MAX_ATTEMPTS):
            result = await self._attempt(returned=attempt > 0)
            self._record(result, began_s)
            if result.end in (SessionEnd.LEFT, SessionEnd.LOST):
                break
            self._renew_doubted_token(result.answer.reason)
            pause_ms = max(result.answer.retry_after_ms, LEAST_PAUSE_MS)
            await asyncio.sleep(pause_ms / 1_000 * self._random.uniform(*PAUSE_SPREAD))
            if self._random.random() < CHANGE_BROKER_PROBABILITY:
                self._broker = self._population.choose_broker(self._building)
        if result.end is SessionEnd.LEFT and self._random.random() < REPLAY_PROBABILITY:
            replay = await self._attempt(returned=False)  # the same token, after its session has ended
            self._events[f"replay-{replay.answer.status}"] += 1
        return ViewerReport(self._seat, self._plays, self._took_ms, self._events)

    def _record(self, result: SessionResult, began_s: float) -> None:
        if result.answer.status != STATUS_OK:
            self._events[result.answer.reason.replace(" ", "-")] += 1
            return
        self._plays += 1
        if self._took_ms < 0:
            self._took_ms = (time.monotonic() - began_s) * 1_000
        if result.end is SessionEnd.CUT:
            self._events[SessionEnd.CUT] += 1

    def _renew_doubted_token(self, reason: str) -> None:
        """After some rejections of a seat in doubt, come with a token of the next epoch."""
        if reason == SEAT_IN_DOUBT and self._events[SEAT_IN_DOUBT] % DOUBTS_PER_TOKEN == 0:
            self._epoch += 1
            self._token = self._population.sign_token(self._seat, self._name, self._epoch)

    async def _attempt(self, returned: bool) -> SessionResult:
        """One session, over HTTP or RTSP."""
        session = self._population.new_session()
        suffix = ";again:1" if returned else ""
        home = self._random.randrange(self._job.nodes)
        headers = {
            "P-Kind": PAID_CLASS,
            "P-Time-Left": str(TIME_LEFT_MS),
            "P-Path": f"home:{home};copies:3;top:2;viewer:{self._name}{suffix}",
            "X-Length": "20000.0",
            "P-Billed": TENANT,
        }
        if self._random.random() < self._job.http:
            return await self._attempt_http(session, headers)
        return await self._attempt_rtsp(session, {**headers, "P-Token": self._token})

    # ---- RTSP ---------------------------------------------------------------------------------------------

    async def _attempt_rtsp(self, session: str, headers: dict[str, str]) -> SessionResult:
        connection = await self._connection()
        if connection is None:
            return LOST_ATTEMPT
        ended = asyncio.Event()
        connection.on_session_ended[session] = ended.set
        try:
            answer = await connection.request("SETUP", "1", session, headers, f"seat={self._seat}", TITLE)
            if answer.status != STATUS_OK:
                return SessionResult(answer)
            if self._random.random() < RENEWAL_PROBABILITY:
                await self._renew(connection, session)
            return SessionResult(PLAYED, await self._play(connection, session, ended))
        finally:
            connection.on_session_ended.pop(session, None)

    async def _connection(self) -> RtspConnection | None:
        """A shared connection, or one of the viewer's own that will be aborted with its set-up open."""
        connection = await self._broker.connection(self._random.randrange(self._job.connections))
        if connection is None or self._random.random() >= ABORT_PROBABILITY:
            return connection
        own_connection = await connect_rtsp(self._broker.rtsp_port)
        if own_connection is not None:
            abort_after_s = self._random.uniform(*ABORT_AFTER_S)
            asyncio.get_running_loop().call_later(abort_after_s, own_connection.transport.abort)
        return own_connection

    async def _renew(self, connection: RtspConnection, session: str) -> None:
        """Renew with a token of the next epoch, sometimes twice with the same one."""
        token = self._population.sign_token(self._seat, self._name, self._epoch + 1)
        renewals = 2 if self._random.random() < SECOND_RENEWAL_PROBABILITY else 1
        for turn in range(renewals):
            cseq = str(FIRST_RENEWAL_CSEQ + turn)
            answer = await connection.request("SET_PARAMETER", cseq, session, {"P-Token": token})
            event = "renewed" if answer.status == STATUS_OK else f"renewal-{answer.reason.replace(' ', '-')}"
            self._events[event] += 1

    async def _play(self, connection: RtspConnection, session: str, ended: asyncio.Event) -> SessionEnd:
        try:
            await asyncio.wait_for(ended.wait(), self._random.uniform(*PLAY_S))
        except TimeoutError:
            answer = await connection.request("TEARDOWN", "2", session, {})
            return SessionEnd.LEFT if answer.status == STATUS_OK else SessionEnd.LOST
        return SessionEnd.CUT

    # ---- HTTP ---------------------------------------------------------------------------------------------

    async def _attempt_http(self, session: str, headers: dict[str, str]) -> SessionResult:
        headers = {**headers, "Session": session, "Authorization": f"Bearer {self._token}"}
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self._broker.http_port)
        except OSError:
            return LOST_ATTEMPT
        try:
            set_up = send_http_request(
                reader, writer, "POST", f"/media/{TITLE}", headers, f"seat={self._seat}"
            )
            answer = await asyncio.wait_for(set_up, ANSWER_TIMEOUT_S)
            if answer.status != STATUS_OK:
                return SessionResult(answer._replace(reason=answer.reason or "refused"))
            await asyncio.sleep(self._random.uniform(*PLAY_S))
            release = send_http_request(reader, writer, "DELETE", f"/sessions/{session}", {}, "")
            released = await asyncio.wait_for(release, ANSWER_TIMEOUT_S)
            left = released.status == STATUS_NO_CONTENT
            return SessionResult(PLAYED, SessionEnd.LEFT if left else SessionEnd.CUT)
        except (OSError, TimeoutError, ValueError, asyncio.IncompleteReadError):
            return LOST_ATTEMPT
        finally:
            writer.close()


async def _run(job: ViewersJob, log: TextIO) -> None:
    await ViewerPopulation(job, log).run()


def main() -> None:
    """Run the job that the command line names."""
    job = msgspec.json.decode(Path(sys.argv[1]).read_bytes(), type=ViewersJob)
    with Path(job.log).open("w", encoding="ascii") as log:
        asyncio.run(_run(job, log))


if __name__ == "__main__":
    main()
