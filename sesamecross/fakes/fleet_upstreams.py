"""Engines and desks of a fleet trial, in a process of their own.

Engines answer as the platform's do: 421 for what they don't hold, 503 with
Not-Executed when full, one order for a model at a time, a report that lags.
They write down which requests ran: callers' answers are checked against it.
"""

import asyncio
import collections
import contextlib
import dataclasses
import json
import math
import random
import time
from typing import Any

from sesamecross.core import serving
from sesamecross.fakes import fleet_batch
from sesamecross.fakes import fleet_scenarios
from sesamecross.fakes import fleet_server
from sesamecross.fakes import fleet_store
from sesamecross.fakes import platform_store
from sesamecross.fakes import simulated_engine

_UNLOAD_POLL_S = 0.05
# How far steps that come late, as the machine is busy, are caught up.
MAX_CATCH_UP_S = 0.5
_VERSION = "1"
_NOT_EXECUTED = {"Not-Executed": "1"}
# An answer of a desk repeats the request's id up to this size.
DESK_ANSWER_BYTES = 800
_ORDER_STATUS = {
    serving.OrderAnswer.ACCEPTED: 202,
    serving.OrderAnswer.ALREADY_DONE: 200,
    serving.OrderAnswer.CONFLICT: 409,
    serving.OrderAnswer.REFUSED: 400,
}


@dataclasses.dataclass(slots=True)
class Ran:
    """A request that ran here, from its first token or its work's begin."""

    request_id: str
    instance_id: str


@dataclasses.dataclass(slots=True)
class Result:
    """What upstreams ran, and the time that their engines lost."""

    ran: list[Ran]
    lost_s: float


@dataclasses.dataclass(slots=True)
class Loads:
    """Loads in progress over all engines of this process."""

    model_loads: int = 0


def event(request_id: str, number: int) -> bytes:
    """Returns an event of a stream."""
    return f"id: {number}\ndata: {request_id} {number}\n\n".encode()


