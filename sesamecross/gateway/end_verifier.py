"""Finds out whether an upstream that broke a connection has ended.

A broken connection alone tells nothing: it may have been reset, or the way to
the upstream cut. So the upstream is asked again for some time, once for all
requests that were lost there.
"""

import asyncio
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

    __slots__ = ("_connector", "_running", "_log")

    def __init__(self, connector: Connector):
        self._connector = connector
        self._running: dict[str, asyncio.Task[bool | None]] = {}
        self._log = logs.get_logger("ends")

    def verify(
        self, upstream: directory.KnownUpstream, lost_s: float
    ) -> asyncio.Task[bool | None]:
        """Returns the task that finds out whether the upstream has ended.

        Its result is None if that could not be told. Whoever waits for it must
        shield it from being cancelled, as others wait for it too.

        Args:
          upstream: The upstream.
          lost_s: Loop time at which its connection broke.
        """
        name = incarnation(upstream)
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

    async def _verify(
        self, name: str, upstream: directory.KnownUpstream, lost_s: float
    ) -> bool | None:
        born_ms = upstream.entry.born_ms
        has_ended = None
        loop = event_loop.running()
        for _ in range(VERIFY_ATTEMPTS):
            await asyncio.sleep(VERIFY_INTERVAL_S)
            has_ended = await self._connector.has_ended(upstream, born_ms)
            lasted_s = loop.time() - lost_s
            if has_ended or (has_ended is False and lasted_s >= MIN_VERIFY_S):
                break
        self._log.info(
            "upstream ended" if has_ended else "upstream has not ended",
            upstream=name,
            is_known=has_ended is not None,
            after_ms=round((loop.time() - lost_s) * 1000),
        )
        return has_ended
