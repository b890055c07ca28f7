"""Tests of merge patches against the definition in RFC 7396."""

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from sesamecross.utils import merge_patch

LEAF = st.one_of(
    st.integers(0, 3),
    st.booleans(),
    st.text(max_size=2),
    st.lists(st.integers(0, 2), max_size=2),
)
TREE = st.dictionaries(
    st.sampled_from("abc"),
    st.recursive(
        LEAF,
        lambda inner: st.dictionaries(
            st.sampled_from("abc"), inner, max_size=3
        ),
        max_leaves=6,
    ),
    max_size=3,
)


@settings(derandomize=True, max_examples=400, deadline=None)
@given(TREE, TREE)
def test_a_patch_turns_old_into_new(old, new):
    assert merge_patch.apply(old, merge_patch.diff(old, new)) == new


@settings(derandomize=True, max_examples=100, deadline=None)
@given(TREE)
def test_equal_trees_have_an_empty_patch(tree):
    assert merge_patch.diff(tree, tree) == {}


@pytest.mark.parametrize(
    ("old", "new", "patch"),
    [
        ({"a": 1}, {"a": 1, "b": 2}, {"b": 2}),
        ({"a": 1, "b": 2}, {"a": 1}, {"b": None}),
        ({"a": {"x": 1, "y": 2}}, {"a": {"x": 1, "y": 3}}, {"a": {"y": 3}}),
        ({"a": True}, {"a": 1}, {"a": 1}),
    ],
)
def test_a_patch_is_as_small_as_the_change(old, new, patch):
    assert merge_patch.diff(old, new) == patch
