"""A fault soak: gateways as real processes, with faults from outside them.

Callers keep using their connections until the process at the other end is
gone. Meanwhile gateways are stopped, killed, frozen and told to reload, engines
crash, leave and are replaced by other software versions, and operators publish
configurations, one after the other and at the same time. What callers and
upstreams have seen is checked against what the system promises.
"""

import argparse
from collections.abc import Callable
from collections.abc import Iterable
import contextlib
import dataclasses
import http.client
import json
import pathlib
import random
import signal
import sys
import tempfile
import threading
import time

from sesamecross.fakes import platform_caller
from sesamecross.fakes import platform_instance
from sesamecross.fakes import platform_site
from sesamecross.fakes import platform_store
from sesamecross.fakes import platform_upstream
from sesamecross.fakes import strict_response

VERSIONS = ("v1", "v2", "v3")
ENGINES = 4
EVENT_INTERVAL_S = 0.12
# How long a caller tries to get the whole of a stream.
STREAM_DEADLINE_S = 8.0
CALLER_PAUSE_S = 0.05
MAX_PAUSE_BETWEEN_FAULTS_S = 0.8
FREEZE_S = (0.1, 1.0)
# An entry outlives its engine by the platform's three heartbeats.
ENTRY_OUTLIVES_S = 1.5
LEAVING_SERVES_S = 2.5
END_TIMEOUT_S = 30.0
PROMISES_NOT_RUN = (408, 421, 429, 503)


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """One soak.

    Attributes:
      seed: Of all random choices. How processes interleave is not repeated.
      duration_s: How long faults are injected.
      versions: How many software versions engines have. With one, each stream
        must end whole: no other can have begun it.
      kills_all: Whether all gateways are killed at one moment at times. With
        several versions, streams under way are then refused, and few end whole.
    """

    seed: int
    gateways: int = 3
    callers: int = 8
    duration_s: float = 12.0
    versions: int = len(VERSIONS)
    kills_all: bool = True


@dataclasses.dataclass(slots=True)
class Result:
    """What callers saw, and which promises were broken."""

    outcomes: dict[str, int] = dataclasses.field(default_factory=dict)
    faults: dict[str, int] = dataclasses.field(default_factory=dict)
    broken: list[str] = dataclasses.field(default_factory=list)

    def count(self, table: str, what: str) -> None:
        """Counts an outcome or a fault."""
        counts = getattr(self, table)
        counts[what] = counts.get(what, 0) + 1


@dataclasses.dataclass(slots=True)
class _Order:
    """A call that may run once, as its caller saw it."""

    request_id: str
    status: int
    body: bytes


@dataclasses.dataclass(slots=True)
class _Stream:
    """A stream over all tries of its caller."""

    first_id: str = ""
    numbers: list[int] = dataclasses.field(default_factory=list)
    versions: set[str] = dataclasses.field(default_factory=set)
    is_complete: bool = False

    def headers(self) -> dict[str, str]:
        """Returns the headers with which it is resumed."""
        if not self.numbers:
            return {}
        return {
            "Last-Event-Id": str(self.numbers[-1]),
            "Resumes": self.first_id,
        }


