"""Tests of streams that are forwarded, interrupted and resumed."""

import asyncio

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from sesamecross.gateway import event_relay

SIGNATURE_HEADER = b"x-signature"


class _FakeResponseWriter:
    """Records the response as the caller would receive it."""

    def __init__(self) -> None:
        self.is_started = False
        self.is_ended = False
        self.headers: list[tuple[bytes, bytes]] = []
        self.received = b""

    def begin_chunked(self, status, headers, first) -> None:
        assert not self.is_started
        self.is_started = True
        self.headers = headers
        self.received += first

    def send_chunk(self, data) -> None:
        assert self.is_started
        assert not self.is_ended
        self.received += data

    def end_chunked(self) -> None:
        assert not self.is_ended
        self.is_ended = True

    def send_response(self, status, headers, body) -> None:
        self.begin_chunked(status, headers, body)
        self.end_chunked()


def event(number: int) -> bytes:
    return b"id: %d\ndata: piece %d\n\n" % (number, number)


def events_after(last_event_id: str, count: int) -> bytes:
    """Returns the data of an upstream that resumes after an event."""
    start = int(last_event_id) + 1 if last_event_id else 1
    return b"".join(event(number) for number in range(start, count + 1))


ATTEMPTS = st.lists(
    st.tuples(
        # The share of its bytes after which the attempt breaks off, and the
        # size of the segments in which they arrive.
        st.floats(0.0, 1.0),
        st.integers(1, 40),
    ),
    max_size=6,
)


@settings(max_examples=300, deadline=None, derandomize=True)
@given(attempts=ATTEMPTS, count=st.integers(1, 12))
def test_a_resumed_stream_has_each_event_once_and_in_order(attempts, count):
    """A caller got half an event twice after its engine had failed.

    Upstreams can break off at any byte, also in the middle of an event; the
    next attempt resumes after the last complete event.
    """

    async def run_scenario():
        response_writer = _FakeResponseWriter()
        relay = event_relay.EventRelay(response_writer)
        for number, (share, size) in enumerate(attempts):
            data = events_after(relay.last_event_id, count)
            data = data[: int(len(data) * share)]
            relay.begin_stream(200, ((SIGNATURE_HEADER, b"run %d" % number),))
            for i in range(0, len(data), size):
                relay.feed(data[i : i + size])
        relay.begin_stream(200, ((SIGNATURE_HEADER, b"last"),))
        relay.feed(events_after(relay.last_event_id, count))
        relay.finish()
        return response_writer, relay

    response_writer, relay = asyncio.run(run_scenario())
    assert response_writer.received == events_after("", count)
    assert response_writer.is_ended
    assert relay.event_count == count
    # There is one head: that of the first attempt with events.
    assert len(response_writer.headers) == 1


@pytest.mark.parametrize(
    ("pieces", "received", "at_boundary"),
    [
        ([event(1) + b"id: 2\nda"], event(1), False),
        ([b"id: 1\nda"], b"", False),
        ([event(1), event(2)], event(1) + event(2), True),
        ([event(1)[:-1], b"\n"], event(1), True),
    ],
)
def test_only_complete_events_are_forwarded(pieces, received, at_boundary):
    async def run_scenario():
        response_writer = _FakeResponseWriter()
        relay = event_relay.EventRelay(response_writer)
        relay.begin_stream(200, ())
        for piece in pieces:
            relay.feed(piece)
        return response_writer, relay

    response_writer, relay = asyncio.run(run_scenario())
    assert response_writer.received == received
    assert relay.is_at_event_boundary is at_boundary


def test_an_unterminated_event_is_not_buffered_without_limit():
    """An upstream sent bytes without a line end until memory ran out."""

    async def run_scenario():
        relay = event_relay.EventRelay(_FakeResponseWriter())
        relay.begin_stream(200, ())
        with pytest.raises(event_relay.InvalidEvent):
            for _ in range(10_000):
                relay.feed(b"x" * 1024)

    asyncio.run(run_scenario())
