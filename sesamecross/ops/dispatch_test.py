"""Tests of the dispatcher: room, promises, retries, refusals, leaving."""

import random

import pytest

from sesamecross.core import data
from sesamecross.core import refusal
from sesamecross.ops import dispatch
from sesamecross.ops import estimates
from sesamecross.ops import routing

PROMISE = data.Promise("report", 320, 55, 2, 2000)
LAZY = data.Promise("digest", 5000, 200, 7, 60_000)
PLACE = routing.EntryLocation("z1", "r1", {})
SEEN = estimates.Observation(0, 0, 50.0, 10.0, 200.0)


def declared(names, concurrency=4):
    upstreams = {
        name: data.Upstream(
            name,
            data.UpstreamKind.ENGINE,
            "z1",
            "http://127.0.0.1:1",
            1000,
            1,
            False,
            concurrency,
        )
        for name in names
    }
    return data.Declarations(
        {"r1": data.Region("r1")},
        {"z1": data.Zone("z1", "r1")},
        upstreams,
        {},
        {},
        {},
        {},
        {},
    )


def report(name, leaving=False, epoch="ep", sequence=1):
    return data.UpstreamReport(
        name, epoch, sequence, True, leaving, 0, 0, ("m",), 0, 1000
    )


def desk(names=("e1", "e2"), concurrency=4, policy=None):
    one = dispatch.Dispatcher(
        PLACE, policy or routing.LowestEstimatedCost(), random.Random(1)
    )
    one.configure(declared(names, concurrency), 1)
    for name in names:
        one.report(report(name), 0)
    return one


def call(number, promise=PROMISE, now_ms=0, caller="c", deadline_ms=60_000):
    return routing.Call(
        f"call{number}",
        caller,
        "m",
        promise,
        100,
        (),
        now_ms,
        deadline_ms,
        promise.priority,
    )


def most_of(one):
    """Returns how many calls of this entry may be at e1."""
    return int(one.upstreams["e1"].most(PROMISE))


def fill(one, count, promise=PROMISE):
    """Submits calls until `count` are dispatched; returns the actions."""
    actions = []
    for number in range(count):
        actions += one.submit(call(number, promise), 0)
    return actions


def test_a_call_goes_to_a_resident_upstream_at_once():
    (action,) = desk().submit(call(1), 0)
    assert isinstance(action, dispatch.Dispatch)
    assert action.upstream in ("e1", "e2")


def test_a_model_that_is_nowhere_is_refused_as_not_run():
    one = desk(())
    (action,) = one.submit(call(1), 0)
    assert action.refusal.slug == "no-upstream"
    assert action.refusal.executed is refusal.Executed.NO
    assert action.refusal.retry_after_s


def test_room_is_bounded_and_the_rest_waits_in_order():
    one = desk(("e1",), concurrency=4)
    limit = most_of(one)
    actions = fill(one, limit + 2)
    assert len(actions) == limit
    (after,) = one.finished(actions[0].call_id, SEEN, True, 100)
    assert after.call_id == f"call{limit}"


def test_a_promise_goes_before_a_summary_that_came_earlier():
    one = desk(("e1",), concurrency=2)
    first = fill(one, most_of(one))
    assert one.submit(call(90, LAZY), 0) == []
    assert one.submit(call(91), 5) == []
    (after,) = one.finished(first[0].call_id, SEEN, True, 10)
    assert after.call_id == "call91"


def test_a_waiting_summary_ages_past_new_promises():
    # Summaries of the night wait behind the morning's calls. They may wait,
    # but with their age they go before calls that have just come.
    one = desk(("e1",), concurrency=2)
    first = fill(one, most_of(one))
    one.submit(call(90, LAZY), 0)
    late_ms = 25_000
    one.submit(call(91, now_ms=late_ms), late_ms)
    (after,) = one.finished(first[0].call_id, SEEN, True, late_ms)
    assert after.call_id == "call90"


def test_callers_take_turns():
    one = desk(("e1",), concurrency=2)
    first = fill(one, most_of(one))
    for number in range(10, 14):
        one.submit(call(number), 0)
    one.submit(call(20, caller="modest"), 0)
    (after,) = one.finished(first[0].call_id, SEEN, True, 10)
    assert after.call_id == "call20"


def test_what_can_not_be_on_time_is_refused_early_and_truthfully():
    one = desk(("e1",), concurrency=2)
    refused = []
    for number in range(40):
        for action in one.submit(call(number), 0):
            if isinstance(action, dispatch.Refuse):
                refused.append(action.refusal)
    assert refused
    assert {r.slug for r in refused} == {"overloaded"}
    assert {r.executed for r in refused} == {refusal.Executed.NO}
    assert all(r.retry_after_s >= 1 for r in refused)


def test_a_call_that_waits_too_long_gets_its_final_answer_at_once():
    one = desk(("e1",), concurrency=2)
    fill(one, most_of(one) + 1)
    assert one.tick(PROMISE.queue_ms - 1) == []
    (action,) = one.tick(PROMISE.queue_ms)
    assert action.refusal.slug == "overloaded"


FAILURES = [
    (dispatch.NotRun(), False),
    (dispatch.NotRun(leaving=True), True),
    (dispatch.MayHaveRun(), False),
]


