"""Tests of the message codec: round trips, and rejection of invalid bytes."""

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import msgpack
from returns.result import Failure
from returns.result import Success

from sesamecross.core import codec
from sesamecross.core import data
from sesamecross.core import messages
from sesamecross.core import records

CLAIM = records.ClaimMade(
    "c", "caller", "key", "orders", "d", data.Incarnation("i", "s")
)
RECORDS = [
    CLAIM,
    records.ClaimSettled("c", True, data.Answer(200, "t", b"\x00\xff")),
    records.ConfigPublished("x", 1, "me", 1, {"a": {"b": [1, 2]}}, "d"),
    records.LeaseTaken("z", data.Incarnation("i", "s"), 7),
    messages.ClaimReply("r", None),
    messages.ClaimReply(
        "r", data.ClaimVerdict(data.ClaimState.WON, "c", "i", None)
    ),
]


def test_records_round_trip():
    for record in RECORDS:
        assert codec.decode(codec.encode(record)) == Success(record)


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.binary(max_size=200))
def test_random_bytes_give_a_failure_and_no_exception(blob):
    assert isinstance(codec.decode(blob), Failure)


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.integers(0, 400), st.integers(0, 255))
def test_one_changed_byte_never_raises(position, value):
    blob = bytearray(codec.encode(CLAIM))
    blob[position % len(blob)] = value
    codec.decode(bytes(blob))


def test_wrong_field_type_is_refused():
    plain = codec.to_plain(CLAIM)
    plain[1]["key"] = 5
    blob = msgpack.packb(plain)
    assert "ClaimMade" in str(codec.decode(blob).failure())
