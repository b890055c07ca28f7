"""The fake engine's continuous batching, one token per call and step.

In each step every running call gets one token. A step takes a base time plus a
time per call in the batch. A new call first prefills the prompt tokens that the
prefix cache does not hold.
"""

from collections import OrderedDict
import hashlib
import queue
import threading
import time

PREFIX_BLOCK_CHARS = 64


class Call:
    """One call in the batch; `tokens` gets its tokens, and None at its end."""

    __slots__ = (
        "call_id",
        "prompt",
        "digest",
        "max_tokens",
        "generated",
        "priority",
        "tokens",
        "cancelled",
        "prefill_left_ms",
        "cached_tokens",
    )

    def __init__(
        self,
        call_id: str,
        prompt: str,
        max_tokens: int,
        resume_after: int,
        priority: int,
    ):
        self.call_id = call_id
        self.prompt = prompt
        self.digest = hashlib.sha256(prompt.encode()).hexdigest()[:8]
        self.max_tokens = max_tokens
        self.generated = resume_after
        self.priority = priority
        self.tokens: queue.SimpleQueue = queue.SimpleQueue()
        self.cancelled = False
        self.prefill_left_ms = 0.0
        self.cached_tokens = 0

    def token_text(self, number: int) -> str:
        """Returns a token's text, which begins with the prompt's digest."""
        return f"{self.digest}-{number} "


class PrefixCache:
    """Caches prompt prefixes in blocks; evicts the least recently used."""

    def __init__(self, blocks: int):
        self._limit = blocks
        self._blocks: OrderedDict[str, None] = OrderedDict()
        self.events: list[tuple[int, str, str]] = []
        self._sequence = 0

    def look_up_and_insert(self, model: str, prompt: str) -> int:
        """Returns the number of cached characters; caches the whole prompt."""
        cached = 0
        is_prefix_cached = True
        for end in range(
            PREFIX_BLOCK_CHARS, len(prompt) + 1, PREFIX_BLOCK_CHARS
        ):
            text = f"{model}\0{prompt[:end]}"
            block_hash = hashlib.sha256(text.encode()).hexdigest()[:16]
            if block_hash in self._blocks:
                self._blocks.move_to_end(block_hash)
                cached = end if is_prefix_cached else cached
                continue
            is_prefix_cached = False
            self._blocks[block_hash] = None
            self._record_event("stored", block_hash)
            if len(self._blocks) > self._limit:
                evicted, _ = self._blocks.popitem(last=False)
                self._record_event("removed", evicted)
        return cached

    def _record_event(self, kind: str, block_hash: str) -> None:
        self._sequence += 1
        self.events.append((self._sequence, kind, block_hash))
        del self.events[:-2000]


class Batch:
    """Runs calls in the order of priority, then of arrival."""

    def __init__(self, flags):
        self._limit = flags.batch
        self._step_s = flags.step_ms / 1000
        self._per_call_s = flags.per_call_ms / 1000
        self._prefill_ms = flags.prefill_ms_per_token
        self._lock = threading.Condition()
        self._waiting: list[Call] = []
        self._running: list[Call] = []
        self.cache = PrefixCache(flags.prefix_blocks)
        self.tokens_made = 0
        self.prompt_tokens = 0
        self.cached_tokens = 0
        self.steps = 0
        self.batch_sum = 0
        self.busy_s = 0.0
        self.stalled = False

    def start(self) -> None:
        """Starts the thread that runs the steps."""
        threading.Thread(target=self._run, daemon=True).start()

    def counts(self) -> tuple[int, int]:
        """Returns the numbers of running and of waiting calls."""
        with self._lock:
            return len(self._running), len(self._waiting)

    def submit(self, call: Call, model: str) -> None:
        """Queues a call."""
        with self._lock:
            cached = self.cache.look_up_and_insert(model, call.prompt)
            call.cached_tokens = cached // 4
            self.cached_tokens += cached // 4
            self.prompt_tokens += len(call.prompt) // 4
            uncached = max(0, len(call.prompt) - cached) // 4
            call.prefill_left_ms = uncached * self._prefill_ms
            self._waiting.append(call)
            self._waiting.sort(key=lambda waiting: waiting.priority)
            self._lock.notify()

    def cancel(self, call_id: str) -> bool:
        """Cancels a call; returns whether it was running or waiting."""
        with self._lock:
            for call in self._running + self._waiting:
                if call.call_id == call_id:
                    call.cancelled = True
                    return True
        return False

    def _run(self) -> None:
        while True:
            with self._lock:
                self._lock.wait_for(lambda: self._running or self._waiting)
                self._admit()
                running = list(self._running)
            if self.stalled:
                time.sleep(0.05)
                continue
            pause_s = self._step_s + self._per_call_s * len(running)
            time.sleep(pause_s)
            self.busy_s += pause_s
            self.steps += 1
            self.batch_sum += len(running)
            with self._lock:
                self._step(pause_s * 1000)

    def _admit(self) -> None:
        while self._waiting and len(self._running) < self._limit:
            self._running.append(self._waiting.pop(0))

    def _step(self, step_ms: float) -> None:
        # Calls in prefill share the step's time equally.
        in_prefill = [c for c in self._running if c.prefill_left_ms > 0]
        for call in in_prefill:
            call.prefill_left_ms -= step_ms / len(in_prefill)
        unfinished = []
        for call in self._running:
            if call.cancelled:
                call.tokens.put(None)
                continue
            if call.prefill_left_ms <= 0:
                self._generate_token(call)
            if call.generated < call.max_tokens:
                unfinished.append(call)
            else:
                call.tokens.put(None)
        self._running = unfinished
        still_waiting = []
        for call in self._waiting:
            if call.cancelled:
                call.tokens.put(None)
            else:
                still_waiting.append(call)
        self._waiting = still_waiting

    def _generate_token(self, call: Call) -> None:
        call.generated += 1
        self.tokens_made += 1
        call.tokens.put((call.generated, call.token_text(call.generated)))
