"""Tests of the placement controller: load bounds and odd declarations."""

import asyncio
from unittest import mock

from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
import msgspec
import pytest
import structlog

from sesamecross.core import fleet_messages as fm
from sesamecross.core import serving
from sesamecross.fakes import samples
from sesamecross.gateway import app
from sesamecross.gateway import placement_controller
from sesamecross.platform import program
from sesamecross.platform import settings

INSTANCE = msgspec.structs.replace(
    samples.INSTANCE,
    bounds=serving.Bounds(loads_window_s=5.0, loads_overage=1.0),
)
SPEC = serving.EngineSpec(8, 1000, 100.0, 0, 4.0, 1, {})


def controller_of(gateway) -> placement_controller.PlacementController:
    return next(
        component
        for component in gateway.components()
        if isinstance(component, placement_controller.PlacementController)
    )


def begin_loads(controller, spec, now_s: float) -> int:
    """Begins loads while the budget allows; returns how many."""
    count = 0
    while controller._budget("s", spec, now_s).allows(now_s):
        controller._budget("s", spec, now_s).load_started(now_s)
        count += 1
        assert count < 1000
    return count


# Bounds and a rate that change while the lease is held, and whether more loads
# may begin at once then.
CHANGES = [
    pytest.param({"loads_overage": 3.0}, 4.0, True, id="overage raised"),
    pytest.param({"loads_overage": 0.5}, 4.0, False, id="overage lowered"),
    pytest.param({"loads_window_s": 20.0}, 4.0, True, id="window longer"),
    pytest.param({}, 12.0, True, id="rate raised"),
    pytest.param({}, 1.0, False, id="rate lowered"),
]


@pytest.mark.parametrize(("changes", "rate", "is_more"), CHANGES)
def test_changed_load_bounds_apply_while_the_lease_is_held(
    changes, rate, is_more
):
    """Guards against bounds on loads that change without effect.

    Operators changed the bounds, or the store's rate in a configuration. The
    log said that they were in force, but the lease's holder went on with the
    values from its first order, as its budget kept a copy.
    """
    gateway = app.GatewayApp.from_config(
        INSTANCE, program.adapter(), settings.SettingsFile("")
    )
    controller = controller_of(gateway)
    assert begin_loads(controller, SPEC, 100.0) > 0
    gateway.state.apply_settings(
        msgspec.structs.replace(
            INSTANCE, bounds=msgspec.structs.replace(INSTANCE.bounds, **changes)
        )
    )
    spec = msgspec.structs.replace(SPEC, store_loads_per_s=rate)
    assert (begin_loads(controller, spec, 100.1) > 0) is is_more


def test_lowered_load_rate_applies_to_later_loads():
    gateway = app.GatewayApp.from_config(
        INSTANCE, program.adapter(), settings.SettingsFile("")
    )
    controller = controller_of(gateway)
    begin_loads(controller, SPEC, 100.0)
    spec = msgspec.structs.replace(SPEC, store_loads_per_s=1.0)
    # The window has passed, so only the current limits count.
    assert begin_loads(controller, spec, 110.0) <= 1.0 * 5.0 + 2.0


MODEL = serving.ModelSpec("m", 40.0, 2.0, 1.0, 0.5, 2, 1.0)
VALID_SPEC = serving.EngineSpec(8, 1000, 100.0, 4, 2.0, 1, {"m": MODEL})


