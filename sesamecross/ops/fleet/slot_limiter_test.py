"""Tests that instances together send an upstream no more than it has slots."""

import heapq
import itertools
import random

import pytest

from sesamecross.ops.fleet import pacer
from sesamecross.ops.fleet import slot_limiter

SLOTS = 6
DURATION_S = 8.0
# How late instances know the requests of all others at the upstream.
REPORT_DELAY_S = 0.4
# One way, to the instance that admits and to the upstream.
MAX_LATENCY_S = 0.02


class Upstream:
    """An upstream with a few slots and no queue.

    Attributes:
      rejected_s: When it rejected requests.
      served: Number of requests that it ran.
    """

    def __init__(self) -> None:
        self.ends_s: list[float] = []
        self.starts: list[tuple[float, float]] = []
        self.rejected_s: list[float] = []
        self.served = 0

    def arrive(self, now_s: float, takes_s: float) -> float:
        """Returns when the request's answer leaves."""
        self.ends_s = [at_s for at_s in self.ends_s if at_s > now_s]
        if len(self.ends_s) >= SLOTS:
            self.rejected_s.append(now_s)
            return now_s
        self.served += 1
        self.ends_s.append(now_s + takes_s)
        self.starts.append((now_s, now_s + takes_s))
        return now_s + takes_s

    def reported_running(self, now_s: float) -> int:
        at_s = now_s - REPORT_DELAY_S
        return sum(begin <= at_s < end for begin, end in self.starts)

    def most_rejected_in_a_second(self) -> int:
        return max(
            (
                sum(at_s <= other_s < at_s + 1 for other_s in self.rejected_s)
                for at_s in self.rejected_s
            ),
            default=0,
        )


def simulate(
    instances: int, rate: float, seed: int, is_limited: bool, loss: float
) -> Upstream:
    """Plays bursts of requests of all instances to one upstream."""
    rng = random.Random(seed)
    upstream = Upstream()
    limiter = slot_limiter.SlotLimiter()
    numbers = itertools.count()
    events: list[tuple[float, int, str, object]] = []

    def at(at_s: float, kind: str, key: object) -> None:
        heapq.heappush(events, (at_s, next(numbers), kind, key))

    def latency_s() -> float:
        return rng.uniform(0.0005, MAX_LATENCY_S)

    def batch(now_s: float) -> pacer.Batch:
        return pacer.Batch(upstream.reported_running(now_s), SLOTS)

    now_s = 0.0
    while now_s < DURATION_S:
        # Every other second brings five times as many.
        now_s += rng.expovariate(rate * (5 if int(now_s) % 2 else 1))
        key = (f"i{rng.randrange(instances)}", next(numbers))
        at(now_s + latency_s(), "ask" if is_limited else "send", key)
    for step in range(int(DURATION_S / slot_limiter.CHECK_INTERVAL_S)):
        at(step * slot_limiter.CHECK_INTERVAL_S, "check", None)
    while events:
        now_s, _, kind, key = heapq.heappop(events)
        decisions = pacer.Decisions((), ())
        match kind:
            case "ask":
                decisions = limiter.request(
                    key, 0, now_s + 0.2, now_s + 0.5, batch(now_s), now_s
                )
            case "check":
                decisions = limiter.grant(batch(now_s), now_s)
            case "send":
                ends_s = upstream.arrive(now_s, rng.uniform(0.02, 0.6))
                at(ends_s + latency_s(), "end", key)
            case "end" if rng.random() >= loss:
                limiter.release(key)
        for granted in decisions.granted:
            at(now_s + latency_s(), "send", granted)
    return upstream


@pytest.mark.parametrize("instances", [8, 195])
@pytest.mark.parametrize("seed", range(20))
def test_an_upstream_whose_slots_are_limited_rejects_nothing(instances, seed):
    """Guards against rejections that make an upstream fail (LIMIT)."""
    upstream = simulate(instances, 20.0, seed, is_limited=True, loss=0.02)
    assert upstream.rejected_s == []
    assert upstream.served > 30


@pytest.mark.parametrize("instances", [8, 195])
def test_without_a_limit_the_same_load_is_rejected(instances):
    upstream = simulate(instances, 20.0, 1, is_limited=False, loss=0.0)
    assert upstream.most_rejected_in_a_second() > 10


def test_a_request_whose_end_is_lost_does_not_hold_its_slot_for_ever():
    limiter = slot_limiter.SlotLimiter()
    batch = pacer.Batch(0, 1)
    assert limiter.request(("a", 1), 0, 1.0, 1.0, batch, 0.0).granted
    late_s = slot_limiter.ADMISSION_TIMEOUT_S + 0.1
    answer = limiter.request(("b", 2), 0, late_s, late_s + 1, batch, late_s)
    assert answer.granted == (("b", 2),)


@pytest.mark.parametrize(
    ("running", "until_s", "granted", "refused"),
    [
        (0, 5.0, 1, 0),
        # Sent without an admission, before the upstream stated its limit.
        (SLOTS, 5.0, 0, 0),
        (SLOTS, 1.0, 0, 1),
    ],
)
def test_requests_wait_for_a_slot_or_are_refused(
    running, until_s, granted, refused
):
    limiter = slot_limiter.SlotLimiter()
    decisions = limiter.request(
        ("a", 1), 0, until_s, until_s, pacer.Batch(running, SLOTS), 1.0
    )
    assert len(decisions.granted) == granted
    assert len(decisions.refused) == refused
    assert (limiter.next_check_s(1.0) is None) is bool(granted or refused)
