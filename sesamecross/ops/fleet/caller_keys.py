"""Decides whose request it is, by the key that it bears.

Keys are secrets: they are kept, compared and passed on within the process by
digest only, and looked up in constant time whatever their number. A key that
two workspaces hold names neither of them.
"""

from collections.abc import Iterable
import hashlib

import msgspec

from sesamecross.core import serving

_DIGEST_BYTES = 16


def digest(key: bytes) -> bytes:
    """Returns the digest by which a key is known."""
    return hashlib.blake2b(key, digest_size=_DIGEST_BYTES).digest()


class Admitted(msgspec.Struct, frozen=True):
    """The request may be forwarded.

    Attributes:
      workspace: Whose it is; None if the route takes anyone's.
    """

    workspace: serving.Workspace | None


class UnknownKey(msgspec.Struct, frozen=True):
    """No workspace holds the request's key, or it bears none."""


class NotCertain(msgspec.Struct, frozen=True):
    """The configuration may be older than the bound on revoked keys."""


Verdict = Admitted | UnknownKey | NotCertain


class KeyTable:
    """The keys of one configuration."""

    __slots__ = ("_by_digest", "_doubled")

    def __init__(self, workspaces: Iterable[serving.Workspace]):
        self._by_digest: dict[bytes, serving.Workspace] = {}
        self._doubled: set[bytes] = set()
        for workspace in workspaces:
            for key in workspace.key_digests:
                if key in self._by_digest:
                    self._doubled.add(key)
                self._by_digest[key] = workspace
        for key in self._doubled:
            del self._by_digest[key]

    @property
    def doubled(self) -> int:
        """Number of keys that several workspaces hold."""
        return len(self._doubled)

    def find(self, key_digest: bytes) -> serving.Workspace | None:
        """Returns the workspace that holds a key, or None."""
        return self._by_digest.get(key_digest)


def judge(
    keys: KeyTable | None,
    route: serving.Route,
    key_digest: bytes,
    is_fresh: bool,
) -> Verdict:
    """Decides whether a request may be forwarded, and for whom.

    Args:
      keys: Those of the configuration; None if it names no workspaces.
      route: The request's route.
      key_digest: Of its key; empty without one.
      is_fresh: Whether the configuration is new enough for revoked keys.
    """
    if keys is None or route.is_anonymous:
        return Admitted(None)
    workspace = keys.find(key_digest)
    if workspace is None:
        return UnknownKey()
    return Admitted(workspace) if is_fresh else NotCertain()
