"""HTTP endpoints of the instance itself: readiness and metrics."""

import collections
from collections.abc import Callable

from sesamecross.core import serving
from sesamecross.gateway import incoming_body
from sesamecross.gateway import request_handler
from sesamecross.gateway import response_writer as response_writer_lib
from sesamecross.gateway import server_connection
from sesamecross.gateway import state as state_lib
from sesamecross.ops.fleet import body_budget
from sesamecross.ops.fleet import reachability
from sesamecross.ops.fleet import unfinished_requests
from sesamecross.ops.fleet import unread_answers
from sesamecross.runtime import event_loop
from sesamecross.runtime import metrics as metrics_lib
from sesamecross.runtime import process_memory

_TEXT = [(b"content-type", b"text/plain; version=0.0.4")]
# Of the memory that callers may make an instance hold, the part for scrapes.
_MEMORY_SHARE = 0.1
_LIMITS = serving.CallerLimits(max_body_bytes=1024)


def _do_nothing() -> None:
    """Gives back nothing."""


class StatusHandler:
    """Serves metrics, or readiness if it was given no metrics.

    Attributes:
      is_stopping: While set, the instance reports that it isn't ready.
    """

    __slots__ = (
        "is_stopping",
        "_state",
        "_metrics",
        "_bodies",
        "_unread",
        "_unfinished",
    )

    def __init__(
        self,
        state: state_lib.State,
        metrics: metrics_lib.Metrics | None,
        bodies: body_budget.BodyBudget | None = None,
    ):
        """Initializes the handler.

        Args:
          state: What the instance knows.
          metrics: What is rendered; None for readiness.
          bodies: The memory for callers' bodies, shown among the metrics.
        """
        self.is_stopping = False
        self._state = state
        self._metrics = metrics
        self._bodies = bodies
        self._unread = unread_answers.UnreadAnswers(
            int(state.memory_bytes * _MEMORY_SHARE)
        )
        self._unfinished = unfinished_requests.UnfinishedRequests(
            int(state.memory_bytes * _MEMORY_SHARE)
        )

    @property
    def limits(self) -> serving.CallerLimits:
        """Fixed limits: probes and scrapes have small requests."""
        return _LIMITS

    @property
    def is_closing(self) -> bool:
        """Always False: connections of probes and scrapes can stay open."""
        return False

    @property
    def is_ready(self) -> bool:
        """Whether new callers should be routed to this instance."""
        return self._state.is_ready and not self.is_stopping

    def begin_body(
        self,
        head: request_handler.RequestHead,
        length: int | None,
        max_bytes: int,
    ) -> incoming_body.IncomingBody:
        """Refuses the body: the limit allows none that needs room.

        Raises:
          NoRoomError: Always.
        """
        raise incoming_body.NoRoomError(length or max_bytes, None)

    def on_no_room(
        self,
        head: request_handler.RequestHead,
        error: incoming_body.NoRoomError,
    ) -> list[serving.Header]:
        """Returns no headers."""
        return []

    def reserve_head(
        self, head: request_handler.RequestHead
    ) -> Callable[[], None]:
        """Reserves nothing: each request is answered at once."""
        return _do_nothing

    def on_unfinished(
        self, connection: server_connection.ServerConnection, size: int
    ) -> None:
        """Bounds what requests that are not whole yet hold."""
        self._unfinished.record(connection, size)

    def parse_request(
        self, head: request_handler.RequestHead, body: bytes
    ) -> serving.Request | None:
        """Returns the request; its headers are ignored."""
        return serving.Request(
            head.method, head.target, "", (), body, "", None, "", None
        )

    def on_rejected(self, status: int, reason: str) -> None:
        """Does nothing: malformed probes aren't logged."""

    def on_shed(self) -> None:
        """Does nothing: no probe is shed."""

    def on_unread(
        self, connection: server_connection.ServerConnection, size: int
    ) -> None:
        """Bounds what slow scrapes keep in memory."""
        self._unread.record(connection, size)

    def handle(
        self,
        request: serving.Request,
        response_writer: response_writer_lib.ResponseWriter,
    ) -> None:
        """Responds at once."""
        if self._metrics is not None:
            self._set_gauges(self._metrics)
            body, _ = self._metrics.render()
            response_writer.send_response(200, _TEXT, body)
        else:
            response_writer.send_response(
                200 if self.is_ready else 503, [], b""
            )

    def _set_memory_gauges(self, metrics: metrics_lib.Metrics) -> None:
        name = "sesamecross_memory_bytes"
        doc = (
            "Memory: the limit, what is resident, what bodies reserve and have."
        )
        values = {
            "limit": self._state.memory_bytes,
            "resident": process_memory.resident_bytes(),
        }
        if self._bodies is not None:
            values["bodies_reserved"] = self._bodies.reserved_bytes
            values["bodies_received"] = self._bodies.received_bytes
        for what, value in values.items():
            metrics.set(name, doc, {"what": what}, value)

    def _set_gauges(self, metrics: metrics_lib.Metrics) -> None:
        now_s = event_loop.now_s()
        self._set_memory_gauges(metrics)
        read_s = self._state.upstreams_read_s
        if read_s is not None:
            metrics.set(
                "sesamecross_upstreams_age_seconds",
                "Time since the list of upstreams was last read.",
                {},
                now_s - read_s,
            )
        for step, reached_s in self._state.start_steps.reached_s.items():
            metrics.set(
                "sesamecross_start_step_seconds",
                "Time from the beginning of the process to each step.",
                {"step": step.value},
                reached_s,
            )
        counts = collections.Counter(
            known.reachability.state(now_s) for known in self._state.directory
        )
        for state in reachability.State:
            metrics.set(
                "sesamecross_upstreams",
                "Upstreams, by whether this instance reaches them.",
                {"state": state.name.lower()},
                counts[state],
            )
