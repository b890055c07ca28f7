"""Load: a load balancer hands most new connections to one instance.

The event loop is simulated: each turn reads all connections that have come
since the turn before, and takes as long as their requests cost.
"""

import dataclasses
import random

import pytest

from sesamecross.ops.fleet import connection_shedder

READ_S = 0.004
SHED_S = 0.0001
TURN_S = 0.1
FROM_S, END_S = 8.0, 30.0
# Callers leave connections whose request was not read by then.
PATIENCE_S = 1.0


@dataclasses.dataclass(slots=True)
class Result:
    """What callers met after the first seconds.

    Attributes:
      worst_s: The longest time until a request was read.
      read, shed: Connections.
    """

    worst_s: float = 0.0
    read: int = 0
    shed: int = 0


def play(
    rate: float,
    limited: bool = True,
    frozen_s: float = 0.0,
    slow: float = 1.0,
    from_s: float = FROM_S,
) -> Result:
    """Plays connections at a rate, once of them at a suspended instance."""
    shedder = connection_shedder.ConnectionShedder()
    rng = random.Random(1)
    result = Result()
    at_s, now_s, last_s = 0.0, 0.0, 0.0
    while now_s < END_S:
        if frozen_s and now_s >= END_S / 2:
            now_s += frozen_s
            frozen_s = 0.0
        shedder.record_turn(max(0.0, now_s - last_s - TURN_S))
        last_s = begun_s = now_s
        admitted = []
        while at_s <= begun_s:
            number = shedder.admit(now_s)
            is_shed = number is None and limited
            now_s += SHED_S * slow
            result.shed += is_shed and begun_s > from_s
            if not is_shed:
                admitted.append((number, at_s))
            at_s += rng.expovariate(rate)
        for number, arrived_s in admitted:
            shedder.end_wait(number)
            now_s += READ_S * slow
            if begun_s > from_s:
                result.read += 1
                result.worst_s = max(result.worst_s, now_s - arrived_s)
        now_s = max(now_s, last_s + TURN_S)
    return result


@pytest.mark.parametrize("slow", [1.0, 5.0])
@pytest.mark.parametrize("times", [1.5, 3.0, 8.0])
def test_most_connections_of_a_zone_at_one_instance_are_read_in_time(
    times, slow
):
    """Guards against requests that are read after their callers left."""
    capacity = 1 / (READ_S * slow)
    result = play(times * capacity, slow=slow)
    assert result.worst_s < PATIENCE_S
    assert result.read > 0.6 * capacity * (END_S - FROM_S)
    unlimited = play(times * capacity, False, slow=slow, from_s=0.0)
    assert unlimited.worst_s > PATIENCE_S


@pytest.mark.parametrize("share", [0.2, 0.8])
def test_an_instance_that_keeps_up_reads_all_connections(share):
    """Guards against closing connections that could be read."""
    assert play(share / READ_S).shed == 0


def test_an_instance_that_was_suspended_reads_all_connections():
    """Guards against taking one late turn for a lack of processor time."""
    assert play(0.4 / READ_S, frozen_s=1.0).shed == 0


def test_idle_connections_take_no_place():
    """Guards against callers that connect and send nothing."""
    shedder = connection_shedder.ConnectionShedder()
    for _ in range(connection_shedder.MAX_UNREAD):
        assert shedder.admit(0.0) is not None
    assert shedder.admit(1.0) is None
    assert shedder.admit(connection_shedder.IDLE_AFTER_S) is not None


def test_silent_connections_take_no_place_once_the_loop_has_read_them():
    """Guards against a crowd that connects, says nothing and keeps others out.

    Half a second at most, at the loop's usual pace.
    """
    shedder = connection_shedder.ConnectionShedder()
    for _ in range(connection_shedder.MAX_UNREAD):
        assert shedder.admit(0.0) is not None
    for turn in range(connection_shedder.IDLE_AFTER_TURNS + 1):
        assert shedder.admit(0.1 * turn) is None
        shedder.record_turn(0.0)
    assert shedder.admit(0.3) is not None
