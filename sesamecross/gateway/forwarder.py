"""Takes callers' requests and starts a task for each.

One coroutine per request covers its whole life, from the caller's connection
to the response: `request_task`.
"""

import asyncio
from collections.abc import Callable
import functools
import random

from sesamecross.core import body_buffer
from sesamecross.core import serving
from sesamecross.gateway import connection_pool as connection_pool_lib
from sesamecross.gateway import engine_search
from sesamecross.gateway import incoming_body
from sesamecross.gateway import request_context
from sesamecross.gateway import request_handler
from sesamecross.gateway import request_task as request_task_lib
from sesamecross.gateway import response_writer as response_writer_lib
from sesamecross.gateway import server_connection
from sesamecross.gateway import state as state_lib
from sesamecross.ops.fleet import body_budget
from sesamecross.ops.fleet import unfinished_requests
from sesamecross.ops.fleet import unread_answers
from sesamecross.ports import http_codec as http_codec_lib
from sesamecross.runtime import event_loop
from sesamecross.runtime import metrics as metrics_lib
from sesamecross.runtime import process_memory

# What owns the bodies of callers whose key names no workspace. Not the name of
# any, as it holds a line end.
_NO_WORKSPACE = "\n"


class Forwarder(request_context.RequestContext):
    """Request handler for callers.

    Attributes:
      body_budget: The memory for the bodies of callers' requests.
      unread_answers: What callers have not read yet.
    """

    __slots__ = ("body_budget", "unread_answers", "_open_tasks", "_unfinished")

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
        self.body_budget = body_budget.BodyBudget(
            state.memory_bytes, event_loop.now_s, process_memory.resident_bytes
        )
        self.unread_answers = unread_answers.UnreadAnswers(state.memory_bytes)
        self._unfinished = unfinished_requests.UnfinishedRequests(
            state.memory_bytes
        )
        state.memory_listeners += [
            self._unfinished.set_memory,
            self.answer_memory.set_memory,
            self.body_budget.set_memory,
            self.unread_answers.set_memory,
        ]

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

    def begin_body(
        self,
        head: request_handler.RequestHead,
        length: int | None,
        max_bytes: int,
    ) -> incoming_body.IncomingBody:
        """Begins to read a body that needs room.

        Raises:
          NoRoomError: There is no memory for it.
        """
        return incoming_body.IncomingBody(
            self.body_budget, self._body_owner(head), length, max_bytes
        )

    def reserve_head(
        self, head: request_handler.RequestHead
    ) -> Callable[[], None]:
        """Reserves the memory of a large head; returns what gives it back.

        Raises:
          NoRoomError: There is no memory for it.
        """
        size = head.memory_bytes
        reservation = incoming_body.reserve(
            self.body_budget, self._body_owner(head), size
        )
        self.body_budget.record_received(reservation, size)
        return functools.partial(self.body_budget.release, reservation)

    def on_unfinished(
        self, connection: server_connection.ServerConnection, size: int
    ) -> None:
        """Counts what is held for requests that are not whole yet."""
        cut = self._unfinished.record(connection, size)
        if cut:
            self.metrics.count(
                "sesamecross_unfinished_requests_cut_total",
                "Connections cut, as unfinished requests held too much.",
                {},
                cut,
            )
            self.log.warning("unfinished requests: cut", connections=cut)

    def _body_owner(self, head: request_handler.RequestHead) -> str:
        """Returns the workspace by the caller's key; empty if none is needed.

        Callers whose key is unknown share what one workspace may have.
        """
        keys = self.state.keys
        if keys is None:
            return ""
        caller_info = self.http_codec.parse_request_head(head.headers)
        workspace = keys.find(caller_info.key_digest)
        return workspace.name if workspace is not None else _NO_WORKSPACE

    def on_no_room(
        self,
        head: request_handler.RequestHead,
        error: incoming_body.NoRoomError,
    ) -> list[serving.Header]:
        """Logs a request whose body has no room; returns when to return."""
        caller_info = self.http_codec.parse_request_head(head.headers)
        self.metrics.count(
            "sesamecross_bodies_refused_total",
            "Requests refused unread, as there was no memory for their bodies.",
            {},
        )
        self.log.warning(
            "no memory for the body",
            id=caller_info.request_id,
            bytes=error.size,
            reserved=self.body_budget.reserved_bytes,
            received=self.body_budget.received_bytes,
            retry_after_s=error.retry_after_s,
        )
        return self.http_codec.refusal(
            caller_info.request_id, error.retry_after_s
        )

    def parse_request(
        self,
        head: request_handler.RequestHead,
        body: bytes | body_buffer.BodyBuffer,
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

    def on_unread(
        self, connection: server_connection.ServerConnection, size: int
    ) -> None:
        """Counts what a caller has not read; cuts some if it is too much."""
        cut = self.unread_answers.record(connection, size)
        if cut:
            self.metrics.count(
                "sesamecross_unread_answers_cut_total",
                "Connections cut, as callers left too much unread.",
                {},
                cut,
            )
            self.log.warning(
                "answers left unread: cut",
                connections=cut,
                held=self.unread_answers.held_bytes,
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
        task.add_done_callback(lambda _: self._on_task_done(request_task))

    def _on_task_done(self, request_task: request_task_lib.RequestTask) -> None:
        self._open_tasks.discard(request_task)
        request_task.release_body()
