"""Tests of which placements are published, to whom and when."""

import asyncio
import types

import pytest

from sesamecross.core import fleet_messages as fm
from sesamecross.gateway import placement_publisher
from sesamecross.gateway import start_steps
from sesamecross.ops.fleet import engine_inventory

ME = types.SimpleNamespace(name="i1")
OTHER = types.SimpleNamespace(name="i2")


class _Mesh:
    """Records what is sent."""

    def __init__(self) -> None:
        self.me = ME
        self.lease = types.SimpleNamespace(fence=5)
        self.roster = {"i2": OTHER}
        self.broadcasts: list[fm.Placement] = []
        self.sent: list[tuple[fm.Placement, object]] = []

    def next_number(self) -> int:
        return len(self.broadcasts)

    def broadcast(self, message: fm.Placement) -> None:
        self.broadcasts.append(message)

    def send(self, message: fm.Placement, member: object) -> None:
        self.sent.append((message, member))


class _State:
    """Knows no upstreams; counts change notifications."""

    def __init__(self) -> None:
        self.directory: dict = {}
        self.change_count = 0
        self.start_steps = start_steps.StartSteps()

    def notify_change(self) -> None:
        self.change_count += 1


def placement(
    name="e1", orders=1, targets=("m1",), born_ms=7
) -> fm.EnginePlacement:
    return fm.EnginePlacement(name, born_ms, orders, list(targets), [], [])


def make_publisher() -> tuple[
    placement_publisher.PlacementPublisher, _Mesh, _State
]:
    mesh, state = _Mesh(), _State()
    return placement_publisher.PlacementPublisher(state, mesh), mesh, state


def publish(publisher, *steps) -> None:
    """Publishes a list of placements at each time, on a running loop."""

    async def scenario():
        for now_s, placements in steps:
            publisher.publish(placements, 5, now_s)

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ("later", "is_published"),
    [
        (placement(), False),
        (placement(orders=2), True),
        (placement(targets=()), True),
        (placement(born_ms=8), True),
        (placement(name="e2"), True),
    ],
)
def test_only_changes_are_published(later, is_published):
    publisher, mesh, _ = make_publisher()
    publish(publisher, (10.0, [placement()]), (10.1, [later]))
    assert len(mesh.broadcasts) == 1 + is_published


def test_everything_is_published_periodically():
    publisher, mesh, _ = make_publisher()
    again_s = 10.0 + placement_publisher.REFRESH_INTERVAL_S
    publish(publisher, (10.0, [placement()]), (again_s, [placement()]))
    assert [len(published.engines) for published in mesh.broadcasts] == [1, 1]


def test_engine_that_went_and_came_back_is_published_again():
    publisher, mesh, _ = make_publisher()
    publish(publisher, (10.0, [placement()]), (10.1, []), (10.2, [placement()]))
    assert len(mesh.broadcasts) == 2


def test_waiter_is_told_of_the_target_once():
    publisher, mesh, _ = make_publisher()
    publisher.add_waiter("m2", "i2")
    publish(
        publisher,
        (10.0, [placement()]),
        (10.1, [placement(orders=2, targets=("m2",))]),
        (10.2, [placement(orders=3, targets=("m2",))]),
    )
    assert [member for _, member in mesh.sent] == [OTHER]
    assert mesh.sent[0][0].engines[0].orders == 2


@pytest.mark.parametrize(("fence", "is_applied"), [(4, False), (5, True)])
def test_placement_of_an_earlier_holder_is_ignored(fence, is_applied):
    publisher, _, state = make_publisher()

    async def scenario():
        publisher.apply(fm.Placement(ME, 1, fence, [placement()]))

    asyncio.run(scenario())
    assert state.change_count == is_applied


def test_withdrawn_model_and_its_adapters_are_not_published():
    inventory = engine_inventory.EngineInventory("e1", 7, orders=3)
    inventory.models = {"m1", "m2"}
    inventory.adapters = {"m1/a1", "m2/a1"}
    inventory.loading = {"m3": 12.5}
    published = placement_publisher.engine_placement(
        inventory, {"m1"}, {"m2": 11.0, "m4": 14.0}, 10.0
    )
    assert published == fm.EnginePlacement(
        "e1", 7, 3, ["m2", "m2/a1"], [("m3", 2.5)], [("m4", 4.0)]
    )


@pytest.mark.parametrize(
    ("later_s", "times_published"),
    [
        # It comes when it was expected.
        (1.6, 1),
        # It is put off: those who wait for it would be told nothing.
        (2.9, 2),
        # It comes sooner.
        (0.6, 2),
    ],
)
def test_a_changed_time_of_an_adapter_is_published(later_s, times_published):
    """Guards against callers who come back or wait by a time long overtaken."""
    publisher, mesh, _ = make_publisher()
    placements = [
        fm.EnginePlacement("e1", 7, 1, ["m1"], [], [("m1/a1", at_s)])
        for at_s in (2.0, later_s)
    ]
    publish(publisher, (10.0, placements[:1]), (10.4, placements[1:]))
    assert len(mesh.broadcasts) == times_published


@pytest.mark.parametrize(("fence", "is_reached"), [(4, False), (5, True)])
def test_a_start_records_its_first_plan(fence, is_reached):
    """Guards against a plan of a former lease holder that counts as one."""
    publisher, mesh, state = make_publisher()

    async def scenario():
        publisher.apply(fm.Placement(ME, 1, fence, []))

    asyncio.run(scenario())
    assert (start_steps.Step.PLAN in state.start_steps.reached_s) == is_reached
