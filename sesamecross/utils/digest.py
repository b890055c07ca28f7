"""Digests of plain trees, equal wherever the same tree stands."""

import hashlib
import json
from typing import Any


def of_tree(tree: Any) -> str:
    """Returns the SHA-256 of a tree's canonical JSON, in hexadecimal."""
    canonical = json.dumps(tree, sort_keys=True, separators=(",", ":"))
    return hashlib.sha256(canonical.encode()).hexdigest()


def of_bearer_key(key: str) -> str:
    """Returns the form in which settings keep a caller's bearer key."""
    return "sha256:" + hashlib.sha256(key.encode()).hexdigest()
