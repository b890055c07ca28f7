"""Proof by properties that no schedule of events exceeds a quota's bound."""

import random

from hypothesis import given
from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from sesamecross.ops.fleet import quota_shares as qs

WINDOW_S = 8.0
BOUNDS = (1_000.0, 58_580.0)
# Short and long against round trips, loans, leases and the window.
PAUSES_S = (0.0, 0.001, 0.1, 0.24, 0.3, 1.0, 1.9, 2.1, 5.0, 8.0, 9.0, 12.0)
SHARES = (qs.PARTS, 0, 100_000, 400_000, 700_000, 3 * qs.PARTS)
CLOCKS_S = (0.0, -50.0, 1e3)


class Peer:
    """A start of an instance. It may serve on after its replacement started."""

    def __init__(self, name: str, incarnation: int, clock_s: float):
        self.holder = qs.Holder(name, incarnation, WINDOW_S)
        # What its clock shows beyond the true time.
        self.clock_s = clock_s
        self.bound = BOUNDS[-1]


class Term:
    """A granter and its view of the store."""

    def __init__(self, granter: qs.Granter, version: int, clock_s: float):
        self.granter = granter
        self.version = version
        self.clock_s = clock_s
        # Its write in flight: when it was first sent, and the record.
        self.write: tuple[float, qs.Record] | None = None


