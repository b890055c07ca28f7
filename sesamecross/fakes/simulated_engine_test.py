"""Tests of how the simulated engine answers orders."""

import pytest

from sesamecross.core import serving
from sesamecross.fakes import simulated_engine as lib

CAPACITY = lib.EngineCapacity({"m": 40.0, "n": 40.0, "o": 40.0}, 82.0, 1.0, 2)
ACCEPTED = serving.OrderAnswer.ACCEPTED
ALREADY_DONE = serving.OrderAnswer.ALREADY_DONE
CONFLICT = serving.OrderAnswer.CONFLICT
REFUSED = serving.OrderAnswer.REFUSED


def engine() -> lib.SimulatedEngine:
    """Returns one with a model and an idle adapter, after one order."""
    fake = lib.SimulatedEngine(CAPACITY, ("m",))
    fake.apply(lib.Order(True, "m/a1", None))
    fake.complete()
    return fake


# An order, whether the adapter is in use, the answer, and by how much the order
# count grows.
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
    fake = engine()
    if is_used:
        fake.begin_request("m/a1")
    before = fake.orders
    assert fake.apply(lib.Order(loads, target, before)) is answer
    assert fake.orders - before == counts
    assert not fake.was_overcommitted


def test_an_adapter_that_departs_is_listed_until_its_requests_end():
    fake = engine()
    fake.begin_request("m/a1")
    fake.apply(lib.Order(False, "m/a1", None))
    before = fake.orders
    assert fake.apply(lib.Order(False, "m/a1", None)) is ALREADY_DONE
    assert fake.orders == before
    assert fake.held() == (serving.ResidentModel("m", frozenset({"a1"})),)
    assert not fake.can_serve("m/a1")
    fake.end_request("m/a1")
    assert fake.held() == (serving.ResidentModel("m"),)


def test_orders_for_another_count_or_beside_one_under_way_are_refused():
    fake = engine()
    assert fake.apply(lib.Order(True, "n", fake.orders + 1)) is CONFLICT
    fake.apply(lib.Order(True, "n", fake.orders))
    assert fake.apply(lib.Order(True, "m/a2", fake.orders)) is CONFLICT


# Targets that are loaded in turn, and whether they exceed the capacity.
LOADS = [
    pytest.param(["n"], False, id="both models fit"),
    pytest.param(["n", "o"], True, id="three models do not"),
    pytest.param(["m/a2"], False, id="two adapters"),
    pytest.param(["m/a2", "m/a3"], True, id="three adapters"),
]


@pytest.mark.parametrize(("targets", "was_overcommitted"), LOADS)
def test_more_than_fits_is_noted(targets, was_overcommitted):
    fake = engine()
    for target in targets:
        fake.apply(lib.Order(True, target, None))
        fake.complete()
    assert fake.was_overcommitted is was_overcommitted


def test_an_unloaded_model_goes_with_its_adapters_once_nobody_uses_it():
    fake = engine()
    fake.begin_request("m/a1")
    fake.apply(lib.Order(False, "m", None))
    fake.complete()
    assert fake.is_busy
    fake.end_request("m/a1")
    fake.complete()
    assert not fake.is_busy
    assert not fake.models | fake.adapters
