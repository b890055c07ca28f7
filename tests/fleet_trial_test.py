"""A short trial of a fleet; the large ones are run by hand."""

import pytest

from sesamecross.devtools import fleet_trial


@pytest.mark.parametrize("seed", [1])
def test_no_promise_is_broken_when_all_gateways_are_killed(seed):
    """Guards against answers that strict callers reject, mixed or doubled."""
    report = fleet_trial.run(
        fleet_trial.Plan(
            scenario="small",
            gateways=3,
            engines=4,
            rate=20.0,
            seconds=6.0,
            kill_at_s=2.0,
            floor=0.0,
            seed=seed,
        )
    )
    # How many are served in so short a time depends on the machine.
    promises = [
        one
        for one in report.findings.broken
        if not one.startswith(("SHORT", "STARVED"))
    ]
    assert promises == []
    assert [one for one in report.events if "by itself" in one] == []
    # The kill left callers something to check.
    served = report.findings.served
    assert served["order"] > 0
    assert served["draft"] > 0
