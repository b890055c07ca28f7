"""Learns how much reading the running streams of a service bear.

The pattern of load: prompts are read between the steps in which running
streams get their next tokens. How long a pause that makes depends on the size
of the pieces in which an engine reads, on its steps and on the tokens in an
event, and none of them is declared. The pauses themselves show it: where
streams stay well within their bound, prompts may come closer together, and
where some are late, further apart.
"""

START = 1.0
LEAST = 0.3
MOST = 6.0
# A stream whose longest pause is below this share of its bound bears more.
EASY_SHARE = 0.5
# One late stream in ten weighs as much as those that bear more.
EASIER = 1.025
HARDER = 0.85


class PauseSlack:
    """The pause that reading may make, as a multiple of the bound."""

    __slots__ = ("_value",)

    def __init__(self) -> None:
        self._value = START

    @property
    def value(self) -> float:
        """The multiple."""
        return self._value

    def ended(self, longest_s: float, bound_s: float) -> None:
        """Takes in the longest pause of a stream, and its bound."""
        if bound_s <= 0:
            return
        if longest_s > bound_s:
            self._value = max(LEAST, self._value * HARDER)
        elif longest_s < bound_s * EASY_SHARE:
            self._value = min(MOST, self._value * EASIER)
