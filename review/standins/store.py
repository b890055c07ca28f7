"""A stand-in of the platform's store: keyed topics of one partition."""

import asyncio
import base64
import json
import struct

import web

_LENGTH = struct.Struct(">I")
_PAGE = struct.Struct(">QQ")
_WRITTEN_BY_OTHERS = ("keyed.op", "keyed.servers")


class Store:
    """Keeps topics in memory.

    Attributes:
      delay_append_s: Called with topic, keys and the condition of each append;
        returns after how many seconds the append is done without an answer, or
        None if it is done and answered at once.
    """

    def __init__(self):
        self.server = web.Server(self._handle)
        self.topics = {}
        self.delay_append_s = lambda topic, keys, at: None
        self.on_append = lambda topic, key, value, offset: None
        self._changed = asyncio.Condition()

    async def write(self, topic, key, value):
        """Writes a record, as operators and workers do; None deletes."""
        body = b"" if value is None else json.dumps(value).encode()
        await self._add(topic, key, body)

    async def _add(self, topic, key, value):
        async with self._changed:
            records = self.topics.setdefault(topic, [])
            records.append((key, value))
            self.on_append(topic, key, value, len(records) - 1)
            self._changed.notify_all()
            return len(records) - 1

    def newest(self, topic):
        """Returns the newest record of each key: value and offset."""
        found = {}
        for offset, (key, value) in enumerate(self.topics.get(topic, ())):
            found[key] = (value, offset)
        return {key: one for key, one in found.items() if one[0]}

    async def _handle(self, request):
        # The store answers within some milliseconds.
        await asyncio.sleep(0.002)
        match request.path:
            case "/v1/log-append":
                return await self._append(request)
            case "/v1/log-read":
                await self._read(request)
            case "/v1/log-newest":
                self._newest(request)
            case _:
                web.respond(request.writer, 404)
        return True

    async def _append(self, request):
        topic = request.query["topic"]
        if topic in _WRITTEN_BY_OTHERS:
            web.respond(request.writer, 403)
            return True
        at = request.query.get("at")
        records = list(_parse(request.body))
        delay_s = self.delay_append_s(topic, [key for key, _ in records], at)
        if delay_s is not None:
            asyncio.create_task(self._append_late(topic, records, at, delay_s))
            # Nothing further comes on a connection that lost an answer.
            return False
        end = len(self.topics.get(topic, ()))
        if at is not None and int(at) != end:
            _respond_json(request, 412, {"end": end})
            return True
        for key, value in records:
            await self._add(topic, key, value)
        _respond_json(request, 200, {"offset": end, "end": end + len(records)})
        return True

    async def _append_late(self, topic, records, at, delay_s):
        await asyncio.sleep(delay_s)
        end = len(self.topics.get(topic, ()))
        if at is None or int(at) == end:
            for key, value in records:
                await self._add(topic, key, value)

    def _newest(self, request):
        topic, after = request.query["topic"], request.query.get("after", "")
        newest = self.newest(topic)
        keys = sorted(key for key in newest if key > after)
        items = [
            {
                "key": key,
                "value": base64.b64encode(newest[key][0]).decode(),
                "offset": newest[key][1],
            }
            for key in keys[:500]
        ]
        end = len(self.topics.get(topic, ()))
        more = len(keys) > 500
        page = {"items": items, "hasMore": more, "end": end}
        _respond_json(request, 200, page)

    async def _read(self, request):
        topic, begin = request.query["topic"], int(request.query["from"])
        wait_s = int(request.query.get("waitMs", 0)) / 1000
        loop = asyncio.get_running_loop()
        ends_s = loop.time() + wait_s
        async with self._changed:
            while len(self.topics.get(topic, ())) <= begin:
                left_s = ends_s - loop.time()
                if left_s <= 0:
                    break
                try:
                    await asyncio.wait_for(self._changed.wait(), left_s)
                except TimeoutError:
                    break
        records = self.topics.get(topic, ())
        page = [_PAGE.pack(len(records), 0)]
        for key, value in records[begin:]:
            name = key.encode()
            content = bytes((len(name),)) + name + value
            page.append(_LENGTH.pack(len(content)) + content)
        web.respond(request.writer, 200, b"".join(page))


def _respond_json(request, status, value):
    body = json.dumps(value).encode()
    headers = [("Content-Type", "application/json")]
    web.respond(request.writer, status, body, headers)


def _parse(body):
    position = 0
    while position < len(body):
        (length,) = _LENGTH.unpack_from(body, position)
        position += _LENGTH.size
        content = body[position : position + length]
        position += length
        end = 1 + content[0]
        yield content[1:end].decode(), content[end:]
