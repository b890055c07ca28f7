"""Tests of how the fake upstream answers orders."""

import pytest
import urllib3

from sesamecross.fakes import platform_store
from sesamecross.fakes import platform_upstream


@pytest.fixture(name="engine")
def fixture_engine():
    store = platform_store.PlatformStore("127.0.0.1:0")
    store.server.start()
    engine = platform_upstream.PlatformUpstream(
        store, "i-1", "writers", "z1", ("m",)
    )
    engine.start()
    yield engine
    engine.shut_down()
    store.server.shut_down()


def order(
    engine,
    operation: str,
    model: str,
    adapter: str = "",
    expected_order_count=None,
):
    """Sends an order; returns the status and the engine's order count."""
    body = {"operation": operation, "model": model, "holder": "h"}
    if adapter:
        body["adapter"] = adapter
    if expected_order_count is not None:
        body["precondition"] = expected_order_count
    with urllib3.PoolManager() as pool:
        url = f"http://{engine.server.address}/v1"
        answer = pool.request("POST", f"{url}/order", json=body)
        report = pool.request("GET", f"{url}/report").json()
    return answer.status, report["sequence"]


# Successive orders, and the status and order count after the last.
ORDERS = [
    pytest.param([("load", "n")], 202, 1, id="a model"),
    pytest.param([("load", "m")], 200, 0, id="a model that is held"),
    pytest.param([("unload", "n")], 200, 0, id="a model that is not held"),
    pytest.param([("unload", "m")], 202, 1, id="a model that goes"),
    pytest.param([("load", "m", "a1")], 202, 1, id="an adapter"),
    pytest.param([("load", "n", "a1")], 400, 0, id="no model for it"),
    pytest.param([("unload", "m", "a1")], 200, 0, id="an adapter not held"),
    pytest.param(
        [("load", "m", "a1"), ("unload", "m", "a1")],
        200,
        2,
        id="an adapter that goes at once",
    ),
    pytest.param([("load", "n", "", 1)], 409, 0, id="another count"),
]


@pytest.mark.parametrize(("orders", "status", "count"), ORDERS)
def test_orders_are_answered_as_engines_do(engine, orders, status, count):
    answers = [order(engine, *one) for one in orders]
    assert answers[-1] == (status, count)
