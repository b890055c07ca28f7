"""Obtains a steward's initial state: from the log or from a peer.

Instances store nothing. The state comes from the log, or from a peer's replayed
state while the log is down. With neither, the steward waits and logs it, and
its entry refuses calls instead of serving without state.
"""

import asyncio
from typing import Any

from sesamecross.core import records
from sesamecross.ops import timeline
from sesamecross.runtime import logs
from sesamecross.steward import log_writer

TICK_S = 0.05
PEER_FETCH_DELAY_S = 1.0


class Bootstrapper:
    """Component that makes the steward ready and later closes log gaps."""

    __slots__ = ("_app", "_logger", "_has_gap", "_joined")

    def __init__(self) -> None:
        self._app: Any = None
        self._logger = logs.get_logger("starter")
        self._has_gap = False
        self._joined = False

    @property
    def name(self) -> str:
        """The component's name in logs."""
        return "starter"

    def bind(self, app: Any) -> None:
        """Sets the application to make ready."""
        self._app = app

    def on_gap(self) -> None:
        """Notes that the log has expired the records needed next."""
        self._has_gap = True

    async def run(self) -> None:
        """Makes the steward ready, then watches for log gaps."""
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        has_warned = False
        while not self._app.view_sender.is_ready:
            await asyncio.sleep(TICK_S)
            waited_s = loop.time() - started_s
            if self._app.reader.caught_up:
                self._mark_ready("the log")
            elif (
                waited_s > PEER_FETCH_DELAY_S and await self._fetch_from_peers()
            ):
                self._mark_ready("a peer")
            elif waited_s > 3 * PEER_FETCH_DELAY_S and not has_warned:
                has_warned = True
                self._logger.warning(
                    "no state from the log or a peer;"
                    " waiting, nothing is served"
                )
        await self._watch_for_gaps()

    async def stop(self) -> None:
        """Does nothing: no work is open."""

    async def _watch_for_gaps(self) -> None:
        while True:
            await asyncio.sleep(TICK_S * 4)
            app = self._app
            app.peer_links.log_reachable = app.reader.reachable
            self._join()
            if self._has_gap:
                self._has_gap = False
                await app.peer_links.fetch_state()

    def _join(self) -> None:
        """Submits MemberJoined once the replica has caught up with the log."""
        app = self._app
        if self._joined or not app.reader.caught_up:
            return
        try:
            app.writer.submit(records.MemberJoined(app.me))
        except log_writer.QueueFullError:
            self._logger.warning("log append queue is full, joining later")
            return
        self._joined = True

    async def _fetch_from_peers(self) -> bool:
        state = self._app.replica.state
        before = state.next_offset
        await self._app.peer_links.fetch_state()
        return self._app.replica.state.next_offset > before

    def _mark_ready(self, source: str) -> None:
        app = self._app
        app.peer_links.add_replayed_members()
        app.peer_links.ready = True
        app.peer_links.log_reachable = app.reader.reachable
        app.view_sender.is_ready = True
        app.claim_group_manager.is_ready = True
        self._join()
        version = app.replica.state.config.state.version
        self._logger.info("ready", source=source, version=version)
        app.recorder.add(
            timeline.EventKind.PROCESS,
            f"steward is ready from {source}, version {version}",
        )
