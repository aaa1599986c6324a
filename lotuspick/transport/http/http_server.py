"""The second front: HTTP with CMCD hints, on the same loop and under the same rules as RTSP.

    POST /media/TITLE       a set-up, with the fields of an RTSP one as headers and the description as body
    POST /sessions/ID       CMCD of a session that plays
    GET /sessions/ID        waits for the end of a session: 410 when it is over, 204 when nothing came
    DELETE /sessions/ID     gives a set-up up, or ends a session
    PUT /sessions/ID/token  renews the token of a session that plays, where seats are on: 204, or 403 and why
    GET /ready              200 once the broker takes set-ups, else 503

Refusals are 503 with Retry-After, or 403 where the same token is never good; what failed is 500, and malformed input is
400 with the key at fault. A guide's reason for a refusal is the body. A token is sent as P-Token or as a bearer's.
"""

from __future__ import annotations

import logging
import math
from collections import OrderedDict
from collections.abc import Callable
from typing import Any
from urllib.parse import unquote

from twisted.python.failure import Failure
from twisted.web import http, server
from twisted.web.resource import Resource

from lotuspick.core.events import SessionPlaying
from lotuspick.protocol import cmcd, rtsp
from lotuspick.protocol.errors import MOST_BYTES, ProtocolError, session_id
from lotuspick.routing.interfaces import RenewToken
from lotuspick.routing.messages import (
    HintReceived,
    InboundMessage,
    SessionCancelled,
    SessionRequested,
    ViewerConnectionClosed,
)
from lotuspick.routing.termination import TerminationReason
from lotuspick.transport.sockets import Reactor, now_us

log = logging.getLogger(__name__)

FIELDS = ("session", "p-kind", "p-time-left", "p-path", "p-second-try", "x-length", "p-billed", rtsp.TOKEN)
MOST_ENDED = 4_096  # sessions that are over and may still be asked about
WAIT_S = 20.0  # longest wait for an end
IDLE_S = 60.0
SERVED, NOTHING, BAD, FORBIDDEN, MISSING, GONE, BUSY, FAILED = 200, 204, 400, 403, 404, 410, 503, 500
BEARER = "Bearer "


class BoundedRequest(server.Request):
    """A request whose body keeps to the bound."""

    def gotLength(self, length: int | None) -> None:
        self.too_long = length is not None and length > MOST_BYTES
        self.body_size = 0
        super().gotLength(0 if self.too_long else length)

    def handleContentChunk(self, data: bytes) -> None:
        self.body_size += len(data)
        if self.too_long or self.body_size > MOST_BYTES:
            self.too_long = True
            return  # passed over; the answer says so
        super().handleContentChunk(data)


class HttpPlayer:
    """One session's viewer: it outlives the request that asked for it."""

    def __init__(self, front: HttpServer, session: str, request: Any) -> None:
        self.front, self.session = front, session
        self.request: Any = request
        self.is_open, self.last_message_us = True, 0
        self.stands = False
        self.waiting: list[Any] = []  # requests that wait for the end
        request.notifyFinish().addErrback(self._left)

    def _left(self, reason: Failure) -> None:
        """The connection closed before the answer: the set-up is given up."""
        if self.request is not None:
            self.request, self.is_open = None, False
            self.front.over(self, TerminationReason.CANCELLED_BY_VIEWER)
            self.front.post(ViewerConnectionClosed(self))

    def _answer(self, status: int, body: bytes = b"", gap_ms: int | None = None) -> None:
        request, self.request = self.request, None
        if request is None:
            return
        if gap_ms is not None:
            request.setHeader("retry-after", str(max(1, math.ceil(gap_ms / 1_000))))
            if gap_ms > 0:
                request.setHeader("p-gap-ms", str(gap_ms))
        finish(request, status, body)

    def served(self, session: str, description: bytes) -> None:
        self.stands = True
        self._answer(SERVED, description)

    def rejected(self, session: str, gap_ms: int, why: str = "") -> None:
        if why.startswith("token-"):
            self._answer(FORBIDDEN, why.encode())
        else:
            self._answer(BUSY, why.encode(), gap_ms)
        self.front.over(self, TerminationReason.REJECTED_BY_SERVER)

    def failed(self, session: str, why: str = "") -> None:
        self._answer(FAILED, why.encode())
        self.front.over(self, TerminationReason.SERVER_ERROR)

    def close_with_error(self, why: str) -> None:
        """An id in use is turned away before it gets as far as the loop."""

    def released(self, session: str, ending: TerminationReason) -> None:
        self.front.over(self, ending)


