"""What prompt prefixes an upstream probably has cached.

Why: an uncached prompt costs most of the time to the first token, and the
engines' own cache events come late and with gaps. What this entry routed
where is known at once; it is forgotten by size, as the engines forget.
"""

from collections import OrderedDict

import xxhash

BLOCK_CHARS = 256
CHARS_PER_TOKEN = 4
BLOCK_TOKENS = BLOCK_CHARS // CHARS_PER_TOKEN
BLOCKS_KEPT = 8192
LEAST_BLOCKS = 32
SHRINK = 0.97
GROW = 0.5


def block_hashes(target: str, prompt: str) -> tuple[int, ...]:
    """Returns a name for each whole leading block of a prompt.

    Each name covers all text before it too, so two prompts share a name
    only where they share the whole prefix.
    """
    names = []
    digest = xxhash.xxh3_64(target.encode())
    for end in range(BLOCK_CHARS, len(prompt) + 1, BLOCK_CHARS):
        digest.update(prompt[end - BLOCK_CHARS : end].encode())
        names.append(digest.intdigest())
    return tuple(names)


class PrefixHistory:
    """Blocks routed to one upstream, the least recently used go first."""

    __slots__ = ("_blocks", "_limit", "_most")

    def __init__(self, limit: int = BLOCKS_KEPT):
        self._blocks: OrderedDict[int, None] = OrderedDict()
        self._limit = float(limit)
        self._most = limit

    def cached_tokens(self, names: tuple[int, ...]) -> int:
        """Returns how many leading tokens are probably cached."""
        count = 0
        for name in names:
            if name not in self._blocks:
                break
            count += 1
        return count * BLOCK_CHARS // CHARS_PER_TOKEN

    def routed(self, names: tuple[int, ...]) -> None:
        """Notes that a prompt went to this upstream."""
        for name in names:
            self._blocks[name] = None
            self._blocks.move_to_end(name)
        self._forget()

    def _forget(self) -> None:
        while len(self._blocks) > self._limit:
            self._blocks.popitem(last=False)

    def observed(self, expected_tokens: float, cached_tokens: int) -> None:
        """Learns how much the upstream keeps from what it says it had.

        The upstream's cache is shared with other entries' calls, so its
        size can't be declared. Fewer cached tokens than expected mean that
        it forgets sooner than this history does.
        """
        if cached_tokens + BLOCK_TOKENS < expected_tokens:
            self._limit = max(LEAST_BLOCKS, len(self._blocks) * SHRINK)
        else:
            self._limit = min(self._most, self._limit + GROW)
        self._forget()

    def clear(self) -> None:
        """Forgets all: the upstream restarted with an empty cache."""
        self._blocks.clear()
