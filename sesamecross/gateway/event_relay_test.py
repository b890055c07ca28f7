"""Tests of streams that are passed on, broken off and resumed."""

import asyncio

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from sesamecross.gateway import event_relay

SIGNATURE = b"x-signature"


class _Exchange:
    """A caller's answer, as it would arrive."""

    def __init__(self) -> None:
        self.is_begun = False
        self.is_ended = False
        self.headers: list[tuple[bytes, bytes]] = []
        self.received = b""

    def begin(self, status, headers, first) -> None:
        assert not self.is_begun
        self.is_begun = True
        self.headers = headers
        self.received += first

    def piece(self, data) -> None:
        assert self.is_begun
        assert not self.is_ended
        self.received += data

    def end(self) -> None:
        assert not self.is_ended
        self.is_ended = True

    def whole(self, status, headers, body) -> None:
        self.begin(status, headers, body)
        self.end()


def event(number: int) -> bytes:
    return b"id: %d\ndata: piece %d\n\n" % (number, number)


def run_from(last_id: str, count: int) -> bytes:
    """Returns what an upstream sends that goes on behind an event."""
    start = int(last_id) + 1 if last_id else 1
    return b"".join(event(number) for number in range(start, count + 1))


RUNS = st.lists(
    st.tuples(
        # Where the run breaks off, as a share of its bytes, and the size of
        # the pieces in which it arrives.
        st.floats(0.0, 1.0),
        st.integers(1, 40),
    ),
    max_size=6,
)


@settings(max_examples=300, deadline=None, derandomize=True)
@given(runs=RUNS, count=st.integers(1, 12))
def test_a_resumed_stream_has_each_event_once_and_in_order(runs, count):
    """A caller got half an event twice after its engine had died.

    Upstreams break off at any byte, also in the middle of an event; the next
    run goes on behind the last whole event.
    """

    async def play():
        response_writer = _Exchange()
        relay = event_relay.EventRelay(response_writer)
        for number, (share, size) in enumerate(runs):
            data = run_from(relay.last_id, count)
            data = data[: int(len(data) * share)]
            relay.begin_run(200, ((SIGNATURE, b"run %d" % number),))
            for i in range(0, len(data), size):
                relay.feed(data[i : i + size])
        relay.begin_run(200, ((SIGNATURE, b"last"),))
        relay.feed(run_from(relay.last_id, count))
        relay.finish()
        return response_writer, relay

    response_writer, relay = asyncio.run(play())
    assert response_writer.received == run_from("", count)
    assert response_writer.is_ended
    assert relay.events == count
    # All of it bears one head: that of the run whose events came first.
    assert len(response_writer.headers) == 1


@pytest.mark.parametrize(
    ("pieces", "received", "is_between"),
    [
        ([event(1) + b"id: 2\nda"], event(1), False),
        ([b"id: 1\nda"], b"", False),
        ([event(1), event(2)], event(1) + event(2), True),
        ([event(1)[:-1], b"\n"], event(1), True),
    ],
)
def test_only_whole_events_are_passed_on(pieces, received, is_between):
    async def play():
        response_writer = _Exchange()
        relay = event_relay.EventRelay(response_writer)
        relay.begin_run(200, ())
        for piece in pieces:
            relay.feed(piece)
        return response_writer, relay

    response_writer, relay = asyncio.run(play())
    assert response_writer.received == received
    assert relay.is_between_events is is_between


def test_an_event_without_end_is_not_kept_for_ever():
    """An upstream sent bytes without a line end until memory was gone."""

    async def play():
        relay = event_relay.EventRelay(_Exchange())
        relay.begin_run(200, ())
        with pytest.raises(event_relay.InvalidEvent):
            for _ in range(10_000):
                relay.feed(b"x" * 1024)

    asyncio.run(play())
