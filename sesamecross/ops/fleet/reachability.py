"""Failure detector for upstreams, from the view of one or all instances.

A crashed upstream stays in the store's list for some seconds. Its port refuses
connections at once, which proves the crash. An upstream that lost power or is
partitioned refuses nothing: its streams go silent and connections time out. An
instance that is partitioned itself sees the same. So a refusal counts for all
instances, and silence only if no instance hears the upstream.
"""

import dataclasses
import enum

# A refusal or timeout counts this long; then the upstream is tried again, at
# the cost of one attempt.
FAILURE_TTL_S = 1.5
# Silence of all streams that marks an upstream as silent. Streams bring events
# every 30 to 100 ms; late but harmless gaps reach 0.4 s.
SILENCE_TIMEOUT_S = 0.8
# An event or a response shows for this long that the upstream is reachable.
CONTACT_TTL_S = 1.0


class State(enum.IntEnum):
    """Reachability of an upstream as seen by one instance."""

    UNKNOWN = 0
    HEARS = 1
    SILENT = 2
    REFUSED = 3


@dataclasses.dataclass(slots=True)
class Reachability:
    """When an upstream last responded to one instance, or was unreachable.

    Attributes:
      streaming: This instance's streams there that have begun.
      last_response_s: When the last event or response arrived.
    """

    streaming: int = 0
    last_response_s: float = -CONTACT_TTL_S
    _silent_s: float = -FAILURE_TTL_S
    _refused_s: float = -FAILURE_TTL_S

    def record_contact(self, now_s: float) -> None:
        """Records an event or a response."""
        self.last_response_s = now_s

    def record_refusal(self, now_s: float) -> None:
        """Records a refused connection."""
        self._refused_s = now_s

    def record_timeout(self, now_s: float) -> None:
        """Records a connection that was not accepted in time."""
        self._silent_s = now_s

    def state(self, now_s: float) -> State:
        """Returns the current state."""
        if self._is_current(self._refused_s, now_s):
            return State.REFUSED
        is_quiet = (
            self.streaming > 0
            and now_s - self.last_response_s > SILENCE_TIMEOUT_S
        )
        if is_quiet or self._is_current(self._silent_s, now_s):
            return State.SILENT
        if now_s - self.last_response_s < CONTACT_TTL_S:
            return State.HEARS
        return State.UNKNOWN

    def _is_current(self, at_s: float, now_s: float) -> bool:
        return at_s > self.last_response_s and now_s - at_s < FAILURE_TTL_S


@dataclasses.dataclass(frozen=True, slots=True)
class ReachabilityCounts:
    """Numbers of instances by their state of an upstream."""

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

    def combined_with(
        self, other: "ReachabilityCounts"
    ) -> "ReachabilityCounts":
        """Returns the sums."""
        return ReachabilityCounts(
            self.hears + other.hears,
            self.silent + other.silent,
            self.refused + other.refused,
        )

    @property
    def is_down(self) -> bool:
        """Whether it is down for all instances."""
        return self.refused > 0 or (self.silent > 0 and not self.hears)
