"""The wire form of the platform's store.

Why: the one place that knows paths, query names, statuses and the framing of
records. It keeps no state and waits for nothing; the client that sends these
calls is `sesamecross.gateway.store_client`.
"""

import base64
import binascii
import struct
from urllib import parse

import msgspec

from sesamecross.platform import untrusted
from sesamecross.ports import store

CONFIGURATION_TOPIC = "keyed.op"
CONFIGURATION_KEY = "config"
UPSTREAMS_TOPIC = "keyed.servers"
# Topics of the system's own begin with this, so that the store keeps the
# newest record of each key for ever.
OWN_TOPIC_PREFIX = "keyed.sesamecross-"

_LENGTH = struct.Struct(">I")
# The end of the partition and its first retained offset, before the records.
_PAGE_HEAD = struct.Struct(">QQ")
_ENTRIES_KB = 1024


class _WireItem(msgspec.Struct, frozen=True):
    key: str
    offset: untrusted.Number
    value: str = ""


class _WireNewest(msgspec.Struct, frozen=True, rename="camel"):
    items: list[_WireItem]
    end: untrusted.Number
    has_more: bool = False


class _WireEnd(msgspec.Struct, frozen=True):
    end: untrusted.Number = 0
    offset: untrusted.Number = 0
    first: untrusted.Number = 0


_newest_decoder = msgspec.json.Decoder(_WireNewest)
_end_decoder = msgspec.json.Decoder(_WireEnd)


class StoreCodec:
    """Calls and answers of the platform's store."""

    __slots__ = ()

    def newest(self, topic: str, after: str) -> store.StoreCall:
        """Returns the call that lists the newest record of each key."""
        query = {"topic": topic, "part": "0"}
        if after:
            query["after"] = after
        return store.StoreCall(b"GET", _target("/v1/log-newest", query))

    def newest_answer(self, status: int, body: bytes) -> store.NewestOutcome:
        """Reads the answer of `newest`."""
        if status != 200:
            return store.NotDone(f"status {status}")
        try:
            wire = untrusted.decode(_newest_decoder, body)
        except untrusted.NotUnderstood as error:
            return store.NotDone(f"answer is not understood: {error}")
        records = tuple(
            store.KeyedRecord(item.key, _value(item), item.offset)
            for item in wire.items
        )
        return store.NewestPage(records, wire.has_more, wire.end)

    def read(self, topic: str, offset: int, wait_s: float) -> store.StoreCall:
        """Returns the call that reads on from an offset."""
        query = {
            "topic": topic,
            "part": "0",
            "from": str(offset),
            "maxKb": str(_ENTRIES_KB),
        }
        if wait_s > 0:
            query["waitMs"] = str(int(wait_s * 1000))
        return store.StoreCall(b"GET", _target("/v1/log-read", query))

    def read_answer(
        self, status: int, body: bytes, offset: int
    ) -> store.ReadOutcome:
        """Reads the answer of `read`."""
        if status == 410:
            return store.Expired(_numbers(body).first)
        if status != 200:
            return store.NotDone(f"status {status}")
        if len(body) < _PAGE_HEAD.size:
            return store.NotDone("answer is cut short")
        _, first = _PAGE_HEAD.unpack_from(body)
        if first > offset:
            # Records between the two were dropped unread.
            return store.Expired(first)
        return _page(body, offset)

    def append(
        self, topic: str, key: str, value: bytes | None, at: int | None
    ) -> store.StoreCall:
        """Returns the call that appends one keyed record."""
        query = {"topic": topic, "part": "0"}
        if at is not None:
            query["at"] = str(at)
        name = key.encode()
        content = bytes((len(name),)) + name + (value or b"")
        return store.StoreCall(
            b"POST",
            _target("/v1/log-append", query),
            _LENGTH.pack(len(content)) + content,
        )

    def append_answer(self, status: int, body: bytes) -> store.AppendOutcome:
        """Reads the answer of `append`."""
        if status == 200:
            return store.Appended(_numbers(body).offset)
        if status == 412:
            return store.Conflict(_numbers(body).end)
        return store.NotDone(f"status {status}")


def _target(path: str, query: dict[str, str]) -> bytes:
    return f"{path}?{parse.urlencode(query)}".encode()


def _value(item: _WireItem) -> bytes:
    """Returns an item's value; one that is damaged is empty.

    An empty value names nothing, and whoever takes the record says so. The
    other records of the page must not wait for it, and its key is there.
    """
    try:
        return base64.b64decode(item.value)
    except (binascii.Error, ValueError):
        return b""


def _numbers(body: bytes) -> _WireEnd:
    try:
        return untrusted.decode(_end_decoder, body)
    except untrusted.NotUnderstood:
        # The figures only save a call: a reader that goes on from 0 is told
        # again where to begin.
        return _WireEnd()


def _page(body: bytes, offset: int) -> store.ReadOutcome:
    records = []
    at = _PAGE_HEAD.size
    while at + _LENGTH.size <= len(body):
        (length,) = _LENGTH.unpack_from(body, at)
        at += _LENGTH.size
        if at + length > len(body):
            return store.NotDone("a record is cut short")
        record = _keyed(body[at : at + length], offset + len(records))
        records.append(record)
        at += length
    return store.Page(tuple(records), offset + len(records))


def _keyed(content: bytes, offset: int) -> store.KeyedRecord:
    """Returns the record in `content`; one without a key has an empty one."""
    if not content or len(content) < 1 + content[0]:
        return store.KeyedRecord("", None, offset)
    key = content[1 : 1 + content[0]].decode("utf-8", "replace")
    value = content[1 + content[0] :]
    return store.KeyedRecord(key, value or None, offset)
