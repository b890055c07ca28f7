"""A gateway's way from its callers to upstreams, in memory and without timers.

What a caller reads depends on how an upstream's bytes are split and on what is
still under way when the next request is sent. Here a test scripts both: the
parts between the caller's connection and the upstream's are the real ones, and
both ends are transports of the test.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Sequence
import dataclasses
import random
import re
from typing import Any

from sesamecross.core import serving
from sesamecross.fakes import samples
from sesamecross.gateway import client_connection
from sesamecross.gateway import connection_pool as connection_pool_lib
from sesamecross.gateway import forwarder as forwarder_lib
from sesamecross.gateway import server_connection
from sesamecross.gateway import state as state_lib
from sesamecross.platform import program
from sesamecross.runtime import metrics as metrics_lib

ROUTES = ("once", "plain", "stream")
INSTANCE_ID = "u1"
_KINDS = {
    "once": serving.RouteKind.AT_MOST_ONCE,
    "plain": serving.RouteKind.IDEMPOTENT,
    "stream": serving.RouteKind.STREAM,
}
# Turns of the loop after which nothing is under way any more.
_SETTLING_TURNS = 30
_REQUEST_ID = re.compile(rb"\r\nrequest-id: ([^\r]*)\r\n", re.IGNORECASE)


@dataclasses.dataclass(frozen=True, slots=True)
class Script:
    """What an upstream sends after one request.

    Attributes:
      sent: Its bytes. `{id}` stands for the request's id, `{be}` for the id of
        the request before on the connection.
      ends: Whether it then closes the connection.
      size: How many bytes arrive at a time.
    """

    sent: bytes
    ends: bool = False
    size: int = 10_000


def _route(
    name: str, kind: serving.RouteKind, max_upstreams: int
) -> serving.Route:
    return serving.Route(
        name=name,
        host="h",
        path_prefix=f"/{name}/",
        kind=kind,
        targets=(serving.Target("s", 1.0),),
        max_upstreams=max_upstreams,
        urgency=1,
        timeout_s=500.0,
        objective_s=1.0,
        gap_s=1.0,
        is_resumable=False,
        is_model_call=False,
    )


class _Transport(asyncio.Transport):
    """Passes on what is written, until it is closed."""

    def __init__(self, on_write: Callable[[bytes], None]):
        super().__init__()
        self._on_write = on_write
        self._is_closed = False

    def write(self, data) -> None:
        if not self._is_closed:
            self._on_write(bytes(data))

    def write_eof(self) -> None:
        self._is_closed = True

    def close(self) -> None:
        self._is_closed = True

    def abort(self) -> None:
        self._is_closed = True

    def is_closing(self) -> bool:
        return self._is_closed

    def pause_reading(self) -> None:
        """Nothing is read from here."""

    def resume_reading(self) -> None:
        """Nothing is read from here."""

    def get_write_buffer_size(self) -> int:
        return 0

    def set_write_buffer_limits(self, high=None, low=None) -> None:
        """Nothing is buffered here."""


class Caller:
    """A caller's connection.

    Attributes:
      received: What it received so far.
    """

    def __init__(self, gateway: "ScriptedGateway"):
        self.received = b""
        self._gateway = gateway
        self._transport = _Transport(self._receive)
        self._connection = server_connection.ServerConnection(
            gateway.forwarder, asyncio.get_running_loop(), set()
        )
        self._connection.connection_made(self._transport)

    @property
    def is_closed(self) -> bool:
        """Whether the gateway closed the connection."""
        return self._transport.is_closing()

    def _receive(self, data: bytes) -> None:
        self.received += data

    async def ask(self, method: str, route: str, request_id: str) -> bytes:
        """Sends a request; returns what arrives until all is quiet."""
        before = len(self.received)
        lines = [f"{method} /{route}/ HTTP/1.1", "Host: h"]
        if request_id:
            lines.append(f"Request-Id: {request_id}")
        head = "\r\n".join([*lines, "", ""])
        self._connection.data_received(head.encode())
        await self._gateway.settle()
        return self.received[before:]

    def leave(self) -> None:
        """Closes the connection."""
        self._connection.connection_lost(None)


class _UpstreamEnd:
    """The upstream's end of one connection."""

    def __init__(self, gateway: "ScriptedGateway"):
        self._gateway = gateway
        self._previous_id = b""
        self.connection = client_connection.ClientConnection(
            asyncio.get_running_loop()
        )
        self._transport = _Transport(self._receive)
        self.connection.connection_made(self._transport)

    def _receive(self, request: bytes) -> None:
        self._gateway.requests.append(request)
        if self._gateway.scripts:
            self._gateway.spawn(
                self._answer(request, self._gateway.scripts.pop(0))
            )

    async def _answer(self, request: bytes, script: Script) -> None:
        if self._gateway.before_answer is not None:
            self._gateway.before_answer()
            self._gateway.before_answer = None
        found = _REQUEST_ID.search(request)
        request_id = found.group(1) if found else b""
        sent = script.sent.replace(b"{id}", request_id)
        sent = sent.replace(b"{be}", self._previous_id)
        self._previous_id = request_id
        for start in range(0, len(sent), script.size):
            await asyncio.sleep(0)
            if self._transport.is_closing():
                return
            self.connection.data_received(sent[start : start + script.size])
        if script.ends and not self._transport.is_closing():
            self.connection.eof_received()
            self.connection.connection_lost(None)


