"""A short fault soak; the long one is run by hand (devtools/soak.py)."""

import pytest

from sesamecross.devtools import soak

DURATION_S = 10.0


@pytest.mark.parametrize(
    ("seed", "gateways"), [(1, 3), (2, 3), (3, 5)], ids=str
)
def test_no_promise_is_broken_under_overlapping_faults(seed, gateways):
    """Guards against answers that are mixed, doubled, lost or cut short."""
    result = soak.run_seed(
        soak.Plan(
            seed, gateways=gateways, duration_s=DURATION_S, kills_all=False
        )
    )
    assert result.broken == []
    # The faults left callers something to check.
    assert result.outcomes.get("order 200", 0) > 20
    assert result.outcomes.get("stream complete", 0) > 5


def test_each_stream_of_the_only_version_ends_whole():
    """Guards against streams that no instance can place after a common kill."""
    result = soak.run_seed(soak.Plan(4, duration_s=DURATION_S, versions=1))
    assert result.broken == []
    assert result.faults.get("kill_all_gateways", 0) > 0
    assert result.outcomes.get("stream complete", 0) > 5
