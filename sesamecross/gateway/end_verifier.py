"""Finds out whether an upstream that broke a connection has ended.

A broken connection alone tells nothing: it may have been reset, or the way to
the upstream cut. So the upstream is asked again for some time, once for all
requests that were lost there.

A reset of this instance's connections breaks those of several requests to
several upstreams at one moment. If such an upstream lives right after, what it
does later is no consequence of the lost requests.
"""

import asyncio
from collections import deque
from typing import Protocol

from sesamecross.ops.fleet import directory
from sesamecross.runtime import event_loop
from sesamecross.runtime import logs

# How often and for how long it is asked. An upstream that has ended stays in
# the store's list for some seconds.
VERIFY_INTERVAL_S = 0.25
VERIFY_ATTEMPTS = 8
# An upstream that ends may answer for a moment longer.
MIN_VERIFY_S = 0.5
# When an upstream is first asked after its connection broke.
FIRST_CHECK_S = 0.05
# Connections of several requests to several upstreams that break within this
# time were probably reset together, or the upstreams ended together.
SAME_MOMENT_S = 0.005


class Connector(Protocol):
    """Asks an upstream once."""

    async def has_ended(
        self, upstream: directory.KnownUpstream, born_ms: int
    ) -> bool | None:
        """Whether the incarnation has ended; None if that can't be told."""


def incarnation(upstream: directory.KnownUpstream) -> str:
    """Returns the name of an upstream's incarnation."""
    return f"{upstream.entry.instance_id}/{upstream.entry.born_ms}"


class EndVerifier:
    """Verifies ends, one verification at a time for each incarnation."""

    __slots__ = ("_connector", "_running", "_losses", "_log")

    def __init__(self, connector: Connector):
        self._connector = connector
        self._running: dict[str, asyncio.Task[bool | None]] = {}
        # Times, incarnations and requests of the latest losses.
        self._losses: deque[tuple[float, str, bytes]] = deque()
        self._log = logs.get_logger("ends")

    def verify(
        self,
        upstream: directory.KnownUpstream,
        lost_s: float,
        request: bytes = b"",
    ) -> asyncio.Task[bool | None]:
        """Returns the task that finds out whether the upstream has ended.

        Its result is None if that could not be told. Whoever waits for it must
        shield it from being cancelled, as others wait for it too.

        Args:
          upstream: The upstream.
          lost_s: Loop time at which its connection broke.
          request: Fingerprint of the request that was lost; empty if unknown.
        """
        name = incarnation(upstream)
        self._record_loss(name, lost_s, request)
        task = self._running.get(name)
        if task is None:
            task = asyncio.create_task(self._verify(name, upstream, lost_s))
            self._running[name] = task
            task.add_done_callback(lambda _: self._running.pop(name, None))
        return task

    def stop(self) -> None:
        """Ends all verifications."""
        for task in list(self._running.values()):
            task.cancel()

    def _record_loss(self, name: str, lost_s: float, request: bytes) -> None:
        if not request:
            return
        self._losses.append((lost_s, name, request))
        while self._losses[0][0] < lost_s - MIN_VERIFY_S:
            self._losses.popleft()

    def _was_reset(self, name: str, lost_s: float) -> bool:
        """Whether other requests lost other upstreams at the same moment.

        One request may lose several in a row, as it is repeated after each.
        """
        moment = [
            loss
            for loss in self._losses
            if abs(loss[0] - lost_s) <= SAME_MOMENT_S
        ]
        own = {request for _, other, request in moment if other == name}
        return bool(own) and any(
            other != name and request not in own for _, other, request in moment
        )

    async def _verify(
        self, name: str, upstream: directory.KnownUpstream, lost_s: float
    ) -> bool | None:
        born_ms = upstream.entry.born_ms
        has_ended = None
        loop = event_loop.running()
        wait_s, min_s = FIRST_CHECK_S, MIN_VERIFY_S
        for _ in range(VERIFY_ATTEMPTS + 1):
            await asyncio.sleep(wait_s)
            wait_s = VERIFY_INTERVAL_S
            if self._was_reset(name, lost_s):
                min_s = FIRST_CHECK_S
            has_ended = await self._connector.has_ended(upstream, born_ms)
            lasted_s = loop.time() - lost_s
            if has_ended or (has_ended is False and lasted_s >= min_s):
                break
        self._log.info(
            "upstream ended" if has_ended else "upstream has not ended",
            upstream=name,
            is_known=has_ended is not None,
            after_ms=round((loop.time() - lost_s) * 1000),
        )
        return has_ended
