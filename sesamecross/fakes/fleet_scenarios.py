"""What a fleet trial asks for and serves: kinds of requests, models, engines.

A trial is meaningful only in the proportions of a deployment: requests of one
size and one model per engine never queue, and nobody is passed over. Scenarios
are tables, so that all processes of a trial derive the same from a name.
"""

import dataclasses
import functools
from typing import Any

HOST = "fleet.example"
ENGINES, DESK = "engines", "desk"
HEALTH_PATH = "/health"


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """A kind of requests.

    Attributes:
      route_kind: `streaming`, `unsafe` or `safe`.
      share: Of all requests asked for.
      worth, late_worth: Credit of an answer on time, and of a later one.
      prompt_tokens, events: Means, of a stream.
      shared_tokens: Of the prompt's two shared parts.
      sessions: How many different second parts there are.
      first_model, models_asked, model_skew: Which models are asked for, of
        `models_asked` at a time, and how unevenly.
      models: How many models the kind may ask for, from the first.
      adapter_share: Of the requests for models that have adapters.
      work_ms: Mean time of work, unless it is a stream.
    """

    name: str
    route_kind: str
    share: float
    objective_ms: float
    deadline_ms: float
    worth: float
    late_worth: float
    priority: int
    is_resumable: bool = False
    prompt_tokens: float = 0.0
    shared_tokens: tuple[int, int] = (0, 0)
    sessions: int = 0
    events: float = 0.0
    target_gap_ms: float = 0.0
    first_model: int = 0
    models: int = 0
    models_asked: int = 0
    model_skew: float = 0.0
    adapter_share: float = 0.0
    work_ms: float = 0.0

    @property
    def is_stream(self) -> bool:
        """Whether its answers are streams of events."""
        return self.route_kind == "streaming"

    @property
    def path(self) -> str:
        """The path of its requests."""
        return f"/{self.name}/"


@dataclasses.dataclass(frozen=True, slots=True)
class Model:
    """A model; `pace` multiplies the time of an engine's steps."""

    name: str
    weights_mb: float
    pace: float
    adapters: int
    adapter_mb: float
    adapter_load_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class EngineSheet:
    """The speeds and sizes of an engine.

    Attributes:
      queue: Requests that wait beyond those in `slots`.
      chunk_tokens: The most prompt tokens that are read in one step.
      tokens_per_event: How many tokens an event of a stream holds.
      load_s, disk_load_s: The time of a load from the store, and of one that
        the engine has held before.
      parallel_loads: How many engines load at full speed at the same time.
    """

    slots: int = 64
    queue: int = 134
    step_ms: float = 8.2
    step_ms_per_run: float = 0.0181
    step_ms_per_1k_context: float = 0.0345
    prompt_tokens_per_ms: float = 25.8
    chunk_tokens: int = 1024
    tokens_per_event: int = 3
    kv_tokens: int = 137_607
    weights_mb: float = 200_000.0
    adapter_slots: int = 8
    resident_models: int = 2
    load_s: float = 1.2
    disk_load_s: float = 0.78
    loads_per_s: float = 14.0
    parallel_loads: int = 17
    connections: int = 720
    report_lag_s: float = 0.2
    heartbeat_s: float = 1.2


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """All that a trial declares about its deployment.

    Attributes:
      demand_moves_s: How often two models of those asked for are replaced.
      desk_slots: The requests that an upstream of the plain service runs.
    """

    name: str
    regions: dict[str, str]
    kinds: tuple[Kind, ...]
    models: tuple[Model, ...]
    engine: EngineSheet
    desks: int
    desk_slots: int
    desk_queue: int
    demand_moves_s: float
    bounds: dict[str, Any]

    def with_speed(self, speed: float) -> "Scenario":
        """Returns it with engines whose steps are faster or slower."""
        sheet = self.engine
        slower = dataclasses.replace(
            sheet,
            step_ms=sheet.step_ms / speed,
            step_ms_per_run=sheet.step_ms_per_run / speed,
            step_ms_per_1k_context=sheet.step_ms_per_1k_context / speed,
            prompt_tokens_per_ms=sheet.prompt_tokens_per_ms * speed,
            chunk_tokens=max(1, round(sheet.chunk_tokens * speed)),
        )
        return dataclasses.replace(self, engine=slower)


_MODEL_SIZES = (
    # Weights in MB, pace, adapter in MB, its load in s, how many models.
    (72_700.0, 1.0, 66.0, 0.014, 49),
    (65_100.0, 0.34, 12.0, 0.005, 29),
    (65_500.0, 0.93, 40.0, 0.010, 25),
    (34_300.0, 0.6, 40.0, 0.010, 23),
)
# Of every second model of those that most callers ask for.
_ADAPTERS = (116, 32, 23, 19, 16, 15, 13, 12, 11, 15, 14, 13, 12) + (11,) * 10
# Which size each model has: an interleaving by fixed strides, so that small
# and large models are among the busy and among the rare ones.
_SIZE_STRIDE = 37