class _Pool(connection_pool_lib.ConnectionPool):
    """A pool whose new connections are scripted."""

    def __init__(self, gateway: "ScriptedGateway"):
        super().__init__()
        self._gateway = gateway

    async def open(
        self, address: str, timeout_s: float
    ) -> client_connection.ClientConnection:
        self.opened_count += 1
        return _UpstreamEnd(self._gateway).connection


class _Connector:
    """Connects to the one upstream."""

    def __init__(self, pool: connection_pool_lib.ConnectionPool):
        self._pool = pool

    async def connect(
        self,
        upstream,
        timeout_s: float,
        requires_new: bool = False,
        is_repeatable: bool = False,
    ) -> client_connection.ClientConnection:
        address = upstream.entry.address
        if requires_new:
            return await self._pool.open(address, timeout_s)
        now_s = asyncio.get_running_loop().time()
        return await self._pool.acquire(
            address, now_s, timeout_s, is_repeatable
        )


class ScriptedGateway:
    """A forwarder with one upstream address; create it inside a running loop.

    Attributes:
      scripts: What the upstream sends after each request, in order; nothing
        once they are used up.
      requests: What the upstream received.
      before_answer: Called once, before the first answer.
    """

    def __init__(
        self,
        scripts: Sequence[Script],
        instance_ids: Sequence[str] = (INSTANCE_ID,),
        max_upstreams: int = 1,
    ):
        """Creates the gateway.

        Args:
          scripts: What the upstream sends after each request, in order.
          instance_ids: The upstreams known at the address; several if it was
            restarted under other ids.
        """
        self.scripts = list(scripts)
        self.requests: list[bytes] = []
        self._answers: set[asyncio.Task] = set()
        self.before_answer: Callable[[], None] | None = None
        self._max_upstreams = max_upstreams
        self._state = state = state_lib.State(samples.INSTANCE)
        self.publish()
        for instance_id in instance_ids:
            state.directory.update_entry(
                serving.Upstream(instance_id, "s", "u:1", "z1", 9, False, 1)
            )
        state.mark_upstreams_listed()
        self._pool = pool = _Pool(self)
        self.forwarder = forwarder_lib.Forwarder(
            state,
            program.adapter().http_codec,
            pool,
            random.Random(1),
            metrics_lib.Metrics(),
        )
        self.forwarder.connector = _Connector(pool)

    @property
    def connections_opened(self) -> int:
        """Connections that were opened to the upstream."""
        return self._pool.opened_count

    def publish(self, **kinds: serving.RouteKind) -> None:
        """Puts the next configuration in force.

        Args:
          **kinds: Of routes that are not of their usual kind.
        """
        self._state.offer_configuration(
            serving.Configuration(
                self._state.version + 1,
                tuple(
                    _route(name, kind, self._max_upstreams)
                    for name, kind in (_KINDS | kinds).items()
                ),
                {"s": serving.Service("s", "/", 100, None)},
                serving.CallerLimits(),
            )
        )

    def caller(self) -> Caller:
        """Returns a new caller's connection."""
        return Caller(self)

    def spawn(self, answer: Coroutine[Any, Any, None]) -> None:
        """Lets the upstream send an answer."""
        task = asyncio.create_task(answer)
        self._answers.add(task)
        task.add_done_callback(self._answers.discard)

    async def settle(self) -> None:
        """Lets all that is under way come to its end."""
        turns = 0
        while turns < _SETTLING_TURNS:
            turns = 0 if self._answers else turns + 1
            await asyncio.sleep(0)
