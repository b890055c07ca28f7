"""A prompt that an engine has to read, counted until its first event.

Why: what an engine still has to read decides how long the next request waits
there, and the time until a first event teaches how fast it reads.
"""

import asyncio
from collections.abc import Callable

from sesamecross.core import serving
from sesamecross.ops.fleet import directory
from sesamecross.ops.fleet import engine_choice
from sesamecross.ops.fleet import target_uses


class PrefillTracker:
    """One attempt's prompt at an engine.

    Attributes:
      on_read: Called once the prompt was read or the attempt is over.
    """

    __slots__ = (
        "on_read",
        "_upstream",
        "_call",
        "_uses",
        "_tokens",
        "_ahead",
        "_begun_s",
        "_is_read",
    )

    def __init__(
        self,
        choice: engine_choice.Choice,
        call: serving.ModelCall,
        uses: target_uses.TargetUses,
        on_read: Callable[[], None],
    ):
        self.on_read = on_read
        self._upstream: directory.KnownUpstream = choice.upstream
        self._call = call
        self._uses = uses
        self._tokens = choice.uncached_tokens
        engine = choice.upstream.engine
        self._ahead = engine.own_prompt_tokens + engine.others_prompt_tokens
        self._begun_s = asyncio.get_running_loop().time()
        self._is_read = False
        engine.own_prompt_tokens += self._tokens
        engine.cache.record_prompt(call)
        uses.begin(choice.upstream.entry.instance_id, call)

    def first_event(self) -> None:
        """The prompt is read; learns how long that took."""
        if self._is_read:
            return
        self._upstream.reachability.streaming += 1
        self._read()
        took_ms = (asyncio.get_running_loop().time() - self._begun_s) * 1000
        line = self._upstream.engine.speed(self._call.model)
        line.observe(self._ahead + self._tokens, took_ms)

    def end(self) -> None:
        """The attempt is over, whether the prompt was read or not."""
        if self._is_read:
            self._upstream.reachability.streaming -= 1
        else:
            self._read()
        self._uses.end(self._upstream.entry.instance_id, self._call)

    def _read(self) -> None:
        self._is_read = True
        self.on_read()
        self._upstream.engine.own_prompt_tokens -= self._tokens
