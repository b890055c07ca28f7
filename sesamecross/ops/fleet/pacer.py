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

All is reckoned in reading time. Who asks says how long its prompt takes to
read by what engines of this kind showed; how long this engine takes for that
is learned from the prompts that were read while others waited in it. The
pauses that running streams bear (`pause_slack`) say how much of the engine's
time reading may take, and how much of it at once.

Where more is asked for than is read, whoever is late waits behind all that
are not, and its turn never comes. It is refused as soon as its turn is
expected after its caller has left.

A batch that is nearly full gets no more prompts until streams end: each stream
makes the steps of all others longer, and prompts come between them. Turned
away, the same requests cost nobody else their time.
"""

import dataclasses
import math

# With a slack of 1 reading takes four fifths of an engine's time: the rest is
# for the steps of the streams.
STEPS_SLACK = 0.25
# Of the pause that streams bear this part may be read at once.
BURST_SHARE = 1 / 3
# Pause and slack until anybody has told of them.
START_PAUSE_S = 0.25
START_SLACK = 1.0
# A bound below this is no bound: steps alone take as long.
LEAST_PAUSE_S = 0.02
# Weight of the newest ask in what streams seem to bear.
SLACK_WEIGHT = 0.1
# The engine's own speed starts as if it had read this long as it was told to.
SPEED_PRIOR_S = 0.5
# Each prompt's weight falls by this factor with the next one.
SPEED_FORGET = 0.97
SPEED_LEAST = 0.25
SPEED_MOST = 4.0
# A prompt that was never reported as read counts no longer: its sender is
# gone, or the report was lost.
FORGET_S = 1.5
# Asks that wait longer are forgotten; their senders asked somebody else.
WAIT_MOST_S = 4.0
MIN_LOOK_S = 0.005
# A batch is filled up to this share at most: beyond the last place requests
# wait inside the engine. Where streams bear less, it is filled less.
BATCH_SHARE = 0.92
BATCH_SLACK = 0.2
# A full batch still ends a stream now and then, and room for a prompt comes.
FULL_LEAST = 0.03
# What was granted counts by itself until the others' reports tell of it.
TOLD_S = 0.3
# How often a full batch is looked at: streams end every 50 ms in it.
FULL_LOOK_S = 0.03
# What is asked for in a second is smoothed over this: one clump makes some
# late and is read in the end, more than a second of it is overload.
ASKED_S = 3.0
# A refused caller comes back after about this: bursts last 3 to 4 s, and a
# further engine is loaded with a busy model in 0.5 to 3 s.
OVERLOAD_BACK_S = 2.5

Key = tuple[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class Prompt:
    """What is asked for.

    Attributes:
      read_s: How long engines of this kind take to read it.
      pause_s: The longest pause between events that is on time, or 0.
      slack: How many times that pause streams seem to bear.
      due_s: Until when it has to be sent to be on time.
      until_s: Until when waiting makes sense.
    """

    read_s: float
    pause_s: float
    slack: float
    due_s: float
    until_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class _Ask:
    key: Key
    prompt: Prompt
    asked_s: float

    @property
    def due_s(self) -> float:
        return self.prompt.due_s


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


class _Speed:
    """How much of the reading that it was told of an engine does in a second.

    Only prompts that followed others at once count: before them the engine may
    have been idle, and the way there and back counts for the first one alone.
    """

    __slots__ = ("_told_s", "_took_s", "_last_read_s")

    def __init__(self) -> None:
        self._told_s = SPEED_PRIOR_S
        self._took_s = SPEED_PRIOR_S
        self._last_read_s: float | None = None

    @property
    def value(self) -> float:
        return self._told_s / max(self._took_s, 1e-9)

    def read(self, told_s: float, has_more: bool, now_s: float) -> None:
        """A prompt was read; another one waits in the engine, or none."""
        if self._last_read_s is not None:
            # A lost prompt or a jump of the clock is no reading.
            took_s = max(told_s / SPEED_MOST, now_s - self._last_read_s)
            took_s = min(told_s / SPEED_LEAST, took_s)
            self._told_s = self._told_s * SPEED_FORGET + told_s
            self._took_s = self._took_s * SPEED_FORGET + took_s
        self._last_read_s = now_s if has_more else None


class Pacer:
    """What one engine has to read, and who waits. Deterministic."""

    __slots__ = (
        "_reading",
        "_waiting",
        "_unread_s",
        "_level_s",
        "_asked",
        "_granted",
        "_is_full",
        "_at_s",
        "_speed",
        "_pause_s",
        "_slack",
    )

    def __init__(self) -> None:
        self._reading: dict[Key, tuple[float, float]] = {}
        self._waiting: dict[Key, _Ask] = {}
        self._unread_s = 0.0
        # Reading that was granted ahead of the rate.
        self._level_s = 0.0
        # Reading asked for in a second.
        self._asked = 0.0
        # Reading granted in a second: what a full batch has room for.
        self._granted = 0.0
        self._is_full = False
        self._at_s = 0.0
        self._speed = _Speed()
        self._pause_s = START_PAUSE_S
        self._slack = START_SLACK

    @property
    def is_idle(self) -> bool:
        """Whether nobody waits and nothing is being read."""
        return not self._waiting and not self._reading

    # -- what the engine can do, in seconds of told reading ------------------

    @property
    def rate(self) -> float:
        """Reading that the engine gets in a second."""
        share = self._slack / (self._slack + STEPS_SLACK)
        return self._speed.value * share

    @property
    def burst_s(self) -> float:
        """Reading that may be granted at once."""
        return self._unread_most_s * BURST_SHARE

    @property
    def _unread_most_s(self) -> float:
        return self._speed.value * self._slack * self._pause_s

    @property
    def batch_share(self) -> float:
        """The share of its places that the engine gets to fill."""
        return min(BATCH_SHARE, self._slack / (self._slack + BATCH_SLACK))

    def _counted_s(self, ask: _Ask) -> float:
        """Returns reading as it counts for the rate.

        A prompt counts as no larger than a burst: the largest ones would
        find room only when nobody else is there, which is never.
        """
        return min(ask.prompt.read_s, self.burst_s)

    def figures(self) -> dict[str, float]:
        """Returns what its verdicts rest on, for the log."""
        return {
            "speed": round(self._speed.value, 2),
            "slack": round(self._slack, 2),
            "asked": round(self._asked, 2),
            "rate": round(self.rate, 2),
            "ahead_ms": round(self._level_s * 1000),
            "unread_ms": round(self._unread_s * 1000),
            "waiting": len(self._waiting),
            "is_full": self._is_full,
        }

    # -- asks ----------------------------------------------------------------

    def ask(
        self, key: Key, prompt: Prompt, batch: Batch, now_s: float
    ) -> Decisions:
        """Takes an ask in.

        An ask that was granted before is granted again: its answer was lost.

        Args:
          key: Who asks, and the number of its ask.
          prompt: What it asks for.
          batch: How full the engine is.
          now_s: Monotonic time.
        """
        if key in self._reading:
            return Decisions((key,), ())
        if key not in self._waiting:
            self._pass_time(now_s)
            self._note_bearing(prompt)
            ask = _Ask(key, prompt, now_s)
            self._waiting[key] = ask
            self._asked += self._counted_s(ask) / ASKED_S
        return self.grant(batch, now_s)

    def _note_bearing(self, prompt: Prompt) -> None:
        """Takes in what streams bear: the tightest pause, the mean slack."""
        self._slack += (prompt.slack - self._slack) * SLACK_WEIGHT
        if prompt.pause_s <= 0:
            return
        pause_s = max(LEAST_PAUSE_S, prompt.pause_s)
        weight = 1.0 if pause_s < self._pause_s else SLACK_WEIGHT
        self._pause_s += (pause_s - self._pause_s) * weight

    def read(self, key: Key, now_s: float) -> None:
        """A prompt was read, or will not be sent."""
        self._waiting.pop(key, None)
        known = self._reading.pop(key, None)
        if known is not None:
            self._unread_s -= known[0]
            self._speed.read(known[0], bool(self._reading), now_s)

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
            self._reading[ask.key] = (ask.prompt.read_s, now_s)
            self._unread_s += ask.prompt.read_s
            self._level_s += ask.prompt.read_s
            self._granted += self._counted_s(ask) / ASKED_S
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
        rate = self.rate
        if self._is_full:
            rate = max(FULL_LEAST, min(rate, self._granted))
        spare = max(0.0, rate - self._asked)
        ahead_s = self._level_s
        refused = []
        for ask in order:
            starts_s = now_s + ahead_s / rate
            if starts_s > ask.due_s:
                starts_s = now_s + ahead_s / spare if spare else math.inf
            if starts_s > ask.prompt.until_s:
                refused.append(ask.key)
            else:
                ahead_s += self._counted_s(ask)
        return refused

    def _pass_time(self, now_s: float) -> None:
        passed_s = max(0.0, now_s - self._at_s)
        self._level_s = max(0.0, self._level_s - passed_s * self.rate)
        faded = math.exp(-passed_s / ASKED_S)
        self._asked *= faded
        self._granted *= faded
        self._at_s = now_s

    def _places(self, batch: Batch, now_s: float) -> int:
        """Returns how many more streams the batch bears now."""
        untold = sum(
            1 for _, at_s in self._reading.values() if now_s - at_s < TOLD_S
        )
        most = max(1, int(batch.slots * self.batch_share))
        return max(0, most - int(batch.running) - untold)

    def _has_room(self, ask: _Ask) -> bool:
        counted_s = self._counted_s(ask)
        if self._reading and self._unread_s + counted_s > self._unread_most_s:
            return False
        return self._level_s + counted_s <= self.burst_s

    def next_s(self, now_s: float) -> float | None:
        """Returns when to look again, or None if nobody waits."""
        if not self._waiting:
            return None
        least_s = FULL_LOOK_S if self._is_full else MIN_LOOK_S
        return now_s + max(least_s, self._level_s / self.rate)

    def _forget(self, now_s: float) -> None:
        for key, (read_s, at_s) in list(self._reading.items()):
            if now_s - at_s > FORGET_S:
                del self._reading[key]
                self._unread_s -= read_s
        for key, ask in list(self._waiting.items()):
            if now_s - ask.asked_s > WAIT_MOST_S:
                del self._waiting[key]
