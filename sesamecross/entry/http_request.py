"""A caller's request to an entry, and parts that all responses share."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import time
import uuid

from sesamecross.core import refusal

_REASON_PHRASES = {
    200: "OK",
    400: "Bad Request",
    401: "Unauthorized",
    404: "Not Found",
    408: "Request Timeout",
    409: "Conflict",
    422: "Unprocessable Content",
    429: "Too Many Requests",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}
# Headers of a caller that a plain service gets.
FORWARDED_HEADERS = ("CONTENT_TYPE", "HTTP_ACCEPT", "HTTP_IDEMPOTENCY_KEY")
CORRELATION_HEADER = "X-Correlation-Id"


def status_line(status: int) -> str:
    """Returns a status with its reason phrase."""
    return f"{status} {_REASON_PHRASES.get(status, 'Status')}"


class Request:
    """The request line and headers of a caller's request."""

    __slots__ = ("environ", "call_id", "path", "method", "started_s")

    def __init__(self, environ: dict):
        self.environ = environ
        self.call_id = uuid.uuid4().hex
        self.path = environ.get("PATH_INFO", "/")
        self.method = environ["REQUEST_METHOD"]
        self.started_s = time.monotonic()

    def header(self, name: str) -> str:
        """Returns a header by its WSGI name, or an empty text."""
        return self.environ.get(name, "")

    def int_header(self, name: str) -> int | None:
        """Returns a header that is a whole number, else None."""
        text = self.header(name)
        return int(text) if text.isdecimal() and len(text) < 12 else None

    @property
    def target(self) -> str:
        """The path and query."""
        query = self.header("QUERY_STRING")
        return f"{self.path}?{query}" if query else self.path

    def headers(self, names: Iterable[str]) -> tuple[tuple[str, str], ...]:
        """Returns the headers of the given WSGI names that the caller sent."""
        found = []
        for name in names:
            value = self.header(name)
            if value:
                title = name.removeprefix("HTTP_").replace("_", "-").title()
                found.append((title, value))
        return tuple(found)


class AdmittedBody:
    """The body of an admitted call, which is open until its last byte.

    A server that finds its caller gone closes a body without reading any of it,
    and a generator that was never started runs none of its code.
    """

    __slots__ = ("_body", "_release")

    def __init__(self, body: Iterator[bytes], release: Callable[[], None]):
        self._body = body
        self._release: Callable[[], None] | None = release

    def __iter__(self) -> Iterator[bytes]:
        return self

    def __next__(self) -> bytes:
        try:
            return next(self._body)
        except BaseException:
            self._release_once()
            raise

    def close(self) -> None:
        """Ends the call."""
        try:
            self._body.close()
        finally:
            self._release_once()

    def _release_once(self) -> None:
        release, self._release = self._release, None
        if release is not None:
            release()


def error_event(request: Request, problem: refusal.Refusal) -> bytes:
    """Returns a refusal as an event of a stream whose status is sent.

    Without the final `[DONE]` no client takes the response for complete.
    """
    body = problem.body(request.call_id)
    return b"event: error\ndata: " + body + b"\n\n"
