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
# A request for a model that nobody plans to load waits this long for news of
# it: the way to the one who gives orders and back, between regions, and the
# engine's answer to the order.
NEWS_S = 0.2
# An expected time that passed longer ago than this was wrong: the order was
# lost, or the one who gives orders is gone. Callers that go by it come back
# seconds too soon.
SLIP_S = 0.5
# After a pause of this length among the requests for a model, the next one
# waits for news again.
MISSED_AGAIN_S = 1.0
# A request whose adapter is missing waits this share of its patience for it.
ADAPTER_SHARE = 0.35
# When a request that an adapter uses has probably ended.
ADAPTER_BACK_S = 2.0
# A model that has no place is about this far away: the requests of one that
# makes way take 2 to 4 s to end, and the load 0.5 to 4 s.
NO_PLACE_S = 4.0
# Callers come back after at most a third of what is left of their time.
BACK_SHARE = 1 / 3
LEAST_BACK_S = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Wait:
    """Wait for news until then."""

    until_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class RetryAfter:
    """Refuse now; the caller should come back after this."""

    after_s: float


def patience_s(route: serving.Route) -> float:
    """Returns how long a caller waits for the first event."""
    if route.kind is not serving.RouteKind.STREAM:
        return route.timeout_s
    return max(
        GAP_S, GAP_OBJECTIVES * route.objective_s, GAP_PAUSES * route.gap_s
    )


def send_deadline_s(
    route: serving.Route, arrived_s: float, ends_s: float
) -> float:
    """Returns until when a request can be sent and still be served."""
    return min(ends_s, arrived_s + patience_s(route)) - MARGIN_S


@dataclasses.dataclass(frozen=True, slots=True)
class RequestTimes:
    """When a request arrived, and until when it can wait.

    Attributes:
      leaves_s: Until when it can be sent and still be served.
      ends_s: When its time is over.
    """

    arrived_s: float
    send_deadline_s: float
    ends_s: float


class MissedModels:
    """Since when requests of one instance have found a model nowhere."""

    __slots__ = ("_seen",)

    def __init__(self) -> None:
        # By model: the first and the last request that missed it.
        self._seen: dict[str, tuple[float, float]] = {}

    def since(self, model: str, now_s: float) -> float:
        """Notes that a model is missed; returns since when it has been."""
        first_s, last_s = self._seen.get(model, (now_s, now_s))
        if now_s - last_s > MISSED_AGAIN_S:
            # What was told of it then holds no longer.
            first_s = now_s
        self._seen[model] = (first_s, now_s)
        return first_s


def decide_model(
    window: RequestTimes,
    arrives_s: float | None,
    missed_s: float,
    now_s: float,
) -> Wait | RetryAfter:
    """Decides whether a request waits for its model.

    The pattern: more models are asked for than fit, and a request for one that
    has no place was held for 0.6 s and refused then. A third of all refusals
    were of this kind; the caller loses the time and learns nothing. Now the
    first request that misses a model waits for news of it, and those behind it
    are refused at once until there is a plan.

    Args:
      window: The request's times.
      arrives_s: When the model is expected; None if nobody plans to load it.
      missed_s: Since when requests at this instance have missed it.
      now_s: Monotonic time.
    """
    if arrives_s is None or arrives_s < now_s - SLIP_S:
        until_s = min(window.send_deadline_s, missed_s + NEWS_S)
        if now_s < until_s:
            return Wait(until_s)
        return RetryAfter(retry_after_s(NO_PLACE_S, window.ends_s, now_s))
    if arrives_s <= window.send_deadline_s and now_s < window.send_deadline_s:
        return Wait(min(window.send_deadline_s, max(arrives_s, now_s) + SLIP_S))
    wished_s = max(arrives_s - now_s, SLIP_S)
    return RetryAfter(retry_after_s(wished_s, window.ends_s, now_s))


def decide_adapter(window: RequestTimes, now_s: float) -> Wait | RetryAfter:
    """Decides whether a request waits for an adapter of a model that is there.

    Adapters take some milliseconds; they wait only where all places for
    adapters are in use.
    """
    waits_s = (window.send_deadline_s - window.arrived_s) * ADAPTER_SHARE
    until_s = window.arrived_s + waits_s
    if now_s < until_s:
        return Wait(until_s)
    return RetryAfter(retry_after_s(ADAPTER_BACK_S, window.ends_s, now_s))


def retry_after_s(wished_s: float, ends_s: float, now_s: float) -> float:
    """Returns after how long to come back, as far as callers wait at all."""
    most_s = (ends_s - now_s) * BACK_SHARE
    return max(LEAST_BACK_S, min(wished_s, most_s))
