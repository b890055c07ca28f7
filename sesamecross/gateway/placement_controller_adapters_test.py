"""Tests of adapters that share the few places of an engine, under load."""

import dataclasses

import pytest

from sesamecross.fakes import placement_simulation as simulation_lib
from sesamecross.ops.fleet import adapter_slots

REQUEST_S = 1.5
# A caller that finds no place waits this long, is refused, and comes back.
WAIT_S = 0.2
RETRY_S = 2.0


@dataclasses.dataclass(slots=True)
class _Callers:
    """Steady callers of one adapter.

    Attributes:
      target: The adapter.
      interval_s: The time between two requests.
      served: When requests began to run.
      ends: When running requests end.
    """

    target: str
    interval_s: float
    next_s: float = 0.0
    waits_until_s: float | None = None
    served: list[float] = dataclasses.field(default_factory=list)
    ends: list[float] = dataclasses.field(default_factory=list)

    def step(self, simulation, now_s: float) -> None:
        """Ends requests that are due, and begins or repeats the next one."""
        for end_s in [one for one in self.ends if one <= now_s]:
            self.ends.remove(end_s)
            simulation.end_request(self.target)
        if now_s < self.next_s:
            return
        engine = simulation.engine
        if simulation.offers(self.target) and engine.can_serve(self.target):
            simulation.begin_request(self.target)
            simulation.requested_targets.discard(self.target)
            self.served.append(now_s)
            self.ends.append(now_s + REQUEST_S)
            self.next_s = now_s + self.interval_s
            self.waits_until_s = None
        elif self.waits_until_s is None:
            simulation.requested_targets.add(self.target)
            self.waits_until_s = now_s + WAIT_S
        elif now_s >= self.waits_until_s:
            simulation.requested_targets.discard(self.target)
            self.waits_until_s = None
            self.next_s = now_s + RETRY_S

    def longest_gap_s(self, until_s: float) -> float:
        """Returns the longest time in which none of them was served."""
        times = [0.0, *self.served, until_s]
        return max(b - a for a, b in zip(times, times[1:], strict=False))


def play(simulation, intervals_s, seconds: float) -> list[_Callers]:
    """Lets callers ask for the adapters a1, a2, ... of a model."""
    callers = [
        _Callers(f"m/a{number}", interval_s)
        for number, interval_s in enumerate(intervals_s, 1)
    ]
    now_s = 0.0
    while now_s < seconds:
        for one in callers:
            one.step(simulation, now_s)
        simulation.run(simulation_lib.TICK_S)
        now_s += simulation_lib.TICK_S
    return callers


def adapter_orders(simulation) -> list[tuple[bool, str]]:
    """Returns the orders for adapters: whether each is a load, and of what."""
    return [
        (one.order.loads, one.order.adapter)
        for one in simulation.answered_orders
        if one.order.adapter
    ]


@pytest.fixture(name="simulation")
def fixture_simulation():
    simulation = simulation_lib.Simulation()
    yield simulation
    simulation.close()


@pytest.mark.parametrize(
    "intervals_s",
    [
        # Two adapters in steady, overlapping use; a third is waited for.
        (1.0, 1.0, 1.0),
        (1.0, 1.0, 1.0, 1.0),
        # A rare one among busy ones.
        (0.3, 0.3, 3.0),
    ],
)
def test_each_adapter_in_steady_use_gets_a_place_again(simulation, intervals_s):
    """Guards against hot adapters that keep all places of an engine for good.

    The callers of a further adapter waited, were refused, came back and found
    the same, whichever adapters had come first.
    """
    seconds = 60.0
    callers = play(simulation, intervals_s, seconds)
    bound_s = RETRY_S + adapter_slots.longest_wait_s(
        len(intervals_s), simulation_lib.ADAPTER_SLOTS, REQUEST_S
    )
    gaps_s = {one.target: one.longest_gap_s(seconds) for one in callers}
    assert {t: s for t, s in gaps_s.items() if s > bound_s} == {}
    assert not simulation.engine.was_overcommitted


def test_few_adapters_are_not_moved_when_all_have_places(simulation):
    """Guards against cache thrash: loads and unloads that serve nobody."""
    play(simulation, (0.5, 0.5), 20.0)
    assert adapter_orders(simulation) == [(True, "a1"), (True, "a2")]


def test_places_do_not_change_more_often_than_the_minimum_stay(simulation):
    """Guards against cache thrash with more hot adapters than places."""
    seconds = 60.0
    play(simulation, (0.3,) * simulation_lib.ADAPTERS, seconds)
    loads = [one for one in adapter_orders(simulation) if one[0]]
    most = simulation_lib.ADAPTER_SLOTS * (
        1 + seconds / adapter_slots.MIN_STAY_S
    )
    assert len(loads) <= most
