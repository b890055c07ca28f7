"""Tests of the order among the requests that wait for an engine."""

from collections.abc import Iterable
import random

import pytest

from sesamecross.core import serving
from sesamecross.ops.fleet import admission_order


def ask(
    urgency: int = 0,
    workspace: str = "",
    due_s: float = 1.0,
    until_s: float = 10.0,
    tokens: int = 800,
) -> admission_order.Ask:
    return admission_order.Ask(tokens, 200, urgency, workspace, due_s, until_s)


def key(number: int) -> admission_order.Key:
    return ("instance", number)


def order_of(
    asks: Iterable[admission_order.Ask], now_s: float = 0.0
) -> admission_order.AdmissionOrder:
    order = admission_order.AdmissionOrder()
    for number, one in enumerate(asks):
        order.add(key(number), one, now_s)
    return order


def drain(order: admission_order.AdmissionOrder) -> list[int]:
    """Grants all waiting requests; returns their numbers in order."""
    granted = []
    while (request := order.first()) is not None:
        order.grant(request)
        granted.append(request.key[1])
    return granted


@pytest.mark.parametrize(
    ("asks", "now_s", "expected"),
    [
        pytest.param(
            [ask(2, due_s=0.1), ask(0, due_s=5.0), ask(1, due_s=0.2)],
            0.0,
            [1, 2, 0],
            id="urgency first",
        ),
        pytest.param(
            [ask(due_s=0.9), ask(due_s=0.3), ask(due_s=0.6)],
            0.0,
            [1, 2, 0],
            id="then due time",
        ),
        pytest.param(
            [ask(due_s=2.0), ask(due_s=1.0), ask(due_s=2.5)],
            1.5,
            [0, 2, 1],
            id="late ones last",
        ),
        pytest.param(
            [
                ask(workspace="a", due_s=2.1),
                ask(workspace="a", due_s=2.2),
                ask(workspace="a", due_s=2.3),
                ask(workspace="b", due_s=9.0),
            ],
            0.0,
            [0, 3, 1, 2],
            id="workspaces take turns",
        ),
        pytest.param(
            [ask(-5, due_s=3.0), ask(0, due_s=2.0), ask(10**9, due_s=2.0)],
            0.0,
            [1, 0, 2],
            id="urgencies out of range",
        ),
    ],
)
def test_the_order_of_turns(asks, now_s, expected):
    """Guards against turns by who asks most, or by arrival alone."""
    order = order_of(asks)
    order.advance(now_s)
    assert drain(order) == expected


def test_a_request_that_is_always_passed_has_its_turn():
    """Guards against starvation: urgent requests arrive without end."""
    order = order_of([ask(urgency=9, due_s=99.0, until_s=4.0)])
    turns = 0
    now_s = 0.0
    while key(0) in order and turns < 100:
        turns += 1
        now_s += 0.1
        order.add(key(turns), ask(0, due_s=now_s + 1.0), now_s)
        order.grant(order.first())
    # It has waited half of its patience after 20 turns.
    assert 20 < turns < 35


def test_requests_that_waited_long_get_no_more_than_their_part():
    """Guards against urgent requests displaced by a flood of aged ones."""
    order = order_of([ask(urgency=2, until_s=2.0) for _ in range(100)])
    granted = []
    for turn in range(200):
        now_s = 1.5 + turn * 0.01
        order.add(key(1000 + turn), ask(0, due_s=now_s + 1.0), now_s)
        request = order.first()
        granted.append(request.urgency)
        order.grant(request)
    aged = granted.count(2) / len(granted)
    assert aged == pytest.approx(admission_order.KEPT_SHARE, abs=0.02)


class DeficitTurns:
    """Turns of workspaces by deficit round robin, to compare with."""

    quantum = 1000.0

    def __init__(self) -> None:
        self._round: list[str] = []
        self._credit: dict[str, float] = {}

    def first(self, workspaces: Iterable[str]) -> str:
        waiting = set(workspaces)
        self._round = [one for one in self._round if one in waiting]
        self._round += sorted(waiting - set(self._round))
        while self._credit.setdefault(self._round[0], self.quantum) <= 0.0:
            name = self._round.pop(0)
            self._round.append(name)
            self._credit[name] += self.quantum
        return self._round[0]

    def charge(self, workspace: str, cost: float) -> None:
        self._credit[workspace] = (
            self._credit.get(workspace, self.quantum) - cost
        )


