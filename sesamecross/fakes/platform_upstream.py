"""A stand-in for an upstream of the platform, paced by hand.

Why: a test that cuts answers off at the right moment must hold them at that
moment. This upstream sends the first half of a stream, or nothing of a plain
answer, until the test lets go; so nothing depends on time. It remembers which
requests ran, and whether the connection of one was closed in the middle.

A request that names a model is answered by a stream of events, any other one
by a plain answer. Orders are answered as by an engine, and what they load is
there at once; an unload waits for the streams that use its target.
"""

import collections
from collections.abc import Iterator
import dataclasses
import select
import socket
import threading
import time
from typing import Any

from sesamecross.core import serving
from sesamecross.fakes import base
from sesamecross.fakes import platform_store
from sesamecross.fakes import simulated_engine
from sesamecross.runtime import http_server

EVENTS = 10
# How many events are sent before the test lets go of the rest.
EVENTS_BEFORE = 5
_LOOK_S = 0.01
# Everything fits: tests of room use the holdings by themselves.
_ROOM = simulated_engine.EngineCapacity(
    collections.defaultdict(float), float("inf"), 0.0, 1000
)
_STATUS = {
    serving.OrderAnswer.ACCEPTED: 202,
    serving.OrderAnswer.ALREADY_DONE: 200,
    serving.OrderAnswer.CONFLICT: 409,
    serving.OrderAnswer.REFUSED: 400,
}


@dataclasses.dataclass(slots=True)
class Run:
    """A request that this upstream ran.

    Attributes:
      answer: The whole body that belongs to the request.
      is_cut: The connection was closed before the answer's end.
    """

    request_id: str
    method: str
    path: str
    body: bytes
    signature: str
    answer: bytes
    is_cut: bool = False


