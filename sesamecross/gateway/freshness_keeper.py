"""Keeps the configuration fresh enough for keys to be served.

A read of the store may stay open for long at an instance whose hub reads for
it. Once nothing is heard of the configuration any more, that read is replaced
by one that is answered soon.
"""

from sesamecross.gateway import follower as follower_lib
from sesamecross.gateway import mesh as mesh_lib
from sesamecross.gateway import state as state_lib
from sesamecross.runtime import logs
from sesamecross.runtime import ticker as ticker_lib

CHECK_INTERVAL_S = 0.1


class FreshnessKeeper:
    """Component that asks for the configuration's age, and logs its lapses."""

    is_vital = False
    name = "freshness"

    __slots__ = (
        "_state",
        "_mesh",
        "_configurations",
        "_ticker",
        "_log",
        "_was_fresh",
    )

    def __init__(
        self,
        state: state_lib.State,
        mesh: mesh_lib.Mesh,
        configurations: follower_lib.Follower,
        ticker: ticker_lib.Ticker | None = None,
    ):
        self._state = state
        self._mesh = mesh
        self._configurations = configurations
        self._ticker = ticker or ticker_lib.Ticker()
        self._log = logs.get_logger("freshness")
        self._was_fresh = True

    async def run(self) -> None:
        """Replaces reads that stay open, while nothing else is heard."""
        while True:
            await self._ticker.wait(CHECK_INTERVAL_S)
            if self._state.keys is None:
                await self._ticker.wait_until(
                    lambda: self._state.keys is not None, CHECK_INTERVAL_S
                )
            if self._mesh.asks_for_freshness():
                self._configurations.replace_read()
            is_fresh = self._state.is_fresh
            if is_fresh != self._was_fresh:
                self._was_fresh = is_fresh
                self._log.info(
                    "keys are served" if is_fresh else "keys are not served",
                    age_s=round(self._state.freshness.age_s(), 2),
                    version=self._state.version,
                )

    async def stop(self) -> None:
        """Does nothing."""
