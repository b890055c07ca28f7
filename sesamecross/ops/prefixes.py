"""Estimates which prompt prefixes an upstream has cached.

Uncached prompt tokens make up most of the time to the first token, and the
engines' own cache events arrive late and with gaps. What this entry routed is
known at once; it is evicted by size, as in the engines.
"""

from collections import OrderedDict

import xxhash

BLOCK_CHARS = 256
CHARS_PER_TOKEN = 4
BLOCK_TOKENS = BLOCK_CHARS // CHARS_PER_TOKEN
MAX_BLOCKS = 8192
MIN_BLOCKS = 32
LIMIT_SHRINK_FACTOR = 0.97
LIMIT_GROWTH_BLOCKS = 0.5


def block_hashes(target: str, prompt: str) -> tuple[int, ...]:
    """Returns a hash for each whole leading block of a prompt.

    Each hash covers all text before it too, so two prompts share a hash only
    where they share the whole prefix.
    """
    hashes = []
    digest = xxhash.xxh3_64(target.encode())
    for end in range(BLOCK_CHARS, len(prompt) + 1, BLOCK_CHARS):
        digest.update(prompt[end - BLOCK_CHARS : end].encode())
        hashes.append(digest.intdigest())
    return tuple(hashes)


class PrefixCacheEstimate:
    """LRU set of the prompt blocks that were routed to one upstream."""

    __slots__ = ("_blocks", "_limit", "_max_limit")

    def __init__(self, limit: int = MAX_BLOCKS):
        self._blocks: OrderedDict[int, None] = OrderedDict()
        self._limit = float(limit)
        self._max_limit = limit

    def cached_tokens(self, hashes: tuple[int, ...]) -> int:
        """Returns how many leading tokens are probably cached."""
        count = 0
        for block_hash in hashes:
            if block_hash not in self._blocks:
                break
            count += 1
        return count * BLOCK_CHARS // CHARS_PER_TOKEN

    def record_prompt(self, hashes: tuple[int, ...]) -> None:
        """Records that a prompt was sent to this upstream."""
        for block_hash in hashes:
            self._blocks[block_hash] = None
            self._blocks.move_to_end(block_hash)
        self._evict()

    def _evict(self) -> None:
        while len(self._blocks) > self._limit:
            self._blocks.popitem(last=False)

    def adjust_limit(self, expected_tokens: float, cached_tokens: int) -> None:
        """Adapts the size limit to the cache hits that the upstream reports.

        The upstream's cache is shared with other entries' calls, so its size
        can't be declared. Fewer cached tokens than expected mean that it evicts
        sooner than this estimate does.
        """
        if cached_tokens + BLOCK_TOKENS < expected_tokens:
            self._limit = max(
                MIN_BLOCKS, len(self._blocks) * LIMIT_SHRINK_FACTOR
            )
        else:
            self._limit = min(
                self._max_limit, self._limit + LIMIT_GROWTH_BLOCKS
            )
        self._evict()

    def clear(self) -> None:
        """Removes all blocks: the upstream restarted with an empty cache."""
        self._blocks.clear()
