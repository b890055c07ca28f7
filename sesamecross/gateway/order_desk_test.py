"""Tests of the giver of orders: the bounds on loads that hold now."""

import dataclasses

import pytest

from sesamecross.core import serving
from sesamecross.gateway import app
from sesamecross.gateway import order_desk
from sesamecross.platform import program
from sesamecross.platform import settings

INSTANCE = serving.Instance(
    "front-1",
    "z1",
    "r1",
    "127.0.0.1",
    "127.0.0.1:80",
    "127.0.0.1:81",
    (7380, 7381),
    "127.0.0.1:90",
    {"z1": "r1"},
    1.0,
    serving.Bounds(loads_window_s=5.0, loads_overage=1.0),
)
SPEC = serving.EngineSpec(8, 1000, 100.0, 0, 4.0, 1, {})


def desk_of(gateway) -> order_desk.OrderDesk:
    return next(
        one
        for one in gateway.components()
        if isinstance(one, order_desk.OrderDesk)
    )


def begin_all(desk, spec, now_s: float) -> int:
    """Begins loads until none may; returns how many."""
    count = 0
    while desk._budget("s", spec, now_s).allows(now_s):
        desk._budget("s", spec, now_s).began(now_s)
        count += 1
        assert count < 1000
    return count


# Bounds and a rate that change while the lease is held, and whether more
# loads may begin at once then.
CHANGES = [
    pytest.param({"loads_overage": 3.0}, 4.0, True, id="overage raised"),
    pytest.param({"loads_overage": 0.5}, 4.0, False, id="overage lowered"),
    pytest.param({"loads_window_s": 20.0}, 4.0, True, id="window longer"),
    pytest.param({}, 12.0, True, id="rate raised"),
    pytest.param({}, 1.0, False, id="rate lowered"),
]


@pytest.mark.parametrize(("changes", "rate", "is_more"), CHANGES)
def test_new_bounds_on_loads_hold_while_the_lease_is_held(
    changes, rate, is_more
):
    """The giver of orders kept to bounds on loads that were no longer true.

    Operators changed the bounds, or the store's rate in a configuration. The
    log said that they were in force; the holder of the lease went on with
    what had held when it first gave an order, as its budget kept a copy.
    """
    gateway = app.GatewayApp.from_config(
        INSTANCE, program.adapter(), settings.SettingsFile("")
    )
    desk = desk_of(gateway)
    assert begin_all(desk, SPEC, 100.0) > 0
    gateway.state.take_settings(
        dataclasses.replace(
            INSTANCE, bounds=dataclasses.replace(INSTANCE.bounds, **changes)
        )
    )
    spec = dataclasses.replace(SPEC, store_loads_per_s=rate)
    assert (begin_all(desk, spec, 100.1) > 0) is is_more


def test_a_lower_bound_on_loads_holds_for_the_loads_to_come():
    gateway = app.GatewayApp.from_config(
        INSTANCE, program.adapter(), settings.SettingsFile("")
    )
    desk = desk_of(gateway)
    begin_all(desk, SPEC, 100.0)
    spec = dataclasses.replace(SPEC, store_loads_per_s=1.0)
    # The window is over, so only the figures of now count.
    assert begin_all(desk, spec, 110.0) <= 1.0 * 5.0 + 2.0
