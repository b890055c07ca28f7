"""Tests of the entry's stream to its steward during a stop."""

import asyncio

from sesamecross.core import clock
from sesamecross.core import messages
from sesamecross.core import records
from sesamecross.entry import steward_link
from sesamecross.ops import timeline
from sesamecross.parser import settings as settings_lib
from sesamecross.runtime import supervisor
from sesamecross.transport import streams

KEY = "0123456789abcdef"
OUTCOME = records.ClaimSettled("claim", True, None)


class FakeSteward:
    """Confirms outcomes from the second request on."""

    def __init__(self):
        self.confirmed = []
        self._request_count = 0
        self._recorder = timeline.Recorder("s", "z", clock.SystemClock())

    async def serve(self, reader, writer):
        stream = await streams.accept(reader, writer, KEY, self._recorder)
        try:
            while True:
                message = await stream.receive()
                if isinstance(message, messages.ClaimOutcome):
                    self._request_count += 1
                    if self._request_count > 1:
                        self.confirmed.append(message.settled)
                    ok = self._request_count > 1
                    await stream.send(messages.Done(message.request_id, ok))
        except streams.StreamClosedError:
            writer.close()


def test_outcomes_are_confirmed_before_the_entry_stops():
    """The repetition of an answered call was refused as of unknown outcome.

    The entry stopped right after the answer and closed its stream before the
    outcome was sent, so the steward recorded the claim as unknown. The link
    must wait for the steward's confirmation, up to its reply timeout.
    """

    async def scenario():
        steward = FakeSteward()
        server = await asyncio.start_server(steward.serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        settings = settings_lib.EntrySettings(
            instance="i",
            zone="z",
            region="r",
            listen="127.0.0.1:0",
            steward=f"127.0.0.1:{port}",
            shared_key=KEY,
        )
        recorder = timeline.Recorder("e", "z", clock.SystemClock())
        link = steward_link.StewardLink(
            settings, recorder, lambda _view: 0, dict
        )
        tree = supervisor.Supervisor([link])
        tree.start()
        async with asyncio.timeout(20):
            while not link.is_connected:
                await asyncio.sleep(0.01)
            link.settle(OUTCOME)
            await tree.stop()
        server.close()
        return steward.confirmed

    assert asyncio.run(scenario()) == [OUTCOME]
