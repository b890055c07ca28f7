"""How long engines take to read prompts, until they have shown it.

Why: how long a prompt takes decides its turn at an engine and how many engines
a model needs, and no figure for it is declared. All who reckon with it start
from this one guess. How fast an engine really is, in multiples of the guess, is
learned by who gives turns there (`pacer`), who sees all its prompts: a line
through the times of one instance's first events says little, as what else the
engine was reading is known too late.
"""

from sesamecross.ops import estimates

# The time to a first event without prompt work, and for each prompt token.
START_FIRST_MS = 60.0
START_PROMPT_MS = 0.03
_TYPICAL_TOKENS = 800.0


def first_line() -> estimates.Line:
    """Returns the line from prompt tokens to a first event, in ms, at first."""
    return estimates.Line(START_FIRST_MS, START_PROMPT_MS, _TYPICAL_TOKENS)


def read_s(tokens: float) -> float:
    """Returns how long an engine is guessed to read so many tokens."""
    return tokens * START_PROMPT_MS / 1000
