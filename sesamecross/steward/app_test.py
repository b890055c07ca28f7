"""Tests of the steward's planned shutdown."""

import asyncio

import pytest

from sesamecross.fakes import samples
from sesamecross.ops import leases
from sesamecross.steward import app as app_lib
from sesamecross.steward import lease_manager
from sesamecross.steward import log_writer


@pytest.mark.parametrize("holds_lease", [True, False])
def test_drain_completes_with_a_full_log_queue(monkeypatch, holds_lease):
    """Guards against a drain that fails while the log queue is full.

    After a long log outage, LeaseReleased or MemberLeft raised
    QueueFullError. The error ended the drain: no component was stopped in
    order, and the process exited with code 1 and a traceback. The error must
    be logged instead; the lease then expires, and the refused address proves
    to peers that the process has exited.
    """

    async def drain_with_full_queue():
        app = app_lib.StewardApp.from_settings(samples.STEWARD_SETTINGS)
        app.components()
        lease = leases.Lease("z", app.me.incarnation, 1)
        held = lease if holds_lease else None
        monkeypatch.setattr(
            lease_manager.LeaseManager,
            "held_lease",
            lambda _manager: held,
        )
        monkeypatch.setattr(app_lib, "LEAVE_TIMEOUT_S", 0.01)
        for number in range(log_writer.MAX_QUEUE_LENGTH):
            app.writer.submit(number)
        await app.drain()
        return app.peer_links.leaving

    assert asyncio.run(drain_with_full_queue())
