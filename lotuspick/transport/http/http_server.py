"""The HTTP server for viewers, with CMCD hints; it uses the same dispatcher and rules as RTSP.

    POST /media/TITLE       sets up a session; headers as in an RTSP SETUP, the description as body
    POST /sessions/ID       sends CMCD of a session that plays
    GET /sessions/ID        waits for the end of a session: 410 once it has ended, 204 after 20 s
    DELETE /sessions/ID     cancels a set-up, or ends a session
    PUT /sessions/ID/token  renews the token of a session, if seats are enabled: 204, or 403 with the reason
    GET /ready              200 once the broker accepts set-ups, else 503

A rejection is 503 with Retry-After, or 403 if the same token never becomes valid; its body is the reason. A
failure is 500. Malformed input is 400 with the name of the malformed key. A token is sent as P-Token or as a
bearer token.
"""

from __future__ import annotations

import logging
from collections import OrderedDict
from collections.abc import Callable
from typing import TYPE_CHECKING, Any
from urllib.parse import unquote

from twisted.web import http, server
from twisted.web.resource import Resource

from lotuspick.core.events import SessionPlaying
from lotuspick.protocol import cmcd, rtsp
from lotuspick.protocol.errors import MAX_MESSAGE_BYTES, ProtocolError, parse_session_id
from lotuspick.routing.messages import (
    HintReceived,
    InboundMessage,
    SessionCancelled,
    SessionRequested,
)
from lotuspick.routing.termination import TerminationReason
from lotuspick.transport.http.bounded_site import BoundedSite
from lotuspick.transport.http.http_player import HttpPlayer, respond
from lotuspick.transport.sockets import Reactor, now_us, peer_address

if TYPE_CHECKING:
    from lotuspick.entitlement.renewal import RenewalRejection, RenewToken

log = logging.getLogger(__name__)

SETUP_HEADERS = (
    "session",
    "p-kind",
    "p-time-left",
    "p-path",
    "p-second-try",
    "x-length",
    "p-billed",
    rtsp.TOKEN_HEADER,
)
ENDED_LIMIT = 4_096  # ended sessions whose reason is kept for later requests
END_WAIT_S = 20.0  # maximum wait of a request for the end of a session
BEARER = "Bearer "
RESPONDS_LATER = 0  # in place of a status: the response follows later, or is already written
LOGGED_PATH_CHARS = 60


class HttpServer:
    """The players of all sessions that were requested over HTTP, by session id."""

    def __init__(
        self,
        reactor: Reactor,
        post: Callable[[InboundMessage], None],
        ready: Callable[[], bool],
        set_up_limits: rtsp.SetUpLimits,
        renew: RenewToken | None = None,
        earliest_arrival_us: Callable[[], int] = now_us,
    ) -> None:
        self.earliest_arrival_us = earliest_arrival_us
        self.reactor, self.post, self.ready, self.set_up_limits, self.renew = (
            reactor,
            post,
            ready,
            set_up_limits,
            renew,
        )
        self.players: dict[str, HttpPlayer] = {}
        self.ended: OrderedDict[str, TerminationReason] = OrderedDict()

    def site(self, connection_limit: int) -> BoundedSite:
        """Create the Twisted site that serves the players."""
        return BoundedSite(SessionResource(self), connection_limit, self.reactor)

    def session_ended(self, player: HttpPlayer, reason: TerminationReason) -> None:
        """Remove the player of an ended set-up or session, and answer the requests that wait for its end."""
        if self.players.get(player.session) is not player:
            return
        del self.players[player.session]
        self.ended[player.session] = reason
        while len(self.ended) > ENDED_LIMIT:
            self.ended.popitem(last=False)
        requests, player.end_requests = player.end_requests, []
        for request in requests:
            respond(request, http.GONE, reason.value.encode())


