"""Whether an upstream can be reached, as one instance or all of them see it.

Why: an upstream that crashed is in the store's list for seconds more. Its port
refuses connections at once, which proves it. One that lost power or is cut off
refuses nothing: its streams fall silent and connections are not accepted,
which one instance that is cut off itself sees too. So a refusal counts for
everybody, silence only where nobody hears anything.
"""

import dataclasses
import enum

# A refusal or silence counts this long without a new one: then the upstream is
# tried again, at the price of one attempt.
COUNTS_S = 1.5
# Streams bring events every 30 to 100 ms; pauses that are late but harmless
# reach 0.4 s.
QUIET_S = 0.8
# An event or an answer is news of the upstream for this long.
FRESH_S = 1.0


class State(enum.IntEnum):
    """What one instance knows of reaching an upstream."""

    UNKNOWN = 0
    HEARS = 1
    SILENT = 2
    REFUSED = 3


@dataclasses.dataclass(slots=True)
class Reachability:
    """When one instance heard of an upstream, or did not.

    Attributes:
      streaming: Own streams there that have begun.
      heard_s: When the last event or answer came.
    """

    streaming: int = 0
    heard_s: float = -FRESH_S
    _silent_s: float = -COUNTS_S
    _refused_s: float = -COUNTS_S

    def record_contact(self, now_s: float) -> None:
        """An event or an answer came."""
        self.heard_s = now_s

    def record_refusal(self, now_s: float) -> None:
        """A connection was refused."""
        self._refused_s = now_s

    def record_timeout(self, now_s: float) -> None:
        """A connection was not accepted in time."""
        self._silent_s = now_s

    def state(self, now_s: float) -> State:
        """Returns what is known now."""
        if self._counts(self._refused_s, now_s):
            return State.REFUSED
        is_quiet = self.streaming > 0 and now_s - self.heard_s > QUIET_S
        if is_quiet or self._counts(self._silent_s, now_s):
            return State.SILENT
        if now_s - self.heard_s < FRESH_S:
            return State.HEARS
        return State.UNKNOWN

    def _counts(self, at_s: float, now_s: float) -> bool:
        return at_s > self.heard_s and now_s - at_s < COUNTS_S


@dataclasses.dataclass(frozen=True, slots=True)
class ReachabilityCounts:
    """How many instances hear an upstream, or find it silent or refusing."""

    hears: int = 0
    silent: int = 0
    refused: int = 0

    def plus(self, state: State) -> "ReachabilityCounts":
        """Returns the counts with one more instance's state."""
        return ReachabilityCounts(
            self.hears + (state is State.HEARS),
            self.silent + (state is State.SILENT),
            self.refused + (state is State.REFUSED),
        )

    def with_all(self, other: "ReachabilityCounts") -> "ReachabilityCounts":
        """Returns the sums."""
        return ReachabilityCounts(
            self.hears + other.hears,
            self.silent + other.silent,
            self.refused + other.refused,
        )

    @property
    def is_down(self) -> bool:
        """Whether it is down for everybody."""
        return self.refused > 0 or (self.silent > 0 and not self.hears)
