"""Splits a byte stream into server-sent events.

Events arrive in fragments and several at a time. A relay must forward complete
events only, so that a failed upstream never leaves a partial one.
"""

import dataclasses

MAX_EVENT_BYTES = 1024 * 1024


class EventTooLargeError(Exception):
    """The upstream sent an event over `MAX_EVENT_BYTES`."""


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """One event: its joined `data` lines, and its `id`, which may be empty."""

    data: bytes
    event_id: bytes


class EventParser:
    """Incremental parser that buffers an incomplete event between chunks."""

    __slots__ = ("_buffer",)

    def __init__(self) -> None:
        self._buffer = b""

    def feed(self, chunk: bytes) -> list[Event]:
        """Returns the events completed by `chunk`.

        Raises:
          EventTooLargeError: The incomplete event is over `MAX_EVENT_BYTES`.
        """
        # The two bytes of a line ending may arrive in separate chunks.
        data = (self._buffer + chunk).replace(b"\r\n", b"\n")
        parts = data.split(b"\n\n")
        self._buffer = parts.pop()
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise EventTooLargeError(f"event over {MAX_EVENT_BYTES} bytes")
        return [_parse_event(part) for part in parts if part.strip(b"\n")]


def _parse_event(block: bytes) -> Event:
    data = []
    event_id = b""
    for line in block.split(b"\n"):
        if line.startswith(b"data:"):
            data.append(line[5:].removeprefix(b" "))
        elif line.startswith(b"id:"):
            event_id = line[3:].strip()
    return Event(b"\n".join(data), event_id)
