"""Splits a byte stream into server-sent events.

Why: events arrive in pieces and several at a time, and a relay must pass on
whole events only, so that a failed upstream never leaves half of one.
"""

import dataclasses

MAX_EVENT_BYTES = 1024 * 1024


class EventTooLarge(Exception):
    """The upstream sent an event without end."""


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """One event: its `data` lines joined, and its `id` or empty."""

    data: bytes
    event_id: bytes


class Splitter:
    """Keeps the unfinished rest between pieces."""

    __slots__ = ("_rest",)

    def __init__(self) -> None:
        self._rest = b""

    def feed(self, chunk: bytes) -> list[Event]:
        """Returns the events completed by `chunk`.

        Raises:
          EventTooLarge: The unfinished event is over its bound.
        """
        # The two bytes of a line's end may arrive in two pieces.
        data = (self._rest + chunk).replace(b"\r\n", b"\n")
        parts = data.split(b"\n\n")
        self._rest = parts.pop()
        if len(self._rest) > MAX_EVENT_BYTES:
            raise EventTooLarge(f"event over {MAX_EVENT_BYTES} bytes")
        return [_event(part) for part in parts if part.strip(b"\n")]


def _event(block: bytes) -> Event:
    data = []
    event_id = b""
    for line in block.split(b"\n"):
        if line.startswith(b"data:"):
            data.append(line[5:].removeprefix(b" "))
        elif line.startswith(b"id:"):
            event_id = line[3:].strip()
    return Event(b"\n".join(data), event_id)
