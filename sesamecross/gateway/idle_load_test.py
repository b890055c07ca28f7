"""Tests of what an instance without callers costs in a large deployment.

The deployment: 195 instances in six availability zones. One of them runs its
periodic components on virtual time and hears of all others.
"""

import asyncio
import contextlib

import msgspec
import pytest

from sesamecross.core import fleet_messages as fm
from sesamecross.fakes import samples
from sesamecross.fakes import virtual_time_loop
from sesamecross.gateway import app as app_lib
from sesamecross.gateway import follower
from sesamecross.platform import program
from sesamecross.platform import settings
from sesamecross.runtime import ticker as ticker_lib

DURATION_S = 10.0
ZONES = 6
# Of the tasks that act in each round, and checks of conditions for the others.
MAX_CALLBACKS_PER_S = 90
# By the library's own functions, such as `asyncio.sleep`.
MAX_LOOP_LOOKUPS_PER_S = 10
# Components that call the store or listen on sockets; they wait for these.
NOT_PERIODIC = frozenset(
    {"front", "ready", "metrics", "joiner", "sync", "reloader"}
)


class _Transport:
    """Accepts datagrams."""

    def is_closing(self) -> bool:
        return False

    def sendto(self, data: bytes, address: tuple) -> None:
        pass


def member(number: int) -> fm.Member:
    return fm.Member(
        f"front-{number}", 1000 + number, f"z{number % ZONES}", "h:1", -1, -1
    )


class _CountingLoop(virtual_time_loop.VirtualTimeLoop):
    """Counts how often the process would sleep and be woken."""

    def __init__(self) -> None:
        super().__init__()
        self.wake_ups = 0
        self.callbacks = 0
        select = self._virtual_selector.select

        def counting_select(timeout=None):
            self.wake_ups += timeout is None or timeout > 0
            return select(timeout)

        self._virtual_selector.select = counting_select

    def call_soon(self, callback, *args, context=None):
        self.callbacks += 1
        return super().call_soon(callback, *args, context=context)


async def _do_nothing() -> None:
    """Takes the place of the lease's steps, which call the store."""


def count_work(instances: int) -> tuple[int, int]:
    """Returns how often an idle instance wakes in `DURATION_S`.

    And how many callbacks it then runs, such as the steps of tasks.
    """
    gateway = app_lib.GatewayApp.from_config(
        msgspec.structs.replace(samples.INSTANCE, zone="z1"),
        program.adapter(),
        settings.SettingsFile(""),
    )

    async def scenario() -> tuple[int, int]:
        loop = asyncio.get_running_loop()
        components = gateway.components()
        gateway.mesh.join(member(1), b"secret", ())
        gateway.mesh.transport = _Transport()
        gateway.lease._step = _do_nothing
        tasks = []
        for component in components:
            if isinstance(component, follower.Follower):
                component._offset = 1
                component._should_read = lambda: False
            if component.name not in NOT_PERIODIC:
                tasks.append(asyncio.create_task(component.run()))
        await asyncio.sleep(0.5)
        before = loop.wake_ups, loop.callbacks
        heard = 0
        while loop.time() < 0.5 + DURATION_S:
            for number in range(2, instances + 1):
                gateway.mesh.roster.on_heartbeat(member(number), loop.time())
            heard += 1
            await asyncio.sleep(0.4)
        work = loop.wake_ups - before[0], loop.callbacks - before[1]
        for task in tasks:
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task
        return work[0] - heard, work[1] - heard

    with asyncio.Runner(loop_factory=_CountingLoop) as runner:
        return runner.run(scenario())


@pytest.mark.parametrize("instances", [8, 195])
def test_an_idle_instance_wakes_at_most_once_in_each_step_of_its_grid(
    instances,
):
    """Guards against timers of each component's own, and against peers' cost.

    Each of them woke the process at moments of its own, 75 times a second.
    """
    wake_ups, _ = count_work(instances)
    assert wake_ups <= DURATION_S / ticker_lib.GRID_S


@pytest.mark.parametrize("instances", [8, 195])
def test_an_idle_instance_runs_few_steps_of_tasks(instances):
    """Guards against tasks that are woken only to find that nothing is due.

    They were most of the cost of an idle instance: 144 callbacks a second.
    """
    _, callbacks = count_work(instances)
    assert callbacks <= MAX_CALLBACKS_PER_S * DURATION_S


def test_an_idle_instance_rarely_asks_for_its_event_loop(monkeypatch):
    """Guards against a system call at each look at the time.

    `asyncio.get_running_loop` makes one; see `runtime.event_loop`.
    """
    find = asyncio.get_running_loop
    calls = 0

    def counting_find():
        nonlocal calls
        calls += 1
        return find()

    monkeypatch.setattr(asyncio, "get_running_loop", counting_find)
    monkeypatch.setattr(asyncio.events, "get_running_loop", counting_find)
    count_work(8)
    assert calls <= MAX_LOOP_LOOKUPS_PER_S * DURATION_S