class Soak:
    """The processes, callers and faults of one run."""

    def __init__(self, plan: Plan, directory: pathlib.Path):
        self._plan = plan
        self._rng = random.Random(plan.seed)
        self._lock = threading.Lock()
        self._ends = threading.Event()
        self._store = platform_store.PlatformStore("127.0.0.1:0")
        self._gateways = []
        for number in range(plan.gateways):
            path = directory / f"gateway-{number}"
            path.mkdir()
            self._gateways.append(
                platform_instance.PlatformInstance(
                    path, "", f"front-west-a-{number}"
                )
            )
        # Gateways that a fault has taken out of service.
        self._busy: set[str] = set()
        # Whether a fault waits until it can take all out of service.
        self._wants_all = False
        # For how long all were out of service, in sum.
        self._outage_s = 0.0
        self._engines: list[platform_upstream.PlatformUpstream] = []
        self._all_upstreams: list[platform_upstream.PlatformUpstream] = []
        self._configuration = 0
        self._orders: list[_Order] = []
        self._streams: list[_Stream] = []
        self.result = Result()

    # -- the site --------------------------------------------------------

    def _start(self) -> None:
        self._store.start()
        self._publish()
        for _ in range(ENGINES):
            self._add_engine(VERSIONS[0])
        self._add_desks()
        for gateway in self._gateways:
            gateway.store_address = self._store.server.address
            gateway.start()
        for gateway in self._gateways:
            gateway.wait_ready()
        self._wait_recorded()

    def _wait_recorded(self) -> None:
        """Waits until the store has what outlives all gateways."""
        until_s = time.monotonic() + platform_instance.HANG_TIMEOUT_S
        while time.monotonic() < until_s:
            for gateway in self._gateways:
                if gateway.log_lines("versions: complete"):
                    return
            time.sleep(CALLER_PAUSE_S)
        self._break("versions were not recorded")

    def _publish(self) -> None:
        self._configuration += platform_site.VERSION_STEP
        self._store.publish(
            platform_site.configuration(
                self._configuration, streams_resumable=True
            )
        )

    def _add(
        self, service: str, version: str = VERSIONS[0]
    ) -> platform_upstream.PlatformUpstream:
        is_engine = service == platform_site.WRITERS
        one = platform_upstream.PlatformUpstream(
            self._store,
            f"i-{service}-{len(self._all_upstreams)}",
            service,
            platform_instance.ZONE,
            (platform_caller.MODEL,) if is_engine else (),
            version=version,
            event_interval_s=EVENT_INTERVAL_S,
        )
        one.release_answers()
        one.start()
        self._all_upstreams.append(one)
        return one

    def _add_desks(self) -> None:
        """Starts the upstreams of the service that takes orders."""
        self._add(platform_site.DESK)

    def _add_engine(self, version: str) -> None:
        self._engines.append(self._add(platform_site.WRITERS, version))

    def _stop(self) -> None:
        for gateway in self._gateways:
            with contextlib.suppress(OSError):
                gateway.kill()
        for one in self._all_upstreams:
            with contextlib.suppress(Exception):
                one.shut_down()
        self._store.shut_down()

    # -- faults ----------------------------------------------------------

    def _faults(self) -> list[Callable[[], None]]:
        """Returns what may go wrong."""
        faults = [
            self._stop_gateway,
            self._kill_gateway,
            self._freeze_gateway,
            self._reload_gateway,
            self._crash_engine,
            self._replace_engine,
            self._publish,
        ]
        if self._plan.kills_all:
            faults.append(self._kill_all_gateways)
        return faults

    def _inject_faults(self) -> None:
        faults = self._faults()
        running = []
        # Of its own, so that a seed has the same faults each time.
        rng = random.Random(f"{self._plan.seed}/faults")
        until_s = time.monotonic() + self._plan.duration_s
        while time.monotonic() < until_s:
            fault = rng.choice(faults)
            self.result.count("faults", fault.__name__.strip("_"))
            thread = threading.Thread(target=self._guarded, args=(fault,))
            thread.start()
            running.append(thread)
            time.sleep(rng.uniform(0.0, MAX_PAUSE_BETWEEN_FAULTS_S))
        for thread in running:
            thread.join(END_TIMEOUT_S)

    def _guarded(self, fault: Callable[[], None]) -> None:
        try:
            fault()
        except Exception as error:
            self._break(f"{fault.__name__}: {error!r}")

    def _break(self, what: str) -> None:
        with self._lock:
            self.result.broken.append(what)

    @contextlib.contextmanager
    def _some_gateway(self):
        """Takes a gateway out of service; one is always left."""
        with self._lock:
            free = [one for one in self._gateways if one.name not in self._busy]
            chosen = None
            if len(free) > 1 and not self._wants_all:
                chosen = self._rng.choice(free)
                self._busy.add(chosen.name)
        try:
            yield chosen
        finally:
            if chosen is not None:
                with self._lock:
                    self._busy.discard(chosen.name)

    def _stop_gateway(self) -> None:
        with self._some_gateway() as gateway:
            if gateway is None:
                return
            gateway.signal(signal.SIGTERM)
            time.sleep(self._rng.uniform(0.0, 0.3))
            # A second signal, and a reload, during the stop change nothing.
            gateway.signal(self._rng.choice([signal.SIGTERM, signal.SIGHUP]))
            code = gateway.exit_code()
            if code != 0:
                self._break(f"{gateway.name} ended a planned stop with {code}")
            gateway.start()
            gateway.wait_ready()

    def _kill_gateway(self) -> None:
        with self._some_gateway() as gateway:
            if gateway is None:
                return
            gateway.kill()
            gateway.start()
            gateway.wait_ready()

    @contextlib.contextmanager
    def _all_gateways(self):
        """Takes all gateways out of service, once no other fault has any."""
        with self._lock:
            is_first = not self._wants_all
            self._wants_all = True
        if not is_first:
            yield []
            return
        has_all = self._take_all()
        while not has_all and not self._ends.wait(CALLER_PAUSE_S):
            has_all = self._take_all()
        try:
            yield self._gateways if has_all else []
        finally:
            with self._lock:
                self._wants_all = False
                if has_all:
                    self._busy.clear()

    def _take_all(self) -> bool:
        with self._lock:
            if self._busy:
                return False
            self._busy.update(one.name for one in self._gateways)
            return True

    def _kill_all_gateways(self) -> None:
        """All are killed at the same moment; store and engines live on."""
        with self._all_gateways() as gateways:
            if not gateways:
                return
            began_s = time.monotonic()
            for gateway in gateways:
                gateway.signal(signal.SIGKILL)
            for gateway in gateways:
                gateway.kill()
                gateway.start()
            for gateway in gateways:
                gateway.wait_ready()
            with self._lock:
                self._outage_s += time.monotonic() - began_s

    def _freeze_gateway(self) -> None:
        with self._some_gateway() as gateway:
            if gateway is None:
                return
            gateway.signal(signal.SIGSTOP)
            time.sleep(self._rng.uniform(*FREEZE_S))
            gateway.signal(signal.SIGCONT)

    def _reload_gateway(self) -> None:
        gateway = self._rng.choice(self._gateways)
        if gateway.handles(signal.SIGHUP):
            gateway.signal(signal.SIGHUP)

    def _take_engine(self) -> platform_upstream.PlatformUpstream | None:
        with self._lock:
            if len(self._engines) < 2:
                return None
            return self._engines.pop(self._rng.randrange(len(self._engines)))

    def _new_version(self) -> str:
        return self._rng.choice(VERSIONS[: self._plan.versions])

    def _crash_engine(self) -> None:
        engine = self._take_engine()
        if engine is None:
            return
        engine.crash()
        self._add_engine(self._new_version())
        time.sleep(ENTRY_OUTLIVES_S)
        engine.unregister()

    def _replace_engine(self) -> None:
        """Another version starts, and an engine announces its leave."""
        engine = self._take_engine()
        if engine is None:
            return
        self._add_engine(self._new_version())
        engine.register("draining")
        time.sleep(LEAVING_SERVES_S)
        engine.unregister()

    # -- callers ---------------------------------------------------------

    def _call_until_end(self, number: int) -> None:
        rng = random.Random(f"{self._plan.seed}/{number}")
        kept: http.client.HTTPConnection | None = None
        while not self._ends.is_set():
            try:
                if number % 2:
                    self._stream(rng)
                else:
                    kept = self._order(rng, kept)
            except strict_response.InvalidAnswer as error:
                name = threading.current_thread().name
                self._break(f"{name}: the answer is no HTTP: {error}")
                kept = None
            time.sleep(CALLER_PAUSE_S)

    def _front(self, rng: random.Random) -> tuple[str, int]:
        return rng.choice(self._gateways).front

    def _order(
        self, rng: random.Random, kept: http.client.HTTPConnection | None
    ) -> http.client.HTTPConnection | None:
        """Places an order; returns the connection if it is still open."""
        call = platform_caller.Call(
            self._front(rng),
            platform_site.PATHS[platform_site.DESK],
            reused=kept,
        )
        threading.current_thread().name = f"call {call.request_id}"
        call.send()
        answer = call.finish()
        status = 0 if answer.error else answer.status
        with self._lock:
            self._orders.append(_Order(call.request_id, status, answer.body))
            self.result.count("outcomes", f"order {status or 'cut'}")
        if not answer.error and call.connection.sock is not None:
            return call.connection
        call.close()
        return None

    def _stream(self, rng: random.Random) -> None:
        stream = _Stream()
        # An outage of all gateways is no time in which it could end.
        until_s = time.monotonic() + STREAM_DEADLINE_S - self._outage_s
        while (
            not stream.is_complete
            and time.monotonic() < until_s + self._outage_s
        ):
            before = len(stream.numbers)
            self._try_stream(rng, stream)
            if before and len(stream.numbers) > before:
                with self._lock:
                    self.result.count("outcomes", "resumption goes on")
            elif before:
                with self._lock:
                    self.result.count("outcomes", "resumption fails")
            if not stream.is_complete:
                time.sleep(rng.uniform(0.05, 0.4))
        with self._lock:
            self._streams.append(stream)
            outcome = "complete" if stream.is_complete else "not complete"
            self.result.count("outcomes", f"stream {outcome}")

    def _try_stream(self, rng: random.Random, stream: _Stream) -> None:
        call = platform_caller.Call(
            self._front(rng), platform_site.PATHS[platform_site.WRITERS]
        )
        threading.current_thread().name = f"call {call.request_id}"
        call.send(for_model=True, headers=stream.headers())
        try:
            response = call.connection.getresponse()
            if response.status == 200:
                self._read_events(call, response, stream)
                stream.is_complete = True
        except (OSError, http.client.HTTPException):
            # The caller comes back.
            pass
        finally:
            call.close()

    def _read_events(
        self,
        call: platform_caller.Call,
        response: http.client.HTTPResponse,
        stream: _Stream,
    ) -> None:
        # `readline` would take a connection that was cut for the end.
        received = b""
        while data := response.read1():
            *events, received = (received + data).split(b"\n\n")
            for event in events:
                number, version = event.split()[-2:]
                if not stream.numbers:
                    stream.first_id = call.request_id
                stream.numbers.append(int(number))
                stream.versions.add(version.decode())

    # -- promises --------------------------------------------------------

    def _check(self) -> None:
        self._check_orders()
        self._check_streams()

    def _check_orders(self) -> None:
        runs: dict[str, list[platform_upstream.Run]] = {}
        for upstream in self._all_upstreams:
            for run in upstream.runs:
                runs.setdefault(run.request_id, []).append(run)
        for order in self._orders:
            ran = runs.get(order.request_id, [])
            if len(ran) > 1:
                self._break(f"order {order.request_id} ran {len(ran)} times")
            if order.status in PROMISES_NOT_RUN and ran:
                self._break(f"order {order.request_id} was refused and ran")
            if order.status == 200 and [one.answer for one in ran] != [
                order.body
            ]:
                self._break(f"order {order.request_id}: another answer")

    def _check_streams(self) -> None:
        for stream in self._streams:
            expected = list(range(1, len(stream.numbers) + 1))
            if stream.numbers != expected:
                self._break(f"stream {stream.first_id}: {stream.numbers}")
            if self._plan.versions == 1 and not stream.is_complete:
                self._break(f"stream {stream.first_id} did not end")
            if len(stream.versions) > 1:
                self._break(f"stream {stream.first_id}: {stream.versions}")
            if (
                stream.is_complete
                and len(stream.numbers) != platform_upstream.EVENT_COUNT
            ):
                self._break(
                    f"stream {stream.first_id} looks complete after"
                    f" {len(stream.numbers)} events"
                )

    def run(self) -> Result:
        """Runs the soak and returns what was seen."""
        try:
            self._start()
            callers = [
                threading.Thread(
                    target=self._call_until_end,
                    args=(number,),
                    name=f"caller {number}",
                )
                for number in range(self._plan.callers)
            ]
            for caller in callers:
                caller.start()
            self._inject_faults()
            self._ends.set()
            for caller in callers:
                caller.join(END_TIMEOUT_S)
                if caller.is_alive():
                    self._break(f"{caller.name} was not answered")
            for gateway in self._gateways:
                if not gateway.is_running:
                    self._break(f"{gateway.name} ended by itself")
            self._check()
        finally:
            self._ends.set()
            self._stop()
        return self.result


