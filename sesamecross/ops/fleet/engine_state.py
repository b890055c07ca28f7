"""Estimates what one engine holds, its load and its speed.

An engine's own entry is up to a second old, the lease holder's information is
newer, and a response that the engine does not hold a model is newer still. Its
load is what this instance sent plus what the others report. Its speed is
learned from requests, as none is declared.
"""

import msgspec

from sesamecross.core import fleet_messages as fm
from sesamecross.core import serving
from sesamecross.ops import estimates
from sesamecross.ops.fleet import prefix_cache
from sesamecross.ops.fleet import upstream_speed

# Initial estimates of the time to a first event without prefill, and of the
# prefill time per prompt token, used until requests have been measured.
INITIAL_FIRST_EVENT_MS = 60.0
INITIAL_PREFILL_MS = 0.03
_TYPICAL_TOKENS = 800.0
# A response that a target is absent holds this long without newer information.
ABSENT_TTL_S = 1.0
# The lease holder's information is renewed every 1.5 s. When it is older than
# this, the engine's own entry is used.
PLACEMENT_TTL_S = 5.0


class EngineLine(estimates.LinearFit):
    """The line of one model at one engine."""

    __slots__ = ("_record",)

    def __init__(self, record: upstream_speed.SpeedRecord):
        super().__init__(
            INITIAL_FIRST_EVENT_MS, INITIAL_PREFILL_MS, _TYPICAL_TOKENS
        )
        self._record = record

    def observe(self, x: float, y: float) -> None:
        """Adds an observation, also to what is reported of the engine."""
        super().observe(x, y)
        self._record.record(y / _reference_ms(x))


class EngineState(msgspec.Struct):
    """State of one incarnation of an engine.

    Attributes:
      placement: What the engine holds by the lease holder's latest message, or
        None.
      placement_received_s: When that message arrived.
      absent: When the engine last responded that it does not hold a target.
      own_prompt_tokens, others_prompt_tokens: Prompt tokens of requests that
        were sent and have no event yet.
      speeds: By model, the line from prompt tokens to the first event, in ms.
      cache: Prompt prefixes that the engine probably caches.
      speed_record: Times to first events, compared with the initial line.
    """

    placement: fm.EnginePlacement | None = None
    placement_received_s: float = 0.0
    absent: dict[str, float] = msgspec.field(default_factory=dict)
    own_prompt_tokens: int = 0
    others_prompt_tokens: int = 0
    speeds: dict[str, estimates.LinearFit] = msgspec.field(default_factory=dict)
    cache: prefix_cache.PrefixCache = msgspec.field(
        default_factory=prefix_cache.PrefixCache
    )
    speed_record: upstream_speed.SpeedRecord = msgspec.field(
        default_factory=upstream_speed.SpeedRecord
    )
    # The latest result of `targets`, and what it was derived from.
    _targets: frozenset[str] = frozenset()
    _targets_source: tuple[
        fm.EnginePlacement | None, serving.Upstream | None
    ] = (None, None)

    def apply_placement(
        self, placement: fm.EnginePlacement, now_s: float
    ) -> None:
        """Applies the lease holder's information, which arrives in order.

        The count of orders decreases when the holder has corrected its
        inventory.
        """
        known = self.placement
        is_same_incarnation = (
            known is not None and known.born_ms == placement.born_ms
        )
        if is_same_incarnation and placement.orders != known.orders:
            self.absent.clear()
        self.placement = placement
        self.placement_received_s = now_s

    def targets(self, entry: serving.Upstream, now_s: float) -> frozenset[str]:
        """Returns the models and adapters that can serve there.

        Args:
          entry: The engine's latest entry.
          now_s: Monotonic time.
        """
        placement = self.placement
        is_old = now_s - self.placement_received_s > PLACEMENT_TTL_S
        if is_old or placement is None or placement.born_ms != entry.born_ms:
            placement = None
        # Each request asks at each engine, and entries and placements are
        # replaced far less often.
        known_placement, known_entry = self._targets_source
        if placement is not known_placement or entry is not known_entry:
            self._targets_source = (placement, entry)
            self._targets = _current_targets(entry, placement)
        return self._targets

    def holds(self, entry: serving.Upstream, target: str, now_s: float) -> bool:
        """Whether a target can serve there."""
        if target not in self.targets(entry, now_s):
            return False
        absent_s = self.absent.get(target)
        return absent_s is None or now_s - absent_s > ABSENT_TTL_S

    def busy_until_s(
        self, entry: serving.Upstream, now_s: float
    ) -> float | None:
        """Returns when the model that the engine loads is expected, or None.

        It takes no other order until then, nor afterwards while the load is
        overdue.
        """
        if (
            self.placement is None
            or now_s - self.placement_received_s > PLACEMENT_TTL_S
        ):
            return None
        held = self.targets(entry, now_s)
        times = [
            eta_s
            for name, eta_s in self.placement.arriving
            if "/" not in name and name not in held
        ]
        return self.placement_received_s + max(times) if times else None

    def adapters(self, entry: serving.Upstream, now_s: float) -> set[str]:
        """Returns the adapters that have or are to get a place there."""
        found = set(self.targets(entry, now_s))
        if self.placement is not None:
            for name, _ in (*self.placement.arriving, *self.placement.planned):
                found.add(name)
        return {target for target in found if "/" in target}

    def ready_at_s(self, target: str) -> float | None:
        """Returns when a target will be loaded, or None if it is unplanned."""
        if self.placement is None:
            return None
        for name, eta_s in (*self.placement.arriving, *self.placement.planned):
            if name == target:
                return self.placement_received_s + eta_s
        return None

    def speed(self, model: str) -> estimates.LinearFit:
        """Returns the line from prompt tokens to the first event, in ms."""
        line = self.speeds.get(model)
        if line is None:
            line = EngineLine(self.speed_record)
            self.speeds[model] = line
        return line


def _reference_ms(tokens: float) -> float:
    return INITIAL_FIRST_EVENT_MS + INITIAL_PREFILL_MS * tokens


def estimate_prefill_s(call: serving.ModelCall) -> float:
    """Returns an initial estimate of a prompt's prefill time."""
    return call.prompt_tokens * INITIAL_PREFILL_MS / 1000


def _current_targets(
    entry: serving.Upstream, placement: fm.EnginePlacement | None
) -> frozenset[str]:
    own = targets_of(entry.models)
    if placement is None:
        return frozenset(own)
    # A target that the holder lists as loading and the engine lists as held
    # has been loaded since.
    loading = {target for target, _ in placement.arriving}
    return frozenset(placement.targets) | (own & loading)


def targets_of(models: tuple[serving.ResidentModel, ...]) -> set[str]:
    """Returns the held models and adapters as targets."""
    found = set()
    for held in models:
        found.add(held.name)
        found.update(f"{held.name}/{adapter}" for adapter in held.adapters)
    return found
