"""Failure detector for upstreams, from the view of one or all instances.

A crashed upstream stays in the store's list for some seconds. Its port refuses
connections at once. An upstream that lost power or is partitioned refuses
nothing: its streams go silent and connections time out. An instance that is
partitioned itself sees the same, whether its connections hang, are reset or are
refused. So neither a refusal nor silence counts for all instances while any of
them hears the upstream.

Open connections may live on while new ones fail, and the other way round. So
what arrives on open connections (`state`) and whether new ones can be opened
(`is_path_failing`) are kept apart.
"""

import enum
import math

import msgspec

# A refusal or timeout counts this long; then the upstream is tried again, at
# the cost of one attempt.
FAILURE_TTL_S = 1.5
# Silence of all streams that marks an upstream as silent. Streams bring events
# every 30 to 100 ms; late but harmless gaps reach 0.4 s.
SILENCE_TIMEOUT_S = 0.8
# An event or a response shows for this long that the upstream is reachable.
CONTACT_TTL_S = 1.0
# A sound upstream may pause for a second and go on. One heard this recently is
# given the time to do so before it counts as lost.
PAUSE_TIMEOUT_S = 2.0
# While requests go by way of peers, a connection is tried this often.
PROBE_INTERVAL_S = 1.0
_NEVER_S = -math.inf


class State(enum.IntEnum):
    """Reachability of an upstream as seen by one instance."""

    UNKNOWN = 0
    HEARS = 1
    SILENT = 2
    REFUSED = 3


class Reachability(msgspec.Struct):
    """When an upstream last responded to one instance, or was unreachable.

    Attributes:
      streaming: This instance's streams there that have begun.
      last_response_s: When the last event or response arrived.
    """

    streaming: int = 0
    last_response_s: float = _NEVER_S
    _silent_s: float = _NEVER_S
    _refused_s: float = _NEVER_S
    _connected_s: float = _NEVER_S
    _lost_s: float = _NEVER_S
    _probed_s: float = _NEVER_S
    # How long the last connection attempt that failed took.
    _attempt_s: float = 0.0

    def record_contact(self, now_s: float) -> None:
        """Records an event or a response on a connection of this instance."""
        self.last_response_s = now_s

    def record_loss(self, now_s: float) -> None:
        """Records a connection that broke: what arrived before says nothing."""
        self._lost_s = now_s

    def record_connected(self, now_s: float) -> None:
        """Records a new connection that was accepted."""
        self._connected_s = now_s

    def record_refusal(self, now_s: float) -> None:
        """Records a refused connection."""
        self._refused_s = now_s

    def record_timeout(self, now_s: float) -> None:
        """Records a connection that was not accepted in time."""
        self._silent_s = now_s

    def record_connect_error(
        self, error: OSError, began_s: float, now_s: float
    ) -> None:
        """Records why a connection could not be opened.

        Args:
          error: How the attempt ended.
          began_s: When it began.
          now_s: When it ended.
        """
        self._attempt_s = now_s - began_s
        if isinstance(error, ConnectionRefusedError):
            self.record_refusal(now_s)
        else:
            self.record_timeout(now_s)

    @property
    def _last_failure_s(self) -> float:
        return max(self._refused_s, self._silent_s)

    def is_path_failing(self, now_s: float) -> bool:
        """Whether no connection was accepted since the last sign of a failure.

        Signs are a connection that failed, and silence of all streams.
        """
        connected_s = self._connected_s
        if self._refused_s > connected_s or self._silent_s > connected_s:
            return True
        return (
            self.streaming > 0
            and self._is_quiet(now_s)
            and (self._connected_s < self.last_response_s + SILENCE_TIMEOUT_S)
        )

    def has_failed_recently(self, now_s: float) -> bool:
        """Whether a connection failed within `FAILURE_TTL_S`, or silence."""
        return now_s - self._last_failure_s < FAILURE_TTL_S or self._is_quiet(
            now_s
        )

    def failure_span_s(self, now_s: float) -> tuple[float, float]:
        """Returns from when to when the upstream was last unreachable."""
        failed_s = self._last_failure_s
        noticed_s = self.last_response_s + SILENCE_TIMEOUT_S
        if self._is_quiet(now_s) and noticed_s > failed_s:
            return noticed_s, noticed_s
        return failed_s - self._attempt_s, failed_s

    @property
    def last_reached_s(self) -> float:
        """When the upstream last answered or accepted a connection."""
        response_s, connected_s = self.last_response_s, self._connected_s
        return response_s if response_s > connected_s else connected_s

    def was_reached(self, now_s: float) -> bool:
        """Whether the upstream answered or accepted a connection recently."""
        return now_s - self.last_reached_s < CONTACT_TTL_S

    def may_be_paused(self, now_s: float) -> bool:
        """Whether it has fallen silent so recently that it may go on."""
        return (
            self.state(now_s) is State.SILENT
            and self.last_response_s > self._lost_s
            and now_s - self.last_response_s < PAUSE_TIMEOUT_S
        )

    def take_probe(self, now_s: float) -> bool:
        """Returns whether a probe is due; if so, counts it as begun."""
        last_s = max(self._probed_s, self._last_failure_s)
        if now_s - last_s < PROBE_INTERVAL_S:
            return False
        self._probed_s = now_s
        return True

    def _is_quiet(self, now_s: float) -> bool:
        return (
            self.streaming > 0
            and now_s - self.last_response_s > SILENCE_TIMEOUT_S
        )

    def state(self, now_s: float) -> State:
        """Returns the current state."""
        if (
            self.streaming <= 0
            and now_s - self.last_response_s >= FAILURE_TTL_S
            and now_s - self._refused_s >= FAILURE_TTL_S
            and now_s - self._silent_s >= FAILURE_TTL_S
        ):
            # Nothing is recent enough to count. That is so of most upstreams at
            # most instances, which ask for the state several times a second.
            return State.UNKNOWN
        if self._is_current(self._refused_s, now_s):
            return State.REFUSED
        if self._is_quiet(now_s) or self._is_current(self._silent_s, now_s):
            return State.SILENT
        if self._hears(now_s):
            return State.HEARS
        return State.UNKNOWN

    def _hears(self, now_s: float) -> bool:
        """Whether it answered, and lost no connection since.

        An accepted connection says nothing of the process: its kernel accepts.
        """
        return (
            self.last_response_s > self._lost_s
            and now_s - self.last_response_s < CONTACT_TTL_S
        )

    def _is_current(self, at_s: float, now_s: float) -> bool:
        return at_s > self.last_reached_s and now_s - at_s < FAILURE_TTL_S


class ReachabilityCounts(msgspec.Struct, frozen=True):
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
        """Whether some instance can't reach it, and none hears it."""
        return (self.refused > 0 or self.silent > 0) and not self.hears
