"""Encodes responses in the format of OpenAI's API."""

from collections.abc import Iterable
from typing import Any

import msgspec

from sesamecross.entry import model_request
from sesamecross.ops import answer_validator

SSE_TYPE = "text/event-stream"
DONE_EVENT = b"data: [DONE]\n\n"


def encode_events(
    chunks: Iterable[answer_validator.Chunk], wants_usage: bool
) -> bytes:
    """Returns chunks as server-sent events.

    The closing usage event is left out unless the caller asked for it.
    """
    return b"".join(
        b"data: " + chunk.data + b"\n\n"
        for chunk in chunks
        if wants_usage or not chunk.is_usage_only
    )


def encode_document(
    call_id: str,
    request: model_request.ModelRequest,
    chunks: Iterable[answer_validator.Chunk],
) -> bytes:
    """Returns the JSON document of a call that is not streamed."""
    text: list[str] = []
    finish_reason = "stop"
    usage = None
    created = 0
    for chunk in chunks:
        text.append(chunk.text)
        finish_reason = chunk.finish_reason or finish_reason
        usage = chunk.usage or usage
        created = chunk.created or created
    choice: dict[str, Any] = {
        "index": 0,
        "finish_reason": finish_reason,
        "logprobs": None,
    }
    if request.is_chat:
        choice["message"] = {"role": "assistant", "content": "".join(text)}
        object_type = "chat.completion"
    else:
        choice["text"] = "".join(text)
        object_type = "text_completion"
    document = {
        "id": call_id,
        "object": object_type,
        "created": created,
        "model": request.target,
        "choices": [choice],
        "usage": usage,
    }
    return msgspec.json.encode(document)


def model_list(names: list[str]) -> dict[str, Any]:
    """Returns the response document of `/v1/models`."""
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
