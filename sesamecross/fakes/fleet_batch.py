"""The batch of a trial's engine, without clock or network.

Turns at engines are what a fleet is tried for: a step lasts longer the more
requests run and the more prompt tokens are read in it, and what does not fit
waits. A request's memory is reserved whole, so none is preempted.
"""

import collections
import dataclasses

from sesamecross.fakes import fleet_scenarios


@dataclasses.dataclass(slots=True, eq=False)
class Run:
    """A request at an engine.

    Attributes:
      target: Its model, or model/adapter.
      parts: The parts of its prompt, as ID and tokens.
      priority: 0 is the most urgent.
      to_read: Prompt tokens that are not read yet.
      made: Tokens made, also those of the run that it goes on from.
      events: Events that are due, from the stream's begin.
      is_ended: Whether it is complete, or was given up.
    """

    target: str
    pace: float
    parts: tuple[tuple[str, int], ...]
    output_tokens: int
    priority: int
    made: int = 0
    to_read: int = 0
    events: int = 0
    is_admitted: bool = False
    is_ended: bool = False

    @property
    def prompt_tokens(self) -> int:
        """The tokens of its prompt."""
        return sum(tokens for _, tokens in self.parts)

    @property
    def kv_tokens(self) -> int:
        """The memory that it takes, in tokens."""
        return self.prompt_tokens + self.output_tokens


class Batch:
    """Runs and waiting requests of one engine.

    Attributes:
      kv_used: Tokens in memory that can't yield.
    """

    def __init__(self, sheet: fleet_scenarios.EngineSheet):
        self._sheet = sheet
        self._cache: collections.OrderedDict[tuple[str, ...], int] = (
            collections.OrderedDict()
        )
        self._cached_tokens = 0
        self.waiting: list[Run] = []
        self.running: list[Run] = []
        self.kv_used = 0

    @property
    def is_full(self) -> bool:
        """Whether a further request is rejected."""
        return len(self.waiting) >= self._sheet.queue

    def add(self, run: Run) -> None:
        """Queues a request behind those that are as urgent."""
        self.waiting.append(run)
        self.waiting.sort(key=lambda one: one.priority)

    def remove(self, run: Run) -> None:
        """Gives a request up."""
        run.is_ended = True
        if run in self.waiting:
            self.waiting.remove(run)
        elif run in self.running:
            self._end(run)

    def begin_step(self) -> float:
        """Admits what fits; returns how long the step takes, in seconds."""
        while self.waiting and len(self.running) < self._sheet.slots:
            if self.kv_used + self.waiting[0].kv_tokens > self._sheet.kv_tokens:
                break
            self._admit(self.waiting.pop(0))
        read = min(
            self._sheet.chunk_tokens, sum(one.to_read for one in self.running)
        )
        paces = [one.pace for one in self.running]
        pace = sum(paces) / len(paces)
        step_ms = (
            self._sheet.step_ms
            + self._sheet.step_ms_per_run * len(self.running)
            + self._sheet.step_ms_per_1k_context * self.kv_used / 1000
            + read / self._sheet.prompt_tokens_per_ms
        )
        return step_ms * pace / 1000

    def end_step(self) -> None:
        """Reads prompts in order of admission, and makes a token each."""
        left = self._sheet.chunk_tokens
        stride = self._sheet.tokens_per_event
        for run in list(self.running):
            if run.to_read:
                read = min(left, run.to_read)
                run.to_read -= read
                left -= read
                if run.to_read:
                    continue
                self._keep(run)
            run.made += 1
            run.is_ended = run.made >= run.output_tokens
            run.events = run.made // stride
            if run.is_ended:
                self._end(run)

    def _admit(self, run: Run) -> None:
        run.is_admitted = True
        self.kv_used += run.kv_tokens
        self.running.append(run)
        cached = 0
        for prefix, tokens in self._prefixes(run):
            if prefix not in self._cache:
                break
            self._cache.move_to_end(prefix)
            cached += tokens
        run.to_read = max(1, run.prompt_tokens + run.made - cached)
        self._evict()

    def _end(self, run: Run) -> None:
        self.running.remove(run)
        self.kv_used -= run.kv_tokens

    def _prefixes(self, run: Run):
        names: tuple[str, ...] = (run.target,)
        for name, tokens in run.parts:
            names = (*names, name)
            yield names, tokens

    def _keep(self, run: Run) -> None:
        for prefix, tokens in self._prefixes(run):
            if prefix not in self._cache:
                self._cache[prefix] = tokens
                self._cached_tokens += tokens
        self._evict()

    def _evict(self) -> None:
        free = self._sheet.kv_tokens - self.kv_used
        while self._cache and self._cached_tokens > free:
            self._cached_tokens -= self._cache.popitem(last=False)[1]
