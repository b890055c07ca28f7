"""How many calls may be open at an upstream, learnt from latency.

Why: the right number depends on the engine, its model and what other entries
send, and all of it changes. The limit grows while calls keep their promise
and falls when they miss it, as in congestion control: additive increase,
multiplicative decrease, at most one decrease for each call time, so that one
slow moment is not punished once for each call that saw it.
"""

LEAST = 2.0
INCREASE = 0.5
DECREASE = 0.85


class AdaptiveLimit:
    """One upstream's limit at one entry. Deterministic."""

    __slots__ = ("_value", "_most", "_frozen_until_ms")

    def __init__(self, start: float, most: float):
        self._most = max(LEAST, most)
        self._value = min(max(LEAST, start), self._most)
        self._frozen_until_ms = 0

    @property
    def value(self) -> float:
        """The limit now."""
        return self._value

    def finished(
        self, kept: bool, own: int, now_ms: int, call_ms: float
    ) -> None:
        """Learns from a finished call.

        Args:
          kept: Whether the call kept its promise at the upstream.
          own: Calls open there when it finished, itself included.
          now_ms: Monotonic time.
          call_ms: How long a call takes there.
        """
        if kept:
            # An unused limit proves nothing about a larger one.
            if own >= self._value * 0.8:
                grown = self._value + INCREASE / self._value
                self._value = min(self._most, grown)
            return
        if now_ms < self._frozen_until_ms:
            return
        self._frozen_until_ms = now_ms + int(call_ms)
        self._value = max(LEAST, self._value * DECREASE)
