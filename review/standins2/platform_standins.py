"""Stand-ins of the users' platform for the cases of this review.

A store, workers and clients on loopback addresses, and the machines on which
gateways run as processes of their own. Only the standard library is used. The
stand-ins follow the users' pages; where a case needs a disruption, its script
brings it about.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import struct
import tempfile
import time
from urllib import parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
HEARTBEAT_S = 1.2
STORE_DELAY_S = 0.004
# Ports of a machine; each machine has a loopback address of its own.
FRONT_PORT, READY_PORT, CONTROL_PORT = 8149, 8141, 8144
INTERNAL_PORTS = (7380, 7395)
ZONES = {"west-a": "west", "south-a": "south", "east-a": "east"}
BOUNDS = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "stableWindowMs": 4000,
    "ackMs": 5000,
    "catchUpS": 4,
    "drainMs": 2500,
    "graceS": 8,
    "lossSlackMs": 200,
    "configApplyMs": 2500,
    "rollbackSlackMs": 250,
    "outerBoundMs": 6000,
    "retryBudgetRatio": 0.2,
    "budgetWindowS": 10,
    "budgetExtra": 54,
    "recoveryS": 12,
    "passMs": 300,
    "retryAfterS": 0,
    "requireFencing": False,
    "leaseMs": 3000,
    "thawSlackMs": 300,
    "ceilingWindowS": 5,
    "ceilingOverage": 1.1,
}
CONTRACTS = (
    "base",
    "drain",
    "config",
    "cost",
    "retry",
    "recover",
    "fleet",
    "stream",
    "engine",
    "platform",
)
REASONS = {200: "OK", 202: "Accepted", 409: "Conflict", 412: "Precondition"}


class Record:
    """The file that tells what was sent, answered and run."""

    def __init__(self, path):
        self._file = pathlib.Path(path).open("w", encoding="utf-8")  # noqa: SIM115
        self._started_s = time.monotonic()

    def now_s(self):
        return time.monotonic() - self._started_s

    def write(self, text):
        line = f"{self.now_s():8.3f} s  {text}"
        self._file.write(line + "\n")
        self._file.flush()
        print(line, flush=True)


class Hosts:
    """Loopback addresses that nothing listens on."""

    def __init__(self):
        self._used = set()

    def take(self):
        while True:
            host = f"127.{random.randint(16, 250)}.{random.randint(0, 250)}.7"
            if host in self._used:
                continue
            try:
                for port in (FRONT_PORT, READY_PORT, CONTROL_PORT, 7380):
                    with socket.socket() as one:
                        one.bind((host, port))
            except OSError:
                continue
            self._used.add(host)
            return host


class Request:
    def __init__(self, method, target, headers, body):
        self.method, self.target = method, target
        self.headers, self.body = headers, body
        url = parse.urlsplit(target)
        self.path = url.path
        self.query = dict(parse.parse_qsl(url.query))


async def read_request(reader):
    """Returns the next request, or None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        method, target, _ = lines[0].split(" ", 2)
        headers = {}
        for line in lines[1:]:
            name, colon, value = line.partition(":")
            if colon:
                headers[name.strip().lower()] = value.strip()
        size = int(headers.get("content-length", "0"))
        body = await reader.readexactly(size)
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return None
    return Request(method, target, headers, body)


def answer(status, headers=(), body=b""):
    """Returns the bytes of a whole answer."""
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def json_answer(status, value):
    headers = (("Content-Type", "application/json"),)
    return answer(status, headers, json.dumps(value).encode())


