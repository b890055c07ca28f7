"""A fake upstream of the platform whose answers the test releases.

A test that interrupts answers at a chosen moment must hold them at that moment.
This upstream sends the first half of a stream, or nothing of a plain answer,
until the test releases it, so nothing depends on time. It records which
requests ran, and whether a connection was closed before the answer's end.

A request that names a model is answered by a stream of events, each of which
names the upstream's version; any other one by a plain answer. A stream is
resumed after any event, also one that another version sent: nothing is checked.
Orders are answered as by an engine, and loads are complete at once; an unload
waits for the streams that use its target.
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

EVENT_COUNT = 10
# Events that are sent before the test releases the rest.
EVENTS_BEFORE_HOLD = 5
# The software version of upstreams for which a test states none.
VERSION = "1"
_POLL_INTERVAL_S = 0.01
# Everything fits: tests of memory limits use the simulated engine directly.
_UNLIMITED_CAPACITY = simulated_engine.EngineCapacity(
    collections.defaultdict(float), float("inf"), 0.0, 1000
)
_STATUS_CODES = {
    serving.OrderAnswer.ACCEPTED: 202,
    serving.OrderAnswer.ALREADY_DONE: 200,
    serving.OrderAnswer.CONFLICT: 409,
    serving.OrderAnswer.REFUSED: 400,
}


@dataclasses.dataclass(slots=True)
class Run:
    """A request that this upstream ran.

    Attributes:
      answer: The complete body of the answer.
      is_cut: Whether the connection was closed before the end of the answer.
      headers: Of the request, by name in lower case.
    """

    request_id: str
    method: str
    path: str
    body: bytes
    signature: str
    answer: bytes
    is_cut: bool = False
    headers: dict[str, str] = dataclasses.field(default_factory=dict)


class PlatformUpstream(base.FakeServer):
    """One incarnation of an upstream: a server and its entry in the store.

    Attributes:
      rejection_limit: Stated in all its answers, unless it is None.
      pause_s: If set, it turns all requests away and asks for a pause.
      says_leaving: Whether all its answers say that it leaves.
      arrived_s: Monotonic times at which requests reached it.
      most_running: The most plain answers that were held at the same time.
      crashing_part: The part of a prompt under which it crashes as it begins
        to answer; empty for none.
      crashing_body: The same for a request's body.
      is_crashed: Whether it has crashed.
    """

    def __init__(
        self,
        store: platform_store.PlatformStore,
        instance_id: str,
        service: str,
        zone: str,
        models: tuple[str, ...] = (),
        answer_bytes: int = 200,
        slots: int = 16,
        version: str = VERSION,
        event_interval_s: float | None = None,
    ):
        """Creates the upstream; `start` serves.

        Args:
          store: Where it registers itself.
          instance_id: The id of this incarnation.
          service: The service that it belongs to.
          zone: Where it runs.
          models: The models that it holds, if it is an engine.
          answer_bytes: The length of a plain answer.
          slots: The requests that it runs at the same time, by its entry.
          version: The version of its software.
          event_interval_s: Time between the events of a stream, which is then
            never held.
        """
        super().__init__(instance_id, "127.0.0.1:0", threads=16)
        self.instance_id = instance_id
        self.runs: list[Run] = []
        self._store = store
        self._service = service
        self._zone = zone
        self._engine = simulated_engine.SimulatedEngine(
            _UNLIMITED_CAPACITY, models
        )
        self._answer_bytes = answer_bytes
        self._slots = slots
        self._version = version
        self._event_interval_s = event_interval_s
        self.rejection_limit: int | None = None
        self.pause_s: float | None = None
        self.says_leaving = False
        self.arrived_s: list[float] = []
        self.most_running = 0
        self._running = 0
        self._born_ms = int(time.time() * 1000)
        self._lock = threading.Lock()
        self._released = threading.Event()
        self.crashing_part = ""
        self.crashing_body = b""
        self.is_crashed = False
        self.route("GET", "/v1/report", self._report)
        self.route("POST", "/v1/order", self._order)
        self.route("GET", "/health", self._health)
        self.route("ANY", "/.*", self._call)

    def start(self) -> None:
        """Starts serving, and registers itself."""
        self.server.start()
        self.register()

    def shut_down(self) -> None:
        """Removes its entry and stops."""
        self.unregister()
        self.release_answers()
        self.server.shut_down()

    def crash(self) -> None:
        """Cuts all streams and stops; the entry in the store stays."""
        self.is_crashed = True
        self.server.shut_down()

    def register(self, state: str = "ready") -> None:
        """Writes its entry: `ready`, or `draining` if it leaves."""
        self._store.write(
            platform_store.UPSTREAMS_TOPIC,
            self.instance_id,
            {
                "service": self._service,
                "address": self.server.address,
                "zone": self._zone,
                "version": self._version,
                "slots": self._slots,
                "state": state,
                "coldRemainingMs": 0,
                "sequence": 1,
                "born": self._born_ms,
                "models": self._resident_models(),
            },
        )

    def unregister(self) -> None:
        """Removes its entry."""
        self._store.delete(platform_store.UPSTREAMS_TOPIC, self.instance_id)

    def release_answers(self) -> None:
        """Sends what is held; from now on holds nothing."""
        self._released.set()

    def hold_answers(self) -> None:
        """Holds answers from now on, as after the start."""
        self._released.clear()

    def runs_of(self, request_id: str) -> list[Run]:
        """Returns the runs of one request."""
        with self._lock:
            return [run for run in self.runs if run.request_id == request_id]

    # -- reports, orders and health --------------------------------------

    def _resident_models(self) -> list[dict[str, Any]]:
        return [
            {"name": one.name, "version": 1, "adapters": sorted(one.adapters)}
            for one in self._engine.held()
        ]

    def _report(self, _request: base.Request) -> base.Response:
        headers = {"Server-Leaving": "1"} if self.says_leaving else None
        with self._lock:
            return base.Response(
                {
                    "stage": "both",
                    "born": self._born_ms,
                    "models": self._resident_models(),
                    "busy": self._engine.is_busy,
                    "sequence": self._engine.orders,
                    "queued": 0,
                    "inFlight": 0,
                    "kvUsed": 0,
                    "kvTotal": 100_000,
                    "handles": 0,
                },
                headers=headers,
            )

    def _order(self, request: base.Request) -> base.Response:
        order = request.json()
        target = order["model"]
        if order.get("adapter"):
            target = f"{target}/{order['adapter']}"
        order_to_apply = simulated_engine.Order(
            order["operation"] == "load", target, order.get("precondition")
        )
        with self._lock:
            answer = self._engine.apply(order_to_apply)
            self._engine.complete()
            body = {"sequence": self._engine.orders}
        self.register()
        return base.Response(body, _STATUS_CODES[answer])

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
        with self._lock:
            self.arrived_s.append(time.monotonic())
        if self.pause_s is not None:
            headers = {
                "Request-Id": request_id,
                "Not-Executed": "1",
                "Retry-After": str(self.pause_s),
            }
            return base.Response({}, 503, headers)
        is_stream = bool(request.header("Model"))
        run = Run(
            request_id,
            request.method,
            request.path,
            body,
            f"{self.instance_id}.{request_id}",
            b"".join(self._events(request))
            if is_stream
            else _plain_answer(request_id, self._answer_bytes),
            headers=request.headers(),
        )
        with self._lock:
            self.runs.append(run)
        headers = {
            "Request-Id": request_id,
            "Response-Signature": run.signature,
        }
        if self.rejection_limit is not None:
            headers["Server-Brittle"] = str(self.rejection_limit)
        if self.says_leaving:
            headers["Server-Leaving"] = "1"
        caller_socket = request.environ[http_server.CONNECTION].socket
        if self._is_crashed_by(request):
            self._crash_while_answering(run, caller_socket)
        if is_stream:
            target = request.header("Model")
            headers["Content-Type"] = "text/event-stream"
            headers["Weight-Versions"] = "1"
            events = self._events(request)
            stream = self._stream(run, events, caller_socket, target)
            return base.Response(stream, headers=headers)
        with self._lock:
            self._running += 1
            self.most_running = max(self.most_running, self._running)
        self._wait_until_released(run, caller_socket)
        with self._lock:
            self._running -= 1
        return base.Response(run.answer, headers=headers)

    def _is_crashed_by(self, request: base.Request) -> bool:
        if self.crashing_body and self.crashing_body == request.body:
            return True
        return bool(self.crashing_part) and (
            self.crashing_part in _shared_parts(request)
        )

    def _crash_while_answering(
        self, run: Run, caller_socket: socket.socket
    ) -> None:
        run.is_cut = True
        self.is_crashed = True
        caller_socket.shutdown(socket.SHUT_RDWR)
        # Not from this thread: the server waits for all of its threads.
        threading.Thread(target=self.server.shut_down, daemon=True).start()

    def _events(self, request: base.Request) -> list[bytes]:
        """Returns the events of a stream from where it is resumed."""
        events = _events(request.header("Request-Id"), self._version)
        return events[int(request.header("Last-Event-Id", "0")) :]

    def _stream(
        self,
        run: Run,
        events: list[bytes],
        caller_socket: socket.socket,
        target: str,
    ) -> Iterator[bytes]:
        is_complete = False
        with self._lock:
            self._engine.begin_request(target)
        try:
            if self._event_interval_s is not None:
                yield from self._paced(events, caller_socket)
            else:
                yield b"".join(events[:EVENTS_BEFORE_HOLD])
                self._wait_until_released(run, caller_socket)
                if self.is_crashed:
                    return
                yield from events[EVENTS_BEFORE_HOLD:]
            is_complete = not self.is_crashed
        finally:
            run.is_cut = run.is_cut or not is_complete
            with self._lock:
                self._engine.end_request(target)
                self._engine.complete()

    def _paced(
        self, events: list[bytes], caller_socket: socket.socket
    ) -> Iterator[bytes]:
        for event in events:
            if self.is_crashed:
                caller_socket.shutdown(socket.SHUT_RDWR)
                return
            yield event
            time.sleep(self._event_interval_s)

    def _wait_until_released(
        self, run: Run, caller_socket: socket.socket
    ) -> None:
        """Waits until the test releases it, or the connection is closed."""
        while not self._released.wait(_POLL_INTERVAL_S):
            if self.is_crashed:
                caller_socket.shutdown(socket.SHUT_RDWR)
                return
            if _is_closed(caller_socket):
                run.is_cut = True
                return


def _shared_parts(request: base.Request) -> list[str]:
    """Returns the ids of a prompt's parts but for the last."""
    parts = request.header("Prompt-Prefix").split(",")
    return [part.partition(":")[0] for part in parts[:-1]]


def _is_closed(caller_socket: socket.socket) -> bool:
    """Returns whether the peer closed; it must not send anything meanwhile."""
    if not select.select([caller_socket], [], [], 0)[0]:
        return False
    try:
        return caller_socket.recv(1, socket.MSG_PEEK) == b""
    except ConnectionError:
        return True


def first_events(request_id: str) -> bytes:
    """Returns what is sent of a stream before the test releases the rest."""
    return b"".join(_events(request_id)[:EVENTS_BEFORE_HOLD])


def _events(request_id: str, version: str = VERSION) -> list[bytes]:
    return [
        f"id: {number}\ndata: {request_id} {number} {version}\n\n".encode()
        for number in range(1, EVENT_COUNT + 1)
    ]


def _plain_answer(request_id: str, length: int) -> bytes:
    """Returns an answer that is unique to the request."""
    repeated = f"{request_id} ".encode()
    return (repeated * (length // len(repeated) + 1))[:length]
