"""Tests of what the stand-in engine answers to orders."""

import pytest

from sesamecross.core import serving
from sesamecross.fakes import simulated_engine as lib

ROOM = lib.EngineCapacity({"m": 40.0, "n": 40.0, "o": 40.0}, 82.0, 1.0, 2)
ACCEPTED = serving.OrderAnswer.ACCEPTED
ALREADY_DONE = serving.OrderAnswer.ALREADY_DONE
CONFLICT = serving.OrderAnswer.CONFLICT
REFUSED = serving.OrderAnswer.REFUSED


def engine() -> lib.SimulatedEngine:
    """Returns one that holds a model and an idle adapter: one order."""
    one = lib.SimulatedEngine(ROOM, ("m",))
    one.apply(lib.Order(True, "m/a1", None))
    one.complete()
    return one


# An order, whether the adapter is in use, the answer and whether it counts.
ORDERS = [
    pytest.param(False, "m/a1", False, ALREADY_DONE, 1, id="idle adapter goes"),
    pytest.param(False, "m/a1", True, ACCEPTED, 1, id="used adapter departs"),
    pytest.param(False, "m/a2", False, ALREADY_DONE, 0, id="adapter not held"),
    pytest.param(True, "m/a1", False, ALREADY_DONE, 0, id="adapter held"),
    pytest.param(True, "m/a2", False, ACCEPTED, 1, id="another adapter"),
    pytest.param(True, "n/a1", False, REFUSED, 0, id="adapter without model"),
    pytest.param(True, "m", False, ALREADY_DONE, 0, id="model held"),
    pytest.param(True, "n", False, ACCEPTED, 1, id="another model"),
    pytest.param(False, "n", False, ALREADY_DONE, 0, id="model not held"),
    pytest.param(False, "m", False, ACCEPTED, 1, id="model unloaded"),
]


@pytest.mark.parametrize(
    ("loads", "target", "is_used", "answer", "counts"), ORDERS
)
def test_orders(loads, target, is_used, answer, counts):
    one = engine()
    if is_used:
        one.begin_request("m/a1")
    before = one.orders
    assert one.apply(lib.Order(loads, target, before)) is answer
    assert one.orders - before == counts
    assert not one.was_overcommitted


def test_an_adapter_that_departs_is_listed_until_its_requests_end():
    one = engine()
    one.begin_request("m/a1")
    one.apply(lib.Order(False, "m/a1", None))
    before = one.orders
    assert one.apply(lib.Order(False, "m/a1", None)) is ALREADY_DONE
    assert one.orders == before
    assert one.held() == (serving.ResidentModel("m", frozenset({"a1"})),)
    assert not one.can_serve("m/a1")
    one.end_request("m/a1")
    assert one.held() == (serving.ResidentModel("m"),)


def test_orders_for_another_count_or_beside_one_under_way_are_refused():
    one = engine()
    assert one.apply(lib.Order(True, "n", one.orders + 1)) is CONFLICT
    one.apply(lib.Order(True, "n", one.orders))
    assert one.apply(lib.Order(True, "m/a2", one.orders)) is CONFLICT


# What is ordered one after the other, and whether that is too much.
LOADS = [
    pytest.param(["n"], False, id="both models fit"),
    pytest.param(["n", "o"], True, id="three models do not"),
    pytest.param(["m/a2"], False, id="two adapters"),
    pytest.param(["m/a2", "m/a3"], True, id="three adapters"),
]


@pytest.mark.parametrize(("targets", "was_overcommitted"), LOADS)
def test_more_than_fits_is_noted(targets, was_overcommitted):
    one = engine()
    for target in targets:
        one.apply(lib.Order(True, target, None))
        one.complete()
    assert one.was_overcommitted is was_overcommitted


def test_an_unloaded_model_goes_with_its_adapters_once_nobody_uses_it():
    one = engine()
    one.begin_request("m/a1")
    one.apply(lib.Order(False, "m", None))
    one.complete()
    assert one.is_busy
    one.end_request("m/a1")
    one.complete()
    assert not one.is_busy
    assert not one.models | one.adapters
