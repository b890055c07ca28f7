"""A soak of requests that may run once, with upstreams that answer badly.

The faults of `soak` go on, and beside them upstreams of the orders restart at
their addresses, answer twice, refuse what nobody asked, and cut or reset
connections. Callers pipeline, leave early and keep their connections. The
upstreams' own ledger says how often each order ran.
"""

import argparse
from collections.abc import Callable
import contextlib
import dataclasses
import functools
import pathlib
import random
import re
import socket
import sys
import tempfile
import time

from sesamecross.devtools import soak
from sesamecross.fakes import ledger_upstream
from sesamecross.fakes import platform_caller
from sesamecross.fakes import platform_instance
from sesamecross.fakes import platform_site

DESKS = 4
FAULTS = ledger_upstream.Faults(
    repeated=0.1,
    unasked=0.05,
    early=0.05,
    unframed=0.05,
    cut=0.03,
    reset=0.03,
    unanswered=0.01,
    large=0.03,
)
# How long an address is without a process between two incarnations.
DOWN_S = (0.0, 0.3)
MAX_PIPELINED = 3
LARGE_BODY_BYTES = 200_000
LARGE_SHARE = 0.1
LEAVES_EARLY_SHARE = 0.05
# Callers that read nothing for a while, with answers and requests behind it.
PAUSES_SHARE = 0.2
PAUSE_S = (0.05, 0.4)
_RECEIVE_BUFFER_BYTES = 8192
ANSWER_TIMEOUT_S = 20.0
_READ_BYTES = 65_536
_STATUS = re.compile(rb"HTTP/1.1 (\d{3}) ")


@dataclasses.dataclass(frozen=True, slots=True)
class _Answered:
    """What a caller got for an order; status 0 if it was cut."""

    request_id: str
    status: int
    body: bytes


class _Caller:
    """A caller with one connection at a time."""

    def __init__(self, front: Callable[[], tuple[str, int]], seed: str):
        self._front = front
        self._rng = random.Random(seed)
        self._socket: socket.socket | None = None
        self._received = b""

    def order(self) -> list[_Answered]:
        """Sends some orders at once and reads their answers."""
        request_ids = [
            platform_caller.request_id()
            for _ in range(self._rng.randint(1, MAX_PIPELINED))
        ]
        sent = b"".join(self._encode(one) for one in request_ids)
        answers: list[_Answered] = []
        with contextlib.suppress(OSError):
            if self._socket is None:
                self._received = b""
                self._socket = self._connect()
            self._socket.sendall(sent)
            if self._rng.random() < LEAVES_EARLY_SHARE:
                raise ConnectionError("left")
            if self._rng.random() < PAUSES_SHARE:
                time.sleep(self._rng.uniform(*PAUSE_S))
            while len(answers) < len(request_ids):
                answers.append(self._read_answer())
        if len(answers) < len(request_ids):
            self.leave()
        missing = request_ids[len(answers) :]
        return answers + [_Answered(one, 0, b"") for one in missing]

    def _connect(self) -> socket.socket:
        connection = socket.socket()
        connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES
        )
        connection.settimeout(ANSWER_TIMEOUT_S)
        try:
            connection.connect(self._front())
        except OSError:
            connection.close()
            raise
        return connection

    def leave(self) -> None:
        """Closes the connection."""
        if self._socket is not None:
            self._socket.close()
        self._socket = None

    def _encode(self, request_id: str) -> bytes:
        is_large = self._rng.random() < LARGE_SHARE
        body = b"x" * (LARGE_BODY_BYTES if is_large else 50)
        lines = [
            f"POST {platform_site.PATHS[platform_site.DESK]} HTTP/1.1",
            f"Host: {platform_caller.HOST}",
            f"Request-Id: {request_id}",
            f"Deadline-Ms: {platform_caller.DEADLINE_MS}",
            f"Content-Length: {len(body)}",
        ]
        return "\r\n".join([*lines, "", ""]).encode() + body

    def _read_answer(self) -> _Answered:
        while ledger_upstream.HEAD_END not in self._received:
            self._receive()
        head, _, rest = self._received.partition(ledger_upstream.HEAD_END)
        length = ledger_upstream.LENGTH.search(head)
        if length is None:
            # Nobody promises where it ends but the connection.
            raise ConnectionError("no length")
        size = int(length.group(1))
        self._received = rest
        while len(self._received) < size:
            self._receive()
        body, self._received = self._received[:size], self._received[size:]
        named = ledger_upstream.REQUEST_ID.search(head)
        if b"connection: close" in head.lower():
            self.leave()
        return _Answered(
            named.group(1).decode() if named else "",
            int(_STATUS.match(head).group(1)),
            body,
        )

    def _receive(self) -> None:
        if self._socket is None:
            raise ConnectionError("closed")
        data = self._socket.recv(_READ_BYTES)
        if not data:
            raise ConnectionError("closed")
        self._received += data


