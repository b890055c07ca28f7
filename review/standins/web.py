"""A small HTTP/1.1 server and client for the stand-ins, on asyncio."""

import asyncio
import contextlib
import dataclasses
from urllib import parse


@dataclasses.dataclass
class Request:
    """A request that a stand-in has read whole."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes
    writer: asyncio.StreamWriter


async def read_message(reader):
    """Reads a head and a body; returns the first line, headers and body."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readuntil(b"\r\n")).strip() or b"0", 16)
            chunk = await reader.readexactly(size + 2)
            if not size:
                break
            body += chunk[:-2]
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return lines[0], headers, body


def head(status, headers):
    """Returns the bytes of a response's head."""
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def respond(writer, status, body=b"", headers=()):
    """Writes a whole response."""
    fields = [*headers, ("Content-Length", len(body))]
    writer.write(head(status, fields) + body)


class Server:
    """Calls `handle(request)` for each request of each connection.

    A handler that returns False has closed the connection, or keeps silent.
    """

    def __init__(self, handle):
        self._handle = handle
        self._server = None
        self._writers = set()
        self.address = ""

    async def start(self, host, port=0):
        """Listens."""
        self._server = await asyncio.start_server(self._serve, host, port)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    async def stop(self):
        """Stops listening, and closes all connections."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                line, headers, body = await read_message(reader)
                method, target, _ = line.split(" ", 2)
                path, _, query = target.partition("?")
                request = Request(
                    method,
                    path,
                    dict(parse.parse_qsl(query)),
                    headers,
                    body,
                    writer,
                )
                if await self._handle(request) is False:
                    return
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            writer.close()
        except asyncio.CancelledError:
            writer.close()
        finally:
            self._writers.discard(writer)


async def call(address, method, path, headers=(), body=b"", timeout_s=30.0):
    """Sends one request on a new connection.

    Returns:
      Status, headers and body; the status is 0 without a whole answer.
    """
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            lines = [f"{method} {path} HTTP/1.1"]
            fields = [*headers, ("Content-Length", len(body))]
            if not any(name == "Host" for name, _ in headers):
                fields.append(("Host", address))
            lines += [f"{name}: {value}" for name, value in fields]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            line, answer, content = await read_message(reader)
            return int(line.split(" ")[1]), answer, content
    except (OSError, asyncio.IncompleteReadError, ValueError, TimeoutError):
        return 0, {}, b""
    finally:
        if writer is not None:
            writer.close()
            with contextlib.suppress(OSError):
                await writer.wait_closed()
