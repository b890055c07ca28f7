"""Tests of what one instance knows of its way to an upstream."""

import itertools
import math

import pytest

from sesamecross.ops.fleet import reachability

State = reachability.State


def one_contact(known: reachability.Reachability) -> None:
    known.record_contact(9.5)


def contact_then_loss(known: reachability.Reachability) -> None:
    known.record_contact(9.5)
    known.record_loss(9.6)


def contact_after_loss(known: reachability.Reachability) -> None:
    known.record_loss(9.4)
    known.record_contact(9.5)


def loss_among_streams(known: reachability.Reachability) -> None:
    known.streaming = 2
    contact_then_loss(known)


def refusal_after_contact(known: reachability.Reachability) -> None:
    known.record_contact(9.4)
    known.record_refusal(9.5)


def contact_after_refusal(known: reachability.Reachability) -> None:
    known.record_refusal(9.4)
    known.record_contact(9.5)


def accepted_after_timeout(known: reachability.Reachability) -> None:
    known.record_timeout(9.4)
    known.record_connected(9.5)


@pytest.mark.parametrize(
    ("events", "state", "is_path_failing"),
    [
        (one_contact, State.HEARS, False),
        # A crash breaks all connections: nobody hears the upstream any more.
        (contact_then_loss, State.UNKNOWN, False),
        (contact_after_loss, State.HEARS, False),
        (loss_among_streams, State.UNKNOWN, False),
        (refusal_after_contact, State.REFUSED, True),
        # Open connections live on while new ones fail.
        (contact_after_refusal, State.HEARS, True),
        (accepted_after_timeout, State.UNKNOWN, False),
    ],
)
def test_open_connections_and_new_ones_are_judged_apart(
    events, state, is_path_failing
):
    known = reachability.Reachability()
    events(known)
    assert known.state(10.0) is state
    assert known.is_path_failing(10.0) is is_path_failing


def test_probes_of_a_failing_path_are_spaced():
    """Guards against one connection attempt for each request of a cut."""
    known = reachability.Reachability()
    known.record_timeout(5.0)
    times_s = [5.0 + step * 0.1 for step in range(1, 50)]
    probes = [at_s for at_s in times_s if known.take_probe(at_s)]
    assert len(probes) == 4


def expected_state(known: reachability.Reachability, now_s: float) -> State:
    """Returns the state without the short cut for what is long past."""
    if known._is_current(known._refused_s, now_s):
        return State.REFUSED
    if known._is_quiet(now_s) or known._is_current(known._silent_s, now_s):
        return State.SILENT
    return State.HEARS if known._hears(now_s) else State.UNKNOWN


MOMENTS_S = (-math.inf, 0.0, 7.9, 8.4, 8.5, 8.9, 9.1, 9.5, 10.0)


@pytest.mark.parametrize("streaming", [0, 1])
def test_what_is_long_past_gives_the_same_state_at_less_cost(streaming):
    """Guards against a short cut that hides a failure or a contact."""
    for times_s in itertools.product(MOMENTS_S, repeat=4):
        known = reachability.Reachability(streaming, times_s[0])
        known._silent_s, known._refused_s, known._lost_s = times_s[1:]
        assert known.state(10.0) is expected_state(known, 10.0), times_s