class HttpServer:
    """All players of this front, by session."""

    def __init__(
        self,
        reactor: Reactor,
        post: Callable[[InboundMessage], None],
        ready: Callable[[], bool],
        terms: rtsp.Terms,
        renew: RenewToken | None = None,
    ) -> None:
        self.reactor, self.post, self.ready, self.terms, self.renew = reactor, post, ready, terms, renew
        self.players: dict[str, HttpPlayer] = {}
        self.ended: OrderedDict[str, TerminationReason] = OrderedDict()

    def site(self, most: int) -> BoundedSite:
        site = BoundedSite(SessionResource(self), most)
        site.requestFactory = BoundedRequest
        return site

    def over(self, player: HttpPlayer, ending: TerminationReason) -> None:
        """A set-up or session has ended; whoever waits for that hears it now."""
        if self.players.get(player.session) is not player:
            return
        del self.players[player.session]
        self.ended[player.session] = ending
        while len(self.ended) > MOST_ENDED:
            self.ended.popitem(last=False)
        waiting, player.waiting = player.waiting, []
        for request in waiting:
            finish(request, GONE, ending.value.encode())


class BoundedChannel(http.HTTPChannel):
    """One connection. Guards against a leave that is not seen: with as much waiting behind a request as Twisted takes,
    it stops to read, and hears of no end until that request is answered. Who sends so much on loses the connection."""

    _handlingRequest: bool
    _dataBuffer: list[bytes]

    def dataReceived(self, data: bytes) -> None:
        super().dataReceived(data)
        if self._handlingRequest and sum(map(len, self._dataBuffer)) > MOST_BYTES:
            self.forceAbortClient()


class BoundedSite(server.Site):
    """Closes what comes over the bound on connections."""

    noisy = False
    displayTracebacks = False
    protocol: Any = BoundedChannel

    def __init__(self, tree: Resource, most: int) -> None:
        super().__init__(tree, timeout=IDLE_S)
        self.most, self.channels = most, set[Any]()

    @property
    def descriptors(self) -> list[int]:
        """The sockets of all connections."""
        return [channel.transport.fileno() for channel in self.channels if channel.transport is not None]

    def log(self, request: object) -> None:
        """No access log: what matters is logged where it happens."""

    def buildProtocol(self, addr: object) -> Any:
        if len(self.channels) >= self.most:
            return None
        channel: Any = super().buildProtocol(addr)
        self.channels.add(channel)
        lost = channel.connectionLost

        def counted(reason: Failure) -> None:
            self.channels.discard(channel)
            lost(reason)

        channel.connectionLost = counted
        return channel


