"""Selects an upstream of a plain service for a request.

The counterpart of `engine_search`: requests without a model go to any upstream
of the service. They wait only for one that wants no requests for a moment, and
for a slot of one that must not turn too many away.
"""

from sesamecross.core import serving
from sesamecross.gateway import engine_search
from sesamecross.gateway import pacing
from sesamecross.ops.fleet import admission_order
from sesamecross.ops.fleet import directory
from sesamecross.ops.fleet import service_choice
from sesamecross.ops.fleet import stream_origins
from sesamecross.ops.fleet import wait_policy
from sesamecross.runtime import event_loop

# Over which time requests that waited for an upstream are sent to it.
BACKOFF_SPREAD_S = 0.1
# How long a request waits for a slot on a route without a latency objective.
SLOT_WAIT_S = 0.5


class ServiceSearch:
    """The search of one request; continues after each failed attempt.

    Attributes:
      retry_after_s: After an unsuccessful search, the delay after which the
        caller should retry; None if that is unknown.
      note: Why the last search found nothing; empty if that is unknown.
      origin: Where the request's stream began; only such an upstream is found.
    """

    __slots__ = (
        "retry_after_s",
        "note",
        "origin",
        "_context",
        "_route",
        "_arrived_s",
        "_deadline_s",
        "_permit",
    )

    def __init__(
        self,
        context: engine_search.SearchContext,
        route: serving.Route,
        arrived_s: float,
        deadline_s: float,
    ):
        self.retry_after_s: float | None = None
        self.note = ""
        self.origin: stream_origins.StreamOrigin | None = None
        self._context = context
        self._route = route
        self._arrived_s = arrived_s
        self._deadline_s = deadline_s
        # Held from before the request is sent to its end, at some upstreams.
        self._permit: pacing.Permit | None = None

    async def find(
        self, tried: frozenset[str]
    ) -> directory.KnownUpstream | None:
        """Returns an upstream that can be sent the request now, or None.

        Args:
          tried: Upstreams that were tried before; used only as a last resort.
        """
        self.note = ""
        while True:
            now_s = event_loop.running().time()
            usable = self._of_origin(
                known
                for target in self._route.targets
                for known in self._context.state.directory.usable(
                    target.service, now_s
                )
            )
            if usable or not await self._wait_for_backoff(now_s):
                return self._choose(usable, tried, now_s)

    def _of_origin(self, upstreams) -> list[directory.KnownUpstream]:
        return [
            one
            for one in upstreams
            if self.origin is None or one.is_of(self.origin)
        ]

    def _choose(
        self,
        usable: list[directory.KnownUpstream],
        tried: frozenset[str],
        now_s: float,
    ) -> directory.KnownUpstream | None:
        state = self._context.state
        untried = [one for one in usable if one.entry.instance_id not in tried]
        candidates = untried or usable
        reachable = state.directory.best_access(candidates, now_s)
        candidates = reachable or candidates
        chosen = service_choice.choose(
            candidates, state.location, now_s, self._context.rng
        )
        if chosen is not None:
            service_choice.relax_unused(candidates, chosen, state.location)
        return chosen

    async def _wait_for_backoff(self, now_s: float) -> bool:
        """Waits until an upstream wants requests again, if that is soon.

        Returns:
          Whether to look for one again.
        """
        state = self._context.state
        upstreams = self._of_origin(
            known
            for target in self._route.targets
            for known in state.directory.backing_off(target.service, now_s)
        )
        if not upstreams:
            return False
        end_s = min(one.backoff_until_s for one in upstreams)
        wait_s = self._route.objective_s or SLOT_WAIT_S
        if end_s >= min(self._deadline_s, self._arrived_s + wait_s):
            self.note = "upstreams want no requests"
            self.retry_after_s = end_s - now_s
            return False
        # Not all that wait come at one moment.
        spread_s = self._context.rng.uniform(0.0, BACKOFF_SPREAD_S)
        await state.wait_for_change(end_s - now_s + spread_s)
        return True

    async def acquire_slot(self, upstream: directory.KnownUpstream) -> bool:
        """Waits for a slot of an upstream that must not reject too much.

        Returns:
          Whether the request may be sent.
        """
        now_s = event_loop.running().time()
        if not self._context.state.has_rejection_limit(
            upstream.entry.service, now_s
        ):
            return True
        wait_s = self._route.objective_s or SLOT_WAIT_S
        result = await self._context.pacing.acquire(
            upstream,
            admission_order.Ask(
                0,
                0,
                self._route.urgency,
                "",
                self._arrived_s + wait_s / 2,
                min(self._deadline_s, self._arrived_s + wait_s),
            ),
            requires_grant=True,
        )
        match result:
            case pacing.PermitRefused(after_s=after_s):
                self.retry_after_s = wait_policy.retry_after_s(
                    after_s, self._deadline_s, now_s
                )
                return False
        self._permit = result
        return True

    def release_slot(self) -> None:
        """Releases the slot: the request has ended, or nothing is sent."""
        if self._permit is not None:
            self._context.pacing.release(self._permit)
            self._permit = None