def serve_workspaces(seed: int) -> tuple[float, float]:
    """Serves seven workspaces that ask all the time, and one now and then.

    Their requests differ in size.

    Returns:
      The ratio of the highest to the lowest number of tokens that one of the
      seven got, and how many turns the eighth one waits on average.
    """
    rng = random.Random(seed)
    order = admission_order.AdmissionOrder()
    sizes = {f"w{n}": 300 * (n + 1) for n in range(7)}
    got = dict.fromkeys(sizes, 0.0)
    number, waits, asked_at = 0, [], None
    for turn in range(3000):
        for name, size in sizes.items():
            while order._levels.get(0) is None or (
                len(order._levels[0].queues._queues.get(name, ())) < 3
            ):
                number += 1
                tokens = rng.randint(size // 2, size * 3 // 2)
                order.add(key(number), ask(0, name, 1e6, 1e9, tokens), 0.0)
        if asked_at is None and rng.random() < 0.02:
            number += 1
            order.add(key(number), ask(0, "x", 1e6, 1e9, 800), 0.0)
            asked_at = turn
        request = order.first()
        order.grant(request)
        if request.ask.workspace == "x":
            waits.append(turn - asked_at)
            asked_at = None
        else:
            got[request.ask.workspace] += request.cost
    return max(got.values()) / min(got.values()), sum(waits) / len(waits)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_virtual_time_serves_rare_workspaces_sooner_than_rounds(
    monkeypatch, seed
):
    """Guards against a wait of a whole round for who asks now and then.

    Both methods share the tokens evenly. By virtual time the rare request is
    next, and by deficit round robin it waits until the round comes by.
    """
    virtual_ratio, virtual_wait = serve_workspaces(seed)
    monkeypatch.setattr(admission_order, "VirtualTimes", DeficitTurns)
    rounds_ratio, rounds_wait = serve_workspaces(seed)
    assert virtual_ratio < 1.1
    assert rounds_ratio < 1.1
    assert virtual_wait < 1.0
    assert rounds_wait > 2 * virtual_wait


def test_an_idle_workspace_saves_up_no_turns():
    """Guards against a workspace that takes all turns after a long pause."""
    order = admission_order.AdmissionOrder()
    for number in range(50):
        order.add(key(number), ask(workspace="busy", due_s=9.0), 0.0)
        if number < 30:
            order.grant(order.first())
    for number in range(100, 120):
        order.add(key(number), ask(workspace="idle", due_s=9.0), 0.0)
    granted = [number >= 100 for number in drain(order)[:20]]
    assert sum(granted) == pytest.approx(10, abs=1)


def test_refused_callers_return_in_order_and_one_by_one():
    """Guards against callers that all return at the same moment."""
    returns = admission_order.ReturnTimes()
    times = {}
    for number, urgency in enumerate([0, 0, 2, 2, 0, 2]):
        request = admission_order.WaitingRequest.from_ask(
            key(number), ask(urgency), 0.0
        )
        times[number] = returns.book(request, 1.0, 0.25, 0.0, 20.0)
    urgent = [times[n] for n in (0, 1, 4)]
    patient = [times[n] for n in (2, 3, 5)]
    assert urgent == sorted(urgent)
    assert patient == sorted(patient)
    assert min(patient) > times[1] - 0.25
    assert len({round(one, 6) for one in times.values()}) == 6
    assert all(1.0 <= one <= 20.25 for one in times.values())


def test_return_times_are_bounded_and_end():
    """Guards against times that grow without end under lasting overload."""
    returns = admission_order.ReturnTimes()
    times = []
    for number in range(1000):
        request = admission_order.WaitingRequest.from_ask(
            key(number), ask(), 0.0
        )
        times.append(returns.book(request, 1.0, 0.25, 0.0, 20.0))
    latest_s = 1.0 + admission_order.RETURN_SPREAD_S + 0.25
    assert max(times) <= latest_s
    # They return spread over all of this time.
    per_bin = [
        sum(start <= one < start + 0.5 for one in times)
        for start in (1.0, 1.5, 2.0, 2.5, 3.0)
    ]
    assert min(per_bin) > 150
    request = admission_order.WaitingRequest.from_ask(key(0), ask(), 60.0)
    assert returns.book(request, 60.5, 0.25, 60.0, 20.0) < 1.0


def test_removed_requests_leave_no_trace():
    """Guards against an order that grows with callers that leave."""
    order = admission_order.AdmissionOrder()
    rng = random.Random(1)
    for number in range(500):
        now_s = number * 0.01
        due_s = now_s + rng.uniform(-1.0, 1.0)
        workspace = rng.choice("abc")
        order.add(
            key(number), ask(number % 3, workspace, due_s, now_s + 2.0), now_s
        )
    order.advance(5.0)
    for number in range(500):
        order.remove(key(number))
    assert order.first() is None
    assert not order._due_times
    assert not order._ageing_times
    assert not order._long_waiting.size


@pytest.mark.parametrize(
    ("workspace", "expected"),
    [
        (None, admission_order.Owner("", None)),
        (
            serving.Workspace("w", frozenset(), urgency=0),
            admission_order.Owner("w", 0),
        ),
    ],
)
def test_the_owner_of_a_request(workspace, expected):
    assert admission_order.Owner.from_workspace(workspace) == expected
