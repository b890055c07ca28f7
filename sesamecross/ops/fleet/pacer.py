"""Admission control for prompts: paces the prefill work sent to an engine.

Requests arrive in bursts, from callers of all instances. An engine prefills
prompts between the decode steps in which all running streams get their next
tokens, so a burst of prompts pauses every stream in the batch, and all of them
are late at once. If the prompts are spread out a little, most of the burst is
still on time, and so are the running streams.

One instance paces each engine. An instance that has a prompt for that engine
sends a request to the pacer, and may send the prompt when the prompts ahead
have had their time. Of the waiting requests, those that can still be on time go
first, by earliest due time; those that are late anyway follow.

Measurements behind the limits: an event of six tokens takes six steps. With
prompts between the steps at the full prefill rate of 38 tokens per millisecond
it takes 350 ms, at two thirds of that rate 100 ms, and pauses up to 250 ms are
on time. With 24 to 48 streams in a batch and bursts of prompts at 16,000 tokens
per second, half of all streams had a longer pause without pacing.

When more prompts arrive than the engine can prefill, a request that becomes
late queues behind all that are not late and its turn never comes. Such requests
were held for 1.7 s and then refused: 340 of the 1,950 refusals of an overloaded
day. So a request is refused as soon as its turn is expected after its caller
has given up. Requests that are late already when they come, by the size of
their prompts or the speed of their model, would be late each time they come
back: a part of the rate is kept for them, in the order in which they come.

An engine may also read prompts more slowly than at the rate. Then the limit on
prompts that are not yet read holds requests up, all the time; once it has done
so for a while, turns are foretold by what the engine has read meanwhile.

A nearly full batch admits no more prompts until streams end. Each stream makes
the steps of all others longer, and prompts come between the steps. With three
quarters of the slots in use half of all streams had a pause over the bound,
below that one in twelve. With all slots in use a stream of 1.5 s took 9 s and
missed its caller's deadline (121 of 3,466 requests of one day). Refusing these
requests delays no other request.
"""

from collections import deque
from collections.abc import Iterable
import dataclasses
import math
from typing import Protocol
from typing import TypeVar

# Prompt tokens per second admitted to an engine: two thirds of what the engines
# of the first deployments prefill when they do nothing else.
PREFILL_TOKENS_PER_S = 25_000.0
# Tokens that may be sent at once: an ordinary prompt.
BURST_TOKENS = 1_500.0
# Tokens that may be granted and not yet prefilled: 0.2 s of prefill. This limit
# takes effect on engines slower than the rate.
MAX_PENDING_TOKENS = 5_000
# How long the limit must have held requests up before the engine's own rate is
# known, and the longest time over which that is measured.
MIN_BACKLOG_S = 0.5
MAX_BACKLOG_WINDOW_S = 3.0
# A prompt not reported as prefilled by then no longer counts: its sender is
# gone, or the report was lost.
PREFILL_TIMEOUT_S = 1.5
# Part of the rate that is kept for requests that are late from the start.
LATE_SHARE = 0.15
# Limit on the tokens that these may claim at once.
MAX_LATE_CREDIT = 2 * BURST_TOKENS
MIN_CHECK_INTERVAL_S = 0.005
# Maximum number of streams at an engine, see above: as many as bring a third of
# its prefill rate in prompts, at 290 output and 650 prompt tokens each.
MAX_STREAMS = 46
# Smaller batches are filled to this share: of 32 slots, 24 in use made no
# stream later than 8, and beyond the last slot requests queue inside the
# engine.
MAX_BATCH_SHARE = 0.92
# Minimum rate assumed for a full batch, in tokens per second: streams still end
# from time to time, which admits an ordinary prompt per second.
FULL_MIN_TOKENS_PER_S = 1_000.0
# A granted stream is counted separately until the reports include it.
REPORT_DELAY_S = 0.3
# Interval of checks on a full batch, in which a stream ends every 50 ms.
FULL_CHECK_INTERVAL_S = 0.03
# Time constant of the rate of requested tokens: a single burst makes some
# requests late but is prefilled; more than a second of it is overload.
RATE_TIME_CONSTANT_S = 3.0
# When a refused caller should retry: bursts last 3 to 4 s, and another engine
# loads a busy model in 0.5 to 3 s.
OVERLOAD_RETRY_AFTER_S = 2.5

