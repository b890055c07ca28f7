"""Bounds what callers who read slowly leave in memory, over all.

An answer that its caller does not read stays in the process, and callers choose
how many they leave unread. Who has been behind for longest is the least likely
to read on.
"""

from sesamecross.ops.fleet import held_bytes

# What one connection may hold without being counted.
UNCOUNTED_BYTES = 16 * 1024
MEMORY_SHARE = 0.1


class UnreadAnswers(held_bytes.HeldBytes):
    """What the callers of one instance have not read yet."""

    __slots__ = ()

    def __init__(self, memory_bytes: int):
        super().__init__(memory_bytes, MEMORY_SHARE)