def run_seed(plan: Plan) -> Result:
    """Runs one soak in a directory of its own."""
    with tempfile.TemporaryDirectory() as directory:
        return Soak(plan, pathlib.Path(directory)).run()


def run_plans(plans: Iterable[Plan], run: Callable[[Plan], Result]) -> int:
    """Runs soaks one by one; prints each result, returns 1 if any broke."""
    has_broken = False
    for plan in plans:
        result = run(plan)
        has_broken = has_broken or bool(result.broken)
        document = {"seed": plan.seed} | dataclasses.asdict(result)
        print(json.dumps(document), flush=True)
    return 1 if has_broken else 0


def main() -> int:
    """Runs soaks; returns 1 if a promise was broken."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument("--gateways", type=int, default=3)
    parser.add_argument("--callers", type=int, default=8)
    parser.add_argument("--seconds", type=float, default=12.0)
    parser.add_argument("--versions", type=int, default=len(VERSIONS))
    flags = parser.parse_args()
    return run_plans(
        (
            Plan(
                seed,
                flags.gateways,
                flags.callers,
                flags.seconds,
                flags.versions,
            )
            for seed in range(flags.first, flags.first + flags.seeds)
        ),
        run_seed,
    )


if __name__ == "__main__":
    sys.exit(main())
