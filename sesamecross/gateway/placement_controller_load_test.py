"""Tests of the placement controller while many requests wait for models.

The deployment: requests of hundreds of instances wait at once. Each instance
learns of every change of the placement and asks the lease's holder again.
"""

import asyncio
import types

import pytest

from sesamecross.core import fleet_messages as fm
from sesamecross.fakes import placement_simulation as simulation_lib
from sesamecross.fakes import virtual_time_loop
from sesamecross.gateway import placement_controller

TICK_WORK_S = 0.002
PLAN_WORK_S = 0.03
# The largest share of time spent on planning and scanning while placement
# requests arrive without a pause.
MAX_WORK_SHARE = 0.45
DURATION_S = 2.0


@pytest.fixture(name="simulation")
def fixture_simulation():
    simulation = simulation_lib.Simulation()
    yield simulation
    simulation.close()


def test_placement_request_flood_leaves_time_for_callers(
    monkeypatch, simulation
):
    """Guards against a controller that takes all time from serving callers."""
    work_times_s = []

    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        controller = simulation.controller

        def work(seconds: float) -> None:
            work_times_s.append(seconds)
            loop.work(seconds)

        monkeypatch.setattr(
            controller, "_publish_placements", lambda now_s: work(TICK_WORK_S)
        )
        monkeypatch.setattr(
            controller, "_plan", lambda now_s: work(PLAN_WORK_S)
        )
        running = asyncio.create_task(controller.run())
        while loop.time() < DURATION_S:
            controller._add_placement_request(simulation_lib.SERVICE, "m", "")
            await asyncio.sleep(0.0005)
        running.cancel()

    with asyncio.Runner(
        loop_factory=virtual_time_loop.VirtualTimeLoop
    ) as runner:
        runner.run(scenario())
    assert sum(work_times_s) <= DURATION_S * MAX_WORK_SHARE
    assert b"sesamecross_orders_work_seconds" in simulation.metrics.render()[0]
    # The controller still runs, and handles an order's answer within some
    # hundredths of a second.
    assert len(work_times_s) >= DURATION_S * 10


class _Holder:
    """Another instance holds the lease; messages to it are recorded."""

    transport = object()
    me = None

    def __init__(self) -> None:
        self.sent: list[fm.PlacementRequest] = []
        self.lease = types.SimpleNamespace(holder="i2")
        self.roster = {"i2": "i2", "i3": "i3"}

    def add_listener(self, listener) -> None:
        """Does nothing: no message arrives."""

    def next_number(self) -> int:
        return len(self.sent)

    def send(self, message: fm.PlacementRequest, to: str) -> None:
        self.sent.append((to, message.target, message.upstream))


# Who holds the lease at the second request, its target, the time between the
# two, and how many further messages are sent.
REPEATED_REQUESTS = [
    pytest.param("i2", "m", 0.1, 0, id="the same, soon after"),
    pytest.param("i2", "m", 0.3, 1, id="the same, later"),
    pytest.param("i2", "n", 0.1, 1, id="another model"),
    pytest.param("i3", "m", 0.1, 1, id="another holder"),
]


@pytest.mark.parametrize(
    ("holder", "target", "after_s", "sent"), REPEATED_REQUESTS
)
def test_requests_for_the_same_target_are_sent_at_intervals(
    simulation, holder, target, after_s, sent
):
    """Guards against one message per request at each change of placement."""
    mesh = _Holder()
    lease = types.SimpleNamespace(holds=False)

    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        controller = placement_controller.PlacementController(
            simulation.state, mesh, lease, simulation, simulation.metrics
        )
        for _ in range(20):
            controller.request_placement(simulation_lib.SERVICE, "m", "")
        assert len(mesh.sent) == 1
        mesh.lease.holder = holder
        loop.work(after_s)
        for _ in range(20):
            controller.request_placement(simulation_lib.SERVICE, target, "")

    with asyncio.Runner(
        loop_factory=virtual_time_loop.VirtualTimeLoop
    ) as runner:
        runner.run(scenario())
    assert len(mesh.sent) == 1 + sent