@pytest.mark.parametrize(("failure", "gone"), FAILURES)
def test_a_failed_attempt_goes_elsewhere(failure, gone):
    one = desk()
    (action,) = one.submit(call(1), 0)
    (again,) = one.failed("call1", failure, 10)
    assert isinstance(again, dispatch.Dispatch)
    assert again.upstream != action.upstream
    assert again.attempt == 2
    state = one.upstreams[action.upstream]
    # L1: an upstream's own word that it leaves counts at once, ahead of the
    # platform's list, for every call.
    assert state.may_serve("m", 20) is not gone


def test_retries_of_work_that_may_have_begun_are_paid_from_the_budget():
    # R11: after an outage every call fails once. Retrying all of them would
    # double the load on what is left; the budget bounds the retries.
    one = desk(("e1", "e2"), concurrency=200)
    retried = 0
    for number in range(60):
        (action,) = one.submit(call(number), 0)
        if not isinstance(action, dispatch.Dispatch):
            continue
        (after,) = one.failed(f"call{number}", dispatch.MayHaveRun(), 0)
        retried += isinstance(after, dispatch.Dispatch)
    assert retried <= 5


def test_a_restarted_upstream_is_trusted_again():
    one = desk(("e1",))
    one.submit(call(1), 0)
    (refused,) = one.failed("call1", dispatch.NotRun(leaving=True), 1)
    assert isinstance(refused, dispatch.Refuse)
    one.report(report("e1", epoch="next"), 2)
    (action,) = one.submit(call(2, now_ms=3), 3)
    assert action.upstream == "e1"


def test_room_is_given_back_on_every_way_out():
    one = desk()
    for number in range(200):
        (action,) = one.submit(call(number), 0)
        assert isinstance(action, dispatch.Dispatch)
        match number % 3:
            case 0:
                one.finished(action.call_id, SEEN, True, 1)
            case 1:
                one.abandoned(action.call_id, 1)
            case 2:
                one.failed(action.call_id, dispatch.NotRun(absent=True), 1)
                one.abandoned(action.call_id, 1)
        for name in ("e1", "e2"):
            one.report(report(name, sequence=number + 2), 1)
    assert [u.own for u in one.upstreams.values()] == [0, 0]
    assert one.open_calls == 0


def test_entries_with_one_stale_view_do_not_herd():
    # Eight entries see the same old report. If each took the single best
    # upstream, all would land on one; the choice is spread.
    chosen = set()
    for seed in range(8):
        one = dispatch.Dispatcher(
            PLACE, routing.LowestEstimatedCost(), random.Random(seed)
        )
        one.configure(declared(("e1", "e2", "e3")), 8)
        for name in ("e1", "e2", "e3"):
            one.report(report(name), 0)
        (action,) = one.submit(call(1), 0)
        chosen.add(action.upstream)
    assert len(chosen) > 1


def end_finished(one, call_id):
    one.finished(call_id, SEEN, True, 0)


def end_failed(one, call_id):
    one.failed(call_id, dispatch.NotRun(leaving=True), 0)


def end_abandoned(one, call_id):
    one.abandoned(call_id, 0)


@pytest.mark.parametrize("end", [end_finished, end_failed, end_abandoned])
@pytest.mark.parametrize(
    "changes",
    [
        [declared(["e1"], 3)],
        [declared([]), declared(["e1"], 2)],
    ],
    ids=["limit changed", "removed and declared anew"],
)
def test_calls_under_way_stay_counted_where_they_are(changes, end):
    """An engine got more calls than declared after a change of its limit.

    The change replaced what the entry knew of the engine while calls were
    under way there. Their ends were counted off the new record, which had
    never counted them, so that it let that many too many in. A call holds on
    to the record that counted it.
    """
    one = desk(["e1"], 2)
    fill(one, 2)
    for change in changes:
        one.configure(change, 1)
    for number in range(2):
        end(one, f"call{number}")
    state = one.upstreams["e1"]
    assert (state.own, state.prefill_tokens) == (0, 0)


def test_a_changed_declaration_refuses_no_call():
    """Calls were refused while a new configuration came into force.

    The change of a limit threw away what the engine had reported, so that no
    upstream was known to hold the model until the view's reports were taken
    in, a moment later. At the same address it is the same engine.
    """
    one = desk(["e1"], 2)
    one.configure(declared(["e1"], 3), 1)
    (action,) = one.submit(call(1), 0)
    assert isinstance(action, dispatch.Dispatch)


def test_a_call_that_began_somewhere_is_not_said_to_be_not_run():
    """A caller with half an answer was told that its call had not run.

    Its engine was stopped in the middle of the answer, and so were the
    others: the next attempt found a port closed. Only that last attempt was
    asked whether anything had run; each attempt counts now.
    """
    one = desk(["e1", "e2"], 4)
    one.submit(call(1), 0)
    (again,) = one.failed("call1", dispatch.MayHaveRun(), 0)
    assert isinstance(again, dispatch.Dispatch)
    for name in ("e1", "e2"):
        one.report(report(name, leaving=True, sequence=2), 0)
    (refused,) = one.failed("call1", dispatch.NotRun(), 0)
    assert refused.refusal.executed is refusal.Executed.UNKNOWN
