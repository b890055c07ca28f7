"""Accounts for a prompt that an engine has to read, until the first event.

The prompt tokens that an engine has yet to read determine how long the next
request waits there; the time to the first event measures its prefill speed.
"""

from collections.abc import Callable

from sesamecross.core import serving
from sesamecross.ops.fleet import directory
from sesamecross.ops.fleet import engine_choice
from sesamecross.ops.fleet import target_uses
from sesamecross.runtime import event_loop


class PrefillTracker:
    """Accounts for the prompt of one attempt at an engine.

    Attributes:
      release_permit: Called when the attempt is over.
      begin_permit: Called once, when the prompt was read; without it, the
        permit is released then.
      is_relayed: The request goes by way of a peer, so that its stream says
        nothing about this instance's own path to the engine.
    """

    __slots__ = (
        "release_permit",
        "begin_permit",
        "is_relayed",
        "_upstream",
        "_call",
        "_uses",
        "_tokens",
        "_ahead_tokens",
        "_started_s",
        "_is_prefilled",
    )

    def __init__(
        self,
        choice: engine_choice.Choice,
        call: serving.ModelCall,
        uses: target_uses.TargetUses,
        release_permit: Callable[[], None],
        begin_permit: Callable[[], None] | None = None,
    ):
        self.release_permit = release_permit
        self.begin_permit = begin_permit or release_permit
        self.is_relayed = False
        self._upstream: directory.KnownUpstream = choice.upstream
        self._call = call
        self._uses = uses
        self._tokens = choice.uncached_tokens
        engine = choice.upstream.engine
        self._ahead_tokens = (
            engine.own_prompt_tokens + engine.others_prompt_tokens
        )
        self._started_s = event_loop.running().time()
        self._is_prefilled = False
        engine.own_prompt_tokens += self._tokens
        engine.cache.record_prompt(call)
        uses.begin(choice.upstream.entry.instance_id, call)

    def on_first_event(self) -> None:
        """Ends the prefill and records how long it took."""
        if self._is_prefilled:
            return
        if not self.is_relayed:
            self._upstream.reachability.streaming += 1
        self._finish_prefill()
        self.begin_permit()
        took_ms = (event_loop.running().time() - self._started_s) * 1000
        speed_model = self._upstream.engine.speed(self._call.model)
        speed_model.observe(self._ahead_tokens + self._tokens, took_ms)

    def end(self) -> None:
        """Ends the attempt, whether the prompt was read or not."""
        if not self._is_prefilled:
            self._finish_prefill()
        elif not self.is_relayed:
            self._upstream.reachability.streaming -= 1
        self.release_permit()
        self._uses.end(self._upstream.entry.instance_id, self._call)

    def _finish_prefill(self) -> None:
        self._is_prefilled = True
        self._upstream.engine.own_prompt_tokens -= self._tokens