def _models(count: int) -> tuple[Model, ...]:
    sizes = [one for one in _MODEL_SIZES for _ in range(one[-1])]
    models = []
    for number in range(count):
        size = sizes[number * _SIZE_STRIDE % len(sizes)]
        has_adapters = number % 2 == 0 and number // 2 < len(_ADAPTERS)
        models.append(
            Model(
                f"m{number}",
                size[0],
                size[1],
                _ADAPTERS[number // 2] if has_adapters else 0,
                size[2],
                size[3],
            )
        )
    return tuple(models)


def _kinds(busy: int, asked: int, rare: int) -> tuple[Kind, ...]:
    """Returns the kinds of requests.

    Args:
      busy: Models that most callers may ask for.
      asked: How many of these they ask for at a time.
      rare: Models that only the batch asks for.
    """
    often = {"models": busy, "models_asked": asked, "model_skew": 0.48}
    return (
        Kind(
            "draft", "streaming", 0.524, 611, 5090, 1.3, 0.66, 2,
            prompt_tokens=1800.0, shared_tokens=(341, 227), sessions=74,
            events=8.0, target_gap_ms=300, adapter_share=0.1, **often,
        ),
        Kind(
            "batch", "streaming", 0.073, 1511, 6043, 2.6, 1.3, 1, True,
            prompt_tokens=1800.0, shared_tokens=(341, 227), sessions=2,
            events=8.0, target_gap_ms=300, first_model=busy, models=rare,
            models_asked=rare, model_skew=0.4,
        ),
        Kind(
            "summary", "streaming", 0.144, 509, 15_259, 3.7, 1.8, 0,
            prompt_tokens=1110.0, shared_tokens=(210, 140), sessions=20,
            events=57.0, target_gap_ms=300, adapter_share=0.5, **often,
        ),
        Kind(
            "order", "unsafe", 0.185, 507, 2028, 1.0, 0.5, 2, work_ms=90.0
        ),
        Kind(
            "lookup", "safe", 0.074, 505, 2022, 1.0, 0.5, 2, work_ms=90.0
        ),
    )  # fmt: skip


_GROWN_BOUNDS = {
    "drainMs": 4000,
    "graceS": 8,
    "configApplyMs": 4000,
    "budgetExtra": 174,
}


@functools.cache
def scenario(name: str) -> Scenario:
    """Returns a scenario by its name: `grown`, or a `small` one for tests."""
    if name == "grown":
        regions = {f"{r}-{z}": r for z in "ab" for r in ("north", "mid", "far")}
        return Scenario(
            name, regions, _kinds(45, 18, 81), _models(126), EngineSheet(),
            6, 6, 24, 7.0, _GROWN_BOUNDS,
        )  # fmt: skip
    if name == "small":
        regions = {"north-a": "north", "north-b": "north", "far-a": "far"}
        return Scenario(
            name, regions, _kinds(6, 3, 4), _models(10), EngineSheet(),
            2, 16, 48, 3.0, _GROWN_BOUNDS,
        )  # fmt: skip
    raise ValueError(f"{name!r} is no scenario: use grown or small")


def configuration(version: int, of: Scenario) -> dict[str, Any]:
    """Returns the scenario's configuration, as operators write it."""
    return {
        "version": version,
        "routes": [_route(kind) for kind in of.kinds],
        "services": [
            {
                "name": ENGINES,
                "healthPath": HEALTH_PATH,
                "maxConnections": of.engine.connections,
                "engine": _engine(of),
            },
            {"name": DESK, "healthPath": HEALTH_PATH, "maxConnections": 460},
        ],
        "limits": {
            "maxHeaderBytes": 16_384,
            "maxBodyBytes": 1_000_000,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15_000,
        },
    }


def _route(kind: Kind) -> dict[str, Any]:
    return {
        "name": f"route {kind.name}",
        "hostname": HOST,
        "pathPrefix": kind.path,
        "kind": kind.route_kind,
        "service": ENGINES if kind.is_stream else DESK,
        "maxAttempts": 2 if kind.is_resumable or kind.name == "lookup" else 1,
        "resumable": kind.is_resumable,
        "timeoutMs": kind.deadline_ms,
        "targetLatencyMs": kind.objective_ms,
        "targetGapMs": kind.target_gap_ms,
        "priority": kind.priority,
        "sessionAffinity": kind.is_stream,
    }


def _engine(of: Scenario) -> dict[str, Any]:
    sheet = of.engine
    return {
        "slots": sheet.slots,
        "kvCapacity": sheet.kv_tokens,
        "weightsMb": sheet.weights_mb,
        "adapterSlots": sheet.adapter_slots,
        "loadsPerS": sheet.loads_per_s,
        "stride": sheet.tokens_per_event,
        "models": [
            {
                "name": one.name,
                "weightsMb": one.weights_mb,
                "loadS": sheet.load_s,
                "diskLoadS": sheet.disk_load_s,
                "adapters": one.adapters,
                "adapterMb": one.adapter_mb,
            }
            for one in of.models
        ],
    }
