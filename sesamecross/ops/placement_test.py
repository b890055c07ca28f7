"""Tests of placement plans: hard rules hold and reasons are given."""

import random

import pytest

from sesamecross.core import data
from sesamecross.ops import assignment
from sesamecross.ops import ledger
from sesamecross.ops import placement

LOAD = data.OrderAction.LOAD_MODEL
UNLOAD = data.OrderAction.UNLOAD_MODEL


def declarations(engines, models, adapters=()):
    return data.Declarations(
        {"r": data.Region("r")},
        {"z": data.Zone("z", "r")},
        {
            name: data.Upstream(
                name, data.UpstreamKind.ENGINE, "z", "http://1.1.1.1:1", size
            )
            for name, size in engines.items()
        },
        {"p": data.Promise("p")},
        {
            name: data.Model(name, size, "p", "1", must_stay, replicas)
            for name, size, must_stay, replicas in models
        },
        {
            name: data.Adapter(name, model, size)
            for name, model, size in adapters
        },
        {},
        {},
    )


def accounts(declared, resident):
    sizes = ledger.sizes_of(declared)
    found = {}
    for engine in declared.engines():
        names = frozenset(resident.get(engine.name, ()))
        used = sum(sizes.get(name, 0) for name in names)
        found[engine.name] = ledger.Account(
            engine.memory_mib, used, names, names
        )
    return found


def plan(declared, resident, demand=None):
    return placement.plan(
        placement.Inputs(
            declared, "z", accounts(declared, resident), demand or {}
        )
    )


def moves(result):
    return [(m.action, m.target, m.upstream) for m in result.moves]


def test_each_model_that_must_stay_gets_a_replica():
    declared = declarations(
        {"e1": 100, "e2": 100}, [("a", 60, True, 1), ("b", 60, True, 1)]
    )
    found = plan(declared, {})
    assert {m.target for m in found.moves} == {"a", "b"}
    assert {m.upstream for m in found.moves} == {"e1", "e2"}
    assert all(m.reason for m in found.moves)


def test_a_satisfied_deployment_needs_no_moves():
    declared = declarations(
        {"e1": 100, "e2": 100}, [("a", 60, True, 1), ("b", 60, True, 1)]
    )
    assert moves(plan(declared, {"e1": ["a"], "e2": ["b"]})) == []


def test_room_is_made_from_a_spare_replica_and_never_from_the_last():
    declared = declarations(
        {"e1": 100, "e2": 100},
        [("a", 60, True, 1), ("b", 60, True, 1)],
    )
    found = plan(declared, {"e1": ["a"], "e2": ["a"]})
    assert [(m.action, m.target) for m in found.moves] == [(UNLOAD, "a")]
    assert "makes room for b" in found.moves[0].reason


def test_two_holders_with_different_views_load_nothing_twice():
    # After a cold start the holders of two zones know of different
    # engines. The assignment depends on the declarations alone, so what one
    # holder loads the other does not.
    declared = declarations(
        {f"e{n}": 100 for n in range(4)},
        [(f"m{n}", 40, True, 1) for n in range(8)],
    )
    whole = accounts(declared, {})
    plans = []
    for missing in ("e0", "e3"):
        partial = {k: v for k, v in whole.items() if k != missing}
        inputs = placement.Inputs(declared, "z", partial, {})
        plans.append(
            {(m.target, m.upstream) for m in placement.plan(inputs).moves}
        )
    assigned_engines = assignment.assigned_engines(declared)
    for loads in plans:
        for target, upstream in loads:
            assigned_engine = assigned_engines[target][0]
            assert upstream == assigned_engine or assigned_engine in (
                "e0",
                "e3",
            )


def test_surplus_gives_way_to_a_declared_replica():
    # Two zones loaded "b" at the same moment. The second copy takes the room
    # of the replica that "a" is declared to have.
    declared = declarations(
        {"e1": 100, "e2": 100},
        [("a", 50, True, 2), ("b", 50, True, 1)],
    )
    found = plan(declared, {"e1": ["a", "b"], "e2": ["b"]})
    assert moves(found) == [(LOAD, "a", "e2")]
    declared = declarations(
        {"e1": 100, "e2": 100},
        [("a", 60, True, 2), ("b", 40, True, 1), ("c", 40, True, 1)],
    )
    found = plan(declared, {"e1": ["a", "b"], "e2": ["b", "c"]})
    assert moves(found) == [(UNLOAD, "b", "e2")]


def test_what_fits_nowhere_is_a_shortfall_with_a_remedy():
    declared = declarations(
        {"e1": 100}, [("a", 60, True, 1), ("b", 60, True, 1)]
    )
    found = plan(declared, {"e1": ["a"]})
    assert moves(found) == []
    (shortfall,) = found.shortfalls
    assert (shortfall.name, "60 MiB" in shortfall.reason) == ("b", True)
    assert shortfall.remedy


def test_an_adapter_goes_beside_its_resident_model_only():
    declared = declarations(
        {"e1": 100, "e2": 100},
        [("a", 60, True, 1)],
        [("x", "a", 10)],
    )
    found = plan(declared, {"e1": ["a"]})
    assert moves(found) == [(data.OrderAction.LOAD_ADAPTER, "x", "e1")]


def test_what_is_no_longer_declared_is_unloaded():
    # S5: an operator removes a model that its engine still holds.
    declared = declarations({"e1": 100}, [("a", 60, True, 1)])
    found = plan(declared, {"e1": ["a", "gone"]})
    assert moves(found) == [(UNLOAD, "gone", "e1")]


@pytest.mark.parametrize("seed", range(30))
def test_carried_out_step_by_step_no_rule_is_ever_broken(seed):
    # Random deployments; the first move of each plan is carried out, and then
    # a new plan is made. No engine exceeds its memory, no model that must stay
    # loses its last replica once it had one, and the moves come to an end.
    rng = random.Random(seed)
    engines = {f"e{i}": rng.choice([80, 100, 120]) for i in range(5)}
    models = [
        (f"m{i}", rng.choice([20, 30, 40]), rng.random() < 0.8, 1)
        for i in range(9)
    ]
    adapters = [(f"a{i}", f"m{i % 9}", 5) for i in range(12)]
    declared = declarations(engines, models, adapters)
    sizes = ledger.sizes_of(declared)
    resident = {name: set() for name in engines}
    reached = set()
    for step in range(400):
        demand = {f"m{rng.randrange(9)}": rng.random()}
        found = plan(declared, resident, demand if step < 200 else {})
        if not found.moves:
            if step >= 200:
                break
            continue
        move = found.moves[0]
        if move.action.loads:
            resident[move.upstream].add(move.target)
        else:
            resident[move.upstream].discard(move.target)
        for name, held in resident.items():
            assert sum(sizes[one] for one in held) <= engines[name]
        held = set().union(*resident.values())
        must = {m[0] for m in models if m[2]}
        assert reached <= held
        reached |= must & held
    else:
        pytest.fail("the plans do not converge")
