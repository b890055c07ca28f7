"""Orders the requests that wait for one engine.

When an engine has less room than its callers ask for, what is served must
depend on what the callers need and not on who asks most often. A single order
decides whose turn is next, who is refused, and when refused callers return:

- the more urgent request goes first;
- of one urgency, the workspaces take turns by virtual time: each has its time
  advanced by the tokens that it was granted, and the one that is least advanced
  goes first. A workspace that was idle begins at the time of the others, so
  that it saves up nothing;
- of one workspace, those that can still be on time go before those that can't,
  and the earliest due time goes first.

A part of the capacity is kept for requests that this order would starve: those
that were late when they came, and those that have waited for a good part of
their patience. These go by age, and by the same virtual time.
"""

import bisect
from collections.abc import Iterable
import hashlib
import math

import msgspec

from sesamecross.core import serving

Key = tuple[str, int]

# Part of the capacity that is kept for requests that have waited long.
KEPT_SHARE = 0.15
# Share of its patience after which a request has waited long.
AGEING_SHARE = 0.5
# How many turns the kept part may claim at once. It is counted in requests, as
# large ones would otherwise wait until many small ones have had their turns.
MAX_KEPT_TURNS = 2.0
# For how long after a refused caller's turn others are booked.
RETURN_SPREAD_S = 2.5
# The most that a workspace is charged for a request: counts that callers state
# may be false.
MAX_COST = 50_000
# Workspaces whose times are kept before those that are over are dropped.
MAX_TIMES = 64
# Urgencies out of this range are taken for the nearest in it.
MIN_URGENCY = 0
MAX_URGENCY = 9


class Owner(msgspec.Struct, frozen=True):
    """Whose request it is.

    Attributes:
      workspace: Its name; empty if the configuration declares none.
      urgency: Goes before that of the route; None if the workspace has none.
    """

    workspace: str = ""
    urgency: int | None = None

    @classmethod
    def from_workspace(cls, workspace: serving.Workspace | None) -> "Owner":
        """Returns the owner of a request of this workspace."""
        if workspace is None:
            return cls()
        return cls(workspace.name, workspace.urgency)


NO_OWNER = Owner()


class Ask(msgspec.Struct, frozen=True):
    """What a request needs of an engine, and when.

    Attributes:
      tokens: Prompt tokens that the engine has to read; 0 for a request without
        a prompt, whose permit is held until the request ends.
      output_tokens: The most that its answer may have.
      urgency: 0 is the most urgent.
      workspace: Whose request it is; empty if the configuration declares none.
      due_s: Monotonic time by which it has to be sent to be on time.
      until_s: Monotonic time after which waiting is of no use.
      cached_tokens: Prompt tokens that the engine need not read, but holds in
        memory.
    """

    tokens: int
    output_tokens: int
    urgency: int
    workspace: str
    due_s: float
    until_s: float
    cached_tokens: int = 0

    @property
    def memory_tokens(self) -> int:
        """Tokens of memory that the request takes until its end."""
        return (
            max(0, self.tokens)
            + max(0, self.cached_tokens)
            + max(0, self.output_tokens)
        )


class WaitingRequest(msgspec.Struct, eq=False):
    """A request that waits for its turn.

    Attributes:
      key: The requesting instance and the number of its request.
      ask: What it needs.
      requested_s: Monotonic time of its arrival.
      is_late: Whether it can no longer be on time.
      urgency: Its urgency, in range.
      cost: Tokens that its workspace is charged.
      ages_s: When it has waited long: at once if it was late when it came.
    """

    key: Key
    ask: Ask
    requested_s: float
    is_late: bool
    urgency: int
    cost: float
    ages_s: float

    @classmethod
    def from_ask(cls, key: Key, ask: Ask, now_s: float) -> "WaitingRequest":
        """Returns a request that arrives now."""
        is_late = ask.due_s < now_s
        urgency = min(MAX_URGENCY, max(MIN_URGENCY, ask.urgency))
        cost = float(min(MAX_COST, max(1, ask.tokens + ask.output_tokens)))
        patience_s = 0.0 if is_late else max(0.0, ask.until_s - now_s)
        ages_s = now_s + AGEING_SHARE * patience_s
        return cls(key, ask, now_s, is_late, urgency, cost, ages_s)


class VirtualTimes:
    """Turns of workspaces by the tokens that each was granted."""

    __slots__ = ("_times", "_now")

    def __init__(self) -> None:
        self._times: dict[str, float] = {}
        self._now = 0.0

    def first(self, workspaces: Iterable[str]) -> str:
        """Returns the workspace whose turn it is."""
        times, now = self._times, self._now
        best, best_time = "", math.inf
        for one in workspaces:
            time = times.get(one, now)
            if time < now:
                time = now
            if time < best_time or (time == best_time and one < best):
                best, best_time = one, time
        return best

    def charge(self, workspace: str, cost: float) -> None:
        """Records that a request of a workspace was granted."""
        start = self._time(workspace)
        self._now = max(self._now, start)
        self._times[workspace] = start + cost
        if len(self._times) > MAX_TIMES:
            # Those whose time is over begin at the present one anyway.
            self._times = {
                name: time
                for name, time in self._times.items()
                if time > self._now
            }

    def _time(self, workspace: str) -> float:
        return max(self._times.get(workspace, self._now), self._now)


