"""Tests of what one instance knows of its way to an upstream."""

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
