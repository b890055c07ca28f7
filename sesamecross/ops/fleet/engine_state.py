"""What one engine holds, how it is loaded and how fast it works.

Why: an engine's own word on what it holds is up to a second old, the word of
the one who gives it orders is newer, and an answer that it does not hold a
model is newer still. Its load is what this instance sent plus what the others
say; its speed is learned from requests, as no figure for it is declared.
"""

import dataclasses

from sesamecross.core import fleet_messages as fm
from sesamecross.core import serving
from sesamecross.ops import estimates
from sesamecross.ops.fleet import prefix_cache

# First guess until requests have shown better: the time to a first event
# without prompt work, and for each prompt token.
START_FIRST_MS = 60.0
START_PROMPT_MS = 0.03
_TYPICAL_TOKENS = 800.0
# An answer that a target is absent is believed this long without newer word.
ABSENT_S = 1.0
# The holder's word is renewed every 1.5 s; without it the engine's own counts.
PLACE_S = 5.0


@dataclasses.dataclass(slots=True)
class EngineState:
    """One life of an engine.

    Attributes:
      place: The newest word of the lease's holder, or None.
      own_prompt_tokens, others_prompt_tokens: Sent, and no event yet.
    """

    place: fm.EnginePlacement | None = None
    place_s: float = 0.0
    absent: dict[str, float] = dataclasses.field(default_factory=dict)
    own_prompt_tokens: int = 0
    others_prompt_tokens: int = 0
    speeds: dict[str, estimates.LinearFit] = dataclasses.field(
        default_factory=dict
    )
    cache: prefix_cache.PrefixCache = dataclasses.field(
        default_factory=prefix_cache.PrefixCache
    )

    def apply_placement(self, place: fm.EnginePlacement, now_s: float) -> None:
        """Takes in the holder's word, which arrives in order.

        The count of orders goes down where the holder has put its books right.
        """
        known = self.place
        is_same_life = known is not None and known.born_ms == place.born_ms
        if is_same_life and place.orders != known.orders:
            self.absent.clear()
        self.place = place
        self.place_s = now_s

    def targets(self, entry: serving.Upstream, now_s: float) -> set[str]:
        """Returns the models and adapters that answer there.

        Args:
          entry: The engine's own last word.
          now_s: Monotonic time.
        """
        own = targets_of(entry.models)
        place = self.place
        is_old = now_s - self.place_s > PLACE_S
        if place is None or place.born_ms != entry.born_ms or is_old:
            return own
        # What was under way by the holder's word and is there by the
        # engine's own has arrived since.
        arriving = {target for target, _ in place.arriving}
        return set(place.targets) | (own & arriving)

    def holds(self, entry: serving.Upstream, target: str, now_s: float) -> bool:
        """Whether a target answers there."""
        if target not in self.targets(entry, now_s):
            return False
        absent_s = self.absent.get(target)
        return absent_s is None or now_s - absent_s > ABSENT_S

    def ready_at_s(self, target: str) -> float | None:
        """Returns when a target will answer, or None if nobody plans it."""
        if self.place is None:
            return None
        for name, eta_s in (*self.place.arriving, *self.place.planned):
            if name == target:
                return self.place_s + eta_s
        return None

    def speed(self, model: str) -> estimates.LinearFit:
        """Returns the line from prompt tokens to the first event, in ms."""
        line = self.speeds.get(model)
        if line is None:
            line = estimates.LinearFit(
                START_FIRST_MS, START_PROMPT_MS, _TYPICAL_TOKENS
            )
            self.speeds[model] = line
        return line


def estimate_prefill_s(call: serving.ModelCall) -> float:
    """Returns a guess at how long a prompt takes to read."""
    return call.prompt_tokens * START_PROMPT_MS / 1000


def targets_of(models: tuple[serving.ResidentModel, ...]) -> set[str]:
    """Returns models and adapters as targets."""
    found = set()
    for held in models:
        found.add(held.name)
        found.update(f"{held.name}/{adapter}" for adapter in held.adapters)
    return found
