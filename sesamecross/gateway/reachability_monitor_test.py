"""Tests of the log lines on upstreams that can't be reached."""

import types

import pytest
import structlog

from sesamecross.core import serving
from sesamecross.fakes import samples
from sesamecross.gateway import reachability_monitor
from sesamecross.gateway import state as state_lib
from sesamecross.ops.fleet import reachability

ENTRY = serving.Upstream("u1", "s", "10.0.0.1:80", "z1", 8, False, 1)


def test_each_change_is_logged_once_with_what_peers_see():
    """Guards against refusals whose log does not tell a crash from a cut."""
    state = state_lib.State(samples.INSTANCE)
    state.directory.update_entry(ENTRY)
    known = state.directory.get("u1")
    known.others_reachability = reachability.ReachabilityCounts(hears=3)
    with structlog.testing.capture_logs() as lines:
        monitor = reachability_monitor.ReachabilityMonitor(state, None, None)
        monitor.check(10.0)
        known.reachability.record_timeout(10.2)
        monitor.check(10.5)
        monitor.check(11.0)
        known.reachability.record_contact(11.2)
        monitor.check(11.5)
        monitor.check(12.0)
    assert [(line["event"], line["upstream"]) for line in lines] == [
        ("upstream unreachable", "u1"),
        ("upstream reachable", "u1"),
    ]
    assert (lines[0]["state"], lines[0]["peers_hear"]) == ("silent", 3)
    assert lines[1]["after_s"] == 1.0


@pytest.mark.parametrize(
    ("others", "is_silent", "expected"),
    [
        (reachability.ReachabilityCounts(hears=3), False, []),
        (reachability.ReachabilityCounts(silent=1), False, ["me"]),
        (reachability.ReachabilityCounts(refused=1), False, ["me"]),
        (reachability.ReachabilityCounts(hears=1), True, ["me"]),
    ],
)
def test_upstreams_are_verified_only_while_one_may_be_suspected(
    others, is_silent, expected
):
    """Guards against looking for suspects in detail twice a second.

    And against one that is never verified, or whose past checks count again.
    """
    state = state_lib.State(samples.INSTANCE)
    state.directory.update_entry(ENTRY)
    known = state.directory.get("u1")
    known.others_reachability = others
    known.reachability.record_connected(9.9)
    if is_silent:
        known.reachability.streaming = 1
        known.reachability.record_contact(9.0)
    calls = []
    connector = types.SimpleNamespace(
        verify_suspected=lambda names, me: calls.append("me")
    )
    me = samples.MEMBER
    roster = types.SimpleNamespace(me=me, alive=lambda now_s: [])
    mesh = types.SimpleNamespace(roster=roster)
    monitor = reachability_monitor.ReachabilityMonitor(state, mesh, connector)
    monitor._verify(10.0)
    assert calls == expected
    known.others_reachability = reachability.ReachabilityCounts()
    known.reachability.streaming = 0
    for _ in range(3):
        monitor._verify(10.5)
    # Once more, so that the checks of the last suspect are forgotten.
    assert calls == expected * 2
