"""Tests of the gateway's planned stop: what its callers see of it.

The gateway's front door, its forwarder and its drain run in this process on
real loopback sockets, with an upstream that answers when the test says so.
What is around them (store, datagrams, leases) is not started.
"""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import dataclasses
import math
import types

import pytest
from returns.result import Success

from sesamecross.core import fleet_messages as fm
from sesamecross.core import serving
from sesamecross.fakes import jumping_loop
from sesamecross.fakes import samples
from sesamecross.gateway import app as app_lib
from sesamecross.gateway import connection_pool as connection_pool_lib
from sesamecross.gateway import engine_search
from sesamecross.gateway import forwarder as forwarder_lib
from sesamecross.gateway import server_connection as front_lib
from sesamecross.gateway import store_client
from sesamecross.ops.fleet import stopping
from sesamecross.platform import program
from sesamecross.ports import store
from sesamecross.runtime import supervisor

# No test waits so long; it only ends one that would hang.
HANG_S = 10.0
# Long enough for a drain that does not wait to end, where a test has to show
# that it does wait. Nothing is asserted on it.
MEANWHILE_S = 0.3

INSTANCE = dataclasses.replace(
    samples.INSTANCE,
    ip="127.0.0.1",
    front_address="127.0.0.1:0",
    ready_address="127.0.0.1:0",
    ports=(0, 0),
    store_address="127.0.0.1:1",
    bounds=serving.Bounds(grace_s=600.0),
)
EVENTS = b"id: 1\ndata: a\n\n"


def route(name: str, kind: serving.RouteKind) -> serving.Route:
    return serving.Route(
        name,
        "h",
        f"/{name}/",
        kind,
        (serving.Target("s", 1.0),),
        1,
        1,
        # No limit that could end a request before the stop does.
        500.0,
        1.0,
        1.0,
        False,
        False,
    )


CONFIGURATION = serving.Configuration(
    1,
    (
        route("once", serving.RouteKind.AT_MOST_ONCE),
        route("plain", serving.RouteKind.IDEMPOTENT),
        route("stream", serving.RouteKind.STREAM),
        dataclasses.replace(
            route("model", serving.RouteKind.STREAM), is_model_call=True
        ),
    ),
    {"s": serving.Service("s", "/", 100, None)},
    serving.CallerLimits(),
)


@dataclasses.dataclass(frozen=True, slots=True)
class Unchanged:
    """Settings that stay as they were at the start."""

    instance: serving.Instance

    def read(self) -> Success[bytes]:
        return Success(b"")

    def decode(self, _data: bytes) -> Success[serving.Instance]:
        return Success(self.instance)


class Upstream:
    """An upstream that answers when it is told to.

    Attributes:
      arrived: Set once a request has come.
      answers: Set where answers may be given.
      body: Of its whole answers.
      requests: The paths that it was asked for.
    """

    def __init__(self) -> None:
        self.arrived = asyncio.Event()
        self.answers = asyncio.Event()
        self.body = b"done"
        self.requests: list[bytes] = []
        self.address = ""

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(asyncio.CancelledError, OSError):
            while True:
                try:
                    head = await reader.readuntil(b"\r\n\r\n")
                except asyncio.IncompleteReadError:
                    break
                await self._answer(head, writer)
        writer.close()

    async def _answer(self, head: bytes, writer: asyncio.StreamWriter) -> None:
        lines = head.split(b"\r\n")
        path = lines[0].split(b" ")[1]
        request_id = next(
            line for line in lines if line.lower().startswith(b"request-id:")
        )
        out = b"HTTP/1.1 200 OK\r\nResponse-Signature: s\r\n" + request_id
        self.requests.append(path)
        if path.startswith((b"/stream/", b"/model/")):
            out += b"\r\nContent-Type: text/event-stream"
            out += b"\r\nTransfer-Encoding: chunked\r\n\r\n"
            out += b"%x\r\n%s\r\n" % (len(EVENTS), EVENTS)
            writer.write(out)
            self.arrived.set()
            await self.answers.wait()
            writer.write(b"0\r\n\r\n")
            return
        self.arrived.set()
        await self.answers.wait()
        out += b"\r\nContent-Length: %d\r\n\r\n" % len(self.body)
        writer.write(out + self.body)


