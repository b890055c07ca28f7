"""A plain upstream on bare sockets that records each request that reaches it.

Whether a request ran twice is known only to the upstreams, and depends on bytes
that a well-behaved server never sends: an answer that comes once more, a
refusal on an idle connection, a cut or a reset halfway. So this one writes
its bytes itself. All incarnations of all upstreams share one ledger.
"""

import contextlib
import dataclasses
import random
import re
import select
import socket
import struct
import threading
import time

from sesamecross.fakes import platform_store
from sesamecross.fakes import platform_upstream

MISDIRECTED = 421
HEAD_END = b"\r\n\r\n"
# Sent on an idle connection; names no request.
UNASKED_REFUSAL = (
    b"HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
)
LENGTH = re.compile(rb"\r\ncontent-length: *(\d+)", re.IGNORECASE)
REQUEST_ID = re.compile(rb"\r\nrequest-id: *([^\r]*)", re.IGNORECASE)
_EXPECTED = re.compile(rb"\r\nexpected-instance: *([^\r]*)", re.IGNORECASE)
# A close with this discards what is unsent and resets the connection.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
# More than is buffered on the way to a caller that does not read.
LARGE_ANSWER_BYTES = 6 * 1024 * 1024
_READ_BYTES = 65_536
_HANG_TIMEOUT_S = 30.0
_RUN_S = (0.002, 0.06)
_IDLE_BEFORE_REFUSAL_S = 0.02


@dataclasses.dataclass(frozen=True, slots=True)
class Faults:
    """How often something goes wrong, as shares of requests.

    Attributes:
      repeated: The answer before on the connection comes once more first.
      unasked: A refusal that names no request comes on a connection that has
        been idle for a moment, also on a new one.
      early: A request with a body is rejected before the body was read.
      unframed: The answer has no length and ends with its connection.
      cut: The connection ends within the answer.
      reset: The connection is reset after the request ran.
      unanswered: The request runs, and nothing is sent for a second.
      large: The answer has `LARGE_ANSWER_BYTES`.
    """

    repeated: float = 0.0
    unasked: float = 0.0
    early: float = 0.0
    unframed: float = 0.0
    cut: float = 0.0
    reset: float = 0.0
    unanswered: float = 0.0
    large: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A request that reached an upstream.

    Attributes:
      connection: Number of the connection at its upstream's address.
      position: How many requests the connection had carried before.
      status: With which it was to be answered.
      answer: The body of the answer if it ran, or None.
    """

    request_id: str
    instance_id: str
    address: str
    connection: int
    position: int
    status: int
    answer: bytes | None


class Ledger:
    """All requests that reached any upstream, in order."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._arrivals: list[Arrival] = []

    def record(self, arrival: Arrival) -> None:
        """Adds a request."""
        with self._lock:
            self._arrivals.append(arrival)

    def by_request(self) -> dict[str, list[Arrival]]:
        """Returns the arrivals of each request, in order."""
        found: dict[str, list[Arrival]] = {}
        with self._lock:
            for arrival in self._arrivals:
                found.setdefault(arrival.request_id, []).append(arrival)
        return found


class _Request:
    """What an upstream reads of a request's head."""

    __slots__ = ("request_id", "expected", "length")

    def __init__(self, head: bytes):
        named = REQUEST_ID.search(head)
        expected = _EXPECTED.search(head)
        length = LENGTH.search(head)
        self.request_id = named.group(1).decode() if named else ""
        self.expected = expected.group(1).decode() if expected else ""
        self.length = int(length.group(1)) if length else 0


