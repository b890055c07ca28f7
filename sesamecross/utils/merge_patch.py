"""Merge patches (RFC 7396) over plain trees.

Why: a published change must cost bytes in proportion to the change and not
to the whole configuration. TOML has no null, so a patch can use None to
remove a key without ambiguity.
"""

from typing import Any

Tree = dict[str, Any]


def diff(old: Tree, new: Tree) -> Tree:
    """Returns the patch that turns `old` into `new`."""
    patch: Tree = {key: None for key in old if key not in new}
    for key, value in new.items():
        if key not in old:
            patch[key] = value
        elif isinstance(value, dict) and isinstance(old[key], dict):
            inner = diff(old[key], value)
            if inner:
                patch[key] = inner
        elif value != old[key] or type(value) is not type(old[key]):
            patch[key] = value
    return patch


def apply(tree: Tree, patch: Tree) -> Tree:
    """Returns `tree` with `patch` applied; neither argument is changed."""
    result = dict(tree)
    for key, value in patch.items():
        if value is None:
            result.pop(key, None)
        elif isinstance(value, dict):
            inner = result.get(key)
            result[key] = apply(inner if isinstance(inner, dict) else {}, value)
        else:
            result[key] = value
    return result
