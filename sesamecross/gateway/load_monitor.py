"""Tells the shedder of connections how late the event loop is."""

from sesamecross.ops.fleet import connection_shedder
from sesamecross.runtime import event_loop
from sesamecross.runtime import logs
from sesamecross.runtime import metrics as metrics_lib
from sesamecross.runtime import ticker as ticker_lib

CHECK_INTERVAL_S = 0.1


class LoadMonitor:
    """Component that measures the event loop's lateness at each tick."""

    is_vital = False
    is_helper = True
    name = "load"

    __slots__ = ("_shedder", "_metrics", "_ticker", "_log")

    def __init__(
        self,
        shedder: connection_shedder.ConnectionShedder,
        metrics: metrics_lib.Metrics,
        ticker: ticker_lib.Ticker | None = None,
    ):
        self._shedder = shedder
        self._metrics = metrics
        self._ticker = ticker or ticker_lib.Ticker()
        self._log = logs.get_logger("load")

    async def run(self) -> None:
        """Measures until cancelled."""
        loop = event_loop.running()
        last_s = loop.time()
        while True:
            await self._ticker.wait(CHECK_INTERVAL_S)
            now_s = loop.time()
            self._record(max(0.0, now_s - last_s - CHECK_INTERVAL_S))
            last_s = now_s

    async def stop(self) -> None:
        """Nothing to finish."""

    def _record(self, lateness_s: float) -> None:
        before = self._shedder.limit
        self._shedder.record_turn(lateness_s)
        limit = self._shedder.limit
        if limit == before:
            return
        self._metrics.set(
            "sesamecross_unread_connections_limit",
            "New connections that may wait to be read.",
            {},
            limit,
        )
        if limit < before:
            self._log.warning(
                "fewer connections may wait",
                limit=limit,
                late_ms=round(lateness_s * 1000),
            )
