"""Tests of the steps that bring engines to the placement target."""

import msgspec
import pytest

from sesamecross.core import serving
from sesamecross.fakes.placement_samples import LOAD_S
from sesamecross.fakes.placement_samples import demand
from sesamecross.fakes.placement_samples import engine
from sesamecross.fakes.placement_samples import inputs
from sesamecross.fakes.placement_samples import spec
from sesamecross.ops.fleet import placement_draft
from sesamecross.ops.fleet import placement_steps
from sesamecross.ops.fleet import placement_swaps
from sesamecross.ops.fleet import placement_types as data

MOVE_FIRST_S = LOAD_S + placement_draft.UNLOAD_S


@pytest.mark.parametrize(
    ("incoming", "moving", "is_immediate", "wait_s"),
    [
        (demand(10.0), demand(0.3), True, placement_draft.UNLOAD_S),
        (demand(0.3), demand(10.0), False, MOVE_FIRST_S),
        # The incoming model has no demand: the moving one is not interrupted.
        (data.NO_DEMAND, demand(0.3), False, MOVE_FIRST_S),
    ],
)
def test_a_busy_model_does_not_wait_for_a_rare_one_to_move(
    incoming, moving, is_immediate, wait_s
):
    """Guards against seconds of refusals while a rare model loads elsewhere."""
    given = inputs(
        [engine("e1", "rare", "stays"), engine("e2", "stays-too")],
        {"busy": incoming, "rare": moving},
        {"e1": ["busy", "stays"], "e2": ["rare", "stays-too"]},
    )
    # The moving model has no requests in flight and gets no new ones.
    given = msgspec.structs.replace(given, withdrawn={("e1", "rare"): -1.0})
    got = placement_steps.steps(given, given.target)
    unloads = [
        (one.instance_id, one.target)
        for one in got
        if one.kind is data.StepKind.UNLOAD
    ]
    assert unloads == ([("e1", "rare")] if is_immediate else [])
    expected = placement_swaps.ready_times_s(given, given.target)
    assert expected["e1"]["busy"] == pytest.approx(wait_s + LOAD_S)


@pytest.mark.parametrize(
    ("target", "serves_again"),
    [
        # The plan still needs the room.
        ({"e1": ["busy", "stays"]}, []),
        # The plan returned to the models that the engine holds.
        ({"e1": ["rare", "stays"]}, [("e1", "rare")]),
        # The incoming model is planned elsewhere now.
        ({"e1": ["stays"], "e2": ["busy"]}, [("e1", "rare")]),
    ],
)
def test_a_withdrawn_model_serves_again_when_its_room_is_not_needed(
    target, serves_again
):
    """Guards against refusing requests for a held model for 8 s."""
    given = inputs(
        [engine("e1", "rare", "stays"), engine("e2", "stays-too")],
        {"busy": demand(10.0), "rare": demand(3.0)},
        {"e2": ["stays-too"]} | target,
        {("e1", "rare"): 2},
    )
    withdrawn = {("e1", "rare"): -0.1}
    given = msgspec.structs.replace(given, withdrawn=withdrawn)
    got = placement_steps.steps(given, given.target)
    assert placement_steps.withdrawals_to_end(withdrawn, got) == serves_again


@pytest.mark.parametrize(
    ("demands", "loads"),
    [
        # A long load would delay the busy model by its duration.
        ({"busy": demand(10.0), "rare": demand(0.5)}, []),
        # No other model waits for the room.
        ({"rare": demand(0.5)}, [("e1", "rare")]),
    ],
)
def test_a_rare_load_does_not_delay_a_busy_one(demands, loads):
    """Guards against a busy model waiting 6 s for the load of a rare one."""
    given = inputs(
        [engine("e1", "other")],
        demands,
        {"e1": ["busy", "rare"]},
        {("e1", "other"): 3},
    )
    sizes = {"busy": 50.0, "rare": 30.0, "other": 40.0}
    given = msgspec.structs.replace(given, spec=spec(sizes))
    got = placement_steps.steps(given, given.target)
    assert loads == [
        (one.instance_id, one.target)
        for one in got
        if one.kind is data.StepKind.LOAD
    ]


def test_overloaded_models_load_before_models_without_demand():
    """Guards against refusals while an engine loads models without demand."""
    given = inputs(
        [engine("e1", "busy"), engine("e2")],
        {"busy": demand(20.0, load=2.0)},
        {"e1": ["busy"], "e2": ["busy", "idle"]},
    )
    got = placement_steps.steps(given, given.target)
    assert [(one.instance_id, one.target) for one in got] == [("e2", "busy")]


@pytest.mark.parametrize(
    ("used_s", "loaded_s", "unloaded", "withdrawn"),
    [
        # The least recently used one, whenever it was loaded.
        ({"a1": -1.0, "a2": -5.0}, {"a1": -90.0, "a2": -20.0}, ["m/a2"], []),
        # A use that has just ended may be followed by one not reported yet.
        ({"a1": -0.1, "a2": -0.5}, {"a1": -90.0, "a2": -20.0}, [], ["m/a1"]),
        # An adapter that was just loaded is about to be used.
        ({"a2": -0.1}, {"a1": -0.2, "a2": -20.0}, [], ["m/a2"]),
        ({}, {"a1": -3.0, "a2": -20.0}, ["m/a2"], []),
    ],
)
def test_idle_adapters_are_evicted(used_s, loaded_s, unloaded, withdrawn):
    """Guards against an unload that blocks all orders to an engine."""
    one = engine("e1", "m")
    one.inventory.adapters.update({"m/a1", "m/a2"})
    one.inventory.loaded_s.update({f"m/{k}": v for k, v in loaded_s.items()})
    adapters = serving.ModelSpec("m", 40.0, 2.0, 0.5, 0.3, 5, 1.0)
    given = msgspec.structs.replace(
        inputs([one], {"m": demand(5.0)}, {"e1": ["m"]}),
        spec=msgspec.structs.replace(
            spec(), adapter_slots=2, models={"m": adapters}
        ),
        adapter_requests=(data.AdapterRequest("e1", "m/a3"),),
        used_s={("e1", f"m/{k}"): v for k, v in used_s.items()},
    )
    got = [
        (one.kind, one.target)
        for one in placement_steps.steps(given, given.target)
    ]
    assert got == [
        *((data.StepKind.UNLOAD, target) for target in unloaded),
        *((data.StepKind.WITHDRAW, target) for target in withdrawn),
    ]
