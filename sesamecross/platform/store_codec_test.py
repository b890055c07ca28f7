"""Tests of the store's answers where one record of them is damaged."""

import json

import pytest

from sesamecross.platform import store_codec
from sesamecross.ports import store

CODEC = store_codec.StoreCodec()
DEEP = b'{"x":' + b"[" * 100_000 + b"]" * 100_000 + b"}"
SOUND = store.KeyedRecord("b", b"a", 2)


@pytest.mark.parametrize("value", ["é", "YQ=", "a"])
def test_one_damaged_record_does_not_hide_the_others(value):
    """An instance never became ready: it could not list the upstreams.

    One value of the list was not what it should be, and the whole page was
    taken for no answer, at each try.
    """
    items = [
        {"key": "a", "offset": 1, "value": value},
        {"key": "b", "offset": 2, "value": "YQ=="},
    ]
    body = json.dumps({"items": items, "end": 3}, ensure_ascii=False)
    answer = CODEC.newest_answer(200, body.encode())
    assert isinstance(answer, store.NewestPage)
    assert [one.key for one in answer.records] == ["a", "b"]
    assert answer.records[1] == SOUND
    # It is there, so that its key does not count as dropped.
    assert answer.records[0].value == b""


def test_an_answer_that_is_nested_deeply_is_no_answer():
    """The follower failed again and again on one answer, and was given up."""
    assert isinstance(CODEC.newest_answer(200, DEEP), store.NotDone)
    assert CODEC.read_answer(410, DEEP, 5) == store.Expired(0)
    assert CODEC.append_answer(412, DEEP) == store.Conflict(0)
