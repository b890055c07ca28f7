"""Simulates the placement of a fleet's models under urgent and patient demand.

Whether a plan serves both kinds shows only over many plans: a load takes
seconds, meanwhile demand moves on, and what one kind gains another one loses.
Here the real demand meter, history, planner and steps run in virtual time with
simple engines, which makes runs of the same load and seed comparable.
"""

import collections
import random

import msgspec

from sesamecross.core import fleet_messages as fm
from sesamecross.core import serving
from sesamecross.ops.fleet import demand as demand_lib
from sesamecross.ops.fleet import demand_history
from sesamecross.ops.fleet import engine_inventory
from sesamecross.ops.fleet import load_budget
from sesamecross.ops.fleet import patient_demand
from sesamecross.ops.fleet import placement_steps
from sesamecross.ops.fleet import placement_target
from sesamecross.ops.fleet import placement_turns
from sesamecross.ops.fleet import placement_types
from sesamecross.ops.fleet import wait_policy

SERVICE = "s"
TICK_S = 0.05
TARGET_INTERVAL_S = 0.3
STEP_INTERVAL_S = 0.1
REPORT_INTERVAL_S = 0.2
REPORT_LAG_S = 0.5
SETTLE_S = 0.7
UNLOAD_S = 0.1
STORE_WINDOW_S = 8.0
STORE_OVERAGE = 1.1
PREFILL_S = 0.02
# A model is asked for throughout a run if it is asked for at least this often,
# over at least this many seconds.
MIN_ASKED = 4
MIN_ASKED_S = 8.0


class Kind(msgspec.Struct, frozen=True):
    """A kind of requests.

    Attributes:
      place_s: How long a request takes a batch slot.
    """

    route: serving.Route
    place_s: float


def route(objective_s: float, deadline_s: float) -> serving.Route:
    """Returns a route of model calls answered with streams."""
    return serving.Route(
        "r",
        "a.example",
        "/a/",
        serving.RouteKind.STREAM,
        (serving.Target(SERVICE, 1),),
        0,
        2,
        deadline_s,
        objective_s,
        0.25,
        True,
        True,
    )


URGENT = Kind(route(0.407, 12.211), 0.9)
PATIENT = Kind(route(5.007, 20.028), 1.2)


class Load(msgspec.Struct):
    """A load of requests over time.

    Attributes:
      urgent_rate, patient_rate: Requests per second.
      urgent_models: Fewest and most models that urgent requests name.
      patient_models: Models that patient requests are spread over.
      moves_s: How often a third of the urgent models is replaced.
      bursts: Start, end and factor of patient rates beyond the usual one.
      lost: Times at which the engine under the latest group's load is lost.
      holder_changes: Times at which another instance becomes lease holder.
      retries: How often a caller sends a refused request again, after a third
        of the time that it has left at the latest; if None, always after the
        time that it was told, as long as it has time.
    """

    urgent_rate: float = 258.0
    patient_rate: float = 23.1
    urgent_models: tuple[int, int] = (22, 30)
    patient_models: int = 150
    moves_s: float = 6.0
    bursts: tuple[tuple[float, float, float], ...] = ()
    lost: tuple[float, ...] = ()
    holder_changes: tuple[float, ...] = ()
    retries: int | None = None
    urgent_kind: Kind = URGENT
    patient_kind: Kind = PATIENT


class Deployment(msgspec.Struct):
    """The engines and their models; a model takes a third of an engine."""

    engines: int = 56
    models: int = 206
    slots: int = 12
    store_load_s: float = 6.1
    disk_load_s: float = 1.3
    memory_load_s: float = 0.6
    store_loads_per_s: float = 16.0

    def spec(self) -> serving.EngineSpec:
        """Returns the capacity of its engines."""
        times = (self.store_load_s, self.disk_load_s, self.memory_load_s)
        return serving.EngineSpec(
            self.slots,
            60_459,
            230_000.0,
            8,
            self.store_loads_per_s,
            8,
            {
                name: serving.ModelSpec(name, 70_000.0, *times, 0, 1.0)
                for name in (f"m{number:03}" for number in range(self.models))
            },
        )


