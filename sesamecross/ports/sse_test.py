"""Tests of the event parser: the result does not depend on the chunks."""

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
def test_any_chunks_give_the_same_events(cuts):
    parser = sse.EventParser()
    events = []
    positions = [0, *sorted(cuts), len(STREAM)]
    for start, end in zip(positions, positions[1:], strict=False):
        events += parser.feed(STREAM[start:end])
    assert events == EVENTS


def test_an_event_without_end_is_rejected():
    parser = sse.EventParser()
    with pytest.raises(sse.EventTooLargeError):
        parser.feed(b"data: " + b"x" * (sse.MAX_EVENT_BYTES + 1))
