"""Tests of records from the store that are damaged or of unknown writers."""

import math

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import msgspec
import pytest

from sesamecross.platform import catalog

ROUTE = {
    "name": "r",
    "hostname": "H.example",
    "pathPrefix": "/a/",
    "kind": "safe",
    "timeoutMs": 1000,
    "service": "s",
}
CONFIGURATION = {
    "version": 3,
    "routes": [ROUTE],
    "services": [
        {
            "name": "s",
            "engine": {
                "slots": 8,
                "kvCapacity": 1000,
                "models": [{"name": "m", "weightsMb": 1, "loadS": 2}],
            },
        }
    ],
    "limits": {"maxHeaderBytes": 100},
}
UPSTREAM = {
    "service": "s",
    "address": "10.0.0.9:80",
    "zone": "z1",
    "state": "ready",
    "version": "v1",
    "slots": 4,
    "born": 1_700_000_000_000,
    "models": [{"name": "m", "adapters": ["a1@2"]}],
}
TOO_LARGE = 2**64
DEEPLY_NESTED = b'{"x":' + b"[" * 100_000 + b"]" * 100_000 + b"}"

# Values that a field may have in a record of another writer.
ODD = st.recursive(
    st.one_of(
        st.none(),
        st.booleans(),
        st.integers(-(10**30), 10**30),
        st.sampled_from([0, -1, 2**63, 2**64, 10**400, 1e308, -1e308]),
        st.floats(allow_nan=False, allow_infinity=False),
        st.text(max_size=5),
        st.sampled_from(["safe", "ready", "/", "10.0.0.9:80", "1:²", ":"]),
    ),
    lambda inner: st.one_of(
        st.lists(inner, max_size=3),
        st.dictionaries(st.text(max_size=5), inner, max_size=3),
    ),
    max_leaves=5,
)


@st.composite
def damaged(draw, valid):
    """A valid record in which some fields are changed or missing."""
    if isinstance(valid, dict):
        fields = {}
        for key, value in valid.items():
            change = draw(
                st.sampled_from(("keep", "keep", "damage", "odd", "no"))
            )
            if change == "keep":
                fields[key] = value
            elif change == "damage":
                fields[key] = draw(damaged(value))
            elif change == "odd":
                fields[key] = draw(ODD)
        return fields
    if isinstance(valid, list):
        return [draw(damaged(item)) for item in valid] * draw(st.integers(0, 3))
    return draw(ODD)


@st.composite
def cut(draw, valid):
    """The bytes of a valid record, truncated and with one byte changed."""
    data = bytearray(msgspec.json.encode(valid))
    data[draw(st.integers(0, len(data) - 1))] = draw(st.integers(0, 255))
    return bytes(data[: draw(st.integers(0, len(data)))])


def records(valid):
    """Records of all kinds: damaged, truncated, and random bytes."""
    return st.one_of(
        damaged(valid).map(_encode), cut(valid), st.binary(max_size=20)
    )


def _encode(value) -> bytes:
    return msgspec.json.encode(value)


def test_valid_records_are_decoded():
    configuration = catalog.decode_configuration(_encode(CONFIGURATION))
    assert configuration.version == 3
    assert configuration.routes[0].host == "h.example"
    assert configuration.limits.max_header_bytes == 100
    upstream = catalog.decode_upstream("u1", _encode(UPSTREAM))
    assert (upstream.address, upstream.slots) == ("10.0.0.9:80", 4)
    assert upstream.models[0].adapters == {"a1"}
    assert upstream.version == "v1"


INVALID_CONFIGURATIONS = [
    pytest.param(b"", id="empty"),
    pytest.param(b"[]", id="a list"),
    pytest.param(b"\xff\xfe", id="no text"),
    pytest.param(DEEPLY_NESTED, id="nested deeply"),
    pytest.param(_encode(CONFIGURATION | {"version": TOO_LARGE}), id="version"),
    pytest.param(_encode(CONFIGURATION | {"version": -1}), id="negative"),
    pytest.param(
        _encode(CONFIGURATION | {"routes": [ROUTE | {"kind": "other"}]}),
        id="a kind that is not known",
    ),
    pytest.param(
        _encode(CONFIGURATION | {"routes": [ROUTE | {"priority": TOO_LARGE}]}),
        id="priority",
    ),
]


@pytest.mark.parametrize("value", INVALID_CONFIGURATIONS)
def test_an_invalid_configuration_is_none(value):
    """Guards against one damaged record that ends all instances.

    A version too large for the instances' own messages made their sender fail
    until the supervisor gave up, which ended instances 28 s after the record
    was written. A deeply nested record made the reader fail, which then
    continued after it; eleven of these in half a minute also ended the process.
    """
    assert catalog.decode_configuration(value) is None


INVALID_UPSTREAMS = [
    pytest.param(b"", id="empty"),
    pytest.param(b"[]", id="a list"),
    pytest.param(b"\xff\xfe", id="no text"),
    pytest.param(DEEPLY_NESTED, id="nested deeply"),
    *(
        pytest.param(_encode(UPSTREAM | change), id=str(change))
        for change in (
            {"state": "resting"},
            {"address": "10.0.0.9"},
            {"address": "10.0.0.9:²"},
            {"address": "10.0.0.9:99999"},
            {"address": "10.0.0.9:0"},
            {"address": "somewhere:80"},
            {"address": ":80"},
            {"slots": 0},
            {"slots": -3},
            {"slots": TOO_LARGE},
            {"born": TOO_LARGE},
            {"born": -1},
            {"zone": None},
            {"version": None},
            {"version": 1},
        )
    ),
]


@pytest.mark.parametrize("value", INVALID_UPSTREAMS)
def test_an_invalid_upstream_entry_is_none(value):
    """Guards against sending requests to an entry without a valid address.

    An entry of another writer had a port that only looks like a number, or no
    slots. It is skipped; the other entries stay valid.
    """
    assert catalog.decode_upstream("u1", value) is None


@settings(max_examples=500, deadline=None, derandomize=True)
@given(value=records(CONFIGURATION))
def test_no_configuration_makes_the_decoder_raise(value):
    """A damaged configuration is skipped or decodes to values in range."""
    configuration = catalog.decode_configuration(value)
    if configuration is not None:
        assert 0 <= configuration.version < 2**63
        for route in configuration.routes:
            assert math.isfinite(route.timeout_s)


@settings(max_examples=500, deadline=None, derandomize=True)
@given(value=records(UPSTREAM))
def test_no_entry_makes_the_decoder_raise(value):
    """A damaged entry is skipped or decodes to values in range."""
    upstream = catalog.decode_upstream("u1", value)
    if upstream is not None:
        assert upstream.slots >= 1
        assert 0 <= upstream.born_ms < 2**63
        assert upstream.address.rpartition(":")[2].isdecimal()
