"""Tests of how adapters share the places of an engine."""

import msgspec
import pytest

from sesamecross.core import serving
from sesamecross.fakes import placement_samples
from sesamecross.ops.fleet import adapter_slots
from sesamecross.ops.fleet import placement_types as data

PLACES = 4
LONG_AGO_S = -60.0
MODEL = serving.ModelSpec("m", 40.0, 2.0, 0.5, 0.3, 99, 1.0)


def planned(
    held,
    wanted,
    *,
    withdrawn=None,
    in_use=None,
    unloading=(),
    loading=None,
    used_s=0.0,
    is_leaving=False,
):
    """Returns the plan and the ready times of an engine with four places.

    Args:
      held: When each adapter that it holds was loaded.
      wanted: The adapters that wait, the longest wait first.
      withdrawn: Since when adapters get no new requests.
      in_use: Requests in flight.
      unloading: Adapters that are unloaded once their requests end.
      loading: When models that it loads are expected.
      used_s: When all held adapters were last used; now is 0.
      is_leaving: Whether the engine leaves.
    """
    engine = placement_samples.engine("e1", "m")
    engine.inventory.adapters.update(f"m/{name}" for name in held)
    engine.inventory.loaded_s.update({f"m/{n}": s for n, s in held.items()})
    engine.inventory.unloading.update(f"m/{name}" for name in unloading)
    engine.inventory.loading.update(loading or {})
    engine = msgspec.structs.replace(engine, is_leaving=is_leaving)
    inputs = msgspec.structs.replace(
        placement_samples.inputs([engine], {}, {"e1": ["m"]}),
        spec=msgspec.structs.replace(
            placement_samples.spec(),
            adapter_slots=PLACES,
            models={"m": MODEL},
        ),
        in_use={("e1", f"m/{n}"): k for n, k in (in_use or {}).items()},
        withdrawn={("e1", f"m/{n}"): s for n, s in (withdrawn or {}).items()},
        used_s={("e1", f"m/{name}"): used_s for name in held},
    )
    wanted = [f"m/{name}" for name in wanted]
    return (
        adapter_slots.plan(inputs, engine, wanted),
        adapter_slots.ready_times_s(inputs, engine, wanted),
    )


FULL = dict.fromkeys(("b1", "b2", "b3", "b4"), LONG_AGO_S)


@pytest.mark.parametrize(
    ("held", "wanted", "given", "expected"),
    [
        # A free place goes to the one that has waited longest.
        ({"b1": LONG_AGO_S}, ["a2", "a1"], {}, {"load": "m/a2"}),
        # The one with the fewest requests gives way.
        (
            FULL,
            ["a1"],
            {"in_use": {"b1": 2, "b2": 1, "b3": 2, "b4": 2}},
            {"withdraw": ("m/b2",)},
        ),
        # Among equals, the one loaded longest ago.
        (FULL | {"b3": -70.0}, ["a1"], {}, {"withdraw": ("m/b3",)}),
        # None before its minimum stay is over.
        (dict.fromkeys(FULL, -1.0), ["a1"], {}, {}),
        # Half of the places at most, however many wait.
        (FULL, ["a1", "a2", "a3"], {}, {"withdraw": ("m/b1", "m/b2")}),
        # A withdrawal goes on, and no other place is taken away instead.
        (FULL, ["a1"], {"withdrawn": {"b4": -0.1}}, {"withdraw": ("m/b4",)}),
        # It waits for the adapter's requests, then the adapter is unloaded.
        (
            FULL,
            ["a1"],
            {"withdrawn": {"b4": -2.0}, "in_use": {"b4": 1}},
            {"withdraw": ("m/b4",)},
        ),
        (
            FULL,
            ["a1"],
            {"withdrawn": {"b4": -2.0}},
            {"unload": "m/b4", "withdraw": ("m/b4",)},
        ),
        # The place of an adapter under unload is not free, but will be.
        (
            {"b1": LONG_AGO_S, "b2": LONG_AGO_S, "b3": LONG_AGO_S},
            ["a1"],
            {"unloading": ["b4"]},
            {},
        ),
        # Nobody waits.
        (FULL, [], {"withdrawn": {"b4": -2.0}}, {}),
        # Callers may name adapters that nobody declared.
        (
            {"b1": LONG_AGO_S, "b2": LONG_AGO_S},
            ["zzz", "a0", "a100", "a01", "a2"],
            {},
            {"load": "m/a2"},
        ),
        # A wait for an adapter that is held, or of another model, is none.
        (FULL, ["b1"], {}, {}),
    ],
)
def test_a_place_is_taken_away_fairly(held, wanted, given, expected):
    """Guards against hot adapters that keep all places of an engine."""
    plan, _ = planned(held, wanted, **given)
    assert plan == adapter_slots.SlotPlan(**expected)