class Server:
    """A server whose connections can all be cut at once."""

    def __init__(self, host, port=0):
        self.host, self.port = host, port
        self._server = None
        self._tasks = {}

    @property
    def address(self):
        return f"{self.host}:{self.port}"

    async def listen(self):
        self._server = await asyncio.start_server(
            self._serve, self.host, self.port, reuse_address=True
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def cut(self):
        """Ends as a process that is killed does."""
        self._server.close()
        for task, writer in list(self._tasks.items()):
            writer.transport.abort()
            task.cancel()
        await asyncio.sleep(0)

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self._tasks[task] = writer
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            while (request := await read_request(reader)) is not None:
                if not await self.handle(request, reader, writer):
                    break
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.pop(task, None)
            writer.close()

    async def handle(self, request, reader, writer):
        raise NotImplementedError


class Store(Server):
    """The platform's store: a log with keyed topics."""

    def __init__(self, host, record):
        super().__init__(host)
        self._record = record
        self._topics = {}
        self._changed = asyncio.Condition()
        # Called with topic, key, value and `at` of each append of a machine.
        self.on_append = lambda topic, key, value, at: None

    async def put(self, topic, key, value):
        """Writes as the operator and workers do; None deletes the key."""
        data = b"" if value is None else json.dumps(value).encode()
        async with self._changed:
            self._topics.setdefault(topic, []).append((key, data))
            self._changed.notify_all()

    async def handle(self, request, _reader, writer):
        await asyncio.sleep(STORE_DELAY_S)
        topic = request.query.get("topic", "")
        match request.path:
            case "/v1/log-newest":
                writer.write(self._newest(topic, request.query))
            case "/v1/log-read":
                writer.write(await self._read(topic, request.query))
            case "/v1/log-append":
                writer.write(await self._append(topic, request))
            case _:
                writer.write(json_answer(404, {}))
        return True

    def _newest(self, topic, query):
        records = self._topics.get(topic, [])
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
            for key in keys[:500]
        ]
        more = len(keys) > 500
        end = len(records)
        return json_answer(200, {"items": items, "hasMore": more, "end": end})

    async def _read(self, topic, query):
        begin = int(query["from"])
        until_s = time.monotonic() + int(query.get("waitMs", 0)) / 1000
        async with self._changed:
            while len(self._topics.get(topic, [])) <= begin:
                left_s = until_s - time.monotonic()
                if left_s <= 0:
                    break
                try:
                    async with asyncio.timeout(left_s):
                        await self._changed.wait()
                except TimeoutError:
                    break
        records = self._topics.get(topic, [])
        out = [struct.pack(">QQ", len(records), 0)]
        for key, value in records[begin:]:
            content = bytes((len(key.encode()),)) + key.encode() + value
            out.append(struct.pack(">I", len(content)) + content)
        return answer(200, (), b"".join(out))

    async def _append(self, topic, request):
        if topic in ("keyed.op", "keyed.servers"):
            return json_answer(403, {})
        at = request.query.get("at")
        async with self._changed:
            records = self._topics.setdefault(topic, [])
            end = len(records)
            if at is not None and int(at) != end:
                return json_answer(412, {"end": end})
            body, place = request.body, 0
            while place < len(body):
                (size,) = struct.unpack_from(">I", body, place)
                content = body[place + 4 : place + 4 + size]
                place += 4 + size
                split = 1 + content[0]
                key, value = content[1:split].decode(), content[split:]
                records.append((key, value))
                self.on_append(topic, key, value, at)
            self._changed.notify_all()
        return json_answer(200, {"offset": end, "end": len(records)})


