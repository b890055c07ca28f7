"""Periodically removes expired upstreams and stale idle connections.

It also counts the connections opened since, which costs a request nothing.
"""

from sesamecross.gateway import connection_pool as connection_pool_lib
from sesamecross.gateway import state as state_lib
from sesamecross.runtime import event_loop
from sesamecross.runtime import logs
from sesamecross.runtime import metrics as metrics_lib
from sesamecross.runtime import ticker as ticker_lib

SWEEP_INTERVAL_S = 0.5


class Sweeper:
    """Component that cleans up every `SWEEP_INTERVAL_S`."""

    is_vital = False
    is_helper = True
    name = "sweeper"

    __slots__ = (
        "_state",
        "_connection_pool",
        "_log",
        "_ticker",
        "_metrics",
        "_counted",
    )

    def __init__(
        self,
        state: state_lib.State,
        connection_pool: connection_pool_lib.ConnectionPool,
        ticker: ticker_lib.Ticker | None = None,
        metrics: metrics_lib.Metrics | None = None,
    ):
        self._state = state
        self._connection_pool = connection_pool
        self._ticker = ticker or ticker_lib.Ticker()
        self._log = logs.get_logger("upstreams")
        self._metrics = metrics or metrics_lib.Metrics()
        # Connections opened and reused, as far as they are counted.
        self._counted = (0, 0)

    async def run(self) -> None:
        """Cleans up until cancelled."""
        loop = event_loop.running()
        while True:
            await self._ticker.wait(SWEEP_INTERVAL_S)
            now_s = loop.time()
            self._connection_pool.close_stale(now_s)
            self._count_connections()
            for known in self._state.directory.remove_lapsed(now_s):
                self._connection_pool.forget(known.entry.address)
                self._log.info("forgotten", id=known.entry.instance_id)

    def _count_connections(self) -> None:
        pool = self._connection_pool
        counts = (pool.opened_count, pool.reused_count)
        for how, count, counted in zip(
            ("opened", "reused"), counts, self._counted, strict=True
        ):
            if count > counted:
                self._metrics.count(
                    "sesamecross_upstream_connections_total",
                    "Connections to upstreams taken for requests and probes.",
                    {"how": how},
                    count - counted,
                )
        self._counted = counts

    async def stop(self) -> None:
        """Nothing to finish."""
