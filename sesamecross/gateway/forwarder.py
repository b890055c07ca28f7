"""Takes callers' requests and starts a task for each.

One coroutine per request covers its whole life, from the caller's connection
to the response: `request_task`.
"""

import asyncio
import random

from sesamecross.core import serving
from sesamecross.gateway import connection_pool as connection_pool_lib
from sesamecross.gateway import engine_search
from sesamecross.gateway import request_context
from sesamecross.gateway import request_task as request_task_lib
from sesamecross.gateway import response_writer as response_writer_lib
from sesamecross.gateway import server_connection
from sesamecross.gateway import state as state_lib
from sesamecross.ports import http_codec as http_codec_lib
from sesamecross.runtime import event_loop
from sesamecross.runtime import metrics as metrics_lib


class Forwarder(request_context.RequestContext):
    """Request handler for callers."""

    __slots__ = ("_open_tasks",)

    def __init__(
        self,
        state: state_lib.State,
        http_codec: http_codec_lib.HttpCodec,
        connection_pool: connection_pool_lib.ConnectionPool,
        rng: random.Random,
        metrics: metrics_lib.Metrics,
    ):
        super().__init__(
            state,
            http_codec,
            connection_pool,
            engine_search.SearchContext(state, rng),
            metrics,
        )
        self._open_tasks: set[request_task_lib.RequestTask] = set()

    @property
    def limits(self) -> serving.CallerLimits:
        """The current limits for callers."""
        return self.state.limits

    @property
    def is_closing(self) -> bool:
        """Whether callers are told to use another connection next."""
        return self.stop is not None

    @property
    def open_requests(self) -> int:
        """Number of requests in progress."""
        return len(self._open_tasks)

    def shut_down(self) -> None:
        """Ends all requests in progress and accepts no more, before the exit.

        Each caller now gets a response that says what is known of its request.
        The exit would otherwise cut the request off, or make it look like an
        internal error.
        """
        self.stop = self.stop.ended(event_loop.running().time())
        for request_task in list(self._open_tasks):
            request_task.shut_down()

    def parse_request(
        self, head: server_connection.RequestHead, body: bytes
    ) -> serving.Request | None:
        """Builds the request from its head and body."""
        caller_info = self.http_codec.parse_request_head(head.headers)
        host = next(v for n, v in head.headers if n == b"host")
        return serving.Request(
            head.method,
            head.target,
            host.decode("latin-1"),
            tuple(head.headers),
            body,
            caller_info.request_id,
            caller_info.deadline_s,
            caller_info.last_event_id,
            caller_info.call,
            caller_info.first_attempt_id,
            caller_info.key_digest,
            caller_info.tokens,
        )

    def on_rejected(self, status: int, reason: str) -> None:
        """Logs a request that was rejected before it could be parsed."""
        self.log.warning("malformed", status=status, why=reason)

    def on_shed(self) -> None:
        """Counts a new connection that was closed unread."""
        self.metrics.count(
            "sesamecross_connections_shed_total",
            "New connections closed unread, as the processor is busy.",
            {},
        )

    def handle(
        self,
        request: serving.Request,
        response_writer: response_writer_lib.ResponseWriter,
    ) -> None:
        """Starts a task that forwards the request and responds."""
        request_task = request_task_lib.RequestTask(
            self, request, response_writer
        )
        task = asyncio.create_task(request_task.run())
        request_task.task = task
        self._open_tasks.add(request_task)
        task.add_done_callback(lambda _: self._open_tasks.discard(request_task))