Key = tuple[str, int]


@dataclasses.dataclass(slots=True)
class _WaitingRequest:
    key: Key
    tokens: int
    due_s: float
    until_s: float
    requested_s: float

    @property
    def is_late_from_start(self) -> bool:
        """Whether it can't be on time even if it is sent at once."""
        return self.due_s < self.requested_s

    @property
    def charged_tokens(self) -> float:
        """Tokens as counted against the rate.

        A prompt counts as no larger than a burst: otherwise the largest prompts
        would be admitted only to an idle engine, which is never the case.
        """
        return min(self.tokens, BURST_TOKENS)


@dataclasses.dataclass(frozen=True, slots=True)
class Batch:
    """Use of an engine's batch, by the latest reports of all instances.

    Attributes:
      running: Requests in flight there.
      slots: Largest number of requests in the batch.
      memory_tokens: Capacity of its memory for prompts and answers; None if
        unknown.
    """

    running: float
    slots: int
    memory_tokens: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Decisions:
    """Requests that may be sent now, and those whose turn will be too late."""

    granted: tuple[Key, ...]
    refused: tuple[Key, ...]


class Backlog:
    """Measures what an engine reads while prompts wait for it all the time."""

    __slots__ = ("_windows",)

    def __init__(self) -> None:
        # Start and tokens read since; a second, younger window replaces the
        # first one once that is too long.
        self._windows: list[tuple[float, float]] = []

    def begin(self, now_s: float) -> None:
        """Notes that prompts wait for others to be read."""
        if not self._windows:
            self._windows = [(now_s, 0.0), (now_s + MIN_BACKLOG_S, 0.0)]
        elif now_s - self._windows[0][0] > MAX_BACKLOG_WINDOW_S:
            self._windows = [self._windows[1], (now_s, 0.0)]

    def end(self) -> None:
        """Notes that no prompt waits for others to be read."""
        self._windows = []

    def add(self, tokens: int, now_s: float) -> None:
        """Adds a prompt that was read."""
        self._windows = [
            (start_s, read + tokens if now_s >= start_s else read)
            for start_s, read in self._windows
        ]

    def rate(self, now_s: float) -> float | None:
        """Returns tokens read per second; None while that is unknown."""
        if not self._windows:
            return None
        start_s, read = self._windows[0]
        lasted_s = now_s - start_s
        return read / lasted_s if lasted_s >= MIN_BACKLOG_S else None


class _Waiting(Protocol):
    key: Key
    due_s: float


_Request = TypeVar("_Request", bound=_Waiting)


def in_turn(waiting: Iterable[_Request], now_s: float) -> list[_Request]:
    """Returns the waiting requests in the order of their turns.

    Those that can still be on time go first, by earliest due time.
    """
    return sorted(
        waiting,
        key=lambda request: (
            request.due_s < now_s,
            request.due_s,
            request.key,
        ),
    )


def stream_limit(batch: Batch) -> int:
    """Returns the largest number of streams that a batch is given."""
    return max(1, min(MAX_STREAMS, int(batch.slots * MAX_BATCH_SHARE)))