class RunOnceSoak(soak.Soak):
    """A soak whose orders go to upstreams with a ledger."""

    def __init__(self, plan: soak.Plan, directory: pathlib.Path):
        super().__init__(plan, directory)
        self._directory = directory
        self._ledger = ledger_upstream.Ledger()
        self._desks: list[ledger_upstream.LedgerUpstream] = []
        self._incarnations = 0
        self._answers: list[_Answered] = []

    def _add_desks(self) -> None:
        for number in range(DESKS):
            desk = ledger_upstream.LedgerUpstream(
                self._store,
                self._ledger,
                self._next_id(),
                platform_site.DESK,
                platform_instance.ZONE,
                faults=FAULTS,
                seed=self._plan.seed * DESKS + number,
            )
            desk.start()
            self._desks.append(desk)

    def _next_id(self) -> str:
        self._incarnations += 1
        return f"i-desk-{self._incarnations}"

    def _faults(self) -> list[Callable[[], None]]:
        restarts = [
            self._restart_desk,
            self._restart_desk_under_its_id,
            self._hand_desk_over,
        ]
        return super()._faults() + restarts * 2

    def _stop(self) -> None:
        super()._stop()
        for desk in self._desks:
            desk.stop()

    @contextlib.contextmanager
    def _some_desk(self):
        """Takes an upstream of orders out of service; one is always left."""
        with self._lock:
            desk = None
            if len(self._desks) > 1:
                number = self._rng.randrange(len(self._desks))
                desk = self._desks.pop(number)
        try:
            yield desk
        finally:
            if desk is not None:
                with self._lock:
                    self._desks.append(desk)

    def _replace_desk(self, keeps_connections: bool) -> None:
        """Another incarnation takes the address; the old entry lapses late."""
        with self._some_desk() as desk:
            if desk is None:
                return
            before = desk.instance_id
            with self._lock:
                instance_id = self._next_id()
            if keeps_connections:
                desk.hand_over(instance_id)
            else:
                desk.restart(instance_id, self._rng.uniform(*DOWN_S))
        time.sleep(soak.ENTRY_OUTLIVES_S)
        desk.unregister(before)

    def _restart_desk(self) -> None:
        self._replace_desk(keeps_connections=False)

    def _hand_desk_over(self) -> None:
        self._replace_desk(keeps_connections=True)

    def _restart_desk_under_its_id(self) -> None:
        with self._some_desk() as desk:
            if desk is not None:
                desk.restart(desk.instance_id, self._rng.uniform(*DOWN_S))

    def _call_until_end(self, number: int) -> None:
        if number % 4 == 0:
            # Some callers go on with streams.
            super()._call_until_end(number + 1)
            return
        rng = random.Random(f"{self._plan.seed}/front/{number}")
        caller = _Caller(
            functools.partial(self._front, rng), f"{self._plan.seed}/{number}"
        )
        while not self._ends.is_set():
            answers = caller.order()
            with self._lock:
                self._answers.extend(answers)
                for answer in answers:
                    outcome = f"order {answer.status or 'cut'}"
                    self.result.count("outcomes", outcome)
            time.sleep(rng.uniform(0.0, soak.CALLER_PAUSE_S))
        caller.leave()

    def _check_orders(self) -> None:
        by_request = self._ledger.by_request()
        for request_id, arrivals in by_request.items():
            runs = sum(one.answer is not None for one in arrivals)
            if runs > 1:
                sends = [
                    (one.instance_id, one.connection, one.position, one.status)
                    for one in arrivals
                ]
                self._break(f"order {request_id} ran {runs} times: {sends}")
                self._print_log(request_id)
            if len(arrivals) > 1:
                self.result.count("outcomes", "order sent again")
            if any(
                one.status == ledger_upstream.MISDIRECTED for one in arrivals
            ):
                self.result.count("outcomes", "order misdirected")
        for answered in self._answers:
            arrivals = by_request.get(answered.request_id, [])
            answers = [one.answer for one in arrivals if one.answer is not None]
            if answered.status in soak.PROMISES_NOT_RUN and answers:
                self._break(f"order {answered.request_id} was refused and ran")
                self._print_log(answered.request_id)
            if answered.status == 200 and answers != [answered.body]:
                self._break(f"order {answered.request_id}: another answer")

    def _print_log(self, request_id: str) -> None:
        """Prints what the gateways logged about an order."""
        for path in sorted(self._directory.glob("*/gateway.log")):
            for line in path.read_text(errors="replace").splitlines():
                if request_id in line:
                    print(path.parent.name, line, file=sys.stderr)


def run_seed(plan: soak.Plan) -> soak.Result:
    """Runs one soak in a directory of its own."""
    with tempfile.TemporaryDirectory() as directory:
        return RunOnceSoak(plan, pathlib.Path(directory)).run()


def main() -> int:
    """Runs soaks; returns 1 if a promise was broken."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument("--gateways", type=int, default=3)
    parser.add_argument("--callers", type=int, default=24)
    parser.add_argument("--seconds", type=float, default=12.0)
    flags = parser.parse_args()
    return soak.run_plans(
        (
            soak.Plan(seed, flags.gateways, flags.callers, flags.seconds)
            for seed in range(flags.first, flags.first + flags.seeds)
        ),
        run_seed,
    )


if __name__ == "__main__":
    sys.exit(main())
