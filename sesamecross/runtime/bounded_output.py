"""Log lines to a descriptor: never blocking, bounded in number and memory.

Why: whoever reads the logs can stall, and a burst of requests writes a line
each. A process that waits for its log serves nobody, and one that keeps the
lines for later runs out of memory. Lines over the bound are counted and the
count is written as soon as there is room, so that a gap shows as a gap.
"""

import os
import time

# Lines a second in the long run, and at once. At 350 requests a second over
# 73 instances each has about 5 lines a second; 200 leave room for a burst of
# retries and cost at most 6 ms of processor time a second.
LINES_PER_S = 200.0
LINES_AT_ONCE = 400.0
# What may wait for a stalled reader.
PENDING_BYTES = 64 * 1024


class BoundedOutput:
    """A text stream for a logger."""

    __slots__ = (
        "_fd",
        "_pending",
        "_tokens",
        "_at_s",
        "_dropped",
        "_clock",
        "__weakref__",
    )

    def __init__(self, fd: int, clock=time.monotonic):
        self._fd = fd
        self._pending = bytearray()
        self._clock = clock
        self._tokens = LINES_AT_ONCE
        self._at_s = clock()
        self._dropped = 0
        os.set_blocking(fd, False)

    @property
    def dropped(self) -> int:
        """Lines left out that no line tells of yet."""
        return self._dropped

    def write(self, text: str) -> int:
        """Writes a line, or counts it as left out."""
        now_s = self._clock()
        self._tokens = min(
            LINES_AT_ONCE, self._tokens + (now_s - self._at_s) * LINES_PER_S
        )
        self._at_s = now_s
        if self._tokens < 1.0 or len(self._pending) > PENDING_BYTES:
            self._dropped += 1
        else:
            self._tokens -= 1.0
            if self._dropped:
                told = (
                    f'{{"event":"log: lines left out","n":{self._dropped}}}\n'
                )
                self._pending += told.encode()
                self._dropped = 0
            self._pending += text.encode("utf-8", "replace")
        self.flush()
        return len(text)

    def flush(self) -> None:
        """Writes what the descriptor takes now."""
        while self._pending:
            try:
                written = os.write(self._fd, self._pending)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more; there is no other place to say so.
                self._pending.clear()
                return
            del self._pending[:written]
