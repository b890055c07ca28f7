"""Validates that an engine's events continue the answer of exactly one call.

An event of another call would deliver another caller's answer; a token number
other than the next one means a lost or duplicated token. Tokens are counted
over all attempts of a call, so that a resumed answer has no gap or repetition.
"""

import dataclasses
from typing import Any

import msgspec

from sesamecross.ports import sse

DONE = b"[DONE]"


class _Delta(msgspec.Struct):
    content: str | None = None


class _Choice(msgspec.Struct):
    delta: _Delta | None = None
    text: str | None = None
    finish_reason: str | None = None


class _Document(msgspec.Struct):
    id: str = ""
    choices: list[_Choice] = []
    created: int = 0
    usage: dict[str, Any] | None = None


_decoder = msgspec.json.Decoder(_Document)


@dataclasses.dataclass(frozen=True, slots=True)
class Chunk:
    """A validated event of an answer.

    Attributes:
      data: The event's JSON as the engine sent it.
      text: The text generated in this event, often one token.
      usage: Token counts, if the event carries them.
      is_usage_only: Whether the event only reports usage at the end.
    """

    data: bytes
    text: str
    finish_reason: str | None
    usage: dict[str, Any] | None
    is_usage_only: bool
    created: int


class InvalidEventError(Exception):
    """The attempt's event stream can't be trusted any further."""


class AnswerValidator:
    """Validation state of one call's answer over all its attempts."""

    __slots__ = (
        "_call_id",
        "_text",
        "tokens",
        "ignores_event_ids",
        "done",
        "cached_tokens",
    )

    def __init__(self, call_id: str):
        self._call_id = call_id
        self._text: list[str] = []
        self.tokens = 0
        # Set when an engine got the text so far in its prompt: it numbers its
        # tokens anew.
        self.ignores_event_ids = False
        self.done = False
        self.cached_tokens: int | None = None

    @property
    def text(self) -> str:
        """The text generated so far."""
        return "".join(self._text)

    def process_event(self, event: sse.Event) -> Chunk | None:
        """Validates the next event of the answer.

        Returns:
          The event; None for the end marker and for tokens already passed on.

        Raises:
          InvalidEventError: The event is malformed, of another call, or skips
            a token.
        """
        if event.data == DONE:
            self.done = True
            return None
        try:
            document = _decoder.decode(event.data)
        except msgspec.MsgspecError as error:
            raise InvalidEventError("event is not understood") from error
        if document.id != self._call_id:
            raise InvalidEventError("event of another call")
        chunk = _parse_chunk(event.data, document)
        if document.usage is not None:
            self.cached_tokens = _cached_tokens(document.usage)
        if not chunk.text:
            return chunk
        number = self._token_number(event)
        if number <= self.tokens:
            return None
        if number != self.tokens + 1:
            raise InvalidEventError("a token is missing")
        self.tokens = number
        self._text.append(chunk.text)
        return chunk

    def _token_number(self, event: sse.Event) -> int:
        if self.ignores_event_ids or not event.event_id.isdigit():
            return self.tokens + 1
        return int(event.event_id)


def _cached_tokens(usage: dict[str, Any]) -> int | None:
    details = usage.get("prompt_tokens_details")
    if not isinstance(details, dict):
        return None
    cached = details.get("cached_tokens")
    return cached if isinstance(cached, int) else None


def _parse_chunk(data: bytes, document: _Document) -> Chunk:
    text = ""
    finish_reason = None
    if document.choices:
        choice = document.choices[0]
        finish_reason = choice.finish_reason
        text = choice.text or ""
        if choice.delta is not None:
            text = choice.delta.content or ""
    is_usage_only = not document.choices and document.usage is not None
    return Chunk(
        data,
        text,
        finish_reason,
        document.usage,
        is_usage_only,
        document.created,
    )
