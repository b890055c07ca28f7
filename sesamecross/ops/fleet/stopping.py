"""Admission control while an instance shuts down.

In a rolling restart, instances are stopped and started one after the other, for
20 s and more. The load balancer keeps sending requests for seconds, and if half
of a zone's instances stop at once it sends to all of them. Instances that
refused everything from 2.2 s after the signal on refused one request in twelve
on such a day, and most of these callers had one attempt left.

So a request is accepted if it certainly ends before the process is killed, and
only long streams are refused: a stream that is cut off is worse than a refusal.
After the end of the stop nothing is accepted, as the process is about to exit.
"""

import msgspec

from sesamecross.core import serving

# All requests this soon after the signal are accepted: the load balancer cannot
# know of the stop yet, and the longest streams of the first deployments end
# within the rest of the grace period.
ACCEPT_ALL_S = 2.2
# A stream's wait for its turn and for its first event.
FIRST_EVENT_S = 1.0
# Time per token at an engine with a full batch: 83 ms for an event of six
# tokens, plus half.
TOKEN_INTERVAL_S = 0.02


class Stop(msgspec.Struct, frozen=True):
    """A planned stop.

    Attributes:
      begun_s: When the signal arrived.
      ends_s: When all responses have to be complete.
    """

    begun_s: float
    ends_s: float

    def ended(self, now_s: float) -> "Stop":
        """Returns the same stop, but accepting no requests from now on."""
        return msgspec.structs.replace(self, ends_s=now_s)

    def has_time_for(
        self,
        route: serving.Route,
        call: serving.ModelCall | None,
        now_s: float,
    ) -> bool:
        """Whether a request that arrives now is complete before the end."""
        if now_s >= self.ends_s:
            return False
        if now_s - self.begun_s < ACCEPT_ALL_S:
            return True
        duration_s = route.timeout_s
        if call is not None:
            duration_s = min(
                duration_s,
                FIRST_EVENT_S + call.output_tokens * TOKEN_INTERVAL_S,
            )
        return now_s + duration_s <= self.ends_s