class Pacer:
    """Prompts queued for and sent to one engine. Deterministic."""

    __slots__ = (
        "_prefilling",
        "_waiting",
        "_pending_tokens",
        "_level",
        "_requested_rate",
        "_late_requested_rate",
        "_granted_rate",
        "_late_credit",
        "_is_full",
        "_backlog",
        "_at_s",
    )

    def __init__(self) -> None:
        self._prefilling: dict[Key, tuple[int, float]] = {}
        self._waiting: dict[Key, _WaitingRequest] = {}
        self._pending_tokens = 0
        # Tokens granted ahead of the rate.
        self._level = 0.0
        # Tokens requested per second, and those of requests that were late from
        # the start.
        self._requested_rate = 0.0
        self._late_requested_rate = 0.0
        # Tokens granted per second: the capacity of a full batch.
        self._granted_rate = 0.0
        # Tokens that requests late from the start are owed for those sent
        # before them.
        self._late_credit = 0.0
        self._is_full = False
        self._backlog = Backlog()
        self._at_s = 0.0

    @property
    def is_idle(self) -> bool:
        """Whether no prompts are waiting or being prefilled."""
        return not self._waiting and not self._prefilling

    def request(
        self,
        key: Key,
        tokens: int,
        due_s: float,
        until_s: float,
        batch: Batch,
        now_s: float,
    ) -> Decisions:
        """Queues a request to send a prompt.

        A request that was granted before is granted again, as the answer was
        lost.

        Args:
          key: The requesting instance and the number of its request.
          tokens: Prompt tokens that the engine would have to prefill.
          due_s: When it has to be sent at the latest to be on time.
          until_s: When its caller stops waiting.
          batch: How full the engine's batch is.
          now_s: Monotonic time.
        """
        if key in self._prefilling:
            return Decisions((key,), ())
        if key not in self._waiting:
            self._decay(now_s)
            request = _WaitingRequest(key, tokens, due_s, until_s, now_s)
            self._waiting[key] = request
            rate = request.charged_tokens / RATE_TIME_CONSTANT_S
            self._requested_rate += rate
            if request.is_late_from_start:
                self._late_requested_rate += rate
        return self.grant(batch, now_s)

    def release(self, key: Key) -> None:
        """Records that a prompt was prefilled, or will not be sent."""
        self._waiting.pop(key, None)
        known = self._prefilling.pop(key, None)
        if known is not None:
            self._pending_tokens -= known[0]
            self._backlog.add(known[0], self._at_s)

    def waiting(self, now_s: float) -> tuple[Key, ...]:
        """Returns the waiting requests in the order of their turns."""
        late, others = self._queues(now_s)
        return tuple(request.key for request in (*others, *late))

    def grant(self, batch: Batch, now_s: float) -> Decisions:
        """Returns the requests that may be sent now, and those refused."""
        self._expire(now_s)
        self._decay(now_s)
        granted = []
        free_slots = self._free_slots(batch, now_s)
        late, others = self._queues(now_s)
        while late or others:
            queue = self._next_queue(late, others)
            request = queue[0]
            if len(granted) >= free_slots or not self._has_room(request):
                break
            queue.popleft()
            self._grant_request(request, now_s)
            self._update_late_credit(request, has_late=bool(late))
            granted.append(request.key)
        self._is_full = len(granted) >= free_slots
        if (late or others) and self._exceeds_pending(request):
            self._backlog.begin(now_s)
        else:
            self._backlog.end()
        refused = self._too_late(late, others, now_s)
        for key in refused:
            del self._waiting[key]
        return Decisions(tuple(granted), tuple(refused))

    def _queues(
        self, now_s: float
    ) -> tuple[deque[_WaitingRequest], deque[_WaitingRequest]]:
        """Returns requests late from the start, and all others, in order."""
        late = [one for one in self._waiting.values() if one.is_late_from_start]
        late.sort(key=lambda one: (one.requested_s, one.key))
        others = (
            one for one in self._waiting.values() if not one.is_late_from_start
        )
        return deque(late), deque(in_turn(others, now_s))

    def _next_queue(
        self, late: deque[_WaitingRequest], others: deque[_WaitingRequest]
    ) -> deque[_WaitingRequest]:
        """Returns the queue whose first request has the next turn."""
        if not others:
            return late
        if late and self._late_credit >= late[0].charged_tokens:
            return late
        return others

    def _grant_request(self, request: _WaitingRequest, now_s: float) -> None:
        del self._waiting[request.key]
        self._prefilling[request.key] = (request.tokens, now_s)
        self._pending_tokens += request.tokens
        self._level += request.tokens
        self._granted_rate += request.charged_tokens / RATE_TIME_CONSTANT_S

    def _update_late_credit(
        self, sent: _WaitingRequest, has_late: bool
    ) -> None:
        """Counts what requests late from the start get, and are owed."""
        if sent.is_late_from_start:
            credit = self._late_credit - sent.charged_tokens
            self._late_credit = max(0.0, credit)
        elif has_late:
            owed = sent.charged_tokens * LATE_SHARE / (1.0 - LATE_SHARE)
            self._late_credit = min(MAX_LATE_CREDIT, self._late_credit + owed)

    def _too_late(
        self,
        late: Iterable[_WaitingRequest],
        others: Iterable[_WaitingRequest],
        now_s: float,
    ) -> list[Key]:
        """Returns the waiting requests whose turn is too late.

        A request that becomes late yields to all future ones that will not be,
        so it gets only the part of the rate that those leave unused. One that
        is late from the start gets at least the part that is kept for it.

        Args:
          late: Those late from the start, in order.
          others: All others, in order.
          now_s: Monotonic time.
        """
        rate = PREFILL_TOKENS_PER_S
        ahead = self._level
        read_rate = self._backlog.rate(now_s)
        if self._is_full:
            rate = max(FULL_MIN_TOKENS_PER_S, min(rate, self._granted_rate))
        elif read_rate is not None:
            rate = max(FULL_MIN_TOKENS_PER_S, min(rate, read_rate))
            ahead = max(ahead, self._pending_tokens - MAX_PENDING_TOKENS)
        refused = []
        others_rate = self._requested_rate - self._late_requested_rate
        late_rate = max(rate * LATE_SHARE, rate - others_rate)
        ahead_of_late = ahead
        for request in late:
            if now_s + ahead_of_late / late_rate > request.until_s:
                refused.append(request.key)
            else:
                ahead_of_late += request.charged_tokens
        spare = max(0.0, rate - self._requested_rate)
        for request in others:
            starts_s = now_s + ahead / rate
            if starts_s > request.due_s:
                starts_s = now_s + ahead / spare if spare else math.inf
            if starts_s > request.until_s:
                refused.append(request.key)
            else:
                ahead += request.charged_tokens
        return refused

    def _decay(self, now_s: float) -> None:
        elapsed_s = max(0.0, now_s - self._at_s)
        self._level = max(0.0, self._level - elapsed_s * PREFILL_TOKENS_PER_S)
        decay = math.exp(-elapsed_s / RATE_TIME_CONSTANT_S)
        self._requested_rate *= decay
        self._late_requested_rate *= decay
        self._granted_rate *= decay
        self._at_s = now_s

    def _free_slots(self, batch: Batch, now_s: float) -> int:
        """Returns how many more streams the batch may take now."""
        unreported = sum(
            1
            for _, at_s in self._prefilling.values()
            if now_s - at_s < REPORT_DELAY_S
        )
        limit = stream_limit(batch)
        return max(0, limit - int(batch.running) - unreported)

    def _exceeds_pending(self, request: _WaitingRequest) -> bool:
        """Whether too many prompts before it have not been read yet."""
        pending_tokens = self._pending_tokens + request.charged_tokens
        return bool(self._prefilling) and pending_tokens > MAX_PENDING_TOKENS

    def _has_room(self, request: _WaitingRequest) -> bool:
        if self._exceeds_pending(request):
            return False
        return self._level + request.charged_tokens <= BURST_TOKENS

    def next_check_s(self, now_s: float) -> float | None:
        """Returns when to check again, or None if no requests wait."""
        if not self._waiting:
            return None
        interval_s = (
            FULL_CHECK_INTERVAL_S if self._is_full else MIN_CHECK_INTERVAL_S
        )
        return now_s + max(interval_s, self._level / PREFILL_TOKENS_PER_S)

    def _expire(self, now_s: float) -> None:
        for key, (_, at_s) in list(self._prefilling.items()):
            if now_s - at_s > PREFILL_TIMEOUT_S:
                self.release(key)
