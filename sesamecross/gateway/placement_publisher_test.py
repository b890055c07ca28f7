"""Tests of what is told of engines, to whom and when."""

import asyncio
import types

import pytest

from sesamecross.core import fleet_messages as fm
from sesamecross.gateway import placement_publisher
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
    """Knows no upstreams; counts how often it was touched."""

    def __init__(self) -> None:
        self.directory: dict = {}
        self.touched = 0

    def notify_change(self) -> None:
        self.touched += 1


def place(
    name="e1", orders=1, targets=("m1",), born_ms=7
) -> fm.EnginePlacement:
    return fm.EnginePlacement(name, born_ms, orders, list(targets), [], [])


def teller() -> tuple[placement_publisher.PlacementPublisher, _Mesh, _State]:
    mesh, state = _Mesh(), _State()
    return placement_publisher.PlacementPublisher(state, mesh), mesh, state


def tell(one, *steps) -> None:
    """Tells a list of places at each time, on a running loop."""

    async def play():
        for now_s, places in steps:
            one.tell(places, 5, now_s)

    asyncio.run(play())


@pytest.mark.parametrize(
    ("later", "is_told"),
    [
        (place(), False),
        (place(orders=2), True),
        (place(targets=()), True),
        (place(born_ms=8), True),
        (place(name="e2"), True),
    ],
)
def test_only_what_changed_is_told(later, is_told):
    one, mesh, _ = teller()
    tell(one, (10.0, [place()]), (10.1, [later]))
    assert len(mesh.broadcasts) == 1 + is_told


def test_everything_is_told_anew_now_and_then():
    one, mesh, _ = teller()
    again_s = 10.0 + placement_publisher.REFRESH_S
    tell(one, (10.0, [place()]), (again_s, [place()]))
    assert [len(told.engines) for told in mesh.broadcasts] == [1, 1]


def test_an_engine_that_went_and_came_back_is_told_again():
    one, mesh, _ = teller()
    tell(one, (10.0, [place()]), (10.1, []), (10.2, [place()]))
    assert len(mesh.broadcasts) == 2


def test_who_waits_hears_of_the_target_once():
    one, mesh, _ = teller()
    one.waits("m2", "i2")
    tell(
        one,
        (10.0, [place()]),
        (10.1, [place(orders=2, targets=("m2",))]),
        (10.2, [place(orders=3, targets=("m2",))]),
    )
    assert [member for _, member in mesh.sent] == [OTHER]
    assert mesh.sent[0][0].engines[0].orders == 2


@pytest.mark.parametrize(("fence", "is_taken"), [(4, False), (5, True)])
def test_the_word_of_an_earlier_holder_is_not_taken(fence, is_taken):
    one, _, state = teller()

    async def play():
        one.take(fm.Placement(ME, 1, fence, [place()]))

    asyncio.run(play())
    assert state.touched == is_taken


def test_a_withdrawn_model_is_not_told_nor_its_adapters():
    inventory = engine_inventory.EngineInventory("e1", 7, orders=3)
    inventory.models = {"m1", "m2"}
    inventory.adapters = {"m1/a1", "m2/a1"}
    inventory.arriving = {"m3": 12.5}
    told = placement_publisher.engine_place(
        inventory, {"m1"}, {"m2": 11.0, "m4": 14.0}, 10.0
    )
    assert told == fm.EnginePlacement(
        "e1", 7, 3, ["m2", "m2/a1"], [("m3", 2.5)], [("m4", 4.0)]
    )
