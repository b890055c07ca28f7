"""Applies configuration and upstream records to the state.

Records come from the store, or from another instance if the store refuses this
one. They may be written by other programs, be unreadable or arrive late. An
unreadable record is ignored, and so is one that is older than what is known.
Each change of the state is logged with the offset of the record that caused it.

A record may also make the code raise an unforeseen exception. It is logged and
affects that record only: an exception out of a sink would stop its follower,
and repeated failures would end the process.
"""

from collections.abc import Callable

import msgspec

from sesamecross.core import serving
from sesamecross.gateway import state as state_lib
from sesamecross.ops.fleet import topic_records
from sesamecross.ports import store
from sesamecross.runtime import event_loop
from sesamecross.runtime import logs

ConfigurationDecoder = Callable[[bytes], serving.Configuration | None]
UpstreamDecoder = Callable[[str, bytes], serving.Upstream | None]


class ConfigurationSink:
    """Applies the operators' newest configuration."""

    __slots__ = ("_state", "_key", "_decode", "_log", "_is_understood", "raw")

    def __init__(
        self, state: state_lib.State, key: str, decode: ConfigurationDecoder
    ):
        self._state = state
        self._key = key
        self._decode = decode
        self._log = logs.get_logger("configuration")
        # Whether the newest record could be applied.
        self._is_understood = False
        self.raw = topic_records.TopicRecords()

    @property
    def end(self) -> int:
        """The offset up to which records have been applied, or -1."""
        return self.raw.end

    def on_record(self, record: store.KeyedRecord) -> None:
        """Applies one record."""
        if record.key != self._key or record.value is None:
            return
        if not self.raw.take(record):
            return
        try:
            self._apply(record)
        except Exception:
            self._log.exception("record not applied", offset=record.offset)

    def _apply(self, record: store.KeyedRecord) -> None:
        self._is_understood = False
        configuration = self._decode(record.value)
        if configuration is None:
            self._log.warning("unreadable", offset=record.offset)
            return
        before = self._state.version
        is_new = self._state.offer_configuration(configuration)
        self._is_understood = True
        if is_new:
            if self._state.keys is not None and self._state.keys.doubled:
                self._log.warning(
                    "keys of several workspaces name none",
                    keys=self._state.keys.doubled,
                )
            self._log.info(
                "in force",
                version=configuration.version,
                before=before,
                offset=record.offset,
                routes=len(configuration.routes),
            )

    def confirm(self, as_of_s: float) -> None:
        """Notes that no record was newer than the known ones at that moment."""
        if self._is_understood:
            self._state.freshness.learn(as_of_s)

    def on_listed(self, keys: set[str], end: int) -> None:
        """Does nothing: a configuration that is not listed stays in force."""

    def on_progress(self, end: int) -> None:
        """Notes that all records before `end` have been applied."""
        self.raw.advance_end(end)


class UpstreamSink:
    """Applies the upstreams' entries."""

    __slots__ = ("_state", "_decode", "_log", "raw")

    def __init__(self, state: state_lib.State, decode: UpstreamDecoder):
        self._state = state
        self._decode = decode
        self._log = logs.get_logger("upstreams")
        self.raw = topic_records.TopicRecords()

    @property
    def end(self) -> int:
        """The offset up to which records have been applied, or -1."""
        return self.raw.end

    def on_record(self, record: store.KeyedRecord) -> None:
        """Applies one record; one that repeats the known value is only kept."""
        if not self.raw.take(record) or self.raw.is_renewal(record):
            return
        try:
            self._apply(record)
        except Exception:
            self._log.exception(
                "record not applied", id=record.key, offset=record.offset
            )

    def _apply(self, record: store.KeyedRecord) -> None:
        directory = self._state.directory
        if record.value is None:
            now_s = event_loop.now_s()
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
        if directory.update_entry(entry):
            now_s = event_loop.now_s()
            self._state.versions.record_upstream(entry, now_s)
            self._state.notify_change()
            # The models that an upstream holds change with each order, for each
            # upstream and instance: 23,000 lines in 50 s. Orders have log lines
            # of their own, so such changes are logged at debug level.
            log_entry = self._log.debug
            if before is None or _identity_changed(before, entry):
                log_entry = self._log.info
            log_entry(
                "seen",
                id=record.key,
                offset=record.offset,
                address=entry.address,
                leaving=entry.is_leaving,
                remaining_s=entry.remaining_s,
                born=entry.born_ms,
                version=entry.version,
                models=sorted(held.name for held in entry.models),
            )

    def on_listed(self, keys: set[str], end: int) -> None:
        """Removes known keys that the listing lacks.

        Their removal was not read before it expired.
        """
        for key in sorted(self.raw.missing_from(keys)):
            self.on_record(store.KeyedRecord(key, None, end - 1))
        self.raw.listed_end = max(self.raw.listed_end, end)
        self._state.mark_upstreams_listed()

    def on_progress(self, end: int) -> None:
        """Notes that all records before `end` have been applied."""
        self.raw.advance_end(end)
        self._state.upstreams_offset = self.raw.end
        self._state.upstreams_read_s = event_loop.now_s()
        self._state.mark_upstreams_listed()


def _identity_changed(
    before: serving.Upstream, entry: serving.Upstream
) -> bool:
    """Returns whether an entry differs in more than the models it lists."""
    return (before.born_ms, before.address, before.is_leaving) != (
        entry.born_ms,
        entry.address,
        entry.is_leaving,
    )


class Catalog(msgspec.Struct, frozen=True):
    """The sinks of both topics."""

    configuration: ConfigurationSink
    upstreams: UpstreamSink
