"""Tests of the steward's planned stop."""

import asyncio

import pytest

from sesamecross.ops import leases
from sesamecross.parser import settings as settings_lib
from sesamecross.steward import app as app_lib
from sesamecross.steward import lease_manager
from sesamecross.steward import log_writer

SETTINGS = settings_lib.StewardSettings(
    instance="i",
    zone="z",
    region="r",
    listen="127.0.0.1:0",
    metrics_listen="127.0.0.1:0",
    log_url="http://127.0.0.1:1",
    instances_url="http://127.0.0.1:1",
    shared_key="0123456789abcdef",
)


@pytest.mark.parametrize("holds_lease", [True, False])
def test_a_planned_stop_goes_to_its_end_with_a_full_queue(
    monkeypatch, holds_lease
):
    """A steward that was stopped by plan ended with code 1 and a traceback.

    The log had been away for so long that the queue for it was full. The
    record that gives the lease back, or that of the leave, did not fit; the
    error went through the drain, and no component was stopped in order. Now
    it is logged: the lease lapses, and the refused address proves the end.
    """

    async def story():
        app = app_lib.StewardApp.from_settings(SETTINGS)
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

    assert asyncio.run(story())
