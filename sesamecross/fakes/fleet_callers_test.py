"""Tests of a trial's strict callers, against answers as raw bytes."""

import asyncio
import re
import time

import pytest

from sesamecross.devtools import fleet_balancer
from sesamecross.devtools import fleet_demand
from sesamecross.fakes import fleet_callers
from sesamecross.fakes import fleet_scenarios
from sesamecross.fakes import fleet_upstreams

KINDS = {one.name: one for one in fleet_scenarios.scenario("small").kinds}
OK = "HTTP/1.1 200 OK\r\nResponse-Signature: i.{id}\r\n"
CHUNKED = "Transfer-Encoding: chunked\r\n"
EVENT = fleet_upstreams.event("{id}", 1).decode()
REFUSED = "HTTP/1.1 503 No\r\nRetry-After: 0.01\r\nContent-Length: 0\r\n\r\n"


def _chunk(text):
    # Ids have 16 characters.
    return f"{len(text.replace('{id}', 'x' * 16)):x}\r\n{text}\r\n"


def _stream(event=EVENT, end="0\r\n\r\n", framing=CHUNKED):
    return f"{OK}{framing}\r\n{_chunk(event)}{end}"


async def _ask(kind, answers):
    """Makes one request to a server that sends these answers in turn."""
    left = list(answers)

    async def serve(reader, writer):
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        request_id = re.search("Request-Id: (.*)\r", head)[1]
        writer.write(left.pop(0).replace("{id}", request_id).encode())
        await writer.drain()
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    address = server.sockets[0].getsockname()
    instance = fleet_balancer.Instance("z", "r", address, address)
    client = fleet_callers.Client("z", fleet_balancer.Balancer([instance]), "c")
    stream = {"target": "m0", "parts": (("a", 1),), "events": 1}
    wish = fleet_demand.Wish(
        KINDS[kind], **(stream if KINDS[kind].is_stream else {})
    )
    asked = await fleet_callers.Caller(client, wish, time.monotonic()).run()
    server.close()
    return asked, len(answers) - len(left)


@pytest.mark.parametrize(
    ("kind", "answers", "outcome", "tries"),
    [
        ("draft", [_stream()], "on time", 1),
        ("draft", [_stream(framing=CHUNKED * 2)], "broken", 1),
        (
            "draft",
            [_stream(framing=CHUNKED + "Content-Length: 40\r\n")],
            "broken",
            1,
        ),
        ("draft", ["no protocol\r\n\r\n"], "broken", 1),
        (
            "draft",
            [_stream(event=EVENT.replace("{id}", "y" * 16))],
            "broken",
            1,
        ),
        ("draft", [f"{OK}{CHUNKED}\r\n0\r\n\r\n"], "broken", 1),
        ("draft", [_stream() + "HTTP/1.1 200"], "broken", 1),
        ("draft", [_stream(end="")], "failed", 1),
        ("draft", [""], "failed", 1),
        ("draft", [REFUSED, _stream()], "on time", 2),
        ("draft", [REFUSED, REFUSED], "refused", 2),
        ("order", [""], "failed", 1),
        ("lookup", ["", REFUSED], "refused", 2),
    ],
)
def test_an_answer_counts_only_if_a_strict_parser_takes_it(
    kind, answers, outcome, tries
):
    """Guards against lenient callers, who hide answers that are no HTTP."""
    asked, tried = asyncio.run(_ask(kind, answers))
    assert (asked.outcome, tried) == (outcome, tries)
