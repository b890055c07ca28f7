"""Bounds what a caller may send for one request beside its body.

A parser reports what is whole: a field, a part of a body. What it joins until
then, and what it skips (empty lines before a request, spaces, extensions of
chunks), it does not report, so a caller could send it without end. So what
counts is what has arrived, whatever the parser makes of it: since the last
request for a head, since the head for all that surrounds a body. The operator's
limit on heads holds for each of both.
"""

# Beside what operators count as a head: method, version, separators, and an
# empty line before the request.
ROOM_BYTES = 1024
# A chunk of one byte takes six.
OVERHEAD_PER_BODY_BYTE = 16


class RequestMeter:
    """Counts what arrives for one request. Deterministic.

    The bytes of a piece in which a head or a request ends are not counted, as
    it is not known which of them belong to what follows.
    """

    __slots__ = ("_overhead", "_body", "_body_in_piece", "_has_restarted")

    def __init__(self) -> None:
        self._overhead = 0
        self._body = 0
        self._body_in_piece = 0
        self._has_restarted = False

    @property
    def overhead_bytes(self) -> int:
        """What has arrived of the head, or beside the body."""
        return self._overhead

    def restart(self) -> None:
        """Notes that a head or a request has ended."""
        self._overhead = self._body = self._body_in_piece = 0
        self._has_restarted = True

    def add_body(self, size: int) -> None:
        """Counts bytes of the body within the current piece."""
        self._body += size
        self._body_in_piece += size

    def add_piece(self, size: int) -> None:
        """Counts a piece that was parsed."""
        if self._has_restarted:
            self._has_restarted = False
        else:
            self._overhead += size - self._body_in_piece
        self._body_in_piece = 0

    @property
    def limited_bytes(self) -> int:
        """What counts towards the limit on heads; below 0 at first."""
        return self._overhead - ROOM_BYTES - OVERHEAD_PER_BODY_BYTE * self._body

    def exceeds(self, max_header_bytes: int) -> bool:
        """Whether more has arrived than any request within the limit has."""
        return self.limited_bytes > max_header_bytes
