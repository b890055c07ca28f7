"""A fake store on virtual time that is silent at times.

Followers, and instances that learn from each other, need a store whose answers
can stay out. It is called directly, as a `store_client.StoreClient` is.
"""

import asyncio
import dataclasses

from sesamecross.gateway import store_client
from sesamecross.ports import store


@dataclasses.dataclass(frozen=True, slots=True)
class Silence:
    """The store answers no call that is open at any moment of it.

    Attributes:
      zones: The zones whose instances it does not answer; empty for all.
    """

    begin_s: float
    end_s: float
    zones: frozenset[str] = frozenset()


class SimulatedStore:
    """The store, as the instances of one zone reach it.

    Attributes:
      logs: The records of each topic; stores of several zones share them.
      read_times_s: Loop times at which reads began.
    """

    def __init__(
        self,
        logs: dict[str, list[store.KeyedRecord]],
        silences: tuple[Silence, ...],
        call_s: float,
        zone: str = "",
    ):
        """Creates the store.

        Args:
          logs: The records of each topic.
          silences: When it does not answer.
          call_s: How long a call takes that does not wait for a record.
          zone: The zone of the instances that call it.
        """
        self.logs = logs
        self.read_times_s: list[float] = []
        self._silences = silences
        self._call_s = call_s
        self._zone = zone

    def write(self, topic: str, key: str, value: bytes) -> None:
        """Appends a record."""
        log = self.logs[topic]
        log.append(store.KeyedRecord(key, value, len(log)))

    def is_silent(self) -> bool:
        """Whether it does not answer at the moment."""
        now_s = asyncio.get_running_loop().time()
        return any(
            one.begin_s <= now_s < one.end_s
            and (not one.zones or self._zone in one.zones)
            for one in self._silences
        )

    async def newest(self, topic: str, after: str) -> store.NewestOutcome:
        """Lists all records of a topic on one page."""
        await asyncio.sleep(self._call_s)
        if self.is_silent():
            await asyncio.sleep(store_client.CALL_TIMEOUT_S - self._call_s)
            return store.Unknown("response timed out")
        log = self.logs[topic]
        newest = {record.key: record for record in log}
        return store.NewestPage(tuple(newest.values()), False, len(log))

    async def read(
        self, topic: str, offset: int, wait_s: float
    ) -> store.ReadOutcome:
        """Waits for a record, or until the client would give up."""
        loop = asyncio.get_running_loop()
        self.read_times_s.append(loop.time())
        log = self.logs[topic]
        until_s = loop.time() + wait_s
        while True:
            await asyncio.sleep(self._call_s)
            if self.is_silent():
                break
            if len(log) > offset or loop.time() >= until_s:
                return store.Page(tuple(log[offset:]), len(log))
        timeout_s = until_s + store_client.LONG_POLL_MARGIN_S - loop.time()
        await asyncio.sleep(timeout_s)
        return store.Unknown("response timed out")