def desk_answer(request_id: str) -> bytes:
    """Returns the whole answer of a desk."""
    text = f"{request_id} ".encode()
    return (text * (DESK_ANSWER_BYTES // len(text) + 1))[:DESK_ANSWER_BYTES]


class _Upstream:
    """What engines and desks share: entry, health and identity."""

    def __init__(self, store: str, instance_id: str, service: str, zone: str):
        self.instance_id = instance_id
        self.ran: list[Ran] = []
        self.server = fleet_server.Server(self._handle)
        self._store = store
        self._service = service
        self._zone = zone
        self._sequence = 0
        self._born_ms = int(time.time() * 1000)

    async def start(self) -> None:
        """Listens and registers itself."""
        await self.server.start()
        await self.register()

    async def heartbeat(self, interval_s: float) -> None:
        """Renews its entry until cancelled."""
        while True:
            await asyncio.sleep(interval_s)
            await self.register()

    async def register(self) -> None:
        """Writes its entry."""
        self._sequence += 1
        entry = {
            "service": self._service,
            "address": self.server.address,
            "zone": self._zone,
            "version": _VERSION,
            "state": "ready",
            "coldRemainingMs": 0,
            "sequence": self._sequence,
            "born": self._born_ms,
        }
        topic = platform_store.UPSTREAMS_TOPIC
        await fleet_store.write(
            self._store, topic, self.instance_id, entry | self._entry_fields()
        )

    async def leave(self) -> None:
        """Removes its entry and stops."""
        topic = platform_store.UPSTREAMS_TOPIC
        await fleet_store.write(self._store, topic, self.instance_id, None)
        self.server.stop()

    def _entry_fields(self) -> dict[str, Any]:
        return {}

    async def _handle(self, exchange: fleet_server.Exchange) -> None:
        expected = exchange.headers.get("expected-instance", self.instance_id)
        if expected != self.instance_id:
            self._reject(exchange, 421)
        elif exchange.path == fleet_scenarios.HEALTH_PATH:
            exchange.respond({}, headers={"Instance-Id": self.instance_id})
        elif "request-id" not in exchange.headers:
            await self._control(exchange)
        else:
            await self._call(exchange)

    async def _control(self, exchange: fleet_server.Exchange) -> None:
        exchange.respond({"error": "no such path"}, 404)

    async def _call(self, exchange: fleet_server.Exchange) -> None:
        raise NotImplementedError

    def _reject(
        self, exchange: fleet_server.Exchange, status: int = 503
    ) -> None:
        headers = {
            "Request-Id": exchange.headers.get("request-id", ""),
            "Instance-Id": self.instance_id,
        }
        exchange.respond({}, status, headers | _NOT_EXECUTED)

    def _answer_headers(self, request_id: str) -> dict[str, str]:
        signature = f"{self.instance_id}.{request_id}"
        return {"Request-Id": request_id, "Response-Signature": signature}


class Desk(_Upstream):
    """An upstream of the plain service."""

    def __init__(
        self,
        store: str,
        instance_id: str,
        zone: str,
        scenario: fleet_scenarios.Scenario,
        rng: random.Random,
    ):
        super().__init__(store, instance_id, fleet_scenarios.DESK, zone)
        self._slots = asyncio.Semaphore(scenario.desk_slots)
        self._scenario = scenario
        self._waiting = 0
        self._rng = rng
        self._work_s = {one.path: one.work_ms / 1000 for one in scenario.kinds}

    def _entry_fields(self) -> dict[str, Any]:
        return {"slots": self._scenario.desk_slots}

    async def _call(self, exchange: fleet_server.Exchange) -> None:
        if self._waiting >= self._scenario.desk_queue:
            self._reject(exchange)
            return
        until_s = time.monotonic() + _deadline_s(exchange)
        self._waiting += 1
        try:
            await self._slots.acquire()
        finally:
            self._waiting -= 1
        try:
            if time.monotonic() > until_s:
                self._reject(exchange)
                return
            request_id = exchange.headers["request-id"]
            self.ran.append(Ran(request_id, self.instance_id))
            mean_s = self._work_s[exchange.path.rpartition("/")[0] + "/"]
            await asyncio.sleep(mean_s * self._rng.uniform(0.5, 1.5))
            answer = desk_answer(request_id)
            exchange.respond(answer, headers=self._answer_headers(request_id))
        finally:
            self._slots.release()


class Engine(_Upstream):
    """An engine: its batch, its models and its orders.

    Attributes:
      lost_s: Time of steps that came so late that it was not caught up.
    """

    def __init__(
        self,
        store: str,
        instance_id: str,
        zone: str,
        scenario: fleet_scenarios.Scenario,
        models: tuple[str, ...],
        loads: Loads,
    ):
        super().__init__(store, instance_id, fleet_scenarios.ENGINES, zone)
        self._sheet = scenario.engine
        self._models = {one.name: one for one in scenario.models}
        self.memory = simulated_engine.SimulatedEngine(
            simulated_engine.EngineCapacity(
                {one.name: one.weights_mb for one in scenario.models},
                self._sheet.weights_mb,
                0.0,
                self._sheet.adapter_slots,
            ),
            models,
        )
        self._on_disk = set(models)
        self._loads = loads
        self._batch = fleet_batch.Batch(self._sheet)
        self._changed: dict[fleet_batch.Run, asyncio.Event] = {}
        self._stepping: asyncio.Task | None = None
        self._tasks: set[asyncio.Task] = set()
        self._report: dict[str, Any] = {}
        self.lost_s = 0.0

    async def start(self) -> None:
        """Listens, registers itself and begins to report."""
        self._report = self._current_report()
        await super().start()
        self._spawn(self._keep_report())

    def _spawn(self, work) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    # -- reports and orders ----------------------------------------------

    def _entry_fields(self) -> dict[str, Any]:
        return {"slots": self._sheet.slots, "models": self._resident_models()}

    def _resident_models(self) -> list[dict[str, Any]]:
        return [
            {"name": one.name, "version": 1, "adapters": sorted(one.adapters)}
            for one in self.memory.held()
        ]

    def _current_report(self) -> dict[str, Any]:
        return {
            "stage": "both",
            "born": self._born_ms,
            "models": self._resident_models(),
            "pending": [f"{one}@1" for one in self.memory.loading_adapters],
            "available": {"inMemory": [], "onDisk": sorted(self._on_disk)},
            "busy": self.memory.is_busy,
            "sequence": self.memory.orders,
            "queued": len(self._batch.waiting),
            "inFlight": len(self._batch.running),
            "kvUsed": self._batch.kv_used,
            "kvTotal": self._sheet.kv_tokens,
            "handles": 0,
        }

    async def _keep_report(self) -> None:
        while True:
            self._report = self._current_report()
            await asyncio.sleep(self._sheet.report_lag_s)

    async def _control(self, exchange: fleet_server.Exchange) -> None:
        match exchange.method, exchange.path:
            case "GET", "/v1/report":
                exchange.respond(self._report)
            case "POST", "/v1/order":
                self._order(exchange)
            case _:
                exchange.respond({"error": "no such path"}, 404)

    def _order(self, exchange: fleet_server.Exchange) -> None:
        fields = json.loads(exchange.body)
        target = fields["model"]
        if fields.get("adapter"):
            target = f"{target}/{fields['adapter']}"
        loads = fields["operation"] == "load"
        answer = self.memory.apply(
            simulated_engine.Order(loads, target, fields.get("precondition"))
        )
        if answer is serving.OrderAnswer.ACCEPTED:
            if "/" in target:
                self._spawn(self._complete_adapters(fields["model"]))
            elif loads:
                self._spawn(self._complete_load(target))
            else:
                self._spawn(self._complete_unload())
        exchange.respond({}, _ORDER_STATUS[answer])

    async def _complete_adapters(self, model: str) -> None:
        await asyncio.sleep(self._models[model].adapter_load_s)
        self.memory.complete_adapters()

    async def _complete_load(self, model: str) -> None:
        is_on_disk = model in self._on_disk
        load_s = self._sheet.disk_load_s if is_on_disk else self._sheet.load_s
        self._loads.model_loads += not is_on_disk
        crowd = self._loads.model_loads / self._sheet.parallel_loads
        await asyncio.sleep(load_s * max(1.0, crowd))
        self._loads.model_loads -= not is_on_disk
        self._on_disk.add(model)
        self.memory.complete()
        await self.register()

    async def _complete_unload(self) -> None:
        while self.memory.unloading is not None:
            await asyncio.sleep(_UNLOAD_POLL_S)
            self.memory.complete()
        await self.register()

    # -- requests --------------------------------------------------------

    async def _call(self, exchange: fleet_server.Exchange) -> None:
        target = exchange.headers.get("model", "")
        if not self.memory.can_serve(target):
            self._reject(exchange, 421)
            return
        run = self._run_from(exchange, target)
        fits = run.kv_tokens <= self._sheet.kv_tokens
        if self._batch.is_full or not fits:
            self._reject(exchange)
            return
        self.memory.begin_request(target)
        changed = self._changed[run] = asyncio.Event()
        self._batch.add(run)
        if self._stepping is None:
            self._stepping = asyncio.create_task(self._step())
        try:
            await self._serve(exchange, run, changed)
        finally:
            self._batch.remove(run)
            del self._changed[run]
            self.memory.end_request(target)

    def _run_from(
        self, exchange: fleet_server.Exchange, target: str
    ) -> fleet_batch.Run:
        _, _, output = exchange.headers["token-usage"].partition(",")
        parts = []
        for part in exchange.headers.get("prompt-prefix", "").split(","):
            name, _, tokens = part.strip().partition(":")
            parts.append((name, int(tokens)))
        stride = self._sheet.tokens_per_event
        return fleet_batch.Run(
            target,
            self._models[target.partition("/")[0]].pace,
            tuple(parts),
            int(output),
            int(exchange.headers.get("request-priority", 5)),
            int(exchange.headers.get("last-event-id", 0)) * stride,
        )

    async def _serve(
        self,
        exchange: fleet_server.Exchange,
        run: fleet_batch.Run,
        changed: asyncio.Event,
    ) -> None:
        request_id = exchange.headers["request-id"]
        stride = self._sheet.tokens_per_event
        sent, last = run.made // stride, math.ceil(run.output_tokens / stride)
        ran: Ran | None = None
        until_s = time.monotonic() + _deadline_s(exchange)
        while sent < last or ran is None:
            left_s = until_s - time.monotonic()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), max(0.0, left_s))
            changed.clear()
            if left_s <= 0:
                self._give_up(exchange, ran)
                return
            if ran is None and run.is_admitted and not run.to_read:
                ran = Ran(request_id, self.instance_id)
                self.ran.append(ran)
                exchange.begin_stream(
                    self._answer_headers(request_id)
                    | {
                        "Content-Type": "text/event-stream",
                        "Weight-Versions": "1",
                    }
                )
            made = last if run.is_ended else min(run.events, last)
            if made > sent:
                events = range(sent + 1, made + 1)
                exchange.send_event(
                    b"".join(event(request_id, one) for one in events)
                )
                sent = made
        exchange.end_stream()

    def _give_up(
        self, exchange: fleet_server.Exchange, ran: Ran | None
    ) -> None:
        if ran is None:
            self._reject(exchange)
        else:
            exchange.abort()

    async def _step(self) -> None:
        """Runs steps on the real clock while there is work."""
        next_s = time.monotonic()
        while self._batch.running or self._batch.waiting:
            # An accelerator is not slowed by this machine's processors.
            earliest_s = time.monotonic() - MAX_CATCH_UP_S
            self.lost_s += max(0.0, earliest_s - next_s)
            next_s = max(next_s, earliest_s) + self._batch.begin_step()
            await asyncio.sleep(max(0.0, next_s - time.monotonic()))
            before = list(self._batch.running)
            self._batch.end_step()
            for run in before:
                if run in self._changed:
                    self._changed[run].set()
        self._stepping = None


