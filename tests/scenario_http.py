"""Actors that serve HTTP: the coordinator, and media nodes."""

from __future__ import annotations

import http.server
import json
import queue
import threading
import time
from typing import TYPE_CHECKING, Any
from urllib.parse import parse_qs, urlsplit

from scenario_actor import PATIENCE, Actor, name, number

if TYPE_CHECKING:
    from scenario import World


class HttpActor(Actor):
    """A server of HTTP, its answers given by ``answer``."""

    def __init__(self, world: World, label: str) -> None:
        super().__init__(world, label)
        actor = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *_: Any) -> None:
                pass

            def handle_any(self) -> None:
                body = self.rfile.read(int(self.headers.get("content-length", 0)))
                url = urlsplit(self.path)
                query = {key: values[0] for key, values in parse_qs(url.query).items()}
                status, headers, answer = actor.answer(self.command, url.path, query, body)
                if not status:
                    self.close_connection = True
                    return
                self.send_response(status)
                for key, value in {"Content-Length": str(len(answer)), **headers}.items():
                    self.send_header(key, value)
                self.end_headers()
                self.wfile.write(answer)

            do_GET = do_POST = do_PUT = do_DELETE = handle_any

        class Server(http.server.ThreadingHTTPServer):
            def handle_error(self, *_: Any) -> None:
                pass

        self.server = Server(("127.0.0.1", 0), Handler)
        self.address = f"127.0.0.1:{self.server.server_address[1]}"
        self.server.daemon_threads = True
        threading.Thread(target=self.server.serve_forever, args=(0.05,), daemon=True).start()
        self.events: list[Any] = []
        self.news = threading.Condition()

    def poll(self, after: int, wait_ms: int) -> tuple[list[Any], int]:
        with self.news:
            self.news.wait_for(lambda: len(self.events) > after, wait_ms / 1000)
            return self.events[after:], len(self.events)

    def tell(self, event: Any) -> None:
        with self.news:
            self.events.append(event)
            self.news.notify_all()

    def answer(self, method: str, path: str, query: dict[str, str], body: bytes) -> tuple[int, dict, bytes]:
        raise NotImplementedError

    def close(self, how: str = "") -> None:
        self.server.shutdown()
        self.server.server_close()


class Coordinator(HttpActor):
    """``c send e0 state=draining`` tells news, and ``c expect FOLLOWED follow=2`` waits until the broker has it; ``c close`` breaks off, ``c close quiet`` falls silent, ``c close 40``
    stops after 40 bytes of its next news and stays open."""

    quiet = False
    cut_short = 0  # so many bytes of a next answer go out, and then nothing more

    def __init__(self, world: World, label: str) -> None:
        self.follows: queue.Queue[str] = queue.Queue()  # apart: most scenarios don't care
        super().__init__(world, label)

    def expect(self, kind: str, session: str, fields: dict[str, str]) -> None:
        if kind != "FOLLOWED":
            super().expect(kind, session, fields)
            return
        try:
            while self.follows.get(timeout=PATIENCE) != fields["follow"]:
                pass
        except queue.Empty:
            raise AssertionError(f"nobody follows from {fields['follow']} on") from None

    def answer(self, method: str, path: str, query: dict[str, str], body: bytes) -> tuple[int, dict, bytes]:
        self.follows.put(query["follow"])
        if self.quiet:
            self.heard.put(("ASKED", "", query))
            time.sleep(PATIENCE)
            return 0, {}, b""
        events, last = self.poll(int(query["follow"]), int(query["wait_ms"]))
        body = json.dumps({"index": last, "updates": events}).encode()
        if self.cut_short and events:
            cut, self.cut_short = self.cut_short, 0
            return 200, {"Content-Length": str(len(body))}, body[:cut]
        return 200, {}, body

    def update(self, full: bool, servers: list[Any]) -> None:
        self.tell(
            {"index": len(self.events) + 1, "endpoints": {"version": 1, "full": full, "servers": servers}}
        )

    def send(self, kind: str, session: str, fields: dict[str, str]) -> None:
        entry = self.world.entry(kind, fields["state"], fields.get("address", kind))
        if "started" in fields:
            opened = fields["started"] == "open"  # when it last began to take connections; else now
            entry["started_ms"] = self.world.actors[kind].opened_ms if opened else int(time.time() * 1_000)
        self.update(False, [entry])

    def close(self, how: str = "") -> None:
        if how == "quiet":
            self.quiet = True
        elif how.isdigit():
            self.cut_short = int(how)
        else:
            super().close()


class Node(HttpActor):
    """An HTTP media node: ``n0 expect SETUP s1``, then ``n0 send 200 body=x etp=4000``; events go by themselves."""

    def __init__(self, world: World, label: str) -> None:
        self.answers: queue.Queue[tuple[int, dict, bytes]] = queue.Queue()
        super().__init__(world, label)
        self.cmsd: dict[str, str] = {}

    def answer(self, method: str, path: str, query: dict[str, str], body: bytes) -> tuple[int, dict, bytes]:
        if path == "/events":
            events, last = self.poll(int(query["after"]), int(query["wait_ms"]))
            return 200, self.cmsd, json.dumps({"index": last, "events": events}).encode()
        kind = {"POST": "SETUP", "PUT": "RUNG", "DELETE": "RELEASE"}[method]
        self.heard.put((kind, name(path.rpartition("/")[2]), {**query, "body": body.decode()}))
        return self.answers.get(timeout=PATIENCE) if kind == "SETUP" else (204, {}, b"")

    def send(self, kind: str, session: str, fields: dict[str, str]) -> None:
        if "etp" in fields:
            self.cmsd = {"CMSD-Dynamic": f'"s-{self.label}";etp={fields["etp"]}'}
        if kind == "OVER":
            self.tell({"session": number(session), "over": fields["how"]})
        elif kind == "NOTE":
            self.tell({"session": number(session), "note": fields["topic"], "value": float(fields["figure"])})
        else:
            self.answers.put((int(kind), self.cmsd, fields.get("body", "").encode()))
