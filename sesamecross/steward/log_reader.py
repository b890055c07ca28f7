"""Long-polls the platform's log and feeds the replica.

Reading continues through outages, resumes at the same offset and never skips
a gap. Where the log has expired the records needed, a peer provides the state.
"""

import asyncio
from collections.abc import Callable
import random

from returns.result import Success

from sesamecross.ops import catchup
from sesamecross.ops import timeline
from sesamecross.ports import log_http
from sesamecross.runtime import logs
from sesamecross.steward import local_replica as local_replica_lib

LONG_POLL_MS = 1000
INITIAL_BACKOFF_S = 0.05
MAX_BACKOFF_S = 1.0


class LogReader:
    """Component that long-polls the log."""

    __slots__ = (
        "_log",
        "_replica",
        "_recorder",
        "_rng",
        "_logger",
        "_reachable",
        "_caught_up",
        "_on_gap",
    )

    def __init__(
        self,
        log: log_http.HttpLog,
        replica: local_replica_lib.LocalReplica,
        recorder: timeline.Recorder,
        rng: random.Random,
        on_gap: Callable[[], None],
    ):
        self._log = log
        self._replica = replica
        self._recorder = recorder
        self._rng = rng
        self._logger = logs.get_logger("log-reader")
        self._reachable = False
        self._caught_up = False
        self._on_gap = on_gap

    @property
    def name(self) -> str:
        """The component's name in logs."""
        return "log-reader"

    @property
    def reachable(self) -> bool:
        """Whether the last read was answered."""
        return self._reachable

    @property
    def caught_up(self) -> bool:
        """Whether the replica has reached the log's end since the start."""
        return self._caught_up

    async def run(self) -> None:
        """Reads until cancelled."""
        backoff_s = INITIAL_BACKOFF_S
        while True:
            start = self._replica.log_replica.read_offset
            wait_ms = LONG_POLL_MS if self._caught_up else 0
            result = await asyncio.to_thread(self._log.read, start, wait_ms)
            if isinstance(result, Success):
                backoff_s = INITIAL_BACKOFF_S
                self._set_reachable(True, "")
                self._feed_page(result.unwrap())
                continue
            self._set_reachable(False, str(result.failure()))
            await asyncio.sleep(backoff_s * self._rng.uniform(0.5, 1.0))
            backoff_s = min(backoff_s * 2, MAX_BACKOFF_S)

    async def stop(self) -> None:
        """Does nothing: no work is open between reads."""

    def _feed_page(self, page: log_http.Page) -> None:
        log_replica = self._replica.log_replica
        log_replica.feed(page.start, page.payloads)
        at_end = page.start + len(page.payloads) >= page.next_offset
        if not at_end:
            return
        if log_replica.progress is catchup.CatchupState.FOLLOWING:
            self._caught_up = True
            return
        # The log holds no snapshot that covers the gap to its remaining
        # records; only a peer can provide one.
        self._on_gap()

    def _set_reachable(self, reachable: bool, reason: str) -> None:
        if reachable == self._reachable:
            return
        self._reachable = reachable
        if reachable:
            self._logger.info("log reads succeed")
        else:
            self._logger.warning("reads fail", reason=reason)
        self._recorder.add(
            timeline.EventKind.LOG,
            "reads are answered" if reachable else "reads fail",
        )