class LedgerUpstream:
    """One address, with one incarnation of an upstream at a time.

    Attributes:
      instance_id: The id of the incarnation that serves now.
    """

    def __init__(
        self,
        store: platform_store.PlatformStore,
        ledger: Ledger,
        instance_id: str,
        service: str,
        zone: str,
        slots: int = 2,
        faults: Faults | None = None,
        seed: int = 0,
    ):
        self.instance_id = instance_id
        self._store = store
        self._ledger = ledger
        self._service = service
        self._zone = zone
        self._slots = slots
        self._faults = faults or Faults()
        self._rng = random.Random(f"{seed}/{instance_id}")
        self._lock = threading.Lock()
        self._running = 0
        self._born_ms = 0
        self._connections: set[socket.socket] = set()
        self._connections_opened = 0
        self._listener = socket.create_server(("127.0.0.1", 0))
        self._host, self._port = self._listener.getsockname()

    @property
    def address(self) -> str:
        """IP address and port; those of all its incarnations."""
        return f"{self._host}:{self._port}"

    # -- life ------------------------------------------------------------

    def start(self) -> None:
        """Serves, and registers itself."""
        self._born_ms = int(time.time() * 1000)
        listener = self._listener
        threading.Thread(
            target=self._accept, args=(listener,), daemon=True
        ).start()
        self.register(self.instance_id)

    def stop(self) -> None:
        """Closes all connections and stops; its entry stays."""
        # A thread that waits in `accept` keeps a closed socket open.
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        with self._lock:
            connections, self._connections = self._connections, set()
        for connection in connections:
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)

    def restart(self, instance_id: str, down_s: float) -> None:
        """Ends this incarnation; the next one has the same address.

        Args:
          instance_id: Of the next incarnation; may be the same.
          down_s: How long nobody has the address.
        """
        self.stop()
        time.sleep(down_s)
        self.instance_id = instance_id
        self._listener = socket.create_server((self._host, self._port))
        self.start()

    def hand_over(self, instance_id: str) -> None:
        """Another incarnation takes over the address and its connections."""
        self.instance_id = instance_id
        self._born_ms = int(time.time() * 1000)
        self.register(instance_id)

    def register(self, instance_id: str, state: str = "ready") -> None:
        """Writes the entry of an incarnation."""
        self._store.write(
            platform_store.UPSTREAMS_TOPIC,
            instance_id,
            {
                "service": self._service,
                "address": self.address,
                "zone": self._zone,
                "version": platform_upstream.VERSION,
                "slots": self._slots,
                "state": state,
                "coldRemainingMs": 0,
                "sequence": 1,
                "born": self._born_ms,
            },
        )

    def unregister(self, instance_id: str) -> None:
        """Removes the entry of an incarnation."""
        self._store.delete(platform_store.UPSTREAMS_TOPIC, instance_id)

    # -- connections -----------------------------------------------------

    def _accept(self, listener: socket.socket) -> None:
        with contextlib.suppress(OSError):
            while True:
                connection, _ = listener.accept()
                with self._lock:
                    self._connections.add(connection)
                    self._connections_opened += 1
                    number = self._connections_opened
                threading.Thread(
                    target=self._serve,
                    args=(connection, number),
                    daemon=True,
                ).start()

    def _serve(self, connection: socket.socket, number: int) -> None:
        connection.settimeout(_HANG_TIMEOUT_S)
        received, previous, position = b"", b"", 0
        with contextlib.suppress(OSError), connection:
            while True:
                if not received and self._happens(self._faults.unasked):
                    self._refuse_unasked(connection)
                while HEAD_END not in received:
                    received += _receive(connection)
                head, received = received.split(HEAD_END, 1)
                request = _Request(head)
                is_early = request.length > len(received) and self._happens(
                    self._faults.early
                )
                if not is_early:
                    received = _read_body(connection, received, request.length)
                if previous and self._happens(self._faults.repeated):
                    connection.sendall(previous)
                arrival = self._answer(
                    connection, number, position, request, is_early
                )
                previous = _encode(arrival)
                if is_early:
                    received = _read_body(connection, received, request.length)
                position += 1
        with self._lock:
            self._connections.discard(connection)

    def _happens(self, share: float) -> bool:
        with self._lock:
            return self._rng.random() < share

    def _refuse_unasked(self, connection: socket.socket) -> None:
        """Sends a refusal if no request comes for a moment."""
        if not select.select([connection], [], [], _IDLE_BEFORE_REFUSAL_S)[0]:
            connection.sendall(UNASKED_REFUSAL)

    # -- requests --------------------------------------------------------

    def _answer(
        self,
        connection: socket.socket,
        number: int,
        position: int,
        request: _Request,
        is_early: bool,
    ) -> Arrival:
        """Runs or rejects a request, records that, and sends the answer.

        Raises:
          OSError: The connection has ended.
        """
        instance_id = self.instance_id
        status, answer = 503, None
        if request.expected not in ("", instance_id):
            status = MISDIRECTED
        elif not is_early and self._take_slot():
            status = 200
            answer = f"{instance_id} ran {request.request_id}".encode()
            if self._happens(self._faults.large):
                answer = answer.ljust(LARGE_ANSWER_BYTES)
        arrival = Arrival(
            request.request_id,
            instance_id,
            self.address,
            number,
            position,
            status,
            answer,
        )
        self._ledger.record(arrival)
        if answer is None:
            connection.sendall(_encode(arrival))
            return arrival
        try:
            with self._lock:
                work_s = self._rng.uniform(*_RUN_S)
            time.sleep(work_s)
        finally:
            with self._lock:
                self._running -= 1
        self._send_answer(connection, arrival)
        return arrival

    def _take_slot(self) -> bool:
        with self._lock:
            if self._running >= self._slots:
                return False
            self._running += 1
            return True

    def _send_answer(self, connection: socket.socket, arrival: Arrival) -> None:
        """Sends the answer of a request that ran, or a part of it.

        Raises:
          ConnectionError: The connection ends with it.
        """
        faults, encoded = self._faults, _encode(arrival)
        if self._happens(faults.unframed):
            connection.sendall(_encode(arrival, is_framed=False))
            raise ConnectionError("ends with the answer")
        if self._happens(faults.cut):
            with self._lock:
                end = self._rng.randrange(len(encoded))
            connection.sendall(encoded[:end])
            raise ConnectionError("cut")
        if self._happens(faults.reset):
            connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
            )
            raise ConnectionError("reset")
        if self._happens(faults.unanswered):
            time.sleep(1.0)
            raise ConnectionError("not answered")
        connection.sendall(encoded)


def _encode(arrival: Arrival, is_framed: bool = True) -> bytes:
    """Returns the answer to a request."""
    body = arrival.answer or b""
    lines = [
        f"HTTP/1.1 {arrival.status} Status",
        f"Request-Id: {arrival.request_id}",
        f"Instance-Id: {arrival.instance_id}",
    ]
    if arrival.answer is None:
        lines.append("Not-Executed: 1")
    else:
        lines.append(f"Response-Signature: {arrival.instance_id}")
    if is_framed:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


def _read_body(
    connection: socket.socket, received: bytes, length: int
) -> bytes:
    """Reads a body that has partly arrived; returns what follows it."""
    while len(received) < length:
        received += _receive(connection)
    return received[length:]


def _receive(connection: socket.socket) -> bytes:
    data = connection.recv(_READ_BYTES)
    if not data:
        raise ConnectionError("closed")
    return data
