"""How a steward starts: from the log, from peers, or waiting honestly.

Why: instances keep nothing. With the log up, the log is the source; with the
log down, a peer's replayed state is; with neither, the steward waits and
says so, and its entry refuses instead of guessing.
"""

import asyncio
from typing import Any

from sesamecross.core import records
from sesamecross.ops import timeline
from sesamecross.runtime import logs

TICK_S = 0.05
PEER_FETCH_DELAY_S = 1.0


class Bootstrapper:
    """Component that makes the steward ready, and mends gaps later."""

    __slots__ = ("_app", "_logger", "_has_gap", "_joined")

    def __init__(self) -> None:
        self._app: Any = None
        self._logger = logs.get_logger("starter")
        self._has_gap = False
        self._joined = False

    @property
    def name(self) -> str:
        """The prefix of its logs."""
        return "starter"

    def bind(self, app: Any) -> None:
        """Names the application whose start this is."""
        self._app = app

    def on_gap(self) -> None:
        """The log has expired what this replica would need next."""
        self._has_gap = True

    async def run(self) -> None:
        """Gets the steward ready, then watches for gaps."""
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
                    "neither the log nor a peer gives the state;"
                    " waiting, nothing is served"
                )
        await self._watch_for_gaps()

    async def stop(self) -> None:
        """Nothing to finish."""

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
        """Introduces this incarnation once the log can be appended to."""
        app = self._app
        if self._joined or not app.reader.caught_up:
            return
        self._joined = True
        app.writer.submit(records.MemberJoined(app.me))

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
