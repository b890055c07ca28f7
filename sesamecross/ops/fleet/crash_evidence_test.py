"""Tests of what crashes of engines say about the parts of prompts."""

import dataclasses

import pytest

from sesamecross.core import serving
from sesamecross.ops.fleet import crash_evidence

Prompt = crash_evidence.Prompt
BAD, BESIDE = "bad", "beside"


def crash(number: int, at_s: float, *prompts: tuple[str, ...]):
    """Returns the end of an engine; each prompt ends with its own part."""
    return crash_evidence.EngineCrash(
        f"i-{number}",
        at_s,
        frozenset(
            Prompt(("first", *shared), f"own-{number}-{index}")
            for index, shared in enumerate(prompts)
        ),
    )


def crashes_under(part: str, *times_s: float):
    return [
        crash(number, at_s, ("caller", part))
        for number, at_s in enumerate(times_s)
    ]


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    """Crashes, what is known besides, and the parts to be found."""

    name: str
    crashes: list[crash_evidence.EngineCrash]
    found: tuple[str, ...]
    knowledge: crash_evidence.Knowledge = crash_evidence.Knowledge()


CASES = [
    Case("two crashes", crashes_under(BAD, 1, 2), ()),
    Case("the deepest of three", crashes_under(BAD, 1, 2, 3), (BAD,)),
    Case("a rack at one moment", crashes_under(BAD, 1, 1.05, 1.1, 2), ()),
    Case(
        "one caller that repeats its prompt",
        [
            crash_evidence.EngineCrash(
                f"i-{at_s}", at_s, frozenset({Prompt(("first", BAD), "own")})
            )
            for at_s in (1, 2, 3)
        ],
        (),
    ),
    Case(
        "answered while engines crash",
        crashes_under(BAD, 1, 2, 3, 4, 5),
        (),
        crash_evidence.Knowledge({"first": 9, "caller": 9, BAD: 9}),
    ),
    Case(
        "answered before, three crashes",
        crashes_under(BAD, 11, 12, 13),
        (),
        crash_evidence.Knowledge({"first": 9, "caller": 9, BAD: 1}),
    ),
    Case(
        "answered before, five crashes",
        crashes_under(BAD, 11, 12, 13, 14, 15),
        (BAD,),
        crash_evidence.Knowledge({"first": 9, "caller": 9, BAD: 1}),
    ),
    Case(
        "a part beside the bad one is explained",
        [
            crash(number, number, ("a", BAD), ("b", BESIDE))
            for number in range(1, 4)
        ]
        + crashes_under(BAD, 5, 6, 7, 8),
        (BAD,),
    ),
    Case(
        "a withheld part explains",
        crashes_under(BAD, 1, 2, 3, 4),
        (),
        crash_evidence.Knowledge(withheld=frozenset({BAD})),
    ),
    Case(
        "few of many crashes",
        crashes_under(BAD, 1, 2, 3)
        + [crash(20 + n, 1.2 + n / 2, (f"c{n}", f"t{n}")) for n in range(9)],
        (),
        crash_evidence.Knowledge({"first": 9}),
    ),
    Case(
        "an instance that has just started",
        crashes_under(BAD, 1, 2, 3),
        (),
        crash_evidence.Knowledge(is_complete=False),
    ),
]


@pytest.mark.parametrize("case", CASES, ids=lambda case: case.name)
def test_parts_are_found_by_crashes_that_nothing_else_explains(case):
    """Guards against withholding a sound part, or none."""
    found = crash_evidence.find_crashing_parts(case.crashes, case.knowledge)
    assert found == case.found


@pytest.mark.parametrize("count", [0, 1, 2, 3, 500])
def test_a_prompt_names_its_shared_parts_within_bounds(count):
    """Guards against ids of callers that fill the tables."""
    parts = tuple(
        serving.PromptPart(f"{number:x}" * 40, 10) for number in range(count)
    )
    call = serving.ModelCall("m", "", 100, 10, parts)
    prompt = crash_evidence.prompt_of(call)
    if count < 2:
        assert prompt is None
        return
    assert len(prompt.shared) == min(count - 1, crash_evidence.MAX_PARTS)
    assert all(
        len(part) <= crash_evidence.MAX_PART_BYTES for part in prompt.shared
    )