@dataclasses.dataclass
class Played:
    """A gateway that runs, and the upstream behind it."""

    app: app_lib.GatewayApp
    upstream: Upstream
    tree: supervisor.Supervisor
    address: str

    def end_process(self) -> None:
        """Does what the process's end does: what is unsent is lost."""
        for connection in list(self.app.front.connections):
            connection.abort()

    async def connect(self) -> "Caller":
        host, _, port = self.address.rpartition(":")
        return Caller(*await asyncio.open_connection(host, int(port)))


class Caller:
    """A caller's connection."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ):
        self.reader = reader
        self.writer = writer

    def ask(self, path: str, lines: str = "") -> None:
        head = f"GET {path} HTTP/1.1\r\nHost: h\r\nRequest-Id: q\r\n"
        self.writer.write(f"{head}{lines}\r\n".encode())

    async def status(self) -> int | None:
        """Returns the answer's status; None where the connection ended."""
        try:
            head = await self.reader.readuntil(b"\r\n\r\n")
        except (asyncio.IncompleteReadError, OSError):
            return None
        return int(head.split(b" ")[1])

    async def rest(self) -> bytes:
        """Returns what came up to the end of the connection."""
        pieces = []
        with contextlib.suppress(OSError):
            while piece := await self.reader.read(65536):
                pieces.append(piece)
        return b"".join(pieces)


class Held:
    """A component whose stop takes until the test lets it go."""

    is_vital = False
    name = "held"

    def __init__(self) -> None:
        self.is_stopping = asyncio.Event()
        self.may_stop = asyncio.Event()

    async def run(self) -> None:
        await asyncio.Event().wait()

    async def stop(self) -> None:
        self.is_stopping.set()
        await self.may_stop.wait()


async def until(condition) -> None:
    """Waits for something that the test does not cause itself."""
    async with asyncio.timeout(HANG_S):
        while not condition():
            await asyncio.sleep(0.005)


