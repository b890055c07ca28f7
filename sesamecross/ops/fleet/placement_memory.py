"""What the one who gives orders remembers of the demand for models.

Why: the instances' rates follow demand within two seconds, which is right for
loading and wrong for unloading: a model that is asked for every few seconds
would come and go. Unloading follows a longer memory, kept here.
"""

from collections.abc import Mapping
import math

from sesamecross.core import fleet_messages as fm
from sesamecross.core import serving
from sesamecross.ops.fleet import engine_state
from sesamecross.ops.fleet import planner

# A model that is asked for once in this time stays, as far as there is room.
LONG_S = 6.0
# In the long memory all busy models are alike, so that one that has fallen
# silent makes way within seconds, however busy it was.
USUAL_MOST = 1.0
# Prompt tokens of a request, until more is told of them.
TYPICAL_TOKENS = 1000.0

Key = tuple[str, str]


class PlacementMemory:
    """Smoothed demand by service and model.

    Attributes:
      from_store: Targets whose last load came from the weight store.
    """

    __slots__ = ("_usual", "_at_s", "from_store")

    def __init__(self) -> None:
        self._usual: dict[Key, float] = {}
        self._at_s: float | None = None
        self.from_store: set[str] = set()

    def demand(
        self,
        service: str,
        spec: serving.EngineSpec,
        told: Mapping[Key, fm.TargetDemand],
        wants: Mapping[tuple[str, str, str], float],
        now_s: float,
    ) -> dict[str, planner.ModelDemand]:
        """Returns the demand by model.

        Args:
          service: Whose models.
          spec: What its engines can load.
          told: Demand over all instances, by service and target.
          wants: What requests wait for, by service, target and engine.
          now_s: Monotonic time.
        """
        rates: dict[str, float] = {}
        waiting: dict[str, int] = {}
        for (of, target), one in told.items():
            if of == service:
                model = target.partition("/")[0]
                rates[model] = rates.get(model, 0.0) + one.rate
                if model == target:
                    waiting[model] = waiting.get(model, 0) + one.waiting
        for of, target, _ in wants:
            if of == service and "/" not in target:
                waiting[target] = max(1, waiting.get(target, 0))
        self._smooth(service, spec, rates, now_s)
        return {
            name: planner.ModelDemand(
                rates.get(name, 0.0),
                self._usual.get((service, name), 0.0),
                rates.get(name, 0.0)
                * TYPICAL_TOKENS
                * engine_state.START_PROMPT_MS
                / 1000,
                waiting.get(name, 0),
            )
            for name in spec.models
        }

    def _smooth(
        self,
        service: str,
        spec: serving.EngineSpec,
        rates: Mapping[str, float],
        now_s: float,
    ) -> None:
        passed_s = 0.0 if self._at_s is None else now_s - self._at_s
        self._at_s = now_s
        keep = math.exp(-passed_s / LONG_S)
        for name in spec.models:
            key = (service, name)
            usual = self._usual.get(key, 0.0)
            rate = min(USUAL_MOST, rates.get(name, 0.0))
            self._usual[key] = rate + (usual - rate) * keep