class SessionResource(Resource):
    """Serves all paths of this server."""

    isLeaf = True

    def __init__(self, http_server: HttpServer) -> None:
        super().__init__()
        self.http_server = http_server

    def render(self, request: Any) -> Any:
        """Serve one request (Twisted's callback)."""
        method, path = request.method.decode("ascii", "replace"), request.path.decode("ascii", "replace")
        try:
            status = self._route(request, method, path)
        except ProtocolError as error:
            log.info(
                "player_request_malformed", extra={"path": path[:LOGGED_PATH_CHARS], "error": str(error)}
            )
            respond(request, http.BAD_REQUEST, str(error).encode())
            return server.NOT_DONE_YET
        if status != RESPONDS_LATER:
            respond(request, status)
        return server.NOT_DONE_YET

    def _route(self, request: Any, method: str, path: str) -> int:
        if request.too_long:
            raise ProtocolError(f"body holds over {MAX_MESSAGE_BYTES} bytes")
        match method, path.split("/")[1:]:
            case "GET", ["ready"]:
                return http.OK if self.http_server.ready() else http.SERVICE_UNAVAILABLE
            case "POST", ["media", title] if title:
                return self._set_up(request, unquote(title))
            case "POST", ["sessions", text]:
                return self._hint(request, parse_session_id(text))
            case "PUT", ["sessions", text, "token"]:
                return self._renew(request, parse_session_id(text))
            case "GET", ["sessions", text]:
                return self._wait_for_end(request, parse_session_id(text))
            case "DELETE", ["sessions", text]:
                return self._end_session(parse_session_id(text))
        return http.NOT_FOUND

    # ---- set-up and hints ---------------------------------------------------------------------------------

    def _set_up(self, request: Any, title: str) -> int:
        hint_keys = self._cmcd(request)
        if not title.isascii() or not title.isprintable() or " " in title:
            raise ProtocolError("title is not printable ASCII")
        message = rtsp.Message(
            "SETUP",
            rtsp.BASE_URL + title,
            body=request.content.read(),
            headers={name: header(request, name) for name in SETUP_HEADERS if has_header(request, name)}
            | (bearer_token(request) if self.http_server.renew else {}),
        )
        session = message.session
        requested = rtsp.parse_set_up(
            message,
            self.http_server.earliest_arrival_us(),
            self.http_server.set_up_limits,
            source=peer_address(request.transport),
        )
        if isinstance(requested.request, SessionPlaying):
            raise ProtocolError("P-Path at is not taken here")
        if session in self.http_server.players:
            raise ProtocolError("Session is in use")
        player = HttpPlayer(self.http_server, session, request)
        self.http_server.players[session] = player
        self.http_server.post(SessionRequested(requested.request, requested.description, player))
        self._post_hint(session, hint_keys)
        return RESPONDS_LATER

    def _hint(self, request: Any, session: str) -> int:
        hint_keys = self._cmcd(request)
        if session not in self.http_server.players:
            return self._absent_status(session)
        self._post_hint(session, hint_keys)
        return http.NO_CONTENT

    def _cmcd(self, request: Any) -> dict[str, Any]:
        headers = {name: header(request, name) for name in cmcd.HEADERS if has_header(request, name)}
        queries = request.args.get(cmcd.QUERY.encode(), [])
        if len(queries) > 1:
            raise ProtocolError(f"{cmcd.QUERY} is given twice")
        return cmcd.parse_keys(headers, queries[0].decode("utf-8", "replace") if queries else None)

    def _post_hint(self, session: str, hint_keys: dict[str, Any]) -> None:
        hint = cmcd.to_player_hint(session, hint_keys)
        if hint is not None:
            self.http_server.post(HintReceived(hint))

    # ---- existing sessions --------------------------------------------------------------------------------

    def _absent_status(self, session: str) -> int:
        return http.GONE if session in self.http_server.ended else http.NOT_FOUND

    def _renew(self, request: Any, session: str) -> int:
        if self.http_server.renew is None or session not in self.http_server.players:
            return self._absent_status(session)
        token = bearer_token(request).get(rtsp.TOKEN_HEADER) or (
            header(request, rtsp.TOKEN_HEADER) if has_header(request, rtsp.TOKEN_HEADER) else ""
        )

        def on_renewed(rejection: RenewalRejection | None) -> None:
            if rejection is None:
                respond(request, http.NO_CONTENT)
                return
            status = http.FORBIDDEN if rejection.token_is_invalid else http.SERVICE_UNAVAILABLE
            respond(request, status, rejection.text.encode())

        self.http_server.renew(session, token, on_renewed)
        return RESPONDS_LATER

    def _wait_for_end(self, request: Any, session: str) -> int:
        player = self.http_server.players.get(session)
        if player is None:
            if session not in self.http_server.ended:
                return http.NOT_FOUND
            respond(request, http.GONE, self.http_server.ended[session].value.encode())
            return RESPONDS_LATER
        player.end_requests.append(request)

        def on_timeout() -> None:
            if request in player.end_requests:
                player.end_requests.remove(request)
                respond(request, http.NO_CONTENT)

        def on_finished(_: object) -> None:
            if request in player.end_requests:
                player.end_requests.remove(request)
            if timer.active():
                timer.cancel()

        timer = self.http_server.reactor.callLater(END_WAIT_S, on_timeout)
        request.notifyFinish().addBoth(on_finished)
        return RESPONDS_LATER

    def _end_session(self, session: str) -> int:
        player = self.http_server.players.get(session)
        if player is None:
            return self._absent_status(session)
        self.http_server.post(SessionCancelled(session))
        if player.request is not None:  # the dispatcher does not answer a cancelled set-up, HTTP must
            player.rejected(session, 0)
        else:
            self.http_server.session_ended(player, TerminationReason.REVOKED)
        return http.NO_CONTENT


def has_header(request: Any, name: str) -> bool:
    """Whether a request has a header."""
    return bool(request.requestHeaders.hasHeader(name.encode()))


def header(request: Any, name: str) -> str:
    """The value of a header as text.

    Raises:
        ProtocolError: the header does not occur exactly once, or is not ASCII.
    """
    values = request.requestHeaders.getRawHeaders(name.encode(), [])
    if len(values) != 1:
        raise ProtocolError(f"{name} is given twice")
    try:
        text: str = values[0].decode("ascii")
    except UnicodeDecodeError as error:
        raise ProtocolError(f"{name} is not ASCII") from error
    return text


def bearer_token(request: Any) -> dict[str, str]:
    """The bearer token (RFC 6750) of a request, keyed by the name of the token header; empty if none."""
    if not has_header(request, "authorization"):
        return {}
    text = header(request, "authorization")
    if not text.startswith(BEARER) or has_header(request, rtsp.TOKEN_HEADER):
        raise ProtocolError("Authorization must be Bearer, and the only token")
    return {rtsp.TOKEN_HEADER: text[len(BEARER) :].strip()}
