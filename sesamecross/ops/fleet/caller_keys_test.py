"""Tests of whose request it is, by its key."""

import pytest

from sesamecross.core import serving
from sesamecross.ops.fleet import caller_keys


def workspace(name: str, *keys: bytes) -> serving.Workspace:
    return serving.Workspace(name, frozenset(map(caller_keys.digest, keys)))


def route(is_anonymous: bool = False) -> serving.Route:
    return serving.Route(
        "r",
        "h",
        "/r/",
        serving.RouteKind.IDEMPOTENT,
        (),
        1,
        1,
        1.0,
        1.0,
        0.0,
        False,
        False,
        is_anonymous,
    )


KEYS = caller_keys.KeyTable(
    [workspace("a", b"k1", b"k2", b"both"), workspace("b", b"k3", b"both")]
)
FRESH, STALE = True, False


@pytest.mark.parametrize(
    "key, is_fresh, expected",
    [
        (b"k1", FRESH, "a"),
        (b"k2", FRESH, "a"),
        (b"k3", FRESH, "b"),
        (b"k3", STALE, caller_keys.NotCertain()),
        (b"k4", FRESH, caller_keys.UnknownKey()),
        (b"k4", STALE, caller_keys.UnknownKey()),
        (b"", FRESH, caller_keys.UnknownKey()),
        (b"both", FRESH, caller_keys.UnknownKey()),
        (b"x" * 1_000_000, FRESH, caller_keys.UnknownKey()),
    ],
)
def test_a_key_names_one_workspace_or_none(key, is_fresh, expected):
    key_digest = caller_keys.digest(key) if key else b""
    verdict = caller_keys.judge(KEYS, route(), key_digest, is_fresh)
    if isinstance(expected, str):
        assert verdict.workspace.name == expected
    else:
        assert verdict == expected


@pytest.mark.parametrize("key_digest", [b"", caller_keys.digest(b"k1")])
@pytest.mark.parametrize("is_fresh", [FRESH, STALE])
def test_an_anonymous_route_takes_anyone(key_digest, is_fresh):
    """Guards against callers without a key that wait for the store."""
    verdict = caller_keys.judge(KEYS, route(True), key_digest, is_fresh)
    assert verdict == caller_keys.Admitted(None)


def test_without_workspaces_no_key_is_needed():
    verdict = caller_keys.judge(None, route(), b"", STALE)
    assert verdict == caller_keys.Admitted(None)


def test_a_key_of_two_workspaces_is_counted():
    assert KEYS.doubled == 1


def test_a_digest_does_not_hold_the_key():
    """Guards against keys in logs and dumps of the process's tables."""
    key = b"asnmgkcuyj8pjbvk9m68"
    assert key not in caller_keys.digest(key)
