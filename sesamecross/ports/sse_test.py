"""Tests of the event splitter: the same events however bytes are cut."""

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from sesamecross.ports import sse

STREAM = (
    b'id: 1\ndata: {"a":1}\n\ndata: x\ndata: y\r\n\r\n'
    b": note\n\ndata: [DONE]\n\n"
)
EVENTS = [
    sse.Event(b'{"a":1}', b"1"),
    sse.Event(b"x\ny", b""),
    sse.Event(b"", b""),
    sse.Event(b"[DONE]", b""),
]


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.lists(st.integers(0, len(STREAM)), max_size=8))
def test_any_cuts_give_the_same_events(cuts):
    splitter = sse.Splitter()
    found = []
    places = [0, *sorted(cuts), len(STREAM)]
    for start, end in zip(places, places[1:], strict=False):
        found += splitter.feed(STREAM[start:end])
    assert found == EVENTS


def test_an_event_without_end_is_refused():
    splitter = sse.Splitter()
    with pytest.raises(sse.EventTooLarge):
        splitter.feed(b"data: " + b"x" * (sse.MAX_EVENT_BYTES + 1))
