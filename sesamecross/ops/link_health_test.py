"""Tests of when an entry takes itself for cut off."""

import pytest

from sesamecross.ops import link_health


@pytest.mark.parametrize(
    ("events", "now_ms", "has_failed", "is_cut_off"),
    [
        pytest.param([], 0, False, False, id="nothing tried"),
        pytest.param([("a", 0, False)], 1, True, True, id="one failed"),
        pytest.param(
            [("a", 0, True), ("b", 1, False)], 2, True, True, id="none since"
        ),
        pytest.param(
            [("a", 0, False), ("b", 1, True)],
            2,
            True,
            False,
            id="another one answers",
        ),
        pytest.param(
            [("a", 0, False), ("a", 1, True)], 2, False, False, id="it is back"
        ),
        pytest.param(
            [("a", 0, False)],
            link_health.FAILURE_TTL_MS,
            False,
            False,
            id="long ago",
        ),
    ],
)
def test_an_entry_is_cut_off_if_no_connection_succeeds(
    events, now_ms, has_failed, is_cut_off
):
    """Guards against a crashed upstream that is taken for a cut."""
    health = link_health.LinkHealth()
    for upstream, at_ms, is_reached in events:
        if is_reached:
            health.record_contact(upstream, at_ms)
        else:
            health.record_failure(upstream, at_ms)
    assert health.has_failed(now_ms) is has_failed
    assert health.is_cut_off(now_ms) is is_cut_off


def test_one_call_in_a_second_tries_the_own_links():
    """Guards against an entry that never finds its links again."""
    health = link_health.LinkHealth()
    health.record_failure("a", 5000)
    probes = [now for now in range(5000, 9000, 100) if health.take_probe(now)]
    assert probes == [6000, 7000, 8000]
