"""Admission control for engines with small batches.

`pacer.Pacer` counts a request until its first event and takes the streams that
run from reports. That is exact enough for large batches. In one of 12 slots a
few requests more or less are a good part of the batch, and they turn over
within the age of a report. This pacer holds a lease for each request until the
end of its stream (`engine_budget`), and serves one order of all that wait
(`admission_order`). Prompts are paced as in `pacer`.

A request that would need more of the memory than is free is not passed by those
behind it: small requests would otherwise take each piece of memory before there
is enough for a large one.
"""

from collections.abc import Mapping
import enum
import math

import msgspec

from sesamecross.ops.fleet import admission_order
from sesamecross.ops.fleet import engine_budget
from sesamecross.ops.fleet import pacer

# Waiting requests whose refusal is considered at each check. All are considered
# in turn, so that the time for a decision doesn't grow with them.
CHECKED_PER_DECISION = 2
# A prompt counts as no larger when prompts are paced: 2 s of reading. What
# callers state may be false.
MAX_PROMPT_TOKENS = 50_000
# A request that takes more of the memory is large: it has its turn only in the
# part that is kept for long waits, as memory for it has to be gathered.
LARGE_MEMORY_SHARE = 0.25
# Rates are brought up to date at this interval, and forgotten below this rate.
RATE_STEP_S = 0.1
MIN_RATE = 0.05
# For how long requests are taken to arrive at the present rate. With 3 s, one
# in seven patient requests of a flood was refused that could have been served.
FORESIGHT_S = 1.0
# The longest Retry-After, as long as the most patient callers wait.
MAX_RETRY_AFTER_S = 20.0


class Verdict(enum.Enum):
    """What was decided; the values are names in logs and metrics."""

    GRANTED = "granted"
    WAITING = "waiting"
    REFUSED = "refused"


class Reason(enum.Enum):
    """Why; the values are names in logs and metrics.

    Attributes:
      ROOM: The engine has room.
      SLOTS: All batch slots are in use.
      MEMORY: Too little memory is free.
      PROMPTS: Other prompts have to be read first.
      TOO_LARGE: The prompt exceeds the engine's memory.
      TURN_TOO_LATE: The turn is expected after the caller stops waiting.
      TIME_IS_OVER: The caller has stopped waiting.
    """

    ROOM = "room"
    SLOTS = "slots"
    MEMORY = "memory"
    PROMPTS = "prompts"
    TOO_LARGE = "too_large"
    TURN_TOO_LATE = "turn_too_late"
    TIME_IS_OVER = "time_is_over"


class DecisionRecord(msgspec.Struct, frozen=True):
    """A decision and its inputs, for logs and metrics.

    Attributes:
      place: How many waiting requests go before it.
      waited_s: How long the request has waited.
      leases: Requests that hold a lease on the engine.
      unleased: Further requests there, by reports.
      memory_tokens: Memory held by leases.
      confirmed_age_s: Age of the oldest confirmation of these leases.
      after_s: When a refused caller should retry; 0 otherwise.
    """

    key: pacer.Key
    verdict: Verdict
    reason: Reason
    urgency: int
    workspace: str
    place: int
    waited_s: float
    leases: int
    unleased: int
    memory_tokens: int
    confirmed_age_s: float
    after_s: float = 0.0


class BudgetDecisions(msgspec.Struct, frozen=True):
    """Requests that may be sent now and those refused, and the grounds.

    Attributes:
      retry_after_s: When the callers of refused requests should retry.
    """

    granted: tuple[pacer.Key, ...]
    refused: tuple[pacer.Key, ...]
    retry_after_s: Mapping[pacer.Key, float]
    records: tuple[DecisionRecord, ...]


class _Room(msgspec.Struct):
    """What an engine has left, as of one decision.

    Attributes:
      memory_tokens: Capacity of its memory; None if unknown.
      unleased: Requests there without a lease, by reports.
      free_slots: How many more requests the batch may take.
      ends_per_s: Mean rate at which streams of a full batch end.
    """

    memory_tokens: int | None
    unleased: int
    free_slots: int
    ends_per_s: float


_NOTHING = BudgetDecisions((), (), {}, ())


