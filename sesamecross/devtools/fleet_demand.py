"""What callers of a fleet trial ask for, derived from a seed.

Callers run in several processes, and which models are busy must be the same in
all of them at any moment. Sizes are spread widely: the largest prompts are the
first to be passed over.
"""

import dataclasses
import itertools
import math
import random

from sesamecross.fakes import fleet_scenarios

# Of prompts and of streams, around their means.
_SIZE_SPREAD = 1.0
_MAX_SIZE_RATIO = 4.0
# The busiest model is asked for more often than its rank says.
_FIRST_MODEL_RATIO = 2.7
_SESSION_SKEW = 0.3
_MODELS_MOVED = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Wish:
    """One request, before it is sent.

    Attributes:
      target: Its model, or model/adapter; empty without one.
      parts: The parts of its prompt, as ID and tokens.
      session: The last shared part of its prompt, by kind.
      events: The events of its whole answer.
    """

    kind: fleet_scenarios.Kind
    target: str = ""
    parts: tuple[tuple[str, int], ...] = ()
    session: str = ""
    events: int = 0
    output_tokens: int = 0

    @property
    def size(self) -> float:
        """What its worth depends on."""
        return sum(one for _, one in self.parts) + 10.0 * self.output_tokens


class Demand:
    """Draws requests; which models are busy depends on seed and time only."""

    def __init__(
        self, scenario: fleet_scenarios.Scenario, seed: int, process: int
    ):
        self._scenario = scenario
        self._seed = seed
        self._rng = random.Random(f"{seed}/wishes/{process}")
        self._models = {one.name: one for one in scenario.models}
        self._numbers = itertools.count(process << 32)
        self._asked: dict[tuple[str, int], list[int]] = {}

    def pause_s(self, rate: float) -> float:
        """Returns the time to the next request, at a rate per second."""
        return self._rng.expovariate(rate)

    def wish(self, at_s: float) -> Wish:
        """Returns a request that is sent at a time of the trial."""
        kinds = self._scenario.kinds
        kind = self._rng.choices(kinds, [one.share for one in kinds])[0]
        if not kind.is_stream:
            return Wish(kind)
        session = self._ranked(kind.sessions, _SESSION_SKEW)
        own = self._size(kind.prompt_tokens)
        first, second = kind.shared_tokens
        stride = self._scenario.engine.tokens_per_event
        events = self._size(kind.events)
        return Wish(
            kind,
            self._target(kind, at_s),
            (
                (f"{kind.name}{session % 3:x}".encode().hex(), first),
                (f"{kind.name}.{session:x}".encode().hex(), second),
                (f"{next(self._numbers):x}", own),
            ),
            f"{kind.name}.{session}",
            events,
            events * stride,
        )

    def _size(self, mean: float) -> int:
        spread = math.sqrt(math.log(1 + _SIZE_SPREAD**2))
        ratio = self._rng.lognormvariate(-(spread**2) / 2, spread)
        return max(1, round(mean * min(ratio, _MAX_SIZE_RATIO)))

    def _ranked(self, count: int, skew: float, first_ratio: float = 1) -> int:
        weights = [(rank + 1) ** -skew for rank in range(count)]
        weights[0] *= first_ratio
        return self._rng.choices(range(count), weights)[0]

    def _target(self, kind: fleet_scenarios.Kind, at_s: float) -> str:
        asked = self._models_asked(kind, at_s)
        is_skewed = kind.models_asked < kind.models
        ratio = _FIRST_MODEL_RATIO if is_skewed else 1
        number = asked[self._ranked(len(asked), kind.model_skew, ratio)]
        model = self._models[f"m{number}"]
        if model.adapters and self._rng.random() < kind.adapter_share:
            adapter = int(model.adapters * self._rng.random() ** 2) + 1
            return f"{model.name}/a{adapter}"
        return model.name

    def _models_asked(
        self, kind: fleet_scenarios.Kind, at_s: float
    ) -> list[int]:
        """Returns the models that are asked for, the busiest first."""
        moves = int(at_s / self._scenario.demand_moves_s)
        key = kind.name, moves
        if key not in self._asked:
            # Kinds that may ask for the same models ask for the same ones.
            rng = random.Random(f"{self._seed}/models/{kind.first_model}")
            numbers = list(range(kind.models))
            for _ in range(moves):
                for _ in range(_MODELS_MOVED):
                    out = rng.randrange(kind.models_asked)
                    into = rng.randrange(kind.models)
                    numbers[out], numbers[into] = numbers[into], numbers[out]
            self._asked[key] = [
                kind.first_model + one for one in numbers[: kind.models_asked]
            ]
        return self._asked[key]
