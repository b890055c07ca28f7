"""Tests of decoding engines' reports."""

import pytest

from sesamecross.platform import engine_api

DEEPLY_NESTED = b'{"x":' + b"[" * 100_000 + b"]" * 100_000 + b"}"


@pytest.mark.parametrize(
    "body",
    [DEEPLY_NESTED, b"\xff", b"", b"[]", b'{"sequence":18446744073709551616}'],
)
def test_an_invalid_report_is_none(body):
    """Guards against an engine's report that crashes the sender of orders."""
    assert engine_api.report(body) is None


def test_a_valid_report_is_decoded():
    report = engine_api.report(b'{"sequence":3,"kvUsed":10,"other":[[]]}')
    assert (report.orders, report.kv_used) == (3, 10)
