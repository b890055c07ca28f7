"""A stand-in of a model worker: orders, reports, streams, its entry."""

import asyncio
import json
import time

import web

_HEARTBEAT_S = 1.2
_REPORT_LAG_S = 0.1
_ADAPTER_LOAD_S = 0.007
_EVENT_GAP_S = 0.02


class Engine:
    """A worker that holds one model and some of its adapters.

    Attributes:
      orders: Each order as it arrived: time, holder, fencing token, operation,
        target and answered status.
      runs: Each request that began to run: time, id and target.
    """

    def __init__(self, name, service, zone, model, adapter_slots):
        self.name, self._service, self._zone = name, service, zone
        self._model, self._slots = model, adapter_slots
        self.server = web.Server(self._handle)
        self.orders = []
        self.runs = []
        self._born = int(time.time() * 1000)
        self._sequence = 0
        self._adapters = set()
        self._pending = set()
        self._leaving = set()
        self._uses = {}
        self._beats = 0
        self._history = []

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
                "slots": 64,
                "state": "ready",
                "coldRemainingMs": 0,
                "stage": "both",
                "models": self._models(),
                "sequence": self._beats,
                "born": self._born,
            }
            await self._store.write("keyed.servers", self.name, entry)
            await asyncio.sleep(_HEARTBEAT_S)

    def _models(self):
        held = sorted(f"{one}@1" for one in self._adapters)
        return [{"name": self._model, "version": 1, "adapters": held}]

    def _report(self):
        return {
            "stage": "both",
            "models": self._models(),
            "busy": False,
            "sequence": self._sequence,
            "queued": 0,
            "inFlight": sum(self._uses.values()),
            "kvUsed": 0,
            "kvTotal": 150_000,
            "handles": 0,
            "pending": [f"{self._model}/{one}@1" for one in self._pending],
            "born": self._born,
        }

    def _note(self):
        """Keeps what later reports show."""
        self._history.append((time.monotonic(), self._report()))
        del self._history[:-200]

    async def _handle(self, request):
        expected = request.headers.get("expected-instance", self.name)
        if expected != self.name:
            headers = [("Instance-Id", self.name), ("Not-Executed", "1")]
            web.respond(request.writer, 421, b"", headers)
        elif request.path == "/v1/report":
            self._answer_report(request)
        elif request.path == "/v1/order":
            self._answer_order(request)
        elif request.path == "/health":
            headers = [("Instance-Id", self.name)]
            web.respond(request.writer, 200, b"", headers)
        else:
            await self._run(request)
        return True

    def _answer_report(self, request):
        shown = self._report()
        shown_from_s = time.monotonic() - _REPORT_LAG_S
        for at_s, report in self._history:
            if at_s > shown_from_s:
                break
            shown = report
        body = json.dumps(shown).encode()
        headers = [("Content-Type", "application/json")]
        web.respond(request.writer, 200, body, headers)

    def _answer_order(self, request):
        order = json.loads(request.body)
        status = self._apply(order)
        target = order["model"]
        if "adapter" in order:
            target += "/" + order["adapter"]
        self.orders.append(
            (
                time.monotonic(),
                order["holder"],
                order["fencingToken"],
                order["operation"],
                target,
                status,
            )
        )
        self._note()
        web.respond(request.writer, status)

    def _apply(self, order):
        if order.get("precondition", self._sequence) != self._sequence:
            return 409
        adapter = order.get("adapter")
        if order["model"] != self._model:
            return 400
        if adapter is None:
            # The model stays: it is the only one.
            return 200 if order["operation"] == "load" else 409
        if order["operation"] == "load":
            if adapter in self._adapters | self._pending:
                return 200
            taken = self._adapters | self._pending | self._leaving
            if len(taken) >= self._slots:
                return 409
            self._sequence += 1
            self._pending.add(adapter)
            asyncio.create_task(self._load(adapter))
            return 202
        if adapter not in self._adapters:
            return 200
        self._sequence += 1
        self._adapters.discard(adapter)
        if not self._uses.get(adapter):
            return 200
        self._leaving.add(adapter)
        return 202

    async def _load(self, adapter):
        await asyncio.sleep(_ADAPTER_LOAD_S)
        self._pending.discard(adapter)
        self._adapters.add(adapter)
        self._note()

    async def _run(self, request):
        model, _, adapter = request.headers.get("model", "").partition("/")
        identity = [("Request-Id", request.headers.get("request-id", ""))]
        if model != self._model or (adapter and adapter not in self._adapters):
            headers = [*identity, ("Instance-Id", self.name)]
            headers.append(("Not-Executed", "1"))
            web.respond(request.writer, 421, b"", headers)
            return
        now_s = time.monotonic()
        self.runs.append((now_s, identity[0][1], request.headers["model"]))
        self._uses[adapter] = self._uses.get(adapter, 0) + 1
        try:
            headers = [
                *identity,
                ("Response-Signature", "a.b.c"),
                ("Weight-Versions", "1"),
                ("Content-Type", "text/event-stream"),
                ("Transfer-Encoding", "chunked"),
            ]
            request.writer.write(web.head(200, headers))
            for number in range(1, 4):
                await asyncio.sleep(_EVENT_GAP_S)
                event = f"id: {number}\ndata: words\n\n".encode()
                chunk = b"%x\r\n%b\r\n" % (len(event), event)
                request.writer.write(chunk)
            request.writer.write(b"0\r\n\r\n")
        finally:
            self._uses[adapter] -= 1
            if not self._uses[adapter]:
                self._leaving.discard(adapter)
            self._note()
