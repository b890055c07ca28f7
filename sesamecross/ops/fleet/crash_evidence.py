"""Finds the parts of prompts that crash engines.

An engine that crashes takes all its requests with it, so each crash points at
every prompt that the engine had not yet answered, and at every part that these
share with others. A part crashes engines if it was in such a prompt at several
crashes and no prompt with it is answered to the end. Once a part is found, the
crashes that it explains say nothing against the others.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import hashlib
import math

import msgspec

from sesamecross.core import serving

# Crashes that count against a part whose prompts were never answered, and
# against one whose prompts were.
MIN_CRASHES = 3
MIN_CRASHES_ONCE_ANSWERED = 5
# Engines that end within this time may have one cause of their own, like a
# rack that loses power: they count as one crash.
SAME_CAUSE_S = 0.3
# One caller that repeats its prompt is no evidence against a part.
MIN_PROMPTS = 2
# A crash this soon after an answer does not count: the two may overlap.
ANSWER_HOLDS_S = 2.0
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
      at_s: Monotonic time at which its connections broke.
    """

    upstream: str
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


class _Evidence:
    """What speaks against one part."""

    __slots__ = ("causes", "own_parts", "depth")

    def __init__(self) -> None:
        self.causes: set[int] = set()
        self.own_parts: set[str] = set()
        self.depth = 0


def find_crashing_parts(
    crashes: Iterable[EngineCrash], answered_s: Mapping[str, float]
) -> tuple[str, ...]:
    """Returns the parts that crash engines, each after those found before it.

    Of parts that the same crashes point at, the deepest of those never answered
    is found: withholding it affects the fewest prompts.

    Args:
      crashes: Engines that ended.
      answered_s: Monotonic time of the last complete answer to a prompt with a
        part; missing if there was none.
    """
    unexplained = _numbered_by_cause(crashes)
    found: list[str] = []
    while True:
        part = _most_suspect(unexplained, answered_s)
        if part is None:
            return tuple(found)
        found.append(part)
        unexplained = [
            (cause, crash)
            for cause, crash in unexplained
            if not any(part in prompt.shared for prompt in crash.prompts)
        ]


def count_crashes(
    part: str, crashes: Iterable[EngineCrash], answered_s: Mapping[str, float]
) -> int:
    """Returns how many crashes count against a part."""
    evidence = _collect(_numbered_by_cause(crashes), answered_s).get(part)
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
                evidence.own_parts.add(prompt.own)
                evidence.depth = max(evidence.depth, depth)
    return by_part


def _most_suspect(
    numbered: Iterable[tuple[int, EngineCrash]],
    answered_s: Mapping[str, float],
) -> str | None:
    suspects = []
    for part, evidence in _collect(numbered, answered_s).items():
        last_answer_s = answered_s.get(part, -math.inf)
        needed = (
            MIN_CRASHES
            if last_answer_s == -math.inf
            else MIN_CRASHES_ONCE_ANSWERED
        )
        if (
            len(evidence.causes) >= needed
            and len(evidence.own_parts) >= MIN_PROMPTS
        ):
            rank = (-last_answer_s, evidence.depth, len(evidence.causes), part)
            suspects.append(rank)
    return max(suspects)[-1] if suspects else None