class PlatformUpstream(base.FakeServer):
    """One life of an upstream: a server, and its entry in the store."""

    def __init__(
        self,
        store: platform_store.PlatformStore,
        instance_id: str,
        service: str,
        zone: str,
        models: tuple[str, ...] = (),
        answer_bytes: int = 200,
    ):
        """Sets the upstream up.

        Args:
          store: Where it registers itself.
          instance_id: Of this life.
          service: Which one it belongs to.
          zone: Where it runs.
          models: What it serves, if it is an engine.
          answer_bytes: The length of a plain answer.
        """
        super().__init__(instance_id, "127.0.0.1:0", threads=16)
        self.instance_id = instance_id
        self.runs: list[Run] = []
        self._store = store
        self._service = service
        self._zone = zone
        self._holdings = simulated_engine.SimulatedEngine(_ROOM, models)
        self._answer_bytes = answer_bytes
        self._born = int(time.time() * 1000)
        self._lock = threading.Lock()
        self._let_go = threading.Event()
        self.route("GET", "/v1/report", self._report)
        self.route("POST", "/v1/order", self._order)
        self.route("GET", "/health", self._health)
        self.route("ANY", "/.*", self._call)

    def start(self) -> None:
        """Serves, and registers itself."""
        self.server.start()
        self.register()

    def shut_down(self) -> None:
        """Removes its entry and ends."""
        self.unregister()
        self.release_answers()
        self.server.shut_down()

    def register(self, state: str = "ready") -> None:
        """Writes its entry: `ready`, or `draining` where it leaves."""
        self._store.write(
            platform_store.UPSTREAMS_TOPIC,
            self.instance_id,
            {
                "service": self._service,
                "address": self.server.address,
                "zone": self._zone,
                "version": "1",
                "slots": 16,
                "state": state,
                "coldRemainingMs": 0,
                "sequence": 1,
                "born": self._born,
                "models": self._held(),
            },
        )

    def unregister(self) -> None:
        """Removes its entry."""
        self._store.drop(platform_store.UPSTREAMS_TOPIC, self.instance_id)

    def release_answers(self) -> None:
        """Sends what is held, and holds nothing from now on."""
        self._let_go.set()

    def hold(self) -> None:
        """Holds answers from now on, as at the start."""
        self._let_go.clear()

    def runs_of(self, request_id: str) -> list[Run]:
        """Returns the runs of one request."""
        with self._lock:
            return [run for run in self.runs if run.request_id == request_id]

    # -- the engine's own calls ------------------------------------------

    def _held(self) -> list[dict[str, Any]]:
        return [
            {"name": one.name, "version": 1, "adapters": sorted(one.adapters)}
            for one in self._holdings.held()
        ]

    def _report(self, _request: base.Request) -> base.Response:
        with self._lock:
            return base.Response(
                {
                    "stage": "both",
                    "born": self._born,
                    "models": self._held(),
                    "busy": self._holdings.is_busy,
                    "sequence": self._holdings.orders,
                    "queued": 0,
                    "inFlight": 0,
                    "kvUsed": 0,
                    "kvTotal": 100_000,
                    "handles": 0,
                }
            )

    def _order(self, request: base.Request) -> base.Response:
        order = request.json()
        target = order["model"]
        if order.get("adapter"):
            target = f"{target}/{order['adapter']}"
        sent = simulated_engine.Order(
            order["operation"] == "load", target, order.get("precondition")
        )
        with self._lock:
            answer = self._holdings.apply(sent)
            self._holdings.complete()
            body = {"sequence": self._holdings.orders}
        self.register()
        return base.Response(body, _STATUS[answer])

    def _health(self, _request: base.Request) -> base.Response:
        return base.Response({}, headers={"Instance-Id": self.instance_id})

    # -- requests --------------------------------------------------------

    def _call(self, request: base.Request) -> base.Response:
        body = request.body
        request_id = request.header("Request-Id")
        expected = request.header("Expected-Instance", self.instance_id)
        if expected != self.instance_id:
            headers = {
                "Request-Id": request_id,
                "Instance-Id": self.instance_id,
            }
            return base.Response({}, 421, headers)
        is_stream = bool(request.header("Model"))
        run = Run(
            request_id,
            request.method,
            request.path,
            body,
            f"{self.instance_id}.{request_id}",
            b"".join(_events(request_id))
            if is_stream
            else _plain(request_id, self._answer_bytes),
        )
        with self._lock:
            self.runs.append(run)
        headers = {
            "Request-Id": request_id,
            "Response-Signature": run.signature,
        }
        caller = request.environ[http_server.CONNECTION].socket
        if is_stream:
            target = request.header("Model")
            headers["Content-Type"] = "text/event-stream"
            headers["Weight-Versions"] = "1"
            stream = self._stream(run, caller, target)
            return base.Response(stream, headers=headers)
        self._hold(run, caller)
        return base.Response(run.answer, headers=headers)

    def _stream(
        self, run: Run, caller: socket.socket, target: str
    ) -> Iterator[bytes]:
        events = _events(run.request_id)
        is_whole = False
        with self._lock:
            self._holdings.begin_request(target)
        try:
            yield b"".join(events[:EVENTS_BEFORE])
            self._hold(run, caller)
            yield from events[EVENTS_BEFORE:]
            is_whole = True
        finally:
            run.is_cut = run.is_cut or not is_whole
            with self._lock:
                self._holdings.end_request(target)
                self._holdings.complete()

    def _hold(self, run: Run, caller: socket.socket) -> None:
        """Waits until the test lets go, or the connection is closed."""
        while not self._let_go.wait(_LOOK_S):
            if _is_closed(caller):
                run.is_cut = True
                return


def _is_closed(caller: socket.socket) -> bool:
    """Tells whether the other side closed; it sends nothing meanwhile."""
    if not select.select([caller], [], [], 0)[0]:
        return False
    try:
        return caller.recv(1, socket.MSG_PEEK) == b""
    except ConnectionError:
        return True


def first_events(request_id: str) -> bytes:
    """Returns what is sent of a stream before the test lets go."""
    return b"".join(_events(request_id)[:EVENTS_BEFORE])


def _events(request_id: str) -> list[bytes]:
    return [
        f"id: {number}\ndata: {request_id} {number}\n\n".encode()
        for number in range(1, EVENTS + 1)
    ]


def _plain(request_id: str, length: int) -> bytes:
    """Returns an answer that differs from that of any other request."""
    piece = f"{request_id} ".encode()
    return (piece * (length // len(piece) + 1))[:length]
