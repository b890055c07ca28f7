"""Tests of the placement target and of the expected times of planned models."""

import msgspec
import pytest

from sesamecross.fakes.placement_samples import LOAD_S
from sesamecross.fakes.placement_samples import demand
from sesamecross.fakes.placement_samples import engine
from sesamecross.fakes.placement_samples import inputs
from sesamecross.ops.fleet import placement_draft
from sesamecross.ops.fleet import placement_swaps
from sesamecross.ops.fleet import placement_target
from sesamecross.ops.fleet import placement_types as data


def test_a_busy_model_gets_the_room_that_is_free_sooner():
    """Guards against refusing a busy model's callers while a rare one loads.

    The only engine with the busiest model died. Idle room at another engine had
    just been given to a model with one request per second. The busy one was
    planned where a model in use has to be evicted, and its callers were refused
    for 8 s while the rare one was loaded into the idle room.
    """
    # `other` has twelve requests at e1 and is evicted there; `idle` at e2 has
    # none.
    got = placement_target.plan_target(
        inputs(
            [engine("e1", "other", "stays"), engine("e2", "idle", "stays-too")],
            {
                "busy": demand(18.0),
                "rare": demand(0.7),
                "stays": demand(3.0),
                "stays-too": demand(3.0),
            },
            {"e1": ["busy", "stays"], "e2": ["rare", "stays-too"]},
            {("e1", "other"): 12},
        )
    )
    assert "busy" in got["e2"]


def test_models_do_not_swap_without_a_gain():
    """Both engines have room at once: the plan does not change."""
    before = {"e1": frozenset({"busy"}), "e2": frozenset({"rare"})}
    got = placement_target.plan_target(
        inputs(
            [engine("e1"), engine("e2")],
            {"busy": demand(18.0), "rare": demand(0.7)},
            before,
        )
    )
    assert "busy" in got["e1"]
    assert "rare" in got["e2"]


@pytest.mark.parametrize(
    ("engines", "target", "in_use", "expected"),
    [
        # Free room: only the load.
        ([engine("e1")], {"e1": ["busy"]}, {}, {"busy": LOAD_S}),
        # Two loads, one after the other, the one of higher value first.
        (
            [engine("e1")],
            {"e1": ["busy", "rare"]},
            {},
            {"busy": LOAD_S, "rare": 2 * LOAD_S},
        ),
        # A held model is not listed.
        ([engine("e1", "busy")], {"e1": ["busy"]}, {}, {}),
        # An idle model is evicted first.
        (
            [engine("e1", "idle", "other")],
            {"e1": ["busy", "other"]},
            {},
            {"busy": LOAD_S + placement_draft.UNLOAD_S},
        ),
        # A model whose request has to end first.
        (
            [engine("e1", "idle", "other")],
            {"e1": ["busy", "other"]},
            {("e1", "idle"): 1},
            {
                "busy": LOAD_S
                + placement_draft.UNLOAD_S
                + placement_draft.RUNNING_REQUEST_S
            },
        ),
    ],
)
def test_ready_times_of_planned_models(engines, target, in_use, expected):
    demands = {"busy": demand(18.0), "rare": demand(0.7)}
    given = inputs(engines, demands, target, in_use)
    got = placement_swaps.ready_times_s(given, given.target)
    assert got["e1"] == pytest.approx(expected)


NEED = data.VersionNeed("rare", frozenset({"e2", "e3"}))


@pytest.mark.parametrize(
    ("engines", "in_demand", "expected"),
    [
        pytest.param(
            [
                engine("e1", "rare"),
                engine("e2", "stays", "stays-too"),
                engine("e3"),
            ],
            {},
            "e3",
            id="free room",
        ),
        pytest.param(
            [
                engine("e1", "rare"),
                engine("e2", "busy", "stays"),
                engine("e3", "idle", "other"),
            ],
            {"busy": demand(9.0), "stays": demand(9.0)},
            "e3",
            id="models without demand make way",
        ),
        pytest.param(
            [
                engine("e1", "rare"),
                engine("e2", "busy", "stays"),
                engine("e3", "other", "stays-too"),
            ],
            {
                name: demand(9.0, 0.6)
                for name in ("busy", "stays", "other", "stays-too")
            },
            None,
            id="nothing for which many more ask makes way",
        ),
        pytest.param(
            [engine("e1"), engine("e2", "rare"), engine("e3")],
            {},
            "e2",
            id="held already",
        ),
    ],
)
def test_a_model_is_loaded_at_the_version_whose_streams_wait_for_it(
    engines, in_demand, expected
):
    """Guards against streams whose model only other versions hold (LOST)."""
    target = {one.name: sorted(one.inventory.models) for one in engines}
    given = msgspec.structs.replace(
        inputs(engines, in_demand, target),
        version_needs=(NEED,),
    )
    got = placement_target.plan_target(given)
    held_at = {name for name, models in got.items() if "rare" in models}
    assert held_at & NEED.engines == ({expected} if expected else set())


@pytest.mark.parametrize(
    ("models", "expected"), [((), {"e2"}), (("idle", "other"), set())]
)
def test_nothing_makes_way_for_streams_before_the_demand_is_known(
    models, expected
):
    """Guards against a new lease holder that unloads busy models."""
    given = msgspec.structs.replace(
        inputs([engine("e1", "rare"), engine("e2", *models)], {}, {}),
        version_needs=(data.VersionNeed("rare", frozenset({"e2"})),),
    )
    got = placement_target.fill_free_room(given)
    assert {name for name in ("e2",) if "rare" in got[name]} == expected


def test_the_only_replica_that_streams_wait_for_stays():
    """Guards against a needed replica that moves to another version."""
    got = placement_target.plan_target(
        msgspec.structs.replace(
            inputs(
                [engine("e1"), engine("e2", "rare", "stays")],
                {"busy": demand(18.0), "stays": demand(9.0)},
                {"e1": [], "e2": ["rare", "stays"]},
            ),
            version_needs=(data.VersionNeed("rare", frozenset({"e2"})),),
        )
    )
    assert "rare" in got["e2"]
