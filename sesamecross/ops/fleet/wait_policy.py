"""Decides whether a request waits for its model or is told when to retry.

The caller of a stream gives up when it receives nothing for some time. Holding
its request longer than that is useless; a refusal with the time at which the
model is expected lets the caller retry when it can be served.
"""

import enum

import msgspec

from sesamecross.core import serving
from sesamecross.ops.fleet import stream_origins

# Callers give up on a stream after the longest of these: a time in seconds, a
# multiple of the latency objective, and a multiple of the maximum gap between
# events. The platform defines these values.
MIN_FIRST_EVENT_TIMEOUT_S = 2.0
FIRST_EVENT_TIMEOUT_OBJECTIVES = 4.0
FIRST_EVENT_TIMEOUT_GAPS = 8.0
# Deducted from the caller's timeout for the round trip and the prefill.
SEND_MARGIN_S = 0.3
# A request for a model without a planned load waits this long for one: the
# round trip to the lease holder, between regions, and the engine's answer to
# the order.
PLAN_WAIT_S = 0.2
# An expected time that passed longer ago than this was wrong: the order was
# lost, or the lease holder is gone. Callers that rely on it retry seconds too
# early.
OVERDUE_S = 0.5
# After this long without requests for a missing model, the next request waits
# for a planned load again.
MISS_RESET_S = 1.0
# A request whose adapter is missing waits for it for this share of the time
# from its arrival to its send deadline.
ADAPTER_WAIT_SHARE = 0.35
# Time after which a request that uses an adapter has probably ended.
ADAPTER_RETRY_AFTER_S = 2.0
# Expected time until a model without a planned load is available: the requests
# of a model that is evicted take 2 to 4 s to end, and the load 0.5 to 4 s.
UNPLANNED_RETRY_AFTER_S = 4.0
# Callers retry after at most this share of their remaining time, whatever they
# are told.
MAX_RETRY_AFTER_SHARE = 1 / 3
MIN_RETRY_AFTER_S = 0.1


class Limit(enum.Enum):
    """What ended the search of a refused request; the values are logged.

    Attributes:
      NO_PLAN: No load of the model is planned.
      PLANNED_LATE: The model is planned and comes too late.
      NO_ADAPTER_PLACE: All places for adapters are taken.
      ADAPTER_NOT_LOADED: There is a place, and no load in time.
      ENGINE_BUSY: The engine loads a model, and an adapter only after that.
      NO_TURN: The engines that hold the model have too much to read.
      NO_VERSION: No engine of the stream's version can be sent requests.
      BACKOFF: The engines that hold the model want no requests for now.
      WITHHELD: Prompts with one of the request's parts crash engines.
    """

    NO_PLAN = "no plan for the model"
    PLANNED_LATE = "model planned too late"
    NO_ADAPTER_PLACE = "no place for the adapter"
    ADAPTER_NOT_LOADED = "adapter not loaded"
    ENGINE_BUSY = "engine loads a model"
    NO_TURN = "no turn"
    NO_VERSION = "no engine of the version"
    BACKOFF = "engines want no requests"
    WITHHELD = "prompts with this part crash engines"


class Wait(msgspec.Struct, frozen=True):
    """Wait until then at most; decide again if the placement changes."""

    until_s: float


class RetryAfter(msgspec.Struct, frozen=True):
    """Refuse now; the caller should retry after this."""

    after_s: float


def first_event_timeout_s(route: serving.Route) -> float:
    """Returns how long a caller waits for the first event."""
    if route.kind is not serving.RouteKind.STREAM:
        return route.timeout_s
    return max(
        MIN_FIRST_EVENT_TIMEOUT_S,
        FIRST_EVENT_TIMEOUT_OBJECTIVES * route.objective_s,
        FIRST_EVENT_TIMEOUT_GAPS * route.gap_s,
    )


def patience_s(route: serving.Route) -> float:
    """Returns how long a caller waits until its request is sent, at most."""
    return send_deadline_s(route, 0.0, route.timeout_s)


def send_deadline_s(
    route: serving.Route, arrived_s: float, ends_s: float
) -> float:
    """Returns when a request can be sent at the latest to still be served."""
    return min(ends_s, arrived_s + first_event_timeout_s(route)) - SEND_MARGIN_S


class RequestTimes(msgspec.Struct, frozen=True):
    """When a request arrived, and until when it can wait.

    Attributes:
      arrived_s: When it arrived.
      send_deadline_s: When it can be sent at the latest to still be served.
      ends_s: Its deadline.
    """

    arrived_s: float
    send_deadline_s: float
    ends_s: float


