"""Tests of control calls against a server on loopback.

The outcome decides whether a call may be repeated elsewhere: `NotSent` must not
be said of a call that the server may have executed.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

import pytest

from sesamecross.gateway import control_client

# Longer than any answer takes on loopback; only silence lasts as long.
TIMEOUT_S = 5.0
SILENCE_TIMEOUT_S = 0.05
WHOLE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

Responder = Callable[[asyncio.StreamWriter], Awaitable[None]]


class _Server:
    """Answers each call as the test says, and counts connections and calls."""

    def __init__(self, respond: Responder):
        self._respond = respond
        self.connections = 0
        self.calls = 0
        self.writers: list[asyncio.StreamWriter] = []

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        self.writers.append(writer)
        try:
            while True:
                await reader.readuntil(b"\r\n\r\n")
                self.calls += 1
                await self._respond(writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            writer.close()


async def _answer(writer: asyncio.StreamWriter) -> None:
    writer.write(WHOLE)


async def _answer_half(writer: asyncio.StreamWriter) -> None:
    writer.write(WHOLE[:-1])
    writer.close()


async def _close(writer: asyncio.StreamWriter) -> None:
    writer.close()


async def _answer_nonsense(writer: asyncio.StreamWriter) -> None:
    writer.write(b"nonsense\r\n\r\n")


async def _say_nothing(writer: asyncio.StreamWriter) -> None:
    pass


def run(respond: Responder, scenario):
    """Runs a scenario with a client and the server that it calls."""

    async def work():
        server = _Server(respond)
        listening = await asyncio.start_server(server.serve, "127.0.0.1", 0)
        host, port = listening.sockets[0].getsockname()
        client = control_client.ControlClient(f"{host}:{port}")
        try:
            return await scenario(client, server, listening)
        finally:
            client.close_connections()
            for writer in server.writers:
                writer.close()
            listening.close()

    return asyncio.run(work())


async def call(
    client: control_client.ControlClient, timeout_s: float = TIMEOUT_S
) -> control_client.Outcome:
    return await client.call(b"POST", b"/order", [], b"", timeout_s)


@pytest.mark.parametrize(
    ("respond", "timeout_s"),
    [
        (_close, TIMEOUT_S),
        (_answer_half, TIMEOUT_S),
        (_answer_nonsense, TIMEOUT_S),
        (_say_nothing, SILENCE_TIMEOUT_S),
    ],
)
def test_a_call_that_reached_the_server_is_never_said_to_be_unsent(
    respond, timeout_s
):
    """Guards against an order or a write that is executed twice."""

    async def scenario(client, server, listening):
        return await call(client, timeout_s), server.calls

    outcome, calls = run(respond, scenario)
    assert isinstance(outcome, control_client.NoAnswer)
    assert calls == 1


def test_a_call_to_a_closed_port_was_not_sent():
    async def scenario(client, server, listening):
        listening.close()
        await listening.wait_closed()
        return await call(client), server.calls

    outcome, calls = run(_answer, scenario)
    assert isinstance(outcome, control_client.NotSent)
    assert calls == 0


def test_an_answer_that_is_too_large_may_have_been_executed(monkeypatch):
    monkeypatch.setattr(control_client, "MAX_BODY_BYTES", 1)

    async def scenario(client, server, listening):
        return await call(client)

    outcome = run(_answer, scenario)
    assert outcome == control_client.NoAnswer("answer too large")


def test_calls_in_turn_use_one_connection():
    """Guards against a connection for each call to the store."""

    async def scenario(client, server, listening):
        outcomes = [await call(client) for _ in range(3)]
        return outcomes, server.connections

    outcomes, connections = run(_answer, scenario)
    assert [outcome.body for outcome in outcomes] == [b"ok"] * 3
    assert connections == 1


def test_a_connection_that_the_server_closed_is_not_used_again():
    """Guards against calls that get no answer after the server restarted."""

    async def scenario(client, server, listening):
        await call(client)
        server.writers[0].close()
        await server.writers[0].wait_closed()
        # The client's end is told in a later turn of the loop.
        async with asyncio.timeout(TIMEOUT_S):
            while client._idle[0].is_available:
                await asyncio.sleep(0)
        return await call(client), server.connections

    outcome, connections = run(_answer, scenario)
    assert isinstance(outcome, control_client.Answer)
    assert connections == 2


def test_idle_connections_are_closed_if_a_call_gets_no_answer():
    """Guards against one lost call after the other on connections that died."""

    async def scenario(client, server, listening):
        await asyncio.gather(call(client), call(client))
        assert len(client._idle) == 2
        server._respond = _close
        await call(client)
        return client._idle

    assert run(_answer, scenario) == []


def test_a_call_that_is_not_to_be_sent_any_more_is_not():
    """Guards against an order of a holder whose lease ended as it connected."""

    async def scenario(client, server, _listening):
        outcome = await client.call(
            b"POST", b"/order", [], b"", TIMEOUT_S, lambda: False
        )
        sent = server.calls
        # The connection serves the next call.
        await call(client)
        return outcome, sent, server.connections

    outcome, sent, connections = run(_answer, scenario)
    assert isinstance(outcome, control_client.NotSent)
    assert (sent, connections) == (0, 1)
