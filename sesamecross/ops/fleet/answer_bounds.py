"""Bounds what one answer may bring, so that no upstream ends an instance.

A faulty upstream may send for ever: lines of a head, informational heads,
answers to other requests, extensions of chunks, at full speed or one byte at a
time. None of that is a part of the answer that is waited for. So what counts is
how much arrives beside its body, and for how long nothing but that arrives.
Silence is bounded by the request's own deadline.
"""

import enum

from sesamecross.core import serving

# All bytes beside the body: heads, other answers, framing. A late answer to an
# earlier request has some kilobytes.
MAX_OVERHEAD_BYTES = 256 * 1024
# A chunk of one byte takes six.
OVERHEAD_PER_BODY_BYTE = 16
# How long bytes may arrive without a whole head or a byte of the body.
MAX_NO_PROGRESS_S = 2.5
MAX_HEADER_FIELDS = 256
# Heads of status 1xx before the final one.
MAX_INFORMATIONAL_HEADS = 16
# An answer up to this size is always kept; a larger one takes a part of what
# all large answers of an instance may hold at once.
SMALL_ANSWER_BYTES = 64 * 1024
MAX_ANSWER_BYTES = 8 * 1024 * 1024
LARGE_ANSWERS_MEMORY_SHARE = 0.04
# An event holds a token or more; a few more tell of the stream itself.
EXTRA_EVENTS = 64
MAX_EVENTS = 1_000_000
MAX_EVENT_BYTES = 256 * 1024
# How long bytes of one event may arrive without its end.
MAX_EVENT_S = 2.5


class Excess(enum.Enum):
    """Why an answer is given up."""

    OVERHEAD = "too many bytes that are no answer"
    NO_PROGRESS = "bytes without progress"
    FIELDS = "too many header fields"
    INFORMATIONAL = "too many informational heads"
    BODY = "answer too large"
    EVENT = "event too large"
    SLOW_EVENT = "event without end"
    EVENTS = "more events than asked for"
    MEMORY = "too many large answers at once"


class AnswerMeter:
    """Counts what arrives for one answer. Deterministic.

    Attributes:
      excess: The bound that was passed first; None if none was.
    """

    __slots__ = (
        "excess",
        "_overhead",
        "_allowed",
        "_fields",
        "_informational",
        "_has_progress",
        "_stalled_since_s",
    )

    def __init__(self) -> None:
        self.excess: Excess | None = None
        self._overhead = 0
        self._allowed = MAX_OVERHEAD_BYTES
        self._fields = 0
        self._informational = 0
        self._has_progress = False
        self._stalled_since_s: float | None = None

    def begin_head(self) -> None:
        """Notes that a head begins."""
        self._fields = 0

    def add_field(self) -> bool:
        """Counts a header field; returns whether it may be kept."""
        self._fields += 1
        if self._fields > MAX_HEADER_FIELDS:
            self._exceed(Excess.FIELDS)
        return self.excess is None

    def add_informational_head(self) -> None:
        """Counts a head that is not the answer's."""
        self._has_progress = True
        self._informational += 1
        if self._informational > MAX_INFORMATIONAL_HEADS:
            self._exceed(Excess.INFORMATIONAL)

    def add_head(self) -> None:
        """Notes that the answer's head is whole."""
        self._has_progress = True

    def add_body(self, size: int) -> None:
        """Counts bytes of the answer's body."""
        self._has_progress = True
        self._overhead -= size
        self._allowed += OVERHEAD_PER_BODY_BYTE * size

    def add_received(self, size: int, now_s: float) -> None:
        """Counts bytes that were received and parsed.

        Args:
          size: Number of bytes, those of the body included.
          now_s: Monotonic time.
        """
        self._overhead += size
        if self._overhead > self._allowed:
            self._exceed(Excess.OVERHEAD)
        if self._has_progress:
            self._has_progress = False
            self._stalled_since_s = None
        elif self._stalled_since_s is None:
            self._stalled_since_s = now_s
        elif now_s - self._stalled_since_s > MAX_NO_PROGRESS_S:
            self._exceed(Excess.NO_PROGRESS)

    def _exceed(self, excess: Excess) -> None:
        if self.excess is None:
            self.excess = excess


class AnswerMemory:
    """Bounds the answers that are kept until they are whole, over all.

    Services answer with kilobytes. Large answers share a budget, so that
    upstreams that answer without end take nothing from the small ones.
    """

    __slots__ = ("_large_bytes", "_limit")

    def __init__(self, memory_bytes: int = serving.DEFAULT_MEMORY_BYTES):
        """Initializes the books.

        Args:
          memory_bytes: What the process may use.
        """
        self._large_bytes = 0
        self.set_memory(memory_bytes)

    def set_memory(self, memory_bytes: int) -> None:
        """Sets what the process may use; one answer always has room."""
        share = int(memory_bytes * LARGE_ANSWERS_MEMORY_SHARE)
        self._limit = max(MAX_ANSWER_BYTES, share)

    @property
    def limit_bytes(self) -> int:
        """What large answers may hold."""
        return self._limit

    @property
    def large_bytes(self) -> int:
        """What large answers hold now."""
        return self._large_bytes

    def grow(self, before: int, size: int) -> Excess | None:
        """Takes memory for more of an answer.

        Args:
          before: The answer's size so far.
          size: How much is added.

        Returns:
          The bound that this would pass; nothing is taken then.
        """
        after = before + size
        if after > MAX_ANSWER_BYTES:
            return Excess.BODY
        more = _large(after) - _large(before)
        if self._large_bytes + more > self._limit:
            return Excess.MEMORY
        self._large_bytes += more
        return None

    def release(self, size: int) -> None:
        """Gives back the memory of an answer of that size."""
        self._large_bytes -= _large(size)


def _large(size: int) -> int:
    return size if size > SMALL_ANSWER_BYTES else 0


def max_events(output_tokens: int) -> int:
    """Returns how many events a stream may have.

    Args:
      output_tokens: The most tokens that the request asks for; 0 if it does
        not say.
    """
    return MAX_EVENTS if output_tokens <= 0 else output_tokens + EXTRA_EVENTS