# Entry of a sorted queue: a time, and the key; or before these, whether the
# request is late.
_Entry = tuple[float, Key] | tuple[bool, float, Key]


class _Queues:
    """Sorted queues of workspaces, which take turns."""

    __slots__ = ("_queues", "size")

    def __init__(self) -> None:
        self._queues: dict[str, list[_Entry]] = {}
        self.size = 0

    def add(self, workspace: str, entry: _Entry) -> None:
        queue = self._queues.get(workspace)
        if queue is None:
            queue = self._queues[workspace] = []
        bisect.insort(queue, entry)
        self.size += 1

    def remove(self, workspace: str, entry: _Entry) -> None:
        queue = self._queues[workspace]
        del queue[bisect.bisect_left(queue, entry)]
        self.size -= 1
        if not queue:
            del self._queues[workspace]

    def first(self, turns: VirtualTimes) -> Key:
        if len(self._queues) == 1:
            queue = next(iter(self._queues.values()))
        else:
            queue = self._queues[turns.first(self._queues)]
        return queue[0][-1]

    def ahead_of(self, workspace: str, entry: _Entry) -> int:
        """Returns how many requests here go before a request.

        Workspaces take turns, so each other one sends about as many as go
        before it in its own.
        """
        queues = self._queues
        queue = queues.get(workspace, ())
        own = self.ahead_in_own(workspace, entry)
        if len(queues) == bool(queue):
            return own
        ahead = own - min(len(queue), own + 1)
        for other in queues.values():
            size = len(other)
            ahead += size if size <= own else own + 1
        return ahead

    def ahead_in_own(self, workspace: str, entry: _Entry) -> int:
        """Returns how many of its own workspace go before a request."""
        return bisect.bisect_left(self._queues.get(workspace, ()), entry)


class _Level:
    """Requests of one urgency."""

    __slots__ = ("queues", "turns")

    def __init__(self) -> None:
        self.queues = _Queues()
        self.turns = VirtualTimes()


