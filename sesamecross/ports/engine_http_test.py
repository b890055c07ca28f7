"""Tests of what an engine may answer to requests for its status and orders."""

import json
import types

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest
from returns.result import Failure
from returns.result import Success

from sesamecross.core import data
from sesamecross.core import errors
from sesamecross.ports import engine_http

STATUS = {
    "epoch": "e1",
    "sequence": 3,
    "leaving": False,
    "running": 1,
    "waiting": 0,
    "resident": ["m2", "m1"],
    "used_mib": 400,
    "capacity_mib": 1000,
    "orders": {"o1": "applied"},
    "fence": 7,
}
ORDER = data.Order("o1", "u", "e1", data.OrderAction.LOAD_MODEL, "m1", "1", 400)


def engine_that_answers(body: bytes) -> engine_http.HttpEngine:
    engine = engine_http.HttpEngine()
    response = types.SimpleNamespace(status=200, data=body)
    engine._admin_pool = types.SimpleNamespace(
        request=lambda *_, **__: response
    )
    return engine


def test_a_valid_status_is_read():
    answer = engine_that_answers(json.dumps(STATUS).encode()).status("u", "url")
    status = answer.unwrap()
    assert status.report.resident == ("m1", "m2")
    assert status.orders == {"o1": engine_http.OrderState.APPLIED}


MALFORMED = [
    b"",
    b"\xff",
    b"[]",
    b"3",
    json.dumps(STATUS | {"orders": ["o1"]}).encode(),
    json.dumps(STATUS | {"orders": {"o1": "lost"}}).encode(),
    json.dumps(STATUS | {"resident": 3}).encode(),
    json.dumps(STATUS | {"running": float("inf")}).encode(),
    json.dumps(STATUS | {"running": float("nan")}).encode(),
    json.dumps(STATUS | {"running": None}).encode(),
    b"[" * 100_000,
]


@pytest.mark.parametrize("body", MALFORMED, ids=range(len(MALFORMED)))
def test_a_malformed_answer_is_a_problem(body):
    """Guards against an engine whose answer ends the one who asked it."""
    engine = engine_that_answers(body)
    for answer in (
        engine.status("u", "url"),
        engine.send_order("url", ORDER, 1),
    ):
        assert isinstance(answer, Failure)
        assert answer.failure().kind is errors.Kind.UNREACHABLE


_JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=8,
)


@settings(derandomize=True, max_examples=300, deadline=None)
@given(changed=st.dictionaries(st.sampled_from(sorted(STATUS)), _JSON))
def test_any_json_gives_a_status_or_a_problem(changed):
    body = json.dumps(STATUS | changed).encode()
    answer = engine_that_answers(body).status("u", "url")
    assert isinstance(answer, Success | Failure)
