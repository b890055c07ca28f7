"""Periodically removes expired upstreams and stale idle connections."""

from sesamecross.gateway import connection_pool as connection_pool_lib
from sesamecross.gateway import state as state_lib
from sesamecross.runtime import event_loop
from sesamecross.runtime import logs
from sesamecross.runtime import ticker as ticker_lib

SWEEP_INTERVAL_S = 0.5


class Sweeper:
    """Component that cleans up every `SWEEP_INTERVAL_S`."""

    is_vital = False
    is_helper = True
    name = "sweeper"

    __slots__ = ("_state", "_connection_pool", "_log", "_ticker")

    def __init__(
        self,
        state: state_lib.State,
        connection_pool: connection_pool_lib.ConnectionPool,
        ticker: ticker_lib.Ticker | None = None,
    ):
        self._state = state
        self._connection_pool = connection_pool
        self._ticker = ticker or ticker_lib.Ticker()
        self._log = logs.get_logger("upstreams")

    async def run(self) -> None:
        """Cleans up until cancelled."""
        loop = event_loop.running()
        while True:
            await self._ticker.wait(SWEEP_INTERVAL_S)
            now_s = loop.time()
            self._connection_pool.close_stale(now_s)
            for known in self._state.directory.remove_lapsed(now_s):
                self._connection_pool.close_idle(known.entry.address)
                self._log.info("forgotten", id=known.entry.instance_id)

    async def stop(self) -> None:
        """Nothing to finish."""