class AnySchedule(stateful.RuleBasedStateMachine):
    """Delivers, delays, repeats and loses messages in any order.

    Links that are cut, instances that freeze, are killed or restart, and
    granters that don't know of each other are all schedules in which some
    messages or steps come late or never.
    """

    def __init__(self):
        super().__init__()
        self.now_s = 0.0
        self.record = qs.Record(0, 0)
        self.version = 0
        self.peers: list[Peer] = []
        self.terms: list[Term] = []
        # To a granter, and back; each may be delivered any number of times.
        self.requests: list[tuple[Peer, qs.ShareRequest]] = []
        self.grants: list[tuple[Peer, qs.ShareGrant]] = []
        # Lender, key, borrower, and when it asked by its own clock.
        self.loans: list[tuple[Peer, int, Peer, float, int]] = []
        # Of loans that were spent, or never will be.
        self.settled: list[tuple[Peer, int, int]] = []
        self.spent: list[tuple[float, float, float]] = []

    def _spend(self, cost: float, bound: float) -> None:
        self.spent.append((self.now_s, cost, bound))
        window = [
            one for one in self.spent if one[0] > self.now_s - WINDOW_S + 1e-6
        ]
        largest = max(bound for _, _, bound in window)
        assert sum(cost for _, cost, _ in window) <= largest * (1 + 1e-9)

    @stateful.initialize(caps=st.sampled_from((0, 600_000, qs.PARTS)))
    def begin(self, caps):
        for number in range(3):
            self.restart(number, 100.0 * number)
        self.takes_over(0.0, 0.0)
        self.terms[0].granter.begin_write(caps, 0.0)
        self.terms[0].write = (0.0, qs.Record(1, caps))
        self.writes(0)
        self.confirms(0)

    @stateful.rule(pause_s=st.sampled_from(PAUSES_S))
    def waits(self, pause_s):
        self.now_s += pause_s

    @stateful.rule(number=st.integers(0, 2), clock_s=st.sampled_from(CLOCKS_S))
    def restart(self, number, clock_s):
        """Replaces an instance, whose earlier process may still run."""
        self.peers.append(Peer(f"front-{number}", len(self.peers), clock_s))

    @stateful.rule(
        clock_s=st.sampled_from(CLOCKS_S),
        delay_s=st.sampled_from(PAUSES_S),
    )
    def takes_over(self, clock_s, delay_s):
        """Another granter begins, and hears of it late; the others go on."""
        sent_s = self.now_s
        self.record = qs.Record(self.record.term + 1, self.record.cap)
        self.version += 1
        record, version = self.record, self.version
        self.now_s += delay_s
        granter = qs.Granter(
            record, WINDOW_S, sent_s + clock_s, self.now_s + clock_s
        )
        self.terms.append(Term(granter, version, clock_s))

    @stateful.rule(term=st.integers(0, 9), cap=st.sampled_from(SHARES))
    def changes_cap(self, term, cap):
        one = self.terms[-1 - term % len(self.terms)]
        now_s = self.now_s + one.clock_s
        record = one.granter.begin_write(cap, now_s)
        if one.write is None:
            one.write = (now_s, record)
        assert one.write[1] == record

    @stateful.rule(term=st.integers(0, 9))
    def writes(self, term):
        """The store takes a write, unless another came first."""
        one = self.terms[-1 - term % len(self.terms)]
        if one.write is not None and one.version == self.version:
            self.record = one.write[1]
            self.version += 1

    @stateful.rule(term=st.integers(0, 9))
    def confirms(self, term):
        """A granter hears that its write was taken, or reads its record."""
        one = self.terms[-1 - term % len(self.terms)]
        if self.record.term != one.granter.term:
            return
        if one.version == self.version:
            one.granter.confirm(self.now_s + one.clock_s)
        elif one.write is not None:
            one.version = self.version
            one.granter.end_write(one.write[0])
            one.write = None

    @stateful.rule(
        peer=st.integers(0, 9),
        wanted=st.sampled_from(SHARES),
    )
    def asks_for_a_share(self, peer, wanted):
        one = self.peers[-1 - peer % len(self.peers)]
        request = one.holder.request(wanted, self.now_s + one.clock_s)
        self.requests.append((one, request))

    @stateful.precondition(lambda self: self.requests)
    @stateful.rule(message=st.integers(0, 9), term=st.integers(0, 3))
    def receives_a_request(self, message, term):
        peer, request = self.requests[-1 - message % len(self.requests)]
        one = self.terms[-1 - term % len(self.terms)]
        grant = one.granter.on_request(request, self.now_s + one.clock_s)
        assert one.granter.outstanding(self.now_s + one.clock_s) <= qs.PARTS
        if grant is not None:
            self.grants.append((peer, grant))

    @stateful.precondition(lambda self: self.grants)
    @stateful.rule(message=st.integers(0, 9))
    def receives_a_grant(self, message):
        peer, grant = self.grants[-1 - message % len(self.grants)]
        peer.holder.on_grant(grant, self.now_s + peer.clock_s)

    @stateful.rule(
        peer=st.integers(0, 9),
        wanted=st.sampled_from(SHARES),
        term=st.integers(0, 3),
    )
    def is_granted_at_once(self, peer, wanted, term):
        """A request and its reply, so that many schedules have shares."""
        for _ in range(2):
            self.asks_for_a_share(peer, wanted)
            before = len(self.grants)
            self.receives_a_request(0, term)
            if len(self.grants) > before:
                self.receives_a_grant(0)

    @stateful.rule(
        peer=st.integers(0, 9),
        wanted=st.sampled_from(SHARES),
        term=st.integers(0, 3),
    )
    def is_served(self, peer, wanted, term):
        """The usual course: the store answers, a share comes and is spent."""
        self.confirms(term)
        self.changes_cap(term, qs.PARTS)
        self.writes(term)
        self.confirms(term)
        self.is_granted_at_once(peer, wanted, term)
        self.spends(peer, 1)

    @stateful.rule(peer=st.integers(0, 9), bound=st.sampled_from(BOUNDS))
    def hears_of_another_quota(self, peer, bound):
        self.peers[-1 - peer % len(self.peers)].bound = bound

    @stateful.rule(peer=st.integers(0, 9), share=st.sampled_from((1, 2, 9)))
    def spends(self, peer, share):
        """Spends what is free, or a part of it."""
        one = self.peers[-1 - peer % len(self.peers)]
        now_s = self.now_s + one.clock_s
        parts = one.holder.free(now_s) // share
        assert one.holder.spend(one.holder.free(now_s) + 1, now_s) is None
        if parts and one.holder.spend(parts, now_s) is not None:
            self._spend(parts * one.bound / qs.PARTS, one.bound)

    @stateful.rule(
        lender=st.integers(0, 9),
        borrower=st.integers(0, 9),
        share=st.sampled_from((1, 2, 9)),
        delay_s=st.sampled_from(PAUSES_S),
    )
    def lends(self, lender, borrower, share, delay_s):
        to = self.peers[-1 - borrower % len(self.peers)]
        asked_s = self.now_s + to.clock_s
        self.now_s += delay_s
        one = self.peers[-1 - lender % len(self.peers)]
        now_s = self.now_s + one.clock_s
        parts = one.holder.free(now_s) // share
        key = one.holder.lend(parts, now_s)
        if parts and key is not None:
            self.loans.append((one, key, to, asked_s, parts))

    @stateful.precondition(lambda self: self.loans)
    @stateful.rule(
        loan=st.integers(0, 9), spends=st.sampled_from((1.0, 0.5, 0.0))
    )
    def uses_a_loan(self, loan, spends):
        """A borrower takes a reply once; later copies are not its own."""
        number = len(self.loans) - 1 - loan % len(self.loans)
        lender, key, to, asked_s, parts = self.loans.pop(number)
        spent = 0
        if qs.is_in_time(asked_s, self.now_s + to.clock_s):
            spent = round(parts * spends)
        if spent:
            self._spend(spent * to.bound / qs.PARTS, to.bound)
        self.settled.append((lender, key, spent))

    @stateful.precondition(lambda self: self.settled)
    @stateful.rule(message=st.integers(0, 9))
    def hears_of_a_loan(self, message):
        lender, key, spent = self.settled[-1 - message % len(self.settled)]
        if spent:
            lender.holder.settle(key, spent, self.now_s + lender.clock_s)
        else:
            lender.holder.give_back(key)


