"""Tests of the log lines on upstreams that can't be reached."""

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
