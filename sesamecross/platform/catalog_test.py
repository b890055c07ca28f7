"""Tests of records from the store that somebody else wrote, or damaged."""

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
    "slots": 4,
    "born": 1_700_000_000_000,
    "models": [{"name": "m", "adapters": ["a1@2"]}],
}
TOO_LARGE = 2**64
DEEP = b'{"x":' + b"[" * 100_000 + b"]" * 100_000 + b"}"

# Values that a field may get from another writer.
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
def damaged(draw, sound):
    """A sound record in which some fields are others, missing or added."""
    if isinstance(sound, dict):
        found = {}
        for key, value in sound.items():
            fate = draw(st.sampled_from(("keep", "keep", "go on", "odd", "no")))
            if fate == "keep":
                found[key] = value
            elif fate == "go on":
                found[key] = draw(damaged(value))
            elif fate == "odd":
                found[key] = draw(ODD)
        return found
    if isinstance(sound, list):
        return [draw(damaged(one)) for one in sound] * draw(st.integers(0, 3))
    return draw(ODD)


@st.composite
def cut(draw, sound):
    """The bytes of a sound record, cut and with one byte that is another."""
    data = bytearray(msgspec.json.encode(sound))
    data[draw(st.integers(0, len(data) - 1))] = draw(st.integers(0, 255))
    return bytes(data[: draw(st.integers(0, len(data)))])


def records(sound):
    """Records of all kinds: whole, damaged, cut, and no record at all."""
    return st.one_of(
        damaged(sound).map(_encode), cut(sound), st.binary(max_size=20)
    )


def _encode(value) -> bytes:
    return msgspec.json.encode(value)


def test_sound_records_are_taken():
    configuration = catalog.configuration(_encode(CONFIGURATION))
    assert configuration.version == 3
    assert configuration.routes[0].host == "h.example"
    assert configuration.limits.head_bytes == 100
    upstream = catalog.upstream("u1", _encode(UPSTREAM))
    assert (upstream.address, upstream.slots) == ("10.0.0.9:80", 4)
    assert upstream.models[0].adapters == {"a1"}


POISON_CONFIGURATIONS = [
    pytest.param(b"", id="empty"),
    pytest.param(b"[]", id="a list"),
    pytest.param(b"\xff\xfe", id="no text"),
    pytest.param(DEEP, id="nested deeply"),
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


@pytest.mark.parametrize("value", POISON_CONFIGURATIONS)
def test_a_configuration_that_cannot_be_held_is_none(value):
    """Instances ended 28 s after somebody wrote one damaged record.

    Its version did not fit the instances' own messages, and what sends these
    failed until it was given up. One nested deeply failed the reader, which
    went on behind it; eleven in half a minute ended the process as well.
    """
    assert catalog.configuration(value) is None


POISON_UPSTREAMS = [
    pytest.param(b"", id="empty"),
    pytest.param(b"[]", id="a list"),
    pytest.param(b"\xff\xfe", id="no text"),
    pytest.param(DEEP, id="nested deeply"),
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
        )
    ),
]


@pytest.mark.parametrize("value", POISON_UPSTREAMS)
def test_an_upstream_that_cannot_be_used_is_none(value):
    """Requests went to an entry whose address is none, and failed there.

    Another writer's entry had a port that only looks like a number, or no
    slots. It names no upstream to use; the others hold.
    """
    assert catalog.upstream("u1", value) is None


@settings(max_examples=500, deadline=None, derandomize=True)
@given(value=records(CONFIGURATION))
def test_no_configuration_makes_the_decoder_fail(value):
    """One damaged configuration must name nothing and hurt nothing."""
    found = catalog.configuration(value)
    if found is not None:
        assert 0 <= found.version < 2**63
        for route in found.routes:
            assert math.isfinite(route.timeout_s)


@settings(max_examples=500, deadline=None, derandomize=True)
@given(value=records(UPSTREAM))
def test_no_entry_makes_the_decoder_fail(value):
    """One damaged entry must name nothing and hurt nothing."""
    found = catalog.upstream("u1", value)
    if found is not None:
        assert found.slots >= 1
        assert 0 <= found.born_ms < 2**63
        assert found.address.rpartition(":")[2].isdecimal()
