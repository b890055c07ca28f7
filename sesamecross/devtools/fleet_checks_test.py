"""Tests of a fleet trial's checks: each sees what it is for, and only that."""

import pytest

from sesamecross.devtools import fleet_checks
from sesamecross.fakes import fleet_callers
from sesamecross.fakes import fleet_scenarios
from sesamecross.fakes import fleet_upstreams

SCENARIO = fleet_scenarios.scenario("small")


def _asked(kind="draft", target="m0", session="s0", status=200, at_s=0.0):
    request_id = f"{kind}{target}{session}{status}{at_s}"
    served = status == 200
    attempt = fleet_callers.Attempt(
        request_id,
        status,
        "" if served else f"status {status}",
        signature=f"i.{request_id}",
    )
    return fleet_callers.Asked(
        kind, target, session, 10.0, "z", at_s, served, [attempt]
    )


def _ran(asked, with_refused=False):
    return [
        fleet_upstreams.Ran(one.attempts[0].request_id, "i")
        for one in asked
        if one.is_served or with_refused
    ]


def _check(asked, ran=None, floor=0.0, outage=None):
    ran = _ran(asked) if ran is None else ran
    return fleet_checks.check(asked, ran, SCENARIO, floor, outage).broken


def _often(status=200, times=10, span_s=10.0, **fields):
    return [
        _asked(status=status, at_s=number * span_s / (times - 1), **fields)
        for number in range(times)
    ]


WELL = _often(times=200)


@pytest.mark.parametrize(
    ("asked", "words"),
    [
        (WELL, ""),
        (WELL + _often(kind="order", target="", status=503), "order is served"),
        (
            WELL
            + [
                one
                for number in range(3)
                for one in _often(target=f"m{number + 1}", status=503)
            ],
            "3 of 4 models",
        ),
        (
            WELL
            + [
                one
                for number in range(3)
                for one in _often(target=f"m0/a{number}", status=503)
            ],
            "3 of 3 adapters",
        ),
        (
            WELL
            + [
                one
                for number in range(4)
                for one in _often(session=f"s{number + 1}", status=503)
            ],
            "4 of 5 sessions",
        ),
        # Asked for too seldom, or in too short a time, to be starved.
        (WELL + [_asked(target=f"m{n}", status=503) for n in (1, 2, 3)], ""),
        (
            WELL
            + [
                one
                for number in range(3)
                for one in _often(target=f"m{number}x", status=503, span_s=5)
            ],
            "",
        ),
    ],
)
def test_who_is_never_served_is_found(asked, words):
    """Guards against a mean that hides callers who are never served."""
    starved = [one for one in _check(asked) if one.startswith("STARVED")]
    assert bool(starved) == bool(words)
    assert all(words in one for one in starved)


@pytest.mark.parametrize(
    ("large_served", "is_broken"), [(0, True), (4, True), (10, False)]
)
def test_large_requests_that_are_passed_over_are_found(large_served, is_broken):
    """Guards against a pacer that serves small prompts only."""
    asked = _often(times=100)
    for number, one in enumerate(asked[:10]):
        one.size = 100.0
        if number >= large_served:
            one.attempts[0].status = 503
    broken = [one for one in _check(asked) if "largest tenth of draft" in one]
    assert bool(broken) == is_broken


@pytest.mark.parametrize(
    ("outage", "names"),
    [
        (None, ["all", "0 s", "5 s", "draft"]),
        ((6.0, 9.0), ["all", "0 s", "draft"]),
        ((4.0, 9.0), ["all", "draft"]),
    ],
)
def test_floor_holds_for_all_windows_out_of_an_outage(outage, names):
    """Guards against a window in which too little is served."""
    asked = _often(times=10, span_s=9.0, status=503)
    broken = _check(asked, floor=0.5, outage=outage)
    found = [one.split()[1] for one in broken if one.startswith("SHORT")]
    assert found == [name.split()[0] for name in names]


@pytest.mark.parametrize(
    ("asked", "runs", "words"),
    [
        (_asked("order", "", ""), 1, ""),
        (_asked("order", "", ""), 2, "TWICE"),
        (_asked("order", "", ""), 0, "MIXED"),
        (_asked("order", "", "", status=503), 1, "REFUSED"),
        (_asked("order", "", "", status=502), 1, ""),
        (_asked("lookup", "", ""), 2, ""),
        (_asked("draft"), 2, "TWICE"),
        (_asked("batch"), 2, ""),
    ],
)
def test_broken_promises_are_found(asked, runs, words):
    """Guards against runs and answers that callers were promised not to see."""
    ran = _ran([asked], with_refused=True) * runs
    broken = [one for one in _check([asked], ran) if "STARVED" not in one]
    assert bool(broken) == bool(words)
    assert all(words in one for one in broken)
