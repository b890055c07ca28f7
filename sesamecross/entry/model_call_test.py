"""Tests of calls to a model whose answer arrives in unusual pieces."""

import json
import socket
import threading
import types

import pytest

from sesamecross.entry import model_call
from sesamecross.ops import answer_validator
from sesamecross.ports import engine_stream


def answer(call_id: str, tokens: int) -> bytes:
    """Returns an engine's whole answer."""
    chunks = [
        {"id": call_id, "choices": [{"index": 0, "delta": {"content": "a "}}]}
        for _ in range(tokens)
    ]
    events = "".join(
        f"id: {number}\ndata: {json.dumps(chunk)}\n\n"
        for number, chunk in enumerate(chunks, start=1)
    )
    body = f"{events}data: [DONE]\n\n" if tokens else ""
    return (
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
        f"X-Request-Id: {call_id}\r\nContent-Length: {len(body)}\r\n\r\n{body}"
    ).encode()


def open_stream(data: bytes) -> engine_stream.EngineStream:
    """Returns the stream of an engine that sends all data at once."""
    server = socket.create_server(("127.0.0.1", 0))

    def serve() -> None:
        connection, _ = server.accept()
        connection.recv(65_536)
        connection.sendall(data)
        connection.close()
        server.close()

    threading.Thread(target=serve, daemon=True).start()
    host, port = server.getsockname()
    return engine_stream.EngineStream.open(
        engine_stream.CallRequest(
            f"http://{host}:{port}", "/v1/completions", b"{}", "call1", 5, 5.0
        )
    )


@pytest.mark.parametrize("tokens", [0, 1, 3])
def test_an_answer_that_arrives_with_its_head_is_read(tokens):
    """Guards against whole answers that are taken for broken ones."""
    call = object.__new__(model_call.ModelCall)
    call._call = types.SimpleNamespace(deadline_ms=1e12)
    call._validator = answer_validator.AnswerValidator("call1")
    call._first_token_s = None
    failures = []
    call._report_failure = lambda _kind, reason: failures.append(reason)
    stream = open_stream(answer("call1", tokens))
    # Everything has arrived before the first event is asked for.
    while not stream.ended:
        stream._feed(stream._socket.recv(65_536))
    chunks = call._read_first_chunks(stream)
    stream.close()
    assert len(chunks) == tokens
    assert call.tokens == tokens
    assert failures == ([] if tokens else ["the answer ended early"])
