"""A fake of the platform's store, as far as a gateway calls it.

A gateway process learns operators' configurations and upstreams from the store
alone. A test writes both here, as operators and upstreams do. The gateway's own
topics work as on the platform: keyed records, conditional appends, long polls.

There are no partitions but 0, no expiry, no rate limits and no groups of
members: a gateway uses none of these.
"""

import base64
import json
import struct
import threading
import time
from typing import Any
from urllib import parse

from sesamecross.fakes import base

# Written by operators and upstreams only.
OPERATORS_TOPIC = "keyed.op"
UPSTREAMS_TOPIC = "keyed.servers"
CONFIGURATION_KEY = "config"

MAX_PAGE_ITEMS = 500
_LENGTH = struct.Struct(">I")
# The end of the partition and its first retained offset.
PAGE_HEAD = struct.Struct(">QQ")


class PlatformStore(base.FakeServer):
    """Keeps topics in memory and serves them."""

    def __init__(self, listen: str):
        super().__init__("platform-store", listen, threads=64)
        self._changed = threading.Condition()
        self._topics: dict[str, list[tuple[str, bytes]]] = {}
        self._is_closed = False
        self.route("GET", "/v1/log-newest", self._newest)
        self.route("GET", "/v1/log-read", self._read)
        self.route("POST", "/v1/log-append", self._append)

    def start(self) -> None:
        """Binds the address and serves."""
        self.server.start()

    def shut_down(self) -> None:
        """Ends waiting reads and stops the server."""
        with self._changed:
            self._is_closed = True
            self._changed.notify_all()
        self.server.shut_down()

    # -- what operators and upstreams write ------------------------------

    def publish(self, configuration: dict[str, Any]) -> None:
        """Writes a configuration, as an operator does."""
        self.write(OPERATORS_TOPIC, CONFIGURATION_KEY, configuration)

    def write(self, topic: str, key: str, value: Any) -> None:
        """Appends a JSON record."""
        with self._changed:
            self._add(topic, key, json.dumps(value).encode())

    def delete(self, topic: str, key: str) -> None:
        """Deletes a key by appending an empty value."""
        with self._changed:
            self._add(topic, key, b"")

    def _add(self, topic: str, key: str, value: bytes) -> int:
        records = self._topics.setdefault(topic, [])
        records.append((key, value))
        self._changed.notify_all()
        return len(records) - 1

    def has_key_with(self, prefix: str) -> bool:
        """Whether any topic has a record whose key begins so."""
        with self._changed:
            return any(
                key.startswith(prefix)
                for records in self._topics.values()
                for key, _ in records
            )

    # -- what gateways call ----------------------------------------------

    def _append(self, request: base.Request) -> base.Response:
        query = _query(request)
        body = request.body
        if query["topic"] in (OPERATORS_TOPIC, UPSTREAMS_TOPIC):
            return base.Response({"error": "not yours to write"}, 403)
        with self._changed:
            end = len(self._topics.get(query["topic"], []))
            if int(query.get("at", end)) != end:
                return base.Response({"end": end}, 412)
            for key, value in parse_records(body):
                self._add(query["topic"], key, value)
            new_end = len(self._topics.get(query["topic"], []))
        return base.Response({"offset": end, "end": new_end})

    def _newest(self, request: base.Request) -> base.Response:
        query = _query(request)
        with self._changed:
            records = list(self._topics.get(query["topic"], []))
        newest = {key: at for at, (key, _) in enumerate(records)}
        keys = sorted(
            key
            for key, at in newest.items()
            if records[at][1] and key > query.get("after", "")
        )
        items = [
            {
                "key": key,
                "value": base64.b64encode(records[newest[key]][1]).decode(),
                "offset": newest[key],
            }
            for key in keys[:MAX_PAGE_ITEMS]
        ]
        return base.Response(
            {
                "items": items,
                "hasMore": len(keys) > MAX_PAGE_ITEMS,
                "end": len(records),
            }
        )

    def _read(self, request: base.Request) -> base.Response:
        query = _query(request)
        begin = int(query["from"])
        deadline_s = time.monotonic() + int(query.get("waitMs", 0)) / 1000
        with self._changed:
            while not self._is_closed:
                records = self._topics.get(query["topic"], [])
                remaining_s = deadline_s - time.monotonic()
                if len(records) > begin or remaining_s <= 0:
                    break
                self._changed.wait(remaining_s)
            records = list(self._topics.get(query["topic"], []))
        page = [PAGE_HEAD.pack(len(records), 0)]
        page.extend(frame_record(*record) for record in records[begin:])
        return base.Response(b"".join(page))


def _query(request: base.Request) -> dict[str, str]:
    return dict(parse.parse_qsl(request.environ.get("QUERY_STRING", "")))


def frame_record(key: str, value: bytes) -> bytes:
    """Returns a keyed record as a read returns it."""
    name = key.encode()
    content = bytes((len(name),)) + name + value
    return _LENGTH.pack(len(content)) + content


def parse_records(body: bytes) -> list[tuple[str, bytes]]:
    """Returns the keyed records in the body of an append."""
    records = []
    at = 0
    while at < len(body):
        (length,) = _LENGTH.unpack_from(body, at)
        at += _LENGTH.size
        content = body[at : at + length]
        if len(content) < length:
            raise ValueError("a record is cut short")
        at += length
        name_end = 1 + content[0]
        records.append((content[1:name_end].decode(), content[name_end:]))
    return records