class _Rates:
    """Requests per second by urgency and workspace, decaying."""

    __slots__ = ("_rates", "_totals", "_at_s")

    def __init__(self) -> None:
        self._rates: dict[int, dict[str, float]] = {}
        self._totals: dict[int, float] = {}
        self._at_s = 0.0

    def add(self, urgency: int, workspace: str, now_s: float) -> None:
        self.decay(now_s)
        added = 1.0 / pacer.RATE_TIME_CONSTANT_S
        rates = self._rates.setdefault(urgency, {})
        rates[workspace] = rates.get(workspace, 0.0) + added
        self._totals[urgency] = self._totals.get(urgency, 0.0) + added

    def more_urgent(self, urgency: int) -> float:
        """Returns the rate of requests of higher urgencies."""
        more = 0.0
        for other, rate in self._totals.items():
            if other < urgency:
                more += rate
        return more

    def share(
        self, urgency: int, workspace: str, capacity: float
    ) -> tuple[float, float]:
        """Returns a workspace's share, and the rate of its requests.

        The share is that of max-min fairness: what workspaces below an equal
        share leave goes to the others.

        Args:
          urgency: Of its requests.
          workspace: Its name.
          capacity: Turns per second for all requests of this urgency.
        """
        rates = self._rates.get(urgency, {})
        own = rates.get(workspace, 0.0)
        others = self._totals.get(urgency, 0.0) - own
        if capacity - others >= own:
            return capacity - others, own
        left, count = capacity, len(rates)
        for rate in sorted(rates.values()):
            if rate * count >= left:
                break
            left -= rate
            count -= 1
        return left / max(1, count), own

    def decay(self, now_s: float) -> None:
        elapsed_s = now_s - self._at_s
        if elapsed_s < RATE_STEP_S:
            return
        self._at_s = now_s
        factor = math.exp(-elapsed_s / pacer.RATE_TIME_CONSTANT_S)
        for urgency, rates in self._rates.items():
            kept = {
                name: rate * factor
                for name, rate in rates.items()
                if rate * factor > MIN_RATE
            }
            self._rates[urgency] = kept
            self._totals[urgency] = sum(kept.values())


class _PromptRate:
    """Prompts that an engine was sent and has not read."""

    __slots__ = ("_unread", "_unread_tokens", "_level", "_backlog", "_at_s")

    def __init__(self) -> None:
        # Tokens of each prompt, and when it was sent.
        self._unread: dict[pacer.Key, tuple[int, float]] = {}
        self._unread_tokens = 0
        # Tokens sent ahead of the rate.
        self._level = 0.0
        self._backlog = pacer.Backlog()
        self._at_s = 0.0

    def advance(self, now_s: float) -> None:
        elapsed_s = max(0.0, now_s - self._at_s)
        self._level = max(
            0.0, self._level - elapsed_s * pacer.PREFILL_TOKENS_PER_S
        )
        self._at_s = now_s
        # In the order in which they were sent.
        while self._unread:
            key, (_, sent_s) = next(iter(self._unread.items()))
            if now_s - sent_s <= pacer.PREFILL_TIMEOUT_S:
                break
            self.finish(key)

    def has_room(self, tokens: int) -> bool:
        charged = _charged(tokens)
        unread = self._unread_tokens + charged
        if self._unread and unread > pacer.MAX_PENDING_TOKENS:
            return False
        return self._level + charged <= pacer.BURST_TOKENS

    def note_waiting(self, tokens: int | None, now_s: float) -> None:
        """Notes the prompt that waits for others to be read, if any."""
        unread = self._unread_tokens + _charged(tokens or 0)
        if tokens is None or not self._unread:
            self._backlog.end()
        elif unread > pacer.MAX_PENDING_TOKENS:
            self._backlog.begin(now_s)
        else:
            self._backlog.end()

    def send(self, key: pacer.Key, tokens: int, now_s: float) -> None:
        self._unread[key] = (tokens, now_s)
        self._unread_tokens += tokens
        self._level += tokens

    def finish(self, key: pacer.Key) -> None:
        """Records that a prompt was read, or will not be."""
        known = self._unread.pop(key, None)
        if known is not None:
            self._unread_tokens -= known[0]
            self._backlog.add(known[0], self._at_s)

    def wait_s(self, tokens_ahead: float, now_s: float) -> float:
        """Returns how long prompts take that are sent first."""
        rate = pacer.PREFILL_TOKENS_PER_S
        ahead = self._level
        read_rate = self._backlog.rate(now_s)
        if read_rate is not None:
            rate = max(pacer.FULL_MIN_TOKENS_PER_S, min(rate, read_rate))
            ahead = max(ahead, self._unread_tokens - pacer.MAX_PENDING_TOKENS)
        return (ahead + tokens_ahead) / rate

    def next_s(self, now_s: float) -> float:
        """Returns when the next prompt may have its turn."""
        return now_s + max(
            pacer.MIN_CHECK_INTERVAL_S, self._level / pacer.PREFILL_TOKENS_PER_S
        )


