"""Tests of which upstreams may receive new requests."""

import dataclasses

import pytest

from sesamecross.core import serving
from sesamecross.ops.fleet import directory as directory_lib
from sesamecross.ops.fleet import reachability

DRAIN_S = 2.5
ENTRY = serving.Upstream("u1", "s", "10.0.0.1:80", "z1", 8, False, 1)
LEAVING = dataclasses.replace(ENTRY, is_leaving=True)


def names(upstreams) -> list[str]:
    return [upstream.entry.instance_id for upstream in upstreams]


def test_a_leaving_upstream_no_longer_gets_requests_chosen_before():
    """Guards against a send to an engine that announced its leave 3 s before.

    The engine was chosen in time, but the request then waited 1.7 s for its
    turn and was sent without another check.
    """
    directory = directory_lib.Directory(DRAIN_S)
    directory.update_entry(ENTRY)
    known = directory.get("u1")
    assert directory.may_receive(known, 1.0)
    directory.update_entry(LEAVING)
    assert names(directory.usable("s", 1.0)) == []
    assert not directory.may_receive(known, 1.0)


@pytest.mark.parametrize(
    ("entries", "usable"),
    [
        ([ENTRY], ["u1"]),
        ([ENTRY, LEAVING], []),
        # An older entry that arrives late does not make it usable again.
        ([LEAVING, ENTRY], []),
        # Another incarnation under the same id is another upstream.
        ([LEAVING, dataclasses.replace(ENTRY, born_ms=2)], ["u1"]),
        ([dataclasses.replace(ENTRY, born_ms=2), LEAVING], ["u1"]),
    ],
)
def test_leaving_is_never_reset_within_one_incarnation(entries, usable):
    directory = directory_lib.Directory(DRAIN_S)
    for entry in entries:
        directory.update_entry(entry)
    assert names(directory.usable("s", 0.1)) == usable


def test_entries_that_lapse_in_an_outage_are_used_as_a_last_resort():
    """Guards against refusing every request when a store outage lapses all."""
    directory = directory_lib.Directory(DRAIN_S)
    other = dataclasses.replace(ENTRY, instance_id="u2")
    directory.update_entry(ENTRY)
    directory.update_entry(other)
    directory.lapsed("u1", 1.0)
    assert names(directory.usable("s", 1.1)) == ["u2"]
    directory.lapsed("u2", 1.2)
    assert names(directory.usable("s", 1.3)) == ["u1", "u2"]
    assert names(directory.usable("s", 1.2 + DRAIN_S)) == []
    assert len(directory.remove_lapsed(1.2 + DRAIN_S)) == 2


@pytest.mark.parametrize(
    ("counts", "is_down"),
    [
        # One instance is behind a partition; the others get responses.
        (reachability.ReachabilityCounts(hears=3, refused=1), False),
        (reachability.ReachabilityCounts(hears=3, silent=2, refused=2), False),
        # Nobody gets responses.
        (reachability.ReachabilityCounts(refused=1), True),
        (reachability.ReachabilityCounts(silent=1), True),
    ],
)
def test_an_upstream_that_others_hear_is_not_down(counts, is_down):
    """Guards against a partitioned instance that accuses sound upstreams."""
    known = directory_lib.KnownUpstream(ENTRY, others_reachability=counts)
    assert known.is_down(10.0) is is_down
