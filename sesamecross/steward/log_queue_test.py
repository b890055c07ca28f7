"""Tests of a steward whose append queue is full, or whose appends are slow."""

import asyncio
import types

import pytest

from sesamecross.core import clock
from sesamecross.core import data
from sesamecross.core import records
from sesamecross.fakes import samples
from sesamecross.ops import intents
from sesamecross.ops import order_outcomes
from sesamecross.ops import timeline
from sesamecross.steward import app as app_lib
from sesamecross.steward import claim_router
from sesamecross.steward import lease_manager
from sesamecross.steward import log_writer
from sesamecross.steward import placement_controller

ME = data.Incarnation("i", "x")


class Writer:
    """A log writer whose queue may be full."""

    def __init__(self):
        self.is_full = False
        self.reachable = True
        self.submitted = []

    def submit(self, record) -> None:
        if self.is_full:
            raise log_writer.QueueFullError
        self.submitted.append(record)


def lease_tick(writer, holds: bool, reaches: bool, ticks: int = 1) -> None:
    manager = object.__new__(lease_manager.LeaseManager)
    lease = types.SimpleNamespace(zone="z", holder=ME, offset=7)
    manager._me = data.Member(ME, "z", "r", "127.0.0.1:1")
    manager._replica = types.SimpleNamespace(
        state=types.SimpleNamespace(
            leases=types.SimpleNamespace(leases={"z": lease} if holds else {})
        )
    )
    manager._reader = types.SimpleNamespace(reachable=True)
    manager._writer = writer
    manager._membership = types.SimpleNamespace(alive_in_zone=lambda: ["i"])
    manager._expiry_detector = types.SimpleNamespace(
        may_challenge=lambda *_: True
    )
    manager._peer_links = types.SimpleNamespace(
        has_substitute=lambda: not reaches
    )
    manager._logger = types.SimpleNamespace(
        warning=lambda *_, **__: None, info=lambda *_, **__: None
    )
    manager._renewed_ms = 0
    manager._renew_interval_ms = 100
    manager._challenged_ms = -lease_manager.CHALLENGE_TIMEOUT_MS
    manager._yielded_offset = -1
    for tick in range(ticks):
        manager._tick(1000 + tick)


@pytest.mark.parametrize(
    ("holds", "reaches"), [(True, True), (True, False), (False, True)]
)
def test_a_full_queue_does_not_end_the_lease_manager(holds, reaches):
    """Guards against a steward that gives up after a long log outage."""
    writer = Writer()
    writer.is_full = True
    lease_tick(writer, holds, reaches)
    writer.is_full = False
    lease_tick(writer, holds, reaches)
    assert len(writer.submitted) == 1


def test_a_lease_is_given_up_once():
    """Guards against a record with each tick until the log has the first."""
    writer = Writer()
    lease_tick(writer, holds=True, reaches=False, ticks=50)
    assert writer.submitted == [records.LeaseReleased("z", 7)]


def test_a_full_queue_does_not_end_the_join():
    """Guards against a steward that its peers never learn of."""
    app = app_lib.StewardApp.from_settings(samples.STEWARD_SETTINGS)
    app.components()
    app.reader._caught_up = True
    for number in range(log_writer.MAX_QUEUE_LENGTH):
        app.writer.submit(number)
    app._bootstrapper._join()
    app.writer._queue.clear()
    app._bootstrapper._join()
    (queued,) = app.writer._queue
    assert queued[0] == (records.MemberJoined(app.me),)


def test_an_outcome_is_appended_and_counted_once(monkeypatch):
    """Guards against an order that is counted with each status report."""
    order = data.Order(
        "o1", "e1", "ep", data.OrderAction.LOAD_MODEL, "m", 1, 10
    )
    intent = types.SimpleNamespace(order=order)
    open_intents = [intent]
    monkeypatch.setattr(intents, "of_upstream", lambda *_: list(open_intents))
    monkeypatch.setattr(
        order_outcomes,
        "outcome_of",
        lambda *_: records.IntentOutcome.APPLIED,
    )
    writer = Writer()
    controller = object.__new__(placement_controller.PlacementController)
    controller._lease_manager = types.SimpleNamespace(held_lease=lambda: 1)
    controller._replica = types.SimpleNamespace(
        state=types.SimpleNamespace(
            intents=types.SimpleNamespace(unresolved={"o1": intent})
        )
    )
    controller._writer = writer
    controller._recorder = timeline.Recorder("s", "z", clock.SystemClock())
    controller.applied_order_count = 0
    controller._submitted_outcomes = set()
    upstream = types.SimpleNamespace(name="e1", checks_fencing=False)
    writer.is_full = True
    controller._resolve_proved_orders(None, upstream)
    writer.is_full = False
    for _ in range(5):
        controller._resolve_proved_orders(None, upstream)
    assert len(writer.submitted) == 1
    assert controller.applied_order_count == 1
    # Forgotten once the log has it.
    controller._replica.state.intents.unresolved.clear()
    open_intents.clear()
    controller._resolve_proved_orders(None, upstream)
    assert controller._submitted_outcomes == set()


class Groups:
    """A claim group manager without a leader, whose log queue may be full."""

    def __init__(self, full_for: int):
        self.full_for = full_for
        self.kept = []

    def leader_of(self, _zone):
        return None

    def settle(self, _zone, settled) -> bool:
        if self.full_for > 0:
            self.full_for -= 1
            return False
        self.kept.append(settled)
        return True


def router(groups: Groups) -> claim_router.ClaimRouter:
    return claim_router.ClaimRouter(
        ME,
        types.SimpleNamespace(
            state=types.SimpleNamespace(
                groups=types.SimpleNamespace(homes={"shop": "z"})
            )
        ),
        groups,
        timeline.Recorder("s", "z", clock.SystemClock()),
    )


@pytest.mark.parametrize(
    ("full_for", "is_kept"),
    [(0, True), (3, True), (claim_router.SETTLE_ATTEMPTS + 1, False)],
)
def test_an_outcome_that_is_not_kept_is_not_confirmed(
    monkeypatch, full_for, is_kept
):
    """Guards against an entry that forgets an outcome which nobody has."""
    monkeypatch.setattr(claim_router, "SETTLE_RETRY_INTERVAL_S", 0.0)
    groups = Groups(full_for)
    settled = records.ClaimSettled("c1", True, None)
    assert asyncio.run(router(groups).settle(settled)) is is_kept
    assert groups.kept == ([settled] if is_kept else [])


def test_a_claim_that_nobody_decides_is_forgotten(monkeypatch):
    """Guards against ids that pile up over a long life."""
    monkeypatch.setattr(claim_router, "UNDECIDED_CLAIM_TTL_S", 0.01)

    async def scenario() -> int:
        one = router(Groups(0))
        for number in range(100):
            claim = records.ClaimMade(
                f"c{number}", "shop", "key", "orders", "digest", ME
            )
            assert await one.claim(claim) is None
        await asyncio.sleep(0.05)
        return len(one._claim_zones)

    assert asyncio.run(scenario()) == 0