class Engine(Server):
    """A model worker: orders, reports and streams.

    Attributes:
      started_born: Called after each start.
    """

    def __init__(self, host, store, record, worker_id, service, spec, zone):
        super().__init__(host)
        self._store, self._record = store, record
        self.id, self.service, self.spec, self.zone = (
            worker_id,
            service,
            spec,
            zone,
        )
        self.born_ms = 0
        self.is_up = False
        self.sequence = 0
        self.models = []
        self.adapters = set()
        self._busy_until_s = 0.0
        self._beat_number = 0
        self._beat_task = None
        self._timers = set()
        # Orders that were carried out: time, holder, fence, text.
        self.orders = []
        self.runs = 0
        # What was loaded beyond its memory; empty if nothing was.
        self.overload = ""
        self.event_gap_s = 0.02
        self.events = 6

    # -- life --------------------------------------------------------------

    async def start(self, models=()):
        """Starts an incarnation under the same id, with these models."""
        self.born_ms = int(time.time() * 1000)
        self.sequence, self.models, self.adapters = 0, list(models), set()
        self._busy_until_s = 0.0
        await self.listen()
        self.is_up = True
        self._record.write(f"worker {self.id} starts, holds {self.models}")
        self._beat_task = asyncio.create_task(self._beat())

    async def crash(self, why):
        self._record.write(f"worker {self.id} ends: {why}")
        self.is_up = False
        self._beat_task.cancel()
        for timer in self._timers:
            timer.cancel()
        self._timers.clear()
        await self.cut()

    async def _beat(self):
        while True:
            await self.tell()
            await asyncio.sleep(HEARTBEAT_S)

    def _held(self):
        return [
            {
                "name": model,
                "version": 1,
                "adapters": sorted(
                    name.partition("/")[2]
                    for name in self.adapters
                    if name.startswith(f"{model}/")
                ),
            }
            for model in self.models
        ]

    async def tell(self):
        self._beat_number += 1
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.spec["slots"],
            "state": "ready",
            "coldRemainingMs": 0,
            "stage": "both",
            "models": self._held(),
            "sequence": self._beat_number,
            "born": self.born_ms,
        }
        await self._store.put("keyed.servers", self.id, entry)

    # -- calls -------------------------------------------------------------

    async def handle(self, request, reader, writer):
        expected = request.headers.get("expected-instance", self.id)
        if expected != self.id:
            head = [("Instance-Id", self.id), ("Not-Executed", "1")]
            head += self._echo(request)
            writer.write(answer(421, head))
            return True
        match request.path:
            case "/v1/report":
                writer.write(json_answer(200, self._report()))
            case "/v1/order":
                status = self.order(json.loads(request.body))
                writer.write(json_answer(status, {}))
            case "/health":
                writer.write(answer(200, [("Instance-Id", self.id)]))
            case _:
                return await self._run(request, writer)
        return True

    @staticmethod
    def _echo(request):
        request_id = request.headers.get("request-id")
        return [("Request-Id", request_id)] if request_id else []

    def _report(self):
        return {
            "stage": "both",
            "born": self.born_ms,
            "models": self._held(),
            "busy": time.monotonic() < self._busy_until_s,
            "sequence": self.sequence,
            "queued": 0,
            "inFlight": 0,
            "kvUsed": 0,
            "kvTotal": self.spec["kvCapacity"],
            "handles": 0,
            "pending": [],
        }

    def _model(self, name):
        return next(m for m in self.spec["models"] if m["name"] == name)

    def order(self, order):
        """Carries an order out, or refuses it; returns the status."""
        text = f"{order['operation']} {order['model']}"
        if order.get("adapter"):
            text += f"/{order['adapter']}"
        status = self._apply(order)
        self._record.write(
            f"worker {self.id} (born {self.born_ms}): {text}, precondition"
            f" {order.get('precondition')}, holder {order['holder']}, token"
            f" {order['fencingToken']} -> {status}, sequence {self.sequence},"
            f" holds {self.models} {sorted(self.adapters)}"
        )
        self.orders.append(
            (
                time.monotonic(),
                order["holder"],
                order["fencingToken"],
                text,
                status,
            )
        )
        return status

    def _apply(self, order):
        name, adapter = order["model"], order.get("adapter")
        is_load = order["operation"] == "load"
        if time.monotonic() < self._busy_until_s:
            return 409
        precondition = order.get("precondition")
        if precondition is not None and precondition != self.sequence:
            return 409
        if adapter:
            return self._apply_adapter(f"{name}/{adapter}", name, is_load)
        if is_load == (name in self.models):
            return 200
        self.sequence += 1
        if not is_load:
            self.models.remove(name)
            self.adapters = {
                one for one in self.adapters if not one.startswith(f"{name}/")
            }
            self._soon(0.02)
            return 202
        used = sum(self._model(one)["weightsMb"] for one in self.models)
        more = self._model(name)["weightsMb"]
        if used + more > self.spec["weightsMb"]:
            self.overload = (
                f"{self.id} holds {self.models} ({used:.0f} MB) and is ordered"
                f" to load {name} ({more:.0f} MB) into"
                f" {self.spec['weightsMb']:.0f} MB"
            )
            loop = asyncio.get_running_loop()
            loop.call_soon(
                lambda: loop.create_task(self.crash("more than it can hold"))
            )
            return 202
        load_s = self._model(name)["loadS"]
        self._busy_until_s = time.monotonic() + load_s
        self._soon(load_s, name)
        return 202

    def _apply_adapter(self, target, model, is_load):
        if model not in self.models:
            return 400
        if is_load == (target in self.adapters):
            return 200
        if is_load and len(self.adapters) >= self.spec["adapterSlots"]:
            self.overload = f"{self.id}: more than its places for adapters"
            return 202
        self.sequence += 1
        if is_load:
            self.adapters.add(target)
            return 202
        self.adapters.discard(target)
        return 200

    def _soon(self, after_s, model=None):
        def done():
            if model is not None:
                self.models.append(model)
            asyncio.get_running_loop().create_task(self.tell())

        loop = asyncio.get_running_loop()
        self._timers.add(loop.call_later(after_s, done))

    async def _run(self, request, writer):
        model = request.headers.get("model", "")
        base, _, adapter = model.partition("/")
        if base not in self.models or (adapter and model not in self.adapters):
            head = [("Not-Executed", "1"), ("Instance-Id", self.id)]
            writer.write(answer(421, head + self._echo(request)))
            return True
        self.runs += 1
        request_id = request.headers.get("request-id", "")
        writer.write(
            b"HTTP/1.1 200 OK\r\n"
            b"Content-Type: text/event-stream\r\n"
            b"Transfer-Encoding: chunked\r\n"
            + f"Request-Id: {request_id}\r\n".encode()
            + f"Response-Signature: s.{request_id}\r\n\r\n".encode()
        )
        for number in range(1, self.events + 1):
            await asyncio.sleep(self.event_gap_s)
            event = f"id: {number}\ndata: {request_id} {number}\n\n".encode()
            writer.write(b"%x\r\n" % len(event) + event + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        return True


class Machine:
    """A machine that runs one gateway with the deploy file's command."""

    def __init__(self, folder, hosts, record, name, zone, store_address):
        self.name, self.zone = name, zone
        self.host = hosts.take()
        self._record = record
        self._folder = pathlib.Path(folder) / name
        self._folder.mkdir()
        self._store_address = store_address
        self._process = None
        self._log = (self._folder / "log").open("ab")  # noqa: SIM115
        self.settings = self._folder / "node.toml"
        self._write_settings()

    @property
    def log_path(self):
        return self._folder / "log"

    def _write_settings(self):
        bounds = "\n".join(
            f"{key} = {json.dumps(value)}" for key, value in BOUNDS.items()
        )
        zones = "\n".join(f'{zone} = "{ZONES[zone]}"' for zone in ZONES)
        self.settings.write_text(f"""
nodeName = "{self.name}"
role = "gateway"
machineClass = "front"
serves = ["front"]
ip = "{self.host}"
zone = "{self.zone}"
region = "{ZONES[self.zone]}"
internalPorts = [{INTERNAL_PORTS[0]}, {INTERNAL_PORTS[1]}]
seeds = []
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = {json.dumps(CONTRACTS)}
[zones]
{zones}
[listen]
front = "{self.host}:{FRONT_PORT}"
ready = "{self.host}:{READY_PORT}"
[limits]
cpuShare = 0.537
cores = 2
memoryMb = 300
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[tolerate]
machines = 1
zones = 0
regions = 0
[bounds]
{bounds}
[platform]
address = "{self._store_address}"
form = "log"
writesPerS = 400
readsPerS = 2000
""")

    async def start(self):
        run = deploy_command()
        environment = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        environment["SESAMECROSS_BOOT"] = str(self.settings)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        self._process = await asyncio.create_subprocess_exec(
            *run, cwd=ROOT, env=environment, stdout=self._log, stderr=self._log
        )
        self._record.write(f"machine {self.name} starts its process")

    @property
    def is_running(self):
        return self._process is not None and self._process.returncode is None

    def signal(self, number):
        self._record.write(f"machine {self.name} gets {number.name}")
        self._process.send_signal(number)

    async def ended(self):
        await self._process.wait()

    async def wait_ready(self, timeout_s=20.0):
        until_s = time.monotonic() + timeout_s
        while time.monotonic() < until_s:
            try:
                status, _, _ = await fetch(
                    self.host, READY_PORT, "GET", "/v1/ready", {}, b"", 1.0
                )
            except (OSError, TimeoutError, asyncio.IncompleteReadError):
                status = 0
            if status == 200:
                return
            await asyncio.sleep(0.05)
        raise RuntimeError(f"{self.name} is not ready")

    async def stop(self):
        if self.is_running:
            self._process.kill()
            await self._process.wait()
        self._log.close()


def deploy_command():
    """Returns the command of the deploy file, split at spaces."""
    import tomllib

    tree = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    return tree["roles"]["gateway"]["run"].split(" ")


async def fetch(host, port, method, path, headers, body, timeout_s):
    """Sends one request on a new connection; returns its answer."""
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(host, port)
        try:
            lines = [f"{method} {path} HTTP/1.1"]
            headers = {"Host": f"{host}:{port}", **headers}
            lines += [f"{name}: {value}" for name, value in headers.items()]
            if body or method == "POST":
                lines.append(f"Content-Length: {len(body)}")
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            status = int(head.split(" ", 2)[1])
            found = {}
            for line in head.split("\r\n")[1:]:
                name, colon, value = line.partition(":")
                if colon:
                    found[name.strip().lower()] = value.strip()
            data = b""
            if found.get("transfer-encoding", "").lower() == "chunked":
                while True:
                    size = int((await reader.readuntil(b"\r\n")).strip(), 16)
                    piece = await reader.readexactly(size + 2)
                    if not size:
                        break
                    data += piece[:-2]
            else:
                data = await reader.readexactly(
                    int(found.get("content-length", "0"))
                )
            return status, found, data
        finally:
            writer.transport.abort()


class Site:
    """All stand-ins of a case; ends what it started."""

    def __init__(self, record_path):
        self.record = Record(record_path)
        self.hosts = Hosts()
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.store = Store(self.hosts.take(), self.record)
        self.machines = []

    async def add_machine(self, name, zone):
        machine = Machine(
            self.folder, self.hosts, self.record, name, zone, self.store.address
        )
        self.machines.append(machine)
        return machine

    async def stop(self):
        for machine in self.machines:
            await machine.stop()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def trouble():
    """Whether the disruption is to be brought about."""
    return os.environ.get("TROUBLE", "1") != "0"


async def guarded(case, record_path, limit_s=115.0):
    """Runs a case; returns its exit code, 2 if it could not run."""
    site = Site(record_path)
    try:
        async with asyncio.timeout(limit_s):
            await site.store.listen()
            return await case(site)
    except Exception as error:  # noqa: BLE001
        site.record.write(f"could not run: {type(error).__name__}: {error}")
        return 2
    finally:
        await site.stop()


__all__ = [name for name in dir() if not name.startswith("_")] + ["signal"]
