"""The fake engine's continuous batching, on a token clock.

Each step every running call gets one token. A step takes a base time and a
little more for each call in the batch; a new call first pays for the prompt
tokens that the prefix cache does not hold.
"""

from collections import OrderedDict
import hashlib
import queue
import threading
import time

PREFIX_BLOCK = 64


class Call:
    """One call in the batch; its tokens arrive on `tokens`."""

    __slots__ = (
        "call_id",
        "prompt",
        "digest",
        "limit",
        "made",
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
        limit: int,
        resume_after: int,
        priority: int,
    ):
        self.call_id = call_id
        self.prompt = prompt
        self.digest = hashlib.sha256(prompt.encode()).hexdigest()[:8]
        self.limit = limit
        self.made = resume_after
        self.priority = priority
        self.tokens: queue.SimpleQueue = queue.SimpleQueue()
        self.cancelled = False
        self.prefill_left_ms = 0.0
        self.cached_tokens = 0

    def token(self, number: int) -> str:
        """Returns the text of a token; it names the prompt it answers."""
        return f"{self.digest}-{number} "


class PrefixCache:
    """Remembers prompt prefixes in blocks, the least recently used go."""

    def __init__(self, blocks: int):
        self._limit = blocks
        self._blocks: OrderedDict[str, None] = OrderedDict()
        self.events: list[tuple[int, str, str]] = []
        self._sequence = 0

    def use(self, model: str, prompt: str) -> int:
        """Returns the cached characters of a prompt, and caches all."""
        cached = 0
        hit = True
        for end in range(PREFIX_BLOCK, len(prompt) + 1, PREFIX_BLOCK):
            text = f"{model}\0{prompt[:end]}"
            name = hashlib.sha256(text.encode()).hexdigest()[:16]
            if name in self._blocks:
                self._blocks.move_to_end(name)
                cached = end if hit else cached
                continue
            hit = False
            self._blocks[name] = None
            self._note("stored", name)
            if len(self._blocks) > self._limit:
                gone, _ = self._blocks.popitem(last=False)
                self._note("removed", gone)
        return cached

    def _note(self, what: str, name: str) -> None:
        self._sequence += 1
        self.events.append((self._sequence, what, name))
        del self.events[:-2000]


class Batch:
    """Runs calls by priority and then by arrival."""

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
        """Starts the token clock."""
        threading.Thread(target=self._run, daemon=True).start()

    def counts(self) -> tuple[int, int]:
        """Returns how many calls run and how many wait."""
        with self._lock:
            return len(self._running), len(self._waiting)

    def submit(self, call: Call, model: str) -> None:
        """Queues a call."""
        with self._lock:
            cached = self.cache.use(model, call.prompt)
            call.cached_tokens = cached // 4
            self.cached_tokens += cached // 4
            self.prompt_tokens += len(call.prompt) // 4
            uncached = max(0, len(call.prompt) - cached) // 4
            call.prefill_left_ms = uncached * self._prefill_ms
            self._waiting.append(call)
            self._waiting.sort(key=lambda waiting: waiting.priority)
            self._lock.notify()

    def cancel(self, call_id: str) -> bool:
        """Takes a call out of the batch; tells whether it was there."""
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
        # The prompt phase shares the step between all calls that are in it.
        in_prefill = [c for c in self._running if c.prefill_left_ms > 0]
        for call in in_prefill:
            call.prefill_left_ms -= step_ms / len(in_prefill)
        kept = []
        for call in self._running:
            if call.cancelled:
                call.tokens.put(None)
                continue
            if call.prefill_left_ms <= 0:
                self._make_token(call)
            if call.made < call.limit:
                kept.append(call)
            else:
                call.tokens.put(None)
        self._running = kept
        self._waiting = [c for c in self._waiting if not c.cancelled]

    def _make_token(self, call: Call) -> None:
        call.made += 1
        self.tokens_made += 1
        call.tokens.put((call.made, call.token(call.made)))
