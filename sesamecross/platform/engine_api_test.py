"""Tests of engines' reports that can't be held."""

import pytest

from sesamecross.platform import engine_api

DEEP = b'{"x":' + b"[" * 100_000 + b"]" * 100_000 + b"}"


@pytest.mark.parametrize(
    "body", [DEEP, b"\xff", b"", b"[]", b'{"sequence":18446744073709551616}']
)
def test_a_report_that_cannot_be_held_is_none(body):
    """The giver of orders failed on one engine's report."""
    assert engine_api.report(body) is None


def test_a_report_says_what_it_holds():
    report = engine_api.report(b'{"sequence":3,"kvUsed":10,"other":[[]]}')
    assert (report.orders, report.kv_used) == (3, 10)
