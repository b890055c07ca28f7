"""Paces the prompts that an engine gets to read.

The pattern of load: requests come in clumps, from callers of all instances.
An engine reads prompts between the steps in which all running streams get
their next tokens, so a clump of prompts makes one long pause for every stream
in the batch, and all of them are late at once. Spread a little, the whole
clump is mostly still on time, and so is everybody else.

One instance paces each engine. Whoever wants to send there asks it, and may
send when the prompts before it have had their time. Among those that wait,
who can still be on time goes first, the one with the least time to spare
ahead; those that are late anyway come after.

Grounds: an event of six tokens takes six steps. With prompts at the full
reading rate of 38 tokens a millisecond between them it takes 350 ms, at two
thirds of that rate 100 ms, and pauses up to 250 ms are on time. With 24 to 48
streams in a batch and prompts at 16,000 tokens a second in clumps, half of
all streams had a longer pause unpaced.

Where more is asked for than is read, whoever is late waits behind all that
are not, and its turn never comes: it was held for 1.7 s and refused then, 340
of 1,950 refusals of an overloaded day. Now it is refused as soon as its turn
is expected after its caller has left.

A batch that is nearly full gets no more prompts until streams end. Each stream
makes the steps of all others longer, and prompts come between them: with three
quarters of the places taken half of all streams had a pause over the bound,
below that one in twelve, and with all of them taken a stream that takes 1.5 s
took 9 and missed its caller's deadline (121 of 3,466 requests of one day).
Turned away, the same requests cost nobody else their time.
"""

import dataclasses
import math

# Prompt tokens a second that an engine gets to read: two thirds of what the
# engines of the first deployments read when they do nothing else.
READ_PER_S = 25_000.0
# Tokens that may go at once: an ordinary prompt.
BURST_TOKENS = 1_500.0
# What may be granted and not read yet: 0.2 s of reading. Engines slower than
# the rate show by this.
UNREAD_TOKENS = 5_000
# A prompt that was never reported as read counts no longer: its sender is
# gone, or the report was lost.
FORGET_S = 1.5
# Asks that wait longer are forgotten; their senders asked somebody else.
WAIT_MOST_S = 4.0
MIN_LOOK_S = 0.005
# An engine gets so many streams at most, see above: as many as bring a third of
# its reading rate in prompts, each of 290 tokens out and 650 in.
STREAMS_MOST = 46
# Smaller batches are filled up to this share: of 32 places 24 made no stream
# later than 8 did, and beyond the last place requests wait inside the engine.
BATCH_SHARE = 0.92
# A full batch still ends a stream now and then: an ordinary prompt a second.
FULL_LEAST_PER_S = 1_000.0
# What was granted counts by itself until the others' reports tell of it.
TOLD_S = 0.3
# How often a full batch is looked at: streams end every 50 ms in it.
FULL_LOOK_S = 0.03
# The tokens asked for in a second are smoothed over this: one clump makes
# some late and is read in the end, more than a second of it is overload.
ASKED_S = 3.0
# A refused caller comes back after about this: bursts last 3 to 4 s, and a
# further engine is loaded with a busy model in 0.5 to 3 s.
OVERLOAD_RETRY_AFTER_S = 2.5

Key = tuple[str, int]


@dataclasses.dataclass(slots=True)
class _Ask:
    key: Key
    tokens: int
    due_s: float
    until_s: float
    asked_s: float

    @property
    def counted(self) -> float:
        """Tokens as they count for the rate.

        A prompt counts as no larger than a burst: the largest ones would
        find room only when nobody else is there, which is never.
        """
        return min(self.tokens, BURST_TOKENS)


@dataclasses.dataclass(frozen=True, slots=True)
class Batch:
    """Places of an engine's batch, by the last word of all instances."""

    running: float
    slots: int


@dataclasses.dataclass(frozen=True, slots=True)
class Decisions:
    """Who may send now, and whose turn will not come in time."""

    granted: tuple[Key, ...]
    refused: tuple[Key, ...]


