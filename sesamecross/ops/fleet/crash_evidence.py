"""Finds the parts of prompts that crash engines.

An engine that crashes takes all its requests with it, so each crash points at
every prompt whose answer had not been under way for a while, and at every part
that these share with others. A part crashes engines if it was in such a prompt
at several crashes and no answer to a prompt with it gets under way. Once a part
is found, the crashes that it explains say nothing against the others.
"""

import bisect
from collections.abc import Iterable
from collections.abc import Mapping
import hashlib
import math

import msgspec

from sesamecross.core import serving

# Crashes of separate cause that it takes against a part.
MIN_CAUSES = 3
# Engines that it takes against a part whose prompts were never answered, and
# against one whose prompts were.
MIN_CRASHES = 3
MIN_CRASHES_ONCE_ANSWERED = 5
# More of them, unless the part has to do with more than this share of the
# crashes since its first one: while many engines crash, most prompts are lost.
MIN_SHARE = 0.5
MIN_CRASHES_OF_MANY = 3
# A part at fewer engines than this share of another's was only beside it.
PEER_SHARE = 0.75
# Engines that end within this time may have one cause of their own, like a
# rack that loses power: they count as one crash.
SAME_CAUSE_S = 0.15
# One caller that repeats its prompt is no evidence against a part.
MIN_PROMPTS = 2
# A crash this soon after an answer has begun does not count: that answers do
# get under way is known only some time after they have begun.
ANSWER_HOLDS_S = 0.5
# Longer ids of parts are replaced by a digest.
MAX_PART_BYTES = 32
# Of a longer prompt, the first and the last parts count.
MAX_PARTS = 64
_DIGEST_BYTES = 12


class Prompt(msgspec.Struct, frozen=True, array_like=True, order=True):
    """The parts of a prompt.

    Attributes:
      shared: Those that other prompts may share, in order.
      own: The last one, which belongs to the request or its session.
    """

    shared: tuple[str, ...]
    own: str


class EngineCrash(msgspec.Struct, frozen=True):
    """An engine that ended, and the prompts that it left unanswered.

    Attributes:
      engine: Its incarnation.
      at_s: Monotonic time at which its connections broke.
    """

    engine: str
    at_s: float
    prompts: frozenset[Prompt]


def prompt_of(call: serving.ModelCall) -> Prompt | None:
    """Returns the prompt of a call; None if it shares nothing."""
    if len(call.parts) < 2:
        return None
    ids = [_part_key(part.part_id) for part in call.parts]
    shared = ids[:-1]
    if len(shared) > MAX_PARTS:
        half = MAX_PARTS // 2
        shared = shared[:half] + shared[-half:]
    return Prompt(tuple(shared), ids[-1])


def _part_key(part_id: str) -> str:
    if len(part_id) <= MAX_PART_BYTES:
        return part_id
    digest = hashlib.blake2b(
        part_id.encode("latin-1", "replace"), digest_size=_DIGEST_BYTES
    )
    return f"#{digest.hexdigest()}"


class Knowledge(msgspec.Struct, frozen=True):
    """What is known besides the crashes.

    Attributes:
      answered_s: By part, the monotonic time at which the last answer to a
        prompt with it began that got under way.
      withheld: Parts that were found before.
      is_complete: Whether any answer would be known; an instance that has just
        started has missed many.
    """

    answered_s: Mapping[str, float] = {}
    withheld: frozenset[str] = frozenset()
    is_complete: bool = True


class _Evidence:
    """What speaks against one part."""

    __slots__ = ("causes", "engines", "own_parts", "depth")

    def __init__(self) -> None:
        self.causes: set[int] = set()
        self.engines: set[str] = set()
        self.own_parts: set[str] = set()
        self.depth = 0


class _Suspect(msgspec.Struct, frozen=True, order=True):
    """A part with enough evidence; the largest one is the most suspect."""

    was_never_answered: bool
    depth: int
    engines: int
    last_answer_age: float
    part: str


def find_crashing_parts(
    crashes: Iterable[EngineCrash], knowledge: Knowledge
) -> tuple[str, ...]:
    """Returns the parts that crash engines, each after those found before it.

    Of parts that nearly the same engines point at, the deepest of those never
    answered is found: withholding it affects the fewest prompts. Parts that are
    withheld are not found again.
    """
    unexplained = _numbered_by_cause(crashes)
    for part in knowledge.withheld:
        unexplained = _without(part, unexplained)
    found: list[str] = []
    while True:
        part = _most_suspect(unexplained, knowledge)
        if part is None:
            return tuple(found)
        found.append(part)
        unexplained = _without(part, unexplained)


def _without(
    part: str, numbered: Iterable[tuple[int, EngineCrash]]
) -> list[tuple[int, EngineCrash]]:
    """Returns the crashes that a part does not explain."""
    return [
        (cause, crash)
        for cause, crash in numbered
        if not any(part in prompt.shared for prompt in crash.prompts)
    ]


def count_crashes(
    part: str, crashes: Iterable[EngineCrash], answered_s: Mapping[str, float]
) -> int:
    """Returns how many crashes count against a part."""
    numbered = _numbered_by_cause(crashes)
    evidence = _collect(numbered, answered_s).get(part)
    return len(evidence.causes) if evidence is not None else 0


def _numbered_by_cause(
    crashes: Iterable[EngineCrash],
) -> list[tuple[int, EngineCrash]]:
    numbered = []
    cause = 0
    first_s = -math.inf
    for crash in sorted(crashes, key=lambda one: one.at_s):
        if crash.at_s - first_s > SAME_CAUSE_S:
            cause += 1
            first_s = crash.at_s
        numbered.append((cause, crash))
    return numbered


def _collect(
    numbered: Iterable[tuple[int, EngineCrash]],
    answered_s: Mapping[str, float],
) -> dict[str, _Evidence]:
    by_part: dict[str, _Evidence] = {}
    for cause, crash in numbered:
        for prompt in crash.prompts:
            for depth, part in enumerate(prompt.shared):
                holds_until_s = answered_s.get(part, -math.inf) + ANSWER_HOLDS_S
                if crash.at_s <= holds_until_s:
                    continue
                evidence = by_part.setdefault(part, _Evidence())
                evidence.causes.add(cause)
                evidence.engines.add(crash.engine)
                evidence.own_parts.add(prompt.own)
                evidence.depth = max(evidence.depth, depth)
    return by_part


def _most_suspect(
    numbered: list[tuple[int, EngineCrash]], knowledge: Knowledge
) -> str | None:
    answered_s = knowledge.answered_s
    causes = sorted({cause for cause, _ in numbered})
    suspects: list[_Suspect] = []
    for part, evidence in _collect(numbered, answered_s).items():
        count = len(evidence.causes)
        if count < MIN_CAUSES or len(evidence.own_parts) < MIN_PROMPTS:
            continue
        last_answer_s = answered_s.get(part, -math.inf)
        needed = MIN_CRASHES
        if last_answer_s > -math.inf or not knowledge.is_complete:
            needed = MIN_CRASHES_ONCE_ANSWERED
        first = bisect.bisect_left(causes, min(evidence.causes))
        if count <= MIN_SHARE * (len(causes) - first):
            needed += MIN_CRASHES_OF_MANY
        if len(evidence.engines) >= needed:
            suspects.append(
                _Suspect(
                    last_answer_s == -math.inf,
                    evidence.depth,
                    len(evidence.engines),
                    -last_answer_s,
                    part,
                )
            )
    most = max((one.engines for one in suspects), default=0)
    peers = [one for one in suspects if one.engines >= PEER_SHARE * most]
    return max(peers).part if peers else None
