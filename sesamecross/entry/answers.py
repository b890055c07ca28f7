"""Shapes a relayed answer as OpenAI-style clients expect it."""

from typing import Any

import msgspec

from sesamecross.entry import model_call
from sesamecross.entry import model_request

SSE_TYPE = "text/event-stream"


def event_bytes(data: bytes) -> bytes:
    """Returns one server-sent event."""
    return b"data: " + data + b"\n\n"


def is_usage_only(chunk: model_call.Chunk) -> bool:
    """Tells whether the event only closes the answer with its usage."""
    return not chunk.fields.get("choices") and "usage" in chunk.fields


class WholeAnswer:
    """Collects a streamed answer into the one document of a whole call."""

    __slots__ = ("_request", "_text", "_finish_reason", "_usage", "_last")

    def __init__(self, request: model_request.ModelRequest):
        self._request = request
        self._text: list[str] = []
        self._finish_reason: str | None = None
        self._usage: dict[str, Any] | None = None
        self._last: dict[str, Any] = {}

    def add(self, chunk: model_call.Chunk) -> None:
        """Takes in the next event."""
        self._last = chunk.fields
        if chunk.text:
            self._text.append(chunk.text)
        if chunk.fields.get("usage"):
            self._usage = chunk.fields["usage"]
        choices = chunk.fields.get("choices") or []
        if choices and choices[0].get("finish_reason"):
            self._finish_reason = choices[0]["finish_reason"]

    def body(self) -> bytes:
        """Returns the whole answer as JSON."""
        text = "".join(self._text)
        choice: dict[str, Any] = {
            "index": 0,
            "finish_reason": self._finish_reason or "stop",
            "logprobs": None,
        }
        if self._request.is_chat:
            choice["message"] = {"role": "assistant", "content": text}
            kind = "chat.completion"
        else:
            choice["text"] = text
            kind = "text_completion"
        document = {
            "id": self._last.get("id"),
            "object": kind,
            "created": self._last.get("created"),
            "model": self._request.target,
            "choices": [choice],
            "usage": self._usage,
        }
        return msgspec.json.encode(document)


def model_list(names: list[str]) -> dict[str, Any]:
    """Returns the document of `/v1/models`."""
    models = [
        {
            "id": name,
            "object": "model",
            "created": 1_700_000_000,
            "owned_by": "sesamecross",
        }
        for name in names
    ]
    return {"object": "list", "data": models}
