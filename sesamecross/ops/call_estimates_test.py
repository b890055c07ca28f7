"""Tests of latency fits, prefix estimates, the breaker and call rules."""

import random

import pytest

from sesamecross.core import data
from sesamecross.ops import estimates
from sesamecross.ops import prefixes
from sesamecross.ops import retry
from sesamecross.ops import service_routing


@pytest.mark.parametrize(("base", "slope"), [(8.0, 0.3), (40.0, 2.0)])
def test_a_line_is_fitted_to_observations(base, slope):
    rng = random.Random(1)
    fit = estimates.LinearFit(15.0, 0.5, 8.0)
    for _ in range(400):
        x = rng.uniform(1, 30)
        fit.observe(x, base + slope * x + rng.uniform(-0.5, 0.5))
    assert fit.predict(20) == pytest.approx(base + slope * 20, rel=0.1)


def test_a_fit_stays_plausible_when_all_observations_share_one_x():
    fit = estimates.LinearFit(15.0, 0.5, 8.0)
    for _ in range(100):
        fit.observe(5.0, 30.0)
    assert fit.predict(5.0) == pytest.approx(30.0, rel=0.05)
    assert fit.predict(50.0) >= fit.predict(5.0)


def test_the_number_of_calls_follows_from_the_fit():
    latency_model = estimates.UpstreamLatencyModel()
    for _ in range(200):
        for calls in (2, 8, 14):
            observation = estimates.Observation(
                calls, 0, None, 25 + 1.5 * calls, 1000.0
            )
            latency_model.observe(observation)
    assert latency_model.max_calls_for(55.0) == pytest.approx(20, rel=0.05)
    assert latency_model.max_calls_for(20.0) == 0.0


def test_the_prefix_estimate_shrinks_to_the_upstreams_cache():
    # The upstream caches far less than the estimate assumes. Its reports of
    # cached tokens must bring the estimate down to the size of the cache.
    prefix_cache = prefixes.PrefixCacheEstimate()
    prompts = [f"{n:04d}" * 256 for n in range(50)]
    for _ in range(40):
        for prompt in prompts:
            hashes = prefixes.block_hashes("m", prompt)
            expected = prefix_cache.cached_tokens(hashes)
            prefix_cache.record_prompt(hashes)
            prefix_cache.adjust_limit(expected, 0)
    hashes = prefixes.block_hashes("m", prompts[0])
    assert prefix_cache.cached_tokens(hashes) == 0


def test_the_breaker_blocks_for_growing_times_and_recovers():
    breaker = retry.CircuitBreaker()
    open_times_ms = []
    now_ms = 0
    for _ in range(6):
        breaker.failed(now_ms)
        start_ms = now_ms
        while not breaker.allows(now_ms):
            now_ms += 100
        open_times_ms.append(now_ms - start_ms)
    assert open_times_ms == [0, 0, 500, 1000, 2000, 4000]
    breaker.succeeded()
    breaker.failed(now_ms)
    assert breaker.allows(now_ms)


def test_prefixes_are_known_only_where_the_whole_prefix_is_shared():
    prefix_cache = prefixes.PrefixCacheEstimate()
    shared = "s" * 600
    prefix_cache.record_prompt(prefixes.block_hashes("m", shared + "a" * 400))
    other = prefixes.block_hashes("m", shared + "b" * 400)
    assert prefix_cache.cached_tokens(other) == 2 * 256 // 4
    assert (
        prefix_cache.cached_tokens(prefixes.block_hashes("m", "x" * 600)) == 0
    )
    assert prefix_cache.cached_tokens(prefixes.block_hashes("n", shared)) == 0


def test_the_least_recently_used_prefixes_are_evicted():
    prefix_cache = prefixes.PrefixCacheEstimate(limit=4)
    first = prefixes.block_hashes("m", "a" * 512)
    prefix_cache.record_prompt(first)
    prefix_cache.record_prompt(prefixes.block_hashes("m", "b" * 1024))
    assert prefix_cache.cached_tokens(first) == 0


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
