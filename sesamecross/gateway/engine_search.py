"""Finds an engine for one request, and waits for a model or a turn.

Why: a model may be loaded nowhere yet, and an engine that holds it may have
all the prompts that it can read. What is decided then (wait, come back, try
another engine) stands in `sesamecross.ops.fleet`; here are the waits.
"""

import asyncio
from collections.abc import Callable
import dataclasses
import random

from sesamecross.core import serving
from sesamecross.gateway import pacing as pacing_lib
from sesamecross.gateway import state as state_lib
from sesamecross.ops.fleet import demand as demand_lib
from sesamecross.ops.fleet import directory
from sesamecross.ops.fleet import engine_choice
from sesamecross.ops.fleet import wait_policy

# A request that waits for a model says so again this often.
WANT_AGAIN_S = 0.25


def _nobody(service: str, target: str, upstream: str) -> None:
    """Nobody gives orders yet."""


@dataclasses.dataclass(slots=True)
class SearchContext:
    """What the searches of one instance share.

    Attributes:
      want: Tells who gives orders that a request waits for a target.
      pacing: Set once the instance speaks with the others.
    """

    state: state_lib.State
    rng: random.Random
    demand: demand_lib.DemandMeter = dataclasses.field(
        default_factory=demand_lib.DemandMeter
    )
    missing: wait_policy.MissedModels = dataclasses.field(
        default_factory=wait_policy.MissedModels
    )
    want: Callable[[str, str, str], None] = _nobody
    pacing: pacing_lib.Pacing | None = None


