"""Strict callers of a fleet trial, on connections that they keep.

An answer counts only if a strict HTTP/1.1 parser takes it, and if it is the
answer to this request. Lenient callers hid an outage of all streams.
"""

import asyncio
import contextlib
import dataclasses
import random
import time
import uuid

import h11

from sesamecross.devtools import fleet_balancer
from sesamecross.devtools import fleet_demand
from sesamecross.fakes import fleet_scenarios
from sesamecross.fakes import fleet_upstreams

CLIENTS_PER_ZONE = 34
PROMISES_NOT_RUN = (408, 421, 429, 503)
_NEVER_RETRIED = (400, 401, 404, 413, 431)
_CONNECT_TIMEOUT_S = 1.0
_KEPT_CONNECTIONS = 3
# Of the configuration's idle timeout.
_MAX_IDLE_S = 12.0
_MIN_ABANDON_S = 2.0
# A share of the time left that a caller waits at most, as it was told.
_BACK_SHARE = 1 / 3
_DEFAULT_BACK_S = 0.05
_BODY = b"x" * 600
_READ_BYTES = 65_536


@dataclasses.dataclass(slots=True)
class Attempt:
    """One attempt, as its caller saw it.

    Attributes:
      status: 0 if there was no answer.
      failure: Why there is no whole answer; empty if there is one.
      broken: A broken promise that the caller sees by itself.
      first_s, gap_s: When the first event or byte came, from the first
        attempt; the longest pause between events.
    """

    request_id: str
    status: int = 0
    failure: str = ""
    broken: str = ""
    signature: str = ""
    retry_after_s: float | None = None
    first_s: float | None = None
    gap_s: float = 0.0
    was_connected: bool = False
    numbers: list[int] = dataclasses.field(default_factory=list)
    body: bytearray = dataclasses.field(default_factory=bytearray)

    @property
    def is_served(self) -> bool:
        """Whether it brought the whole answer."""
        return self.status == 200 and not self.failure


@dataclasses.dataclass(slots=True)
class Asked:
    """What became of one request over all attempts of its caller."""

    kind: str
    target: str
    session: str
    size: float
    zone: str
    at_s: float
    is_on_time: bool = False
    attempts: list[Attempt] = dataclasses.field(default_factory=list)

    @property
    def is_served(self) -> bool:
        """Whether an attempt brought the whole answer."""
        return bool(self.attempts) and self.attempts[-1].is_served

    @property
    def outcome(self) -> str:
        """`on time`, `late`, `refused`, `failed` or `broken`."""
        if self.is_served:
            return "on time" if self.is_on_time else "late"
        last = self.attempts[-1]
        if last.broken:
            return "broken"
        return "refused" if last.status in PROMISES_NOT_RUN else "failed"


class _Connection:
    """A connection and its parser."""

    __slots__ = ("reader", "writer", "parser", "idle_since_s", "is_ended")

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ):
        self.reader = reader
        self.writer = writer
        self.parser = h11.Connection(h11.CLIENT)
        self.idle_since_s = 0.0
        self.is_ended = False

    async def event(self) -> h11.Event:
        """Returns the next event of the answer."""
        while (event := self.parser.next_event()) is h11.NEED_DATA:
            data = await self.reader.read(_READ_BYTES)
            self.is_ended = not data
            self.parser.receive_data(data)
        return event

    def close(self) -> None:
        """Closes at once."""
        self.writer.transport.abort()


class Client:
    """A client, with the connections that it keeps."""

    def __init__(self, zone: str, balancer: fleet_balancer.Balancer, name: str):
        self.zone = zone
        self._balancer = balancer
        self._name = name
        self._opened = 0
        self._kept: list[_Connection] = []

    async def connection(self, is_new: bool) -> _Connection:
        """Returns a kept connection, or a new one."""
        now_s = time.monotonic()
        while self._kept and not is_new:
            one = self._kept.pop()
            if (
                now_s - one.idle_since_s < _MAX_IDLE_S
                and not one.reader.at_eof()
            ):
                return one
            one.close()
        self._opened += 1
        front = self._balancer.front(self.zone, f"{self._name}/{self._opened}")
        async with asyncio.timeout(_CONNECT_TIMEOUT_S):
            return _Connection(*await asyncio.open_connection(*front))

    def give_back(self, one: _Connection) -> None:
        """Keeps a connection whose answer is complete, if it may be."""
        with contextlib.suppress(h11.LocalProtocolError):
            one.parser.start_next_cycle()
            if len(self._kept) < _KEPT_CONNECTIONS:
                one.idle_since_s = time.monotonic()
                self._kept.append(one)
                return
        one.close()


