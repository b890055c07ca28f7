"""Which beginnings of prompts an engine probably keeps.

Why: a part that is kept is not read again, provided that all parts before it
are kept too. What this instance sent there is known; the engine drops the
least recently used, and so does this memory of it.
"""

from collections import OrderedDict

import xxhash

from sesamecross.core import serving

# Beginnings remembered for each engine. A few hundred subjects share parts;
# beyond them are the parts of single requests, which never come back.
KEPT = 2048


class PrefixCache:
    """Beginnings of prompts by the parts that they are made of."""

    __slots__ = ("_kept",)

    def __init__(self) -> None:
        self._kept: OrderedDict[int, None] = OrderedDict()

    def cached_tokens(self, call: serving.ModelCall) -> int:
        """Returns how many leading tokens are probably kept."""
        tokens = 0
        for key, part in _beginnings(call):
            if key not in self._kept:
                break
            tokens += part.tokens
        return tokens

    def record_prompt(self, call: serving.ModelCall) -> None:
        """Notes that a prompt went there."""
        for key, _ in _beginnings(call):
            self._kept[key] = None
            self._kept.move_to_end(key)
        while len(self._kept) > KEPT:
            self._kept.popitem(last=False)

    def drop(self) -> None:
        """Forgets all: the engine dropped a model or restarted."""
        self._kept.clear()


def _beginnings(call: serving.ModelCall):
    # An adapter's parts are no use to the model itself.
    digest = xxhash.xxh3_64(call.target.encode())
    for part in call.parts:
        digest.update(part.part_id.encode() + b",")
        yield digest.intdigest(), part
