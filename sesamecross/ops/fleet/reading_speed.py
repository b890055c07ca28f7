"""Learns how fast the engines of a service read prompts, model by model.

Why: how long a prompt takes to read decides its turn at an engine and how many
engines a model needs. No figure for it is declared, and it differs by model.
One instance sees a few requests a second, so all engines of a service share
what is learned; an engine that is slower than its kind shows by the time that
it takes for the prompts that were sent there.
"""

from sesamecross.ops import estimates

# First guess until requests have shown better: the time to a first event
# without prompt work, and for each prompt token.
START_FIRST_MS = 60.0
START_PROMPT_MS = 0.03
_TYPICAL_TOKENS = 800.0
# Few requests for a model say little: it is taken to be at most so many times
# faster or slower than the service's models together.
MODEL_TIMES = 4.0
# No engine reads a token in less or in more than this.
LEAST_MS = 0.0005
MOST_MS = 5.0


def first_line() -> estimates.Line:
    """Returns the line from prompt tokens to a first event, in ms, at first."""
    return estimates.Line(START_FIRST_MS, START_PROMPT_MS, _TYPICAL_TOKENS)


class ReadingSpeeds:
    """The reading speed of one service's engines, by model."""

    __slots__ = ("_all", "_by_model")

    def __init__(self) -> None:
        self._all = first_line()
        self._by_model: dict[str, estimates.Line] = {}

    def observe(self, model: str, tokens: float, took_ms: float) -> None:
        """Learns from a first event.

        Args:
          model: Whose prompt was read.
          tokens: What had to be read, prompts ahead of it included.
          took_ms: From sending to the first event.
        """
        if tokens <= 0 or took_ms <= 0:
            # Clocks that jump must not teach anything.
            return
        self._all.observe(tokens, took_ms)
        self._by_model.setdefault(model, first_line()).observe(tokens, took_ms)

    def read_s(self, model: str, tokens: float) -> float:
        """Returns how long an engine takes to read so many tokens."""
        usual_ms = min(MOST_MS, max(LEAST_MS, self._all.slope))
        line = self._by_model.get(model)
        slope_ms = line.slope if line is not None else usual_ms
        slope_ms = max(usual_ms / MODEL_TIMES, slope_ms)
        slope_ms = min(usual_ms * MODEL_TIMES, slope_ms)
        return tokens * slope_ms / 1000