class Caller:
    """Makes one request, with its retries."""

    def __init__(self, client: Client, wish: fleet_demand.Wish, begin_s: float):
        self._client = client
        self._wish = wish
        self._kind = wish.kind
        self._sent_s = time.monotonic()
        self._until_s = self._sent_s + self._kind.deadline_ms / 1000
        self._numbers: list[int] = []
        self._first_id = ""
        self.asked = Asked(
            self._kind.name,
            wish.target,
            wish.session,
            wish.size,
            client.zone,
            self._sent_s - begin_s,
        )

    async def run(self, retries: int = 1) -> Asked:
        """Makes the request; returns what became of it."""
        for retry in range(retries + 1):
            attempt = Attempt(uuid.uuid4().hex[:16])
            self.asked.attempts.append(attempt)
            await self._try(attempt, is_new=retry > 0)
            left_s = self._until_s - time.monotonic()
            if not self._may_retry(attempt) or retry == retries or left_s <= 0:
                break
            back_s = attempt.retry_after_s
            back_s = _DEFAULT_BACK_S if back_s is None else back_s
            await asyncio.sleep(min(back_s, left_s * _BACK_SHARE))
        self._judge()
        return self.asked

    def _judge(self) -> None:
        firsts = [
            one.first_s
            for one in self.asked.attempts
            if one.first_s is not None and one.status == 200
        ]
        gap_s = max(one.gap_s for one in self.asked.attempts)
        target_gap_s = self._kind.target_gap_ms / 1000
        self.asked.is_on_time = (
            self.asked.is_served
            and min(firsts) <= self._kind.objective_ms / 1000
            and (not target_gap_s or gap_s <= target_gap_s)
        )

    def _may_retry(self, attempt: Attempt) -> bool:
        if attempt.is_served or attempt.status in _NEVER_RETRIED:
            return False
        if attempt.broken:
            return False
        if self._kind.route_kind == "safe" or self._kind.is_resumable:
            return True
        return attempt.status in PROMISES_NOT_RUN or not attempt.was_connected

    async def _try(self, attempt: Attempt, is_new: bool) -> None:
        connection: _Connection | None = None
        try:
            async with asyncio.timeout_at(self._loop_time(self._until_s)):
                connection = await self._client.connection(is_new)
                attempt.was_connected = True
                await self._exchange(connection, attempt)
            self._check(attempt)
            self._client.give_back(connection)
            return
        except TimeoutError:
            attempt.failure = "timeout"
        except h11.RemoteProtocolError as error:
            attempt.failure = str(error)
            # An answer that ends early is a failure, not broken framing.
            if connection is None or not connection.is_ended:
                attempt.broken = f"no HTTP: {error}"
        except OSError as error:
            attempt.failure = type(error).__name__
        if connection is not None:
            connection.close()

    def _loop_time(self, monotonic_s: float) -> float:
        return (
            asyncio.get_running_loop().time() + monotonic_s - time.monotonic()
        )

    async def _exchange(
        self, connection: _Connection, attempt: Attempt
    ) -> None:
        parser = connection.parser
        is_get = self._kind.route_kind == "safe"
        head = h11.Request(
            method="GET" if is_get else "POST",
            target=f"{self._kind.path}now",
            headers=self._headers(attempt, b"" if is_get else _BODY),
        )
        data = parser.send(head)
        if not is_get:
            data += parser.send(h11.Data(data=_BODY))
        connection.writer.write(data + parser.send(h11.EndOfMessage()))
        received = b""
        last_s = time.monotonic()
        while True:
            async with asyncio.timeout(self._abandon_s()):
                event = await connection.event()
            now_s = time.monotonic()
            match event:
                case h11.Response():
                    self._read_head(attempt, event)
                case h11.Data():
                    if attempt.first_s is None:
                        attempt.first_s = now_s - self._sent_s
                    else:
                        attempt.gap_s = max(attempt.gap_s, now_s - last_s)
                    last_s = now_s
                    received += bytes(event.data)
                    if self._kind.is_stream and attempt.status == 200:
                        received = self._read_events(attempt, received)
                case h11.EndOfMessage():
                    attempt.body += received
                    if parser.trailing_data[0]:
                        attempt.broken = "bytes after the answer"
                    return
                case h11.ConnectionClosed():
                    attempt.failure = "closed"
                    raise ConnectionResetError

    def _abandon_s(self) -> float:
        if not self._kind.is_stream:
            return self._kind.deadline_ms / 1000
        objective_s = self._kind.objective_ms / 1000
        gap_s = self._kind.target_gap_ms / 1000
        return max(_MIN_ABANDON_S, 4 * objective_s, 8 * gap_s)

    def _headers(self, attempt: Attempt, body: bytes) -> list[tuple[str, str]]:
        left_ms = (self._until_s - time.monotonic()) * 1000
        headers = [
            ("Host", fleet_scenarios.HOST),
            ("Request-Id", attempt.request_id),
            ("Deadline-Ms", str(max(1, int(left_ms)))),
        ]
        if body:
            headers.append(("Content-Length", str(len(body))))
        if self._wish.target:
            parts = ",".join(f"{one}:{size}" for one, size in self._wish.parts)
            prompt = sum(size for _, size in self._wish.parts)
            headers += [
                ("Model", self._wish.target),
                ("Token-Usage", f"{prompt},{self._wish.output_tokens}"),
                ("Prompt-Prefix", parts),
            ]
        if self._numbers:
            headers += [
                ("Last-Event-Id", str(self._numbers[-1])),
                ("Resumes", self._first_id),
            ]
        return headers

    def _read_head(self, attempt: Attempt, event: h11.Response) -> None:
        attempt.status = event.status_code
        headers = {name: value.decode() for name, value in event.headers}
        if {b"content-length", b"transfer-encoding"} <= headers.keys():
            # The parser follows one of them; another parser may not.
            raise h11.RemoteProtocolError("a length and a transfer encoding")
        attempt.signature = headers.get(b"response-signature", "")
        if b"retry-after" in headers:
            attempt.retry_after_s = float(headers[b"retry-after"])

    def _read_events(self, attempt: Attempt, received: bytes) -> bytes:
        *events, rest = received.split(b"\n\n")
        for event in events:
            _, request_id, number = event.rsplit(b" ", 2)
            if request_id.decode() != attempt.request_id:
                attempt.broken = f"an event of {request_id.decode()}"
            self._first_id = self._first_id or attempt.request_id
            self._numbers.append(int(number))
            attempt.numbers.append(int(number))
        return rest

    def _check(self, attempt: Attempt) -> None:
        if attempt.status != 200:
            attempt.failure = f"status {attempt.status}"
            return
        if not attempt.signature.endswith(f".{attempt.request_id}"):
            attempt.broken = f"signature {attempt.signature!r}"
        if self._kind.is_stream:
            if self._numbers != list(range(1, self._wish.events + 1)):
                attempt.broken = (
                    f"{len(self._numbers)} of {self._wish.events} events"
                )
        elif bytes(attempt.body) != fleet_upstreams.desk_answer(
            attempt.request_id
        ):
            attempt.broken = "another body"
        attempt.body.clear()
        if attempt.broken:
            attempt.failure = attempt.broken


async def run(
    balancer: fleet_balancer.Balancer,
    demand: fleet_demand.Demand,
    zones: tuple[str, ...],
    rate: float,
    begin_s: float,
    duration_s: float,
    seed: str,
) -> list[Asked]:
    """Makes requests for a time; returns what became of each."""
    rng = random.Random(f"{seed}/clients")
    clients = [
        Client(zone, balancer, f"{seed}/{zone}/{number}")
        for zone in zones
        for number in range(CLIENTS_PER_ZONE)
    ]
    watch = asyncio.create_task(balancer.watch())
    tasks: list[asyncio.Task[Asked]] = []
    at_s = demand.pause_s(rate)
    while at_s < duration_s:
        await asyncio.sleep(max(0.0, begin_s + at_s - time.monotonic()))
        caller = Caller(rng.choice(clients), demand.wish(at_s), begin_s)
        tasks.append(asyncio.create_task(caller.run()))
        at_s += demand.pause_s(rate)
    asked = await asyncio.gather(*tasks)
    watch.cancel()
    return asked
