"""A fake model engine: calls, orders, delayed cache events, lagging reports."""

from collections.abc import Iterator
import json
import threading
import time

from sesamecross.fakes import base
from sesamecross.fakes import engine_batch
from sesamecross.fakes import engine_memory

DEFAULT_TOKENS = 16


class EngineServer(base.FakeServer):
    """Serves the protocol that `ports.engine_http` describes."""

    def __init__(self, flags):
        super().__init__(flags.name, flags.listen, threads=flags.threads)
        self._memory = engine_memory.EngineMemory(
            flags.memory_mib, flags.checks_fencing, flags.store_url
        )
        self._batch = engine_batch.Batch(flags)
        self._batch.start()
        self._lag_s = flags.report_lag_ms / 1000
        self._lock = threading.Lock()
        self._sequence = 0
        self._count_history: list[tuple[float, tuple[int, int]]] = []
        self._calls: dict[str, int] = {}
        self._cancelled = 0
        self._faults = {
            "leaving": False,
            "fail_status": 0,
            "die_after": 0,
            "resume": True,
            "order_delay_ms": 0,
            "version": "1",
        }
        self.route("POST", "/v1/(chat/completions|completions)", self._call)
        self.route("DELETE", "/v1/calls/(.+)", self._cancel)
        self.route("POST", "/admin/orders", self._order)
        self.route("GET", "/admin/status", self._status)
        self.route("GET", "/admin/cache-events", self._cache_events)
        self.route("POST", "/fake/faults", self._set_faults)
        self.route("GET", "/fake/stats", self._get_stats)

    def _call(self, request: base.Request) -> base.Response:
        body = request.json()
        request_id = request.header("X-Request-Id", "none")
        echo = {"X-Request-Id": request_id}
        if self._faults["leaving"]:
            echo["X-Not-Run"] = "leaving"
            return base.Response({"error": "leaving"}, 503, echo)
        if self._faults["fail_status"]:
            status = self._faults["fail_status"]
            return base.Response({"error": "told to fail"}, status, echo)
        model = body["model"]
        if model not in self._memory.resident():
            echo["X-Not-Run"] = "not-resident"
            error = {"error": f"{model} is not resident"}
            return base.Response(error, 409, echo)
        resume = int(request.header("Last-Event-ID", "0"))
        if resume and not self._faults["resume"]:
            return base.Response({"error": "can't resume"}, 400, echo)
        is_chat = request.match.group(1).startswith("chat")
        max_tokens = body.get("max_completion_tokens") or body.get("max_tokens")
        call = engine_batch.Call(
            request_id,
            _prompt(body, is_chat),
            max_tokens or DEFAULT_TOKENS,
            resume,
            int(request.header("X-Priority", "5")),
        )
        with self._lock:
            self._calls[request_id] = self._calls.get(request_id, 0) + 1
        self._batch.submit(call, model)
        echo["Content-Type"] = "text/event-stream"
        echo["X-Version"] = self._faults["version"]
        return base.Response(self._events(call, body, is_chat), 200, echo)

    def _events(
        self, call: engine_batch.Call, body: dict, is_chat: bool
    ) -> Iterator[bytes]:
        sent = 0
        finished = False
        try:
            while (item := call.tokens.get()) is not None:
                token_number, text = item
                die_after = self._faults["die_after"]
                if die_after and sent >= die_after:
                    # Applies once for each time that the fault is set.
                    self._faults["die_after"] = 0
                    raise ConnectionAbortedError(
                        "aborted by the fault die_after"
                    )
                yield _token_event(
                    call, body, is_chat, text, token_number, None
                )
                sent += 1
            reason = "length"
            yield _token_event(call, body, is_chat, "", call.generated, reason)
            if (body.get("stream_options") or {}).get("include_usage"):
                yield _usage_event(call, body, is_chat)
            yield b"data: [DONE]\n\n"
            finished = True
        finally:
            if not finished:
                self._batch.cancel(call.call_id)
                self._cancelled += 1

    def _cancel(self, request: base.Request) -> base.Response:
        was_known = self._batch.cancel(request.match.group(1))
        return base.Response({"cancelled": was_known})

    def _order(self, request: base.Request) -> base.Response:
        order = request.json()
        if self._faults["order_delay_ms"]:
            time.sleep(self._faults["order_delay_ms"] / 1000)
        state = self._memory.order(order)
        return base.Response({"state": state}, 202)

    def _status(self, _request: base.Request) -> base.Response:
        running, waiting = self._lagging_counts()
        with self._lock:
            self._sequence += 1
            sequence = self._sequence
        memory = self._memory
        return base.Response(
            {
                "epoch": memory.epoch,
                "sequence": sequence,
                "leaving": self._faults["leaving"],
                "version": self._faults["version"],
                "running": running,
                "waiting": waiting,
                "resident": memory.resident(),
                "used_mib": memory.used_mib(),
                "capacity_mib": memory.capacity_mib,
                "orders": dict(memory.orders),
                "fence": memory.fence,
            }
        )

    def _lagging_counts(self) -> tuple[int, int]:
        now = time.monotonic()
        with self._lock:
            self._count_history.append((now, self._batch.counts()))
            while (
                len(self._count_history) > 1
                and self._count_history[1][0] <= now - self._lag_s
            ):
                self._count_history.pop(0)
            return self._count_history[0][1]

    def _cache_events(self, request: base.Request) -> base.Response:
        # Delayed and with gaps: the newest tenth is withheld, and events that
        # left the buffer are lost.
        start = int(request.query().get("from", "0"))
        events = self._batch.cache.events
        visible = events[: max(0, len(events) - len(events) // 10)]
        return base.Response([e for e in visible if e[0] >= start][:500])

    def _set_faults(self, request: base.Request) -> base.Response:
        faults = request.json()
        self._batch.stalled = faults.pop("stalled", self._batch.stalled)
        self._faults |= faults
        return base.Response(dict(self._faults))

    def _get_stats(self, _request: base.Request) -> base.Response:
        memory = self._memory
        mib = 1024 * 1024
        with self._lock:
            calls = dict(self._calls)
        return base.Response(
            {
                "capacity_bytes": memory.capacity_mib * mib,
                "peak_bytes": memory.peak_mib * mib,
                "resident": memory.resident(),
                "calls": calls,
                "cancelled": self._cancelled,
                "overcommit_attempts": memory.overcommit_attempts,
                "stale_fences_refused": memory.stale_fences_refused,
                "tokens_made": self._batch.tokens_made,
                "prompt_tokens": self._batch.prompt_tokens,
                "cached_tokens": self._batch.cached_tokens,
                "mean_batch": round(
                    self._batch.batch_sum / max(1, self._batch.steps), 2
                ),
                "busy_s": round(self._batch.busy_s, 3),
                "orders": dict(memory.orders),
            }
        )


def _prompt(body: dict, is_chat: bool) -> str:
    """Returns the prompt text.

    With `continue_final_message`, the final assistant message belongs to the
    answer and not to the prompt.
    """
    if not is_chat:
        return str(body.get("prompt", ""))
    if body.get("continue_final_message"):
        body = body | {"messages": body["messages"][:-1]}
    return "\n".join(
        f"{message.get('role')}: {message.get('content')}"
        for message in body.get("messages", [])
    )


def _token_event(
    call: engine_batch.Call,
    body: dict,
    is_chat: bool,
    text: str,
    token_number: int,
    finish_reason: str | None,
) -> bytes:
    choice = {"index": 0, "finish_reason": finish_reason}
    if is_chat:
        choice["delta"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    return _encode_event(call, body, is_chat, [choice], token_number, None)


def _usage_event(call: engine_batch.Call, body: dict, is_chat: bool) -> bytes:
    prompt_tokens = len(call.prompt) // 4
    usage = {
        "prompt_tokens": prompt_tokens,
        "completion_tokens": call.generated,
        "total_tokens": prompt_tokens + call.generated,
        "prompt_tokens_details": {"cached_tokens": call.cached_tokens},
    }
    return _encode_event(call, body, is_chat, [], call.generated, usage)


def _encode_event(
    call: engine_batch.Call,
    body: dict,
    is_chat: bool,
    choices: list,
    token_number: int,
    usage: dict | None,
) -> bytes:
    document = {
        "id": call.call_id,
        "object": "chat.completion.chunk" if is_chat else "text_completion",
        "created": 1_700_000_000,
        "model": body["model"],
        "choices": choices,
    }
    if usage is not None:
        document["usage"] = usage
    text = json.dumps(document, separators=(",", ":"))
    return f"id: {token_number}\ndata: {text}\n\n".encode()
