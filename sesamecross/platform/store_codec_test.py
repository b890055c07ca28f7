"""Tests of decoding responses of the store that are partly damaged."""

import json

import pytest

from sesamecross.platform import store_codec
from sesamecross.ports import store

CODEC = store_codec.StoreCodec()
DEEPLY_NESTED = b'{"x":' + b"[" * 100_000 + b"]" * 100_000 + b"}"
UNDAMAGED = store.KeyedRecord("b", b"a", 2)


@pytest.mark.parametrize("value", ["é", "YQ=", "a"])
def test_one_damaged_record_does_not_hide_the_others(value):
    """Guards against an instance that can't list upstreams and become ready.

    One invalid value made the decoder reject the whole page, at each attempt.
    """
    items = [
        {"key": "a", "offset": 1, "value": value},
        {"key": "b", "offset": 2, "value": "YQ=="},
    ]
    body = json.dumps({"items": items, "end": 3}, ensure_ascii=False)
    answer = CODEC.newest_answer(200, body.encode())
    assert isinstance(answer, store.NewestPage)
    assert [record.key for record in answer.records] == ["a", "b"]
    assert answer.records[1] == UNDAMAGED
    # The record is present, so that its key does not count as deleted.
    assert answer.records[0].value == b""


def test_a_deeply_nested_response_is_a_failure():
    """Guards against a response that fails the follower until it is given up.

    The decoder's RecursionError stopped the follower at each attempt.
    """
    assert isinstance(CODEC.newest_answer(200, DEEPLY_NESTED), store.NotDone)
    assert CODEC.read_answer(410, DEEPLY_NESTED, 5) == store.Expired(0)
    assert CODEC.append_answer(412, DEEPLY_NESTED) == store.Conflict(0)
