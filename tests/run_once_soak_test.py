"""A short soak of requests that may run once; the long one is run by hand."""

import pytest

from sesamecross.devtools import run_once_soak
from sesamecross.devtools import soak

DURATION_S = 10.0


@pytest.mark.parametrize("seed", [1, 2])
def test_no_request_runs_twice_whatever_upstreams_answer(seed):
    """Guards against a request that runs twice, or is refused and runs."""
    result = run_once_soak.run_seed(
        soak.Plan(seed, callers=24, duration_s=DURATION_S, kills_all=False)
    )
    assert result.broken == []
    # Requests were sent again, and some were answered.
    assert result.outcomes.get("order sent again", 0) > 20
    assert result.outcomes.get("order 200", 0) > 20
