"""The entry's stream to the steward on its instance.

It receives views, and sends claims, their outcomes and demand. Without the
steward the entry serves on its last view; only calls that need a claim are
refused. Runs on the event loop; threads that serve calls use the methods that
aren't coroutines.
"""

import asyncio
from collections.abc import Callable
import concurrent.futures
import contextlib
import uuid

from sesamecross.core import data
from sesamecross.core import messages
from sesamecross.core import records
from sesamecross.ops import timeline
from sesamecross.parser import settings as settings_lib
from sesamecross.runtime import logs
from sesamecross.transport import streams

RECONNECT_DELAY_S = 0.2
DEMAND_INTERVAL_S = 1.0
REPLY_TIMEOUT_S = 6.0
CONFIRM_POLL_S = 0.02


class StewardLink:
    """Component that keeps the stream open and matches replies."""

    def __init__(
        self,
        settings: settings_lib.EntrySettings,
        recorder: timeline.Recorder,
        on_view: Callable[[data.View], int],
        take_demand: Callable[[], dict[str, int]],
    ):
        self._settings = settings
        self._recorder = recorder
        self._on_view = on_view
        self._take_demand = take_demand
        self._logger = logs.get_logger("steward-link")
        self._loop: asyncio.AbstractEventLoop | None = None
        self._stream: streams.Stream | None = None
        self._pending_replies: dict[str, asyncio.Future] = {}
        self._unconfirmed_outcomes: dict[str, records.ClaimSettled] = {}
        self._outcome_ready = asyncio.Event()

    @property
    def name(self) -> str:
        """The component's name in logs."""
        return "steward-link"

    @property
    def is_connected(self) -> bool:
        """Whether the stream to the steward is open."""
        return self._stream is not None

    async def run(self) -> None:
        """Connects, and reconnects after failures, until cancelled."""
        self._loop = asyncio.get_running_loop()
        while True:
            try:
                await self._run_session()
            except streams.StreamClosedError as error:
                self._logger.debug(
                    "stream to steward closed", reason=str(error)
                )
            self._handle_disconnect()
            await asyncio.sleep(RECONNECT_DELAY_S)

    async def stop(self) -> None:
        """Closes the stream once outcomes are confirmed, or after a timeout.

        The steward records an outcome that it didn't receive as unknown, and a
        repetition of a call that ran would not get its answer.
        """
        # Outcomes from other threads are added in the loop's next iteration.
        await asyncio.sleep(0)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(REPLY_TIMEOUT_S):
                while self._unconfirmed_outcomes:
                    await asyncio.sleep(CONFIRM_POLL_S)
        if self._unconfirmed_outcomes:
            self._logger.warning(
                "stopping with unconfirmed claim outcomes",
                claims=len(self._unconfirmed_outcomes),
                remedy="stop an instance's entry before its steward",
            )
        if self._stream is not None:
            self._stream.close()

    async def _run_session(self) -> None:
        stream = await streams.connect(
            self._settings.steward,
            self._settings.shared_key,
            "entry",
            self._settings.instance,
            self._recorder,
        )
        self._stream = stream
        self._logger.info("connected to steward")
        tasks = [
            asyncio.create_task(self._send_demand(stream)),
            asyncio.create_task(self._send_outcomes()),
        ]
        self._outcome_ready.set()
        try:
            while True:
                await self._handle_message(stream, await stream.receive())
        finally:
            for task in tasks:
                task.cancel()

    def _handle_disconnect(self) -> None:
        if self._stream is not None:
            self._logger.warning("steward disconnected, serving on last view")
        self._stream = None
        for future in self._pending_replies.values():
            if not future.done():
                future.set_result(None)
        self._pending_replies.clear()

    async def _handle_message(
        self, stream: streams.Stream, message: object
    ) -> None:
        match message:
            case messages.ViewUpdate(view=view):
                await stream.send(messages.ViewTaken(self._on_view(view)))
            case messages.ClaimReply(request_id=request_id):
                self._resolve_reply(request_id, message.verdict)
            case messages.Done(request_id=request_id, ok=ok):
                self._resolve_reply(request_id, ok)
            case messages.EventsRequest() as request:
                events = self._recorder.events(request.limit, request.call_id)
                plain = tuple(timeline.to_plain(event) for event in events)
                await stream.send(
                    messages.EventsReply(request.request_id, plain)
                )

    def _resolve_reply(self, request_id: str, value: object) -> None:
        future = self._pending_replies.pop(request_id, None)
        if future is not None and not future.done():
            future.set_result(value)
            return
        is_won = (
            isinstance(value, data.ClaimVerdict)
            and value.state is data.ClaimState.WON
        )
        if is_won:
            # No thread waits for this claim any more: its call was refused
            # and will not be dispatched.
            self._enqueue_outcome(
                records.ClaimSettled(value.claim_id, False, None)
            )

    def _enqueue_outcome(self, settled: records.ClaimSettled) -> None:
        self._unconfirmed_outcomes[settled.claim_id] = settled
        self._outcome_ready.set()

    async def _send_outcomes(self) -> None:
        """Sends each outcome until the steward has confirmed it."""
        while True:
            await self._outcome_ready.wait()
            self._outcome_ready.clear()
            for settled in list(self._unconfirmed_outcomes.values()):
                message = messages.ClaimOutcome(uuid.uuid4().hex, settled)
                if await self._request_on_loop(message):
                    self._unconfirmed_outcomes.pop(settled.claim_id, None)
            if self._unconfirmed_outcomes:
                await asyncio.sleep(RECONNECT_DELAY_S)
                self._outcome_ready.set()

    async def _send_demand(self, stream: streams.Stream) -> None:
        while True:
            await asyncio.sleep(DEMAND_INTERVAL_S)
            report = messages.DemandReport(
                self._take_demand(),
                int(DEMAND_INTERVAL_S * 1000),
                self._settings.advertise or self._settings.listen,
            )
            try:
                await stream.send(report)
            except streams.StreamClosedError:
                return

    # -- called from threads ---------------------------------------------

    def claim(self, claim: records.ClaimMade) -> data.ClaimVerdict | None:
        """Returns the verdict on a claim; None without a reply."""
        request_id = uuid.uuid4().hex
        return self._request(messages.ClaimRequest(request_id, claim))

    def look_up(self, claim: records.ClaimMade) -> data.ClaimVerdict | None:
        """Returns the state of the claim that holds the key now.

        None without a reply.
        """
        request_id = uuid.uuid4().hex
        return self._request(messages.ClaimLookup(request_id, claim))

    def settle(self, settled: records.ClaimSettled) -> None:
        """Sends an outcome, now or once the steward is connected."""
        if self._loop is not None:
            self._loop.call_soon_threadsafe(self._enqueue_outcome, settled)

    def _request(self, message: object) -> object:
        if self._loop is None:
            return None
        pending = asyncio.run_coroutine_threadsafe(
            self._request_on_loop(message), self._loop
        )
        try:
            return pending.result(REPLY_TIMEOUT_S + 1)
        except (TimeoutError, concurrent.futures.CancelledError):
            return None

    async def _request_on_loop(self, message: object) -> object:
        stream = self._stream
        if stream is None:
            return None
        future = asyncio.get_running_loop().create_future()
        self._pending_replies[message.request_id] = future
        try:
            await stream.send(message)
            return await asyncio.wait_for(future, REPLY_TIMEOUT_S)
        except (streams.StreamClosedError, TimeoutError):
            return None
        finally:
            self._pending_replies.pop(message.request_id, None)
