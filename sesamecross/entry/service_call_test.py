"""Tests of calls to plain services while declarations change."""

import random

import pytest

from sesamecross.core import clock
from sesamecross.core import data
from sesamecross.core import records
from sesamecross.core import refusal
from sesamecross.entry import service_call
from sesamecross.entry import state as state_lib
from sesamecross.ops import timeline
from sesamecross.parser import declarations

URLS = {
    "a": "http://127.0.0.1:1",
    "b": "http://127.0.0.1:2",
    "other": "http://127.0.0.1:3",
}
CALLER = data.Caller("shop", "", "z", (), ("*",))
ANSWER = data.Answer(200, "text/plain", b"done")


def snapshot(upstreams):
    tree = {
        "regions": {"r": {}},
        "zones": {"z": {"region": "r"}},
        "upstreams": {
            name: {"kind": "service", "zone": "z", "url": URLS[name]}
            for name in ("other", *upstreams)
        },
        "services": {"orders": {"upstreams": upstreams or ["other"]}},
    }
    if not upstreams:
        del tree["services"]
    parsed = declarations.parse(tree)
    assert parsed.declarations is not None, parsed
    return state_lib.Snapshot(1, parsed.declarations, {}, frozenset(), True)


class Link:
    """Lets a new view come while a claim is decided."""

    def __init__(self, state, after):
        self._state = state
        self._after = after
        self.settled = []

    def claim(self, claim):
        self._state._snapshot = self._after
        return data.ClaimVerdict(data.ClaimState.WON, claim.claim_id)

    def settle(self, settled):
        self.settled.append(settled)


class Services:
    """Answers every call and notes where it went."""

    def __init__(self):
        self.urls = []

    def call(self, call, _idempotent):
        self.urls.append(call.url)
        return ANSWER


@pytest.mark.parametrize(
    ("after", "urls", "executed"),
    [([], [], False), (["b"], [URLS["b"]], True)],
    ids=["service removed", "upstream replaced"],
)
def test_a_claimed_call_outlives_a_change_of_its_service(after, urls, executed):
    """An order was cut off, and its key was held as in progress for ever.

    Its claim had just been won when a configuration removed the upstream that
    the service had when the order arrived. The choice stumbled over the name,
    and the error left the claim unsettled. The newest declaration is asked
    now, and names that it lacks are passed over.
    """
    recorder = timeline.Recorder("e", "z", clock.ManualClock(1000))
    state = state_lib.EntryState(recorder)
    state._snapshot = snapshot(["a"])
    link = Link(state, snapshot(after))
    services = Services()
    dispatcher = service_call.ServiceDispatcher(
        "z",
        state,
        link,
        services,
        clock.ManualClock(1000),
        recorder,
        random.Random(1),
    )
    service = state.snapshot.declarations.services["orders"]
    outcome = dispatcher.call(
        service_call.ServiceRequest(
            "call", CALLER, service, "POST", "/", (), b"", "key", 10**9
        )
    )
    assert services.urls == urls
    if executed:
        assert outcome == ANSWER
    else:
        assert outcome.executed is refusal.Executed.NO
    answer = ANSWER if executed else None
    assert link.settled == [records.ClaimSettled("call", executed, answer)]
