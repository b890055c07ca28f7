"""Validates a caller's request to a model and encodes the engine's request.

Malformed calls must not reach an engine, and routing needs the block hashes and
the size of the prompt before anything is sent.
"""

import dataclasses
import json
from typing import Any

import msgspec
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from sesamecross.core import data
from sesamecross.core import refusal
from sesamecross.entry import state as state_lib
from sesamecross.ops import prefixes

CHAT_PATH = "/v1/chat/completions"
COMPLETIONS_PATH = "/v1/completions"


@dataclasses.dataclass(frozen=True, slots=True)
class ModelRequest:
    """A validated request.

    Attributes:
      target: The model or adapter that the caller named.
      model: The model, or the adapter's base model.
      fields: The request's JSON object as the caller sent it.
      stream: Whether the caller wants server-sent events.
      wants_usage: Whether the caller wants the closing usage event.
    """

    path: str
    target: str
    model: data.Model
    fields: dict[str, Any]
    prompt: str
    stream: bool
    wants_usage: bool

    @property
    def is_chat(self) -> bool:
        """Whether this is a chat completion, not a text completion."""
        return self.path == CHAT_PATH

    def prompt_block_hashes(self) -> tuple[int, ...]:
        """Returns the hashes of the prompt's leading blocks."""
        return prefixes.block_hashes(self.target, self.prompt)

    def estimate_prompt_tokens(self) -> int:
        """Returns an estimate of the prompt's length in tokens."""
        return len(self.prompt) // prefixes.CHARS_PER_TOKEN + 1

    def engine_body(self, generated: str, tokens: int) -> bytes:
        """Returns the body of the request to an engine.

        Engines are always asked to stream, so that another one can continue
        the response of a failed one.

        Args:
          generated: Text that the caller already has and the engine is to
            continue; empty for a new call or an engine that can resume.
          tokens: Number of tokens in `generated`.
        """
        fields = dict(self.fields)
        fields["stream"] = True
        fields["stream_options"] = {"include_usage": True}
        if generated:
            self._add_generated_text(fields, generated, tokens)
        return json.dumps(fields).encode()

    def _add_generated_text(
        self, fields: dict[str, Any], generated: str, tokens: int
    ) -> None:
        if self.is_chat:
            fields["messages"] = [
                *fields["messages"],
                {"role": "assistant", "content": generated},
            ]
            fields["continue_final_message"] = True
            fields["add_generation_prompt"] = False
        else:
            fields["prompt"] = self.prompt + generated
        for key in ("max_tokens", "max_completion_tokens"):
            if isinstance(fields.get(key), int):
                fields[key] = max(1, fields[key] - tokens)


def parse(
    path: str, body: bytes, caller: data.Caller, snapshot: state_lib.Snapshot
) -> Result[ModelRequest, refusal.Refusal]:
    """Returns the validated request, or a refusal."""
    try:
        fields = msgspec.json.decode(body)
    except msgspec.DecodeError as error:
        return _bad_request(
            f"The body is not JSON ({error})", "Send a JSON object"
        )
    if not isinstance(fields, dict):
        return _bad_request(
            "The body is not a JSON object", "Send a JSON object"
        )
    target = fields.get("model")
    if not isinstance(target, str):
        return _bad_request("model is missing", "Name a model from /v1/models")
    model = _permitted_model(target, caller, snapshot.declarations)
    if model is None:
        return Failure(refusal.forbidden(f"Model {target}"))
    prompt = _prompt_text(path, fields)
    if prompt is None:
        return _bad_request(
            "messages or prompt is missing or malformed",
            "Send messages for a chat, or prompt as text",
        )
    options = fields.get("stream_options")
    wants_usage = isinstance(options, dict) and bool(
        options.get("include_usage")
    )
    return Success(
        ModelRequest(
            path,
            target,
            model,
            fields,
            prompt,
            bool(fields.get("stream")),
            wants_usage,
        )
    )


def _bad_request(title: str, remedy: str) -> Failure:
    return Failure(refusal.bad_request(title, remedy))


def is_allowed(caller: data.Caller, name: str) -> bool:
    """Returns whether a caller may use a model or adapter."""
    return data.WILDCARD in caller.models or name in caller.models


def _permitted_model(
    target: str, caller: data.Caller, declarations: data.Declarations
) -> data.Model | None:
    adapter = declarations.adapters.get(target)
    base = adapter.model if adapter else target
    model = declarations.models.get(base)
    if model is None:
        return None
    if is_allowed(caller, target) or (adapter and is_allowed(caller, base)):
        return model
    return None


def _prompt_text(path: str, fields: dict[str, Any]) -> str | None:
    if path == COMPLETIONS_PATH:
        prompt = fields.get("prompt")
        return prompt if isinstance(prompt, str) else None
    messages = fields.get("messages")
    if not isinstance(messages, list) or not messages:
        return None
    lines = []
    for message in messages:
        if not isinstance(message, dict):
            return None
        if not isinstance(message.get("role"), str):
            return None
        content = message.get("content")
        text = content if isinstance(content, str) else json.dumps(content)
        lines.append(f"{message['role']}: {text}")
    return "\n".join(lines)
