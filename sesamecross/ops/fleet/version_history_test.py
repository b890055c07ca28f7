"""Tests of which versions can have begun a stream."""

import pytest

from sesamecross.core import serving
from sesamecross.ops.fleet import version_history

LIFE_S = 30.0


def upstream(service: str, version: str) -> serving.Upstream:
    return serving.Upstream(
        f"i-{version}",
        service,
        "10.0.0.1:80",
        "z1",
        8,
        False,
        1,
        version=version,
    )


V1, V2 = upstream("s", "v1"), upstream("s", "v2")


def seen(records, now_s, is_new=False) -> version_history.SeenVersions:
    history = version_history.VersionHistory()
    if is_new:
        history.mark_complete()
    for at_s, upstreams, read_s in records:
        history.record(upstreams, read_s, at_s)
    return history.seen("s", LIFE_S, now_s, is_current=True)


@pytest.mark.parametrize(
    ("records", "now_s", "is_new", "versions", "is_complete"),
    [
        pytest.param([], 100, False, set(), False, id="nothing read yet"),
        pytest.param(
            [(0, [V1], 0), (5, [V1], 5)], 5, False, {"v1"}, False, id="started"
        ),
        pytest.param(
            [(0, [V1], 0)], 5, True, {"v1"}, True, id="a new deployment"
        ),
        pytest.param(
            [(t, [V1], t) for t in range(40)],
            40,
            False,
            {"v1"},
            True,
            id="for long",
        ),
        pytest.param(
            [(0, [V1, V2], 0), *((t, [V2], t) for t in range(1, 20))],
            20,
            True,
            {"v1", "v2"},
            True,
            id="a version that has left",
        ),
        pytest.param(
            [(0, [V1, V2], 0), *((t, [V2], t) for t in range(1, 40))],
            40,
            True,
            {"v2"},
            True,
            id="a version that left long ago",
        ),
        pytest.param(
            [(0, [V1], 0), (20, [V1], 5), (21, [V1], 21)],
            22,
            True,
            {"v1"},
            False,
            id="blind for a while",
        ),
        pytest.param(
            [(0, [V1], 0), (9, [V1], 0), (10, [V1], 10)],
            11,
            True,
            {"v1"},
            True,
            id="news a few seconds late",
        ),
        pytest.param(
            [(0, [V1, upstream("other", "v7")], 0)],
            1,
            True,
            {"v1"},
            True,
            id="another service",
        ),
        pytest.param(
            [(0, [V1, V2], 0), (1, [V1, V2], 1), (40, [V2], 40)],
            41,
            True,
            {"v2"},
            False,
            id="frozen for a while",
        ),
    ],
)
def test_versions_that_can_have_begun_a_stream(
    records, now_s, is_new, versions, is_complete
):
    """Guards against a guess from what serves now."""
    got = seen(records, now_s, is_new)
    assert got == version_history.SeenVersions(frozenset(versions), is_complete)


@pytest.mark.parametrize("is_complete", [True, False])
def test_an_instance_that_starts_takes_over_what_another_has_seen(is_complete):
    """Guards against refusals after the instances have restarted in turn."""
    history = version_history.VersionHistory()
    history.record([V2], 100, 100)
    theirs = version_history.SeenVersions(frozenset({"v1"}), is_complete)
    history.adopt({"s": theirs}, LIFE_S, 101)
    assert history.seen("s", LIFE_S, 102, True) == version_history.SeenVersions(
        frozenset({"v1", "v2"} if is_complete else {"v2"}), is_complete
    )
    assert not history.seen("s", 2 * LIFE_S, 102, True).is_complete


def test_old_versions_are_forgotten():
    history = version_history.VersionHistory()
    history.record([V1], 0, 0)
    history.record([V2], 50, 50)
    history.forget(20)
    assert history.seen("s", 1e9, 60, True).versions == {"v2"}


def test_an_instance_that_is_not_current_has_not_seen_all():
    """Guards against a guess while another version may just have appeared."""
    history = version_history.VersionHistory()
    history.mark_complete()
    history.record([V1], 0, 0)
    for is_current in (True, False):
        got = history.seen("s", LIFE_S, 1, is_current)
        assert got.is_complete is is_current
