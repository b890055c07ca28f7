"""Keeps what an instance knows of crashing engines, and what it withholds.

Each instance sees few of the crashes and few of the answers, so what the others
report is added to what it saw itself. A part of prompts is withheld for a
limited time: software changes, and a finding may be wrong. After that one more
crash is enough to withhold it again, for longer, and one complete answer clears
it.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import math

import msgspec

from sesamecross.ops.fleet import crash_evidence

# How long crashes count.
CRASH_LIFE_S = 600.0
# How long a part is withheld at first; twice as long each further time.
FIRST_HOLD_S = 300.0
MAX_HOLD_S = 3600.0
# How long a part that is no longer withheld is under suspicion.
TRIAL_LIFE_S = 3600.0
# A part is withheld once others had this long to report answers to it.
OBJECTION_S = 0.25
# What the lease holder withholds counts this long without being repeated.
ANNOUNCED_LIFE_S = 30.0
# Bounds of the tables. Only a crash adds to those of crashes and of parts.
MAX_CRASHES = 256
MAX_PROMPTS_OF_CRASH = 64
MAX_WITHHELD = 256
MAX_ANSWERED = 20_000

Prompt = crash_evidence.Prompt
EngineCrash = crash_evidence.EngineCrash


class Withheld(msgspec.Struct, frozen=True):
    """A part whose prompts are not sent to engines.

    Attributes:
      since_s, until_s: Monotonic times.
      hold_s: For how long it was to be withheld; the next time takes longer.
    """

    part: str
    since_s: float
    until_s: float
    hold_s: float


class _Trial(msgspec.Struct, frozen=True):
    """A part that was withheld before.

    Attributes:
      since_s: When its prompts were let through again.
      hold_s: For how long it was withheld last.
    """

    since_s: float
    hold_s: float


class _LastAnswers:
    """When prompts with a part were last answered; bounded, oldest first."""

    __slots__ = ("_at_s",)

    def __init__(self) -> None:
        self._at_s: dict[str, float] = {}

    def get(self, part: str) -> float:
        return self._at_s.get(part, -math.inf)

    def record(self, part: str, at_s: float) -> bool:
        """Records an answer; returns whether it is the latest."""
        if at_s <= self.get(part):
            return False
        self._at_s.pop(part, None)
        self._at_s[part] = at_s
        if len(self._at_s) > MAX_ANSWERED:
            del self._at_s[next(iter(self._at_s))]
        return True


class CrashLedger:
    """The crashes, answers and withheld parts that one instance knows of."""

    __slots__ = (
        "_crashes",
        "_own_answers",
        "_reported_answers",
        "_suspected_since_s",
        "_withheld",
        "_trials",
    )

    def __init__(self) -> None:
        self._crashes: dict[str, EngineCrash] = {}
        # What all instances know, and what only this one does.
        self._reported_answers = _LastAnswers()
        self._own_answers = _LastAnswers()
        self._suspected_since_s: dict[str, float] = {}
        self._withheld: dict[str, Withheld] = {}
        self._trials: dict[str, _Trial] = {}

    @property
    def withheld(self) -> tuple[Withheld, ...]:
        """The parts that are withheld now."""
        return tuple(self._withheld.values())

    @property
    def crash_count(self) -> int:
        """Number of crashes that count."""
        return len(self._crashes)

    # -- evidence --------------------------------------------------------

    def add_crash(
        self, upstream: str, at_s: float, prompts: Iterable[Prompt]
    ) -> bool:
        """Adds an engine that ended; returns whether that is news."""
        known = self._crashes.get(upstream)
        reported = frozenset(prompts)
        if known is not None:
            at_s = min(at_s, known.at_s)
            reported |= known.prompts
        kept = frozenset(sorted(reported)[:MAX_PROMPTS_OF_CRASH])
        crash = EngineCrash(upstream, at_s, kept)
        if known is not None and kept == known.prompts:
            self._crashes[upstream] = crash
            return False
        self._crashes[upstream] = crash
        if len(self._crashes) > MAX_CRASHES:
            oldest = min(self._crashes.values(), key=lambda one: one.at_s)
            del self._crashes[oldest.upstream]
        return True

    def add_own_answer(self, prompt: Prompt, now_s: float) -> tuple[str, ...]:
        """Adds a complete answer; returns the parts that others must know of.

        These are parts that were suspected or withheld.
        """
        cleared = []
        for part in prompt.shared:
            self._own_answers.record(part, now_s)
            if self._is_accused(part):
                self._clear(part, now_s)
                cleared.append(part)
        return tuple(cleared)

    def add_reported_answer(self, part: str, at_s: float, now_s: float) -> None:
        """Adds an answer that another instance has seen."""
        if self._reported_answers.record(part, at_s):
            self._clear(part, now_s)

    def _is_accused(self, part: str) -> bool:
        return (
            part in self._withheld
            or part in self._trials
            or part in self._suspected_since_s
        )

    def _clear(self, part: str, now_s: float) -> None:
        self._suspected_since_s.pop(part, None)
        self._trials.pop(part, None)
        if part not in self._find(now_s, self._all_answers()):
            self._withheld.pop(part, None)

    # -- withheld parts ----------------------------------------------------

    def add_withheld(
        self, part: str, left_s: float, hold_s: float, now_s: float
    ) -> bool:
        """Adds a part that others withhold; returns whether that is news."""
        known = self._withheld.get(part)
        until_s = now_s + min(left_s, MAX_HOLD_S)
        if known is not None and known.until_s >= until_s:
            return False
        if known is None and len(self._withheld) >= MAX_WITHHELD:
            return False
        since_s = known.since_s if known is not None else now_s
        self._withheld[part] = Withheld(part, since_s, until_s, hold_s)
        self._trials.pop(part, None)
        return known is None

    def left_s(self, prompt: Prompt, now_s: float) -> float | None:
        """Returns for how long a prompt is still withheld; None if it isn't."""
        times = [
            known.until_s - now_s
            for part in prompt.shared
            if (known := self._withheld.get(part)) is not None
            and known.until_s > now_s
        ]
        return max(times, default=None)

    def is_suspected(self, prompt: Prompt) -> bool:
        """Whether several crashes point at the prompt, and no answer clears it.

        Such a prompt is not sent a second time by the same instance.
        """
        answers = self._all_answers()
        crashes = self._crashes.values()
        return any(
            answers.get(part, -math.inf) == -math.inf
            and crash_evidence.count_crashes(part, crashes, answers)
            >= crash_evidence.MIN_CRASHES - 1
            for part in prompt.shared
        )

    def step(self, now_s: float) -> tuple[Withheld, ...]:
        """Forgets what is old; returns the parts that are withheld from now."""
        self._forget(now_s)
        found = self._find(now_s, self._all_answers())
        self._suspected_since_s = {
            part: self._suspected_since_s.get(part, now_s) for part in found
        }
        begun = []
        for part in found:
            is_due = now_s - self._suspected_since_s[part] >= OBJECTION_S
            is_known = part in self._withheld
            if is_known or not is_due or len(self._withheld) >= MAX_WITHHELD:
                continue
            trial = self._trials.pop(part, None)
            hold_s = (
                min(trial.hold_s * 2, MAX_HOLD_S) if trial else FIRST_HOLD_S
            )
            withheld = Withheld(part, now_s, now_s + hold_s, hold_s)
            self._withheld[part] = withheld
            begun.append(withheld)
        return tuple(begun)

    def own_objections(self, now_s: float) -> dict[str, float]:
        """Returns the answers without which the others would withhold a part.

        Returns:
          By part, when it was last answered here; reported from now on.
        """
        found = self._find(now_s, self._reported_only())
        objections = {}
        for part in found:
            at_s = self._own_answers.get(part)
            if self._reported_answers.record(part, at_s):
                objections[part] = at_s
        return objections

    def _find(
        self, now_s: float, answers: Mapping[str, float]
    ) -> tuple[str, ...]:
        crashes = tuple(self._crashes.values())
        found = list(crash_evidence.find_crashing_parts(crashes, answers))
        for part, trial in self._trials.items():
            if part not in found and any(
                crash.at_s > trial.since_s
                and any(part in prompt.shared for prompt in crash.prompts)
                and crash.at_s > answers.get(part, -math.inf)
                for crash in crashes
            ):
                found.append(part)
        return tuple(found)

    def _all_answers(self) -> dict[str, float]:
        """Returns the last answers to the parts that crashes point at."""
        return self._answers(include_own=True)

    def _reported_only(self) -> dict[str, float]:
        return self._answers(include_own=False)

    def _answers(self, include_own: bool) -> dict[str, float]:
        answers = {}
        for crash in self._crashes.values():
            for prompt in crash.prompts:
                for part in prompt.shared:
                    at_s = self._reported_answers.get(part)
                    if include_own:
                        at_s = max(at_s, self._own_answers.get(part))
                    if at_s > -math.inf:
                        answers[part] = at_s
        return answers

    def _forget(self, now_s: float) -> None:
        for part, known in list(self._withheld.items()):
            if known.until_s <= now_s:
                del self._withheld[part]
                self._trials[part] = _Trial(now_s, known.hold_s)
                # They are explained, and count against no other part.
                self._drop_crashes_with(part)
        self._trials = {
            part: trial
            for part, trial in self._trials.items()
            if now_s - trial.since_s < TRIAL_LIFE_S
        }
        self._crashes = {
            upstream: crash
            for upstream, crash in self._crashes.items()
            if now_s - crash.at_s < CRASH_LIFE_S
        }

    def _drop_crashes_with(self, part: str) -> None:
        self._crashes = {
            upstream: crash
            for upstream, crash in self._crashes.items()
            if not any(part in prompt.shared for prompt in crash.prompts)
        }