TestAnySchedule = AnySchedule.TestCase
TestAnySchedule.settings = settings(
    max_examples=400,
    stateful_step_count=60,
    deadline=None,
    derandomize=True,
)

# By rule: how often it is chosen, and its arguments' values. Small numbers are
# the newest instances, granters and messages.
_ANY = (0, 0, 0, 1, 1, 2, 3, 5, 9)
_DENSE = {
    "waits": (6, {"pause_s": PAUSES_S}),
    "is_served": (6, {"peer": _ANY, "wanted": SHARES, "term": _ANY}),
    "restart": (0.3, {"number": (0, 1, 2), "clock_s": CLOCKS_S}),
    "takes_over": (0.4, {"clock_s": CLOCKS_S, "delay_s": PAUSES_S}),
    "changes_cap": (1.5, {"term": _ANY, "cap": SHARES}),
    "writes": (1.5, {"term": _ANY}),
    "confirms": (4, {"term": _ANY}),
    "asks_for_a_share": (2, {"peer": _ANY, "wanted": SHARES}),
    "receives_a_request": (2, {"message": _ANY, "term": _ANY}),
    "receives_a_grant": (2, {"message": _ANY}),
    "is_granted_at_once": (
        4,
        {"peer": _ANY, "wanted": SHARES, "term": _ANY},
    ),
    "hears_of_another_quota": (0.3, {"peer": _ANY, "bound": BOUNDS}),
    "spends": (6, {"peer": _ANY, "share": (1, 1, 2)}),
    "lends": (
        2,
        {
            "lender": _ANY,
            "borrower": _ANY,
            "share": (1, 1, 2),
            "delay_s": (0.0, 0.0, 0.1, 0.24, 1.0),
        },
    ),
    "uses_a_loan": (3, {"loan": _ANY, "spends": (1.0, 1.0, 0.5, 0.0)}),
    "hears_of_a_loan": (2, {"message": _ANY}),
}
_NEEDS = {
    "receives_a_request": "requests",
    "receives_a_grant": "grants",
    "uses_a_loan": "loans",
    "hears_of_a_loan": "settled",
}


