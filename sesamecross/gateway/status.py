"""What an instance says of itself over HTTP: readiness and metrics."""

from sesamecross.core import serving
from sesamecross.gateway import response_writer as response_writer_lib
from sesamecross.gateway import server_connection
from sesamecross.gateway import state as state_lib
from sesamecross.runtime import metrics as metrics_lib

_TEXT = [(b"content-type", b"text/plain; version=0.0.4")]
_LIMITS = serving.CallerLimits(body_bytes=1024)


class StatusHandler:
    """Answers questions about the instance itself.

    Attributes:
      is_stopping: Not ready any more, whatever else is true.
    """

    __slots__ = ("is_stopping", "_state", "_metrics")

    def __init__(
        self, state: state_lib.State, metrics: metrics_lib.Metrics | None
    ):
        self.is_stopping = False
        self._state = state
        self._metrics = metrics

    @property
    def limits(self) -> serving.CallerLimits:
        """Who asks sends next to nothing."""
        return _LIMITS

    @property
    def is_closing(self) -> bool:
        """Answers are few; connections may stay."""
        return False

    @property
    def is_ready(self) -> bool:
        """Whether new callers should come here."""
        return self._state.is_ready and not self.is_stopping

    def read_request(
        self, head: server_connection.Head, body: bytes
    ) -> serving.Request | None:
        """Returns the request; headers do not matter here."""
        return serving.Request(
            head.method, head.target, "", (), body, "", None, "", None
        )

    def rejected(self, status: int, reason: str) -> None:
        """A malformed question is answered and forgotten."""

    def handle(
        self,
        request: serving.Request,
        response_writer: response_writer_lib.ResponseWriter,
    ) -> None:
        """Answers at once."""
        if self._metrics is not None:
            body, _ = self._metrics.render()
            response_writer.whole(200, _TEXT, body)
        else:
            response_writer.whole(200 if self.is_ready else 503, [], b"")
