"""Bounds what requests that are not whole yet hold in memory, over all.

Counted are heads that have not ended and requests that were sent behind others.
"""

from sesamecross.ops.fleet import held_bytes

# What one connection may hold without being counted: several ordinary heads.
UNCOUNTED_BYTES = 8 * 1024
MEMORY_SHARE = 0.05
# What a field takes beside its bytes.
FIELD_BYTES = 160


class UnfinishedRequests(held_bytes.HeldBytes):
    """What the requests being read by one instance hold."""

    __slots__ = ()

    def __init__(self, memory_bytes: int):
        super().__init__(memory_bytes, MEMORY_SHARE)
