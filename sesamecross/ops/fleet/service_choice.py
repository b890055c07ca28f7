"""Chooses the upstream of a plain service for a request.

Upstreams of a service differ in speed, distance and load, and some fail part of
their requests. The one with the least expected time is chosen; recent failures
add the time that a failed request costs the caller.
"""

from collections.abc import Iterable
import dataclasses
import random

from sesamecross.ops.fleet import directory

# Round trips. One way takes a millisecond or less between zones of a region and
# tens of milliseconds between regions; some requests open a new connection.
ZONE_S = 0.002
REGION_S = 0.045
# Cost of a failure: the caller's latency objective is missed, and usually the
# whole response is lost.
FAILURE_S = 1.0
# Assumed duration of a request at an upstream that has not completed any.
START_WORK_S = 0.05
# Candidates this close to the best are chosen from at random, so that instances
# with the same view do not all choose the same upstream.
NEAR_S = 0.003


@dataclasses.dataclass(frozen=True, slots=True)
class Location:
    """Zone of this instance, and the region of each zone."""

    zone: str
    regions: dict[str, str]

    def round_trip_s(self, zone: str) -> float:
        """Returns the round-trip time to a zone."""
        if zone == self.zone:
            return 0.0
        if self.regions.get(zone) == self.regions.get(self.zone):
            return ZONE_S
        return REGION_S


def expected_s(
    known: directory.KnownUpstream, location: Location, now_s: float
) -> float:
    """Returns the expected time to a response, with the cost of failures."""
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
