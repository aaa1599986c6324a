"""Client side of a viewer: shared RTSP connections and HTTP requests."""

from __future__ import annotations

import asyncio

from lotuspick.lab.rtsp import RtspAnswer, RtspConnection, parse_headers


async def connect_rtsp(port: int) -> RtspConnection | None:
    """Open a dedicated RTSP connection; return None if the broker does not accept it."""
    loop = asyncio.get_running_loop()
    try:
        _, connection = await loop.create_connection(RtspConnection, "127.0.0.1", port)
    except OSError:
        return None
    return connection


class BrokerClient:
    """Client of one broker: a few RTSP connections, reopened after a loss, and an HTTP port."""

    def __init__(self, rtsp_port: int, http_port: int) -> None:
        self.rtsp_port = rtsp_port
        self.http_port = http_port
        self._connections: dict[int, RtspConnection] = {}
        self._locks: dict[int, asyncio.Lock] = {}

    async def connection(self, index: int) -> RtspConnection | None:
        """Return a shared connection, opened if necessary; None if the broker does not accept it."""
        if (connection := self._open_connection(index)) is not None:
            return connection
        async with self._locks.setdefault(index, asyncio.Lock()):
            if (connection := self._open_connection(index)) is not None:
                return connection  # another viewer opened it meanwhile
            connection = await connect_rtsp(self.rtsp_port)
            if connection is not None:
                self._connections[index] = connection
            return connection

    def _open_connection(self, index: int) -> RtspConnection | None:
        connection = self._connections.get(index)
        return connection if connection is not None and connection.connected else None


async def send_http_request(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    method: str,
    path: str,
    headers: dict[str, str],
    body: str,
) -> RtspAnswer:
    """Send one request on a persistent connection; the answer's ``reason`` is the response body."""
    lines = [
        f"{method} {path} HTTP/1.1",
        "Host: broker",
        *(f"{name}: {value}" for name, value in headers.items()),
        f"Content-Length: {len(body)}",
        "",
        body,
    ]
    writer.write("\r\n".join(lines).encode("ascii"))
    status_line, *header_lines = (await reader.readuntil(b"\r\n\r\n")).decode("ascii").split("\r\n")
    response_headers = parse_headers(header_lines)
    text = await reader.readexactly(int(response_headers.get("content-length", "0")))
    return RtspAnswer(
        int(status_line.split(" ")[1]),
        text.decode("ascii", "replace"),
        int(response_headers.get("p-gap-ms", "0")),
    )
