"""Canonical digests of trees, and of bearer keys."""

import hashlib
import json
from typing import Any


def of_tree(tree: Any) -> str:
    """Returns the SHA-256 of a tree's canonical JSON, as hexadecimal digits."""
    canonical = json.dumps(tree, sort_keys=True, separators=(",", ":"))
    return hashlib.sha256(canonical.encode()).hexdigest()


def of_bearer_key(key: str) -> str:
    """Returns the digest by which settings identify a caller's bearer key."""
    return "sha256:" + hashlib.sha256(key.encode()).hexdigest()
