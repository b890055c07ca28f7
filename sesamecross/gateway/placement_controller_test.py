"""Tests of the giver of orders: the bounds on loads that hold now."""

import asyncio
import dataclasses
from unittest import mock

from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
import pytest
import structlog

from sesamecross.core import fleet_messages as fm
from sesamecross.core import serving
from sesamecross.fakes import samples
from sesamecross.gateway import app
from sesamecross.gateway import placement_controller
from sesamecross.platform import program
from sesamecross.platform import settings

INSTANCE = dataclasses.replace(
    samples.INSTANCE,
    bounds=serving.Bounds(loads_window_s=5.0, loads_overage=1.0),
)
SPEC = serving.EngineSpec(8, 1000, 100.0, 0, 4.0, 1, {})


def desk_of(gateway) -> placement_controller.PlacementController:
    return next(
        one
        for one in gateway.components()
        if isinstance(one, placement_controller.PlacementController)
    )


def begin_all(desk, spec, now_s: float) -> int:
    """Begins loads until none may; returns how many."""
    count = 0
    while desk._budget("s", spec, now_s).allows(now_s):
        desk._budget("s", spec, now_s).load_started(now_s)
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
    gateway.state.apply_settings(
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


MODEL = serving.ModelSpec("m", 40.0, 2.0, 1.0, 0.5, 2, 1.0)
SOUND = serving.EngineSpec(8, 1000, 100.0, 4, 2.0, 1, {"m": MODEL})


def held(name: str, service: str, **changes) -> serving.Upstream:
    return dataclasses.replace(
        serving.Upstream(
            name,
            service,
            "10.0.0.9:80",
            "z1",
            8,
            False,
            5,
            (serving.ResidentModel("m", frozenset({"a1"})),),
        ),
        **changes,
    )


def planned(
    specs, upstreams, steps=6
) -> placement_controller.PlacementController:
    """Lets the giver of orders work for a while; it must not fail."""

    async def play():
        gateway = app.GatewayApp.from_config(
            INSTANCE, program.adapter(), settings.SettingsFile("")
        )
        desk = desk_of(gateway)
        me = fm.Member("front-1", 7, "z1", "127.0.0.1:7380", -1, -1)
        gateway.mesh.join(me, b"", ())
        desk._lease = mock.Mock(may_order=True, holds=True, fence=3)
        # Engines are not asked; what they registered is what there is.
        desk._spawn = lambda work: work.close()
        services = {
            name: serving.Service(name, "/", 10, spec)
            for name, spec in specs.items()
        }
        gateway.state.offer_configuration(
            serving.Configuration(1, (), services, serving.CallerLimits())
        )
        now_s = 1000.0
        for one in upstreams:
            gateway.state.directory.update_entry(one, now_s)
        loop = asyncio.get_running_loop()
        for _ in range(steps):
            now_s += 3.0
            for key in (("s", "m", ""), ("s", "n", "u0"), ("s", "m/a2", "u0")):
                desk._wants[key] = now_s
            with mock.patch.object(loop, "time", lambda: now_s):  # noqa: B023
                desk._tick(now_s)
        return desk

    return asyncio.run(play())


# What an engine's own entry lists, a target, and whether it answers there.
LISTED = [
    pytest.param(("a1",), "m", True, id="a model"),
    pytest.param(("a1",), "m/a1", True, id="an adapter"),
    pytest.param(("a1",), "m/a2", False, id="another adapter"),
    pytest.param(None, "m", False, id="an empty engine"),
]


@pytest.mark.parametrize(("adapters", "target", "holds"), LISTED)
def test_an_engine_that_has_not_reported_holds_what_its_entry_lists(
    adapters, target, holds
):
    """A request for a model was refused, though an engine held it.

    The engine had just registered, with the model in its entry. Whoever gives
    orders had not yet got its first report, or could not reach it at all, and
    told everybody that it held nothing. All instances believe that word more
    than the engine's own, and told the caller to come back in some seconds.
    """
    models = ()
    if adapters is not None:
        models = (serving.ResidentModel("m", frozenset(adapters)),)
    entry = held("u0", "s", models=models)
    # In `planned` no engine reports; its clock ends at 1018 s.
    desk = planned({"s": SOUND}, [entry])
    engine = desk._state.directory.get("u0").engine
    assert engine.holds(entry, target, 1018.0) is holds


ODD_SPECS = [
    pytest.param({"store_loads_per_s": 1e308}, id="a rate beyond numbers"),
    pytest.param({"store_loads_per_s": 1e18}, id="a rate beyond memory"),
    pytest.param(
        {"models": {"m": dataclasses.replace(MODEL, store_load_s=1e308)}},
        id="a load that lasts for ever",
    ),
    pytest.param({"store_loads_per_s": 0.0}, id="no loads"),
    pytest.param({"slots": 0, "kv_tokens": 0, "weights_mb": 0.0}, id="no room"),
    pytest.param({"slots": -1, "kv_tokens": -1}, id="negative room"),
    pytest.param({"models": {}}, id="no models"),
]


@pytest.mark.parametrize("odd", ODD_SPECS)
def test_one_services_odd_engines_do_not_stop_the_orders_of_others(odd):
    """The holder of the lease ended, and then the next one, and so on.

    A configuration gave one service a figure that no code was made for. The
    plan for it failed, at each try, and with it the giver of orders, which
    was given up after half a minute, in one instance after the other. All
    services were planned in one go.
    """
    specs = {"s": dataclasses.replace(SOUND, **odd), "t": SOUND}
    with structlog.testing.capture_logs() as lines:
        desk = planned(specs, [held("u0", "s"), held("u1", "t")])
    assert "u1" in desk._targets["t"]
    failures = [line for line in lines if line.get("exc_info")]
    # Once for each version of the configuration, not at each try.
    assert len(failures) <= 1


FIGURE = st.one_of(
    st.sampled_from([0.0, -1.0, 1e-300, 1e18, 1e308, -1e308]),
    st.floats(-100, 100),
)
COUNT = st.one_of(
    st.sampled_from([0, -1, 1, 2**62, -(2**62)]), st.integers(-100, 100)
)


def mostly(sound, odd):
    return st.one_of(st.just(sound), st.just(sound), odd)


MODELS = st.lists(
    st.builds(
        serving.ModelSpec,
        st.sampled_from(["m", "n", "", "m/a1"]),
        mostly(40.0, FIGURE),
        mostly(2.0, FIGURE),
        mostly(1.0, FIGURE),
        mostly(0.5, FIGURE),
        mostly(2, COUNT),
        mostly(1.0, FIGURE),
    ),
    max_size=3,
).map(lambda models: {one.name: one for one in models})
SPECS = st.builds(
    serving.EngineSpec,
    mostly(8, COUNT),
    mostly(1000, COUNT),
    mostly(100.0, FIGURE),
    mostly(4, COUNT),
    mostly(2.0, FIGURE),
    mostly(1, COUNT),
    MODELS,
)


@hypothesis_settings(max_examples=200, deadline=None, derandomize=True)
@given(
    spec=SPECS,
    slots=mostly(8, COUNT),
    remaining_s=st.one_of(st.none(), FIGURE),
)
def test_no_configuration_stops_the_giver_of_orders(spec, slots, remaining_s):
    """Whatever operators declare, the orders of other services go on."""
    upstreams = [
        held("u0", "s", slots=slots),
        held("u1", "s", is_leaving=True, remaining_s=remaining_s),
        held("u2", "s", models=()),
        held("u3", "t"),
    ]
    with structlog.testing.capture_logs():
        desk = planned({"s": spec, "t": SOUND}, upstreams)
    assert "u3" in desk._targets["t"]