class Pacer:
    """What one engine has to read, and who waits. Deterministic."""

    __slots__ = (
        "_reading",
        "_waiting",
        "_unread",
        "_level",
        "_asked",
        "_granted",
        "_is_full",
        "_at_s",
    )

    def __init__(self) -> None:
        self._reading: dict[Key, tuple[int, float]] = {}
        self._waiting: dict[Key, _Ask] = {}
        self._unread = 0
        # Tokens that were granted ahead of the rate.
        self._level = 0.0
        # Tokens asked for in a second.
        self._asked = 0.0
        # Tokens granted in a second: what a full batch has room for.
        self._granted = 0.0
        self._is_full = False
        self._at_s = 0.0

    @property
    def is_idle(self) -> bool:
        """Whether nothing is known of the engine that matters."""
        return not self._waiting and not self._reading

    def ask(
        self,
        key: Key,
        tokens: int,
        due_s: float,
        until_s: float,
        batch: Batch,
        now_s: float,
    ) -> Decisions:
        """Takes an ask in.

        An ask that was granted before is granted again: its answer was lost.

        Args:
          key: Who asks, and the number of its ask.
          tokens: What the engine would have to read.
          due_s: Until when it has to be sent to be on time.
          until_s: Until when its caller waits for it.
          batch: How full the engine is.
          now_s: Monotonic time.
        """
        if key in self._reading:
            return Decisions((key,), ())
        if key not in self._waiting:
            self._pass_time(now_s)
            ask = _Ask(key, tokens, due_s, until_s, now_s)
            self._waiting[key] = ask
            self._asked += ask.counted / ASKED_S
        return self.grant(batch, now_s)

    def prompt_read(self, key: Key) -> None:
        """A prompt was read, or will not be sent."""
        self._waiting.pop(key, None)
        known = self._reading.pop(key, None)
        if known is not None:
            self._unread -= known[0]

    def waiting(self, now_s: float) -> tuple[Key, ...]:
        """Returns who waits, in the order of their turns."""
        return tuple(ask.key for ask in self._in_order(now_s))

    def _in_order(self, now_s: float) -> list[_Ask]:
        return sorted(
            self._waiting.values(),
            key=lambda ask: (ask.due_s < now_s, ask.due_s, ask.key),
        )

    def grant(self, batch: Batch, now_s: float) -> Decisions:
        """Returns who may send now, and who may never."""
        self._forget(now_s)
        self._pass_time(now_s)
        granted = []
        places = self._places(batch, now_s)
        order = self._in_order(now_s)
        for ask in order:
            if len(granted) >= places or not self._has_room(ask):
                break
            del self._waiting[ask.key]
            self._reading[ask.key] = (ask.tokens, now_s)
            self._unread += ask.tokens
            self._level += ask.tokens
            self._granted += ask.counted / ASKED_S
            granted.append(ask.key)
        self._is_full = len(granted) >= places
        refused = self._hopeless(order[len(granted) :], now_s)
        for key in refused:
            del self._waiting[key]
        return Decisions(tuple(granted), tuple(refused))

    def _hopeless(self, order: list[_Ask], now_s: float) -> list[Key]:
        """Returns whose turn comes too late, of those that wait in order.

        Who will be late yields to all that are still to come and will not be,
        so only what these leave of the rate is its own.
        """
        rate = READ_PER_S
        if self._is_full:
            rate = max(FULL_LEAST_PER_S, min(rate, self._granted))
        spare = max(0.0, rate - self._asked)
        ahead = self._level
        refused = []
        for ask in order:
            starts_s = now_s + ahead / rate
            if starts_s > ask.due_s:
                starts_s = now_s + ahead / spare if spare else math.inf
            if starts_s > ask.until_s:
                refused.append(ask.key)
            else:
                ahead += ask.counted
        return refused

    def _pass_time(self, now_s: float) -> None:
        passed_s = max(0.0, now_s - self._at_s)
        self._level = max(0.0, self._level - passed_s * READ_PER_S)
        faded = math.exp(-passed_s / ASKED_S)
        self._asked *= faded
        self._granted *= faded
        self._at_s = now_s

    def _places(self, batch: Batch, now_s: float) -> int:
        """Returns how many more streams the batch gets now."""
        untold = sum(
            1 for _, at_s in self._reading.values() if now_s - at_s < TOLD_S
        )
        most = max(1, min(STREAMS_MOST, int(batch.slots * BATCH_SHARE)))
        return max(0, most - int(batch.running) - untold)

    def _has_room(self, ask: _Ask) -> bool:
        if self._reading and self._unread + ask.counted > UNREAD_TOKENS:
            return False
        return self._level + ask.counted <= BURST_TOKENS

    def next_check_s(self, now_s: float) -> float | None:
        """Returns when to look again, or None if nobody waits."""
        if not self._waiting:
            return None
        least_s = FULL_LOOK_S if self._is_full else MIN_LOOK_S
        return now_s + max(least_s, self._level / READ_PER_S)

    def _forget(self, now_s: float) -> None:
        for key, (_, at_s) in list(self._reading.items()):
            if now_s - at_s > FORGET_S:
                self.prompt_read(key)
        for key, ask in list(self._waiting.items()):
            if now_s - ask.asked_s > WAIT_MOST_S:
                del self._waiting[key]
