"""Log lines to a descriptor: never blocking, bounded in number and memory.

Why: whoever reads the logs can stall, and a burst of requests writes a line
each. A process that waits for its log serves nobody, and one that keeps the
lines for later runs out of memory. Lines over the bound are counted and the
count is written as soon as there is room, so that a gap shows as a gap.
"""

import os
import select
import threading
import time
from typing import TextIO

# Lines a second in the long run, and at once. At 350 requests a second over
# 73 instances each has about 5 lines a second; 200 leave room for a burst of
# retries and cost at most 6 ms of processor time a second.
LINES_PER_S = 200.0
BURST_LINES = 400.0
# What may wait for a stalled reader.
MAX_PENDING_BYTES = 64 * 1024
# A pipe that can be written takes this much without waiting.
_PIECE_BYTES = select.PIPE_BUF


class BoundedOutput:
    """A text stream for a logger; threads may share it."""

    __slots__ = (
        "_fd",
        "_room",
        "_lock",
        "_pending",
        "_tokens",
        "_at_s",
        "_dropped",
        "_clock",
        "__weakref__",
    )

    def __init__(self, fd: int, clock=time.monotonic, is_shared: bool = False):
        """Sets the output up.

        Args:
          fd: Where lines go.
          clock: Monotonic time in seconds.
          is_shared: Whether others write to the same open file, as to a
            terminal. It is left as it is then, and asked for room before each
            write; otherwise it is made non-blocking, which costs no call.
        """
        self._fd = fd
        self._room: select.poll | None = None
        if is_shared:
            self._room = select.poll()
            self._room.register(fd, select.POLLOUT)
        else:
            os.set_blocking(fd, False)
        self._lock = threading.Lock()
        self._pending = bytearray()
        self._clock = clock
        self._tokens = BURST_LINES
        self._at_s = clock()
        self._dropped = 0

    @classmethod
    def of_stream(
        cls, stream: TextIO | None, is_shared: bool = False
    ) -> "BoundedOutput":
        """Returns an output to where a stream of the process goes.

        A process that was started with it closed has none. Its number may be
        a connection's by now, so the lines go nowhere.
        """
        if stream is None:
            return cls(os.open(os.devnull, os.O_WRONLY))
        return cls(stream.fileno(), is_shared=is_shared)

    @property
    def dropped(self) -> int:
        """Lines left out that no line tells of yet."""
        return self._dropped

    def write(self, text: str) -> int:
        """Writes a line, or counts it as left out."""
        with self._lock:
            self._take(text)
            self._flush()
        return len(text)

    def flush(self) -> None:
        """Writes what the descriptor takes now."""
        with self._lock:
            self._flush()

    def _take(self, text: str) -> None:
        now_s = self._clock()
        self._tokens = min(
            BURST_LINES, self._tokens + (now_s - self._at_s) * LINES_PER_S
        )
        self._at_s = now_s
        if self._tokens < 1.0 or len(self._pending) > MAX_PENDING_BYTES:
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

    def _flush(self) -> None:
        while self._pending and self._has_room():
            try:
                written = os.write(self._fd, self._pending[:_PIECE_BYTES])
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more; there is no other place to say so.
                self._pending.clear()
                return
            del self._pending[:written]

    def _has_room(self) -> bool:
        return self._room is None or bool(self._room.poll(0))
