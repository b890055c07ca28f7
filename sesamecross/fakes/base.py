"""What all fakes share: a JSON router, metrics and running as a process.

Each fake is a separate process in the demo and in integration tests. It answers
`GET /fake/stats`, so that checks read what the fakes recorded instead of what
the system under test reports.
"""

import argparse
import asyncio
from collections.abc import Callable
from collections.abc import Iterable
import json
import re
from typing import Any

from sesamecross.runtime import application
from sesamecross.runtime import http_server
from sesamecross.runtime import logs
from sesamecross.runtime import metrics
from sesamecross.runtime import signals

STATUS_LINES = {
    200: "200 OK",
    202: "202 Accepted",
    400: "400 Bad Request",
    403: "403 Forbidden",
    404: "404 Not Found",
    409: "409 Conflict",
    410: "410 Gone",
    412: "412 Precondition Failed",
    421: "421 Misdirected Request",
    429: "429 Too Many Requests",
    500: "500 Internal Server Error",
    503: "503 Service Unavailable",
}


class Request:
    """One HTTP request to a fake."""

    __slots__ = ("environ", "method", "path", "match", "_body")

    def __init__(self, environ: dict):
        self.environ = environ
        self.method = environ["REQUEST_METHOD"]
        self.path = environ.get("PATH_INFO", "/")
        self.match: re.Match | None = None
        self._body: bytes | None = None

    @property
    def body(self) -> bytes:
        """The request's body; read on first use, then cached."""
        if self._body is None:
            self._body = http_server.read_body(self.environ)
        return self._body

    def json(self) -> Any:
        """Returns the body, decoded from JSON."""
        return json.loads(self.body)

    def header(self, name: str, default: str = "") -> str:
        """Returns a request header, or `default` without it."""
        key = "HTTP_" + name.upper().replace("-", "_")
        return self.environ.get(key, default)

    def headers(self) -> dict[str, str]:
        """Returns the request's headers, with names in lower case."""
        return {
            name.removeprefix("HTTP_").replace("_", "-").lower(): value
            for name, value in self.environ.items()
            if name.startswith("HTTP_")
        }

    def query(self) -> dict[str, str]:
        """Returns the query's fields; repeated fields are not supported."""
        pairs = self.environ.get("QUERY_STRING", "").split("&")
        return dict(pair.split("=", 1) for pair in pairs if "=" in pair)


class Response:
    """A response: JSON, bytes, or an iterator of bytes for a stream."""

    __slots__ = ("status", "body", "headers")

    def __init__(
        self,
        body: Any = None,
        status: int = 200,
        headers: dict[str, str] | None = None,
    ):
        self.status = status
        self.body = body
        self.headers = headers or {}


Handler = Callable[[Request], Response]


class FakeServer:
    """Routes requests to handlers; runs as a component of a fake's process."""

    def __init__(self, name: str, listen: str, threads: int = 32):
        self.metrics = metrics.Metrics()
        self._routes: list[tuple[str, re.Pattern, Handler]] = []
        limits = http_server.Limits(threads=threads, idle_s=60)
        self._server = http_server.HttpServer(
            name, listen, self._wsgi_app, limits
        )
        self.route("GET", "/metrics", self._metrics)
        self.route("GET", "/healthz", lambda _: Response({"ok": True}))

    @property
    def server(self) -> http_server.HttpServer:
        """The HTTP server."""
        return self._server

    def route(self, method: str, pattern: str, handler: Handler) -> None:
        """Adds a handler; `pattern` matches the whole path."""
        self._routes.append((method, re.compile(pattern + "$"), handler))

    def components(self) -> list:
        """Returns the components of the process."""
        return [self._server]

    async def drain(self) -> None:
        """Does nothing: a fake does not drain."""
        await asyncio.sleep(0)

    def _metrics(self, _request: Request) -> Response:
        body, content_type = self.metrics.render()
        return Response(body, headers={"Content-Type": content_type})

    def _wsgi_app(self, environ: dict, start_response: Any) -> Iterable[bytes]:
        request = Request(environ)
        response = self._dispatch(request)
        body = response.body
        headers = dict(response.headers)
        if not isinstance(body, (bytes, bytearray)) and (
            body is None or isinstance(body, (dict, list, str, int))
        ):
            body = json.dumps(body).encode()
            headers.setdefault("Content-Type", "application/json")
        if isinstance(body, bytes):
            headers["Content-Length"] = str(len(body))
            body = [body]
        start_response(STATUS_LINES[response.status], list(headers.items()))
        return body

    def _dispatch(self, request: Request) -> Response:
        for method, pattern, handler in self._routes:
            match = pattern.match(request.path)
            if match and method in (request.method, "ANY"):
                request.match = match
                self.metrics.count(
                    "fake_requests_total",
                    "Requests by path pattern.",
                    {"path": pattern.pattern},
                )
                try:
                    return handler(request)
                except (ValueError, KeyError, http_server.SlowBody) as error:
                    return Response({"error": repr(error)}, 400)
        return Response({"error": "no such path"}, 404)


def parser(description: str) -> argparse.ArgumentParser:
    """Returns a parser with the flags that all fakes have."""
    result = argparse.ArgumentParser(description=description)
    result.add_argument("--listen", required=True, help="IP number and port")
    result.add_argument("--name", default="fake", help="name in logs")
    result.add_argument("--seed", type=int, default=1)
    result.add_argument("--log-level", default="warning")
    return result


def run(
    flags: argparse.Namespace,
    server: FakeServer,
    pending_signals: signals.PendingSignals,
) -> int:
    """Runs a fake until it stops; returns the exit code."""
    logs.configure(flags.log_level, "json", instance=flags.name)
    return application.Application(server, pending_signals).run()
