"""Which requests an instance still takes while it stops.

The pattern: instances are stopped and started one after the other, for 20 s
and more. The balancer goes on sending callers for seconds, and where half of
a zone's instances stop at once it sends to all of them. An instance that
refuses everything from 2.2 s after the signal on refused one request in twelve
of such a day, and most of these callers had one more attempt.

So whatever ends surely before the kill is taken, and only long streams are
sent elsewhere: a stream that the kill cuts off is worse than a refusal. From
the end on nothing is taken at all: the process is on its way out.
"""

import dataclasses

from sesamecross.core import serving

# Requests this soon after the signal are taken in any case: their callers
# were sent here by a balancer that cannot know yet, and the longest streams
# of the first deployments end within the rest of the grace.
ACCEPT_ALL_S = 2.2
# A stream's wait for its turn and its first event.
FIRST_S = 1.0
# Each of its tokens, at an engine with a full batch: 83 ms for an event of
# six, and half as much again.
TOKEN_S = 0.02


@dataclasses.dataclass(frozen=True, slots=True)
class Stop:
    """A planned stop.

    Attributes:
      begun_s: When the signal came.
      ends_s: When everything has to be answered.
    """

    begun_s: float
    ends_s: float

    def ended(self, now_s: float) -> "Stop":
        """Returns the same stop, with nothing to be taken from now on."""
        return dataclasses.replace(self, ends_s=now_s)

    def has_time_for(
        self,
        route: serving.Route,
        call: serving.ModelCall | None,
        now_s: float,
    ) -> bool:
        """Whether a request that arrives now is answered before the end."""
        if now_s >= self.ends_s:
            return False
        if now_s - self.begun_s < ACCEPT_ALL_S:
            return True
        lasts_s = route.timeout_s
        if call is not None:
            lasts_s = min(lasts_s, FIRST_S + call.output_tokens * TOKEN_S)
        return now_s + lasts_s <= self.ends_s
