"""JSON merge patches (RFC 7396) over trees of dictionaries.

The size of a published change must be proportional to the change, not to the
whole configuration. TOML has no null, so None in a patch unambiguously removes
a key.
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
    """Returns `tree` with `patch` applied; the arguments are not modified."""
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