def engine_entry(name: str, service: str, **changes) -> serving.Upstream:
    return msgspec.structs.replace(
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


def run_controller(
    specs, upstreams, steps=6
) -> placement_controller.PlacementController:
    """Runs the controller for some ticks; it must not fail."""

    async def scenario():
        gateway = app.GatewayApp.from_config(
            INSTANCE, program.adapter(), settings.SettingsFile("")
        )
        controller = controller_of(gateway)
        me = fm.Member("front-1", 7, "z1", "127.0.0.1:7380", -1, -1)
        gateway.mesh.join(me, b"", ())
        controller._lease = mock.Mock(may_order=True, holds=True, fence=3)
        # Engines are not asked for reports; only their entries are known.
        controller._spawn = lambda work: work.close()
        services = {
            name: serving.Service(name, "/", 10, spec)
            for name, spec in specs.items()
        }
        gateway.state.offer_configuration(
            serving.Configuration(1, (), services, serving.CallerLimits())
        )
        now_s = 1000.0
        for entry in upstreams:
            gateway.state.directory.update_entry(entry)
        loop = asyncio.get_running_loop()
        for _ in range(steps):
            now_s += 3.0
            for key in (("s", "m", ""), ("s", "n", "u0"), ("s", "m/a2", "u0")):
                controller._placement_requests[key] = now_s
            with mock.patch.object(loop, "time", lambda: now_s):  # noqa: B023
                controller._tick(now_s)
        return controller

    return asyncio.run(scenario())


# The models in an engine's own entry, a target, and whether it is held.
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
    """Guards against requests refused for a model that an engine holds.

    The engine had just registered, with the model in its entry. The lease's
    holder had no report from it yet, or could not reach it at all, and
    published that it held nothing. Instances trust a published placement more
    than the engine's entry, and told callers to retry some seconds later.
    """
    models = ()
    if adapters is not None:
        models = (serving.ResidentModel("m", frozenset(adapters)),)
    entry = engine_entry("u0", "s", models=models)
    # In `planned` no engine reports; its clock ends at 1018 s.
    controller = run_controller({"s": VALID_SPEC}, [entry])
    engine = controller._state.directory.get("u0").engine
    assert engine.holds(entry, target, 1018.0) is holds


ODD_SPECS = [
    pytest.param({"store_loads_per_s": 1e308}, id="a rate beyond numbers"),
    pytest.param({"store_loads_per_s": 1e18}, id="a rate beyond memory"),
    pytest.param(
        {"models": {"m": msgspec.structs.replace(MODEL, store_load_s=1e308)}},
        id="an endless load",
    ),
    pytest.param({"store_loads_per_s": 0.0}, id="no loads"),
    pytest.param({"slots": 0, "kv_tokens": 0, "weights_mb": 0.0}, id="no room"),
    pytest.param({"slots": -1, "kv_tokens": -1}, id="negative room"),
    pytest.param({"models": {}}, id="no models"),
]


@pytest.mark.parametrize("odd", ODD_SPECS)
def test_odd_spec_of_one_service_does_not_stop_others(odd):
    """Guards against one service's odd specification that stops all orders.

    A configuration gave one service a value for which planning failed on each
    attempt. All services were planned together, so the controller failed too,
    and after half a minute its instance; the next holders then failed in the
    same way.
    """
    specs = {"s": msgspec.structs.replace(VALID_SPEC, **odd), "t": VALID_SPEC}
    with structlog.testing.capture_logs() as lines:
        controller = run_controller(
            specs, [engine_entry("u0", "s"), engine_entry("u1", "t")]
        )
    assert "u1" in controller._targets["t"]
    failures = [line for line in lines if line.get("exc_info")]
    # Logged once for each configuration version, not on each attempt.
    assert len(failures) <= 1


NUMBER = st.one_of(
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
        mostly(40.0, NUMBER),
        mostly(2.0, NUMBER),
        mostly(1.0, NUMBER),
        mostly(0.5, NUMBER),
        mostly(2, COUNT),
        mostly(1.0, NUMBER),
    ),
    max_size=3,
).map(lambda models: {model.name: model for model in models})
SPECS = st.builds(
    serving.EngineSpec,
    mostly(8, COUNT),
    mostly(1000, COUNT),
    mostly(100.0, NUMBER),
    mostly(4, COUNT),
    mostly(2.0, NUMBER),
    mostly(1, COUNT),
    MODELS,
)


@hypothesis_settings(max_examples=200, deadline=None, derandomize=True)
@given(
    spec=SPECS,
    slots=mostly(8, COUNT),
    remaining_s=st.one_of(st.none(), NUMBER),
)
def test_no_configuration_stops_the_controller(spec, slots, remaining_s):
    """Checks that other services get orders whatever operators declare."""
    upstreams = [
        engine_entry("u0", "s", slots=slots),
        engine_entry("u1", "s", is_leaving=True, remaining_s=remaining_s),
        engine_entry("u2", "s", models=()),
        engine_entry("u3", "t"),
    ]
    with structlog.testing.capture_logs():
        controller = run_controller({"s": spec, "t": VALID_SPEC}, upstreams)
    assert "u3" in controller._targets["t"]
