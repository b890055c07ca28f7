"""Tests of which upstreams may receive new requests."""

import msgspec
import pytest

from sesamecross.core import serving
from sesamecross.ops.fleet import directory as directory_lib
from sesamecross.ops.fleet import reachability

DRAIN_S = 2.5
ENTRY = serving.Upstream("u1", "s", "10.0.0.1:80", "z1", 8, False, 1)
LEAVING = msgspec.structs.replace(ENTRY, is_leaving=True)


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
        ([LEAVING, msgspec.structs.replace(ENTRY, born_ms=2)], ["u1"]),
        ([msgspec.structs.replace(ENTRY, born_ms=2), LEAVING], ["u1"]),
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
    other = msgspec.structs.replace(ENTRY, instance_id="u2")
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
    """Guards against sound upstreams suspected for a partitioned instance."""
    known = directory_lib.KnownUpstream(ENTRY, others_reachability=counts)
    assert known.is_down(10.0) is is_down


def directory_of(*names: str) -> directory_lib.Directory:
    directory = directory_lib.Directory(DRAIN_S)
    for name in names:
        directory.update_entry(msgspec.structs.replace(ENTRY, instance_id=name))
    return directory


HEARD = reachability.ReachabilityCounts(hears=2)
SILENT = reachability.ReachabilityCounts(silent=1)
UNKNOWN = reachability.ReachabilityCounts()
NOW_S = 10.0


def timed_out(known: directory_lib.KnownUpstream) -> None:
    known.reachability.record_timeout(NOW_S - 0.5)


def timed_out_long_ago(known: directory_lib.KnownUpstream) -> None:
    known.reachability.record_timeout(NOW_S - 5.0)


def refused_while_a_stream_lives(known: directory_lib.KnownUpstream) -> None:
    known.reachability.record_refusal(NOW_S - 0.5)
    known.reachability.record_contact(NOW_S - 0.1)


def streams_fell_silent(known: directory_lib.KnownUpstream) -> None:
    known.reachability.streaming = 2
    known.reachability.record_contact(NOW_S - 1.5)


def reconnected_after_silence(known: directory_lib.KnownUpstream) -> None:
    streams_fell_silent(known)
    known.reachability.record_connected(NOW_S - 0.2)


def answers(known: directory_lib.KnownUpstream) -> None:
    known.reachability.record_contact(NOW_S - 0.2)


def fails_requests(known: directory_lib.KnownUpstream) -> None:
    for _ in range(5):
        known.health.record_failure(NOW_S)


@pytest.mark.parametrize(
    ("events", "others", "is_isolated", "access"),
    [
        (answers, UNKNOWN, False, "DIRECT"),
        (timed_out, HEARD, False, "VIA_PEER"),
        # A failing path stays failing until a connection is accepted.
        (timed_out_long_ago, HEARD, False, "VIA_PEER"),
        (refused_while_a_stream_lives, HEARD, False, "VIA_PEER"),
        (streams_fell_silent, HEARD, False, "VIA_PEER"),
        # Open connections may fall silent for good while new ones work.
        (reconnected_after_silence, HEARD, False, "DIRECT"),
        # Nobody says that it lives: it may have crashed.
        (timed_out, UNKNOWN, False, "UNCERTAIN"),
        (timed_out, SILENT, False, "NONE"),
        (timed_out_long_ago, UNKNOWN, False, "DIRECT"),
        (answers, SILENT, False, "DIRECT"),
        (lambda _: None, SILENT, False, "UNCERTAIN"),
        # An isolated instance takes its own failures for no evidence.
        (timed_out, UNKNOWN, True, "VIA_PEER"),
        (lambda _: None, UNKNOWN, True, "VIA_PEER"),
        (answers, UNKNOWN, True, "DIRECT"),
        (fails_requests, HEARD, False, "NONE"),
    ],
)
def test_how_an_upstream_can_be_sent_a_request(
    events, others, is_isolated, access
):
    known = directory_lib.KnownUpstream(ENTRY, others_reachability=others)
    events(known)
    assert known.access(NOW_S, is_isolated).name == access


@pytest.mark.parametrize(
    ("events", "is_isolated"),
    [
        ((timed_out, timed_out, lambda _: None), True),
        ((timed_out, refused_while_a_stream_lives, timed_out), False),
        ((timed_out, timed_out, answers), False),
        # Two crashes among upstreams that answer, or one alone.
        ((timed_out, timed_out, reconnected_after_silence), False),
        ((timed_out, lambda _: None, lambda _: None), False),
        ((streams_fell_silent, streams_fell_silent, timed_out), True),
    ],
)
def test_an_instance_that_reaches_no_upstream_is_isolated(events, is_isolated):
    directory = directory_of("u1", "u2", "u3")
    for known, event in zip(directory, events, strict=True):
        event(known)
    assert directory.is_isolated(NOW_S) is is_isolated


def test_reachable_upstreams_go_before_uncertain_ones():
    """Guards against no send at all when every upstream is uncertain."""
    directory = directory_of("u1", "u2", "u3")
    one, two, three = directory
    for known in (one, two):
        known.others_reachability = SILENT
    timed_out(two)
    candidates = [one, two, three]
    assert directory.best_access(candidates, NOW_S) == [three]
    assert directory.best_access([one, two], NOW_S) == [one]
    assert directory.best_access([two], NOW_S) == []


@pytest.mark.parametrize(
    ("event", "count"), [(timed_out, 1), (timed_out_long_ago, 0), (answers, 0)]
)
def test_only_recent_failures_make_an_upstream_unreachable(event, count):
    """Guards against one old failure that keeps a peer from being asked."""
    directory = directory_of("u1", "u2")
    one, two = directory
    one.others_reachability = HEARD
    event(one)
    answers(two)
    assert directory.unreachable_count(NOW_S) == count