class Request(msgspec.Struct, eq=False):
    """A caller's request, with its retries.

    Attributes:
      retry_s: When the caller sends it again; 0 while it waits here.
      retries: How often the caller was told to send it again.
      is_waiting: Whether it is counted as waiting for a load.
    """

    kind: Kind
    model: str
    arrived_s: float
    attempt_s: float
    is_patient: bool
    retry_s: float = 0.0
    retries: int = 0
    is_waiting: bool = False

    @property
    def deadline_s(self) -> float:
        """Returns when its caller gives up."""
        return self.arrived_s + self.kind.route.timeout_s


class ModelRecord(msgspec.Struct):
    """What callers of one model saw.

    Attributes:
      asked_s: When each request for it arrived, without retries.
      served: Requests that were sent to an engine.
      missed_s: The longest time for which callers asked for it in vain.
    """

    asked_s: list[float] = []
    served: int = 0
    missed_s: float = 0.0
    missing_since_s: float | None = None

    def note_asked(self, now_s: float) -> None:
        """Records a request."""
        self.asked_s.append(now_s)
        if self.missing_since_s is None:
            self.missing_since_s = now_s

    def note_served(self, now_s: float) -> None:
        """Records that a request was sent to an engine."""
        self.served += 1
        self.end_miss(now_s)

    def end_miss(self, now_s: float) -> None:
        """Ends the time for which callers asked in vain."""
        if self.missing_since_s is not None:
            self.missed_s = max(self.missed_s, now_s - self.missing_since_s)
            self.missing_since_s = None

    @property
    def is_asked_for_throughout(self) -> bool:
        """Whether callers asked often, over a longer time."""
        return (
            len(self.asked_s) >= MIN_ASKED
            and self.asked_s[-1] - self.asked_s[0] >= MIN_ASKED_S
        )


class Result(msgspec.Struct):
    """Counts of one run.

    Attributes:
      urgent_found: Urgent requests that were sent in their first attempt.
      refused: Answers that told a caller to retry.
      held_in_vain_s: For how long each patient request was held that was
        refused then.
      refused_again: Patient requests that came back for a model when they were
        told, and were refused again.
      group_loads: Loads planned for groups, by reason.
      models: What the callers of each model saw, the warm-up included.
    """

    urgent: int = 0
    urgent_found: int = 0
    patient: int = 0
    patient_on_time: int = 0
    patient_late: int = 0
    refused: int = 0
    held_in_vain_s: list[float] = []
    refused_again: int = 0
    store_loads: int = 0
    copy_loads: int = 0
    seconds: float = 0.0
    group_loads: collections.Counter = msgspec.field(
        default_factory=collections.Counter
    )
    models: dict[str, ModelRecord] = {}

    @property
    def asked_throughout(self) -> list[str]:
        """Returns the models that were asked for often, over a longer time."""
        return sorted(
            name
            for name, record in self.models.items()
            if record.is_asked_for_throughout
        )

    @property
    def never_served(self) -> list[str]:
        """Returns those of them of which no request was served."""
        return [
            name
            for name in self.asked_throughout
            if not self.models[name].served
        ]

    @property
    def longest_miss_s(self) -> float:
        """Returns for how long callers of any model asked in vain at most."""
        return max((one.missed_s for one in self.models.values()), default=0.0)

    @property
    def mean_held_in_vain_s(self) -> float:
        """Returns for how long refused patient requests were held."""
        return sum(self.held_in_vain_s) / max(1, len(self.held_in_vain_s))

    @property
    def urgent_share(self) -> float:
        """Returns the share of urgent requests that find their model."""
        return self.urgent_found / max(1, self.urgent)

    @property
    def patient_share(self) -> float:
        """Returns the share of patient requests that are on time."""
        return self.patient_on_time / max(1, self.patient)

    @property
    def patient_served_share(self) -> float:
        """Returns the share of patient requests sent, on time or late."""
        served = self.patient_on_time + self.patient_late
        return served / max(1, self.patient)

    @property
    def loads_per_s(self) -> float:
        """Returns the loads per second from any copy."""
        return (self.store_loads + self.copy_loads) / max(1e-9, self.seconds)

    @property
    def store_loads_per_s(self) -> float:
        """Returns the loads per second from the weight store."""
        return self.store_loads / max(1e-9, self.seconds)

    def __str__(self) -> str:
        return (
            f"urgent found {self.urgent_share:.3f} of {self.urgent}, "
            f"patient on time {self.patient_share:.3f} and served "
            f"{self.patient_served_share:.3f} of {self.patient}, "
            f"loads {self.loads_per_s:.2f}/s "
            f"of them from the store {self.store_loads_per_s:.2f}/s, "
            f"refused {self.refused}, patient ones after "
            f"{self.mean_held_in_vain_s:.1f} s, {self.refused_again} of "
            f"{len(self.held_in_vain_s)} again, "
            f"groups {dict(self.group_loads)}, "
            f"{len(self.never_served)} of {len(self.asked_throughout)} models "
            f"never served, longest miss {self.longest_miss_s:.1f} s"
        )


