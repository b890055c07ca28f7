"""The platform's store of a trial: long polls of all gateways in one process.

It refuses no call and counts them. Upstreams' processes write their entries by
a call of its own, which the platform does not have.
"""

import asyncio
import base64
import collections
import json

from sesamecross.fakes import fleet_server
from sesamecross.fakes import platform_store

# Written by the trial's upstreams, and by its runner for the operators.
WRITE_PATH = "/trial/write"
COUNTS_PATH = "/trial/counts"


class FleetStore:
    """Keeps topics in memory; see `platform_store` for what is left out.

    Attributes:
      calls: How often each path was called.
    """

    def __init__(self):
        self.server = fleet_server.Server(self._handle)
        self._topics: dict[str, list[tuple[str, bytes]]] = {}
        self._waiting: dict[str, set[asyncio.Future]] = {}
        self.calls: collections.Counter[str] = collections.Counter()

    async def _handle(self, exchange: fleet_server.Exchange) -> None:
        self.calls[exchange.path] += 1
        match exchange.path:
            case "/v1/log-read":
                await self._read(exchange)
            case "/v1/log-newest":
                self._newest(exchange)
            case "/v1/log-append":
                self._append(exchange)
            case path if path == WRITE_PATH:
                topic, key = exchange.query["topic"], exchange.query["key"]
                self._add(topic, key, exchange.body)
                exchange.respond({})
            case path if path == COUNTS_PATH:
                exchange.respond(dict(self.calls))
            case _:
                exchange.respond({"error": "no such path"}, 404)

    def _add(self, topic: str, key: str, value: bytes) -> None:
        self._topics.setdefault(topic, []).append((key, value))
        for one in self._waiting.pop(topic, ()):
            if not one.done():
                one.set_result(None)

    def _append(self, exchange: fleet_server.Exchange) -> None:
        topic = exchange.query["topic"]
        if topic in (
            platform_store.OPERATORS_TOPIC,
            platform_store.UPSTREAMS_TOPIC,
        ):
            exchange.respond({"error": "not yours to write"}, 403)
            return
        end = len(self._topics.get(topic, ()))
        if int(exchange.query.get("at", end)) != end:
            exchange.respond({"end": end}, 412)
            return
        for key, value in platform_store.parse_records(exchange.body):
            self._add(topic, key, value)
        new_end = len(self._topics.get(topic, ()))
        exchange.respond({"offset": end, "end": new_end})

    def _newest(self, exchange: fleet_server.Exchange) -> None:
        records = self._topics.get(exchange.query["topic"], [])
        newest = {key: at for at, (key, _) in enumerate(records)}
        after = exchange.query.get("after", "")
        keys = sorted(
            key for key, at in newest.items() if records[at][1] and key > after
        )
        items = [
            {
                "key": key,
                "value": base64.b64encode(records[newest[key]][1]).decode(),
                "offset": newest[key],
            }
            for key in keys[: platform_store.MAX_PAGE_ITEMS]
        ]
        has_more = len(keys) > platform_store.MAX_PAGE_ITEMS
        exchange.respond(
            {"items": items, "hasMore": has_more, "end": len(records)}
        )

    async def _read(self, exchange: fleet_server.Exchange) -> None:
        topic, begin = exchange.query["topic"], int(exchange.query["from"])
        wait_s = int(exchange.query.get("waitMs", 0)) / 1000
        if len(self._topics.get(topic, ())) <= begin and wait_s > 0:
            changed = asyncio.get_running_loop().create_future()
            waiting = self._waiting.setdefault(topic, set())
            waiting.add(changed)
            await asyncio.wait([changed], timeout=wait_s)
            waiting.discard(changed)
        records = self._topics.get(topic, [])
        page = [platform_store.PAGE_HEAD.pack(len(records), 0)]
        page.extend(
            platform_store.frame_record(*record) for record in records[begin:]
        )
        exchange.respond(b"".join(page))


async def write(address: str, topic: str, key: str, value: object) -> None:
    """Writes a record into the trial's store; None deletes the key."""
    host, _, port = address.rpartition(":")
    body = b"" if value is None else json.dumps(value).encode()
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(
        f"POST {WRITE_PATH}?topic={topic}&key={key} HTTP/1.1\r\n"
        f"Host: {address}\r\nContent-Length: {len(body)}\r\n\r\n".encode()
        + body
    )
    await reader.readuntil(b"\r\n\r\n")
    writer.close()
