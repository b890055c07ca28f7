"""Takes configuration and upstreams into the state, whoever brings them.

Why: records come from the store, or from another instance where the store
turns this one away. They may come from other writers, be unreadable, or
arrive late. What can't be read names nothing; what is older than what is
known changes nothing. Each change of belief is logged with the offset that
brought it.

A record may also be one that no code was made for, and fail it. It costs its
line and no more: a sink that raised would take its follower down, and with
some more of them the process.
"""

import asyncio
from collections.abc import Callable
import dataclasses

from sesamecross.core import serving
from sesamecross.gateway import state as state_lib
from sesamecross.ops.fleet import topic_records
from sesamecross.ports import store
from sesamecross.runtime import logs

ConfigurationDecoder = Callable[[bytes], serving.Configuration | None]
UpstreamDecoder = Callable[[str, bytes], serving.Upstream | None]


class ConfigurationSink:
    """Takes the operators' newest configuration."""

    __slots__ = ("_state", "_key", "_decode", "_log", "raw")

    def __init__(
        self, state: state_lib.State, key: str, decode: ConfigurationDecoder
    ):
        self._state = state
        self._key = key
        self._decode = decode
        self._log = logs.part("configuration")
        self.raw = topic_records.TopicRecords()

    @property
    def end(self) -> int:
        """Up to where records were taken in, or -1."""
        return self.raw.end

    def on_record(self, record: store.KeyedRecord) -> None:
        """Takes one record."""
        if record.key != self._key or record.value is None:
            return
        if not self.raw.take(record):
            return
        try:
            self._take(record)
        except Exception:
            self._log.exception("record not taken", offset=record.offset)

    def _take(self, record: store.KeyedRecord) -> None:
        configuration = self._decode(record.value)
        if configuration is None:
            self._log.warning("unreadable", offset=record.offset)
            return
        before = self._state.version
        if self._state.offer_configuration(configuration):
            self._log.info(
                "in force",
                version=configuration.version,
                before=before,
                offset=record.offset,
                routes=len(configuration.routes),
            )

    def on_whole(self, keys: set[str], end: int) -> None:
        """A configuration that is not listed stays in force."""

    def on_reached(self, end: int) -> None:
        """All records before `end` were taken in."""
        self.raw.advance_end(end)


class UpstreamSink:
    """Takes the upstreams' entries."""

    __slots__ = ("_state", "_decode", "_log", "raw")

    def __init__(self, state: state_lib.State, decode: UpstreamDecoder):
        self._state = state
        self._decode = decode
        self._log = logs.part("upstreams")
        self.raw = topic_records.TopicRecords()

    @property
    def end(self) -> int:
        """Up to where records were taken in, or -1."""
        return self.raw.end

    def on_record(self, record: store.KeyedRecord) -> None:
        """Takes one record."""
        if not self.raw.take(record):
            return
        try:
            self._take(record)
        except Exception:
            self._log.exception(
                "record not taken", id=record.key, offset=record.offset
            )

    def _take(self, record: store.KeyedRecord) -> None:
        directory = self._state.directory
        now_s = asyncio.get_running_loop().time()
        if record.value is None:
            directory.lapsed(record.key, now_s)
            self._log.info("lapsed", id=record.key, offset=record.offset)
            self._state.notify_change()
            return
        entry = self._decode(record.key, record.value)
        if entry is None:
            self._log.warning("unreadable", id=record.key, offset=record.offset)
            return
        known = directory.get(record.key)
        before = known.entry if known is not None else None
        if directory.update_entry(entry, now_s):
            self._state.notify_change()
            # What it holds changes with each order, at each upstream and for
            # each instance: 23,000 lines in 50 s. The orders are logged.
            tell = self._log.debug
            if before is None or _is_other_life(before, entry):
                tell = self._log.info
            tell(
                "seen",
                id=record.key,
                offset=record.offset,
                address=entry.address,
                leaving=entry.is_leaving,
                born=entry.born_ms,
                models=sorted(held.name for held in entry.models),
            )

    def on_whole(self, keys: set[str], end: int) -> None:
        """Keys that are not listed were dropped unread."""
        for key in sorted(self.raw.missing_from(keys)):
            self.on_record(store.KeyedRecord(key, None, end - 1))
        self._state.has_upstream_list = True

    def on_reached(self, end: int) -> None:
        """All records before `end` were taken in."""
        self.raw.advance_end(end)
        self._state.upstreams_offset = self.raw.end
        self._state.has_upstream_list = True


def _is_other_life(before: serving.Upstream, entry: serving.Upstream) -> bool:
    """Whether an entry says more than what the upstream holds now."""
    return (before.born_ms, before.address, before.is_leaving) != (
        entry.born_ms,
        entry.address,
        entry.is_leaving,
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Catalog:
    """Both topics."""

    configuration: ConfigurationSink
    upstreams: UpstreamSink