class AdmissionOrder:
    """Requests that wait for one engine, in order. Deterministic."""

    __slots__ = (
        "_requests",
        "_levels",
        "_long_waiting",
        "_long_turns",
        "_due_times",
        "_ageing_times",
        "_kept_turns",
        "_kept_turn",
        "_checked",
    )

    def __init__(self) -> None:
        self._requests: dict[Key, WaitingRequest] = {}
        # By urgency.
        self._levels: dict[int, _Level] = {}
        # Requests that have waited long; they are in their levels as well.
        self._long_waiting = _Queues()
        self._long_turns = VirtualTimes()
        # When requests become late, and have waited long.
        self._due_times: list[_Entry] = []
        self._ageing_times: list[_Entry] = []
        # Turns that those who have waited long are owed for those granted
        # before them.
        self._kept_turns = 0.0
        # The request that is first of those that have waited long.
        self._kept_turn: Key | None = None
        # Requests in the order in which their refusal is to be considered.
        self._checked: dict[Key, None] = {}

    def __contains__(self, key: Key) -> bool:
        return key in self._requests

    def __len__(self) -> int:
        return len(self._requests)

    def get(self, key: Key) -> WaitingRequest | None:
        """Returns a waiting request, or None."""
        return self._requests.get(key)

    def add(self, key: Key, ask: Ask, now_s: float) -> WaitingRequest:
        """Adds a request at its place."""
        request = WaitingRequest.from_ask(key, ask, now_s)
        self._requests[key] = request
        self._checked[key] = None
        level = self._levels.get(request.urgency)
        if level is None:
            level = self._levels[request.urgency] = _Level()
        level.queues.add(ask.workspace, _entry(request))
        if not request.is_late:
            bisect.insort(self._due_times, (ask.due_s, key))
        bisect.insort(self._ageing_times, (request.ages_s, key))
        self.advance(now_s)
        return request

    def remove(self, key: Key) -> WaitingRequest | None:
        """Removes a request that no longer waits; returns it."""
        request = self._requests.pop(key, None)
        if request is None:
            return None
        del self._checked[key]
        ask = request.ask
        level = self._levels[request.urgency]
        level.queues.remove(ask.workspace, _entry(request))
        if not request.is_late:
            _remove_entry(self._due_times, (ask.due_s, key))
        if not _remove_entry(self._ageing_times, (request.ages_s, key)):
            self._long_waiting.remove(ask.workspace, (request.requested_s, key))
        return request

    def advance(self, now_s: float) -> None:
        """Moves the requests that have become late, or have waited long."""
        while self._due_times and self._due_times[0][0] < now_s:
            _, key = self._due_times.pop(0)
            request = self._requests[key]
            queues = self._levels[request.urgency].queues
            queues.remove(request.ask.workspace, _entry(request))
            request.is_late = True
            queues.add(request.ask.workspace, _entry(request))
        while self._ageing_times and self._ageing_times[0][0] <= now_s:
            _, key = self._ageing_times.pop(0)
            request = self._requests[key]
            self._long_waiting.add(
                request.ask.workspace, (request.requested_s, key)
            )

    def first(self) -> WaitingRequest | None:
        """Returns the request whose turn is next."""
        if not self._requests:
            return None
        self._kept_turn = None
        if self._long_waiting.size:
            self._kept_turn = self._long_waiting.first(self._long_turns)
            request = self._requests[self._kept_turn]
            if self._kept_turns >= 1.0:
                return request
        for urgency in sorted(self._levels):
            level = self._levels[urgency]
            if level.queues.size:
                return self._requests[level.queues.first(level.turns)]
        return None

    def grant(self, request: WaitingRequest) -> None:
        """Removes the first request, and charges its workspace."""
        self.remove(request.key)
        workspace, cost = request.ask.workspace, request.cost
        self._levels[request.urgency].turns.charge(workspace, cost)
        if request.key == self._kept_turn:
            self._long_turns.charge(workspace, cost)
            self._kept_turns = max(0.0, self._kept_turns - 1.0)
        elif self._long_waiting.size:
            turns = self._kept_turns + KEPT_SHARE / (1.0 - KEPT_SHARE)
            self._kept_turns = min(MAX_KEPT_TURNS, turns)

    def place(self, request: WaitingRequest) -> int:
        """Returns about how many waiting requests go before this one."""
        ahead = 0
        urgency = request.urgency
        for other, level in self._levels.items():
            if other < urgency:
                ahead += level.queues.size
        queues = self._levels[urgency].queues
        return ahead + queues.ahead_of(request.ask.workspace, _entry(request))

    def place_in_workspace(self, request: WaitingRequest) -> int:
        """Returns how many of its urgency and workspace go before a request."""
        queues = self._levels[request.urgency].queues
        return queues.ahead_in_own(request.ask.workspace, _entry(request))

    def long_waiting_before(self, request: WaitingRequest) -> int:
        """Returns about how many that have waited long go before a request."""
        entry = (request.requested_s, request.key)
        return self._long_waiting.ahead_of(request.ask.workspace, entry)

    def to_check(self, count: int) -> list[WaitingRequest]:
        """Returns some waiting requests, each in its turn."""
        chosen = []
        for key in self._checked:
            if len(chosen) >= count:
                break
            chosen.append(self._requests[key])
        for request in chosen:
            del self._checked[request.key]
            self._checked[request.key] = None
        return chosen

    def in_order(self) -> list[WaitingRequest]:
        """Returns all waiting requests, by urgency, lateness and due time."""
        return sorted(
            self._requests.values(),
            key=lambda one: (
                one.urgency,
                one.is_late,
                one.ask.due_s,
                one.key,
            ),
        )


class ReturnTimes:
    """When refused callers should retry, in the order of their turns.

    A caller returns when its turn would have come. Callers refused together
    return one after the other, at the interval at which the engine ends
    requests, and more urgent ones before less urgent ones. Many of them are
    served elsewhere and do not return, so that only `RETURN_SPREAD_S` is
    booked. Beyond that, returns are spread evenly over this time.
    """

    __slots__ = ("_booked_until_s",)

    def __init__(self) -> None:
        # By urgency, until when returns are spread.
        self._booked_until_s: dict[int, float] = {}

    def book(
        self,
        request: WaitingRequest,
        turn_s: float,
        interval_s: float,
        now_s: float,
        max_s: float,
    ) -> float:
        """Returns after how long a refused caller should retry.

        Args:
          request: The refused request.
          turn_s: When its turn would come.
          interval_s: Mean time between two turns.
          now_s: Monotonic time.
          max_s: The longest time until a turn that is asked for.
        """
        urgency = request.urgency
        booked_s = max(
            (
                until_s
                for other, until_s in self._booked_until_s.items()
                if other <= urgency
            ),
            default=now_s,
        )
        turn_s = min(turn_s, now_s + max_s)
        at_s = max(turn_s, booked_s + interval_s)
        if at_s > turn_s + RETURN_SPREAD_S:
            return turn_s - now_s + RETURN_SPREAD_S * jitter(request.key)
        self._booked_until_s[urgency] = at_s
        return at_s - now_s + interval_s * jitter(request.key)


def jitter(key: Key) -> float:
    """Returns a number in [0, 1) that differs from request to request."""
    digest = hashlib.blake2b(f"{key[0]}/{key[1]}".encode(), digest_size=4)
    return int.from_bytes(digest.digest()) / 2**32


def _entry(request: WaitingRequest) -> _Entry:
    """Returns a request's place in the queue of its workspace."""
    return (request.is_late, request.ask.due_s, request.key)


def _remove_entry(entries: list[_Entry], entry: _Entry) -> bool:
    """Removes an entry from a sorted list; returns whether it was there."""
    index = bisect.bisect_left(entries, entry)
    if index == len(entries) or entries[index] != entry:
        return False
    del entries[index]
    return True