class _Engine:
    """An engine: what it holds, its order in progress, its requests."""

    def __init__(self, name: str, models: list[str]):
        self.inventory = engine_inventory.EngineInventory(name, 1)
        self.inventory.models.update(models)
        self.inventory.is_fully_known = True
        self.on_disk = set(models)
        self._set_copies()
        self.running: dict[str, int] = {}
        self.unloading: tuple[str, float] | None = None

    @property
    def is_busy(self) -> bool:
        """Whether an order is in progress."""
        return bool(self.inventory.loading) or self.unloading is not None

    @property
    def requests(self) -> int:
        """Returns its requests in flight."""
        return sum(self.running.values())

    def finish_orders(self, now_s: float) -> None:
        """Ends the order in progress if it is done."""
        inventory = self.inventory
        for name, ready_s in list(inventory.loading.items()):
            if now_s >= ready_s:
                del inventory.loading[name]
                inventory.models.add(name)
                inventory.loaded_s[name] = now_s
                self.on_disk.add(name)
                self._set_copies()
        if self.unloading is not None:
            name, ready_s = self.unloading
            if now_s >= ready_s and not self.running.get(name):
                self.unloading = None

    def _set_copies(self) -> None:
        self.inventory.copies = serving.WeightCopies(
            frozenset(), frozenset(self.on_disk)
        )


