"""Tests of who polls the store, and when the others fetch records."""

import pytest

from sesamecross.ops.fleet import store_polling


def test_members_read_for_themselves_if_their_hub_makes_no_progress():
    """Guards against a request to an engine 3.8 s after it announced its leave.

    The store stopped answering one instance in each zone, the three hubs. They
    kept sending datagrams to their zones, so no other instance read the store,
    and none learned that the engine was leaving.
    """
    hub = store_polling.HubProgress()
    for step in range(20):
        hub.record_position("hub", step, step * 0.1)
        assert not hub.is_stalled(step * 0.1)
    # It keeps sending datagrams, but reads nothing more.
    for step in range(20, 40):
        hub.record_position("hub", 19, step * 0.1)
    assert hub.is_stalled(4.0)
    hub.record_position("hub", 25, 4.1)
    assert not hub.is_stalled(4.2)


def test_members_read_for_themselves_if_they_hear_of_no_hub():
    """Guards against an instance that starts while its hub is cut off.

    It has listed the upstreams, so it waits as long as for a hub that stalls:
    all instances that started read the store until their hub's first view.
    """
    hub = store_polling.HubProgress()
    assert not hub.is_stalled(7.0)
    assert not hub.is_stalled(7.0 + store_polling.STALL_TIMEOUT_S)
    assert hub.is_stalled(7.1 + store_polling.STALL_TIMEOUT_S)


def test_a_new_hub_is_not_stalled_at_first():
    hub = store_polling.HubProgress()
    hub.record_position("one", 19, 0.0)
    hub.record_position("two", 17, 2.0)
    assert not hub.is_stalled(2.1)


def test_being_slightly_behind_all_the_time_is_no_lag():
    """Guards against a reader, always slightly behind, that always fetches."""
    lag = store_polling.Lag()
    for step in range(100):
        now_s = step * 0.1
        mine, best = (1, step), (1, step + 2)
        assert (
            lag.duration_s(mine, best, now_s)
            < store_polling.MEMBER_FETCH_DELAY_S
        )


def test_a_record_that_stays_missing_is_a_lag_though_others_arrive():
    lag = store_polling.Lag()
    lag.duration_s((1, 5), (1, 6), 0.0)
    assert lag.duration_s((1, 5), (1, 40), 2.0) == 2.0
    # The upstreams are known by now, but a configuration is missing.
    assert lag.duration_s((1, 40), (2, 40), 2.1) == 0.0
    assert lag.duration_s((1, 60), (2, 60), 3.1) == pytest.approx(1.0)
    assert lag.duration_s((2, 60), None, 3.2) == 0.0
    assert lag.duration_s((2, 60), (2, 61), 9.0) == 0.0
