"""Chooses the upstream of a plain service for a request.

Upstreams of a service differ in speed, distance and load, and some fail part of
their requests. The one with the least expected time is chosen; recent failures
add the time that a failed request costs the caller.
"""

from collections.abc import Iterable
import random

import msgspec

from sesamecross.ops.fleet import connection_subset
from sesamecross.ops.fleet import directory

# Round trips. One way takes a millisecond or less between zones of a region and
# tens of milliseconds between regions; some requests open a new connection.
CROSS_ZONE_S = 0.002
CROSS_REGION_S = 0.045
# Expected cost of a connection by way of a peer.
RELAY_S = 0.01
# Cost of a failure: the caller's latency objective is missed, and usually the
# whole response is lost.
FAILURE_PENALTY_S = 1.0
# Assumed duration of a request at an upstream that has not completed any.
INITIAL_DURATION_S = 0.05
# By which share the mean of an unused upstream moves towards the usual one at
# each request. A slower one is tried again after some tens of requests, so that
# few are slow on its account.
UNUSED_WEIGHT = 0.05
# Candidates this close to the best are chosen from at random, so that instances
# with the same view do not all choose the same upstream.
TIE_TOLERANCE_S = 0.003


class Location(msgspec.Struct, frozen=True):
    """Zone of this instance, and the region of each zone."""

    zone: str
    regions: dict[str, str]

    def round_trip_s(self, zone: str) -> float:
        """Returns the round-trip time to a zone."""
        return self.between_s(self.zone, zone)

    def between_s(self, zone: str, other_zone: str) -> float:
        """Returns the round-trip time between two zones."""
        if zone == other_zone:
            return 0.0
        if self.regions.get(zone) == self.regions.get(other_zone):
            return CROSS_ZONE_S
        return CROSS_REGION_S


def expected_s(
    known: directory.KnownUpstream, location: Location, now_s: float
) -> float:
    """Returns the expected time to a response, with the cost of failures."""
    duration_s = known.mean_duration_s or INITIAL_DURATION_S
    slots = max(1, known.entry.slots)
    overflow = max(0.0, known.running + 1 - slots)
    return (
        location.round_trip_s(known.entry.zone)
        + duration_s * (1 + overflow / slots)
        + known.failure_share(now_s) * FAILURE_PENALTY_S
        + relay_cost_s(known, now_s)
    )


def relay_cost_s(known: directory.KnownUpstream, now_s: float) -> float:
    """Returns the cost of reaching an upstream by way of a peer, or 0."""
    return RELAY_S if known.reachability.is_path_failing(now_s) else 0.0


def choose(
    candidates: Iterable[directory.KnownUpstream],
    location: Location,
    now_s: float,
    rng: random.Random,
) -> directory.KnownUpstream | None:
    """Returns the candidate with the least expected time, or None."""
    rated = [
        (expected_s(candidate, location, now_s), candidate)
        for candidate in candidates
    ]
    if not rated:
        return None
    best_s = min(cost_s for cost_s, _ in rated)
    close = [
        candidate
        for cost_s, candidate in rated
        if cost_s <= best_s + TIE_TOLERANCE_S
    ]
    return connection_subset.choose(close, rng)


def relax_unused(
    candidates: Iterable[directory.KnownUpstream],
    chosen: directory.KnownUpstream,
    location: Location,
) -> None:
    """Lets the durations of slower candidates become those of the chosen one.

    A mean is only learned by use. Without this, an upstream whose few answers
    were slow, or one that is new and assumed to be, would not be used beside
    fast ones, however fast it is.

    Args:
      candidates: Those that the request could have been sent to.
      chosen: The one it is sent to.
      location: Where this instance is. Durations contain the round trip.
    """
    if not chosen.mean_duration_s:
        return
    service = chosen.entry.service
    for known in candidates:
        if known is chosen or known.entry.service != service:
            continue
        usual_s = chosen.mean_duration_s + location.round_trip_s(
            known.entry.zone
        )
        duration_s = known.mean_duration_s or INITIAL_DURATION_S
        if duration_s > usual_s:
            known.relax_duration(
                duration_s + (usual_s - duration_s) * UNUSED_WEIGHT
            )
