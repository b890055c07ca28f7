"""Tests of the small learning and limiting machines."""

import random

import pytest

from sesamecross.core import data
from sesamecross.ops import estimates
from sesamecross.ops import prefixes
from sesamecross.ops import retry
from sesamecross.ops import service_routing


@pytest.mark.parametrize(("base", "slope"), [(8.0, 0.3), (40.0, 2.0)])
def test_a_line_is_learnt_from_observations(base, slope):
    rng = random.Random(1)
    line = estimates.LinearFit(15.0, 0.5, 8.0)
    for _ in range(400):
        x = rng.uniform(1, 30)
        line.observe(x, base + slope * x + rng.uniform(-0.5, 0.5))
    assert line.predict(20) == pytest.approx(base + slope * 20, rel=0.1)


def test_a_line_stays_sane_when_all_observations_have_one_x():
    line = estimates.LinearFit(15.0, 0.5, 8.0)
    for _ in range(100):
        line.observe(5.0, 30.0)
    assert line.predict(5.0) == pytest.approx(30.0, rel=0.05)
    assert line.predict(50.0) >= line.predict(5.0)


def test_the_most_calls_follow_from_the_line():
    speed = estimates.UpstreamSpeed()
    for _ in range(200):
        for calls in (2, 8, 14):
            seen = estimates.Observation(
                calls, 0, None, 25 + 1.5 * calls, 1000.0
            )
            speed.observe(seen)
    assert speed.most_calls(55.0) == pytest.approx(20, rel=0.05)
    assert speed.most_calls(20.0) == 0.0


def test_a_history_learns_how_soon_the_upstream_forgets():
    # An upstream keeps far less than the history would. Its own word on
    # cached tokens makes the history as short as the cache.
    history = prefixes.PrefixHistory()
    prompts = [f"{n:04d}" * 256 for n in range(50)]
    for _ in range(40):
        for prompt in prompts:
            names = prefixes.block_hashes("m", prompt)
            expected = history.cached_tokens(names)
            history.routed(names)
            history.observed(expected, 0)
    names = prefixes.block_hashes("m", prompts[0])
    assert history.cached_tokens(names) == 0


def test_the_breaker_bans_for_growing_times_and_recovers():
    breaker = retry.Breaker()
    bans = []
    now_ms = 0
    for _ in range(6):
        breaker.failed(now_ms)
        start_ms = now_ms
        while not breaker.allows(now_ms):
            now_ms += 100
        bans.append(now_ms - start_ms)
    assert bans == [0, 0, 500, 1000, 2000, 4000]
    breaker.succeeded()
    breaker.failed(now_ms)
    assert breaker.allows(now_ms)


def test_prefixes_are_known_only_where_the_whole_prefix_is_shared():
    history = prefixes.PrefixHistory()
    shared = "s" * 600
    history.routed(prefixes.block_hashes("m", shared + "a" * 400))
    other = prefixes.block_hashes("m", shared + "b" * 400)
    assert history.cached_tokens(other) == 2 * 256 // 4
    assert history.cached_tokens(prefixes.block_hashes("m", "x" * 600)) == 0
    assert history.cached_tokens(prefixes.block_hashes("n", shared)) == 0


def test_the_oldest_prefixes_are_forgotten():
    history = prefixes.PrefixHistory(limit=4)
    first = prefixes.block_hashes("m", "a" * 512)
    history.routed(first)
    history.routed(prefixes.block_hashes("m", "b" * 1024))
    assert history.cached_tokens(first) == 0


SERVICE = data.Service(
    "orders",
    ("s1", "s2"),
    (
        data.CallRule(("POST",), "/orders", False),
        data.CallRule(("POST", "GET"), "/stock", True),
    ),
)


@pytest.mark.parametrize(
    ("method", "path", "idempotent"),
    [
        ("POST", "/orders", False),
        ("POST", "/orders/7", False),
        ("POST", "/stock", True),
        ("POST", "/else", False),
        ("GET", "/else", True),
        ("PATCH", "/else", False),
        ("PUT", "/else", True),
    ],
)
def test_which_calls_may_be_repeated(method, path, idempotent):
    found = service_routing.is_idempotent(SERVICE, method, path)
    assert found is idempotent
