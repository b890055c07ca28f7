"""Tests of the entry's stream to its steward, when the entry stops."""

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


class Steward:
    """Confirms each outcome at the second time of asking."""

    def __init__(self):
        self.confirmed = []
        self._asked = 0
        self._recorder = timeline.Recorder("s", "z", clock.SystemClock())

    async def serve(self, reader, writer):
        stream = await streams.accept(reader, writer, KEY, self._recorder)
        try:
            while True:
                message = await stream.receive()
                if isinstance(message, messages.ClaimOutcome):
                    self._asked += 1
                    if self._asked > 1:
                        self.confirmed.append(message.settled)
                    ok = self._asked > 1
                    await stream.send(messages.Done(message.request_id, ok))
        except streams.StreamClosedError:
            writer.close()


def test_outcomes_are_confirmed_before_the_entry_stops():
    """An order that had been answered was told to be of unknown outcome.

    Its entry stopped by plan right after the answer and closed the stream to
    its steward with the outcome still to be told. The steward wrote the claim
    down as unknown, and the order's repetition got that. The link waits for
    the steward's word now, as long as it waits for any.
    """

    async def story():
        steward = Steward()
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

    assert asyncio.run(story()) == [OUTCOME]
