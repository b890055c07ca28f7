"""Tests of which requests an instance accepts while it stops."""

import pytest

from sesamecross.core import serving
from sesamecross.ops.fleet import stopping

# The signal arrived at 100; all responses have to be complete by 107.4.
STOP = stopping.Stop(100.0, 107.4)
NO_ADAPTER = ""


def route(kind: serving.RouteKind, timeout_s: float) -> serving.Route:
    return serving.Route(
        "r",
        "h",
        "/",
        kind,
        (),
        1,
        1,
        timeout_s,
        0.5,
        0.25,
        False,
        kind is serving.RouteKind.STREAM,
    )


PLAIN = route(serving.RouteKind.AT_MOST_ONCE, 2.0)
STREAM = route(serving.RouteKind.STREAM, 12.0)
EMPTY = route(serving.RouteKind.AT_MOST_ONCE, 0.0)


@pytest.mark.parametrize(
    ("on_route", "tokens", "now_s", "expected"),
    [
        # The load balancer cannot know of the stop yet.
        (STREAM, 900, 102.0, True),
        (PLAIN, None, 102.0, True),
        # A plain request ends by its timeout.
        (PLAIN, None, 105.0, True),
        (PLAIN, None, 105.5, False),
        # Short streams end in time, long ones would be cut off.
        (STREAM, 24, 105.0, True),
        (STREAM, 300, 103.0, False),
        (STREAM, 24, 106.5, False),
        (EMPTY, None, 107.4, False),
    ],
)
def test_requests_that_end_before_the_kill_are_accepted(
    on_route, tokens, now_s, expected
):
    """Guards against refusals in a rolling restart by instances with time left.

    Two seconds after its signal an instance refused everything, while the load
    balancer kept sending to it because its neighbours stopped as well. An order
    takes 0.1 s, and five seconds were left.
    """
    call = None
    if tokens is not None:
        call = serving.ModelCall("m", NO_ADAPTER, 800, tokens, ())
    assert STOP.has_time_for(on_route, call, now_s) is expected


@pytest.mark.parametrize("now_s", [100.0, 101.0, 106.0])
def test_no_requests_are_accepted_once_the_stop_has_ended(now_s):
    """Guards against accepting requests that the end of the process cuts off.

    A stop with no requests left ended early, at 101 of 107.4 s. Requests were
    still accepted, as the load balancer could not know yet or time was left.
    """
    ended = STOP.ended(100.0)
    assert not ended.has_time_for(PLAIN, None, now_s)