class FleetSimulation:
    """Engines, their planner, and callers.

    Attributes:
      result: Counts after the warm-up.
      waits_for: Requests that wait, by model.
    """

    def __init__(
        self, deployment: Deployment, load: Load, seed: int, in_groups: bool
    ):
        self._spec = deployment.spec()
        self._load = load
        self._in_groups = in_groups
        # Apart from each other, so that both ways get the same requests.
        self._rng = random.Random(f"{seed} moves")
        self._arrivals = {
            "urgent": random.Random(f"{seed} urgent"),
            "patient": random.Random(f"{seed} patient"),
        }
        self.names = sorted(self._spec.models)
        self.engines = {
            f"e{number:02}": _Engine(
                f"e{number:02}",
                [
                    self.names[(3 * number + one) % len(self.names)]
                    for one in range(3)
                ],
            )
            for number in range(deployment.engines)
        }
        self.result = Result()
        self.now_s = 100.0
        self.waits_for: dict[str, list[Request]] = {}
        self.group_engine = ""
        self._retries: list[Request] = []
        self._ends: list[tuple[float, str, str]] = []
        self._meter = demand_lib.DemandMeter()
        self._missing = wait_policy.MissedModels()
        self._reports: collections.deque = collections.deque()
        self._rows: dict[tuple[str, str], fm.TargetDemand] = {}
        self._uses: dict[tuple[str, str], int] = {}
        self._patient_names = self._rng.sample(self.names, load.patient_models)
        self._urgent_names = self._rng.sample(self.names, load.urgent_models[1])
        self._next_s = dict.fromkeys(("move", "report", "target", "step"), 0.0)
        self._counts_from_s = 0.0
        self._begin_holder(0.0)
        self._events = sorted(
            [(at_s, "lost") for at_s in load.lost]
            + [(at_s, "holder") for at_s in load.holder_changes]
        )

    def run(self, seconds: float, warm_up_s: float = 10.0) -> Result:
        """Runs for some seconds after a warm-up; returns the counts."""
        began_s = self.now_s
        self._counts_from_s = began_s + warm_up_s
        while self.now_s < began_s + warm_up_s + seconds:
            self.now_s += TICK_S
            self._tick(self.now_s - began_s - warm_up_s)
        for record in self.result.models.values():
            record.end_miss(self.now_s)
        self.result.seconds = seconds
        return self.result

    # -- time ----------------------------------------------------------

    def _tick(self, elapsed_s: float) -> None:
        while self._events and self._events[0][0] <= elapsed_s:
            _, event = self._events.pop(0)
            if event == "lost":
                self.engines.pop(self.group_engine, None)
            else:
                self._begin_holder(LEASE_GAP_S)
        self._end_requests()
        for engine in self.engines.values():
            engine.finish_orders(self.now_s)
        if self._is_due("move", self._load.moves_s):
            self._move_demand()
        self._arrive(elapsed_s)
        self._serve_waiting()
        if self._is_due("report", REPORT_INTERVAL_S):
            self._report()
        if self.now_s >= self._orders_from_s:
            if self._is_due("target", TARGET_INTERVAL_S):
                self._plan()
            if self._target is not None and self._is_due(
                "step", STEP_INTERVAL_S
            ):
                self._step()

    def _is_due(self, what: str, interval_s: float) -> bool:
        if self.now_s < self._next_s[what]:
            return False
        self._next_s[what] = self.now_s + interval_s
        return True

    @property
    def _counts(self) -> bool:
        return self.now_s >= self._counts_from_s

    def _move_demand(self) -> None:
        """Replaces a third of the urgent models."""
        count = self._rng.randint(*self._load.urgent_models)
        kept = self._rng.sample(
            self._urgent_names, min(len(self._urgent_names), count * 2 // 3)
        )
        others = sorted(set(self.names) - set(kept))
        self._urgent_names = kept + self._rng.sample(others, count - len(kept))

    # -- callers -------------------------------------------------------

    def _arrive(self, elapsed_s: float) -> None:
        factor = 1.0
        for from_s, until_s, more in self._load.bursts:
            if from_s <= elapsed_s < until_s:
                factor = more
        kinds = (
            (
                self._load.urgent_kind,
                "urgent",
                self._load.urgent_rate,
                self._urgent_names,
            ),
            (
                self._load.patient_kind,
                "patient",
                self._load.patient_rate * factor,
                self._patient_names,
            ),
        )
        for kind, name, rate, names in kinds:
            rng = self._arrivals[name]
            for _ in range(int(rate * TICK_S + rng.random())):
                self._begin(kind, rng.choice(names))
        due = [one for one in self._retries if one.retry_s <= self.now_s]
        self._retries = [
            one for one in self._retries if one.retry_s > self.now_s
        ]
        for request in due:
            request.attempt_s = self.now_s
            self._count_demand(request)
            self.waits_for.setdefault(request.model, []).append(request)

    def _begin(self, kind: Kind, model: str) -> None:
        is_patient = self._in_groups and patient_demand.is_patient(
            kind.route, self._spec, model
        )
        request = Request(kind, model, self.now_s, self.now_s, is_patient)
        if self._counts:
            if kind is self._load.urgent_kind:
                self.result.urgent += 1
            else:
                self.result.patient += 1
        self.result.models.setdefault(model, ModelRecord()).note_asked(
            self.now_s
        )
        self._count_demand(request)
        self.waits_for.setdefault(model, []).append(request)

    def _count_demand(self, request: Request) -> None:
        key = (SERVICE, request.model)
        if request.is_patient:
            self._meter.record_patient_request(key, self.now_s, PREFILL_S)
        else:
            self._meter.record_request(key, self.now_s, PREFILL_S)

    def _serve_waiting(self) -> None:
        for model in list(self.waits_for):
            left = [
                request
                for request in self.waits_for[model]
                if not self._serve(request)
            ]
            if left:
                self.waits_for[model] = left
            else:
                del self.waits_for[model]

    def _serve(self, request: Request) -> bool:
        """Sends or refuses a request; False if it goes on waiting."""
        holders = [
            name
            for name, engine in self.engines.items()
            if request.model in engine.inventory.models
            and (name, request.model) not in self._withdrawn
        ]
        free = [
            name
            for name in holders
            if self.engines[name].requests < self._spec.slots
        ]
        if free:
            self._set_waiting(request, False)
            self._send(
                request,
                min(free, key=lambda name: self.engines[name].requests),
            )
            return True
        times = wait_policy.RequestTimes(
            request.attempt_s,
            wait_policy.send_deadline_s(
                request.kind.route, request.attempt_s, request.deadline_s
            ),
            request.deadline_s,
        )
        if holders:
            self._set_waiting(request, False)
            if self.now_s < times.send_deadline_s:
                return False
            self._meter.record_outcome((SERVICE, request.model), True)
            self._refuse(request, 1.0)
            return True
        ready_s = self._ready_at_s(request.model)
        if request.is_patient:
            decision = wait_policy.decide_patient(
                times,
                ready_s,
                patient_demand.fastest_load_s(
                    self._spec.models[request.model],
                    (one.inventory.copies for one in self.engines.values()),
                ),
                self.now_s,
            )
        else:
            decision = wait_policy.decide_model(
                times,
                ready_s,
                self._missing.since(request.model, self.now_s),
                self.now_s,
            )
        if isinstance(decision, wait_policy.RetryAfter):
            self._set_waiting(request, False)
            self._refuse_missing(request, decision.after_s)
            return True
        self._set_waiting(request, True)
        return False

    def _set_waiting(self, request: Request, is_waiting: bool) -> None:
        if request.is_waiting == is_waiting:
            return
        request.is_waiting = is_waiting
        key = (SERVICE, request.model)
        if not request.is_patient:
            self._meter.adjust_waiting(key, 1 if is_waiting else -1)
            return
        due_s = patient_demand.due_to_send_s(
            request.kind.route, request.attempt_s
        )
        if is_waiting:
            self._meter.begin_patient_wait(key, due_s)
        else:
            self._meter.end_patient_wait(key, due_s)

    def _send(self, request: Request, name: str) -> None:
        engine = self.engines[name]
        engine.running[request.model] = engine.running.get(request.model, 0) + 1
        self.result.models[request.model].note_served(self.now_s)
        kind = request.kind
        self._ends.append((self.now_s + kind.place_s, name, request.model))
        key = (SERVICE, request.model)
        self._meter.record_service_time(key, kind.place_s)
        self._meter.record_prompt(key, PREFILL_S)
        is_late = self.now_s > patient_demand.due_to_send_s(
            kind.route, request.arrived_s
        )
        self._meter.record_outcome(key, is_late)
        if request.arrived_s < self._counts_from_s:
            return
        if kind is self._load.urgent_kind:
            self.result.urgent_found += request.attempt_s == request.arrived_s
        elif is_late:
            self.result.patient_late += 1
        else:
            self.result.patient_on_time += 1

    def _refuse_missing(self, request: Request, after_s: float) -> None:
        """Refuses a request whose model is not loaded in time."""
        if self._counts and request.kind is self._load.patient_kind:
            self.result.held_in_vain_s.append(self.now_s - request.attempt_s)
            self.result.refused_again += request.attempt_s > request.arrived_s
        returns_s = self.now_s + wait_policy.retry_after_s(
            after_s, request.deadline_s, self.now_s
        )
        self._meter.record_refusal((SERVICE, request.model), returns_s)
        self._refuse(request, after_s)

    def _refuse(self, request: Request, after_s: float) -> None:
        self.result.refused += self._counts
        if self._load.retries is not None:
            after_s = wait_policy.retry_after_s(
                after_s, request.deadline_s, self.now_s
            )
            if request.retries >= self._load.retries:
                return
        request.retries += 1
        request.retry_s = self.now_s + after_s
        if request.retry_s < request.deadline_s:
            self._retries.append(request)

    def _end_requests(self) -> None:
        left = []
        for end in self._ends:
            at_s, name, model = end
            if at_s > self.now_s:
                left.append(end)
            elif name in self.engines:
                self.engines[name].running[model] -= 1
        self._ends = left

    def _ready_at_s(self, model: str) -> float | None:
        times = [
            engine.inventory.loading[model]
            for engine in self.engines.values()
            if model in engine.inventory.loading
        ]
        times += [
            waits[model] for waits in self._expected.values() if model in waits
        ]
        return min(times, default=None)

    # -- lease holder --------------------------------------------------

    def _begin_holder(self, gap_s: float) -> None:
        """Begins with another lease holder, which knows nothing yet."""
        self._history = demand_history.DemandHistory()
        self._budget = load_budget.LoadBudget(
            self._spec.store_loads_per_s,
            STORE_WINDOW_S,
            STORE_OVERAGE,
            self.now_s,
        )
        self._target: placement_types.PlacementTarget | None = None
        self._withdrawn: dict[tuple[str, str], float] = {}
        self._expected: dict[str, dict[str, float]] = {}
        self._orders_from_s = self.now_s + gap_s

    def _report(self) -> None:
        rows = {
            (row.service, row.target): row
            for row in self._meter.rows(self.now_s)
        }
        uses = {
            (name, model): count
            for name, engine in self.engines.items()
            for model, count in engine.running.items()
            if count
        }
        self._reports.append((self.now_s, rows, uses))
        while self._reports[0][0] <= self.now_s - REPORT_LAG_S:
            _, self._rows, self._uses = self._reports.popleft()

    def _inputs(self) -> placement_types.Inputs:
        engines = tuple(
            placement_types.Engine(engine.inventory, not engine.is_busy, False)
            for engine in self.engines.values()
        )
        loads = sum(len(one.inventory.loading) for one in engines)
        demand = self._history.demand(
            SERVICE,
            self._spec,
            self._rows,
            self._uses,
            {name for one in engines for name in one.inventory.models},
            {
                (SERVICE, model, ""): self.now_s
                for model, requests in self.waits_for.items()
                if any(
                    one.is_waiting and not one.is_patient for one in requests
                )
            },
            self.now_s,
        )
        may_load = self._budget.allows(self.now_s)
        return placement_types.Inputs(
            self._spec,
            engines,
            demand,
            self._uses,
            self._withdrawn,
            self._target or {},
            (),
            max(0, 97 - loads) if may_load else 0,
            self.now_s >= self._orders_from_s + SETTLE_S,
            True,
            self.now_s,
            patience_s=max(
                wait_policy.patience_s(kind.route)
                for kind in (self._load.urgent_kind, self._load.patient_kind)
            ),
        )

    def _plan(self) -> None:
        inputs = self._inputs()
        if inputs.is_demand_known:
            self._target = placement_target.plan_target(
                inputs, self._note, self._note_turn
            )
        else:
            self._target = placement_target.fill_free_room(inputs)
        self._expected = {
            name: {model: self.now_s + one for model, one in waits.items()}
            for name, waits in placement_turns.ready_times_s(
                inputs, self._target
            ).items()
        }

    def _note(self, decision: patient_demand.LoadDecision) -> None:
        self.group_engine = decision.instance_id
        if self._counts:
            self.result.group_loads[decision.reason.name] += 1

    def _note_turn(self, turn: placement_turns.Turn) -> None:
        self.group_engine = turn.instance_id
        if self._counts:
            self.result.group_loads["TURN"] += 1

    def _step(self) -> None:
        steps = placement_steps.steps(self._inputs(), self._target)
        for key in placement_steps.withdrawals_to_end(self._withdrawn, steps):
            del self._withdrawn[key]
        for step in steps:
            engine = self.engines[step.instance_id]
            key = (step.instance_id, step.target)
            match step.kind:
                case placement_types.StepKind.WITHDRAW:
                    self._withdrawn.setdefault(key, self.now_s)
                case placement_types.StepKind.UNLOAD:
                    engine.inventory.models.discard(step.target)
                    engine.unloading = (step.target, self.now_s + UNLOAD_S)
                    self._withdrawn.pop(key, None)
                case placement_types.StepKind.LOAD:
                    self._start_load(engine, step)

    def _start_load(self, engine: _Engine, step: placement_types.Step) -> None:
        if step.from_store and not self._budget.allows(self.now_s):
            return
        engine.inventory.loading[step.target] = self.now_s + step.takes_s
        if step.from_store:
            self._budget.load_started(self.now_s)
        if self._counts:
            self.result.store_loads += step.from_store
            self.result.copy_loads += not step.from_store


# From the end of one lease until its next holder may give orders.
LEASE_GAP_S = 1.5


def compare(
    load: Load,
    seed: int,
    seconds: float = 30.0,
    deployment: Deployment | None = None,
) -> tuple[Result, Result]:
    """Returns the results without and with groups, of the same load."""
    used = deployment or Deployment()
    return (
        FleetSimulation(used, load, seed, False).run(seconds),
        FleetSimulation(used, load, seed, True).run(seconds),
    )
