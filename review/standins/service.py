"""A stand-in of a plain worker: some slots, a short queue, its entry."""

import asyncio
import time

import web

_HEARTBEAT_S = 1.2


class Service:
    """A worker that answers each request after some work.

    Attributes:
      arrivals: Ids of the requests that arrived whole and were taken.
    """

    def __init__(self, name, service, zone, slots, queue, work_s):
        self.name, self._service, self._zone = name, service, zone
        self._slots, self._queue, self._work_s = slots, queue, work_s
        self.server = web.Server(self._handle)
        self.arrivals = []
        self._free = asyncio.Semaphore(slots)
        self._open = 0
        self._born = int(time.time() * 1000)
        self._beats = 0

    async def start(self, store, host):
        """Listens, and keeps its entry in the store."""
        await self.server.start(host)
        self._store = store
        self._task = asyncio.create_task(self._beat())

    async def stop(self):
        """Ends."""
        self._task.cancel()
        await self.server.stop()

    async def _beat(self):
        while True:
            self._beats += 1
            entry = {
                "service": self._service,
                "address": self.server.address,
                "zone": self._zone,
                "version": "v1",
                "slots": self._slots,
                "state": "ready",
                "coldRemainingMs": 0,
                "sequence": self._beats,
                "born": self._born,
            }
            await self._store.write("keyed.servers", self.name, entry)
            await asyncio.sleep(_HEARTBEAT_S)

    async def _handle(self, request):
        request_id = request.headers.get("request-id", "")
        identity = [("Request-Id", request_id), ("Instance-Id", self.name)]
        not_run = [*identity, ("Not-Executed", "1")]
        if request.headers.get("expected-instance", self.name) != self.name:
            web.respond(request.writer, 421, b"", not_run)
            return True
        if self._open >= self._slots + self._queue:
            web.respond(request.writer, 503, b"", not_run)
            return True
        self._open += 1
        try:
            async with self._free:
                if request.path == "/health":
                    web.respond(request.writer, 200, b"", identity)
                    return True
                self.arrivals.append(request_id)
                await asyncio.sleep(self._work_s)
                signed = [*identity, ("Response-Signature", "a.b.c")]
                web.respond(request.writer, 200, b"r" * 800, signed)
        finally:
            self._open -= 1
        return True
