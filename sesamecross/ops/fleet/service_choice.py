"""Chooses the upstream of a plain service for a request.

Why: instances of a service differ in speed, distance and load, and some fail
a part of what they get. The one with the least expected time is taken; one
that fails lately costs what a failed request costs the caller.
"""

from collections.abc import Iterable
import dataclasses
import random

from sesamecross.ops.fleet import directory

# One way between zones of a region is a millisecond or less; between regions
# tens of them. Both ways, with a new connection now and then.
ZONE_S = 0.002
REGION_S = 0.045
# What a failure costs: the caller's objective is missed, and mostly the
# whole answer.
FAILURE_S = 1.0
# Before anything is learned of an upstream's speed.
START_WORK_S = 0.05
# Choices within this of the best are taken by lot, so that instances that
# see the same do not all choose the same.
NEAR_S = 0.003


@dataclasses.dataclass(frozen=True, slots=True)
class Location:
    """Where this instance stands."""

    zone: str
    regions: dict[str, str]

    def round_trip_s(self, zone: str) -> float:
        """Returns the time there and back."""
        if zone == self.zone:
            return 0.0
        if self.regions.get(zone) == self.regions.get(self.zone):
            return ZONE_S
        return REGION_S


def expected_s(
    known: directory.KnownUpstream, location: Location, now_s: float
) -> float:
    """Returns the time that an answer is expected to take."""
    work_s = known.work_s or START_WORK_S
    slots = max(1, known.entry.slots)
    waiting = max(0.0, known.running + 1 - slots)
    return (
        location.round_trip_s(known.entry.zone)
        + work_s * (1 + waiting / slots)
        + known.failing(now_s) * FAILURE_S
    )


def choose(
    candidates: Iterable[directory.KnownUpstream],
    location: Location,
    now_s: float,
    rng: random.Random,
) -> directory.KnownUpstream | None:
    """Returns the candidate with the least expected time, or None."""
    rated = [(expected_s(one, location, now_s), one) for one in candidates]
    if not rated:
        return None
    best_s = min(rate for rate, _ in rated)
    near = [one for rate, one in rated if rate <= best_s + NEAR_S]
    return rng.choice(near)
