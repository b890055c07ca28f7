"""Keeps what an instance knows of crashing engines, and what it withholds.

Each instance sees few of the crashes and few of the answers, so what the others
report is added to what it saw itself. A part of prompts is withheld for a
limited time: software changes, and a finding may be wrong. After that one more
crash is enough to withhold it again, for longer, and one answer that gets under
way clears it.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import math

import msgspec

from sesamecross.ops.fleet import crash_evidence

# How long crashes count.
CRASH_LIFE_S = 600.0
# How long a part is withheld at first; twice as long each further time.
FIRST_HOLD_S = 120.0
MAX_HOLD_S = 3600.0
# How long a part that is no longer withheld is under suspicion.
TRIAL_LIFE_S = 3600.0
# The lease holder lets such a part through this much sooner than the others, so
# that few prompts find out whether engines still crash.
TRIAL_LEAD_S = 10.0
# A part is withheld once others had this long to report answers to it.
OBJECTION_S = 0.7
# An answer that began little later than a reported one is not reported.
MIN_NEWER_S = 0.2
# An instance that started this recently has missed many answers.
NEW_INSTANCE_S = 20.0
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
    """The crashes, answers and withheld parts that one instance knows of.

    Attributes:
      started_s: When the instance started, after which it sees answers.
    """

    __slots__ = (
        "started_s",
        "_crashes",
        "_own_answers",
        "_reported_answers",
        "_suspected_since_s",
        "_withheld",
        "_trials",
        "_trial_delay_s",
        "_has_news",
    )

    def __init__(self) -> None:
        self.started_s = -math.inf
        # By the engine's incarnation.
        self._crashes: dict[str, EngineCrash] = {}
        # What all instances know, and what only this one does.
        self._reported_answers = _LastAnswers()
        self._own_answers = _LastAnswers()
        self._suspected_since_s: dict[str, float] = {}
        self._withheld: dict[str, Withheld] = {}
        self._trials: dict[str, _Trial] = {}
        self._trial_delay_s = TRIAL_LEAD_S
        self._has_news = False

    @property
    def withheld(self) -> tuple[Withheld, ...]:
        """The parts that are withheld now."""
        return tuple(self._withheld.values())

    @property
    def suspected(self) -> frozenset[str]:
        """The parts that are withheld soon, unless an answer is reported."""
        return frozenset(self._suspected_since_s)

    @property
    def crash_count(self) -> int:
        """Number of crashes that count."""
        return len(self._crashes)

    # -- evidence --------------------------------------------------------

    def add_crash(
        self, engine: str, at_s: float, prompts: Iterable[Prompt]
    ) -> bool:
        """Adds an engine that ended; returns whether that is news."""
        known = self._crashes.get(engine)
        reported = frozenset(prompts)
        if known is not None:
            at_s = min(at_s, known.at_s)
            reported |= known.prompts
        kept = frozenset(sorted(reported)[:MAX_PROMPTS_OF_CRASH])
        self._crashes[engine] = EngineCrash(engine, at_s, kept)
        if known is not None and kept == known.prompts:
            return False
        if len(self._crashes) > MAX_CRASHES:
            oldest = min(self._crashes.values(), key=lambda one: one.at_s)
            del self._crashes[oldest.engine]
        self._has_news = True
        return True

    def add_own_answer(self, prompt: Prompt, began_s: float) -> tuple[str, ...]:
        """Adds an answer that got under way.

        Returns:
          The parts that others must know of: suspected or withheld until now.
        """
        cleared = []
        for part in prompt.shared:
            self._own_answers.record(part, began_s)
            if self._is_accused(part) and self.clear(part, began_s):
                cleared.append(part)
        return tuple(cleared)

    def add_reported_answer(self, part: str, began_s: float) -> None:
        """Adds an answer that another instance has seen."""
        if self._reported_answers.record(part, began_s):
            self.clear(part, began_s)

    def _is_accused(self, part: str) -> bool:
        return (
            part in self._withheld
            or part in self._trials
            or part in self._suspected_since_s
        )

    def clear(self, part: str, began_s: float) -> bool:
        """Takes note of an answer; returns whether it clears the part."""
        self._has_news = True
        known = self._withheld.get(part)
        if known is not None and began_s < known.since_s:
            # It began before the crashes that count against the part.
            others = frozenset(self._withheld) - {part}
            if part in self._find(self._answers(), others):
                return False
        self._withheld.pop(part, None)
        self._trials.pop(part, None)
        self._suspected_since_s.pop(part, None)
        return True

    # -- withheld parts ----------------------------------------------------

    def add_withheld(
        self, part: str, left_s: float, hold_s: float, now_s: float
    ) -> bool:
        """Adds a part that others withhold; returns whether that is news."""
        known = self._withheld.get(part)
        # In this order, a value that is no number counts as the limit.
        until_s = now_s + min(MAX_HOLD_S, left_s)
        if known is not None and known.until_s >= until_s:
            return False
        if known is None and len(self._withheld) >= MAX_WITHHELD:
            return False
        since_s = known.since_s if known is not None else now_s
        self._withheld[part] = Withheld(part, since_s, until_s, hold_s)
        self._trials.pop(part, None)
        self._release_explained()
        self._has_news = True
        return known is None

    def own_answer_s(self, part: str) -> float | None:
        """Returns when the last answer seen here to a part began."""
        at_s = self._own_answers.get(part)
        return None if at_s == -math.inf else at_s

    def left_s(self, prompt: Prompt, now_s: float) -> float | None:
        """Returns for how long a prompt is still withheld; None if it isn't."""
        times = [
            max(0.0, known.until_s + self._trial_delay_s - now_s)
            for part in prompt.shared
            if (known := self._withheld.get(part)) is not None
        ]
        return max(times, default=None)

    def is_suspected(self, prompt: Prompt) -> bool:
        """Whether several crashes point at the prompt, and no answer clears it.

        Such a prompt is not sent a second time by the same instance.
        """
        answers = self._answers()
        crashes = self._crashes.values()
        return any(
            part not in answers
            and crash_evidence.count_crashes(part, crashes, answers)
            >= crash_evidence.MIN_CRASHES - 1
            for part in prompt.shared
        )

    def step(
        self, now_s: float, is_holder: bool = False
    ) -> tuple[Withheld, ...]:
        """Forgets what is old; returns the parts that are withheld from now."""
        self._trial_delay_s = 0.0 if is_holder else TRIAL_LEAD_S
        self._forget(now_s)
        if self._has_news:
            self._has_news = False
            found = self._find(
                self._answers(), frozenset(self._withheld), self._is_new(now_s)
            )
            self._suspected_since_s = {
                part: self._suspected_since_s.get(part, now_s) for part in found
            }
        begun = []
        for part, since_s in list(self._suspected_since_s.items()):
            is_due = part in self._trials or now_s - since_s >= OBJECTION_S
            if is_due and len(self._withheld) < MAX_WITHHELD:
                begun.append(self._withhold(part, now_s))
        return tuple(begun)

    def _withhold(self, part: str, now_s: float) -> Withheld:
        trial = self._trials.pop(part, None)
        hold_s = min(MAX_HOLD_S, trial.hold_s * 2) if trial else FIRST_HOLD_S
        withheld = Withheld(part, now_s, now_s + hold_s, hold_s)
        self._withheld[part] = withheld
        del self._suspected_since_s[part]
        self._release_explained()
        self._has_news = True
        return withheld

    def _release_explained(self) -> None:
        """Releases the parts whose crashes other withheld parts explain.

        While nearly all engines crash, a sound part can be taken for the cause
        until the crashes go on without it.
        """
        found = self._find(self._answers(), frozenset())
        for part in list(self._withheld):
            crashes = [
                crash
                for crash in self._crashes.values()
                if any(part in prompt.shared for prompt in crash.prompts)
            ]
            if part in found or not crashes:
                continue
            if all(
                any(
                    other in self._withheld and other in prompt.shared
                    for other in found
                    for prompt in crash.prompts
                )
                for crash in crashes
            ):
                del self._withheld[part]

    def _is_new(self, now_s: float) -> bool:
        return now_s - self.started_s < NEW_INSTANCE_S

    def unreported_answer_s(self, part: str) -> float | None:
        """Returns when the last answer to a part began that others don't know.

        It counts as reported from now on.
        """
        at_s = self._own_answers.get(part)
        if at_s <= self._reported_answers.get(part) + MIN_NEWER_S:
            return None
        self._reported_answers.record(part, at_s)
        return at_s

    def _find(
        self,
        answers: Mapping[str, float],
        withheld: frozenset[str],
        is_new: bool = False,
    ) -> tuple[str, ...]:
        crashes = tuple(self._crashes.values())
        knowledge = crash_evidence.Knowledge(answers, withheld, not is_new)
        found = crash_evidence.find_crashing_parts(crashes, knowledge)
        again = [
            part
            for part, trial in self._trials.items()
            if part not in found
            and crash_evidence.count_crashes(
                part,
                [crash for crash in crashes if crash.at_s > trial.since_s],
                answers,
            )
        ]
        return (*found, *again)

    def _answers(self) -> dict[str, float]:
        """Returns the last answers to the parts that crashes point at."""
        answers = {}
        for crash in self._crashes.values():
            for prompt in crash.prompts:
                for part in prompt.shared:
                    at_s = max(
                        self._reported_answers.get(part),
                        self._own_answers.get(part),
                    )
                    if at_s > -math.inf:
                        answers[part] = at_s
        return answers

    def _forget(self, now_s: float) -> None:
        for part, known in list(self._withheld.items()):
            if known.until_s + self._trial_delay_s <= now_s:
                del self._withheld[part]
                self._trials[part] = _Trial(now_s, known.hold_s)
                # They are explained, and count against no other part.
                self._crashes = {
                    engine: crash
                    for engine, crash in self._crashes.items()
                    if not any(part in one.shared for one in crash.prompts)
                }
        for part, trial in list(self._trials.items()):
            if now_s - trial.since_s >= TRIAL_LIFE_S:
                del self._trials[part]
        for engine, crash in list(self._crashes.items()):
            if now_s - crash.at_s >= CRASH_LIFE_S:
                del self._crashes[engine]
