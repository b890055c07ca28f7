"""Non-blocking log output with a bounded rate and buffer.

The reader of the logs can stall, and each request of a burst writes a line. A
process that blocks on its log serves nobody, and one that buffers without
bound runs out of memory. Lines over the limit are dropped and counted; the
count is written as soon as there is room, so that a gap in the log is visible.
"""

import os
import select
import threading
import time
from typing import TextIO

# Rate and burst of the token bucket. At 350 requests/s over 73 instances each
# instance writes about 5 lines/s; 200 leave room for a burst of retries and
# cost at most 6 ms of CPU time per second.
LINES_PER_S = 200.0
BURST_LINES = 400.0
# Buffer limit while the reader is stalled.
MAX_PENDING_BYTES = 64 * 1024
# A writable pipe accepts this many bytes without blocking.
_WRITE_BYTES = select.PIPE_BUF


class BoundedOutput:
    """A text stream for a logger. Thread-safe."""

    __slots__ = (
        "_fd",
        "_poller",
        "_lock",
        "_pending",
        "_tokens",
        "_refilled_s",
        "_dropped",
        "_clock",
        "__weakref__",
    )

    def __init__(self, fd: int, clock=time.monotonic, is_shared: bool = False):
        """Creates an output that writes to a file descriptor.

        Args:
          fd: The file descriptor.
          clock: Monotonic time in seconds.
          is_shared: Whether other processes write to the same open file, such
            as a terminal. Its blocking mode is then left unchanged and it is
            polled before each write; otherwise it is made non-blocking, which
            saves the poll.
        """
        self._fd = fd
        self._poller: select.poll | None = None
        if is_shared:
            self._poller = select.poll()
            self._poller.register(fd, select.POLLOUT)
        else:
            os.set_blocking(fd, False)
        self._lock = threading.Lock()
        self._pending = bytearray()
        self._clock = clock
        self._tokens = BURST_LINES
        self._refilled_s = clock()
        self._dropped = 0

    @classmethod
    def from_stream(
        cls, stream: TextIO | None, is_shared: bool = False
    ) -> "BoundedOutput":
        """Returns an output to the descriptor of a standard stream.

        `stream` is None in a process that was started with it closed. A
        connection may use its descriptor by now, so lines are discarded.
        """
        if stream is None:
            return cls(os.open(os.devnull, os.O_WRONLY))
        return cls(stream.fileno(), is_shared=is_shared)

    @property
    def dropped(self) -> int:
        """Number of dropped lines not yet reported in the log."""
        return self._dropped

    def write(self, text: str) -> int:
        """Writes a line, or counts it as dropped."""
        with self._lock:
            self._enqueue(text)
            self._flush()
        return len(text)

    def flush(self) -> None:
        """Writes as much as the descriptor accepts without blocking."""
        with self._lock:
            self._flush()

    def _enqueue(self, text: str) -> None:
        now_s = self._clock()
        self._tokens = min(
            BURST_LINES, self._tokens + (now_s - self._refilled_s) * LINES_PER_S
        )
        self._refilled_s = now_s
        if self._tokens < 1.0 or len(self._pending) > MAX_PENDING_BYTES:
            self._dropped += 1
        else:
            self._tokens -= 1.0
            if self._dropped:
                notice = (
                    f'{{"event":"log: lines left out","n":{self._dropped}}}\n'
                )
                self._pending += notice.encode()
                self._dropped = 0
            self._pending += text.encode("utf-8", "replace")

    def _flush(self) -> None:
        while self._pending and self._is_writable():
            try:
                written = os.write(self._fd, self._pending[:_WRITE_BYTES])
            except BlockingIOError:
                return
            except OSError:
                # The reader is gone, and there is nowhere else to report it.
                self._pending.clear()
                return
            del self._pending[:written]

    def _is_writable(self) -> bool:
        return self._poller is None or bool(self._poller.poll(0))