def walk(seed: int, steps: int) -> AnySchedule:
    """Plays a schedule in which much is granted and all of it is spent."""
    rng = random.Random(seed)
    world = AnySchedule()
    world.begin(rng.choice((0, 600_000, qs.PARTS)))
    names = list(_DENSE)
    weights = [weight for weight, _ in _DENSE.values()]
    for name in rng.choices(names, weights, k=steps):
        if name in _NEEDS and not getattr(world, _NEEDS[name]):
            continue
        arguments = {
            argument: rng.choice(values)
            for argument, values in _DENSE[name][1].items()
        }
        getattr(world, name)(**arguments)
    return world


@settings(max_examples=2_000, deadline=None, derandomize=True)
@given(seed=st.integers(0, 2**32))
def test_no_dense_schedule_exceeds_the_bound(seed):
    """Guards against faults that need many steps, each of them likely."""
    walk(seed, 100)


def test_dense_schedules_spend():
    """Guards against a proof over schedules in which nothing is spent."""
    spent = [len(walk(seed, 100).spent) for seed in range(200)]
    assert sum(spent) / len(spent) >= 4


def granted(parts: int = qs.PARTS, cap: int = qs.PARTS):
    """Returns a granter and a holder with a share, at 0 s."""
    granter = qs.Granter(qs.Record(1, 0), WINDOW_S, 0.0, 0.0)
    granter.begin_write(cap, 0.0)
    granter.end_write(0.0)
    holder = qs.Holder("front-1", 1, WINDOW_S)
    exchange(granter, holder, parts, 0.0)
    return granter, holder


def exchange(granter, holder, wanted, now_s):
    """Plays a request and its reply, again if the term is new."""
    for _ in range(2):
        grant = granter.on_request(holder.request(wanted, now_s), now_s)
        if grant is None or not holder.on_grant(grant, now_s):
            return


def test_a_share_is_spent_once_in_a_window():
    _, holder = granted(1_000)
    assert holder.spend(1_000, 0.0) is not None
    assert holder.spend(1, 7.99) is None
    assert holder.spend(1_000, 8.0) is not None


def test_a_lease_ends_at_its_holder():
    _, holder = granted()
    assert holder.spend(1, qs.LEASE_S - 0.01) is not None
    assert holder.spend(1, qs.LEASE_S) is None


def test_an_idle_share_goes_to_another():
    """Guards against refusals while others hold what they don't use."""
    granter, first = granted()
    first.spend(100_000, 0.1)
    second = qs.Holder("front-2", 1, WINDOW_S)
    exchange(granter, second, 500_000, 0.2)
    assert second.free(0.2) == 0
    exchange(granter, first, 0, 0.3)
    exchange(granter, second, qs.PARTS, 0.4)
    assert second.free(0.4) == 900_000


def test_a_successor_leaves_holders_their_shares():
    """Guards against workspaces that stop with their granter."""
    _, holder = granted(300_000, 600_000)
    after = qs.Granter(qs.Record(2, 600_000), WINDOW_S, 3.0, 3.0)
    exchange(after, holder, 300_000, 3.1)
    assert holder.term == 2 and holder.free(3.1) == 300_000
    other = qs.Holder("front-2", 1, WINDOW_S)
    after.begin_write(qs.PARTS, 3.2)
    after.end_write(3.2)
    exchange(after, other, qs.PARTS, 3.2)
    assert other.free(3.2) == 400_000


def test_what_lies_above_the_cap_is_granted_after_a_restart_of_all():
    """Guards against workspaces that wait until all leases have expired."""
    granted(600_000, 600_000)
    after = qs.Granter(qs.Record(2, 600_000), WINDOW_S, 1.0, 1.0)
    after.begin_write(qs.PARTS, 1.0)
    after.end_write(1.0)
    holder = qs.Holder("front-1", 2, WINDOW_S)
    exchange(after, holder, qs.PARTS, 1.1)
    assert holder.free(1.1) == 400_000


