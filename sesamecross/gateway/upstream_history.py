"""Reads which software versions of upstreams came and left since an offset.

The list of upstreams tells of those that are there now. An instance that starts
after all others were killed must also know of those that have served and left
since the record of versions was last true; the log still has their entries.
"""

import msgspec

from sesamecross.gateway import catalog
from sesamecross.gateway import store_client
from sesamecross.ops.fleet import stream_origins
from sesamecross.ports import store

# Pages that are read at most; a writer that renews its record needs fewer.
MAX_PAGES = 8


class SeenSince(msgspec.Struct, frozen=True):
    """The versions in the log from an offset on.

    Attributes:
      is_complete: Whether none is missing. Some are if the log has been
        compacted, or is too long to read.
    """

    origins: frozenset[stream_origins.StreamOrigin]
    is_complete: bool


class UpstreamHistory:
    """Reads the log of upstreams' entries."""

    __slots__ = ("_client", "_topic", "_decode")

    def __init__(
        self,
        client: store_client.StoreClient,
        topic: str,
        decode: catalog.UpstreamDecoder,
    ):
        self._client = client
        self._topic = topic
        self._decode = decode

    async def read(self, offset: int, end: int) -> SeenSince | None:
        """Returns the versions of all entries in a part of the log.

        Args:
          offset: Where to begin; negative if that is not known.
          end: Where to stop: what was listed from there on is known.

        Returns:
          None if the store does not answer.
        """
        origins: set[stream_origins.StreamOrigin] = set()
        if offset < 0:
            return SeenSince(frozenset(), False)
        for _ in range(MAX_PAGES):
            if offset >= end:
                return SeenSince(frozenset(origins), True)
            outcome = await self._client.read(self._topic, offset, 0.0)
            match outcome:
                case store.Page(records, next_offset):
                    origins |= self._origins(records)
                    if next_offset <= offset:
                        break
                    offset = next_offset
                case store.Expired():
                    break
                case _:
                    return None
        return SeenSince(frozenset(origins), False)

    def _origins(
        self, records: tuple[store.KeyedRecord, ...]
    ) -> set[stream_origins.StreamOrigin]:
        entries = (
            self._decode(record.key, record.value)
            for record in records
            if record.value is not None
        )
        return {
            stream_origins.StreamOrigin(entry.service, entry.version)
            for entry in entries
            if entry is not None
        }