class BudgetPacer:
    """Requests that wait for and run at one engine. Deterministic."""

    __slots__ = (
        "_budget",
        "_order",
        "_returns",
        "_prompts",
        "_arrivals",
        "_is_full",
        "_mean_charged",
    )

    def __init__(self, now_s: float) -> None:
        self._budget = engine_budget.EngineBudget(now_s)
        self._order = admission_order.AdmissionOrder()
        self._returns = admission_order.ReturnTimes()
        self._prompts = _PromptRate()
        self._arrivals = _Rates()
        self._is_full = False
        # Smoothed charge of a prompt against the rate.
        self._mean_charged = pacer.BURST_TOKENS / 2

    @property
    def is_idle(self) -> bool:
        """Whether no requests wait or hold leases."""
        return not len(self._order) and not len(self._budget)

    @property
    def budget(self) -> engine_budget.EngineBudget:
        """The leases on the engine."""
        return self._budget

    def holders(self) -> tuple[pacer.Key, ...]:
        """Returns the requests that hold leases."""
        return self._budget.keys()

    def waiting(self, now_s: float) -> tuple[pacer.Key, ...]:
        """Returns the waiting requests in the order of their turns."""
        self._order.advance(now_s)
        return tuple(request.key for request in self._order.in_order())

    def request(
        self,
        key: pacer.Key,
        ask: admission_order.Ask,
        batch: pacer.Batch,
        now_s: float,
    ) -> BudgetDecisions:
        """Queues a request to send a prompt.

        A request that was granted before is granted again, as the answer was
        lost. One that has ended gets no answer: the message is late.
        """
        if key in self._budget:
            return BudgetDecisions((key,), (), {}, ())
        if self._budget.has_ended(key):
            return BudgetDecisions((), (), {}, ())
        request = self._order.get(key)
        is_new = request is None
        if is_new:
            request = self._order.add(key, ask, now_s)
            self._arrivals.add(request.urgency, ask.workspace, now_s)
            self._mean_charged += engine_budget.MEAN_WEIGHT * (
                _charged(ask.tokens) - self._mean_charged
            )
            if _is_too_large(ask, batch.memory_tokens):
                room = self._room(batch, now_s)
                record = self._refuse(request, Reason.TOO_LARGE, 0, room, now_s)
                after_s = {key: record.after_s}
                return BudgetDecisions((), (key,), after_s, (record,))
        return self._decide(batch, now_s, request if is_new else None)

    def record_stage(
        self,
        key: pacer.Key,
        stage: engine_budget.Stage,
        memory_tokens: int,
        now_s: float,
    ) -> None:
        """Applies what the sender of a request says of its lease.

        Args:
          key: The request.
          stage: How far it has got.
          memory_tokens: Memory that it takes, if another pacer granted it.
          now_s: Monotonic time.
        """
        if stage is not engine_budget.Stage.SENT:
            self._prompts.finish(key)
        if stage is engine_budget.Stage.ENDED:
            self._order.remove(key)
            self._budget.end(key, now_s)
        else:
            self._order.remove(key)
            self._budget.confirm(key, memory_tokens, now_s)

    def grant(self, batch: pacer.Batch, now_s: float) -> BudgetDecisions:
        """Returns the requests that may be sent now, and those refused."""
        return self._decide(batch, now_s, None)

    def next_check_s(self, now_s: float) -> float | None:
        """Returns when to check again, or None if no requests wait."""
        if not len(self._order):
            return None
        if self._is_full:
            return now_s + pacer.FULL_CHECK_INTERVAL_S
        return self._prompts.next_s(now_s)

    def _decide(
        self,
        batch: pacer.Batch,
        now_s: float,
        new: admission_order.WaitingRequest | None,
    ) -> BudgetDecisions:
        """Grants and refuses what can be decided now.

        Args:
          batch: How full the engine's batch is.
          now_s: Monotonic time.
          new: The request that has just arrived, if any.
        """
        self._budget.expire(now_s)
        self._prompts.advance(now_s)
        self._order.advance(now_s)
        room = self._room(batch, now_s)
        records: list[DecisionRecord] = []
        granted = []
        reason = Reason.ROOM if room.free_slots else Reason.SLOTS
        request = None
        while (
            reason is Reason.ROOM
            and (request := self._order.first()) is not None
        ):
            reason = self._obstacle(request, room)
            if reason is not Reason.ROOM:
                break
            self._grant(request, room, now_s)
            granted.append(request.key)
            records.append(
                self._record(request, Verdict.GRANTED, reason, 0, room, now_s)
            )
            if not room.free_slots:
                reason = Reason.SLOTS
        self._is_full = reason is Reason.SLOTS or reason is Reason.MEMORY
        self._prompts.note_waiting(
            request.ask.tokens if reason is Reason.PROMPTS else None, now_s
        )
        if new is None and not granted:
            for one in self._order.to_check(CHECKED_PER_DECISION):
                if one is request and now_s < one.ask.until_s:
                    # Room is being made for this one.
                    continue
                place = self._order.place(one)
                why = self._refusal_reason(one, place, room, now_s)
                if why is not None:
                    records.append(self._refuse(one, why, place, room, now_s))
        elif new is not None and new.key in self._order:
            place = self._order.place(new)
            why = self._refusal_reason(new, place, room, now_s)
            records.append(
                self._record(new, Verdict.WAITING, reason, place, room, now_s)
                if why is None
                else self._refuse(new, why, place, room, now_s)
            )
        if not records:
            return _NOTHING
        refused = tuple(
            one.key for one in records if one.verdict is Verdict.REFUSED
        )
        return BudgetDecisions(
            tuple(granted),
            refused,
            {one.key: one.after_s for one in records if one.after_s},
            tuple(records),
        )

    def _room(self, batch: pacer.Batch, now_s: float) -> _Room:
        """Returns what the engine has left."""
        budget = self._budget
        limit = pacer.stream_limit(batch)
        unleased = budget.unleased(batch.running, now_s)
        free = budget.free_slots(limit, unleased)
        hold_s = max(pacer.MIN_CHECK_INTERVAL_S, budget.mean_hold_s)
        return _Room(batch.memory_tokens, unleased, free, limit / hold_s)

    def _obstacle(
        self, request: admission_order.WaitingRequest, room: _Room
    ) -> Reason:
        """Returns what keeps a request from being sent now."""
        memory_tokens = _memory_tokens(request.ask, room.memory_tokens)
        if not self._budget.has_memory(
            room.memory_tokens, memory_tokens, room.unleased
        ):
            return Reason.MEMORY
        if not self._prompts.has_room(request.ask.tokens):
            return Reason.PROMPTS
        return Reason.ROOM

    def _grant(
        self,
        request: admission_order.WaitingRequest,
        room: _Room,
        now_s: float,
    ) -> None:
        self._order.grant(request)
        memory_tokens = _memory_tokens(request.ask, room.memory_tokens)
        self._budget.grant(request.key, memory_tokens, now_s)
        tokens = min(MAX_PROMPT_TOKENS, max(0, request.ask.tokens))
        self._prompts.send(request.key, tokens, now_s)
        room.free_slots -= 1

    def _refusal_reason(
        self,
        request: admission_order.WaitingRequest,
        place: int,
        room: _Room,
        now_s: float,
    ) -> Reason | None:
        """Returns why a waiting request is to be refused; None if it is not."""
        if now_s >= request.ask.until_s:
            return Reason.TIME_IS_OVER
        if self._is_too_late(request, place, room, now_s):
            return Reason.TURN_TOO_LATE
        return None

    def _refuse(
        self,
        request: admission_order.WaitingRequest,
        reason: Reason,
        place: int,
        room: _Room,
        now_s: float,
    ) -> DecisionRecord:
        """Removes a waiting request and books its caller's return."""
        wait_s = self._wait_s(place, room, 0.0, now_s)
        after_s = self._returns.book(
            request,
            now_s + wait_s,
            1.0 / room.ends_per_s,
            now_s,
            MAX_RETRY_AFTER_S,
        )
        self._order.remove(request.key)
        return self._record(
            request, Verdict.REFUSED, reason, place, room, now_s, after_s
        )

    def _is_too_late(
        self,
        request: admission_order.WaitingRequest,
        place: int,
        room: _Room,
        now_s: float,
    ) -> bool:
        """Whether a request's turn is expected after its caller has left.

        Later requests that go before it take a part of what the engine serves.
        A request that becomes late yields to those of its own workspace, too.
        The part that is kept for long waits bounds the time in any case.
        """
        if not self._budget.has_hold:
            return False
        ask = request.ask
        patience_s = ask.until_s - now_s
        self._arrivals.decay(now_s)
        taken = self._arrivals.more_urgent(request.urgency)
        wait_s = self._wait_s(place, room, taken, now_s)
        if request.is_late or now_s + wait_s > ask.due_s:
            late_s = self._wait_when_late_s(request, room, taken)
            wait_s = max(wait_s, late_s)
        if wait_s <= patience_s:
            return False
        before = self._order.long_waiting_before(request)
        if not _is_large(ask, room.memory_tokens):
            # Those before it will have waited long as soon as this one.
            place = self._order.place_in_workspace(request)
            before = max(before, place)
        kept_per_s = room.ends_per_s * admission_order.KEPT_SHARE
        kept_s = max(now_s, request.ages_s) + (before + 1) / kept_per_s
        return kept_s > ask.until_s

    def _wait_when_late_s(
        self,
        request: admission_order.WaitingRequest,
        room: _Room,
        taken: float,
    ) -> float:
        """Returns how long a request waits that all of its workspace pass.

        The first one of its workspace has the next turn, whatever comes later.
        """
        workspace = request.ask.workspace
        place = self._order.place_in_workspace(request)
        missing = place + 1 - room.free_slots
        if not place or missing <= 0:
            return 0.0
        capacity = room.ends_per_s - taken
        share, own = self._arrivals.share(request.urgency, workspace, capacity)
        return _queue_wait_s(missing, share, own)

    def _wait_s(
        self, place: int, room: _Room, taken: float, now_s: float
    ) -> float:
        """Returns how long the turn after `place` others takes.

        Args:
          place: How many go first.
          room: What the engine has left.
          taken: Turns per second that later requests take.
          now_s: Monotonic time.
        """
        prompts_s = self._prompts.wait_s(place * self._mean_charged, now_s)
        missing = place + 1 - room.free_slots
        if missing <= 0:
            return prompts_s
        return max(prompts_s, _queue_wait_s(missing, room.ends_per_s, taken))

    def _record(
        self,
        request: admission_order.WaitingRequest,
        verdict: Verdict,
        reason: Reason,
        place: int,
        room: _Room,
        now_s: float,
        after_s: float = 0.0,
    ) -> DecisionRecord:
        budget = self._budget
        return DecisionRecord(
            request.key,
            verdict,
            reason,
            request.urgency,
            request.ask.workspace,
            place,
            now_s - request.requested_s,
            len(budget),
            room.unleased,
            budget.memory_tokens,
            budget.confirmed_age_s(now_s),
            after_s,
        )


