"""Queries all stewards concurrently for their status and timeline.

Members register on the log, so the stewards' addresses are read from it; while
the log is down, those given on the command line are used. A steward that does
not answer is reported as missing, never omitted silently.
"""

import asyncio
import collections.abc
import signal
from typing import Any
import uuid

from sesamecross.core import clock as clock_lib
from sesamecross.core import messages
from sesamecross.operators import log_state
from sesamecross.ops import timeline
from sesamecross.runtime import signals
from sesamecross.transport import streams

REPLY_TIMEOUT_S = 4.0
MAX_CONCURRENT_REQUESTS = 50


def _run_with_signals_blocked(coroutine: collections.abc.Coroutine) -> Any:
    """Runs a coroutine with signals blocked, for up to `REPLY_TIMEOUT_S`.

    A signal that interrupted the event loop while it is created, used or closed
    would leave objects whose destruction prints tracebacks.
    """
    previous_mask = signal.pthread_sigmask(
        signal.SIG_BLOCK, signals.CLI_STOP_SIGNALS
    )
    try:
        return asyncio.run(coroutine)
    finally:
        signal.pthread_sigmask(signal.SIG_SETMASK, previous_mask)


class Fleet:
    """The stewards of a deployment, by instance."""

    def __init__(self, addresses: dict[str, str], shared_key: str):
        self._addresses = addresses
        self._shared_key = shared_key
        self._recorder = timeline.Recorder(
            "operator", "", clock_lib.SystemClock()
        )

    @classmethod
    def from_log(
        cls, log_url: str, stewards: list[str], shared_key: str
    ) -> "Fleet":
        """Returns a fleet of the members on the log and the given stewards."""
        addresses = {address: address for address in stewards}
        log = log_state.LogState(log_url)
        log.refresh()
        for name, member in log.state.members.items():
            addresses = {
                k: v for k, v in addresses.items() if v != member.address
            }
            addresses[name] = member.address
        return cls(addresses, shared_key)

    @property
    def instances(self) -> list[str]:
        """Names of the instances to query, sorted."""
        return sorted(self._addresses)

    def statuses(self) -> dict[str, messages.StatusReply | None]:
        """Returns the status by instance, None if a steward does not answer."""
        return _run_with_signals_blocked(
            self._query_all(lambda: messages.StatusRequest(uuid.uuid4().hex))
        )

    def events(
        self, limit: int, call_id: str
    ) -> tuple[list[timeline.TimelineEvent], list[str]]:
        """Returns all available events, and the names of missing sources."""
        replies = _run_with_signals_blocked(
            self._query_all(
                lambda: messages.EventsRequest(uuid.uuid4().hex, limit, call_id)
            )
        )
        events = []
        missing = []
        for instance, reply in sorted(replies.items()):
            if reply is None:
                missing.append(f"instance {instance}")
                continue
            missing.extend(reply.missing)
            for plain in reply.events:
                event = timeline.from_plain(plain)
                if event is not None:
                    events.append(event)
        return events, missing

    async def _query_all(
        self, request: collections.abc.Callable[[], object]
    ) -> dict[str, object]:
        semaphore = asyncio.Semaphore(MAX_CONCURRENT_REQUESTS)

        async def query(address: str) -> object:
            async with semaphore:
                try:
                    return await asyncio.wait_for(
                        self._query(address, request()), REPLY_TIMEOUT_S
                    )
                except (streams.StreamClosedError, TimeoutError):
                    return None

        names = self.instances
        replies = await asyncio.gather(
            *(query(self._addresses[name]) for name in names)
        )
        return dict(zip(names, replies, strict=True))

    async def _query(self, address: str, request: object) -> object:
        stream = await streams.connect(
            address, self._shared_key, "operator", "operator", self._recorder
        )
        try:
            await stream.send(request)
            return await stream.receive()
        finally:
            stream.close()