def _deadline_s(exchange: fleet_server.Exchange) -> float:
    return float(exchange.headers.get("deadline-ms", 60_000)) / 1000


def initial_models(
    scenario: fleet_scenarios.Scenario, engines: int
) -> list[tuple[str, ...]]:
    """Places busy models on many engines and the others on one each."""
    placed: list[list[str]] = [[] for _ in range(engines)]
    free_mb = [scenario.engine.weights_mb] * engines
    wanted = collections.deque(scenario.models)
    for turn in range(scenario.engine.resident_models):
        for engine in range(engines):
            # Every third place goes to one of the few busiest models.
            is_busy = (engine + turn) % 3 == 0 or not wanted
            model = (
                scenario.models[(engine // 3) % min(6, len(scenario.models))]
                if is_busy
                else wanted.popleft()
            )
            has_room = model.weights_mb <= free_mb[engine]
            if model.name not in placed[engine] and has_room:
                placed[engine].append(model.name)
                free_mb[engine] -= model.weights_mb
    return [tuple(one) for one in placed]


async def run(
    store: str,
    scenario: fleet_scenarios.Scenario,
    engines: list[tuple[str, str, tuple[str, ...]]],
    desks: list[tuple[str, str]],
    seed: int,
    ends: asyncio.Event,
) -> Result:
    """Runs upstreams until `ends`; returns which requests ran.

    Args:
      store: The address of the trial's store.
      scenario: What is served.
      engines: Id, availability zone and models of each engine.
      desks: Id and availability zone of each upstream of the plain service.
      seed: Of the times of work.
      ends: Set to stop.
    """
    loads = Loads()
    engines_run = [
        Engine(store, name, zone, scenario, models, loads)
        for name, zone, models in engines
    ]
    upstreams: list[_Upstream] = [
        *engines_run,
        *(
            Desk(store, name, zone, scenario, random.Random(f"{seed}/{name}"))
            for name, zone in desks
        ),
    ]
    for one in upstreams:
        await one.start()
    interval_s = scenario.engine.heartbeat_s
    beats = [
        asyncio.create_task(one.heartbeat(interval_s)) for one in upstreams
    ]
    await ends.wait()
    for beat in beats:
        beat.cancel()
    for one in upstreams:
        await one.leave()
    return Result(
        [ran for one in upstreams for ran in one.ran],
        sum(one.lost_s for one in engines_run),
    )
