"""Model of an engine's prefix cache: which prompt prefixes it probably holds.

A cached part of a prompt is not prefilled again, provided that all parts before
it are cached too. The model follows what this instance sent to the engine, and
evicts the least recently used prefix, as the engine does.
"""

from collections import OrderedDict

import xxhash

from sesamecross.core import serving

# Prefixes remembered per engine. A few hundred subjects share parts; the rest
# are parts of single requests, which are never used again.
MAX_PREFIXES = 2048


class PrefixCache:
    """The probably cached prefixes, by a digest of their parts."""

    __slots__ = ("_digests",)

    def __init__(self) -> None:
        self._digests: OrderedDict[int, None] = OrderedDict()

    def cached_tokens(self, call: serving.ModelCall) -> int:
        """Returns how many leading tokens of a prompt are probably cached."""
        tokens = 0
        for key, part in _prefixes(call):
            if key not in self._digests:
                break
            tokens += part.tokens
        return tokens

    def record_prompt(self, call: serving.ModelCall) -> None:
        """Records that a prompt was sent to the engine."""
        for key, _ in _prefixes(call):
            self._digests[key] = None
            self._digests.move_to_end(key)
        while len(self._digests) > MAX_PREFIXES:
            self._digests.popitem(last=False)

    def drop(self) -> None:
        """Clears the cache: the engine dropped a model or restarted."""
        self._digests.clear()


def _prefixes(call: serving.ModelCall):
    # Parts cached for an adapter cannot be used by the model itself.
    digest = xxhash.xxh3_64(call.target.encode())
    for part in call.parts:
        digest.update(part.part_id.encode() + b",")
        yield digest.intdigest(), part