class SessionResource(Resource):
    """Every path of this front."""

    isLeaf = True

    def __init__(self, front: HttpServer) -> None:
        super().__init__()
        self.front = front

    def render(self, request: Any) -> Any:
        method, path = request.method.decode("ascii", "replace"), request.path.decode("ascii", "replace")
        try:
            if request.too_long:
                raise ProtocolError(f"body holds over {MOST_BYTES} bytes")
            match method, path.split("/")[1:]:
                case "GET", ["ready"]:
                    status = SERVED if self.front.ready() else BUSY
                case "POST", ["media", title] if title:
                    status = self._set_up(request, unquote(title))
                case "POST", ["sessions", text]:
                    status = self._hint(request, session_id(text))
                case "PUT", ["sessions", text, "token"]:
                    status = self._renew(request, session_id(text))
                case "GET", ["sessions", text]:
                    status = self._wait(request, session_id(text))
                case "DELETE", ["sessions", text]:
                    status = self._drop(session_id(text))
                case _:
                    status = MISSING
        except ProtocolError as fault:
            log.info("malformed request from a player", extra={"path": path[:60], "fault": str(fault)})
            finish(request, BAD, str(fault).encode())
            return server.NOT_DONE_YET
        if status:
            finish(request, status)
        return server.NOT_DONE_YET

    def _cmcd(self, request: Any) -> dict[str, Any]:
        headers = {name: header(request, name) for name in cmcd.HEADERS if has(request, name)}
        queries = request.args.get(cmcd.QUERY.encode(), [])
        if len(queries) > 1:
            raise ProtocolError(f"{cmcd.QUERY} is given twice")
        return cmcd.read(headers, queries[0].decode("utf-8", "replace") if queries else None)

    def _set_up(self, request: Any, title: str) -> int:
        keys = self._cmcd(request)
        if not title.isascii() or not title.isprintable() or " " in title:
            raise ProtocolError("title is not printable ASCII")
        message = rtsp.Message(
            "SETUP",
            rtsp.BASE + title,
            body=request.content.read(),
            headers={name: header(request, name) for name in FIELDS if has(request, name)}
            | (bearer(request) if self.front.renew else {}),
        )
        session = message.session
        asked = rtsp.read_set_up(message, now_us(), self.front.terms)
        if isinstance(asked.request, SessionPlaying):
            raise ProtocolError("P-Path at is not taken here")
        if session in self.front.players:
            raise ProtocolError("Session is in use")
        player = HttpPlayer(self.front, session, request)
        self.front.players[session] = player
        self.front.post(SessionRequested(asked.request, asked.description, player))
        self._tell(session, keys)
        return 0

    def _hint(self, request: Any, session: str) -> int:
        keys = self._cmcd(request)
        if session not in self.front.players:
            return GONE if session in self.front.ended else MISSING
        self._tell(session, keys)
        return NOTHING

    def _tell(self, session: str, keys: dict[str, Any]) -> None:
        hint = cmcd.hint(session, keys)
        if hint is not None:
            self.front.post(HintReceived(hint))

    def _renew(self, request: Any, session: str) -> int:
        if self.front.renew is None or session not in self.front.players:
            return GONE if session in self.front.ended else MISSING
        token = bearer(request).get(rtsp.TOKEN) or (
            header(request, rtsp.TOKEN) if has(request, rtsp.TOKEN) else ""
        )
        self.front.renew(
            session,
            token,
            lambda fault: finish(
                request,
                (FORBIDDEN if fault.startswith("token-") else BUSY) if fault else NOTHING,
                fault.encode(),
            ),
        )
        return 0

    def _wait(self, request: Any, session: str) -> int:
        player = self.front.players.get(session)
        if player is None:
            if session not in self.front.ended:
                return MISSING
            finish(request, GONE, self.front.ended[session].value.encode())
            return 0
        player.waiting.append(request)

        def too_long() -> None:
            if request in player.waiting:
                player.waiting.remove(request)
                finish(request, NOTHING)

        def finished(_: object) -> None:
            if request in player.waiting:
                player.waiting.remove(request)
            if call.active():
                call.cancel()

        call = self.front.reactor.callLater(WAIT_S, too_long)
        request.notifyFinish().addBoth(finished)
        return 0

    def _drop(self, session: str) -> int:
        player = self.front.players.get(session)
        if player is None:
            return GONE if session in self.front.ended else MISSING
        self.front.post(SessionCancelled(session))
        if player.request is not None:  # nothing is owed for a set-up given up, but its request wants an end
            player.rejected(session, 0)
        else:
            self.front.over(player, TerminationReason.REVOKED)
        return NOTHING


def has(request: Any, name: str) -> bool:
    return bool(request.requestHeaders.hasHeader(name.encode()))


def bearer(request: Any) -> dict[str, str]:
    """The token of a request that sends it as RFC 6750 has it, under the name that this project gives it."""
    if not has(request, "authorization"):
        return {}
    text = header(request, "authorization")
    if not text.startswith(BEARER) or has(request, rtsp.TOKEN):
        raise ProtocolError("Authorization must be Bearer, and the only token")
    return {rtsp.TOKEN: text[len(BEARER) :].strip()}


def header(request: Any, name: str) -> str:
    """A header of a request as text; given twice it is a fault."""
    values = request.requestHeaders.getRawHeaders(name.encode(), [])
    if len(values) != 1:
        raise ProtocolError(f"{name} is given twice")
    try:
        text: str = values[0].decode("ascii")
    except UnicodeDecodeError:
        raise ProtocolError(f"{name} is not ASCII") from None
    return text


def finish(request: Any, status: int, body: bytes = b"") -> None:
    """Write the whole answer, if anyone is there to read it."""
    if request._disconnected or request.finished:
        return
    request.setResponseCode(status)
    request.setHeader("content-type", "application/sdp" if status == SERVED else "text/plain")
    request.setHeader("cache-control", "no-store")
    if status == NOTHING or request.method == b"HEAD":
        body = b""
    else:
        request.setHeader("content-length", str(len(body)))
    request.write(body)
    request.finish()