def _queue_wait_s(count: int, rate: float, taken: float) -> float:
    """Returns how long so many turns take.

    Args:
      count: The turns.
      rate: Turns per second.
      taken: Turns per second that later requests take. Their rate is that of
        the last few seconds, and foretells no more than `FORESIGHT_S`.
    """
    if rate <= 0.0:
        return math.inf
    if count <= (rate - taken) * FORESIGHT_S:
        return count / (rate - taken)
    return (count + taken * FORESIGHT_S) / rate


def _charged(tokens: int) -> float:
    """Returns a prompt's tokens as counted against the rate, as in `pacer`."""
    return min(max(0, tokens), pacer.BURST_TOKENS)


def _is_too_large(ask: admission_order.Ask, memory_tokens: int | None) -> bool:
    """Whether a prompt exceeds the whole memory of an engine."""
    if memory_tokens is None:
        return False
    prompt_tokens = max(0, ask.tokens) + max(0, ask.cached_tokens)
    return prompt_tokens > memory_tokens


def _is_large(ask: admission_order.Ask, memory_tokens: int | None) -> bool:
    """Whether a request takes a good part of an engine's memory."""
    if memory_tokens is None:
        return False
    return ask.memory_tokens > LARGE_MEMORY_SHARE * memory_tokens


def _memory_tokens(ask: admission_order.Ask, memory_tokens: int | None) -> int:
    """Returns the memory that a request takes, at most all there is.

    What callers state as the longest answer may exceed what an engine holds.
    """
    if memory_tokens is None:
        return ask.memory_tokens
    return min(ask.memory_tokens, memory_tokens)
