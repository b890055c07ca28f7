"""How long a request can wait for a model, and when it should come back.

Why: a caller of a stream leaves when nothing has come for some time. Holding
its request beyond that serves nobody; a refusal with the time at which the
model will answer brings it back when it can be served.
"""

import dataclasses

from sesamecross.core import serving

# Callers leave a stream after a gap of the longest of these: so many seconds,
# objectives, or longest pauses on time. The figures are the platform's.
GAP_S = 2.0
GAP_OBJECTIVES = 4.0
GAP_PAUSES = 8.0
# Off the caller's patience, for the way there and the prompt's reading.
MARGIN_S = 0.3
# A request whose model nobody loads yet waits this share of its patience for
# news of it.
UNKNOWN_SHARE = 0.35
# When nothing is known of a load, it is about this far away.
TYPICAL_LOAD_S = 2.0
# Callers come back after at most a third of what is left of their time.
BACK_SHARE = 1 / 3
LEAST_BACK_S = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Wait:
    """Wait for news until then."""

    until_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ComeBack:
    """Refuse now; the caller should come back after this."""

    after_s: float


def patience_s(route: serving.Route) -> float:
    """Returns how long a caller waits for the first event."""
    if route.kind is not serving.RouteKind.STREAM:
        return route.timeout_s
    return max(
        GAP_S, GAP_OBJECTIVES * route.objective_s, GAP_PAUSES * route.gap_s
    )


def leaves_s(route: serving.Route, arrived_s: float, ends_s: float) -> float:
    """Returns until when a request can be sent and still be served."""
    return min(ends_s, arrived_s + patience_s(route)) - MARGIN_S


def decide(
    route: serving.Route,
    arrived_s: float,
    ends_s: float,
    arrives_s: float | None,
    now_s: float,
) -> Wait | ComeBack:
    """Decides whether a request waits for its model.

    Args:
      route: Its route.
      arrived_s: When it arrived.
      ends_s: When its time is over.
      arrives_s: When the model is expected; None if nobody loads it yet.
      now_s: Monotonic time.
    """
    last_s = leaves_s(route, arrived_s, ends_s)
    if arrives_s is None:
        share_s = (last_s - arrived_s) * UNKNOWN_SHARE
        until_s = arrived_s + share_s
        if now_s < until_s:
            return Wait(until_s)
        return ComeBack(_back_s(TYPICAL_LOAD_S, ends_s, now_s))
    if arrives_s <= last_s and now_s < last_s:
        return Wait(last_s)
    return ComeBack(_back_s(arrives_s - now_s, ends_s, now_s))


def _back_s(wished_s: float, ends_s: float, now_s: float) -> float:
    most_s = (ends_s - now_s) * BACK_SHARE
    return max(LEAST_BACK_S, min(wished_s, most_s))
