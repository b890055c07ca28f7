"""Tests of the giver of orders under many requests that wait for models.

The pattern: hundreds of instances' requests wait at once, each hears of every
change of the placement, and all of them ask the one who gives orders.
"""

import asyncio
import types

import pytest

from sesamecross.core import fleet_messages as fm
from sesamecross.fakes import jumping_loop
from sesamecross.fakes import placement_simulation as player_lib
from sesamecross.gateway import placement_controller

TICK_WORK_S = 0.002
PLAN_WORK_S = 0.03
# Of the time in which wants come without a pause.
MOST_SHARE = 0.45
PLAYED_S = 2.0


@pytest.fixture(name="player")
def fixture_player():
    player = player_lib.Simulation()
    yield player
    player.close()


def test_a_flood_of_wants_leaves_the_instance_time_for_its_callers(
    monkeypatch, player
):
    """Guards against a giver of orders that does nothing but look at wants."""
    worked_s = []

    async def play() -> None:
        loop = asyncio.get_running_loop()
        desk = player.desk

        def work(seconds: float) -> None:
            worked_s.append(seconds)
            loop.work(seconds)

        monkeypatch.setattr(desk, "_tell", lambda now_s: work(TICK_WORK_S))
        monkeypatch.setattr(desk, "_plan", lambda now_s: work(PLAN_WORK_S))
        running = asyncio.create_task(desk.run())
        while loop.time() < PLAYED_S:
            desk._note_want(player_lib.SERVICE, "m", "")
            await asyncio.sleep(0.0005)
        running.cancel()

    with asyncio.Runner(loop_factory=jumping_loop.JumpingLoop) as runner:
        runner.run(play())
    assert sum(worked_s) <= PLAYED_S * MOST_SHARE
    assert b"sesamecross_orders_work_seconds" in player.metrics.render()[0]
    # It goes on, and an order's answer is followed up within some hundredths.
    assert len(worked_s) >= PLAYED_S * 10


class _Holder:
    """Somebody else gives orders, and counts what it is asked."""

    transport = object()
    me = None

    def __init__(self) -> None:
        self.sent: list[fm.PlacementRequest] = []
        self.lease = types.SimpleNamespace(holder="i2")
        self.roster = {"i2": "i2", "i3": "i3"}

    def add_listener(self, listener) -> None:
        """Nothing is heard."""

    def next_number(self) -> int:
        return len(self.sent)

    def send(self, message: fm.PlacementRequest, to: str) -> None:
        self.sent.append((to, message.target, message.upstream))


# Who gives orders when requests ask again, what they ask for, and what is sent.
ASKED = [
    pytest.param("i2", "m", 0.1, 0, id="the same, soon after"),
    pytest.param("i2", "m", 0.3, 1, id="the same, later"),
    pytest.param("i2", "n", 0.1, 1, id="another model"),
    pytest.param("i3", "m", 0.1, 1, id="another giver of orders"),
]


@pytest.mark.parametrize(("holder", "target", "after_s", "sent"), ASKED)
def test_requests_that_wait_for_the_same_ask_once_in_a_while(
    player, holder, target, after_s, sent
):
    """Guards against a want from each request at each change of placement."""
    mesh = _Holder()
    lease = types.SimpleNamespace(holds=False)

    async def play() -> None:
        loop = asyncio.get_running_loop()
        desk = placement_controller.PlacementController(
            player.state, mesh, lease, player, player.metrics
        )
        for _ in range(20):
            desk.want(player_lib.SERVICE, "m", "")
        assert len(mesh.sent) == 1
        mesh.lease.holder = holder
        loop.work(after_s)
        for _ in range(20):
            desk.want(player_lib.SERVICE, target, "")

    with asyncio.Runner(loop_factory=jumping_loop.JumpingLoop) as runner:
        runner.run(play())
    assert len(mesh.sent) == 1 + sent