def test_each_waiting_adapter_has_an_expected_time_in_its_turn():
    """Guards against callers who are held or sent away without a true time."""
    waiting = [f"a{number}" for number in range(1, 10)]
    _, times_s = planned(FULL, waiting, in_use=dict.fromkeys(FULL, 1))
    assert list(times_s) == [f"m/{name}" for name in waiting]
    assert list(times_s.values()) == sorted(times_s.values())
    assert min(times_s.values()) >= adapter_slots.DRAIN_S
    bound_s = adapter_slots.longest_wait_s(
        len(FULL) + len(waiting), PLACES, adapter_slots.DRAIN_S
    )
    assert max(times_s.values()) <= bound_s


def test_a_free_place_is_expected_at_once():
    _, times_s = planned({}, ["a1"])
    assert times_s == {"m/a1": adapter_slots.LOAD_S}


@pytest.mark.parametrize(
    ("asks", "now_s", "is_held", "waits"),
    [
        # Refused callers come back: the one that began first keeps its turn.
        ([(0.0, "m/a2"), (1.0, "m/a1"), (2.5, "m/a2")], 3.0, False, "a2 a1"),
        # Its callers have stayed away.
        ([(0.0, "m/a2"), (3.0, "m/a1")], 4.5, False, "a1"),
        # It has its place.
        ([(0.0, "m/a2"), (1.0, "m/a1")], 1.5, True, "a1"),
    ],
)
def test_waits_keep_their_order_over_refusals(asks, now_s, is_held, waits):
    """Guards against the same caller being passed over at each return."""
    engine = placement_samples.engine("e1", "m")
    if is_held:
        engine.inventory.adapters.add("m/a2")
    memory = adapter_slots.AdapterWaits()
    for at_s, target in asks:
        memory.add("s", target, "e1", at_s)
    assert memory.update("s", (engine,), {}, now_s) == tuple(
        data.AdapterRequest("e1", f"m/{name}") for name in waits.split()
    )


def test_a_withdrawn_adapter_waits_from_its_withdrawal_on():
    """Guards against an adapter that loses its place without a new turn."""
    engine = placement_samples.engine("e1", "m")
    engine.inventory.adapters.add("m/a1")
    memory = adapter_slots.AdapterWaits()
    memory.add("s", "m/a1", "e1", 0.0)
    withdrawn = {("e1", "m/a1"): 0.0}
    got = memory.update("s", (engine,), withdrawn, 0.5)
    assert got == (data.AdapterRequest("e1", "m/a1"),)


def test_an_adapter_is_expected_after_the_load_of_a_model():
    """Guards against an expected time at which the engine takes no order."""
    _, times_s = planned(FULL, ["a1"], loading={"other": 6.0})
    assert times_s["m/a1"] >= 6.0


def test_a_place_is_expected_once_an_adapter_will_be_idle():
    """Guards against refusals while an unused adapter is about to give way."""
    _, times_s = planned(FULL, ["a1"], used_s=-0.6)
    assert times_s["m/a1"] == pytest.approx(
        adapter_slots.IDLE_S - 0.6 + adapter_slots.LOAD_S
    )


def test_no_adapter_is_expected_at_a_leaving_engine():
    """Guards against callers who wait for a load that is never ordered."""
    _, times_s = planned({}, ["a1"], is_leaving=True)
    assert times_s == {}


def test_an_adapter_is_loaded_only_if_it_fits_itself():
    """Guards against an engine that is ordered to load more than it holds.

    The adapter that has waited longest is smaller, and still being unloaded.
    """
    engine = placement_samples.engine("e1", "m", "n")
    engine.inventory.unloading.add("m/a1")
    spec = msgspec.structs.replace(
        placement_samples.spec(),
        weights_mb=2 * MODEL.weights_mb + 4.0,
        adapter_slots=PLACES,
        models={
            "m": MODEL,
            "n": msgspec.structs.replace(MODEL, name="n", adapter_mb=10.0),
        },
    )
    inputs = msgspec.structs.replace(
        placement_samples.inputs([engine], {}, {"e1": ["m", "n"]}), spec=spec
    )
    plan = adapter_slots.plan(inputs, engine, ["m/a1", "n/a1"])
    assert plan.load is None
