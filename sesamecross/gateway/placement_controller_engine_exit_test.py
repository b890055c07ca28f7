"""Tests of the placement controller while engines leave or fail."""

import asyncio

import msgspec
import pytest
import structlog

from sesamecross.core import serving
from sesamecross.fakes import samples
from sesamecross.gateway import placement_controller
from sesamecross.gateway import state as state_lib
from sesamecross.ops.fleet import reachability
from sesamecross.runtime import metrics as metrics_lib

SERVICE = "writers"
MODEL = "trail-writer"
BORN_MS = 1000
SPEC = serving.EngineSpec(
    16,
    100_000,
    80.0,
    0,
    1.0,
    5,
    {MODEL: serving.ModelSpec(MODEL, 40.0, 1.0, 0.5, 0.3, 0, 1.0)},
)
CONFIGURATION = serving.Configuration(
    1,
    (),
    {SERVICE: serving.Service(SERVICE, "/health", 100, SPEC)},
    serving.CallerLimits(),
)
HELD = (serving.ResidentModel(MODEL, frozenset()),)


class _Lease:
    """A lease that is always held."""

    may_order = True
    holds = True
    fence = 1


class _Mesh:
    """A mesh without other instances."""

    me = None
    roster = None
    lease = None

    def __init__(self) -> None:
        self.published: list[object] = []

    def add_listener(self, listener) -> None:
        """Does nothing: no message arrives."""

    def next_number(self) -> int:
        return 1

    def broadcast(self, message) -> None:
        self.published.append(message)


class _EngineClient:
    """Engines that each report the one model."""

    async def report(self, entry) -> serving.EngineReport:
        return serving.EngineReport(
            BORN_MS,
            0,
            False,
            HELD,
            frozenset(),
            serving.WeightCopies(),
            0,
            0,
            0,
            100_000,
        )

    async def order(self, order, _may_send) -> serving.OrderAnswer:
        return serving.OrderAnswer.ACCEPTED


def entry(name: str) -> serving.Upstream:
    return serving.Upstream(
        name, SERVICE, "10.0.1.1:90", "z1", 16, False, BORN_MS, HELD
    )


def leaves(directory, now_s: float) -> None:
    leaving = msgspec.structs.replace(entry("e1"), is_leaving=True)
    directory.update_entry(leaving)


def lapses(directory, now_s: float) -> None:
    directory.lapsed("e1", now_s)


def falls_silent(directory, now_s: float) -> None:
    directory.get("e1").reachability.record_timeout(now_s)


def refuses(directory, now_s: float) -> None:
    directory.get("e1").reachability.record_refusal(now_s)


@pytest.mark.parametrize("ends", [leaves, lapses, falls_silent, refuses])
@pytest.mark.parametrize("later_s", [0.12, 0.2])
def test_planning_continues_when_an_engine_is_gone(ends, later_s):
    """Guards against a plan that fails after an engine is gone.

    The target is recomputed every 0.15 s and the next steps every 0.1 s. A plan
    in between found an engine in the target that was no longer in use, and
    raised a KeyError; this was seen four times in one run with leaving
    upstreams. The controller was restarted with growing backoff, and requests
    for models were refused meanwhile.
    """
    state = state_lib.State(samples.INSTANCE)
    state.offer_configuration(CONFIGURATION)
    mesh = _Mesh()
    controller = placement_controller.PlacementController(
        state, mesh, _Lease(), _EngineClient(), metrics_lib.Metrics()
    )
    loop = asyncio.new_event_loop()
    now = [100.0]
    loop.time = lambda: now[0]

    async def scenario() -> None:
        for name in ("e1", "e2"):
            state.directory.update_entry(entry(name))
        controller._tick(now[0])
        for _ in range(3):
            # The reports arrive.
            await asyncio.sleep(0)
        ends(state.directory, now[0])
        mesh.published.clear()
        now[0] += later_s
        controller._tick(now[0])
        await controller.stop()

    try:
        with structlog.testing.capture_logs() as lines:
            loop.run_until_complete(scenario())
    finally:
        loop.close()
    assert not [line for line in lines if line.get("exc_info")]
    held = {
        placement.upstream: placement.targets
        for message in mesh.published
        for placement in message.engines
    }
    assert held["e2"] == [MODEL]


def refuses_and_is_heard(directory, now_s: float) -> None:
    refuses(directory, now_s)
    directory.get("e1").others_reachability = reachability.ReachabilityCounts(
        hears=1
    )


@pytest.mark.parametrize(
    ("ends", "after_s", "is_lost"),
    [
        # A sound engine pauses for a second: it is noticed after 0.8 s.
        (falls_silent, 0.5, False),
        (falls_silent, placement_controller.PAUSE_GRACE_S + 0.1, True),
        # A crashed one refuses connections.
        (refuses, 0.0, True),
        (refuses_and_is_heard, 0.0, False),
    ],
)
def test_a_paused_engine_keeps_its_place_in_plans(ends, after_s, is_lost):
    """Guards against models loaded elsewhere for an engine that goes on."""
    state = state_lib.State(samples.INSTANCE)
    state.directory.update_entry(entry("e1"))
    known = state.directory.get("e1")
    controller = placement_controller.PlacementController(
        state, _Mesh(), _Lease(), _EngineClient(), metrics_lib.Metrics()
    )
    ends(state.directory, 100.0)
    assert controller._is_lost(known, 100.1) is (is_lost and not after_s)
    assert controller._is_lost(known, 100.1 + after_s) is is_lost
