"""Tests of how the end of an engine's stream is understood."""

import asyncio

import pytest

from sesamecross.gateway import attempt as attempt_lib
from sesamecross.gateway import event_relay
from sesamecross.ops.fleet import retry_policy
from sesamecross.platform import http_codec

HEAD = [
    (b"request-id", b"r"),
    (b"response-signature", b"s"),
    (b"content-type", b"text/event-stream"),
]
CHUNKED = (b"transfer-encoding", b"chunked")
EVENT = b"id: 1\ndata: x\n\n"


class _ResponseWriter:
    is_started = False

    def begin_chunked(self, _status, _headers, _first) -> None:
        self.is_started = True

    def send_chunk(self, _data) -> None:
        pass


@pytest.mark.parametrize(
    ("framing", "body", "is_complete"),
    [
        ([], EVENT * 2, True),
        ([], EVENT + b"id: 2", False),
        ([], b"", False),
        ([CHUNKED], EVENT, True),
        ([CHUNKED], EVENT + b"id: 2", False),
        ([CHUNKED], b"", True),
    ],
)
def test_a_stream_that_ends_within_an_event_is_broken_off(
    framing, body, is_complete
):
    """Guards against a crash that passes for the end of a stream."""

    async def scenario() -> attempt_lib.Outcome:
        relay = event_relay.EventRelay(_ResponseWriter())
        attempt = attempt_lib.Attempt(
            asyncio.get_running_loop(),
            "r",
            "i-1",
            relay,
            http_codec.PlatformHttpCodec(),
            is_connection_used=False,
        )
        assert attempt.on_head(200, [*HEAD, *framing])
        if body:
            attempt.on_body(body)
        attempt.on_end()
        return await attempt.outcome_future

    outcome = asyncio.run(scenario())
    kind = attempt_lib.StreamCompleted if is_complete else retry_policy.Lost
    assert isinstance(outcome, kind)
