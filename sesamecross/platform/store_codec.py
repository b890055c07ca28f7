"""Wire format of the platform's store: paths, queries, statuses and framing.

The codec is stateless and does no I/O; `sesamecross.gateway.store_client`
sends the calls.
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
# The system's own topics begin with this prefix, for which the store keeps the
# newest record of each key forever.
OWN_TOPIC_PREFIX = "keyed.sesamecross-"

_LENGTH = struct.Struct(">I")
# Precedes the records: end offset of the partition, first retained offset.
_PAGE_HEADER = struct.Struct(">QQ")
_READ_PAGE_KB = 1024


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
    """Implements `ports.store.StoreCodec`."""

    __slots__ = ()

    def newest(self, topic: str, after: str) -> store.StoreCall:
        """Returns the call that lists the newest record of each key."""
        query = {"topic": topic, "part": "0"}
        if after:
            query["after"] = after
        return store.StoreCall(b"GET", _request_target("/v1/log-newest", query))

    def newest_answer(self, status: int, body: bytes) -> store.NewestOutcome:
        """Decodes the response to `newest`."""
        if status != 200:
            return store.NotDone(f"status {status}")
        try:
            wire = untrusted.decode(_newest_decoder, body)
        except untrusted.DecodeError as error:
            return store.NotDone(f"answer is not understood: {error}")
        records = tuple(
            store.KeyedRecord(item.key, _decode_value(item), item.offset)
            for item in wire.items
        )
        return store.NewestPage(records, wire.has_more, wire.end)

    def read(self, topic: str, offset: int, wait_s: float) -> store.StoreCall:
        """Returns the call that reads records from an offset on."""
        query = {
            "topic": topic,
            "part": "0",
            "from": str(offset),
            "maxKb": str(_READ_PAGE_KB),
        }
        if wait_s > 0:
            query["waitMs"] = str(int(wait_s * 1000))
        return store.StoreCall(b"GET", _request_target("/v1/log-read", query))

    def read_answer(
        self, status: int, body: bytes, offset: int
    ) -> store.ReadOutcome:
        """Decodes the response to `read`."""
        if status == 410:
            return store.Expired(_decode_offsets(body).first)
        if status != 200:
            return store.NotDone(f"status {status}")
        if len(body) < _PAGE_HEADER.size:
            return store.NotDone("answer is cut short")
        _, first = _PAGE_HEADER.unpack_from(body)
        if first > offset:
            # The records between `offset` and `first` have expired.
            return store.Expired(first)
        return _decode_page(body, offset)

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
            _request_target("/v1/log-append", query),
            _LENGTH.pack(len(content)) + content,
        )

    def append_answer(self, status: int, body: bytes) -> store.AppendOutcome:
        """Decodes the response to `append`."""
        if status == 200:
            return store.Appended(_decode_offsets(body).offset)
        if status == 412:
            return store.Conflict(_decode_offsets(body).end)
        return store.NotDone(f"status {status}")


def _request_target(path: str, query: dict[str, str]) -> bytes:
    return f"{path}?{parse.urlencode(query)}".encode()


def _decode_value(item: _WireItem) -> bytes:
    """Returns an item's value, or an empty value if it is damaged.

    Readers reject and log the empty value. The item is kept, so that the other
    records of the page are used and its key does not count as deleted.
    """
    try:
        return base64.b64decode(item.value)
    except (binascii.Error, ValueError):
        return b""


def _decode_offsets(body: bytes) -> _WireEnd:
    try:
        return untrusted.decode(_end_decoder, body)
    except untrusted.DecodeError:
        # The offsets only save a call: a reader that continues from 0 is told
        # the first offset again.
        return _WireEnd()


def _decode_page(body: bytes, offset: int) -> store.ReadOutcome:
    records = []
    position = _PAGE_HEADER.size
    while position + _LENGTH.size <= len(body):
        (length,) = _LENGTH.unpack_from(body, position)
        position += _LENGTH.size
        if position + length > len(body):
            return store.NotDone("a record is cut short")
        record = _decode_record(
            body[position : position + length], offset + len(records)
        )
        records.append(record)
        position += length
    return store.Page(tuple(records), offset + len(records))


def _decode_record(content: bytes, offset: int) -> store.KeyedRecord:
    """Decodes a record; the key is empty if the content has none."""
    if not content or len(content) < 1 + content[0]:
        return store.KeyedRecord("", None, offset)
    key = content[1 : 1 + content[0]].decode("utf-8", "replace")
    value = content[1 + content[0] :]
    return store.KeyedRecord(key, value or None, offset)