def test_a_dead_holders_share_is_granted_again():
    granter, _ = granted()
    late_s = qs.LEASE_S + WINDOW_S + qs.LOAN_S + qs.AUTHORITY_S
    granter.confirm(late_s)
    other = qs.Holder("front-2", 1, WINDOW_S)
    exchange(granter, other, 5, late_s - 0.01)
    assert other.free(late_s - 0.01) == 0
    exchange(granter, other, 5, late_s + 20.0)
    assert other.free(late_s + 20.0) == 0
    granter.confirm(late_s + 20.0)
    exchange(granter, other, 5, late_s + 20.0)
    assert other.free(late_s + 20.0) == 5


def test_a_loan_counts_until_its_borrower_may_have_spent_it():
    granter, holder = granted()
    exchange(granter, holder, qs.PARTS, 0.5)
    assert holder.lend(qs.PARTS, 0.5) is not None
    assert holder.used(8.5 + qs.LOAN_S - 0.01) == qs.PARTS
    assert holder.used(8.5 + qs.LOAN_S) == 0


def test_a_request_that_was_held_up_is_not_adopted_twice():
    """Guards against a successor that takes others' parts for known."""
    term = qs.Granter(qs.Record(2, qs.PARTS), WINDOW_S, 0.0, 0.0)
    late = qs.ShareRequest(("front-1", 1), 1, 2, 400_000, 400_000)
    term.on_request(late, 0.1)
    before_s = qs.LEASE_S + WINDOW_S + qs.LOAN_S + qs.AUTHORITY_S - 0.01
    term.confirm(before_s)
    assert term.on_request(late, before_s) is None
    assert term.outstanding(before_s) == qs.PARTS
    # What was unknown has expired with it.
    assert term.outstanding(before_s + 0.02) == 400_000
    assert term.outstanding(before_s + 0.2) == 0


def test_more_than_is_unknown_is_not_adopted():
    """Guards against a holder that states what nobody has granted."""
    term = qs.Granter(qs.Record(2, 300_000), WINDOW_S, 0.0, 0.0)
    term.on_request(qs.ShareRequest(("front-1", 1), 1, 2, qs.PARTS, 0), 0.1)
    assert term.outstanding(0.1) == 300_000


def test_a_holder_that_obeys_an_earlier_term_is_not_adopted():
    """Guards against parts that two granters can hand on."""
    term = qs.Granter(qs.Record(2, 300_000), WINDOW_S, 0.0, 0.0)
    request = qs.ShareRequest(("front-1", 1), 1, 1, 300_000, 0)
    assert term.on_request(request, 0.1).parts is None
    other = qs.ShareRequest(("front-2", 1), 1, 2, 0, qs.PARTS)
    assert term.on_request(other, 0.1).parts == 0


@pytest.mark.parametrize(
    "number, term, held, wanted",
    [(1, 3, 0, 5), (1, 2, -1, 5), (1, 2, 0, -5), (0, 2, 0, 5)],
)
def test_requests_that_make_no_sense_change_nothing(number, term, held, wanted):
    """Guards against numbers that would free what others hold."""
    granter = qs.Granter(qs.Record(2, 300_000), WINDOW_S, 0.0, 0.0)
    granter.on_request(qs.ShareRequest(("front-1", 1), 0, 2, 9, 0), 0.0)
    request = qs.ShareRequest(("front-1", 1), number, term, held, wanted)
    assert granter.on_request(request, 0.1) is None
    assert granter.outstanding(0.1) == 300_000


@pytest.mark.parametrize(
    "cost, bound, parts",
    [
        (0.0, 10.0, 0),
        (1.0, 3.0, 333_334),
        (3.0, 3.0, qs.PARTS),
        (float("inf"), 3.0, qs.PARTS + 1),
        (float("nan"), 3.0, qs.PARTS + 1),
        (1.0, 0.0, qs.PARTS + 1),
        (-1.0, 3.0, 0),
    ],
)
def test_costs_are_rounded_up(cost, bound, parts):
    """Guards against costs that are no numbers, or larger than any bound."""
    assert qs.parts_of(cost, bound) == parts