class MissedModels:
    """Since when requests of one instance have found no engine for a model."""

    __slots__ = ("_seen", "_pruned_s")

    def __init__(self) -> None:
        self._pruned_s = 0.0
        # By model and origin: when the first and the last request missed it.
        self._seen: dict[
            tuple[str, stream_origins.StreamOrigin | None], tuple[float, float]
        ] = {}

    def since(
        self,
        model: str,
        now_s: float,
        origin: stream_origins.StreamOrigin | None = None,
    ) -> float:
        """Records a request for a missing model; returns since when it is.

        Args:
          model: The model.
          now_s: Monotonic time.
          origin: Where the request's stream began, if it has begun.
        """
        self._prune(now_s)
        key = (model, origin)
        first_s, last_s = self._seen.get(key, (now_s, now_s))
        if now_s - last_s > MISS_RESET_S:
            # Information on it from that time is outdated.
            first_s = now_s
        self._seen[key] = (first_s, now_s)
        return first_s

    def _prune(self, now_s: float) -> None:
        """Forgets outdated misses: callers may name any model."""
        if now_s - self._pruned_s < MISS_RESET_S:
            return
        self._pruned_s = now_s
        self._seen = {
            key: (first_s, last_s)
            for key, (first_s, last_s) in self._seen.items()
            if now_s - last_s <= MISS_RESET_S
        }


def decide_model(
    times: RequestTimes,
    ready_at_s: float | None,
    missed_s: float,
    now_s: float,
    unplanned_s: float = UNPLANNED_RETRY_AFTER_S,
) -> Wait | RetryAfter:
    """Decides whether a request waits for its model, or an adapter's place.

    When more models are requested than fit, holding each request for a model
    without a replica for 0.6 s before a refusal made up a third of all
    refusals: the caller loses the time and learns nothing. So only the first
    request that misses a model waits for a planned load, and later ones are
    refused at once until there is one.

    Args:
      times: The request's times.
      ready_at_s: When the model is expected; None if no load is planned.
      missed_s: Since when requests at this instance have missed it.
      now_s: Monotonic time.
      unplanned_s: When to retry if no load is planned.
    """
    if ready_at_s is None or ready_at_s < now_s - OVERDUE_S:
        until_s = min(times.send_deadline_s, missed_s + PLAN_WAIT_S)
        if now_s < until_s:
            return Wait(until_s)
        return RetryAfter(retry_after_s(unplanned_s, times.ends_s, now_s))
    if ready_at_s <= times.send_deadline_s and now_s < times.send_deadline_s:
        return Wait(
            min(times.send_deadline_s, max(ready_at_s, now_s) + OVERDUE_S)
        )
    desired_s = max(ready_at_s - now_s, OVERDUE_S)
    return RetryAfter(retry_after_s(desired_s, times.ends_s, now_s))


def decide_patient(
    times: RequestTimes,
    ready_at_s: float | None,
    fastest_load_s: float,
    now_s: float,
) -> Wait | RetryAfter:
    """Decides whether a patient request is held until its model is loaded.

    It is held until the last moment at which a load can still be in time, with
    or without a plan: the lease holder loads models for groups of such
    requests. Retry-After is not cut to the time that the caller has left, as an
    earlier retry would be refused too.

    Args:
      times: The request's times.
      ready_at_s: When the model is expected; None if no load is planned.
      fastest_load_s: The shortest time in which an engine can load it.
      now_s: Monotonic time.
    """
    if ready_at_s is not None and ready_at_s >= now_s - OVERDUE_S:
        until_s = times.send_deadline_s
        after_s = max(ready_at_s - now_s, OVERDUE_S)
        if ready_at_s > until_s:
            return RetryAfter(after_s)
    else:
        until_s = times.send_deadline_s - fastest_load_s
        after_s = fastest_load_s + PLAN_WAIT_S
    if now_s < until_s:
        return Wait(until_s)
    return RetryAfter(max(MIN_RETRY_AFTER_S, after_s))


def decide_adapter(times: RequestTimes, now_s: float) -> Wait | RetryAfter:
    """Decides whether a request waits for an adapter that has a free place.

    Loading an adapter takes some milliseconds; it is delayed only if its place
    has been taken meanwhile.
    """
    waits_s = (times.send_deadline_s - times.arrived_s) * ADAPTER_WAIT_SHARE
    until_s = times.arrived_s + waits_s
    if now_s < until_s:
        return Wait(until_s)
    return RetryAfter(retry_after_s(ADAPTER_RETRY_AFTER_S, times.ends_s, now_s))


def decide_adapter_place(
    times: RequestTimes,
    ready_at_s: float | None,
    missed_s: float,
    now_s: float,
) -> Wait | RetryAfter:
    """Decides whether a request waits for an adapter without a free place.

    The lease holder publishes when a place is expected. A caller that can't be
    served by then learns that at once, instead of after a wait for nothing.

    Args:
      times: The request's times.
      ready_at_s: When the adapter is expected; None if that is not known.
      missed_s: Since when requests at this instance have missed it.
      now_s: Monotonic time.
    """
    return decide_model(
        times, ready_at_s, missed_s, now_s, ADAPTER_RETRY_AFTER_S
    )


def retry_after_s(desired_s: float, ends_s: float, now_s: float) -> float:
    """Returns when to retry, limited by the time that the caller has left."""
    max_s = (ends_s - now_s) * MAX_RETRY_AFTER_SHARE
    return max(MIN_RETRY_AFTER_S, min(desired_s, max_s))