@contextlib.asynccontextmanager
async def playing(
    *others, is_configured: bool = True, bounds: serving.Bounds | None = None
) -> AsyncIterator[Played]:
    upstream = Upstream()
    server = await asyncio.start_server(upstream.serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    instance = dataclasses.replace(INSTANCE, bounds=bounds or INSTANCE.bounds)
    app = app_lib.GatewayApp.from_config(
        instance, program.adapter(), Unchanged(instance)
    )
    app.components()
    tree = supervisor.Supervisor([app.front, *others])
    tree.start()
    await until(lambda: app.front.address)
    if is_configured:
        app.state.offer_configuration(CONFIGURATION)
        app.state.has_upstream_list = True
        entry = serving.Upstream("u1", "s", f"{host}:{port}", "z1", 9, False, 1)
        app.state.directory.update_entry(
            entry, asyncio.get_running_loop().time()
        )
    played = Played(app, upstream, tree, app.front.address)
    async with asyncio.timeout(HANG_S):
        yield played
        played.end_process()
        await tree.stop()
        server.close()


@pytest.fixture(autouse=True)
def no_lag(monkeypatch):
    """The balancer of these tests knows at once that an instance stops."""
    monkeypatch.setattr(app_lib, "BALANCER_LAG_S", 0.0)


@pytest.mark.parametrize("is_new", [False, True], ids=["kept", "new"])
def test_after_the_drain_nothing_is_taken(is_new):
    """A request in a planned stop was sent to an upstream and then cut off.

    The drain was over, and the parts of the process stopped one after the
    other, the front door last: behind calls to the store that took a second.
    Callers that came meanwhile were served as ever, until the process ended:
    the drain looked once whether anything was open and closed no door.
    """

    async def play():
        held = Held()
        async with playing(held) as played:
            # Its answer has begun, so nothing tells it to use another one.
            kept = await played.connect()
            kept.ask("/stream/")
            await played.upstream.arrived.wait()
            assert await kept.status() == 200
            drain = asyncio.create_task(played.app.drain())
            await asyncio.wait([drain], timeout=MEANWHILE_S)
            played.upstream.answers.set()
            await kept.reader.readuntil(b"\r\n0\r\n\r\n")
            await drain
            stop = asyncio.create_task(played.tree.stop())
            await held.is_stopping.wait()
            status = None
            try:
                caller = await played.connect() if is_new else kept
                caller.ask("/once/")
                status = await caller.status()
            except OSError:
                assert is_new
            held.may_stop.set()
            await stop
            return status, played.upstream.requests

    status, requests = asyncio.run(play())
    assert requests == [b"/stream/"]
    assert status in (None, 503)


@pytest.mark.parametrize("is_at_end", [False, True], ids=["after lag", "end"])
def test_a_request_that_waits_to_be_read_is_answered(is_at_end):
    """A caller's request met a reset: it had arrived, but was not read yet.

    The process was busy as its stop closed idle connections. Idle meant that
    no byte of a request was parsed; bytes that waited in the socket were not
    looked at, and the kernel resets a connection that is closed on them.
    """

    async def play():
        async with playing() as played:
            played.upstream.answers.set()
            caller = await played.connect()
            caller.ask("/plain/")
            assert await caller.status() == 200
            await caller.reader.readexactly(4)
            # Without a turn of the loop between the send and the close.
            caller.ask("/plain/")
            if is_at_end:
                await played.app.front.end(HANG_S)
            else:
                await played.app.drain()
            return await caller.status()

    assert asyncio.run(play()) == 200


def test_an_answer_that_a_caller_reads_slowly_leaves_whole():
    """A large answer was cut off in a planned stop, in the middle.

    Its caller was on a slow link. The request counted as answered once the
    last byte was in the process's own buffer; the drain, which counted open
    requests, ended, the process with it, and the buffer never left.
    """

    async def play():
        async with playing() as played:
            # More than the kernel's buffers take.
            played.upstream.body = b"x" * 7_000_000
            played.upstream.answers.set()
            caller = await played.connect()
            caller.ask("/plain/")
            await played.upstream.arrived.wait()
            await until(lambda: not played.app.forwarder.open_requests)
            drain = asyncio.create_task(played.app.drain())
            await asyncio.wait([drain], timeout=MEANWHILE_S)
            reading = asyncio.create_task(caller.rest())
            await drain
            played.end_process()
            head, _, body = (await reading).partition(b"\r\n\r\n")
            return head, len(body)

    head, size = asyncio.run(play())
    assert head.startswith(b"HTTP/1.1 200")
    assert size == 7_000_000


def test_a_request_that_is_being_sent_is_awaited():
    """A planned stop closed connections on callers that were sending.

    One had sent the head of its request and half of the body when the last
    open request was answered. The drain looked at whole requests only, so the
    process ended on this one.
    """

    async def play():
        async with playing() as played:
            played.upstream.answers.set()
            caller = await played.connect()
            caller.writer.write(
                b"POST /once/ HTTP/1.1\r\nHost: h\r\nRequest-Id: q\r\n"
                b"Content-Length: 4\r\n\r\nha"
            )
            front = played.app.front
            await until(lambda: any(not c.is_idle for c in front.connections))
            drain = asyncio.create_task(played.app.drain())
            await asyncio.wait([drain], timeout=MEANWHILE_S)
            caller.writer.write(b"lf")
            status = await caller.status()
            await drain
            return status

    assert asyncio.run(play()) == 200


def with_grace(grace_s: float) -> serving.Bounds:
    return dataclasses.replace(INSTANCE.bounds, grace_s=grace_s)


@pytest.mark.parametrize(
    ("at_start", "at_signal", "in_drain", "status"),
    [
        # Longer than at the start: the answer is waited for.
        pytest.param(0.7, 600.0, 600.0, 200, id="longer before"),
        pytest.param(0.7, 0.9, 600.0, 200, id="longer in the drain"),
        # Shorter: the drain ends in time for the rest of the stop.
        pytest.param(600.0, 0.7, 0.7, None, id="shorter before"),
        pytest.param(600.0, 600.0, 0.7, None, id="shorter in the drain"),
    ],
)
def test_the_grace_in_force_bounds_the_drain(
    at_start, at_signal, in_drain, status
):
    """A process was killed in the middle of its drain, with all its callers.

    The settings file had named a shorter grace for some time, and the process
    had taken it in; but the drain went by the settings of the start. With a
    longer grace it broke requests off that had seconds left.
    """

    async def play():
        async with playing(bounds=with_grace(at_start)) as played:
            played.app.state.bounds = with_grace(at_signal)
            caller = await played.connect()
            caller.ask("/once/")
            await played.upstream.arrived.wait()
            drain = asyncio.create_task(played.app.drain())
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            played.app.state.bounds = with_grace(in_drain)
            if status is None:
                await drain
                return None
            await asyncio.wait([drain], timeout=MEANWHILE_S)
            if drain.done():
                played.end_process()
            played.upstream.answers.set()
            answered = await caller.status()
            await drain
            return answered

    assert asyncio.run(play()) == status


def test_a_grace_shorter_than_the_balancers_lag_is_kept(monkeypatch):
    """With a grace of 2 s a process was killed before its drain looked once.

    It slept for as long as the balancer needs to turn away, 2.6 s, however
    short the grace.
    """
    monkeypatch.setattr(app_lib, "BALANCER_LAG_S", 500.0)

    async def play():
        async with playing(bounds=with_grace(0.7)) as played:
            await played.app.drain()

    asyncio.run(play())


@pytest.mark.parametrize(
    ("path", "is_sent", "status"),
    [
        # Sent nowhere: the caller may ask elsewhere, at once.
        ("/once/", False, 503),
        ("/plain/", False, 503),
        ("/stream/", False, 503),
        # It may have run, so nothing is promised.
        ("/once/", True, 502),
        ("/plain/", True, 502),
    ],
)
def test_what_is_open_at_the_graces_end_is_told_the_truth(
    monkeypatch, path, is_sent, status
):
    """A request that waited for its turn met a 500 as its instance stopped.

    It had been sent nowhere, and its caller did not dare to ask elsewhere.
    Nobody told requests of the grace's end: the end of the process cancelled
    them, and each took that for a fault of ours.
    """

    async def never(*_):
        await asyncio.Event().wait()

    if not is_sent:
        monkeypatch.setattr(connection_pool_lib.ConnectionPool, "take", never)

    async def play():
        async with playing(bounds=with_grace(0.9)) as played:
            caller = await played.connect()
            caller.ask(path)
            await until(lambda: played.app.forwarder.open_requests)
            if is_sent:
                await played.upstream.arrived.wait()
            await played.app.drain()
            played.end_process()
            return await caller.status()

    assert asyncio.run(play()) == status


def test_a_request_of_the_very_last_moment_is_refused(monkeypatch):
    """The end of a drain came between a request's arrival and its first step.

    A task that is cancelled before its first step never runs at all, so
    nobody answered the caller.
    """
    handle = forwarder_lib.Forwarder.handle

    def handle_and_end(self, request, response_writer) -> None:
        handle(self, request, response_writer)
        self.stop = stopping.Stop(0.0, math.inf)
        self.end()

    monkeypatch.setattr(forwarder_lib.Forwarder, "handle", handle_and_end)

    async def play():
        async with playing() as played:
            caller = await played.connect()
            caller.ask("/plain/")
            return await caller.status(), played.upstream.requests

    assert asyncio.run(play()) == (503, [])


def test_a_stream_that_the_grace_cuts_does_not_look_complete():
    """A stream that outlasts its instance's grace ends without its end."""

    async def play():
        async with playing(bounds=with_grace(0.9)) as played:
            caller = await played.connect()
            caller.ask("/stream/")
            assert await caller.status() == 200
            await played.app.drain()
            played.end_process()
            return await caller.rest()

    received = asyncio.run(play())
    assert EVENTS in received
    assert not received.endswith(b"0\r\n\r\n")


def test_half_a_request_at_the_graces_end_is_refused():
    """A caller sent its request too slowly for the rest of a planned stop.

    Its connection broke, though nothing of the request was used. Half of a
    request is nobody's in a drain: it is no open request yet.
    """

    async def play():
        async with playing(bounds=with_grace(0.9)) as played:
            caller = await played.connect()
            caller.writer.write(b"POST /once/ HTTP/1.1\r\nHost: h\r\n")
            front = played.app.front
            await until(lambda: any(not c.is_idle for c in front.connections))
            await played.app.drain()
            played.end_process()
            return await caller.status()

    assert asyncio.run(play()) == 503


@pytest.mark.parametrize("grace_s", [2.0, 4.0, 8.0])
def test_a_stop_ends_in_its_grace_while_the_store_is_silent(
    monkeypatch, grace_s
):
    """A process was killed at its grace's end, in the middle of its stop.

    Its drain had used the grace up to the margin, and the store was silent:
    the lease's release waited 1 s for an answer, the registration's end half
    a second more. The margin is 0.6 s.
    """

    async def silent(*_, **__):
        await asyncio.sleep(store_client.CALL_TIMEOUT_S)
        return store.Unknown("no answer in time")

    monkeypatch.setattr(store_client.StoreClient, "append", silent)
    monkeypatch.setattr(forwarder_lib.Forwarder, "open_requests", 1)
    instance = dataclasses.replace(INSTANCE, bounds=with_grace(grace_s))

    async def play() -> float:
        loop = asyncio.get_running_loop()
        app = app_lib.GatewayApp.from_config(
            instance, program.adapter(), Unchanged(instance)
        )
        components = app.components()
        me = fm.Member("front-1", 1, "z1", "127.0.0.1:1", -1, -1)
        app.mesh.join(me, b"secret", ())
        app.lease.machine = types.SimpleNamespace(
            holds=lambda now_s: True, fence=3, released=lambda offset: None
        )
        begun_s = loop.time()
        await app.drain()
        for component in reversed(components):
            with contextlib.suppress(TimeoutError):
                await component.stop()
        return loop.time() - begun_s

    with asyncio.Runner(loop_factory=jumping_loop.JumpingLoop) as runner:
        assert runner.run(play()) <= grace_s


def test_a_stop_before_the_first_configuration_is_a_stop_as_any():
    """An instance that is stopped in its start refuses and ends in order."""

    async def play():
        async with playing(is_configured=False) as played:
            caller = await played.connect()
            drain = asyncio.create_task(played.app.drain())
            await asyncio.sleep(0)
            caller.ask("/plain/")
            status = await caller.status()
            await drain
            return status

    assert asyncio.run(play()) == 503


def test_a_stop_in_the_moment_of_the_start_ends():
    """No part has taken its first step when the signal's event is seen."""

    async def play():
        app = app_lib.GatewayApp.from_config(
            INSTANCE, program.adapter(), Unchanged(INSTANCE)
        )
        tree = supervisor.Supervisor(app.components()[:1])
        tree.start()
        async with asyncio.timeout(HANG_S):
            await app.drain()
            await tree.stop()

    asyncio.run(play())


def test_new_settings_in_a_drain_change_it_and_end_nothing():
    """Settings change, and a signal says so, while an instance drains."""

    async def play():
        async with playing() as played:
            app = played.app
            caller = await played.connect()
            caller.ask("/once/")
            await played.upstream.arrived.wait()
            drain = asyncio.create_task(app.drain())
            await asyncio.sleep(0)
            app.reload()
            app.state.apply_settings(
                dataclasses.replace(INSTANCE, bounds=with_grace(500.0))
            )
            await asyncio.wait([drain], timeout=MEANWHILE_S)
            played.upstream.answers.set()
            status = await caller.status()
            await drain
            return status

    assert asyncio.run(play()) == 200


def test_a_route_that_goes_does_not_end_its_requests():
    """Configurations take a route away, and its upstream, under a request.

    The route, its service and the upstream's entry all go while the answer
    is awaited; the answer is delivered, and the next request finds no route.
    """

    async def play():
        async with playing() as played:
            state = played.app.state
            caller = await played.connect()
            caller.ask("/once/")
            await played.upstream.arrived.wait()
            state.offer_configuration(
                dataclasses.replace(
                    CONFIGURATION, version=2, routes=(), services={}
                )
            )
            state.directory.lapse_unlisted((), -1000.0)
            swept = state.directory.remove_lapsed(
                asyncio.get_running_loop().time()
            )
            for known in state.directory:
                played.app.connection_pool.drop(known.entry.address)
            played.upstream.answers.set()
            first = await caller.status()
            await caller.reader.readexactly(4)
            caller.ask("/once/")
            return first, await caller.status(), swept

    assert asyncio.run(play()) == (200, 404, [])


def test_a_stream_that_ends_at_a_slow_caller_leaves_its_connection_usable(
    monkeypatch,
):
    """A request got no answer until its timeout, from an upstream at ease.

    The stream before it on that connection had a slow caller, so reading the
    upstream was paused, in the very read that held the stream's end. The
    connection went back to the kept ones as it was, and nobody read on it.
    """
    write = front_lib.FrontConnection.write

    def write_slowly(self, data: bytes) -> None:
        write(self, data)
        # As a transport whose buffer is full.
        self.pause_writing()

    monkeypatch.setattr(front_lib.FrontConnection, "write", write_slowly)

    async def play():
        async with playing() as played:
            played.upstream.answers.set()
            caller = await played.connect()
            caller.ask("/stream/")
            assert await caller.status() == 200
            await caller.reader.readuntil(b"\r\n0\r\n\r\n")
            caller.ask("/plain/")
            return await caller.status(), played.app.connection_pool.opened

    assert asyncio.run(play()) == (200, 1)


def test_a_request_that_waited_too_long_in_a_stop_is_not_sent(monkeypatch):
    """A stream was cut off at its instance's end, some seconds after its begin.

    Its request had come before the stop and waited for its model. As the model
    was there, too little of the grace was left for so many tokens; that was
    only looked at as a request arrived, and an engine began on what the kill
    would cut off.
    """
    monkeypatch.setattr(stopping, "ACCEPT_ALL_S", 0.0)
    found = asyncio.Event()

    async def play():
        async with playing(bounds=with_grace(20.0)) as played:
            known = next(iter(played.app.state.directory))

            async def find(*_):
                await found.wait()
                return known

            monkeypatch.setattr(engine_search.EngineSearch, "find", find)
            caller = await played.connect()
            # 1,500 tokens take half a minute, and the grace is 20 s.
            caller.ask("/model/", "Model: m\r\nToken-Usage: 800,1500\r\n")
            await until(lambda: played.app.forwarder.open_requests)
            drain = asyncio.create_task(played.app.drain())
            await asyncio.sleep(0)
            found.set()
            status = await caller.status()
            played.end_process()
            await drain
            return status, played.upstream.requests

    assert asyncio.run(play()) == (503, [])


@pytest.mark.parametrize("path", ["/model/", "/plain/"])
def test_a_route_without_targets_is_refused_with_a_time(path):
    """Callers of a model's route that goes nowhere got a 500.

    Operators had declared a route without service, or with weights of nothing.
    The demand for a model is counted for the first target's service, and
    there was none: an IndexError. A 500 promises nothing, so callers did not
    try again what must run once, though it had run nowhere.
    """

    async def play():
        async with playing() as played:
            routes = tuple(
                dataclasses.replace(one, targets=())
                for one in CONFIGURATION.routes
            )
            newer = dataclasses.replace(CONFIGURATION, version=2, routes=routes)
            played.app.state.offer_configuration(newer)
            caller = await played.connect()
            caller.ask(path, "Model: m\r\nToken-Usage: 800,15\r\n")
            head = await caller.reader.readuntil(b"\r\n\r\n")
            return head, played.upstream.requests

    head, requests = asyncio.run(play())
    assert head.startswith(b"HTTP/1.1 503 ")
    assert b"retry-after: " in head.lower()
    assert requests == []


def test_a_connection_that_never_asks_ends_in_order():
    """A caller that connects in a stop and asks nothing sees a plain end."""

    async def play():
        async with playing() as played:
            first = await played.connect()
            first.ask("/once/")
            await played.upstream.arrived.wait()
            drain = asyncio.create_task(played.app.drain())
            await asyncio.wait([drain], timeout=MEANWHILE_S)
            silent = await played.connect()
            played.upstream.answers.set()
            assert await first.status() == 200
            await drain
            # Raises where the connection was reset.
            return await silent.reader.read()

    assert asyncio.run(play()) == b""


@pytest.mark.parametrize("grace_s", [2.0, 3.0, 8.0])
def test_open_requests_have_the_grace_up_to_its_last_sixth(
    monkeypatch, grace_s
):
    """With a grace of 2 s a stream was cut off 0.6 s before its time was over.

    What an upstream is still at work on in the last sixth of the grace may
    end with the process. The margin for the process's own end was the same
    for any grace, and larger than that sixth where the grace is short.
    """
    monkeypatch.setattr(forwarder_lib.Forwarder, "open_requests", 1)
    ended_s = []
    monkeypatch.setattr(
        forwarder_lib.Forwarder,
        "end",
        lambda self: ended_s.append(asyncio.get_running_loop().time()),
    )
    instance = dataclasses.replace(INSTANCE, bounds=with_grace(grace_s))

    async def play() -> float:
        app = app_lib.GatewayApp.from_config(
            instance, program.adapter(), Unchanged(instance)
        )
        app.components()
        begun_s = asyncio.get_running_loop().time()
        await app.drain()
        return begun_s

    with asyncio.Runner(loop_factory=jumping_loop.JumpingLoop) as runner:
        begun_s = runner.run(play())
    share = (ended_s[0] - begun_s) / grace_s
    assert 5 / 6 <= share < 1


def test_a_taken_port_of_the_metrics_ends_no_instance():
    """An instance ended at each start: another program had its metrics' port.

    All that listens was vital, also what only metrics are read from, and the
    failure of a vital part ends the process with all its callers' streams.
    """

    async def play() -> bool:
        taken = await asyncio.start_server(lambda *_: None, "127.0.0.1", 0)
        port = taken.sockets[0].getsockname()[1]
        adapter = dataclasses.replace(program.adapter(), metrics_port=port)
        app = app_lib.GatewayApp.from_config(
            INSTANCE, adapter, Unchanged(INSTANCE)
        )
        listeners = [
            one
            for one in app.components()
            if one.name in ("front", "ready", "metrics")
        ]
        tree = supervisor.Supervisor(listeners)
        tree.start()
        failed = asyncio.create_task(tree.failed())
        await until(lambda: app.front.address)
        # The metrics' listener fails in the same turns in which the front
        # gets its port.
        for _ in range(20):
            await asyncio.sleep(0)
        ended = failed.done()
        failed.cancel()
        await tree.stop()
        taken.close()
        return ended

    assert not asyncio.run(play())


def test_a_stop_before_anybody_was_served_waits_for_nobody(monkeypatch):
    """An instance whose port was taken ended three seconds later than it could.

    It waited out the balancer's lag, as in any stop, though its front door had
    never opened. So its next start, which might have got the port, came later.
    """
    monkeypatch.setattr(app_lib, "BALANCER_LAG_S", 500.0)

    async def play():
        app = app_lib.GatewayApp.from_config(
            INSTANCE, program.adapter(), Unchanged(INSTANCE)
        )
        app.components()
        async with asyncio.timeout(HANG_S):
            await app.drain()

    asyncio.run(play())