class EngineSearch:
    """One request's search. It goes on after each failed attempt.

    Attributes:
      choice: The engine that was found last, and what decided for it.
      back_s: After a search in vain, when the caller should come back.
    """

    __slots__ = (
        "choice",
        "back_s",
        "_parts",
        "_route",
        "_call",
        "_arrived_s",
        "_ends_s",
        "_full",
        "_expected_s",
        "_waited_s",
        "_paced_s",
        "_permit",
    )

    def __init__(
        self,
        parts: SearchContext,
        route: serving.Route,
        call: serving.ModelCall,
        arrived_s: float,
        ends_s: float,
    ):
        self.choice: engine_choice.Choice | None = None
        self.back_s = 0.0
        self._parts = parts
        self._route = route
        self._call = call
        self._arrived_s = arrived_s
        self._ends_s = ends_s
        # Engines whose pacer refused the request.
        self._full: set[str] = set()
        # When the model was expected, by the last plan that was looked at.
        self._expected_s: float | None = None
        self._waited_s = 0.0
        self._paced_s = 0.0
        self._permit: pacing_lib.Permit | None = None

    @property
    def key(self) -> demand_lib.Key:
        """The service and what is asked of it; the route has a target."""
        return (self._route.targets[0].service, self._call.target)

    @property
    def waited_s(self) -> float:
        """How long the request waited for its model or adapter."""
        return self._waited_s

    @property
    def held_s(self) -> float:
        """How long the request was held here: for its model, for its turn."""
        return self._waited_s + self._paced_s

    async def find(
        self, tried: frozenset[str]
    ) -> directory.KnownUpstream | None:
        """Returns an engine that may get the request now, or None.

        Args:
          tried: Engines that had it before; a last choice.
        """
        loop = asyncio.get_running_loop()
        while True:
            now_s = loop.time()
            choice = self._best(tried, now_s)
            if choice is None or choice.lacks_adapter:
                if not await self._wait(choice, now_s):
                    return None
                continue
            if not await self._take_turn(choice):
                if self._has_another():
                    continue
                # A model whose callers are turned away needs more engines.
                self._parts.demand.record_outcome(self.key, True)
                return None
            if self._is_still_good(choice.upstream):
                self.choice = choice
                self._parts.demand.record_prompt(self.key, choice.read_s)
                return choice.upstream
            self.release()

    def release(self) -> None:
        """The prompt was read, or is not sent."""
        if self._permit is not None:
            self._parts.pacing.read(self._permit)
            self._permit = None

    # -- candidates ----------------------------------------------------

    def _usable(self) -> list[directory.KnownUpstream]:
        now_s = asyncio.get_running_loop().time()
        usable = []
        for target in self._route.targets:
            known = self._parts.state.directory.usable(target.service, now_s)
            usable.extend(known)
        return usable

    def _best(
        self, tried: frozenset[str], now_s: float
    ) -> engine_choice.Choice | None:
        """Returns the best engine, one that leaves only as the last choice."""
        location = self._parts.state.location
        rng = self._parts.rng
        usable = self._usable()
        fresh = [one for one in usable if one.entry.instance_id not in tried]
        candidates = [
            known
            for known in fresh or usable
            if known.entry.instance_id not in self._full
        ]
        choice = engine_choice.choose(
            self._call, candidates, location, now_s, rng
        )
        if choice is not None:
            return choice
        usable_while_leaving = []
        for target in self._route.targets:
            known = self._parts.state.directory.usable_while_leaving(
                target.service, self._lasts_s, now_s
            )
            usable_while_leaving.extend(known)
        return engine_choice.choose(
            self._call, usable_while_leaving, location, now_s, rng
        )

    @property
    def _lasts_s(self) -> float:
        return self._call.output_tokens * engine_choice.TOKEN_INTERVAL_S

    def _is_still_good(self, known: directory.KnownUpstream) -> bool:
        """Whether an engine may get the request now that its turn has come.

        The wait for a turn lasts up to 1.7 s. An engine that began to leave
        meanwhile must get nothing new, and one may have dropped the model.
        """
        now_s = asyncio.get_running_loop().time()
        may_receive = self._parts.state.directory.may_receive(
            known, self._lasts_s, now_s
        )
        return may_receive and known.engine.holds(
            known.entry, self._call.target, now_s
        )

    def _has_another(self) -> bool:
        """Whether an engine is left that has the target and is not full."""
        now_s = asyncio.get_running_loop().time()
        return any(
            known.engine.holds(known.entry, self._call.target, now_s)
            and not known.seems_down(now_s)
            for known in self._usable()
            if known.entry.instance_id not in self._full
        )

    # -- waits ---------------------------------------------------------

    async def _wait(
        self, choice: engine_choice.Choice | None, now_s: float
    ) -> bool:
        """Waits for news of the model, or of the adapter that `choice` lacks.

        Returns:
          False where the caller should come back instead.
        """
        parts = self._parts
        service, _ = self.key
        if choice is None:
            parts.want(service, self._call.model, "")
        else:
            engine = choice.upstream.entry.instance_id
            parts.want(service, self._call.target, engine)
        decision = self._decide(choice, now_s)
        if isinstance(decision, wait_policy.RetryAfter):
            self.back_s = decision.after_s
            return False
        parts.demand.adjust_waiting(self.key, 1)
        try:
            await parts.state.changed(
                min(WANT_AGAIN_S, decision.until_s - now_s)
            )
        finally:
            parts.demand.adjust_waiting(self.key, -1)
            self._waited_s += asyncio.get_running_loop().time() - now_s
        return True

    def _decide(
        self, choice: engine_choice.Choice | None, now_s: float
    ) -> wait_policy.Wait | wait_policy.RetryAfter:
        window = wait_policy.RequestTimes(
            self._arrived_s,
            wait_policy.send_deadline_s(
                self._route, self._arrived_s, self._ends_s
            ),
            self._ends_s,
        )
        if choice is not None:
            return wait_policy.decide_adapter(window, now_s)
        missed_s = self._parts.missing.since(self._call.model, now_s)
        self._expected_s = self._arrives_s()
        return wait_policy.decide_model(
            window, self._expected_s, missed_s, now_s
        )

    def _arrives_s(self) -> float | None:
        """Returns when the model is expected, where it is loaded or planned."""
        times = [
            known.engine.ready_at_s(self._call.model)
            for known in self._usable()
        ]
        return min((one for one in times if one is not None), default=None)

    async def _take_turn(self, choice: engine_choice.Choice) -> bool:
        """Waits until the engine may get one more prompt to read."""
        loop = asyncio.get_running_loop()
        route = self._route
        send_deadline_s = wait_policy.send_deadline_s(
            route, self._arrived_s, self._ends_s
        )
        begun_s = loop.time()
        answer = await self._parts.pacing.ask(
            choice.upstream,
            choice.uncached_tokens,
            self._arrived_s + route.objective_s - choice.expected_s,
            send_deadline_s,
        )
        now_s = loop.time()
        self._paced_s += now_s - begun_s
        match answer:
            case pacing_lib.Refused(after_s=after_s):
                self.back_s = wait_policy.retry_after_s(
                    after_s, self._ends_s, now_s
                )
                self._full.add(choice.upstream.entry.instance_id)
                return False
        self._permit = answer
        return True

    # -- what is logged ------------------------------------------------

    def refusal_fields(self) -> dict[str, object]:
        """Returns what a refusal rests on, and how old that is."""
        now_s = asyncio.get_running_loop().time()
        fields: dict[str, object] = {}
        if self._expected_s is not None:
            fields["expected_in_s"] = round(self._expected_s - now_s, 2)
        told_s = [known.engine.place_s for known in self._usable()]
        if told_s:
            fields["plan_age_ms"] = round((now_s - max(told_s)) * 1000)
        if self._full:
            fields["full"] = sorted(self._full)
        return fields

    def fields(self) -> dict[str, object]:
        """Returns what decided where the request went."""
        fields: dict[str, object] = {
            "target": self._call.target,
            "waited_ms": round(self._waited_s * 1000),
            "paced_ms": round(self._paced_s * 1000),
        }
        if self.choice is not None:
            fields["expected_ms"] = round(self.choice.expected_s * 1000)
            fields["prompt"] = self.choice.uncached_tokens
            fields["ahead"] = self.choice.queued_tokens
            fields["running"] = round(self.choice.running)
        return fields
