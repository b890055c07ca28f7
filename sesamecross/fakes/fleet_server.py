"""A small asyncio HTTP server for a trial's upstreams and store.

Hundreds of gateways' connections and long polls would take a thread each in the
other stand-ins; here one process serves them all, so that the machine's cores
are left to the gateways that are on trial.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping
import json
import logging
from typing import Any
from urllib import parse

import httptools

from sesamecross.fakes import base

_log = logging.getLogger("fleet server")


class Exchange:
    """One request, and the ways to answer it.

    Attributes:
      headers: By their names in lower case.
      is_closed: Whether the caller has closed its connection.
    """

    __slots__ = ("method", "path", "query", "headers", "body", "_connection")

    def __init__(self, connection: "_Connection"):
        self.method = connection.parser.get_method().decode()
        url = httptools.parse_url(connection.url)
        self.path = (url.path or b"/").decode()
        self.query = dict(parse.parse_qsl((url.query or b"").decode()))
        self.headers = connection.headers
        self.body = bytes(connection.body)
        self._connection = connection

    @property
    def is_closed(self) -> bool:
        """Whether the caller has closed its connection."""
        return self._connection.transport.is_closing()

    def respond(
        self,
        body: Any,
        status: int = 200,
        headers: Mapping[str, str] | None = None,
    ) -> None:
        """Sends a whole answer; a body that isn't bytes is sent as JSON."""
        if not isinstance(body, bytes):
            body = json.dumps(body).encode()
        self._send_head(status, headers or {}, f"Content-Length: {len(body)}")
        self._connection.write(body)

    def begin_stream(self, headers: Mapping[str, str]) -> None:
        """Begins an answer in chunks."""
        self._send_head(200, headers, "Transfer-Encoding: chunked")

    def send_event(self, event: bytes) -> None:
        """Sends a piece of a stream as a chunk."""
        self._connection.write(b"%x\r\n%b\r\n" % (len(event), event))

    def end_stream(self) -> None:
        """Completes a stream."""
        self._connection.write(b"0\r\n\r\n")

    def abort(self) -> None:
        """Breaks the connection off."""
        self._connection.transport.abort()

    def _send_head(
        self, status: int, headers: Mapping[str, str], framing: str
    ) -> None:
        lines = [f"HTTP/1.1 {base.STATUS_LINES[status]}"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        self._connection.write("\r\n".join([*lines, framing, "", ""]).encode())


Handler = Callable[[Exchange], Awaitable[None]]


class _Connection(asyncio.Protocol):
    """Parses one request after the other; a task answers each."""

    def __init__(self, server: "Server"):
        self._server = server
        self._task: asyncio.Task | None = None
        self._held = b""
        self.transport: asyncio.Transport | None = None
        self.parser: httptools.HttpRequestParser | None = None
        self._reset()

    def _reset(self) -> None:
        self.parser = httptools.HttpRequestParser(self)
        self.url = b""
        self.headers: dict[str, str] = {}
        self.body = bytearray()

    def write(self, data: bytes) -> None:
        """Sends bytes, unless the caller has closed."""
        if not self.transport.is_closing():
            self.transport.write(data)

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport = transport
        self._server.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self._server.connections.discard(self)
        if self._task is not None:
            self._task.cancel()

    def data_received(self, data: bytes) -> None:
        if self._task is not None:
            self._held += data
            return
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as error:
            _log.warning("no request: %r", error)
            self.transport.abort()

    def on_url(self, url: bytes) -> None:
        self.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers[name.decode().lower()] = value.decode("latin-1")

    def on_body(self, body: bytes) -> None:
        self.body += body

    def on_message_complete(self) -> None:
        self._task = asyncio.create_task(self._answer(Exchange(self)))

    async def _answer(self, exchange: Exchange) -> None:
        try:
            await self._server.handler(exchange)
        except Exception:
            _log.exception("no answer to %s", exchange.path)
            self.transport.abort()
        self._task = None
        self._reset()
        held, self._held = self._held, b""
        if held and not self.transport.is_closing():
            self.data_received(held)


class Server:
    """Listens on a loopback port and hands each request to a handler."""

    def __init__(self, handler: Handler):
        self.handler = handler
        self.address = ""
        self.connections: set[_Connection] = set()
        self._server: asyncio.Server | None = None

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> None:
        """Binds the address."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _Connection(self), host, port, backlog=1024
        )
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    def stop(self) -> None:
        """Closes the port and breaks all connections off."""
        self._server.close()
        for one in list(self.connections):
            one.transport.abort()
